// Attempts at backend servers and the connection pool. See backend-client.h.

#include "kumquatpitch/backend-client.h"

#include "kumquatpitch/backend-connection.h"

#include <charconv>

namespace kumquatpitch {

using detail::BackendConnection;
using detail::ExchangeResult;

namespace {

constexpr const char *DeadlineHeader = "Kumquatpitch-Deadline-Ms";
constexpr const char *AttemptHeader = "Kumquatpitch-Attempt-Id";

/// True for header fields that are not forwarded to the backend server: those
/// of the caller's connection and those that makeRequest() or the proxy sets.
bool isDroppedField(const std::string &Name, const HeaderFields &Fields) {
  if (isHopByHop(Name, Fields))
    return true;
  for (const char *Reserved :
       {"Content-Length", "Expect", "Host", "Kumquatpitch-Token",
        "Kumquatpitch-Deadline-Ms", "Kumquatpitch-Attempt-Id"})
    if (strcasecmp(Name.c_str(), Reserved) == 0)
      return true;
  return false;
}

httplib::Request makeRequest(const AttemptOrder &Order,
                             const HttpRequest &Request, Duration Remaining) {
  httplib::Request Outgoing;
  Outgoing.method = Request.Method_;
  Outgoing.path = Request.Target_;
  Outgoing.body = Request.Body_;
  for (const HeaderField &Field : Request.Headers_)
    if (!isDroppedField(Field.first, Request.Headers_))
      Outgoing.headers.emplace(Field.first, Field.second);
  const std::optional<std::string> Host = findHeader(Request.Headers_, "Host");
  if (Host)
    Outgoing.headers.emplace("Host", *Host);
  Outgoing.headers.emplace(AttemptHeader, Order.WireId_);
  Outgoing.headers.emplace(
      DeadlineHeader,
      std::to_string(std::max<std::int64_t>(1, toMilliseconds(Remaining))));
  return Outgoing;
}

bool hasMarker(const HttpResponse &Answer, const Marker &Mark) {
  if (Mark.Header_.empty())
    return false;
  const std::optional<std::string> Value =
      findHeader(Answer.Headers_, Mark.Header_);
  return Value && *Value == Mark.Value_;
}

std::optional<double> reportedLoad(const HttpResponse &Answer,
                                   const std::string &Header) {
  constexpr double FullLoad = 100.0;
  if (Header.empty())
    return std::nullopt;
  const std::optional<std::string> Text = findHeader(Answer.Headers_, Header);
  double Load = 0;
  if (!Text ||
      std::from_chars(Text->data(), Text->data() + Text->size(), Load).ec !=
          std::errc() ||
      !(Load >= 0 && Load <= FullLoad))
    return std::nullopt;
  return Load;
}

/// True when a length or chunked coding marks the end of the answer. An answer
/// that ends when the connection closes cannot be distinguished from a
/// truncated one.
bool isDelimited(const httplib::Response &Response, const std::string &Method) {
  if (Method == "HEAD" || Response.status == 204 || Response.status == 304)
    return true;
  const std::size_t Lengths = Response.get_header_value_count("Content-Length");
  const std::size_t Codings =
      Response.get_header_value_count("Transfer-Encoding");
  if (Lengths + Codings != 1)
    return false;
  if (Lengths == 1)
    return Response.get_header_value("Content-Length") ==
           std::to_string(Response.body.size());
  return strcasecmp(Response.get_header_value("Transfer-Encoding").c_str(),
                    "chunked") == 0;
}

/// True when the answer repeats the attempt's id, and no other. A head that
/// broke off and was followed by another answer reads as one head with the ids
/// of both.
bool isAnswerTo(const AttemptOrder &Order, const httplib::Response &Response) {
  return Order.EchoHeader_.empty() ||
         (Response.get_header_value_count(Order.EchoHeader_) == 1 &&
          Response.get_header_value(Order.EchoHeader_) == Order.WireId_);
}

HttpResponse makeAnswer(httplib::Response &Response,
                        const std::string &Method) {
  HttpResponse Answer;
  Answer.Status_ = Response.status;
  Answer.Reason_ = Response.reason;
  Answer.Body_ = std::move(Response.body);
  const HeaderFields Fields(Response.headers.begin(), Response.headers.end());
  for (const HeaderField &Field : Fields)
    if (!isHopByHop(Field.first, Fields) &&
        (Method == "HEAD" || Response.status == 304 ||
         strcasecmp(Field.first.c_str(), "Content-Length") != 0))
      Answer.Headers_.push_back(Field);
  return Answer;
}

AttemptEnd classifyFailure(const ExchangeResult &Exchange,
                           bool DeadlinePassed) {
  if (Exchange.IsWriteDenied_)
    return AttemptEnd::NotWritten;
  if (Exchange.IsTooLarge_)
    return AttemptEnd::TooLarge;
  if (!Exchange.IsConnected_)
    return AttemptEnd::ConnectFailed;
  return DeadlinePassed ? AttemptEnd::TimedOut : AttemptEnd::Broken;
}

} // namespace

void AttemptCanceller::cancel(AttemptEnd Reason) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Reason_ != AttemptEnd::Answered)
    return;
  Reason_ = Reason;
  if (Connection_ && Connection_->mayBeWriting())
    Connection_->stop();
}

