// Two random choices with ramps and slots. See target-picker.h.

#include "kumquatpitch/target-picker.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Weight of a new sample in the moving average of latency.
constexpr double LatencyWeight = 0.2;

/// Time after which half of a latency's distance to the median is forgotten, so
/// that a target that was slow is tried again.
constexpr Duration LatencyHalfLife = std::chrono::seconds(5);

/// Time after which a load report counts half.
constexpr Duration LoadHalfLife = std::chrono::milliseconds(500);

/// Weight of a new sample in the moving share of failures.
constexpr double FailureWeight = 0.2;

/// A target at which all attempts fail scores as one with this many times the
/// latency more, so that a target that fails fast does not look fast.
constexpr double FailurePenalty = 9;

/// Share of a target whose ramp has just begun.
constexpr double FirstShare = 0.02;

constexpr int FirstServerError = 500;
constexpr double FullLoad = 100;

double halved(Duration Age, Duration HalfLife) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(HalfLife.count()));
}

double coldShare(const std::optional<TimePoint> &Since, TimePoint Now) {
  if (!Since)
    return 1;
  return static_cast<double>((Now - *Since).count()) /
         static_cast<double>(ColdRampTime.count());
}

bool isFailure(const AttemptReport &Report) {
  return Report.End_ != AttemptEnd::Answered ||
         Report.HttpStatus_ >= FirstServerError;
}

/// Middle value, the lower of two; 0 when there are none. A stalled target
/// shifts a mean by its whole time-out.
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

bool TargetPicker::mayServe(const State &Target) {
  return Target.Listed_ == TargetState::Serving && !Target.Draining_;
}

void TargetPicker::setTargets(const ServiceEntry &Entry, const SlotShares &Own,
                              TimePoint Now) {
  std::map<TargetId, State> Next;
  for (const Target &Each : Entry.Targets_) {
    const auto Known = States_.find(Each.Id_);
    State Changed = Known == States_.end() ? State{} : Known->second;
    const bool ServesAnew = Known == States_.end() ||
                            Changed.Address_ != Each.Address_ ||
                            (Changed.Listed_ != TargetState::Serving &&
                             Each.State_ == TargetState::Serving);
    if (ServesAnew && HasEntry_)
      Changed.ColdSince_ = Now;
    if (ServesAnew)
      Changed.Draining_ = false;
    const SlotShares::const_iterator Share = Own.find(Each.Id_);
    // A slot without a connection cannot be used.
    Changed.Slots_ = Share == Own.end() ? 0
                                        : std::min(Share->second.Slots_,
                                                   Share->second.Connections_);
    Changed.Address_ = Each.Address_;
    Changed.Listed_ = Each.State_;
    Next.emplace(Each.Id_, Changed);
  }
  for (const std::pair<const TargetId, State> &Each : States_) {
    if (Each.second.InProgress_ == 0 || Next.count(Each.first) > 0)
      continue;
    State Removed = Each.second;
    Removed.Slots_ = 0;
    Removed.Listed_ = TargetState::Leaving;
    Next.emplace(Each.first, Removed);
  }
  States_ = std::move(Next);
  HasEntry_ = true;
}

std::vector<TargetPicker::Candidate>
TargetPicker::candidates(const std::vector<TargetId> &Excluded,
                         const TargetAvailability &Health,
                         TimePoint Now) const {
  std::vector<Candidate> Found;
  Found.reserve(States_.size());
  for (const std::pair<const TargetId, State> &Each : States_) {
    const State &Target = Each.second;
    if (!mayServe(Target) || Target.Slots_ == 0 || !Health.isUsable(Each.first))
      continue;
    const double Share = std::min(coldShare(Target.ColdSince_, Now),
                                  Health.rampShare(Each.first, Now));
    Found.push_back({&Each.first, &Target, std::clamp(Share, FirstShare, 1.0),
                     contains(Excluded, Each.first)});
  }
  return Found;
}

TargetPicker::Typical
TargetPicker::typicalOf(const std::vector<Candidate> &Candidates) {
  std::vector<double> Latencies;
  Latencies.reserve(Candidates.size());
  double Load = 0;
  double Loads = 0;
  double Share = 0;
  for (const Candidate &Each : Candidates) {
    Share += Each.Share_;
    if (Each.State_->Latency_)
      Latencies.push_back(*Each.State_->Latency_);
    if (Each.State_->Load_) {
      Load += *Each.State_->Load_;
      ++Loads;
    }
  }
  Typical Found;
  Found.Latency_ = std::max(median(Latencies), 1.0);
  if (Loads > 0)
    Found.Load_ = Load / Loads;
  if (!Candidates.empty())
    Found.Share_ = Share / static_cast<double>(Candidates.size());
  return Found;
}

double TargetPicker::latencyOf(const State &Target, const Typical &Usual,
                               TimePoint Now) {
  if (!Target.Latency_)
    return Usual.Latency_;
  const double Kept = halved(Now - Target.LatencyAt_, LatencyHalfLife);
  return Usual.Latency_ + (*Target.Latency_ - Usual.Latency_) * Kept;
}

