// What a gateway host exchanges with the others: membership, changes of the
// published state, evidence and counts. See gateway-daemon.h.

#include "kumquatpitch/caller-hosts.h"
#include "kumquatpitch/gateway-daemon.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

/// Most hosts that are told of a service: a sample of a larger group says
/// enough, and the messages of a host do not grow with the fleet.
constexpr std::size_t MostTallyHosts = 8;
/// Repeated failures of a target are told once in this time.
constexpr Duration EvidencePause = std::chrono::milliseconds(300);

} // namespace

void GatewayDaemon::receiveDatagram() {
  Datagrams_.async_receive_from(
      asio::buffer(DatagramBuffer_), Sender_,
      [this](const asio::error_code &Error, std::size_t Size) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          handleDatagram(std::string(DatagramBuffer_.data(), Size));
        receiveDatagram();
      });
}

void GatewayDaemon::handleDatagram(const std::string &Bytes) {
  const TimePoint Now = Timers_.now();
  const std::optional<PeerDatagram> Read = handleFailure(
      [&]() -> Result<std::optional<PeerDatagram>> {
        BOOST_LEAF_AUTO(Message, decodeDatagram(Bytes));
        return std::optional<PeerDatagram>(std::move(Message));
      },
      [&](const Failure &Cause) -> std::optional<PeerDatagram> {
        Metrics_.count("peer_datagrams_malformed");
        Log_.write(LogLevel::Warning, "peer", "malformed",
                   {{"code", resultCodeName(Cause.Code_)},
                    {"sender", Sender_.address().to_string()},
                    {"detail", Cause.Message_}});
        return std::nullopt;
      });
  if (!Read)
    return;
  if (const ProbeMessage *Probe = std::get_if<ProbeMessage>(&*Read))
    send(Membership_.receive(*Probe, Now));
  else if (const ProgressMessage *Progress =
               std::get_if<ProgressMessage>(&*Read))
    apply(Follower_.receive(*Progress, Now));
  else if (const EvidenceMessage *Seen = std::get_if<EvidenceMessage>(&*Read)) {
    const std::map<TargetId, TargetEntry> &Known =
        Follower_.directory().entries();
    const std::map<TargetId, TargetEntry>::const_iterator It =
        Known.find(Seen->Target_);
    if (It != Known.end() && It->second.StartedUnixMs_ == Seen->StartedUnixMs_)
      Core_.peerEvidence(Seen->Service_, Seen->Target_, Seen->News_, Now);
    if (Seen->PassOn_)
      tellOwnDomain(*Seen);
  } else if (const TallyMessage *Of = std::get_if<TallyMessage>(&*Read)) {
    for (const std::pair<const ServiceName, ServiceTally> &Each : Of->Services_)
      Core_.peerTally(Of->From_, Each.first, Each.second, Now);
  }
}

void GatewayDaemon::send(const std::string &Address,
                         const PeerDatagram &Message) {
  sendBytes(Address, encodeDatagram(Message));
}

void GatewayDaemon::sendBytes(const std::string &Address,
                              const std::string &Bytes) {
  asio::error_code Error;
  const asio::ip::udp::endpoint To(asio::ip::make_address(Address, Error),
                                   Settings_.PeerPort_);
  if (!Error)
    Datagrams_.send_to(asio::buffer(Bytes), To, 0, Error);
  if (Error)
    Metrics_.count("peer_datagrams_not_sent");
}

void GatewayDaemon::send(const std::vector<OutgoingProbe> &Probes) {
  for (const OutgoingProbe &Each : Probes)
    send(Each.Address_, Each.Message_);
}

void GatewayDaemon::passOn(const ProgressMessage &Message) {
  for (const ProgressMessage &Part : splitProgress(Message))
    sendToOwnDomain(Part);
}

void GatewayDaemon::sendToOwnDomain(const PeerDatagram &Message) {
  const std::string Bytes = encodeDatagram(Message);
  for (const Member &Each : Membership_.members())
    if (Each.Domain_ == Settings_.Domain_ && Each.Id_ != Settings_.Id_ &&
        Each.isAlive())
      sendBytes(Each.Address_, Bytes);
}

