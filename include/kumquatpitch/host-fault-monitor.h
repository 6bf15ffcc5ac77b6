// Distinguishes a fault of this host (a pause of the process, a network cut)
// from faults of targets. There is one per host. HostCore reports late timers
// and suspect targets to it, and clears the evidence of every service while a
// fault is suspected. It does not see single attempts.

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
  Duration Lateness_{};      ///< LateTimer only: how late the timer was.
  std::size_t Services_ = 0; ///< ManyTargetsBad only: services affected.
  TimePoint Since_;

  bool operator==(const HostFault &) const = default;
};

class HostFaultMonitor {
public:
  /// A timer that fires later than this indicates a pause of the process.
  static constexpr Duration LateTimerLimit = std::chrono::milliseconds(100);

  /// Targets that were suspect within this time are counted together. A fault
  /// also stays suspected for this long after its last indication.
  static constexpr Duration Window = std::chrono::seconds(1);

  /// Replaces the set of services that this host serves, each with the number
  /// of targets on which this host has slots.
  void setServices(std::map<ServiceName, std::size_t> TargetCounts);

  /// Records that a timer due at `Expected` fired at `Actual`.
  void timerFired(TimePoint Expected, TimePoint Actual);

  /// Records that a target is suspect. A target counts once, for `Window` after
  /// its latest call.
  void recordSuspectTarget(const ServiceName &Service, const TargetId &Target,
                           TimePoint Now);

  /// The fault of this host that is suspected now, if any. While there is one,
  /// no target may be ejected and all evidence must be cleared.
  std::optional<HostFault> suspectedHostFault(TimePoint Now) const;

private:
  std::size_t countServicesWithManySuspects(TimePoint Now) const;

  std::map<ServiceName, std::size_t> TargetCounts_;
  /// When each target was last suspect; only services of TargetCounts_.
  std::map<ServiceName, std::map<TargetId, TimePoint>> LastSuspected_;
  std::optional<HostFault> Fault_;
  TimePoint FaultUntil_;
};

} // namespace kumquatpitch

#endif
