// Admission, attempts, retries and outcomes of requests. See request-flow.h.

#include "kumquatpitch/request-flow.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace kumquatpitch {

namespace {

/// Refusal of a request of which nothing can have been sent.
NextStep refuseNotRun(ResultCode Code, const std::string &Message) {
  return RequestRefusal{Code, Outcome::NotRun, Message, {}};
}

ResultCode codeOf(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Answered:
    return ResultCode::Ok;
  case AttemptEnd::Refused:
    return ResultCode::BackendRefused;
  case AttemptEnd::ConnectFailed:
    return ResultCode::BackendUnreachable;
  case AttemptEnd::NotWritten:
    return ResultCode::NoTarget;
  case AttemptEnd::TimedOut:
    return ResultCode::BackendTimeout;
  case AttemptEnd::Broken:
    return ResultCode::BackendBroken;
  case AttemptEnd::Cancelled:
    return ResultCode::CallerGone;
  case AttemptEnd::NotDelimited:
    return ResultCode::AnswerNotDelimited;
  case AttemptEnd::TooLarge:
    return ResultCode::AnswerTooLarge;
  case AttemptEnd::Mismatched:
    return ResultCode::AnswerMismatched;
  }
  return ResultCode::InternalError;
}

std::string wireId(Incarnation HostIncarnation, AttemptId Attempt) {
  char Text[40];
  std::snprintf(Text, sizeof(Text), "%016" PRIx64 "-%" PRIu64, HostIncarnation,
                Attempt);
  return Text;
}

/// Addresses of a group's hosts, for callers that connected to a host outside
/// the group.
std::vector<Endpoint> addressesOf(const Group &Hosts) {
  std::vector<Endpoint> Addresses;
  for (const GroupMember &Member : Hosts.Members_)
    Addresses.push_back(Member.Address_);
  return Addresses;
}

Outcome outcomeOf(const NextStep &Final) {
  if (std::holds_alternative<Deliver>(Final))
    return Outcome::Ran;
  return std::get<RequestRefusal>(Final).Outcome_;
}

ResultCode codeOf(const NextStep &Final) {
  if (std::holds_alternative<Deliver>(Final))
    return ResultCode::Ok;
  return std::get<RequestRefusal>(Final).Code_;
}

bool isFinal(const NextStep &Next) {
  return std::holds_alternative<Deliver>(Next) ||
         std::holds_alternative<RequestRefusal>(Next);
}

} // namespace

RequestFlow::RequestFlow(HostId Self, Incarnation OwnIncarnation,
                         TimePoint Start, Metrics &Counters)
    : Self_(std::move(Self)), Incarnation_(OwnIncarnation), Metrics_(Counters),
      Registry_(Self_, OwnIncarnation, Start) {}

FlowStep RequestFlow::admit(const RoutedRequest &Routed, TimePoint Now) {
  const FlowId Id = NextFlow_++;
  const FlowMap::iterator It = Flows_.emplace(Id, FlowState()).first;
  FlowState &State = It->second;
  State.Service_ = Routed.Service_;
  State.IsIdempotent_ = Routed.IsIdempotent_;
  State.Arrived_ = Now;
  const Duration MaxDuration = State.Service_->terms().Deadline_;
  State.Deadline_ =
      Now +
      std::min(MaxDuration, Routed.Request_.Deadline_.value_or(MaxDuration));
  const NextStep First = admitRouted(Routed, Id, State, Now);
  return isFinal(First) ? endFlow(It, First, 0, Now) : FlowStep{Id, First};
}

NextStep RequestFlow::admitRouted(const RoutedRequest &Routed, FlowId Id,
                                  FlowState &State, TimePoint Now) {
  NextStep Registered = registerRequest(Routed, State, Now);
  if (isFinal(Registered))
    return Registered;
  ServiceRuntime &Service = *State.Service_;
  if (!Service.isAssigned())
    return RequestRefusal{ResultCode::WrongHost, Outcome::NotRun,
                          "this host does not serve the service",
                          addressesOf(Service.config().Group_)};
  if (Now >= State.Deadline_)
    return refuseNotRun(ResultCode::DeadlinePassed, "the deadline has passed");
  if (!mayStillSend(State))
    return refuseLeaving(State);
  const ResultCode Quota = Service.quota().tryAcquire(Now);
  if (Quota != ResultCode::Ok)
    return refuseNotRun(
        Quota, "the contract's rate or in-progress limit is exhausted");
  State.HasPermit_ = true;
  return startOrWait(Id, State, Now);
}

