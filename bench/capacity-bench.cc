// Cost of a daemon at the size planned in two years: slopes over at least four
// sizes of hosts, targets, services, routes and workspaces, measured on the
// real components with their encoded messages and counted allocations. Bounds
// follow from the limits in docs/design.md, section 2; processor time is
// printed and never bounded. docs/CAPACITY.md reads its figures from here.

#include "bench-report.h"
#include "capacity-fleet.h"
#include "capacity-host.h"

#include "kumquatpitch/request-registry.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <malloc.h>
#include <new>
#include <string>
#include <vector>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

namespace {

/// Heap of the whole program, as malloc gives it out.
struct Heap {
  std::uint64_t Allocations_ = 0;
  std::int64_t Live_ = 0;
  std::int64_t Peak_ = 0;
};
Heap Counted;

} // namespace

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

// Limits of docs/design.md, section 2.
constexpr double MaxMemoryBytes = 64e6;
constexpr double MaxTrafficBytesPerSecond = 6'000;
constexpr double MaxControlCorePercent = 1.6;
constexpr double PlatformReadsPerSecond = 2'000;
constexpr double RequestsPerSecondOfHost = 67;
constexpr double SecondsPerDay = 86'400;
constexpr double RestartsPerDay = 11'000;
constexpr double FailuresPerDay = 300;
constexpr double ConfigChangesPerDay = 3'700;
constexpr std::size_t Workspaces = 320'000;

/// A restart is listed as leaving and as live, a failure as gone and as new.
constexpr double ListChangesPerSecond =
    2 * (RestartsPerDay + FailuresPerDay) / SecondsPerDay;

const FleetSize Today{48, 3, 36, 6, 1};
const FleetSize Planned{4'800, 3'700, 71'000, 100'000, 100};

FleetSize scaled(std::size_t Hosts, std::size_t Customers) {
  const auto Part = [&](std::size_t Whole) {
    return Whole * Hosts / Planned.Hosts_;
  };
  return FleetSize{Hosts, Part(Planned.Services_), Part(Planned.Targets_),
                   Part(Planned.Routes_), Customers};
}

double cpuMs() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return 1e3 * static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) / 1e6;
}

/// Processor time and allocations of a piece of work.
struct Cost {
  double Ms_ = 0;
  double Allocations_ = 0;
  double GrownBytes_ = 0;
  double PeakBytes_ = 0; ///< Above the start.
};

Cost costOf(const std::function<void()> &Work) {
  const Heap Before = Counted;
  Counted.Peak_ = Counted.Live_;
  const double Start = cpuMs();
  Work();
  return Cost{cpuMs() - Start,
              static_cast<double>(Counted.Allocations_ - Before.Allocations_),
              static_cast<double>(Counted.Live_ - Before.Live_),
              static_cast<double>(Counted.Peak_ - Before.Live_)};
}

Cost shared(const Cost &Whole, double Parts) {
  return Cost{Whole.Ms_ / Parts, Whole.Allocations_ / Parts,
              Whole.GrownBytes_ / Parts, Whole.PeakBytes_};
}

/// Least-squares slope, and how far the last point is above the line through
/// the first two.
void printSlope(const char *Name, const std::vector<double> &Sizes,
                const std::vector<double> &Values, const char *Unit) {
  const Spread Size = spreadOf(Sizes);
  const Spread Value = spreadOf(Values);
  double Product = 0;
  double Square = 0;
  for (std::size_t At = 0; At < Sizes.size(); ++At) {
    Product += (Sizes[At] - Size.Mean_) * (Values[At] - Value.Mean_);
    Square += (Sizes[At] - Size.Mean_) * (Sizes[At] - Size.Mean_);
  }
  const double First = (Values[1] - Values[0]) / (Sizes[1] - Sizes[0]);
  const double Line = Values[0] + First * (Sizes.back() - Sizes[0]);
  std::printf("slope  %-34s %12.4g %s; last point %.2f of the line through "
              "the first two\n",
              Name, Product / Square, Unit,
              Line == 0 ? 1.0 : Values.back() / Line);
}

// Spread of services over hosts.

struct LoadSpread {
  HostId Typical_; ///< A host with the median count of services.
  HostId Most_;
  double MeanServices_ = 0;
  std::size_t MostServices_ = 0;
  std::size_t MostPeers_ = 0;
  std::size_t Idle_ = 0;
};

