// One HostCore with the platform and the peers around it, for the capacity
// benchmark. Peers send what this host sends to them, so that the traffic in
// both directions is that of a host among equals.

#ifndef KUMQUATPITCH_CAPACITY_HOST_H
#define KUMQUATPITCH_CAPACITY_HOST_H

#include "capacity-fleet.h"

#include "kumquatpitch/host-core.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpitch::bench {

/// Messages and bytes of one kind.
struct Traffic {
  std::uint64_t Messages_ = 0;
  std::uint64_t Bytes_ = 0;

  void add(std::size_t Size) {
    ++Messages_;
    Bytes_ += Size;
  }
};

class CapacityHost : private PeerTransport, private Logger {
public:
  CapacityHost(const Fleet &Around, const HostRecord &Self)
      : Fleet_(Around), Self_(Self), Random_(1),
        Core_(HostIdentity{Self.Id_,
                           Self.Region_,
                           Self.Domain_,
                           RunOfSelf,
                           Endpoint{Self.Address_, Self.PeerPort_},
                           {seed()},
                           {Self.CustomerPorts_.begin()->first}},
              HostDependencies{Random_, *this, *this}, Now_) {
    Manifest_.replace(1, Fleet_.manifest().Parts_);
    Hosts_.replace(1, Fleet_.list().Hosts_);
  }

  HostCore &core() { return Core_; }
  TimePoint now() const { return Now_; }

  /// Joins as a host does from its peers, by whole tables and the documents of
  /// its own customer, and runs until its slots are usable.
  bool start() {
    run(std::chrono::seconds(1));
    receive(part(PartMessage{Hosts_.deltaFor({})}));
    receive(part(PartMessage{Manifest_.deltaFor({})}));
    const std::string Customer = Self_.CustomerPorts_.begin()->first.str();
    receive(documentMessage(Fleet_, "contract/" + Customer));
    for (std::size_t Index = 0; Index < Fleet_.size().Services_; ++Index)
      if (Fleet::customerName(Fleet_.customerOfService(Index)) == Customer)
        receive(
            documentMessage(Fleet_, "service/" + Fleet::serviceName(Index)));
    run(std::chrono::seconds(40));
    return Core_.isReady(Now_);
  }

  void run(Duration Span) {
    for (const TimePoint End = Now_ + Span; Now_ < End;)
      tick();
  }

  void tick() {
    Now_ += TickPeriod;
    take(Core_.tick(Now_));
    exchange();
  }

  /// Publishes a host list in which `Count` hosts from an index on leave, and
  /// gives the delta message by which a peer hands it on. Hosts that left in
  /// the list before are live again.
  std::string nextHostsDelta(std::size_t Index, std::size_t Count = 1) {
    HostList Next = Fleet_.list();
    for (std::size_t Each = 0; Each < Count; ++Each) {
      HostRecord &Changed = Next.Hosts_[(Index + Each) % Next.Hosts_.size()];
      if (Changed.Id_ != Self_.Id_)
        Changed.State_ = HostState::Leaving;
    }
    const TableVersion Before = Hosts_.version();
    Hosts_.replace(Before.Version_ + 1, Next.Hosts_);
    return part(PartMessage{Hosts_.deltaFor(Before)});
  }

  /// The same for a manifest whose documents the fleet published anew.
  std::string nextManifestDelta(const Fleet &Changed) {
    const TableVersion Before = Manifest_.version();
    Manifest_.replace(Before.Version_ + 1, Changed.manifest().Parts_);
    return part(PartMessage{Manifest_.deltaFor(Before)});
  }

  std::string documentMessage(const Fleet &From, const std::string &Name) {
    return part(PartMessage{DocumentBody{Name, contentHash(From.document(Name)),
                                         false, From.document(Name)}});
  }

  void receive(const std::string &Bytes) {
    take(Core_.receivePeer(Bytes, peer().Address_, Now_));
  }

  /// Whole tables as a host that joins gets them.
  std::pair<std::size_t, std::size_t> tableBytes() {
    return {part(PartMessage{Manifest_.deltaFor({})}).size(),
            part(PartMessage{Hosts_.deltaFor({})}).size()};
  }

  void clearTraffic() {
    Sent_.clear();
    Received_.clear();
  }
  const std::map<std::string, Traffic> &sent() const { return Sent_; }
  const std::map<std::string, Traffic> &received() const { return Received_; }
  static std::uint64_t bytesOf(const std::map<std::string, Traffic> &Of) {
    std::uint64_t Sum = 0;
    for (const std::pair<const std::string, Traffic> &Each : Of)
      Sum += Each.second.Bytes_;
    return Sum;
  }
  std::uint64_t platformCalls() const { return PlatformCalls_; }
  std::uint64_t logLines() const { return LogLines_; }

private:
  static constexpr Incarnation RunOfSelf = 0x123456789abcdef0ULL;
  static constexpr Incarnation RunOfPeers = 0x0fedcba987654321ULL;
  static constexpr std::size_t DomainsOfFleet = 8;

  bool send(const Endpoint &To, const std::string &Message) override {
    for (const HostRecord &Peer : Fleet_.list().Hosts_)
      if (Peer.Address_ == To.Address_ && Peer.PeerPort_ == To.Port_) {
        Outbox_.emplace_back(&Peer, Message);
        break;
      }
    return true;
  }
  void log(LogLevel, const char *, const std::string &) override {
    ++LogLines_;
  }

  /// A host that the settings name.
  Endpoint seed() const { return Endpoint{peer().Address_, peer().PeerPort_}; }