/// Checks the token of a non-idempotent request and records its id. This has to
/// come before every other check that refuses as `not-run`, so that a delayed
/// copy of a refused request never runs. Returns Wait when admission may
/// continue.
NextStep RequestFlow::registerRequest(const RoutedRequest &Routed,
                                      FlowState &State, TimePoint Now) {
  const CallerRequest &Request = Routed.Request_;
  if (State.IsIdempotent_ || Request.Token_.empty())
    return Wait();
  return handleFailure(
      [&]() -> Result<NextStep> {
        BOOST_LEAF_ASSIGN(State.Token_, parseToken(Request.Token_));
        State.Key_ =
            RequestKey{Request.Customer_, State.Service_->entry().Service_,
                       Request.RequestId_, Request.Resend_};
        const BeginResult Decision =
            Registry_.begin(State.Token_, State.Key_, Now);
        State.IsRegistered_ = Decision.Run_;
        if (Decision.Run_)
          return NextStep(Wait());
        return NextStep(
            RequestRefusal{Decision.Code_, Decision.Outcome_,
                           "the at-most-once check refused the request",
                           addressesOf(State.Service_->config().Group_)});
      },
      [](const Failure &Cause) {
        // The outcome is unknown: this may be a resend with a damaged token of
        // a request that has run under the intact one.
        return NextStep(
            RequestRefusal{Cause.Code_, Outcome::Unknown, Cause.Message_, {}});
      });
}

NextStep RequestFlow::startOrWait(FlowId Id, FlowState &State, TimePoint Now) {
  ServiceRuntime &Service = *State.Service_;
  if (Service.queue().size() == 0)
    if (const std::optional<TargetId> Chosen = Service.pick({}, Now))
      return start(State, *Chosen, Now);
  const ResultCode Code = Service.queue().offer(Id, State.Deadline_, Now);
  if (Code != ResultCode::Ok)
    return refuse(State, Code, "no slot will be free in time");
  State.IsQueued_ = true;
  return Wait();
}

NextStep RequestFlow::start(FlowState &State, const TargetId &Chosen,
                            TimePoint Now) {
  ServiceRuntime &Service = *State.Service_;
  if (State.AttemptCount_ == 0)
    Service.retry().firstAttempt(Now);
  State.Attempt_ = NextAttempt_++;
  State.Target_ = Chosen;
  State.TriedTargets_.push_back(Chosen);
  State.IsCancelled_ = false;
  ++State.AttemptCount_;
  // The backend server may be closing a pooled connection. The outcome of a
  // non-idempotent request sent on it would be unknown. And without an echoed
  // id, a late copy of another request's answer could not be told there.
  const bool RequiresNewConnection = !State.IsIdempotent_ ||
                                     Service.entry().EchoHeader_.empty() ||
                                     Service.wantsNewConnection(Chosen, Now);
  Service.attemptStarted(Chosen, State.Attempt_, RequiresNewConnection, Now);
  return makeOrder(State, RequiresNewConnection);
}

AttemptOrder RequestFlow::makeOrder(const FlowState &State,
                                    bool RequiresNewConnection) const {
  const ServiceEntry &Entry = State.Service_->entry();
  AttemptOrder Order;
  Order.Id_ = State.Attempt_;
  Order.WireId_ = wireId(Incarnation_, State.Attempt_);
  Order.Service_ = Entry.Service_;
  Order.Target_ = State.Target_;
  Order.Address_ = findTarget(Entry, State.Target_)->Address_;
  Order.Deadline_ = State.Deadline_;
  Order.RequiresNewConnection_ = RequiresNewConnection;
  Order.MaxIdleConnections_ = State.Service_->ownSlots(State.Target_);
  Order.MaxAnswerBytes_ = State.Service_->terms().MaxAnswerBytes_;
  Order.EchoHeader_ = Entry.EchoHeader_;
  Order.Refusal_ = Entry.Refusal_;
  Order.Drain_ = Entry.Drain_;
  Order.LoadHeader_ = Entry.LoadHeader_;
  return Order;
}

NextStep RequestFlow::refuse(const FlowState &State, ResultCode Code,
                             const std::string &Message) {
  if (State.MayHaveRun_)
    return RequestRefusal{Code, Outcome::Unknown, Message, {}};
  return refuseNotRun(Code, Message);
}

