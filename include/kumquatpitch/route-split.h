// Divides the requests of a route among its services by their weights. Used by
// GatewayCore. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_ROUTE_SPLIT_H
#define KUMQUATPITCH_ROUTE_SPLIT_H

#include "kumquatpitch/random-source.h"
#include "kumquatpitch/routing-config.h"

#include <map>
#include <string>
#include <vector>

namespace kumquatpitch {

/// Identifies a route across configurations.
std::string routeKey(const VirtualRoute &Route);

class RouteSplit {
public:
  /// Returns the service of the route's next request: smooth weighted round
  /// robin over the route's shares.
  const ServiceName &choose(const VirtualRoute &Route, RandomSource &Random);

  /// Starts over, as the weights may have changed.
  void reset() { CreditsByRoute_.clear(); }

private:
  std::map<std::string, std::vector<double>> CreditsByRoute_;
};

} // namespace kumquatpitch

#endif
