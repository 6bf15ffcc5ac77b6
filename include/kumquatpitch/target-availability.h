// What target selection needs to know of the health of targets. TargetHealth
// implements it; tests own a fixed one.

#ifndef KUMQUATPITCH_TARGET_AVAILABILITY_H
#define KUMQUATPITCH_TARGET_AVAILABILITY_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/time-point.h"

namespace kumquatpitch {

class TargetAvailability {
public:
  virtual ~TargetAvailability() = default;

  /// False while the target is ejected.
  virtual bool isUsable(const TargetId &Target) const = 0;

  /// Part of its usual work that a reinstated target is to get, from 0 to 1; 1
  /// when it was not ejected lately.
  virtual double rampShare(const TargetId &Target, TimePoint Now) const = 0;
};

} // namespace kumquatpitch

#endif
