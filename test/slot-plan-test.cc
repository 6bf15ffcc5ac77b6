// Slot plan: the parts of a group's hosts add up, differ by at most one and
// never overlap while the plan changes.

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

static void checkDivision(std::uint32_t Total,
                          const std::vector<std::uint32_t> &Parts) {
  std::uint32_t Sum = 0;
  for (const std::uint32_t Part : Parts)
    Sum += Part;
  CHECK_EQUAL(Total, Sum);
  CHECK(*std::max_element(Parts.begin(), Parts.end()) -
            *std::min_element(Parts.begin(), Parts.end()) <=
        1);
}

// Guards against slots that two hosts use, that none uses, or that gather at
// one host.
TEST(SlotPlan, PartsAddUpAndDifferByAtMostOne) {
  for (std::uint64_t Seed = 0; Seed < 300; ++Seed) {
    SeededRandom Random(Seed);
    const Group Hosts = makeGroup(1 + Random.below(16));
    const ServiceEntry Entry =
        makeEntry("s" + std::to_string(Seed), 1 + Random.below(30),
                  1 + Random.below(40), 1 + Random.below(500));
    const SlotPlan Plan = slotPlan(Entry, Hosts);
    for (const Target &Each : Entry.Targets_) {
      std::vector<std::uint32_t> Slots;
      std::vector<std::uint32_t> Connections;
      for (const GroupMember &Member : Hosts.Members_) {
        const SlotShare Own = Plan.ownSlots(Member.Host_, Each.Id_);
        Slots.push_back(Own.Slots_);
        Connections.push_back(Own.Connections_);
        CHECK(Each.Connections_ < Each.Slots_ ||
              Own.Connections_ >= Own.Slots_);
      }
      checkDivision(Each.Slots_, Slots);
      checkDivision(Each.Connections_, Connections);
    }
  }
}

// Guards against odd slots that always go to the same member.
TEST(SlotPlan, BalancesOverTargets) {
  const Group Hosts = makeGroup(3);
  const SlotPlan Plan = slotPlan(makeEntry("ledger", 1000, 2), Hosts);
  CHECK_EQUAL(3, Plan.weights().size());
  for (const HostWeights::value_type &Each : Plan.weights())
    CHECK(Each.second > 600 && Each.second < 734);
}

// Guards against a change of one target that moves slots of others.
TEST(SlotPlan, TargetsAreIndependent) {
  const Group Hosts = makeGroup(3);
  const ServiceEntry Entry = makeEntry("ledger", 14, 2);
  ServiceEntry Fewer = Entry;
  Fewer.Targets_.erase(Fewer.Targets_.begin());
  for (const GroupMember &Member : Hosts.Members_)
    for (const Target &Each : Fewer.Targets_)
      CHECK(slotPlan(Entry, Hosts).ownSlots(Member.Host_, Each.Id_) ==
            slotPlan(Fewer, Hosts).ownSlots(Member.Host_, Each.Id_));
}

TEST(SlotPlan, StrangersOwnNothing) {
  const SlotPlan Plan = slotPlan(makeEntry("ledger", 1, 9), makeGroup(2));
  CHECK(Plan.ownSlots(HostId("other"), TargetId("target-0")) == SlotShare{});
  CHECK(Plan.ownShares(HostId("other")).empty());
  CHECK(slotPlan(makeEntry("ledger", 1, 9), Group{}).Shares_.empty());
}

// Guards against a gained slot that is used while its former owner's attempts
// still run: the wait is the longest deadline plus the settle time.
TEST(SlotPlan, GainsWaitAndLossesDoNot) {
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

// Guards against a repeated plan that restarts the wait, so that frequent
// configuration changes would withhold gained slots for ever.
TEST(SlotPlan, EqualPlanDoesNotRestartTheWait) {
  const TargetId Id("target-0");
  OwnSlots Own;
  for (int At = 0; At < 7000; At += 500)
    Own.setPlan({{Id, {2, 4}}}, ms(2000), atMs(At));
  CHECK_EQUAL(2, Own.usable(atMs(7000))[Id].Slots_);
}

// Each host's view of a group that changes at random times. A host learns of a
// change within the settle time, and attempts run until the longest deadline.
struct ChangingGroup {
  static constexpr int Hosts = 5;
  static constexpr int StepMs = 250;
  static constexpr int DeadlineSteps = 8;
  static constexpr int SettleSteps = 20;

  explicit ChangingGroup(std::uint64_t Seed) : Random_(Seed) {
    for (int Each = 0; Each < Hosts; ++Each)
      Members_.push_back({HostId("host-" + std::to_string(Each)), {}, {}});
  }

  /// Changes the group, and lets hosts learn of earlier changes in order.
  void step(int Now) {
    if (Now % 16 == 0 && Random_.below(2) == 0) {
      Group Next;
      for (const GroupMember &Each : Members_)
        if (Random_.below(2) == 0)
          Next.Members_.push_back(Each);
      Groups_.push_back(Next);
      for (std::vector<int> &Times : LearnAt_)
        Times.push_back(std::max(Times.empty() ? 0 : Times.back(),
                                 Now + int(Random_.below(SettleSteps + 1))));
    }
    for (int Host = 0; Host < Hosts; ++Host)
      learn(Host, Now);
  }

  /// Most attempts at the target that all hosts may have in progress.
  std::uint32_t mostInProgress() const {
    std::uint32_t Sum = 0;
    for (const std::vector<std::uint32_t> &Each : History_) {
      const std::size_t Kept =
          std::min<std::size_t>(Each.size(), DeadlineSteps);
      Sum += *std::max_element(Each.end() - std::ptrdiff_t(Kept), Each.end());
    }
    return Sum;
  }

  void learn(int Host, int Now) {
    const Duration Deadline = ms(std::int64_t{DeadlineSteps} * StepMs);
    const TimePoint At = atMs(std::int64_t{Now} * StepMs);
    while (Known_[Host] < Groups_.size() &&
           LearnAt_[Host][Known_[Host]] <= Now) {
      const SlotPlan Plan = slotPlan(Entry_, Groups_[Known_[Host]++]);
      Own_[Host].setPlan(Plan.ownShares(Members_[Host].Host_), Deadline, At);
    }
    History_[Host].push_back(
        Own_[Host].usable(At)[Entry_.Targets_[0].Id_].Slots_);
  }

  SeededRandom Random_;
  ServiceEntry Entry_ = makeEntry("ledger", 1, 7);
  std::vector<GroupMember> Members_;
  std::vector<Group> Groups_;
  std::vector<std::vector<int>> LearnAt_ = std::vector<std::vector<int>>(Hosts);
  std::vector<std::size_t> Known_ = std::vector<std::size_t>(Hosts, 0);
  std::vector<OwnSlots> Own_ = std::vector<OwnSlots>(Hosts);
  std::vector<std::vector<std::uint32_t>> History_ =
      std::vector<std::vector<std::uint32_t>>(Hosts);
};

// Guards against a target that gets more attempts than it has slots while the
// group changes and hosts learn of it at different times.
TEST(SlotPlan, ChangesNeverOversubscribe) {
  std::uint32_t Most = 0;
  for (std::uint64_t Seed = 0; Seed < 200; ++Seed) {
    ChangingGroup Fleet(Seed);
    for (int Now = 0; Now < 1000; ++Now) {
      Fleet.step(Now);
      Most = std::max(Most, Fleet.mostInProgress());
    }
  }
  CHECK_EQUAL(7, Most);
}
