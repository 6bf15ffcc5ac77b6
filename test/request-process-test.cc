// Process tests of requests from caller to backend server, and of responses
// that must not be delivered.

#include "shared-fleet.h"

#include <atomic>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch::test;

TEST_GROUP(RequestProcess){};

TEST(RequestProcess, ServesRequestEndToEnd) {
  TestFleet &Fleet = sharedFleet();
  const std::optional<std::vector<AddressedHost>> Hosts =
      Fleet.requestAddresses(1);
  CHECK(Hosts.has_value());
  CHECK_EQUAL(3, Hosts->size());
  const CallerResponse Response =
      TestFleet::call(Hosts->front().Port_, "GET", "/proofs/7?page=2",
                      {{"X-Caller", "officer-1"}});
  CHECK_EQUAL(200, Response.Status_);
  CHECK(Response.Body_.find("GET /proofs/7?page=2 officer-1") !=
        std::string::npos);
}

TEST(RequestProcess, DeliversCompleteChunkedResponses) {
  TestFleet &Fleet = sharedFleet();
  setAllBackends(Fleet, "chunked");
  const CallerResponse Response = TestFleet::call(
      Fleet.customerPort(0), "POST", "/orders/1", {}, std::string(70'000, 'x'));
  CHECK_EQUAL(200, Response.Status_);
  CHECK(Response.Body_.find(std::string(70'000, 'x')) != std::string::npos);
}

// Guards against a caller receiving a partial response or the response to
// another request.
TEST(RequestProcess, RefusesIncompleteOrMismatchedResponses) {
  TestFleet &Fleet = sharedFleet();
  const std::pair<const char *, const char *> Cases[] = {
      {"cut", "4004"},
      {"cut-chunked", "4004"},
      {"undelimited", "4005"},
      {"crossed", "4007"}};
  for (const std::pair<const char *, const char *> &Case : Cases) {
    setAllBackends(Fleet, Case.first);
    const CallerResponse Response = TestFleet::call(
        Fleet.customerPort(0), "POST", "/orders/1", {}, "plaque");
    STRCMP_EQUAL_TEXT(Case.second, Response.Code_.c_str(), Case.first);
    STRCMP_EQUAL_TEXT("unknown", Response.Outcome_.c_str(), Case.first);
  }
}

TEST(RequestProcess, ReportsNotRunWhenBackendServerRefuses) {
  TestFleet &Fleet = sharedFleet();
  setAllBackends(Fleet, "shed");
  const CallerResponse Response =
      TestFleet::call(Fleet.customerPort(0), "POST", "/orders/1",
                      {{"Kumquatpitch-Request-Id", "shed"}}, "plaque");
  STRCMP_EQUAL("4002", Response.Code_.c_str());
  STRCMP_EQUAL("not-run", Response.Outcome_.c_str());
  CHECK_EQUAL(0, Fleet.runs()["shed"]);
}

TEST(RequestProcess, RespondsAtCallerDeadlineWithUnknownOutcome) {
  TestFleet &Fleet = sharedFleet();
  setAllBackends(Fleet, "stall");
  const CallerResponse Response =
      TestFleet::call(Fleet.customerPort(0), "POST", "/orders/1",
                      {{"Kumquatpitch-Deadline-Ms", "300"}}, "plaque");
  setAllBackends(Fleet, "normal");
  STRCMP_EQUAL("4003", Response.Code_.c_str());
  STRCMP_EQUAL("unknown", Response.Outcome_.c_str());
}

// Guards against responses that reach the wrong caller under load.
TEST(RequestProcess, ConcurrentCallersGetTheirOwnResponses) {
  TestFleet &Fleet = sharedFleet();
  std::atomic<int> Wrong{0};
  constexpr int CallerCount = 8;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([&Fleet, &Wrong, Caller] {
      httplib::Client Client("127.0.0.1", Fleet.customerPort(Caller % 3));
      Client.set_keep_alive(true);
      Client.set_tcp_nodelay(true);
      for (int Count = 0; Count < 50; ++Count) {
        const std::string Name =
            std::to_string(Caller) + "-" + std::to_string(Count);
        std::string Path = "/proofs/";
        Path.append(Name);
        std::string ExpectedText = Path;
        ExpectedText.append(" ").append(Name).append(" ");
        const httplib::Result Response = Client.Get(Path, {{"X-Caller", Name}});
        if (!Response || Response->status != 200 ||
            Response->body.find(ExpectedText) == std::string::npos)
          ++Wrong;
      }
    });
  for (std::thread &Thread : Callers)
    Thread.join();
  CHECK_EQUAL(0, Wrong.load());
}

// Guards against callers delayed by pooled connections that have gone silent,
// while new connections to the same backend server work.
TEST(RequestProcess, ServesCallersWhenPooledConnectionsGoSilent) {
  TestFleet &Fleet = sharedFleet();
  for (int Count = 0; Count < 20; ++Count)
    TestFleet::call(Fleet.customerPort(0), "GET", "/proofs/warm");
  Fleet.setBackendMode(0, "silent");
  int Failures = 0;
  for (int Count = 0; Count < 60; ++Count)
    Failures +=
        TestFleet::call(Fleet.customerPort(0), "GET", "/proofs/1").Status_ ==
                200
            ? 0
            : 1;
  CHECK_EQUAL(0, Failures);
  Fleet.setBackendMode(0, "normal");
}
