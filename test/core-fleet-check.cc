// Invariant checks of the fault matrix's fleet. See core-fleet.h.

#include "core-fleet.h"

#include <algorithm>

namespace kumquatpitch::test {

namespace {

/// Slots that a host gains by a change of the group become usable only after
/// the longest deadline (2 s) and the host list's settle time. One of the two
/// ticks is a margin.
constexpr Duration SettleTime =
    std::chrono::milliseconds(2'000) + HostListPropagationTime + 2 * TickPeriod;
constexpr Duration LeavingLimit = std::chrono::seconds(3);

bool isServing(TargetCondition Condition) {
  return Condition == TargetCondition::Usable ||
         Condition == TargetCondition::HeldByFloor ||
         Condition == TargetCondition::Ejected;
}

} // namespace

void CoreFleet::checkInvariants(std::size_t I) {
  if (!Hosts_[I].Core_)
    return;
  const HostStatus Status = Hosts_[I].Core_->status(local(I));
  checkVersion(I, Status);
  checkFloor(I, Status);
}

void CoreFleet::checkVersion(std::size_t I, const HostStatus &Status) {
  FleetHost &Host = Hosts_[I];
  if (Status.ConfigVersion_ < Host.Version_)
    Ledger_.violate(now(), 7,
                    "h" + std::to_string(I) + " went back from version " +
                        std::to_string(Host.Version_) + " to " +
                        std::to_string(Status.ConfigVersion_));
  if (Status.ConfigVersion_ == Host.Version_)
    return;
  Host.Version_ = Status.ConfigVersion_;
  std::size_t HostsAtNewest = 0;
  for (const FleetHost &Other : Hosts_)
    HostsAtNewest += Other.Core_ && Other.Version_ == ConfigVersion_ ? 1 : 0;
  if (ConfigVersion_ > 2 && HostsAtNewest == 2)
    reportStep(Step::HalfDistributed, I, 0);
}

/// Ejections may reduce a host's usable slots at serving targets to its share
/// of the floor, but no further. If running hosts hold all slots, their sum
/// must reach the service's floor.
void CoreFleet::checkFloor(std::size_t I, const HostStatus &Status) {
  FleetHost &Host = Hosts_[I];
  Host.UsableSlots_ = 0;
  Host.RequiredSlots_ = 0;
  Host.IsSettled_ = false;
  if (Status.Services_.empty())
    return;
  const ServiceStatus &Service = Status.Services_.front();
  if (Service.Group_ != Host.Group_) {
    Host.Group_ = Service.Group_;
    Host.GroupSince_ = now();
  }
  if (now() - Host.GroupSince_ < SettleTime)
    return;
  Host.IsSettled_ = true;
  std::uint64_t ServingSlots = 0;
  std::uint64_t ServiceSlots = 0;
  for (const TargetStatus &State : Service.Targets_) {
    const std::size_t Target = State.Id_.str().at(1) - '0';
    // The status of an ejected target does not show whether it also drains.
    const bool MayBeDraining = State.Condition_ == TargetCondition::Ejected &&
                               Backends_[Target].LeavingSign_;
    if (!isServing(State.Condition_) || MayBeDraining)
      continue;
    ServingSlots += State.OwnSlots_;
    ServiceSlots += FleetDocuments::Slots;
    if (State.Condition_ != TargetCondition::Ejected)
      Host.UsableSlots_ += State.OwnSlots_;
  }
  const std::uint64_t Floor = FleetDocuments::Floor * FleetDocuments::Slots;
  Host.RequiredSlots_ =
      ServiceSlots <= Floor
          ? ServingSlots
          : (Floor * ServingSlots + ServiceSlots - 1) / ServiceSlots;
  if (Host.UsableSlots_ < Host.RequiredSlots_)
    Ledger_.violate(now(), 1,
                    "h" + std::to_string(I) + " leaves " +
                        std::to_string(Host.UsableSlots_) + " of " +
                        std::to_string(Host.RequiredSlots_) +
                        " required slots");
  const bool AllServing = std::none_of(Backends_.begin(), Backends_.end(),
                                       [](const FleetBackend &Server) {
                                         return Server.LeavingSign_.has_value();
                                       });
  std::uint64_t Sum = 0;
  for (const HostId &Member : Host.Group_) {
    const FleetHost &Other = Hosts_[Member.str().at(1) - '0'];
    if (!Other.IsSettled_ || Other.Group_ != Host.Group_)
      return;
    Sum += Other.UsableSlots_;
  }
  if (AllServing && Sum < FleetDocuments::Floor * FleetDocuments::Slots)
    Ledger_.violate(now(), 1,
                    "all hosts together leave only " + std::to_string(Sum) +
                        " slots");
}

/// A host that knows of the leaving sign, or could have learnt of it, must send
/// no more requests to the target.
void CoreFleet::checkLeaving(std::size_t I, std::size_t Target) {
  const std::optional<TimePoint> Sign = Backends_[Target].LeavingSign_;
  if (!Sign || now() - *Sign <= LeavingLimit)
    return;
  const HostStatus Status = Hosts_[I].Core_->status(local(I));
  const TargetCondition CurrentCondition =
      Status.Services_.front().Targets_.at(Target).Condition_;
  // Without inbound messages, neither the group nor an answer can inform it.
  const LinkFaults &Faults = Hosts_[I].Link_;
  const bool IsUnreachable =
      Faults.DropsInbound_ || Faults.Truncates_ || Faults.Misroutes_;
  const bool WasUnreachable = now() - Hosts_[I].ReachableSince_ <= LeavingLimit;
  if ((IsUnreachable || WasUnreachable) && isServing(CurrentCondition))
    return;
  Ledger_.violate(
      now(), 5,
      "h" + std::to_string(I) + " writes to t" + std::to_string(Target) + " " +
          std::to_string(toMilliseconds(now() - *Sign)) +
          " ms after the first leaving sign" +
          (isServing(CurrentCondition) ? ""
                                       : ", although it knows of the sign"));
}

void CoreFleet::checkConverged() {
  for (std::size_t I = 0; I < MaxHosts; ++I)
    if (isUp(I) && Hosts_[I].Version_ != ConfigVersion_)
      Ledger_.violate(now(), 7,
                      "h" + std::to_string(I) + " is at version " +
                          std::to_string(Hosts_[I].Version_) + " of " +
                          std::to_string(ConfigVersion_));
}

void CoreFleet::checkIdle() {
  for (std::size_t I = 0; I < MaxHosts; ++I)
    for (const std::pair<const FlowId, Flow> &Entry : Hosts_[I].Flows_)
      Ledger_.violate(now(), 2,
                      "request " +
                          std::to_string(Entry.second.Send_->Key_.Request_) +
                          " at h" + std::to_string(I) + " has no outcome");
}

} // namespace kumquatpitch::test
