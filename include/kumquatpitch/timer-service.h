// The timer service: the only source of time for the core. Io implements it on
// Asio; tests own a manual one.

#ifndef KUMQUATPITCH_TIMER_SERVICE_H
#define KUMQUATPITCH_TIMER_SERVICE_H

#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <functional>

namespace kumquatpitch {

/// Identifies a subscription; never reused by one service.
using TimerSubscription = std::uint64_t;

/// Gives the time and calls subscribers back periodically.
class TimerService {
public:
  virtual ~TimerService() = default;

  /// Current time; never goes back.
  virtual TimePoint now() const = 0;

  /// Calls `Callback` once each `Period` with the time at which it runs. A late
  /// service calls once, not once for each missed period.
  virtual TimerSubscription
  subscribe(Duration Period, std::function<void(TimePoint)> Callback) = 0;

  /// Ends a subscription. Unknown ones are ignored.
  virtual void unsubscribe(TimerSubscription Subscription) = 0;
};

} // namespace kumquatpitch

#endif
