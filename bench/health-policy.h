// The policies by which a host of the detection benchmark ejects targets: the
// components of the system itself, and three baselines for comparison.

#ifndef KUMQUATPITCH_BENCH_HEALTH_POLICY_H
#define KUMQUATPITCH_BENCH_HEALTH_POLICY_H

#include "kumquatpitch/host-fault-monitor.h"
#include "kumquatpitch/target-health.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpitch::bench {

/// Identifies a target by the index of its service and its index there.
struct TargetKey {
  std::size_t Service_ = 0;
  std::size_t Target_ = 0;

  std::strong_ordering operator<=>(const TargetKey &) const = default;
};

enum class DecisionKind : std::uint8_t { Eject, CloseConnections };

struct Decision {
  DecisionKind Kind_ = DecisionKind::Eject;
  TargetKey Key_;
  TimePoint OpenedBefore_;          ///< For CloseConnections.
  std::vector<AttemptId> Attempts_; ///< For CloseConnections.
};

/// Decides for one host which targets of its services to eject and which of
/// its connections to close.
class HealthPolicy {
public:
  virtual ~HealthPolicy() = default;

  virtual void setEntry(std::size_t Service, const ServiceEntry &Entry,
                        const std::map<TargetId, std::uint32_t> &OwnSlots,
                        TimePoint Now) = 0;
  virtual void started(TargetKey, AttemptId, bool, TimePoint) {}
  virtual void ended(TargetKey, AttemptId, const AttemptReport &, TimePoint) {}
  virtual void probeEnded(TargetKey, bool, TimePoint) {}
  virtual std::vector<Decision> tick(TimePoint Expected, TimePoint Now) = 0;
  /// The fraction of its normal share of requests that a target gets; 0 when
  /// it is not usable.
  virtual double share(TargetKey Key, TimePoint Now) const = 0;
  virtual bool wantsNewConnection(TargetKey, TimePoint) const { return false; }
  virtual std::map<TargetKey, TargetEvidence> reports(TimePoint) { return {}; }
  virtual void peerReport(std::size_t, TargetKey, const TargetEvidence &,
                          TimePoint) {}
};

inline TargetId idOf(std::size_t Target) {
  return TargetId((Target < 10 ? "t0" : "t") + std::to_string(Target));
}

inline std::size_t indexOf(const TargetId &Id) {
  return std::stoul(Id.str().substr(1));
}

/// Uses the components of the system, combined in the same way as in
/// HostCore.
class SystemPolicy : public HealthPolicy {
public:
  void setEntry(std::size_t Service, const ServiceEntry &Entry,
                const std::map<TargetId, std::uint32_t> &OwnSlots,
                TimePoint Now) override {
    Services_.resize(std::max(Services_.size(), Service + 1));
    Names_.resize(Services_.size());
    Names_[Service] = Entry.Service_;
    Services_[Service].setEntry(Entry, OwnSlots, Now);
    TargetCounts_[Entry.Service_] = OwnSlots.size();
    Monitor_.setServices(TargetCounts_);
  }

  void started(TargetKey Key, AttemptId Attempt, bool NewConnection,
               TimePoint Now) override {
    Services_[Key.Service_].attemptStarted(idOf(Key.Target_), Attempt,
                                           NewConnection, Now);
  }

  void ended(TargetKey Key, AttemptId Attempt, const AttemptReport &Report,
             TimePoint Now) override {
    Services_[Key.Service_].attemptEnded(idOf(Key.Target_), Attempt, Report,
                                         Now);
  }

  void probeEnded(TargetKey Key, bool Ok, TimePoint Now) override {
    Services_[Key.Service_].probeEnded(idOf(Key.Target_), Ok, Now);
  }

  std::vector<Decision> tick(TimePoint Expected, TimePoint Now) override {
    Monitor_.timerFired(Expected, Now);
    std::vector<Decision> Decisions;
    for (std::size_t S = 0; S < Services_.size(); ++S) {
      if (Monitor_.suspectedHostFault(Now))
        break;
      for (const HealthChange &Change : Services_[S].evaluate(Now))
        addDecision(S, Change, Decisions);
      for (const TargetId &Suspect : Services_[S].suspects())
        Monitor_.recordSuspectTarget(Names_[S], Suspect, Now);
    }
    if (Monitor_.suspectedHostFault(Now))
      for (TargetHealth &Service : Services_)
        Service.clearEvidence(Now);
    return Decisions;
  }

