// One real HostCore with a simulated platform and simulated peers, for the
// capacity benchmark. Each peer returns the heartbeats, digests, reports and
// quota loan requests that the host sends to it, so that the traffic in both
// directions is that of a host among hosts with the same load.

#ifndef KUMQUATPITCH_CAPACITY_HOST_H
#define KUMQUATPITCH_CAPACITY_HOST_H

#include "capacity-fleet.h"

#include "kumquatpitch/host-core.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpitch::bench {

/// Count and total size of the messages of one kind.
struct Traffic {
  std::uint64_t Messages_ = 0;
  std::uint64_t Bytes_ = 0;

  void add(std::size_t Size) {
    ++Messages_;
    Bytes_ += Size;
  }
};

/// Runs the host in virtual time and counts its traffic, platform calls and log
/// lines.
class CapacityHost : private PeerTransport, private Logger {
public:
  CapacityHost(const Fleet &BenchFleet, const HostRecord &Self)
      : Fleet_(BenchFleet), Self_(Self), Random_(1),
        Core_(HostIdentity{Self.Id_,
                           Self.Region_,
                           Self.Domain_,
                           HostIncarnation,
                           Endpoint{Self.Address_, Self.PeerPort_},
                           {seed()},
                           {Self.CustomerPorts_.begin()->first}},
              HostDependencies{Random_, *this, *this}, Now_) {
    Manifest_.replace(1, Fleet_.manifest().Parts_);
    Hosts_.replace(1, Fleet_.list().Hosts_);
  }

  HostCore &core() { return Core_; }
  TimePoint now() const { return Now_; }

  /// Joins as a host does that reads from its peers: receives whole tables and
  /// the documents of its own customer, then runs until its slots are usable.
  /// Returns whether the host is ready.
  bool start() {
    run(std::chrono::seconds(1));
    receive(encodePart(PartMessage{Hosts_.deltaFor({})}));
    receive(encodePart(PartMessage{Manifest_.deltaFor({})}));
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
    execute(Core_.tick(Now_));
    deliverOutbox();
  }

  /// Publishes a host list in which `Count` hosts, starting at an index, are
  /// leaving, and returns the message with which a peer forwards the delta.
  /// Hosts that were leaving in the previous list are live again.
  std::string nextHostsDelta(std::size_t Index, std::size_t Count = 1) {
    HostList Next = Fleet_.list();
    for (std::size_t Offset = 0; Offset < Count; ++Offset) {
      HostRecord &Changed = Next.Hosts_[(Index + Offset) % Next.Hosts_.size()];
      if (Changed.Id_ != Self_.Id_)
        Changed.State_ = HostState::Leaving;
    }
    const TableVersion Before = Hosts_.version();
    Hosts_.replace(Before.Version_ + 1, Next.Hosts_);
    return encodePart(PartMessage{Hosts_.deltaFor(Before)});
  }

  /// Publishes the manifest of a changed fleet, and returns the message with
  /// which a peer forwards the delta.
  std::string nextManifestDelta(const Fleet &Changed) {
    const TableVersion Before = Manifest_.version();
    Manifest_.replace(Before.Version_ + 1, Changed.manifest().Parts_);
    return encodePart(PartMessage{Manifest_.deltaFor(Before)});
  }

  std::string documentMessage(const Fleet &Source, const std::string &Name) {
    return encodePart(
        PartMessage{DocumentBody{Name, contentHash(Source.document(Name)),
                                 false, Source.document(Name)}});
  }

  void receive(const std::string &Bytes) {
    execute(Core_.receivePeer(Bytes, peer().Address_, Now_));
  }

  /// Message sizes of the whole manifest and of the whole host list, as a
  /// joining host receives them.
  std::pair<std::size_t, std::size_t> tableBytes() {
    return {encodePart(PartMessage{Manifest_.deltaFor({})}).size(),
            encodePart(PartMessage{Hosts_.deltaFor({})}).size()};
  }

  void clearTraffic() {
    Sent_.clear();
    Received_.clear();
  }
  const std::map<std::string, Traffic> &sent() const { return Sent_; }
  const std::map<std::string, Traffic> &received() const { return Received_; }
  static std::uint64_t bytesOf(const std::map<std::string, Traffic> &Kinds) {
    std::uint64_t Sum = 0;
    for (const std::pair<const std::string, Traffic> &Kind : Kinds)
      Sum += Kind.second.Bytes_;
    return Sum;
  }
  std::uint64_t platformCalls() const { return PlatformCalls_; }
  std::uint64_t logLines() const { return LogLines_; }

private:
  static constexpr Incarnation HostIncarnation = 0x123456789abcdef0ULL;
  static constexpr Incarnation PeersIncarnation = 0x0fedcba987654321ULL;
  static constexpr std::size_t FleetDomains = 8;

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

  /// The peer that the settings name as the first contact.
  Endpoint seed() const { return Endpoint{peer().Address_, peer().PeerPort_}; }

