// Calls of one connection. See http-client-connection.h.

#include "kumquatpitch/http-client-connection.h"

#include "kumquatpitch/socket-state.h"

#include <algorithm>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <netinet/tcp.h>

namespace kumquatpitch {

namespace {

constexpr std::uint64_t MaxResponseHeadBytes = 32'768;
/// A connection is not reused during this last part of the keep-alive timeout
/// that the server states: the server may close it while a request is in
/// flight.
constexpr Duration CloseMargin = std::chrono::milliseconds(1'500);
/// Used if the server states no keep-alive timeout.
constexpr Duration DefaultReuseTime = std::chrono::seconds(4);
/// Interim responses and responses to other requests that are skipped in one
/// call. A server may send them without end.
constexpr int MaxSkippedResponses = 16;
/// How often a connection that the server has ended is checked for the delivery
/// of the request, which the system does not report.
constexpr Duration EndCheckPeriod = std::chrono::milliseconds(5);
/// Bytes received on an idle connection that are reported: a status line.
constexpr std::size_t IdleBytesStart = 16;
/// TCP_USER_TIMEOUT: the connection is closed if the other end leaves sent
/// data unacknowledged for this time.
constexpr int UserTimeoutMs = 3'000;

/// How long a connection may be reused after this response.
Duration reuseTime(const HttpMessage &Response) {
  const std::string *KeepAlive = Response.header("Keep-Alive");
  const std::size_t At =
      KeepAlive ? KeepAlive->find("timeout=") : std::string::npos;
  if (At == std::string::npos)
    return DefaultReuseTime;
  constexpr std::size_t NameSize = 8;
  std::int64_t Seconds = 0;
  std::from_chars(KeepAlive->data() + At + NameSize,
                  KeepAlive->data() + KeepAlive->size(), Seconds);
  return std::max(Duration::zero(),
                  Duration(std::chrono::seconds(Seconds)) - CloseMargin);
}

} // namespace

HttpClientConnection::HttpClientConnection(HttpClient &Client, Endpoint Server)
    : Client_(Client), ServerEndpoint_(std::move(Server)),
      Socket_(Client.Context_), Timer_(Client.Context_),
      ConnectTimer_(Client.Context_), HoldTimer_(Client.Context_) {}

void HttpClientConnection::start(const CallOptions &Options,
                                 OutgoingRequest Request,
                                 HttpClient::Callback OnEnd) {
  Options_ = Options;
  Request_ = std::move(Request);
  OnEnd_ = std::move(OnEnd);
  Parser_ = std::make_unique<MessageParser>(MessageParser::Kind::Response,
                                            MaxResponseHeadBytes,
                                            Options.MaxAnswerBytes_);
  if (Options.IsHead_)
    Parser_->expectNoBody();
  IsSent_ = false;
  CalledAt_ = std::chrono::steady_clock::now();
  ReceivedBytes_ = 0;
  IsWritten_ = false;
  HasWriteFailed_ = false;
  IsReused_ = IsOpen_;
  InterimResponses_ = 0;
  OtherResponses_ = 0;
  HasSecondResponse_ = false;
  IsUnprovable_ = false;
  IsTooLong_ = false;
  IsOverLimit_ = false;
  Behind_ = BytesBehindResponse();
  HasEnded_ = false;
  IsHeld_ = false;
  CarriedIds_.add(Options.Echo_.Id_);
  Scan_.begin(Options.Echo_.Header_, CarriedIds_);
  startTimeout();
  if (IsOpen_)
    send();
  else
    connect();
}

std::chrono::steady_clock::time_point HttpClientConnection::timeoutAt() const {
  const std::chrono::steady_clock::time_point End =
      CalledAt_ + Options_.Timeout_;
  if (Options_.MinBytesPerSecond_ == 0)
    return End;
  const Duration TransferTime(ReceivedBytes_ * Duration::period::den /
                              Options_.MinBytesPerSecond_);
  return std::min(End + TransferTime,
                  std::chrono::steady_clock::now() + Options_.Timeout_);
}

void HttpClientConnection::startTimeout() {
  const std::shared_ptr<HttpClientConnection> Self = shared_from_this();
  Timer_.expires_at(timeoutAt());
  Timer_.async_wait([Self](const asio::error_code &Error) {
    if (!Error && Self->IsHeld_)
      Self->decideEnd(true);
    else if (!Error)
      Self->fail(Self->IsSent_ ? CallEnd::TimedOut : CallEnd::NotConnected,
                 "no complete response before the timeout, " +
                     std::to_string(Self->ReceivedBytes_) + " bytes received");
  });
}

void HttpClientConnection::cancel() {
  OnEnd_ = nullptr;
  close();
}

bool HttpClientConnection::isUsable(Duration MaxIdle) const {
  const std::chrono::steady_clock::duration Idle =
      std::chrono::steady_clock::now() - IdleSince_;
  return IsOpen_ && Idle < std::min(MaxIdle, ReuseTime_);
}

void HttpClientConnection::close() {
  IsOpen_ = false;
  countBuffered(0);
  asio::error_code Ignored;
  Socket_.close(Ignored);
  Timer_.cancel();
  ConnectTimer_.cancel();
  HoldTimer_.cancel();
}

void HttpClientConnection::connect() {
  const std::shared_ptr<HttpClientConnection> Self = shared_from_this();
  asio::error_code Error;
  const asio::ip::tcp::endpoint Address(
      asio::ip::make_address(ServerEndpoint_.Address_, Error),
      ServerEndpoint_.Port_);
  if (Error) {
    asio::post(Client_.Context_, [Self] {
      Self->fail(CallEnd::NotConnected,
                 "the server's address is not an IP address");
    });
    return;
  }
  ConnectTimer_.expires_after(Options_.ConnectTimeout_);
  ConnectTimer_.async_wait([Self](const asio::error_code &Cancelled) {
    if (!Cancelled && !Self->IsOpen_)
      Self->fail(CallEnd::NotConnected,
                 "connection not established before the timeout");
  });
  Socket_.async_connect(Address, [Self](const asio::error_code &Failed) {
    if (!Self->OnEnd_)
      return;
    Self->ConnectTimer_.cancel();
    if (Failed)
      return Self->fail(CallEnd::NotConnected, Failed.message());
    Self->onConnected();
  });
}

void HttpClientConnection::onConnected() {
  IsOpen_ = true;
  asio::error_code Ignored;
  Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
  const int Timeout = UserTimeoutMs;
  setsockopt(Socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout,
             sizeof Timeout);
  read();
  send();
}

void HttpClientConnection::send() {
  IsSent_ = true;
  const std::shared_ptr<HttpClientConnection> Self = shared_from_this();
  // The handler holds the request until the write has ended, also if the call
  // ends before.
  const std::shared_ptr<const OutgoingRequest> Sent =
      std::make_shared<const OutgoingRequest>(std::move(Request_));
  Request_ = OutgoingRequest();
  const std::array<asio::const_buffer, 2> Parts{
      asio::buffer(Sent->Head_),
      Sent->Body_ ? asio::buffer(*Sent->Body_) : asio::const_buffer()};
  asio::async_write(Socket_, Parts,
                    [Self, Sent](const asio::error_code &Error, std::size_t) {
                      if (!Error) {
                        Self->IsWritten_ = true;
                        return;
                      }
                      Self->HasWriteFailed_ = true;
                      // The server may have answered before it closed. A
                      // pending read will show this.
                      if (Self->OnEnd_ && !Self->IsReading_)
                        Self->fail(CallEnd::Broken, Error.message());
                    });
}

void HttpClientConnection::read() {
  if (IsReading_)
    return;
  IsReading_ = true;
  const std::shared_ptr<HttpClientConnection> Self = shared_from_this();
  Socket_.async_read_some(
      asio::buffer(Buffer_),
      [Self](const asio::error_code &Error, std::size_t Size) {
        Self->IsReading_ = false;
        Self->handleRead(Error, Size);
      });
}

void HttpClientConnection::handleRead(const asio::error_code &Error,
                                      std::size_t Size) {
  if (!OnEnd_) {
    // No response is expected on an idle connection: either the server
    // closed it, or it sent stray bytes.
    close();
    Client_.removeIdle(this);
    if (!Error && Client_.OnIdleBytes_)
      Client_.OnIdleBytes_(IdleBytes{
          ServerEndpoint_, Options_.Echo_.Id_,
          std::string(Buffer_.data(), std::min(Size, IdleBytesStart)), Size});
    return;
  }
  if (IsHeld_)
    return handleHeldRead(Error, Size);
  if (Error)
    return handleEnd(Error);
  ReceivedBytes_ += Size;
  if (Options_.MinBytesPerSecond_ > 0)
    startTimeout();
  parse(std::string_view(Buffer_.data(), Size));
}

/// Parses the bytes and reads on, or ends the call.
void HttpClientConnection::parse(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const std::size_t Used = Parser_->feed(Bytes);
    const bool IsRejected = Parser_->state() == MessageParser::State::Rejected;
    const bool IsComplete = Parser_->state() == MessageParser::State::Complete;
    if (!holdBody())
      return;
    Scan_.feed(IsRejected ? Bytes : Bytes.substr(0, Used));
    Bytes.remove_prefix(Used);
    if (IsComplete)
      Scan_.feedAfterEnd(Bytes);
    if (Scan_.verdict() == SplicedResponseScan::Verdict::Spliced)
      return failSpliced();
    if (IsRejected) {
      IsTooLong_ = Parser_->code() == ResultCode::RequestBodyTooLarge;
      return fail(CallEnd::Broken,
                  Parser_->hasInvalidStatus()
                      ? "response without a valid status"
                      : "response is not valid HTTP or too large");
    }
    if (IsComplete && completeOrSkip(Bytes))
      return;
    if (failUnprovable())
      return;
  }
  read();
}

/// Fails the call if the response whose body has begun could only be completed
/// by the end of the connection. Its body is not waited for: a target may send
/// it without end, and the request can go to another one sooner.
bool HttpClientConnection::failUnprovable() {
  if (Parser_->state() != MessageParser::State::Body)
    return false;
  // Responses to other requests before it show that the server is faulty.
  const char *Reason =
      unprovableReason(bodyFraming(Parser_->message()),
                       Options_.AcceptsUnframed_ && OtherResponses_ == 0);
  if (!Reason)
    return false;
  IsUnprovable_ = true;
  fail(CallEnd::Broken, Reason);
  return true;
}

/// Drops the parsed message.
void HttpClientConnection::expectNextResponse() {
  Parser_->take();
  Scan_.begin(Options_.Echo_.Header_, CarriedIds_);
}

/// Neither of the two responses can be taken: what follows the beginning of the
/// second one may be the rest of the first, and fill it up to its length.
void HttpClientConnection::failSpliced() {
  HasSecondResponse_ = true;
  fail(CallEnd::Broken, "second response inside the response, after " +
                            std::to_string(Scan_.secondOffset()) + " bytes");
}

/// Handles the end of the server's side. It completes an answer without a
/// length once the server has got the whole request. Until then the server's
/// process may have ended in the middle of both, and the reset that shows this
/// may come after the end.
void HttpClientConnection::handleEnd(const asio::error_code &Error) {
  HasEnded_ = true;
  const bool IsReset = HasWriteFailed_ || Error != asio::error::eof ||
                       isConnectionReset(Socket_.native_handle());
  if (!IsReset)
    Parser_->finish();
  const bool IsComplete =
      !IsReset && Parser_->state() == MessageParser::State::Complete;
  const bool IsDelivered =
      IsWritten_ && unacknowledgedBytes(Socket_.native_handle()) == 0;
  if (IsComplete && !IsDelivered) {
    const std::shared_ptr<HttpClientConnection> Self = shared_from_this();
    HoldTimer_.expires_after(EndCheckPeriod);
    HoldTimer_.async_wait([Self, Error](const asio::error_code &Cancelled) {
      if (!Cancelled && Self->OnEnd_)
        Self->handleEnd(Error);
    });
    return;
  }
  if (IsComplete && completeOrSkip(std::string_view()))
    return;
  const std::string Found = OtherResponses_ > 0
                                ? "only responses to other requests: "
                            : ReceivedBytes_ > 0 ? "response truncated: "
                                                 : "no response: ";
  fail(CallEnd::Broken,
       Found + (IsReset ? "connection reset" : Error.message()));
}

/// Ends the call with the parsed message, or skips one that is not the
/// response to the request. False if the next message is to be parsed.
bool HttpClientConnection::completeOrSkip(std::string_view Rest) {
  switch (matchResponse(Parser_->message(), Options_.Echo_, IsReused_)) {
  case ResponseMatch::Own:
    Behind_.add(Rest);
    if (Options_.Echo_.Id_.empty() && IsReused_ && Behind_.total() > 0)
      fail(CallEnd::Broken, "two responses to a request without an id");
    else
      decideEnd(false);
    return true;
  case ResponseMatch::Unattributed:
    fail(CallEnd::Broken, "response without the id of its request alone");
    return true;
  case ResponseMatch::Interim:
    ++InterimResponses_;
    break;
  case ResponseMatch::Other:
    ++OtherResponses_;
    break;
  }
  if (InterimResponses_ + OtherResponses_ > MaxSkippedResponses) {
    fail(CallEnd::Broken, "too many responses that are not the request's");
    return true;
  }
  expectNextResponse();
  return false;
}

/// Ends the call with the parsed message, or waits for what follows it on the
/// connection. `WasHeld` is true once that time is over.
void HttpClientConnection::decideEnd(bool WasHeld) {
  ResponseEvidence Evidence;
  Evidence.Framing_ = bodyFraming(Parser_->message());
  Evidence.AnnouncedEnd_ = announcedEnd(Parser_->message());
  Evidence.HeadHoldsAnother_ =
      headHoldsAnother(Parser_->message().Reason_, Parser_->message().Headers_);
  Evidence.Findings_ = Scan_.findings();
  Evidence.StrayBytes_ = Behind_.strayBytes();
  Evidence.IsConnectionEnded_ = HasEnded_;
  Evidence.WasHeld_ = WasHeld;
  const ResponseDecision Decision = decideResponseEnd(Evidence);
  switch (Decision.End_) {
  case ResponseEnd::Whole:
    return complete();
  case ResponseEnd::Broken:
    return fail(CallEnd::Broken, Decision.Reason_);
  case ResponseEnd::Hold:
    return hold(Decision.HoldTime_);
  }
}

void HttpClientConnection::hold(Duration Time) {
  if (!IsHeld_) {
    IsHeld_ = true;
    const std::shared_ptr<HttpClientConnection> Self = shared_from_this();
    HoldTimer_.expires_after(Time);
    HoldTimer_.async_wait([Self](const asio::error_code &Cancelled) {
      if (!Cancelled && Self->OnEnd_)
        Self->decideEnd(true);
    });
  }
  read();
}

void HttpClientConnection::handleHeldRead(const asio::error_code &Error,
                                          std::size_t Size) {
  const std::string_view Bytes(Buffer_.data(), Size);
  HasEnded_ = static_cast<bool>(Error);
  Scan_.feedAfterEnd(Bytes);
  if (Scan_.verdict() == SplicedResponseScan::Verdict::Spliced)
    return failSpliced();
  Behind_.add(Bytes);
  decideEnd(false);
}

void HttpClientConnection::countBuffered(std::uint64_t Bytes) {
  Client_.BufferedBytes_ += Bytes - CountedBytes_;
  CountedBytes_ = Bytes;
  if (Bytes > 0)
    Client_.Holders_.insert(this);
  else
    Client_.Holders_.erase(this);
}

/// Counts the body that the parser holds. If all bodies together exceed the
/// limit, the call with the largest one ends: a server that sends without end
/// must not break the calls to others. False if that is this call.
bool HttpClientConnection::holdBody() {
  countBuffered(IsOverLimit_ ? 0 : Parser_->bodyBytes());
  HttpClientConnection *Largest = this;
  if (Client_.BufferedBytes_ > Client_.MaxBufferedBytes_)
    Largest = &Client_.largestHolder();
  else if (!IsOverLimit_)
    return true;
  Largest->endForMemory();
  return Largest != this;
}

/// The callback may start and cancel calls, so it runs later.
void HttpClientConnection::endForMemory() {
  countBuffered(0);
  if (IsOverLimit_)
    return;
  IsOverLimit_ = true;
  asio::post(Client_.Context_, [Self = shared_from_this()] {
    if (Self->IsOverLimit_)
      Self->fail(CallEnd::Broken, "no memory left for responses in progress");
  });
}

void HttpClientConnection::complete() {
  CallResult Result;
  Result.End_ = CallEnd::Answered;
  Result.IsEarly_ = !IsWritten_;
  Result.SkippedResponses_ = OtherResponses_;
  Result.WasHeld_ = IsHeld_;
  Result.StrayBytes_ = Behind_.total();
  Result.Answer_ = Parser_->take();
  countBuffered(0);
  Timer_.cancel();
  ReuseTime_ = reuseTime(Result.Answer_);
  IdleSince_ = std::chrono::steady_clock::now();
  // If the response came before the whole request was written, the connection
  // is still in the middle of the request.
  const bool IsReusable = IsOpen_ && IsWritten_ && Behind_.total() == 0 &&
                          Result.Answer_.KeepAlive_ && !CarriedIds_.isFull() &&
                          !IsHeld_;
  const HttpClient::Callback OnEnd = std::move(OnEnd_);
  OnEnd_ = nullptr;
  if (IsReusable) {
    Client_.addIdle(shared_from_this());
    read();
  } else {
    close();
  }
  OnEnd(std::move(Result));
}

void HttpClientConnection::fail(CallEnd End, const std::string &Detail) {
  if (!OnEnd_)
    return;
  CallResult Result;
  Result.End_ = End;
  Result.Detail_ = Detail;
  Result.SkippedResponses_ = OtherResponses_;
  Result.HasSecondResponse_ = HasSecondResponse_;
  Result.IsUnprovable_ = IsUnprovable_;
  Result.IsTooLong_ = IsTooLong_;
  const HttpClient::Callback OnEnd = std::move(OnEnd_);
  OnEnd_ = nullptr;
  close();
  // Pending handlers keep the connection for a while, but need no body.
  Parser_->take();
  OnEnd(std::move(Result));
}

} // namespace kumquatpitch
