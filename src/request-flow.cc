// Requests from admission to outcome. See request-flow.h.

#include "kumquatpitch/request-flow.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace kumquatpitch {

namespace {

/// Refused where nothing can have been sent for the request.
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

std::string wireId(Incarnation Run, AttemptId Attempt) {
  char Text[40];
  std::snprintf(Text, sizeof(Text), "%016" PRIx64 "-%" PRIu64, Run, Attempt);
  return Text;
}

/// Addresses of a group, for callers that came to a host outside it.
std::vector<Endpoint> addressesOf(const Group &Hosts) {
  std::vector<Endpoint> Addresses;
  for (const GroupMember &Member : Hosts.Members_)
    Addresses.push_back(Member.Address_);
  return Addresses;
}

Outcome outcomeOf(const NextStep &Last) {
  if (std::holds_alternative<Deliver>(Last))
    return Outcome::Ran;
  return std::get<RequestRefusal>(Last).Outcome_;
}

ResultCode codeOf(const NextStep &Last) {
  if (std::holds_alternative<Deliver>(Last))
    return ResultCode::Ok;
  return std::get<RequestRefusal>(Last).Code_;
}

bool isLast(const NextStep &Next) {
  return std::holds_alternative<Deliver>(Next) ||
         std::holds_alternative<RequestRefusal>(Next);
}

} // namespace

RequestFlow::RequestFlow(HostId Self, Incarnation Run, TimePoint Start,
                         Metrics &Counters)
    : Self_(std::move(Self)), Incarnation_(Run), Metrics_(Counters),
      Registry_(Self_, Run, Start) {}

FlowStep RequestFlow::admit(const RoutedRequest &Routed, TimePoint Now) {
  const FlowId Id = NextFlow_++;
  const FlowMap::iterator At = Flows_.emplace(Id, FlowState()).first;
  FlowState &Entry = At->second;
  Entry.Service_ = Routed.Service_;
  Entry.IsIdempotent_ = Routed.IsIdempotent_;
  Entry.Arrived_ = Now;
  const Duration Longest = Entry.Service_->terms().Deadline_;
  Entry.Deadline_ =
      Now + std::min(Longest, Routed.Request_.Deadline_.value_or(Longest));
  const NextStep First = admitRouted(Routed, Id, Entry, Now);
  return isLast(First) ? close(At, First, 0, Now) : FlowStep{Id, First};
}

NextStep RequestFlow::admitRouted(const RoutedRequest &Routed, FlowId Id,
                                  FlowState &Entry, TimePoint Now) {
  NextStep Bound = bind(Routed, Entry, Now);
  if (isLast(Bound))
    return Bound;
  ServiceRuntime &Service = *Entry.Service_;
  if (!Service.isAssigned())
    return RequestRefusal{ResultCode::WrongHost, Outcome::NotRun,
                          "this host does not serve the service",
                          addressesOf(Service.config().Group_)};
  if (Now >= Entry.Deadline_)
    return refuseNotRun(ResultCode::DeadlinePassed, "the deadline has passed");
  const ResultCode Quota = Service.quota().tryAcquire(Now);
  if (Quota != ResultCode::Ok)
    return refuseNotRun(Quota, "the contract's limit is used up");
  Entry.HasPermit_ = true;
  return startOrWait(Id, Entry, Now);
}

/// Checks the token of a request that may not be repeated. This comes before
/// every other refusal as `not-run`, so that a delayed copy of a refused
/// request never runs. Gives Wait when the request may go on.
NextStep RequestFlow::bind(const RoutedRequest &Routed, FlowState &Entry,
                           TimePoint Now) {
  const CallerRequest &Request = Routed.Request_;
  if (Entry.IsIdempotent_ || Request.Token_.empty())
    return Wait();
  return handleFailure(
      [&]() -> Result<NextStep> {
        BOOST_LEAF_ASSIGN(Entry.Token_, parseToken(Request.Token_));
        Entry.Key_ =
            RequestKey{Request.Customer_, Entry.Service_->entry().Service_,
                       Request.RequestId_, Request.Resend_};
        const BeginAnswer Begun =
            Registry_.begin(Entry.Token_, Entry.Key_, Now);
        Entry.IsBound_ = Begun.Run_;
        if (Begun.Run_)
          return NextStep(Wait());
        return NextStep(RequestRefusal{
            Begun.Code_, Begun.Outcome_, "the request is bound by its token",
            addressesOf(Entry.Service_->config().Group_)});
      },
      [](const Failure &Cause) {
        // A resend with a damaged token may have run under the true one.
        return NextStep(
            RequestRefusal{Cause.Code_, Outcome::Unknown, Cause.Message_, {}});
      });
}

NextStep RequestFlow::startOrWait(FlowId Id, FlowState &Entry, TimePoint Now) {
  ServiceRuntime &Service = *Entry.Service_;
  if (Service.queue().size() == 0)
    if (const std::optional<TargetId> Chosen = Service.pick({}, Now))
      return start(Entry, *Chosen, Now);
  const ResultCode Code = Service.queue().offer(Id, Entry.Deadline_, Now);
  if (Code != ResultCode::Ok)
    return refuse(Entry, Code, "no slot is free in time");
  Entry.IsQueued_ = true;
  return Wait();
}

