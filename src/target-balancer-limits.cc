// Rate limits of targets and their division among the hosts. See
// target-balancer.h.

#include "kumquatpitch/target-balancer.h"

#include <algorithm>

namespace kumquatpitch {

double TargetBalancer::rateLimit(const TargetId &Id, TimePoint Now) const {
  const std::map<TargetId, State>::const_iterator It = States_.find(Id);
  return It == States_.end() ? NoRateLimit
                             : It->second.RateLimit_.perSecond(Now);
}

std::vector<NamedRateLimit>
TargetBalancer::takeRateLimitUpdates(TimePoint Now) {
  updateRateLimitShares(Now);
  std::vector<NamedRateLimit> Updates;
  for (std::pair<const TargetId, State> &Entry : States_) {
    State &Target = Entry.second;
    if (const std::optional<Duration> Age = Target.RateLimit_.takeUpdate(Now))
      Updates.push_back(NamedRateLimit{Target.Entry_.Service_, Entry.first,
                                       Target.Entry_.StartedUnixMs_,
                                       Target.RateLimit_.perSecond(Now), *Age});
  }
  return Updates;
}

bool TargetBalancer::recordPeerRateLimit(const NamedRateLimit &Limit,
                                         TimePoint Now) {
  const std::map<TargetId, State>::iterator It = States_.find(Limit.Target_);
  if (It == States_.end() ||
      It->second.Entry_.StartedUnixMs_ != Limit.StartedUnixMs_)
    return false;
  TargetRateLimit &Known = It->second.RateLimit_;
  const double Before = Known.perSecond(Now);
  Known.recordPeer(Limit.PerSecond_, Limit.Age_, Now);
  if (Before == NoRateLimit)
    updateRateLimitShare(It->second, Demand_.weights(OwnId_, Now), Now);
  return Known.perSecond(Now) != Before;
}

void TargetBalancer::updateRateLimitShares(TimePoint Now) {
  Demand_.record(OwnId_, outcomeCounts(Now).Ended_, Now);
  const std::vector<HostWeight> Weights = Demand_.weights(OwnId_, Now);
  for (std::pair<const TargetId, State> &Entry : States_)
    updateRateLimitShare(Entry.second, Weights, Now);
}

void TargetBalancer::updateRateLimitShare(
    State &Target, const std::vector<HostWeight> &Weights,
    TimePoint Now) const {
  const double PerSecond = Target.RateLimit_.perSecond(Now);
  if (PerSecond != NoRateLimit)
    Target.RateLimit_.setShare(
        shareOfRateLimit(PerSecond, Target.Entry_.Id_, OwnId_, Weights), Now);
}

std::size_t TargetBalancer::limitedCount(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(States_.begin(), States_.end(),
                    [&](const std::pair<const TargetId, State> &Entry) {
                      return !Entry.second.RateLimit_.allowsAttempt(Now);
                    }));
}

} // namespace kumquatpitch
