// Turns suspicions into ejections as far as the floor allows. See
// target-health.h.

#include "kumquatpitch/target-health.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kumquatpitch {

namespace {

/// Fraction at which a ramp starts. It is above 0 because a target without
/// requests could not prove that it is healthy.
constexpr double MinRampShare = 0.1;

} // namespace

void TargetHealth::setEntry(const ServiceEntry &Entry,
                            const std::map<TargetId, std::uint32_t> &OwnSlots,
                            TimePoint Now) {
  Thresholds_ = thresholdsFor(Entry.Profile_);
  Detector_.setProfile(Entry.Profile_);
  FloorTargets_ = Entry.FloorTargets_;
  const bool IsFirst = Records_.empty();
  std::map<TargetId, TargetRecord> Records;
  for (const Target &Listed : Entry.Targets_) {
    const std::map<TargetId, TargetRecord>::iterator Old =
        Records_.find(Listed.Id_);
    TargetRecord New = Old == Records_.end() ? TargetRecord{} : Old->second;
    const bool WasServing = Old != Records_.end() && New.isServing();
    const std::map<TargetId, std::uint32_t>::const_iterator Slots =
        OwnSlots.find(Listed.Id_);
    New.OwnSlots_ = Slots == OwnSlots.end() ? 0 : Slots->second;
    New.TotalSlots_ = Listed.Slots_;
    New.ListedState_ = Listed.State_;
    New.Draining_ = New.Draining_ && Listed.State_ != TargetState::Starting;
    if (!IsFirst && !WasServing && New.isServing())
      New.RampFrom_ = Now;
    Records.emplace(Listed.Id_, New);
  }
  Records_ = std::move(Records);
  updateWatchedTargets(Now);
  applyFloor(Now);
}

void TargetHealth::markLeaving(const TargetId &Target, TimePoint Now) {
  const std::map<TargetId, TargetRecord>::iterator It = Records_.find(Target);
  if (It == Records_.end() || It->second.Draining_)
    return;
  It->second.Draining_ = true;
  updateWatchedTargets(Now);
  applyFloor(Now);
}

void TargetHealth::updateWatchedTargets(TimePoint Now) {
  std::set<TargetId> Serving;
  for (const std::pair<const TargetId, TargetRecord> &Entry : Records_)
    if (Entry.second.isServing() && Entry.second.OwnSlots_ > 0)
      Serving.insert(Entry.first);
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
  for (std::pair<const TargetId, TargetRecord> &Entry : Records_) {
    TargetRecord &Record = Entry.second;
    Record.SuspectSince_.reset();
    Record.HeldReported_ = false;
    if (!Record.EjectedAt_ || Now - *Record.EjectedAt_ >= UndoPeriod)
      continue;
    --Record.EjectionCount_;
    reinstate(Entry.first, Record, Now);
    Record.RampFrom_.reset();
    Changes_.push_back(makeChange(HealthChangeKind::Reinstated, Entry.first));
  }
}

std::vector<HealthChange> TargetHealth::evaluate(TimePoint Now) {
  endExpiredEjections(Now);
  const DetectorFindings Findings = Detector_.evaluate(Now);
  for (const SilentConnections &Silent : Findings.Silent_) {
    HealthChange Change =
        makeChange(HealthChangeKind::CloseConnections, Silent.Target_);
    Change.Silent_ = Silent;
    Changes_.push_back(std::move(Change));
  }
  recordSuspicions(Findings.Suspicions_, Now);
  ejectSuspects(Findings.Suspicions_, Now);
  return std::exchange(Changes_, {});
}

void TargetHealth::recordSuspicions(const std::vector<Suspicion> &Suspicions,
                                    TimePoint Now) {
  std::set<TargetId> Suspects;
  for (const Suspicion &Suspect : Suspicions) {
    TargetRecord &Record = Records_.at(Suspect.Target_);
    if (Record.EjectedAt_ ||
        Suspect.UndiscountedScore_ < OutlierDetector::SuspectScore)
      continue;
    Suspects.insert(Suspect.Target_);
    Record.Score_ = Suspect.Score_;
    if (Record.SuspectSince_)
      continue;
    Record.SuspectSince_ = Now;
    Changes_.push_back(
        makeChange(HealthChangeKind::Suspected, Suspect.Target_));
    Changes_.back().Suspicion_ = Suspect;
  }
  for (std::pair<const TargetId, TargetRecord> &Entry : Records_) {
    if (Suspects.contains(Entry.first))
      continue;
    Entry.second.SuspectSince_.reset();
    Entry.second.HeldReported_ = false;
    if (!Entry.second.EjectedAt_)
      Entry.second.Score_ = 0;
  }
}

void TargetHealth::ejectSuspects(std::vector<Suspicion> Suspicions,
                                 TimePoint Now) {
  const auto IsWorse = [](const Suspicion &Left, const Suspicion &Right) {
    return Left.Score_ > Right.Score_;
  };
  std::stable_sort(Suspicions.begin(), Suspicions.end(), IsWorse);
  for (const Suspicion &Suspect : Suspicions) {
    TargetRecord &Record = Records_.at(Suspect.Target_);
    if (Suspect.Score_ < 1 || !Record.isUsable() || !Record.SuspectSince_ ||
        Now <= *Record.SuspectSince_ ||
        Now - *Record.SuspectSince_ < Thresholds_.ConfirmDelay_)
      continue;
    if (mayEject(FloorTargets_, floorSnapshot(), Suspect.Target_)) {
      eject(Record, Suspect, Now);
      continue;
    }
    if (Record.HeldReported_)
      continue;
    Record.HeldReported_ = true;
    Changes_.push_back(
        makeChange(HealthChangeKind::HeldByFloor, Suspect.Target_));
    Changes_.back().Suspicion_ = Suspect;
  }
}

