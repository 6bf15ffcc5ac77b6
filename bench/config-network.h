// Simulated network of config-bench: many ConfigSync instances that exchange
// encoded peer messages and call a platform in virtual time, with message loss
// and partitions.

#ifndef KUMQUATPITCH_CONFIG_NETWORK_H
#define KUMQUATPITCH_CONFIG_NETWORK_H

#include "config-platform.h"

#include "kumquatpitch/config-sync.h"
#include "kumquatpitch/peer-view.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace kumquatpitch::bench {

constexpr std::uint64_t TicksPerHeartbeat = HeartbeatPeriod / ConfigTickPeriod;

struct Traffic {
  std::uint64_t Messages_ = 0;
  std::uint64_t SentBytes_ = 0;
  std::uint64_t ReceivedBytes_ = 0;
};

/// One daemon, reduced to its configuration sync and its heartbeats.
struct SimHost {
  ConfigSyncOptions Options_;
  std::size_t Region_ = 0;
  bool IsAlive_ = true;
  Incarnation Incarnation_ = 0;
  std::uint64_t Ticks_ = 0;
  std::unique_ptr<SeededRandom> Random_;
  std::unique_ptr<ConfigSync> Sync_;
  std::unique_ptr<PeerView> View_;
  std::vector<std::size_t> HeartbeatReceivers_; ///< Indexes of hosts.
  Traffic Traffic_;
  ConfigState HighestState_; ///< Highest seen in this incarnation.
  std::uint64_t HighestInForce_ = 0;
};

class Network {
public:
  explicit Network(std::uint64_t Seed) : Random_(Seed) {}

  Platform Platform_;
  std::vector<SimHost> Hosts_;
  /// Returns true when a message from the first to the second host is lost.
  std::function<bool(std::size_t, std::size_t)> IsLost_;
  /// May alter the platform's reply to the host of this index.
  std::function<void(std::size_t, PlatformReply &)> AlterReply_;
  std::uint64_t Calls_ = 0;
  std::uint64_t PeakCallsPerSecond_ = 0;
  std::uint64_t Reverts_ = 0;
  std::uint64_t UndecodedMessages_ = 0;
  bool SendsHeartbeats_ = false;

  TimePoint now() const { return Now_; }
  SeededRandom &random() { return Random_; }

