// Assignment at 48 to 4,800 hosts: spread of services over hosts, assignments
// that move when one host leaves, CPU time for each assignment, and the
// connections and views of each target beside two baselines. Times are printed
// and have no bound.

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
constexpr std::size_t TargetsOfService = 19; // 71,000 targets in 3,700 services
constexpr std::uint32_t SlotsOfTarget = 3;

struct Fleet {
  HostList List_;
  std::vector<ServiceEntry> Entries_;
};

/// Hosts and services are divided evenly among the regions.
Fleet makeFleet(std::size_t Hosts, std::size_t Services, std::size_t Regions) {
  Fleet Made;
  for (std::size_t Each = 0; Each < Regions; ++Each) {
    const std::string Name = "region-" + std::to_string(Each);
    const HostList Part = test::makeHostList(Hosts / Regions, Domains, Name);
    Made.List_.Hosts_.insert(Made.List_.Hosts_.end(), Part.Hosts_.begin(),
                             Part.Hosts_.end());
  }
  for (std::size_t Each = 0; Each < Services; ++Each) {
    Made.Entries_.push_back(test::makeEntry("service-" + std::to_string(Each),
                                            TargetsOfService, SlotsOfTarget));
    Made.Entries_.back().Region_ =
        Region("region-" + std::to_string(Each % Regions));
  }
  return Made;
}

std::vector<Group> groupsOf(const Fleet &Made) {
  const Assignment Assigned(Made.List_);
  std::vector<Group> Groups;
  for (const ServiceEntry &Entry : Made.Entries_)
    Groups.push_back(Assigned.group(Entry));
  return Groups;
}

double cpuMicroseconds() {
  return static_cast<double>(std::clock()) * 1e6 / CLOCKS_PER_SEC;
}

void printSpread(const char *What, const std::vector<double> &Values) {
  const Spread Found = spreadOf(Values);
  std::printf("  %-44s min %.4g mean %.4g max %.4g\n", What, Found.Min_,
              Found.Mean_, Found.Max_);
}

/// Ratio of the assignments that move to the assignments that the leaving hosts
/// had, over `Leavers` hosts, each leaving alone.
double movedRatio(const Fleet &Made, const std::vector<Group> &Before,
                  std::size_t Leavers) {
  double Moved = 0;
  double Had = 0;
  for (std::size_t Turn = 0; Turn < Leavers; ++Turn) {
    Fleet Reduced = Made;
    const std::size_t At = Turn * Made.List_.Hosts_.size() / Leavers;
    const HostId Gone = Made.List_.Hosts_[At].Id_;
    Reduced.List_.Hosts_[At].State_ = HostState::Leaving;
    const std::vector<Group> After = groupsOf(Reduced);
    for (std::size_t Each = 0; Each < Before.size(); ++Each) {
      Had += Before[Each].contains(Gone) ? 1 : 0;
      for (const GroupMember &Member : After[Each].Members_)
        Moved += Before[Each].contains(Member.Host_) ? 0 : 1;
    }
  }
  std::printf(
      "  %zu hosts leave, one at a time: %.0f assignments move, %.0f at "
      "least must\n",
      Leavers, Moved, Had);
  return Had > 0 ? Moved / Had : 1;
}

/// Views of each target when every host of the region takes two random targets,
/// the fewest that allow a retry at another target.
std::vector<double> randomSubsetViews(std::size_t Hosts, RandomSource &Random) {
  std::vector<double> Views(TargetsOfService, 0);
  for (std::size_t Host = 0; Host < Hosts; ++Host) {
    const std::size_t First = Random.below(TargetsOfService);
    const std::size_t Second = Random.below(TargetsOfService - 1);
    ++Views[First];
    ++Views[Second < First ? Second : Second + 1];
  }
  return Views;
}

void compareViews(const std::vector<Group> &Groups, std::size_t HostsOfRegion) {
  SeededRandom Random(1);
  std::vector<double> Own;
  std::vector<double> Subsets;
  for (const Group &Each : Groups) {
    Own.push_back(static_cast<double>(Each.Members_.size()));
    for (const double Views : randomSubsetViews(HostsOfRegion, Random))
      Subsets.push_back(Views);
  }
  printSpread("views of a target, groups", Own);
  printSpread("views of a target, all-to-all",
              {static_cast<double>(HostsOfRegion)});
  printSpread("views of a target, random subsets of 2", Subsets);
  // A view holds at least one connection; the group divides a target's slots,
  // and the baselines need one connection for each of their views.
  std::printf("  connections in use of a target: groups %u, all-to-all %zu, "
              "random subsets %.3g on average\n",
              SlotsOfTarget, HostsOfRegion, spreadOf(Subsets).Mean_);
}

/// Slots of a host in parts of an equal share of the service's slots. The
/// smallest part limits what callers spread evenly can use, so callers are
/// spread by weight.
void printSlotBalance(std::size_t Targets, std::uint32_t Slots) {
  const Assignment Assigned(test::makeHostList(48, Domains));
  constexpr int Services = 1000;
  std::vector<double> Shares;
  Shares.reserve(Services * Domains);
  for (int Each = 0; Each < Services; ++Each) {
    const ServiceEntry Entry =
        test::makeEntry("service-" + std::to_string(Each), Targets, Slots);
    const SlotPlan Plan = makeSlotPlan(Entry, Assigned.group(Entry));
    for (const HostWeights::value_type &Host : Plan.weights())
      Shares.push_back(static_cast<double>(Host.second * Domains) /
                       (Slots * static_cast<double>(Targets)));
  }
  const Spread Found = spreadOf(Shares);
  std::printf("  %zu targets with %u slots: min %.3g mean %.3g max %.3g\n",
              Targets, Slots, Found.Min_, Found.Mean_, Found.Max_);
}

void run(std::size_t Hosts, std::size_t Services, std::size_t Regions,
         std::size_t Leavers, BoundChecks &Checks) {
  std::printf("%zu hosts, %zu services, %zu regions\n", Hosts, Services,
              Regions);
  const Fleet Made = makeFleet(Hosts, Services, Regions);
  const double IndexStart = cpuMicroseconds();
  const Assignment Assigned(Made.List_);
  const double IndexTime = cpuMicroseconds() - IndexStart;
  const double GroupStart = cpuMicroseconds();
  const std::vector<Group> Groups = groupsOf(Made);
  const double GroupTime = cpuMicroseconds() - GroupStart;
  std::printf(
      "  CPU time: index %.0f us, all groups %.0f us, %.2f us for one\n",
      IndexTime, GroupTime, GroupTime / static_cast<double>(Services));

  std::map<HostId, double> Counts;
  for (const HostRecord &Host : Made.List_.Hosts_)
    Counts[Host.Id_] = 0;
  for (const Group &Each : Groups)
    for (const GroupMember &Member : Each.Members_)
      ++Counts[Member.Host_];
  std::vector<double> Values;
  Values.reserve(Counts.size());
  for (const std::pair<const HostId, double> &Each : Counts)
    Values.push_back(Each.second);
  printSpread("services of a host", Values);
  Checks.atMost("services of the fullest host over mean",
                spreadOf(Values).Max_ / std::max(spreadOf(Values).Mean_, 1.0),
                spreadOf(Values).Mean_ < 20 ? 6 : 1.8);
  Checks.atMost("assignments moved over the least possible",
                movedRatio(Made, Groups, Leavers), 1);
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
