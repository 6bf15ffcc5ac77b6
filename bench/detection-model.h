// A small model in virtual time for the detection benchmark: callers, the hosts
// of one group, and the targets of the services that the group serves. It
// models nothing else of the system.

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

/// A service and the work that it is offered.
struct Workload {
  const char *Name_;
  DetectionProfile Profile_;
  std::uint32_t Targets_;
  std::uint32_t Slots_;
  std::uint32_t Floor_;
  double RatePerSecond_; ///< Over all hosts.
  Duration Median_;      ///< Of the time that a target takes.
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
  bool False_ = false; ///< The target was well and reachable from the host.
};

struct TargetModel {
  double StallPart_ = 0; ///< Part of the requests that are never answered.
  bool ProbeOk_ = true;
  TargetState State_ = TargetState::Serving;
  TimePoint ColdFrom_ = TimePoint::min();
  TimePoint SickUntil_ = TimePoint::min(); ///< Ejections until then are right.
  std::vector<bool> CutFrom_ = std::vector<bool>(HostCount, false);
  /// By host: connections that were opened earlier are silent.
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

  /// Runs `Change` at a time; faults are such changes.
  void at(TimePoint When, std::function<void()> Change) {
    Changes_.push_back(std::move(Change));
    push(When, {EventKind::Change, 0, {}, Changes_.size() - 1});
  }

  void run(TimePoint End) {
    while (!Events_.empty() && Events_.top().At_ <= End) {
      Event Next = Events_.top();
      Events_.pop();
      Now_ = std::max(Now_, Next.At_);
      if (Next.Kind_ != EventKind::Change &&
          Now_ < Hosts_[Next.Host_].PausedUntil_) {
        Next.At_ = Hosts_[Next.Host_].PausedUntil_;
        Events_.push(Next); // Keeps its number, and so the order.
        continue;
      }
      handle(Next);
    }
    Now_ = End;
  }

  /// The target stalls this part of its requests from now on.
  void stall(TargetKey Key, double Part, bool ProbeOk) {
    TargetModel &Of = target(Key);
    Of.StallPart_ = Part;
    Of.ProbeOk_ = ProbeOk;
    // What hung before is still evidence for a while.
    Of.SickUntil_ = Part > 0 ? TimePoint::max() : Now_ + Grace;
    for (std::pair<const AttemptId, Attempt> &Each : Attempts_)
      if (Part > 0 && Each.second.Key_ == Key && unit() < Part)
        Each.second.Hung_ = true;
  }

  /// A host's connections to the target go silent; new ones work.
  void silence(TargetKey Key, std::size_t Host) {
    target(Key).SilentBefore_[Host] = Now_;
    hangIf([&](const Attempt &Each) {
      return Each.Key_ == Key && Each.Host_ == Host;
    });
  }

  /// Cuts a host from a target, or restores it.
  void cut(TargetKey Key, std::size_t Host, bool Cut) {
    target(Key).CutFrom_[Host] = Cut;
    if (Cut)
      hangIf([&](const Attempt &Each) {
        return Each.Key_ == Key && Each.Host_ == Host;
      });
  }

  void cutHost(std::size_t Host, bool Cut) {
    for (std::size_t S = 0; S < Targets_.size(); ++S)
      for (std::size_t T = 0; T < Targets_[S].size(); ++T)
        cut({S, T}, Host, Cut);
    cutPeer(Host, Cut);
  }

  void cutPeer(std::size_t Host, bool Cut) { Hosts_[Host].PeersCut_ = Cut; }

  void pause(std::size_t Host, Duration Length) {
    Hosts_[Host].PausedUntil_ =
        std::max(Hosts_[Host].PausedUntil_, Now_ + Length);
  }

  /// Multiplies offered work and service times.
  void setLoad(double Rate, double Latency, double Refused) {
    RateFactor_ = Rate;
    LatencyFactor_ = Latency;
    RefusedPart_ = Refused;
  }

  /// A restart; announced by the entry or not. Its connections break.
  void restart(TargetKey Key, bool Announced) {
    TargetModel &Of = target(Key);
    if (Announced) {
      Of.State_ = TargetState::Leaving;
      publish(Key.Service_);
      at(Now_ + std::chrono::seconds(10), [this, Key] {
        target(Key).State_ = TargetState::Starting;
        publish(Key.Service_);
      });
      at(Now_ + std::chrono::seconds(15), [this, Key] {
        target(Key).State_ = TargetState::Serving;
        target(Key).ColdFrom_ = Now_;
        publish(Key.Service_);
      });
      return;
    }
    Of.ColdFrom_ = Now_;
    for (std::pair<const AttemptId, Attempt> &Each : Attempts_)
      if (Each.second.Key_ == Key)
        Each.second.Broken_ = true;
    for (HostModel &Each : Hosts_)
      Each.Links_[Key].Opened_.reset();
  }

private:
  static constexpr Duration Grace = std::chrono::seconds(10);

  enum class EventKind : std::uint8_t {
    Arrival,
    End,
    Tick,
    Probe,
    Report,
    Change
  };

