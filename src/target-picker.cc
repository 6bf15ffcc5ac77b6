// Power of two random choices, limited by slots and ramps. See target-picker.h.

#include "kumquatpitch/target-picker.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Weight of a new sample in the moving average of latency.
constexpr double LatencyWeight = 0.2;

/// Half-life of a latency's distance to the median, and of the share of
/// failures. The decay lets a target that was slow be tried again.
constexpr Duration LatencyHalfLife = std::chrono::seconds(5);

/// Age at which the weight of a load report has fallen to one half.
constexpr Duration LoadHalfLife = std::chrono::milliseconds(500);

/// Weight of a new sample in the moving share of failures.
constexpr double FailureWeight = 0.2;

/// Added cost of a target at which all attempts fail, as a multiple of its
/// latency, so that a target that fails fast does not look fast.
constexpr double FailurePenalty = 9;

/// Share of work of a target whose ramp has just begun.
constexpr double InitialRampShare = 0.02;

constexpr int FirstServerError = 500;
constexpr double FullLoad = 100;

double decayFactor(Duration Age, Duration HalfLife) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(HalfLife.count()));
}

double coldShare(const std::optional<TimePoint> &Since, TimePoint Now) {
  if (!Since)
    return 1;
  return static_cast<double>((Now - *Since).count()) /
         static_cast<double>(ColdRampPeriod.count());
}

bool isFailure(const AttemptReport &Report) {
  return Report.End_ != AttemptEnd::Answered ||
         Report.HttpStatus_ >= FirstServerError;
}

