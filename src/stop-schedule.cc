// Times of a planned stop. See stop-schedule.h.

#include "kumquatpitch/stop-schedule.h"

#include <algorithm>

namespace kumquatpitch {

/// The process ends this long before it would be killed. A sixth of a short
/// timeout: targets may be at work for longer only on requests that were sent
/// before the stop or soon after its beginning.
static constexpr Duration MaxEndMargin = std::chrono::milliseconds(500);
static constexpr int EndMarginDivisor = 6;
/// Reserved for writing the response to a request that ends at its deadline.
static constexpr Duration MaxDeliveryTime = std::chrono::milliseconds(250);
static constexpr int DeliveryTimeDivisor = 12;
/// How long an idle process still refuses requests: callers may not know yet
/// that the host is leaving.
static constexpr Duration RefusalTime = std::chrono::seconds(1);

StopSchedule::StopSchedule(TimePoint Start, Duration Timeout)
    : ServeUntil_(Start + Timeout / 2),
      EndAt_(Start + Timeout -
             std::min(MaxEndMargin, Timeout / EndMarginDivisor)) {
  LatestDeadline_ =
      EndAt_ - std::min(MaxDeliveryTime, Timeout / DeliveryTimeDivisor);
}

bool StopSchedule::mayEnd(TimePoint Now, bool IsIdle) const {
  return Now >= EndAt_ || (IsIdle && Now >= ServeUntil_ + RefusalTime);
}

} // namespace kumquatpitch
