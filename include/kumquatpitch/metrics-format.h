// Prometheus text exposition of a host's metrics and status. The function has
// no side effects; the host calls it for its operator endpoint.

#ifndef KUMQUATPITCH_METRICS_FORMAT_H
#define KUMQUATPITCH_METRICS_FORMAT_H

#include "kumquatpitch/host-status.h"
#include "kumquatpitch/metrics.h"

#include <string>

namespace kumquatpitch {

/// Formats `Snapshot` and `Status` as text exposition, version 0.0.4. Names
/// begin with `kumquatpitch_`, and times are in seconds. Statistics without
/// samples are omitted or NaN.
std::string formatMetrics(const MetricsSnapshot &Snapshot,
                          const HostStatus &Status);

} // namespace kumquatpitch

#endif
