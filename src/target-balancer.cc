// Target selection and evidence about targets. See target-balancer.h.

#include "kumquatpitch/target-balancer.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

using detail::toSeconds;

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
/// What a request to a target on probation is taken to cost more, in request
/// times.
constexpr double ProbationCharge = 0.8;
/// An ejected target that still serves this share of its requests gets some
/// while others have no room: better than a refusal.
constexpr double UsefulServedShare = 0.35;
/// A target that refuses is full; it is passed over for about the time in which
/// one of its requests ends.
constexpr Duration RefusalPause = std::chrono::milliseconds(150);
/// A target is left out for this long when another instance answers at its
/// address: its entry is removed from the store by then.
constexpr Duration GoneTime = std::chrono::seconds(10);
/// Late failures within this time of each other add up, and eject a target as
/// one early failure does: two of this host's, or three that other hosts tell
/// of. Healthy targets fail one request in a hundred, and this host does not
/// hear of those that they serve for others.
constexpr Duration LateFailureMemory = std::chrono::seconds(3);
constexpr std::uint32_t OwnDoubt = 3;
constexpr std::uint32_t PeerDoubt = 2;
constexpr std::uint32_t DoubtsToEject = 6;
/// Requests that a target may have waiting beyond its slots. What waits at the
/// hosts can still go elsewhere, and in a better order.
constexpr double AllowedWaiting = 1;
/// A request that takes this many times the mean makes its target suspect.
constexpr double SilentFactor = 4;
constexpr Duration LeastSilence = std::chrono::milliseconds(600);

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
      Known.Rank_ = rankOf(Each);
    }
    Known.Entry_ = Each;
  }
  for (std::map<TargetId, State>::iterator It = States_.begin();
       It != States_.end();)
    It = Listed.count(It->first) ? std::next(It) : States_.erase(It);
}

double TargetBalancer::load(const State &Each, TimePoint Now) const {
  const double Age = toSeconds(Now - Each.ForeignAt_);
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
  const double Age = toSeconds(Now - Each.SlownessAt_);
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

bool TargetBalancer::areAllEjected(TimePoint Now) const {
  return std::all_of(States_.begin(), States_.end(),
                     [&](const std::pair<const TargetId, State> &Each) {
                       return Each.second.Ejected_ || Each.second.isOut(Now);
                     });
}

bool TargetBalancer::hasTarget(const PickTerms &Terms, TimePoint Now) const {
  return std::any_of(States_.begin(), States_.end(),
                     [&](const std::pair<const TargetId, State> &Each) {
                       return !Each.second.isOut(Now) &&
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
            : Seen.isOut(Now)           ? "g"
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
    if (!Each.second.isOut(Now) && !Each.second.Ejected_)
      Slots += Each.second.Entry_.Slots_ / slowness(Each.second, Now);
  constexpr double MicrosecondsPerSecond = 1e6;
  return Slots * MicrosecondsPerSecond / Mean_;
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
  const State *ForFloor = floorTrial(Terms, Now);
  for (std::pair<const TargetId, State> &Each : States_) {
    State &Seen = Each.second;
    if (Seen.isOut(Now) || Terms.Tried_.count(Each.first))
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
    return Terms.IsLastResort_ ? lastResort(Terms, Now) : std::nullopt;
  return TargetPick{Best->Entry_, IsTrial};
}

std::optional<TargetPick> TargetBalancer::lastResort(const PickTerms &Terms,
                                                     TimePoint Now) {
  const State *Best = nullptr;
  for (const std::pair<const TargetId, State> &Each : States_)
    if (!Each.second.isOut(Now) && !Terms.Tried_.count(Each.first) &&
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
    Each.Doubts_ = 0;
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
    doubt(Each, OwnDoubt, Now);
    break;
  case AttemptEvidence::Gone:
    Each.GoneUntil_ = Now + GoneTime;
    break;
  case AttemptEvidence::Refused:
    Each.RefusingUntil_ = Now + RefusalPause;
    break;
  case AttemptEvidence::None:
    break;
  }
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
    return doubt(It->second, PeerDoubt, Now);
  case TargetNews::Gone:
    It->second.GoneUntil_ = Now + GoneTime;
    return;
  case TargetNews::Recovered:
    return succeed(It->second, Now);
  }
}

void TargetBalancer::doubt(State &Each, std::uint32_t Weight, TimePoint Now) {
  if (Now - Each.DoubtedAt_ >= LateFailureMemory)
    Each.Doubts_ = 0;
  Each.Doubts_ += Weight;
  Each.DoubtedAt_ = Now;
  if (Each.Doubts_ >= DoubtsToEject)
    eject(Each, Now);
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
