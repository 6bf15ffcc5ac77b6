// Target selection, and evidence about targets. See target-balancer.h.

#include "kumquatpitch/target-balancer.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Weight of a new sample in the decayed mean latency.
constexpr double MeanLatencyWeight = 0.03;
/// A reported load of other hosts' requests is ignored after this time.
constexpr double PeerLoadMaxAgeSeconds = 3;
/// Time in which a target's measured slowness loses two thirds of its effect,
/// so that a target that was slow gets requests again.
constexpr double SlownessDecaySeconds = 4;
/// Added cost of a target in another failure domain, as a multiple of a
/// request's time. Bytes between domains are costly, so a request crosses only
/// to save more than this share of a request's time.
constexpr double CrossDomainCost = 0.9;
/// A target that just started is slower by about this factor.
constexpr double ColdFactor = 1.6;
/// Added cost of a target on probation that has a request in progress, as
/// a multiple of a request's time.
constexpr double ProbationCost = 0.8;
/// An ejected target that still serves this share of its requests is used when
/// the others have no room, which is better than refusing requests.
constexpr double MinUsefulServedShare = 0.35;
/// A target that refuses a request is full. It is not picked for about the time
/// in which one of its requests ends.
constexpr Duration RefusalPause = std::chrono::milliseconds(150);
/// How long a target gets no requests after another instance answered at its
/// address. Its entry is removed from the store by then.
constexpr Duration GonePause = std::chrono::seconds(10);
/// Late failures within this time of each other add up: two seen by this host,
/// or three reported by others, eject a target as one early failure does.
/// Healthy targets fail one request in a hundred, and this host does not learn
/// of the requests that they serve for other hosts, so reports weigh less.
constexpr Duration SuspicionWindow = std::chrono::seconds(3);
constexpr std::uint32_t OwnSuspicion = 3;
constexpr std::uint32_t PeerSuspicion = 2;
constexpr std::uint32_t SuspicionToEject = 6;
/// Requests that may wait at a target beyond its slots. Requests that wait at
/// the hosts instead can still go to other targets, and in a better order.
constexpr double MaxWaitingAtTarget = 1;
/// While requests wait at this host, they probably wait at the other hosts too.
/// These then fill the slots that become free, so the load that a target
/// reported falls at this share of its service rate only, and requests wait at
/// the hosts, where they keep their order.
constexpr double BusyCompletionShare = 0.2;
constexpr double MaxWaitingAtBusyTarget = 0.5;
/// A target that refuses a request although it has free slots sheds load at
/// random. The share of its refusals has this time constant and weight of a new
/// sample, and a refusal costs as much as this many times a request's time: it
/// uses up the resend budget, or the request fails.
constexpr double ShedDecaySeconds = 4;
constexpr double ShedWeight = 0.25;
constexpr double ShedCost = 3;
/// A target to which this host has sent nothing for this time, for each host
/// that shares the service, is cheaper by the bonus in request times. Without
/// it, a large service with little load uses its fastest targets only: a third
/// of the others got no request for the two seconds over which the floor is
/// judged. The hosts together send each target about one request a second. This
/// is done only while requests fail: the more targets are used, the more gray
/// ones are found by a request that is lost.
constexpr Duration IdleTimePerHost = std::chrono::seconds(1);
constexpr double IdleBonus = 0.5;
constexpr double IdleUnservedShare = 0.05;
/// A target that has requests in progress is avoided as silent when it has
/// given no answer for this many times the mean latency, and at least for
/// MinSilence.
constexpr double SilentFactor = 4;
constexpr Duration MinSilence = std::chrono::milliseconds(600);

} // namespace

void TargetBalancer::setTargets(const std::vector<TargetEntry> &Targets,
                                TimePoint Now) {
  std::set<TargetId> Listed;
  for (const TargetEntry &Entry : Targets) {
    Listed.insert(Entry.Id_);
    State &Target = States_[Entry.Id_];
    if (Target.Entry_.StartedUnixMs_ != Entry.StartedUnixMs_ ||
        Target.Entry_.Address_ != Entry.Address_) {
      Target = State();
      Target.KnownSince_ = Now;
      Target.Entry_ = Entry;
      updateRank(Target);
    }
    Target.Entry_ = Entry;
  }
  for (std::map<TargetId, State>::iterator It = States_.begin();
       It != States_.end();)
    It = Listed.count(It->first) ? std::next(It) : States_.erase(It);
}

