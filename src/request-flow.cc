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
    return ResultCode::DeadlinePassed;
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

RequestFlow::RequestFlow(HostId Self, Incarnation Run, TimePoint Start)
    : Self_(std::move(Self)), Incarnation_(Run), Registry_(Self_, Run, Start) {}

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
  NextStep First = bind(Routed, Entry, Now);
  if (std::holds_alternative<Wait>(First))
    First = start(Id, Entry, Now);
  if (isLast(First))
    close(At, First, 0, Now);
  return FlowStep{Id, First};
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

NextStep RequestFlow::start(FlowId Id, FlowState &Entry, TimePoint Now) {
  static_cast<void>(Id);
  ServiceRuntime &Service = *Entry.Service_;
  if (!Service.isAssigned()) {
    RequestRefusal Elsewhere{ResultCode::WrongHost, Outcome::NotRun,
                             "this host does not serve the service",
                             addressesOf(Service.config().Group_)};
    return Elsewhere;
  }
  if (Now >= Entry.Deadline_)
    return refuse(Entry, ResultCode::DeadlinePassed, "the deadline has passed");
  const std::optional<TargetId> Chosen = Service.pick(Entry.Tried_, Now);
  if (!Chosen)
    return refuse(Entry, ResultCode::NoTarget, "no target has a free slot");
  const Target *Found = findTarget(Service.entry(), *Chosen);
  Entry.Attempt_ = NextAttempt_++;
  Entry.Target_ = *Chosen;
  Entry.Tried_.push_back(*Chosen);
  Entry.IsCancelled_ = false;
  ++Entry.Attempts_;
  // A kept connection may be closing at the other end, which would leave a
  // request that may not be repeated as unknown.
  const bool IsFresh =
      !Entry.IsIdempotent_ || Service.wantsNewConnection(*Chosen, Now);
  Service.attemptStarted(*Chosen, Entry.Attempt_, IsFresh, Now);
  AttemptOrder Order;
  Order.Id_ = Entry.Attempt_;
  Order.WireId_ = wireId(Incarnation_, Entry.Attempt_);
  Order.Service_ = Service.entry().Service_;
  Order.Target_ = *Chosen;
  Order.Address_ = Found->Address_;
  Order.Deadline_ = Entry.Deadline_;
  Order.FreshConnection_ = IsFresh;
  Order.MaxAnswerBytes_ = Service.terms().MaxAnswerBytes_;
  Order.EchoHeader_ = Service.entry().EchoHeader_;
  Order.Refusal_ = Service.entry().Refusal_;
  Order.Drain_ = Service.entry().Drain_;
  Order.LoadHeader_ = Service.entry().LoadHeader_;
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
  Entry.Service_->attemptEnded(Entry.Target_, Entry.Attempt_, Report, Now);
  Entry.Attempt_ = 0;
  const bool IsAnswered = Report.End_ == AttemptEnd::Answered;
  const NextStep Next = IsAnswered
                            ? NextStep(Deliver())
                            : afterFailure(Flow, Entry, Report.End_, Now);
  if (isLast(Next))
    close(At, Next, Report.HttpStatus_, Now);
  return {FlowStep{Flow, Next}};
}

NextStep RequestFlow::afterFailure(FlowId Id, FlowState &Entry, AttemptEnd End,
                                   TimePoint Now) {
  if (!provesNotRun(End))
    Entry.MayHaveRun_ = true;
  const std::uint32_t MaxAttempts =
      Entry.IsIdempotent_ ? Entry.Service_->terms().Retry_.MaxAttempts_
      : End == AttemptEnd::ConnectFailed ? 2
                                         : 1;
  const bool MayTryAgain = Entry.Attempts_ < MaxAttempts;
  if (MayTryAgain && !Entry.IsAbandoned_) {
    NextStep Again = start(Id, Entry, Now);
    if (std::holds_alternative<AttemptOrder>(Again))
      return Again;
  }
  return refuse(Entry, codeOf(End), "the attempt at the backend server failed");
}

void RequestFlow::close(FlowMap::iterator At, const NextStep &Last,
                        int HttpStatus, TimePoint Now) {
  FlowState &Entry = At->second;
  if (Entry.IsBound_)
    Registry_.finish(Entry.Token_, Entry.Key_, outcomeOf(Last), Now);
  Entry.Service_->burn().record(RequestEnd{codeOf(Last), outcomeOf(Last),
                                           HttpStatus, Now - Entry.Arrived_},
                                Now);
  Flows_.erase(At);
}

CoreActions RequestFlow::abandon(FlowId Flow, TimePoint) {
  const FlowMap::iterator At = Flows_.find(Flow);
  if (At == Flows_.end())
    return {};
  At->second.IsAbandoned_ = true;
  if (At->second.Attempt_ == 0)
    return {};
  return {CancelAttempt{At->second.Attempt_, AttemptEnd::Cancelled}};
}

bool RequestFlow::mayWrite(FlowId Flow, TimePoint Now) const {
  const FlowMap::const_iterator At = Flows_.find(Flow);
  return At != Flows_.end() && !At->second.IsAbandoned_ &&
         !At->second.IsCancelled_ && Now < At->second.Deadline_;
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

CoreActions RequestFlow::onHealthChange(const ServiceRuntime &Service,
                                        const HealthChange &Change) {
  CoreActions Actions;
  const bool IsSilent = Change.Kind_ == HealthChangeKind::CloseConnections;
  if (IsSilent)
    Actions.push_back(CloseConnections{
        findTarget(Service.entry(), Change.Target_)->Address_});
  if (!IsSilent && Change.Kind_ != HealthChangeKind::Ejected)
    return Actions;
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
    const bool CanMove = !IsSilent && Entry.IsIdempotent_;
    if (!IsOnSilent && !CanMove)
      continue;
    Entry.IsCancelled_ = true;
    Actions.push_back(CancelAttempt{Entry.Attempt_, AttemptEnd::TimedOut});
  }
  return Actions;
}

} // namespace kumquatpitch
