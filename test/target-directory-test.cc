// Target entries: draining and removal, and entries lost in a store outage.

#include "kumquatpitch/target-directory.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static TargetEntry entry(const char *Id, bool Leaving = false) {
  TargetEntry Entry;
  Entry.Id_ = TargetId(Id);
  Entry.Service_ = ServiceName("desk");
  Entry.Address_ = Endpoint{"10.0.0.1", 80};
  Entry.StartedUnixMs_ = 1;
  Entry.Leaving_ = Leaving;
  return Entry;
}

TEST_GROUP(TargetDirectory) {
  TargetDirectory Directory_;

  void setup() override {
    Directory_.put(entry("a"), atMs(0));
    Directory_.put(entry("b"), atMs(0));
  }
};

TEST(TargetDirectory, OnlyRoutingChangesAreReported) {
  TargetEntry Warmer = entry("a");
  Warmer.ColdFor_ = ms(900);
  CHECK_FALSE(Directory_.put(Warmer, atMs(1)));
  CHECK(Directory_.put(entry("a", true), atMs(2)));
}

TEST(TargetDirectory, RemovedEntriesAreDroppedAtOnce) {
  CHECK(Directory_.remove(TargetId("a"), atMs(1)));
  CHECK_EQUAL(1, Directory_.entries().size());
}

// Guards against every service losing its targets at the end of a store outage,
// in which their entries expired.
TEST(TargetDirectory, ExpiredEntriesAreKeptForTheGracePeriod) {
  Directory_.storeRecovered(atMs(10'000));
  CHECK_FALSE(Directory_.replaceAll({entry("b")}, atMs(10'000)));
  CHECK_EQUAL(2, Directory_.entries().size());
  CHECK_FALSE(Directory_.expire(atMs(12'100)));
  CHECK(Directory_.expire(atMs(12'200)));
  CHECK_EQUAL(1, Directory_.entries().size());
}

TEST(TargetDirectory, RepublishedEntriesStay) {
  Directory_.storeRecovered(atMs(10'000));
  Directory_.remove(TargetId("a"), atMs(10'100));
  Directory_.put(entry("a"), atMs(11'500));
  CHECK_FALSE(Directory_.expire(atMs(13'000)));
  CHECK_EQUAL(2, Directory_.entries().size());
}

// Guards against sending requests to a target that was draining before the
// store outage.
TEST(TargetDirectory, LeavingEntriesGetNoGracePeriod) {
  Directory_.put(entry("a", true), atMs(1));
  Directory_.storeRecovered(atMs(10'000));
  CHECK(Directory_.remove(TargetId("a"), atMs(10'000)));
}
