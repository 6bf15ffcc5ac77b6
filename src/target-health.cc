// Turns suspicions into ejections within the floor. See target-health.h.

#include "kumquatpitch/target-health.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kumquatpitch {

namespace {

/// A ramp starts here: a target without work could not show that it is well.
constexpr double LeastRampShare = 0.1;

} // namespace

void TargetHealth::setEntry(const ServiceEntry &Entry,
                            const std::map<TargetId, std::uint32_t> &OwnSlots,
                            TimePoint Now) {
  Thresholds_ = thresholdsFor(Entry.Profile_);
  Detector_.setProfile(Entry.Profile_);
  FloorTargets_ = Entry.FloorTargets_;
  const bool IsFirst = States_.empty();
  std::map<TargetId, State> States;
  for (const Target &Each : Entry.Targets_) {
    const std::map<TargetId, State>::iterator Old = States_.find(Each.Id_);
    State New = Old == States_.end() ? State{} : Old->second;
    const bool WasServing = Old != States_.end() && New.isServing();
    const std::map<TargetId, std::uint32_t>::const_iterator Slots =
        OwnSlots.find(Each.Id_);
    New.OwnSlots_ = Slots == OwnSlots.end() ? 0 : Slots->second;
    New.TotalSlots_ = Each.Slots_;
    New.Listed_ = Each.State_;
    New.Draining_ = New.Draining_ && Each.State_ != TargetState::Starting;
    if (!IsFirst && !WasServing && New.isServing())
      New.RampFrom_ = Now;
    States.emplace(Each.Id_, New);
  }
  States_ = std::move(States);
  watchServing(Now);
  applyFloor(Now);
}

void TargetHealth::markLeaving(const TargetId &Target, TimePoint Now) {
  const std::map<TargetId, State>::iterator It = States_.find(Target);
  if (It == States_.end() || It->second.Draining_)
    return;
  It->second.Draining_ = true;
  watchServing(Now);
  applyFloor(Now);
}

void TargetHealth::watchServing(TimePoint Now) {
  std::set<TargetId> Serving;
  for (const std::pair<const TargetId, State> &Each : States_)
    if (Each.second.isServing() && Each.second.OwnSlots_ > 0)
      Serving.insert(Each.first);
  Detector_.setTargets(Serving, Now);
}

void TargetHealth::attemptStarted(const TargetId &Target, AttemptId Attempt,
                                  bool NewConnection, TimePoint Now) {
  Detector_.attemptStarted(Target, Attempt, NewConnection, Now);
}

void TargetHealth::attemptEnded(const TargetId &Target, AttemptId Attempt,
                                const AttemptReport &Report, TimePoint Now) {
  Detector_.attemptEnded(Target, Attempt, Report, Now);
}

void TargetHealth::probeEnded(const TargetId &Target, bool Ok, TimePoint Now) {
  Detector_.probeEnded(Target, Ok, Now);
}

void TargetHealth::peerReport(const HostId &From, const TargetId &Target,
                              const TargetEvidence &Evidence, TimePoint Now) {
  Detector_.peerReport(From, Target, Evidence, Now);
}

void TargetHealth::clearEvidence(TimePoint Now) {
  Detector_.clearEvidence(Now);
  for (std::pair<const TargetId, State> &Each : States_) {
    State &Of = Each.second;
    Of.SuspectSince_.reset();
    Of.Held_ = false;
    if (!Of.EjectedAt_ || Now - *Of.EjectedAt_ >= UndoPeriod)
      continue;
    --Of.Ejections_;
    reinstate(Each.first, Of, Now);
    Of.RampFrom_.reset();
    Changes_.push_back(change(HealthChangeKind::Reinstated, Each.first));
  }
}

std::vector<HealthChange> TargetHealth::evaluate(TimePoint Now) {
  endExpired(Now);
  const DetectorFindings Findings = Detector_.evaluate(Now);
  for (const SilentConnections &Each : Findings.Silent_) {
    HealthChange Change =
        change(HealthChangeKind::CloseConnections, Each.Target_);
    Change.Silent_ = Each;
    Changes_.push_back(std::move(Change));
  }
  noteSuspicions(Findings.Suspicions_, Now);
  ejectSuspects(Findings.Suspicions_, Now);
  return std::exchange(Changes_, {});
}

void TargetHealth::noteSuspicions(const std::vector<Suspicion> &Suspicions,
                                  TimePoint Now) {
  std::set<TargetId> Suspects;
  for (const Suspicion &Each : Suspicions) {
    State &Of = States_.at(Each.Target_);
    if (Of.EjectedAt_ || Each.OwnScore_ < OutlierDetector::SuspectScore)
      continue;
    Suspects.insert(Each.Target_);
    Of.Score_ = Each.Score_;
    if (Of.SuspectSince_)
      continue;
    Of.SuspectSince_ = Now;
    Changes_.push_back(change(HealthChangeKind::Suspected, Each.Target_));
    Changes_.back().Suspicion_ = Each;
  }
  for (std::pair<const TargetId, State> &Each : States_) {
    if (Suspects.contains(Each.first))
      continue;
    Each.second.SuspectSince_.reset();
    Each.second.Held_ = false;
    if (!Each.second.EjectedAt_)
      Each.second.Score_ = 0;
  }
}

