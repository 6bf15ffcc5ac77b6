// Health of one service's targets as this host sees it: which targets it may
// use, which it has ejected and for how long. HostCore owns one instance for
// each service. An ejection applies to this host's own slots only.

#ifndef KUMQUATPITCH_TARGET_HEALTH_H
#define KUMQUATPITCH_TARGET_HEALTH_H

#include "kumquatpitch/ejection-floor.h"
#include "kumquatpitch/outlier-detector.h"
#include "kumquatpitch/service-entry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquatpitch {

enum class HealthChangeKind : std::uint8_t {
  Suspected, ///< Became suspect; must be reported to HostFaultMonitor.
  Ejected,
  HeldByFloor,       ///< Qualifies for ejection, but the floor forbids it.
  Reinstated,        ///< The ejection ended.
  ReinstatedByFloor, ///< Ejection ended early because the floor needs it.
  CloseConnections,  ///< Kept-alive connections no longer answer.
};

/// One decision about a target, with the cause and figures for the log.
struct HealthChange {
  HealthChangeKind Kind_ = HealthChangeKind::Suspected;
  TargetId Target_;
  std::optional<Suspicion> Suspicion_; ///< Suspected, Ejected, HeldByFloor.
  Duration EjectedFor_{};              ///< For Ejected only.
  std::uint64_t UsableSlots_ = 0;      ///< This host's, after the decision.
  std::uint64_t FloorShareSlots_ = 0;  ///< This host's share of the floor.
  std::optional<SilentConnections> Silent_; ///< For CloseConnections only.

  bool operator==(const HealthChange &) const = default;
};

class TargetHealth {
public:
  /// Time over which a target that has just started or was reinstated ramps up
  /// to its full share.
  static constexpr Duration RampPeriod = std::chrono::seconds(30);

  /// Ejections younger than this are undone when this host itself is suspected
  /// to be at fault.
  static constexpr Duration UndoPeriod = std::chrono::seconds(1);

  TargetHealth() : Detector_(DetectionProfile::AvoidFalseEjection) {}

  /// Applies a service's entry and this host's slots at each target. Targets
  /// that remain listed keep their state. Reinstates at once the targets that
  /// the floor needs; the next evaluate() reports them.
  void setEntry(const ServiceEntry &Entry,
                const std::map<TargetId, std::uint32_t> &OwnSlots,
                TimePoint Now);

  /// Records that a target is leaving, as a drain marker or a peer reported. It
  /// counts as not serving until an entry omits it or lists it as starting.
  void markLeaving(const TargetId &Target, TimePoint Now);

  void attemptStarted(const TargetId &Target, AttemptId Attempt,
                      bool NewConnection, TimePoint Now);
  void attemptEnded(const TargetId &Target, AttemptId Attempt,
                    const AttemptReport &Report, TimePoint Now);
  void probeEnded(const TargetId &Target, bool Ok, TimePoint Now);
  void peerReport(const HostId &From, const TargetId &Target,
                  const TargetEvidence &Evidence, TimePoint Now);

  /// Drops all evidence and undoes ejections that are younger than UndoPeriod.
  /// Call it at each tick while this host itself is suspected to be at fault.
  void clearEvidence(TimePoint Now);

  /// Decides on ejections and reinstatements, and returns all changes since the
  /// previous call. A target is ejected no earlier than the evaluation after
  /// the one that reports it as suspected.
  std::vector<HealthChange> evaluate(TimePoint Now);

  /// Targets that were suspect at the last evaluation and are not ejected.
  /// Report all of them to HostFaultMonitor after each evaluation: in a network
  /// partition targets become suspect over several seconds, and only all of
  /// them together show that the cause is on this host's side.
  std::vector<TargetId> suspects() const;

  /// True when the target is listed as serving and is not draining.
  bool isServing(const TargetId &Target) const;

  /// True when the target is serving and not ejected by this host.
  bool isUsable(const TargetId &Target) const;

  /// Targets of the entry for which markLeaving() is in effect.
  std::vector<TargetId> leavingTargets() const;

  /// Fraction of its full share that a target should receive, above 0 and up to
  /// 1; 0 when the target is not usable.
  double rampShare(const TargetId &Target, TimePoint Now) const;

  /// See OutlierDetector.
  bool wantsNewConnection(const TargetId &Target, TimePoint Now) const {
    return Detector_.wantsNewConnection(Target, Now);
  }
  std::map<TargetId, TargetEvidence> evidenceToReport(TimePoint Now) const {
    return Detector_.evidenceToReport(Now);
  }

  /// This host's view of all targets, as input to the floor's rules.
  FloorSnapshot floorSnapshot() const;

private:
  struct TargetRecord {
    std::uint32_t OwnSlots_ = 0;
    std::uint32_t TotalSlots_ = 0;
    TargetState ListedState_ = TargetState::Serving;
    bool Draining_ = false;
    std::optional<TimePoint> EjectedAt_; ///< Empty when not ejected.
    TimePoint EjectedUntil_;
    std::uint32_t EjectionCount_ = 0; ///< Doubles the next ejection's length.
    TimePoint ReinstatedAt_;
    double Score_ = 0; ///< At the last evaluation or at ejection.
    std::optional<TimePoint> SuspectSince_;
    bool HeldReported_ = false;         ///< HeldByFloor was reported.
    std::optional<TimePoint> RampFrom_; ///< Empty when there is no ramp.

    bool isServing() const {
      return ListedState_ == TargetState::Serving && !Draining_;
    }
    bool isUsable() const { return isServing() && !EjectedAt_; }
  };

  void updateWatchedTargets(TimePoint Now);
  HealthChange makeChange(HealthChangeKind Kind, const TargetId &Target) const;
  void endExpiredEjections(TimePoint Now);
  void recordSuspicions(const std::vector<Suspicion> &Suspicions,
                        TimePoint Now);
  void ejectSuspects(std::vector<Suspicion> Suspicions, TimePoint Now);
  void eject(TargetRecord &Record, const Suspicion &Cause, TimePoint Now);
  void reinstate(const TargetId &Target, TargetRecord &Record, TimePoint Now);
  void applyFloor(TimePoint Now);

  OutlierDetector Detector_;
  DetectionThresholds Thresholds_ =
      thresholdsFor(DetectionProfile::AvoidFalseEjection);
  std::uint32_t FloorTargets_ = 0;
  std::map<TargetId, TargetRecord> Records_; ///< All targets of the entry.
  std::vector<HealthChange> Changes_;        ///< Since the last evaluation.
};

} // namespace kumquatpitch

#endif
