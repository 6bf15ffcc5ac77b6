// Requests that may not be repeated, over separate processes.

#include "shared-fleet.h"

#include <csignal>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch::test;

TEST_GROUP(OnceProcess){};

static httplib::Headers bound(const std::string &Id, const std::string &Token) {
  return {{"Kumquatpitch-Request-Id", Id}, {"Kumquatpitch-Token", Token}};
}

// Guards against a resend through any host that runs a request again.
TEST(OnceProcess, ResendsThroughEveryHostRunOnce) {
  TestFleet &Fleet = sharedFleet();
  const std::vector<AddressedHost> Hosts = Fleet.requestAddresses(0).value();
  const std::string Token = Hosts.front().Token_;
  CHECK(!Token.empty());
  const CallerResponse First = TestFleet::call(
      Hosts.front().Port_, "POST", "/orders/1", bound("order-1", Token), "a");
  CHECK_EQUAL(200, First.Status_);
  for (const AddressedHost &Each : Hosts) {
    const CallerResponse Again = TestFleet::call(
        Each.Port_, "POST", "/orders/1", bound("order-1", Token), "a");
    STRCMP_EQUAL(Each.Port_ == Hosts.front().Port_ ? "ran" : "unknown",
                 Again.Outcome_.c_str());
  }
  CHECK_EQUAL(1, Fleet.runs()["order-1"]);
}

// Guards against a paused host that wakes up and runs what its caller has given
// up, after the deadline.
TEST(OnceProcess, APausedHostRunsNothingAfterTheDeadline) {
  TestFleet Fleet(testPlan());
  CHECK(Fleet.waitReady());
  const std::vector<AddressedHost> Hosts = Fleet.requestAddresses(0).value();
  const AddressedHost &First = Hosts.front();
  const int Index = First.Id_.back() - '0';
  Fleet.host(Index).signal(SIGSTOP);
  std::thread Caller([&] {
    httplib::Headers Headers = bound("order-2", First.Token_);
    Headers.emplace("Kumquatpitch-Deadline-Ms", "500");
    httplib::Client Client("127.0.0.1", First.Port_);
    Client.set_read_timeout(1);
    Client.Post("/orders/1", Headers, "a", "text/plain");
  });
  Caller.join();
  Fleet.host(Index).signal(SIGCONT);
  for (const AddressedHost &Each : Hosts)
    TestFleet::call(Each.Port_, "POST", "/orders/1",
                    bound("order-2", First.Token_), "a");
  CHECK(Fleet.runs()["order-2"] <= 1);
}

// Guards against a restarted host that forgets what its predecessor ran.
TEST(OnceProcess, ARestartedHostRunsNothingBoundToItsPredecessor) {
  TestFleet Fleet(testPlan());
  CHECK(Fleet.waitReady());
  const std::vector<AddressedHost> Hosts = Fleet.requestAddresses(0).value();
  const AddressedHost &First = Hosts.front();
  const int Index = First.Id_.back() - '0';
  // CHECK_EQUAL evaluates its arguments twice when they differ.
  const CallerResponse Ran = TestFleet::call(
      First.Port_, "POST", "/orders/1", bound("order-3", First.Token_), "a");
  CHECK_EQUAL(200, Ran.Status_);
  Fleet.host(Index).signal(SIGKILL);
  Fleet.host(Index).wait();
  Fleet.startHost(Index);
  CHECK(Fleet.waitReady());
  const CallerResponse Again = TestFleet::call(
      First.Port_, "POST", "/orders/1", bound("order-3", First.Token_), "a");
  STRCMP_EQUAL("unknown", Again.Outcome_.c_str());
  STRCMP_EQUAL("3008", Again.Code_.c_str());
  CHECK_EQUAL(1, Fleet.runs()["order-3"]);
}
