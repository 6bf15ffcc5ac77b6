// Ejection, trials of ejected targets and the floor. See target-balancer.h.

#include "kumquatpitch/target-balancer.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

using detail::toSeconds;

/// Pause before a trial by a request that can be repeated elsewhere; it grows
/// by half with each failure in a row up to the longest.
constexpr Duration FirstTrialPause = std::chrono::milliseconds(1'500);
constexpr Duration LongestTrialPause = std::chrono::milliseconds(3'000);
/// Bounds of the expected length of a gray failure, which is the pause before a
/// trial by a request that is lost if it fails.
constexpr double ShortestSpellSeconds = 3;
constexpr double LongestSpellSeconds = 15;
/// Changes of that expectation: a trial failed after it was over, one succeeded
/// before, and one succeeded after, which tells least.
constexpr double SpellGrowth = 1.10;
constexpr double SpellDecline = 0.97;
constexpr double SpellSlightDecline = 0.99;
/// Trial pauses are this part of the usual while requests wait for room.
constexpr double CrowdedPausePart = 0.5;
/// Share of the targets by which fewer may be without a request for this time
/// than the floor leaves. Usually it is a few more, since targets that failed
/// in the last two seconds do not count; while requests fail it is far fewer.
/// The floor is kept at all times, since all hosts may lose power the next
/// moment, and the requests that are lost then count.
constexpr double FloorMargin = -0.02;
constexpr double FloorMarginAtRisk = 0.2;
/// Targets that have just started do not count for the floor.
constexpr Duration FloorJoinTime = std::chrono::seconds(6);
constexpr Duration FloorTrialPause = std::chrono::milliseconds(1'500);
/// Pauses between trials of a target while all of the service are ejected.
constexpr Duration DesperatePause = std::chrono::milliseconds(300);
constexpr Duration CostlyDesperatePause = std::chrono::milliseconds(1'000);
/// A gray target succeeds now and then: so many trials in a row must succeed.
/// One is enough while less than half of the targets are in use.
constexpr std::uint32_t TrialsToReinstate = 2;
constexpr Duration SecondTrialPause = std::chrono::milliseconds(120);
constexpr double ShortCapacityShare = 0.5;
/// After the trials a target gets further requests only where others would have
/// to wait, until so many have succeeded.
constexpr std::uint32_t ProbationSuccesses = 4;
/// Decay of the counts of what an ejected target served.
constexpr double RateDecaySeconds = 3;
/// What is assumed of a target that has just been ejected, in requests.
constexpr double PriorServed = 0.3;
constexpr double PriorRequests = 1;
/// A host gives those before it in the order of trials this long each, so that
/// one of them has heard of the other's trial before it makes its own.
constexpr Duration LeastTurn = std::chrono::milliseconds(400);
constexpr double TurnFactor = 1.5; ///< Of the mean latency.
/// The same for trials that the floor asks for, within the time that it allows.
constexpr Duration FloorTurn = std::chrono::milliseconds(60);
constexpr std::size_t MostFloorTurns = 5;
/// Requests that are lost if they fail leave those trials to others for this
/// time.
constexpr Duration CostlyFloorDelay = std::chrono::milliseconds(300);
/// What other hosts told of their requests is used for this long.
constexpr Duration TallyMemory = std::chrono::milliseconds(1'500);
/// Share of failed requests from which the floor is at risk.
constexpr double FloorUnservedShare = 0.08;
constexpr double UnservedDecaySeconds = 1;
/// Without repeatable requests for this long, others serve as trials.
constexpr Duration RepeatableMemory = std::chrono::seconds(6);

Duration ofSeconds(double Seconds) {
  constexpr double MicrosecondsPerSecond = 1e6;
  return Duration(static_cast<Duration::rep>(Seconds * MicrosecondsPerSecond));
}

ServiceTally decayed(const ServiceTally &From, Duration Age) {
  const double Kept = std::exp(-toSeconds(Age) / UnservedDecaySeconds);
  return ServiceTally{From.Ended_ * Kept, From.Unserved_ * Kept};
}

} // namespace

void TargetBalancer::setGroup(std::vector<GroupHost> Group) {
  Group_ = std::move(Group);
  std::erase_if(PeerTallies_,
                [&](const std::pair<const HostId, PeerTally> &Each) {
                  return std::none_of(Group_.begin(), Group_.end(),
                                      [&](const GroupHost &Host) {
                                        return Host.Id_ == Each.first;
                                      });
                });
  for (std::pair<const TargetId, State> &Each : States_)
    Each.second.Rank_ = rankOf(Each.second.Entry_);
}

/// Hosts of the target's own failure domain come first, then the order is by
/// rendezvous hashing. A host outside the group comes last.
std::size_t TargetBalancer::rankOf(const TargetEntry &Of) const {
  const auto Key = [&](const HostId &Host, const FailureDomain &Domain) {
    const std::string Text = Of.Id_.str() + " " + Host.str();
    return std::make_tuple(Domain != Of.Domain_,
                           XXH3_64bits(Text.data(), Text.size()), Host);
  };
  const std::tuple<bool, std::uint64_t, HostId> Own = Key(Own_, OwnDomain_);
  std::size_t Before = 0;
  bool IsMember = false;
  for (const GroupHost &Each : Group_) {
    IsMember |= Each.Id_ == Own_;
    Before += Key(Each.Id_, Each.Domain_) < Own ? 1 : 0;
  }
  return IsMember ? Before : Group_.size();
}

ServiceTally TargetBalancer::tally(TimePoint Now) const {
  return decayed(Ended_, Now - EndedAt_);
}

void TargetBalancer::peerTally(const HostId &From, const ServiceTally &Of,
                               TimePoint Now) {
  PeerTallies_[From] = PeerTally{Of, Now};
}

/// The floor counts the requests of all hosts. What one host sees is too few to
/// tell, and a trial that it loses would ask for the next one.
bool TargetBalancer::isFloorAtRisk(TimePoint Now) const {
  ServiceTally Sum = tally(Now);
  for (const std::pair<const HostId, PeerTally> &Each : PeerTallies_) {
    if (Now - Each.second.At_ > TallyMemory)
      continue;
    const ServiceTally Of = decayed(Each.second.Of_, Now - Each.second.At_);
    Sum.Ended_ += Of.Ended_;
    Sum.Unserved_ += Of.Unserved_;
  }
  return Sum.Ended_ > 0 && Sum.Unserved_ / Sum.Ended_ >= FloorUnservedShare;
}

/// True when a request may serve as a trial: a failure could be made good, or
/// no request comes of which that holds.
bool TargetBalancer::mayRisk(const PickTerms &Terms, TimePoint Now) const {
  return Terms.MayRepeat_ || Now - RepeatableAt_ > RepeatableMemory;
}

void TargetBalancer::rate(State &Each, bool Served, TimePoint Now) {
  const double Kept =
      std::exp(-toSeconds(Now - Each.RatedAt_) / RateDecaySeconds);
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

/// When more targets are without requests than the floor allows, the one of
/// them that has been ejected for longest, as it has most likely recovered;
/// else null.
const TargetBalancer::State *TargetBalancer::floorTrial(const PickTerms &Terms,
                                                        TimePoint Now) const {
  const Duration Delay =
      mayRisk(Terms, Now) ? Duration::zero() : CostlyFloorDelay;
  std::size_t Counted = 0;
  std::size_t Unused = 0;
  const State *Oldest = nullptr;
  for (const std::pair<const TargetId, State> &Each : States_) {
    const State &Seen = Each.second;
    if (Seen.isOut(Now) || Now - Seen.KnownSince_ < FloorJoinTime)
      continue;
    ++Counted;
    if (!Seen.Ejected_ || Seen.OnTrial_ ||
        Now - Seen.TriedAt_ <
            FloorTrialPause + Delay +
                FloorTurn * std::min(Seen.Rank_, MostFloorTurns))
      continue;
    ++Unused;
    if (!Oldest || Seen.SpellAt_ < Oldest->SpellAt_)
      Oldest = &Seen;
  }
  const double Margin = isFloorAtRisk(Now) ? FloorMarginAtRisk : FloorMargin;
  const double Most = (1 - FloorShare_ - Margin) * static_cast<double>(Counted);
  return static_cast<double>(Unused) > Most ? Oldest : nullptr;
}

Duration TargetBalancer::trialPause(const State &Each, bool MayRepeat,
                                    TimePoint Now) const {
  if (Each.Successes_ > 0)
    return SecondTrialPause;
  if (areAllEjected(Now))
    return MayRepeat ? DesperatePause : CostlyDesperatePause;
  if (!MayRepeat)
    return ofSeconds(SpellSeconds_);
  Duration Pause = FirstTrialPause;
  for (std::uint32_t Index = 1; Index < Each.Failures_; ++Index)
    Pause = std::min(LongestTrialPause, Pause + Pause / 2);
  return Pause;
}

/// How long the hosts that try the target before this one are waited for.
Duration TargetBalancer::turnOf(const State &Each) const {
  const Duration Turn = std::max(
      LeastTurn, Duration(static_cast<Duration::rep>(Mean_ * TurnFactor)));
  return Turn * Each.Rank_;
}

bool TargetBalancer::mayTry(const State &Each, const PickTerms &Terms,
                            TimePoint Now) const {
  const double Pause =
      toSeconds(trialPause(Each, Terms.MayRepeat_, Now) + turnOf(Each)) *
      (IsCrowded_ ? CrowdedPausePart : 1);
  if (!Each.Ejected_ || Each.OnTrial_ || toSeconds(Now - Each.TriedAt_) < Pause)
    return false;
  return areAllEjected(Now) || mayRisk(Terms, Now);
}

void TargetBalancer::requestEnded(bool Served, TimePoint Now) {
  Ended_ = tally(Now);
  EndedAt_ = Now;
  Ended_.Ended_ += 1;
  Ended_.Unserved_ += Served ? 0 : 1;
}

/// Adjusts the expected length of a gray failure to what a trial showed. A
/// target that still fails after it is taken to have turned gray anew.
void TargetBalancer::followTrial(State &Each, bool Succeeded, TimePoint Now) {
  const bool IsOver = Now - Each.SpellAt_ > ofSeconds(SpellSeconds_);
  double Factor = 1;
  if (Succeeded)
    Factor = IsOver ? SpellSlightDecline : SpellDecline;
  else if (IsOver)
    Factor = SpellGrowth;
  SpellSeconds_ = std::clamp(SpellSeconds_ * Factor, ShortestSpellSeconds,
                             LongestSpellSeconds);
  if (!Succeeded && IsOver)
    Each.SpellAt_ = Now;
}

void TargetBalancer::eject(State &Each, TimePoint Now) {
  // Requests that were sent together fail together; that is one failure.
  constexpr Duration SameFailure = std::chrono::milliseconds(300);
  if (!Each.Ejected_ || Now - Each.FailedAt_ > SameFailure)
    ++Each.Failures_;
  if (Each.Ejected_ && Now - Each.TriedAt_ > SameFailure)
    followTrial(Each, false, Now);
  if (!Each.Ejected_) {
    Each.SpellAt_ = Now;
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
  if (Each.Ejected_ && Each.Successes_ == 0)
    followTrial(Each, true, Now);
  ++Each.Successes_;
  rate(Each, true, Now);
  Each.TriedAt_ = Now;
  if (Each.Successes_ >= (isCapacityShort() ? 1 : TrialsToReinstate))
    Each.Ejected_ = false;
  if (Each.Successes_ >= ProbationSuccesses)
    Each.Failures_ = 0;
}

} // namespace kumquatpitch
