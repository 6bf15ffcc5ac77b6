// Datagrams to the other hosts. See peer-channel.h.

#include "kumquatpitch/peer-channel.h"

namespace kumquatpitch {

void PeerChannel::send(const std::string &Address,
                       const PeerDatagram &Message) {
  sendBytes(Address, encodeDatagram(Message));
}

void PeerChannel::sendBytes(const std::string &Address,
                            const std::string &Bytes) {
  asio::error_code Error;
  const asio::ip::udp::endpoint Peer(asio::ip::make_address(Address, Error),
                                     PeerPort_);
  if (!Error)
    Socket_.send_to(asio::buffer(Bytes), Peer, 0, Error);
  if (Error)
    Metrics_.count("peer_datagrams_not_sent");
}

void PeerChannel::sendToOwnDomain(const PeerDatagram &Message) {
  const std::string Bytes = encodeDatagram(Message);
  const Member &Self = Membership_.self();
  for (const Member &Host : Membership_.members())
    if (Host.Domain_ == Self.Domain_ && Host.Id_ != Self.Id_ && Host.isAlive())
      sendBytes(Host.Address_, Bytes);
}

void PeerChannel::sendToOtherDomains(const PeerDatagram &Message) {
  std::map<FailureDomain, std::vector<const Member *>> OtherDomains;
  const std::vector<Member> Members = Membership_.members();
  for (const Member &Host : Members)
    if (Host.Domain_ != Membership_.self().Domain_ &&
        Host.State_ == MemberState::Serving)
      OtherDomains[Host.Domain_].push_back(&Host);
  for (const std::pair<const FailureDomain, std::vector<const Member *>>
           &Domain : OtherDomains)
    send(Domain.second[Random_.below(Domain.second.size())]->Address_, Message);
}

} // namespace kumquatpitch
