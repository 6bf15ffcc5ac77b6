// Cost of a daemon at the size planned in two years: slopes over at least four
// sizes of hosts, targets, services, routes and workspaces, measured on the
// real components with their encoded messages and counted allocations. Bounds
// follow from the limits in docs/design.md, section 2; processor time is
// printed and never bounded. docs/CAPACITY.md reads its figures from here.

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
  void *const Given = std::malloc(Size);
  if (!Given)
    throw std::bad_alloc();
  ++Counted.Allocations_;
  Counted.Live_ += static_cast<std::int64_t>(malloc_usable_size(Given));
  Counted.Peak_ = std::max(Counted.Peak_, Counted.Live_);
  return Given;
}

void operator delete(void *Given) noexcept {
  Counted.Live_ -= static_cast<std::int64_t>(malloc_usable_size(Given));
  std::free(Given);
}

void operator delete(void *Given, std::size_t) noexcept {
  operator delete(Given);
}

namespace {

/// Hosts from 48 to 4,800 with services, targets and routes in proportion.
HostFigures measureSizes(BoundChecks &Checks) {
  const Fleet Small(Today);
  printHost("today", Small,
            measureHost(Small, spreadOfLoads(Small).Most_, true));
  std::vector<double> Sizes;
  std::vector<HostFigures> All;
  HostFigures Largest;
  for (const std::size_t Hosts : {48, 480, 1'440, 4'800}) {
    const Fleet Around(scaled(Hosts, Hosts / 48));
    const LoadSpread Loads = spreadOfLoads(Around);
    std::printf("\nspread %zu hosts: %.2f services for each, most %zu, most "
                "peers %zu, hosts without any %zu\n",
                Hosts, Loads.MeanServices_, Loads.MostServices_,
                Loads.MostPeers_, Loads.Idle_);
    Sizes.push_back(static_cast<double>(Hosts));
    All.push_back(measureHost(Around, Loads.Typical_, true));
    printHost("median", Around, All.back());
    if (Hosts != Planned.Hosts_)
      continue;
    Largest = measureHost(Around, Loads.Most_, true);
    printHost("most loaded", Around, Largest);
  }
  const auto Slope = [&](const char *Name, double HostFigures::*Field,
                         const char *Unit) {
    std::vector<double> Values;
    Values.reserve(All.size());
    for (const HostFigures &Each : All)
      Values.push_back(Each.*Field);
    printSlope(Name, Sizes, Values, Unit);
  };
  std::printf("\n");
  Slope("memory by hosts", &HostFigures::LiveBytes_, "B/host");
  Slope("peak memory at start by hosts", &HostFigures::StartPeakBytes_,
        "B/host");
  Slope("sent by hosts", &HostFigures::SentPerSecond_, "B/s/host");
  Slope("idle processor time by hosts", &HostFigures::IdleMsPerSecond_,
        "ms/s/host");
  std::vector<double> Ms;
  Ms.reserve(All.size());
  for (const HostFigures &Each : All)
    Ms.push_back(Each.ListChange_.Ms_);
  printSlope("list change by hosts", Sizes, Ms, "ms/host");
  const HostFigures &Median = All.back();
  Checks.atMost("median host: memory, bytes", Median.LiveBytes_,
                MaxMemoryBytes);
  Checks.atMost("median host: memory at start, bytes", Median.StartPeakBytes_,
                MaxMemoryBytes);
  Checks.atMost("median host: ordinary day, B/s sent and received",
                ordinaryBytesPerSecond(Median), MaxTrafficBytesPerSecond);
  Checks.atMost("most loaded host: memory at start, bytes",
                Largest.StartPeakBytes_, MaxMemoryBytes);
  Checks.atMost("most loaded host: ordinary day, B/s sent and received",
                ordinaryBytesPerSecond(Largest), MaxTrafficBytesPerSecond);
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
  Checks.atMost("status report, bytes", Largest.StatusBytes_, MaxDocumentBytes);
  return Median;
}

/// All hosts of a size with fewer and larger customers.
void measureCustomers(BoundChecks &Checks) {
  std::vector<double> Services;
  std::vector<double> Contracts;
  std::vector<double> Ms;
  std::vector<double> IdleMs;
  std::vector<double> Live;
  constexpr std::size_t Sizes = 4;
  for (std::vector<double> *Each : {&Services, &Contracts, &Ms, &IdleMs, &Live})
    Each->reserve(Sizes);
  for (const std::size_t Customers : {100, 48, 24, 12}) {
    const Fleet Around(scaled(Planned.Hosts_, Customers));
    const HostFigures Found =
        measureHost(Around, spreadOfLoads(Around).Typical_, false);
    printHost("median", Around, Found);
    Services.push_back(static_cast<double>(Around.servicesOfCustomer()));
    Contracts.push_back(static_cast<double>(Found.ContractBytes_));
    Ms.push_back(Found.ListChange_.Ms_);
    IdleMs.push_back(Found.IdleMsPerSecond_);
    Live.push_back(Found.LiveBytes_);
    Checks.atMost("start with fewer customers: memory, bytes",
                  Found.StartPeakBytes_, MaxMemoryBytes);
  }
  std::printf("\n");
  printSlope("contract by its services", Services, Contracts, "B/service");
  printSlope("memory by a customer's services", Services, Live, "B/service");
  printSlope("list change by a customer's services", Services, Ms,
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
  measureBurn();
  measureRoutes();
  measureRegistry(Checks);
  measureWorkspaces(Checks);
  measureHeartbeats();
  measureAnswers();
  std::printf("\n");
  measureStall(Checks);
  measureOverload(Checks);
  measureMassChanges(Checks);
  deriveDays(Median, Checks);
  std::printf("total %.1f s of processor time\n", cpuMs() / 1e3);
  return Checks.exitStatus();
}
