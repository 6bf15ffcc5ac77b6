// Tests of the time that the daemons pass to the core.

#include "kumquatpitch/asio-timer-service.h"

#include <ctime>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static TimePoint timeSinceBoot() {
  std::timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

TEST_GROUP(AsioTimerService){};

// Guards against a clock that stops while the machine is suspended: a
// configuration read before that would look recent. A test cannot suspend the
// machine, so the clock is compared with the one that counts suspension.
TEST(AsioTimerService, TimeIncludesSuspension) {
  asio::io_context Context;
  const AsioTimerService Timers(Context);
  const TimePoint Before = timeSinceBoot();
  const TimePoint Now = Timers.now();
  const TimePoint After = timeSinceBoot();
  CHECK(Before <= Now);
  CHECK(Now <= After);
}
