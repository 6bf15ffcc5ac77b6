// The network of config-bench: many ConfigSync instances, real encoded
// messages, a platform and virtual time, with losses and partitions.

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

/// One daemon: only its configuration part and its heartbeats.
struct SimHost {
  ConfigSyncOptions Options_;
  std::size_t Region_ = 0;
  bool Alive_ = true;
  Incarnation Run_ = 0;
  std::uint64_t Ticks_ = 0;
  std::unique_ptr<SeededRandom> Random_;
  std::unique_ptr<ConfigSync> Sync_;
  std::unique_ptr<PeerView> View_;
  std::vector<std::size_t> Mates_; ///< Receivers of heartbeats.
  Traffic Traffic_;
  ConfigState HighestState_; ///< Of this incarnation.
  std::uint64_t HighestInForce_ = 0;
};

class Network {
public:
  explicit Network(std::uint64_t Seed) : Random_(Seed) {}

  Platform Platform_;
  std::vector<SimHost> Hosts_;
  /// True when a message from the first to the second host is lost.
  std::function<bool(std::size_t, std::size_t)> IsLost_;
  /// Replies of the platform may be replaced for some hosts.
  std::function<void(std::size_t, PlatformReply &)> AlterReply_;
  std::uint64_t Calls_ = 0;
  std::uint64_t PeakCallsPerSecond_ = 0;
  std::uint64_t Reverts_ = 0;
  std::uint64_t Undecoded_ = 0;
  bool WithHeartbeats_ = false;

  TimePoint now() const { return Now_; }
  SeededRandom &random() { return Random_; }

