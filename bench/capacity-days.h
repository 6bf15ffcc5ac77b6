// Figures of bad days, for the capacity benchmark: a stall, a contract at its
// limit, and changes of many hosts or services at once. Also derives the load
// of the platform and of a core from the measured sizes and stated rates.

#ifndef KUMQUATPITCH_CAPACITY_DAYS_H
#define KUMQUATPITCH_CAPACITY_DAYS_H

#include "capacity-figures.h"

#include <string>
#include <vector>

namespace kumquatpitch::bench {

/// Control traffic of a host while all targets of one service stall. Only one
/// service stalls, because a host on which several services stall at once
/// attributes the fault to itself.
inline void measureStall(BoundChecks &Checks) {
  const Fleet BenchFleet(scaled(480, 10));
  const HostRecord &Record =
      *findHost(BenchFleet.list(), spreadOfLoads(BenchFleet).MedianHost_);
  CapacityHost Host(BenchFleet, Record);
  Host.start();
  constexpr std::size_t WarmUp = 1'000;
  requestCost(Host, Record.CustomerPorts_.begin()->first, WarmUp);
  const ServiceStatus Stalled =
      Host.core().status(Host.now()).Services_.front();
  std::printf("stall of one service, %zu targets, 25 requests/s\n",
              Stalled.Targets_.size());
  double MaxBytesPerSecond = 0;
  for (int Second = 1; Second <= 5; ++Second) {
    Host.clearTraffic();
    const Cost SecondCost = costOf([&] {
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
                Host.core().requestsInProgress(), SecondCost.Ms_);
    for (const std::pair<const std::string, Traffic> &Kind : Host.sent())
      std::printf(" %s %llu (%llu B)", Kind.first.c_str(),
                  static_cast<unsigned long long>(Kind.second.Messages_),
                  static_cast<unsigned long long>(Kind.second.Bytes_));
    std::printf("\n");
    MaxBytesPerSecond =
        std::max(MaxBytesPerSecond,
                 static_cast<double>(CapacityHost::bytesOf(Host.sent()) +
                                     CapacityHost::bytesOf(Host.received())));
  }
  Checks.atMost("all targets of a service stall: B/s sent and received",
                MaxBytesPerSecond, MaxTrafficBytesPerSecond);
}

/// Control traffic of a host whose callers send far more requests than the
/// contract admits.
inline void measureOverload(BoundChecks &Checks) {
  const Fleet BenchFleet(scaled(480, 10));
  const HostRecord &Record =
      *findHost(BenchFleet.list(), spreadOfLoads(BenchFleet).MedianHost_);
  CapacityHost Host(BenchFleet, Record);
  Host.start();
  const std::vector<ServiceStatus> Services =
      Host.core().status(Host.now()).Services_;
  Host.clearTraffic();
  constexpr int Seconds = 10;
  for (int Tick = 0; Tick < Seconds * 50; ++Tick) {
    for (const ServiceStatus &Service : Services)
      for (int Count = 0; Count < 10; ++Count) {
        const FlowStep Step = Host.core().admit(
            CallerRequest{Record.CustomerPorts_.begin()->first, "GET",
                          "/" + Service.Service_.str() + "/route-0",
                          std::nullopt, "", "", 0},
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
  for (const std::pair<const std::string, Traffic> &Kind : Host.sent())
    std::printf(" %s %.1f/s (%.0f B/s)", Kind.first.c_str(),
                static_cast<double>(Kind.second.Messages_) / Seconds,
                static_cast<double>(Kind.second.Bytes_) / Seconds);
  std::printf("\n");
  Checks.atMost("contract limit reached: B/s sent and received",
                static_cast<double>(CapacityHost::bytesOf(Host.sent()) +
                                    CapacityHost::bytesOf(Host.received())) /
                    Seconds,
                MaxTrafficBytesPerSecond);
}

/// Cost of one list change that covers a single host, a rack, a failure domain
/// or a region, and of one manifest that changes all services at once, together
/// with the documents of the host's own customer.
inline void measureMassChanges(BoundChecks &Checks) {
  const Fleet BenchFleet(scaled(Planned.Hosts_, Planned.Customers_));
  const HostRecord &Record =
      *findHost(BenchFleet.list(), spreadOfLoads(BenchFleet).MedianHost_);
  CapacityHost Host(BenchFleet, Record);
  Host.start();
  for (const std::size_t Hosts : {1, 40, 600, 1'600}) {
    const std::string Delta = Host.nextHostsDelta(0, Hosts);
    const Cost ChangeCost = costOf([&] { Host.receive(Delta); });
    std::printf("list change of %4zu hosts: %zu B, %.2f ms, %.0f allocations, "
                "%.2f MB at most\n",
                Hosts, Delta.size(), ChangeCost.Ms_, ChangeCost.Allocations_,
                ChangeCost.PeakBytes_ / 1e6);
    Checks.atMost("delta of a list change, bytes",
                  static_cast<double>(Delta.size()), MaxPartMessageBytes);
    Host.receive(Host.nextHostsDelta(0, 0));
    Host.run(std::chrono::seconds(1));
  }
  Fleet ChangedFleet = BenchFleet;
  std::vector<std::string> Messages;
  for (std::size_t Index = 0; Index < BenchFleet.size().Services_; ++Index)
    ChangedFleet.changeService(Index, 2);
  Messages.push_back(Host.nextManifestDelta(ChangedFleet));
  const std::string Customer = Record.CustomerPorts_.begin()->first.str();
  for (std::size_t Index = 0; Index < BenchFleet.size().Services_; ++Index)
    if (Fleet::customerName(BenchFleet.customerOfService(Index)) == Customer)
      Messages.push_back(Host.documentMessage(
          ChangedFleet, "service/" + Fleet::serviceName(Index)));
  std::size_t Bytes = 0;
  for (const std::string &Message : Messages)
    Bytes += Message.size();
  const Cost Burst = costOf([&] {
    for (const std::string &Message : Messages)
      Host.receive(Message);
  });
  std::printf("burst of %zu changes in one manifest: delta %zu B, %zu B with "
              "the %zu own documents, %.2f ms, %.2f MB at most\n",
              BenchFleet.size().Services_, Messages.front().size(), Bytes,
              Messages.size() - 1, Burst.Ms_, Burst.PeakBytes_ / 1e6);
  Checks.atMost("delta of a burst, bytes",
                static_cast<double>(Messages.front().size()),
                MaxPartMessageBytes);
}

/// Prints figures that follow from the measured sizes and the stated rates:
/// platform calls, transfer of tables at restarts, and processor time.
inline void deriveDailyFigures(const HostFigures &Median, BoundChecks &Checks) {
  constexpr double Domains = 8;
  constexpr double ReadersOfDomain = 2;
  constexpr double WatchExpirySeconds = 30;
  constexpr double ListReadBytesPerSecond = 3'000;
  const double Readers = Domains * ReadersOfDomain;
  const double ExpiriesPerSecond = Readers * 2 / WatchExpirySeconds;
  const double ReadsPerSecond =
      Readers * ConfigChangesPerDay / SecondsPerDay * 2;
  std::printf("\nplatform: %.0f waiting watches of %.0f readers, %.2f "
              "expiries/s, %.2f reads/s for changes\n",
              2 * Readers, Readers, ExpiriesPerSecond, ReadsPerSecond);
  Checks.atMost("platform calls/s and waiting watches",
                2 * Readers + ExpiriesPerSecond + ReadsPerSecond,
                PlatformReadsPerSecond);
  std::printf("reader: a list of %zu B is read again after %.0f s\n",
              Median.ListJsonBytes_,
              static_cast<double>(Median.ListJsonBytes_) /
                  ListReadBytesPerSecond);
  const double TableBytes = static_cast<double>(Median.ListPartBytes_) +
                            static_cast<double>(Median.ManifestPartBytes_);
  std::printf("restarts: %.0f B of tables for each, %.0f B/s of a host on "
              "average at %.0f a day\n",
              TableBytes,
              TableBytes * RestartsPerDay / SecondsPerDay /
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