LoadSpread spreadOfLoads(const Fleet &Around) {
  const std::map<HostId, HostLoad> Loads = Around.loads();
  std::vector<std::pair<std::size_t, HostId>> Order;
  LoadSpread Found;
  for (const std::pair<const HostId, HostLoad> &Each : Loads) {
    Order.emplace_back(Each.second.Services_, Each.first);
    Found.MeanServices_ += static_cast<double>(Each.second.Services_) /
                           static_cast<double>(Loads.size());
    Found.MostPeers_ = std::max(Found.MostPeers_, Each.second.Peers_.size());
    Found.Idle_ += Each.second.Services_ == 0 ? 1 : 0;
  }
  std::sort(Order.begin(), Order.end());
  Found.Typical_ = Order[Order.size() / 2].second;
  Found.Most_ = Order.back().second;
  Found.MostServices_ = Order.back().first;
  return Found;
}

// One host.

struct HostFigures {
  double Services_ = 0;
  double Peers_ = 0;
  double LiveBytes_ = 0;
  double StartPeakBytes_ = 0;
  double SentPerSecond_ = 0;
  double ReceivedPerSecond_ = 0;
  double IdleMsPerSecond_ = 0;
  double IdleAllocations_ = 0;
  Cost ListChange_;
  double ListChangeBytes_ = 0; ///< Sent and received for one change.
  Cost OtherChange_;           ///< A service of another customer.
  Cost OwnChange_;             ///< A service of this host's customer.
  Cost Request_;
  double StatusBytes_ = 0;
  double MetricsBytes_ = 0;
  std::size_t ListJsonBytes_ = 0;
  std::size_t ManifestJsonBytes_ = 0;
  std::size_t ContractBytes_ = 0;
  std::size_t ListPartBytes_ = 0;
  std::size_t ManifestPartBytes_ = 0;
  double ListDeltaBytes_ = 0;
  double ManifestDeltaBytes_ = 0;
  double DocumentBytes_ = 0;
};

std::size_t serviceOfCustomer(const Fleet &Around, const CustomerName &Customer,
                              bool Own) {
  for (std::size_t Index = 0; Index < Around.size().Services_; ++Index)
    if ((Fleet::customerName(Around.customerOfService(Index)) ==
         Customer.str()) == Own)
      return Index;
  return 0;
}

/// Requests at the services that the host is assigned to, answered at once.
Cost requestCost(CapacityHost &Host, const CustomerName &Customer,
                 std::size_t Count) {
  std::vector<std::string> Paths;
  for (const ServiceStatus &Each : Host.core().status(Host.now()).Services_)
    Paths.push_back("/" + Each.Service_.str() + "/route-0/items");
  if (Paths.empty())
    return {};
  std::size_t Served = 0;
  Cost Sum;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const CallerRequest Request{
        Customer, "GET", Paths[Index % Paths.size()], std::nullopt, "", "", 0};
    const Cost One = costOf([&] {
      const FlowStep Step = Host.core().admit(Request, Host.now());
      if (!std::holds_alternative<AttemptOrder>(Step.Step_))
        return;
      ++Served;
      Host.core().finishAttempt(Step.Flow_,
                                AttemptReport{AttemptEnd::Answered,
                                              std::chrono::milliseconds(15),
                                              false, false, 20.0, 200},
                                Host.now());
    });
    Sum.Ms_ += One.Ms_;
    Sum.Allocations_ += One.Allocations_;
    Host.tick();
  }
  return shared(Sum, std::max<double>(1, static_cast<double>(Served)));
}

void measureIdle(CapacityHost &Host, HostFigures &Found) {
  constexpr double Seconds = 30;
  Host.clearTraffic();
  const Cost Idle =
      shared(costOf([&] { Host.run(std::chrono::seconds(30)); }), Seconds);
  Found.IdleMsPerSecond_ = Idle.Ms_;
  Found.IdleAllocations_ = Idle.Allocations_;
  Found.SentPerSecond_ =
      static_cast<double>(CapacityHost::bytesOf(Host.sent())) / Seconds;
  Found.ReceivedPerSecond_ =
      static_cast<double>(CapacityHost::bytesOf(Host.received())) / Seconds;
}

