// Routing, placement, queueing, resends and hedging. See gateway-core.h.

#include "kumquatpitch/gateway-core.h"

#include "kumquatpitch/balancing/work-scope.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Fraction of the resend ratio that is used. The rest is a margin for requests
/// that arrive later than they are counted.
constexpr double UsedRatio = 0.9;
/// Failed connection attempts of a request that are repeated without drawing on
/// the resend budget.
constexpr std::uint32_t MaxFailedConnects = 3;
/// Time reserved before the deadline for the response to reach the caller.
constexpr Duration DeliveryTime = std::chrono::milliseconds(15);
/// Shortest remaining time in which a resend can still succeed.
constexpr Duration MinResendTime = std::chrono::milliseconds(60);
/// Resends reserved for requests that fail unexpectedly: trials of ejected
/// targets and hedged attempts need at least this much budget left.
constexpr double TrialReserve = 2;
constexpr double HedgeReserve = 3;
/// Fractions of the fleet's resend slack. CallerHostsSlack is divided among the
/// hosts that a service's callers are given; every other host gets an equal
/// part of OtherHostsSlack, which is divided by the number of all live hosts.
/// The rest is a margin for hosts whose views of the fleet differ.
constexpr double CallerHostsSlack = 0.6;
constexpr double OtherHostsSlack = 0.25;

/// Until when the request's response meets the route's latency objective; its
/// deadline when the route has none or the deadline comes first.
TimePoint objectiveAt(const GatewayRequest &Request) {
  const Duration Objective = Request.Route_->Objective_;
  if (Objective == Duration::zero())
    return Request.DeadlineAt_;
  return std::min(Request.ArrivedAt_ + Objective, Request.DeadlineAt_);
}

} // namespace

GatewayCore::GatewayCore(GatewayOptions Options, RandomSource &Random)
    : Options_(std::move(Options)), Admission_(Options_.Admission_),
      Random_(Random) {}

void GatewayCore::setTable(std::shared_ptr<const RouteTable> Table) {
  Table_ = std::move(Table);
  Split_.reset();
  ServicesByWork_ = Table_ && Options_.MayBalanceByWork_
                        ? servicesByWork(Table_->config())
                        : std::set<ServiceName>();
  for (std::pair<const ServiceName, ServiceState> &Service : Services_)
    Service.second.Balancer_.setBalancesByWork(
        ServicesByWork_.count(Service.first) > 0);
}

GatewayCore::ServiceState &
GatewayCore::findOrCreateService(const ServiceName &Name) {
  const std::pair<std::map<ServiceName, ServiceState>::iterator, bool> Created =
      Services_.try_emplace(Name, Options_);
  if (Created.second)
    Created.first->second.Balancer_.setBalancesByWork(
        ServicesByWork_.count(Name) > 0);
  return Created.first->second;
}

void GatewayCore::setTargets(const std::map<TargetId, TargetEntry> &Targets,
                             TimePoint Now) {
  std::map<ServiceName, std::vector<TargetEntry>> ByService;
  for (std::pair<const ServiceName, ServiceState> &Service : Services_)
    ByService[Service.first];
  for (const std::pair<const TargetId, TargetEntry> &Target : Targets)
    ByService[Target.second.Service_].push_back(Target.second);
  for (const std::pair<const ServiceName, std::vector<TargetEntry>> &Service :
       ByService)
    findOrCreateService(Service.first)
        .Balancer_.setTargets(Service.second, Now);
}

