// Measures configuration distribution in virtual time: how long a change takes
// to be in force on all hosts, what it costs in traffic and platform calls, and
// that no host reverts to an older version.
//   config-bench [--short] [PART]
// PART is one of distribution, losses, hosts, size, faults, replace, race,
// start, invalid, baselines.
// Exits with status 1 when a bound is broken. CPU time is printed and has no
// bound.

#include "config-faults.h"
#include "config-report.h"

#include <cstring>
#include <ctime>
#include <malloc.h>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

namespace {

constexpr double ChangesPerDay = 3'700;
constexpr double SecondsPerDay = 86'400;
constexpr double MaxBytesPerSecond = 6'000;
constexpr double MaxMemoryBytes = 64e6;

double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// (a) Time and cost of changes. The average rate of platform calls is taken
/// from the idle phase, the peak from the phase with changes.
void measureDistribution(std::size_t Hosts, unsigned Changes,
                         std::int64_t MaxMs, Duration IdleSpan) {
  constexpr Duration Settle = std::chrono::seconds(3);
  constexpr Duration ChangeInterval = std::chrono::seconds(2);
  Fleet TestFleet(fleetShape(Hosts), ExampleSeed);
  Network &Net = TestFleet.Net_;
  Net.SendsHeartbeats_ = true;
  TestFleet.startJoined();
  Net.run(Settle);
  Net.resetTraffic();
  const double CpuBefore = cpuSeconds();
  Net.run(IdleSpan);
  const double Cpu = cpuSeconds() - CpuBefore;
  const Rates IdleRates = ratesPerHost(Net, IdleSpan);
  const double Calls = static_cast<double>(Net.Calls_) / seconds(IdleSpan);
  const std::size_t Watches = Net.pendingWatches();
  Net.resetTraffic();
  std::int64_t WorstMs = 0;
  const TimePoint Start = Net.now();
  for (unsigned Count = 0; Count < Changes; ++Count) {
    TestFleet.publishChange();
    const std::int64_t ElapsedMs = TestFleet.waitUntilInForce(
        TestFleet.version(), std::chrono::seconds(30));
    WorstMs = ElapsedMs < 0 ? INT64_MAX : std::max(WorstMs, ElapsedMs);
    Net.run(ChangeInterval);
  }
  const Duration ChangeSpan = Net.now() - Start;
  const Rates ChangeRates = ratesPerHost(Net, ChangeSpan);
  const double PerChange = (ChangeRates.Sent_ + ChangeRates.Received_ -
                            IdleRates.Sent_ - IdleRates.Received_) *
                           seconds(ChangeSpan) / Changes;
  const double OrdinaryDayRate = IdleRates.Sent_ + IdleRates.Received_ +
                                 PerChange * ChangesPerDay / SecondsPerDay;
  std::printf("%5zu hosts: in force after %lld ms; idle %.1f messages/s, %.0f "
              "B/s sent, %.0f B/s received; %.0f B a change; ordinary day %.0f "
              "B/s; busiest host idle %.0f B/s\n"
              "             platform idle %.2f calls/s, %zu waiting watches; "
              "changes: peak %llu calls/s; %.3f%% of a core a host\n",
              Hosts, static_cast<long long>(WorstMs), IdleRates.Messages_,
              IdleRates.Sent_, IdleRates.Received_, PerChange, OrdinaryDayRate,
              IdleRates.BusiestHost_, Calls, Watches,
              static_cast<unsigned long long>(Net.PeakCallsPerSecond_),
              100 * Cpu / seconds(IdleSpan) / static_cast<double>(Hosts));
  checkBound(WorstMs <= MaxMs, "time until a change is in force");
  checkBound(OrdinaryDayRate <= MaxBytesPerSecond, "control bytes of a host");
  checkBound(Net.PeakCallsPerSecond_ <= PlatformReadsPerSecond,
             "platform reads");
  constexpr std::size_t WatchesPerDomain = 2 * ReadersPerDomain;
  checkBound(Watches <= WatchesPerDomain * fleetShape(Hosts).Domains_ + 4,
             "waiting watches follow failure domains, not hosts");
  checkBound(Net.Reverts_ == 0 && Net.UndecodedMessages_ == 0,
             "reverts or bad messages");
}

/// (a) Time of changes with a tenth of the listed hosts stopped and 2% of the
/// messages lost.
void measureLosses() {
  constexpr std::size_t Hosts = 480;
  constexpr unsigned Changes = 10;
  constexpr std::uint64_t LossPercent = 2;
  Fleet TestFleet(fleetShape(Hosts), ExampleSeed);
  Network &Net = TestFleet.Net_;
  TestFleet.startJoined();
  for (std::size_t Index = 3; Index < Hosts; Index += 10)
    Net.stop(Index);
  Net.IsLost_ = [&](std::size_t, std::size_t) {
    return Net.random().below(100) < LossPercent;
  };
  Net.run(std::chrono::seconds(30));
  std::int64_t WorstMs = 0;
  for (unsigned Count = 0; Count < Changes; ++Count) {
    TestFleet.publishChange();
    const std::int64_t ElapsedMs = TestFleet.waitUntilInForce(
        TestFleet.version(), std::chrono::seconds(30));
    WorstMs = ElapsedMs < 0 ? INT64_MAX : std::max(WorstMs, ElapsedMs);
  }
  std::printf("  480 hosts, a tenth gone, 2%% lost: in force after %lld ms\n",
              static_cast<long long>(WorstMs));
  checkBound(WorstMs <= 7'000, "time until a change is in force with losses");
}

/// Bytes per host of a new host list in which the records of 10 hosts changed.
void measureHostListChange(std::size_t Hosts) {
  Fleet TestFleet(fleetShape(Hosts), ExampleSeed);
  Network &Net = TestFleet.Net_;
  TestFleet.startJoined();
  constexpr Duration Span = std::chrono::seconds(5);
  Net.run(Span);
  Net.resetTraffic();
  Net.run(Span);
  const Rates IdleRates = ratesPerHost(Net, Span);
  Net.resetTraffic();
  HostList Next = TestFleet.List_;
  ++Next.Version_;
  for (std::size_t Index = 0; Index < 10; ++Index)
    Next.Hosts_[Index * Hosts / 10].PeerPort_ = 7'002;
  Net.Platform_.publishHosts(Next);
  Net.wake();
  Net.run(Span);
  const Rates ChangeRates = ratesPerHost(Net, Span);
  unsigned UpdatedHosts = 0;
  for (const SimHost &Host : Net.Hosts_)
    UpdatedHosts +=
        Host.Sync_->state().Hosts_.Version_ == Next.Version_ ? 1 : 0;
  const double Cost = (ChangeRates.Sent_ + ChangeRates.Received_ -
                       IdleRates.Sent_ - IdleRates.Received_) *
                      seconds(Span);
  std::printf("%5zu hosts: a host list with 10 changes costs %.0f B a host; %u "
              "have it after 5 s\n",
              Hosts, Cost, UpdatedHosts);
  checkBound(UpdatedHosts >= Hosts - 10, "hosts without the new host list");
}

/// (a) With a manifest of 3,700 services, a change may cost no more than its
/// delta.
void measureFullManifest() {
  FleetShape Shape;
  Shape.UnservedCustomers_ = 1'230;
  Fleet TestFleet(Shape, ExampleSeed);
  TestFleet.startJoined();
  TestFleet.Net_.run(std::chrono::seconds(3));
  TestFleet.Net_.resetTraffic();
  TestFleet.publishChange();
  const std::int64_t ElapsedMs =
      TestFleet.waitUntilInForce(TestFleet.version(), std::chrono::seconds(30));
  TestFleet.Net_.run(std::chrono::seconds(2));
  std::uint64_t FullTransfers = 0;
  for (const SimHost &Host : TestFleet.Net_.Hosts_)
    FullTransfers += Host.Sync_->counters().FullTransfers_;
  const Rates Cost = ratesPerHost(TestFleet.Net_, std::chrono::seconds(1));
  const std::size_t Bytes =
      TestFleet.Net_.Platform_.reply("manifest", false, 0).Body_.size();
  std::printf("full manifest (%zu B): in force after %lld ms, %.0f B a host "
              "with its idle time, %llu whole tables sent\n",
              Bytes, static_cast<long long>(ElapsedMs),
              Cost.Sent_ + Cost.Received_,
              static_cast<unsigned long long>(FullTransfers));
  checkBound(ElapsedMs >= 0 && ElapsedMs <= 2'000, "time until in force");
  checkBound(FullTransfers == 0, "whole tables sent for one change");
  checkBound(Cost.Received_ < static_cast<double>(Bytes) / 10,
             "bytes of a change");
}

/// Memory of one daemon's configuration at full size: 4,800 hosts and 3,700
/// services, of which the daemon serves the 370 of one customer.
void measureMemory() {
  FleetShape Shape = fleetShape(4'800);
  Shape.Services_ = 370;
  Shape.Customers_ = 1;
  Shape.UnservedCustomers_ = 1'100;
  Fleet TestFleet(Shape, ExampleSeed);
  SeededRandom Random(ExampleSeed);
  const std::size_t Before = mallinfo2().uordblks;
  const std::unique_ptr<ConfigSync> Sync =
      TestFleet.Net_.makePrototype(TestFleet.Net_.Hosts_[0].Options_, Random);
  const double Used = static_cast<double>(mallinfo2().uordblks - Before);
  std::printf("memory of one host at full size: %.1f MB\n", Used / 1e6);
  checkBound(Used <= MaxMemoryBytes, "memory");
}

/// Computes the cost of the baselines: every host polls the platform, every
/// host watches it, or all hosts exchange digests with all others.
void printBaselines(std::size_t Hosts) {
  constexpr double PollSeconds = 7;
  Fleet TestFleet(fleetShape(Hosts), ExampleSeed);
  const double Manifest = static_cast<double>(
      TestFleet.Net_.Platform_.reply("manifest", false, 0).Body_.size());
  DigestMessage Digest;
  Digest.Config_.Manifest_ = {1, {UINT64_MAX, UINT64_MAX}};
  Digest.Config_.Hosts_ = Digest.Config_.Manifest_;
  const double DigestBytes =
      static_cast<double>(encodePeerMessage({HostId("host-10000"), UINT64_MAX,
                                             HostId("host-10001"), 1, Digest})
                              .size());
  const double Count = static_cast<double>(Hosts);
  std::printf("%5zu hosts, baselines: polling each 7 s takes %.0f platform "
              "calls/s and %.0f B/s a host; watches of all peak at %.0f calls "
              "a change; all-to-all digests take %.0f B/s a host\n",
              Hosts, Count / PollSeconds, Manifest / PollSeconds, Count,
              2 * Count * DigestBytes);
}

} // namespace

int main(int Argc, char **Argv) {
  bool Short = false;
  std::string SelectedPart;
  for (int Index = 1; Index < Argc; ++Index) {
    if (std::strcmp(Argv[Index], "--short") == 0)
      Short = true;
    else
      SelectedPart = Argv[Index];
  }
  const auto IsSelected = [&](const char *Name) {
    return SelectedPart.empty() || SelectedPart == Name;
  };
  std::printf("seed %llu\n", static_cast<unsigned long long>(ExampleSeed));
  if (IsSelected("distribution")) {
    constexpr Duration WatchPeriod = std::chrono::seconds(30);
    const Duration LargeIdle = Short ? WatchPeriod / 3 : WatchPeriod;
    measureDistribution(48, 5, 2'000, WatchPeriod);
    measureDistribution(480, 5, 7'000, WatchPeriod);
    if (!Short)
      measureDistribution(1'600, 5, 7'000, WatchPeriod);
    measureDistribution(4'800, Short ? 1 : 5, 7'000, LargeIdle);
  }
  if (IsSelected("losses"))
    measureLosses();
  if (IsSelected("hosts"))
    measureHostListChange(Short ? 480 : 4'800);
  if (IsSelected("size")) {
    measureFullManifest();
    measureMemory();
  }
  if (IsSelected("faults"))
    injectRandomFaults(Short ? 5 : 50);
  if (IsSelected("replace"))
    replaceAllHosts();
  if (IsSelected("race"))
    raceTwoRevisions(Short ? 10 : 50);
  if (IsSelected("start")) {
    startRegion(Short ? 480 : 1'600, true);
    startRegion(Short ? 480 : 1'600, false);
  }
  if (IsSelected("invalid"))
    publishInvalidDocument();
  if (IsSelected("baselines")) {
    printBaselines(48);
    printBaselines(4'800);
  }
  std::printf("%u bounds broken\n", BrokenBounds);
  return BrokenBounds == 0 ? 0 : 1;
}
