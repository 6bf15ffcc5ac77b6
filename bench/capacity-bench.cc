// Cost of a daemon at the size that the fleet is planned to have in two years.
// Measures the real components, with their encoded messages and counted
// allocations, at four or more numbers of hosts, targets, services, routes and
// workspaces, and prints the slopes. The bounds follow from the limits in
// docs/design.md, section 2; processor time is printed and never bounded. The
// figures in docs/CAPACITY.md come from this benchmark.

#include "capacity-days.h"
#include "capacity-parts.h"

#include <algorithm>
#include <cstdlib>
#include <malloc.h>
#include <new>
#include <vector>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

void *operator new(std::size_t Size) {
  void *const Block = std::malloc(Size);
  if (!Block)
    throw std::bad_alloc();
  ++HeapUsage.Allocations_;
  HeapUsage.Live_ += static_cast<std::int64_t>(malloc_usable_size(Block));
  HeapUsage.Peak_ = std::max(HeapUsage.Peak_, HeapUsage.Live_);
  return Block;
}

void operator delete(void *Block) noexcept {
  HeapUsage.Live_ -= static_cast<std::int64_t>(malloc_usable_size(Block));
  std::free(Block);
}

void operator delete(void *Block, std::size_t) noexcept {
  operator delete(Block);
}

