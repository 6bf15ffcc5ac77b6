// Accepts callers' connections and runs one session for each. See
// http-server.h.

#include "kumquatpitch/http-server.h"

#include "kumquatpitch/connection-phase.h"
#include "kumquatpitch/socket-state.h"

#include <array>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <exception>
#include <netinet/tcp.h>

namespace kumquatpitch {

namespace {

/// Pipelined requests of one connection that are handled at the same time;
/// further ones wait unparsed or in the socket.
constexpr std::size_t MaxPipelined = 16;
constexpr std::size_t ReadBytes = 8'192;
constexpr std::size_t MaxSharedWriteBytes = 65'536;
/// How long input is still read after the last response. Closing with unread
/// input would send a reset, which can discard the response.
constexpr Duration LingerTime = std::chrono::milliseconds(500);
/// Delay before the next accept after one failed.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

/// One connection. Invariant: responses are sent in the order of Waiting_.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
  HttpSession(HttpServer &Server, asio::ip::tcp::socket Socket)
      : Server_(Server), Socket_(std::move(Socket)), Timer_(Server.Context_),
        WriteTimer_(Server.Context_), Limits_(Server.Limits_),
        Parser_(MessageParser::Kind::Request, Limits_.MaxHeadBytes_,
                Limits_.MaxBodyBytes_) {}

  void start() {
    asio::error_code Ignored;
    Socket_.set_option(asio::ip::tcp::no_delay(true), Ignored);
    Socket_.set_option(asio::socket_base::keep_alive(true), Ignored);
    read();
    updateTimer();
  }

  void close() {
    if (IsClosed_)
      return;
    IsClosed_ = true;
    asio::error_code Ignored;
    // Only the end of the connection tells the end of this response. An orderly
    // one in the middle would pass for it; without lingering it is a reset.
    if (EndsWithConnection_ && (IsWriting_ || !Outgoing_.empty()))
      Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
    Socket_.close(Ignored);
    Timer_.cancel();
    WriteTimer_.cancel();
    Server_.Bodies_.resize(HeldBytes_, 0);
    Server_.ResponseBytes_ -= ResponseBytes_;
    ResponseBytes_ = 0;
    std::deque<std::shared_ptr<Exchange>> Abandoned;
    Abandoned.swap(Waiting_);
    for (const std::shared_ptr<Exchange> &Unanswered : Abandoned)
      Unanswered->callerDisconnected();
    Server_.Sessions_.erase(shared_from_this());
  }

  /// Requests whose responses the caller may not have received yet. Those that
  /// are being written count as one.
  std::size_t requestsInProgress() const {
    return Waiting_.size() + (IsWriting_ || Phase_.isLastQueued() ? 1 : 0);
  }

  /// Bytes of responses that the caller has not read.
  std::uint64_t responseBytes() const { return ResponseBytes_; }

  /// Closes the connection, not in the middle of its own work.
  void closeForMemory() {
    const std::uint64_t UnreadBytes = ResponseBytes_;
    Server_.ResponseBytes_ -= UnreadBytes;
    ResponseBytes_ = 0;
    IsEvicted_ = true;
    asio::post(Server_.Context_, [Self = shared_from_this(), UnreadBytes] {
      if (Self->IsClosed_)
        return;
      Self->Server_.Handler_.closingSlowCaller(
          SlowCaller{Self->callerAddress(), UnreadBytes, Self->unread()});
      Self->close();
    });
  }

private:
  std::string callerAddress() const {
    asio::error_code Error;
    const asio::ip::tcp::endpoint Caller = Socket_.remote_endpoint(Error);
    return Error ? "unknown"
                 : Caller.address().to_string() + ":" +
                       std::to_string(Caller.port());
  }

  /// The requests whose responses wait for their turn or for the caller to
  /// read. Requests without a response are reported by their exchanges.
  RequestIdList unread() const {
    RequestIdList Unread = Writing_.Ids_;
    for (const QueuedWrite &Queued : Outgoing_)
      Unread.add(Queued.Ids_);
    for (const std::shared_ptr<Exchange> &Accepted : Waiting_)
      if (Accepted->response())
        Unread.add(Server_.Handler_.requestId(Accepted->request()));
    return Unread;
  }