double TargetPicker::scoreOf(const State &Target, const Typical &Usual,
                             TimePoint Now) {
  // An old report tells no more than the mean of all targets: taken as idle, it
  // would attract all hosts at once.
  double Load = Usual.Load_;
  if (Target.Load_)
    Load += (*Target.Load_ - Usual.Load_) *
            halved(Now - Target.LoadAt_, LoadHalfLife);
  // Counts the new attempt itself, so that latency matters at idle targets too.
  const double Requests = 1 + Target.InProgress_ + Load * Target.Slots_;
  const double Failures =
      Target.Failures_ * halved(Now - Target.FailuresAt_, LatencyHalfLife);
  return Requests * latencyOf(Target, Usual, Now) *
         (1 + FailurePenalty * Failures);
}

bool TargetPicker::rampAllows(const Candidate &Each, const Typical &Usual,
                              TimePoint Now) {
  // Relative to the mean, so that a service whose targets are all cold is not
  // held at a fraction of its capacity.
  const double Share = std::min(Each.Share_ / Usual.Share_, 1.0);
  if (Share >= 1)
    return true;
  const double Wanted = Share * Each.State_->Slots_;
  const double Slots = std::ceil(Wanted);
  if (Each.State_->InProgress_ >= Slots)
    return false;
  // A whole slot may exceed the share, so it rests between attempts.
  const double Busy =
      std::max(latencyOf(*Each.State_, Usual, Now), Usual.Latency_);
  const double Rest = Busy * (Slots / Wanted - 1) / Slots;
  return static_cast<double>((Now - Each.State_->LastEnd_).count()) >= Rest;
}

std::optional<TargetId>
TargetPicker::pick(const std::vector<TargetId> &Excluded,
                   const TargetAvailability &Health, TimePoint Now) {
  std::vector<Candidate> Open = candidates(Excluded, Health, Now);
  const Typical Usual = typicalOf(Open);
  const auto IsClosed = [&](const Candidate &Each) {
    return Each.Excluded_ || Each.State_->InProgress_ >= Each.State_->Slots_ ||
           !rampAllows(Each, Usual, Now);
  };
  Open.erase(std::remove_if(Open.begin(), Open.end(), IsClosed), Open.end());
  if (Open.empty())
    return std::nullopt;
  if (Open.size() == 1)
    return *Open.front().Id_;
  const std::size_t First = Random_.below(Open.size());
  std::size_t Second = Random_.below(Open.size() - 1);
  Second += Second >= First ? 1 : 0;
  const bool SecondIsBetter = scoreOf(*Open[Second].State_, Usual, Now) <
                              scoreOf(*Open[First].State_, Usual, Now);
  return *Open[SecondIsBetter ? Second : First].Id_;
}

void TargetPicker::started(const TargetId &Id) {
  const auto It = States_.find(Id);
  if (It != States_.end())
    ++It->second.InProgress_;
}

void TargetPicker::ended(const TargetId &Id, const AttemptReport &Report,
                         TimePoint Now) {
  const auto It = States_.find(Id);
  if (It == States_.end())
    return;
  State &Target = It->second;
  if (Target.InProgress_ > 0)
    --Target.InProgress_;
  Target.LastEnd_ = Now;
  if (Report.Draining_)
    Target.Draining_ = true;
  if (Report.Load_) {
    Target.Load_ = std::clamp(*Report.Load_ / FullLoad, 0.0, 1.0);
    Target.LoadAt_ = Now;
  }
  noteOutcome(Target, Report, Now);
  if (Target.InProgress_ == 0 && Target.Slots_ == 0 &&
      Target.Listed_ == TargetState::Leaving)
    States_.erase(It);
}

void TargetPicker::noteOutcome(State &Target, const AttemptReport &Report,
                               TimePoint Now) {
  // The caller ended these, so they tell nothing of the target.
  if (Report.End_ == AttemptEnd::Cancelled ||
      Report.End_ == AttemptEnd::NotWritten)
    return;
  const bool Failed = isFailure(Report);
  Target.Failures_ += FailureWeight * ((Failed ? 1 : 0) - Target.Failures_);
  Target.FailuresAt_ = Now;
  const double Sample = static_cast<double>(Report.Latency_.count());
  const double Before = Target.Latency_.value_or(Sample);
  // A failure that came fast tells nothing of how long answers take.
  if (Failed && (!Target.Latency_ || Sample < Before))
    return;
  Target.Latency_ = Before + LatencyWeight * (Sample - Before);
  Target.LatencyAt_ = Now;
}

void TargetPicker::markDraining(const TargetId &Id, TimePoint /*Now*/) {
  const auto It = States_.find(Id);
  if (It != States_.end())
    It->second.Draining_ = true;
}

void TargetPicker::clearDraining(const TargetId &Id, TimePoint Now) {
  const auto It = States_.find(Id);
  if (It == States_.end() || !It->second.Draining_)
    return;
  It->second.Draining_ = false;
  It->second.ColdSince_ = Now;
}

std::uint32_t TargetPicker::freeSlots() const {
  std::uint32_t Free = 0;
  for (const std::pair<const TargetId, State> &Each : States_) {
    const State &Target = Each.second;
    if (mayServe(Target) && Target.Slots_ > Target.InProgress_)
      Free += Target.Slots_ - Target.InProgress_;
  }
  return Free;
}

std::uint32_t TargetPicker::inProgress(const TargetId &Id) const {
  const auto It = States_.find(Id);
  return It == States_.end() ? 0 : It->second.InProgress_;
}

} // namespace kumquatpitch
