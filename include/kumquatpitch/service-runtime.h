// One service as this host serves it: its entry and terms, and the components
// that decide about its targets. RequestFlow asks it for targets; HostCore
// renews it when the configuration or the group changes.

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

/// What a service is served by; replaced as a whole.
struct ServiceConfig {
  std::shared_ptr<const Contract> Contract_; ///< Keeps Terms_ alive.
  const ServiceTerms *Terms_ = nullptr;
  std::shared_ptr<const ServiceEntry> Entry_;
  Group Group_;
};

class ServiceRuntime {
public:
  /// `Random` must outlive the object.
  ServiceRuntime(ServiceConfig Config, const HostId &Self, Incarnation Run,
                 RandomSource &Random, TimePoint Now);

  /// Takes a changed configuration; what stays keeps its state.
  void setConfig(ServiceConfig Config, TimePoint Now);

  const ServiceConfig &config() const { return Config_; }
  const ServiceTerms &terms() const { return *Config_.Terms_; }
  const ServiceEntry &entry() const { return *Config_.Entry_; }
  const SlotPlan &plan() const { return Plan_; }

  /// True when this host is in the service's group.
  bool isAssigned() const { return IsAssigned_; }

  /// Slots of this host at a target by the plan.
  std::uint32_t ownSlots(const TargetId &Target) const {
    return Plan_.ownSlots(Self_, Target).Slots_;
  }

  /// True from when this host may use its slots and permits for the first time.
  /// A host whose part of a small service is none has nothing to wait for.
  bool isSettled(TimePoint Now);

  /// False when the target starts, leaves or drains.
  bool acceptsWork(const TargetId &Target) const {
    return Health_.isServing(Target);
  }

  /// A target that may get an attempt now, or none.
  std::optional<TargetId> pick(const std::vector<TargetId> &Excluded,
                               TimePoint Now);

  /// True when the next attempt at the target is to open a new connection.
  bool wantsNewConnection(const TargetId &Target, TimePoint Now) const {
    return Health_.wantsNewConnection(Target, Now);
  }

  void attemptStarted(const TargetId &Target, AttemptId Attempt,
                      bool NewConnection, TimePoint Now);
  void attemptEnded(const TargetId &Target, AttemptId Attempt,
                    const AttemptReport &Report, TimePoint Now);

  /// Takes a peer's word that a target drains.
  void markDraining(const TargetId &Target, TimePoint Now);

  /// Makes slots usable that fell due.
  void applyDueSlots(TimePoint Now);

  /// Decides on ejections and reinstatements. Not to be called while a fault of
  /// this host is suspected.
  std::vector<HealthChange> evaluate(TimePoint Now);

  TargetHealth &health() { return Health_; }
  AdmissionQueue &queue() { return Queue_; }
  RetryPolicy &retry() { return Retry_; }
  QuotaShare &quota() { return Quota_; }
  BurnRate &burn() { return Burn_; }
  const BurnRate &burn() const { return Burn_; }

  /// Report for operators.
  ServiceStatus status(TimePoint Now) const;

private:
  /// Health as target selection sees it.
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
  void noteCondition(const HealthChange &Change, TimePoint Now);
  TargetStatus targetStatus(const Target &Listed, TimePoint Now) const;

  /// Why a target is not used, for operators.
  struct Condition {
    TargetCondition Value_ = TargetCondition::Usable;
    std::string Cause_;
    std::vector<Figure> Figures_;
    TimePoint Since_;
  };

  ServiceConfig Config_;
  const HostId Self_;
  bool IsAssigned_ = false;
  bool HasSettled_ = false;
  SlotPlan Plan_;
  OwnSlots Slots_;
  SlotShares Usable_; ///< As handed to Picker_ and Health_.
  TargetPicker Picker_;
  TargetHealth Health_;
  AdmissionQueue Queue_;
  RetryPolicy Retry_;
  QuotaShare Quota_;
  BurnRate Burn_;
  std::map<TargetId, Condition>
      Conditions_; ///< Of targets that are not usable.
};

/// Name of a cause in logs and status, such as `stalled`.
const char *suspicionCauseName(SuspicionCause Cause);

/// One sentence on a decision, with its cause and figures, for the log.
std::string describeChange(const ServiceName &Service,
                           const HealthChange &Change);

} // namespace kumquatpitch

#endif
