// One caller's connection. See caller-session.h.

#include "kumquatpitch/caller-session.h"

#include <asio/bind_executor.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace kumquatpitch::detail {

/// How long input is discarded between the last answer and the close.
static constexpr std::chrono::milliseconds LingerTime{1'000};

CallerSession::CallerSession(HttpFront &Front, CustomerName Customer,
                             asio::ip::tcp::socket Socket)
    : Front_(Front), Unread_(Front.Unread_), Customer_(std::move(Customer)),
      Socket_(std::move(Socket)),
      Strand_(asio::make_strand(Socket_.get_executor())), Timer_(Strand_) {
  ++Front_.Connections_;
}

CallerSession::~CallerSession() {
  setBusy(false);
  Unread_->remove(UnreadKey_);
  Front_.HeldBytes_ -= CountedBytes_;
  --Front_.Connections_;
}

void CallerSession::start() {
  asio::post(Strand_, [Self = shared_from_this()] {
    Self->armTimer(Self->Front_.Limits_.IdleTimeout_);
    Self->read();
  });
}

void CallerSession::read() {
  if (IsReading_ || IsClosed_)
    return;
  IsReading_ = true;
  Socket_.async_read_some(
      asio::buffer(Chunk_),
      asio::bind_executor(
          Strand_, [Self = shared_from_this()](const std::error_code &Error,
                                               std::size_t Count) {
            Self->IsReading_ = false;
            Self->onRead(Error, Count);
          }));
}

void CallerSession::onRead(const std::error_code &Error, std::size_t Count) {
  if (Error) {
    if (Presence_)
      Presence_->markDisconnected();
    close();
    return;
  }
  if (IsLingering_)
    return read();
  const bool WasIdle = Framer_.isIdle();
  Framer_.append(std::string_view(Chunk_.data(), Count));
  updateHeldBytes();
  if (IsBusy_)
    return; // A pipelined request waits; reading continues after the answer.
  if (WasIdle)
    armTimer(Front_.Limits_.RequestTimeout_);
  advance();
}

void CallerSession::setBusy(bool IsBusy) {
  if (IsBusy && !IsBusy_)
    ++Front_.BusyConnections_;
  else if (!IsBusy && IsBusy_)
    --Front_.BusyConnections_;
  IsBusy_ = IsBusy;
}

void CallerSession::updateHeldBytes() {
  const std::size_t Held = Framer_.heldBytes();
  Front_.HeldBytes_ += Held;
  Front_.HeldBytes_ -= CountedBytes_;
  CountedBytes_ = Held;
}

void CallerSession::advance() {
  if (Framer_.state() == FramingState::Body && !IsHeadParsed_)
    onHeadParsed();
  if (Framer_.state() == FramingState::Rejected)
    return refuse(Framer_.code(), Framer_.message());
  if (Framer_.state() == FramingState::Complete)
    return dispatch();
  if (Front_.HeldBytes_ > Front_.Limits_.MaxBufferBytes_)
    return refuse(ResultCode::WorkersBusy, "the host's buffers are full");
  read();
}

void CallerSession::onHeadParsed() {
  IsHeadParsed_ = true;
  Framer_.limitBody(Front_.Handler_.maxBodyBytes(Customer_, Framer_.method(),
                                                 Framer_.target()));
  if (Framer_.state() != FramingState::Body || !Framer_.expectsContinue())
    return;
  static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(Socket_, asio::buffer(Continue),
                    asio::bind_executor(
                        Strand_, [Self = shared_from_this()](
                                     const std::error_code &, std::size_t) {}));
}

void CallerSession::dispatch() {
  Timer_.cancel();
  const std::string Head = Framer_.head();
  std::string Body = Framer_.body();
  const bool HasUnsupportedBody = !Body.empty() && (Framer_.method() == "GET" ||
                                                    Framer_.method() == "HEAD");
  if (HasUnsupportedBody)
    return refuse(ResultCode::RequestMalformed,
                  "GET and HEAD requests must not have a body");
  if (Front_.BusyWorkers_.fetch_add(1) >= Front_.Limits_.MaxWorkers_) {
    --Front_.BusyWorkers_;
    return refuse(ResultCode::WorkersBusy, "all workers of the host are busy");
  }
  setBusy(true);
  Presence_ = std::make_shared<CallerPresence>();
  asio::post(Front_.Workers_, [Self = shared_from_this(), Head,
                               MayBeResend = Framer_.mayBeResend(),
                               Body = std::move(Body)]() mutable {
    handleFailure(
        [&]() -> Result<void> {
          BOOST_LEAF_AUTO(Request, parseRequest(Head, std::move(Body)));
          const std::optional<std::string> Connection =
              findHeader(Request.Headers_, "Connection");
          const bool KeepOpen =
              Head.find(" HTTP/1.0\r\n") == std::string::npos &&
              Connection.value_or("") != "close";
          Self->handle(Request, KeepOpen);
          return {};
        },
        [&](const Failure &Cause) {
          const HttpResponse Answer = makeErrorResponse(
              Cause.Code_, outcomeOf(Cause, MayBeResend), Cause.Message_);
          asio::post(Self->Strand_,
                     [Self, Bytes = serializeResponse(Answer, false, false)] {
                       Self->write(Bytes, false);
                     });
        });
    --Self->Front_.BusyWorkers_;
  });
  read(); // Detects that the caller disconnects while the handler runs.
}

void CallerSession::handle(const HttpRequest &Request, bool KeepOpen) {
  const HttpResponse Answer =
      Front_.Handler_.handle(Customer_, Request, *Presence_);
  const bool StaysOpen = KeepOpen && !Front_.IsStopping_;
  std::string Bytes =
      serializeResponse(Answer, StaysOpen, Request.Method_ == "HEAD");
  asio::post(Strand_, [Self = shared_from_this(), StaysOpen,
                       Bytes = std::move(Bytes)]() mutable {
    Self->write(std::move(Bytes), StaysOpen);
  });
}

void CallerSession::refuse(ResultCode Code, const std::string &Message) {
  setBusy(true);
  const Outcome RequestOutcome =
      Framer_.mayBeResend() ? Outcome::Unknown : Outcome::NotRun;
  write(serializeResponse(makeErrorResponse(Code, RequestOutcome, Message),
                          false, false),
        false);
}

void CallerSession::write(std::string Bytes, bool KeepOpen) {
  Presence_ = nullptr;
  if (IsClosed_)
    return;
  Output_ = std::move(Bytes);
  countUnread();
  armTimer(Front_.Limits_.WriteTimeout_);
  asio::async_write(
      Socket_, asio::buffer(Output_),
      asio::bind_executor(Strand_,
                          [Self = shared_from_this(), KeepOpen](
                              const std::error_code &Error, std::size_t) {
                            Self->onWritten(Error, KeepOpen);
                          }));
}

void CallerSession::countUnread() {
  UnreadKey_ =
      Unread_->add(Output_.size(), [Strand = Strand_, Weak = weak_from_this()] {
        asio::post(Strand, [Weak] {
          if (const std::shared_ptr<CallerSession> Self = Weak.lock())
            Self->close();
        });
      });
}

void CallerSession::onWritten(const std::error_code &Error, bool KeepOpen) {
  Unread_->remove(UnreadKey_);
  if (Error)
    return close();
  Output_ = std::string(); // An idle connection holds no buffer.
  if (!KeepOpen)
    return lingerBeforeClose();
  setBusy(false);
  IsHeadParsed_ = false;
  Framer_.next();
  updateHeldBytes();
  armTimer(Framer_.isIdle() ? Front_.Limits_.IdleTimeout_
                            : Front_.Limits_.RequestTimeout_);
  advance();
}

void CallerSession::lingerBeforeClose() {
  // Closing a socket with unread input resets the connection, and the caller
  // could lose the answer. Therefore the remaining input is read and discarded
  // for a short time (lingering close).
  IsLingering_ = true;
  std::error_code Ignored;
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  armTimer(LingerTime);
  read();
}

void CallerSession::armTimer(std::chrono::milliseconds After) {
  Timer_.expires_after(After);
  Timer_.async_wait([Self = shared_from_this()](const std::error_code &Error) {
    if (!Error)
      Self->onTimeout();
  });
}

void CallerSession::onTimeout() {
  if (IsBusy_ || Framer_.isIdle())
    return close();
  refuse(ResultCode::RequestIncomplete,
         "the request was not complete within the time limit");
}

void CallerSession::close() {
  if (IsClosed_)
    return;
  IsClosed_ = true;
  setBusy(false);
  Timer_.cancel();
  std::error_code Ignored;
  Socket_.shutdown(asio::ip::tcp::socket::shutdown_both, Ignored);
  Socket_.close(Ignored);
}

} // namespace kumquatpitch::detail