  const HostRecord &peer() const {
    const HostRecord &First = Fleet_.list().Hosts_.front();
    return First.Id_ == Self_.Id_ ? Fleet_.list().Hosts_.back() : First;
  }

  std::string part(PartMessage Message) {
    return encodePeerMessage(PeerMessage{peer().Id_, RunOfPeers, Self_.Id_,
                                         ++PeerSequence_, std::move(Message)});
  }

  /// Carries out platform calls; a watch without news keeps waiting.
  void take(const CoreActions &Actions) {
    for (const CoreAction &Each : Actions) {
      const PlatformCall *Call = std::get_if<PlatformCall>(&Each);
      if (!Call)
        continue;
      ++PlatformCalls_;
      if (!Call->IsWatch_ || Call->After_ == 0)
        Replies_.push_back(replyTo(*Call));
    }
    for (std::vector<PlatformReply> Due = std::exchange(Replies_, {});
         const PlatformReply &Reply : Due)
      take(Core_.onPlatformReply(Reply, Now_));
  }

  PlatformReply replyTo(const PlatformCall &Call) const {
    std::string Body;
    if (Call.Key_ == "hosts")
      Body = Fleet_.hostsJson();
    else if (Call.Key_ == "manifest")
      Body = formatManifest(Fleet_.manifest());
    else
      Body = Fleet_.document(Call.Key_.substr(
          std::string("parts/").size(),
          Call.Key_.rfind('/') - std::string("parts/").size()));
    const std::size_t Size = Body.size();
    return PlatformReply{Call.Key_, PlatformStatus::Value,
                         Call.IsWatch_ ? 1U : 0U, std::move(Body), Size};
  }

  void exchange() {
    for (const std::pair<const HostRecord *, std::string> &Each :
         std::exchange(Outbox_, {}))
      reflect(Each.second, *Each.first);
  }

  void reflect(const std::string &Bytes, const HostRecord &Peer) {
    handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(Message, decodePeerMessage(Bytes, Peer.Id_));
          answer(std::move(Message), Bytes.size(), Peer);
          return true;
        },
        [](const Failure &) { return false; });
  }

  void answer(PeerMessage Message, std::size_t Size, const HostRecord &Peer) {
    static constexpr const char *Kinds[] = {"heartbeat",  "digest", "pull",
                                            "part",       "report", "quota-ask",
                                            "quota-grant"};
    const std::string Kind = Kinds[Message.Body_.index()];
    Sent_[Kind].add(Size);
    if (HeartbeatMessage *Beat = std::get_if<HeartbeatMessage>(&Message.Body_))
      addSelf(*Beat, Peer.Id_);
    else if (DigestMessage *Digest = std::get_if<DigestMessage>(&Message.Body_))
      fillDigest(*Digest, Peer);
    else if (!std::holds_alternative<ReportMessage>(Message.Body_) &&
             !std::holds_alternative<QuotaLoanRequestMessage>(Message.Body_))
      return;
    Message.From_ = Peer.Id_;
    Message.To_ = Self_.Id_;
    Message.Incarnation_ = RunOfPeers;
    Message.Sequence_ = ++PeerSequence_;
    const std::string Reply = encodePeerMessage(Message);
    Received_[Kind].add(Reply.size());
    take(Core_.receivePeer(Reply, Peer.Address_, Now_));
  }

  /// A peer hears this host, and names as many others as this host does.
  void addSelf(HeartbeatMessage &Beat, const HostId &Peer) const {
    std::replace(Beat.AlivePeers_.begin(), Beat.AlivePeers_.end(), Peer,
                 Self_.Id_);
    if (!std::count(Beat.AlivePeers_.begin(), Beat.AlivePeers_.end(),
                    Self_.Id_))
      Beat.AlivePeers_.push_back(Self_.Id_);
    std::sort(Beat.AlivePeers_.begin(), Beat.AlivePeers_.end());
  }

  /// Two readers of each failure domain raise their counts each second.
  void fillDigest(DigestMessage &Digest, const HostRecord &Peer) const {
    Digest.Contacts_ = {
        PeerContact{Peer.Id_, Peer.Domain_, {Peer.Address_, Peer.PeerPort_}}};
    Digest.ReaderHeartbeats_.clear();
    const std::vector<HostRecord> &All = Fleet_.list().Hosts_;
    std::map<FailureDomain, std::size_t> Taken;
    for (const HostRecord &Each : All)
      if (Each.Id_ != Self_.Id_ && Taken[Each.Domain_] < ReadersPerDomain) {
        ++Taken[Each.Domain_];
        Digest.ReaderHeartbeats_.push_back(ReaderHeartbeat{
            Each.Id_, Each.Domain_,
            static_cast<std::uint64_t>(Now_.time_since_epoch() /
                                       std::chrono::seconds(1))});
        if (Digest.ReaderHeartbeats_.size() ==
            DomainsOfFleet * ReadersPerDomain)
          return;
      }
  }

  const Fleet &Fleet_;
  const HostRecord Self_;
  SeededRandom Random_;
  TimePoint Now_{};
  std::vector<std::pair<const HostRecord *, std::string>> Outbox_;
  std::vector<PlatformReply> Replies_;
  std::uint64_t PeerSequence_ = 0;
  std::uint64_t PlatformCalls_ = 0;
  std::uint64_t LogLines_ = 0;
  std::map<std::string, Traffic> Sent_;
  std::map<std::string, Traffic> Received_;
  VersionedTable<ManifestPart> Manifest_;
  VersionedTable<HostRecord> Hosts_;
  HostCore Core_;
};

} // namespace kumquatpitch::bench

#endif
