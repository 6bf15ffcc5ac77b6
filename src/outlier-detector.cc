// Collects evidence about targets. Scoring is in outlier-score.cc. See
// outlier-detector.h.

#include "kumquatpitch/outlier-detector.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxCompleted = 64;
constexpr Duration ColdPeriod = std::chrono::seconds(30);

/// Weight of an attempt that was answered after the stall threshold, relative
/// to one that was never answered: a late answer still shows that the target
/// works.
constexpr double LateAnswerWeight = 0.25;

constexpr int MinErrorStatus = 500;

/// Least time between two detections of silent connections to one target.
/// Otherwise a target that stalls some requests would look like one whose
/// connections go silent repeatedly.
constexpr Duration MinSilentInterval = std::chrono::seconds(10);

bool isHang(AttemptEnd End) {
  return End == AttemptEnd::TimedOut || End == AttemptEnd::Broken ||
         End == AttemptEnd::Cancelled;
}

bool isError(const AttemptReport &Report) {
  switch (Report.End_) {
  case AttemptEnd::Answered:
    return Report.HttpStatus_ >= MinErrorStatus;
  case AttemptEnd::ConnectFailed:
  case AttemptEnd::Broken:
  case AttemptEnd::NotDelimited:
  case AttemptEnd::Mismatched:
    return true;
  // Load shedding, cancellation by the caller and the contract's limits are no
  // evidence about the target's health.
  case AttemptEnd::Refused:
  case AttemptEnd::NotWritten:
  case AttemptEnd::TimedOut:
  case AttemptEnd::Cancelled:
  case AttemptEnd::TooLarge:
    return false;
  }
  return false;
}

} // namespace

void OutlierDetector::setTargets(const std::set<TargetId> &Targets,
                                 TimePoint Now) {
  std::erase_if(StatsByTarget_, [&](const auto &Entry) {
    return !Targets.contains(Entry.first);
  });
  for (const TargetId &Target : Targets) {
    const bool IsNew = StatsByTarget_.try_emplace(Target).second;
    if (IsNew && HasTargets_)
      StatsByTarget_.at(Target).ColdUntil_ = Now + ColdPeriod;
  }
  HasTargets_ = HasTargets_ || !Targets.empty();
}

void OutlierDetector::attemptStarted(const TargetId &Target, AttemptId Id,
                                     bool NewConnection, TimePoint Now) {
  if (TargetStats *Stats = find(Target))
    Stats->InFlight_[Id] = InFlightAttempt{Now, NewConnection, false, false};
}

void OutlierDetector::attemptEnded(const TargetId &Target, AttemptId Id,
                                   const AttemptReport &Report, TimePoint Now) {
  TargetStats *Stats = find(Target);
  if (!Stats)
    return;
  const std::map<AttemptId, InFlightAttempt>::iterator It =
      Stats->InFlight_.find(Id);
  if (It == Stats->InFlight_.end())
    return;
  InFlightAttempt Attempt = It->second;
  Attempt.NewConnection_ = Attempt.NewConnection_ || Report.NewConnection_;
  const double Points = completedPoints(*Stats, Attempt, Report, Now);
  const bool MayBeOnSilentConnection =
      mayBeOnSilentConnection(*Stats, Attempt, Now);
  Stats->InFlight_.erase(It);
  if (Report.End_ == AttemptEnd::Answered)
    recordAnswer(*Stats, Attempt, Report, Now);
  const bool Hung = isHang(Report.End_) && Points > 0;
  if (Hung)
    Stats->LastHangAt_ = Now;
  if (Hung && MayBeOnSilentConnection) {
    Stats->LastSilentAt_ = Now;
    return;
  }
  if (Points > 0 || Report.End_ == AttemptEnd::Answered)
    recordCompleted(
        *Stats, {Attempt.Start_, Now, Points, Hung, Attempt.NewConnection_});
  detectSilentConnections(*Stats, Now);
}

double OutlierDetector::completedPoints(const TargetStats &Stats,
                                        const InFlightAttempt &Attempt,
                                        const AttemptReport &Report,
                                        TimePoint Now) const {
  if (isOnSilentConnection(Stats, Attempt.NewConnection_, Attempt.Start_))
    return 0;
  const double Error = isError(Report) ? Thresholds_->ErrorPoints_ : 0;
  const double Hang = hangPoints(Stats, Now - Attempt.Start_, Now);
  if (isHang(Report.End_))
    return std::max(Error, Hang);
  if (Report.End_ == AttemptEnd::Answered && Hang >= 1)
    return std::max(Error, Hang * LateAnswerWeight);
  return Error;
}

void OutlierDetector::recordAnswer(TargetStats &Stats,
                                   const InFlightAttempt &Attempt,
                                   const AttemptReport &Report, TimePoint Now) {
  Stats.LastAnsweredAt_ = Now;
  Stats.LastAnsweredStart_ = std::max(
      Stats.LastAnsweredStart_.value_or(Attempt.Start_), Attempt.Start_);
  if (Attempt.NewConnection_)
    Stats.LastNewConnectionAnsweredStart_ =
        std::max(Stats.LastNewConnectionAnsweredStart_.value_or(Attempt.Start_),
                 Attempt.Start_);
  if (Attempt.StartReset_ || isError(Report))
    return;
  const double Latency =
      std::max(1.0, static_cast<double>(Report.Latency_.count()));
  Stats.MedianLatency_.add(Latency);
  Stats.P95Latency_.add(Latency);
  ServiceMedian_.add(Latency);
  ++Stats.LatencySamples_;
}

