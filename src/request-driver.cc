// Request handling between the front, the core and the backend servers. See
// request-driver.h.

#include "kumquatpitch/request-driver.h"

#include <algorithm>
#include <charconv>

namespace kumquatpitch {

namespace {

constexpr std::string_view AddressPath = "/.kumquatpitch/addresses";
constexpr std::size_t MaxHeaderNumberDigits = 9;

Result<std::uint64_t> readNumber(const HeaderFields &Fields, const char *Name,
                                 std::uint64_t Default) {
  const std::optional<std::string> Text = findHeader(Fields, Name);
  if (!Text)
    return Default;
  std::uint64_t Number = 0;
  const char *End = Text->data() + Text->size();
  const std::from_chars_result Parsed =
      std::from_chars(Text->data(), End, Number);
  if (Text->empty() || Text->size() > MaxHeaderNumberDigits ||
      Parsed.ec != std::errc() || Parsed.ptr != End)
    return fail(ResultCode::RequestMalformed,
                std::string(Name) + " must be a whole number below 10^9");
  return Number;
}

/// Returns the query parameter `service`. Service names need no percent
/// decoding.
std::string serviceParameter(std::string_view Target) {
  constexpr std::string_view Key = "service=";
  std::size_t Separator = Target.find('?');
  while (Separator != std::string_view::npos) {
    const std::string_view Rest = Target.substr(Separator + 1);
    if (Rest.substr(0, Key.size()) == Key)
      return std::string(Rest.substr(Key.size(), Rest.find('&') - Key.size()));
    Separator = Target.find('&', Separator + 1);
  }
  return "";
}

std::string joinAddresses(const std::vector<Endpoint> &Hosts) {
  std::string Text;
  for (const Endpoint &Host : Hosts)
    Text += (Text.empty() ? "" : ", ") + Host.Address_ + ":" +
            std::to_string(Host.Port_);
  return Text;
}

HttpResponse makeRefusal(const RequestRefusal &Refusal) {
  HttpResponse Answer =
      makeErrorResponse(Refusal.Code_, Refusal.Outcome_, Refusal.Message_);
  if (!Refusal.Hosts_.empty())
    Answer.Headers_.emplace_back("Kumquatpitch-Hosts",
                                 joinAddresses(Refusal.Hosts_));
  return Answer;
}

} // namespace

Result<CallerRequest> readCallerRequest(const CustomerName &Customer,
                                        const HttpRequest &Request) {
  constexpr std::uint64_t NoDeadline = UINT64_MAX;
  CallerRequest Caller;
  Caller.Customer_ = Customer;
  Caller.Method_ = Request.Method_;
  Caller.Target_ = Request.Target_;
  BOOST_LEAF_AUTO(
      DeadlineMs,
      readNumber(Request.Headers_, "Kumquatpitch-Deadline-Ms", NoDeadline));
  if (DeadlineMs != NoDeadline)
    Caller.Deadline_ = std::chrono::milliseconds(DeadlineMs);
  BOOST_LEAF_AUTO(Resend,
                  readNumber(Request.Headers_, "Kumquatpitch-Resend", 0));
  Caller.Resend_ = static_cast<std::uint32_t>(Resend);
  Caller.Token_ =
      findHeader(Request.Headers_, "Kumquatpitch-Token").value_or("");
  Caller.RequestId_ =
      findHeader(Request.Headers_, "Kumquatpitch-Request-Id").value_or("");
  return Caller;
}

std::uint64_t RequestDriver::maxBodyBytes(const CustomerName &Customer,
                                          std::string_view Method,
                                          std::string_view Target) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Core_.maxBodyBytes(Customer, Method, Target);
}

HttpResponse RequestDriver::handle(const CustomerName &Customer,
                                   const HttpRequest &Request,
                                   CallerPresence &Presence) {
  const std::string_view Path =
      std::string_view(Request.Target_).substr(0, Request.Target_.find('?'));
  if (Path == AddressPath && Request.Method_ == "GET")
    return handleAddresses(Customer, Request);
  return handleFailure(
      [&]() -> Result<HttpResponse> {
        BOOST_LEAF_AUTO(Caller, readCallerRequest(Customer, Request));
        return handleRequest(Caller, Request, Presence);
      },
      [&](const Failure &Cause) {
        const bool MayBeResend =
            findHeader(Request.Headers_, "Kumquatpitch-Token").has_value();
        return makeErrorResponse(Cause.Code_, outcomeOf(Cause, MayBeResend),
                                 Cause.Message_);
      });
}

HttpResponse RequestDriver::handleAddresses(const CustomerName &Customer,
                                            const HttpRequest &Request) {
  return handleFailure(
      [&]() -> Result<HttpResponse> {
        const std::lock_guard<std::mutex> Lock(Mutex_);
        BOOST_LEAF_AUTO(
            Answer,
            Core_.addresses(Customer,
                            ServiceName(serviceParameter(Request.Target_)),
                            Timers_.now()));
        return HttpResponse{
            200,
            "OK",
            {{"Content-Type", "application/json"},
             {"Cache-Control",
              "max-age=" + std::to_string(AddressAnswerTtl.count() / 1000)}},
            formatAddressAnswer(Answer)};
      },
      [](const Failure &Cause) {
        return makeErrorResponse(Cause.Code_, Outcome::NotRun, Cause.Message_);
      });
}

