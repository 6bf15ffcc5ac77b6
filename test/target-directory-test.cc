// Entries of live targets: departures, and entries that lapse with the store.

#include "kumquatpitch/target-directory.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static TargetEntry entry(const char *Id, bool Leaving = false) {
  TargetEntry Made;
  Made.Id_ = TargetId(Id);
  Made.Service_ = ServiceName("desk");
  Made.Address_ = Endpoint{"10.0.0.1", 80};
  Made.StartedUnixMs_ = 1;
  Made.Leaving_ = Leaving;
  return Made;
}

TEST_GROUP(TargetDirectory) {
  TargetDirectory Directory_;

  void setup() override {
    Directory_.put(entry("a"), atMs(0));
    Directory_.put(entry("b"), atMs(0));
  }
};

TEST(TargetDirectory, OnlyChangesThatMatterAreReported) {
  TargetEntry Warmer = entry("a");
  Warmer.ColdFor_ = ms(900);
  CHECK_FALSE(Directory_.put(Warmer, atMs(1)));
  CHECK(Directory_.put(entry("a", true), atMs(2)));
}

TEST(TargetDirectory, RemovedEntriesAreGoneAtOnce) {
  CHECK(Directory_.remove(TargetId("a"), atMs(1)));
  CHECK_EQUAL(1, Directory_.entries().size());
}

// Guards against an outage of the store emptying every service when it returns.
TEST(TargetDirectory, LapsedEntriesAreKeptUntilTheyCouldBeBack) {
  Directory_.storeReturned(atMs(10'000));
  CHECK_FALSE(Directory_.replaceAll({entry("b")}, atMs(10'000)));
  CHECK_EQUAL(2, Directory_.entries().size());
  CHECK_FALSE(Directory_.expire(atMs(12'100)));
  CHECK(Directory_.expire(atMs(12'200)));
  CHECK_EQUAL(1, Directory_.entries().size());
}

TEST(TargetDirectory, EntriesThatComeBackStay) {
  Directory_.storeReturned(atMs(10'000));
  Directory_.remove(TargetId("a"), atMs(10'100));
  Directory_.put(entry("a"), atMs(11'500));
  CHECK_FALSE(Directory_.expire(atMs(13'000)));
  CHECK_EQUAL(2, Directory_.entries().size());
}

// Guards against new work for a target that announced its end before the store
// was away.
TEST(TargetDirectory, LeavingEntriesAreNotKept) {
  Directory_.put(entry("a", true), atMs(1));
  Directory_.storeReturned(atMs(10'000));
  CHECK(Directory_.remove(TargetId("a"), atMs(10'000)));
}
