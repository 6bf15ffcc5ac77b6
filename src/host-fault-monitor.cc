// Detects pauses and network cuts of this host. See host-fault-monitor.h.

#include "kumquatpitch/host-fault-monitor.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

/// This many services must each have at least half of their targets suspect at
/// once.
constexpr std::size_t MinServices = 2;

/// A host with a single service has no second one to compare with. It suspects
/// itself only if all targets are suspect and there are at least this many.
constexpr std::size_t MinTargetsOfSingleService = 3;

} // namespace

void HostFaultMonitor::setServices(
    std::map<ServiceName, std::size_t> TargetCounts) {
  TargetCounts_ = std::move(TargetCounts);
  std::erase_if(LastSuspected_, [&](const auto &Entry) {
    return !TargetCounts_.contains(Entry.first);
  });
}

void HostFaultMonitor::timerFired(TimePoint Expected, TimePoint Actual) {
  const Duration Lateness = Actual - Expected;
  if (Lateness <= LateTimerLimit)
    return;
  Fault_ = HostFault{HostFaultCause::LateTimer, Lateness, 0, Actual};
  FaultUntil_ = Actual + Window;
}

void HostFaultMonitor::recordSuspectTarget(const ServiceName &Service,
                                           const TargetId &Target,
                                           TimePoint Now) {
  if (!TargetCounts_.contains(Service))
    return;
  std::map<TargetId, TimePoint> &Suspects = LastSuspected_[Service];
  std::erase_if(Suspects, [&](const auto &Suspect) {
    return Suspect.second + Window < Now;
  });
  Suspects[Target] = Now;
  const std::size_t Services = countServicesWithManySuspects(Now);
  if (Services == 0)
    return;
  Fault_ = HostFault{HostFaultCause::ManyTargetsBad, Duration{}, Services, Now};
  FaultUntil_ = Now + Window;
}

std::optional<HostFault>
HostFaultMonitor::suspectedHostFault(TimePoint Now) const {
  return Fault_ && Now < FaultUntil_ ? Fault_ : std::nullopt;
}

std::size_t
HostFaultMonitor::countServicesWithManySuspects(TimePoint Now) const {
  std::size_t Services = 0;
  for (const std::pair<const ServiceName, std::map<TargetId, TimePoint>>
           &Entry : LastSuspected_) {
    const std::map<TargetId, TimePoint> &Suspects = Entry.second;
    const auto IsRecent = [&](const auto &Suspect) {
      return Suspect.second + Window >= Now;
    };
    const std::size_t SuspectCount =
        std::count_if(Suspects.begin(), Suspects.end(), IsRecent);
    const std::size_t TargetCount = TargetCounts_.at(Entry.first);
    if (TargetCounts_.size() == 1)
      return TargetCount >= MinTargetsOfSingleService &&
                     SuspectCount >= TargetCount
                 ? 1
                 : 0;
    Services += SuspectCount > 0 && 2 * SuspectCount >= TargetCount ? 1 : 0;
  }
  return Services >= MinServices ? Services : 0;
}

} // namespace kumquatpitch