  double share(TargetKey Key, TimePoint Now) const override {
    return Services_[Key.Service_].rampShare(idOf(Key.Target_), Now);
  }

  bool wantsNewConnection(TargetKey Key, TimePoint Now) const override {
    return Services_[Key.Service_].wantsNewConnection(idOf(Key.Target_), Now);
  }

  std::map<TargetKey, TargetEvidence> reports(TimePoint Now) override {
    std::map<TargetKey, TargetEvidence> Reports;
    for (std::size_t S = 0; S < Services_.size(); ++S)
      for (const std::pair<const TargetId, TargetEvidence> &Entry :
           Services_[S].evidenceToReport(Now))
        Reports[{S, indexOf(Entry.first)}] = Entry.second;
    return Reports;
  }

  void peerReport(std::size_t From, TargetKey Key,
                  const TargetEvidence &Evidence, TimePoint Now) override {
    Services_[Key.Service_].peerReport(HostId("h" + std::to_string(From)),
                                       idOf(Key.Target_), Evidence, Now);
  }

private:
  void addDecision(std::size_t Service, const HealthChange &Change,
                   std::vector<Decision> &Decisions) {
    const TargetKey Key{Service, indexOf(Change.Target_)};
    if (Change.Kind_ == HealthChangeKind::Ejected)
      Decisions.push_back({DecisionKind::Eject, Key, {}, {}});
    if (Change.Kind_ == HealthChangeKind::CloseConnections)
      Decisions.push_back({DecisionKind::CloseConnections, Key,
                           Change.Silent_->OpenedBefore_,
                           Change.Silent_->Attempts_});
  }

  std::vector<TargetHealth> Services_;
  std::vector<ServiceName> Names_;
  std::map<ServiceName, std::size_t> TargetCounts_;
  HostFaultMonitor Monitor_;
};

/// Base of the baselines: ejections last a fixed time, and at most half of the
/// targets of a service are ejected at once.
class BaselinePolicy : public HealthPolicy {
public:
  static constexpr Duration EjectionTime = std::chrono::seconds(30);

  void setEntry(std::size_t Service, const ServiceEntry &Entry,
                const std::map<TargetId, std::uint32_t> &OwnSlots,
                TimePoint) override {
    TargetCounts_[Service] = OwnSlots.size();
    for (const Target &Listed : Entry.Targets_)
      Targets_[{Service, indexOf(Listed.Id_)}].IsServing_ =
          Listed.State_ == TargetState::Serving;
  }

  std::vector<Decision> tick(TimePoint, TimePoint Now) override {
    std::vector<Decision> Decisions;
    for (std::pair<const TargetKey, State> &Entry : Targets_) {
      State &Target = Entry.second;
      if (Target.IsEjected_ && Now >= Target.EjectedUntil_)
        Target = State{Target.IsServing_};
      if (Target.IsEjected_ || !Target.IsServing_ || !shouldEject(Target) ||
          2 * (ejectedCount(Entry.first.Service_) + 1) >
              TargetCounts_[Entry.first.Service_])
        continue;
      Target.IsEjected_ = true;
      Target.EjectedUntil_ = Now + EjectionTime;
      Decisions.push_back({DecisionKind::Eject, Entry.first, {}, {}});
    }
    return Decisions;
  }

  double share(TargetKey Key, TimePoint) const override {
    const State &Target = Targets_.at(Key);
    return Target.IsServing_ && !Target.IsEjected_ ? 1 : 0;
  }

protected:
  struct State {
    bool IsServing_ = true;
    bool IsEjected_ = false;
    TimePoint EjectedUntil_{};
    unsigned ConsecutiveFailures_ = 0;
    unsigned Successes_ = 0;
    unsigned Requests_ = 0;
    bool IsOutlier_ = false;
  };

  virtual bool shouldEject(const State &Target) const = 0;

  static bool isError(const AttemptReport &Report) {
    return Report.End_ != AttemptEnd::Refused &&
           (Report.End_ != AttemptEnd::Answered || Report.HttpStatus_ >= 500);
  }

