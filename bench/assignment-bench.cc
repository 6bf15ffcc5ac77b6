// Benchmark of host assignment at 48 to 4,800 hosts: spread of services over
// hosts, assignments that move when one host leaves, CPU time per assignment,
// and connections and views per target, compared with two baselines. CPU times
// are printed and have no bound.

#include "bench-report.h"
#include "fleet-fixture.h"

#include "kumquatpitch/assignment.h"
#include "kumquatpitch/slot-plan.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

namespace {

constexpr std::size_t Domains = 3;
// 71,000 targets in 3,700 services.
constexpr std::size_t TargetsPerService = 19;
constexpr std::uint32_t SlotsPerTarget = 3;

struct Fleet {
  HostList List_;
  std::vector<ServiceEntry> Entries_;
};

/// Makes a fleet whose hosts and services are divided evenly among the regions.
Fleet makeFleet(std::size_t Hosts, std::size_t Services, std::size_t Regions) {
  Fleet TestFleet;
  for (std::size_t Index = 0; Index < Regions; ++Index) {
    const std::string Name = "region-" + std::to_string(Index);
    const HostList RegionHosts =
        test::makeHostList(Hosts / Regions, Domains, Name);
    TestFleet.List_.Hosts_.insert(TestFleet.List_.Hosts_.end(),
                                  RegionHosts.Hosts_.begin(),
                                  RegionHosts.Hosts_.end());
  }
  for (std::size_t Index = 0; Index < Services; ++Index) {
    TestFleet.Entries_.push_back(test::makeEntry(
        "service-" + std::to_string(Index), TargetsPerService, SlotsPerTarget));
    TestFleet.Entries_.back().Region_ =
        Region("region-" + std::to_string(Index % Regions));
  }
  return TestFleet;
}

std::vector<Group> assignGroups(const Fleet &TestFleet) {
  const Assignment HostAssignment(TestFleet.List_);
  std::vector<Group> Groups;
  for (const ServiceEntry &Entry : TestFleet.Entries_)
    Groups.push_back(HostAssignment.group(Entry));
  return Groups;
}

double cpuMicroseconds() {
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

void printSpread(const char *Name, const std::vector<double> &Values) {
  const Spread Summary = spreadOf(Values);
  std::printf("  %-44s min %.4g mean %.4g max %.4g\n", Name, Summary.Min_,
              Summary.Mean_, Summary.Max_);
}

/// Ratio of the assignments that move to the assignments that the leaving hosts
/// had, summed over `Leavers` hosts that leave one at a time.
double movedRatio(const Fleet &TestFleet, const std::vector<Group> &Before,
                  std::size_t Leavers) {
  double Moved = 0;
  double LeaverAssignments = 0;
  for (std::size_t Count = 0; Count < Leavers; ++Count) {
    Fleet Reduced = TestFleet;
    const std::size_t LeaverIndex =
        Count * TestFleet.List_.Hosts_.size() / Leavers;
    const HostId LeavingId = TestFleet.List_.Hosts_[LeaverIndex].Id_;
    Reduced.List_.Hosts_[LeaverIndex].State_ = HostState::Leaving;
    const std::vector<Group> After = assignGroups(Reduced);
    for (std::size_t Index = 0; Index < Before.size(); ++Index) {
      LeaverAssignments += Before[Index].contains(LeavingId) ? 1 : 0;
      for (const GroupMember &Member : After[Index].Members_)
        Moved += Before[Index].contains(Member.Host_) ? 0 : 1;
    }
  }
  std::printf(
      "  %zu hosts leave, one at a time: %.0f assignments move, %.0f at "
      "least must\n",
      Leavers, Moved, LeaverAssignments);
  return LeaverAssignments > 0 ? Moved / LeaverAssignments : 1;
}

/// Number of views per target when every host of the region picks two random
/// targets, the fewest that allow a retry at another target.
std::vector<double> randomSubsetViews(std::size_t Hosts, RandomSource &Random) {
  std::vector<double> Views(TargetsPerService, 0);
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    const std::size_t First = Random.below(TargetsPerService);
    const std::size_t Second = Random.below(TargetsPerService - 1);
    ++Views[First];
    ++Views[Second < First ? Second : Second + 1];
  }
  return Views;
}

void compareViews(const std::vector<Group> &Groups,
                  std::size_t HostsPerRegion) {
  SeededRandom Random(1);
  std::vector<double> GroupViews;
  std::vector<double> SubsetViews;
  for (const Group &HostGroup : Groups) {
    GroupViews.push_back(static_cast<double>(HostGroup.Members_.size()));
    for (const double Views : randomSubsetViews(HostsPerRegion, Random))
      SubsetViews.push_back(Views);
  }
  printSpread("views of a target, groups", GroupViews);
  printSpread("views of a target, all-to-all",
              {static_cast<double>(HostsPerRegion)});
  printSpread("views of a target, random subsets of 2", SubsetViews);
  // A view holds at least one connection. The hosts of a group divide a
  // target's slots, while the baselines need one connection per view.
  std::printf("  connections in use of a target: groups %u, all-to-all %zu, "
              "random subsets %.3g on average\n",
              SlotsPerTarget, HostsPerRegion, spreadOf(SubsetViews).Mean_);
}

/// Prints the slots of a host as a fraction of an equal share of the service's
/// slots. Callers spread evenly could use only what the host with the smallest
/// fraction allows, so callers are spread by weight.
void printSlotBalance(std::size_t Targets, std::uint32_t Slots) {
  const Assignment HostAssignment(test::makeHostList(48, Domains));
  constexpr int Services = 1000;
  std::vector<double> Shares;
  Shares.reserve(Services * Domains);
  for (int Index = 0; Index < Services; ++Index) {
    const ServiceEntry Entry =
        test::makeEntry("service-" + std::to_string(Index), Targets, Slots);
    const SlotPlan Plan = makeSlotPlan(Entry, HostAssignment.group(Entry));
    for (const HostWeights::value_type &Host : Plan.weights())
      Shares.push_back(static_cast<double>(Host.second * Domains) /
                       (Slots * static_cast<double>(Targets)));
  }
  const Spread Summary = spreadOf(Shares);
  std::printf("  %zu targets with %u slots: min %.3g mean %.3g max %.3g\n",
              Targets, Slots, Summary.Min_, Summary.Mean_, Summary.Max_);
}

void run(std::size_t Hosts, std::size_t Services, std::size_t Regions,
         std::size_t Leavers, BoundChecks &Checks) {
  std::printf("%zu hosts, %zu services, %zu regions\n", Hosts, Services,
              Regions);
  const Fleet TestFleet = makeFleet(Hosts, Services, Regions);
  const double IndexStart = cpuMicroseconds();
  const Assignment HostAssignment(TestFleet.List_);
  const double IndexMicros = cpuMicroseconds() - IndexStart;
  const double GroupStart = cpuMicroseconds();
  const std::vector<Group> Groups = assignGroups(TestFleet);
  const double GroupMicros = cpuMicroseconds() - GroupStart;
  std::printf(
      "  CPU time: index %.0f us, all groups %.0f us, %.2f us for one\n",
      IndexMicros, GroupMicros, GroupMicros / static_cast<double>(Services));

  std::map<HostId, double> ServicesPerHost;
  for (const HostRecord &Host : TestFleet.List_.Hosts_)
    ServicesPerHost[Host.Id_] = 0;
  for (const Group &HostGroup : Groups)
    for (const GroupMember &Member : HostGroup.Members_)
      ++ServicesPerHost[Member.Host_];
  std::vector<double> Values;
  Values.reserve(ServicesPerHost.size());
  for (const std::pair<const HostId, double> &Entry : ServicesPerHost)
    Values.push_back(Entry.second);
  printSpread("services of a host", Values);
  Checks.atMost("services of the fullest host over mean",
                spreadOf(Values).Max_ / std::max(spreadOf(Values).Mean_, 1.0),
                spreadOf(Values).Mean_ < 20 ? 6 : 1.8);
  Checks.atMost("assignments moved over the least possible",
                movedRatio(TestFleet, Groups, Leavers), 1);
  compareViews(Groups, Hosts / Regions);
}

} // namespace

int main(int Argc, char **Argv) {
  const bool Short = isShort(Argc, Argv);
  BoundChecks Checks;
  run(48, 20, 1, Short ? 8 : 48, Checks);
  run(48, 370, 1, Short ? 8 : 48, Checks);
  run(480, 370, 3, Short ? 8 : 48, Checks);
  run(4800, 3700, 3, Short ? 8 : 48, Checks);
  std::printf(
      "slots of a host in parts of an equal share, 3 hosts in a group\n");
  printSlotBalance(6, 3);
  printSlotBalance(14, 2);
  printSlotBalance(14, 3);
  printSlotBalance(14, 12);
  return Checks.exitStatus();
}
