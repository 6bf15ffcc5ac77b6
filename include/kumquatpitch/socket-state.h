// What the kernel knows of a TCP connection beyond its byte stream. Used by
// HttpClientConnection to tell the orderly end of a response from a reset, and
// by HttpServer to tell whether a caller reads.

#ifndef KUMQUATPITCH_SOCKET_STATE_H
#define KUMQUATPITCH_SOCKET_STATE_H

#include <cstddef>

namespace kumquatpitch {

/// True if the peer has reset the connection. The kernel reports the error of a
/// socket to one call only, but the state stays. The caller must not have shut
/// down its sending side.
bool isConnectionReset(int Socket);

/// Bytes that were written to the socket and that the peer's system has not
/// acknowledged; 0 if the system does not tell.
std::size_t unacknowledgedBytes(int Socket);

} // namespace kumquatpitch

#endif
