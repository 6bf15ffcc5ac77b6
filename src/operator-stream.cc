// Bounded reads and writes of the operator endpoint. See operator-stream.h.

#include "kumquatpitch/operator-stream.h"

#include <algorithm>
#include <poll.h>
#include <sys/socket.h>

namespace kumquatpitch::detail {

bool OperatorStream::isReady(short Events) const {
  const std::chrono::milliseconds Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Deadline_ -
                                                            Clock::now());
  pollfd State{Socket_, Events, 0};
  return Left.count() > 0 &&
         poll(&State, 1, static_cast<int>(Left.count())) > 0;
}

bool OperatorStream::is_readable() const { return isReady(POLLIN); }

bool OperatorStream::is_writable() const { return isReady(POLLOUT); }

ssize_t OperatorStream::read(char *Bytes, size_t Size) {
  const std::size_t Count = std::min(Size, MaxRequestBytes - ReadBytes_);
  if (Count == 0 || !is_readable())
    return -1;
  const ssize_t Received = recv(Socket_, Bytes, Count, 0);
  ReadBytes_ += Received > 0 ? static_cast<std::size_t>(Received) : 0;
  return Received;
}

ssize_t OperatorStream::write(const char *Bytes, size_t Size) {
  if (!IsAnswering_)
    Deadline_ = Clock::now() + AnswerTime;
  IsAnswering_ = true;
  return is_writable() ? send(Socket_, Bytes, Size, MSG_NOSIGNAL | MSG_DONTWAIT)
                       : -1;
}

void OperatorStream::get_remote_ip_and_port(std::string &Ip, int &Port) const {
  Ip.clear(); // No handler asks for it.
  Port = 0;
}

void OperatorStream::get_local_ip_and_port(std::string &Ip, int &Port) const {
  Ip.clear();
  Port = 0;
}

} // namespace kumquatpitch::detail
