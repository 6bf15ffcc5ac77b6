// Scores the evidence that outlier-detector.cc collects. See
// outlier-detector.h.

#include "kumquatpitch/outlier-detector.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

constexpr Duration MaxPeerEvidenceAge = std::chrono::seconds(2);

/// The stall threshold of a cold target is longer by this factor.
constexpr double ColdFactor = 3;

/// An attempt in flight for less than this fraction of the stall threshold is
/// no evidence.
constexpr double MinPoints = 0.4;

/// Weight of an attempt that hangs on this host while the target answers peers:
/// the cause may be a long request or one-way packet loss.
constexpr double AnswersPeersWeight = 1.0 / 3;

/// Attempts on silent connections are aborted at this multiple of the stall
/// threshold, since a long request on a good connection looks the same.
constexpr double SilentCloseFactor = 2;

/// Fewest answers from which a target's latency is compared with its siblings'.
constexpr std::uint32_t MinSamples = 5;

/// Hangs and errors count against a target only if its bad fraction is at least
/// this many times the lower quartile of its siblings' bad fractions.
constexpr double SiblingFactor = 2;

constexpr double FailedProbePoints = 0.25;
constexpr std::uint32_t MinFailedProbes = 2;

/// Lower of the two middle values; 0 without values.
double lowerMedian(std::vector<double> Values) {
  if (Values.empty())
    return 0;
  const std::vector<double>::iterator Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

/// Lower quartile of all values except the one at `OwnIndex`.
double siblingQuartile(const std::vector<double> &Values,
                       std::size_t OwnIndex) {
  std::vector<double> Others = Values;
  Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(OwnIndex));
  if (Others.empty())
    return 0;
  const std::vector<double>::iterator Quartile =
      Others.begin() + static_cast<std::ptrdiff_t>((Others.size() - 1) / 4);
  std::nth_element(Others.begin(), Quartile, Others.end());
  return *Quartile;
}

} // namespace

DetectorFindings OutlierDetector::evaluate(TimePoint Now) {
  updateReferences();
  DetectorFindings Findings;
  std::vector<double> BadFractions;
  for (std::pair<const TargetId, TargetStats> &Entry : StatsByTarget_) {
    expire(Entry.second, Now);
    detectSilentConnections(Entry.second, Now);
    if (std::optional<SilentConnections> Silent =
            collectSilentConnections(Entry.first, Entry.second, Now))
      Findings.Silent_.push_back(std::move(*Silent));
    BadFractions.push_back(
        summarizeEvidence(Entry.second, true, Now).badFraction());
  }
  std::size_t Index = 0;
  for (const std::pair<const TargetId, TargetStats> &Entry : StatsByTarget_) {
    const double SiblingFraction = siblingQuartile(BadFractions, Index++);
    if (const std::optional<Suspicion> Suspect =
            suspicion(Entry.first, Entry.second, SiblingFraction, Now))
      Findings.Suspicions_.push_back(*Suspect);
  }
  return Findings;
}

void OutlierDetector::updateReferences() {
  std::vector<double> Medians;
  std::vector<double> P95s;
  for (const std::pair<const TargetId, TargetStats> &Entry : StatsByTarget_) {
    if (Entry.second.LatencySamples_ < MinSamples)
      continue;
    Medians.push_back(Entry.second.MedianLatency_.value());
    P95s.push_back(Entry.second.P95Latency_.value());
  }
  if (Medians.empty())
    return;
  SiblingMedian_ = lowerMedian(std::move(Medians));
  SiblingP95_ = lowerMedian(std::move(P95s));
}

void OutlierDetector::expire(TargetStats &Stats, TimePoint Now) const {
  while (!Stats.Completed_.empty() && Now - Stats.Completed_.front().EndedAt_ >
                                          Thresholds_->EvidenceWindow_) {
    Stats.BadCompleted_ -= Stats.Completed_.front().Points_ > 0 ? 1 : 0;
    Stats.Completed_.pop_front();
  }
  std::erase_if(Stats.PeerEvidence_, [&](const auto &Entry) {
    return Now - Entry.second.ReceivedAt_ > MaxPeerEvidenceAge;
  });
}

