// Targets that said in an answer that they leave, while the store still lists
// them as ready: one that cannot reach the store says so in no other way. Hosts
// announce such targets to each other, unless the store does so soon. Owned by
// TargetDirectory. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_LEAVING_TARGETS_H
#define KUMQUATPITCH_LEAVING_TARGETS_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/time-point.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace kumquatpitch {

/// One incarnation of a target that said that it leaves. It does not come back.
struct LeavingTarget {
  TargetId Id_;
  std::uint64_t StartedUnixMs_ = 0;

  auto operator<=>(const LeavingTarget &) const = default;
};

class LeavingTargets {
public:
  /// Time until the first announcement. Changes in the store usually reach all
  /// hosts sooner, and a leaving target serves for at least 2 s.
  static constexpr Duration AnnounceDelay = std::chrono::milliseconds(1'000);
  /// Time until the next one, by whichever host. Datagrams may be lost, and
  /// hosts may start.
  static constexpr Duration RepeatPeriod = std::chrono::milliseconds(2'000);

  /// Records an answer to this host. Ignored if the target is known.
  void recordAnswer(const LeavingTarget &Target, TimePoint Now);

  /// Records the announcement of another host.
  void recordPeer(const LeavingTarget &Target, TimePoint Now);

  bool contains(const LeavingTarget &Target) const;

  /// Drops a target that the store lists as leaving, or no longer lists.
  void forget(const TargetId &Id) { Targets_.erase(Id); }

  /// Targets to announce to the other hosts now. They count as announced.
  std::vector<LeavingTarget> takeAnnouncements(TimePoint Now);

private:
  struct State {
    std::uint64_t StartedUnixMs_ = 0;
    TimePoint AnnounceAt_;
  };

  std::map<TargetId, State> Targets_;
};

} // namespace kumquatpitch

#endif
