// One service on this host. See service-runtime.h.

#include "kumquatpitch/service-runtime.h"

namespace kumquatpitch {

ServiceRuntime::ServiceRuntime(ServiceConfig Config, const HostId &Self,
                               TimePoint Now)
    : Self_(Self), Burn_(Config.Contract_->Customer_, Config.Terms_->Service_,
                         Config.Terms_->Slo_, Now) {
  setConfig(std::move(Config), Now);
}

void ServiceRuntime::setConfig(ServiceConfig Config, TimePoint Now) {
  Config_ = std::move(Config);
  IsAssigned_ = Config_.Group_.contains(Self_);
  Plan_ = slotPlan(entry(), Config_.Group_);
  Slots_.setPlan(Plan_.ownShares(Self_), terms().Deadline_, Now);
  Burn_.setObjective(terms().Slo_, Now);
}

std::optional<TargetId> ServiceRuntime::pick(const std::set<TargetId> &Excluded,
                                             TimePoint Now) {
  std::optional<TargetId> Best;
  const SlotShares Shares = Slots_.usable(Now);
  for (const Target &Each : entry().Targets_) {
    const SlotShares::const_iterator It = Shares.find(Each.Id_);
    if (It == Shares.end() || Excluded.count(Each.Id_) ||
        Each.State_ == TargetState::Leaving ||
        InProgress_[Each.Id_] >= It->second.Slots_)
      continue;
    if (!Best || InProgress_[Each.Id_] < InProgress_[*Best])
      Best = Each.Id_;
  }
  return Best;
}

void ServiceRuntime::attemptStarted(const TargetId &Target, AttemptId,
                                    TimePoint) {
  ++InProgress_[Target];
}

void ServiceRuntime::attemptEnded(const TargetId &Target, AttemptId,
                                  const AttemptReport &, TimePoint) {
  --InProgress_[Target];
}

} // namespace kumquatpitch
