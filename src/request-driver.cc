// Requests between the front, the core and backend servers. See
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

/// Value of the query parameter `service`; service names need no decoding.
std::string serviceParameter(std::string_view Target) {
  constexpr std::string_view Key = "service=";
  std::size_t At = Target.find('?');
  while (At != std::string_view::npos) {
    const std::string_view Rest = Target.substr(At + 1);
    if (Rest.substr(0, Key.size()) == Key)
      return std::string(Rest.substr(Key.size(), Rest.find('&') - Key.size()));
    At = Target.find('&', At + 1);
  }
  return "";
}

std::string joinAddresses(const std::vector<Endpoint> &Hosts) {
  std::string Text;
  for (const Endpoint &Each : Hosts)
    Text += (Text.empty() ? "" : ", ") + Each.Address_ + ":" +
            std::to_string(Each.Port_);
  return Text;
}

HttpAnswer makeRefusal(const RequestRefusal &Refused) {
  HttpAnswer Answer =
      makeErrorAnswer(Refused.Code_, Refused.Outcome_, Refused.Message_);
  if (!Refused.Hosts_.empty())
    Answer.Headers_.emplace_back("Kumquatpitch-Hosts",
                                 joinAddresses(Refused.Hosts_));
  return Answer;
}

} // namespace

Result<CallerRequest> readCallerRequest(const CustomerName &Customer,
                                        const HttpRequest &Request) {
  constexpr std::uint64_t NoDeadline = UINT64_MAX;
  CallerRequest Read;
  Read.Customer_ = Customer;
  Read.Method_ = Request.Method_;
  Read.Target_ = Request.Target_;
  BOOST_LEAF_AUTO(
      DeadlineMs,
      readNumber(Request.Headers_, "Kumquatpitch-Deadline-Ms", NoDeadline));
  if (DeadlineMs != NoDeadline)
    Read.Deadline_ = std::chrono::milliseconds(DeadlineMs);
  BOOST_LEAF_AUTO(Resend,
                  readNumber(Request.Headers_, "Kumquatpitch-Resend", 0));
  Read.Resend_ = static_cast<std::uint32_t>(Resend);
  Read.Token_ = findHeader(Request.Headers_, "Kumquatpitch-Token").value_or("");
  Read.RequestId_ =
      findHeader(Request.Headers_, "Kumquatpitch-Request-Id").value_or("");
  return Read;
}

std::uint64_t RequestDriver::maxBodyBytes(const CustomerName &Customer,
                                          std::string_view Method,
                                          std::string_view Target) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Core_.maxBodyBytes(Customer, Method, Target);
}

HttpAnswer RequestDriver::handle(const CustomerName &Customer,
                                 const HttpRequest &Request,
                                 CallerPresence &Presence) {
  const std::string_view Path =
      std::string_view(Request.Target_).substr(0, Request.Target_.find('?'));
  if (Path == AddressPath && Request.Method_ == "GET")
    return handleAddresses(Customer, Request);
  return handleFailure(
      [&]() -> Result<HttpAnswer> {
        BOOST_LEAF_AUTO(Caller, readCallerRequest(Customer, Request));
        return handleRequest(Caller, Request, Presence);
      },
      [&](const Failure &Cause) {
        const bool MayBeResend =
            findHeader(Request.Headers_, "Kumquatpitch-Token").has_value();
        return makeErrorAnswer(Cause.Code_,
                               MayBeResend ? Outcome::Unknown : Outcome::NotRun,
                               Cause.Message_);
      });
}

HttpAnswer RequestDriver::handleAddresses(const CustomerName &Customer,
                                          const HttpRequest &Request) {
  return handleFailure(
      [&]() -> Result<HttpAnswer> {
        const std::lock_guard<std::mutex> Lock(Mutex_);
        BOOST_LEAF_AUTO(
            Answer,
            Core_.addresses(Customer,
                            ServiceName(serviceParameter(Request.Target_)),
                            Timers_.now()));
        return HttpAnswer{
            200,
            "OK",
            {{"Content-Type", "application/json"},
             {"Cache-Control",
              "max-age=" + std::to_string(AddressKeepTime.count() / 1000)}},
            formatAddressAnswer(Answer)};
      },
      [](const Failure &Cause) {
        return makeErrorAnswer(Cause.Code_, Outcome::NotRun, Cause.Message_);
      });
}

