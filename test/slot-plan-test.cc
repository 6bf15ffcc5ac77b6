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
