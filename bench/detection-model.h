// A small simulation in virtual time for the detection benchmark. It covers
// only callers, the hosts of one group, and the targets of the services that
// the group serves.

#ifndef KUMQUATPITCH_BENCH_DETECTION_MODEL_H
#define KUMQUATPITCH_BENCH_DETECTION_MODEL_H

#include "health-policy.h"

#include "kumquatpitch/random-source.h"

#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <queue>

namespace kumquatpitch::bench {

constexpr std::size_t HostCount = 3;
constexpr std::size_t NoHost = std::numeric_limits<std::size_t>::max();

/// A service and the load that is offered to it.
struct Workload {
  const char *Name_;
  DetectionProfile Profile_;
  std::uint32_t Targets_;
  std::uint32_t Slots_;
  std::uint32_t Floor_;
  double RatePerSecond_; ///< Requests offered to all hosts together.
  Duration Median_;      ///< Median service time of a target.
  Duration Deadline_;
};

struct ModelSettings {
  std::vector<Workload> Workloads_;
  Duration PeerDelay_{};
  Duration Tick_{};
};

/// An ejection that a host decided.
struct Ejection {
  std::size_t Host_ = 0;
  TargetKey Key_;
  TimePoint At_;
  /// The target was healthy and reachable from the host.
  bool IsFalse_ = false;
};

struct TargetModel {
  /// Fraction of the requests that are never answered.
  double StallFraction_ = 0;
  bool ProbeOk_ = true;
  TargetState State_ = TargetState::Serving;
  TimePoint ColdFrom_ = TimePoint::min();
  /// Ejections before this time are correct.
  TimePoint FaultyUntil_ = TimePoint::min();
  std::vector<bool> CutFrom_ = std::vector<bool>(HostCount, false);
  /// By host: connections opened before this time get no answers.
  std::vector<TimePoint> SilentBefore_ =
      std::vector<TimePoint>(HostCount, TimePoint::min());
};

class Model {
public:
  Model(const ModelSettings &Settings, std::size_t Policy, std::uint64_t Seed)
      : Settings_(Settings), Random_(Seed) {
    for (std::size_t S = 0; S < Settings.Workloads_.size(); ++S)
      Targets_.emplace_back(Settings.Workloads_[S].Targets_);
    for (std::size_t H = 0; H < HostCount; ++H)
      startHost(H, Policy);
    for (std::size_t S = 0; S < Targets_.size(); ++S)
      publish(S);
  }

  TimePoint now() const { return Now_; }
  const std::vector<Ejection> &ejections() const { return Ejections_; }
  std::uint64_t requests() const { return Requests_; }
  TargetModel &target(TargetKey Key) {
    return Targets_[Key.Service_][Key.Target_];
  }

  bool isUsable(std::size_t Host, TargetKey Key) const {
    return Hosts_[Host].Policy_->share(Key, Now_) > 0;
  }

  /// Schedules `Action`, for example the injection of a fault.
  void scheduleAt(TimePoint When, std::function<void()> Action) {
    Actions_.push_back(std::move(Action));
    push(When, {EventKind::Action, 0, {}, Actions_.size() - 1});
  }

  void run(TimePoint End) {
    while (!Events_.empty() && Events_.top().At_ <= End) {
      Event Next = Events_.top();
      Events_.pop();
      Now_ = std::max(Now_, Next.At_);
      if (Next.Kind_ != EventKind::Action &&
          Now_ < Hosts_[Next.Host_].PausedUntil_) {
        Next.At_ = Hosts_[Next.Host_].PausedUntil_;
        Events_.push(Next); // Unchanged Number_ preserves the order of events.
        continue;
      }
      handle(Next);
    }
    Now_ = End;
  }

  /// From now on the target leaves this fraction of its requests unanswered.
  void stall(TargetKey Key, double Fraction, bool ProbeOk) {
    TargetModel &Target = target(Key);
    Target.StallFraction_ = Fraction;
    Target.ProbeOk_ = ProbeOk;
    // Attempts that hung before the recovery still count as evidence for a
    // while, so an ejection within this period is correct.
    Target.FaultyUntil_ =
        Fraction > 0 ? TimePoint::max() : Now_ + EvidenceGrace;
    for (std::pair<const AttemptId, Attempt> &Entry : Attempts_)
      if (Fraction > 0 && Entry.second.Key_ == Key && uniform() < Fraction)
        Entry.second.IsHung_ = true;
  }

  /// The open connections from a host to the target stop answering; new
  /// connections work.
  void silenceConnections(TargetKey Key, std::size_t Host) {
    target(Key).SilentBefore_[Host] = Now_;
    hangMatching([&](const Attempt &Candidate) {
      return Candidate.Key_ == Key && Candidate.Host_ == Host;
    });
  }