double TargetBalancer::load(const State &Target, TimePoint Now) const {
  const double Age = toSeconds(Now - Target.PeerLoadAt_);
  const double Own = static_cast<double>(Target.Running_.size());
  if (ByWork_)
    return Own + peerLoadByWork(Target, Now);
  if (Age > PeerLoadMaxAgeSeconds)
    return Own;
  // The target has completed requests since the report. Requests that other
  // hosts have sent since then are not known.
  constexpr double MicrosecondsPerSecond = 1e6;
  const double Completed = Age * Target.Entry_.Slots_ * MicrosecondsPerSecond /
                           MeanLatencyUs_ *
                           (HasWaitingRequests_ ? BusyCompletionShare : 1);
  return Own + std::max(0.0, Target.PeerLoad_ - Completed);
}

double TargetBalancer::slowness(const State &Target, TimePoint Now) const {
  const double Age = toSeconds(Now - Target.SlownessAt_);
  const double Decayed =
      1 + (Target.Slowness_ - 1) * std::exp(-Age / SlownessDecaySeconds);
  return Now < Target.KnownSince_ + Target.Entry_.ColdFor_
             ? std::max(Decayed, ColdFactor)
             : Decayed;
}

double TargetBalancer::expectedTime(const State &Target, TimePoint Now) const {
  const double Slots = std::max<double>(1, Target.Entry_.Slots_);
  const double Load = load(Target, Now);
  // Some backend servers slow down when nearly full: a small cost for load
  // below the slots spreads requests before any has to wait.
  constexpr double SpreadCost = 0.15;
  return slowness(Target, Now) * (1 + SpreadCost * Load / Slots +
                                  std::max(0.0, Load + 1 - Slots) / Slots);
}

double TargetBalancer::shedShare(const State &Target, TimePoint Now) {
  if (Target.ShedShare_ == 0)
    return 0;
  return Target.ShedShare_ *
         std::exp(-toSeconds(Now - Target.ShedAt_) / ShedDecaySeconds);
}

/// Records whether a target that had free slots refused a request.
void TargetBalancer::recordShedding(State &Target, bool Refused,
                                    TimePoint Now) {
  const double Before = shedShare(Target, Now);
  Target.ShedShare_ = Before + ((Refused ? 1 : 0) - Before) * ShedWeight;
  Target.ShedAt_ = Now;
}

bool TargetBalancer::isSilent(const State &Target, TimePoint Now) const {
  if (Target.Running_.empty())
    return false;
  if (ByWork_)
    return Target.Running_.isOverdue(SilentFactor, MinSilence,
                                     Target.AnsweredAt_, Now);
  const Duration Limit = std::max(
      MinSilence,
      Duration(static_cast<Duration::rep>(MeanLatencyUs_ * SilentFactor)));
  return Now - std::max(Target.Running_.oldestStart(), Target.AnsweredAt_) >
         Limit;
}

bool TargetBalancer::hasRoom(const State &Target, double Load,
                             TimePoint Now) const {
  return Load < Target.Entry_.Slots_ + (HasWaitingRequests_
                                            ? MaxWaitingAtBusyTarget
                                            : MaxWaitingAtTarget) &&
         Now >= Target.RefusingUntil_;
}

bool TargetBalancer::areAllEjected(TimePoint Now) const {
  return std::all_of(States_.begin(), States_.end(),
                     [&](const std::pair<const TargetId, State> &Entry) {
                       return Entry.second.Ejected_ ||
                              Entry.second.isUnavailable(Now);
                     });
}

bool TargetBalancer::hasUntriedTarget(const PickConstraints &Constraints,
                                      TimePoint Now) const {
  return std::any_of(States_.begin(), States_.end(),
                     [&](const std::pair<const TargetId, State> &Entry) {
                       return !Entry.second.isUnavailable(Now) &&
                              !Constraints.Tried_.count(Entry.first);
                     });
}

