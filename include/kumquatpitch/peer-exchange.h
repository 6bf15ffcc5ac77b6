// Messages to and from other hosts: who may send what, sequence numbers, and
// the encoding. Owned by HostCore, which dispatches what is accepted.

#ifndef KUMQUATPITCH_PEER_EXCHANGE_H
#define KUMQUATPITCH_PEER_EXCHANGE_H

#include "kumquatpitch/host-list.h"
#include "kumquatpitch/metrics.h"
#include "kumquatpitch/peer-message.h"
#include "kumquatpitch/peer-transport.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch {

class PeerExchange {
public:
  /// `Seeds` are peers that the settings name; their configuration is believed
  /// as that of listed hosts is.
  PeerExchange(HostId Self, Incarnation Run, const std::vector<Endpoint> &Seeds,
               PeerTransport &Transport, Metrics &Counters);

  /// Takes the list whose hosts may send.
  void setHosts(const HostList &List);

  /// Decodes a message that came from the IP address `Sender`. Fails with the
  /// codes of decodePeerMessage, or with PeerNotListed; counts each failure.
  ///
  /// Listed hosts may send everything from their listed address. Seeds and
  /// listed addresses with another host's id, as a replaced host has, may send
  /// configuration. Other addresses may only ask for it, since a new host can
  /// be ahead of the lagging list.
  Result<PeerMessage> receive(std::string_view Bytes,
                              const std::string &Sender);

  /// Sends to a listed host. False when it is unknown or the message was
  /// dropped.
  bool send(const HostId &To, PeerBody Body);

  /// Sends to an address whose host may be unknown.
  bool send(const Endpoint &Address, const HostId &To, PeerBody Body);

private:
  bool maySend(const PeerMessage &Message, const std::string &Sender) const;

  const HostId Self_;
  const Incarnation Incarnation_;
  PeerTransport &Transport_;
  Metrics &Metrics_;
  std::set<std::string> SeedAddresses_;
  std::set<std::string> ListedAddresses_;
  std::map<HostId, Endpoint> Listed_;
  std::uint64_t Sequence_ = 0; ///< Rises with each message.
};

} // namespace kumquatpitch

#endif
