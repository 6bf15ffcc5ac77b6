// How the cost of single components grows with routes, workspaces, request ids,
// targets, services and peers, for the capacity benchmark.

#ifndef KUMQUATPITCH_CAPACITY_PARTS_H
#define KUMQUATPITCH_CAPACITY_PARTS_H

#include "capacity-figures.h"

#include "kumquatpitch/request-registry.h"

#include <memory>
#include <string>
#include <vector>

namespace kumquatpitch::bench {

/// Time and memory that a host needs to parse the host list when it reads it
/// from the platform.
inline void measureReader() {
  std::vector<double> Sizes;
  std::vector<double> Peaks;
  for (const std::size_t Hosts : {48, 480, 1'440, 4'320}) {
    const Fleet BenchFleet(FleetSize{Hosts, 3, 36, 6, 1});
    const std::string Json = BenchFleet.hostsJson();
    std::size_t ParsedHosts = 0;
    const Cost ParseCost = costOf([&] {
      ParsedHosts = handleFailure(
          [&]() -> Result<std::size_t> {
            BOOST_LEAF_AUTO(List, parseHostList(Json));
            return List.Hosts_.size();
          },
          [](const Failure &) { return std::size_t(0); });
    });
    std::printf("reader takes a list of %zu hosts: %zu B, %.2f ms, %.2f MB at "
                "most\n",
                ParsedHosts, Json.size(), ParseCost.Ms_,
                ParseCost.PeakBytes_ / 1e6);
    Sizes.push_back(static_cast<double>(Hosts));
    Peaks.push_back(ParseCost.PeakBytes_);
  }
  printSlope("memory to read a list by hosts", Sizes, Peaks, "B/host");
}

// Request path.

/// Cost of a route lookup by the number of routes in the contract.
inline void measureRoutes() {
  std::vector<double> Sizes;
  std::vector<double> Values;
  for (const std::size_t Routes : {100, 1'000, 10'000, 100'000}) {
    Contract LargeContract;
    constexpr std::size_t RoutesPerService = 27;
    for (std::size_t Index = 0; Index < Routes; ++Index) {
      if (Index % RoutesPerService == 0)
        LargeContract.Services_.emplace_back();
      LargeContract.Services_.back().Routes_.push_back(
          Route{"GET", "/service-0001/route-" + std::to_string(Index), true});
    }
    constexpr std::size_t Lookups = 50;
    std::size_t Matches = 0;
    const Cost LookupCost =
        costPerUnit(costOf([&] {
                      for (std::size_t Lookup = 0; Lookup < Lookups; ++Lookup)
                        Matches += findRoute(LargeContract, "GET",
                                             "/service-0001/route-99/x")
                                           .Route_
                                       ? 1
                                       : 0;
                    }),
                    Lookups);
    std::printf("routes %7zu in one contract: %.2f us a lookup, %.0f "
                "allocations, %zu found; %.3f%% of a core at 67/s\n",
                Routes, 1e3 * LookupCost.Ms_, LookupCost.Allocations_, Matches,
                LookupCost.Ms_ * RequestsPerSecondPerHost / 10);
    Sizes.push_back(static_cast<double>(Routes));
    Values.push_back(1e3 * LookupCost.Ms_);
  }
  printSlope("findRoute by routes", Sizes, Values, "us/route");
}

/// Growth of the live bytes after requests from `Count` workspaces. The path
/// names the workspace, since the core receives no headers except those that
/// the system itself defines.
inline double bytesAfterWorkspaces(std::size_t Count, std::size_t Requests) {
  const Fleet BenchFleet(scaled(48, 1));
  const HostId Self = spreadOfLoads(BenchFleet).MostLoadedHost_;
  const HostRecord &Record = *findHost(BenchFleet.list(), Self);
  CapacityHost Host(BenchFleet, Record);
  Host.start();
  const ServiceName Service =
      Host.core().status(Host.now()).Services_.front().Service_;
  const std::int64_t Before = HeapUsage.Live_;
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
  return static_cast<double>(HeapUsage.Live_ - Before);
}

/// Checks that a host keeps no state for each workspace.
inline void measureWorkspaces(BoundChecks &Checks) {
  const double BytesOfOne = bytesAfterWorkspaces(1, Workspaces);
  for (const std::size_t Count : {std::size_t(1'000), std::size_t(10'000),
                                  std::size_t(100'000), Workspaces}) {
    const double BytesOfMany = bytesAfterWorkspaces(Count, Workspaces);
    std::printf("workspaces %6zu in %zu requests: %+.0f bytes beside one "
                "workspace\n",
                Count, Workspaces, BytesOfMany - BytesOfOne);
    Checks.atMost("state of workspaces, bytes", BytesOfMany - BytesOfOne, 0);
  }
}

/// Memory of the request registry by the number of its ids.
inline void measureRegistry(BoundChecks &Checks) {
  constexpr std::size_t PlannedEntries = 22'110; // 67 requests/s over 330 s
  std::vector<double> Sizes;
  std::vector<double> Values;
  for (const std::size_t Entries : {std::size_t(1'000), std::size_t(5'000),
                                    PlannedEntries, 4 * PlannedEntries}) {
    RequestRegistry Registry(HostId("host-domain-00-0001"), 1, TimePoint(),
                             RegistryLimits{100'000, 32'000'000, 100'000});
    const RequestToken Token =
        Registry.issueToken(ServiceName("service-0001"), TimePoint());
    const Cost TotalCost = costOf([&] {
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
                Entries, TotalCost.GrownBytes_ / 1e6, Registry.entries(),
                static_cast<double>(Registry.bytes()) / 1e6,
                1e3 * TotalCost.Ms_ / static_cast<double>(Entries));
    Sizes.push_back(static_cast<double>(Entries));
    Values.push_back(TotalCost.GrownBytes_);
    if (Entries == PlannedEntries)
      Checks.atMost("registry at 67 requests/s over 330 s, bytes",
                    TotalCost.GrownBytes_, MaxMemoryBytes);
  }
  printSlope("registry by ids", Sizes, Values, "B/id");
}

// Targets, burn rate counters and messages.

inline void measureTargets() {
  std::vector<double> Sizes;
  std::vector<double> Memory;
  std::vector<double> Ms;
  for (const std::size_t Targets : {37, 185, 740, 2'960}) {
    const FleetSize Size{48, 37, Targets, 1'000, 1};
    const Fleet BenchFleet(Size);
    const HostFigures Figures = measureHost(
        BenchFleet, spreadOfLoads(BenchFleet).MostLoadedHost_, false);
    Sizes.push_back(static_cast<double>(Targets) / 37 * Figures.Services_);
    Memory.push_back(Figures.LiveBytes_);
    Ms.push_back(Figures.IdleMsPerSecond_);
    std::printf("targets %.0f on this host: %.3f MB, %.3f ms a second, status "
                "%.0f B\n",
                Sizes.back(), Figures.LiveBytes_ / 1e6,
                Figures.IdleMsPerSecond_, Figures.StatusBytes_);
  }
  printSlope("memory by targets of the host", Sizes, Memory, "B/target");
  printSlope("idle time by targets of the host", Sizes, Ms, "ms/s/target");
}

inline void measureBurnCounters() {
  std::vector<double> Sizes;
  std::vector<double> Values;
  for (const std::size_t Services : {1, 10, 37, 308}) {
    std::vector<std::unique_ptr<BurnRate>> All;
    All.reserve(Services);
    const Cost TotalCost = costOf([&] {
      for (std::size_t Index = 0; Index < Services; ++Index)
        All.push_back(std::make_unique<BurnRate>(
            CustomerName("customer-0001"),
            ServiceName(Fleet::serviceName(Index)),
            Objective{99.5, std::chrono::milliseconds(800), 28}, TimePoint()));
    });
    Sizes.push_back(static_cast<double>(Services));
    Values.push_back(TotalCost.GrownBytes_);
  }
  printSlope("burn counters by services", Sizes, Values, "B/service");
}

inline void measureHeartbeats() {
  std::vector<double> Sizes;
  std::vector<double> Values;
  for (const std::size_t Peers : {2, 6, 16, 48}) {
    HeartbeatMessage Heartbeat;
    Heartbeat.Epoch_ = 2'000;
    Heartbeat.Config_ =
        ConfigState{{3'700, {~0ULL, ~0ULL}}, {90'000, {~0ULL, ~0ULL}}};
    Heartbeat.AlivePeers_.push_back(HostId("host-domain-01-0002"));
    const std::size_t Size =
        encodePeerMessage(PeerMessage{HostId("host-domain-00-0001"), ~0ULL,
                                      HostId("host-domain-01-0002"), 1'000'000,
                                      Heartbeat})
            .size();
    std::printf("heartbeat to %2zu peers: %zu B each, %zu B/s sent\n", Peers,
                Size, Peers * Size);
    Sizes.push_back(static_cast<double>(Peers));
    Values.push_back(static_cast<double>(Peers * Size));
  }
  printSlope("heartbeats by peers", Sizes, Values, "B/s/peer");
}

inline void measureAddressAnswers() {
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
    const Cost FormatCost =
        costOf([&] { Size = formatAddressAnswer(Answer).size(); });
    std::printf("address answer with %2zu hosts: %zu B, %.0f allocations\n",
                Hosts, Size, FormatCost.Allocations_);
    Sizes.push_back(static_cast<double>(Hosts));
    Values.push_back(static_cast<double>(Size));
  }
  printSlope("address answer by hosts", Sizes, Values, "B/host");
}

} // namespace kumquatpitch::bench

#endif
