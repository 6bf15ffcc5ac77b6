// The floor under a service's capacity: decides which suspect targets a host
// may eject while it keeps its share of the floor usable, and which it has to
// reinstate. Pure functions over a snapshot of the host's own view, called by
// TargetHealth.

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
  double Score_ = 0;             ///< Suspicion; the lowest is reinstated first.
  std::uint32_t TotalSlots_ = 0; ///< Slots of all hosts together.

  bool operator==(const FloorTarget &) const = default;
};

/// All targets of the service's entry, including those at which the deciding
/// host has no slots.
using FloorSnapshot = std::vector<FloorTarget>;

/// The host's share, in slots, of a floor of `FloorTargets` targets. It is the
/// floor in proportion to the host's part of all serving slots, rounded up; or
/// all of the host's serving slots when no more than the floor is serving.
///
/// Invariant: each host keeps its share usable in its own view at all times.
/// The shares of hosts with equal views add up to at least the floor. So while
/// all views are current, ejections never take the service below its floor, or
/// below all serving slots if those are fewer. A host that has not yet learned
/// that a target left may fall short of its share by its slots at that target
/// until it learns of it.
std::uint64_t floorShare(std::uint32_t FloorTargets,
                         const FloorSnapshot &Targets);

/// The host's slots at targets that are serving and not ejected.
std::uint64_t usableSlots(const FloorSnapshot &Targets);

/// True when `Id` is serving and not ejected, and the host's usable slots
/// without it are at least the host's share.
bool mayEject(std::uint32_t FloorTargets, const FloorSnapshot &Targets,
              const TargetId &Id);

/// Ejected targets to reinstate at once so that the host's usable slots reach
/// its share, lowest score first. All serving ones at which the host has slots
/// if even those do not suffice.
std::vector<TargetId> requiredReinstatements(std::uint32_t FloorTargets,
                                             const FloorSnapshot &Targets);

} // namespace kumquatpitch

#endif
