// Measures one daemon in a fleet, for the capacity benchmark: memory, traffic,
// changes of the host list and of the configuration, requests and reports.

#ifndef KUMQUATPITCH_CAPACITY_FIGURES_H
#define KUMQUATPITCH_CAPACITY_FIGURES_H

#include "capacity-cost.h"
#include "capacity-host.h"

#include <string>
#include <vector>

namespace kumquatpitch::bench {

/// Spread of the services over the hosts of a fleet.
struct LoadSpread {
  HostId MedianHost_;     ///< A host with the median count of services.
  HostId MostLoadedHost_; ///< A host with the highest count of services.
  double MeanServices_ = 0;
  std::size_t MostServices_ = 0;
  std::size_t MostPeers_ = 0;
  std::size_t Idle_ = 0; ///< Hosts without a service.
};

inline LoadSpread spreadOfLoads(const Fleet &BenchFleet) {
  const std::map<HostId, HostLoad> Loads = BenchFleet.loads();
  std::vector<std::pair<std::size_t, HostId>> ByServices;
  LoadSpread Summary;
  for (const std::pair<const HostId, HostLoad> &Entry : Loads) {
    ByServices.emplace_back(Entry.second.Services_, Entry.first);
    Summary.MeanServices_ += static_cast<double>(Entry.second.Services_) /
                             static_cast<double>(Loads.size());
    Summary.MostPeers_ =
        std::max(Summary.MostPeers_, Entry.second.Peers_.size());
    Summary.Idle_ += Entry.second.Services_ == 0 ? 1 : 0;
  }
  std::sort(ByServices.begin(), ByServices.end());
  Summary.MedianHost_ = ByServices[ByServices.size() / 2].second;
  Summary.MostLoadedHost_ = ByServices.back().second;
  Summary.MostServices_ = ByServices.back().first;
  return Summary;
}

/// Measured values of one host. Rates per second are those of an idle host.
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
  double ListChangeBytes_ = 0;   ///< Sent and received for one change.
  double ConfigChangeBytes_ = 0; ///< Likewise, without the changed document.
  Cost OtherChange_; ///< Config change of another customer's service.
  Cost OwnChange_;   ///< Config change of this host's customer's service.
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

/// Index of the first service that belongs to the customer, or, if `Owned` is
/// false, of the first that belongs to another one; 0 if there is none.
inline std::size_t findService(const Fleet &BenchFleet,
                               const CustomerName &Customer, bool Owned) {
  for (std::size_t Index = 0; Index < BenchFleet.size().Services_; ++Index)
    if ((Fleet::customerName(BenchFleet.customerOfService(Index)) ==
         Customer.str()) == Owned)
      return Index;
  return 0;
}

/// Cost per served request at the services that the host is assigned to.
/// The backend servers answer at once.
inline Cost requestCost(CapacityHost &Host, const CustomerName &Customer,
                        std::size_t Count) {
  std::vector<std::string> Paths;
  for (const ServiceStatus &Service : Host.core().status(Host.now()).Services_)
    Paths.push_back("/" + Service.Service_.str() + "/route-0/items");
  if (Paths.empty())
    return {};
  std::size_t Served = 0;
  Cost Sum;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const CallerRequest Request{
        Customer, "GET", Paths[Index % Paths.size()], std::nullopt, "", "", 0};
    const Cost RequestCost = costOf([&] {
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
    Sum.Ms_ += RequestCost.Ms_;
    Sum.Allocations_ += RequestCost.Allocations_;
    Host.tick();
  }
  return costPerUnit(Sum, std::max<double>(1, static_cast<double>(Served)));
}

/// Traffic and cost of a host without requests and changes, over 30 s.
inline void measureIdle(CapacityHost &Host, HostFigures &Figures) {
  constexpr double Seconds = 30;
  Host.clearTraffic();
  const Cost Idle =
      costPerUnit(costOf([&] { Host.run(std::chrono::seconds(30)); }), Seconds);
  Figures.IdleMsPerSecond_ = Idle.Ms_;
  Figures.IdleAllocations_ = Idle.Allocations_;
  Figures.SentPerSecond_ =
      static_cast<double>(CapacityHost::bytesOf(Host.sent())) / Seconds;
  Figures.ReceivedPerSecond_ =
      static_cast<double>(CapacityHost::bytesOf(Host.received())) / Seconds;
}

/// Mean cost and traffic of a host list change; the host runs for 1 s after
/// each.
inline void measureListChanges(CapacityHost &Host, HostFigures &Figures) {
  constexpr std::size_t Changes = 10;
  Cost Sum;
  Host.clearTraffic();
  for (std::size_t Index = 0; Index < Changes; ++Index) {
    const std::string Delta = Host.nextHostsDelta(7 * Index + 3);
    Figures.ListDeltaBytes_ = static_cast<double>(Delta.size());
    const Cost ChangeCost = costOf([&] { Host.receive(Delta); });
    Sum.Ms_ += ChangeCost.Ms_;
    Sum.Allocations_ += ChangeCost.Allocations_;
    Sum.PeakBytes_ = std::max(Sum.PeakBytes_, ChangeCost.PeakBytes_);
    Host.run(std::chrono::seconds(1));
  }
  Figures.ListChange_ = costPerUnit(Sum, Changes);
  Figures.ListChangeBytes_ =
      Figures.ListDeltaBytes_ +
      static_cast<double>(CapacityHost::bytesOf(Host.sent()) +
                          CapacityHost::bytesOf(Host.received())) /
          Changes -
      Figures.SentPerSecond_ - Figures.ReceivedPerSecond_;
}

/// Mean cost and traffic of a new version of one service. The host receives
/// the manifest delta, then the document.
inline Cost measureConfigChange(CapacityHost &Host, Fleet &ChangedFleet,
                                std::size_t Service, HostFigures &Figures) {
  constexpr std::size_t Changes = 10;
  Cost Sum;
  Host.clearTraffic();
  for (std::size_t Index = 0; Index < Changes; ++Index) {
    ChangedFleet.changeService(Service, ChangedFleet.manifest().Version_ + 1);
    const std::string Delta = Host.nextManifestDelta(ChangedFleet);
    const std::string Document = Host.documentMessage(
        ChangedFleet, "service/" + Fleet::serviceName(Service));
    Figures.ManifestDeltaBytes_ = static_cast<double>(Delta.size());
    Figures.DocumentBytes_ = static_cast<double>(Document.size());
    const Cost ChangeCost = costOf([&] {
      Host.receive(Delta);
      Host.receive(Document);
    });
    Sum.Ms_ += ChangeCost.Ms_;
    Sum.Allocations_ += ChangeCost.Allocations_;
    Sum.PeakBytes_ = std::max(Sum.PeakBytes_, ChangeCost.PeakBytes_);
    Host.run(std::chrono::seconds(1));
  }
  Figures.ConfigChangeBytes_ =
      Figures.ManifestDeltaBytes_ +
      static_cast<double>(CapacityHost::bytesOf(Host.sent()) +
                          CapacityHost::bytesOf(Host.received())) /
          Changes -
      Figures.SentPerSecond_ - Figures.ReceivedPerSecond_;
  return costPerUnit(Sum, Changes);
}

inline HostFigures measureHost(const Fleet &BenchFleet, const HostId &Self,
                               bool WithConfigChanges) {
  HostFigures Figures;
  const HostRecord &Record = *findHost(BenchFleet.list(), Self);
  const CustomerName Customer = Record.CustomerPorts_.begin()->first;
  CapacityHost Host(BenchFleet, Record);
  // The tables of the simulated platform and peers already exist here: they do
  // not belong to the daemon, so its memory is counted from this point.
  const std::int64_t Before = HeapUsage.Live_;
  HeapUsage.Peak_ = Before;
  const bool IsReady = Host.start();
  if (!IsReady)
    std::printf("BROKEN host %s does not become ready\n", Self.str().c_str());
  Figures.LiveBytes_ = static_cast<double>(HeapUsage.Live_ - Before);
  Figures.StartPeakBytes_ = static_cast<double>(HeapUsage.Peak_ - Before);
  const HostStatus Status = Host.core().status(Host.now());
  Figures.Services_ = static_cast<double>(Status.Services_.size());
  Figures.Peers_ = static_cast<double>(Status.Peers_.size());
  Figures.ListJsonBytes_ = BenchFleet.hostsJson().size();
  Figures.ManifestJsonBytes_ = formatManifest(BenchFleet.manifest()).size();
  Figures.ContractBytes_ =
      BenchFleet.document("contract/" + Customer.str()).size();
  const std::pair<std::size_t, std::size_t> Tables = Host.tableBytes();
  Figures.ManifestPartBytes_ = Tables.first;
  Figures.ListPartBytes_ = Tables.second;
  measureIdle(Host, Figures);
  Figures.Request_ = requestCost(Host, Customer, 500);
  Figures.StatusBytes_ = static_cast<double>(
      formatHostStatus(Host.core().status(Host.now())).size());
  Figures.MetricsBytes_ =
      static_cast<double>(Host.core().metricsText(Host.now()).size());
  measureListChanges(Host, Figures);
  if (!WithConfigChanges)
    return Figures;
  Fleet ChangedFleet = BenchFleet;
  Figures.OwnChange_ = measureConfigChange(
      Host, ChangedFleet, findService(BenchFleet, Customer, true), Figures);
  if (BenchFleet.size().Customers_ > 1)
    Figures.OtherChange_ = measureConfigChange(
        Host, ChangedFleet, findService(BenchFleet, Customer, false), Figures);
  return Figures;
}

/// Control traffic in both directions on an ordinary day: traffic at rest plus
/// that of the planned rates of host list and config changes.
inline double ordinaryBytesPerSecond(const HostFigures &Figures) {
  constexpr double ConfigChangesPerSecond = ConfigChangesPerDay / SecondsPerDay;
  return Figures.SentPerSecond_ + Figures.ReceivedPerSecond_ +
         ListChangesPerSecond * Figures.ListChangeBytes_ +
         ConfigChangesPerSecond *
             (Figures.ConfigChangeBytes_ + Figures.DocumentBytes_);
}

inline void printHost(const char *Label, const Fleet &BenchFleet,
                      const HostFigures &Figures) {
  std::printf(
      "\nhost   %s: %zu hosts, %zu services, %zu customers; %.0f services "
      "here, %.0f peers\n",
      Label, BenchFleet.size().Hosts_, BenchFleet.size().Services_,
      BenchFleet.size().Customers_, Figures.Services_, Figures.Peers_);
  std::printf("  memory: %.3f MB in use, %.3f MB at most during the start\n",
              Figures.LiveBytes_ / 1e6, Figures.StartPeakBytes_ / 1e6);
  std::printf("  idle: %.0f B/s sent, %.0f B/s received, %.3f ms and %.0f "
              "allocations a second\n",
              Figures.SentPerSecond_, Figures.ReceivedPerSecond_,
              Figures.IdleMsPerSecond_, Figures.IdleAllocations_);
  const auto PrintChange = [](const char *Name, const Cost &ChangeCost,
                              double PerSecond) {
    std::printf("  %s: %.3f ms (%.4f%% of a core at %.3f/s), %.0f "
                "allocations, %.3f MB at most\n",
                Name, ChangeCost.Ms_, ChangeCost.Ms_ * PerSecond / 10,
                PerSecond, ChangeCost.Allocations_,
                ChangeCost.PeakBytes_ / 1e6);
  };
  PrintChange("list change", Figures.ListChange_, ListChangesPerSecond);
  std::printf(
      "  list change: %.0f B sent and received; ordinary day %.0f B/s\n",
      Figures.ListChangeBytes_, ordinaryBytesPerSecond(Figures));
  std::printf("  config change: %.0f B sent and received\n",
              Figures.ConfigChangeBytes_);
  PrintChange("own config change", Figures.OwnChange_,
              ConfigChangesPerDay / SecondsPerDay);
  PrintChange("other config change", Figures.OtherChange_,
              ConfigChangesPerDay / SecondsPerDay);
  std::printf("  request: %.1f us, %.1f allocations\n",
              1e3 * Figures.Request_.Ms_, Figures.Request_.Allocations_);
  std::printf("  documents: list %zu B, manifest %zu B, contract %zu B; as "
              "parts: list %zu B, manifest %zu B\n",
              Figures.ListJsonBytes_, Figures.ManifestJsonBytes_,
              Figures.ContractBytes_, Figures.ListPartBytes_,
              Figures.ManifestPartBytes_);
  std::printf("  deltas: list %.0f B, manifest %.0f B, document %.0f B\n",
              Figures.ListDeltaBytes_, Figures.ManifestDeltaBytes_,
              Figures.DocumentBytes_);
  std::printf("  reports: status %.0f B, metrics %.0f B\n",
              Figures.StatusBytes_, Figures.MetricsBytes_);
}

} // namespace kumquatpitch::bench

#endif
