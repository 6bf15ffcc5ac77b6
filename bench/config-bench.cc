// Measures the distribution of the configuration in virtual time: how long a
// change takes to be in force, what it costs, and that nothing goes back.
//   config-bench [--short] [PART]
// PART is one of distribution, losses, hosts, size, faults, replace, race,
// start, invalid, baselines.
// Ends with status 1 when a bound is broken. Figures of CPU time are printed
// and not bounded.

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
constexpr double BytesPerSecond = 6'000;
constexpr double MemoryBytes = 64e6;
double cpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// (a) Time and cost of changes. Calls at the platform are of the idle time.
void distribution(std::size_t Hosts, unsigned Changes, std::int64_t MostMs,
                  Duration Idle) {
  constexpr Duration Settle = std::chrono::seconds(3);
  constexpr Duration Between = std::chrono::seconds(2);
  Fleet All(shapeOf(Hosts), ExampleSeed);
  Network &Net = All.Net_;
  Net.WithHeartbeats_ = true;
  All.startJoined();
  Net.run(Settle);
  Net.resetTraffic();
  const double CpuBefore = cpuSeconds();
  Net.run(Idle);
  const double Cpu = cpuSeconds() - CpuBefore;
  const Rates Quiet = ratesOf(Net, Idle);
  const double Calls = static_cast<double>(Net.Calls_) / seconds(Idle);
  const std::size_t Watches = Net.waitingWatches();
  Net.resetTraffic();
  std::int64_t Worst = 0;
  const TimePoint Start = Net.now();
  for (unsigned Count = 0; Count < Changes; ++Count) {
    All.change();
    const std::int64_t Took =
        All.waitInForce(All.version(), std::chrono::seconds(30));
    Worst = Took < 0 ? INT64_MAX : std::max(Worst, Took);
    Net.run(Between);
  }
  const Duration Busy = Net.now() - Start;
  const Rates During = ratesOf(Net, Busy);
  const double PerChange =
      (During.Sent_ + During.Received_ - Quiet.Sent_ - Quiet.Received_) *
      seconds(Busy) / Changes;
  const double Ordinary =
      Quiet.Sent_ + Quiet.Received_ + PerChange * ChangesPerDay / SecondsPerDay;
  std::printf("%5zu hosts: in force after %lld ms; idle %.1f messages/s, %.0f "
              "B/s sent, %.0f B/s received; %.0f B a change; ordinary day %.0f "
              "B/s; busiest host idle %.0f B/s\n"
              "             platform idle %.2f calls/s, %zu waiting watches; "
              "changes: peak %llu calls/s; %.3f%% of a core a host\n",
              Hosts, static_cast<long long>(Worst), Quiet.Messages_,
              Quiet.Sent_, Quiet.Received_, PerChange, Ordinary, Quiet.Most_,
              Calls, Watches,
              static_cast<unsigned long long>(Net.PeakCallsPerSecond_),
              100 * Cpu / seconds(Idle) / static_cast<double>(Hosts));
  bound(Worst <= MostMs, "time until a change is in force");
  bound(Ordinary <= BytesPerSecond, "control bytes of a host");
  bound(Net.PeakCallsPerSecond_ <= PlatformReadsPerSecond, "platform reads");
  constexpr std::size_t WatchesPerDomain = 2 * ReadersPerDomain;
  bound(Watches <= WatchesPerDomain * shapeOf(Hosts).Domains_ + 4,
        "waiting watches follow failure domains, not hosts");
  bound(Net.Reverts_ == 0 && Net.Undecoded_ == 0, "reverts or bad messages");
}