void measureListChanges(CapacityHost &Host, HostFigures &Found) {
  constexpr std::size_t Changes = 10;
  Cost Sum;
  Host.clearTraffic();
  for (std::size_t Index = 0; Index < Changes; ++Index) {
    const std::string Delta = Host.nextHostsDelta(7 * Index + 3);
    Found.ListDeltaBytes_ = static_cast<double>(Delta.size());
    const Cost One = costOf([&] { Host.receive(Delta); });
    Sum.Ms_ += One.Ms_;
    Sum.Allocations_ += One.Allocations_;
    Sum.PeakBytes_ = std::max(Sum.PeakBytes_, One.PeakBytes_);
    Host.run(std::chrono::seconds(1));
  }
  Found.ListChange_ = shared(Sum, Changes);
  Found.ListChangeBytes_ =
      Found.ListDeltaBytes_ +
      static_cast<double>(CapacityHost::bytesOf(Host.sent()) +
                          CapacityHost::bytesOf(Host.received())) /
          Changes -
      Found.SentPerSecond_ - Found.ReceivedPerSecond_;
}

Cost measureConfigChange(CapacityHost &Host, Fleet &Changing,
                         std::size_t Service, HostFigures &Found) {
  constexpr std::size_t Changes = 10;
  Cost Sum;
  for (std::size_t Index = 0; Index < Changes; ++Index) {
    Changing.changeService(Service, Changing.manifest().Version_ + 1);
    const std::string Delta = Host.nextManifestDelta(Changing);
    const std::string Document = Host.documentMessage(
        Changing, "service/" + Fleet::serviceName(Service));
    Found.ManifestDeltaBytes_ = static_cast<double>(Delta.size());
    Found.DocumentBytes_ = static_cast<double>(Document.size());
    const Cost One = costOf([&] {
      Host.receive(Delta);
      Host.receive(Document);
    });
    Sum.Ms_ += One.Ms_;
    Sum.Allocations_ += One.Allocations_;
    Sum.PeakBytes_ = std::max(Sum.PeakBytes_, One.PeakBytes_);
    Host.run(std::chrono::seconds(1));
  }
  return shared(Sum, Changes);
}

HostFigures measureHost(const Fleet &Around, const HostId &Self,
                        bool WithChanges) {
  HostFigures Found;
  const HostRecord &Record = *findHost(Around.list(), Self);
  const CustomerName Customer = Record.CustomerPorts_.begin()->first;
  CapacityHost Host(Around, Record);
  // The rig's own tables stand for the platform and are not the daemon's.
  const std::int64_t Before = Counted.Live_;
  Counted.Peak_ = Before;
  const bool Ready = Host.start();
  if (!Ready)
    std::printf("BROKEN host %s does not become ready\n", Self.str().c_str());
  Found.LiveBytes_ = static_cast<double>(Counted.Live_ - Before);
  Found.StartPeakBytes_ = static_cast<double>(Counted.Peak_ - Before);
  const HostStatus Status = Host.core().status(Host.now());
  Found.Services_ = static_cast<double>(Status.Services_.size());
  Found.Peers_ = static_cast<double>(Status.Peers_.size());
  Found.ListJsonBytes_ = Around.hostsJson().size();
  Found.ManifestJsonBytes_ = formatManifest(Around.manifest()).size();
  Found.ContractBytes_ = Around.document("contract/" + Customer.str()).size();
  const std::pair<std::size_t, std::size_t> Tables = Host.tableBytes();
  Found.ManifestPartBytes_ = Tables.first;
  Found.ListPartBytes_ = Tables.second;
  measureIdle(Host, Found);
  Found.Request_ = requestCost(Host, Customer, 500);
  Found.StatusBytes_ = static_cast<double>(
      formatHostStatus(Host.core().status(Host.now())).size());
  Found.MetricsBytes_ =
      static_cast<double>(Host.core().metricsText(Host.now()).size());
  measureListChanges(Host, Found);
  if (!WithChanges)
    return Found;
  Fleet Changing = Around;
  Found.OwnChange_ = measureConfigChange(
      Host, Changing, serviceOfCustomer(Around, Customer, true), Found);
  if (Around.size().Customers_ > 1)
    Found.OtherChange_ = measureConfigChange(
        Host, Changing, serviceOfCustomer(Around, Customer, false), Found);
  return Found;
}

