// The demo: a small fleet on loopback serves callers while one backend server
// stalls and still answers health checks. Prints what callers got, who was
// ejected and the burn report. Fails when a caller got a wrong answer or a
// request ran twice.
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

constexpr int Callers = 6;
constexpr std::chrono::seconds NormalTime{4};
constexpr std::chrono::seconds StallTime{6};
constexpr std::chrono::milliseconds PauseOfCaller{10};

/// Counts what callers got in one part of the demo.
class Tally {
public:
  void count(const CallerResponse &Response, bool IsRight,
             double Milliseconds) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (Response.Status_ == 200)
      Latencies_.push_back(Milliseconds);
    else
      ++Refused_[Response.Code_ + " " + Response.Outcome_];
    if (Response.Status_ == 200 && !IsRight)
      ++Wrong_;
  }

  int wrong() const { return Wrong_; }

  void print(const char *Part) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    std::sort(Latencies_.begin(), Latencies_.end());
    const auto Quantile = [this](double Share) {
      if (Latencies_.empty())
        return 0.0;
      return Latencies_[static_cast<std::size_t>(
          Share * static_cast<double>(Latencies_.size() - 1))];
    };
    std::printf("%-34s %5zu answers, p50 %.1f ms, p99 %.1f ms, %d wrong\n",
                Part, Latencies_.size(), Quantile(0.5), Quantile(0.99), Wrong_);
    for (const std::pair<const std::string, int> &Each : Refused_)
      std::printf("%-34s %5d with code and outcome %s\n", "", Each.second,
                  Each.first.c_str());
  }

private:
  std::mutex Mutex_;
  std::vector<double> Latencies_;
  std::map<std::string, int> Refused_;
  int Wrong_ = 0;
};

/// One caller: asks for addresses, then reads proofs and sends orders.
void callAlong(TestFleet &Fleet, int Caller, std::chrono::seconds Time,
               Tally &Result) {
  using Clock = std::chrono::steady_clock;
  static std::atomic<int> Orders{0};
  const Clock::time_point End = Clock::now() + Time;
  const std::vector<AddressedHost> Hosts =
      Fleet.requestAddresses(Caller % Fleet.hosts())
          .value_or(std::vector<AddressedHost>());
  for (int Count = 0; Clock::now() < End && !Hosts.empty(); ++Count) {
    const bool IsOrder = Count % 4 == 0;
    const std::string Name =
        "caller-" + std::to_string(Caller) + "-" + std::to_string(Count);
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
    Result.count(Response,
                 Response.Body_.find(" " + Name + " ") != std::string::npos,
                 std::chrono::duration<double, std::milli>(Clock::now() - Start)
                     .count());
    std::this_thread::sleep_for(PauseOfCaller);
  }
}

int callAll(TestFleet &Fleet, const char *Part, std::chrono::seconds Time) {
  Tally Result;
  std::vector<std::thread> Threads;
  Threads.reserve(Callers);
  for (int Caller = 0; Caller < Callers; ++Caller)
    Threads.emplace_back(
        [&, Caller] { callAlong(Fleet, Caller, Time, Result); });
  for (std::thread &Each : Threads)
    Each.join();
  Result.print(Part);
  return Result.wrong();
}

/// Prints the hosts' log lines about targets.
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
  std::string Line = Command;
  for (int Index = 0; Index < Fleet.hosts(); ++Index)
    Line += " --host 127.0.0.1:" + std::to_string(Fleet.operatorPort(Index));
  std::fflush(stdout);
  if (std::system(Line.c_str()) != 0)
    std::cout << "report failed: " << Line << "\n";
}

int countRepeated(TestFleet &Fleet) {
  int Repeated = 0;
  for (const std::pair<const std::string, int> &Run : Fleet.runs())
    if (Run.first.rfind("order-", 0) == 0 && Run.second > 1)
      ++Repeated;
  return Repeated;
}

int runDemo(const std::string &BinaryDir) {
  FleetPlan Plan;
  Plan.BinaryDir_ = BinaryDir;
  TestFleet Fleet(Plan);
  std::printf("3 hosts, 4 backend servers; waiting until hosts are ready\n");
  if (!Fleet.waitReady()) {
    std::printf("FAILED: the hosts did not get ready\n");
    return 1;
  }
  int Wrong = callAll(Fleet, "all backend servers are well:", NormalTime);
  Fleet.setBackendMode(0, "stall");
  std::printf("target-0 stalls now; its health endpoint still answers 200\n");
  Wrong += callAll(Fleet, "target-0 stalls:", StallTime);
  std::printf("decisions of the hosts:\n");
  printDecisions(Fleet);
  printReport(Fleet, BinaryDir + "/kumquatpitch status");
  printReport(Fleet, BinaryDir + "/kumquatpitch burn");
  Fleet.setBackendMode(0, "normal");
  const int Repeated = countRepeated(Fleet);
  std::printf("wrong answers: %d; orders that ran twice: %d\n", Wrong,
              Repeated);
  return Wrong + Repeated == 0 ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2) {
    std::cerr << "usage: fleet-demo BINARY_DIR\n";
    return 1;
  }
  return runDemo(Argv[1]);
}
