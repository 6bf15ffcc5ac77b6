// Divides slots among the hosts of a group by rotation. See slot-plan.h.

#include "kumquatpitch/slot-plan.h"

#include <algorithm>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

/// Number of indices i below `Total` for which (Start + i) mod Members equals
/// Member.
std::uint32_t rotatedCount(std::uint32_t Total, std::uint64_t Start,
                           std::uint64_t Member, std::uint64_t Members) {
  const std::uint64_t First = (Member + Members - Start) % Members;
  return First >= Total ? 0 : (Total - First - 1) / Members + 1;
}

SlotShare minimum(const SlotShare &Left, const SlotShare &Right) {
  return {std::min(Left.Slots_, Right.Slots_),
          std::min(Left.Connections_, Right.Connections_)};
}

bool exceeds(const SlotShare &Left, const SlotShare &Right) {
  return Left.Slots_ > Right.Slots_ || Left.Connections_ > Right.Connections_;
}

} // namespace

SlotShare SlotPlan::shareOf(const HostId &Host, const TargetId &Target) const {
  const auto Owner = Shares_.find(Host);
  if (Owner == Shares_.end())
    return {};
  const SlotShares::const_iterator It = Owner->second.find(Target);
  return It == Owner->second.end() ? SlotShare{} : It->second;
}

SlotShares SlotPlan::sharesOf(const HostId &Host) const {
  const auto Owner = Shares_.find(Host);
  return Owner == Shares_.end() ? SlotShares{} : Owner->second;
}

HostWeights SlotPlan::weights() const {
  HostWeights Weights;
  for (const std::pair<const HostId, SlotShares> &Host : Shares_)
    for (const SlotShares::value_type &Share : Host.second)
      Weights[Host.first] += Share.second.Slots_;
  return Weights;
}

SlotPlan makeSlotPlan(const ServiceEntry &Entry, const Group &Hosts) {
  SlotPlan Plan;
  const std::uint64_t Members = Hosts.Members_.size();
  // The seed depends on the service: services may use the same target ids, and
  // with equal hashes the same members would own the odd slots of all of them.
  const std::string &Service = Entry.Service_.str();
  const std::uint64_t Seed = XXH3_64bits(Service.data(), Service.size());
  for (std::uint64_t Member = 0; Member < Members; ++Member) {
    SlotShares &Shares = Plan.Shares_[Hosts.Members_[Member].Host_];
    for (const Target &Listed : Entry.Targets_) {
      const std::string &Id = Listed.Id_.str();
      const std::uint64_t Start =
          XXH3_64bits_withSeed(Id.data(), Id.size(), Seed) % Members;
      Shares[Listed.Id_] = {
          rotatedCount(Listed.Slots_, Start, Member, Members),
          rotatedCount(Listed.Connections_, Start, Member, Members)};
    }
  }
  return Plan;
}

OwnSlots::Holding OwnSlots::updatedHolding(const Holding &Current,
                                           const SlotShare &Planned,
                                           Duration Wait, TimePoint Now) {
  const SlotShare UsableNow =
      Now >= Current.ReadyAt_ ? Current.Planned_ : Current.Usable_;
  Holding Next{minimum(UsableNow, Planned), Planned, Current.ReadyAt_};
  if (exceeds(Planned, Current.Planned_))
    Next.ReadyAt_ = Now + Wait;
  return Next;
}

void OwnSlots::setPlan(const SlotShares &Planned, Duration LongestDeadline,
                       TimePoint Now) {
  std::map<TargetId, Holding> Next;
  for (const SlotShares::value_type &Share : Planned) {
    const auto It = Holdings_.find(Share.first);
    const Holding Current = It == Holdings_.end() ? Holding{} : It->second;
    Next[Share.first] = updatedHolding(
        Current, Share.second, LongestDeadline + HostListPropagationTime, Now);
  }
  Holdings_ = std::move(Next);
}

SlotShares OwnSlots::usable(TimePoint Now) const {
  SlotShares Shares;
  for (const std::pair<const TargetId, Holding> &Entry : Holdings_)
    Shares[Entry.first] = Now >= Entry.second.ReadyAt_ ? Entry.second.Planned_
                                                       : Entry.second.Usable_;
  return Shares;
}

} // namespace kumquatpitch