std::optional<SilentConnections> OutlierDetector::collectSilentConnections(
    const TargetId &Target, TargetStats &Stats, TimePoint Now) const {
  if (!Stats.SilentBefore_)
    return std::nullopt;
  SilentConnections Silent{Target, *Stats.SilentBefore_, {}};
  const Duration CloseAge = std::chrono::duration_cast<Duration>(
      stallThreshold(Stats, Now) * SilentCloseFactor);
  for (std::pair<const AttemptId, InFlightAttempt> &Entry : Stats.InFlight_) {
    InFlightAttempt &Attempt = Entry.second;
    if (Attempt.ReportedSilent_ || Now - Attempt.Start_ < CloseAge ||
        !isOnSilentConnection(Stats, Attempt.NewConnection_, Attempt.Start_))
      continue;
    Attempt.ReportedSilent_ = true;
    Silent.Attempts_.push_back(Entry.first);
  }
  if (Silent.Attempts_.empty() && Stats.SilentReported_)
    return std::nullopt;
  Stats.SilentReported_ = true;
  return Silent;
}

Duration OutlierDetector::stallThreshold(const TargetStats &Stats,
                                         TimePoint Now) const {
  const double Scaled = Thresholds_->StallFactor_ * SiblingP95_;
  const double Minimum =
      static_cast<double>(Thresholds_->MinStallThreshold_.count());
  const double ColdScale = Now < Stats.ColdUntil_ ? ColdFactor : 1;
  return Duration(
      static_cast<Duration::rep>(std::max(Scaled, Minimum) * ColdScale));
}

double OutlierDetector::hangPoints(const TargetStats &Stats, Duration Elapsed,
                                   TimePoint Now) const {
  const double Threshold =
      static_cast<double>(stallThreshold(Stats, Now).count());
  const double Points = static_cast<double>(Elapsed.count()) / Threshold;
  if (Points < MinPoints)
    return 0;
  return std::min(Points, Thresholds_->MaxRequestPoints_);
}

double OutlierDetector::inFlightPoints(const TargetStats &Stats,
                                       const InFlightAttempt &Attempt,
                                       bool DiscountExplained,
                                       TimePoint Now) const {
  const double Points = hangPoints(Stats, Now - Attempt.Start_, Now);
  if (Points == 0 ||
      isOnSilentConnection(Stats, Attempt.NewConnection_, Attempt.Start_))
    return 0;
  if (!DiscountExplained || !hasAnsweredPeers(Stats, Attempt.Start_, Now))
    return Points;
  return mayBeOnSilentConnection(Stats, Attempt, Now)
             ? 0
             : Points * AnswersPeersWeight;
}

bool OutlierDetector::hasAnsweredPeers(const TargetStats &Stats,
                                       TimePoint After, TimePoint Now) const {
  // A peer's attempt counts only if it started later than ours by more than the
  // usual 95th percentile latency. An earlier one may have been answered before
  // the target stalled.
  const Duration Margin(static_cast<Duration::rep>(SiblingP95_));
  const auto WasAnswered = [&](const auto &Entry) {
    const TargetEvidence &Evidence = Entry.second.Evidence_;
    return Now - Entry.second.ReceivedAt_ <= MaxPeerEvidenceAge &&
           Evidence.LocalScore_ < SuspectScore &&
           Evidence.SinceAnsweredStart_ &&
           Entry.second.ReceivedAt_ - *Evidence.SinceAnsweredStart_ >
               After + Margin;
  };
  return std::any_of(Stats.PeerEvidence_.begin(), Stats.PeerEvidence_.end(),
                     WasAnswered);
}

OutlierDetector::EvidenceSummary OutlierDetector::summarizeEvidence(
    const TargetStats &Stats, bool DiscountExplained, TimePoint Now) const {
  EvidenceSummary Summary;
  std::optional<TimePoint> FirstBad;
  double ErrorPoints = 0;
  const auto AddBad = [&](double Points, TimePoint Start) {
    Summary.Points_ += Points;
    ++Summary.Bad_;
    FirstBad = std::min(FirstBad.value_or(Start), Start);
  };
  for (const std::pair<const AttemptId, InFlightAttempt> &Entry :
       Stats.InFlight_) {
    const InFlightAttempt &Attempt = Entry.second;
    const double Points =
        inFlightPoints(Stats, Attempt, DiscountExplained, Now);
    if (Points == 0)
      continue;
    AddBad(Points, Attempt.Start_);
    Summary.OldestInFlight_ =
        std::max(Summary.OldestInFlight_, Now - Attempt.Start_);
  }
  if (Stats.BadCompleted_ > 0)
    for (const CompletedAttempt &Attempt : Stats.Completed_)
      if (Attempt.Points_ > 0) {
        AddBad(Attempt.Points_, Attempt.Start_);
        ErrorPoints += Attempt.Hung_ ? 0 : Attempt.Points_;
      }
  if (!FirstBad)
    return Summary;
  const auto IsGood = [&](const CompletedAttempt &Attempt) {
    return Attempt.Points_ == 0 && Attempt.Start_ >= *FirstBad;
  };
  Summary.Good_ =
      std::count_if(Stats.Completed_.begin(), Stats.Completed_.end(), IsGood);
  Summary.ErrorShare_ = ErrorPoints / Summary.Points_;
  if (Stats.FailedProbes_ >= MinFailedProbes)
    Summary.Points_ += FailedProbePoints * Thresholds_->RequiredPoints_;
  return Summary;
}