std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>>
GatewayCore::admit(const RequestHead &Head, TimePoint Now) {
  if (!Table_)
    return makeRefusal(ResultCode::NotReady, StateRetryAfter);
  const VirtualRoute *Route = Table_->find(Head.Host_, Head.Path_);
  if (!Route)
    return makeRefusal(ResultCode::RouteUnknown, std::nullopt);
  const std::variant<GatewayRefusal, CallerIdentity> Caller =
      Admission_.identify(*Table_, *Route, Head.Credential_, Now);
  if (const GatewayRefusal *Refusal = std::get_if<GatewayRefusal>(&Caller))
    return *Refusal;
  const LimitDecision Limit =
      decideLimit(std::get<CallerIdentity>(Caller), Now);
  if (const GatewayRefusal *Refusal = std::get_if<GatewayRefusal>(&Limit))
    return *Refusal;
  const std::shared_ptr<GatewayRequest> Request =
      std::make_shared<GatewayRequest>();
  setLimit(*Request, Limit);
  Request->Caller_ = std::get<CallerIdentity>(Caller);
  Request->Priority_ = priorityOf(*Table_, *Route, Request->Caller_);
  Request->Weight_ = weightOf(*Table_, Request->Caller_);
  Request->Table_ = Table_;
  Request->Route_ = Route;
  Request->Service_ = Split_.choose(*Route, Random_);
  Request->ArrivedAt_ = Now;
  Duration TimeLeft = Route->Timeout_;
  if (Head.TimeLeft_)
    TimeLeft = std::min(TimeLeft, *Head.TimeLeft_);
  Request->DeadlineAt_ = Now + TimeLeft;
  ServiceState &State = findOrCreateService(Request->Service_);
  estimateWork(*Request, Head.BodyBytes_);
  State.Budget_.requestArrived(Now);
  State.Wait_.requestArrived(Request->Priority_, Now);
  return Request;
}

void GatewayCore::setCallerHosts(
    const std::map<ServiceName, std::vector<AssignedHost>> &HostsByService,
    std::size_t AliveHosts, TimePoint Now) {
  SlackShares_.clear();
  for (const std::pair<const ServiceName, std::vector<AssignedHost>> &Service :
       HostsByService) {
    ServiceState &State = findOrCreateService(Service.first);
    State.Balancer_.setAssignedHosts(Service.second, Now);
    State.CallerHosts_ = std::max<std::size_t>(1, Service.second.size());
    if (std::any_of(Service.second.begin(), Service.second.end(),
                    [&](const AssignedHost &Host) {
                      return Host.Id_ == Options_.Host_;
                    }))
      SlackShares_[Service.first] =
          CallerHostsSlack / static_cast<double>(Service.second.size());
  }
  DefaultSlackShare_ =
      OtherHostsSlack /
      static_cast<double>(std::max<std::size_t>(1, AliveHosts));
}

ResendLimits GatewayCore::resendLimits(const ServiceName &Name) const {
  const std::map<ServiceName, double>::const_iterator It =
      SlackShares_.find(Name);
  const double Share =
      It == SlackShares_.end() ? DefaultSlackShare_ : It->second;
  return ResendLimits{Options_.ResendRatio_ * UsedRatio,
                      Options_.ResendSlack_ * Share, Options_.ResendWindow_};
}

GatewayAttempt GatewayCore::startAttempt(GatewayRequest &Request,
                                         ServiceState &State,
                                         const TargetPick &Pick, bool IsResend,
                                         TimePoint Now) {
  GatewayAttempt Attempt{Pick.Target_, Now, Pick.IsTrial_, IsResend,
                         std::nullopt};
  State.Balancer_.attemptStarted(Pick.Target_.Id_, Now, Request.Work_);
  State.Wait_.attemptStarted(State.Queue_.empty(), Now);
  State.Order_.started(Request.Caller_.Workspace_, Request.Weight_);
  Request.HasResendPaid_ = false;
  Request.Tried_.insert(Pick.Target_.Id_);
  ++Request.InProgress_;
  if (Request.Route_->isIdempotent() && !Request.IsHedged_ &&
      Request.Route_->MaxTargets_ > Request.Sent_ + Request.InProgress_)
    Attempt.HedgeAt_ = Now + hedgeDelay(Request);
  return Attempt;
}