  /// Starts an incarnation at a place; ready at once when `From` is given.
  void start(std::size_t Index, const ConfigSync *From) {
    SimHost &Host = Hosts_[Index];
    Host.Alive_ = true;
    Host.Run_ = Random_.next() | 1U;
    Host.Ticks_ = Random_.below(TicksPerHeartbeat);
    Host.HighestState_ = {};
    Host.HighestInForce_ = 0;
    Host.Random_ = std::make_unique<SeededRandom>(Random_.next());
    Host.Sync_ =
        From ? std::make_unique<ConfigSync>(Host.Options_, *Host.Random_, Now_,
                                            *From)
             : std::make_unique<ConfigSync>(Host.Options_, *Host.Random_, Now_);
    Host.View_ = std::make_unique<PeerView>(Host.Options_.Self_.Id_);
    ByAddress_[Host.Options_.Self_.Address_] = Index;
    schedule(Now_ + Duration(Random_.below(100'000)), Event{Kind::Tick, Index});
  }

  void stop(std::size_t Index) { Hosts_[Index].Alive_ = false; }

  /// Runs events until `End`, or until `Done` is true; checked each 10 ms.
  void run(Duration Span, const std::function<bool()> &Done = {}) {
    constexpr Duration Step = std::chrono::milliseconds(10);
    const TimePoint End = Now_ + Span;
    TimePoint NextCheck = Now_ + Step;
    while (Now_ < End) {
      if (Queue_.empty() || Queue_.top().At_ >= NextCheck) {
        Now_ = NextCheck;
        NextCheck += Step;
        if (Done && Done())
          return;
        continue;
      }
      const Event Next = Queue_.top();
      Queue_.pop();
      Now_ = Next.At_;
      handle(Next);
    }
  }

  /// Wakes the watches that a publication ends.
  void publish(std::uint64_t Version) {
    Platform_.publish(Version);
    wake();
  }

  void wake() {
    std::vector<Waiting> Still;
    for (const Waiting &Each : Waiting_) {
      const PlatformReply Reply =
          Platform_.reply(Each.Call_.Key_, true, Each.Call_.After_);
      if (Reply.Status_ == PlatformStatus::Unchanged)
        Still.push_back(Each);
      else
        answer(Each, Reply);
    }
    Waiting_ = std::move(Still);
  }

  std::size_t waitingWatches() const { return Waiting_.size(); }

  void resetTraffic() {
    Calls_ = 0;
    PeakCallsPerSecond_ = 0;
    for (SimHost &Host : Hosts_)
      Host.Traffic_ = {};
  }

  /// Brings one host up alone against the platform, for use as `From`.
  std::unique_ptr<ConfigSync> prototype(const ConfigSyncOptions &Options,
                                        SeededRandom &Random) const {
    std::unique_ptr<ConfigSync> Sync =
        std::make_unique<ConfigSync>(Options, Random, TimePoint());
    for (int Tick = 0; Tick < 100'000 && !Sync->isReady(TimePoint()); ++Tick) {
      const TimePoint At = TimePoint(Tick * ConfigTickPeriod);
      std::vector<PlatformCall> Calls = Sync->tick(At).Calls_;
      while (!Calls.empty()) {
        const PlatformCall Call = Calls.back();
        Calls.pop_back();
        for (const PlatformCall &More :
             Sync->onPlatformReply(
                     Platform_.reply(Call.Key_, Call.IsWatch_, Call.After_), At)
                 .Calls_)
          Calls.push_back(More);
      }
    }
    return Sync;
  }

private:
  enum class Kind { Tick, Message, Reply };

  struct Event {
    Kind Kind_ = Kind::Tick;
    std::size_t Host_ = 0;
    Incarnation Run_ = 0; ///< Of the receiver of a reply.
    std::shared_ptr<const std::string> Bytes_{};
    std::shared_ptr<const PlatformReply> Reply_{};
    TimePoint At_{};
    std::uint64_t Order_ = 0;
  };

  struct Later {
    bool operator()(const Event &Left, const Event &Right) const {
      return Left.At_ != Right.At_ ? Left.At_ > Right.At_
                                   : Left.Order_ > Right.Order_;
    }
  };

  struct Waiting {
    std::size_t Host_;
    Incarnation Run_;
    PlatformCall Call_;
    TimePoint End_;
  };

  void schedule(TimePoint At, Event Next) {
    if (Next.Kind_ == Kind::Tick)
      Next.Run_ = Hosts_[Next.Host_].Run_;
    Next.At_ = At;
    Next.Order_ = NextOrder_++;
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
    if (!Host.Alive_ || (Next.Run_ != 0 && Next.Run_ != Host.Run_))
      return;
    if (Next.Kind_ == Kind::Tick) {
      act(Next.Host_, Host.Sync_->tick(Now_));
      if (WithHeartbeats_)
        heartbeat(Next.Host_);
      endWatches();
      schedule(Now_ + ConfigTickPeriod, Event{Kind::Tick, Next.Host_});
    } else if (Next.Kind_ == Kind::Reply) {
      act(Next.Host_, Host.Sync_->onPlatformReply(*Next.Reply_, Now_));
    } else {
      receive(Next.Host_, *Next.Bytes_);
    }
    check(Host);
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
      ++Undecoded_;
      return;
    }
    if (const DigestMessage *Digest =
            std::get_if<DigestMessage>(&Message.Body_))
      act(Index, Host.Sync_->onDigest(Message.From_, *Digest, Now_));
    else if (const PullMessage *Pull = std::get_if<PullMessage>(&Message.Body_))
      act(Index, Host.Sync_->onPull(Message.From_, *Pull, Now_));
    else if (const PartMessage *Part = std::get_if<PartMessage>(&Message.Body_))
      act(Index, Host.Sync_->onPeerPart(Message.From_, *Part, Now_));
    else if (const HeartbeatMessage *Beat =
                 std::get_if<HeartbeatMessage>(&Message.Body_)) {
      Host.View_->onHeartbeat(Message.From_, Message.Incarnation_,
                              Message.Sequence_, *Beat, Now_);
      act(Index, Host.Sync_->onHeartbeat(Message.From_, Beat->Config_, Now_));
    }
  }

  void heartbeat(std::size_t Index) {
    SimHost &Host = Hosts_[Index];
    if (++Host.Ticks_ % TicksPerHeartbeat != 0)
      return;
    const HeartbeatMessage Beat =
        Host.View_->nextHeartbeat(1, false, Host.Sync_->state(), Now_);
    for (const std::size_t Mate : Host.Mates_)
      send(Index, Mate, Hosts_[Mate].Options_.Self_.Id_, Beat);
  }

  void act(std::size_t Index, const ConfigActions &Actions) {
    for (const PeerSend &Each : Actions.Sends_) {
      const std::map<Endpoint, std::size_t>::const_iterator It =
          ByAddress_.find(Each.To_);
      if (It != ByAddress_.end())
        send(Index, It->second, Each.ToId_, Each.Body_);
    }
    for (const PlatformCall &Call : Actions.Calls_)
      call(Index, Call);
  }

  void send(std::size_t From, std::size_t To, const HostId &ToId,
            const PeerBody &Body) {
    SimHost &Host = Hosts_[From];
    const std::shared_ptr<const std::string> Bytes =
        std::make_shared<const std::string>(encodePeerMessage(
            {Host.Options_.Self_.Id_, Host.Run_, ToId, NextSequence_++, Body}));
    ++Host.Traffic_.Messages_;
    Host.Traffic_.SentBytes_ += Bytes->size();
    if (!Hosts_[To].Alive_ || (IsLost_ && IsLost_(From, To)))
      return;
    Event Next{Kind::Message, To};
    Next.Bytes_ = Bytes;
    schedule(Now_ + latency(Host, Hosts_[To]), std::move(Next));
  }

  void call(std::size_t Index, const PlatformCall &Call) {
    ++Calls_;
    if (Now_ - CallWindow_ >= std::chrono::seconds(1)) {
      CallWindow_ = Now_;
      CallsInWindow_ = 0;
    }
    PeakCallsPerSecond_ = std::max(PeakCallsPerSecond_, ++CallsInWindow_);
    const Waiting Asked{Index, Hosts_[Index].Run_, Call, Now_ + Call.Wait_};
    const PlatformReply Reply =
        Platform_.reply(Call.Key_, Call.IsWatch_, Call.After_);
    if (Reply.Status_ == PlatformStatus::Unchanged)
      Waiting_.push_back(Asked);
    else
      answer(Asked, Reply);
  }

  void answer(const Waiting &Asked, PlatformReply Reply) {
    constexpr Duration PlatformLatency = std::chrono::milliseconds(5);
    if (AlterReply_)
      AlterReply_(Asked.Host_, Reply);
    Event Next{Kind::Reply, Asked.Host_};
    Next.Run_ = Asked.Run_;
    Next.Reply_ = std::make_shared<const PlatformReply>(std::move(Reply));
    schedule(Now_ + PlatformLatency, std::move(Next));
  }

  void endWatches() {
    for (std::size_t At = 0; At < Waiting_.size();) {
      if (Now_ < Waiting_[At].End_) {
        ++At;
        continue;
      }
      answer(Waiting_[At], PlatformReply{Waiting_[At].Call_.Key_,
                                         PlatformStatus::Unchanged, 0, "", 0});
      Waiting_.erase(Waiting_.begin() + static_cast<std::ptrdiff_t>(At));
    }
  }

  /// Counts each step back, of what is held and of what is in force.
  void check(SimHost &Host) {
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
  std::uint64_t NextOrder_ = 0;
  std::uint64_t NextSequence_ = 1;
  std::uint64_t CallsInWindow_ = 0;
  TimePoint CallWindow_{};
  std::priority_queue<Event, std::vector<Event>, Later> Queue_;
  std::vector<Waiting> Waiting_;
  std::map<Endpoint, std::size_t> ByAddress_;
};

} // namespace kumquatpitch::bench

#endif