NextStep RequestFlow::start(FlowState &Entry, const TargetId &Chosen,
                            TimePoint Now) {
  ServiceRuntime &Service = *Entry.Service_;
  if (Entry.Attempts_ == 0)
    Service.retry().firstAttempt(Now);
  Entry.Attempt_ = NextAttempt_++;
  Entry.Target_ = Chosen;
  Entry.Tried_.push_back(Chosen);
  Entry.IsCancelled_ = false;
  ++Entry.Attempts_;
  // A kept connection may be closing at the other end, which would leave a
  // request that may not be repeated as unknown.
  const bool IsFresh =
      !Entry.IsIdempotent_ || Service.wantsNewConnection(Chosen, Now);
  Service.attemptStarted(Chosen, Entry.Attempt_, IsFresh, Now);
  return makeOrder(Entry, IsFresh);
}

AttemptOrder RequestFlow::makeOrder(const FlowState &Entry,
                                    bool IsFresh) const {
  const ServiceEntry &Listed = Entry.Service_->entry();
  AttemptOrder Order;
  Order.Id_ = Entry.Attempt_;
  Order.WireId_ = wireId(Incarnation_, Entry.Attempt_);
  Order.Service_ = Listed.Service_;
  Order.Target_ = Entry.Target_;
  Order.Address_ = findTarget(Listed, Entry.Target_)->Address_;
  Order.Deadline_ = Entry.Deadline_;
  Order.FreshConnection_ = IsFresh;
  Order.MaxKept_ = Entry.Service_->ownSlots(Entry.Target_);
  Order.MaxAnswerBytes_ = Entry.Service_->terms().MaxAnswerBytes_;
  Order.EchoHeader_ = Listed.EchoHeader_;
  Order.Refusal_ = Listed.Refusal_;
  Order.Drain_ = Listed.Drain_;
  Order.LoadHeader_ = Listed.LoadHeader_;
  return Order;
}

NextStep RequestFlow::refuse(const FlowState &Entry, ResultCode Code,
                             const std::string &Message) {
  if (Entry.MayHaveRun_)
    return RequestRefusal{Code, Outcome::Unknown, Message, {}};
  return refuseNotRun(Code, Message);
}

CoreActions RequestFlow::finishAttempt(FlowId Flow, const AttemptReport &Report,
                                       TimePoint Now) {
  const FlowMap::iterator At = Flows_.find(Flow);
  if (At == Flows_.end() || At->second.Attempt_ == 0)
    return {};
  FlowState &Entry = At->second;
  const std::shared_ptr<ServiceRuntime> Service = Entry.Service_;
  Service->attemptEnded(Entry.Target_, Entry.Attempt_, Report, Now);
  Metrics_.attemptEnded(Service->entry().Customer_, Service->entry().Service_,
                        Report.End_, Now);
  Entry.Attempt_ = 0;
  if (Report.End_ == AttemptEnd::Answered)
    Metrics_.addedLatency(Service->entry().Customer_, Service->entry().Service_,
                          Now - Entry.Arrived_ - Report.Latency_, Now);
  const NextStep Next = Report.End_ == AttemptEnd::Answered
                            ? NextStep(Deliver())
                            : afterFailure(Entry, Report.End_, Now);
  CoreActions Actions;
  Actions.push_back(isLast(Next) ? close(At, Next, Report.HttpStatus_, Now)
                                 : FlowStep{Flow, Next});
  const CoreActions More = serveQueue(*Service, Now);
  Actions.insert(Actions.end(), More.begin(), More.end());
  return Actions;
}

NextStep RequestFlow::afterFailure(FlowState &Entry, AttemptEnd End,
                                   TimePoint Now) {
  if (!provesNotRun(End))
    Entry.MayHaveRun_ = true;
  if (const std::optional<TargetId> Other = retryTarget(Entry, End, Now))
    return start(Entry, *Other, Now);
  const bool IsLate = End == AttemptEnd::NotWritten && Now >= Entry.Deadline_;
  return refuse(Entry, IsLate ? ResultCode::DeadlinePassed : codeOf(End),
                "the attempt at the backend server failed");
}

/// Another target for a request whose attempt failed, or none when it may not
/// be tried again.
std::optional<TargetId>
RequestFlow::retryTarget(FlowState &Entry, AttemptEnd End, TimePoint Now) {
  ServiceRuntime &Service = *Entry.Service_;
  if (Entry.IsAbandoned_ || Now >= Entry.Deadline_)
    return std::nullopt;
  const std::optional<TargetId> Other = Service.pick(Entry.Tried_, Now);
  const bool IsOther =
      Other && std::find(Entry.Tried_.begin(), Entry.Tried_.end(), *Other) ==
                   Entry.Tried_.end();
  if (!IsOther)
    return std::nullopt;
  if (!Entry.IsIdempotent_) {
    // Nothing reached the first target, so this is still the first run.
    const bool IsUnsent =
        End == AttemptEnd::ConnectFailed || End == AttemptEnd::NotWritten;
    return IsUnsent && Entry.Attempts_ == 1 ? Other : std::nullopt;
  }
  RetryContext Context;
  Context.Idempotent_ = true;
  Context.Attempts_ = Entry.Attempts_;
  Context.Deadline_ = Entry.Deadline_;
  Context.HasOtherTarget_ = true;
  Context.IsQueueEmpty_ = Service.queue().size() == 0;
  Context.LastEnd_ = End;
  return Service.retry().mayRetry(Context, Now) == RetryVerdict::Allowed
             ? Other
             : std::nullopt;
}