PickConstraints GatewayCore::pickConstraints(const GatewayRequest &Request,
                                             ServiceState &State,
                                             TimePoint Now) const {
  PickConstraints Constraints;
  Constraints.Tried_ = Request.Tried_;
  Constraints.IsRetryable_ =
      Request.Route_->isIdempotent() &&
      Request.Route_->MaxTargets_ > Request.Sent_ + 1 &&
      State.Budget_.available(resendLimits(Request.Service_), Now) >=
          TrialReserve;
  Constraints.TimeLeft_ = Request.DeadlineAt_ - Now;
  Constraints.Usual_ = usualLatency(Request);
  Constraints.Work_ = Request.Work_;
  return Constraints;
}

Placement GatewayCore::tryToPlace(GatewayRequest &Request, ServiceState &State,
                                  TimePoint Now) {
  const PickConstraints Constraints = pickConstraints(Request, State, Now);
  if (Constraints.TimeLeft_ <= DeliveryTime || !mayStillSend(Request, Now))
    return refusalFor(Request, Now);
  const std::optional<TargetPick> Pick =
      State.Balancer_.pick(Constraints, Now, Random_);
  if (Pick)
    return startAttempt(Request, State, *Pick, Request.Sent_ > 0, Now);
  if (!State.Balancer_.hasUntriedTarget(Constraints, Now))
    return Request.Tried_.empty()
               ? makeRefusal(ResultCode::NoTarget, StateRetryAfter)
               : refusalFor(Request, Now);
  return QueuedForTarget{};
}

/// Decides about a request for which no target has room: it stays queued, or is
/// refused at once when it has no chance.
Placement GatewayCore::placeQueued(GatewayRequest &Request, ServiceState &State,
                                   std::size_t Ahead, double Rate,
                                   TimePoint Now) {
  if (!mayStillSend(Request, Now))
    return refusalFor(Request, Now);
  if (canBeServedInTime(Request, State, Ahead, Rate, Now))
    return QueuedForTarget{};
  return placeAsLastResort(Request, State, Now);
}

Placement GatewayCore::place(const std::shared_ptr<GatewayRequest> &Request,
                             TimePoint Now) {
  if (Request->Ticket_)
    return awaitToken(Request);
  ServiceState &State = findOrCreateService(Request->Service_);
  // Requests that are already queued are placed before a new one.
  Placement Result = State.Queue_.empty() ? tryToPlace(*Request, State, Now)
                                          : Placement(QueuedForTarget{});
  if (!std::holds_alternative<QueuedForTarget>(Result))
    return Result;
  State.Queue_.push_back(Request);
  sortQueue(State, Now);
  const std::vector<std::shared_ptr<GatewayRequest>>::iterator It =
      std::find(State.Queue_.begin(), State.Queue_.end(), Request);
  Result = placeQueued(
      *Request, State,
      static_cast<std::size_t>(std::distance(State.Queue_.begin(), It)),
      expectedDepartureRate(State, Now), Now);
  Request->IsQueued_ = std::holds_alternative<QueuedForTarget>(Result);
  if (!Request->IsQueued_)
    State.Queue_.erase(It);
  queueChanged(State, Now);
  return Result;
}

void GatewayCore::queueChanged(ServiceState &State, TimePoint Now) {
  State.Balancer_.setHasWaitingRequests(!State.Queue_.empty());
  State.Wait_.setQueueEmpty(State.Queue_.empty(), Now);
}

/// This host's part of the rate at which the service's targets complete
/// requests, if its hosts have about the same load.
double GatewayCore::expectedDepartureRate(const ServiceState &State,
                                          TimePoint Now) {
  return State.Balancer_.completionRate(Now) /
         static_cast<double>(State.CallerHosts_);
}

