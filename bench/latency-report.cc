// Measures the latency that a host adds to a request, compared with a direct
// call to the backend server, in one run with real processes on loopback. It
// prints figures and checks no bound because wall-clock time depends on the
// machine. CI does not run it.
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

/// Processor time of a process in seconds, user and system, from /proc.
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

/// Sends one caller's requests at a constant rate and returns the latencies in
/// milliseconds.
std::vector<double> callAtPace(int Port, double RequestsPerSecond,
                               int Seconds) {
  httplib::Client Client("127.0.0.1", Port);
  Client.set_keep_alive(true);
  Client.set_tcp_nodelay(true);
  const std::chrono::duration<double> Interval(1.0 / RequestsPerSecond);
  const Clock::time_point Start = Clock::now();
  std::vector<double> Latencies;
  for (int Index = 0; Index < RequestsPerSecond * Seconds; ++Index) {
    std::this_thread::sleep_until(
        Start + std::chrono::duration_cast<Clock::duration>(Interval * Index));
    const Clock::time_point SentAt = Clock::now();
    const httplib::Result Response =
        Client.Get("/proofs/1", {{"X-Caller", std::string(1'000, 'c')}});
    if (!Response || Response->status != 200) {
      std::cerr << "a request failed\n";
      continue;
    }
    Latencies.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - SentAt)
            .count());
  }
  return Latencies;
}

/// Runs all callers and returns their latencies in milliseconds, sorted.
std::vector<double> callAll(int Port, double RequestsPerSecond, int Seconds) {
  std::vector<std::vector<double>> Parts(CallerCount);
  std::vector<std::thread> Threads;
  Threads.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Threads.emplace_back([&, Caller] {
      Parts[Caller] =
          callAtPace(Port, RequestsPerSecond / CallerCount, Seconds);
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  std::vector<double> Latencies;
  for (const std::vector<double> &Part : Parts)
    Latencies.insert(Latencies.end(), Part.begin(), Part.end());
  std::sort(Latencies.begin(), Latencies.end());
  return Latencies;
}

double quantile(const std::vector<double> &Sorted, double Fraction) {
  if (Sorted.empty())
    return 0;
  return Sorted[static_cast<std::size_t>(
      Fraction * static_cast<double>(Sorted.size() - 1))];
}

void compare(TestFleet &Fleet, double RequestsPerSecond, int Seconds) {
  const std::vector<double> Direct =
      callAll(Fleet.backendPort(0), RequestsPerSecond, Seconds);
  const double SecondsBefore = processorSeconds(Fleet.host(0).id());
  const std::vector<double> Proxied =
      callAll(Fleet.customerPort(0), RequestsPerSecond, Seconds);
  const double UsedSeconds =
      processorSeconds(Fleet.host(0).id()) - SecondsBefore;
  std::printf("%6.0f requests/s  direct p50 %.3f p99 %.3f ms  through a host "
              "p50 %.3f p99 %.3f ms  added p50 %.3f p99 %.3f ms  host %.3f ms "
              "of processor time a request\n",
              RequestsPerSecond, quantile(Direct, 0.5), quantile(Direct, 0.99),
              quantile(Proxied, 0.5), quantile(Proxied, 0.99),
              quantile(Proxied, 0.5) - quantile(Direct, 0.5),
              quantile(Proxied, 0.99) - quantile(Direct, 0.99),
              1'000 * UsedSeconds / static_cast<double>(Proxied.size()));
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