void TargetHealth::ejectSuspects(std::vector<Suspicion> Suspicions,
                                 TimePoint Now) {
  const auto IsWorse = [](const Suspicion &Left, const Suspicion &Right) {
    return Left.Score_ > Right.Score_;
  };
  std::stable_sort(Suspicions.begin(), Suspicions.end(), IsWorse);
  for (const Suspicion &Each : Suspicions) {
    State &Of = States_.at(Each.Target_);
    if (Each.Score_ < 1 || !Of.isUsable() || !Of.SuspectSince_ ||
        Now <= *Of.SuspectSince_ ||
        Now - *Of.SuspectSince_ < Thresholds_.ConfirmDelay_)
      continue;
    if (mayEject(FloorTargets_, floorSnapshot(), Each.Target_)) {
      eject(Of, Each, Now);
      continue;
    }
    if (Of.Held_)
      continue;
    Of.Held_ = true;
    Changes_.push_back(change(HealthChangeKind::HeldByFloor, Each.Target_));
    Changes_.back().Suspicion_ = Each;
  }
}

void TargetHealth::eject(State &Of, const Suspicion &Cause, TimePoint Now) {
  if (Now - Of.ReinstatedAt_ >= Thresholds_.ForgetAfter_)
    Of.Ejections_ = 0;
  Duration Length = Thresholds_.BaseEjection_;
  for (std::uint32_t I = 0;
       I < Of.Ejections_ && Length < Thresholds_.MaxEjection_; ++I)
    Length *= 2;
  Length = std::min(Length, Thresholds_.MaxEjection_);
  ++Of.Ejections_;
  Of.EjectedAt_ = Now;
  Of.EjectedUntil_ = Now + Length;
  Of.SuspectSince_.reset();
  Of.Held_ = false;
  Of.Score_ = Cause.Score_;
  HealthChange Change = change(HealthChangeKind::Ejected, Cause.Target_);
  Change.Suspicion_ = Cause;
  Change.EjectedFor_ = Length;
  Changes_.push_back(std::move(Change));
}

void TargetHealth::reinstate(const TargetId &Target, State &Of, TimePoint Now) {
  Of.EjectedAt_.reset();
  Of.ReinstatedAt_ = Now;
  Of.Score_ = 0;
  Detector_.forgetTarget(Target, Now);
}

void TargetHealth::endExpired(TimePoint Now) {
  for (std::pair<const TargetId, State> &Each : States_) {
    State &Of = Each.second;
    if (!Of.EjectedAt_ || Now < Of.EjectedUntil_)
      continue;
    reinstate(Each.first, Of, Now);
    Of.RampFrom_ = Now;
    Changes_.push_back(change(HealthChangeKind::Reinstated, Each.first));
  }
}

void TargetHealth::applyFloor(TimePoint Now) {
  for (const TargetId &Each :
       requiredReinstatements(FloorTargets_, floorSnapshot())) {
    State &Of = States_.at(Each);
    reinstate(Each, Of, Now);
    // The capacity is needed now, so there is no ramp.
    Of.RampFrom_.reset();
    Changes_.push_back(change(HealthChangeKind::ReinstatedByFloor, Each));
  }
}

std::vector<TargetId> TargetHealth::suspects() const {
  std::vector<TargetId> Suspects;
  for (const std::pair<const TargetId, State> &Each : States_)
    if (Each.second.SuspectSince_)
      Suspects.push_back(Each.first);
  return Suspects;
}

std::vector<TargetId> TargetHealth::marked() const {
  std::vector<TargetId> Marked;
  for (const std::pair<const TargetId, State> &Each : States_)
    if (Each.second.Draining_)
      Marked.push_back(Each.first);
  return Marked;
}

bool TargetHealth::isServing(const TargetId &Target) const {
  const std::map<TargetId, State>::const_iterator It = States_.find(Target);
  return It != States_.end() && It->second.isServing();
}

bool TargetHealth::isUsable(const TargetId &Target) const {
  const std::map<TargetId, State>::const_iterator It = States_.find(Target);
  return It != States_.end() && It->second.isUsable();
}

double TargetHealth::rampShare(const TargetId &Target, TimePoint Now) const {
  const std::map<TargetId, State>::const_iterator It = States_.find(Target);
  if (It == States_.end() || !It->second.isUsable())
    return 0;
  if (!It->second.RampFrom_)
    return 1;
  const Duration Since = Now - *It->second.RampFrom_;
  const double Part = static_cast<double>(Since.count()) /
                      static_cast<double>(RampPeriod.count());
  return std::clamp(Part, LeastRampShare, 1.0);
}

FloorSnapshot TargetHealth::floorSnapshot() const {
  FloorSnapshot Snapshot;
  for (const std::pair<const TargetId, State> &Each : States_)
    Snapshot.push_back({Each.first, Each.second.OwnSlots_,
                        Each.second.isServing(),
                        Each.second.EjectedAt_.has_value(), Each.second.Score_,
                        Each.second.TotalSlots_});
  return Snapshot;
}

HealthChange TargetHealth::change(HealthChangeKind Kind,
                                  const TargetId &Target) const {
  const FloorSnapshot Snapshot = floorSnapshot();
  HealthChange Change;
  Change.Kind_ = Kind;
  Change.Target_ = Target;
  Change.UsableSlots_ = usableSlots(Snapshot);
  Change.ShareSlots_ = floorShare(FloorTargets_, Snapshot);
  return Change;
}

} // namespace kumquatpitch
