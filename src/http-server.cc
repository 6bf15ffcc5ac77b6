// Sessions of callers. See http-server.h.

#include "kumquatpitch/http-server.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <deque>
#include <netinet/tcp.h>

namespace kumquatpitch {

namespace {

/// Pipelined requests of one connection that are worked on at the same time;
/// further ones stay in the socket.
constexpr std::size_t MaxPipelined = 16;
constexpr std::size_t ReadBytes = 8'192;
/// How long a connection that is closed after an error is still read, so that
/// the answer is not lost to a reset.
constexpr Duration LingerTime = std::chrono::milliseconds(500);
/// An answer that the caller does not read is given up after this time.
constexpr Duration AcceptPause = std::chrono::milliseconds(50);
constexpr Duration WriteTimeout = std::chrono::seconds(10);

} // namespace

/// One connection. Invariant: answers leave in the order of Waiting_.
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
    armTimer();
  }

  void close() {
    if (IsClosed_)
      return;
    IsClosed_ = true;
    asio::error_code Ignored;
    Socket_.close(Ignored);
    Timer_.cancel();
    WriteTimer_.cancel();
    std::deque<std::shared_ptr<Exchange>> Left;
    Left.swap(Waiting_);
    for (const std::shared_ptr<Exchange> &Each : Left)
      Each->callerLeft();
    Server_.Sessions_.erase(shared_from_this());
  }

  std::size_t waiting() const { return Waiting_.size(); }

private:
  class Exchange : public HttpExchange {
  public:
    Exchange(std::weak_ptr<HttpSession> Session, HttpMessage Request)
        : Session_(std::move(Session)), Request_(std::move(Request)) {}

    const HttpMessage &request() const override { return Request_; }

    void answer(HttpMessage Answer) override {
      if (Answer_ || IsGone_)
        return;
      Answer_ = std::move(Answer);
      OnGone_ = nullptr;
      if (const std::shared_ptr<HttpSession> Open = Session_.lock())
        Open->writeReady();
    }

    void onCallerGone(std::function<void()> Callback) override {
      OnGone_ = std::move(Callback);
    }

    void callerLeft() {
      IsGone_ = true;
      const std::function<void()> Callback = std::move(OnGone_);
      OnGone_ = nullptr;
      if (Callback)
        Callback();
    }

    const std::optional<HttpMessage> &ready() const { return Answer_; }

  private:
    std::weak_ptr<HttpSession> Session_;
    HttpMessage Request_;
    std::optional<HttpMessage> Answer_;
    std::function<void()> OnGone_;
    bool IsGone_ = false;
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
          // A caller that closes its side has left: no caller of HTTP/1.1
          // closes it and still waits.
          if (Error)
            return Self->close();
          Self->received(std::string_view(Self->Buffer_.data(), Size));
        });
  }

  void received(std::string_view Bytes) {
    if (IsRejected_)
      return read();
    if (!Pending_.empty())
      Pending_.append(Bytes);
    else
      Pending_.assign(Bytes);
    parse();
  }

  void parse() {
    // Answers given while a request is handed over come back here.
    if (IsParsing_)
      return;
    IsParsing_ = true;
    std::size_t Taken = 0;
    while (Taken < Pending_.size() && Waiting_.size() < MaxPipelined &&
           !IsRejected_ && !TakesNoMore_) {
      Taken += Parser_.feed(std::string_view(Pending_).substr(Taken));
      if (Parser_.state() == MessageParser::State::Rejected)
        rejectStream(Parser_.code());
      else if (Parser_.state() == MessageParser::State::Complete)
        take();
      else
        break;
    }
    Pending_.erase(0, Taken);
    IsParsing_ = false;
    if (Parser_.awaitsContinue() && Waiting_.empty() && !SaidContinue_)
      sayContinue();
    armTimer();
    // Reading goes on while answers are due, to see the caller leave; it stops
    // when no more requests are taken and bytes are left.
    if (Pending_.empty())
      read();
  }

  void take() {
    HttpMessage Request = Parser_.take();
    SaidContinue_ = false;
    if (!Request.KeepsConnection_)
      TakesNoMore_ = true;
    const bool IsProper = Request.headerCount("Host") == 1;
    const std::shared_ptr<Exchange> New =
        std::make_shared<Exchange>(weak_from_this(), std::move(Request));
    Waiting_.push_back(New);
    if (IsProper)
      Server_.Handler_.handle(New);
    else
      New->answer(Server_.Handler_.reject(ResultCode::RequestMalformed));
  }

  void rejectStream(ResultCode Code) {
    IsRejected_ = true;
    TakesNoMore_ = true;
    const std::shared_ptr<Exchange> Last =
        std::make_shared<Exchange>(weak_from_this(), HttpMessage());
    Waiting_.push_back(Last);
    Last->answer(Server_.Handler_.reject(Code));
  }

  void sayContinue() {
    SaidContinue_ = true;
    Outgoing_.append("HTTP/1.1 100 Continue\r\n\r\n");
    write();
  }

  /// Writes the answers that are next in order and ready.
  void writeReady() {
    while (!IsClosed_ && !Waiting_.empty() && Waiting_.front()->ready() &&
           !EndsAfterWrite_) {
      const std::shared_ptr<Exchange> First = Waiting_.front();
      Waiting_.pop_front();
      const bool Last = Waiting_.empty() &&
                        (TakesNoMore_ || Server_.IsDraining_ || IsRejected_);
      const bool OmitBody = First->request().Method_ == "HEAD";
      Outgoing_.append(writeAnswer(*First->ready(), Last, OmitBody));
      EndsAfterWrite_ = Last;
    }
    write();
    if (!IsClosed_ && !Pending_.empty())
      parse();
  }

  void write() {
    if (IsWriting_ || Outgoing_.empty() || IsClosed_)
      return;
    IsWriting_ = true;
    Written_.swap(Outgoing_);
    Outgoing_.clear();
    const std::shared_ptr<HttpSession> Self = shared_from_this();
    WriteTimer_.expires_after(WriteTimeout);
    WriteTimer_.async_wait([Self](const asio::error_code &Error) {
      if (!Error && Self->IsWriting_)
        Self->close();
    });
    asio::async_write(Socket_, asio::buffer(Written_),
                      [Self](const asio::error_code &Error, std::size_t) {
                        Self->wrote(Error);
                      });
  }

  void wrote(const asio::error_code &Error) {
    IsWriting_ = false;
    WriteTimer_.cancel();
    Written_.clear();
    if (IsClosed_)
      return;
    if (Error)
      return close();
    if (!Outgoing_.empty())
      return write();
    if (EndsAfterWrite_)
      return endPolitely();
    armTimer();
  }

  /// Closes the own side and reads until the caller closes too.
  void endPolitely() {
    asio::error_code Ignored;
    Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    Pending_.clear();
    IsRejected_ = true;
    arm(LingerTime);
    read();
  }

  void armTimer() {
    if (EndsAfterWrite_ || IsClosed_)
      return;
    if (Waiting_.empty())
      // Callers go by the limits that are in force now.
      arm(Parser_.hasBegun() ? Server_.Limits_.HeadTimeout_
                             : Server_.Limits_.IdleTimeout_);
    else
      Timer_.cancel();
  }

  void arm(Duration Span) {
    const std::shared_ptr<HttpSession> Self = shared_from_this();
    Timer_.expires_after(Span);
    Timer_.async_wait([Self](const asio::error_code &Error) {
      if (!Error && !Self->IsClosed_)
        Self->expired();
    });
  }

  void expired() {
    // The timer may have run out just before a request was read: cancelling it
    // then has no effect.
    if (!Waiting_.empty() && !EndsAfterWrite_)
      return;
    if (!EndsAfterWrite_ && Waiting_.empty() && Parser_.hasBegun() &&
        !IsRejected_)
      return rejectStream(ResultCode::RequestIncomplete);
    close();
  }

  HttpServer &Server_;
  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  asio::steady_timer WriteTimer_;
  const CallerLimits Limits_;
  MessageParser Parser_;
  std::array<char, ReadBytes> Buffer_;
  std::string Pending_; ///< Read and not parsed yet.
  std::string Outgoing_;
  std::string Written_;                           ///< Being written.
  std::deque<std::shared_ptr<Exchange>> Waiting_; ///< At most MaxPipelined + 1.
  bool IsReading_ = false;
  bool IsWriting_ = false;
  bool IsParsing_ = false;
  bool IsClosed_ = false;
  bool IsRejected_ = false;  ///< Further bytes are read and dropped.
  bool TakesNoMore_ = false; ///< The caller asked to close, or was rejected.
  bool SaidContinue_ = false;
  bool EndsAfterWrite_ = false;
};