  /// Responses that are written at once, and the requests that they answer.
  struct QueuedWrite {
    std::string Text_;
    RequestIdList Ids_;
  };

  class Exchange : public HttpExchange {
  public:
    Exchange(std::weak_ptr<HttpSession> Session, HttpMessage Request)
        : Session_(std::move(Session)), Request_(std::move(Request)) {}

    const HttpMessage &request() const override { return Request_; }

    void answer(HttpMessage Response) override {
      if (Response_ || IsDisconnected_)
        return;
      Response_ = std::move(Response);
      OnCallerGone_ = nullptr;
      if (const std::shared_ptr<HttpSession> Session = Session_.lock()) {
        Session->countResponses();
        Session->advance();
      }
    }

    void onCallerGone(std::function<void()> Callback) override {
      OnCallerGone_ = std::move(Callback);
    }

    void callerDisconnected() {
      IsDisconnected_ = true;
      const std::function<void()> Callback = std::move(OnCallerGone_);
      OnCallerGone_ = nullptr;
      if (Callback)
        Callback();
    }

    const std::optional<HttpMessage> &response() const { return Response_; }

    void replaceResponse(HttpMessage Other) { Response_ = std::move(Other); }

  private:
    std::weak_ptr<HttpSession> Session_;
    HttpMessage Request_;
    std::optional<HttpMessage> Response_;
    std::function<void()> OnCallerGone_;
    bool IsDisconnected_ = false;
  };

  void read() {
    if (IsReading_ || IsClosed_)
      return;
    IsReading_ = true;
    const std::shared_ptr<HttpSession> Self = shared_from_this();
    Socket_.async_read_some(
        asio::buffer(Buffer_),
        [Self](const asio::error_code &Error, std::size_t Size) {
          Self->IsReading_ = false;
          if (Self->IsClosed_)
            return;
          // End of input counts as a disconnect: an HTTP/1.1 caller that still
          // waits for a response does not close its sending side.
          if (Error)
            return Self->close();
          Self->handleInput(std::string_view(Self->Buffer_.data(), Size));
        });
  }

  void handleInput(std::string_view Bytes) {
    if (Phase_.acceptsRequests())
      Unparsed_.append(Bytes);
    advance();
  }

  /// Accepts the requests that have been received, and writes the responses
  /// that are ready.
  void advance() {
    // A handler that answers at once calls this function again.
    if (IsAdvancing_ || IsClosed_)
      return;
    IsAdvancing_ = true;
    do {
      acceptRequests();
      queueReadyResponses();
    } while (mayAcceptRequest());
    IsAdvancing_ = false;
    if (Parser_.awaitsContinue() && Phase_.acceptsRequests() &&
        Waiting_.empty() && !SentContinue_)
      sendContinue();
    write();
    updateTimer();
    // Keep reading while responses are pending, to detect that the caller
    // disconnects. Stop while the pipeline is full.
    if (Unparsed_.empty())
      read();
  }

  bool mayAcceptRequest() const {
    return Phase_.acceptsRequests() && !Unparsed_.empty() &&
           Waiting_.size() < MaxPipelined;
  }

  /// Parses the input and passes complete requests to the handler, as far as
  /// the pipeline has room.
  void acceptRequests() {
    std::size_t Consumed = 0;
    while (Consumed < Unparsed_.size() && Phase_.acceptsRequests() &&
           Waiting_.size() < MaxPipelined) {
      Consumed += Parser_.feed(std::string_view(Unparsed_).substr(Consumed));
      if (Parser_.state() == MessageParser::State::Rejected)
        rejectStream(Parser_.code());
      else if (!holdBodies())
        rejectStream(ResultCode::BuffersFull);
      else if (Parser_.state() == MessageParser::State::Complete)
        handleRequest();
      else
        break;
    }
    Unparsed_.erase(0, Consumed);
    if (!Phase_.acceptsRequests())
      Unparsed_.clear();
  }

