// Computes floor shares and the ejections they allow. See ejection-floor.h.

#include "kumquatpitch/ejection-floor.h"

#include <algorithm>

namespace kumquatpitch {

static std::uint64_t roundedUp(std::uint64_t Dividend, std::uint64_t Divisor) {
  return (Dividend + Divisor - 1) / Divisor;
}

std::uint64_t floorShare(std::uint32_t FloorTargets,
                         const FloorSnapshot &Targets) {
  if (Targets.empty())
    return 0;
  std::uint64_t Total = 0;
  std::uint64_t Serving = 0;
  std::uint64_t OwnServing = 0;
  for (const FloorTarget &Each : Targets) {
    Total += Each.TotalSlots_;
    Serving += Each.Serving_ ? Each.TotalSlots_ : 0;
    OwnServing += Each.Serving_ ? Each.OwnSlots_ : 0;
  }
  const std::uint64_t Floor = roundedUp(FloorTargets * Total, Targets.size());
  if (Serving <= Floor)
    return OwnServing;
  return roundedUp(Floor * OwnServing, Serving);
}

std::uint64_t usableSlots(const FloorSnapshot &Targets) {
  std::uint64_t Slots = 0;
  for (const FloorTarget &Each : Targets)
    if (Each.Serving_ && !Each.Ejected_)
      Slots += Each.OwnSlots_;
  return Slots;
}

bool mayEject(std::uint32_t FloorTargets, const FloorSnapshot &Targets,
              const TargetId &Id) {
  const auto HasId = [&](const FloorTarget &Each) { return Each.Id_ == Id; };
  const FloorSnapshot::const_iterator It =
      std::find_if(Targets.begin(), Targets.end(), HasId);
  if (It == Targets.end() || !It->Serving_ || It->Ejected_)
    return false;
  return usableSlots(Targets) >=
         floorShare(FloorTargets, Targets) + It->OwnSlots_;
}

std::vector<TargetId> requiredReinstatements(std::uint32_t FloorTargets,
                                             const FloorSnapshot &Targets) {
  const std::uint64_t Share = floorShare(FloorTargets, Targets);
  std::uint64_t Usable = usableSlots(Targets);
  std::vector<TargetId> Required;
  if (Usable >= Share)
    return Required;
  std::vector<const FloorTarget *> Candidates;
  for (const FloorTarget &Each : Targets)
    if (Each.Serving_ && Each.Ejected_ && Each.OwnSlots_ > 0)
      Candidates.push_back(&Each);
  const auto IsLessBad = [](const FloorTarget *Left, const FloorTarget *Right) {
    return Left->Score_ < Right->Score_;
  };
  std::stable_sort(Candidates.begin(), Candidates.end(), IsLessBad);
  for (const FloorTarget *Each : Candidates) {
    if (Usable >= Share)
      break;
    Usable += Each->OwnSlots_;
    Required.push_back(Each->Id_);
  }
  return Required;
}

} // namespace kumquatpitch
