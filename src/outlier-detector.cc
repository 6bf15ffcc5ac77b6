// Collects evidence about targets. Scoring is in outlier-score.cc. See
// outlier-detector.h.

#include "kumquatpitch/outlier-detector.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxEnded = 64;
constexpr Duration ColdPeriod = std::chrono::seconds(30);

/// An answer that came after the stall age proves that the target works; it
/// leaves this part of the points of a request that never ended.
constexpr double LateAnswerPart = 0.25;

constexpr int LeastErrorStatus = 500;

/// Two verdicts on silent connections of one target are at least this far
/// apart. Otherwise a target that stalls some requests would be taken for one
/// whose connections go silent again and again.
constexpr Duration SilentInterval = std::chrono::seconds(10);

bool isHang(AttemptEnd End) {
  return End == AttemptEnd::TimedOut || End == AttemptEnd::Broken ||
         End == AttemptEnd::Cancelled;
}

bool isError(const AttemptReport &Report) {
  switch (Report.End_) {
  case AttemptEnd::Answered:
    return Report.HttpStatus_ >= LeastErrorStatus;
  case AttemptEnd::ConnectFailed:
  case AttemptEnd::Broken:
  case AttemptEnd::NotDelimited:
  case AttemptEnd::Mismatched:
    return true;
  // Shedding, the caller's own doing and the contract's limits say nothing
  // about the target's health.
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
  std::erase_if(Records_, [&](const auto &Each) {
    return !Targets.contains(Each.first);
  });
  for (const TargetId &Each : Targets) {
    const bool IsNew = Records_.try_emplace(Each).second;
    if (IsNew && HasTargets_)
      Records_.at(Each).ColdUntil_ = Now + ColdPeriod;
  }
  HasTargets_ = HasTargets_ || !Targets.empty();
}

void OutlierDetector::attemptStarted(const TargetId &Target, AttemptId Attempt,
                                     bool NewConnection, TimePoint Now) {
  if (Record *Of = find(Target))
    Of->Waiting_[Attempt] = Waiting{Now, NewConnection, false, false};
}

void OutlierDetector::attemptEnded(const TargetId &Target, AttemptId Attempt,
                                   const AttemptReport &Report, TimePoint Now) {
  Record *Of = find(Target);
  if (!Of)
    return;
  const std::map<AttemptId, Waiting>::iterator It = Of->Waiting_.find(Attempt);
  if (It == Of->Waiting_.end())
    return;
  Waiting Request = It->second;
  Request.NewConnection_ = Request.NewConnection_ || Report.NewConnection_;
  const double Points = endedPoints(*Of, Request, Report, Now);
  const bool MayBeSilent = mayBeSilent(*Of, Request, Now);
  Of->Waiting_.erase(It);
  if (Report.End_ == AttemptEnd::Answered)
    noteAnswer(*Of, Request, Report, Now);
  const bool Hung = isHang(Report.End_) && Points > 0;
  if (Hung)
    Of->LastHangAt_ = Now;
  if (Hung && MayBeSilent) {
    Of->LastSilentAt_ = Now;
    return;
  }
  if (Points > 0 || Report.End_ == AttemptEnd::Answered)
    noteEnded(*Of, {Request.Start_, Now, Points, Hung, Request.NewConnection_});
  findSilent(*Of, Now);
}

double OutlierDetector::endedPoints(const Record &Of, const Waiting &Request,
                                    const AttemptReport &Report,
                                    TimePoint Now) const {
  if (isOnSilentConnection(Of, Request.NewConnection_, Request.Start_))
    return 0;
  const double Error = isError(Report) ? Thresholds_->ErrorPoints_ : 0;
  const double Hang = hangPoints(Of, Now - Request.Start_, Now);
  if (isHang(Report.End_))
    return std::max(Error, Hang);
  if (Report.End_ == AttemptEnd::Answered && Hang >= 1)
    return std::max(Error, Hang * LateAnswerPart);
  return Error;
}

void OutlierDetector::noteAnswer(Record &Of, const Waiting &Request,
                                 const AttemptReport &Report, TimePoint Now) {
  Of.LastAnsweredAt_ = Now;
  Of.LastAnsweredStart_ =
      std::max(Of.LastAnsweredStart_.value_or(Request.Start_), Request.Start_);
  if (Request.NewConnection_)
    Of.LastNewAnsweredStart_ = std::max(
        Of.LastNewAnsweredStart_.value_or(Request.Start_), Request.Start_);
  if (Request.Cleared_ || isError(Report))
    return;
  const double Latency =
      std::max(1.0, static_cast<double>(Report.Latency_.count()));
  Of.Typical_.add(Latency);
  Of.High_.add(Latency);
  Usual_.add(Latency);
  ++Of.Samples_;
}

void OutlierDetector::noteEnded(Record &Of, const Ended &Entry) {
  Of.Ended_.push_back(Entry);
  Of.BadEnded_ += Entry.Points_ > 0 ? 1 : 0;
  if (Of.Ended_.size() <= MaxEnded)
    return;
  Of.BadEnded_ -= Of.Ended_.front().Points_ > 0 ? 1 : 0;
  Of.Ended_.pop_front();
}

void OutlierDetector::probeEnded(const TargetId &Target, bool Ok, TimePoint) {
  if (Record *Of = find(Target))
    Of->FailedProbes_ = Ok ? 0 : Of->FailedProbes_ + 1;
}

void OutlierDetector::peerReport(const HostId &From, const TargetId &Target,
                                 const TargetEvidence &Evidence,
                                 TimePoint Now) {
  if (Record *Of = find(Target))
    Of->Peers_[From] = PeerEvidence{Evidence, Now};
}

void OutlierDetector::clearEvidence(TimePoint Now) {
  for (std::pair<const TargetId, Record> &Each : Records_)
    forgetTarget(Each.first, Now);
}

void OutlierDetector::forgetTarget(const TargetId &Target, TimePoint Now) {
  Record *Of = find(Target);
  if (!Of)
    return;
  Of->Ended_.clear();
  Of->BadEnded_ = 0;
  Of->Samples_ = 0;
  Of->Typical_ = QuantileTracker(0.5, 0.1);
  Of->FailedProbes_ = 0;
  Of->Peers_.clear();
  for (std::pair<const AttemptId, Waiting> &Each : Of->Waiting_) {
    Each.second.Start_ = Now;
    Each.second.Cleared_ = true;
  }
}

bool OutlierDetector::wantsNewConnection(const TargetId &Target,
                                         TimePoint Now) const {
  const Record *Of = find(Target);
  if (!Of)
    return false;
  if (Of->LastHangAt_ &&
      (!Of->LastAnsweredAt_ || *Of->LastAnsweredAt_ < *Of->LastHangAt_))
    return true;
  const auto HangsOnKept = [&](const auto &Each) {
    return !Each.second.NewConnection_ &&
           hangPoints(*Of, Now - Each.second.Start_, Now) >= SuspectScore;
  };
  return std::any_of(Of->Waiting_.begin(), Of->Waiting_.end(), HangsOnKept);
}

void OutlierDetector::findSilent(Record &Of, TimePoint Now) const {
  if (!Of.LastNewAnsweredStart_ ||
      (Of.SilentBefore_ && *Of.LastNewAnsweredStart_ <= *Of.SilentBefore_) ||
      (Of.LastSilentAt_ && Now - *Of.LastSilentAt_ < SilentInterval))
    return;
  const TimePoint Opened = *Of.LastNewAnsweredStart_;
  const auto WaitsOnOlder = [&](const auto &Each) {
    return !Each.second.NewConnection_ && Each.second.Start_ < Opened &&
           hangPoints(Of, Now - Each.second.Start_, Now) >= 1;
  };
  const auto HungOnOlder = [&](const Ended &Each) {
    return Each.Hang_ && !Each.NewConnection_ && Each.Start_ < Opened;
  };
  const bool Found =
      std::any_of(Of.Waiting_.begin(), Of.Waiting_.end(), WaitsOnOlder) ||
      std::any_of(Of.Ended_.begin(), Of.Ended_.end(), HungOnOlder);
  if (!Found)
    return;
  Of.SilentBefore_ = Opened;
  Of.LastSilentAt_ = Now;
  Of.SilentReported_ = false;
  for (Ended &Each : Of.Ended_) {
    if (!HungOnOlder(Each))
      continue;
    Of.BadEnded_ -= Each.Points_ > 0 ? 1 : 0;
    Each.Points_ = 0;
    Each.Hang_ = false;
  }
}

bool OutlierDetector::isOnSilentConnection(const Record &Of, bool NewConnection,
                                           TimePoint Start) const {
  return Of.SilentBefore_ && !NewConnection && Start < *Of.SilentBefore_;
}

bool OutlierDetector::mayBeSilent(const Record &Of, const Waiting &Request,
                                  TimePoint Now) const {
  if (Request.NewConnection_ ||
      (Of.LastSilentAt_ && Now - *Of.LastSilentAt_ < SilentInterval))
    return false;
  return answersPeers(Of, Request.Start_, Now);
}

OutlierDetector::Record *OutlierDetector::find(const TargetId &Target) {
  const std::map<TargetId, Record>::iterator It = Records_.find(Target);
  return It == Records_.end() ? nullptr : &It->second;
}

const OutlierDetector::Record *
OutlierDetector::find(const TargetId &Target) const {
  const std::map<TargetId, Record>::const_iterator It = Records_.find(Target);
  return It == Records_.end() ? nullptr : &It->second;
}

} // namespace kumquatpitch
