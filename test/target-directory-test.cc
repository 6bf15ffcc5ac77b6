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
  CHECK_FALSE(Directory_.expire(atMs(12'100), atMs(12'100)));
  CHECK(Directory_.expire(atMs(12'200), atMs(12'200)));
  CHECK_EQUAL(1, Directory_.entries().size());
}

TEST(TargetDirectory, RepublishedEntriesStay) {
  Directory_.storeRecovered(atMs(10'000));
  Directory_.remove(TargetId("a"), atMs(10'100));
  Directory_.put(entry("a"), atMs(11'500));
  CHECK_FALSE(Directory_.expire(atMs(13'000), atMs(13'000)));
  CHECK_EQUAL(2, Directory_.entries().size());
}

// Guards against sending requests to a target that was draining before the
// store outage.
TEST(TargetDirectory, LeavingEntriesGetNoGracePeriod) {
  Directory_.put(entry("a", true), atMs(1));
  Directory_.storeRecovered(atMs(10'000));
  CHECK(Directory_.remove(TargetId("a"), atMs(10'000)));
}

// Guards against live targets that are dropped because the change that brings
// them back is still on its way to this host.
TEST(TargetDirectory, MissingEntriesAreDroppedOnceTheStateIsCurrent) {
  Directory_.storeRecovered(atMs(10'000));
  Directory_.replaceAll({entry("b")}, atMs(10'000));
  CHECK_FALSE(Directory_.expire(atMs(12'100), atMs(12'900)));
  CHECK(Directory_.expire(atMs(12'200), atMs(12'900)));
}

// Guards against a target that drains or has left, or an earlier incarnation,
// being used because a restored store lists it.
TEST(TargetDirectory, OlderEntriesOfARestoredStoreAreHeldBack) {
  TargetEntry Restarted = entry("c");
  Restarted.StartedUnixMs_ = 7;
  Directory_.put(Restarted, atMs(100));
  Directory_.remove(TargetId("a"), atMs(100));
  Directory_.put(entry("b", true), atMs(100));
  Directory_.storeRestored(atMs(10'000));
  Directory_.replaceAll({entry("a"), entry("b"), entry("c")}, atMs(10'000));
  CHECK_EQUAL(3, Directory_.heldBack());
  CHECK_EQUAL(0, Directory_.entries().count(TargetId("a")));
  CHECK(Directory_.entries().at(TargetId("b")).Leaving_);
  CHECK_EQUAL(7, Directory_.entries().at(TargetId("c")).StartedUnixMs_);
}

// Guards against live targets that stay unused: one that was cut off from the
// store before, and has written its entry again since.
TEST(TargetDirectory, HeldBackEntriesAreUsedWhenTheirTargetWrites) {
  Directory_.remove(TargetId("a"), atMs(100));
  Directory_.storeRestored(atMs(10'000));
  Directory_.replaceAll({entry("a"), entry("b")}, atMs(10'000));
  CHECK(Directory_.put(entry("a"), atMs(11'000)));
  CHECK_EQUAL(2, Directory_.entries().size());
  CHECK_EQUAL(0, Directory_.heldBack());
}

// Guards against a live target that stays unused because its entry in the copy
// is what it would write, so that the store shows no change.
TEST(TargetDirectory, HeldBackEntriesAreUsedWhenTheyOutliveTheirLease) {
  Directory_.remove(TargetId("a"), atMs(100));
  Directory_.storeRestored(atMs(10'000));
  Directory_.replaceAll({entry("a"), entry("b")}, atMs(10'000));
  CHECK_FALSE(Directory_.expire(atMs(14'900), atMs(15'100)));
  CHECK(Directory_.expire(atMs(15'000), atMs(15'100)));
  CHECK_EQUAL(2, Directory_.entries().size());
}

TEST(TargetDirectory, HeldBackEntriesThatLapseAreForgotten) {
  Directory_.remove(TargetId("a"), atMs(100));
  Directory_.storeRestored(atMs(10'000));
  Directory_.replaceAll({entry("a"), entry("b")}, atMs(10'000));
  Directory_.remove(TargetId("a"), atMs(14'500));
  CHECK_FALSE(Directory_.expire(atMs(15'000), atMs(15'000)));
  CHECK_EQUAL(1, Directory_.entries().size());
}

static LeavingTarget leaving(const char *Id, std::uint64_t StartedUnixMs = 1) {
  return LeavingTarget{TargetId(Id), StartedUnixMs};
}

// Guards against using a leaving target again because the store, which it does
// not reach, still lists it as ready.
TEST(TargetDirectory, TargetThatSaidThatItLeavesStaysLeaving) {
  CHECK(Directory_.markLeaving(leaving("a"), false, atMs(1)));
  CHECK_FALSE(Directory_.markLeaving(leaving("a"), true, atMs(2)));
  CHECK_FALSE(Directory_.put(entry("a"), atMs(3)));
  CHECK_FALSE(Directory_.replaceAll({entry("a"), entry("b")}, atMs(4)));
  CHECK(Directory_.entries().at(TargetId("a")).Leaving_);
  CHECK_FALSE(Directory_.entries().at(TargetId("b")).Leaving_);
}

// Guards against leaving out a target that has started again under its id, and
// against a late answer of the incarnation before.
TEST(TargetDirectory, LeavingHoldsForOneIncarnation) {
  Directory_.markLeaving(leaving("a"), false, atMs(1));
  TargetEntry Restarted = entry("a");
  Restarted.StartedUnixMs_ = 2;
  CHECK(Directory_.put(Restarted, atMs(2)));
  CHECK_FALSE(Directory_.markLeaving(leaving("a", 1), true, atMs(3)));
  CHECK_FALSE(Directory_.markLeaving(leaving("c"), true, atMs(4)));
  CHECK_FALSE(Directory_.entries().at(TargetId("a")).Leaving_);
  CHECK(Directory_.takeLeavingAnnouncements(atMs(9'000)).empty());
}

// Guards against announcing each planned stop on every host, which the store
// does already.
TEST(TargetDirectory, LeavingIsNotAnnouncedOnceTheStoreListsIt) {
  Directory_.markLeaving(leaving("a"), false, atMs(1));
  Directory_.markLeaving(leaving("b"), false, atMs(1));
  Directory_.put(entry("a", true), atMs(700));
  Directory_.remove(TargetId("b"), atMs(700));
  CHECK(Directory_.takeLeavingAnnouncements(atMs(9'000)).empty());
  CHECK_FALSE(Directory_.markLeaving(leaving("a"), false, atMs(9'100)));
  CHECK(Directory_.takeLeavingAnnouncements(atMs(19'000)).empty());
}
