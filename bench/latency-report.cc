// Added latency of a request against a direct call, in one run on loopback with
// real processes. Prints figures and has no bound: wall-clock time depends on
// the machine. CI does not run it.
//   latency-report BINARY_DIR [REQUESTS_PER_SECOND] [SECONDS]

#include "test-fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

using namespace kumquatpitch::test;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int CallerCount = 8;

/// Processor time of a process in seconds, from its accounting.
double processorSeconds(pid_t Pid) {
  std::ifstream Stat("/proc/" + std::to_string(Pid) + "/stat");
  std::string Field;
  double Ticks = 0;
  constexpr int UserField = 14;
  constexpr int SystemField = 15;
  for (int Index = 1; Index <= SystemField && Stat >> Field; ++Index)
    if (Index >= UserField)
      Ticks += std::strtod(Field.c_str(), nullptr);
  return Ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Latencies in milliseconds of one caller's calls at a steady pace.
std::vector<double> callAtPace(int Port, double PerSecond, int Seconds) {
  httplib::Client Client("127.0.0.1", Port);
  Client.set_keep_alive(true);
  Client.set_tcp_nodelay(true);
  const std::chrono::duration<double> Gap(1.0 / PerSecond);
  const Clock::time_point Start = Clock::now();
  std::vector<double> Latencies;
  for (int Count = 0; Count < PerSecond * Seconds; ++Count) {
    std::this_thread::sleep_until(
        Start + std::chrono::duration_cast<Clock::duration>(Gap * Count));
    const Clock::time_point Sent = Clock::now();
    const httplib::Result Got =
        Client.Get("/proofs/1", {{"X-Caller", std::string(1'000, 'c')}});
    if (!Got || Got->status != 200) {
      std::cerr << "a call failed\n";
      continue;
    }
    Latencies.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - Sent).count());
  }
  return Latencies;
}

std::vector<double> callAll(int Port, double PerSecond, int Seconds) {
  std::vector<std::vector<double>> Parts(CallerCount);
  std::vector<std::thread> Threads;
  Threads.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Threads.emplace_back([&, Caller] {
      Parts[Caller] = callAtPace(Port, PerSecond / CallerCount, Seconds);
    });
  for (std::thread &Each : Threads)
    Each.join();
  std::vector<double> All;
  for (const std::vector<double> &Part : Parts)
    All.insert(All.end(), Part.begin(), Part.end());
  std::sort(All.begin(), All.end());
  return All;
}

double quantile(const std::vector<double> &Sorted, double Share) {
  if (Sorted.empty())
    return 0;
  return Sorted[static_cast<std::size_t>(
      Share * static_cast<double>(Sorted.size() - 1))];
}

void compare(TestFleet &Fleet, double PerSecond, int Seconds) {
  const std::vector<double> Direct =
      callAll(Fleet.backendPort(0), PerSecond, Seconds);
  const double Before = processorSeconds(Fleet.host(0).id());
  const std::vector<double> Through =
      callAll(Fleet.customerPort(0), PerSecond, Seconds);
  const double Used = processorSeconds(Fleet.host(0).id()) - Before;
  std::printf("%6.0f requests/s  direct p50 %.3f p99 %.3f ms  through a host "
              "p50 %.3f p99 %.3f ms  added p50 %.3f p99 %.3f ms  host %.3f ms "
              "of processor time a request\n",
              PerSecond, quantile(Direct, 0.5), quantile(Direct, 0.99),
              quantile(Through, 0.5), quantile(Through, 0.99),
              quantile(Through, 0.5) - quantile(Direct, 0.5),
              quantile(Through, 0.99) - quantile(Direct, 0.99),
              1'000 * Used / static_cast<double>(Through.size()));
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 2) {
    std::cerr << "usage: latency-report BINARY_DIR [REQUESTS_PER_SECOND] "
                 "[SECONDS]\n";
    return 1;
  }
  constexpr int DefaultRate = 67;
  constexpr int DefaultSeconds = 20;
  FleetPlan Plan;
  Plan.BinaryDir_ = Argv[1];
  TestFleet Fleet(Plan);
  if (!Fleet.waitReady())
    return 1;
  compare(Fleet, Argc > 2 ? std::atoi(Argv[2]) : DefaultRate,
          Argc > 3 ? std::atoi(Argv[3]) : DefaultSeconds);
  return 0;
}