HttpResponse RequestDriver::handleRequest(const CallerRequest &Caller,
                                          const HttpRequest &Request,
                                          CallerPresence &Presence) {
  FlowStep Next;
  ActiveRequest *Active = nullptr;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Next = Core_.admit(Caller, Timers_.now());
    if (const RequestRefusal *Refusal =
            std::get_if<RequestRefusal>(&Next.Step_))
      return makeRefusal(*Refusal);
    Active = &ActiveRequests_[Next.Flow_];
  }
  const FlowId Flow = Next.Flow_;
  Presence.onDisconnect([this, Flow] {
    runOnCore([Flow](HostCore &Core, TimePoint Now) {
      return Core.onCallerDisconnect(Flow, Now);
    });
  });
  HttpResponse Answer;
  while (!std::holds_alternative<Deliver>(Next.Step_) &&
         !std::holds_alternative<RequestRefusal>(Next.Step_)) {
    if (const AttemptOrder *Order = std::get_if<AttemptOrder>(&Next.Step_)) {
      AttemptResult Result = runAttempt(Flow, *Active, *Order, Request);
      Answer = std::move(Result.Answer_);
    }
    Next.Step_ = waitForStep(*Active);
  }
  Presence.onDisconnect({});
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    ActiveRequests_.erase(Flow);
  }
  if (const RequestRefusal *Refusal = std::get_if<RequestRefusal>(&Next.Step_))
    return makeRefusal(*Refusal);
  return Answer;
}

AttemptResult RequestDriver::runAttempt(FlowId Flow, ActiveRequest &Active,
                                        const AttemptOrder &Order,
                                        const HttpRequest &Request) {
  const std::shared_ptr<AttemptCanceller> Canceller =
      std::make_shared<AttemptCanceller>();
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Active.Attempt_ = Order.Id_;
    Active.Canceller_ = Canceller;
  }
  const auto MayWrite = [this, Flow] {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Core_.mayWrite(Flow, Timers_.now());
  };
  AttemptResult Result = Backends_.run(Order, Request, MayWrite, *Canceller);
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Active.Attempt_ = 0;
    Active.Canceller_ = nullptr;
  }
  runOnCore([&](HostCore &Core, TimePoint Now) {
    return Core.finishAttempt(Flow, Result.Report_, Now);
  });
  return Result;
}

NextStep RequestDriver::waitForStep(ActiveRequest &Active) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  Active.StepReady_.wait(Lock, [&Active] { return Active.Next_.has_value(); });
  NextStep Next = std::move(*Active.Next_);
  Active.Next_.reset();
  return Next;
}

void RequestDriver::runOnCore(
    const std::function<CoreActions(HostCore &, TimePoint)> &Operation) {
  std::vector<Deferred> DeferredActions;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    DeferredActions = execute(Operation(Core_, Timers_.now()));
  }
  for (const Deferred &Action : DeferredActions)
    Action();
}

void RequestDriver::callPlatform(const PlatformCall &Call) {
  const auto OnReply = [this](const PlatformReply &Reply) {
    runOnCore([&](HostCore &Core, TimePoint Now) {
      return Core.onPlatformReply(Reply, Now);
    });
  };
  if (Call.IsWatch_)
    Platform_.watch(Call.Key_, Call.After_, Call.Wait_, OnReply);
  else
    Platform_.read(Call.Key_, OnReply);
}

std::vector<RequestDriver::Deferred>
RequestDriver::execute(const CoreActions &Actions) {
  std::vector<Deferred> DeferredActions;
  for (const CoreAction &Action : Actions) {
    if (const FlowStep *Next = std::get_if<FlowStep>(&Action)) {
      const std::map<FlowId, ActiveRequest>::iterator It =
          ActiveRequests_.find(Next->Flow_);
      if (It == ActiveRequests_.end() ||
          std::holds_alternative<Wait>(Next->Step_))
        continue;
      It->second.Next_ = Next->Step_;
      It->second.StepReady_.notify_one();
    } else if (const CancelAttempt *Cancel =
                   std::get_if<CancelAttempt>(&Action)) {
      for (std::pair<const FlowId, ActiveRequest> &Entry : ActiveRequests_)
        if (Entry.second.Attempt_ == Cancel->Attempt_ &&
            Entry.second.Canceller_)
          DeferredActions.push_back(
              [Canceller = Entry.second.Canceller_, Reason = Cancel->Reason_] {
                Canceller->cancel(Reason);
              });
    } else if (const CloseConnections *Close =
                   std::get_if<CloseConnections>(&Action)) {
      Backends_.closeIdleConnections(Close->Address_);
    } else if (const PlatformCall *Call = std::get_if<PlatformCall>(&Action)) {
      DeferredActions.push_back(
          [this, PendingCall = *Call] { callPlatform(PendingCall); });
    }
  }
  return DeferredActions;
}

} // namespace kumquatpitch
