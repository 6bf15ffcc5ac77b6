// Health of the targets of one service as this host sees it: which it may use,
// which it has ejected and for how long. One for each service, owned by
// HostCore. It ejects for this host's own slots only.

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
  Suspected, ///< Turned suspect; to be told to HostFaultMonitor.
  Ejected,
  HeldByFloor,       ///< Bad enough for ejection, which the floor forbids.
  Reinstated,        ///< The ejection ended.
  ReinstatedByFloor, ///< Ejected still, but the floor needs it.
  CloseConnections,  ///< Kept connections are silent.
};

/// One decision, with cause and figures for the log.
struct HealthChange {
  HealthChangeKind Kind_ = HealthChangeKind::Suspected;
  TargetId Target_;
  std::optional<Suspicion> Suspicion_;      ///< For the first three kinds.
  Duration EjectedFor_{};                   ///< For Ejected.
  std::uint64_t UsableSlots_ = 0;           ///< Own ones, after the decision.
  std::uint64_t ShareSlots_ = 0;            ///< This host's share of the floor.
  std::optional<SilentConnections> Silent_; ///< For CloseConnections.

  bool operator==(const HealthChange &) const = default;
};

class TargetHealth {
public:
  /// Time over which a cold or reinstated target is given its whole share.
  static constexpr Duration RampPeriod = std::chrono::seconds(30);

  /// Ejections younger than this are undone when an own fault is suspected.
  static constexpr Duration UndoPeriod = std::chrono::seconds(1);

  TargetHealth() : Detector_(DetectionProfile::AvoidFalseEjection) {}

  /// Takes a service's entry and this host's slots at each target. What is
  /// known of targets that stay is kept. Reinstates at once what the floor
  /// needs; the next evaluate() reports it.
  void setEntry(const ServiceEntry &Entry,
                const std::map<TargetId, std::uint32_t> &OwnSlots,
                TimePoint Now);

  /// A drain marker or a peer says that the target is leaving; it counts as not
  /// serving until an entry no longer lists it or lists it as starting.
  void markLeaving(const TargetId &Target, TimePoint Now);

  void attemptStarted(const TargetId &Target, AttemptId Attempt,
                      bool NewConnection, TimePoint Now);
  void attemptEnded(const TargetId &Target, AttemptId Attempt,
                    const AttemptReport &Report, TimePoint Now);
  void probeEnded(const TargetId &Target, bool Ok, TimePoint Now);
  void peerReport(const HostId &From, const TargetId &Target,
                  const TargetEvidence &Evidence, TimePoint Now);

  /// This host is at fault: drops all evidence and undoes ejections that are
  /// younger than UndoPeriod. Call it at each tick while a fault is suspected.
  void clearEvidence(TimePoint Now);

  /// Decides on ejections and reinstatements. A target is ejected at the
  /// earliest in the evaluation after the one that reports it as suspected.
  std::vector<HealthChange> evaluate(TimePoint Now);

  /// Targets that were suspect at the last evaluation and are not ejected. All
  /// are to be told to HostFaultMonitor after each evaluation: in a network cut
  /// they turn suspect over several seconds, and only together show the cause.
  std::vector<TargetId> suspects() const;

  /// True when the target is listed as serving and does not drain.
  bool isServing(const TargetId &Target) const;

  /// True when the target is serving and not ejected here.
  bool isUsable(const TargetId &Target) const;

  /// Targets that were marked as leaving and that the entry still names.
  std::vector<TargetId> marked() const;

  /// Part of its share that a target is to be given, above 0 and up to 1; 0
  /// when it is not usable.
  double rampShare(const TargetId &Target, TimePoint Now) const;

  /// See OutlierDetector.
  bool wantsNewConnection(const TargetId &Target, TimePoint Now) const {
    return Detector_.wantsNewConnection(Target, Now);
  }
  std::map<TargetId, TargetEvidence> evidenceToReport(TimePoint Now) const {
    return Detector_.evidenceToReport(Now);
  }

  /// This host's view, as the floor sees it.
  FloorSnapshot floorSnapshot() const;

private:
  struct State {
    std::uint32_t OwnSlots_ = 0;
    std::uint32_t TotalSlots_ = 0;
    TargetState Listed_ = TargetState::Serving;
    bool Draining_ = false;
    std::optional<TimePoint> EjectedAt_; ///< Empty when not ejected.
    TimePoint EjectedUntil_;
    std::uint32_t Ejections_ = 0; ///< That the doubling counts.
    TimePoint ReinstatedAt_;
    double Score_ = 0; ///< At the last evaluation, or when ejected.
    std::optional<TimePoint> SuspectSince_;
    bool Held_ = false; ///< HeldByFloor was reported.
    std::optional<TimePoint> RampFrom_;

    bool isServing() const {
      return Listed_ == TargetState::Serving && !Draining_;
    }
    bool isUsable() const { return isServing() && !EjectedAt_; }
  };

  void watchServing(TimePoint Now);
  HealthChange change(HealthChangeKind Kind, const TargetId &Target) const;
  void endExpired(TimePoint Now);
  void noteSuspicions(const std::vector<Suspicion> &Suspicions, TimePoint Now);
  void ejectSuspects(std::vector<Suspicion> Suspicions, TimePoint Now);
  void eject(State &Of, const Suspicion &Cause, TimePoint Now);
  void reinstate(const TargetId &Target, State &Of, TimePoint Now);
  void applyFloor(TimePoint Now);

  OutlierDetector Detector_;
  DetectionThresholds Thresholds_ =
      thresholdsFor(DetectionProfile::AvoidFalseEjection);
  std::uint32_t FloorTargets_ = 0;
  std::map<TargetId, State> States_;  ///< All targets of the entry.
  std::vector<HealthChange> Changes_; ///< Since the last evaluation.
};

} // namespace kumquatpitch

#endif
