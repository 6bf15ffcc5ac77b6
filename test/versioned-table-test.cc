// VersionedTable: deltas between versions.

#include "kumquatpitch/versioned-table.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

using Table = VersionedTable<ManifestPart>;

static ManifestPart part(const char *Name, std::uint64_t Version) {
  return {std::string("service/") + Name, Version,
          contentHash(std::to_string(Version)), 10};
}

TEST_GROUP(VersionedTable) {
  Table Source_;
  Table Copy_;

  void setup() override {
    Source_.replace(1, {part("a", 1), part("b", 1), part("c", 1)});
    CHECK(Copy_.apply(Source_.deltaFor({})));
  }
};

TEST(VersionedTable, DeltaContainsOnlyChanges) {
  Source_.replace(2, {part("a", 1), part("b", 2), part("c", 1)});
  Source_.replace(5, {part("a", 1), part("b", 2), part("d", 1)});
  const ManifestDelta Delta = Source_.deltaFor(Copy_.version());
  CHECK_EQUAL(2, Delta.Changed_.size());
  CHECK_EQUAL(1, Delta.Removed_.size());
  CHECK(Copy_.apply(Delta));
  CHECK(Copy_.version() == Source_.version());
  CHECK(Copy_.find("service/c") == nullptr);
  CHECK_EQUAL(2, Copy_.find("service/b")->Version_);
}

// Guards against a late or rolled-back value that reverts the table to an older
// version.
TEST(VersionedTable, OlderVersionsAreRefused) {
  Source_.replace(2, {part("a", 2)});
  CHECK_FALSE(Source_.replace(1, {part("a", 1), part("b", 1)}));
  CHECK_FALSE(Source_.apply(Copy_.deltaFor({})));
  CHECK_EQUAL(2, Source_.version().Version_);
}

// Guards against two hosts that permanently hold different contents under the
// same version.
TEST(VersionedTable, GreaterDigestWinsForEqualVersions) {
  Table Left;
  Table Right;
  Left.replace(7, {part("a", 1)});
  Right.replace(7, {part("a", 2)});
  const TableVersion Greater = std::max(Left.version(), Right.version());
  const ManifestDelta ToLeft = Right.deltaFor(Left.version());
  const ManifestDelta ToRight = Left.deltaFor(Right.version());
  CHECK(Left.apply(ToLeft) != Right.apply(ToRight));
  CHECK(Left.version() == Greater);
  CHECK(Right.version() == Greater);
}

// Guards against a table that mixes two diverged histories.
TEST(VersionedTable, DeltaWithDigestMismatchIsRefused) {
  Source_.replace(2, {part("a", 2), part("b", 1), part("c", 1)});
  ManifestDelta Delta = Source_.deltaFor(Copy_.version());
  Delta.Changed_[0].Version_ = 9;
  CHECK_FALSE(Copy_.apply(Delta));
  CHECK_EQUAL(1, Copy_.version().Version_);
  CHECK_EQUAL(1, Copy_.find("service/a")->Version_);
}

// Guards against a delta that lacks the changes made before the sender's
// history starts.
TEST(VersionedTable, DeltaFromBeforeHistoryIsWholeTable) {
  Table Joined;
  Source_.replace(5, {part("a", 5)});
  CHECK(Joined.apply(Source_.deltaFor({})));
  const ManifestDelta Delta = Joined.deltaFor(Copy_.version());
  CHECK_EQUAL(0, Delta.From_.Version_);
  CHECK(Copy_.apply(Delta));
  CHECK_EQUAL(1, Copy_.size());
}
