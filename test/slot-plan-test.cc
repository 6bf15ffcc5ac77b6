// Tests of SlotPlan and OwnSlots: the shares of a group's hosts add up, differ
// by at most one and never overlap while the plan changes.

#include "kumquatpitch/slot-plan.h"

#include "fleet-fixture.h"
#include "manual-time.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(SlotPlan){};

static Group makeGroup(std::size_t Hosts) {
  ServiceEntry Entry = makeEntry("ledger", 1, 1);
  Entry.HostsPerDomain_ = Hosts;
  return Assignment(makeHostList(Hosts, 1)).group(Entry);
}

static void checkShares(std::uint32_t Total,
                        const std::vector<std::uint32_t> &Shares) {
  std::uint32_t Sum = 0;
  for (const std::uint32_t Share : Shares)
    Sum += Share;
  CHECK_EQUAL(Total, Sum);
  CHECK(*std::max_element(Shares.begin(), Shares.end()) -
            *std::min_element(Shares.begin(), Shares.end()) <=
        1);
}

// Guards against slots that two hosts own, that no host owns, or that pile up
// at one host.
TEST(SlotPlan, SharesAddUpAndDifferByAtMostOne) {
  for (std::uint64_t Seed = 0; Seed < 300; ++Seed) {
    SeededRandom Random(Seed);
    const Group Hosts = makeGroup(1 + Random.below(16));
    const ServiceEntry Entry =
        makeEntry("s" + std::to_string(Seed), 1 + Random.below(30),
                  1 + Random.below(40), 1 + Random.below(500));
    const SlotPlan Plan = makeSlotPlan(Entry, Hosts);
    for (const Target &Listed : Entry.Targets_) {
      std::vector<std::uint32_t> Slots;
      std::vector<std::uint32_t> Connections;
      for (const GroupMember &Member : Hosts.Members_) {
        const SlotShare Share = Plan.shareOf(Member.Host_, Listed.Id_);
        Slots.push_back(Share.Slots_);
        Connections.push_back(Share.Connections_);
        CHECK(Listed.Connections_ < Listed.Slots_ ||
              Share.Connections_ >= Share.Slots_);
      }
      checkShares(Listed.Slots_, Slots);
      checkShares(Listed.Connections_, Connections);
    }
  }
}

// Guards against a rotation that gives the odd slots of all targets to the same
// member.
TEST(SlotPlan, BalancesSlotsOverHosts) {
  const Group Hosts = makeGroup(3);
  const SlotPlan Plan = makeSlotPlan(makeEntry("ledger", 1000, 2), Hosts);
  CHECK_EQUAL(3, Plan.weights().size());
  for (const HostWeights::value_type &Weight : Plan.weights())
    CHECK(Weight.second > 600 && Weight.second < 734);
}

// Guards against a change of one target that moves slots of other targets to
// other hosts.
TEST(SlotPlan, TargetsAreIndependent) {
  const Group Hosts = makeGroup(3);
  const ServiceEntry Entry = makeEntry("ledger", 14, 2);
  ServiceEntry Fewer = Entry;
  Fewer.Targets_.erase(Fewer.Targets_.begin());
  for (const GroupMember &Member : Hosts.Members_)
    for (const Target &Listed : Fewer.Targets_)
      CHECK(makeSlotPlan(Entry, Hosts).shareOf(Member.Host_, Listed.Id_) ==
            makeSlotPlan(Fewer, Hosts).shareOf(Member.Host_, Listed.Id_));
}

TEST(SlotPlan, UnknownHostsHaveNoShare) {
  const SlotPlan Plan = makeSlotPlan(makeEntry("ledger", 1, 9), makeGroup(2));
  CHECK(Plan.shareOf(HostId("other"), TargetId("target-0")) == SlotShare{});
  CHECK(Plan.sharesOf(HostId("other")).empty());
  CHECK(makeSlotPlan(makeEntry("ledger", 1, 9), Group{}).Shares_.empty());
}

// Guards against a gained slot that is used while its former owner's attempts
// still run: the delay is the longest deadline, here 2 s, plus the 5 s in which
// a host list reaches all hosts.
TEST(SlotPlan, GainedSlotsAreDelayedLostSlotsAreNot) {
  const TargetId Id("target-0");
  OwnSlots Own;
  Own.setPlan({{Id, {2, 4}}}, ms(2000), atMs(0));
  CHECK_EQUAL(0, Own.usable(atMs(6999))[Id].Slots_);
  CHECK_EQUAL(2, Own.usable(atMs(7000))[Id].Slots_);
  Own.setPlan({{Id, {1, 4}}}, ms(2000), atMs(8000));
  CHECK_EQUAL(1, Own.usable(atMs(8000))[Id].Slots_);
  Own.setPlan({{Id, {2, 4}}}, ms(2000), atMs(8100));
  CHECK_EQUAL(1, Own.usable(atMs(15099))[Id].Slots_);
  CHECK_EQUAL(2, Own.usable(atMs(15100))[Id].Slots_);
  Own.setPlan({{Id, {3, 4}}}, ms(2000), atMs(16000));
  Own.setPlan({{Id, {1, 4}}}, ms(2000), atMs(16100));
  CHECK_EQUAL(1, Own.usable(atMs(16100))[Id].Slots_);
}