std::string TargetBalancer::describe(TimePoint Now) const {
  std::string Text;
  for (const std::pair<const TargetId, State> &Entry : States_) {
    const State &Target = Entry.second;
    const std::size_t Own = Target.Running_.size();
    Text += std::to_string(Own) + "+" +
            std::to_string(
                std::lround(load(Target, Now) - static_cast<double>(Own)));
    Text += Target.Entry_.Leaving_                  ? "l"
            : !Target.RateLimit_.allowsAttempt(Now) ? "r"
            : Target.isUnavailable(Now)             ? "g"
            : Target.Ejected_                       ? "e"
            : Target.Failures_ > 0                  ? "p"
            : Now < Target.RefusingUntil_           ? "f"
                                                    : "";
    Text += Target.Entry_.Domain_ == OwnDomain_ ? "o" : "";
    const std::int64_t WaitMs =
        ByWork_ ? toMilliseconds(expectedWait(Target, Now)) : 0;
    Text += WaitMs > 0 ? "w" + std::to_string(WaitMs) + " " : " ";
  }
  return Text;
}

double TargetBalancer::completionRate(TimePoint Now) const {
  double Sum = 0;
  for (const std::pair<const TargetId, State> &Entry : States_)
    if (!Entry.second.isUnavailable(Now))
      Sum += completionRate(Entry.second, Now);
  return Sum;
}

double TargetBalancer::completionRate(const State &Target,
                                      TimePoint Now) const {
  constexpr double MicrosecondsPerSecond = 1e6;
  const double BySlots = Target.Entry_.Slots_ / slowness(Target, Now) *
                         (Target.Ejected_ ? servedShare(Target) : 1) *
                         MicrosecondsPerSecond / usualUs();
  // The hosts have equal parts of what the slots serve, but not of a limit.
  const double ByLimit =
      Target.RateLimit_.ownPerSecond(Now) *
      static_cast<double>(std::max<std::size_t>(1, AssignedHosts_.size()));
  return std::min(BySlots, ByLimit);
}