bool AttemptCanceller::attach(BackendConnection *Connection) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Reason_ != AttemptEnd::Answered)
    return false;
  Connection_ = Connection;
  return true;
}

AttemptEnd AttemptCanceller::detach() {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Connection_ = nullptr;
  return Reason_;
}

BackendClient::BackendClient(const TimerService &Timers) : Timers_(Timers) {}

BackendClient::~BackendClient() = default;

AttemptResult BackendClient::run(const AttemptOrder &Order,
                                 const HttpRequest &Request,
                                 const std::function<bool()> &MayWrite,
                                 AttemptCanceller &Canceller) {
  AttemptResult Result;
  const TimePoint Start = Timers_.now();
  const Duration Remaining = Order.Deadline_ - Start;
  if (Remaining <= Duration::zero())
    return Result;
  std::unique_ptr<BackendConnection> Connection = acquire(Order);
  httplib::Request Outgoing = makeRequest(Order, Request, Remaining);
  if (!Canceller.attach(Connection.get()))
    return Result;
  ExchangeResult Exchange = Connection->exchange(
      Outgoing, RequestEcho{Order.EchoHeader_, Order.WireId_},
      Order.MaxAnswerBytes_, Remaining, MayWrite);
  const AttemptEnd Reason = Canceller.detach();
  const TimePoint End = Timers_.now();
  Result.Report_.Latency_ = End - Start;
  Result.Report_.NewConnection_ = Exchange.IsNew_;
  if (Exchange.Error_ != httplib::Error::Success) {
    Result.Report_.End_ = classifyFailure(Exchange, End >= Order.Deadline_);
    const bool IsWritten = !provesNotRun(Result.Report_.End_);
    if (IsWritten && Reason != AttemptEnd::Answered)
      Result.Report_.End_ = Reason;
    return Result;
  }
  if (!isDelimited(Exchange.Response_, Request.Method_)) {
    Result.Report_.End_ = AttemptEnd::NotDelimited;
    return Result;
  }
  const HeaderFields Received(Exchange.Response_.headers.begin(),
                              Exchange.Response_.headers.end());
  const bool IsOwn = Exchange.IsWhole_ &&
                     isAnswerTo(Order, Exchange.Response_) &&
                     !headHoldsAnother(Exchange.Response_.reason, Received);
  Result.Answer_ = makeAnswer(Exchange.Response_, Request.Method_);
  Result.Report_.HttpStatus_ = Result.Answer_.Status_;
  Result.Report_.Load_ = reportedLoad(Result.Answer_, Order.LoadHeader_);
  Result.Report_.Draining_ = hasMarker(Result.Answer_, Order.Drain_);
  if (!IsOwn) {
    Result.Report_.End_ = AttemptEnd::Mismatched;
    Result.Answer_ = HttpResponse();
    return Result;
  }
  Result.Report_.End_ = hasMarker(Result.Answer_, Order.Refusal_)
                            ? AttemptEnd::Refused
                            : AttemptEnd::Answered;
  // The stream has read them: the next exchange would begin in their middle.
  if (!Exchange.HasBytesBehind_)
    release(std::move(Connection), Order.MaxIdleConnections_);
  return Result;
}

std::unique_ptr<BackendConnection>
BackendClient::acquire(const AttemptOrder &Order) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  ConnectionPool &Pool = Pools_[Order.Address_];
  if (Order.RequiresNewConnection_ || Pool.Idle_.empty())
    return std::make_unique<BackendConnection>(Order.Address_,
                                               Pool.Generation_);
  std::unique_ptr<BackendConnection> Connection = std::move(Pool.Idle_.back());
  Pool.Idle_.pop_back();
  return Connection;
}

void BackendClient::release(std::unique_ptr<BackendConnection> Connection,
                            std::size_t MaxIdle) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  ConnectionPool &Pool = Pools_[Connection->address()];
  if (Connection->generation() == Pool.Generation_ &&
      Pool.Idle_.size() < MaxIdle && !Connection->isUsedUp() &&
      Connection->is_socket_open() != 0)
    Pool.Idle_.push_back(std::move(Connection));
}

void BackendClient::closeIdleConnections(const Endpoint &Address) {
  std::vector<std::unique_ptr<BackendConnection>> Closed;
  const std::lock_guard<std::mutex> Lock(Mutex_);
  ConnectionPool &Pool = Pools_[Address];
  ++Pool.Generation_;
  Closed.swap(Pool.Idle_);
}

std::size_t BackendClient::idleConnections() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  std::size_t Count = 0;
  for (const std::pair<const Endpoint, ConnectionPool> &Entry : Pools_)
    Count += Entry.second.Idle_.size();
  return Count;
}

} // namespace kumquatpitch
