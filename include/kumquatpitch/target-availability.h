// Interface through which target selection learns which targets are healthy.
// Implemented on top of TargetHealth, and by a stub in the tests.

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

  /// Fraction of its full share of work that a target should receive, from 0 to
  /// 1; below 1 while it ramps up, as after an ejection.
  virtual double rampShare(const TargetId &Target, TimePoint Now) const = 0;
};

} // namespace kumquatpitch

#endif