/// Control traffic in both directions on an ordinary day. A change of the
/// configuration is told as one of the list is, and its document follows.
double ordinaryBytesPerSecond(const HostFigures &Of) {
  constexpr double ConfigChangesPerSecond = ConfigChangesPerDay / SecondsPerDay;
  return Of.SentPerSecond_ + Of.ReceivedPerSecond_ +
         ListChangesPerSecond * Of.ListChangeBytes_ +
         ConfigChangesPerSecond * (Of.ListChangeBytes_ + Of.DocumentBytes_);
}

void printHost(const char *Label, const Fleet &Around,
               const HostFigures &Found) {
  std::printf(
      "\nhost   %s: %zu hosts, %zu services, %zu customers; %.0f services "
      "here, %.0f peers\n",
      Label, Around.size().Hosts_, Around.size().Services_,
      Around.size().Customers_, Found.Services_, Found.Peers_);
  std::printf("  memory: %.3f MB in use, %.3f MB at most during the start\n",
              Found.LiveBytes_ / 1e6, Found.StartPeakBytes_ / 1e6);
  std::printf("  idle: %.0f B/s sent, %.0f B/s received, %.3f ms and %.0f "
              "allocations a second\n",
              Found.SentPerSecond_, Found.ReceivedPerSecond_,
              Found.IdleMsPerSecond_, Found.IdleAllocations_);
  const auto PrintChange = [](const char *Name, const Cost &One,
                              double PerSecond) {
    std::printf("  %s: %.3f ms (%.4f%% of a core at %.3f/s), %.0f "
                "allocations, %.3f MB at most\n",
                Name, One.Ms_, One.Ms_ * PerSecond / 10, PerSecond,
                One.Allocations_, One.PeakBytes_ / 1e6);
  };
  PrintChange("list change", Found.ListChange_, ListChangesPerSecond);
  std::printf(
      "  list change: %.0f B sent and received; ordinary day %.0f B/s\n",
      Found.ListChangeBytes_, ordinaryBytesPerSecond(Found));
  PrintChange("own config change", Found.OwnChange_,
              ConfigChangesPerDay / SecondsPerDay);
  PrintChange("other config change", Found.OtherChange_,
              ConfigChangesPerDay / SecondsPerDay);
  std::printf("  request: %.1f us, %.1f allocations\n",
              1e3 * Found.Request_.Ms_, Found.Request_.Allocations_);
  std::printf("  documents: list %zu B, manifest %zu B, contract %zu B; as "
              "parts: list %zu B, manifest %zu B\n",
              Found.ListJsonBytes_, Found.ManifestJsonBytes_,
              Found.ContractBytes_, Found.ListPartBytes_,
              Found.ManifestPartBytes_);
  std::printf("  deltas: list %.0f B, manifest %.0f B, document %.0f B\n",
              Found.ListDeltaBytes_, Found.ManifestDeltaBytes_,
              Found.DocumentBytes_);
  std::printf("  reports: status %.0f B, metrics %.0f B\n", Found.StatusBytes_,
              Found.MetricsBytes_);
}

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

/// What a reader of the platform takes to read the host list.
void measureReader() {
  std::vector<double> Sizes;
  std::vector<double> Peaks;
  for (const std::size_t Hosts : {48, 480, 1'440, 4'320}) {
    const Fleet Around(FleetSize{Hosts, 3, 36, 6, 1});
    const std::string Json = Around.hostsJson();
    std::size_t Read = 0;
    const Cost One = costOf([&] {
      Read = handleFailure(
          [&]() -> Result<std::size_t> {
            BOOST_LEAF_AUTO(List, parseHostList(Json));
            return List.Hosts_.size();
          },
          [](const Failure &) { return std::size_t(0); });
    });
    std::printf("reader takes a list of %zu hosts: %zu B, %.2f ms, %.2f MB at "
                "most\n",
                Read, Json.size(), One.Ms_, One.PeakBytes_ / 1e6);
    Sizes.push_back(static_cast<double>(Hosts));
    Peaks.push_back(One.PeakBytes_);
  }
  printSlope("memory to read a list by hosts", Sizes, Peaks, "B/host");
}

// Request path.

