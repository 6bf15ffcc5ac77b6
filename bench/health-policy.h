// How a host of the detection benchmark judges its targets: the system's own
// components, and three baselines to compare them with.

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

/// A target by the indexes of its service and of itself.
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

/// The judgement of one host about the targets of all its services.
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
  /// Part of its share that a target gets; 0 when it is not usable.
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

/// The components of the system, composed as HostCore does.
class SystemPolicy : public HealthPolicy {
public:
  void setEntry(std::size_t Service, const ServiceEntry &Entry,
                const std::map<TargetId, std::uint32_t> &OwnSlots,
                TimePoint Now) override {
    Services_.resize(std::max(Services_.size(), Service + 1));
    Names_.resize(Services_.size());
    Names_[Service] = Entry.Service_;
    Services_[Service].setEntry(Entry, OwnSlots, Now);
    Counts_[Entry.Service_] = OwnSlots.size();
    Monitor_.setServices(Counts_);
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
      for (const HealthChange &Each : Services_[S].evaluate(Now))
        note(S, Each, Decisions);
      for (const TargetId &Each : Services_[S].suspects())
        Monitor_.recordSuspectTarget(Names_[S], Each, Now);
    }
    if (Monitor_.suspectedHostFault(Now))
      for (TargetHealth &Each : Services_)
        Each.clearEvidence(Now);
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
      for (const std::pair<const TargetId, TargetEvidence> &Of :
           Services_[S].evidenceToReport(Now))
        Reports[{S, indexOf(Of.first)}] = Of.second;
    return Reports;
  }

  void peerReport(std::size_t From, TargetKey Key,
                  const TargetEvidence &Evidence, TimePoint Now) override {
    Services_[Key.Service_].peerReport(HostId("h" + std::to_string(From)),
                                       idOf(Key.Target_), Evidence, Now);
  }

private:
  void note(std::size_t Service, const HealthChange &Change,
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
  std::map<ServiceName, std::size_t> Counts_;
  HostFaultMonitor Monitor_;
};

/// What the baselines share: a fixed ejection time, and at most half of the
/// targets ejected.
class BaselinePolicy : public HealthPolicy {
public:
  static constexpr Duration EjectionTime = std::chrono::seconds(30);

  void setEntry(std::size_t Service, const ServiceEntry &Entry,
                const std::map<TargetId, std::uint32_t> &OwnSlots,
                TimePoint) override {
    Counts_[Service] = OwnSlots.size();
    for (const Target &Each : Entry.Targets_)
      Targets_[{Service, indexOf(Each.Id_)}].Serving_ =
          Each.State_ == TargetState::Serving;
  }

  std::vector<Decision> tick(TimePoint, TimePoint Now) override {
    std::vector<Decision> Decisions;
    for (std::pair<const TargetKey, State> &Each : Targets_) {
      State &Of = Each.second;
      if (Of.Ejected_ && Now >= Of.EjectedUntil_)
        Of = State{Of.Serving_};
      if (Of.Ejected_ || !Of.Serving_ || !isBad(Of) ||
          2 * (ejected(Each.first.Service_) + 1) > Counts_[Each.first.Service_])
        continue;
      Of.Ejected_ = true;
      Of.EjectedUntil_ = Now + EjectionTime;
      Decisions.push_back({DecisionKind::Eject, Each.first, {}, {}});
    }
    return Decisions;
  }

  double share(TargetKey Key, TimePoint) const override {
    const State &Of = Targets_.at(Key);
    return Of.Serving_ && !Of.Ejected_ ? 1 : 0;
  }

protected:
  struct State {
    bool Serving_ = true;
    bool Ejected_ = false;
    TimePoint EjectedUntil_{};
    unsigned BadInRow_ = 0;
    unsigned Good_ = 0;
    unsigned All_ = 0;
    bool Outlier_ = false;
  };

  virtual bool isBad(const State &Of) const = 0;

  static bool isError(const AttemptReport &Report) {
    return Report.End_ != AttemptEnd::Refused &&
           (Report.End_ != AttemptEnd::Answered || Report.HttpStatus_ >= 500);
  }

  std::map<TargetKey, State> Targets_;
  std::map<std::size_t, std::size_t> Counts_; ///< Targets with own slots.

private:
  std::size_t ejected(std::size_t Service) const {
    return std::count_if(
        Targets_.begin(), Targets_.end(), [&](const auto &Each) {
          return Each.first.Service_ == Service && Each.second.Ejected_;
        });
  }
};

/// Ejects after five errors in a row.
class ErrorsInRowPolicy : public BaselinePolicy {
public:
  void ended(TargetKey Key, AttemptId, const AttemptReport &Report,
             TimePoint) override {
    State &Of = Targets_[Key];
    Of.BadInRow_ = isError(Report) ? Of.BadInRow_ + 1 : 0;
  }

protected:
  bool isBad(const State &Of) const override { return Of.BadInRow_ >= 5; }
};

/// Ejects after two failed health checks in a row.
class HealthCheckPolicy : public BaselinePolicy {
public:
  void probeEnded(TargetKey Key, bool Ok, TimePoint) override {
    State &Of = Targets_[Key];
    Of.BadInRow_ = Ok ? 0 : Of.BadInRow_ + 1;
  }

protected:
  bool isBad(const State &Of) const override { return Of.BadInRow_ >= 2; }
};

/// Every 10 s ejects targets whose success rate lies 1.9 standard deviations
/// under the mean of those with five requests or more.
class SuccessRatePolicy : public BaselinePolicy {
public:
  void ended(TargetKey Key, AttemptId, const AttemptReport &Report,
             TimePoint) override {
    State &Of = Targets_[Key];
    ++Of.All_;
    Of.Good_ += isError(Report) ? 0 : 1;
  }

  std::vector<Decision> tick(TimePoint Expected, TimePoint Now) override {
    if (Now - IntervalStart_ >= std::chrono::seconds(10)) {
      IntervalStart_ = Now;
      for (const std::pair<const std::size_t, std::size_t> &Each : Counts_)
        markOutliers(Each.first);
    }
    const std::vector<Decision> Decisions = BaselinePolicy::tick(Expected, Now);
    for (std::pair<const TargetKey, State> &Each : Targets_)
      Each.second.Outlier_ = false;
    return Decisions;
  }

protected:
  bool isBad(const State &Of) const override { return Of.Outlier_; }

private:
  void markOutliers(std::size_t Service) {
    std::vector<std::pair<State *, double>> Rates;
    double Sum = 0;
    for (std::pair<const TargetKey, State> &Each : Targets_) {
      State &Of = Each.second;
      if (Each.first.Service_ != Service)
        continue;
      if (Of.All_ >= 5) {
        Rates.emplace_back(&Of, 1.0 * Of.Good_ / Of.All_);
        Sum += Rates.back().second;
      }
      Of.All_ = Of.Good_ = 0;
    }
    if (Rates.size() < 3)
      return;
    const double Count = static_cast<double>(Rates.size());
    const double Mean = Sum / Count;
    double Squares = 0;
    for (const std::pair<State *, double> &Each : Rates)
      Squares += (Each.second - Mean) * (Each.second - Mean);
    const double Limit = Mean - 1.9 * std::sqrt(Squares / Count);
    for (const std::pair<State *, double> &Each : Rates)
      Each.first->Outlier_ = Each.second < Limit;
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
    return std::make_unique<ErrorsInRowPolicy>();
  case 2:
    return std::make_unique<HealthCheckPolicy>();
  default:
    return std::make_unique<SuccessRatePolicy>();
  }
}

} // namespace kumquatpitch::bench

#endif
