// Log lines about a routing configuration that comes into force.

#ifndef KUMQUATPITCH_CONFIG_LOG_H
#define KUMQUATPITCH_CONFIG_LOG_H

#include "kumquatpitch/event-log.h"
#include "kumquatpitch/routing-config.h"

namespace kumquatpitch {

/// Logs that `Table`, published at `Revision`, is in force: one line, one more
/// if it has routes of an unknown kind, and one for each problem of its
/// workspaces.
void logConfigInForce(const RouteTable &Table, std::uint64_t Revision,
                      EventLog &Log);

} // namespace kumquatpitch

#endif
