// Targets that said that they leave. See leaving-targets.h.

#include "kumquatpitch/leaving-targets.h"

namespace kumquatpitch {

void LeavingTargets::recordAnswer(const LeavingTarget &Target, TimePoint Now) {
  if (!contains(Target))
    Targets_[Target.Id_] = State{Target.StartedUnixMs_, Now + AnnounceDelay};
}

void LeavingTargets::recordPeer(const LeavingTarget &Target, TimePoint Now) {
  Targets_[Target.Id_] = State{Target.StartedUnixMs_, Now + RepeatPeriod};
}

bool LeavingTargets::contains(const LeavingTarget &Target) const {
  const std::map<TargetId, State>::const_iterator It =
      Targets_.find(Target.Id_);
  return It != Targets_.end() &&
         It->second.StartedUnixMs_ == Target.StartedUnixMs_;
}

std::vector<LeavingTarget> LeavingTargets::takeAnnouncements(TimePoint Now) {
  std::vector<LeavingTarget> Due;
  for (std::pair<const TargetId, State> &Entry : Targets_)
    if (Now >= Entry.second.AnnounceAt_) {
      Due.push_back(LeavingTarget{Entry.first, Entry.second.StartedUnixMs_});
      Entry.second.AnnounceAt_ = Now + RepeatPeriod;
    }
  return Due;
}

} // namespace kumquatpitch
