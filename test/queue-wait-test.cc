// Waits in a host's queue, from arrivals and departures.

#include "kumquatpitch/queue-wait.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(QueueWait) {
  QueueWait Wait_;

  /// From `StartMs`, one arrival of `Priority` and one departure each
  /// `IntervalMs`, with a queue that is not empty.
  void runBusy(std::int64_t StartMs, std::int64_t IntervalMs,
               std::uint32_t Priority) {
    Wait_.setQueueEmpty(false, atMs(StartMs));
    for (std::int64_t TimeMs = StartMs; TimeMs < StartMs + 10'000;
         TimeMs += IntervalMs) {
      Wait_.requestArrived(RequestPriority{0, Priority}, atMs(TimeMs));
      Wait_.attemptStarted(false, atMs(TimeMs));
    }
  }
};

// Guards against refusing the first request that has to wait.
TEST(QueueWait, ExpectedRateIsUsedBeforeAnythingIsKnown) {
  CHECK(Wait_.expectedWait({0, {0, 0}, false}, 10, atMs(0)) == ms(100));
  CHECK(Wait_.expectedWait({4, {0, 0}, false}, 10, atMs(0)) == ms(500));
}

// Guards against waits that follow the slots of a service that other hosts use.
TEST(QueueWait, MeasuredRateReplacesTheExpectedOne) {
  runBusy(0, 50, 0);
  const double Rate = Wait_.departureRate(200, atMs(10'000));
  CHECK(Rate > 18);
  // The expected rate still has the weight of 0.3 s, beside 1.5 s.
  CHECK(Rate < 55);
}

// Guards against letting a less urgent request wait while more urgent ones take
// all room.
TEST(QueueWait, UrgentArrivalsDelayLessUrgentRequests) {
  runBusy(0, 50, 1);
  const TimePoint Now = atMs(10'000);
  CHECK(Wait_.expectedWait({2, {0, 1}, false}, 20, Now) < ms(200));
  CHECK(Wait_.expectedWait({2, {0, 2}, false}, 20, Now) > ms(10'000));
  CHECK(Wait_.expectedWait({2, {0, 1}, true}, 20, Now) > ms(10'000));
}

// Guards against refusing requests long after a load has ended.
TEST(QueueWait, OldArrivalsAreForgotten) {
  runBusy(0, 50, 1);
  Wait_.setQueueEmpty(true, atMs(10'000));
  CHECK(Wait_.expectedWait({0, {0, 2}, false}, 20, atMs(20'000)) < ms(60));
}

// A host with more than its part of the callers takes more than its part of the
// slots: what the targets took from it lately counts, also without a queue.
TEST(QueueWait, RecentDeparturesRaiseTheExpectedRate) {
  for (std::int64_t TimeMs = 0; TimeMs < 10'000; TimeMs += 20)
    Wait_.attemptStarted(true, atMs(TimeMs));
  CHECK(Wait_.departureRate(5, atMs(10'000)) > 40);
}
