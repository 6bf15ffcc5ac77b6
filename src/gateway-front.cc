// The way of a request through a host. See gateway-front.h.

#include "kumquatpitch/gateway-front.h"

#include <asio/steady_timer.hpp>
#include <charconv>
#include <cstdio>

namespace kumquatpitch {

namespace {

/// A connection within a region takes a few milliseconds; a lost packet is sent
/// again only after a second.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);
/// A request that may not be repeated is sent only on connections that were in
/// use a short while ago: one that the server dropped would leave it in doubt.
constexpr Duration MaxIdleOnce = std::chrono::milliseconds(2'500);
constexpr Duration MaxIdleRepeatable = std::chrono::seconds(8);
constexpr std::uint64_t MaxAnswerBytes = 64ULL << 20;
/// How often waiting requests are looked at besides when an attempt ends: what
/// is known of other hosts' load fades meanwhile.
constexpr Duration ReleasePeriod = std::chrono::milliseconds(40);
/// Other hosts serve at once.
constexpr Duration LeavingRetryAfter = std::chrono::milliseconds(20);
constexpr std::int64_t MaxDeadlineMs = 3'600'000;

std::optional<std::int64_t> parseWhole(const std::string &Text) {
  std::int64_t Value = 0;
  const std::from_chars_result Read =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

/// Reads `running,waiting,slots`.
std::optional<ReportedLoad> parseLoad(const std::string *Text) {
  if (!Text)
    return std::nullopt;
  const std::size_t Comma = Text->find(',');
  if (Comma == std::string::npos)
    return std::nullopt;
  const std::optional<std::int64_t> Running =
      parseWhole(Text->substr(0, Comma));
  const std::size_t Next = Text->find(',', Comma + 1);
  const std::optional<std::int64_t> Waiting =
      parseWhole(Text->substr(Comma + 1, Next - Comma - 1));
  if (!Running || !Waiting || *Running < 0 || *Waiting < 0)
    return std::nullopt;
  return ReportedLoad{static_cast<std::uint32_t>(*Running),
                      static_cast<std::uint32_t>(*Waiting)};
}

std::string secondsText(Duration Span) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3f",
                std::chrono::duration<double>(Span).count());
  return Text;
}

HttpMessage ownAnswer(const GatewayRefusal &Why) {
  HttpMessage Answer;
  Answer.Status_ = Why.Status_;
  Answer.Headers_.emplace_back("Content-Type", "text/plain");
  Answer.Headers_.emplace_back("Kumquatpitch-Code",
                               std::to_string(static_cast<int>(Why.Code_)));
  if (Why.RetryAfter_)
    Answer.Headers_.emplace_back("Retry-After", secondsText(*Why.RetryAfter_));
  Answer.Body_ = std::string(resultCodeName(Why.Code_)) + "\n";
  return Answer;
}

std::string withoutPort(const std::string &Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

/// One request and its attempts.
class GatewayFlow : public std::enable_shared_from_this<GatewayFlow> {
public:
  GatewayFlow(GatewayFront &Front, std::shared_ptr<HttpExchange> Exchange)
      : Front_(Front), Parts_(Front.Parts_), Exchange_(std::move(Exchange)),
        GiveUpTimer_(Parts_.Context_), HedgeTimer_(Parts_.Context_) {}

  void start() {
    const HttpMessage &Message = Exchange_->request();
    if (const std::string *Id = Message.header(Parts_.Headers_.RequestId_))
      Id_ = *Id;
    const std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>>
        Admitted = Parts_.Core_.admit(headOf(Message), Parts_.Timers_.now());
    ArrivedAt_ = Parts_.Timers_.now();
    if (const GatewayRefusal *Why = std::get_if<GatewayRefusal>(&Admitted))
      return refuse(*Why);
    Request_ = std::get<std::shared_ptr<GatewayRequest>>(Admitted);
    const std::shared_ptr<GatewayFlow> Self = shared_from_this();
    Exchange_->onCallerGone([Self] { Self->callerGone(); });
    GiveUpTimer_.expires_after(Request_->GiveUpAt_ - ArrivedAt_);
    GiveUpTimer_.async_wait([Self](const asio::error_code &Error) {
      if (!Error)
        Self->timeIsUp();
    });
    place();
  }

  /// Goes on with what the core decided.
  void placed(const Placement &Placed) {
    if (const GatewayRefusal *Why = std::get_if<GatewayRefusal>(&Placed))
      return refuse(*Why);
    send(std::get<GatewayAttempt>(Placed));
  }

private:
  struct Attempt {
    GatewayAttempt Order_;
    std::shared_ptr<HttpClient::Call> Call_;
  };

  RequestHead headOf(const HttpMessage &Message) const {
    RequestHead Head;
    if (const std::string *Host = Message.header("Host"))
      Head.Host_ = withoutPort(*Host);
    Head.Path_ = Message.Target_.substr(0, Message.Target_.find('?'));
    if (const std::string *Left = Message.header(Parts_.Headers_.DeadlineMs_))
      if (const std::optional<std::int64_t> Ms = parseWhole(*Left))
        Head.TimeLeft_ = std::chrono::milliseconds(
            std::clamp<std::int64_t>(*Ms, 0, MaxDeadlineMs));
    return Head;
  }

  void place() {
    const Placement Placed = Parts_.Core_.place(Request_, Parts_.Timers_.now());
    if (!std::holds_alternative<WaitsForRoom>(Placed))
      return placed(Placed);
    Front_.Waiting_.emplace(Request_.get(), shared_from_this());
    const TargetBalancer *Targets = Parts_.Core_.balancer(Request_->Service_);
    Parts_.Log_.write(
        LogLevel::Info, "request", "waits",
        {{"id", Id_},
         {"service", Request_->Service_.str()},
         {"waiting", std::to_string(Front_.Waiting_.size())},
         {"targets",
          Targets ? Targets->describe(Parts_.Timers_.now()) : "none"}});
  }

  void send(const GatewayAttempt &Order) {
    const TimePoint Now = Parts_.Timers_.now();
    const Duration Left = Request_->GiveUpAt_ - Now;
    CallTerms Terms;
    Terms.At_ = Order.Target_.Address_;
    Terms.ConnectTimeout_ = ConnectTimeout;
    Terms.Timeout_ = Left;
    Terms.MaxIdle_ =
        Request_->Route_->Idempotent_ ? MaxIdleRepeatable : MaxIdleOnce;
    Terms.EchoHeader_ = Id_.empty() ? "" : Parts_.Headers_.RequestId_;
    Terms.Echo_ = Id_;
    Terms.MaxAnswerBytes_ = MaxAnswerBytes;
    const std::size_t Index = Attempts_.size();
    Attempts_.push_back(Attempt{Order, nullptr});
    const std::shared_ptr<GatewayFlow> Self = shared_from_this();
    Attempts_[Index].Call_ =
        Parts_.Client_.call(Terms, requestBytes(Order.Target_, Left),
                            [Self, Index](const CallResult &Result) {
                              Self->ended(Index, Result);
                            });
    if (Order.IsTrial_ || Order.IsResend_)
      logAttempt(Order, "sent", "");
    armHedge(Order);
  }

  std::string requestBytes(const TargetEntry &Target, Duration Left) const {
    HttpMessage Forwarded = Exchange_->request();
    std::erase_if(Forwarded.Headers_, [this](const HeaderField &Each) {
      return sameHeaderName(Each.first, Parts_.Headers_.DeadlineMs_) ||
             sameHeaderName(Each.first, Parts_.Headers_.ExpectedTarget_);
    });
    Forwarded.Headers_.emplace_back(Parts_.Headers_.DeadlineMs_,
                                    std::to_string(toMilliseconds(Left)));
    Forwarded.Headers_.emplace_back(Parts_.Headers_.ExpectedTarget_,
                                    Target.Id_.str());
    return writeRequest(Forwarded);
  }

  void armHedge(const GatewayAttempt &Order) {
    if (!Order.HedgeAt_)
      return;
    const std::shared_ptr<GatewayFlow> Self = shared_from_this();
    HedgeTimer_.expires_after(*Order.HedgeAt_ - Parts_.Timers_.now());
    HedgeTimer_.async_wait([Self](const asio::error_code &Error) {
      if (!Error && !Self->IsDone_)
        Self->hedge();
    });
  }

  void hedge() {
    const std::optional<GatewayAttempt> Second =
        Parts_.Core_.placeHedge(*Request_, Parts_.Timers_.now());
    if (Second)
      send(*Second);
  }

  /// What a call's end says, by the headers of the answer.
  AttemptOutcome outcomeOf(const CallResult &Result) const {
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
    // Says as well that the request has not run, and more.
    if (Answer.Status_ == Misdirected)
      return AttemptOutcome::OtherInstance;
    if (Answer.header(Parts_.Headers_.NotRun_))
      return AttemptOutcome::Refused;
    const bool IsSigned = Answer.header(Parts_.Headers_.AnswerSignature_) &&
                          !Answer.header("Content-Encoding");
    if (!IsSigned)
      return AttemptOutcome::Broken;
    constexpr int FirstRedirect = 300;
    return Answer.Status_ < FirstRedirect ? AttemptOutcome::Success
                                          : AttemptOutcome::Failure;
  }

  void ended(std::size_t Index, const CallResult &Result) {
    if (IsDone_)
      return;
    Attempts_[Index].Call_ = nullptr;
    const GatewayAttempt Order = Attempts_[Index].Order_;
    const AttemptOutcome Outcome = outcomeOf(Result);
    const TimePoint Now = Parts_.Timers_.now();
    const GatewayDecision Next = Parts_.Core_.attemptEnded(
        *Request_, Order, Outcome,
        parseLoad(Result.Answer_.header(Parts_.Headers_.TargetLoad_)), Now);
    if (Next.News_)
      Parts_.Evidence_.evidence(Order.Target_, *Next.News_);
    report(Order, Outcome, Result);
    switch (Next.Step_) {
    case GatewayStep::Deliver:
      deliver(Result.Answer_, Outcome);
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
    Front_.releaseWaiting();
  }

  void report(const GatewayAttempt &Order, AttemptOutcome Outcome,
              const CallResult &Result) {
    Parts_.Metrics_.count(std::string("attempts_") +
                          attemptOutcomeName(Outcome));
    // The other connections to it are likely dead as well.
    if (Outcome == AttemptOutcome::Broken ||
        Outcome == AttemptOutcome::TimedOut ||
        Outcome == AttemptOutcome::NotConnected)
      Parts_.Client_.closeIdle(Order.Target_.Address_);
    if (Outcome != AttemptOutcome::Success || Order.IsTrial_ || Order.IsResend_)
      logAttempt(Order, attemptOutcomeName(Outcome),
                 Result.End_ == CallEnd::Answered
                     ? "status " + std::to_string(Result.Answer_.Status_) +
                           " load " + loadText(Result.Answer_)
                     : Result.Detail_);
  }

  std::string loadText(const HttpMessage &Answer) const {
    const std::string *Text = Answer.header(Parts_.Headers_.TargetLoad_);
    return Text ? *Text : "unknown";
  }

  void logAttempt(const GatewayAttempt &Order, const char *Outcome,
                  const std::string &Detail) {
    const TargetBalancer *Targets = Parts_.Core_.balancer(Request_->Service_);
    const TimePoint Now = Parts_.Timers_.now();
    Parts_.Log_.write(
        LogLevel::Info, "attempt", Outcome,
        {{"id", Id_},
         {"route", Request_->Route_->Prefix_},
         {"service", Request_->Service_.str()},
         {"target", Order.Target_.Id_.str()},
         {"ms", std::to_string(toMilliseconds(Now - Order.StartedAt_))},
         {"trial", Order.IsTrial_ ? "1" : "0"},
         {"resend", Order.IsResend_ ? "1" : "0"},
         {"ejected", std::to_string(Targets ? Targets->ejectedCount() : 0)},
         {"targets", std::to_string(Targets ? Targets->size() : 0)},
         {"config", std::to_string(Request_->Table_->config().Version_)},
         {"detail", Detail}});
  }

  void deliver(const HttpMessage &Answer, AttemptOutcome How) {
    finish();
    const bool IsFailure = How != AttemptOutcome::Success;
    count(IsFailure ? ResultCode::BackendBroken : ResultCode::Ok, Outcome::Ran,
          Answer.Status_);
    if (IsFailure)
      logEnd("delivered_failure", Answer.Status_, ResultCode::Ok);
    Exchange_->answer(Answer);
  }

  void refuse(const GatewayRefusal &Why) {
    finish();
    const bool MayHaveRun = Request_ && Request_->MayHaveRun_;
    count(Why.Code_, MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
          Why.Status_);
    logEnd("refused", Why.Status_, Why.Code_);
    Exchange_->answer(ownAnswer(Why));
  }

  void count(ResultCode Code, Outcome What, int Status) {
    const TimePoint Now = Parts_.Timers_.now();
    RequestEnd End;
    End.Code_ = Code;
    End.Outcome_ = What;
    End.HttpStatus_ = Status;
    End.Latency_ = Now - ArrivedAt_;
    if (Request_)
      Parts_.Core_.requestEnded(*Request_, Code == ResultCode::Ok, Now);
    Parts_.Metrics_.requestEnded(
        CustomerName(Request_ ? Request_->Route_->Host_ : "none"),
        Request_ ? Request_->Service_ : ServiceName("none"), End, Now);
  }

  void logEnd(const char *Event, int Status, ResultCode Code) {
    const RequestHead Head = headOf(Exchange_->request());
    Parts_.Log_.write(
        LogLevel::Warning, "request", Event,
        {{"id", Id_},
         {"host", Head.Host_},
         {"route", Request_ ? Request_->Route_->Prefix_ : "none"},
         {"status", std::to_string(Status)},
         {"code", resultCodeName(Code)},
         {"sent", std::to_string(Request_ ? Request_->Sent_ : 0)},
         {"ms",
          std::to_string(toMilliseconds(Parts_.Timers_.now() - ArrivedAt_))},
         {"deadline_ms", Head.TimeLeft_
                             ? std::to_string(toMilliseconds(*Head.TimeLeft_))
                             : "none"}});
  }

  void timeIsUp() {
    if (IsDone_)
      return;
    const GatewayRefusal Why = Parts_.Core_.giveUp(*Request_);
    endAttempts(AttemptOutcome::TimedOut);
    refuse(Why);
  }

  void callerGone() {
    if (IsDone_)
      return;
    endAttempts(AttemptOutcome::Cancelled);
    Parts_.Metrics_.count("callers_gone");
    logEnd("caller_gone", 0, ResultCode::CallerGone);
    finish();
  }

  /// Ends the attempts in progress.
  void endAttempts(AttemptOutcome Outcome) {
    const TimePoint Now = Parts_.Timers_.now();
    for (Attempt &Each : Attempts_) {
      if (!Each.Call_)
        continue;
      Each.Call_->cancel();
      Each.Call_ = nullptr;
      const GatewayDecision Ended = Parts_.Core_.attemptEnded(
          *Request_, Each.Order_, Outcome, std::nullopt, Now);
      if (Ended.News_)
        Parts_.Evidence_.evidence(Each.Order_.Target_, *Ended.News_);
      logAttempt(Each.Order_, attemptOutcomeName(Outcome), "ended by the host");
    }
  }

  void finish() {
    if (!IsDone_ && Request_) {
      endAttempts(AttemptOutcome::Cancelled);
      Parts_.Core_.withdraw(*Request_);
      Front_.Waiting_.erase(Request_.get());
    }
    IsDone_ = true;
    GiveUpTimer_.cancel();
    HedgeTimer_.cancel();
    Exchange_->onCallerGone(nullptr);
  }

  GatewayFront &Front_;
  const GatewayParts &Parts_;
  const std::shared_ptr<HttpExchange> Exchange_;
  asio::steady_timer GiveUpTimer_;
  asio::steady_timer HedgeTimer_;
  std::string Id_;
  TimePoint ArrivedAt_;
  std::shared_ptr<GatewayRequest> Request_; ///< Null when not admitted.
  std::vector<Attempt> Attempts_;
  bool IsDone_ = false;
};

GatewayFront::GatewayFront(GatewayParts Parts) : Parts_(std::move(Parts)) {
  Release_ = Parts_.Timers_.subscribe(ReleasePeriod, [this](TimePoint) {
    if (!Waiting_.empty())
      releaseWaiting();
  });
}

GatewayFront::~GatewayFront() { Parts_.Timers_.unsubscribe(Release_); }

void GatewayFront::releaseWaiting() {
  if (Waiting_.empty())
    return;
  for (const std::pair<std::shared_ptr<GatewayRequest>, Placement> &Each :
       Parts_.Core_.release(Parts_.Timers_.now())) {
    const std::map<const GatewayRequest *,
                   std::shared_ptr<GatewayFlow>>::iterator It =
        Waiting_.find(Each.first.get());
    if (It == Waiting_.end())
      continue;
    const std::shared_ptr<GatewayFlow> Flow = It->second;
    Waiting_.erase(It);
    Flow->placed(Each.second);
  }
}

void GatewayFront::handle(std::shared_ptr<HttpExchange> Exchange) {
  if (RefusesNew_) {
    Parts_.Metrics_.count("requests_refused_leaving");
    return Exchange->answer(ownAnswer(GatewayRefusal{
        ResultCode::HostLeaving, httpStatus(ResultCode::HostLeaving),
        LeavingRetryAfter}));
  }
  std::make_shared<GatewayFlow>(*this, std::move(Exchange))->start();
}

HttpMessage GatewayFront::reject(ResultCode Code) {
  Parts_.Log_.write(LogLevel::Warning, "request", "rejected",
                    {{"code", resultCodeName(Code)}});
  return ownAnswer(GatewayRefusal{Code, httpStatus(Code), std::nullopt});
}

} // namespace kumquatpitch
