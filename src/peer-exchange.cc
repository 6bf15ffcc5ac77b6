// Sending and receiving of peer messages. See peer-exchange.h.

#include "kumquatpitch/peer-exchange.h"

namespace kumquatpitch {

namespace {

bool isRequestForConfig(const PeerBody &Body) {
  return std::holds_alternative<DigestMessage>(Body) ||
         std::holds_alternative<PullMessage>(Body);
}

bool isConfig(const PeerBody &Body) {
  return isRequestForConfig(Body) || std::holds_alternative<PartMessage>(Body);
}

const char *dropCounter(ResultCode Code) {
  switch (Code) {
  case ResultCode::PeerVersionUnknown:
    return "peer_messages_unknown_version";
  case ResultCode::PeerNotListed:
    return "peer_messages_not_listed";
  case ResultCode::PeerMessageTooLarge:
    return "peer_messages_too_large";
  default:
    return "peer_messages_malformed";
  }
}

} // namespace

PeerExchange::PeerExchange(HostId Self, Incarnation OwnIncarnation,
                           const std::vector<Endpoint> &Seeds,
                           PeerTransport &Transport, Metrics &Counters)
    : Self_(std::move(Self)), Incarnation_(OwnIncarnation),
      Transport_(Transport), Metrics_(Counters) {
  for (const Endpoint &Seed : Seeds)
    SeedAddresses_.insert(Seed.Address_);
}

void PeerExchange::setHosts(const HostList &List) {
  ListedHosts_.clear();
  ListedAddresses_.clear();
  for (const HostRecord &Host : List.Hosts_) {
    ListedHosts_.emplace(Host.Id_, Endpoint{Host.Address_, Host.PeerPort_});
    ListedAddresses_.insert(Host.Address_);
  }
}

bool PeerExchange::isAllowed(const PeerMessage &Message,
                             const std::string &Sender) const {
  if (isRequestForConfig(Message.Body_))
    return true;
  if (isConfig(Message.Body_))
    return ListedAddresses_.count(Sender) || SeedAddresses_.count(Sender);
  const std::map<HostId, Endpoint>::const_iterator It =
      ListedHosts_.find(Message.From_);
  return It != ListedHosts_.end() && It->second.Address_ == Sender;
}

Result<PeerMessage> PeerExchange::receive(std::string_view Bytes,
                                          const std::string &Sender) {
  return boost::leaf::try_handle_some(
      [&]() -> Result<PeerMessage> {
        BOOST_LEAF_AUTO(Message, decodePeerMessage(Bytes, Self_));
        if (Message.From_ == Self_ || !isAllowed(Message, Sender))
          return fail(
              ResultCode::PeerNotListed,
              "sender is not on the host list or may not send this message");
        Metrics_.count("peer_messages_received");
        Metrics_.count("peer_bytes_received", Bytes.size());
        return Message;
      },
      [&](const Failure &Cause) -> Result<PeerMessage> {
        Metrics_.count(dropCounter(Cause.Code_));
        return fail(Cause.Code_, Cause.Message_);
      });
}

bool PeerExchange::send(const HostId &To, PeerBody Body) {
  const std::map<HostId, Endpoint>::const_iterator It = ListedHosts_.find(To);
  return It != ListedHosts_.end() && send(It->second, To, std::move(Body));
}

bool PeerExchange::send(const Endpoint &Address, const HostId &To,
                        PeerBody Body) {
  const std::string Bytes = encodePeerMessage(
      PeerMessage{Self_, Incarnation_, To, ++Sequence_, std::move(Body)});
  const bool IsSent = Transport_.send(Address, Bytes);
  Metrics_.count(IsSent ? "peer_messages_sent" : "peer_messages_dropped");
  if (IsSent)
    Metrics_.count("peer_bytes_sent", Bytes.size());
  return IsSent;
}

} // namespace kumquatpitch
