// Bad days: a stall, a contract at its limit and changes of many hosts or
// services at once. Used by the capacity benchmark.

#ifndef KUMQUATPITCH_CAPACITY_DAYS_H
#define KUMQUATPITCH_CAPACITY_DAYS_H

#include "capacity-figures.h"

#include <string>
#include <vector>

namespace kumquatpitch::bench {

// Bad days.

/// Control traffic of a host while all targets of one service stall. With
/// several services at once the host would take it as its own fault.
inline void measureStall(BoundChecks &Checks) {
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
inline void measureOverload(BoundChecks &Checks) {
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
inline void measureMassChanges(BoundChecks &Checks) {
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
inline void deriveDays(const HostFigures &Median, BoundChecks &Checks) {
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

} // namespace kumquatpitch::bench

#endif
