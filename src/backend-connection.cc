// One connection to a backend server. See backend-connection.h.

#include "kumquatpitch/backend-connection.h"

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

Exchange BackendConnection::exchange(httplib::Request &Request,
                                     std::uint64_t MaxAnswerBytes,
                                     Duration Remaining,
                                     const std::function<bool()> &MayWrite) {
  Exchange Seen;
  MayWrite_ = &MayWrite;
  Current_ = &Seen;
  set_connection_timeout(Remaining);
  // The caller's stop() ends the exchange at its deadline. The library's own
  // limits come later, so that the cause of the end is known.
  set_read_timeout(Remaining + StopTolerance);
  set_write_timeout(Remaining + StopTolerance);
  Request.content_receiver = [&](const char *Bytes, size_t Count, uint64_t,
                                 uint64_t) {
    Seen.IsTooLarge_ = Seen.Response_.body.size() + Count > MaxAnswerBytes;
    if (!Seen.IsTooLarge_)
      Seen.Response_.body.append(Bytes, Count);
    return !Seen.IsTooLarge_;
  };
  Seen.IsConnected_ = is_socket_open() != 0;
  if (!MayWrite()) {
    Seen.IsForbidden_ = true;
    return Seen;
  }
  MayBeWriting_ = true;
  httplib::Error Error = httplib::Error::Success;
  const bool IsSent = send(Request, Seen.Response_, Error);
  Seen.Error_ = IsSent ? httplib::Error::Success : Error;
  if (!IsSent && Error == httplib::Error::Success)
    Seen.Error_ = httplib::Error::Unknown;
  MayBeWriting_ = false;
  MayWrite_ = nullptr;
  Current_ = nullptr;
  return Seen;
}

bool BackendConnection::create_and_connect_socket(Socket &Created,
                                                  httplib::Error &Error) {
  Current_->IsNew_ = true;
  Current_->IsConnected_ = false;
  MayBeWriting_ = false;
  if (!ClientImpl::create_and_connect_socket(Created, Error))
    return false;
  // Connecting takes time, so the question is asked once more: nothing has been
  // written on this connection yet.
  if (!(*MayWrite_)()) {
    Current_->IsForbidden_ = true;
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
