// Demo: a small fleet on loopback serves callers while one backend server
// stalls but still passes health checks. Prints the callers' results, which
// backend servers were ejected, and the burn-rate report. Fails if a caller
// received a wrong response or a request ran twice.
//   fleet-demo BINARY_DIR

#include "test-fleet.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

using namespace kumquatpitch::test;

namespace {

constexpr int CallerCount = 6;
constexpr std::chrono::seconds NormalDuration{4};
constexpr std::chrono::seconds StallDuration{6};
constexpr std::chrono::milliseconds PauseBetweenRequests{10};

/// Counts the callers' results in one phase of the demo.
class Tally {
public:
  void count(const CallerResponse &Response, bool IsCorrect,
             double Milliseconds) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (Response.Status_ == 200)
      Latencies_.push_back(Milliseconds);
    else
      ++Refused_[Response.Code_ + " " + Response.Outcome_];
    if (Response.Status_ == 200 && !IsCorrect)
      ++Wrong_;
  }

  int wrong() const { return Wrong_; }

  void print(const char *Phase) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    std::sort(Latencies_.begin(), Latencies_.end());
    const auto Quantile = [this](double Share) {
      if (Latencies_.empty())
        return 0.0;
      return Latencies_[static_cast<std::size_t>(
          Share * static_cast<double>(Latencies_.size() - 1))];
    };
    std::printf("%-34s %5zu answers, p50 %.1f ms, p99 %.1f ms, %d wrong\n",
                Phase, Latencies_.size(), Quantile(0.5), Quantile(0.99),
                Wrong_);
    for (const std::pair<const std::string, int> &Refusal : Refused_)
      std::printf("%-34s %5d with code and outcome %s\n", "", Refusal.second,
                  Refusal.first.c_str());
  }

private:
  std::mutex Mutex_;
  std::vector<double> Latencies_;
  std::map<std::string, int> Refused_;
  int Wrong_ = 0;
};

/// Runs one caller: requests addresses, then sends reads and orders; every
/// fourth request is an order. Counts a response as correct if it carries the
/// request's own name.
void runCaller(TestFleet &Fleet, int Caller, std::chrono::seconds Duration,
               Tally &Results) {
  using Clock = std::chrono::steady_clock;
  static std::atomic<int> Orders{0};
  const Clock::time_point End = Clock::now() + Duration;
  const std::vector<AddressedHost> Hosts =
      Fleet.requestAddresses(Caller % Fleet.hosts())
          .value_or(std::vector<AddressedHost>());
  for (int RequestIndex = 0; Clock::now() < End && !Hosts.empty();
       ++RequestIndex) {
    const bool IsOrder = RequestIndex % 4 == 0;
    const std::string Name =
        "caller-" + std::to_string(Caller) + "-" + std::to_string(RequestIndex);
    httplib::Headers Headers = {{"X-Caller", Name}};
    if (IsOrder) {
      Headers.emplace("Kumquatpitch-Token", Hosts.front().Token_);
      Headers.emplace("Kumquatpitch-Request-Id",
                      "order-" + std::to_string(++Orders));
    }
    const Clock::time_point Start = Clock::now();
    const CallerResponse Response =
        TestFleet::call(Hosts.front().Port_, IsOrder ? "POST" : "GET",
                        IsOrder ? "/orders" : "/proofs/" + Name, Headers,
                        IsOrder ? "engrave" : "");
    Results.count(
        Response, Response.Body_.find(" " + Name + " ") != std::string::npos,
        std::chrono::duration<double, std::milli>(Clock::now() - Start)
            .count());
    std::this_thread::sleep_for(PauseBetweenRequests);
  }
}

int runCallers(TestFleet &Fleet, const char *Phase,
               std::chrono::seconds Duration) {
  Tally Results;
  std::vector<std::thread> Threads;
  Threads.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Threads.emplace_back(
        [&, Caller] { runCaller(Fleet, Caller, Duration, Results); });
  for (std::thread &Thread : Threads)
    Thread.join();
  Results.print(Phase);
  return Results.wrong();
}

/// Prints the first four log lines of each host's detector.
void printDecisions(const TestFleet &Fleet) {
  std::fflush(stdout);
  for (int Index = 0; Index < Fleet.hosts(); ++Index) {
    const std::string Log =
        (Fleet.directory() / ("host-" + std::to_string(Index) + ".log"))
            .string();
    const std::string Command = "grep -E 'detector: ' '" + Log +
                                "' | head -4 | sed 's/^/  host-" +
                                std::to_string(Index) + " /'";
    if (std::system(Command.c_str()) != 0)
      std::cout << "  host-" << Index << " logged no decision\n";
  }
}

void printReport(const TestFleet &Fleet, const std::string &Command) {
  std::string CommandLine = Command;
  for (int Index = 0; Index < Fleet.hosts(); ++Index)
    CommandLine +=
        " --host 127.0.0.1:" + std::to_string(Fleet.operatorPort(Index));
  std::fflush(stdout);
  if (std::system(CommandLine.c_str()) != 0)
    std::cout << "report failed: " << CommandLine << "\n";
}

int countOrdersRunTwice(TestFleet &Fleet) {
  int OrdersRunTwice = 0;
  for (const std::pair<const std::string, int> &Run : Fleet.runs())
    if (Run.first.rfind("order-", 0) == 0 && Run.second > 1)
      ++OrdersRunTwice;
  return OrdersRunTwice;
}

int runDemo(const std::string &BinaryDir) {
  FleetPlan Plan;
  Plan.BinaryDir_ = BinaryDir;
  TestFleet Fleet(Plan);
  std::printf(
      "3 hosts, 4 backend servers; waiting until all hosts are ready\n");
  if (!Fleet.waitReady()) {
    std::printf("FAILED: not all hosts became ready\n");
    return 1;
  }
  int Wrong = runCallers(Fleet, "all backend servers healthy:", NormalDuration);
  Fleet.setBackendMode(0, "stall");
  std::printf("target-0 now stalls; its health endpoint still returns 200\n");
  Wrong += runCallers(Fleet, "target-0 stalls:", StallDuration);
  std::printf("detector decisions by host:\n");
  printDecisions(Fleet);
  printReport(Fleet, BinaryDir + "/kumquatpitch status");
  printReport(Fleet, BinaryDir + "/kumquatpitch burn");
  Fleet.setBackendMode(0, "normal");
  const int OrdersRunTwice = countOrdersRunTwice(Fleet);
  std::printf("wrong answers: %d; orders that ran twice: %d\n", Wrong,
              OrdersRunTwice);
  return Wrong + OrdersRunTwice == 0 ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2) {
    std::cerr << "usage: fleet-demo BINARY_DIR\n";
    return 1;
  }
  return runDemo(Argv[1]);
}
