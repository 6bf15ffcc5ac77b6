// Interface that sends messages to other hosts. Io implements it with nng;
// tests implement it with a simulated network.

#ifndef KUMQUATPITCH_PEER_TRANSPORT_H
#define KUMQUATPITCH_PEER_TRANSPORT_H

#include "kumquatpitch/name.h"

#include <cstdint>
#include <string>

namespace kumquatpitch {

/// An IP address and a port.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;

  bool operator==(const Endpoint &) const = default;
  std::strong_ordering operator<=>(const Endpoint &) const = default;
};

class PeerTransport {
public:
  virtual ~PeerTransport() = default;

  /// Sends `Message` without blocking. False when it was dropped here because
  /// the peer is unknown or its queue is full. True does not mean that it
  /// arrives.
  virtual bool send(const Endpoint &Peer, const std::string &Message) = 0;
};

} // namespace kumquatpitch

#endif