void GatewayDaemon::evidence(const TargetEntry &Target, TargetNews News) {
  const TimePoint Now = Timers_.now();
  TimePoint &Told = Told_[Target.Id_];
  if (News == TargetNews::Failed && Now - Told < EvidencePause)
    return;
  if (News == TargetNews::Failed)
    Told = Now;
  const EvidenceMessage Message{Target.Service_, Target.Id_,
                                Target.StartedUnixMs_, News, true};
  // One host of each other failure domain passes it on: bytes between domains
  // cost.
  std::map<FailureDomain, std::vector<const Member *>> Others;
  const std::vector<Member> Members = Membership_.members();
  for (const Member &Each : Members)
    if (Each.Domain_ != Settings_.Domain_ &&
        Each.State_ == MemberState::Serving)
      Others[Each.Domain_].push_back(&Each);
  for (const std::pair<const FailureDomain, std::vector<const Member *>> &Each :
       Others)
    send(Each.second[Random_.below(Each.second.size())]->Address_, Message);
  tellOwnDomain(Message);
}

void GatewayDaemon::forgetTold(TimePoint Now) {
  std::erase_if(Told_, [&](const std::pair<const TargetId, TimePoint> &Each) {
    return Now - Each.second > EvidencePause;
  });
}

void GatewayDaemon::tellOwnDomain(const EvidenceMessage &Message) {
  EvidenceMessage Final = Message;
  Final.PassOn_ = false;
  sendToOwnDomain(Final);
}

void GatewayDaemon::updateGroups() {
  if (!Core_.hasTable())
    return;
  const std::vector<Member> Members = Membership_.members();
  std::set<FailureDomain> Domains;
  std::size_t Alive = 0;
  for (const Member &Each : Members) {
    Domains.insert(Each.Domain_);
    Alive += Each.isAlive() ? 1 : 0;
  }
  std::map<ServiceName, std::map<HostId, Member>> Hosts;
  std::map<std::string, std::map<HostId, Member>> HostsOf;
  for (const VirtualRoute &Each : Core_.table()->config().Routes_) {
    std::map<HostId, Member> &Of = HostsOf[Each.Host_];
    if (Of.empty())
      for (const FailureDomain &Domain : Domains)
        for (const Member &Host :
             callerHosts(Members, Each.Host_, Domain, Settings_.Region_))
          Of.emplace(Host.Id_, Host);
    for (const ServiceShare &Share : Each.Shares_)
      Hosts[Share.Service_].insert(Of.begin(), Of.end());
  }
  std::map<ServiceName, std::vector<Member>> Groups;
  for (const std::pair<const ServiceName, std::map<HostId, Member>> &Each :
       Hosts)
    for (const std::pair<const HostId, Member> &Host : Each.second)
      Groups[Each.first].push_back(Host.second);
  Core_.setGroups(Groups, Alive);
}

void GatewayDaemon::tellTallies(TimePoint Now) {
  std::map<std::string, TallyMessage> Messages;
  for (const std::pair<const ServiceName, ServiceTally> &Each :
       Core_.tallies(Now)) {
    std::vector<std::string> To;
    for (const Member &Host : Core_.balancer(Each.first)->group())
      if (Host.Id_ != Settings_.Id_)
        To.push_back(Host.Address_);
    for (std::size_t Told = 0; Told < MostTallyHosts && !To.empty(); ++Told) {
      std::swap(To[Random_.below(To.size())], To.back());
      TallyMessage &Message = Messages[To.back()];
      Message.From_ = Settings_.Id_;
      if (Message.Services_.size() < MaxTallies)
        Message.Services_.insert(Each);
      To.pop_back();
    }
  }
  for (const std::pair<const std::string, TallyMessage> &Each : Messages)
    send(Each.first, Each.second);
}

} // namespace kumquatpitch
