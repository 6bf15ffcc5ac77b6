// One service on this host: its entry, its contract terms and the components
// that decide about its targets. RequestFlow picks targets through it; HostCore
// updates it when the configuration or the group changes.

#ifndef KUMQUATPITCH_SERVICE_RUNTIME_H
#define KUMQUATPITCH_SERVICE_RUNTIME_H

#include "kumquatpitch/admission-queue.h"
#include "kumquatpitch/assignment.h"
#include "kumquatpitch/attempt.h"
#include "kumquatpitch/burn-rate.h"
#include "kumquatpitch/contract.h"
#include "kumquatpitch/host-status.h"
#include "kumquatpitch/quota-share.h"
#include "kumquatpitch/retry-policy.h"
#include "kumquatpitch/service-entry.h"
#include "kumquatpitch/slot-plan.h"
#include "kumquatpitch/target-health.h"
#include "kumquatpitch/target-picker.h"

#include <memory>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// The configuration of one service; replaced as a whole.
struct ServiceConfig {
  std::shared_ptr<const Contract> Contract_; ///< Keeps Terms_ alive.
  const ServiceTerms *Terms_ = nullptr;
  std::shared_ptr<const ServiceEntry> Entry_;
  Group Group_;
};

class ServiceRuntime {
public:
  /// `Random` must outlive the object.
  ServiceRuntime(ServiceConfig Config, const HostId &Self,
                 Incarnation OwnIncarnation, RandomSource &Random,
                 TimePoint Now);

  /// Applies a changed configuration. Targets and members that remain keep
  /// their state.
  void setConfig(ServiceConfig Config, TimePoint Now);

  const ServiceConfig &config() const { return Config_; }
  const ServiceTerms &terms() const { return *Config_.Terms_; }
  const ServiceEntry &entry() const { return *Config_.Entry_; }
  const SlotPlan &plan() const { return Plan_; }

  /// True when this host is in the service's group.
  bool isAssigned() const { return IsAssigned_; }

  /// This host's slots at a target, according to the plan.
  std::uint32_t ownSlots(const TargetId &Target) const {
    return Plan_.shareOf(Self_, Target).Slots_;
  }

  /// True once this host may use its slots and permits; stays true from then
  /// on. A host that gets no share of a small service's slots or permits does
  /// not wait for one.
  bool isReadyToServe(TimePoint Now);

  /// False when the target is starting, leaving or draining.
  bool acceptsWork(const TargetId &Target) const {
    return Health_.isServing(Target);
  }

  /// A target that may be given an attempt now, or nullopt.
  std::optional<TargetId> pick(const std::vector<TargetId> &Excluded,
                               TimePoint Now);

  /// True when the next attempt at the target should open a new connection.
  bool wantsNewConnection(const TargetId &Target, TimePoint Now) const {
    return Health_.wantsNewConnection(Target, Now);
  }

  void attemptStarted(const TargetId &Target, AttemptId Attempt,
                      bool NewConnection, TimePoint Now);
  void attemptEnded(const TargetId &Target, AttemptId Attempt,
                    const AttemptReport &Report, TimePoint Now);

  /// Marks a target as draining, as reported by an attempt or a peer.
  void markDraining(const TargetId &Target, TimePoint Now);

  /// Starts using gained slots whose waiting period is over.
  void applyDueSlots(TimePoint Now);

  /// Decides on ejections and reinstatements. Must not be called while a fault
  /// of this host is suspected.
  std::vector<HealthChange> evaluate(TimePoint Now);

  TargetHealth &health() { return Health_; }
  AdmissionQueue &queue() { return Queue_; }
  RetryPolicy &retry() { return Retry_; }
  QuotaShare &quota() { return Quota_; }
  BurnRate &burnRate() { return Burn_; }
  const BurnRate &burnRate() const { return Burn_; }

  /// The service's part of the status report for operators.
  ServiceStatus status(TimePoint Now) const;

private:
  /// Adapts TargetHealth to the interface that TargetPicker reads.
  class Availability : public TargetAvailability {
  public:
    explicit Availability(const TargetHealth &Health) : Health_(Health) {}

    bool isUsable(const TargetId &Target) const override {
      return Health_.isUsable(Target);
    }
    double rampShare(const TargetId &Target, TimePoint Now) const override {
      return Health_.rampShare(Target, Now);
    }

  private:
    const TargetHealth &Health_;
  };

  void applySlots(TimePoint Now);
  void recordCondition(const HealthChange &Change, TimePoint Now);
  TargetStatus targetStatus(const Target &Listed, TimePoint Now) const;

  /// Why a target is not used, or used only because of the floor; shown to
  /// operators.
  struct Condition {
    TargetCondition Value_ = TargetCondition::Usable;
    std::string Cause_;
    std::vector<Measurement> Measurements_;
    TimePoint Since_;
  };

  ServiceConfig Config_;
  const HostId Self_;
  bool IsAssigned_ = false;
  bool IsReadyToServe_ = false;
  SlotPlan Plan_;
  OwnSlots Slots_;
  SlotShares Usable_; ///< As last passed to Picker_ and Health_.
  TargetPicker Picker_;
  TargetHealth Health_;
  AdmissionQueue Queue_;
  RetryPolicy Retry_;
  QuotaShare Quota_;
  BurnRate Burn_;
  /// Only of targets whose condition is not Usable.
  std::map<TargetId, Condition> Conditions_;
};

/// Name of a cause in logs and status, such as `stalled`.
const char *suspicionCauseName(SuspicionCause Cause);

/// Log text for a decision, with its cause and figures.
std::string describeChange(const ServiceName &Service,
                           const HealthChange &Change);

} // namespace kumquatpitch

#endif
