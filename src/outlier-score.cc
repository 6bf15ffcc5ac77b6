// Scores the evidence that outlier-detector.cc collects. See
// outlier-detector.h.

#include "kumquatpitch/outlier-detector.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

constexpr Duration PeerEvidenceAge = std::chrono::seconds(2);

/// A cold target may take this many times longer.
constexpr double ColdFactor = 3;

/// Waits below this part of the stall age are no evidence.
constexpr double LeastPoints = 0.4;

/// A request that hangs here while the target answers peers counts for this
/// part: the cause may be a long request or one-way loss.
constexpr double AnswersPeersPart = 1.0 / 3;

/// Requests on silent connections are broken off at this multiple of the stall
/// age, since a long request on a good connection looks alike.
constexpr double SilentCloseFactor = 2;

/// Answers before a target's latency enters the comparison.
constexpr std::uint32_t LeastSamples = 5;

/// A target is an outlier by errors if its bad fraction is this many times that
/// of its better siblings.
constexpr double SiblingFactor = 2;

constexpr double FailedProbePoints = 0.25;
constexpr std::uint32_t LeastFailedProbes = 2;

/// Lower of the two middle values; 0 without values.
double lowerMedian(std::vector<double> Values) {
  if (Values.empty())
    return 0;
  const std::vector<double>::iterator Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

/// Lower quartile of all values but the one at `Own`.
double siblingQuartile(const std::vector<double> &Values, std::size_t Own) {
  std::vector<double> Others = Values;
  Others.erase(Others.begin() + static_cast<std::ptrdiff_t>(Own));
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
  for (std::pair<const TargetId, Record> &Each : Records_) {
    expire(Each.second, Now);
    findSilent(Each.second, Now);
    if (std::optional<SilentConnections> Silent =
            takeSilent(Each.first, Each.second, Now))
      Findings.Silent_.push_back(std::move(*Silent));
    BadFractions.push_back(figures(Each.second, true, Now).badFraction());
  }
  std::size_t Index = 0;
  for (const std::pair<const TargetId, Record> &Each : Records_) {
    const double Siblings = siblingQuartile(BadFractions, Index++);
    if (const std::optional<Suspicion> Found =
            suspicion(Each.first, Each.second, Siblings, Now))
      Findings.Suspicions_.push_back(*Found);
  }
  return Findings;
}

void OutlierDetector::updateReferences() {
  std::vector<double> Typical;
  std::vector<double> High;
  for (const std::pair<const TargetId, Record> &Each : Records_) {
    if (Each.second.Samples_ < LeastSamples)
      continue;
    Typical.push_back(Each.second.Typical_.value());
    High.push_back(Each.second.High_.value());
  }
  if (Typical.empty())
    return;
  SiblingTypical_ = lowerMedian(std::move(Typical));
  SiblingHigh_ = lowerMedian(std::move(High));
}

void OutlierDetector::expire(Record &Of, TimePoint Now) const {
  while (!Of.Ended_.empty() &&
         Now - Of.Ended_.front().At_ > Thresholds_->Window_) {
    Of.BadEnded_ -= Of.Ended_.front().Points_ > 0 ? 1 : 0;
    Of.Ended_.pop_front();
  }
  std::erase_if(Of.Peers_, [&](const auto &Each) {
    return Now - Each.second.At_ > PeerEvidenceAge;
  });
}

std::optional<SilentConnections>
OutlierDetector::takeSilent(const TargetId &Target, Record &Of,
                            TimePoint Now) const {
  if (!Of.SilentBefore_)
    return std::nullopt;
  SilentConnections Silent{Target, *Of.SilentBefore_, {}};
  const Duration CloseAge = std::chrono::duration_cast<Duration>(
      stallAge(Of, Now) * SilentCloseFactor);
  for (std::pair<const AttemptId, Waiting> &Each : Of.Waiting_) {
    Waiting &Request = Each.second;
    if (Request.Closing_ || Now - Request.Start_ < CloseAge ||
        !isOnSilentConnection(Of, Request.NewConnection_, Request.Start_))
      continue;
    Request.Closing_ = true;
    Silent.Attempts_.push_back(Each.first);
  }
  if (Silent.Attempts_.empty() && Of.SilentReported_)
    return std::nullopt;
  Of.SilentReported_ = true;
  return Silent;
}

Duration OutlierDetector::stallAge(const Record &Of, TimePoint Now) const {
  const double Usual = Thresholds_->StallFactor_ * SiblingHigh_;
  const double Least = static_cast<double>(Thresholds_->StallFloor_.count());
  const double Cold = Now < Of.ColdUntil_ ? ColdFactor : 1;
  return Duration(static_cast<Duration::rep>(std::max(Usual, Least) * Cold));
}

double OutlierDetector::hangPoints(const Record &Of, Duration Wait,
                                   TimePoint Now) const {
  const double Stall = static_cast<double>(stallAge(Of, Now).count());
  const double Points = static_cast<double>(Wait.count()) / Stall;
  if (Points < LeastPoints)
    return 0;
  return std::min(Points, Thresholds_->MaxRequestPoints_);
}

double OutlierDetector::waitingPoints(const Record &Of, const Waiting &Request,
                                      bool Explain, TimePoint Now) const {
  const double Points = hangPoints(Of, Now - Request.Start_, Now);
  if (Points == 0 ||
      isOnSilentConnection(Of, Request.NewConnection_, Request.Start_))
    return 0;
  if (!Explain || !answersPeers(Of, Request.Start_, Now))
    return Points;
  return mayBeSilent(Of, Request, Now) ? 0 : Points * AnswersPeersPart;
}

bool OutlierDetector::answersPeers(const Record &Of, TimePoint After,
                                   TimePoint Now) const {
  // A request that a peer started within the usual time of ours may have been
  // answered before the target stalled.
  const Duration Margin(static_cast<Duration::rep>(SiblingHigh_));
  const auto WasAnswered = [&](const auto &Each) {
    const TargetEvidence &Evidence = Each.second.Evidence_;
    return Now - Each.second.At_ <= PeerEvidenceAge &&
           Evidence.OwnScore_ < SuspectScore && Evidence.SinceAnsweredStart_ &&
           Each.second.At_ - *Evidence.SinceAnsweredStart_ > After + Margin;
  };
  return std::any_of(Of.Peers_.begin(), Of.Peers_.end(), WasAnswered);
}

OutlierDetector::Figures
OutlierDetector::figures(const Record &Of, bool Explain, TimePoint Now) const {
  Figures Found;
  std::optional<TimePoint> FirstBad;
  double ErrorPoints = 0;
  const auto NoteBad = [&](double Points, TimePoint Start) {
    Found.Points_ += Points;
    ++Found.Bad_;
    FirstBad = std::min(FirstBad.value_or(Start), Start);
  };
  for (const std::pair<const AttemptId, Waiting> &Each : Of.Waiting_) {
    const Waiting &Request = Each.second;
    const double Points = waitingPoints(Of, Request, Explain, Now);
    if (Points == 0)
      continue;
    NoteBad(Points, Request.Start_);
    Found.OldestWaiting_ = std::max(Found.OldestWaiting_, Now - Request.Start_);
  }
  if (Of.BadEnded_ > 0)
    for (const Ended &Each : Of.Ended_)
      if (Each.Points_ > 0) {
        NoteBad(Each.Points_, Each.Start_);
        ErrorPoints += Each.Hang_ ? 0 : Each.Points_;
      }
  if (!FirstBad)
    return Found;
  const auto IsGood = [&](const Ended &Each) {
    return Each.Points_ == 0 && Each.Start_ >= *FirstBad;
  };
  Found.Good_ = std::count_if(Of.Ended_.begin(), Of.Ended_.end(), IsGood);
  Found.ErrorShare_ = ErrorPoints / Found.Points_;
  if (Of.FailedProbes_ >= LeastFailedProbes)
    Found.Points_ += FailedProbePoints * Thresholds_->RequiredPoints_;
  return Found;
}

double OutlierDetector::ownScore(const Record &Of, const Figures &Own) const {
  const bool IsFrequent = Own.badFraction() >= Thresholds_->MinBadFraction_;
  const double Points =
      IsFrequent ? Own.Points_ / Thresholds_->RequiredPoints_ : 0;
  return std::max(Points, slowScore(Of));
}

double OutlierDetector::latencyRatio(const Record &Of) const {
  const double Usual = std::max(Usual_.value(), SiblingTypical_);
  return Usual > 0 ? Of.Typical_.value() / Usual : 0;
}

double OutlierDetector::slowScore(const Record &Of) const {
  if (Of.Samples_ < Thresholds_->SlowSamples_)
    return 0;
  const double Score = latencyRatio(Of) / Thresholds_->SlowFactor_;
  return Score >= SuspectScore ? Score : 0;
}

double OutlierDetector::peerScore(const Record &Of, TimePoint Now) const {
  double Sum = 0;
  for (const std::pair<const HostId, PeerEvidence> &Each : Of.Peers_)
    if (Now - Each.second.At_ <= PeerEvidenceAge)
      Sum += Each.second.Evidence_.OwnScore_;
  return Sum;
}

std::optional<Suspicion> OutlierDetector::suspicion(const TargetId &Target,
                                                    const Record &Of,
                                                    double SiblingBadFraction,
                                                    TimePoint Now) const {
  const Figures Own = figures(Of, true, Now);
  const double Slow = slowScore(Of);
  Suspicion Found;
  Found.OwnScore_ = ownScore(Of, figures(Of, false, Now));
  if (Found.OwnScore_ <= 0)
    return std::nullopt;
  const bool IsOutlier =
      Own.badFraction() >= SiblingFactor * SiblingBadFraction;
  const double Score = IsOutlier ? ownScore(Of, Own) : Slow;
  const double Peers = peerScore(Of, Now);
  Found.Target_ = Target;
  Found.Score_ = Score + std::min(Peers, Score * Thresholds_->PeerGain_);
  Found.Cause_ = Slow >= Score            ? SuspicionCause::Slow
                 : Own.ErrorShare_ >= 0.5 ? SuspicionCause::Errors
                                          : SuspicionCause::Stalled;
  Found.OldestWaiting_ = Own.OldestWaiting_;
  Found.Bad_ = Own.Bad_;
  Found.Good_ = Own.Good_;
  Found.PeerScore_ = Peers;
  Found.LatencyRatio_ = latencyRatio(Of);
  return Found;
}

std::map<TargetId, TargetEvidence>
OutlierDetector::evidenceToReport(TimePoint Now) const {
  std::map<TargetId, TargetEvidence> Reports;
  for (const std::pair<const TargetId, Record> &Each : Records_) {
    const Record &Of = Each.second;
    const auto Hangs = [&](const auto &Request) {
      return hangPoints(Of, Now - Request.second.Start_, Now) > 0;
    };
    const auto Asks = [&](const auto &Peer) {
      return Peer.second.Evidence_.Suspects_ &&
             Now - Peer.second.At_ <= PeerEvidenceAge;
    };
    const double Score = ownScore(Of, figures(Of, true, Now));
    const bool Suspects =
        Score > 0 || std::any_of(Of.Waiting_.begin(), Of.Waiting_.end(), Hangs);
    if (!Suspects && std::none_of(Of.Peers_.begin(), Of.Peers_.end(), Asks))
      continue;
    TargetEvidence Report{Score, Suspects, std::nullopt};
    if (Of.LastAnsweredStart_)
      Report.SinceAnsweredStart_ = Now - *Of.LastAnsweredStart_;
    Reports.emplace(Each.first, Report);
  }
  return Reports;
}

} // namespace kumquatpitch
