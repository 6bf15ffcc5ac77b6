// Queries of a socket's state. See socket-state.h.

#include "kumquatpitch/socket-state.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

namespace kumquatpitch {

bool isConnectionReset(int Socket) {
  pollfd State{Socket, 0, 0};
  // POLLHUP: both directions are shut. Only a reset shuts the sending one.
  return poll(&State, 1, 0) > 0 && (State.revents & (POLLERR | POLLHUP)) != 0;
}

std::size_t unacknowledgedBytes(int Socket) {
  int Bytes = 0;
  if (ioctl(Socket, SIOCOUTQ, &Bytes) != 0 || Bytes < 0)
    return 0;
  return static_cast<std::size_t>(Bytes);
}

} // namespace kumquatpitch