void measureRoutes() {
  std::vector<double> Sizes;
  std::vector<double> Values;
  for (const std::size_t Routes : {100, 1'000, 10'000, 100'000}) {
    Contract Terms;
    constexpr std::size_t RoutesOfService = 27;
    for (std::size_t Index = 0; Index < Routes; ++Index) {
      if (Index % RoutesOfService == 0)
        Terms.Services_.emplace_back();
      Terms.Services_.back().Routes_.push_back(
          Route{"GET", "/service-0001/route-" + std::to_string(Index), true});
    }
    constexpr std::size_t Lookups = 50;
    std::size_t Found = 0;
    const Cost One = shared(
        costOf([&] {
          for (std::size_t Each = 0; Each < Lookups; ++Each)
            Found += findRoute(Terms, "GET", "/service-0001/route-99/x").Route_
                         ? 1
                         : 0;
        }),
        Lookups);
    std::printf("routes %7zu in one contract: %.2f us a lookup, %.0f "
                "allocations, %zu found; %.3f%% of a core at 67/s\n",
                Routes, 1e3 * One.Ms_, One.Allocations_, Found,
                One.Ms_ * RequestsPerSecondOfHost / 10);
    Sizes.push_back(static_cast<double>(Routes));
    Values.push_back(1e3 * One.Ms_);
  }
  printSlope("findRoute by routes", Sizes, Values, "us/route");
}

/// Live bytes after requests of this many workspaces, named in the path since
/// no header reaches the core but the system's own.
double bytesAfterWorkspaces(std::size_t Count, std::size_t Requests) {
  const Fleet Around(scaled(48, 1));
  const HostId Self = spreadOfLoads(Around).Most_;
  const HostRecord &Record = *findHost(Around.list(), Self);
  CapacityHost Host(Around, Record);
  Host.start();
  const ServiceName Service =
      Host.core().status(Host.now()).Services_.front().Service_;
  const std::int64_t Before = Counted.Live_;
  for (std::size_t Index = 0; Index < Requests; ++Index) {
    std::string Workspace = std::to_string(Index % Count);
    Workspace.insert(0, 6 - Workspace.size(), '0');
    const FlowStep Step = Host.core().admit(
        CallerRequest{Record.CustomerPorts_.begin()->first, "GET",
                      "/" + Service.str() + "/route-0/" + Workspace,
                      std::nullopt, "", "", 0},
        Host.now());
    if (std::holds_alternative<AttemptOrder>(Step.Step_))
      Host.core().finishAttempt(Step.Flow_,
                                AttemptReport{AttemptEnd::Answered,
                                              std::chrono::milliseconds(15),
                                              false, false, 20.0, 200},
                                Host.now());
    if (Index % 1'000 == 0)
      Host.run(std::chrono::seconds(1));
  }
  Host.run(std::chrono::seconds(1));
  return static_cast<double>(Counted.Live_ - Before);
}

void measureWorkspaces(BoundChecks &Checks) {
  const double One = bytesAfterWorkspaces(1, Workspaces);
  for (const std::size_t Count : {std::size_t(1'000), std::size_t(10'000),
                                  std::size_t(100'000), Workspaces}) {
    const double Many = bytesAfterWorkspaces(Count, Workspaces);
    std::printf("workspaces %6zu in %zu requests: %+.0f bytes beside one "
                "workspace\n",
                Count, Workspaces, Many - One);
    Checks.atMost("state of workspaces, bytes", Many - One, 0);
  }
}

void measureRegistry(BoundChecks &Checks) {
  constexpr std::size_t Full = 22'110; // 67 requests/s over 330 s
  std::vector<double> Sizes;
  std::vector<double> Values;
  for (const std::size_t Entries :
       {std::size_t(1'000), std::size_t(5'000), Full, 4 * Full}) {
    RequestRegistry Registry(HostId("host-domain-00-0001"), 1, TimePoint(),
                             RegistryLimits{100'000, 32'000'000, 100'000});
    const RequestToken Token =
        Registry.issueToken(ServiceName("service-0001"), TimePoint());
    const Cost Whole = costOf([&] {
      for (std::size_t Index = 0; Index < Entries; ++Index) {
        std::string Id = std::to_string(Index);
        Id.insert(0, MaxRequestIdBytes - Id.size(), '0');
        const RequestKey Key{CustomerName("customer-0001"),
                             ServiceName("service-0001"), Id, 0};
        if (Registry.begin(Token, Key, TimePoint()).Run_)
          Registry.finish(Token, Key, Outcome::Ran, TimePoint());
      }
    });
    std::printf("registry %6zu ids of 64 bytes: %.3f MB (%zu entries, %.3f MB "
                "by its own estimate), %.2f us each\n",
                Entries, Whole.GrownBytes_ / 1e6, Registry.entries(),
                static_cast<double>(Registry.bytes()) / 1e6,
                1e3 * Whole.Ms_ / static_cast<double>(Entries));
    Sizes.push_back(static_cast<double>(Entries));
    Values.push_back(Whole.GrownBytes_);
    if (Entries == Full)
      Checks.atMost("registry at 67 requests/s over 330 s, bytes",
                    Whole.GrownBytes_, MaxMemoryBytes);
  }
  printSlope("registry by ids", Sizes, Values, "B/id");
}

// Targets, burn and messages.

void measureTargets() {
  std::vector<double> Sizes;
  std::vector<double> Memory;
  std::vector<double> Ms;
  for (const std::size_t Targets : {37, 185, 740, 2'960}) {
    const FleetSize Size{48, 37, Targets, 1'000, 1};
    const Fleet Around(Size);
    const HostFigures Found =
        measureHost(Around, spreadOfLoads(Around).Most_, false);
    Sizes.push_back(static_cast<double>(Targets) / 37 * Found.Services_);
    Memory.push_back(Found.LiveBytes_);
    Ms.push_back(Found.IdleMsPerSecond_);
    std::printf("targets %.0f on this host: %.3f MB, %.3f ms a second, status "
                "%.0f B\n",
                Sizes.back(), Found.LiveBytes_ / 1e6, Found.IdleMsPerSecond_,
                Found.StatusBytes_);
  }
  printSlope("memory by targets of the host", Sizes, Memory, "B/target");
  printSlope("idle time by targets of the host", Sizes, Ms, "ms/s/target");
}

void measureBurn() {
  std::vector<double> Sizes;
  std::vector<double> Values;
  for (const std::size_t Services : {1, 10, 37, 308}) {
    std::vector<std::unique_ptr<BurnRate>> All;
    All.reserve(Services);
    const Cost Whole = costOf([&] {
      for (std::size_t Index = 0; Index < Services; ++Index)
        All.push_back(std::make_unique<BurnRate>(
            CustomerName("customer-0001"),
            ServiceName(Fleet::serviceName(Index)),
            Objective{99.5, std::chrono::milliseconds(800), 28}, TimePoint()));
    });
    Sizes.push_back(static_cast<double>(Services));
    Values.push_back(Whole.GrownBytes_);
  }
  printSlope("burn counters by services", Sizes, Values, "B/service");
}

void measureHeartbeats() {
  std::vector<double> Sizes;
  std::vector<double> Values;
  for (const std::size_t Peers : {2, 6, 16, 48}) {
    HeartbeatMessage Beat;
    Beat.Epoch_ = 2'000;
    Beat.Config_ =
        ConfigState{{3'700, {~0ULL, ~0ULL}}, {90'000, {~0ULL, ~0ULL}}};
    Beat.Heard_.push_back(HostId("host-domain-01-0002"));
    const std::size_t Size =
        encodePeerMessage(PeerMessage{HostId("host-domain-00-0001"), ~0ULL,
                                      HostId("host-domain-01-0002"), 1'000'000,
                                      Beat})
            .size();
    std::printf("heartbeat to %2zu peers: %zu B each, %zu B/s sent\n", Peers,
                Size, Peers * Size);
    Sizes.push_back(static_cast<double>(Peers));
    Values.push_back(static_cast<double>(Peers * Size));
  }
  printSlope("heartbeats by peers", Sizes, Values, "B/s/peer");
}

void measureAnswers() {
  std::vector<double> Sizes;
  std::vector<double> Values;
  for (const std::size_t Hosts : {3, 6, 12, 48}) {
    AddressAnswer Answer{ServiceName("service-0001"), 3'700, {}};
    for (std::size_t Index = 0; Index < Hosts; ++Index) {
      const HostId Host("host-domain-00-" + std::to_string(1'000 + Index));
      Answer.Hosts_.push_back(AddressOption{
          Host, FailureDomain("domain-00"), Endpoint{"10.20.30.40", 8000},
          formatToken(RequestToken{Answer.Service_, Host, ~0ULL, 2'000})});
    }
    std::size_t Size = 0;
    const Cost One = costOf([&] { Size = formatAddressAnswer(Answer).size(); });
    std::printf("address answer with %2zu hosts: %zu B, %.0f allocations\n",
                Hosts, Size, One.Allocations_);
    Sizes.push_back(static_cast<double>(Hosts));
    Values.push_back(static_cast<double>(Size));
  }
  printSlope("address answer by hosts", Sizes, Values, "B/host");
}

// Bad days.

/// Control traffic of a host while all targets of one service stall. With
/// several services at once the host would take it as its own fault.
void measureStall(BoundChecks &Checks) {
  const Fleet Around(scaled(480, 10));
  const HostRecord &Record =
      *findHost(Around.list(), spreadOfLoads(Around).Typical_);
  CapacityHost Host(Around, Record);
  Host.start();
  constexpr std::size_t WarmUp = 1'000;
  requestCost(Host, Record.CustomerPorts_.begin()->first, WarmUp);
  const ServiceStatus Stalled =
      Host.core().status(Host.now()).Services_.front();
  std::printf("stall of one service, %zu targets, 25 requests/s\n",
              Stalled.Targets_.size());
  double Worst = 0;
  for (int Second = 1; Second <= 5; ++Second) {
    Host.clearTraffic();
    const Cost One = costOf([&] {
      for (int Tick = 0; Tick < 50; ++Tick) {
        if (Tick % 2 == 0)
          Host.core().admit(
              CallerRequest{Record.CustomerPorts_.begin()->first, "POST",
                            "/" + Stalled.Service_.str() + "/route-1",
                            std::nullopt, "", "", 0},
              Host.now());
        Host.tick();
      }
    });
    std::printf("stall second %d: %zu requests hang, %.3f ms;", Second,
                Host.core().requestsInProgress(), One.Ms_);
    for (const std::pair<const std::string, Traffic> &Each : Host.sent())
      std::printf(" %s %llu (%llu B)", Each.first.c_str(),
                  static_cast<unsigned long long>(Each.second.Messages_),
                  static_cast<unsigned long long>(Each.second.Bytes_));
    std::printf("\n");
    Worst = std::max(
        Worst, static_cast<double>(CapacityHost::bytesOf(Host.sent()) +
                                   CapacityHost::bytesOf(Host.received())));
  }
  Checks.atMost("all targets of a service stall: B/s sent and received", Worst,
                MaxTrafficBytesPerSecond);
}

/// Control traffic of a host whose callers offer far more than the contract.
void measureOverload(BoundChecks &Checks) {
  const Fleet Around(scaled(480, 10));
  const HostRecord &Record =
      *findHost(Around.list(), spreadOfLoads(Around).Typical_);
  CapacityHost Host(Around, Record);
  Host.start();
  const std::vector<ServiceStatus> Services =
      Host.core().status(Host.now()).Services_;
  Host.clearTraffic();
  constexpr int Seconds = 10;
  for (int Tick = 0; Tick < Seconds * 50; ++Tick) {
    for (const ServiceStatus &Each : Services)
      for (int Count = 0; Count < 10; ++Count) {
        const FlowStep Step = Host.core().admit(
            CallerRequest{Record.CustomerPorts_.begin()->first, "GET",
                          "/" + Each.Service_.str() + "/route-0", std::nullopt,
                          "", "", 0},
            Host.now());
        if (std::holds_alternative<AttemptOrder>(Step.Step_))
          Host.core().finishAttempt(Step.Flow_,
                                    AttemptReport{AttemptEnd::Answered,
                                                  std::chrono::milliseconds(15),
                                                  false, false, 20.0, 200},
                                    Host.now());
      }
    Host.tick();
  }
  std::printf("overload at 4 times the contract:");
  for (const std::pair<const std::string, Traffic> &Each : Host.sent())
    std::printf(" %s %.1f/s (%.0f B/s)", Each.first.c_str(),
                static_cast<double>(Each.second.Messages_) / Seconds,
                static_cast<double>(Each.second.Bytes_) / Seconds);
  std::printf("\n");
  Checks.atMost("contract limit reached: B/s sent and received",
                static_cast<double>(CapacityHost::bytesOf(Host.sent()) +
                                    CapacityHost::bytesOf(Host.received())) /
                    Seconds,
                MaxTrafficBytesPerSecond);
}

/// One list change that names a rack, a failure domain or a region, and one
/// manifest that changes all services of the host's customer at once.
void measureMassChanges(BoundChecks &Checks) {
  const Fleet Around(scaled(Planned.Hosts_, Planned.Customers_));
  const HostRecord &Record =
      *findHost(Around.list(), spreadOfLoads(Around).Typical_);
  CapacityHost Host(Around, Record);
  Host.start();
  for (const std::size_t Hosts : {1, 40, 600, 1'600}) {
    const std::string Delta = Host.nextHostsDelta(0, Hosts);
    const Cost One = costOf([&] { Host.receive(Delta); });
    std::printf("list change of %4zu hosts: %zu B, %.2f ms, %.0f allocations, "
                "%.2f MB at most\n",
                Hosts, Delta.size(), One.Ms_, One.Allocations_,
                One.PeakBytes_ / 1e6);
    Checks.atMost("delta of a list change, bytes",
                  static_cast<double>(Delta.size()), MaxPartMessageBytes);
    Host.receive(Host.nextHostsDelta(0, 0));
    Host.run(std::chrono::seconds(1));
  }
  Fleet Changing = Around;
  std::vector<std::string> Messages;
  for (std::size_t Index = 0; Index < Around.size().Services_; ++Index)
    Changing.changeService(Index, 2);
  Messages.push_back(Host.nextManifestDelta(Changing));
  const std::string Customer = Record.CustomerPorts_.begin()->first.str();
  for (std::size_t Index = 0; Index < Around.size().Services_; ++Index)
    if (Fleet::customerName(Around.customerOfService(Index)) == Customer)
      Messages.push_back(Host.documentMessage(
          Changing, "service/" + Fleet::serviceName(Index)));
  std::size_t Bytes = 0;
  for (const std::string &Each : Messages)
    Bytes += Each.size();
  const Cost Burst = costOf([&] {
    for (const std::string &Each : Messages)
      Host.receive(Each);
  });
  std::printf("burst of %zu changes in one manifest: delta %zu B, %zu B with "
              "the %zu own documents, %.2f ms, %.2f MB at most\n",
              Around.size().Services_, Messages.front().size(), Bytes,
              Messages.size() - 1, Burst.Ms_, Burst.PeakBytes_ / 1e6);
  Checks.atMost("delta of a burst, bytes",
                static_cast<double>(Messages.front().size()),
                MaxPartMessageBytes);
}

/// Figures that follow from the measured sizes and the stated rates.
void deriveDays(const HostFigures &Median, BoundChecks &Checks) {
  constexpr double Domains = 8;
  constexpr double ReadersOfDomain = 2;
  constexpr double WatchSeconds = 30;
  constexpr double ListPauseBytesPerSecond = 3'000;
  const double Readers = Domains * ReadersOfDomain;
  const double Watches = Readers * 2 / WatchSeconds;
  const double Reads = Readers * ConfigChangesPerDay / SecondsPerDay * 2;
  std::printf("\nplatform: %.0f waiting watches of %.0f readers, %.2f "
              "expiries/s, %.2f reads/s for changes\n",
              2 * Readers, Readers, Watches, Reads);
  Checks.atMost("platform calls/s and waiting watches",
                2 * Readers + Watches + Reads, PlatformReadsPerSecond);
  std::printf("reader: a list of %zu B is read again after %.0f s\n",
              Median.ListJsonBytes_,
              static_cast<double>(Median.ListJsonBytes_) /
                  ListPauseBytesPerSecond);
  const double Tables = static_cast<double>(Median.ListPartBytes_) +
                        static_cast<double>(Median.ManifestPartBytes_);
  std::printf("restarts: %.0f B of tables for each, %.0f B/s of a host on "
              "average at %.0f a day\n",
              Tables,
              Tables * RestartsPerDay / SecondsPerDay /
                  static_cast<double>(Planned.Hosts_),
              RestartsPerDay);
  std::printf(
      "control: %.4f%% of a core at rest, %.4f%% for list changes at "
      "%.3f/s, %.4f%% for changes at %.3f/s; limit %.1f%%\n",
      Median.IdleMsPerSecond_ / 10,
      Median.ListChange_.Ms_ * ListChangesPerSecond / 10, ListChangesPerSecond,
      Median.OtherChange_.Ms_ * ConfigChangesPerDay / SecondsPerDay / 10,
      ConfigChangesPerDay / SecondsPerDay, MaxControlCorePercent);
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