HttpServer::HttpServer(asio::io_context &Context, HttpHandler &Handler)
    : Context_(Context), Handler_(Handler), Acceptor_(Context),
      RetryTimer_(Context) {}

HttpServer::~HttpServer() {
  asio::error_code Ignored;
  Acceptor_.close(Ignored);
  const std::set<std::shared_ptr<HttpSession>> Open = Sessions_;
  for (const std::shared_ptr<HttpSession> &Each : Open)
    Each->close();
}

Result<void> HttpServer::listen(const Endpoint &At,
                                std::size_t MaxConnections) {
  MaxConnections_ = MaxConnections;
  asio::error_code Error;
  const asio::ip::tcp::endpoint Address(
      asio::ip::make_address(At.Address_, Error), At.Port_);
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
                "cannot listen on " + At.Address_ + ":" +
                    std::to_string(At.Port_) + ": " + Error.message());
  accept();
  return {};
}

void HttpServer::accept() {
  Acceptor_.async_accept(
      [this](const asio::error_code &Error, asio::ip::tcp::socket Socket) {
        if (!Acceptor_.is_open())
          return;
        if (Error) {
          // Out of descriptors, for example: the callers wait in the socket.
          RetryTimer_.expires_after(AcceptPause);
          RetryTimer_.async_wait([this](const asio::error_code &Cancelled) {
            if (!Cancelled && Acceptor_.is_open())
              accept();
          });
          return;
        }
        if (Sessions_.size() < MaxConnections_) {
          const std::shared_ptr<HttpSession> New =
              std::make_shared<HttpSession>(*this, std::move(Socket));
          Sessions_.insert(New);
          New->start();
        }
        accept();
      });
}

std::size_t HttpServer::requestsInProgress() const {
  std::size_t Count = 0;
  for (const std::shared_ptr<HttpSession> &Each : Sessions_)
    Count += Each->waiting();
  return Count;
}

} // namespace kumquatpitch
