// Smooth weighted round robin. See route-split.h.

#include "kumquatpitch/route-split.h"

namespace kumquatpitch {

/// One step of smooth weighted round robin; returns the index of the next
/// share.
static std::size_t nextShare(const std::vector<ServiceShare> &Shares,
                             std::vector<double> &Credits) {
  double Total = 0;
  std::size_t Best = 0;
  for (std::size_t Index = 0; Index < Shares.size(); ++Index) {
    Total += Shares[Index].Weight_;
    Credits[Index] += Shares[Index].Weight_;
    if (Credits[Index] > Credits[Best])
      Best = Index;
  }
  Credits[Best] -= Total;
  return Best;
}

std::string routeKey(const VirtualRoute &Route) {
  return Route.Host_ + " " + Route.Prefix_;
}

const ServiceName &RouteSplit::choose(const VirtualRoute &Route,
                                      RandomSource &Random) {
  if (Route.Shares_.size() == 1)
    return Route.Shares_.front().Service_;
  std::vector<double> &Credits = CreditsByRoute_[routeKey(Route)];
  if (Credits.size() != Route.Shares_.size()) {
    // Each host starts at a random position of the sequence. If all hosts
    // started at the first one and had few requests each, the smaller shares
    // would get too few requests in total.
    Credits.assign(Route.Shares_.size(), 0);
    constexpr std::uint64_t MaxSteps = 1'000;
    for (std::uint64_t Steps = Random.below(MaxSteps); Steps > 0; --Steps)
      nextShare(Route.Shares_, Credits);
  }
  return Route.Shares_[nextShare(Route.Shares_, Credits)].Service_;
}

} // namespace kumquatpitch