void TargetHealth::eject(TargetRecord &Record, const Suspicion &Cause,
                         TimePoint Now) {
  if (Now - Record.ReinstatedAt_ >= Thresholds_.BackoffResetAfter_)
    Record.EjectionCount_ = 0;
  Duration Length = Thresholds_.BaseEjection_;
  for (std::uint32_t I = 0;
       I < Record.EjectionCount_ && Length < Thresholds_.MaxEjection_; ++I)
    Length *= 2;
  Length = std::min(Length, Thresholds_.MaxEjection_);
  ++Record.EjectionCount_;
  Record.EjectedAt_ = Now;
  Record.EjectedUntil_ = Now + Length;
  Record.SuspectSince_.reset();
  Record.HeldReported_ = false;
  Record.Score_ = Cause.Score_;
  HealthChange Change = makeChange(HealthChangeKind::Ejected, Cause.Target_);
  Change.Suspicion_ = Cause;
  Change.EjectedFor_ = Length;
  Changes_.push_back(std::move(Change));
}

void TargetHealth::reinstate(const TargetId &Target, TargetRecord &Record,
                             TimePoint Now) {
  Record.EjectedAt_.reset();
  Record.ReinstatedAt_ = Now;
  Record.Score_ = 0;
  Detector_.forgetTarget(Target, Now);
}

void TargetHealth::endExpiredEjections(TimePoint Now) {
  for (std::pair<const TargetId, TargetRecord> &Entry : Records_) {
    TargetRecord &Record = Entry.second;
    if (!Record.EjectedAt_ || Now < Record.EjectedUntil_)
      continue;
    reinstate(Entry.first, Record, Now);
    Record.RampFrom_ = Now;
    Changes_.push_back(makeChange(HealthChangeKind::Reinstated, Entry.first));
  }
}

void TargetHealth::applyFloor(TimePoint Now) {
  for (const TargetId &Target :
       requiredReinstatements(FloorTargets_, floorSnapshot())) {
    TargetRecord &Record = Records_.at(Target);
    reinstate(Target, Record, Now);
    // The capacity is needed now, so the target does not ramp up.
    Record.RampFrom_.reset();
    Changes_.push_back(makeChange(HealthChangeKind::ReinstatedByFloor, Target));
  }
}

std::vector<TargetId> TargetHealth::suspects() const {
  std::vector<TargetId> Suspects;
  for (const std::pair<const TargetId, TargetRecord> &Entry : Records_)
    if (Entry.second.SuspectSince_)
      Suspects.push_back(Entry.first);
  return Suspects;
}

std::vector<TargetId> TargetHealth::leavingTargets() const {
  std::vector<TargetId> Leaving;
  for (const std::pair<const TargetId, TargetRecord> &Entry : Records_)
    if (Entry.second.Draining_)
      Leaving.push_back(Entry.first);
  return Leaving;
}

bool TargetHealth::isServing(const TargetId &Target) const {
  const std::map<TargetId, TargetRecord>::const_iterator It =
      Records_.find(Target);
  return It != Records_.end() && It->second.isServing();
}

bool TargetHealth::isUsable(const TargetId &Target) const {
  const std::map<TargetId, TargetRecord>::const_iterator It =
      Records_.find(Target);
  return It != Records_.end() && It->second.isUsable();
}

double TargetHealth::rampShare(const TargetId &Target, TimePoint Now) const {
  const std::map<TargetId, TargetRecord>::const_iterator It =
      Records_.find(Target);
  if (It == Records_.end() || !It->second.isUsable())
    return 0;
  if (!It->second.RampFrom_)
    return 1;
  const Duration Elapsed = Now - *It->second.RampFrom_;
  const double Fraction = static_cast<double>(Elapsed.count()) /
                          static_cast<double>(RampPeriod.count());
  return std::clamp(Fraction, MinRampShare, 1.0);
}

FloorSnapshot TargetHealth::floorSnapshot() const {
  FloorSnapshot Snapshot;
  for (const std::pair<const TargetId, TargetRecord> &Entry : Records_)
    Snapshot.push_back({Entry.first, Entry.second.OwnSlots_,
                        Entry.second.isServing(),
                        Entry.second.EjectedAt_.has_value(),
                        Entry.second.Score_, Entry.second.TotalSlots_});
  return Snapshot;
}

HealthChange TargetHealth::makeChange(HealthChangeKind Kind,
                                      const TargetId &Target) const {
  const FloorSnapshot Snapshot = floorSnapshot();
  HealthChange Change;
  Change.Kind_ = Kind;
  Change.Target_ = Target;
  Change.UsableSlots_ = usableSlots(Snapshot);
  Change.FloorShareSlots_ = floorShare(FloorTargets_, Snapshot);
  return Change;
}

} // namespace kumquatpitch