HttpAnswer RequestDriver::handleRequest(const CallerRequest &Caller,
                                        const HttpRequest &Request,
                                        CallerPresence &Presence) {
  FlowStep Next;
  Mailbox *Box = nullptr;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Next = Core_.admit(Caller, Timers_.now());
    if (const RequestRefusal *Refused =
            std::get_if<RequestRefusal>(&Next.Step_))
      return makeRefusal(*Refused);
    Box = &Mailboxes_[Next.Flow_];
  }
  const FlowId Flow = Next.Flow_;
  Presence.onGone([this, Flow] {
    drive([Flow](HostCore &Core, TimePoint Now) {
      return Core.abandon(Flow, Now);
    });
  });
  HttpAnswer Answer;
  while (!std::holds_alternative<Deliver>(Next.Step_) &&
         !std::holds_alternative<RequestRefusal>(Next.Step_)) {
    if (const AttemptOrder *Order = std::get_if<AttemptOrder>(&Next.Step_)) {
      AttemptResult Ended = runAttempt(Flow, *Box, *Order, Request);
      Answer = std::move(Ended.Answer_);
    }
    Next.Step_ = waitForStep(*Box);
  }
  Presence.onGone({});
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Mailboxes_.erase(Flow);
  }
  if (const RequestRefusal *Refused = std::get_if<RequestRefusal>(&Next.Step_))
    return makeRefusal(*Refused);
  return Answer;
}

AttemptResult RequestDriver::runAttempt(FlowId Flow, Mailbox &Box,
                                        const AttemptOrder &Order,
                                        const HttpRequest &Request) {
  const std::shared_ptr<AttemptCanceller> Canceller =
      std::make_shared<AttemptCanceller>();
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Box.Attempt_ = Order.Id_;
    Box.Canceller_ = Canceller;
  }
  const auto MayWrite = [this, Flow] {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Core_.mayWrite(Flow, Timers_.now());
  };
  AttemptResult Ended = Backends_.run(Order, Request, MayWrite, *Canceller);
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Box.Attempt_ = 0;
    Box.Canceller_ = nullptr;
  }
  drive([&](HostCore &Core, TimePoint Now) {
    return Core.finishAttempt(Flow, Ended.Report_, Now);
  });
  return Ended;
}

NextStep RequestDriver::waitForStep(Mailbox &Box) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  Box.Arrived_.wait(Lock, [&Box] { return Box.Next_.has_value(); });
  NextStep Next = std::move(*Box.Next_);
  Box.Next_.reset();
  return Next;
}

void RequestDriver::drive(
    const std::function<CoreActions(HostCore &, TimePoint)> &Use) {
  std::vector<Deferred> Later;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Later = carryOut(Use(Core_, Timers_.now()));
  }
  for (const Deferred &Each : Later)
    Each();
}

void RequestDriver::callPlatform(const PlatformCall &Call) {
  const auto OnReply = [this](const PlatformReply &Reply) {
    drive([&](HostCore &Core, TimePoint Now) {
      return Core.onPlatformReply(Reply, Now);
    });
  };
  if (Call.IsWatch_)
    Platform_.watch(Call.Key_, Call.After_, Call.Wait_, OnReply);
  else
    Platform_.read(Call.Key_, OnReply);
}

/// Carries out actions; Mutex_ is held. Gives what is to be done without it.
std::vector<RequestDriver::Deferred>
RequestDriver::carryOut(const CoreActions &Actions) {
  std::vector<Deferred> Later;
  for (const CoreAction &Action : Actions) {
    if (const FlowStep *Next = std::get_if<FlowStep>(&Action)) {
      const std::map<FlowId, Mailbox>::iterator At =
          Mailboxes_.find(Next->Flow_);
      if (At == Mailboxes_.end() || std::holds_alternative<Wait>(Next->Step_))
        continue;
      At->second.Next_ = Next->Step_;
      At->second.Arrived_.notify_one();
    } else if (const CancelAttempt *End = std::get_if<CancelAttempt>(&Action)) {
      for (std::pair<const FlowId, Mailbox> &Each : Mailboxes_)
        if (Each.second.Attempt_ == End->Attempt_ && Each.second.Canceller_)
          Later.push_back(
              [Canceller = Each.second.Canceller_, Reason = End->Reason_] {
                Canceller->cancel(Reason);
              });
    } else if (const CloseConnections *Close =
                   std::get_if<CloseConnections>(&Action)) {
      Backends_.closeKept(Close->Address_);
    } else if (const PlatformCall *Call = std::get_if<PlatformCall>(&Action)) {
      Later.push_back([this, Asked = *Call] { callPlatform(Asked); });
    }
  }
  return Later;
}

} // namespace kumquatpitch