  /// Cuts the network between a host and a target, or restores it.
  void cut(TargetKey Key, std::size_t Host, bool IsCut) {
    target(Key).CutFrom_[Host] = IsCut;
    if (IsCut)
      hangMatching([&](const Attempt &Candidate) {
        return Candidate.Key_ == Key && Candidate.Host_ == Host;
      });
  }

  void isolateHost(std::size_t Host, bool IsCut) {
    for (std::size_t S = 0; S < Targets_.size(); ++S)
      for (std::size_t T = 0; T < Targets_[S].size(); ++T)
        cut({S, T}, Host, IsCut);
    cutPeerTraffic(Host, IsCut);
  }

  void cutPeerTraffic(std::size_t Host, bool IsCut) {
    Hosts_[Host].PeerTrafficCut_ = IsCut;
  }

  void pause(std::size_t Host, Duration Length) {
    Hosts_[Host].PausedUntil_ =
        std::max(Hosts_[Host].PausedUntil_, Now_ + Length);
  }

  /// Sets the factors on the request rate and on service times, and the
  /// fraction of requests that targets refuse.
  void setLoad(double RateFactor, double LatencyFactor,
               double RefusedFraction) {
    RateFactor_ = RateFactor;
    LatencyFactor_ = LatencyFactor;
    RefusedFraction_ = RefusedFraction;
  }

  /// Restarts a target. An announced restart changes the target's state in the
  /// service entry; an unannounced one breaks the target's connections.
  void restart(TargetKey Key, bool IsAnnounced) {
    TargetModel &Target = target(Key);
    if (IsAnnounced) {
      Target.State_ = TargetState::Leaving;
      publish(Key.Service_);
      scheduleAt(Now_ + std::chrono::seconds(10), [this, Key] {
        target(Key).State_ = TargetState::Starting;
        publish(Key.Service_);
      });
      scheduleAt(Now_ + std::chrono::seconds(15), [this, Key] {
        target(Key).State_ = TargetState::Serving;
        target(Key).ColdFrom_ = Now_;
        publish(Key.Service_);
      });
      return;
    }
    Target.ColdFrom_ = Now_;
    for (std::pair<const AttemptId, Attempt> &Entry : Attempts_)
      if (Entry.second.Key_ == Key)
        Entry.second.IsBroken_ = true;
    for (HostModel &Host : Hosts_)
      Host.Links_[Key].OpenedAt_.reset();
  }

private:
  static constexpr Duration EvidenceGrace = std::chrono::seconds(10);

  enum class EventKind : std::uint8_t {
    Arrival,
    End,
    Tick,
    Probe,
    Report,
    Action
  };

  struct Event {
    EventKind Kind_ = EventKind::Action;
    std::size_t Host_ = 0;
    TargetKey Key_{};
    /// Identifies the attempt, action or message, depending on Kind_.
    std::uint64_t Value_ = 0;
    TimePoint At_{};
    std::uint64_t Number_ = 0;
    TimePoint Due_{};

    bool operator<(const Event &Right) const {
      return std::tie(Right.At_, Right.Number_) < std::tie(At_, Number_);
    }
  };

  struct Attempt {
    std::size_t Host_ = 0;
    TargetKey Key_;
    TimePoint Start_;
    TimePoint Deadline_;
    bool NewConnection_ = false;
    bool IsHung_ = false;
    bool IsBroken_ = false;
    bool IsRefused_ = false;
  };

  /// The slots of a host at one target, and its persistent connection to it.
  struct Link {
    std::uint32_t Slots_ = 0;
    std::uint32_t SlotsInUse_ = 0;
    std::optional<TimePoint> OpenedAt_;
  };

  struct HostModel {
    std::unique_ptr<HealthPolicy> Policy_;
    std::map<TargetKey, Link> Links_;
    /// Request deadlines, by service.
    std::vector<std::deque<TimePoint>> Queues_;
    TimePoint PausedUntil_ = TimePoint::min();
    bool PeerTrafficCut_ = false;
  };

  struct PeerMessage {
    std::size_t From_ = 0;
    TargetEvidence Evidence_;
  };

  double uniform() {
    return static_cast<double>(Random_.next() >> 11) * 0x1.0p-53;
  }
  double exponential() { return -std::log(1 - uniform()); }

  void push(TimePoint When, Event Next) {
    Next.At_ = Next.Due_ = When;
    Next.Number_ = NextNumber_++;
    Events_.push(Next);
  }

