// One connection for documents. See document-connection.h.

#include "kumquatpitch/document-connection.h"

#include "kumquatpitch/backend-stream.h"

#include <algorithm>
#include <poll.h>

namespace kumquatpitch {

DocumentConnection::DocumentConnection(const Endpoint &Server)
    : ClientImpl(Server.Address_, Server.Port_) {
  set_tcp_nodelay(true);
  set_keep_alive(true);
}

DocumentAnswer DocumentConnection::get(const std::string &Path,
                                       const httplib::Headers &Headers,
                                       Duration Timeout, std::size_t MaxBytes) {
  DocumentAnswer Answer;
  std::string Body;
  httplib::Request Request;
  Request.method = "GET";
  Request.path = Path;
  Request.headers = Headers;
  Request.content_receiver = [&](const char *Bytes, std::size_t Count,
                                 std::uint64_t, std::uint64_t) {
    Answer.IsTooLarge_ = Body.size() + Count > MaxBytes;
    if (!Answer.IsTooLarge_)
      Body.append(Bytes, Count);
    return !Answer.IsTooLarge_;
  };
  closeIfUsedUp();
  set_connection_timeout(Timeout);
  Deadline_ = Clock::now() + Timeout;
  httplib::Error Error = httplib::Error::Success;
  const bool IsRead = send(Request, Answer.Response_, Error);
  if (!IsRead && Error == httplib::Error::Success)
    Error = httplib::Error::Read;
  Answer.Error_ = Error;
  Answer.Response_.body = std::move(Body);
  closeIfUsedUp();
  return Answer;
}

bool DocumentConnection::process_socket(
    const Socket &Opened,
    std::function<bool(httplib::Stream &)> HandleRequest) {
  Scan_.begin("", CarriedIds_);
  const Duration Left =
      std::max(Duration::zero(),
               std::chrono::duration_cast<Duration>(Deadline_ - Clock::now()));
  detail::BackendStream Stream(Opened.sock, Left, Scan_, false);
  const bool IsWhole = HandleRequest(Stream) && Stream.finishAnswer();
  HasBytesBehind_ = Stream.hasUnreadBytes();
  return IsWhole;
}

void DocumentConnection::closeIfUsedUp() {
  bool IsReadable = false;
  {
    const std::lock_guard<std::mutex> Lock(socket_mutex_);
    pollfd State{socket_.sock, POLLIN, 0};
    IsReadable = socket_.is_open() && poll(&State, 1, 0) > 0;
  }
  if (IsReadable || HasBytesBehind_)
    stop();
  HasBytesBehind_ = false;
}

} // namespace kumquatpitch
