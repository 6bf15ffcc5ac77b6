// A fleet of LimitPeers in virtual time, with links that delay and lose
// messages. Counts the requests of one workspace that get a token.

#ifndef KUMQUATPITCH_LIMIT_FLEET_H
#define KUMQUATPITCH_LIMIT_FLEET_H

#include "kumquatpitch/admission/limit-peer.h"
#include "kumquatpitch/random-source.h"

#include "manual-time.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <string>

namespace kumquatpitch::test {

class LimitFleet {
public:
  LimitFleet(std::size_t Hosts, double Rate, double Burst, double LossShare,
             std::uint64_t Seed = 7)
      : LossShare_(LossShare), Random_(Seed) {
    Workspace_.Name_ = WorkspaceName("orchid");
    Workspace_.RatePerSecond_ = Rate;
    Workspace_.Burst_ = Burst;
    Nodes_.resize(Hosts);
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      restart(Index);
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      tellMembers(Index);
    advance(ms(5'000));
  }

  /// Starts a new incarnation of a host.
  void restart(std::size_t Index) {
    Node &Host = Nodes_[Index];
    Host.IsRunning_ = true;
    Host.IsSuspended_ = false;
    Host.Unhandled_.clear();
    ++Host.Life_;
    Host.Peer_.reset();
    Host.Limits_ = std::make_unique<WorkspaceLimits>();
    Host.Peer_ = std::make_unique<LimitPeer>(
        id(Index), Host.Life_,
        LimitTolerance{std::chrono::seconds(5), 0.25, 20}, true, *Host.Limits_);
    setLimit(Index, Workspace_.RatePerSecond_, Workspace_.Burst_);
    tellMembers(Index);
  }

  void kill(std::size_t Index) { Nodes_[Index].IsRunning_ = false; }

  /// Suspends a host or wakes it. What arrives meanwhile is handled then.
  void setSuspended(std::size_t Index, bool IsSuspended) {
    Nodes_[Index].IsSuspended_ = IsSuspended;
    if (!IsSuspended)
      for (LimitMessage &Message : std::exchange(Nodes_[Index].Unhandled_, {}))
        send(Index, Nodes_[Index].Peer_->receive(Message, Now_));
  }

  bool isRunning(std::size_t Index) const { return Nodes_[Index].IsRunning_; }

  /// Puts a host on one side of a split; hosts of different sides lose each
  /// other's messages.
  void setSide(std::size_t Index, int Side) { Nodes_[Index].Side_ = Side; }

  /// Tells all hosts what they would learn by probes: the others that run on
  /// their own side are serving, all others are lost.
  void detect() {
    for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
      tellMembers(Index);
  }

  void setLimit(std::size_t Index, double Rate, double Burst) {
    Nodes_[Index].Peer_->setLimits(
        {{limitKeyOf(Workspace_.Name_), WorkspaceLimit{Rate, Burst}}}, Now_);
  }

  void advance(Duration Span) {
    const TimePoint End = Now_ + Span;
    while (Now_ < End) {
      Now_ += ms(1);
      deliverDue();
      for (std::size_t Index = 0; Index < Nodes_.size(); ++Index)
        // Hosts tick at different times.
        if (isActive(Index) && (toMilliseconds(Now_ - atMs(0)) +
                                static_cast<std::int64_t>(Index) * 7) %
                                       toMilliseconds(LimitPeerPeriod) ==
                                   0)
          send(Index, Nodes_[Index].Peer_->tick(Now_));
      collect();
    }
  }

  /// Plays `Span` with Poisson arrivals of `PerSecond` at hosts that `Choose`
  /// picks.
  template <class Chooser>
  void play(Duration Span, double PerSecond, Chooser Choose) {
    const TimePoint End = Now_ + Span;
    while (Now_ < End) {
      advance(ms(1));
      for (double Expected = PerSecond / 1'000; Expected > 0; Expected -= 1)
        if (uniform() < Expected)
          arrive(Choose());
    }
  }

  void arrive(std::size_t Index) {
    Node &Host = Nodes_[Index];
    if (!isActive(Index))
      return;
    const LimitDecision Decision = Host.Limits_->arrive(Workspace_, Now_);
    if (std::holds_alternative<LimitToken>(Decision))
      Ran_.push_back(Now_);
    else if (std::holds_alternative<GatewayRefusal>(Decision))
      ++Refused_;
    send(Index, Host.Peer_->tokenNeeded(Now_));
    collect();
  }

  std::size_t random(std::size_t Bound) { return Random_.below(Bound); }
  std::size_t size() const { return Nodes_.size(); }
  TimePoint now() const { return Now_; }

  std::size_t ranSince(TimePoint From) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Ran_, [&](TimePoint At) { return At > From; }));
  }