/// True when a request with `Ahead` others before it in the queue can meet its
/// latency objective or, if no longer that, still its deadline. `Rate` is the
/// expected departure rate.
bool GatewayCore::canBeServedInTime(const GatewayRequest &Request,
                                    const ServiceState &State,
                                    std::size_t Ahead, double Rate,
                                    TimePoint Now) const {
  const Duration Latency = expectedLatency(Request);
  const QueuePosition Position{Ahead, Request.Priority_, false};
  if (State.Wait_.expectedWait(Position, Rate, Now) <=
      objectiveAt(Request) - Latency - Now)
    return true;
  const QueuePosition LatePosition{Ahead, Request.Priority_, true};
  const Duration ShortLatency(static_cast<Duration::rep>(
      static_cast<double>(Latency.count()) / DeadlineSlackFactor));
  return State.Wait_.expectedWait(LatePosition, Rate, Now) <=
         Request.DeadlineAt_ - ShortLatency - Now;
}

void GatewayCore::sortQueue(ServiceState &State, TimePoint Now) const {
  std::vector<QueuedRequest> Order;
  Order.reserve(State.Queue_.size());
  for (const std::shared_ptr<GatewayRequest> &Request : State.Queue_) {
    const TimePoint ObjectiveAt = objectiveAt(*Request);
    const bool IsLate = Now + usualLatency(*Request) > ObjectiveAt;
    Order.push_back(QueuedRequest{Order.size(), IsLate, Request->Priority_,
                                  IsLate ? Request->DeadlineAt_ : ObjectiveAt,
                                  Request->Caller_.Workspace_,
                                  Request->Weight_});
  }
  State.Order_.sort(Order);
  std::vector<std::shared_ptr<GatewayRequest>> Sorted;
  Sorted.reserve(Order.size());
  for (const QueuedRequest &Entry : Order)
    Sorted.push_back(State.Queue_[Entry.Index_]);
  State.Queue_ = std::move(Sorted);
}

/// Sends an idempotent request to an ejected target rather than refusing it: a
/// gray target serves some requests. A resend is spent that way only when all
/// targets are ejected. A request that is not idempotent is refused: its caller
/// then knows that it did not run.
Placement GatewayCore::placeAsLastResort(GatewayRequest &Request,
                                         ServiceState &State, TimePoint Now) {
  if (!Request.Route_->isIdempotent() ||
      (Request.Sent_ > 0 && !State.Balancer_.areAllEjected(Now)))
    return refusalFor(Request, Now);
  PickConstraints Constraints = pickConstraints(Request, State, Now);
  Constraints.IsLastResort_ = true;
  const std::optional<TargetPick> Pick =
      State.Balancer_.pick(Constraints, Now, Random_);
  if (!Pick)
    return refusalFor(Request, Now);
  return startAttempt(Request, State, *Pick, Request.Sent_ > 0, Now);
}

void GatewayCore::drainQueue(ServiceState &State, TimePoint Now,
                             PlacedRequests &Placed) {
  if (State.Queue_.empty())
    return;
  sortQueue(State, Now);
  const double Rate = expectedDepartureRate(State, Now);
  std::vector<std::shared_ptr<GatewayRequest>> StillQueued;
  bool IsFull = false;
  for (const std::shared_ptr<GatewayRequest> &Request : State.Queue_) {
    // Once one request finds no free slot, those behind it could only take the
    // slots of trials, so they are only checked against their deadlines.
    Placement Result = IsFull ? Placement(QueuedForTarget{})
                              : tryToPlace(*Request, State, Now);
    if (std::holds_alternative<QueuedForTarget>(Result)) {
      IsFull = true;
      Result = placeQueued(*Request, State, StillQueued.size(), Rate, Now);
    }
    if (std::holds_alternative<QueuedForTarget>(Result)) {
      StillQueued.push_back(Request);
      continue;
    }
    Request->IsQueued_ = false;
    Placed.emplace_back(Request, Result);
  }
  State.Queue_ = std::move(StillQueued);
  queueChanged(State, Now);
}