namespace {

/// Measures fleets of 48 to 4,800 hosts with services, targets and routes in
/// proportion. Returns the figures of the median host of the largest fleet.
HostFigures measureSizes(BoundChecks &Checks) {
  const Fleet Small(Today);
  printHost("today", Small,
            measureHost(Small, spreadOfLoads(Small).MostLoadedHost_, true));
  std::vector<double> Sizes;
  std::vector<HostFigures> MedianHosts;
  HostFigures MostLoaded;
  for (const std::size_t Hosts : {48, 480, 1'440, 4'800}) {
    const Fleet BenchFleet(scaled(Hosts, Hosts / 48));
    const LoadSpread Loads = spreadOfLoads(BenchFleet);
    std::printf("\nspread %zu hosts: %.2f services for each, most %zu, most "
                "peers %zu, hosts without any %zu\n",
                Hosts, Loads.MeanServices_, Loads.MostServices_,
                Loads.MostPeers_, Loads.Idle_);
    Sizes.push_back(static_cast<double>(Hosts));
    MedianHosts.push_back(measureHost(BenchFleet, Loads.MedianHost_, true));
    printHost("median", BenchFleet, MedianHosts.back());
    if (Hosts != Planned.Hosts_)
      continue;
    MostLoaded = measureHost(BenchFleet, Loads.MostLoadedHost_, true);
    printHost("most loaded", BenchFleet, MostLoaded);
  }
  const auto PrintFieldSlope = [&](const char *Name, double HostFigures::*Field,
                                   const char *Unit) {
    std::vector<double> Values;
    Values.reserve(MedianHosts.size());
    for (const HostFigures &Figures : MedianHosts)
      Values.push_back(Figures.*Field);
    printSlope(Name, Sizes, Values, Unit);
  };
  std::printf("\n");
  PrintFieldSlope("memory by hosts", &HostFigures::LiveBytes_, "B/host");
  PrintFieldSlope("peak memory at start by hosts",
                  &HostFigures::StartPeakBytes_, "B/host");
  PrintFieldSlope("sent by hosts", &HostFigures::SentPerSecond_, "B/s/host");
  PrintFieldSlope("idle processor time by hosts",
                  &HostFigures::IdleMsPerSecond_, "ms/s/host");
  std::vector<double> ListChangeMs;
  ListChangeMs.reserve(MedianHosts.size());
  for (const HostFigures &Figures : MedianHosts)
    ListChangeMs.push_back(Figures.ListChange_.Ms_);
  printSlope("list change by hosts", Sizes, ListChangeMs, "ms/host");
  const HostFigures &Median = MedianHosts.back();
  Checks.atMost("median host: memory, bytes", Median.LiveBytes_,
                MaxMemoryBytes);
  Checks.atMost("median host: memory at start, bytes", Median.StartPeakBytes_,
                MaxMemoryBytes);
  Checks.atMost("median host: ordinary day, B/s sent and received",
                ordinaryBytesPerSecond(Median), MaxTrafficBytesPerSecond);
  Checks.atMost("most loaded host: memory at start, bytes",
                MostLoaded.StartPeakBytes_, MaxMemoryBytes);
  Checks.atMost("most loaded host: ordinary day, B/s sent and received",
                ordinaryBytesPerSecond(MostLoaded), MaxTrafficBytesPerSecond);
  Checks.atMost("host list as a document, bytes",
                static_cast<double>(Median.ListJsonBytes_), MaxDocumentBytes);
  Checks.atMost("manifest as a document, bytes",
                static_cast<double>(Median.ManifestJsonBytes_),
                MaxDocumentBytes);
  Checks.atMost("host list as a part, bytes",
                static_cast<double>(Median.ListPartBytes_),
                MaxPartMessageBytes);
  Checks.atMost("manifest as a part, bytes",
                static_cast<double>(Median.ManifestPartBytes_),
                MaxPartMessageBytes);
  Checks.atMost("status report, bytes", MostLoaded.StatusBytes_,
                MaxDocumentBytes);
  return Median;
}

/// Measures the planned number of hosts with fewer customers, each of which has
/// more services.
void measureCustomers(BoundChecks &Checks) {
  std::vector<double> Services;
  std::vector<double> ContractBytes;
  std::vector<double> ListChangeMs;
  std::vector<double> IdleMs;
  std::vector<double> LiveBytes;
  constexpr std::size_t Sizes = 4;
  for (std::vector<double> *Column :
       {&Services, &ContractBytes, &ListChangeMs, &IdleMs, &LiveBytes})
    Column->reserve(Sizes);
  for (const std::size_t Customers : {100, 48, 24, 12}) {
    const Fleet BenchFleet(scaled(Planned.Hosts_, Customers));
    const HostFigures Figures =
        measureHost(BenchFleet, spreadOfLoads(BenchFleet).MedianHost_, false);
    printHost("median", BenchFleet, Figures);
    Services.push_back(static_cast<double>(BenchFleet.servicesPerCustomer()));
    ContractBytes.push_back(static_cast<double>(Figures.ContractBytes_));
    ListChangeMs.push_back(Figures.ListChange_.Ms_);
    IdleMs.push_back(Figures.IdleMsPerSecond_);
    LiveBytes.push_back(Figures.LiveBytes_);
    Checks.atMost("start with fewer customers: memory, bytes",
                  Figures.StartPeakBytes_, MaxMemoryBytes);
  }
  std::printf("\n");
  printSlope("contract by its services", Services, ContractBytes, "B/service");
  printSlope("memory by a customer's services", Services, LiveBytes,
             "B/service");
  printSlope("list change by a customer's services", Services, ListChangeMs,
             "ms/service");
  printSlope("idle time by a customer's services", Services, IdleMs,
             "ms/s/service");
}

} // namespace

int main(int Argc, char **Argv) {
  BoundChecks Checks;
  const bool Short = isShort(Argc, Argv);
  const HostFigures Median = measureSizes(Checks);
  if (!Short)
    measureCustomers(Checks);
  std::printf("\n");
  measureReader();
  measureTargets();
  measureBurnCounters();
  measureRoutes();
  measureRegistry(Checks);
  measureWorkspaces(Checks);
  measureHeartbeats();
  measureAddressAnswers();
  std::printf("\n");
  measureStall(Checks);
  measureOverload(Checks);
  measureMassChanges(Checks);
  deriveDailyFigures(Median, Checks);
  std::printf("total %.1f s of processor time\n", cpuMs() / 1e3);
  return Checks.exitStatus();
}