  /// Counts the bodies of this connection's requests. False if there is no
  /// memory left for the one that is being received.
  bool holdBodies() {
    std::uint64_t Bytes = Parser_.bodyBytes();
    for (const std::shared_ptr<Exchange> &Accepted : Waiting_)
      Bytes += Accepted->request().Body_.size();
    return Server_.Bodies_.resize(HeldBytes_, Bytes);
  }

  /// Counts the responses that wait for their turn or for the caller to read.
  void countResponses() {
    if (IsEvicted_ || IsClosed_)
      return;
    std::uint64_t Bytes = Writing_.Text_.size();
    for (const QueuedWrite &Queued : Outgoing_)
      Bytes += Queued.Text_.size();
    for (const std::shared_ptr<Exchange> &Accepted : Waiting_)
      if (Accepted->response())
        Bytes += Accepted->response()->Body_.size();
    Server_.ResponseBytes_ += Bytes - ResponseBytes_;
    ResponseBytes_ = Bytes;
    Server_.boundResponses();
  }

  void handleRequest() {
    HttpMessage Request = Parser_.take();
    SentContinue_ = false;
    if (!Request.KeepAlive_)
      Phase_.acceptNoMore();
    const bool HasOneHost = Request.headerCount("Host") == 1;
    const std::shared_ptr<Exchange> NewExchange =
        std::make_shared<Exchange>(weak_from_this(), std::move(Request));
    Waiting_.push_back(NewExchange);
    if (!HasOneHost)
      return NewExchange->answer(
          reject(ResultCode::RequestMalformed, NewExchange->request()));
    try {
      Server_.Handler_.handle(NewExchange);
    } catch (const std::exception &) {
      // Without a response, the requests behind this one would wait for ever.
      NewExchange->answer(
          reject(ResultCode::InternalError, NewExchange->request()));
      // The event loop reports the exception.
      asio::post(Server_.Context_, [Cause = std::current_exception()] {
        std::rethrow_exception(Cause);
      });
    }
  }

  void rejectStream(ResultCode Code) {
    Phase_.acceptNoMore();
    HttpMessage Request = Parser_.take();
    Request.Body_ = std::string();
    // The last header of a head that is not complete may be cut.
    if (Request.Method_.empty() && !Request.Headers_.empty())
      Request.Headers_.pop_back();
    const std::shared_ptr<Exchange> Last =
        std::make_shared<Exchange>(weak_from_this(), std::move(Request));
    Waiting_.push_back(Last);
    Last->answer(reject(Code, Last->request()));
  }

  HttpMessage reject(ResultCode Code, const HttpMessage &Request) {
    return Server_.Handler_.rejectRequest(Code, Request);
  }

  void sendContinue() {
    SentContinue_ = true;
    queue("HTTP/1.1 100 Continue\r\n\r\n", std::nullopt);
  }

  /// Short responses share a write. A long one is not copied to those before
  /// it, which would hold all of them twice.
  void queue(std::string Text, const std::optional<std::string> &RequestId) {
    if (!Outgoing_.empty() &&
        Outgoing_.back().Text_.size() + Text.size() <= MaxSharedWriteBytes)
      Outgoing_.back().Text_.append(Text);
    else
      Outgoing_.push_back(QueuedWrite{std::move(Text), RequestIdList()});
    if (RequestId)
      Outgoing_.back().Ids_.add(*RequestId);
  }

  /// Queues the responses at the head of the pipeline that are ready.
  void queueReadyResponses() {
    while (!Waiting_.empty() && Waiting_.front()->response()) {
      const std::shared_ptr<Exchange> First = Waiting_.front();
      Waiting_.pop_front();
      if (First->response()->EndsWithConnection_)
        endAfter(*First);
      const bool IsLast = Phase_.responseQueued(
          !Waiting_.empty() || !Unparsed_.empty(), Server_.IsDraining_);
      const bool OmitBody = First->request().Method_ == "HEAD";
      std::string Text = writeResponse(*First->response(), IsLast, OmitBody);
      queue(std::move(Text), Server_.Handler_.requestId(First->request()));
    }
    holdBodies(); // Never more than before.
  }

