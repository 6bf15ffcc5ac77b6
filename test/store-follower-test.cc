// Following the published state: which host reads when, and what it forwards.

#include "kumquatpitch/store-follower.h"

#include "manual-time.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static TargetChange change(const char *Id, std::uint64_t Revision,
                           bool Leaving = false) {
  TargetEntry Entry;
  Entry.Id_ = TargetId(Id);
  Entry.Service_ = ServiceName("desk");
  Entry.Leaving_ = Leaving;
  return TargetChange{TargetId(Id), Revision, Entry};
}

static std::shared_ptr<const RouteTable> table(std::uint64_t Version) {
  RoutingConfig Config;
  Config.Version_ = Version;
  return std::make_shared<const RouteTable>(Config);
}

TEST_GROUP(StoreFollower) {
  StoreFollower Follower_{HostId("h1")};

  PublishedRead read(std::uint64_t Revision,
                     std::vector<TargetChange> Targets = {}) {
    PublishedRead Read;
    Read.Status_ = ReadStatus::Ok;
    Read.Revision_ = Revision;
    Read.Targets_ = std::move(Targets);
    return Read;
  }

  void listAll(std::int64_t AtMs) {
    Follower_.due(0, atMs(AtMs));
    PublishedRead All = read(10, {change("a", 5), change("b", 6)});
    All.Config_ = PublishedConfig{4, table(7)};
    Follower_.readEnded(All, atMs(AtMs));
  }
};

TEST(StoreFollower, FirstReadListsAll) {
  CHECK(Follower_.due(5, atMs(0))->Kind_ == ReadRequest::Kind::All);
  CHECK_FALSE(Follower_.hasState());
  listAll(0);
  CHECK(Follower_.hasState());
  CHECK_EQUAL(2, Follower_.directory().entries().size());
}

// Guards against every host polling the store, since each call costs money.
TEST(StoreFollower, HostsReadInRankOrder) {
  listAll(0);
  CHECK_FALSE(Follower_.due(0, atMs(600)).has_value());
  CHECK_FALSE(Follower_.due(1, atMs(800)).has_value());
  CHECK(Follower_.due(0, atMs(800)) ==
        (ReadRequest{ReadRequest::Kind::Changes, 10, false}));
}

