// Target selection and ejection. See target-balancer.h.

#include "kumquatpitch/target-balancer.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

/// Weight of a new sample in the decayed means.
constexpr double ServiceWeight = 0.03;
constexpr double TargetWeight = 0.2;
/// A report about other hosts' requests says nothing after this time.
constexpr double ForeignMemorySeconds = 3;
/// Time in which what is known of a target's speed loses two thirds of its
/// meaning, so that a target that was slow gets requests again.
constexpr double SlownessDecaySeconds = 4;
/// A request outside the own failure domain costs bytes between domains; it is
/// made when it is expected to save more than this part of a request's time.
constexpr double ForeignDomainPart = 0.9;
/// A target that just started is slower by about this factor.
constexpr double ColdFactor = 1.6;
/// Pause before a trial by a request that can be repeated elsewhere; it grows
/// by half with each failure in a row up to the longest.
constexpr Duration FirstTrialPause = std::chrono::milliseconds(1'500);
constexpr Duration LongestTrialPause = std::chrono::milliseconds(3'000);
/// The same for a request that is lost if it fails: the length of a usual gray
/// failure.
constexpr Duration FirstCostlyPause = std::chrono::milliseconds(4'500);
constexpr Duration LongestCostlyPause = std::chrono::milliseconds(7'000);
/// Trial pauses are this part of the usual while requests wait for room.
constexpr double CrowdedPausePart = 0.5;
/// While many requests fail, only this share of the targets may be without a
/// request for so long: the floor's share less a margin for targets that do not
/// count, within the two seconds in which a target counts as used.
constexpr double FloorMargin = 0.2;
constexpr Duration FloorTrialPause = std::chrono::milliseconds(1'400);
/// Pauses between trials of a target while all of the service are ejected.
constexpr Duration DesperatePause = std::chrono::milliseconds(300);
constexpr Duration CostlyDesperatePause = std::chrono::milliseconds(1'000);
/// A gray target succeeds now and then: so many trials in a row must succeed.
/// One is enough while less than half of the targets are in use.
constexpr std::uint32_t TrialsToReinstate = 2;
constexpr Duration SecondTrialPause = std::chrono::milliseconds(120);
constexpr double ShortCapacityShare = 0.5;
/// After the trials it gets further requests only where others would have to
/// wait, until so many have succeeded.
constexpr std::uint32_t ProbationSuccesses = 4;
constexpr double ProbationCharge = 0.8;
/// An ejected target that still serves this share of its requests gets some
/// while others have no room: better than a refusal.
constexpr double UsefulServedShare = 0.35;
constexpr double RateDecaySeconds = 3;
/// What is assumed of a target that has just been ejected, in requests.
constexpr double PriorServed = 0.3;
constexpr double PriorRequests = 1;
/// Trial pauses of different hosts differ by up to this part.
constexpr double TrialJitter = 0.4;
/// Share of failed requests from which the floor is kept at all cost: below it
/// the ejections do what they are meant to.
constexpr double FloorUnservedShare = 0.08;
constexpr double UnservedDecaySeconds = 1;
/// A target that refuses is full; it is passed over for about the time in which
/// one of its requests ends.
constexpr Duration RefusalPause = std::chrono::milliseconds(150);
/// Without repeatable requests for this long, others serve as trials.
constexpr Duration RepeatableMemory = std::chrono::seconds(6);
/// Two late failures within this time eject a target as one early failure does.
constexpr Duration LateFailureMemory = std::chrono::seconds(3);
/// Requests that a target may have waiting beyond its slots. What waits at the
/// hosts can still go elsewhere, and in a better order.
constexpr double AllowedWaiting = 1;
/// A request that takes this many times the mean makes its target suspect.
constexpr double SilentFactor = 4;
constexpr Duration LeastSilence = std::chrono::milliseconds(600);

double jitterOf(const TargetId &Id, std::uint64_t Salt) {
  constexpr std::uint64_t Steps = 1'024;
  const std::uint64_t Hash =
      XXH3_64bits_withSeed(Id.str().data(), Id.str().size(), Salt);
  return 1 + TrialJitter * static_cast<double>(Hash % Steps) / Steps;
}

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void TargetBalancer::setTargets(const std::vector<TargetEntry> &Targets,
                                TimePoint Now) {
  std::set<TargetId> Listed;
  for (const TargetEntry &Each : Targets) {
    Listed.insert(Each.Id_);
    State &Known = States_[Each.Id_];
    if (Known.Entry_.StartedUnixMs_ != Each.StartedUnixMs_ ||
        Known.Entry_.Address_ != Each.Address_) {
      Known = State();
      Known.KnownSince_ = Now;
      Known.Jitter_ = jitterOf(Each.Id_, Salt_);
    }
    Known.Entry_ = Each;
  }
  for (std::map<TargetId, State>::iterator It = States_.begin();
       It != States_.end();)
    It = Listed.count(It->first) ? std::next(It) : States_.erase(It);
}

double TargetBalancer::load(const State &Each, TimePoint Now) const {
  const double Age = seconds(Now - Each.ForeignAt_);
  const double Own = static_cast<double>(Each.Running_.size());
  if (Age > ForeignMemorySeconds)
    return Own;
  // Since the report, the target has worked off its queue; new requests of
  // other hosts are not known.
  constexpr double MicrosecondsPerSecond = 1e6;
  const double Ended = Age * Each.Entry_.Slots_ * MicrosecondsPerSecond / Mean_;
  return Own + std::max(0.0, Each.Foreign_ - Ended);
}

double TargetBalancer::slowness(const State &Each, TimePoint Now) const {
  const double Age = seconds(Now - Each.SlownessAt_);
  const double Known =
      1 + (Each.Slowness_ - 1) * std::exp(-Age / SlownessDecaySeconds);
  return Now < Each.KnownSince_ + Each.Entry_.ColdFor_
             ? std::max(Known, ColdFactor)
             : Known;
}

double TargetBalancer::expected(const State &Each, TimePoint Now) const {
  const double Slots = std::max<double>(1, Each.Entry_.Slots_);
  const double Load = load(Each, Now);
  // Some backend servers slow down when nearly full: a small charge for load
  // below the slots spreads requests before any has to wait.
  constexpr double SpreadCharge = 0.15;
  return slowness(Each, Now) * (1 + SpreadCharge * Load / Slots +
                                std::max(0.0, Load + 1 - Slots) / Slots);
}

bool TargetBalancer::isSilent(const State &Each, TimePoint Now) const {
  if (Each.Running_.empty())
    return false;
  const Duration Limit = std::max(
      LeastSilence, Duration(static_cast<Duration::rep>(Mean_ * SilentFactor)));
  return Now - std::max(*Each.Running_.begin(), Each.HeardAt_) > Limit;
}

bool TargetBalancer::hasRoom(const State &Each, TimePoint Now) const {
  return load(Each, Now) < Each.Entry_.Slots_ + AllowedWaiting &&
         Now >= Each.RefusingUntil_;
}

bool TargetBalancer::areAllEjected() const {
  return std::all_of(States_.begin(), States_.end(),
                     [](const std::pair<const TargetId, State> &Each) {
                       return Each.second.Ejected_ ||
                              Each.second.Entry_.Leaving_;
                     });
}

bool TargetBalancer::hasTarget(const PickTerms &Terms) const {
  return std::any_of(States_.begin(), States_.end(),
                     [&](const std::pair<const TargetId, State> &Each) {
                       return !Each.second.Entry_.Leaving_ &&
                              !Terms.Tried_.count(Each.first);
                     });
}

std::string TargetBalancer::describe(TimePoint Now) const {
  std::string Text;
  for (const std::pair<const TargetId, State> &Each : States_) {
    const State &Seen = Each.second;
    const std::size_t Own = Seen.Running_.size();
    Text +=
        std::to_string(Own) + "+" +
        std::to_string(std::lround(load(Seen, Now) - static_cast<double>(Own)));
    Text += Seen.Entry_.Leaving_        ? "l"
            : Seen.Ejected_             ? "e"
            : Seen.Failures_ > 0        ? "p"
            : Now < Seen.RefusingUntil_ ? "f"
                                        : "";
    Text += Seen.Entry_.Domain_ == OwnDomain_ ? "o " : " ";
  }
  return Text;
}

double TargetBalancer::drainRate(TimePoint Now) const {
  double Slots = 0;
  for (const std::pair<const TargetId, State> &Each : States_)
    if (!Each.second.Entry_.Leaving_ && !Each.second.Ejected_)
      Slots += Each.second.Entry_.Slots_ / slowness(Each.second, Now);
  constexpr double MicrosecondsPerSecond = 1e6;
  return Slots * MicrosecondsPerSecond / Mean_;
}

bool TargetBalancer::isFloorAtRisk() const {
  return Ended_ > 0 && Unserved_ / Ended_ >= FloorUnservedShare;
}

void TargetBalancer::rate(State &Each, bool Served, TimePoint Now) {
  const double Kept =
      std::exp(-seconds(Now - Each.RatedAt_) / RateDecaySeconds);
  Each.RatedAt_ = Now;
  Each.Served_ = Each.Served_ * Kept + (Served ? 1 : 0);
  Each.Unserved_ = Each.Unserved_ * Kept + (Served ? 0 : 1);
}

double TargetBalancer::servedShare(const State &Each) {
  return (Each.Served_ + PriorServed) /
         (Each.Served_ + Each.Unserved_ + PriorRequests);
}

bool TargetBalancer::isCapacityShort() const {
  return IsCrowded_ ||
         static_cast<double>(ejectedCount()) >
             (1 - ShortCapacityShare) * static_cast<double>(States_.size());
}

/// The ejected target that was without a request for longest, when so many are
/// that the floor is at risk; else null.
const TargetBalancer::State *TargetBalancer::floorTrial(TimePoint Now) const {
  if (!isFloorAtRisk())
    return nullptr;
  std::size_t Unused = 0;
  const State *Oldest = nullptr;
  for (const std::pair<const TargetId, State> &Each : States_) {
    const State &Seen = Each.second;
    if (!Seen.Ejected_ || Seen.OnTrial_ || Seen.Entry_.Leaving_ ||
        Now - Seen.TriedAt_ < FloorTrialPause * Seen.Jitter_)
      continue;
    ++Unused;
    if (!Oldest || Seen.TriedAt_ < Oldest->TriedAt_)
      Oldest = &Seen;
  }
  const double Most =
      (1 - FloorShare_ - FloorMargin) * static_cast<double>(States_.size());
  return static_cast<double>(Unused) > Most ? Oldest : nullptr;
}

Duration TargetBalancer::trialPause(const State &Each, bool MayRepeat) const {
  if (Each.Successes_ > 0)
    return SecondTrialPause;
  if (areAllEjected())
    return MayRepeat ? DesperatePause : CostlyDesperatePause;
  Duration Pause = MayRepeat ? FirstTrialPause : FirstCostlyPause;
  const Duration Longest = MayRepeat ? LongestTrialPause : LongestCostlyPause;
  for (std::uint32_t Index = 1; Index < Each.Failures_; ++Index)
    Pause = std::min(Longest, Pause + Pause / 2);
  return Pause;
}

bool TargetBalancer::mayTry(const State &Each, const PickTerms &Terms,
                            TimePoint Now) const {
  const double Pause =
      static_cast<double>(trialPause(Each, Terms.MayRepeat_).count()) *
      Each.Jitter_ * (IsCrowded_ ? CrowdedPausePart : 1);
  if (!Each.Ejected_ || Each.OnTrial_ ||
      static_cast<double>((Now - Each.TriedAt_).count()) < Pause)
    return false;
  return Terms.MayRepeat_ || areAllEjected() ||
         Now - RepeatableAt_ > RepeatableMemory;
}

std::optional<TargetPick> TargetBalancer::pick(const PickTerms &Terms,
                                               TimePoint Now,
                                               RandomSource &Random) {
  if (Terms.MayRepeat_)
    RepeatableAt_ = Now;
  State *Best = nullptr;
  State *Trial = nullptr;
  double BestCost = 0;
  constexpr double RandomPart = 0.02;
  const State *ForFloor = floorTrial(Now);
  for (std::pair<const TargetId, State> &Each : States_) {
    State &Seen = Each.second;
    if (Seen.Entry_.Leaving_ || Terms.Tried_.count(Each.first))
      continue;
    if ((mayTry(Seen, Terms, Now) || &Seen == ForFloor) &&
        (!Trial || Seen.TriedAt_ < Trial->TriedAt_))
      Trial = &Seen;
    const bool IsUseful = IsCrowded_ && servedShare(Seen) >= UsefulServedShare;
    if (!hasRoom(Seen, Now) || (Seen.Ejected_ && !IsUseful))
      continue;
    const double Slowness = slowness(Seen, Now);
    if (static_cast<double>(Terms.Usual_.count()) * Slowness >
        static_cast<double>(Terms.TimeLeft_.count()) * HopelessFactor)
      continue;
    double Cost = expected(Seen, Now);
    if (Seen.Entry_.Domain_ != OwnDomain_)
      Cost += ForeignDomainPart;
    if (Seen.Failures_ > 0 && !Seen.Running_.empty())
      Cost += ProbationCharge;
    constexpr double SilentPenalty = 1e9;
    if (isSilent(Seen, Now))
      Cost += SilentPenalty;
    if (Seen.Ejected_)
      Cost += SilentPenalty * (2 - servedShare(Seen));
    Cost *= 1 + RandomPart * static_cast<double>(Random.below(1'000)) / 1'000;
    if (!Best || Cost < BestCost) {
      Best = &Seen;
      BestCost = Cost;
    }
  }
  const bool IsTrial = Trial != nullptr;
  if (IsTrial) {
    Best = Trial;
    Best->OnTrial_ = true;
  }
  if (!Best)
    return Terms.IsLastResort_ ? lastResort(Terms) : std::nullopt;
  return TargetPick{Best->Entry_, IsTrial};
}

std::optional<TargetPick> TargetBalancer::lastResort(const PickTerms &Terms) {
  const State *Best = nullptr;
  for (const std::pair<const TargetId, State> &Each : States_)
    if (!Each.second.Entry_.Leaving_ && !Terms.Tried_.count(Each.first) &&
        (!Best || Each.second.FailedAt_ < Best->FailedAt_))
      Best = &Each.second;
  if (!Best)
    return std::nullopt;
  return TargetPick{Best->Entry_, false};
}

void TargetBalancer::attemptStarted(const TargetId &Id, TimePoint Now) {
  const std::map<TargetId, State>::iterator It = States_.find(Id);
  if (It != States_.end())
    It->second.Running_.insert(Now);
}

void TargetBalancer::attemptEnded(const TargetId &Id, TimePoint StartedAt,
                                  AttemptEvidence Evidence, Duration Usual,
                                  std::optional<ReportedLoad> Load,
                                  TimePoint Now) {
  const std::map<TargetId, State>::iterator It = States_.find(Id);
  if (It == States_.end())
    return;
  State &Seen = It->second;
  const std::multiset<TimePoint>::iterator Own = Seen.Running_.find(StartedAt);
  if (Own != Seen.Running_.end())
    Seen.Running_.erase(Own);
  Seen.OnTrial_ = false;
  if (Evidence == AttemptEvidence::Answered ||
      Evidence == AttemptEvidence::FailedLate ||
      Evidence == AttemptEvidence::Refused)
    Seen.HeardAt_ = Now;
  if (Load) {
    const double Total = Load->Running_ + Load->Waiting_;
    Seen.Foreign_ =
        std::max(0.0, Total - static_cast<double>(Seen.Running_.size()));
    Seen.ForeignAt_ = Now;
  }
  if (Evidence == AttemptEvidence::Answered) {
    const double Latency = static_cast<double>((Now - StartedAt).count());
    Mean_ += (Latency - Mean_) * ServiceWeight * std::min(1.0, Latency / Mean_);
    if (Usual.count() > 0) {
      const double Sample = Latency / static_cast<double>(Usual.count());
      const double Before = slowness(Seen, Now);
      Seen.Slowness_ = Before + (Sample - Before) * TargetWeight;
      Seen.SlownessAt_ = Now;
    }
  }
  takeEvidence(Seen, Evidence, StartedAt, Now);
}

void TargetBalancer::takeEvidence(State &Each, AttemptEvidence Evidence,
                                  TimePoint StartedAt, TimePoint Now) {
  switch (Evidence) {
  case AttemptEvidence::Answered:
    Each.HasFailedLate_ = false;
    // An answer to a request from before the failure proves nothing since.
    if (!Each.Ejected_ || StartedAt > Each.FailedAt_)
      succeed(Each, Now);
    break;
  case AttemptEvidence::Failed:
  case AttemptEvidence::Unreachable:
    eject(Each, Now);
    break;
  case AttemptEvidence::Silent:
    // A target that answers others is slow or full, which is no failure; so is
    // one that was not given the time.
    if (Each.HeardAt_ <= StartedAt &&
        Now - StartedAt >=
            std::max(LeastSilence,
                     Duration(static_cast<Duration::rep>(Mean_ * 2))))
      eject(Each, Now);
    break;
  case AttemptEvidence::FailedLate:
    doubt(Each, Now);
    break;
  case AttemptEvidence::Refused:
    Each.RefusingUntil_ = Now + RefusalPause;
    break;
  case AttemptEvidence::None:
    break;
  }
}

void TargetBalancer::requestEnded(bool Served, TimePoint Now) {
  const double Kept = std::exp(-seconds(Now - EndedAt_) / UnservedDecaySeconds);
  EndedAt_ = Now;
  Ended_ = Ended_ * Kept + 1;
  Unserved_ = Unserved_ * Kept + (Served ? 0 : 1);
}

void TargetBalancer::peerEvidence(const TargetId &Id, TargetNews News,
                                  TimePoint Now) {
  const std::map<TargetId, State>::iterator It = States_.find(Id);
  if (It == States_.end())
    return;
  switch (News) {
  case TargetNews::Failed:
    return eject(It->second, Now);
  case TargetNews::Doubtful:
    return doubt(It->second, Now);
  case TargetNews::Recovered:
    return succeed(It->second, Now);
  }
}

void TargetBalancer::doubt(State &Each, TimePoint Now) {
  if (Each.HasFailedLate_ && Now - Each.FailedLateAt_ < LateFailureMemory)
    eject(Each, Now);
  Each.HasFailedLate_ = true;
  Each.FailedLateAt_ = Now;
}

void TargetBalancer::eject(State &Each, TimePoint Now) {
  // Requests that were sent together fail together; that is one failure.
  constexpr Duration SameFailure = std::chrono::milliseconds(300);
  if (!Each.Ejected_ || Now - Each.FailedAt_ > SameFailure)
    ++Each.Failures_;
  if (!Each.Ejected_) {
    Each.Served_ = 0;
    Each.Unserved_ = 0;
  }
  rate(Each, false, Now);
  Each.FailedAt_ = Now;
  Each.TriedAt_ = Now;
  Each.Ejected_ = true;
  Each.Successes_ = 0;
}

void TargetBalancer::succeed(State &Each, TimePoint Now) {
  if (Each.Failures_ == 0)
    return;
  ++Each.Successes_;
  rate(Each, true, Now);
  Each.TriedAt_ = Now;
  if (Each.Successes_ >= (isCapacityShort() ? 1 : TrialsToReinstate))
    Each.Ejected_ = false;
  if (Each.Successes_ >= ProbationSuccesses)
    Each.Failures_ = 0;
}

bool TargetBalancer::isEjected(const TargetId &Id) const {
  const std::map<TargetId, State>::const_iterator It = States_.find(Id);
  return It != States_.end() && It->second.Ejected_;
}

std::size_t TargetBalancer::ejectedCount() const {
  return static_cast<std::size_t>(
      std::count_if(States_.begin(), States_.end(),
                    [](const std::pair<const TargetId, State> &Each) {
                      return Each.second.Ejected_;
                    }));
}

Duration TargetBalancer::expectedRoom(TimePoint Now) const {
  std::optional<double> Least;
  for (const std::pair<const TargetId, State> &Each : States_)
    if (!Each.second.Ejected_)
      Least = std::min(Least.value_or(1e9), expected(Each.second, Now) - 1);
  return Duration(
      static_cast<Duration::rep>(Mean_ * std::max(0.0, Least.value_or(1))));
}

} // namespace kumquatpitch
