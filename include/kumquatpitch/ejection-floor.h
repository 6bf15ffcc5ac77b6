// Which ejections of suspect targets a host may make without taking more than
// its share of a service's capacity. Called by TargetHealth. Pure functions
// over a snapshot of the host's own view; they hold no state.

#ifndef KUMQUATPITCH_EJECTION_FLOOR_H
#define KUMQUATPITCH_EJECTION_FLOOR_H

#include "kumquatpitch/name.h"

#include <cstdint>
#include <vector>

namespace kumquatpitch {

/// One target of a service as the deciding host sees it.
struct FloorTarget {
  TargetId Id_;
  std::uint32_t OwnSlots_ = 0; ///< Slots of the deciding host.
  bool Serving_ = false;       ///< False when starting, leaving or draining.
  bool Ejected_ = false;
  double Score_ = 0; ///< Suspicion; the smallest is reinstated first.
  std::uint32_t TotalSlots_ = 0; ///< Slots of all hosts together.

  bool operator==(const FloorTarget &) const = default;
};

/// All targets of the service's entry, those without own slots included.
using FloorSnapshot = std::vector<FloorTarget>;

/// The host's share of a floor of `FloorTargets` targets, in slots: its part of
/// the floor among the slots that serve, rounded up, or all its serving slots
/// when no more than the floor serves.
///
/// Each host keeps its share usable in its own view at all times. Shares of
/// hosts with equal views add up to the floor at least, so while views are
/// current ejections never take the service under its floor, nor under what
/// serves if that is less. A host that has not heard of a departure may miss
/// its share by its slots there, until it hears.
std::uint64_t floorShare(std::uint32_t FloorTargets,
                         const FloorSnapshot &Targets);

/// The host's slots at targets that are serving and not ejected.
std::uint64_t usableSlots(const FloorSnapshot &Targets);

/// True when `Id` is serving and not ejected, and the host's usable slots stay
/// at or above its share without it.
bool mayEject(std::uint32_t FloorTargets, const FloorSnapshot &Targets,
              const TargetId &Id);

/// Ejected targets to reinstate at once, least bad first, so that the host's
/// usable slots reach its share. All serving ones when that is not enough.
std::vector<TargetId> requiredReinstatements(std::uint32_t FloorTargets,
                                             const FloorSnapshot &Targets);

} // namespace kumquatpitch

#endif