GatewayCore::PlacedRequests GatewayCore::placeQueuedRequests(TimePoint Now) {
  PlacedRequests Placed = endTokenWaits(Now);
  for (std::pair<const ServiceName, ServiceState> &Service : Services_)
    drainQueue(Service.second, Now, Placed);
  return Placed;
}

void GatewayCore::removeFromQueue(GatewayRequest &Request, TimePoint Now) {
  cancelTokenWait(Request);
  if (!Request.IsQueued_)
    return;
  Request.IsQueued_ = false;
  ServiceState &State = findOrCreateService(Request.Service_);
  std::erase_if(State.Queue_,
                [&](const std::shared_ptr<GatewayRequest> &Queued) {
                  return Queued.get() == &Request;
                });
  queueChanged(State, Now);
}

std::optional<GatewayAttempt> GatewayCore::placeHedge(GatewayRequest &Request,
                                                      TimePoint Now) {
  ServiceState &State = findOrCreateService(Request.Service_);
  if (Request.IsHedged_ || !Request.Route_->isIdempotent() ||
      Request.Sent_ + Request.InProgress_ >= Request.Route_->MaxTargets_ ||
      Request.DeadlineAt_ - Now < MinResendTime ||
      !mayStillSend(Request, Now) ||
      State.Budget_.available(resendLimits(Request.Service_), Now) <
          HedgeReserve)
    return std::nullopt;
  const std::optional<TargetPick> Pick =
      State.Balancer_.pick(pickConstraints(Request, State, Now), Now, Random_);
  if (!Pick || State.Balancer_.isEjected(Pick->Target_.Id_) ||
      !State.Budget_.tryConsume(resendLimits(Request.Service_), Now, Random_))
    return std::nullopt;
  Request.IsHedged_ = true;
  return startAttempt(Request, State, *Pick, true, Now);
}

GatewayDecision GatewayCore::attemptEnded(GatewayRequest &Request,
                                          const GatewayAttempt &Attempt,
                                          AttemptOutcome Outcome,
                                          const TargetReport &Report,
                                          TimePoint Now) {
  --Request.InProgress_;
  TargetBalancer &Balancer = findOrCreateService(Request.Service_).Balancer_;
  const std::optional<Duration> Work =
      Balancer.workDone(Attempt.Target_.Id_, Attempt.StartedAt_, Now);
  const AttemptEvidence Evidence =
      Balancer.attemptEnded(Attempt.Target_.Id_, Attempt.StartedAt_,
                            classifyAttempt(Request, Attempt, Outcome, Now),
                            meanLatency(*Request.Route_), Report, Now);
  if (Outcome == AttemptOutcome::Success)
    recordLatency(*Request.Route_, Now - Attempt.StartedAt_);
  Request.IsLostTrial_ = Attempt.IsTrial_ && Outcome != AttemptOutcome::Success;
  if (Outcome == AttemptOutcome::NotConnected)
    ++Request.FailedConnects_;
  else
    ++Request.Sent_;
  if (Outcome == AttemptOutcome::Success ||
      Outcome == AttemptOutcome::Failure || Outcome == AttemptOutcome::Broken ||
      Outcome == AttemptOutcome::TimedOut)
    Request.MayHaveRun_ = true;
  GatewayDecision Next =
      Outcome == AttemptOutcome::Success
          ? GatewayDecision{GatewayStep::Deliver, {}, std::nullopt}
          : decideAfterFailure(Request, Outcome, Now);
  Next.Prediction_ = learnWork(Request, Outcome, Evidence, Work);
  // A target that is unreachable or silent from here may be healthy: the fault
  // may lie in the network path from this host.
  if (Evidence == AttemptEvidence::FailedLate ||
      Evidence == AttemptEvidence::Unreachable ||
      Evidence == AttemptEvidence::Silent)
    Next.Observation_ = TargetObservation::SuspectedFailure;
  else if (Evidence == AttemptEvidence::Answered && Attempt.IsTrial_)
    Next.Observation_ = TargetObservation::Recovered;
  else if (Evidence == AttemptEvidence::Failed)
    Next.Observation_ = TargetObservation::Failed;
  else if (Evidence == AttemptEvidence::Gone)
    Next.Observation_ = TargetObservation::Gone;
  return Next;
}