std::optional<TargetPick>
TargetBalancer::pick(const PickConstraints &Constraints, TimePoint Now,
                     RandomSource &Random) {
  if (Constraints.IsRetryable_)
    RetryablePickedAt_ = Now;
  State *Best = nullptr;
  State *Trial = nullptr;
  double BestCost = 0;
  constexpr double JitterShare = 0.02;
  const PickBasis Basis = pickBasis(Now);
  const State *FloorTrial = floorTrialTarget(Constraints, Basis, Now);
  const bool UsesIdleTargets = Basis.UnservedShare_ >= IdleUnservedShare;
  const Duration IdleTime =
      IdleTimePerHost * std::max<std::size_t>(1, AssignedHosts_.size());
  for (std::pair<const TargetId, State> &Entry : States_) {
    State &Target = Entry.second;
    if (Target.isUnavailable(Now) || !Target.RateLimit_.allowsAttempt(Now) ||
        Constraints.Tried_.count(Entry.first))
      continue;
    if ((isTrialDue(Target, Constraints, Basis, Now) ||
         &Target == FloorTrial) &&
        (!Trial || Target.LastResultAt_ < Trial->LastResultAt_))
      Trial = &Target;
    const bool IsUseful =
        HasWaitingRequests_ && servedShare(Target) >= MinUsefulServedShare;
    const double Load = load(Target, Now);
    if (!hasRoom(Target, Load, Now) || (Target.Ejected_ && !IsUseful))
      continue;
    const double Slowness = slowness(Target, Now);
    if (static_cast<double>(Constraints.Usual_.count()) * Slowness >
        static_cast<double>(Constraints.TimeLeft_.count()) *
            DeadlineSlackFactor)
      continue;
    double Cost = (ByWork_ ? completionTime(Target, Constraints.Work_, Load,
                                            Slowness, Now)
                           : expectedTime(Target, Now)) +
                  ShedCost * shedShare(Target, Now);
    // What follows lowers the cost by no more than the bonus.
    if (ByWork_ && Best && BestCost >= 0 && Cost - IdleBonus > BestCost)
      continue;
    if (Target.Entry_.Domain_ != OwnDomain_)
      Cost += CrossDomainCost;
    if (Target.Failures_ > 0 && !Target.Running_.empty())
      Cost += ProbationCost;
    constexpr double SilentPenalty = 1e9;
    if (isSilent(Target, Now))
      Cost += SilentPenalty;
    if (Target.Ejected_)
      Cost += SilentPenalty * (2 - servedShare(Target));
    if (UsesIdleTargets && Now - Target.SentAt_ > IdleTime)
      Cost -= IdleBonus;
    Cost *= 1 + JitterShare * static_cast<double>(Random.below(1'000)) / 1'000;
    if (!Best || Cost < BestCost) {
      Best = &Target;
      BestCost = Cost;
    }
  }
  const bool IsTrial = Trial != nullptr;
  if (IsTrial) {
    Best = Trial;
    Best->OnTrial_ = true;
  }
  if (!Best)
    return Constraints.IsLastResort_ ? pickLastResort(Constraints, Now)
                                     : std::nullopt;
  return TargetPick{Best->Entry_, IsTrial};
}

std::optional<TargetPick>
TargetBalancer::pickLastResort(const PickConstraints &Constraints,
                               TimePoint Now) {
  const State *Best = nullptr;
  for (const std::pair<const TargetId, State> &Entry : States_)
    if (Entry.second.Ejected_ && !Entry.second.isUnavailable(Now) &&
        hasRoom(Entry.second, load(Entry.second, Now), Now) &&
        Entry.second.RateLimit_.allowsAttempt(Now) &&
        !Constraints.Tried_.count(Entry.first) &&
        (!Best || Entry.second.FailedAt_ < Best->FailedAt_))
      Best = &Entry.second;
  if (!Best)
    return std::nullopt;
  return TargetPick{Best->Entry_, false};
}

void TargetBalancer::attemptStarted(const TargetId &Id, TimePoint Now,
                                    const WorkEstimate &Work) {
  const std::map<TargetId, State>::iterator It = States_.find(Id);
  if (It == States_.end())
    return;
  Duration Wait{};
  if (Work.isKnown()) {
    Wait = expectedWait(It->second, Now);
    recordExpectedWork(Work);
  }
  It->second.Running_.started(Now, Wait, Work);
  It->second.SentAt_ = Now;
  It->second.RateLimit_.attemptStarted(Now);
}

AttemptEvidence
TargetBalancer::attemptEnded(const TargetId &Id, TimePoint StartedAt,
                             AttemptEvidence Evidence, Duration Usual,
                             const TargetReport &Report, TimePoint Now) {
  const std::map<TargetId, State>::iterator It = States_.find(Id);
  if (It == States_.end())
    return Evidence;
  State &Target = It->second;
  const std::optional<OwnAttempt> Attempt = Target.Running_.find(StartedAt);
  Target.Running_.ended(StartedAt);
  if (Target.OnTrial_ && Target.IsUnresponsive_ &&
      Evidence != AttemptEvidence::None)
    recordTrialOfUnresponsive(Evidence == AttemptEvidence::Answered);
  Target.OnTrial_ = false;
  if (Evidence == AttemptEvidence::Answered ||
      Evidence == AttemptEvidence::FailedLate ||
      Evidence == AttemptEvidence::Refused)
    Target.AnsweredAt_ = Now;
  const std::optional<ReportedLoad> &Load = Report.Load_;
  if (Load) {
    const double Total = Load->Running_ + Load->Waiting_;
    recordPeerLoad(
        Target,
        std::max(0.0, Total - static_cast<double>(Target.Running_.size())),
        Now);
  }
  if (Report.RateLimit_) {
    const bool WasLimited = Target.RateLimit_.perSecond(Now) != NoRateLimit;
    Target.RateLimit_.recordAnswer(*Report.RateLimit_, Now);
    if (!WasLimited)
      updateRateLimitShare(Target, Demand_.weights(OwnId_, Now), Now);
  }
  if (Evidence == AttemptEvidence::Answered) {
    const double Latency = static_cast<double>((Now - StartedAt).count());
    MeanLatencyUs_ += (Latency - MeanLatencyUs_) * MeanLatencyWeight *
                      std::min(1.0, Latency / MeanLatencyUs_);
    if (Usual.count() > 0)
      recordSpeed(Target, Attempt, StartedAt, Usual, Now);
  }
  const bool HadFreeSlot =
      Load && Load->Waiting_ == 0 && Load->Running_ < Target.Entry_.Slots_;
  if (Evidence == AttemptEvidence::Refused && HadFreeSlot)
    recordShedding(Target, true, Now);
  else if (Evidence == AttemptEvidence::Refused)
    Target.RefusingUntil_ = Now + RefusalPause;
  else if (Evidence == AttemptEvidence::Answered ||
           Evidence == AttemptEvidence::FailedLate)
    recordShedding(Target, false, Now);
  const double UsualUs =
      Attempt && Attempt->Work_.isKnown()
          ? static_cast<double>(Attempt->Work_.mean().count())
          : MeanLatencyUs_;
  if (Evidence == AttemptEvidence::Silent &&
      !showsSilence(Target, StartedAt, UsualUs, Now))
    return AttemptEvidence::None;
  applyEvidence(Target, Evidence, StartedAt, Now);
  return Evidence;
}

/// A target that has answered other requests meanwhile is slow or full, not
/// failed. An attempt of less than twice the usual latency, or of less than
/// MinSilence, was too short to tell.
bool TargetBalancer::showsSilence(const State &Target, TimePoint StartedAt,
                                  double UsualUs, TimePoint Now) const {
  return Target.AnsweredAt_ <= StartedAt &&
         Now - StartedAt >=
             std::max(MinSilence,
                      Duration(static_cast<Duration::rep>(UsualUs * 2)));
}

void TargetBalancer::applyEvidence(State &Target, AttemptEvidence Evidence,
                                   TimePoint StartedAt, TimePoint Now) {
  switch (Evidence) {
  case AttemptEvidence::Answered:
    Target.IsUnresponsive_ = false;
    Target.Suspicion_ = 0;
    // A request sent before the failure does not show that the target has
    // recovered since.
    if (!Target.Ejected_ || StartedAt > Target.FailedAt_)
      recordSuccess(Target, Now);
    break;
  case AttemptEvidence::Failed:
    Target.IsUnresponsive_ = false;
    eject(Target, Now);
    break;
  case AttemptEvidence::Unreachable:
  case AttemptEvidence::Silent:
    Target.IsUnresponsive_ = true;
    eject(Target, Now);
    break;
  case AttemptEvidence::FailedLate:
    raiseSuspicion(Target, OwnSuspicion, Now);
    break;
  case AttemptEvidence::Gone:
    Target.GoneUntil_ = Now + GonePause;
    break;
  case AttemptEvidence::Refused:
  case AttemptEvidence::None:
    break;
  }
}

void TargetBalancer::applyPeerObservation(const TargetId &Id,
                                          TargetObservation Observation,
                                          TimePoint Now) {
  const std::map<TargetId, State>::iterator It = States_.find(Id);
  if (It == States_.end())
    return;
  switch (Observation) {
  case TargetObservation::Failed:
    It->second.IsUnresponsive_ = false;
    return eject(It->second, Now);
  case TargetObservation::SuspectedFailure:
    return raiseSuspicion(It->second, PeerSuspicion, Now);
  case TargetObservation::Gone:
    It->second.GoneUntil_ = Now + GonePause;
    return;
  case TargetObservation::Recovered:
    return recordSuccess(It->second, Now);
  }
}

void TargetBalancer::raiseSuspicion(State &Target, std::uint32_t Weight,
                                    TimePoint Now) {
  if (Now - Target.SuspectedAt_ >= SuspicionWindow)
    Target.Suspicion_ = 0;
  Target.Suspicion_ += Weight;
  Target.SuspectedAt_ = Now;
  if (Target.Suspicion_ >= SuspicionToEject)
    eject(Target, Now);
}

bool TargetBalancer::isEjected(const TargetId &Id) const {
  const std::map<TargetId, State>::const_iterator It = States_.find(Id);
  return It != States_.end() && It->second.Ejected_;
}

std::size_t TargetBalancer::ejectedCount() const {
  return static_cast<std::size_t>(
      std::count_if(States_.begin(), States_.end(),
                    [](const std::pair<const TargetId, State> &Entry) {
                      return Entry.second.Ejected_;
                    }));
}

Duration TargetBalancer::expectedTimeToFreeSlot(TimePoint Now) const {
  std::optional<double> ShortestTime;
  for (const std::pair<const TargetId, State> &Entry : States_)
    if (!Entry.second.Ejected_)
      ShortestTime = std::min(ShortestTime.value_or(1e9),
                              expectedTime(Entry.second, Now) - 1);
  return Duration(static_cast<Duration::rep>(
      MeanLatencyUs_ * std::max(0.0, ShortestTime.value_or(1))));
}

} // namespace kumquatpitch