void OutlierDetector::recordCompleted(TargetStats &Stats,
                                      const CompletedAttempt &Attempt) {
  Stats.Completed_.push_back(Attempt);
  Stats.BadCompleted_ += Attempt.Points_ > 0 ? 1 : 0;
  if (Stats.Completed_.size() <= MaxCompleted)
    return;
  Stats.BadCompleted_ -= Stats.Completed_.front().Points_ > 0 ? 1 : 0;
  Stats.Completed_.pop_front();
}

void OutlierDetector::probeEnded(const TargetId &Target, bool Ok, TimePoint) {
  if (TargetStats *Stats = find(Target))
    Stats->FailedProbes_ = Ok ? 0 : Stats->FailedProbes_ + 1;
}

void OutlierDetector::peerReport(const HostId &From, const TargetId &Target,
                                 const TargetEvidence &Evidence,
                                 TimePoint Now) {
  if (TargetStats *Stats = find(Target))
    Stats->PeerEvidence_[From] = PeerEvidence{Evidence, Now};
}

void OutlierDetector::clearEvidence(TimePoint Now) {
  for (std::pair<const TargetId, TargetStats> &Entry : StatsByTarget_)
    forgetTarget(Entry.first, Now);
}

void OutlierDetector::forgetTarget(const TargetId &Target, TimePoint Now) {
  TargetStats *Stats = find(Target);
  if (!Stats)
    return;
  Stats->Completed_.clear();
  Stats->BadCompleted_ = 0;
  Stats->LatencySamples_ = 0;
  Stats->MedianLatency_ = QuantileTracker(0.5, 0.1);
  Stats->FailedProbes_ = 0;
  Stats->PeerEvidence_.clear();
  for (std::pair<const AttemptId, InFlightAttempt> &Entry : Stats->InFlight_) {
    Entry.second.Start_ = Now;
    Entry.second.StartReset_ = true;
  }
}

bool OutlierDetector::wantsNewConnection(const TargetId &Target,
                                         TimePoint Now) const {
  const TargetStats *Stats = find(Target);
  if (!Stats)
    return false;
  if (Stats->LastHangAt_ && (!Stats->LastAnsweredAt_ ||
                             *Stats->LastAnsweredAt_ < *Stats->LastHangAt_))
    return true;
  const auto IsStalledOnKept = [&](const auto &Entry) {
    return !Entry.second.NewConnection_ &&
           hangPoints(*Stats, Now - Entry.second.Start_, Now) >= SuspectScore;
  };
  return std::any_of(Stats->InFlight_.begin(), Stats->InFlight_.end(),
                     IsStalledOnKept);
}

void OutlierDetector::detectSilentConnections(TargetStats &Stats,
                                              TimePoint Now) const {
  if (!Stats.LastNewConnectionAnsweredStart_ ||
      (Stats.SilentBefore_ &&
       *Stats.LastNewConnectionAnsweredStart_ <= *Stats.SilentBefore_) ||
      (Stats.LastSilentAt_ && Now - *Stats.LastSilentAt_ < MinSilentInterval))
    return;
  const TimePoint OpenedAt = *Stats.LastNewConnectionAnsweredStart_;
  const auto IsStalledOnOlder = [&](const auto &Entry) {
    return !Entry.second.NewConnection_ && Entry.second.Start_ < OpenedAt &&
           hangPoints(Stats, Now - Entry.second.Start_, Now) >= 1;
  };
  const auto HungOnOlder = [&](const CompletedAttempt &Attempt) {
    return Attempt.Hung_ && !Attempt.NewConnection_ &&
           Attempt.Start_ < OpenedAt;
  };
  const bool HasStalled =
      std::any_of(Stats.InFlight_.begin(), Stats.InFlight_.end(),
                  IsStalledOnOlder) ||
      std::any_of(Stats.Completed_.begin(), Stats.Completed_.end(),
                  HungOnOlder);
  if (!HasStalled)
    return;
  Stats.SilentBefore_ = OpenedAt;
  Stats.LastSilentAt_ = Now;
  Stats.SilentReported_ = false;
  for (CompletedAttempt &Attempt : Stats.Completed_) {
    if (!HungOnOlder(Attempt))
      continue;
    Stats.BadCompleted_ -= Attempt.Points_ > 0 ? 1 : 0;
    Attempt.Points_ = 0;
    Attempt.Hung_ = false;
  }
}

bool OutlierDetector::isOnSilentConnection(const TargetStats &Stats,
                                           bool NewConnection,
                                           TimePoint Start) const {
  return Stats.SilentBefore_ && !NewConnection && Start < *Stats.SilentBefore_;
}

bool OutlierDetector::mayBeOnSilentConnection(const TargetStats &Stats,
                                              const InFlightAttempt &Attempt,
                                              TimePoint Now) const {
  if (Attempt.NewConnection_ ||
      (Stats.LastSilentAt_ && Now - *Stats.LastSilentAt_ < MinSilentInterval))
    return false;
  return hasAnsweredPeers(Stats, Attempt.Start_, Now);
}

OutlierDetector::TargetStats *OutlierDetector::find(const TargetId &Target) {
  const std::map<TargetId, TargetStats>::iterator It =
      StatsByTarget_.find(Target);
  return It == StatsByTarget_.end() ? nullptr : &It->second;
}

const OutlierDetector::TargetStats *
OutlierDetector::find(const TargetId &Target) const {
  const std::map<TargetId, TargetStats>::const_iterator It =
      StatsByTarget_.find(Target);
  return It == StatsByTarget_.end() ? nullptr : &It->second;
}

} // namespace kumquatpitch
