// Prometheus text exposition of a host's metrics and status. Pure; called by
// the host for its operator endpoint.

#ifndef KUMQUATPITCH_METRICS_FORMAT_H
#define KUMQUATPITCH_METRICS_FORMAT_H

#include "kumquatpitch/host-status.h"
#include "kumquatpitch/metrics.h"

#include <string>

namespace kumquatpitch {

/// Text exposition, version 0.0.4. Names begin with `kumquatpitch_`, times are
/// in seconds. Statistics without samples are left out or NaN.
std::string formatMetrics(const MetricsSnapshot &Counted,
                          const HostStatus &Status);

} // namespace kumquatpitch

#endif
