// Connections and calls. See http-client.h.

#include "kumquatpitch/http-client.h"

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
constexpr std::uint64_t MaxAnswerHeadBytes = 32'768;
/// A server closes an idle connection after the time that it states; it is not
/// used in the last part of it, since a request may cross the close.
constexpr Duration CloseMargin = std::chrono::milliseconds(1'500);
/// Assumed where a server states nothing.
constexpr Duration DefaultKeep = std::chrono::seconds(4);
/// Data that the other end does not acknowledge breaks the connection.
constexpr int UserTimeoutMs = 3'000;

Duration keepTime(const HttpMessage &Answer) {
  const std::string *Stated = Answer.header("Keep-Alive");
  const std::size_t At = Stated ? Stated->find("timeout=") : std::string::npos;
  if (At == std::string::npos)
    return DefaultKeep;
  constexpr std::size_t NameSize = 8;
  std::int64_t Seconds = 0;
  std::from_chars(Stated->data() + At + NameSize,
                  Stated->data() + Stated->size(), Seconds);
  return std::max(Duration::zero(),
                  Duration(std::chrono::seconds(Seconds)) - CloseMargin);
}

} // namespace

class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection>,
      public HttpClient::Call {
public:
  HttpClientConnection(HttpClient &Client, Endpoint At)
      : Client_(Client), At_(std::move(At)), Socket_(Client.Context_),
        Timer_(Client.Context_), ConnectTimer_(Client.Context_) {}

  const Endpoint &at() const { return At_; }

  void begin(const CallTerms &Terms, std::string Request,
             HttpClient::Callback OnEnd) {
    Terms_ = Terms;
    Request_ = std::move(Request);
    OnEnd_ = std::move(OnEnd);
    Parser_ = std::make_unique<MessageParser>(
        MessageParser::Kind::Answer, MaxAnswerHeadBytes, Terms.MaxAnswerBytes_);
    IsSent_ = false;
    HasAnswerBytes_ = false;
    IsWritten_ = false;
    const std::shared_ptr<HttpClientConnection> Self = shared_from_this();
    Timer_.expires_after(Terms.Timeout_);
    Timer_.async_wait([Self](const asio::error_code &Error) {
      if (!Error)
        Self->fail(Self->IsSent_ ? CallEnd::TimedOut : CallEnd::NotConnected,
                   "no answer in time");
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

  /// True when the connection may carry another request now.
  bool isUsable(Duration MaxIdle) const {
    const std::chrono::steady_clock::duration Idle =
        std::chrono::steady_clock::now() - IdleSince_;
    return IsOpen_ && Idle < std::min(MaxIdle, Keep_);
  }

  void close() {
    IsOpen_ = false;
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
        asio::ip::make_address(At_.Address_, Error), At_.Port_);
    if (Error) {
      asio::post(Client_.Context_, [Self] {
        Self->fail(CallEnd::NotConnected, "no IP address");
      });
      return;
    }
    ConnectTimer_.expires_after(Terms_.ConnectTimeout_);
    ConnectTimer_.async_wait([Self](const asio::error_code &Cancelled) {
      if (!Cancelled && !Self->IsOpen_)
        Self->fail(CallEnd::NotConnected, "no connection in time");
    });
    Socket_.async_connect(Address, [Self](const asio::error_code &Failed) {
      if (!Self->OnEnd_)
        return;
      Self->ConnectTimer_.cancel();
      if (Failed)
        return Self->fail(CallEnd::NotConnected, Failed.message());
      Self->opened();
    });
  }

  void opened() {
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
    asio::async_write(Socket_, asio::buffer(Request_),
                      [Self](const asio::error_code &Error, std::size_t) {
                        if (!Error) {
                          Self->IsWritten_ = true;
                          return;
                        }
                        // The server may have answered before it closed:
                        // reading finds out.
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
          Self->received(Error, Size);
        });
  }

  void received(const asio::error_code &Error, std::size_t Size) {
    if (!OnEnd_) {
      // Nothing is due on an idle connection: its end, or stray bytes.
      close();
      Client_.forget(this);
      return;
    }
    if (Error) {
      if (Error == asio::error::eof)
        Parser_->finish();
      if (Parser_->state() == MessageParser::State::Complete &&
          Error == asio::error::eof)
        return completed(std::string_view());
      return fail(CallEnd::Broken, HasAnswerBytes_
                                       ? "answer cut: " + Error.message()
                                       : "no answer: " + Error.message());
    }
    HasAnswerBytes_ = true;
    std::string_view Bytes(Buffer_.data(), Size);
    while (!Bytes.empty()) {
      Bytes.remove_prefix(Parser_->feed(Bytes));
      if (Parser_->state() == MessageParser::State::Rejected)
        return fail(CallEnd::Broken, "answer is not HTTP");
      if (Parser_->state() == MessageParser::State::Complete &&
          completedOrPassedOver(Bytes))
        return;
    }
    read();
  }

  /// True when the call has ended with the complete message.
  bool completedOrPassedOver(std::string_view Rest) {
    const HttpMessage &Answer = Parser_->message();
    constexpr int FirstFinalStatus = 200;
    const std::string *Echo = Terms_.EchoHeader_.empty()
                                  ? nullptr
                                  : Answer.header(Terms_.EchoHeader_);
    if (Answer.Status_ < FirstFinalStatus || (Echo && *Echo != Terms_.Echo_)) {
      Parser_->take();
      return false;
    }
    completed(Rest);
    return true;
  }

  void completed(std::string_view Rest) {
    CallResult Result;
    Result.End_ = CallEnd::Answered;
    Result.Answer_ = Parser_->take();
    Timer_.cancel();
    Keep_ = keepTime(Result.Answer_);
    IdleSince_ = std::chrono::steady_clock::now();
    // An answer before the whole request was taken leaves the connection in
    // the middle of the request.
    const bool IsReusable =
        IsOpen_ && IsWritten_ && Rest.empty() && Result.Answer_.KeepAlive_;
    const HttpClient::Callback OnEnd = std::move(OnEnd_);
    OnEnd_ = nullptr;
    if (IsReusable) {
      Client_.keep(shared_from_this());
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
    const HttpClient::Callback OnEnd = std::move(OnEnd_);
    OnEnd_ = nullptr;
    close();
    OnEnd(std::move(Result));
  }

  HttpClient &Client_;
  const Endpoint At_;
  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  asio::steady_timer ConnectTimer_;
  CallTerms Terms_;
  std::string Request_;
  HttpClient::Callback OnEnd_; ///< Null while idle.
  std::unique_ptr<MessageParser> Parser_;
  std::array<char, ReadBytes> Buffer_;
  std::chrono::steady_clock::time_point IdleSince_;
  Duration Keep_{};
  bool IsOpen_ = false;
  bool IsSent_ = false;    ///< Bytes of the request may have left.
  bool IsWritten_ = false; ///< All of them.
  bool IsReading_ = false;
  bool HasAnswerBytes_ = false;
};

HttpClient::HttpClient(asio::io_context &Context) : Context_(Context) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpClientConnection>
HttpClient::takeIdle(const CallTerms &Terms) {
  const std::map<
      Endpoint, std::list<std::shared_ptr<HttpClientConnection>>>::iterator It =
      Idle_.find(Terms.At_);
  if (It == Idle_.end())
    return nullptr;
  std::shared_ptr<HttpClientConnection> Found;
  if (!It->second.empty() && It->second.back()->isUsable(Terms.MaxIdle_)) {
    Found = It->second.back();
    It->second.pop_back();
  } else {
    // The one used last has idled too long, so have all others.
    for (const std::shared_ptr<HttpClientConnection> &Each : It->second)
      Each->close();
    It->second.clear();
  }
  if (It->second.empty())
    Idle_.erase(It);
  return Found;
}

std::shared_ptr<HttpClient::Call>
HttpClient::call(const CallTerms &Terms, std::string Request, Callback OnEnd) {
  std::shared_ptr<HttpClientConnection> Connection = takeIdle(Terms);
  if (!Connection)
    Connection = std::make_shared<HttpClientConnection>(*this, Terms.At_);
  Connection->begin(Terms, std::move(Request), std::move(OnEnd));
  return Connection;
}

void HttpClient::keep(const std::shared_ptr<HttpClientConnection> &Idle) {
  Idle_[Idle->at()].push_back(Idle);
}

void HttpClient::forget(const HttpClientConnection *Idle) {
  const std::map<
      Endpoint, std::list<std::shared_ptr<HttpClientConnection>>>::iterator It =
      Idle_.find(Idle->at());
  if (It == Idle_.end())
    return;
  It->second.remove_if(
      [Idle](const std::shared_ptr<HttpClientConnection> &Each) {
        return Each.get() == Idle;
      });
  if (It->second.empty())
    Idle_.erase(It);
}

void HttpClient::closeIdle(const Endpoint &At) {
  const std::map<
      Endpoint, std::list<std::shared_ptr<HttpClientConnection>>>::iterator It =
      Idle_.find(At);
  if (It == Idle_.end())
    return;
  for (const std::shared_ptr<HttpClientConnection> &Each : It->second)
    Each->close();
  Idle_.erase(It);
}

std::size_t HttpClient::idle() const {
  std::size_t Count = 0;
  for (const std::pair<const Endpoint,
                       std::list<std::shared_ptr<HttpClientConnection>>> &Each :
       Idle_)
    Count += Each.second.size();
  return Count;
}

} // namespace kumquatpitch