CoreActions RequestFlow::finishAttempt(FlowId Flow, const AttemptReport &Report,
                                       TimePoint Now) {
  const FlowMap::iterator It = Flows_.find(Flow);
  if (It == Flows_.end() || It->second.Attempt_ == 0)
    return {};
  FlowState &State = It->second;
  const std::shared_ptr<ServiceRuntime> Service = State.Service_;
  Service->attemptEnded(State.Target_, State.Attempt_, Report, Now);
  Metrics_.attemptEnded(Service->entry().Customer_, Service->entry().Service_,
                        Report.End_, Now);
  State.Attempt_ = 0;
  if (Report.End_ == AttemptEnd::Answered)
    Metrics_.recordAddedLatency(Service->entry().Customer_,
                                Service->entry().Service_,
                                Now - State.Arrived_ - Report.Latency_, Now);
  const NextStep Next = Report.End_ == AttemptEnd::Answered
                            ? NextStep(Deliver())
                            : afterFailure(State, Report.End_, Now);
  CoreActions Actions;
  Actions.push_back(isFinal(Next) ? endFlow(It, Next, Report.HttpStatus_, Now)
                                  : FlowStep{Flow, Next});
  const CoreActions QueueActions = serveQueue(*Service, Now);
  Actions.insert(Actions.end(), QueueActions.begin(), QueueActions.end());
  return Actions;
}

NextStep RequestFlow::afterFailure(FlowState &State, AttemptEnd End,
                                   TimePoint Now) {
  if (!provesNotRun(End))
    State.MayHaveRun_ = true;
  if (const std::optional<TargetId> Other = retryTarget(State, End, Now))
    return start(State, *Other, Now);
  const bool HasDeadlinePassed =
      End == AttemptEnd::NotWritten && Now >= State.Deadline_;
  return refuse(State,
                HasDeadlinePassed ? ResultCode::DeadlinePassed : codeOf(End),
                "the attempt at the backend server failed");
}

/// Another target for a request whose attempt failed, or nullopt when the
/// request may not be retried.
std::optional<TargetId>
RequestFlow::retryTarget(FlowState &State, AttemptEnd End, TimePoint Now) {
  ServiceRuntime &Service = *State.Service_;
  if (State.IsCallerGone_ || Now >= State.Deadline_ || !mayStillSend(State))
    return std::nullopt;
  const std::optional<TargetId> Other = Service.pick(State.TriedTargets_, Now);
  const bool IsUntried =
      Other && std::find(State.TriedTargets_.begin(), State.TriedTargets_.end(),
                         *Other) == State.TriedTargets_.end();
  if (!IsUntried)
    return std::nullopt;
  if (!State.IsIdempotent_) {
    // Nothing was sent to the first target, so the request cannot run twice.
    const bool WasNotSent =
        End == AttemptEnd::ConnectFailed || End == AttemptEnd::NotWritten;
    return WasNotSent && State.AttemptCount_ == 1 ? Other : std::nullopt;
  }
  RetryContext Context;
  Context.Idempotent_ = true;
  Context.Attempts_ = State.AttemptCount_;
  Context.Deadline_ = State.Deadline_;
  Context.HasOtherTarget_ = true;
  Context.IsQueueEmpty_ = Service.queue().size() == 0;
  Context.LastEnd_ = End;
  return Service.retry().mayRetry(Context, Now) == RetryVerdict::Allowed
             ? Other
             : std::nullopt;
}

FlowStep RequestFlow::endFlow(FlowMap::iterator It, const NextStep &Final,
                              int HttpStatus, TimePoint Now) {
  const FlowState &State = It->second;
  ServiceRuntime &Service = *State.Service_;
  if (State.IsRegistered_)
    Registry_.finish(State.Token_, State.Key_, outcomeOf(Final), Now);
  if (State.HasPermit_)
    Service.quota().release(Now);
  const CompletedRequest End{codeOf(Final), outcomeOf(Final), HttpStatus,
                             Now - State.Arrived_};
  Service.burnRate().record(End, Now);
  Metrics_.requestEnded(Service.entry().Customer_, Service.entry().Service_,
                        End, Now);
  FlowStep FinalStep{It->first, Final};
  Flows_.erase(It);
  return FinalStep;
}

CoreActions RequestFlow::serveQueue(ServiceRuntime &Service, TimePoint Now) {
  CoreActions Actions;
  while (Service.queue().size() > 0) {
    const std::optional<TargetId> Chosen = Service.pick({}, Now);
    const std::optional<QueueKey> Key =
        Chosen ? Service.queue().next(Now) : std::nullopt;
    if (!Key)
      break;
    FlowState &State = Flows_.at(*Key);
    State.IsQueued_ = false;
    Actions.push_back(FlowStep{*Key, start(State, *Chosen, Now)});
  }
  for (const DroppedRequest &Dropped : Service.queue().takeDropped(Now))
    Actions.push_back(endFlow(Flows_.find(Dropped.Key_),
                              refuseNotRun(Dropped.Code_, "no slot was free in "
                                                          "time"),
                              0, Now));
  return Actions;
}

