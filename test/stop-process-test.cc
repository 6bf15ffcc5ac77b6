// Process tests of planned stops and killed hosts under load.

#include "shared-fleet.h"

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch::test;

/// Callers that handle addresses as documented: they cache the address
/// response, move to the next address when a host does not respond, and refresh
/// the addresses from any host.
class CallerGroup {
public:
  CallerGroup(TestFleet &Fleet, int Callers) {
    for (int Caller = 0; Caller < Callers; ++Caller)
      Threads_.emplace_back([this, &Fleet, Caller] { call(Fleet, Caller); });
  }

  void stop() {
    IsDone_ = true;
    for (std::thread &Thread : Threads_)
      Thread.join();
    Threads_.clear();
  }

  int succeeded() const { return Succeeded_; }
  int unserved() const { return Unserved_; }
  int refused() const { return Refused_; }
  int failovers() const { return Failovers_; }

  /// The bodies of refusals and their counts, for failure messages.
  std::string refusals() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    std::string Text;
    for (const std::pair<const std::string, int> &Refusal : Refusals_)
      Text += std::to_string(Refusal.second) + " of " + Refusal.first;
    return Text;
  }

private:
  void recordRefusal(const CallerResponse &Response) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    ++Refusals_[Response.Body_];
  }

  void call(TestFleet &Fleet, int Caller) {
    std::vector<AddressedHost> Hosts;
    for (int Count = 0; !IsDone_; ++Count) {
      if (Count % 20 == 0) {
        const std::optional<std::vector<AddressedHost>> Response =
            Fleet.requestAddresses((Caller + Count / 20) % Fleet.hosts());
        if (Response && !Response->empty())
          Hosts = *Response;
      }
      if (!callFirstReachable(Hosts))
        ++Unserved_;
      // Each call occupies a local port for a minute. Without a pause the
      // machine runs out of ports, and calls fail that no host has refused.
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  bool callFirstReachable(const std::vector<AddressedHost> &Hosts) {
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      const CallerResponse Response =
          TestFleet::call(Hosts[Index].Port_, "GET", "/proofs/1");
      if (!Response.IsComplete_) {
        ++Failovers_;
        continue;
      }
      ++(Response.Status_ == 200 ? Succeeded_ : Refused_);
      if (Response.Status_ != 200)
        recordRefusal(Response);
      return true;
    }
    return false;
  }

  std::mutex Mutex_;
  std::map<std::string, int> Refusals_;
  std::atomic<bool> IsDone_{false};
  std::atomic<int> Succeeded_{0};
  std::atomic<int> Unserved_{0};
  std::atomic<int> Refused_{0};
  std::atomic<int> Failovers_{0};
  std::vector<std::thread> Threads_;
};

TEST_GROUP(StopProcess){};

// Guards against a planned stop that interrupts requests or refuses callers.
TEST(StopProcess, PlannedStopInterruptsNoRequest) {
  TestFleet Fleet(testPlan());
  CHECK(Fleet.waitReady());
  CallerGroup Group(Fleet, 6);
  CHECK(waitUntil([&] { return Group.succeeded() > 200; }));
  Fleet.host(0).signal(SIGTERM);
  Fleet.publishHosts({0}, {});
  CHECK_EQUAL(0, Fleet.host(0).wait());
  const int SucceededAtStop = Group.succeeded();
  CHECK(waitUntil([&] { return Group.succeeded() > SucceededAtStop + 200; }));
  Group.stop();
  CHECK_EQUAL(0, Group.unserved());
  CHECK_EQUAL(0, Group.failovers());
  CHECK_EQUAL_TEXT(0, Group.refused(), Group.refusals().c_str());
}

// Guards against callers that get no response after a host is killed.
TEST(StopProcess, CallersSwitchHostsWhenOneIsKilled) {
  TestFleet Fleet(testPlan());
  CHECK(Fleet.waitReady());
  CallerGroup Group(Fleet, 6);
  CHECK(waitUntil([&] { return Group.succeeded() > 200; }));
  Fleet.host(0).signal(SIGKILL);
  Fleet.host(0).wait();
  const int SucceededAtKill = Group.succeeded();
  CHECK(waitUntil([&] { return Group.succeeded() > SucceededAtKill + 400; }));
  Group.stop();
  CHECK_EQUAL(0, Group.unserved());
}
