// Tests of the times of a planned stop.

#include "kumquatpitch/stop-schedule.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(StopSchedule){};

TEST(StopSchedule, ServesForHalfOfTheTimeout) {
  const StopSchedule Stop(atMs(1'000), ms(10'000));
  CHECK(Stop.servesNewRequests(atMs(5'999)));
  CHECK_FALSE(Stop.servesNewRequests(atMs(6'000)));
}

// Guards against a host that stays without need, and against one that ends
// while callers do not know yet that it is leaving.
TEST(StopSchedule, EndsWhenIdleOrBeforeItIsKilled) {
  const StopSchedule Stop(atMs(0), ms(10'000));
  CHECK_FALSE(Stop.mayEnd(atMs(5'999), true));
  CHECK(Stop.mayEnd(atMs(6'000), true));
  CHECK_FALSE(Stop.mayEnd(atMs(9'499), false));
  CHECK(Stop.mayEnd(atMs(9'500), false));
}

// Guards against sending requests whose responses the end of the process cuts,
// and against an end before the last sixth of any timeout.
TEST(StopSchedule, RequestsEndBeforeTheProcess) {
  for (const std::int64_t TimeoutMs : {12, 600, 2'000, 6'000, 60'000}) {
    const StopSchedule Stop(atMs(0), ms(TimeoutMs));
    CHECK(Stop.latestDeadline() > atMs(TimeoutMs * 7 / 10));
    CHECK(Stop.latestDeadline() < Stop.endAt());
    CHECK(Stop.endAt() >= atMs(TimeoutMs * 5 / 6));
    CHECK(Stop.endAt() < atMs(TimeoutMs));
  }
}
