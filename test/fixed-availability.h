// Stub of TargetAvailability whose answers the test sets.

#ifndef KUMQUATPITCH_FIXED_AVAILABILITY_H
#define KUMQUATPITCH_FIXED_AVAILABILITY_H

#include "kumquatpitch/target-availability.h"

#include <algorithm>
#include <map>
#include <set>

namespace kumquatpitch::test {

/// Targets are usable unless they are in Ejected_. A target in Reinstated_
/// ramps up over RampTime_, starting at the time given there.
struct FixedAvailability : TargetAvailability {
  bool isUsable(const TargetId &Target) const override {
    return Ejected_.count(Target) == 0;
  }

  double rampShare(const TargetId &Target, TimePoint Now) const override {
    const std::map<TargetId, TimePoint>::const_iterator It =
        Reinstated_.find(Target);
    if (It == Reinstated_.end())
      return 1;
    return std::clamp(static_cast<double>((Now - It->second).count()) /
                          static_cast<double>(RampTime_.count()),
                      0.0, 1.0);
  }

  std::set<TargetId> Ejected_;
  std::map<TargetId, TimePoint> Reinstated_;
  Duration RampTime_ = std::chrono::seconds(10);
};

} // namespace kumquatpitch::test

#endif