  /// The most requests that ran in any span of `Window`.
  std::size_t mostInWindow(Duration Window) const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Ran_.size(); ++Last) {
      while (Ran_[Last] - Ran_[First] >= Window)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  /// Sum of the parts that are in use.
  double totalShare() const {
    double Sum = 0;
    for (const Node &Host : Nodes_)
      Sum += Host.IsRunning_ ? Host.Peer_->share(Now_) : 0;
    return Sum;
  }

  std::size_t messages() const { return Messages_; }

private:
  struct Node {
    std::unique_ptr<WorkspaceLimits> Limits_;
    std::unique_ptr<LimitPeer> Peer_;
    Incarnation Life_ = 0;
    bool IsRunning_ = false;
    bool IsSuspended_ = false;
    std::vector<LimitMessage> Unhandled_;
    int Side_ = 0;
  };

  struct InFlight {
    TimePoint At_;
    std::uint64_t Order_ = 0;
    std::size_t To_ = 0;
    LimitMessage Message_;

    bool operator<(const InFlight &Other) const {
      return std::tie(Other.At_, Other.Order_) < std::tie(At_, Order_);
    }
  };

  bool isActive(std::size_t Index) const {
    return Nodes_[Index].IsRunning_ && !Nodes_[Index].IsSuspended_;
  }

  static HostId id(std::size_t Index) {
    return HostId("edge-" + std::to_string(1'000 + Index));
  }

  double uniform() {
    return static_cast<double>(Random_.below(1U << 30)) / (1U << 30);
  }

  void tellMembers(std::size_t Index) {
    std::vector<Member> Members;
    for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
      Member Host;
      Host.Id_ = id(Other);
      Host.Processor_ = 100;
      const bool IsSeen = Nodes_[Other].IsRunning_ &&
                          Nodes_[Other].Side_ == Nodes_[Index].Side_;
      Host.State_ = IsSeen ? MemberState::Serving : MemberState::Lost;
      Members.push_back(Host);
    }
    if (Nodes_[Index].Peer_)
      Nodes_[Index].Peer_->setMembers(Members, Now_);
  }

  void send(std::size_t From, std::vector<AddressedLimitMessage> Sent) {
    for (AddressedLimitMessage &Entry : Sent) {
      const std::size_t To = std::stoul(Entry.To_.str().substr(5)) - 1'000;
      ++Messages_;
      if (Nodes_[From].Side_ != Nodes_[To].Side_ || uniform() < LossShare_)
        continue;
      // Some messages are doubled, and some copies are late.
      for (std::size_t Copy = 0; Copy == 0 || uniform() < LossShare_; ++Copy)
        InFlight_.push({Now_ + ms(1 + static_cast<std::int64_t>(random(
                                          Copy == 0 ? 3 : LatestCopyMs))),
                        ++Order_, To, Entry.Message_});
    }
  }

  void deliverDue() {
    while (!InFlight_.empty() && InFlight_.top().At_ <= Now_) {
      const InFlight Next = InFlight_.top();
      InFlight_.pop();
      if (Nodes_[Next.To_].IsSuspended_)
        Nodes_[Next.To_].Unhandled_.push_back(Next.Message_);
      else if (Nodes_[Next.To_].IsRunning_)
        send(Next.To_, Nodes_[Next.To_].Peer_->receive(Next.Message_, Now_));
    }
  }

  void collect() {
    for (std::size_t Index = 0; Index < Nodes_.size(); ++Index) {
      if (!isActive(Index))
        continue;
      for (const EndedTokenWait &Wait :
           Nodes_[Index].Limits_->takeEnded(Now_)) {
        if (std::holds_alternative<LimitToken>(Wait.End_))
          Ran_.push_back(Now_);
        else
          ++Refused_;
      }
    }
  }

  static constexpr std::size_t LatestCopyMs = 2'000;

  double LossShare_;
  WorkspaceSettings Workspace_;
  std::vector<Node> Nodes_;
  std::priority_queue<InFlight> InFlight_;
  std::uint64_t Order_ = 0;
  TimePoint Now_ = atMs(0);
  SeededRandom Random_;
  std::vector<TimePoint> Ran_;
  std::size_t Refused_ = 0;
  std::size_t Messages_ = 0;
};

} // namespace kumquatpitch::test

#endif
