// Sends and receives messages between hosts: encoding, sequence numbers, and
// the rules for which address may send which kind of message. Owned by
// HostCore, which dispatches the accepted messages.

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
  /// `Seeds` are the peers in the settings. Configuration that they send is
  /// accepted as that of listed hosts is.
  PeerExchange(HostId Self, Incarnation OwnIncarnation,
               const std::vector<Endpoint> &Seeds, PeerTransport &Transport,
               Metrics &Counters);

  /// Sets the list of the hosts that may send messages.
  void setHosts(const HostList &List);

  /// Decodes a message that came from the IP address `Sender`. Fails with the
  /// codes of decodePeerMessage, or with PeerNotListed; counts each failure.
  ///
  /// Listed hosts may send every kind of message from their listed address.
  /// Seeds may send configuration, and so may a listed address with another
  /// host id than the list gives, as after a replacement. All other addresses
  /// may only request configuration, since a new host can be running before it
  /// is on the list.
  Result<PeerMessage> receive(std::string_view Bytes,
                              const std::string &Sender);

  /// Sends to a listed host. False when the host is not listed or the message
  /// was dropped.
  bool send(const HostId &To, PeerBody Body);

  /// Sends to an address. `To` is empty when the host there is unknown.
  bool send(const Endpoint &Address, const HostId &To, PeerBody Body);

private:
  bool isAllowed(const PeerMessage &Message, const std::string &Sender) const;

  const HostId Self_;
  const Incarnation Incarnation_;
  PeerTransport &Transport_;
  Metrics &Metrics_;
  std::set<std::string> SeedAddresses_;
  std::set<std::string> ListedAddresses_;
  std::map<HostId, Endpoint> ListedHosts_;
  std::uint64_t Sequence_ = 0; ///< Of the last message sent.
};

} // namespace kumquatpitch

#endif
