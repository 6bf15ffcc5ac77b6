// Watches for pauses and network cuts of this host. See host-fault-monitor.h.

#include "kumquatpitch/host-fault-monitor.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

/// Services that must have half of their targets bad at once.
constexpr std::size_t SeveralServices = 2;

/// A host with a single service has no second one to compare with; it suspects
/// itself only when all of at least this many targets are bad.
constexpr std::size_t LeastTargetsOfSingleService = 3;

} // namespace

void HostFaultMonitor::setServices(
    std::map<ServiceName, std::size_t> TargetCounts) {
  TargetCounts_ = std::move(TargetCounts);
  std::erase_if(TurnedBad_, [&](const auto &Each) {
    return !TargetCounts_.contains(Each.first);
  });
}

void HostFaultMonitor::timerFired(TimePoint Expected, TimePoint Actual) {
  const Duration Lateness = Actual - Expected;
  if (Lateness <= LateTimerLimit)
    return;
  Fault_ = HostFault{HostFaultCause::LateTimer, Lateness, 0, Actual};
  FaultUntil_ = Actual + Window;
}

void HostFaultMonitor::targetTurnedBad(const ServiceName &Service,
                                       const TargetId &Target, TimePoint Now) {
  if (!TargetCounts_.contains(Service))
    return;
  std::map<TargetId, TimePoint> &Bad = TurnedBad_[Service];
  std::erase_if(Bad,
                [&](const auto &Each) { return Each.second + Window < Now; });
  Bad[Target] = Now;
  const std::size_t Services = servicesWithManyBad(Now);
  if (Services == 0)
    return;
  Fault_ = HostFault{HostFaultCause::ManyTargetsBad, Duration{}, Services, Now};
  FaultUntil_ = Now + Window;
}

std::optional<HostFault>
HostFaultMonitor::ownFaultSuspected(TimePoint Now) const {
  return Fault_ && Now < FaultUntil_ ? Fault_ : std::nullopt;
}

std::size_t HostFaultMonitor::servicesWithManyBad(TimePoint Now) const {
  std::size_t Services = 0;
  for (const std::pair<const ServiceName, std::map<TargetId, TimePoint>> &Of :
       TurnedBad_) {
    const std::map<TargetId, TimePoint> &Bad = Of.second;
    const auto IsRecent = [&](const auto &Each) {
      return Each.second + Window >= Now;
    };
    const std::size_t BadCount =
        std::count_if(Bad.begin(), Bad.end(), IsRecent);
    const std::size_t Count = TargetCounts_.at(Of.first);
    if (TargetCounts_.size() == 1)
      return Count >= LeastTargetsOfSingleService && BadCount >= Count ? 1 : 0;
    Services += BadCount > 0 && 2 * BadCount >= Count ? 1 : 0;
  }
  return Services >= SeveralServices ? Services : 0;
}

} // namespace kumquatpitch