  /// Makes a response without a length the last one. Accepted requests that
  /// wait behind it have been passed on and are owed their answers: then the
  /// connection cannot end here, and the response fails.
  void endAfter(Exchange &Ended) {
    if (!Waiting_.empty())
      return Ended.replaceResponse(
          reject(ResultCode::BackendBroken, Ended.request()));
    EndsWithConnection_ = true;
    Phase_.acceptNoMore();
    Unparsed_.clear();
  }

  void write() {
    if (IsWriting_ || Outgoing_.empty() || IsClosed_)
      return;
    IsWriting_ = true;
    Writing_ = std::move(Outgoing_.front());
    Outgoing_.pop_front();
    const std::shared_ptr<HttpSession> Self = shared_from_this();
    startWriteTimer();
    const auto Progress =
        [Self, Before = WrittenBytes_](const asio::error_code &Error,
                                       std::size_t Bytes) {
          Self->WrittenBytes_ = Before + Bytes;
          return Error ? 0 : MaxSharedWriteBytes;
        };
    asio::async_write(Socket_, asio::buffer(Writing_.Text_), Progress,
                      [Self](const asio::error_code &Error, std::size_t) {
                        Self->writeCompleted(Error);
                      });
  }

  /// Bytes of all responses that the caller's system has taken.
  std::uint64_t takenBytes() {
    const std::uint64_t Unread = unacknowledgedBytes(Socket_.native_handle());
    return WrittenBytes_ - std::min(WrittenBytes_, Unread);
  }

  /// Closes the connection if its caller takes nothing in the whole timeout.
  void startWriteTimer() {
    const std::shared_ptr<HttpSession> Self = shared_from_this();
    WriteTimer_.expires_after(Server_.WriteTimeout_);
    WriteTimer_.async_wait(
        [Self, Before = takenBytes()](const asio::error_code &Error) {
          if (Error || !Self->IsWriting_)
            return;
          if (Self->takenBytes() <= Before)
            return Self->close();
          Self->startWriteTimer();
        });
  }

  void writeCompleted(const asio::error_code &Error) {
    IsWriting_ = false;
    WriteTimer_.cancel();
    Writing_ = QueuedWrite(); // An idle connection holds no buffer.
    if (IsClosed_)
      return;
    countResponses();
    if (Error)
      return close();
    if (!Outgoing_.empty())
      return write();
    if (Phase_.isLastQueued())
      return shutdownAndLinger();
    updateTimer();
  }

  /// Shuts down the sending side and reads until the caller closes, or until
  /// LingerTime has passed.
  void shutdownAndLinger() {
    asio::error_code Ignored;
    Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    startTimer(LingerTime);
    read();
  }

  void updateTimer() {
    if (Phase_.isLastQueued() || IsClosed_)
      return;
    const bool AwaitsRest = Waiting_.empty() && Parser_.hasBegun();
    // A request that has begun has one timeout, which further bytes do not
    // extend.
    if (AwaitsRest && IsRestTimed_)
      return;
    IsRestTimed_ = AwaitsRest;
    // The timeouts are those of the server's current limits, not Limits_.
    if (AwaitsRest)
      startTimer(Server_.Limits_.HeadTimeout_);
    else if (Waiting_.empty() && !IsWriting_)
      startTimer(Server_.Limits_.IdleTimeout_);
    else
      Timer_.cancel();
  }

  void startTimer(Duration Timeout) {
    const std::shared_ptr<HttpSession> Self = shared_from_this();
    Timer_.expires_after(Timeout);
    Timer_.async_wait([Self](const asio::error_code &Error) {
      // A wait that had ended before the timer was set again is not cancelled.
      const bool IsCurrent =
          Self->Timer_.expiry() <= std::chrono::steady_clock::now();
      if (!Error && IsCurrent && !Self->IsClosed_)
        Self->timerExpired();
    });
  }

  void timerExpired() {
    // The timer may have expired just before a request was read;
    // cancelling it then has no effect.
    if (!Waiting_.empty())
      return;
    if (Phase_.acceptsRequests() && Parser_.hasBegun())
      return rejectStream(ResultCode::RequestIncomplete);
    if (!IsWriting_)
      close();
  }

