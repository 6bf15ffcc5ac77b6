// Target selection and ejection. See target-balancer.h.

#include "kumquatpitch/target-balancer.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Weight of a new sample in the decayed means.
constexpr double ServiceWeight = 0.03;
constexpr double TargetWeight = 0.2;
/// Time in which a report about other hosts' requests loses two thirds of its
/// meaning: about the length of a request.
constexpr double ForeignDecaySeconds = 0.4;
/// Time in which a target's own latency gives way to the service's, so that a
/// target that was slow gets requests again.
constexpr double LatencyDecaySeconds = 4;
/// A request outside the own failure domain costs bytes between domains; it is
/// made when it is expected to save more than this part of the mean latency.
constexpr double ForeignDomainPart = 0.35;
/// A target that just started is slower by about this factor.
constexpr double ColdFactor = 1.6;
/// First ejection; doubled with each further failure in a row up to the last.
constexpr Duration FirstEjection = std::chrono::milliseconds(2'000);
constexpr Duration LongestEjection = std::chrono::milliseconds(4'000);
/// A target that refuses is full; it is passed over for about the time in which
/// one of its requests ends.
constexpr Duration RefusalPause = std::chrono::milliseconds(150);
/// Without repeatable requests for this long, others serve as trials.
constexpr Duration RepeatableMemory = std::chrono::seconds(2);
/// A request that takes this many times the mean makes its target suspect.
constexpr double SilentFactor = 4;
constexpr Duration LeastSilence = std::chrono::milliseconds(600);

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
    }
    Known.Entry_ = Each;
  }
  for (std::map<TargetId, State>::iterator It = States_.begin();
       It != States_.end();)
    It = Listed.count(It->first) ? std::next(It) : States_.erase(It);
  keepFloor(Now);
}

double TargetBalancer::load(const State &Each, TimePoint Now) const {
  const double Age = seconds(Now - Each.ForeignAt_);
  return static_cast<double>(Each.Running_.size()) +
         Each.Foreign_ * std::exp(-Age / ForeignDecaySeconds);
}

double TargetBalancer::expected(const State &Each, TimePoint Now) const {
  double Latency = Mean_;
  if (Each.Latency_ > 0) {
    const double Age = seconds(Now - Each.LatencyAt_);
    Latency += (Each.Latency_ - Mean_) * std::exp(-Age / LatencyDecaySeconds);
  }
  if (Now < Each.KnownSince_ + Each.Entry_.ColdFor_)
    Latency *= ColdFactor;
  const double Slots = std::max<double>(1, Each.Entry_.Slots_);
  const double Load = load(Each, Now);
  // Some backend servers slow down when nearly full: a small charge for load
  // below the slots spreads requests before any has to wait.
  return Latency *
         (1 + 0.15 * Load / Slots + std::max(0.0, Load + 1 - Slots) / Slots);
}

bool TargetBalancer::isSilent(const State &Each, TimePoint Now) const {
  if (Each.Running_.empty())
    return false;
  const Duration Limit = std::max(
      LeastSilence, Duration(static_cast<Duration::rep>(Mean_ * SilentFactor)));
  return Now - *Each.Running_.begin() > Limit;
}

