// Client connections, their calls and the pool of idle ones. See
// http-client.h.

#include "kumquatpitch/http-client.h"

#include <algorithm>
#include <array>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <netinet/tcp.h>

namespace kumquatpitch {

namespace {

constexpr std::size_t ReadBytes = 8'192;
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

class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection>,
      public HttpClient::Call {
public:
  HttpClientConnection(HttpClient &Client, Endpoint Server)
      : Client_(Client), ServerEndpoint_(std::move(Server)),
        Socket_(Client.Context_), Timer_(Client.Context_),
        ConnectTimer_(Client.Context_) {}

  const Endpoint &serverEndpoint() const { return ServerEndpoint_; }

  void start(const CallOptions &Options, OutgoingRequest Request,
             HttpClient::Callback OnEnd) {
    Options_ = Options;
    Request_ = std::move(Request);
    OnEnd_ = std::move(OnEnd);
    Parser_ = std::make_unique<MessageParser>(MessageParser::Kind::Response,
                                              MaxResponseHeadBytes,
                                              Options.MaxAnswerBytes_);
    IsSent_ = false;
    HasResponseBytes_ = false;
    IsWritten_ = false;
    HasWriteFailed_ = false;
    IsReused_ = IsOpen_;
    InterimResponses_ = 0;
    OtherResponses_ = 0;
    CarriedIds_.add(Options.Echo_.Id_);
    const std::shared_ptr<HttpClientConnection> Self = shared_from_this();
    Timer_.expires_after(Options.Timeout_);
    Timer_.async_wait([Self](const asio::error_code &Error) {
      if (!Error)
        Self->fail(Self->IsSent_ ? CallEnd::TimedOut : CallEnd::NotConnected,
                   "no complete response before the timeout");
    });
    if (IsOpen_)
      send();
    else
      connect();
  }

  void cancel() override {
    OnEnd_ = nullptr;
    close();
  }

  /// True if the connection has not been idle for too long.
  bool isUsable(Duration MaxIdle) const {
    const std::chrono::steady_clock::duration Idle =
        std::chrono::steady_clock::now() - IdleSince_;
    return IsOpen_ && Idle < std::min(MaxIdle, ReuseTime_);
  }

  /// True if the connection has not carried a request with this id.
  bool mayCarry(const std::string &RequestId) const {
    return CarriedIds_.mayCarry(RequestId);
  }

  void close() {
    IsOpen_ = false;
    countBuffered(0);
    asio::error_code Ignored;
    Socket_.close(Ignored);
    Timer_.cancel();
    ConnectTimer_.cancel();
  }

private:
  void connect() {
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

  void onConnected() {
    IsOpen_ = true;
    asio::error_code Ignored;
    Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
    const int Timeout = UserTimeoutMs;
    setsockopt(Socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &Timeout,
               sizeof Timeout);
    read();
    send();
  }

  void send() {
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

  void read() {
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

  void handleRead(const asio::error_code &Error, std::size_t Size) {
    if (!OnEnd_) {
      // No response is expected on an idle connection: either the server
      // closed it, or it sent stray bytes.
      close();
      Client_.removeIdle(this);
      return;
    }
    if (Error) {
      // The system reports a reset once: if the write got it, the read sees a
      // plain end of the stream.
      const bool IsReset = HasWriteFailed_ || Error != asio::error::eof;
      if (!IsReset)
        Parser_->finish();
      if (Parser_->state() == MessageParser::State::Complete && !IsReset &&
          completeOrSkip(std::string_view()))
        return;
      const std::string Found = OtherResponses_ > 0
                                    ? "only responses to other requests: "
                                : HasResponseBytes_ ? "response truncated: "
                                                    : "no response: ";
      return fail(CallEnd::Broken, Found + Error.message());
    }
    HasResponseBytes_ = true;
    std::string_view Bytes(Buffer_.data(), Size);
    while (!Bytes.empty()) {
      Bytes.remove_prefix(Parser_->feed(Bytes));
      if (Parser_->state() == MessageParser::State::Rejected)
        return fail(CallEnd::Broken, "response is not valid HTTP or too large");
      countBuffered(Parser_->message().Body_.size());
      if (Client_.BufferedBytes_ > Client_.MaxBufferedBytes_)
        return fail(CallEnd::Broken,
                    "no memory left for responses in progress");
      if (Parser_->state() == MessageParser::State::Complete &&
          completeOrSkip(Bytes))
        return;
    }
    read();
  }

  /// Ends the call with the parsed message, or skips one that is not the
  /// response to the request. True if the call has ended.
  bool completeOrSkip(std::string_view Rest) {
    switch (matchResponse(Parser_->message(), Options_.Echo_, IsReused_)) {
    case ResponseMatch::Own:
      complete(Rest);
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
    Parser_->take();
    return false;
  }

  void countBuffered(std::uint64_t Bytes) {
    Client_.BufferedBytes_ += Bytes - CountedBytes_;
    CountedBytes_ = Bytes;
  }

  void complete(std::string_view Rest) {
    CallResult Result;
    Result.End_ = CallEnd::Answered;
    Result.SkippedResponses_ = OtherResponses_;
    Result.Answer_ = Parser_->take();
    countBuffered(0);
    Timer_.cancel();
    ReuseTime_ = reuseTime(Result.Answer_);
    IdleSince_ = std::chrono::steady_clock::now();
    // If the response came before the whole request was written, the connection
    // is still in the middle of the request.
    const bool IsReusable = IsOpen_ && IsWritten_ && Rest.empty() &&
                            Result.Answer_.KeepAlive_ && !CarriedIds_.isFull();
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

  void fail(CallEnd End, const std::string &Detail) {
    if (!OnEnd_)
      return;
    CallResult Result;
    Result.End_ = End;
    Result.Detail_ = Detail;
    Result.SkippedResponses_ = OtherResponses_;
    const HttpClient::Callback OnEnd = std::move(OnEnd_);
    OnEnd_ = nullptr;
    close();
    OnEnd(std::move(Result));
  }

  HttpClient &Client_;
  const Endpoint ServerEndpoint_;
  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  asio::steady_timer ConnectTimer_;
  CallOptions Options_;
  OutgoingRequest Request_;    ///< Empty once it is being sent.
  HttpClient::Callback OnEnd_; ///< Null while idle.
  std::unique_ptr<MessageParser> Parser_;
  std::array<char, ReadBytes> Buffer_;
  std::chrono::steady_clock::time_point IdleSince_;
  Duration ReuseTime_{}; ///< Idle time after which it is not reused.
  bool IsOpen_ = false;
  bool IsSent_ = false;    ///< Some of the request may have been sent.
  bool IsWritten_ = false; ///< The whole request has been written.
  bool HasWriteFailed_ = false;
  bool IsReading_ = false;
  bool HasResponseBytes_ = false;
  bool IsReused_ = false;    ///< It has carried another call before.
  int InterimResponses_ = 0; ///< Of the call in progress.
  int OtherResponses_ = 0;   ///< Responses to other requests, likewise.
  CarriedRequestIds CarriedIds_;
  std::uint64_t CountedBytes_ = 0; ///< Its part of Client_.BufferedBytes_.
};

HttpClient::HttpClient(asio::io_context &Context) : Context_(Context) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClientConnection>
HttpClient::acquireIdle(const CallOptions &Options) {
  const std::map<
      Endpoint, std::list<std::shared_ptr<HttpClientConnection>>>::iterator It =
      Idle_.find(Options.Endpoint_);
  if (It == Idle_.end())
    return nullptr;
  std::list<std::shared_ptr<HttpClientConnection>> &Connections = It->second;
  if (!Connections.empty() && !Connections.back()->isUsable(Options.MaxIdle_)) {
    // The most recently used connection has been idle for too long, so all
    // others have too.
    for (const std::shared_ptr<HttpClientConnection> &Expired : Connections)
      Expired->close();
    Connections.clear();
  }
  std::shared_ptr<HttpClientConnection> Connection;
  const std::list<std::shared_ptr<HttpClientConnection>>::reverse_iterator
      Chosen =
          std::find_if(Connections.rbegin(), Connections.rend(),
                       [&](const std::shared_ptr<HttpClientConnection> &Idle) {
                         return Idle->isUsable(Options.MaxIdle_) &&
                                Idle->mayCarry(Options.Echo_.Id_);
                       });
  if (Chosen != Connections.rend()) {
    Connection = *Chosen;
    Connections.erase(std::next(Chosen).base());
  } else if (!Connections.empty()) {
    // The new connection takes the place of the oldest one. Otherwise a caller
    // that uses one id for all of its requests would add one with each.
    Connections.front()->close();
    Connections.pop_front();
  }
  if (It->second.empty())
    Idle_.erase(It);
  return Connection;
}

std::shared_ptr<HttpClient::Call> HttpClient::call(const CallOptions &Options,
                                                   OutgoingRequest Request,
                                                   Callback OnEnd) {
  std::shared_ptr<HttpClientConnection> Connection = acquireIdle(Options);
  if (!Connection)
    Connection =
        std::make_shared<HttpClientConnection>(*this, Options.Endpoint_);
  Connection->start(Options, std::move(Request), std::move(OnEnd));
  return Connection;
}

void HttpClient::addIdle(
    const std::shared_ptr<HttpClientConnection> &Connection) {
  Idle_[Connection->serverEndpoint()].push_back(Connection);
}

void HttpClient::removeIdle(const HttpClientConnection *Connection) {
  const std::map<
      Endpoint, std::list<std::shared_ptr<HttpClientConnection>>>::iterator It =
      Idle_.find(Connection->serverEndpoint());
  if (It == Idle_.end())
    return;
  It->second.remove_if(
      [Connection](const std::shared_ptr<HttpClientConnection> &Entry) {
        return Entry.get() == Connection;
      });
  if (It->second.empty())
    Idle_.erase(It);
}

void HttpClient::closeIdle(const Endpoint &Server) {
  const std::map<
      Endpoint, std::list<std::shared_ptr<HttpClientConnection>>>::iterator It =
      Idle_.find(Server);
  if (It == Idle_.end())
    return;
  for (const std::shared_ptr<HttpClientConnection> &Connection : It->second)
    Connection->close();
  Idle_.erase(It);
}

std::size_t HttpClient::idleConnections() const {
  std::size_t Count = 0;
  for (const std::pair<const Endpoint,
                       std::list<std::shared_ptr<HttpClientConnection>>>
           &Entry : Idle_)
    Count += Entry.second.size();
  return Count;
}

} // namespace kumquatpitch
