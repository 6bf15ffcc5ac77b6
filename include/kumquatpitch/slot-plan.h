// Division of each target's slots and connections among the hosts of a group.
// Called by HostCore whenever a group or an entry changes. OwnSlots delays the
// use of gained slots until their former owner has released them.

#ifndef KUMQUATPITCH_SLOT_PLAN_H
#define KUMQUATPITCH_SLOT_PLAN_H

#include "kumquatpitch/assignment.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/service-entry.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace kumquatpitch {

/// Time for a host list to reach all hosts.
constexpr Duration ListSettleTime = std::chrono::seconds(5);

/// One host's part of one target.
struct SlotShare {
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;

  bool operator==(const SlotShare &) const = default;
};

/// One host's parts of the targets of a service. Targets of which the host owns
/// nothing may be left out.
using SlotShares = std::map<TargetId, SlotShare>;

/// Parts of all hosts of a group. For each target the parts add up to the
/// target's slots and connections, and two hosts differ by at most one.
struct SlotPlan {
  std::map<HostId, SlotShares> Shares_;

  bool operator==(const SlotPlan &) const = default;

  /// Part of a host; zero for an unknown host or target.
  SlotShare ownSlots(const HostId &Host, const TargetId &Target) const;

  /// All parts of a host; empty when it is not in the group.
  SlotShares ownShares(const HostId &Host) const;

  /// Sum of each host's slots. Rotation leaves hosts with unequal sums where
  /// targets have few slots, so callers are spread in proportion to them.
  HostWeights weights() const;
};

/// Divides the targets of an entry: slot i of a target belongs to the member at
/// the target's hash plus i, modulo the size of the group. Connections follow
/// the same rotation, so an owner of a slot also owns a connection wherever the
/// target has at least as many connections as slots.
SlotPlan slotPlan(const ServiceEntry &Entry, const Group &Hosts);

/// Parts that a host may use now. Lost parts are released at once; gained parts
/// become usable after a wait, when attempts of their former owner are over.
class OwnSlots {
public:
  /// Takes over a planned division. `LongestDeadline` is the longest deadline
  /// of any contract for the service. The first call counts as a gain, since an
  /// earlier incarnation's attempts may still run.
  void setPlan(const SlotShares &Planned, Duration LongestDeadline,
               TimePoint Now);

  /// Parts that may be used at `Now`.
  SlotShares usable(TimePoint Now) const;

private:
  struct Holding {
    SlotShare Usable_;
    SlotShare Planned_; ///< At least Usable_ in both counts.
    TimePoint ReadyAt_; ///< When Planned_ becomes usable.
  };

  static Holding changed(const Holding &Held, const SlotShare &Planned,
                         Duration Wait, TimePoint Now);

  std::map<TargetId, Holding> Holdings_;
};

} // namespace kumquatpitch

#endif
