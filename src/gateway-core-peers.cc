// What GatewayCore tells other hosts and learns from them. See gateway-core.h.

#include "kumquatpitch/gateway-core.h"

#include <algorithm>

namespace kumquatpitch {

/// Services with fewer recent requests than this are not reported to other
/// hosts: the counts are too small to show whether the floor is at risk.
static constexpr double MinReportedRequests = 0.5;

std::map<ServiceName, RequestOutcomeCounts>
GatewayCore::outcomeCounts(TimePoint Now) const {
  std::map<ServiceName, RequestOutcomeCounts> CountsByService;
  for (const std::pair<const ServiceName, ServiceState> &Service : Services_) {
    const RequestOutcomeCounts Counts =
        Service.second.Balancer_.outcomeCounts(Now);
    if (Counts.Ended_ >= MinReportedRequests)
      CountsByService[Service.first] = Counts;
  }
  return CountsByService;
}

void GatewayCore::recordPeerOutcomes(const HostId &From,
                                     const ServiceName &Name,
                                     const RequestOutcomeCounts &Counts,
                                     TimePoint Now) {
  const std::map<ServiceName, ServiceState>::iterator It = Services_.find(Name);
  if (It != Services_.end())
    It->second.Balancer_.recordPeerOutcomes(From, Counts, Now);
}

std::vector<NamedRateLimit> GatewayCore::takeRateLimitUpdates(TimePoint Now) {
  std::vector<NamedRateLimit> Updates;
  for (std::pair<const ServiceName, ServiceState> &Service : Services_)
    std::ranges::move(Service.second.Balancer_.takeRateLimitUpdates(Now),
                      std::back_inserter(Updates));
  return Updates;
}

bool GatewayCore::recordPeerRateLimit(const NamedRateLimit &Limit,
                                      TimePoint Now) {
  const std::map<ServiceName, ServiceState>::iterator It =
      Services_.find(Limit.Service_);
  return It != Services_.end() &&
         It->second.Balancer_.recordPeerRateLimit(Limit, Now);
}

void GatewayCore::applyPeerObservation(const ServiceName &Name,
                                       const TargetId &Id,
                                       TargetObservation Observation,
                                       TimePoint Now) {
  const std::map<ServiceName, ServiceState>::iterator It = Services_.find(Name);
  if (It != Services_.end())
    It->second.Balancer_.applyPeerObservation(Id, Observation, Now);
}

} // namespace kumquatpitch
