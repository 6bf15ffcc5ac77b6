// Timer service interface: the only source of time for the core. The production
// implementation uses Asio; tests use one that they advance by hand.

#ifndef KUMQUATPITCH_TIMER_SERVICE_H
#define KUMQUATPITCH_TIMER_SERVICE_H

#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <functional>

namespace kumquatpitch {

/// Identifies a subscription. A service never reuses an identifier.
using TimerSubscription = std::uint64_t;

/// Provides the current time and periodic callbacks.
class TimerService {
public:
  virtual ~TimerService() = default;

  /// Current time; never goes back.
  virtual TimePoint now() const = 0;

  /// Calls `Callback` once per `Period` with the time at which it runs. After a
  /// delay it is called once, not once for each missed period.
  virtual TimerSubscription
  subscribe(Duration Period, std::function<void(TimePoint)> Callback) = 0;

  /// Ends a subscription. An unknown identifier is ignored.
  virtual void unsubscribe(TimerSubscription Subscription) = 0;
};

} // namespace kumquatpitch

#endif