  void startHost(std::size_t H, std::size_t Policy) {
    HostModel &Host = Hosts_[H];
    Host.Policy_ = makePolicy(Policy);
    Host.Queues_.resize(Targets_.size());
    for (std::size_t S = 0; S < Targets_.size(); ++S) {
      for (std::size_t T = 0; T < Targets_[S].size(); ++T) {
        Link &HostLink = Host.Links_[{S, T}];
        for (std::uint32_t I = 0; I < Settings_.Workloads_[S].Slots_; ++I)
          HostLink.Slots_ += (T + I) % HostCount == H ? 1 : 0;
        if (HostLink.Slots_ > 0)
          push(Now_ + milliseconds(1000 * uniform()),
               {EventKind::Probe, H, {S, T}});
      }
      push(Now_, {EventKind::Arrival, H, {S, 0}});
    }
    push(Now_ + milliseconds(toMilliseconds(Settings_.Tick_) * uniform()),
         {EventKind::Tick, H});
  }

  static Duration milliseconds(double Count) {
    return Duration(static_cast<Duration::rep>(Count * 1000));
  }

  void publish(std::size_t Service) {
    const Workload &Offered = Settings_.Workloads_[Service];
    ServiceEntry Entry;
    Entry.Service_ = ServiceName(Offered.Name_);
    Entry.FloorTargets_ = Offered.Floor_;
    Entry.Profile_ = Offered.Profile_;
    for (std::size_t T = 0; T < Offered.Targets_; ++T) {
      Entry.Targets_.push_back({});
      Entry.Targets_.back().Id_ = idOf(T);
      Entry.Targets_.back().Slots_ = Offered.Slots_;
      Entry.Targets_.back().State_ = Targets_[Service][T].State_;
    }
    for (HostModel &Host : Hosts_) {
      std::map<TargetId, std::uint32_t> Slots;
      for (std::size_t T = 0; T < Offered.Targets_; ++T)
        if (Host.Links_[{Service, T}].Slots_ > 0)
          Slots[idOf(T)] = Host.Links_[{Service, T}].Slots_;
      Host.Policy_->setEntry(Service, Entry, Slots, Now_);
    }
  }

  template <class Predicate> void hangMatching(const Predicate &Matches) {
    for (std::pair<const AttemptId, Attempt> &Entry : Attempts_)
      Entry.second.IsHung_ = Entry.second.IsHung_ || Matches(Entry.second);
  }

  void handle(const Event &Next) {
    switch (Next.Kind_) {
    case EventKind::Arrival:
      return arrive(Next);
    case EventKind::End:
      return end(Next.Value_);
    case EventKind::Tick:
      return tick(Next);
    case EventKind::Probe:
      return probe(Next);
    case EventKind::Report: {
      const PeerMessage Message = Messages_[Next.Value_];
      Messages_.erase(Next.Value_);
      return Hosts_[Next.Host_].Policy_->peerReport(Message.From_, Next.Key_,
                                                    Message.Evidence_, Now_);
    }
    case EventKind::Action:
      return Actions_[Next.Value_]();
    }
  }

  // Defined in detection-model-run.h.
  void arrive(const Event &Next);
  void dispatch(std::size_t H, std::size_t Service);
  std::size_t pick(std::size_t H, std::size_t Service);
  void start(std::size_t H, TargetKey Key, TimePoint Deadline);
  Duration latency(TargetKey Key);
  void end(AttemptId Id);
  void finish(AttemptId Id, const Attempt &Ended, AttemptEnd End);
  void tick(const Event &Next);
  void apply(std::size_t H, const Decision &HostDecision);
  void probe(const Event &Next);

  static constexpr std::size_t MaxQueueLength = 50;
  static constexpr std::size_t NoTarget = NoHost;

  ModelSettings Settings_;
  SeededRandom Random_;
  TimePoint Now_;
  std::priority_queue<Event> Events_;
  std::uint64_t NextNumber_ = 0;
  std::vector<std::function<void()>> Actions_;
  std::vector<std::vector<TargetModel>> Targets_;
  std::vector<HostModel> Hosts_ = std::vector<HostModel>(HostCount);
  std::map<AttemptId, Attempt> Attempts_;
  AttemptId NextAttempt_ = 1;
  std::map<std::uint64_t, PeerMessage> Messages_;
  std::uint64_t NextMessage_ = 0;
  std::vector<std::size_t> Candidates_;
  double RateFactor_ = 1;
  double LatencyFactor_ = 1;
  double RefusedFraction_ = 0;
  std::vector<Ejection> Ejections_;
  std::uint64_t Requests_ = 0;
};

} // namespace kumquatpitch::bench

#include "detection-model-run.h"

#endif
