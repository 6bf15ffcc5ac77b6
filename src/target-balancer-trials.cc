// Ejection, trial requests to ejected targets, and the floor. See
// target-balancer.h.

#include "kumquatpitch/target-balancer.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

/// A host waits this long for the result of an earlier host's trial of a target
/// that does not answer: the trial ends with the deadline of its request.
constexpr Duration UnresponsiveTurn = std::chrono::milliseconds(2'500);
/// Bounds the growth of MaxUnresponsiveTrials_.
constexpr std::size_t MostUnresponsiveTrials = 64;
/// Pause before a trial by a request that can be resent to another target. It
/// grows by half with each failure in a row, up to the maximum.
constexpr Duration MinTrialPause = std::chrono::milliseconds(1'500);
constexpr Duration MaxTrialPause = std::chrono::milliseconds(3'000);
/// Bounds of the expected length of a gray failure, in seconds. That length is
/// the pause before a trial by a request that is lost if it fails.
constexpr double MinGrayFailureSeconds = 3;
constexpr double MaxGrayFailureSeconds = 15;
/// Factors applied to the expected length: when a trial fails after it has
/// passed, when one succeeds before, and when one succeeds after. The last
/// gives the least information, so it changes the length least.
constexpr double GrayFailureGrowth = 1.10;
constexpr double GrayFailureDecline = 0.97;
constexpr double GrayFailureSlightDecline = 0.99;
/// Trial pauses are shortened by this factor while requests wait for room.
constexpr double WaitingRequestsPauseFactor = 0.5;
/// Share of the targets that is kept in reserve above the floor before trials
/// are sent for its sake. It is negative: slightly more targets may stay unused
/// than the floor allows, since those that failed in the last two seconds do
/// not count. The floor is kept at all times, since all hosts may lose power at
/// any moment, and the requests lost then count.
constexpr double FloorMargin = -0.02;
/// Targets that have been known for less than this time do not count for the
/// floor.
constexpr Duration FloorWarmUp = std::chrono::seconds(6);
/// An ejected target counts as unused when it has been without a result for
/// this time.
constexpr Duration FloorTrialPause = std::chrono::milliseconds(1'500);
/// While requests of the service fail, the floor counts only targets that are
/// sound, and a host cannot tell how few these are: seven of a hundred, if most
/// are replaced or cut off. So no ejected target may be without a request for
/// the two seconds over which the floor is judged. One that answered with an
/// error is sound two seconds later. One that did not answer at all is sound
/// only some seconds after its fault has ended, and each trial of it
/// occupies a request until its deadline.
constexpr Duration AtRiskTrialPause = std::chrono::milliseconds(1'200);
constexpr Duration AtRiskUnresponsivePause = std::chrono::seconds(4);
/// Pauses between trials of a target while all targets of the service are
/// ejected. The longer one is for requests that are lost if they fail.
constexpr Duration AllEjectedPause = std::chrono::milliseconds(300);
constexpr Duration NonRetryableAllEjectedPause =
    std::chrono::milliseconds(1'000);
/// Successful trials in a row that reinstate a target; a gray target succeeds
/// now and then. One is enough while less than half of the targets are in use
/// or requests wait for room.
constexpr std::uint32_t TrialsToReinstate = 2;
constexpr Duration SecondTrialPause = std::chrono::milliseconds(120);
constexpr double ShortCapacityShare = 0.5;
/// A reinstated target is on probation until this many requests have succeeded:
/// beyond one at a time, it gets requests only when others would have to wait.
constexpr std::uint32_t SuccessesToEndProbation = 4;
/// Time constant of the counts of an ejected target's successes and failures.
constexpr double OutcomeDecaySeconds = 3;
/// Prior for the served share of a target that has just been ejected: requests
/// served, and requests in total.
constexpr double PriorServed = 0.3;
constexpr double PriorRequests = 1;
/// A host waits this long for each host that precedes it in the order of
/// trials, so that it learns the result of an earlier trial before it sends its
/// own.
constexpr Duration MinTurn = std::chrono::milliseconds(400);
constexpr double TurnFactor = 1.5; ///< Of the mean latency.
/// The wait per preceding host for trials that the floor requires. It is short
/// to stay within the time that the floor allows.
constexpr Duration FloorTurn = std::chrono::milliseconds(60);
constexpr std::size_t MaxFloorTurns = 5;
/// Extra wait before a request that is lost if it fails is used as such a
/// trial, so that retryable requests are used first.
constexpr Duration NonRetryableFloorDelay = std::chrono::milliseconds(300);
/// Request counts that other hosts reported are used for this long.
constexpr Duration PeerOutcomesMaxAge = std::chrono::milliseconds(1'500);
/// The floor is at risk from this share of failed requests.
constexpr double AtRiskUnservedShare = 0.08;
constexpr double UnservedDecaySeconds = 1;
/// When no retryable request was seen for this long, requests that are lost if
/// they fail serve as trials too.
constexpr Duration RetryableMaxAge = std::chrono::seconds(6);

RequestOutcomeCounts decayed(const RequestOutcomeCounts &Counts, Duration Age) {
  const double DecayFactor = std::exp(-toSeconds(Age) / UnservedDecaySeconds);
  return RequestOutcomeCounts{Counts.Ended_ * DecayFactor,
                              Counts.Unserved_ * DecayFactor};
}

} // namespace

void TargetBalancer::setAssignedHosts(std::vector<AssignedHost> Hosts,
                                      TimePoint Now) {
  AssignedHosts_ = std::move(Hosts);
  std::erase_if(
      PeerOutcomes_, [&](const std::pair<const HostId, PeerOutcomes> &Entry) {
        return std::none_of(
            AssignedHosts_.begin(), AssignedHosts_.end(),
            [&](const AssignedHost &Host) { return Host.Id_ == Entry.first; });
      });
  std::vector<HostId> Ids;
  for (const AssignedHost &Host : AssignedHosts_)
    Ids.push_back(Host.Id_);
  Demand_.setHosts(Ids, Now);
  for (std::pair<const TargetId, State> &Entry : States_)
    updateRank(Entry.second);
  updateRateLimitShares(Now);
}

void TargetBalancer::updateRank(State &Target) const {
  Target.Rank_ = rankOf(Target.Entry_);
  Target.RateLimit_.setRank(Target.Rank_, AssignedHosts_.size());
}

/// Number of hosts that send trials to the target before this one. Hosts of the
/// target's own failure domain come first; within a domain the order is by
/// rendezvous hashing. A host that is not assigned comes last.
std::size_t TargetBalancer::rankOf(const TargetEntry &Entry) const {
  const auto Key = [&](const HostId &Host, const FailureDomain &Domain) {
    const std::string Text = Entry.Id_.str() + " " + Host.str();
    return std::make_tuple(Domain != Entry.Domain_,
                           XXH3_64bits(Text.data(), Text.size()), Host);
  };
  const std::tuple<bool, std::uint64_t, HostId> Own = Key(OwnId_, OwnDomain_);
  std::size_t Rank = 0;
  bool IsMember = false;
  for (const AssignedHost &Host : AssignedHosts_) {
    IsMember |= Host.Id_ == OwnId_;
    Rank += Key(Host.Id_, Host.Domain_) < Own ? 1 : 0;
  }
  return IsMember ? Rank : AssignedHosts_.size();
}

RequestOutcomeCounts TargetBalancer::outcomeCounts(TimePoint Now) const {
  return decayed(OwnOutcomes_, Now - OwnOutcomesAt_);
}

void TargetBalancer::recordPeerOutcomes(const HostId &From,
                                        const RequestOutcomeCounts &Counts,
                                        TimePoint Now) {
  PeerOutcomes_[From] = PeerOutcomes{Counts, Now};
  // The counts decay with a time constant of one second, so their value is also
  // a rate.
  Demand_.record(From, Counts.Ended_, Now);
}

/// Share of the service's recent requests that were not served. The requests of
/// all hosts count: those of a single host are too few to tell, and a failed
/// trial of its own would call for the next one.
double TargetBalancer::unservedShare(TimePoint Now) const {
  RequestOutcomeCounts Sum = outcomeCounts(Now);
  for (const std::pair<const HostId, PeerOutcomes> &Entry : PeerOutcomes_) {
    if (Now - Entry.second.ReportedAt_ > PeerOutcomesMaxAge)
      continue;
    const RequestOutcomeCounts Counts =
        decayed(Entry.second.Counts_, Now - Entry.second.ReportedAt_);
    Sum.Ended_ += Counts.Ended_;
    Sum.Unserved_ += Counts.Unserved_;
  }
  return Sum.Ended_ > 0 ? Sum.Unserved_ / Sum.Ended_ : 0;
}

/// True when a request may serve as a trial: it can be resent if it fails, or
/// no such request has been seen for a while.
bool TargetBalancer::mayBeTrial(const PickConstraints &Constraints,
                                TimePoint Now) const {
  return Constraints.IsRetryable_ || Now - RetryablePickedAt_ > RetryableMaxAge;
}

void TargetBalancer::countOutcome(State &Target, bool Served, TimePoint Now) {
  const double DecayFactor =
      std::exp(-toSeconds(Now - Target.OutcomesAt_) / OutcomeDecaySeconds);
  Target.OutcomesAt_ = Now;
  Target.Served_ = Target.Served_ * DecayFactor + (Served ? 1 : 0);
  Target.Unserved_ = Target.Unserved_ * DecayFactor + (Served ? 0 : 1);
}

double TargetBalancer::servedShare(const State &Target) {
  return (Target.Served_ + PriorServed) /
         (Target.Served_ + Target.Unserved_ + PriorRequests);
}

bool TargetBalancer::isCapacityShort() const {
  return HasWaitingRequests_ ||
         static_cast<double>(ejectedCount()) >
             (1 - ShortCapacityShare) * static_cast<double>(States_.size());
}

/// How long the floor allows an ejected target to be without a result.
Duration TargetBalancer::floorPause(const State &Target, bool IsAtRisk) {
  if (!IsAtRisk)
    return FloorTrialPause;
  return Target.IsUnresponsive_ ? AtRiskUnresponsivePause : AtRiskTrialPause;
}

/// When the floor calls for a trial, returns the unused target whose gray
/// failure began first, as it has most likely recovered; otherwise null.
const TargetBalancer::State *
TargetBalancer::floorTrialTarget(const PickConstraints &Constraints,
                                 const PickBasis &Basis, TimePoint Now) const {
  if (!Basis.HasEjected_)
    return nullptr;
  const Duration Delay =
      mayBeTrial(Constraints, Now) ? Duration::zero() : NonRetryableFloorDelay;
  const bool IsAtRisk = Basis.UnservedShare_ >= AtRiskUnservedShare;
  std::size_t Counted = 0;
  std::size_t Unused = 0;
  const State *Oldest = nullptr;
  for (const std::pair<const TargetId, State> &Entry : States_) {
    const State &Target = Entry.second;
    if (Target.isUnavailable(Now) || Now - Target.KnownSince_ < FloorWarmUp)
      continue;
    ++Counted;
    if (!Target.Ejected_ || Target.OnTrial_ || !Basis.mayTry(Target) ||
        !Target.RateLimit_.allowsAttempt(Now) ||
        Now - Target.LastResultAt_ <
            floorPause(Target, IsAtRisk) + Delay +
                FloorTurn * std::min(Target.Rank_, MaxFloorTurns))
      continue;
    ++Unused;
    if (!Oldest || Target.GraySince_ < Oldest->GraySince_)
      Oldest = &Target;
  }
  const double MaxUnused =
      IsAtRisk ? 0
               : (1 - FloorShare_ - FloorMargin) * static_cast<double>(Counted);
  return static_cast<double>(Unused) > MaxUnused ? Oldest : nullptr;
}

Duration TargetBalancer::trialPause(const State &Target, bool IsRetryable,
                                    TimePoint Now) const {
  if (Target.Successes_ > 0)
    return SecondTrialPause;
  if (areAllEjected(Now))
    return IsRetryable ? AllEjectedPause : NonRetryableAllEjectedPause;
  if (!IsRetryable)
    return fromSeconds(GrayFailureSeconds_);
  Duration Pause = MinTrialPause;
  for (std::uint32_t Index = 1; Index < Target.Failures_; ++Index)
    Pause = std::min(MaxTrialPause, Pause + Pause / 2);
  return Pause;
}

/// Time that this host leaves to the hosts that precede it in the order of
/// trials of the target.
Duration TargetBalancer::turnDelay(const State &Target) const {
  if (Target.IsUnresponsive_)
    return UnresponsiveTurn * Target.Rank_;
  const Duration Turn = std::max(MinTurn, Duration(static_cast<Duration::rep>(
                                              MeanLatencyUs_ * TurnFactor)));
  return Turn * Target.Rank_;
}

bool TargetBalancer::isTrialDue(const State &Target,
                                const PickConstraints &Constraints,
                                const PickBasis &Basis, TimePoint Now) const {
  if (!Target.Ejected_ || Target.OnTrial_ || !Basis.mayTry(Target))
    return false;
  const double Pause =
      toSeconds(trialPause(Target, Constraints.IsRetryable_, Now) +
                turnDelay(Target)) *
      (HasWaitingRequests_ ? WaitingRequestsPauseFactor : 1);
  if (toSeconds(Now - Target.LastResultAt_) < Pause)
    return false;
  return areAllEjected(Now) || mayBeTrial(Constraints, Now);
}

/// Slow start of the trials of unresponsive targets. Each of them occupies its
/// request until the deadline, and many targets fall silent by one cause: if
/// all were tried as they become due, most requests of a service would be lost.
/// A trial that succeeds doubles the number that may be in progress at once, so
/// that all are in use again soon after the cause has ended.
TargetBalancer::PickBasis TargetBalancer::pickBasis(TimePoint Now) const {
  bool HasEjected = false;
  const std::ptrdiff_t InProgress =
      std::count_if(States_.begin(), States_.end(),
                    [&](const std::pair<const TargetId, State> &Entry) {
                      HasEjected |= Entry.second.Ejected_;
                      return Entry.second.Ejected_ && Entry.second.OnTrial_ &&
                             Entry.second.IsUnresponsive_;
                    });
  return PickBasis{unservedShare(Now),
                   static_cast<std::size_t>(InProgress) <
                       MaxUnresponsiveTrials_,
                   HasEjected};
}

void TargetBalancer::recordTrialOfUnresponsive(bool Succeeded) {
  MaxUnresponsiveTrials_ =
      Succeeded ? std::min(MostUnresponsiveTrials, MaxUnresponsiveTrials_ * 2)
                : 1;
}

void TargetBalancer::requestEnded(bool Served, TimePoint Now) {
  OwnOutcomes_ = outcomeCounts(Now);
  OwnOutcomesAt_ = Now;
  OwnOutcomes_.Ended_ += 1;
  OwnOutcomes_.Unserved_ += Served ? 0 : 1;
}

/// Adjusts the expected length of a gray failure by the result of a trial. When
/// a target still fails after that length, a new gray failure is assumed.
void TargetBalancer::adjustGrayFailureLength(State &Target, bool Succeeded,
                                             TimePoint Now) {
  const bool IsOver =
      Now - Target.GraySince_ > fromSeconds(GrayFailureSeconds_);
  double Factor = 1;
  if (Succeeded)
    Factor = IsOver ? GrayFailureSlightDecline : GrayFailureDecline;
  else if (IsOver)
    Factor = GrayFailureGrowth;
  GrayFailureSeconds_ =
      std::clamp(GrayFailureSeconds_ * Factor, MinGrayFailureSeconds,
                 MaxGrayFailureSeconds);
  if (!Succeeded && IsOver)
    Target.GraySince_ = Now;
}

void TargetBalancer::eject(State &Target, TimePoint Now) {
  // Requests that were sent together fail together and count as one failure.
  constexpr Duration SameFailure = std::chrono::milliseconds(300);
  if (!Target.Ejected_ || Now - Target.FailedAt_ > SameFailure)
    ++Target.Failures_;
  if (Target.Ejected_ && Now - Target.LastResultAt_ > SameFailure)
    adjustGrayFailureLength(Target, false, Now);
  if (!Target.Ejected_) {
    Target.GraySince_ = Now;
    Target.Served_ = 0;
    Target.Unserved_ = 0;
  }
  countOutcome(Target, false, Now);
  Target.FailedAt_ = Now;
  Target.LastResultAt_ = Now;
  Target.Ejected_ = true;
  Target.Successes_ = 0;
}

void TargetBalancer::recordSuccess(State &Target, TimePoint Now) {
  if (Target.Failures_ == 0)
    return;
  if (Target.Ejected_ && Target.Successes_ == 0)
    adjustGrayFailureLength(Target, true, Now);
  ++Target.Successes_;
  countOutcome(Target, true, Now);
  Target.LastResultAt_ = Now;
  if (Target.Successes_ >= (isCapacityShort() ? 1 : TrialsToReinstate))
    Target.Ejected_ = false;
  if (Target.Successes_ >= SuccessesToEndProbation)
    Target.Failures_ = 0;
}

} // namespace kumquatpitch
