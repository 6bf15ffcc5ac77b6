// Lifecycle of a request on a gateway host. See gateway-front.h.

#include "kumquatpitch/gateway-front.h"

#include "kumquatpitch/call-report.h"
#include "kumquatpitch/parse-number.h"

#include <asio/steady_timer.hpp>
#include <cstdio>

namespace kumquatpitch {

namespace {

/// Connecting within a region takes a few milliseconds, and TCP retransmits a
/// lost packet only after 1 s, so a slightly longer wait does not help.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// Non-idempotent requests are sent only on connections that were used this
/// recently. If the server had already closed the connection, it would be
/// unknown whether the request ran.
constexpr Duration MaxIdleNonIdempotent = std::chrono::milliseconds(2'500);
constexpr Duration MaxIdleIdempotent = std::chrono::seconds(8);
/// Waiting requests are reconsidered when an attempt ends, and also at this
/// interval, because the information about other hosts' load decays over time.
constexpr Duration ResumePeriod = std::chrono::milliseconds(40);
constexpr std::int64_t MaxDeadlineMs = 3'600'000;

std::string formatSeconds(Duration Span) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f",
                std::chrono::duration<double>(Span).count());
  return Text;
}

/// The answer that this host gives in place of a backend server's.
HttpMessage refusalAnswer(const GatewayRefusal &Refusal) {
  HttpMessage Answer;
  Answer.Status_ = Refusal.Status_;
  Answer.Headers_.emplace_back("Content-Type", "text/plain");
  Answer.Headers_.emplace_back("Kumquatpitch-Code",
                               std::to_string(static_cast<int>(Refusal.Code_)));
  if (Refusal.RetryAfter_)
    Answer.Headers_.emplace_back("Retry-After",
                                 formatSeconds(*Refusal.RetryAfter_));
  Answer.Body_ = std::string(resultCodeName(Refusal.Code_)) + "\n";
  return Answer;
}

std::string withoutPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

/// A caller's request in progress, with its attempts.
class ActiveGatewayRequest
    : public std::enable_shared_from_this<ActiveGatewayRequest> {
public:
  ActiveGatewayRequest(GatewayFront &Front,
                       std::shared_ptr<HttpExchange> Exchange)
      : Front_(Front), Dependencies_(Front.Dependencies_),
        Exchange_(std::move(Exchange)), DeadlineTimer_(Dependencies_.Context_),
        HedgeTimer_(Dependencies_.Context_) {}

  void start() {
    const HttpMessage &Message = Exchange_->request();
    Id_ = Front_.requestId(Message);
    const std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>>
        Admitted = Dependencies_.Core_.admit(requestHead(Message),
                                             Dependencies_.Timers_.now());
    ArrivedAt_ = Dependencies_.Timers_.now();
    if (const GatewayRefusal *Refusal = std::get_if<GatewayRefusal>(&Admitted))
      return refuse(*Refusal);
    Request_ = std::get<std::shared_ptr<GatewayRequest>>(Admitted);
    const std::shared_ptr<ActiveGatewayRequest> Self = shared_from_this();
    Exchange_->onCallerGone([Self] { Self->handleCallerGone(); });
    DeadlineTimer_.expires_after(Request_->DeadlineAt_ - ArrivedAt_);
    DeadlineTimer_.async_wait([Self](const asio::error_code &Error) {
      if (!Error)
        Self->onDeadline();
    });
    place();
  }

  /// Sends the attempt that the core placed, or refuses the request.
  void applyPlacement(const Placement &Decision) {
    if (const GatewayRefusal *Refusal = std::get_if<GatewayRefusal>(&Decision))
      return refuse(*Refusal);
    send(std::get<GatewayAttempt>(Decision));
  }

private:
  struct SentAttempt {
    GatewayAttempt Attempt_;
    std::shared_ptr<HttpClient::Call> Call_; ///< Null once it has ended.
  };

  RequestHead requestHead(const HttpMessage &Message) const {
    RequestHead Head;
    if (const std::string *Host = Message.header("Host"))
      Head.Host_ = withoutPort(*Host);
    Head.Path_ = Message.Target_.substr(0, Message.Target_.find('?'));
    Head.Credential_ = credentialOf(Message.Headers_);
    Head.BodyBytes_ = Message.Body_.size();
    if (const std::string *TimeLeft =
            Message.header(Dependencies_.Headers_.DeadlineMs_))
      if (const std::optional<std::int64_t> Ms =
              parseNumber<std::int64_t>(*TimeLeft))
        Head.TimeLeft_ = std::chrono::milliseconds(
            std::clamp<std::int64_t>(*Ms, 0, MaxDeadlineMs));
    return Head;
  }

  void place() {
    const Placement Decision =
        Dependencies_.Core_.place(Request_, Dependencies_.Timers_.now());
    if (!std::holds_alternative<QueuedForTarget>(Decision))
      return applyPlacement(Decision);
    Front_.Waiting_.emplace(Request_.get(), shared_from_this());
    if (Request_->Ticket_)
      return;
    const TargetBalancer *Targets =
        Dependencies_.Core_.balancer(Request_->Service_);
    Dependencies_.Log_.write(
        LogLevel::Info, "request", "waits",
        {{"id", Id_},
         {"service", Request_->Service_.str()},
         {"waiting", std::to_string(Front_.Waiting_.size())},
         {"targets",
          Targets ? Targets->describe(Dependencies_.Timers_.now()) : "none"}});
  }

  void send(const GatewayAttempt &Attempt) {
    const TimePoint Now = Dependencies_.Timers_.now();
    const Duration TimeLeft = Request_->DeadlineAt_ - Now;
    CallOptions Terms;
    Terms.Endpoint_ = Attempt.Target_.Address_;
    Terms.ConnectTimeout_ = ConnectTimeout;
    Terms.Timeout_ = TimeLeft;
    // Without an id, the answer could not be told from a late copy of another
    // one on a connection in use again.
    Terms.MaxIdle_ = Id_.empty()                        ? Duration::zero()
                     : Request_->Route_->isIdempotent() ? MaxIdleIdempotent
                                                        : MaxIdleNonIdempotent;
    if (!Id_.empty())
      Terms.Echo_ = RequestEcho{Dependencies_.Headers_.RequestId_, Id_};
    Terms.MaxAnswerBytes_ = Dependencies_.MaxAnswerBytes_;
    Terms.IsHead_ = Exchange_->request().Method_ == "HEAD";
    Terms.AcceptsUnframed_ =
        Dependencies_.UnframedServices_.contains(Request_->Service_);
    const std::size_t Index = Attempts_.size();
    Attempts_.push_back(SentAttempt{Attempt, nullptr});
    const std::shared_ptr<ActiveGatewayRequest> Self = shared_from_this();
    Attempts_[Index].Call_ = Dependencies_.Client_.call(
        Terms, outgoingRequest(Attempt.Target_, TimeLeft),
        [Self, Index](CallResult Result) {
          Self->onAttemptEnded(Index, std::move(Result));
        });
    const double RateLimit = rateLimitOf(Attempt.Target_);
    if (RateLimit != NoRateLimit)
      Dependencies_.Metrics_.count("attempts_at_limited_targets");
    if (Attempt.IsTrial_ || Attempt.IsResend_ || RateLimit != NoRateLimit)
      logAttempt(Attempt, "sent", "limit " + formatRateLimit(RateLimit));
    armHedge(Attempt);
  }

  OutgoingRequest outgoingRequest(const TargetEntry &Target,
                                  Duration TimeLeft) const {
    const HttpMessage &Request = Exchange_->request();
    HttpMessage Forwarded;
    Forwarded.Method_ = Request.Method_;
    Forwarded.Target_ = Request.Target_;
    Forwarded.Headers_ =
        forwardedFields(Request.Headers_, Dependencies_.Headers_);
    std::erase_if(Forwarded.Headers_, [this](const HeaderField &Header) {
      return !isForwarded(Header.first);
    });
    if (!Request_->Caller_.Workspace_.empty())
      Forwarded.Headers_.emplace_back(Dependencies_.Headers_.Workspace_,
                                      Request_->Caller_.Workspace_.str());
    Forwarded.Headers_.emplace_back(Dependencies_.Headers_.DeadlineMs_,
                                    std::to_string(toMilliseconds(TimeLeft)));
    Forwarded.Headers_.emplace_back(Dependencies_.Headers_.ExpectedTarget_,
                                    Target.Id_.str());
    return OutgoingRequest{
        writeRequestHead(Forwarded, Request.Body_.size()),
        std::shared_ptr<const std::string>(Exchange_, &Request.Body_)};
  }

  /// False for headers that the host sets itself, and where callers name their
  /// workspace by a key, for that key.
  bool isForwarded(const std::string &Name) const {
    const GatewayHeaders &Names = Dependencies_.Headers_;
    if (headerNamesEqual(Name, Names.DeadlineMs_) ||
        headerNamesEqual(Name, Names.ExpectedTarget_))
      return false;
    return !Request_->Table_->workspaces() ||
           !(headerNamesEqual(Name, "Authorization") ||
             headerNamesEqual(Name, Names.Workspace_));
  }

  void armHedge(const GatewayAttempt &Attempt) {
    if (!Attempt.HedgeAt_)
      return;
    const std::shared_ptr<ActiveGatewayRequest> Self = shared_from_this();
    HedgeTimer_.expires_after(*Attempt.HedgeAt_ - Dependencies_.Timers_.now());
    HedgeTimer_.async_wait([Self](const asio::error_code &Error) {
      if (!Error && !Self->IsDone_)
        Self->hedge();
    });
  }

  void hedge() {
    const std::optional<GatewayAttempt> Second =
        Dependencies_.Core_.placeHedge(*Request_, Dependencies_.Timers_.now());
    if (Second)
      send(*Second);
  }

  /// Outcome of a call, by how it ended and by the answer's status and headers.
  AttemptOutcome classifyOutcome(const CallResult &Result) const {
    switch (Result.End_) {
    case CallEnd::NotConnected:
      return AttemptOutcome::NotConnected;
    case CallEnd::Broken:
      return AttemptOutcome::Broken;
    case CallEnd::TimedOut:
      return AttemptOutcome::TimedOut;
    case CallEnd::Answered:
      break;
    }
    const HttpMessage &Answer = Result.Answer_;
    constexpr int Misdirected = 421;
    constexpr int FirstFailureStatus = 400;
    // A 421 also says that the request has not run, so it is checked before the
    // header for that. Like a refusal it says so only alone.
    if (Answer.Status_ == Misdirected)
      return Result.StrayBytes_ == 0 ? AttemptOutcome::OtherInstance
                                     : AttemptOutcome::Broken;
    // A refusal is a failure, and nothing else is said about the request.
    if (Answer.header(Dependencies_.Headers_.NotRun_))
      return Answer.Status_ >= FirstFailureStatus && Result.StrayBytes_ == 0
                 ? AttemptOutcome::Refused
                 : AttemptOutcome::Broken;
    const bool IsSigned =
        Answer.header(Dependencies_.Headers_.AnswerSignature_) &&
        !Answer.header("Content-Encoding");
    if (!IsSigned)
      return AttemptOutcome::Broken;
    constexpr int FirstRedirect = 300;
    return Answer.Status_ < FirstRedirect ? AttemptOutcome::Success
                                          : AttemptOutcome::Failure;
  }

  void onAttemptEnded(std::size_t Index, CallResult Result) {
    if (IsDone_)
      return;
    Attempts_[Index].Call_ = nullptr;
    const GatewayAttempt Attempt = Attempts_[Index].Attempt_;
    const AttemptOutcome Outcome = classifyOutcome(Result);
    const TimePoint Now = Dependencies_.Timers_.now();
    const TargetReport Report = reportOf(Attempt, Outcome, Result.Answer_);
    logRateLimit(Attempt, Report);
    if (Report.IsLeaving_.value_or(false))
      Dependencies_.EvidenceSink_.targetLeaves(Attempt.Target_);
    const GatewayDecision Next = Dependencies_.Core_.attemptEnded(
        *Request_, Attempt, Outcome, Report, Now);
    if (Next.Observation_)
      Dependencies_.EvidenceSink_.broadcastEvidence(Attempt.Target_,
                                                    *Next.Observation_);
    recordAttempt(Attempt, Outcome, Result);
    recordPrediction(Next, Now);
    switch (Next.Step_) {
    case GatewayStep::Deliver:
      deliver(std::move(Result.Answer_), Outcome);
      break;
    case GatewayStep::Resend:
      place();
      break;
    case GatewayStep::Wait:
      break;
    case GatewayStep::Fail:
      refuse(Next.Refusal_);
      break;
    }
    Front_.resumeWaitingRequests();
  }

  void recordPrediction(const GatewayDecision &Decision, TimePoint Now) {
    if (!Decision.Prediction_)
      return;
    Front_.Predictions_.record(*Decision.Prediction_, Id_,
                               Request_->Traits_.Route_, Now);
    Front_.Predictions_.summarize(Dependencies_.Core_.costs(), Now);
  }

  /// The report of an answer that the target itself gave; empty for any other.
  TargetReport reportOf(const GatewayAttempt &Attempt, AttemptOutcome Outcome,
                        const HttpMessage &Answer) const {
    if (Outcome != AttemptOutcome::Success &&
        Outcome != AttemptOutcome::Failure &&
        Outcome != AttemptOutcome::Refused)
      return TargetReport();
    const std::string *RateLimit =
        Answer.header(Dependencies_.Headers_.TargetRateLimit_);
    const std::string *Leaving =
        Answer.header(Dependencies_.Headers_.TargetLeaving_);
    const TargetReport Report = parseTargetReport(
        Answer.header(Dependencies_.Headers_.TargetLoad_), RateLimit, Leaving);
    if (!Report.RateLimit_)
      logMalformed(Attempt, "limit_malformed", *RateLimit);
    if (!Report.IsLeaving_)
      logMalformed(Attempt, "leaving_malformed", *Leaving);
    return Report;
  }

  void logMalformed(const GatewayAttempt &Attempt, const char *Event,
                    const std::string &Value) const {
    Dependencies_.Log_.write(
        LogLevel::Warning, "target", Event,
        {{"id", Id_}, {"target", Attempt.Target_.Id_.str()}, {"value", Value}});
  }

  double rateLimitOf(const TargetEntry &Target) const {
    const TargetBalancer *Targets =
        Dependencies_.Core_.balancer(Request_->Service_);
    return Targets ? Targets->rateLimit(Target.Id_, Dependencies_.Timers_.now())
                   : NoRateLimit;
  }

  /// Targets of the request's service whose limit leaves this host no request.
  std::size_t limitedTargets() const {
    const TargetBalancer *Targets =
        Request_ ? Dependencies_.Core_.balancer(Request_->Service_) : nullptr;
    return Targets ? Targets->limitedCount(Dependencies_.Timers_.now()) : 0;
  }

  /// Logs a limit that differs from the one that the target named before.
  void logRateLimit(const GatewayAttempt &Attempt,
                    const TargetReport &Report) const {
    const double Known = rateLimitOf(Attempt.Target_);
    if (Report.RateLimit_.value_or(Known) == Known)
      return;
    Dependencies_.Log_.write(LogLevel::Info, "target", "limit_changed",
                             {{"id", Id_},
                              {"service", Request_->Service_.str()},
                              {"target", Attempt.Target_.Id_.str()},
                              {"limit", formatRateLimit(*Report.RateLimit_)},
                              {"previous", formatRateLimit(Known)}});
  }

  void recordAttempt(const GatewayAttempt &Attempt, AttemptOutcome Outcome,
                     const CallResult &Result) {
    Dependencies_.Metrics_.count(std::string("attempts_") +
                                 attemptOutcomeName(Outcome));
    if (Result.SkippedResponses_ > 0)
      logAttempt(Attempt, "skipped_responses",
                 std::to_string(Result.SkippedResponses_) +
                     " responses to other requests");
    if (Result.HasSecondResponse_)
      Dependencies_.Metrics_.count("responses_cut");
    if (Result.IsUnprovable_)
      Dependencies_.Metrics_.count("responses_unprovable");
    // The idle connections to this target are probably dead, too.
    if (Outcome == AttemptOutcome::Broken ||
        Outcome == AttemptOutcome::TimedOut ||
        Outcome == AttemptOutcome::NotConnected)
      Dependencies_.Client_.closeIdle(Attempt.Target_.Address_);
    if (Result.End_ != CallEnd::Answered)
      return logAttempt(Attempt, attemptOutcomeName(Outcome), Result.Detail_);
    countAnswer(Dependencies_.Metrics_, Result);
    const bool IsRoutine = Outcome == AttemptOutcome::Success &&
                           !Attempt.IsTrial_ && !Attempt.IsResend_ &&
                           isRoutineAnswer(Result);
    if (!IsRoutine || Dependencies_.Log_.admitSampledLine())
      logAttempt(Attempt, attemptOutcomeName(Outcome),
                 describeAnswer(Result, reportedLoadText(Result.Answer_)));
  }

  std::string reportedLoadText(const HttpMessage &Answer) const {
    const std::string *Text = Answer.header(Dependencies_.Headers_.TargetLoad_);
    return Text ? *Text : "unknown";
  }

  void logAttempt(const GatewayAttempt &Attempt, const char *Outcome,
                  const std::string &Detail) {
    const TargetBalancer *Targets =
        Dependencies_.Core_.balancer(Request_->Service_);
    const TimePoint Now = Dependencies_.Timers_.now();
    Dependencies_.Log_.write(
        LogLevel::Info, "attempt", Outcome,
        {{"id", Id_},
         {"route", Request_->Route_->Prefix_},
         {"service", Request_->Service_.str()},
         {"target", Attempt.Target_.Id_.str()},
         {"ms", std::to_string(toMilliseconds(Now - Attempt.StartedAt_))},
         {"trial", Attempt.IsTrial_ ? "1" : "0"},
         {"resend", Attempt.IsResend_ ? "1" : "0"},
         {"ejected", std::to_string(Targets ? Targets->ejectedCount() : 0)},
         {"targets", std::to_string(Targets ? Targets->size() : 0)},
         {"config", std::to_string(Request_->Table_->config().Version_)},
         {"detail", Detail}});
  }

  void deliver(HttpMessage Answer, AttemptOutcome Result) {
    finish();
    const bool IsFailure = Result != AttemptOutcome::Success;
    recordEnd(IsFailure ? ResultCode::BackendBroken : ResultCode::Ok,
              Outcome::Ran, Answer.Status_);
    if (IsFailure)
      logEnd("delivered_failure", Answer.Status_, ResultCode::Ok);
    // The host knows no more than the target told: a length would state that
    // the answer is whole.
    Answer.EndsWithConnection_ = bodyFraming(Answer) == BodyFraming::UntilClose;
    Answer.Headers_ = forwardedFields(Answer.Headers_, Dependencies_.Headers_);
    Exchange_->answer(std::move(Answer));
  }

  void refuse(const GatewayRefusal &Refusal) {
    finish();
    const bool MayHaveRun = Request_ && Request_->MayHaveRun_;
    recordEnd(Refusal.Code_, MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
              Refusal.Status_);
    logEnd("refused", Refusal.Status_, Refusal.Code_);
    Exchange_->answer(refusalAnswer(Refusal));
  }

  void recordEnd(ResultCode Code, Outcome Execution, int Status) {
    const TimePoint Now = Dependencies_.Timers_.now();
    CompletedRequest End;
    End.Code_ = Code;
    End.Outcome_ = Execution;
    End.HttpStatus_ = Status;
    End.Latency_ = Now - ArrivedAt_;
    if (Request_)
      Dependencies_.Core_.requestEnded(*Request_, Code == ResultCode::Ok, Now);
    Dependencies_.Metrics_.requestEnded(
        CustomerName(Request_ ? Request_->Route_->Host_ : "none"),
        Request_ ? Request_->Service_ : ServiceName("none"), End, Now);
  }

  void logEnd(const char *Event, int Status, ResultCode Code) {
    const RequestHead Head = requestHead(Exchange_->request());
    Dependencies_.Log_.write(
        LogLevel::Warning, "request", Event,
        {{"id", Id_},
         {"host", Head.Host_},
         {"route", Request_ ? Request_->Route_->Prefix_ : "none"},
         {"workspace", Request_ && Request_->Caller_.Key_
                           ? Request_->Caller_.Workspace_.str()
                           : "none"},
         {"status", std::to_string(Status)},
         {"code", resultCodeName(Code)},
         {"sent", std::to_string(Request_ ? Request_->Sent_ : 0)},
         {"queue", Request_
                       ? Dependencies_.Core_.describeQueue(
                             Request_->Service_, Dependencies_.Timers_.now())
                       : "none"},
         {"limited", std::to_string(limitedTargets())},
         {"ms", std::to_string(
                    toMilliseconds(Dependencies_.Timers_.now() - ArrivedAt_))},
         {"deadline_ms", Head.TimeLeft_
                             ? std::to_string(toMilliseconds(*Head.TimeLeft_))
                             : "none"}});
  }

  void onDeadline() {
    if (IsDone_)
      return;
    const GatewayRefusal Refusal =
        Dependencies_.Core_.refusalFor(*Request_, Dependencies_.Timers_.now());
    cancelAttempts(AttemptOutcome::TimedOut);
    refuse(Refusal);
  }

  void handleCallerGone() {
    if (IsDone_)
      return;
    cancelAttempts(AttemptOutcome::Cancelled);
    Dependencies_.Metrics_.count("callers_gone");
    logEnd("caller_gone", 0, ResultCode::CallerGone);
    finish();
  }

  /// Cancels the attempts in progress; the core counts them as `Outcome`.
  void cancelAttempts(AttemptOutcome Outcome) {
    const TimePoint Now = Dependencies_.Timers_.now();
    for (SentAttempt &Current : Attempts_) {
      if (!Current.Call_)
        continue;
      Current.Call_->cancel();
      Current.Call_ = nullptr;
      const GatewayDecision Decision = Dependencies_.Core_.attemptEnded(
          *Request_, Current.Attempt_, Outcome, TargetReport(), Now);
      if (Decision.Observation_)
        Dependencies_.EvidenceSink_.broadcastEvidence(Current.Attempt_.Target_,
                                                      *Decision.Observation_);
      logAttempt(Current.Attempt_, attemptOutcomeName(Outcome),
                 "cancelled by the host");
    }
  }

  void finish() {
    if (!IsDone_ && Request_) {
      cancelAttempts(AttemptOutcome::Cancelled);
      Dependencies_.Core_.removeFromQueue(*Request_,
                                          Dependencies_.Timers_.now());
      Front_.Waiting_.erase(Request_.get());
    }
    IsDone_ = true;
    DeadlineTimer_.cancel();
    HedgeTimer_.cancel();
    Exchange_->onCallerGone(nullptr);
  }

  GatewayFront &Front_;
  const GatewayDependencies &Dependencies_;
  const std::shared_ptr<HttpExchange> Exchange_;
  asio::steady_timer DeadlineTimer_;
  asio::steady_timer HedgeTimer_;
  std::string Id_; ///< Request id of the caller; empty if it sent none.
  TimePoint ArrivedAt_;
  std::shared_ptr<GatewayRequest> Request_; ///< Null if not admitted.
  std::vector<SentAttempt> Attempts_;
  bool IsDone_ = false;
};

GatewayFront::GatewayFront(GatewayDependencies Dependencies)
    : Dependencies_(std::move(Dependencies)),
      Predictions_(Dependencies_.Log_, Dependencies_.Metrics_) {
  ResumeSubscription_ =
      Dependencies_.Timers_.subscribe(ResumePeriod, [this](TimePoint) {
        if (!Waiting_.empty())
          resumeWaitingRequests();
      });
  Dependencies_.Client_.setOnIdleBytes([this](const IdleBytes &Received) {
    reportIdleBytes(Dependencies_.Log_, Dependencies_.Metrics_, Received);
  });
}

GatewayFront::~GatewayFront() {
  Dependencies_.Client_.setOnIdleBytes(nullptr);
  Dependencies_.Timers_.unsubscribe(ResumeSubscription_);
}

void GatewayFront::resumeWaitingRequests() {
  if (Waiting_.empty())
    return;
  for (const std::pair<std::shared_ptr<GatewayRequest>, Placement> &Entry :
       Dependencies_.Core_.placeQueuedRequests(Dependencies_.Timers_.now())) {
    const std::map<const GatewayRequest *,
                   std::shared_ptr<ActiveGatewayRequest>>::iterator It =
        Waiting_.find(Entry.first.get());
    if (It == Waiting_.end())
      continue;
    const std::shared_ptr<ActiveGatewayRequest> Request = It->second;
    Waiting_.erase(It);
    Request->applyPlacement(Entry.second);
  }
}

void GatewayFront::handle(std::shared_ptr<HttpExchange> Exchange) {
  if (RejectsNewRequests_) {
    Dependencies_.Metrics_.count("requests_refused_leaving");
    return Exchange->answer(refusalAnswer(
        makeRefusal(ResultCode::HostLeaving, OtherHostRetryAfter)));
  }
  std::make_shared<ActiveGatewayRequest>(*this, std::move(Exchange))->start();
}

HttpMessage GatewayFront::reject(ResultCode Code) {
  return rejectRequest(Code, HttpMessage());
}

HttpMessage GatewayFront::rejectRequest(ResultCode Code,
                                        const HttpMessage &Request) {
  RequestIdList Rejected;
  Rejected.add(requestId(Request));
  Dependencies_.Log_.write(
      LogLevel::Warning, "request", "rejected",
      {{"code", resultCodeName(Code)}, {"id", Rejected.text()}});
  // Another host can take the request at once.
  const std::optional<Duration> RetryAfter =
      Code == ResultCode::BuffersFull ? std::optional(OtherHostRetryAfter)
                                      : std::nullopt;
  return refusalAnswer(makeRefusal(Code, RetryAfter));
}

std::string GatewayFront::requestId(const HttpMessage &Request) const {
  const std::string *Id = Request.header(Dependencies_.Headers_.RequestId_);
  return Id ? *Id : "";
}

void GatewayFront::closingSlowCaller(const SlowCaller &Caller) {
  Dependencies_.Metrics_.count("slow_callers_closed");
  Dependencies_.Log_.write(
      LogLevel::Warning, "request", "slow_caller_closed",
      {{"bytes", std::to_string(Caller.UnreadBytes_)},
       {"address", Caller.Address_},
       {"responses", std::to_string(Caller.Unread_.count())},
       {"ids", Caller.Unread_.text()}});
}

} // namespace kumquatpitch