GatewayDecision GatewayCore::decideAfterFailure(GatewayRequest &Request,
                                                AttemptOutcome Outcome,
                                                TimePoint Now) {
  if (Request.InProgress_ > 0)
    return GatewayDecision{GatewayStep::Wait, {}, std::nullopt};
  const bool HasTime =
      Request.DeadlineAt_ - Now >= MinResendTime && mayStillSend(Request, Now);
  const bool MayRepeat = Request.Route_->isIdempotent() || !Request.MayHaveRun_;
  if (HasTime && MayRepeat && Outcome != AttemptOutcome::TimedOut) {
    if (Outcome == AttemptOutcome::NotConnected &&
        Request.FailedConnects_ <= MaxFailedConnects)
      return GatewayDecision{GatewayStep::Resend, {}, std::nullopt};
    if (Request.Sent_ < Request.Route_->MaxTargets_ &&
        findOrCreateService(Request.Service_)
            .Budget_.tryConsume(resendLimits(Request.Service_), Now, Random_)) {
      Request.HasResendPaid_ = true;
      return GatewayDecision{GatewayStep::Resend, {}, std::nullopt};
    }
  }
  if (Outcome == AttemptOutcome::Failure)
    return GatewayDecision{GatewayStep::Deliver, {}, std::nullopt};
  if (Outcome == AttemptOutcome::Broken)
    return GatewayDecision{GatewayStep::Fail,
                           makeRefusal(ResultCode::BackendBroken, std::nullopt),
                           std::nullopt};
  return GatewayDecision{GatewayStep::Fail, refusalFor(Request, Now),
                         std::nullopt};
}

GatewayRefusal GatewayCore::refusalFor(const GatewayRequest &Request,
                                       TimePoint Now) const {
  const UnservedRequest Unserved{Request.MayHaveRun_ || Request.InProgress_ > 0,
                                 Request.DeadlineAt_ - Now <= DeliveryTime,
                                 !endsBeforeStop(Request)};
  const std::map<ServiceName, ServiceState>::const_iterator It =
      Services_.find(Request.Service_);
  if (It == Services_.end())
    return refusalOf(Unserved, StateRetryAfter);
  const ServiceState &State = It->second;
  const double Rate =
      State.Wait_.departureRate(expectedDepartureRate(State, Now), Now);
  return refusalOf(Unserved, retryAfterQueue(State.Queue_.size(), Rate));
}

void GatewayCore::requestEnded(const GatewayRequest &Request, bool Served,
                               TimePoint Now) {
  ServiceState &State = findOrCreateService(Request.Service_);
  // A request beyond its workspace's limit says nothing about the targets.
  if (Request.Token_ && (Served || !Request.IsLostTrial_))
    State.Balancer_.requestEnded(Served, Now);
  if (Request.HasResendPaid_)
    State.Budget_.refund(Now);
  giveTokenBack(Request, Now);
}

std::string GatewayCore::describeQueue(const ServiceName &Name,
                                       TimePoint Now) const {
  const std::map<ServiceName, ServiceState>::const_iterator It =
      Services_.find(Name);
  if (It == Services_.end())
    return "none";
  const ServiceState &State = It->second;
  const double Expected = expectedDepartureRate(State, Now);
  return std::to_string(State.Queue_.size()) + "," +
         std::to_string(std::lround(State.Wait_.departureRate(Expected, Now))) +
         "," + std::to_string(std::lround(Expected));
}

const TargetBalancer *GatewayCore::balancer(const ServiceName &Name) const {
  const std::map<ServiceName, ServiceState>::const_iterator It =
      Services_.find(Name);
  return It == Services_.end() ? nullptr : &It->second.Balancer_;
}

} // namespace kumquatpitch