/// (a) With a tenth of the listed hosts gone and 2% of messages lost.
void losses() {
  constexpr std::size_t Hosts = 480;
  constexpr unsigned Changes = 10;
  constexpr std::uint64_t LostPercent = 2;
  Fleet All(shapeOf(Hosts), ExampleSeed);
  Network &Net = All.Net_;
  All.startJoined();
  for (std::size_t Index = 3; Index < Hosts; Index += 10)
    Net.stop(Index);
  Net.IsLost_ = [&](std::size_t, std::size_t) {
    return Net.random().below(100) < LostPercent;
  };
  Net.run(std::chrono::seconds(30));
  std::int64_t Worst = 0;
  for (unsigned Count = 0; Count < Changes; ++Count) {
    All.change();
    const std::int64_t Took =
        All.waitInForce(All.version(), std::chrono::seconds(30));
    Worst = Took < 0 ? INT64_MAX : std::max(Worst, Took);
  }
  std::printf("  480 hosts, a tenth gone, 2%% lost: in force after %lld ms\n",
              static_cast<long long>(Worst));
  bound(Worst <= 7'000, "time until a change is in force with losses");
}

/// Cost of a new host list, in which 10 hosts are replaced, for each host.
void hostListChange(std::size_t Hosts) {
  Fleet All(shapeOf(Hosts), ExampleSeed);
  Network &Net = All.Net_;
  All.startJoined();
  constexpr Duration Span = std::chrono::seconds(5);
  Net.run(Span);
  Net.resetTraffic();
  Net.run(Span);
  const Rates Quiet = ratesOf(Net, Span);
  Net.resetTraffic();
  HostList Next = All.List_;
  ++Next.Version_;
  for (std::size_t Index = 0; Index < 10; ++Index)
    Next.Hosts_[Index * Hosts / 10].PeerPort_ = 7'002;
  Net.Platform_.publishHosts(Next);
  Net.wake();
  Net.run(Span);
  const Rates Busy = ratesOf(Net, Span);
  unsigned Have = 0;
  for (const SimHost &Host : Net.Hosts_)
    Have += Host.Sync_->state().Hosts_.Version_ == Next.Version_ ? 1 : 0;
  const double Cost =
      (Busy.Sent_ + Busy.Received_ - Quiet.Sent_ - Quiet.Received_) *
      seconds(Span);
  std::printf("%5zu hosts: a host list with 10 changes costs %.0f B a host; %u "
              "have it after 5 s\n",
              Hosts, Cost, Have);
  bound(Have >= Hosts - 10, "hosts without the new host list");
}

/// (a) A manifest of 3,700 services: a change must cost no more than its delta.
void fullManifest() {
  FleetShape Shape;
  Shape.Unserved_ = 1'230;
  Fleet All(Shape, ExampleSeed);
  All.startJoined();
  All.Net_.run(std::chrono::seconds(3));
  All.Net_.resetTraffic();
  All.change();
  const std::int64_t Took =
      All.waitInForce(All.version(), std::chrono::seconds(30));
  All.Net_.run(std::chrono::seconds(2));
  std::uint64_t Full = 0;
  for (const SimHost &Host : All.Net_.Hosts_)
    Full += Host.Sync_->counters().FullTransfers_;
  const Rates Cost = ratesOf(All.Net_, std::chrono::seconds(1));
  const std::size_t Bytes =
      All.Net_.Platform_.reply("manifest", false, 0).Body_.size();
  std::printf("full manifest (%zu B): in force after %lld ms, %.0f B a host "
              "with its idle time, %llu whole tables sent\n",
              Bytes, static_cast<long long>(Took), Cost.Sent_ + Cost.Received_,
              static_cast<unsigned long long>(Full));
  bound(Took >= 0 && Took <= 2'000, "time until in force");
  bound(Full == 0, "whole tables sent for one change");
  bound(Cost.Received_ < static_cast<double>(Bytes) / 10, "bytes of a change");
}

/// Memory of one daemon's configuration at full size: 4,800 hosts and 3,700
/// services, of which it serves one customer with 370.
void memory() {
  FleetShape Shape = shapeOf(4'800);
  Shape.Services_ = 370;
  Shape.Customers_ = 1;
  Shape.Unserved_ = 1'100;
  Fleet All(Shape, ExampleSeed);
  SeededRandom Random(ExampleSeed);
  const std::size_t Before = mallinfo2().uordblks;
  const std::unique_ptr<ConfigSync> One =
      All.Net_.prototype(All.Net_.Hosts_[0].Options_, Random);
  const double Used = static_cast<double>(mallinfo2().uordblks - Before);
  std::printf("memory of one host at full size: %.1f MB\n", Used / 1e6);
  bound(Used <= MemoryBytes, "memory");
}

/// Baselines: every host polls the platform; a reader pushes to all and all
/// exchange digests with all.
void baselines(std::size_t Hosts) {
  constexpr double PollSeconds = 7;
  Fleet All(shapeOf(Hosts), ExampleSeed);
  const double Manifest = static_cast<double>(
      All.Net_.Platform_.reply("manifest", false, 0).Body_.size());
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
  std::string Only;
  for (int Index = 1; Index < Argc; ++Index) {
    if (std::strcmp(Argv[Index], "--short") == 0)
      Short = true;
    else
      Only = Argv[Index];
  }
  const auto Runs = [&](const char *Name) {
    return Only.empty() || Only == Name;
  };
  std::printf("seed %llu\n", static_cast<unsigned long long>(ExampleSeed));
  if (Runs("distribution")) {
    constexpr Duration WatchPeriod = std::chrono::seconds(30);
    const Duration LargeIdle = Short ? WatchPeriod / 3 : WatchPeriod;
    distribution(48, 5, 2'000, WatchPeriod);
    distribution(480, 5, 7'000, WatchPeriod);
    if (!Short)
      distribution(1'600, 5, 7'000, WatchPeriod);
    distribution(4'800, Short ? 1 : 5, 7'000, LargeIdle);
  }
  if (Runs("losses"))
    losses();
  if (Runs("hosts"))
    hostListChange(Short ? 480 : 4'800);
  if (Runs("size")) {
    fullManifest();
    memory();
  }
  if (Runs("faults"))
    neverReverts(Short ? 5 : 50);
  if (Runs("replace"))
    replaceAll();
  if (Runs("race"))
    race(Short ? 10 : 50);
  if (Runs("start")) {
    regionStart(Short ? 480 : 1'600, true);
    regionStart(Short ? 480 : 1'600, false);
  }
  if (Runs("invalid"))
    invalidDocument();
  if (Runs("baselines")) {
    baselines(48);
    baselines(4'800);
  }
  std::printf("%u bounds broken\n", Broken);
  return Broken == 0 ? 0 : 1;
}