TEST(StoreFollower, MessageFromTheReaderPostponesReads) {
  listAll(0);
  Follower_.receive(StoreChangesMessage{HostId("h0"), 10, 12, 4, {}},
                    atMs(700));
  CHECK_FALSE(Follower_.due(3, atMs(1'400)).has_value());
  CHECK(Follower_.due(3, atMs(2'200)).has_value());
}

// Guards against missing a target's draining because a datagram was lost.
TEST(StoreFollower, GapsCauseAnImmediateRead) {
  listAll(0);
  const StoreChangesMessage Later{
      HostId("h0"), 14, 16, 4, {change("a", 15, true)}};
  CHECK(Follower_.receive(Later, atMs(100)).TargetsChanged_);
  CHECK(Follower_.due(3, atMs(101)) ==
        (ReadRequest{ReadRequest::Kind::Changes, 10, false}));
}

// Guards against a delayed older change overwriting a newer one.
TEST(StoreFollower, OlderChangesAreIgnored) {
  listAll(0);
  Follower_.receive(
      StoreChangesMessage{HostId("h0"), 10, 16, 4, {change("a", 15, true)}},
      atMs(100));
  Follower_.receive(
      StoreChangesMessage{HostId("h2"), 10, 12, 4, {change("a", 11, false)}},
      atMs(110));
  CHECK(Follower_.directory().entries().at(TargetId("a")).Leaving_);
}

TEST(StoreFollower, ReaderForwardsOnlyRoutingChanges) {
  listAll(0);
  Follower_.due(0, atMs(800));
  const FollowResult Result = Follower_.readEnded(
      read(20, {change("a", 12), change("b", 13, true)}), atMs(805));
  CHECK(Result.ToForward_.has_value());
  CHECK_EQUAL(10, Result.ToForward_->After_);
  CHECK_EQUAL(20, Result.ToForward_->Revision_);
  CHECK_EQUAL(1, Result.ToForward_->Targets_.size());
}

TEST(StoreFollower, HistoryGoneCausesAListing) {
  listAll(0);
  Follower_.due(0, atMs(800));
  PublishedRead Gone;
  Gone.Status_ = ReadStatus::HistoryGone;
  Follower_.readEnded(Gone, atMs(805));
  CHECK(Follower_.due(0, atMs(806))->Kind_ == ReadRequest::Kind::All);
}

// Guards against reverting to an older configuration.
TEST(StoreFollower, OlderConfigurationsAreIgnored) {
  listAll(0);
  Follower_.due(0, atMs(800));
  PublishedRead Older = read(20);
  Older.Config_ = PublishedConfig{15, table(6)};
  CHECK(Follower_.readEnded(Older, atMs(805)).NewTable_ == nullptr);
  CHECK_EQUAL(7, Follower_.table()->config().Version_);
}

// Guards against a host missing a configuration that another host has read.
TEST(StoreFollower, NewerConfigurationOfAPeerIsRead) {
  listAll(0);
  Follower_.receive(StoreChangesMessage{HostId("h0"), 10, 12, 11, {}},
                    atMs(100));
  CHECK(Follower_.due(3, atMs(101))->Kind_ == ReadRequest::Kind::Config);
  PublishedRead Newer = read(12);
  Newer.Config_ = PublishedConfig{11, table(9)};
  CHECK(Follower_.readEnded(Newer, atMs(105)).NewTable_ != nullptr);
  CHECK_FALSE(Follower_.due(3, atMs(106)).has_value());
}

TEST(StoreFollower, FailedReadsBackOff) {
  listAll(0);
  std::int64_t Now = 800;
  int Reads = 0;
  for (; Now < 10'800; Now += 50) {
    if (!Follower_.due(0, atMs(Now)))
      continue;
    ++Reads;
    Follower_.readEnded(PublishedRead(), atMs(Now));
  }
  CHECK(Reads >= 5);
  CHECK(Reads <= 12);
}

// Guards against every service losing its targets at the end of a store outage.
TEST(StoreFollower, ExpiredEntriesAreKeptAfterAnOutage) {
  listAll(0);
  for (std::int64_t Now = 800; Now < 6'000; Now += 50)
    if (Follower_.due(0, atMs(Now)))
      Follower_.readEnded(PublishedRead(), atMs(Now));
  Follower_.due(0, atMs(8'000));
  Follower_.readEnded(read(30, {TargetChange{TargetId("a"), 25, std::nullopt}}),
                      atMs(8'000));
  CHECK_EQUAL(2, Follower_.directory().entries().size());
  // The entry may be published again by a change that is not known yet.
  CHECK_FALSE(Follower_.expire(atMs(10'500)));
  Follower_.due(0, atMs(10'600));
  Follower_.readEnded(read(31), atMs(10'600));
  CHECK(Follower_.expire(atMs(10'600)));
  CHECK_EQUAL(1, Follower_.directory().entries().size());
}

TEST(StoreFollower, ReaderRanksAreDistinctInADomain) {
  std::vector<Member> All;
  All.reserve(9);
  for (int Index = 0; Index < 9; ++Index)
    All.push_back(Member{HostId("h" + std::to_string(Index)), "",
                         FailureDomain(Index % 3 ? "yaba" : "ikeja"), Region(),
                         1, 0, MemberState::Serving});
  std::vector<std::uint32_t> Ranks;
  for (const Member &Host : All)
    if (Host.Domain_ == FailureDomain("ikeja"))
      Ranks.push_back(readerRank(Host, All));
  std::sort(Ranks.begin(), Ranks.end());
  CHECK(Ranks == (std::vector<std::uint32_t>{0, 1, 2}));
}

// Guards against every host paying for the newest copy at each change, and
// against a host that keeps an old copy.
TEST(StoreFollower, StaleCopyOfTheConfigurationIsReadFirst) {
  listAll(0);
  Follower_.receive(StoreChangesMessage{HostId("h0"), 10, 12, 11, {}},
                    atMs(100));
  CHECK(Follower_.due(3, atMs(101)) ==
        (ReadRequest{ReadRequest::Kind::Config, 0, true}));
  PublishedRead Old = read(12);
  Old.Config_ = PublishedConfig{4, table(7)};
  CHECK(Follower_.readEnded(Old, atMs(110)).NewTable_ == nullptr);
  CHECK(Follower_.due(3, atMs(111)) ==
        (ReadRequest{ReadRequest::Kind::Config, 0, false}));
  PublishedRead New = read(12);
  New.Config_ = PublishedConfig{11, table(8)};
  CHECK(Follower_.readEnded(New, atMs(120)).NewTable_ != nullptr);
  CHECK_FALSE(Follower_.due(3, atMs(121)).has_value());
}

// Guards against hosts that started after entries had expired in an outage
// never learning that these are published again: to the reader, which kept
// them, such an entry is no change.
TEST(StoreFollower, RepublishedEntriesAreForwarded) {
  listAll(0);
  PublishedRead Failed;
  for (const std::int64_t AtMs : {1'000, 2'500}) {
    CHECK(Follower_.due(0, atMs(AtMs)).has_value());
    Follower_.readEnded(Failed, atMs(AtMs));
  }
  CHECK(Follower_.due(0, atMs(4'000)).has_value());
  PublishedRead Gone;
  Gone.Status_ = ReadStatus::HistoryGone;
  Follower_.readEnded(Gone, atMs(4'000));
  CHECK(Follower_.due(0, atMs(4'100))->Kind_ == ReadRequest::Kind::All);
  Follower_.readEnded(read(20, {change("a", 5)}), atMs(4'100));
  CHECK_EQUAL(2, Follower_.directory().entries().size());
  CHECK(Follower_.due(0, atMs(5'000)).has_value());
  const FollowResult Back =
      Follower_.readEnded(read(22, {change("b", 22)}), atMs(5'000));
  CHECK_FALSE(Back.TargetsChanged_);
  CHECK_EQUAL(1, Back.ToForward_->Targets_.size());
  CHECK(Back.ToForward_->Targets_.front().Id_ == TargetId("b"));
}

// Guards against a host serving with the few entries that are published right
// after an outage, while the other hosts of its service still have them all.
TEST(StoreFollower, StartDuringAnOutageSettlesAfterTheGracePeriod) {
  CHECK(Follower_.due(0, atMs(0)).has_value());
  Follower_.readEnded(PublishedRead(), atMs(1'000));
  listAll(1'300);
  CHECK(Follower_.hasState());
  CHECK_FALSE(Follower_.isSettled(atMs(3'400)));
  CHECK(Follower_.isSettled(atMs(3'500)));
}

TEST(StoreFollower, StartWithoutAnOutageIsSettledAtOnce) {
  listAll(0);
  CHECK(Follower_.isSettled(atMs(0)));
}

// Guards against changes that are missed because the store has given out the
// revision after which a host asks again, so that it does not say that its
// history is gone.
TEST(StoreFollower, ChangesOfALaterEraCauseAListing) {
  listAll(0);
  CHECK(Follower_.due(0, atMs(800))->Kind_ == ReadRequest::Kind::Changes);
  PublishedRead Changes = read(12, {change("c", 12)});
  Changes.Era_ = 2;
  const FollowResult Result = Follower_.readEnded(Changes, atMs(810));
  CHECK(Result.EraChange_ == (EraChange{0, 10}));
  CHECK_FALSE(Result.ToForward_.has_value());
  CHECK(Follower_.due(9, atMs(811))->Kind_ == ReadRequest::Kind::All);
  PublishedRead All = read(12, {change("b", 11), change("c", 12)});
  All.Era_ = 2;
  All.Config_ = PublishedConfig{3, table(6)};
  const FollowResult Listed = Follower_.readEnded(All, atMs(820));
  CHECK_EQUAL(12, Follower_.revision());
  CHECK_EQUAL(2, Follower_.directory().entries().count(TargetId("b")) +
                     Follower_.directory().entries().count(TargetId("c")));
  // The other hosts are told at once. The configuration in force stays.
  CHECK(Listed.ToForward_ ==
        (StoreChangesMessage{HostId("h1"), 12, 12, 3, {}, 2}));
  CHECK_EQUAL(7, Follower_.table()->config().Version_);
}

// Guards against each host waiting for an answer of its own before it learns
// that the store went back, and against one that reads changes after a revision
// of the earlier era.
TEST(StoreFollower, MessageOfALaterEraCausesAListing) {
  listAll(0);
  const FollowResult Result = Follower_.receive(
      StoreChangesMessage{HostId("h0"), 8, 9, 9, {change("a", 9, true)}, 1},
      atMs(100));
  CHECK(Result.EraChange_.has_value());
  CHECK_FALSE(Result.TargetsChanged_);
  CHECK(Follower_.due(9, atMs(101))->Kind_ == ReadRequest::Kind::All);
}

TEST(StoreFollower, MessageOfAnEarlierEraIsIgnored) {
  Follower_.due(0, atMs(0));
  PublishedRead All = read(10, {change("a", 5)});
  All.Era_ = 2;
  All.Config_ = PublishedConfig{4, table(7)};
  Follower_.readEnded(All, atMs(0));
  Follower_.receive(
      StoreChangesMessage{HostId("h0"), 10, 99, 98, {change("a", 99, true)}, 1},
      atMs(100));
  CHECK_EQUAL(10, Follower_.revision());
  CHECK_FALSE(Follower_.directory().entries().at(TargetId("a")).Leaving_);
  CHECK_FALSE(Follower_.due(3, atMs(200)).has_value());
}

// Guards against a read that began before the store went back and ends after a
// peer has told of the new era.
TEST(StoreFollower, AnswerOfAnEarlierEraIsDiscarded) {
  listAll(0);
  Follower_.due(0, atMs(800));
  Follower_.receive(StoreChangesMessage{HostId("h0"), 3, 3, 2, {}, 1},
                    atMs(805));
  const FollowResult Result =
      Follower_.readEnded(read(12, {change("a", 12, true)}), atMs(810));
  CHECK_FALSE(Result.TargetsChanged_);
  CHECK_FALSE(Result.ToForward_.has_value());
}

// Guards against a host that rejects all answers of the store for good, because
// a peer reported an era that the store does not have.
TEST(StoreFollower, StoreOverrulesAnEraThatAPeerReported) {
  listAll(0);
  Follower_.receive(StoreChangesMessage{HostId("h0"), 10, 10, 4, {}, 900},
                    atMs(100));
  CHECK(Follower_.due(0, atMs(101))->Kind_ == ReadRequest::Kind::All);
  PublishedRead All = read(11, {change("a", 11, true), change("b", 6)});
  All.Config_ = PublishedConfig{4, table(7)};
  CHECK(Follower_.readEnded(All, atMs(105)).TargetsChanged_);
  CHECK_EQUAL(0, Follower_.era());
  CHECK_EQUAL(11, Follower_.revision());
}

// Guards against a change that a host misses for good: the datagram with it is
// lost, and another host, which got it, reports the same revisions as complete
// without it.
TEST(StoreFollower, ForwardsChangesThatAPeerHasToldBefore) {
  listAll(0);
  CHECK(Follower_.due(0, atMs(800))->Kind_ == ReadRequest::Kind::Changes);
  const TargetChange Drains = change("a", 11, true);
  Follower_.receive(StoreChangesMessage{HostId("h0"), 10, 11, 4, {Drains}},
                    atMs(805));
  const FollowResult Result =
      Follower_.readEnded(read(11, {Drains}), atMs(810));
  CHECK(Result.ToForward_ ==
        (StoreChangesMessage{HostId("h1"), 10, 11, 4, {Drains}}));
}

TEST(StoreFollower, ReadOfTheNewestStateReportsWhenItWasSent) {
  Follower_.due(0, atMs(0));
  PublishedRead All = read(10, {change("a", 5)});
  All.Config_ = PublishedConfig{4, table(7)};
  CHECK(Follower_.readEnded(All, atMs(300)).Reading_ ==
        (ConfigReading{atMs(0), 0, 7}));
  Follower_.due(0, atMs(1'000));
  CHECK(Follower_.readEnded(read(11), atMs(1'200)).Reading_ ==
        (ConfigReading{atMs(1'000), 0, 7}));
}

TEST(StoreFollower, FailedReadShowsNothing) {
  listAll(0);
  Follower_.due(0, atMs(1'000));
  CHECK_FALSE(
      Follower_.readEnded(PublishedRead(), atMs(1'010)).Reading_.has_value());
}

// Guards against accepting a key by a copy that lacks its withdrawal.
TEST(StoreFollower, StaleCopyShowsNothing) {
  listAll(0);
  Follower_.receive(StoreChangesMessage{HostId("h0"), 10, 12, 11, {}},
                    atMs(100));
  CHECK(Follower_.due(3, atMs(101))->AllowStale_);
  PublishedRead Copy = read(12);
  Copy.Config_ = PublishedConfig{11, table(9)};
  CHECK_FALSE(Follower_.readEnded(Copy, atMs(105)).Reading_.has_value());
}

// Guards against taking changes for the newest state when a peer said that it
// is complete up to their start, without the configuration before that.
TEST(StoreFollower, ChangesAfterAnUnreadConfigurationShowNothing) {
  listAll(0);
  CHECK(Follower_.due(0, atMs(800)).has_value());
  Follower_.receive(StoreChangesMessage{HostId("h0"), 10, 12, 11, {}},
                    atMs(801));
  CHECK_FALSE(Follower_.readEnded(read(12), atMs(810)).Reading_.has_value());
  CHECK(Follower_.due(0, atMs(811))->AllowStale_);
  PublishedRead Old = read(10);
  Old.Config_ = PublishedConfig{4, table(7)};
  Follower_.readEnded(Old, atMs(812));
  CHECK_FALSE(Follower_.due(0, atMs(813))->AllowStale_);
  PublishedRead Newest = read(12);
  Newest.Config_ = PublishedConfig{11, table(9)};
  CHECK(Follower_.readEnded(Newest, atMs(820)).Reading_ ==
        (ConfigReading{atMs(813), 0, 9}));
}

// Guards against accepting a key that a configuration withdraws which this host
// cannot decode.
TEST(StoreFollower, UndecodableConfigurationShowsNothing) {
  listAll(0);
  Follower_.due(0, atMs(800));
  PublishedRead Broken = read(12);
  Broken.Config_ = PublishedConfig{12, nullptr};
  CHECK_FALSE(Follower_.readEnded(Broken, atMs(810)).Reading_.has_value());
  Follower_.due(0, atMs(1'600));
  CHECK_FALSE(Follower_.readEnded(read(13), atMs(1'610)).Reading_.has_value());
  Follower_.due(0, atMs(2'400));
  PublishedRead Mended = read(14);
  Mended.Config_ = PublishedConfig{14, table(9)};
  CHECK(Follower_.readEnded(Mended, atMs(2'410)).Reading_ ==
        (ConfigReading{atMs(2'400), 0, 9}));
}

// Guards against gaps at all hosts of a domain after the read of one: only
// reads that are forwarded move the revision up to which it is complete.
TEST(StoreFollower, ReadForAProofIsNotForwarded) {
  listAll(0);
  CHECK_FALSE(Follower_.due(3, atMs(600)).has_value());
  CHECK(Follower_.due(3, atMs(600), true) ==
        (ReadRequest{ReadRequest::Kind::Changes, 10, false, true}));
  const FollowResult Result =
      Follower_.readEnded(read(20, {change("a", 12, true)}), atMs(610));
  CHECK(Result.TargetsChanged_);
  CHECK(Result.Reading_.has_value());
  CHECK_FALSE(Result.ToForward_.has_value());
  CHECK_EQUAL(10, Follower_.revision());
  CHECK(Follower_.due(0, atMs(700))->After_ == 10);
}

TEST(StoreFollower, ReadForAProofComesAfterAllOthers) {
  listAll(0);
  CHECK_FALSE(Follower_.due(0, atMs(800), true)->IsForProof_);
}

TEST_GROUP_BASE(StoreFollowerSplit, TEST_GROUP_CppUTestGroupStoreFollower){
    PublishedRead ended(ReadStatus Status){PublishedRead Read;
Read.Status_ = Status;
return Read;
}

/// The next read at `AtMs` is of this kind, and ends with `Read`.
FollowResult next(ReadRequest::Kind Kind, const PublishedRead &Read,
                  std::int64_t AtMs) {
  const std::optional<ReadRequest> Request = Follower_.due(0, atMs(AtMs));
  CHECK(Request && Request->Kind_ == Kind);
  return Follower_.readEnded(Read, atMs(AtMs + 1));
}

PublishedRead config(std::uint64_t Revision, std::uint64_t Version) {
  PublishedRead Read = read(Revision);
  Read.Config_ = PublishedConfig{Revision, table(Version)};
  return Read;
}
}
;

// Guards against a peer that believes it has a configuration that its reader
// has not read yet.
TEST(StoreFollowerSplit, ChangesThatAreTooLongAreForwardedOnceTheyAreComplete) {
  listAll(0);
  next(ReadRequest::Kind::Changes, ended(ReadStatus::TooLong), 800);
  const FollowResult Targets = next(ReadRequest::Kind::TargetChanges,
                                    read(20, {change("b", 13, true)}), 802);
  CHECK(Targets.TargetsChanged_);
  CHECK_FALSE(Targets.ToForward_.has_value());
  CHECK_FALSE(Targets.Reading_.has_value());
  CHECK_EQUAL(10, Follower_.revision());
  const FollowResult Config =
      next(ReadRequest::Kind::Config, config(21, 9), 804);
  CHECK(Config.NewTable_ != nullptr);
  CHECK(Config.Reading_ == (ConfigReading{atMs(804), 0, 9}));
  CHECK(Config.ToForward_ ==
        (StoreChangesMessage{
            HostId("h1"), 10, 20, 21, {change("b", 13, true)}, 0}));
  CHECK_EQUAL(20, Follower_.revision());
  CHECK_FALSE(Follower_.due(0, atMs(806)).has_value());
}

// Guards against reading the first part again when the second one fails.
TEST(StoreFollowerSplit, FailedPartIsReadAgain) {
  listAll(0);
  next(ReadRequest::Kind::Changes, ended(ReadStatus::TooLong), 800);
  next(ReadRequest::Kind::TargetChanges, ended(ReadStatus::Failed), 802);
  CHECK_FALSE(Follower_.due(0, atMs(804)).has_value());
  next(ReadRequest::Kind::TargetChanges, read(20), 1'100);
  next(ReadRequest::Kind::Config, ended(ReadStatus::Failed), 1'102);
  next(ReadRequest::Kind::Config, config(21, 9), 1'600);
  CHECK_EQUAL(20, Follower_.revision());
}

// Guards against asking for the same part without end.
TEST(StoreFollowerSplit, PartThatIsTooLongCausesAListing) {
  listAll(0);
  next(ReadRequest::Kind::Changes, ended(ReadStatus::TooLong), 800);
  next(ReadRequest::Kind::TargetChanges, ended(ReadStatus::TooLong), 802);
  next(ReadRequest::Kind::All, read(20), 804);
  CHECK_FALSE(Follower_.due(0, atMs(806)).has_value());
}

// Guards against joining parts of two eras, whose revisions cannot be compared.
TEST(StoreFollowerSplit, RestoredStoreEndsTheParts) {
  listAll(0);
  next(ReadRequest::Kind::Changes, ended(ReadStatus::TooLong), 800);
  next(ReadRequest::Kind::TargetChanges, read(20), 802);
  PublishedRead Restored = config(5, 7);
  Restored.Era_ = 1;
  CHECK_FALSE(next(ReadRequest::Kind::Config, Restored, 804).ToForward_);
  CHECK_EQUAL(10, Follower_.revision());
  CHECK(Follower_.due(0, atMs(806))->Kind_ == ReadRequest::Kind::All);
}