  std::map<TargetKey, State> Targets_;
  /// By service: number of targets at which this host has slots.
  std::map<std::size_t, std::size_t> TargetCounts_;

private:
  std::size_t ejectedCount(std::size_t Service) const {
    return std::count_if(
        Targets_.begin(), Targets_.end(), [&](const auto &Entry) {
          return Entry.first.Service_ == Service && Entry.second.IsEjected_;
        });
  }
};

/// Ejects a target after five consecutive errors.
class ConsecutiveErrorsPolicy : public BaselinePolicy {
public:
  void ended(TargetKey Key, AttemptId, const AttemptReport &Report,
             TimePoint) override {
    State &Target = Targets_[Key];
    Target.ConsecutiveFailures_ =
        isError(Report) ? Target.ConsecutiveFailures_ + 1 : 0;
  }

protected:
  bool shouldEject(const State &Target) const override {
    return Target.ConsecutiveFailures_ >= 5;
  }
};

/// Ejects a target after two consecutive failed health checks.
class HealthCheckPolicy : public BaselinePolicy {
public:
  void probeEnded(TargetKey Key, bool Ok, TimePoint) override {
    State &Target = Targets_[Key];
    Target.ConsecutiveFailures_ = Ok ? 0 : Target.ConsecutiveFailures_ + 1;
  }

protected:
  bool shouldEject(const State &Target) const override {
    return Target.ConsecutiveFailures_ >= 2;
  }
};

/// Every 10 s ejects the targets whose success rate is more than 1.9 standard
/// deviations below the mean. Only targets with at least five requests count,
/// and at least three such targets are needed.
class SuccessRatePolicy : public BaselinePolicy {
public:
  void ended(TargetKey Key, AttemptId, const AttemptReport &Report,
             TimePoint) override {
    State &Target = Targets_[Key];
    ++Target.Requests_;
    Target.Successes_ += isError(Report) ? 0 : 1;
  }

  std::vector<Decision> tick(TimePoint Expected, TimePoint Now) override {
    if (Now - IntervalStart_ >= std::chrono::seconds(10)) {
      IntervalStart_ = Now;
      for (const std::pair<const std::size_t, std::size_t> &Service :
           TargetCounts_)
        markOutliers(Service.first);
    }
    const std::vector<Decision> Decisions = BaselinePolicy::tick(Expected, Now);
    for (std::pair<const TargetKey, State> &Entry : Targets_)
      Entry.second.IsOutlier_ = false;
    return Decisions;
  }

protected:
  bool shouldEject(const State &Target) const override {
    return Target.IsOutlier_;
  }

private:
  void markOutliers(std::size_t Service) {
    std::vector<std::pair<State *, double>> Rates;
    double Sum = 0;
    for (std::pair<const TargetKey, State> &Entry : Targets_) {
      State &Target = Entry.second;
      if (Entry.first.Service_ != Service)
        continue;
      if (Target.Requests_ >= 5) {
        Rates.emplace_back(&Target, 1.0 * Target.Successes_ / Target.Requests_);
        Sum += Rates.back().second;
      }
      Target.Requests_ = Target.Successes_ = 0;
    }
    if (Rates.size() < 3)
      return;
    const double Count = static_cast<double>(Rates.size());
    const double Mean = Sum / Count;
    double Squares = 0;
    for (const std::pair<State *, double> &Rate : Rates)
      Squares += (Rate.second - Mean) * (Rate.second - Mean);
    const double Limit = Mean - 1.9 * std::sqrt(Squares / Count);
    for (const std::pair<State *, double> &Rate : Rates)
      Rate.first->IsOutlier_ = Rate.second < Limit;
  }

  TimePoint IntervalStart_;
};

/// The policies that the benchmark compares.
inline constexpr const char *PolicyNames[] = {
    "kumquatpitch", "5-errors-in-row", "health-checks", "success-rate-10s"};
inline constexpr std::size_t PolicyCount = 4;

inline std::unique_ptr<HealthPolicy> makePolicy(std::size_t Index) {
  switch (Index) {
  case 0:
    return std::make_unique<SystemPolicy>();
  case 1:
    return std::make_unique<ConsecutiveErrorsPolicy>();
  case 2:
    return std::make_unique<HealthCheckPolicy>();
  default:
    return std::make_unique<SuccessRatePolicy>();
  }
}

} // namespace kumquatpitch::bench

#endif