bool TargetBalancer::mayTry(const State &Each, const PickTerms &Terms,
                            TimePoint Now) const {
  if (!Each.Ejected_ || Each.OnTrial_ || Now < Each.EjectedUntil_)
    return false;
  return Terms.MayRepeat_ || Now - RepeatableAt_ > RepeatableMemory;
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
  for (std::pair<const TargetId, State> &Each : States_) {
    State &Seen = Each.second;
    if (Seen.Entry_.Leaving_ || Terms.Tried_.count(Each.first))
      continue;
    const bool IsOwnDomain = Seen.Entry_.Domain_ == OwnDomain_;
    if (mayTry(Seen, Terms, Now) && IsOwnDomain &&
        (!Trial || Seen.EjectedUntil_ < Trial->EjectedUntil_))
      Trial = &Seen;
    double Cost = expected(Seen, Now);
    if (!IsOwnDomain)
      Cost += Mean_ * ForeignDomainPart;
    // Suspects remain candidates of last resort, the least bad first.
    constexpr double SuspectPenalty = 1e9;
    if (Seen.Ejected_)
      Cost += SuspectPenalty * (2 + Seen.Failures_);
    else if (Now < Seen.RefusingUntil_ || isSilent(Seen, Now))
      Cost += SuspectPenalty;
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
    return std::nullopt;
  return TargetPick{
      Best->Entry_,
      Duration(static_cast<Duration::rep>(expected(*Best, Now))), IsTrial};
}

void TargetBalancer::attemptStarted(const TargetId &Id, TimePoint Now) {
  const std::map<TargetId, State>::iterator It = States_.find(Id);
  if (It != States_.end())
    It->second.Running_.insert(Now);
}

void TargetBalancer::attemptEnded(const TargetId &Id, TimePoint StartedAt,
                                  AttemptEvidence Evidence, Duration Latency,
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
  if (Load) {
    const double Total = Load->Running_ + Load->Waiting_;
    Seen.Foreign_ =
        std::max(0.0, Total - static_cast<double>(Seen.Running_.size()));
    Seen.ForeignAt_ = Now;
  }
  const double Sample = static_cast<double>(Latency.count());
  switch (Evidence) {
  case AttemptEvidence::Answered:
    Mean_ += (Sample - Mean_) * ServiceWeight;
    Seen.Latency_ += (Sample - Seen.Latency_) *
                     (Seen.Latency_ > 0 ? TargetWeight : 1.0);
    Seen.LatencyAt_ = Now;
    // An answer to a request from before the failure proves nothing since.
    if (!Seen.Ejected_ || StartedAt > Seen.FailedAt_)
      reinstate(Seen);
    break;
  case AttemptEvidence::Failed:
  case AttemptEvidence::Unreachable:
  case AttemptEvidence::Silent:
    eject(Seen, Now);
    break;
  case AttemptEvidence::Refused:
    Seen.RefusingUntil_ = Now + RefusalPause;
    break;
  case AttemptEvidence::None:
    break;
  }
}

void TargetBalancer::peerEvidence(const TargetId &Id, bool Failed,
                                  TimePoint Now) {
  const std::map<TargetId, State>::iterator It = States_.find(Id);
  if (It == States_.end())
    return;
  if (Failed)
    eject(It->second, Now);
  else
    reinstate(It->second);
}

void TargetBalancer::eject(State &Each, TimePoint Now) {
  // Requests that were sent together fail together; that is one failure.
  constexpr Duration SameFailure = std::chrono::milliseconds(300);
  if (!Each.Ejected_ || Now - Each.FailedAt_ > SameFailure)
    ++Each.Failures_;
  Duration Span = FirstEjection;
  for (std::uint32_t Index = 1; Index < Each.Failures_; ++Index)
    Span = std::min(LongestEjection, Span * 2);
  Each.FailedAt_ = Now;
  Each.EjectedUntil_ = Now + Span;
  Each.Ejected_ = true;
  keepFloor(Now);
}

void TargetBalancer::reinstate(State &Each) {
  Each.Ejected_ = false;
  Each.Failures_ = 0;
}

void TargetBalancer::keepFloor(TimePoint Now) {
  static_cast<void>(Now);
  std::size_t Serving = 0;
  std::vector<State *> Ejected;
  for (std::pair<const TargetId, State> &Each : States_) {
    if (Each.second.Entry_.Leaving_)
      continue;
    ++Serving;
    if (Each.second.Ejected_)
      Ejected.push_back(&Each.second);
  }
  const std::size_t Most = static_cast<std::size_t>(
      std::floor((1 - FloorShare_) * static_cast<double>(Serving)));
  if (Ejected.size() <= Most)
    return;
  std::sort(Ejected.begin(), Ejected.end(), [](State *Left, State *Right) {
    if (Left->Failures_ != Right->Failures_)
      return Left->Failures_ < Right->Failures_;
    return Left->FailedAt_ < Right->FailedAt_;
  });
  for (std::size_t Index = 0; Index < Ejected.size() - Most; ++Index)
    Ejected[Index]->Ejected_ = false;
}

bool TargetBalancer::isEjected(const TargetId &Id, TimePoint Now) const {
  static_cast<void>(Now);
  const std::map<TargetId, State>::const_iterator It = States_.find(Id);
  return It != States_.end() && It->second.Ejected_;
}

std::size_t TargetBalancer::ejectedCount(TimePoint Now) const {
  static_cast<void>(Now);
  return static_cast<std::size_t>(
      std::count_if(States_.begin(), States_.end(),
                    [](const std::pair<const TargetId, State> &Each) {
                      return Each.second.Ejected_;
                    }));
}

Duration TargetBalancer::expectedRoom(TimePoint Now) const {
  double Least = Mean_;
  bool Any = false;
  for (const std::pair<const TargetId, State> &Each : States_) {
    const double Over = expected(Each.second, Now) - Mean_;
    Least = Any ? std::min(Least, Over) : Over;
    Any = true;
  }
  return Duration(static_cast<Duration::rep>(std::max(0.0, Least)));
}

} // namespace kumquatpitch