  struct Event {
    EventKind Kind_ = EventKind::Change;
    std::size_t Host_ = 0;
    TargetKey Key_{};
    std::uint64_t Value_ = 0; ///< Attempt, change, or index of a report.
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
    bool Hung_ = false;
    bool Broken_ = false;
    bool Refused_ = false;
  };

  /// A host's slots and kept connection at one target.
  struct Link {
    std::uint32_t Slots_ = 0;
    std::uint32_t Busy_ = 0;
    std::optional<TimePoint> Opened_;
  };

  struct HostModel {
    std::unique_ptr<HealthPolicy> Policy_;
    std::map<TargetKey, Link> Links_;
    std::vector<std::deque<TimePoint>> Queues_; ///< Deadlines, by service.
    TimePoint PausedUntil_ = TimePoint::min();
    bool PeersCut_ = false;
  };

  struct PeerMessage {
    std::size_t From_ = 0;
    TargetEvidence Evidence_;
  };

  double unit() {
    return static_cast<double>(Random_.next() >> 11) * 0x1.0p-53;
  }
  double exponential() { return -std::log(1 - unit()); }

  void push(TimePoint When, Event Next) {
    Next.At_ = Next.Due_ = When;
    Next.Number_ = NextNumber_++;
    Events_.push(Next);
  }

  void startHost(std::size_t H, std::size_t Policy) {
    HostModel &Each = Hosts_[H];
    Each.Policy_ = makePolicy(Policy);
    Each.Queues_.resize(Targets_.size());
    for (std::size_t S = 0; S < Targets_.size(); ++S) {
      for (std::size_t T = 0; T < Targets_[S].size(); ++T) {
        Link &At = Each.Links_[{S, T}];
        for (std::uint32_t I = 0; I < Settings_.Workloads_[S].Slots_; ++I)
          At.Slots_ += (T + I) % HostCount == H ? 1 : 0;
        if (At.Slots_ > 0)
          push(Now_ + milliseconds(1000 * unit()),
               {EventKind::Probe, H, {S, T}});
      }
      push(Now_, {EventKind::Arrival, H, {S, 0}});
    }
    push(Now_ + milliseconds(toMilliseconds(Settings_.Tick_) * unit()),
         {EventKind::Tick, H});
  }

  static Duration milliseconds(double Count) {
    return Duration(static_cast<Duration::rep>(Count * 1000));
  }

  void publish(std::size_t Service) {
    const Workload &Of = Settings_.Workloads_[Service];
    ServiceEntry Entry;
    Entry.Service_ = ServiceName(Of.Name_);
    Entry.FloorTargets_ = Of.Floor_;
    Entry.Profile_ = Of.Profile_;
    for (std::size_t T = 0; T < Of.Targets_; ++T) {
      Entry.Targets_.push_back({});
      Entry.Targets_.back().Id_ = idOf(T);
      Entry.Targets_.back().Slots_ = Of.Slots_;
      Entry.Targets_.back().State_ = Targets_[Service][T].State_;
    }
    for (HostModel &Each : Hosts_) {
      std::map<TargetId, std::uint32_t> Slots;
      for (std::size_t T = 0; T < Of.Targets_; ++T)
        if (Each.Links_[{Service, T}].Slots_ > 0)
          Slots[idOf(T)] = Each.Links_[{Service, T}].Slots_;
      Each.Policy_->setEntry(Service, Entry, Slots, Now_);
    }
  }

  template <class Predicate> void hangIf(const Predicate &Hangs) {
    for (std::pair<const AttemptId, Attempt> &Each : Attempts_)
      Each.second.Hung_ = Each.second.Hung_ || Hangs(Each.second);
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
    case EventKind::Change:
      return Changes_[Next.Value_]();
    }
  }

  // Defined in detection-model-run.h.
  void arrive(const Event &Next);
  void dispatch(std::size_t H, std::size_t Service);
  std::size_t pick(std::size_t H, std::size_t Service);
  void start(std::size_t H, TargetKey Key, TimePoint Deadline);
  Duration latency(TargetKey Key);
  void end(AttemptId Id);
  void finish(AttemptId Id, const Attempt &Done, AttemptEnd End);
  void tick(const Event &Next);
  void apply(std::size_t H, const Decision &Made);
  void probe(const Event &Next);

  static constexpr std::size_t MaxQueue = 50;
  static constexpr std::size_t NoTarget = NoHost;

  ModelSettings Settings_;
  SeededRandom Random_;
  TimePoint Now_;
  std::priority_queue<Event> Events_;
  std::uint64_t NextNumber_ = 0;
  std::vector<std::function<void()>> Changes_;
  std::vector<std::vector<TargetModel>> Targets_;
  std::vector<HostModel> Hosts_ = std::vector<HostModel>(HostCount);
  std::map<AttemptId, Attempt> Attempts_;
  AttemptId NextAttempt_ = 1;
  std::map<std::uint64_t, PeerMessage> Messages_;
  std::uint64_t NextMessage_ = 0;
  std::vector<std::size_t> Candidates_;
  double RateFactor_ = 1;
  double LatencyFactor_ = 1;
  double RefusedPart_ = 0;
  std::vector<Ejection> Ejections_;
  std::uint64_t Requests_ = 0;
};

} // namespace kumquatpitch::bench

#include "detection-model-run.h"

#endif
