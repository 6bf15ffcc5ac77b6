// Tells a fault of this host (a pause, a network cut) from faults of targets.
// One for each host; HostCore feeds it and clears the evidence of every service
// while a fault is suspected. It knows nothing of single attempts.

#ifndef KUMQUATPITCH_HOST_FAULT_MONITOR_H
#define KUMQUATPITCH_HOST_FAULT_MONITOR_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/time-point.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace kumquatpitch {

enum class HostFaultCause : std::uint8_t { LateTimer, ManyTargetsBad };

/// A suspected fault of this host, with the figures behind it.
struct HostFault {
  HostFaultCause Cause_ = HostFaultCause::LateTimer;
  Duration Lateness_{};      ///< Of the timer, for LateTimer.
  std::size_t Services_ = 0; ///< With many bad targets, for ManyTargetsBad.
  TimePoint Since_;

  bool operator==(const HostFault &) const = default;
};

class HostFaultMonitor {
public:
  /// A timer that is later than this is a sign of a pause of the process.
  static constexpr Duration LateTimerLimit = std::chrono::milliseconds(100);

  /// Targets that are bad within this time count together; a suspected fault
  /// also lasts this long after its last sign.
  static constexpr Duration Window = std::chrono::seconds(1);

  /// Counts of targets, with own slots, of the services that this host serves.
  void setServices(std::map<ServiceName, std::size_t> TargetCounts);

  /// A timer that was due at `Expected` fired at `Actual`.
  void timerFired(TimePoint Expected, TimePoint Actual);

  /// A target is suspect. It counts from its last call on, once.
  void targetTurnedBad(const ServiceName &Service, const TargetId &Target,
                       TimePoint Now);

  /// The fault that is suspected now, if any. While there is one, no target is
  /// to be ejected and all evidence is to be cleared.
  std::optional<HostFault> ownFaultSuspected(TimePoint Now) const;

private:
  std::size_t servicesWithManyBad(TimePoint Now) const;

  std::map<ServiceName, std::size_t> TargetCounts_;
  /// When each target was last bad; only services of TargetCounts_.
  std::map<ServiceName, std::map<TargetId, TimePoint>> TurnedBad_;
  std::optional<HostFault> Fault_;
  TimePoint FaultUntil_;
};

} // namespace kumquatpitch

#endif
