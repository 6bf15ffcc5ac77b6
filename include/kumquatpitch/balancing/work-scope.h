// Which services are balanced by expected work. Pure function, used by
// GatewayCore for each new configuration.

#ifndef KUMQUATPITCH_BALANCING_WORK_SCOPE_H
#define KUMQUATPITCH_BALANCING_WORK_SCOPE_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/routing-config.h"

#include <set>

namespace kumquatpitch {

/// The services whose requests the configuration lets tell apart by more than
/// their route: those that take uploads, whose work depends on the size of the
/// body, and all services where callers have workspaces. The others are
/// balanced by count.
std::set<ServiceName> servicesByWork(const RoutingConfig &Config);

} // namespace kumquatpitch

#endif
