// One connection to a backend server. See backend-connection.h.

#include "kumquatpitch/backend-connection.h"

#include "kumquatpitch/backend-stream.h"

namespace kumquatpitch::detail {

static constexpr std::chrono::milliseconds StopTolerance{500};

BackendConnection::BackendConnection(const Endpoint &Address,
                                     std::uint64_t Generation)
    : ClientImpl(Address.Address_, Address.Port_), Address_(Address),
      Generation_(Generation) {
  set_keep_alive(true);
  set_tcp_nodelay(true);
  set_decompress(false);
  set_url_encode(false);
  set_follow_location(false);
}

ExchangeResult
BackendConnection::exchange(httplib::Request &Request, const RequestEcho &Echo,
                            std::uint64_t MaxAnswerBytes, Duration Remaining,
                            const std::function<bool()> &MayWrite) {
  ExchangeResult Result;
  MayWrite_ = &MayWrite;
  Current_ = &Result;
  set_connection_timeout(Remaining);
  // BackendClient's canceller calls stop() at the deadline. The stream's own
  // deadline is 500 ms later, so that it is not mistaken for the cause.
  StreamTimeout_ = Remaining + StopTolerance;
  IsBodyOmitted_ = Request.method == "HEAD";
  CarriedIds_.add(Echo.Id_);
  Scan_.begin(Echo.Header_, CarriedIds_);
  Request.content_receiver = [&](const char *Bytes, size_t Count, uint64_t,
                                 uint64_t) {
    Result.IsTooLarge_ = Result.Response_.body.size() + Count > MaxAnswerBytes;
    if (!Result.IsTooLarge_)
      Result.Response_.body.append(Bytes, Count);
    return !Result.IsTooLarge_;
  };
  Result.IsConnected_ = is_socket_open() != 0;
  if (!MayWrite()) {
    Result.IsWriteDenied_ = true;
    return Result;
  }
  MayBeWriting_ = true;
  httplib::Error Error = httplib::Error::Success;
  const bool IsSent = send(Request, Result.Response_, Error);
  Result.Error_ = IsSent ? httplib::Error::Success : Error;
  if (!IsSent && Error == httplib::Error::Success)
    Result.Error_ = httplib::Error::Unknown;
  MayBeWriting_ = false;
  MayWrite_ = nullptr;
  Current_ = nullptr;
  return Result;
}

bool BackendConnection::process_socket(
    const Socket &Opened,
    std::function<bool(httplib::Stream &)> HandleRequest) {
  BackendStream Stream(Opened.sock, StreamTimeout_, Scan_, IsBodyOmitted_);
  const bool IsAnswered = HandleRequest(Stream) && Stream.finishAnswer();
  if (IsAnswered) {
    Current_->IsWhole_ = Stream.decideAnswerIsWhole();
    Current_->HasBytesBehind_ = Stream.bytesBehindAnswer() > 0;
  }
  return IsAnswered;
}

bool BackendConnection::create_and_connect_socket(Socket &Created,
                                                  httplib::Error &Error) {
  Current_->IsNew_ = true;
  Current_->IsConnected_ = false;
  MayBeWriting_ = false;
  if (!ClientImpl::create_and_connect_socket(Created, Error))
    return false;
  // Check again, because connecting takes time and the answer may have changed.
  // Nothing has been written on this connection yet.
  if (!(*MayWrite_)()) {
    Current_->IsWriteDenied_ = true;
    Error = httplib::Error::Canceled;
    shutdown_socket(Created);
    close_socket(Created);
    return false;
  }
  Current_->IsConnected_ = true;
  MayBeWriting_ = true;
  return true;
}

} // namespace kumquatpitch::detail