  /// The peer that sends the tables and documents.
  const HostRecord &peer() const {
    const HostRecord &First = Fleet_.list().Hosts_.front();
    return First.Id_ == Self_.Id_ ? Fleet_.list().Hosts_.back() : First;
  }

  /// Encodes a part as a message from the peer to this host.
  std::string encodePart(PartMessage Message) {
    return encodePeerMessage(PeerMessage{peer().Id_, PeersIncarnation,
                                         Self_.Id_, ++PeerSequence_,
                                         std::move(Message)});
  }

  /// Replies to the platform calls among the actions. A watch after a version
  /// gets no reply, since the platform has nothing newer.
  void execute(const CoreActions &Actions) {
    for (const CoreAction &Action : Actions) {
      const PlatformCall *Call = std::get_if<PlatformCall>(&Action);
      if (!Call)
        continue;
      ++PlatformCalls_;
      if (!Call->IsWatch_ || Call->After_ == 0)
        Replies_.push_back(replyTo(*Call));
    }
    for (std::vector<PlatformReply> Due = std::exchange(Replies_, {});
         const PlatformReply &Reply : Due)
      execute(Core_.onPlatformReply(Reply, Now_));
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

  /// Delivers the messages that the host has sent to its peers.
  void deliverOutbox() {
    for (const std::pair<const HostRecord *, std::string> &Message :
         std::exchange(Outbox_, {}))
      receiveAsPeer(Message.second, *Message.first);
  }

  /// Decodes a message as the peer does and replies to it.
  void receiveAsPeer(const std::string &Bytes, const HostRecord &Peer) {
    handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(Message, decodePeerMessage(Bytes, Peer.Id_));
          replyAsPeer(std::move(Message), Bytes.size(), Peer);
          return true;
        },
        [](const Failure &) { return false; });
  }

  /// Counts a message of the host. Heartbeats, digests, reports and quota loan
  /// requests are sent back as from the peer; other kinds get no reply.
  void replyAsPeer(PeerMessage Message, std::size_t Size,
                   const HostRecord &Peer) {
    static constexpr const char *Kinds[] = {"heartbeat",  "digest", "pull",
                                            "part",       "report", "quota-ask",
                                            "quota-grant"};
    const std::string Kind = Kinds[Message.Body_.index()];
    Sent_[Kind].add(Size);
    if (HeartbeatMessage *Heartbeat =
            std::get_if<HeartbeatMessage>(&Message.Body_))
      setAlivePeers(*Heartbeat, Peer.Id_);
    else if (DigestMessage *Digest = std::get_if<DigestMessage>(&Message.Body_))
      fillDigest(*Digest, Peer);
    else if (!std::holds_alternative<ReportMessage>(Message.Body_) &&
             !std::holds_alternative<QuotaLoanRequestMessage>(Message.Body_))
      return;
    Message.From_ = Peer.Id_;
    Message.To_ = Self_.Id_;
    Message.Incarnation_ = PeersIncarnation;
    Message.Sequence_ = ++PeerSequence_;
    const std::string Reply = encodePeerMessage(Message);
    Received_[Kind].add(Reply.size());
    execute(Core_.receivePeer(Reply, Peer.Address_, Now_));
  }

  /// Replaces the peer by this host in its list of live peers, so that the
  /// peer lists as many other hosts as this host does.
  void setAlivePeers(HeartbeatMessage &Heartbeat, const HostId &Peer) const {
    std::replace(Heartbeat.AlivePeers_.begin(), Heartbeat.AlivePeers_.end(),
                 Peer, Self_.Id_);
    if (!std::count(Heartbeat.AlivePeers_.begin(), Heartbeat.AlivePeers_.end(),
                    Self_.Id_))
      Heartbeat.AlivePeers_.push_back(Self_.Id_);
    std::sort(Heartbeat.AlivePeers_.begin(), Heartbeat.AlivePeers_.end());
  }

  /// Fills in the contact of the peer, and heartbeats of two readers of each
  /// failure domain whose counts increase by one each second.
  void fillDigest(DigestMessage &Digest, const HostRecord &Peer) const {
    Digest.Contacts_ = {
        PeerContact{Peer.Id_, Peer.Domain_, {Peer.Address_, Peer.PeerPort_}}};
    Digest.ReaderHeartbeats_.clear();
    const std::vector<HostRecord> &All = Fleet_.list().Hosts_;
    std::map<FailureDomain, std::size_t> Readers;
    for (const HostRecord &Host : All)
      if (Host.Id_ != Self_.Id_ && Readers[Host.Domain_] < ReadersPerDomain) {
        ++Readers[Host.Domain_];
        Digest.ReaderHeartbeats_.push_back(ReaderHeartbeat{
            Host.Id_, Host.Domain_,
            static_cast<std::uint64_t>(Now_.time_since_epoch() /
                                       std::chrono::seconds(1))});
        if (Digest.ReaderHeartbeats_.size() == FleetDomains * ReadersPerDomain)
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
