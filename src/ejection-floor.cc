// Computes floor shares, permitted ejections and required reinstatements. See
// ejection-floor.h.

#include "kumquatpitch/ejection-floor.h"

#include <algorithm>

namespace kumquatpitch {

static std::uint64_t divideRoundingUp(std::uint64_t Dividend,
                                      std::uint64_t Divisor) {
  return (Dividend + Divisor - 1) / Divisor;
}

std::uint64_t floorShare(std::uint32_t FloorTargets,
                         const FloorSnapshot &Targets) {
  if (Targets.empty())
    return 0;
  std::uint64_t Total = 0;
  std::uint64_t Serving = 0;
  std::uint64_t OwnServing = 0;
  for (const FloorTarget &Target : Targets) {
    Total += Target.TotalSlots_;
    Serving += Target.Serving_ ? Target.TotalSlots_ : 0;
    OwnServing += Target.Serving_ ? Target.OwnSlots_ : 0;
  }
  const std::uint64_t Floor =
      divideRoundingUp(FloorTargets * Total, Targets.size());
  if (Serving <= Floor)
    return OwnServing;
  return divideRoundingUp(Floor * OwnServing, Serving);
}

std::uint64_t usableSlots(const FloorSnapshot &Targets) {
  std::uint64_t Slots = 0;
  for (const FloorTarget &Target : Targets)
    if (Target.Serving_ && !Target.Ejected_)
      Slots += Target.OwnSlots_;
  return Slots;
}

bool mayEject(std::uint32_t FloorTargets, const FloorSnapshot &Targets,
              const TargetId &Id) {
  const auto HasId = [&](const FloorTarget &Target) {
    return Target.Id_ == Id;
  };
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
  for (const FloorTarget &Target : Targets)
    if (Target.Serving_ && Target.Ejected_ && Target.OwnSlots_ > 0)
      Candidates.push_back(&Target);
  const auto HasLowerScore = [](const FloorTarget *Left,
                                const FloorTarget *Right) {
    return Left->Score_ < Right->Score_;
  };
  std::stable_sort(Candidates.begin(), Candidates.end(), HasLowerScore);
  for (const FloorTarget *Target : Candidates) {
    if (Usable >= Share)
      break;
    Usable += Target->OwnSlots_;
    Required.push_back(Target->Id_);
  }
  return Required;
}

} // namespace kumquatpitch
