// Figures of one daemon in a fleet: memory, traffic, changes, requests and
// reports. Used by the capacity benchmark.

#ifndef KUMQUATPITCH_CAPACITY_FIGURES_H
#define KUMQUATPITCH_CAPACITY_FIGURES_H

#include "capacity-cost.h"
#include "capacity-host.h"

#include <string>
#include <vector>

namespace kumquatpitch::bench {

// Spread of services over hosts.

struct LoadSpread {
  HostId Typical_; ///< A host with the median count of services.
  HostId Most_;
  double MeanServices_ = 0;
  std::size_t MostServices_ = 0;
  std::size_t MostPeers_ = 0;
  std::size_t Idle_ = 0;
};

inline LoadSpread spreadOfLoads(const Fleet &Around) {
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
  double ListChangeBytes_ = 0;   ///< Sent and received for one change.
  double ConfigChangeBytes_ = 0; ///< Likewise, without the document.
  Cost OtherChange_;             ///< A service of another customer.
  Cost OwnChange_;               ///< A service of this host's customer.
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

inline std::size_t serviceOfCustomer(const Fleet &Around,
                                     const CustomerName &Customer, bool Own) {
  for (std::size_t Index = 0; Index < Around.size().Services_; ++Index)
    if ((Fleet::customerName(Around.customerOfService(Index)) ==
         Customer.str()) == Own)
      return Index;
  return 0;
}

/// Requests at the services that the host is assigned to, answered at once.
inline Cost requestCost(CapacityHost &Host, const CustomerName &Customer,
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

inline void measureIdle(CapacityHost &Host, HostFigures &Found) {
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

inline void measureListChanges(CapacityHost &Host, HostFigures &Found) {
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

inline Cost measureConfigChange(CapacityHost &Host, Fleet &Changing,
                                std::size_t Service, HostFigures &Found) {
  constexpr std::size_t Changes = 10;
  Cost Sum;
  Host.clearTraffic();
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
  Found.ConfigChangeBytes_ =
      Found.ManifestDeltaBytes_ +
      static_cast<double>(CapacityHost::bytesOf(Host.sent()) +
                          CapacityHost::bytesOf(Host.received())) /
          Changes -
      Found.SentPerSecond_ - Found.ReceivedPerSecond_;
  return shared(Sum, Changes);
}

inline HostFigures measureHost(const Fleet &Around, const HostId &Self,
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

/// Control traffic in both directions on an ordinary day.
inline double ordinaryBytesPerSecond(const HostFigures &Of) {
  constexpr double ConfigChangesPerSecond = ConfigChangesPerDay / SecondsPerDay;
  return Of.SentPerSecond_ + Of.ReceivedPerSecond_ +
         ListChangesPerSecond * Of.ListChangeBytes_ +
         ConfigChangesPerSecond * (Of.ConfigChangeBytes_ + Of.DocumentBytes_);
}

inline void printHost(const char *Label, const Fleet &Around,
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
  std::printf("  config change: %.0f B sent and received\n",
              Found.ConfigChangeBytes_);
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

} // namespace kumquatpitch::bench

#endif
