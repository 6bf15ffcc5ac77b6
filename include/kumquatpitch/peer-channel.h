// Sends datagrams to other hosts of the fleet. Traffic between failure domains
// is costly, so a message for all hosts goes to one host of each other domain,
// which forwards it within its own. Used by GatewayDaemon, which owns the
// socket and receives.

#ifndef KUMQUATPITCH_PEER_CHANNEL_H
#define KUMQUATPITCH_PEER_CHANNEL_H

#include "kumquatpitch/metrics.h"
#include "kumquatpitch/peer-datagram.h"
#include "kumquatpitch/random-source.h"

#include <asio/ip/udp.hpp>

namespace kumquatpitch {

class PeerChannel {
public:
  /// Sends from `Socket` to the port `PeerPort` of the other hosts. All
  /// references must outlive the channel.
  PeerChannel(asio::ip::udp::socket &Socket, std::uint16_t PeerPort,
              const HostMembership &Membership, RandomSource &Random,
              Metrics &Counters)
      : Socket_(Socket), PeerPort_(PeerPort), Membership_(Membership),
        Random_(Random), Metrics_(Counters) {}

  /// Sends to one host. A datagram that cannot be sent is counted and dropped.
  void send(const std::string &Address, const PeerDatagram &Message);

  /// Sends to all other live hosts of the own failure domain.
  void sendToOwnDomain(const PeerDatagram &Message);

  /// Sends to all other live hosts of the own failure domain, and to a random
  /// serving host of each other one, which forwards the message.
  template <class Message> void sendToAll(Message Sent) {
    Sent.Forward_ = true;
    sendToOtherDomains(Sent);
    forward(Sent);
  }

  /// Forwards a message that asks for it within the own failure domain.
  template <class Message> void forward(Message Received) {
    if (!Received.Forward_)
      return;
    Received.Forward_ = false;
    sendToOwnDomain(Received);
  }

private:
  void sendToOtherDomains(const PeerDatagram &Message);
  void sendBytes(const std::string &Address, const std::string &Bytes);

  asio::ip::udp::socket &Socket_;
  const std::uint16_t PeerPort_;
  const HostMembership &Membership_;
  RandomSource &Random_;
  Metrics &Metrics_;
};

} // namespace kumquatpitch

#endif
