// ReaderRank: which hosts of a failure domain read the platform.

#include "kumquatpitch/reader-rank.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using test::atMs;

TEST_GROUP(ReaderRank) {
  static constexpr std::size_t Hosts = 12;
  VersionedTable<HostRecord> HostList_;
  std::vector<ReaderRank> HostsByRank_;

  void setup() override {
    std::vector<HostRecord> Records;
    for (std::size_t Index = 0; Index < Hosts; ++Index) {
      HostRecord Record;
      Record.Id_ = HostId("h" + std::to_string(10 + Index));
      Record.Domain_ = FailureDomain("yaba");
      Records.push_back(Record);
    }
    HostList_.replace(1, Records);
    std::vector<ReaderRank> Unsorted;
    Unsorted.reserve(Records.size());
    for (const HostRecord &Record : Records)
      Unsorted.emplace_back(Record.Id_, Record.Domain_);
    for (ReaderRank &Host : Unsorted)
      Host.setHosts(HostList_, atMs(0));
    for (std::size_t Rank = 0; Rank < Hosts; ++Rank)
      for (const ReaderRank &Host : Unsorted)
        if (Host.rank() == Rank)
          HostsByRank_.push_back(Host);
  }

  /// Runs one second in which only the hosts whose rank is at least `First`
  /// are up and exchange heartbeats.
  void runSecond(std::int64_t Second, std::size_t First) {
    std::vector<ReaderHeartbeat> Heartbeats;
    for (std::size_t Rank = First; Rank < Hosts; ++Rank) {
      HostsByRank_[Rank].tick(atMs(Second * 1'000));
      if (HostsByRank_[Rank].isReader())
        Heartbeats.push_back(
            HostsByRank_[Rank].freshHeartbeats(atMs(Second * 1'000))[0]);
    }
    for (std::size_t Rank = First; Rank < Hosts; ++Rank)
      HostsByRank_[Rank].applyHeartbeats(Heartbeats, atMs(Second * 1'000));
  }

  std::size_t readers(std::size_t First) const {
    std::size_t Count = 0;
    for (std::size_t Rank = First; Rank < Hosts; ++Rank)
      Count += HostsByRank_[Rank].isReader() ? 1 : 0;
    return Count;
  }
};

TEST(ReaderRank, HighestRankedTwoHostsRead) {
  for (std::int64_t Second = 1; Second < 60; ++Second)
    runSecond(Second, 0);
  CHECK_EQUAL(Hosts, HostsByRank_.size());
  CHECK_EQUAL(2, readers(0));
  CHECK(HostsByRank_[0].isReader() && HostsByRank_[1].isReader());
}

// Guards against a failure domain without readers while the host list still
// names readers that are gone, and against one where all hosts become readers.
TEST(ReaderRank, LowerRankedHostsTakeOverAndStopAgain) {
  for (std::int64_t Second = 1; Second < 20; ++Second)
    runSecond(Second, 0);
  for (std::int64_t Second = 20; Second < 80; ++Second)
    runSecond(Second, 5);
  CHECK_EQUAL(2, readers(5));
  CHECK(HostsByRank_[5].isReader() && HostsByRank_[6].isReader());
  for (std::int64_t Second = 80; Second < 90; ++Second)
    runSecond(Second, 0);
  CHECK_EQUAL(2, readers(0));
}

// Guards against a reader that is gone but counts as alive because hosts keep
// relaying its last heartbeat.
TEST(ReaderRank, HeartbeatsWithoutIncreaseAreNotRelayed) {
  const std::vector<ReaderHeartbeat> Heartbeats = {
      {HostId("x"), FailureDomain("ibadan"), 5}};
  ReaderRank &Last = HostsByRank_.back();
  Last.applyHeartbeats(Heartbeats, atMs(0));
  CHECK_EQUAL(1, Last.freshHeartbeats(atMs(6'000)).size());
  Last.applyHeartbeats(Heartbeats, atMs(6'000));
  CHECK_EQUAL(0, Last.freshHeartbeats(atMs(6'001)).size());
}
