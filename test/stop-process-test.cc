// Planned stops and killed hosts under load.

#include "shared-fleet.h"

#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch::test;

/// Callers that ask for addresses as the docs say: keep the answer, go to the
/// next address when a host does not answer, ask any host again.
class CallerCrowd {
public:
  CallerCrowd(TestFleet &Fleet, int Callers) {
    for (int Caller = 0; Caller < Callers; ++Caller)
      Threads_.emplace_back([this, &Fleet, Caller] { call(Fleet, Caller); });
  }

  void stop() {
    IsDone_ = true;
    for (std::thread &Each : Threads_)
      Each.join();
    Threads_.clear();
  }

  int answered() const { return Answered_; }
  int cut() const { return Cut_; }
  int refused() const { return Refused_; }
  int moved() const { return Moved_; }

  /// Codes and messages of refusals, for the report of a failure.
  std::string refusals() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    std::string Text;
    for (const std::pair<const std::string, int> &Each : Refusals_)
      Text += std::to_string(Each.second) + " of " + Each.first;
    return Text;
  }

private:
  void noteRefusal(const CallerResponse &Response) {
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
      if (!callFirst(Hosts))
        ++Cut_;
      // Each call takes a port of its own for a minute; without a pause the
      // machine's ports run out and calls fail that no host has refused.
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  bool callFirst(const std::vector<AddressedHost> &Hosts) {
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      const CallerResponse Response =
          TestFleet::call(Hosts[Index].Port_, "GET", "/proofs/1");
      if (!Response.IsComplete_) {
        ++Moved_;
        continue;
      }
      ++(Response.Status_ == 200 ? Answered_ : Refused_);
      if (Response.Status_ != 200)
        noteRefusal(Response);
      return true;
    }
    return false;
  }

  std::mutex Mutex_;
  std::map<std::string, int> Refusals_;
  std::atomic<bool> IsDone_{false};
  std::atomic<int> Answered_{0};
  std::atomic<int> Cut_{0};
  std::atomic<int> Refused_{0};
  std::atomic<int> Moved_{0};
  std::vector<std::thread> Threads_;
};

TEST_GROUP(StopProcess){};

// Guards against a planned stop that cuts requests or turns callers away.
TEST(StopProcess, APlannedStopCutsNoRequest) {
  TestFleet Fleet(testPlan());
  CHECK(Fleet.waitReady());
  CallerCrowd Crowd(Fleet, 6);
  CHECK(waitUntil([&] { return Crowd.answered() > 200; }));
  Fleet.host(0).signal(SIGTERM);
  Fleet.publishHosts({0}, {});
  CHECK_EQUAL(0, Fleet.host(0).wait());
  const int AnsweredAtStop = Crowd.answered();
  CHECK(waitUntil([&] { return Crowd.answered() > AnsweredAtStop + 200; }));
  Crowd.stop();
  CHECK_EQUAL(0, Crowd.cut());
  CHECK_EQUAL(0, Crowd.moved());
  CHECK_EQUAL_TEXT(0, Crowd.refused(), Crowd.refusals().c_str());
}

// Guards against callers who are left without an answer when a host dies.
TEST(StopProcess, CallersMoveOnWhenAHostIsKilled) {
  TestFleet Fleet(testPlan());
  CHECK(Fleet.waitReady());
  CallerCrowd Crowd(Fleet, 6);
  CHECK(waitUntil([&] { return Crowd.answered() > 200; }));
  Fleet.host(0).signal(SIGKILL);
  Fleet.host(0).wait();
  const int AnsweredAtKill = Crowd.answered();
  CHECK(waitUntil([&] { return Crowd.answered() > AnsweredAtKill + 400; }));
  Crowd.stop();
  CHECK_EQUAL(0, Crowd.cut());
}