FlowStep RequestFlow::close(FlowMap::iterator At, const NextStep &Last,
                            int HttpStatus, TimePoint Now) {
  const FlowState &Entry = At->second;
  ServiceRuntime &Service = *Entry.Service_;
  if (Entry.IsBound_)
    Registry_.finish(Entry.Token_, Entry.Key_, outcomeOf(Last), Now);
  if (Entry.HasPermit_)
    Service.quota().release(Now);
  const RequestEnd End{codeOf(Last), outcomeOf(Last), HttpStatus,
                       Now - Entry.Arrived_};
  Service.burn().record(End, Now);
  Metrics_.requestEnded(Service.entry().Customer_, Service.entry().Service_,
                        End, Now);
  FlowStep Closed{At->first, Last};
  Flows_.erase(At);
  return Closed;
}

CoreActions RequestFlow::serveQueue(ServiceRuntime &Service, TimePoint Now) {
  CoreActions Actions;
  while (Service.queue().size() > 0) {
    const std::optional<TargetId> Chosen = Service.pick({}, Now);
    const std::optional<QueueKey> Key =
        Chosen ? Service.queue().next(Now) : std::nullopt;
    if (!Key)
      break;
    FlowState &Entry = Flows_.at(*Key);
    Entry.IsQueued_ = false;
    Actions.push_back(FlowStep{*Key, start(Entry, *Chosen, Now)});
  }
  for (const DroppedRequest &Dropped : Service.queue().expired(Now))
    Actions.push_back(close(Flows_.find(Dropped.Key_),
                            refuseNotRun(Dropped.Code_, "no slot was free in "
                                                        "time"),
                            0, Now));
  return Actions;
}

CoreActions RequestFlow::abandon(FlowId Flow, TimePoint Now) {
  const FlowMap::iterator At = Flows_.find(Flow);
  if (At == Flows_.end())
    return {};
  FlowState &Entry = At->second;
  Entry.IsAbandoned_ = true;
  if (Entry.Attempt_ != 0)
    return {CancelAttempt{Entry.Attempt_, AttemptEnd::Cancelled}};
  if (!Entry.IsQueued_)
    return {};
  Entry.Service_->queue().remove(Flow);
  return {close(At, refuse(Entry, ResultCode::CallerGone, "the caller left"), 0,
                Now)};
}

std::optional<AttemptPlace> RequestFlow::placeOf(FlowId Flow) const {
  const FlowMap::const_iterator At = Flows_.find(Flow);
  if (At == Flows_.end() || At->second.Attempt_ == 0)
    return std::nullopt;
  return AttemptPlace{At->second.Service_, At->second.Target_};
}

bool RequestFlow::mayWrite(FlowId Flow, TimePoint Now) const {
  const FlowMap::const_iterator At = Flows_.find(Flow);
  if (At == Flows_.end())
    return false;
  const FlowState &Entry = At->second;
  return !Entry.IsAbandoned_ && !Entry.IsCancelled_ && Now < Entry.Deadline_ &&
         Entry.Service_->acceptsWork(Entry.Target_);
}

CoreActions RequestFlow::tick(TimePoint Now) {
  CoreActions Actions;
  for (std::pair<const FlowId, FlowState> &Each : Flows_) {
    FlowState &Entry = Each.second;
    if (Entry.Attempt_ == 0 || Entry.IsCancelled_ || Now < Entry.Deadline_)
      continue;
    Entry.IsCancelled_ = true;
    Actions.push_back(CancelAttempt{Entry.Attempt_, AttemptEnd::TimedOut});
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
  std::uint32_t Movable = Service.retry().budget();
  for (FlowMap::value_type &Each : Flows_) {
    FlowState &Entry = Each.second;
    if (Entry.Service_.get() != &Service || Entry.Attempt_ == 0 ||
        Entry.IsCancelled_ || Entry.Target_ != Change.Target_)
      continue;
    const bool IsOnSilent =
        IsSilent &&
        std::find(Change.Silent_->Attempts_.begin(),
                  Change.Silent_->Attempts_.end(),
                  Entry.Attempt_) != Change.Silent_->Attempts_.end();
    // Work that can go on elsewhere need not wait for the deadline.
    const bool CanMove = !IsSilent && Entry.IsIdempotent_ && Movable > 0;
    if (!IsOnSilent && !CanMove)
      continue;
    if (CanMove)
      --Movable;
    Entry.IsCancelled_ = true;
    Actions.push_back(CancelAttempt{Entry.Attempt_, AttemptEnd::TimedOut});
  }
  return Actions;
}

} // namespace kumquatpitch