// Guards against an unchanged plan that restarts the delay, with which frequent
// configuration changes would withhold gained slots forever.
TEST(SlotPlan, UnchangedPlanDoesNotRestartTheDelay) {
  const TargetId Id("target-0");
  OwnSlots Own;
  for (int At = 0; At < 7000; At += 500)
    Own.setPlan({{Id, {2, 4}}}, ms(2000), atMs(At));
  CHECK_EQUAL(2, Own.usable(atMs(7000))[Id].Slots_);
}

// Each host's view of a group that changes at random times. A host learns of a
// change after a random delay of up to SettleSteps, and an attempt runs for up
// to DeadlineSteps.
struct ChangingGroup {
  static constexpr int Hosts = 5;
  static constexpr int StepMs = 250;
  static constexpr int DeadlineSteps = 8;
  static constexpr int SettleSteps = 20;

  explicit ChangingGroup(std::uint64_t Seed) : Random_(Seed) {
    for (int Host = 0; Host < Hosts; ++Host)
      Members_.push_back({HostId("host-" + std::to_string(Host)), {}, {}});
  }

  /// Changes the group at random, and lets each host apply, in order, the
  /// changes that have reached it by now.
  void step(int Now) {
    if (Now % 16 == 0 && Random_.below(2) == 0) {
      Group Next;
      for (const GroupMember &Member : Members_)
        if (Random_.below(2) == 0)
          Next.Members_.push_back(Member);
      Groups_.push_back(Next);
      for (std::vector<int> &Times : ReceivedAt_)
        Times.push_back(std::max(Times.empty() ? 0 : Times.back(),
                                 Now + int(Random_.below(SettleSteps + 1))));
    }
    for (int Host = 0; Host < Hosts; ++Host)
      applyReceived(Host, Now);
  }

  /// Largest number of attempts at the target that all hosts together may have
  /// in progress.
  std::uint32_t maxInProgress() const {
    std::uint32_t Sum = 0;
    for (const std::vector<std::uint32_t> &Slots : UsableSlots_) {
      const std::size_t Steps =
          std::min<std::size_t>(Slots.size(), DeadlineSteps);
      Sum +=
          *std::max_element(Slots.end() - std::ptrdiff_t(Steps), Slots.end());
    }
    return Sum;
  }

  void applyReceived(int Host, int Now) {
    const Duration Deadline = ms(std::int64_t{DeadlineSteps} * StepMs);
    const TimePoint At = atMs(std::int64_t{Now} * StepMs);
    while (Applied_[Host] < Groups_.size() &&
           ReceivedAt_[Host][Applied_[Host]] <= Now) {
      const SlotPlan Plan = makeSlotPlan(Entry_, Groups_[Applied_[Host]++]);
      OwnSlots_[Host].setPlan(Plan.sharesOf(Members_[Host].Host_), Deadline,
                              At);
    }
    UsableSlots_[Host].push_back(
        OwnSlots_[Host].usable(At)[Entry_.Targets_[0].Id_].Slots_);
  }

  SeededRandom Random_;
  ServiceEntry Entry_ = makeEntry("ledger", 1, 7);
  std::vector<GroupMember> Members_;
  std::vector<Group> Groups_;
  /// By host, the step at which each group reaches it.
  std::vector<std::vector<int>> ReceivedAt_ =
      std::vector<std::vector<int>>(Hosts);
  /// By host, the number of groups that it has applied.
  std::vector<std::size_t> Applied_ = std::vector<std::size_t>(Hosts, 0);
  std::vector<OwnSlots> OwnSlots_ = std::vector<OwnSlots>(Hosts);
  /// By host, the usable slots at each step.
  std::vector<std::vector<std::uint32_t>> UsableSlots_ =
      std::vector<std::vector<std::uint32_t>>(Hosts);
};

// Guards against a target that gets more attempts than it has slots while the
// group changes and hosts learn of it at different times.
TEST(SlotPlan, ChangesNeverOversubscribeATarget) {
  std::uint32_t Max = 0;
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
    ChangingGroup Fleet(Seed);
    for (int Now = 0; Now < 1000; ++Now) {
      Fleet.step(Now);
      Max = std::max(Max, Fleet.maxInProgress());
    }
  }
  CHECK_EQUAL(7, Max);
}
