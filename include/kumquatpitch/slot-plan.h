// Division of each target's slots and connections among the hosts of a group.
// HostCore recomputes it whenever a group or an entry changes. OwnSlots delays
// the use of gained slots until their former owner has released them.

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

/// Time allowed for a new host list to reach all hosts.
constexpr Duration HostListPropagationTime = std::chrono::seconds(5);

/// One host's share of one target's slots and connections.
struct SlotShare {
  std::uint32_t Slots_ = 0;
  std::uint32_t Connections_ = 0;

  bool operator==(const SlotShare &) const = default;
};

/// One host's shares of the targets of a service. Targets at which the host has
/// no share may be left out.
using SlotShares = std::map<TargetId, SlotShare>;

/// Shares of all hosts of a group. For each target the shares add up to the
/// target's slots and connections, and those of two hosts differ by at most
/// one.
struct SlotPlan {
  std::map<HostId, SlotShares> Shares_;

  bool operator==(const SlotPlan &) const = default;

  /// Share of a host at a target; zero when either is unknown.
  SlotShare shareOf(const HostId &Host, const TargetId &Target) const;

  /// All shares of a host; empty when it is not in the group.
  SlotShares sharesOf(const HostId &Host) const;

  /// Sum of slots of each host over all targets. Rotation gives hosts unequal
  /// sums where targets have few slots, so callers are spread over the hosts in
  /// proportion to them.
  HostWeights weights() const;
};

/// Divides the targets of an entry: slot i of a target belongs to the member at
/// the target's hash plus i, modulo the size of the group. Connections follow
/// the same rotation, so the owner of a slot also owns a connection if the
/// target has at least as many connections as slots.
SlotPlan makeSlotPlan(const ServiceEntry &Entry, const Group &Hosts);

/// Shares that a host may use now. Losses apply at once. Gains become usable
/// after a delay in which the attempts of the former owner end.
class OwnSlots {
public:
  /// Applies this host's shares of a new plan. `LongestDeadline` is the longest
  /// deadline of any contract for the service. On the first call all shares
  /// count as gained, since an earlier incarnation's attempts may still run.
  void setPlan(const SlotShares &Planned, Duration LongestDeadline,
               TimePoint Now);

  /// Shares that may be used at `Now`.
  SlotShares usable(TimePoint Now) const;

private:
  struct Holding {
    SlotShare Usable_;
    SlotShare Planned_; ///< Both counts are at least Usable_'s.
    TimePoint ReadyAt_; ///< When Planned_ becomes usable.
  };

  static Holding updatedHolding(const Holding &Current,
                                const SlotShare &Planned, Duration Wait,
                                TimePoint Now);

  std::map<TargetId, Holding> Holdings_;
};

} // namespace kumquatpitch

#endif
