// ReaderRank: who reads the platform.

#include "kumquatpitch/reader-rank.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using test::atMs;

TEST_GROUP(ReaderRank) {
  static constexpr std::size_t Hosts = 12;
  VersionedTable<HostRecord> List_;
  std::vector<ReaderRank> Ranks_;

  void setup() override {
    std::vector<HostRecord> Records;
    for (std::size_t Index = 0; Index < Hosts; ++Index) {
      HostRecord Record;
      Record.Id_ = HostId("h" + std::to_string(10 + Index));
      Record.Domain_ = FailureDomain("yaba");
      Records.push_back(Record);
    }
    List_.replace(1, Records);
    std::vector<ReaderRank> Unsorted;
    Unsorted.reserve(Records.size());
    for (const HostRecord &Record : Records)
      Unsorted.emplace_back(Record.Id_, Record.Domain_);
    for (ReaderRank &Rank : Unsorted)
      Rank.setHosts(List_, atMs(0));
    for (std::size_t Place = 0; Place < Hosts; ++Place)
      for (const ReaderRank &Rank : Unsorted)
        if (Rank.rank() == Place)
          Ranks_.push_back(Rank);
  }

  /// One second in which beats of the hosts from `First` on reach all of them.
  void second(std::int64_t Second, std::size_t First) {
    std::vector<ReaderBeat> Beats;
    for (std::size_t Place = First; Place < Hosts; ++Place) {
      Ranks_[Place].tick(atMs(Second * 1'000));
      if (Ranks_[Place].isReader())
        Beats.push_back(Ranks_[Place].freshBeats(atMs(Second * 1'000))[0]);
    }
    for (std::size_t Place = First; Place < Hosts; ++Place)
      Ranks_[Place].onBeats(Beats, atMs(Second * 1'000));
  }

  std::size_t readers(std::size_t First) const {
    std::size_t Count = 0;
    for (std::size_t Place = First; Place < Hosts; ++Place)
      Count += Ranks_[Place].isReader() ? 1 : 0;
    return Count;
  }
};

TEST(ReaderRank, TheFirstTwoRead) {
  for (std::int64_t Second = 1; Second < 60; ++Second)
    second(Second, 0);
  CHECK_EQUAL(Hosts, Ranks_.size());
  CHECK_EQUAL(2, readers(0));
  CHECK(Ranks_[0].isReader() && Ranks_[1].isReader());
}

// Guards against a failure domain without readers while the list still names
// the ones that are gone, and against one where all become readers.
TEST(ReaderRank, LaterHostsTakeOverAndStopAgain) {
  for (std::int64_t Second = 1; Second < 20; ++Second)
    second(Second, 0);
  for (std::int64_t Second = 20; Second < 80; ++Second)
    second(Second, 5);
  CHECK_EQUAL(2, readers(5));
  CHECK(Ranks_[5].isReader() && Ranks_[6].isReader());
  for (std::int64_t Second = 80; Second < 90; ++Second)
    second(Second, 0);
  CHECK_EQUAL(2, readers(0));
}

// Guards against a reader that is gone and lives on in relayed beats.
TEST(ReaderRank, BeatsThatDoNotRiseAreNotRelayed) {
  const std::vector<ReaderBeat> Beats = {
      {HostId("x"), FailureDomain("ibadan"), 5}};
  ReaderRank &Last = Ranks_.back();
  Last.onBeats(Beats, atMs(0));
  CHECK_EQUAL(1, Last.freshBeats(atMs(6'000)).size());
  Last.onBeats(Beats, atMs(6'000));
  CHECK_EQUAL(0, Last.freshBeats(atMs(6'001)).size());
}
