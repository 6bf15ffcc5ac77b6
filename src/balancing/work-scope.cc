// Services that are balanced by expected work. See work-scope.h.

#include "kumquatpitch/balancing/work-scope.h"

namespace kumquatpitch {

std::set<ServiceName> servicesByWork(const RoutingConfig &Config) {
  std::set<ServiceName> Services;
  for (const VirtualRoute &Route : Config.Routes_)
    if (Route.Kind_ == RouteKind::Upload || Config.Workspaces_)
      for (const ServiceShare &Share : Route.Shares_)
        Services.insert(Share.Service_);
  return Services;
}

} // namespace kumquatpitch