  HttpServer &Server_;
  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  asio::steady_timer WriteTimer_;
  std::uint64_t WrittenBytes_ = 0; ///< Of all responses, to the system.
  const CallerLimits Limits_;
  MessageParser Parser_;
  std::array<char, ReadBytes> Buffer_;
  std::string Unparsed_;             ///< Received but not parsed yet.
  std::deque<QueuedWrite> Outgoing_; ///< Not yet being written.
  QueuedWrite Writing_;              ///< Used by the write in progress.
  std::deque<std::shared_ptr<Exchange>> Waiting_; ///< At most MaxPipelined + 1.
  std::uint64_t HeldBytes_ = 0;     ///< Its part of Server_.Bodies_.
  std::uint64_t ResponseBytes_ = 0; ///< Its part of Server_.ResponseBytes_.
  bool IsReading_ = false;
  bool IsWriting_ = false;
  bool IsAdvancing_ = false;
  bool IsClosed_ = false;
  bool IsEvicted_ = false; ///< About to be closed for its memory.
  ConnectionPhase Phase_;
  bool EndsWithConnection_ = false; ///< The last response has no length.
  bool SentContinue_ = false;
  bool IsRestTimed_ = false; ///< Timer_ runs for the rest of a request.
};

HttpServer::HttpServer(asio::io_context &Context, HttpHandler &Handler)
    : Context_(Context), Handler_(Handler), Acceptor_(Context),
      RetryTimer_(Context) {}

HttpServer::~HttpServer() {
  asio::error_code Ignored;
  Acceptor_.close(Ignored);
  const std::set<std::shared_ptr<HttpSession>> Open = Sessions_;
  for (const std::shared_ptr<HttpSession> &Session : Open)
    Session->close();
}

Result<void> HttpServer::listen(const Endpoint &ListenEndpoint,
                                std::size_t MaxConnections) {
  MaxConnections_ = MaxConnections;
  asio::error_code Error;
  const asio::ip::tcp::endpoint Address(
      asio::ip::make_address(ListenEndpoint.Address_, Error),
      ListenEndpoint.Port_);
  if (!Error)
    Acceptor_.open(Address.protocol(), Error);
  if (!Error)
    Acceptor_.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor_.bind(Address, Error);
  if (!Error)
    Acceptor_.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return fail(ResultCode::SettingsInvalid,
                "cannot listen on " + ListenEndpoint.Address_ + ":" +
                    std::to_string(ListenEndpoint.Port_) + ": " +
                    Error.message());
  accept();
  return {};
}

void HttpServer::accept() {
  Acceptor_.async_accept(
      [this](const asio::error_code &Error, asio::ip::tcp::socket Socket) {
        if (!Acceptor_.is_open())
          return;
        if (Error) {
          // For example, out of file descriptors. Callers wait in the listen
          // backlog until the retry.
          RetryTimer_.expires_after(AcceptRetryDelay);
          RetryTimer_.async_wait([this](const asio::error_code &Cancelled) {
            if (!Cancelled && Acceptor_.is_open())
              accept();
          });
          return;
        }
        if (Sessions_.size() < MaxConnections_) {
          const std::shared_ptr<HttpSession> Session =
              std::make_shared<HttpSession>(*this, std::move(Socket));
          Sessions_.insert(Session);
          Session->start();
        }
        accept();
      });
}

/// Callers that do not read must not take the memory of those that do.
void HttpServer::boundResponses() {
  if (ResponseBytes_ <= MaxResponseBytes_)
    return;
  const std::shared_ptr<HttpSession> Slowest =
      *std::max_element(Sessions_.begin(), Sessions_.end(),
                        [](const std::shared_ptr<HttpSession> &Left,
                           const std::shared_ptr<HttpSession> &Right) {
                          return Left->responseBytes() < Right->responseBytes();
                        });
  Slowest->closeForMemory();
}

std::size_t HttpServer::requestsInProgress() const {
  std::size_t Count = 0;
  for (const std::shared_ptr<HttpSession> &Session : Sessions_)
    Count += Session->requestsInProgress();
  return Count;
}

} // namespace kumquatpitch
