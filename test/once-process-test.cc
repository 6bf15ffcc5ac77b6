// Process tests of requests that may run at most once.

#include "shared-fleet.h"

#include <csignal>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch::test;

TEST_GROUP(OnceProcess){};

static httplib::Headers requestHeaders(const std::string &Id,
                                       const std::string &Token) {
  return {{"Kumquatpitch-Request-Id", Id}, {"Kumquatpitch-Token", Token}};
}

// Guards against a request that runs again when it is resent through any host.
TEST(OnceProcess, ResendThroughAnyHostRunsOnce) {
  TestFleet &Fleet = sharedFleet();
  const std::vector<AddressedHost> Hosts = Fleet.requestAddresses(0).value();
  const std::string Token = Hosts.front().Token_;
  CHECK(!Token.empty());
  const CallerResponse First =
      TestFleet::call(Hosts.front().Port_, "POST", "/orders/1",
                      requestHeaders("order-1", Token), "a");
  CHECK_EQUAL(200, First.Status_);
  for (const AddressedHost &Host : Hosts) {
    const CallerResponse Resent = TestFleet::call(
        Host.Port_, "POST", "/orders/1", requestHeaders("order-1", Token), "a");
    STRCMP_EQUAL(Host.Port_ == Hosts.front().Port_ ? "ran" : "unknown",
                 Resent.Outcome_.c_str());
  }
  CHECK_EQUAL(1, Fleet.runs()["order-1"]);
}

// Guards against a paused host that resumes after the deadline and runs a
// request that its caller has given up on.
TEST(OnceProcess, PausedHostDoesNotRunExpiredRequest) {
  TestFleet Fleet(testPlan());
  CHECK(Fleet.waitReady());
  const std::vector<AddressedHost> Hosts = Fleet.requestAddresses(0).value();
  const AddressedHost &First = Hosts.front();
  const int Index = First.Id_.back() - '0';
  Fleet.host(Index).signal(SIGSTOP);
  std::thread Caller([&] {
    httplib::Headers Headers = requestHeaders("order-2", First.Token_);
    Headers.emplace("Kumquatpitch-Deadline-Ms", "500");
    httplib::Client Client("127.0.0.1", First.Port_);
    Client.set_read_timeout(1);
    Client.Post("/orders/1", Headers, "a", "text/plain");
  });
  Caller.join();
  Fleet.host(Index).signal(SIGCONT);
  for (const AddressedHost &Host : Hosts)
    TestFleet::call(Host.Port_, "POST", "/orders/1",
                    requestHeaders("order-2", First.Token_), "a");
  CHECK(Fleet.runs()["order-2"] <= 1);
}

// Guards against a restarted host that runs a request again because the record
// of the previous process's requests is lost.
TEST(OnceProcess, RestartedHostRefusesTokensOfPreviousProcess) {
  TestFleet Fleet(testPlan());
  CHECK(Fleet.waitReady());
  const std::vector<AddressedHost> Hosts = Fleet.requestAddresses(0).value();
  const AddressedHost &First = Hosts.front();
  const int Index = First.Id_.back() - '0';
  // CHECK_EQUAL evaluates its arguments twice when they differ.
  const CallerResponse Ran =
      TestFleet::call(First.Port_, "POST", "/orders/1",
                      requestHeaders("order-3", First.Token_), "a");
  CHECK_EQUAL(200, Ran.Status_);
  Fleet.host(Index).signal(SIGKILL);
  Fleet.host(Index).wait();
  Fleet.startHost(Index);
  CHECK(Fleet.waitReady());
  const CallerResponse Resent =
      TestFleet::call(First.Port_, "POST", "/orders/1",
                      requestHeaders("order-3", First.Token_), "a");
  STRCMP_EQUAL("unknown", Resent.Outcome_.c_str());
  STRCMP_EQUAL("3008", Resent.Code_.c_str());
  CHECK_EQUAL(1, Fleet.runs()["order-3"]);
}