NextStep RequestFlow::refuseLeaving(const FlowState &State) {
  return RequestRefusal{ResultCode::HostLeaving, Outcome::NotRun,
                        "the host may end before the request",
                        addressesOf(State.Service_->config().Group_)};
}

CoreActions RequestFlow::beginStop(TimePoint LatestDeadline, TimePoint Now) {
  LatestDeadline_ = LatestDeadline;
  CoreActions Refusals;
  FlowMap::iterator It = Flows_.begin();
  while (It != Flows_.end()) {
    const FlowMap::iterator Current = It++;
    const FlowState &State = Current->second;
    if (!State.IsQueued_ || mayStillSend(State))
      continue;
    State.Service_->queue().remove(Current->first);
    Refusals.push_back(endFlow(Current, refuseLeaving(State), 0, Now));
  }
  return Refusals;
}

CoreActions RequestFlow::onCallerDisconnect(FlowId Flow, TimePoint Now) {
  const FlowMap::iterator It = Flows_.find(Flow);
  if (It == Flows_.end())
    return {};
  FlowState &State = It->second;
  State.IsCallerGone_ = true;
  if (State.Attempt_ != 0)
    return {CancelAttempt{State.Attempt_, AttemptEnd::Cancelled}};
  if (!State.IsQueued_)
    return {};
  State.Service_->queue().remove(Flow);
  return {endFlow(
      It, refuse(State, ResultCode::CallerGone, "the caller disconnected"), 0,
      Now)};
}

std::optional<AttemptLocation> RequestFlow::attemptLocation(FlowId Flow) const {
  const FlowMap::const_iterator It = Flows_.find(Flow);
  if (It == Flows_.end() || It->second.Attempt_ == 0)
    return std::nullopt;
  return AttemptLocation{It->second.Service_, It->second.Target_};
}

bool RequestFlow::mayWrite(FlowId Flow, TimePoint Now) const {
  const FlowMap::const_iterator It = Flows_.find(Flow);
  if (It == Flows_.end())
    return false;
  const FlowState &State = It->second;
  return !State.IsCallerGone_ && !State.IsCancelled_ && Now < State.Deadline_ &&
         State.Service_->acceptsWork(State.Target_);
}

CoreActions RequestFlow::tick(TimePoint Now) {
  CoreActions Actions;
  for (std::pair<const FlowId, FlowState> &Flow : Flows_) {
    FlowState &State = Flow.second;
    if (State.Attempt_ == 0 || State.IsCancelled_ || Now < State.Deadline_)
      continue;
    State.IsCancelled_ = true;
    Actions.push_back(CancelAttempt{State.Attempt_, AttemptEnd::TimedOut});
  }
  Registry_.expire(Now);
  return Actions;
}

CoreActions RequestFlow::onHealthChange(ServiceRuntime &Service,
                                        const HealthChange &Change) {
  CoreActions Actions;
  const bool IsSilent = Change.Kind_ == HealthChangeKind::CloseConnections;
  if (IsSilent)
    Actions.push_back(CloseConnections{
        findTarget(Service.entry(), Change.Target_)->Address_});
  if (!IsSilent && Change.Kind_ != HealthChangeKind::Ejected)
    return Actions;
  std::uint32_t RetriesLeft = Service.retry().budget();
  for (FlowMap::value_type &Flow : Flows_) {
    FlowState &State = Flow.second;
    if (State.Service_.get() != &Service || State.Attempt_ == 0 ||
        State.IsCancelled_ || State.Target_ != Change.Target_)
      continue;
    const bool IsOnSilent =
        IsSilent &&
        std::find(Change.Silent_->Attempts_.begin(),
                  Change.Silent_->Attempts_.end(),
                  State.Attempt_) != Change.Silent_->Attempts_.end();
    // A request that can be retried elsewhere need not wait for its deadline at
    // an ejected target.
    const bool CanRetryElsewhere =
        !IsSilent && State.IsIdempotent_ && RetriesLeft > 0;
    if (!IsOnSilent && !CanRetryElsewhere)
      continue;
    if (CanRetryElsewhere)
      --RetriesLeft;
    State.IsCancelled_ = true;
    Actions.push_back(CancelAttempt{State.Attempt_, AttemptEnd::TimedOut});
  }
  return Actions;
}

} // namespace kumquatpitch