/// Lower median; 0 when there are no values. Used rather than the mean, which a
/// single stalled target would shift by its whole time-out.
double median(std::vector<double> &Values) {
  if (Values.empty())
    return 0;
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

bool contains(const std::vector<TargetId> &Ids, const TargetId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

bool TargetPicker::isServing(const TargetRecord &Target) {
  return Target.ListedState_ == TargetState::Serving && !Target.Draining_;
}

void TargetPicker::setTargets(const ServiceEntry &Entry,
                              const SlotShares &OwnShares, TimePoint Now) {
  std::map<TargetId, TargetRecord> Next;
  for (const Target &Listed : Entry.Targets_) {
    const auto Old = Records_.find(Listed.Id_);
    TargetRecord Updated = Old == Records_.end() ? TargetRecord{} : Old->second;
    const bool IsNewOrRestarted =
        Old == Records_.end() || Updated.Address_ != Listed.Address_ ||
        (Updated.ListedState_ != TargetState::Serving &&
         Listed.State_ == TargetState::Serving);
    if (IsNewOrRestarted && HasEntry_)
      Updated.ColdSince_ = Now;
    if (IsNewOrRestarted)
      Updated.Draining_ = false;
    const SlotShares::const_iterator Share = OwnShares.find(Listed.Id_);
    // A slot without a connection cannot be used.
    Updated.Slots_ =
        Share == OwnShares.end()
            ? 0
            : std::min(Share->second.Slots_, Share->second.Connections_);
    Updated.Address_ = Listed.Address_;
    Updated.ListedState_ = Listed.State_;
    Next.emplace(Listed.Id_, Updated);
  }
  for (const std::pair<const TargetId, TargetRecord> &Old : Records_) {
    if (Old.second.InProgress_ == 0 || Next.count(Old.first) > 0)
      continue;
    TargetRecord Removed = Old.second;
    Removed.Slots_ = 0;
    Removed.ListedState_ = TargetState::Leaving;
    Next.emplace(Old.first, Removed);
  }
  Records_ = std::move(Next);
  HasEntry_ = true;
}

std::vector<TargetPicker::Candidate>
TargetPicker::findCandidates(const std::vector<TargetId> &Excluded,
                             const TargetAvailability &Health,
                             TimePoint Now) const {
  std::vector<Candidate> Result;
  Result.reserve(Records_.size());
  for (const std::pair<const TargetId, TargetRecord> &Entry : Records_) {
    const TargetRecord &Target = Entry.second;
    if (!isServing(Target) || Target.Slots_ == 0 ||
        !Health.isUsable(Entry.first))
      continue;
    const double Share = std::min(coldShare(Target.ColdSince_, Now),
                                  Health.rampShare(Entry.first, Now));
    Result.push_back({&Entry.first, &Target,
                      std::clamp(Share, InitialRampShare, 1.0),
                      contains(Excluded, Entry.first)});
  }
  return Result;
}

TargetPicker::Averages
TargetPicker::averagesOf(const std::vector<Candidate> &Candidates) {
  std::vector<double> Latencies;
  Latencies.reserve(Candidates.size());
  double LoadSum = 0;
  double LoadReports = 0;
  double ShareSum = 0;
  for (const Candidate &Target : Candidates) {
    ShareSum += Target.Share_;
    if (Target.Record_->Latency_)
      Latencies.push_back(*Target.Record_->Latency_);
    if (Target.Record_->Load_) {
      LoadSum += *Target.Record_->Load_;
      ++LoadReports;
    }
  }
  Averages Result;
  Result.Latency_ = std::max(median(Latencies), 1.0);
  if (LoadReports > 0)
    Result.Load_ = LoadSum / LoadReports;
  if (!Candidates.empty())
    Result.Share_ = ShareSum / static_cast<double>(Candidates.size());
  return Result;
}

double TargetPicker::latencyOf(const TargetRecord &Target,
                               const Averages &Average, TimePoint Now) {
  if (!Target.Latency_)
    return Average.Latency_;
  const double Weight = decayFactor(Now - Target.LatencyAt_, LatencyHalfLife);
  return Average.Latency_ + (*Target.Latency_ - Average.Latency_) * Weight;
}

double TargetPicker::costOf(const TargetRecord &Target, const Averages &Average,
                            TimePoint Now) {
  // An old report decays to the mean of all targets. Decay to zero would make
  // the target look idle and attract all hosts at once.
  double Load = Average.Load_;
  if (Target.Load_)
    Load += (*Target.Load_ - Average.Load_) *
            decayFactor(Now - Target.LoadAt_, LoadHalfLife);
  // The 1 is the new attempt, so that latency counts at idle targets too.
  const double Requests = 1 + Target.InProgress_ + Load * Target.Slots_;
  const double Failures =
      Target.Failures_ * decayFactor(Now - Target.FailuresAt_, LatencyHalfLife);
  return Requests * latencyOf(Target, Average, Now) *
         (1 + FailurePenalty * Failures);
}

bool TargetPicker::rampAllows(const Candidate &Target, const Averages &Average,
                              TimePoint Now) {
  // Relative to the mean, so that a service whose targets are all cold is not
  // held at a fraction of its capacity.
  const double Share = std::min(Target.Share_ / Average.Share_, 1.0);
  if (Share >= 1)
    return true;
  const double FractionalSlots = Share * Target.Record_->Slots_;
  const double Slots = std::ceil(FractionalSlots);
  if (Target.Record_->InProgress_ >= Slots)
    return false;
  // The share is rounded up to whole slots, so a pause after each attempt
  // brings their use down to the share.
  const double AttemptTime =
      std::max(latencyOf(*Target.Record_, Average, Now), Average.Latency_);
  const double Pause = AttemptTime * (Slots / FractionalSlots - 1) / Slots;
  return static_cast<double>((Now - Target.Record_->LastEnd_).count()) >= Pause;
}

std::optional<TargetId>
TargetPicker::pick(const std::vector<TargetId> &Excluded,
                   const TargetAvailability &Health, TimePoint Now) {
  std::vector<Candidate> Eligible = findCandidates(Excluded, Health, Now);
  const Averages Average = averagesOf(Eligible);
  const auto IsIneligible = [&](const Candidate &Target) {
    return Target.Excluded_ ||
           Target.Record_->InProgress_ >= Target.Record_->Slots_ ||
           !rampAllows(Target, Average, Now);
  };
  Eligible.erase(std::remove_if(Eligible.begin(), Eligible.end(), IsIneligible),
                 Eligible.end());
  if (Eligible.empty())
    return std::nullopt;
  if (Eligible.size() == 1)
    return *Eligible.front().Id_;
  const std::size_t First = Random_.below(Eligible.size());
  std::size_t Second = Random_.below(Eligible.size() - 1);
  Second += Second >= First ? 1 : 0;
  const bool SecondIsBetter = costOf(*Eligible[Second].Record_, Average, Now) <
                              costOf(*Eligible[First].Record_, Average, Now);
  return *Eligible[SecondIsBetter ? Second : First].Id_;
}

void TargetPicker::attemptStarted(const TargetId &Id) {
  const auto It = Records_.find(Id);
  if (It != Records_.end())
    ++It->second.InProgress_;
}

void TargetPicker::attemptEnded(const TargetId &Id, const AttemptReport &Report,
                                TimePoint Now) {
  const auto It = Records_.find(Id);
  if (It == Records_.end())
    return;
  TargetRecord &Target = It->second;
  if (Target.InProgress_ > 0)
    --Target.InProgress_;
  Target.LastEnd_ = Now;
  if (Report.Draining_)
    Target.Draining_ = true;
  if (Report.Load_) {
    Target.Load_ = std::clamp(*Report.Load_ / FullLoad, 0.0, 1.0);
    Target.LoadAt_ = Now;
  }
  recordOutcome(Target, Report, Now);
  if (Target.InProgress_ == 0 && Target.Slots_ == 0 &&
      Target.ListedState_ == TargetState::Leaving)
    Records_.erase(It);
}

void TargetPicker::recordOutcome(TargetRecord &Target,
                                 const AttemptReport &Report, TimePoint Now) {
  // These ended for reasons on the caller's side and are no evidence about the
  // target.
  if (Report.End_ == AttemptEnd::Cancelled ||
      Report.End_ == AttemptEnd::NotWritten)
    return;
  const bool Failed = isFailure(Report);
  Target.Failures_ += FailureWeight * ((Failed ? 1 : 0) - Target.Failures_);
  Target.FailuresAt_ = Now;
  const double Sample = static_cast<double>(Report.Latency_.count());
  const double Previous = Target.Latency_.value_or(Sample);
  // A fast failure is no evidence of how long answers take.
  if (Failed && (!Target.Latency_ || Sample < Previous))
    return;
  Target.Latency_ = Previous + LatencyWeight * (Sample - Previous);
  Target.LatencyAt_ = Now;
}

void TargetPicker::markDraining(const TargetId &Id, TimePoint /*Now*/) {
  const auto It = Records_.find(Id);
  if (It != Records_.end())
    It->second.Draining_ = true;
}

void TargetPicker::clearDraining(const TargetId &Id, TimePoint Now) {
  const auto It = Records_.find(Id);
  if (It == Records_.end() || !It->second.Draining_)
    return;
  It->second.Draining_ = false;
  It->second.ColdSince_ = Now;
}

std::uint32_t TargetPicker::freeSlots() const {
  std::uint32_t Free = 0;
  for (const std::pair<const TargetId, TargetRecord> &Entry : Records_) {
    const TargetRecord &Target = Entry.second;
    if (isServing(Target) && Target.Slots_ > Target.InProgress_)
      Free += Target.Slots_ - Target.InProgress_;
  }
  return Free;
}

std::uint32_t TargetPicker::inProgress(const TargetId &Id) const {
  const auto It = Records_.find(Id);
  return It == Records_.end() ? 0 : It->second.InProgress_;
}

} // namespace kumquatpitch
