// One service as this host serves it: its entry and terms, and the components
// that decide about its targets. RequestFlow asks it; HostCore renews it when
// the configuration or the group changes.

#ifndef KUMQUATPITCH_SERVICE_RUNTIME_H
#define KUMQUATPITCH_SERVICE_RUNTIME_H

#include "kumquatpitch/assignment.h"
#include "kumquatpitch/attempt.h"
#include "kumquatpitch/burn-rate.h"
#include "kumquatpitch/contract.h"
#include "kumquatpitch/service-entry.h"
#include "kumquatpitch/slot-plan.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

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
  ServiceRuntime(ServiceConfig Config, const HostId &Self, TimePoint Now);

  /// Takes a changed configuration; what stays keeps its state.
  void setConfig(ServiceConfig Config, TimePoint Now);

  const ServiceConfig &config() const { return Config_; }
  const ServiceTerms &terms() const { return *Config_.Terms_; }
  const ServiceEntry &entry() const { return *Config_.Entry_; }

  const SlotPlan &plan() const { return Plan_; }

  /// True when this host is in the service's group.
  bool isAssigned() const { return IsAssigned_; }

  /// A target with a free slot of this host, or none.
  std::optional<TargetId> pick(const std::set<TargetId> &Excluded,
                               TimePoint Now);

  void attemptStarted(const TargetId &Target, AttemptId Attempt, TimePoint Now);
  void attemptEnded(const TargetId &Target, AttemptId Attempt,
                    const AttemptReport &Report, TimePoint Now);

  BurnRate &burn() { return Burn_; }

private:
  ServiceConfig Config_;
  const HostId Self_;
  bool IsAssigned_ = false;
  SlotPlan Plan_;
  OwnSlots Slots_;
  std::map<TargetId, std::uint32_t> InProgress_; ///< At most the own slots.
  BurnRate Burn_;
};

} // namespace kumquatpitch

#endif