  /// Starts a new incarnation of a host. With a `Prototype`, the host copies
  /// its configuration and is ready at once.
  void start(std::size_t Index, const ConfigSync *Prototype) {
    SimHost &Host = Hosts_[Index];
    Host.IsAlive_ = true;
    Host.Incarnation_ = Random_.next() | 1U;
    Host.Ticks_ = Random_.below(TicksPerHeartbeat);
    Host.HighestState_ = {};
    Host.HighestInForce_ = 0;
    Host.Random_ = std::make_unique<SeededRandom>(Random_.next());
    Host.Sync_ =
        Prototype
            ? std::make_unique<ConfigSync>(Host.Options_, *Host.Random_, Now_,
                                           *Prototype)
            : std::make_unique<ConfigSync>(Host.Options_, *Host.Random_, Now_);
    Host.View_ = std::make_unique<PeerView>(Host.Options_.Self_.Id_);
    ByAddress_[Host.Options_.Self_.Address_] = Index;
    schedule(Now_ + Duration(Random_.below(100'000)), Event{Kind::Tick, Index});
  }

  void stop(std::size_t Index) { Hosts_[Index].IsAlive_ = false; }

  /// Runs events for `Span`, or until `Done` returns true, which is checked
  /// every 10 ms.
  void run(Duration Span, const std::function<bool()> &Done = {}) {
    constexpr Duration Step = std::chrono::milliseconds(10);
    const TimePoint End = Now_ + Span;
    TimePoint NextCheck = Now_ + Step;
    while (Now_ < End) {
      if (Queue_.empty() || Queue_.top().Time_ >= NextCheck) {
        Now_ = NextCheck;
        NextCheck += Step;
        if (Done && Done())
          return;
        continue;
      }
      const Event Next = Queue_.top();
      Queue_.pop();
      Now_ = Next.Time_;
      handle(Next);
    }
  }

  /// Publishes the current parts and answers the watches that waited for them.
  void publish(std::uint64_t Version) {
    Platform_.publish(Version);
    wake();
  }

  /// Answers the pending watches whose reply has changed.
  void wake() {
    std::vector<PendingCall> StillPending;
    for (const PendingCall &Pending : PendingCalls_) {
      const PlatformReply Reply =
          Platform_.reply(Pending.Call_.Key_, true, Pending.Call_.After_);
      if (Reply.Status_ == PlatformStatus::Unchanged)
        StillPending.push_back(Pending);
      else
        scheduleReply(Pending, Reply);
    }
    PendingCalls_ = std::move(StillPending);
  }

  std::size_t pendingWatches() const { return PendingCalls_.size(); }

  void resetTraffic() {
    Calls_ = 0;
    PeakCallsPerSecond_ = 0;
    for (SimHost &Host : Hosts_)
      Host.Traffic_ = {};
  }

  /// Loads one configuration from the platform alone, for `start` to copy.
  std::unique_ptr<ConfigSync> makePrototype(const ConfigSyncOptions &Options,
                                            SeededRandom &Random) const {
    std::unique_ptr<ConfigSync> Sync =
        std::make_unique<ConfigSync>(Options, Random, TimePoint());
    for (int Tick = 0; Tick < 100'000 && !Sync->isReady(TimePoint()); ++Tick) {
      const TimePoint Now = TimePoint(Tick * ConfigTickPeriod);
      std::vector<PlatformCall> Calls = Sync->tick(Now).Calls_;
      while (!Calls.empty()) {
        const PlatformCall Call = Calls.back();
        Calls.pop_back();
        for (const PlatformCall &FollowUp :
             Sync->onPlatformReply(
                     Platform_.reply(Call.Key_, Call.IsWatch_, Call.After_),
                     Now)
                 .Calls_)
          Calls.push_back(FollowUp);
      }
    }
    return Sync;
  }

private:
  enum class Kind { Tick, Message, Reply };

  struct Event {
    Kind Kind_ = Kind::Tick;
    std::size_t Host_ = 0;
    /// The event is dropped when the host runs as another incarnation; 0 for a
    /// message, which any incarnation receives.
    Incarnation Incarnation_ = 0;
    std::shared_ptr<const std::string> Bytes_{};
    std::shared_ptr<const PlatformReply> Reply_{};
    TimePoint Time_{};
    std::uint64_t Sequence_ = 0; ///< Orders events of the same time.
  };

  struct IsLater {
    bool operator()(const Event &Left, const Event &Right) const {
      return Left.Time_ != Right.Time_ ? Left.Time_ > Right.Time_
                                       : Left.Sequence_ > Right.Sequence_;
    }
  };

  /// A call that the platform has not answered yet.
  struct PendingCall {
    std::size_t Host_;
    Incarnation Incarnation_;
    PlatformCall Call_;
    TimePoint Expiry_; ///< A watch ends unchanged at this time.
  };

  void schedule(TimePoint At, Event Next) {
    if (Next.Kind_ == Kind::Tick)
      Next.Incarnation_ = Hosts_[Next.Host_].Incarnation_;
    Next.Time_ = At;
    Next.Sequence_ = NextEventSequence_++;
    Queue_.push(std::move(Next));
  }

  Duration latency(const SimHost &From, const SimHost &To) {
    const Duration Base =
        From.Region_ != To.Region_ ? std::chrono::milliseconds(40)
        : From.Options_.Self_.Domain_ != To.Options_.Self_.Domain_
            ? std::chrono::milliseconds(1)
            : std::chrono::microseconds(200);
    return Base + Duration(Random_.below(Base.count() / 2));
  }

  void handle(const Event &Next) {
    SimHost &Host = Hosts_[Next.Host_];
    if (!Host.IsAlive_ ||
        (Next.Incarnation_ != 0 && Next.Incarnation_ != Host.Incarnation_))
      return;
    if (Next.Kind_ == Kind::Tick) {
      perform(Next.Host_, Host.Sync_->tick(Now_));
      if (SendsHeartbeats_)
        sendHeartbeat(Next.Host_);
      endExpiredWatches();
      schedule(Now_ + ConfigTickPeriod, Event{Kind::Tick, Next.Host_});
    } else if (Next.Kind_ == Kind::Reply) {
      perform(Next.Host_, Host.Sync_->onPlatformReply(*Next.Reply_, Now_));
    } else {
      receive(Next.Host_, *Next.Bytes_);
    }
    countReverts(Host);
  }

  void receive(std::size_t Index, const std::string &Bytes) {
    SimHost &Host = Hosts_[Index];
    Host.Traffic_.ReceivedBytes_ += Bytes.size();
    const PeerMessage Message = handleFailure(
        [&]() -> Result<PeerMessage> {
          return decodePeerMessage(Bytes, Host.Options_.Self_.Id_);
        },
        [](const Failure &) { return PeerMessage(); });
    if (Message.Incarnation_ == 0) {
      ++UndecodedMessages_;
      return;
    }
    if (const DigestMessage *Digest =
            std::get_if<DigestMessage>(&Message.Body_))
      perform(Index, Host.Sync_->onDigest(Message.From_, *Digest, Now_));
    else if (const PullMessage *Pull = std::get_if<PullMessage>(&Message.Body_))
      perform(Index, Host.Sync_->onPull(Message.From_, *Pull, Now_));
    else if (const PartMessage *Part = std::get_if<PartMessage>(&Message.Body_))
      perform(Index, Host.Sync_->onPeerPart(Message.From_, *Part, Now_));
    else if (const HeartbeatMessage *Heartbeat =
                 std::get_if<HeartbeatMessage>(&Message.Body_)) {
      Host.View_->onHeartbeat(Message.From_, Message.Incarnation_,
                              Message.Sequence_, *Heartbeat, Now_);
      perform(Index,
              Host.Sync_->onHeartbeat(Message.From_, Heartbeat->Config_, Now_));
    }
  }

  void sendHeartbeat(std::size_t Index) {
    SimHost &Host = Hosts_[Index];
    if (++Host.Ticks_ % TicksPerHeartbeat != 0)
      return;
    const HeartbeatMessage Heartbeat =
        Host.View_->nextHeartbeat(1, false, Host.Sync_->state(), Now_);
    for (const std::size_t Receiver : Host.HeartbeatReceivers_)
      send(Index, Receiver, Hosts_[Receiver].Options_.Self_.Id_, Heartbeat);
  }

  void perform(std::size_t Index, const ConfigActions &Actions) {
    for (const PeerSend &Message : Actions.Sends_) {
      const std::map<Endpoint, std::size_t>::const_iterator It =
          ByAddress_.find(Message.To_);
      if (It != ByAddress_.end())
        send(Index, It->second, Message.ToId_, Message.Body_);
    }
    for (const PlatformCall &Call : Actions.Calls_)
      callPlatform(Index, Call);
  }

  void send(std::size_t From, std::size_t To, const HostId &ToId,
            const PeerBody &Body) {
    SimHost &Host = Hosts_[From];
    const std::shared_ptr<const std::string> Bytes =
        std::make_shared<const std::string>(
            encodePeerMessage({Host.Options_.Self_.Id_, Host.Incarnation_, ToId,
                               NextMessageSequence_++, Body}));
    ++Host.Traffic_.Messages_;
    Host.Traffic_.SentBytes_ += Bytes->size();
    if (!Hosts_[To].IsAlive_ || (IsLost_ && IsLost_(From, To)))
      return;
    Event Next{Kind::Message, To};
    Next.Bytes_ = Bytes;
    schedule(Now_ + latency(Host, Hosts_[To]), std::move(Next));
  }

  void callPlatform(std::size_t Index, const PlatformCall &Call) {
    ++Calls_;
    if (Now_ - CallWindowStart_ >= std::chrono::seconds(1)) {
      CallWindowStart_ = Now_;
      CallsInWindow_ = 0;
    }
    PeakCallsPerSecond_ = std::max(PeakCallsPerSecond_, ++CallsInWindow_);
    const PendingCall Pending{Index, Hosts_[Index].Incarnation_, Call,
                              Now_ + Call.Wait_};
    const PlatformReply Reply =
        Platform_.reply(Call.Key_, Call.IsWatch_, Call.After_);
    if (Reply.Status_ == PlatformStatus::Unchanged)
      PendingCalls_.push_back(Pending);
    else
      scheduleReply(Pending, Reply);
  }

  void scheduleReply(const PendingCall &Pending, PlatformReply Reply) {
    constexpr Duration PlatformLatency = std::chrono::milliseconds(5);
    if (AlterReply_)
      AlterReply_(Pending.Host_, Reply);
    Event Next{Kind::Reply, Pending.Host_};
    Next.Incarnation_ = Pending.Incarnation_;
    Next.Reply_ = std::make_shared<const PlatformReply>(std::move(Reply));
    schedule(Now_ + PlatformLatency, std::move(Next));
  }

  void endExpiredWatches() {
    for (std::size_t Index = 0; Index < PendingCalls_.size();) {
      if (Now_ < PendingCalls_[Index].Expiry_) {
        ++Index;
        continue;
      }
      scheduleReply(PendingCalls_[Index],
                    PlatformReply{PendingCalls_[Index].Call_.Key_,
                                  PlatformStatus::Unchanged, 0, "", 0});
      PendingCalls_.erase(PendingCalls_.begin() +
                          static_cast<std::ptrdiff_t>(Index));
    }
  }

  /// Counts a revert when the host's manifest, host list or version in force is
  /// older than the highest seen in this incarnation.
  void countReverts(SimHost &Host) {
    const ConfigState State = Host.Sync_->state();
    const std::uint64_t InForce = Host.Sync_->catalog()->Version_;
    if (State.Manifest_ < Host.HighestState_.Manifest_ ||
        State.Hosts_ < Host.HighestState_.Hosts_ ||
        InForce < Host.HighestInForce_)
      ++Reverts_;
    Host.HighestState_ = State;
    Host.HighestInForce_ = InForce;
  }

  SeededRandom Random_;
  TimePoint Now_{};
  std::uint64_t NextEventSequence_ = 0;
  std::uint64_t NextMessageSequence_ = 1;
  std::uint64_t CallsInWindow_ = 0;
  TimePoint CallWindowStart_{};
  std::priority_queue<Event, std::vector<Event>, IsLater> Queue_;
  std::vector<PendingCall> PendingCalls_;
  std::map<Endpoint, std::size_t> ByAddress_;
};

} // namespace kumquatpitch::bench

#endif
