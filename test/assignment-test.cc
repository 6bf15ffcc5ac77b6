// Assignment: group membership and the order of addresses.

#include "kumquatpitch/assignment.h"

#include "fleet-fixture.h"

#include <algorithm>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(Assignment){};

// Guards against a change of the hash: hosts that run different builds would
// compute different groups.
TEST(Assignment, HashIsEqualOnEveryBuild) {
  CHECK_EQUAL(16892079382541308754ULL,
              rendezvousHash(ServiceName("ledger"), HostId("host-1")));
}

// Guards against a failure domain with no member or too many members.
TEST(Assignment, SelectsHostsFromEveryDomain) {
  ServiceEntry Entry = makeEntry("ledger", 1, 1);
  Entry.HostsPerDomain_ = 2;
  const Group Chosen = Assignment(makeHostList(48, 3)).group(Entry);
  CHECK_EQUAL(6, Chosen.Members_.size());
  std::map<FailureDomain, int> Counts;
  for (const GroupMember &Member : Chosen.Members_)
    ++Counts[Member.Domain_];
  for (const std::pair<const FailureDomain, int> &Count : Counts)
    CHECK_EQUAL(2, Count.second);
}

// Guards against callers being sent to a host that they cannot reach: one in
// another region or without a port for the customer. A leaving host stays in
// the group, since it serves until the list drops it; address responses omit
// it.
TEST(Assignment, SkipsHostsThatCannotServe) {
  HostList List = makeHostList(4, 1);
  List.Hosts_[0].State_ = HostState::Leaving;
  List.Hosts_[1].Region_ = Region("elsewhere");
  List.Hosts_[2].CustomerPorts_.clear();
  ServiceEntry Entry = makeEntry("ledger", 1, 1);
  Entry.HostsPerDomain_ = 4;
  const Group Chosen = Assignment(List).group(Entry);
  CHECK_EQUAL(2, Chosen.Members_.size());
  CHECK(Chosen.contains(List.Hosts_[0].Id_));
  CHECK(Chosen.contains(List.Hosts_[3].Id_));
  CHECK_EQUAL(8000, Chosen.Members_[0].Address_.Port_);
}

// Guards against a removed host that changes assignments besides its own.
TEST(Assignment, RemovedHostMovesOnlyItsOwnServices) {
  const HostList Full = makeHostList(48, 3);
  HostList Reduced = Full;
  const HostId Removed = Reduced.Hosts_[7].Id_;
  Reduced.Hosts_.erase(Reduced.Hosts_.begin() + 7);
  for (int Service = 0; Service < 200; ++Service) {
    const ServiceEntry Entry = makeEntry("s" + std::to_string(Service), 1, 1);
    const Group Before = Assignment(Full).group(Entry);
    const Group After = Assignment(Reduced).group(Entry);
    for (std::size_t Index = 0; Index < Before.Members_.size(); ++Index)
      CHECK(Before.Members_[Index].Host_ == Removed ||
            Before.Members_[Index] == After.Members_[Index]);
  }
}

// Guards against a caller whose first two addresses share a failure domain.
TEST(Assignment, AddressesAlternateDomains) {
  ServiceEntry Entry = makeEntry("ledger", 1, 1);
  Entry.HostsPerDomain_ = 4;
  const Group Chosen = Assignment(makeHostList(48, 3)).group(Entry);
  SeededRandom Random(1);
  for (int Caller = 0; Caller < 100; ++Caller) {
    const std::vector<GroupMember> Order =
        drawAddressOrder(Chosen, equalWeights(Chosen), Random);
    CHECK_EQUAL(12, Order.size());
    for (std::size_t Index = 0; Index < Order.size(); Index += 3) {
      std::set<FailureDomain> Domains;
      for (std::size_t Next = Index; Next < Index + 3; ++Next)
        Domains.insert(Order[Next].Domain_);
      CHECK_EQUAL(3, Domains.size());
    }
  }
}

// Guards against an uneven spread of callers: by their first address, or by the
// second one, which they use when the first host fails.
TEST(Assignment, SpreadsCallersEvenly) {
  const Group Chosen =
      Assignment(makeHostList(48, 3)).group(makeEntry("ledger", 1, 1));
  SeededRandom Random(1);
  std::map<std::pair<HostId, HostId>, int> Counts;
  for (int Caller = 0; Caller < 60000; ++Caller) {
    const std::vector<GroupMember> Order =
        drawAddressOrder(Chosen, equalWeights(Chosen), Random);
    ++Counts[{Order[0].Host_, Order[1].Host_}];
  }
  CHECK_EQUAL(6, Counts.size());
  for (const std::pair<const std::pair<HostId, HostId>, int> &Count : Counts)
    CHECK(Count.second > 9600 && Count.second < 10400);
}

// Guards against hosts with unequal slots that get equal numbers of callers:
// slots of one host would be idle while another host sheds load.
TEST(Assignment, SpreadsCallersByWeight) {
  const Group Chosen =
      Assignment(makeHostList(48, 3)).group(makeEntry("ledger", 1, 1));
  const HostId Heavy = Chosen.Members_[1].Host_;
  const HostId Empty = Chosen.Members_[2].Host_;
  const HostWeights Weights = {{Chosen.Members_[0].Host_, 1}, {Heavy, 3}};
  SeededRandom Random(1);
  int HeavyFirst = 0;
  for (int Caller = 0; Caller < 4000; ++Caller) {
    const std::vector<GroupMember> Order =
        drawAddressOrder(Chosen, Weights, Random);
    HeavyFirst += Order[0].Host_ == Heavy ? 1 : 0;
    CHECK(Order[2].Host_ == Empty);
  }
  CHECK(HeavyFirst > 2850 && HeavyFirst < 3150);
}