double OutlierDetector::localScore(const TargetStats &Stats,
                                   const EvidenceSummary &Evidence) const {
  const bool IsFrequent =
      Evidence.badFraction() >= Thresholds_->MinBadFraction_;
  const double Points =
      IsFrequent ? Evidence.Points_ / Thresholds_->RequiredPoints_ : 0;
  return std::max(Points, slowScore(Stats));
}

double OutlierDetector::latencyRatio(const TargetStats &Stats) const {
  const double Reference = std::max(ServiceMedian_.value(), SiblingMedian_);
  return Reference > 0 ? Stats.MedianLatency_.value() / Reference : 0;
}

double OutlierDetector::slowScore(const TargetStats &Stats) const {
  if (Stats.LatencySamples_ < Thresholds_->MinLatencySamples_)
    return 0;
  const double Score = latencyRatio(Stats) / Thresholds_->SlowFactor_;
  return Score >= SuspectScore ? Score : 0;
}

double OutlierDetector::peerScore(const TargetStats &Stats,
                                  TimePoint Now) const {
  double Sum = 0;
  for (const std::pair<const HostId, PeerEvidence> &Entry : Stats.PeerEvidence_)
    if (Now - Entry.second.ReceivedAt_ <= MaxPeerEvidenceAge)
      Sum += Entry.second.Evidence_.LocalScore_;
  return Sum;
}

std::optional<Suspicion> OutlierDetector::suspicion(const TargetId &Target,
                                                    const TargetStats &Stats,
                                                    double SiblingBadFraction,
                                                    TimePoint Now) const {
  const EvidenceSummary Evidence = summarizeEvidence(Stats, true, Now);
  const double Slow = slowScore(Stats);
  Suspicion Result;
  Result.UndiscountedScore_ =
      localScore(Stats, summarizeEvidence(Stats, false, Now));
  if (Result.UndiscountedScore_ <= 0)
    return std::nullopt;
  const bool IsOutlier =
      Evidence.badFraction() >= SiblingFactor * SiblingBadFraction;
  const double Score = IsOutlier ? localScore(Stats, Evidence) : Slow;
  const double PeerSum = peerScore(Stats, Now);
  Result.Target_ = Target;
  Result.Score_ = Score + std::min(PeerSum, Score * Thresholds_->PeerGain_);
  Result.Cause_ = Slow >= Score                 ? SuspicionCause::Slow
                  : Evidence.ErrorShare_ >= 0.5 ? SuspicionCause::Errors
                                                : SuspicionCause::Stalled;
  Result.OldestInFlight_ = Evidence.OldestInFlight_;
  Result.Bad_ = Evidence.Bad_;
  Result.Good_ = Evidence.Good_;
  Result.PeerScore_ = PeerSum;
  Result.LatencyRatio_ = latencyRatio(Stats);
  return Result;
}

std::map<TargetId, TargetEvidence>
OutlierDetector::evidenceToReport(TimePoint Now) const {
  std::map<TargetId, TargetEvidence> Reports;
  for (const std::pair<const TargetId, TargetStats> &Entry : StatsByTarget_) {
    const TargetStats &Stats = Entry.second;
    const auto IsStalling = [&](const auto &Attempt) {
      return hangPoints(Stats, Now - Attempt.second.Start_, Now) > 0;
    };
    const auto IsSuspectedByPeer = [&](const auto &Peer) {
      return Peer.second.Evidence_.Suspects_ &&
             Now - Peer.second.ReceivedAt_ <= MaxPeerEvidenceAge;
    };
    const double Score = localScore(Stats, summarizeEvidence(Stats, true, Now));
    const bool Suspects =
        Score > 0 ||
        std::any_of(Stats.InFlight_.begin(), Stats.InFlight_.end(), IsStalling);
    if (!Suspects && std::none_of(Stats.PeerEvidence_.begin(),
                                  Stats.PeerEvidence_.end(), IsSuspectedByPeer))
      continue;
    TargetEvidence Report{Score, Suspects, std::nullopt};
    if (Stats.LastAnsweredStart_)
      Report.SinceAnsweredStart_ = Now - *Stats.LastAnsweredStart_;
    Reports.emplace(Entry.first, Report);
  }
  return Reports;
}

} // namespace kumquatpitch
