// Callers that misbehave: malformed, slow, silent and leaving ones.

#include "raw-connection.h"
#include "shared-fleet.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch::test;

TEST_GROUP(FrontProcess){};

static std::string answerTo(const std::string &Bytes) {
  const RawConnection Caller(sharedFleet().customerPort(0));
  Caller.write(Bytes);
  return Caller.readAll();
}

// Guards against a request that is hidden in another one's body.
TEST(FrontProcess, RefusesSmuggling) {
  const std::string Hidden = "GET /proofs/hidden HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string Heads[] = {
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n",
      "Transfer-Encoding: xchunked\r\n", "X: a\nContent-Length: 5\r\n"};
  for (const std::string &Head : Heads) {
    std::string Sent = "POST /orders/1 HTTP/1.1\r\nHost: a\r\n";
    Sent.append(Head).append("\r\n0\r\n\r\n").append(Hidden);
    const std::string Response = answerTo(Sent);
    CHECK_TEXT(Response.rfind("HTTP/1.1 400", 0) == 0, Head.c_str());
    CHECK_TEXT(Response.find("not-run") != std::string::npos, Head.c_str());
    CHECK_TEXT(Response.find("HTTP/1.1 200") == std::string::npos,
               Head.c_str());
  }
}

TEST(FrontProcess, RefusesABodyOverTheContract) {
  const std::string Response =
      answerTo("POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: "
               "1048577\r\n\r\n");
  CHECK(Response.find("Kumquatpitch-Code: 3003") != std::string::npos);
}

TEST(FrontProcess, AnswersPipelinedRequestsInOrder) {
  const std::string Response =
      answerTo("GET /proofs/first HTTP/1.1\r\nHost: a\r\n\r\n"
               "GET /proofs/second HTTP/1.1\r\nHost: a\r\nConnection: "
               "close\r\n\r\n");
  const std::size_t First = Response.find("/proofs/first");
  const std::size_t Second = Response.find("/proofs/second");
  CHECK(First != std::string::npos);
  CHECK(Second != std::string::npos);
  CHECK(First < Second);
}

// Guards against slow and silent callers that hold the workers of the host.
TEST(FrontProcess, SlowCallersDoNotHoldWorkers) {
  TestFleet &Fleet = sharedFleet();
  std::vector<std::unique_ptr<RawConnection>> Slow;
  for (int Count = 0; Count < 200; ++Count) {
    Slow.push_back(std::make_unique<RawConnection>(Fleet.customerPort(0)));
    Slow.back()->write("POST /orders/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
  }
  for (int Count = 0; Count < 20; ++Count)
    CHECK_EQUAL(
        200,
        TestFleet::call(Fleet.customerPort(0), "GET", "/proofs/1").Status_);
}

// Guards against work that goes on for a caller who has left.
TEST(FrontProcess, ACallerThatLeavesEndsItsAttempt) {
  TestFleet &Fleet = sharedFleet();
  setAllBackends(Fleet, "stall");
  {
    const RawConnection Caller(Fleet.customerPort(0));
    Caller.write("POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: "
                 "0\r\nKumquatpitch-Request-Id: left\r\n\r\n");
    CHECK(waitUntil([&] {
      int Running = 0;
      for (int Index = 0; Index < testPlan().Backends_; ++Index)
        Running += Fleet.inProgress(Index);
      return Running == 1;
    }));
  }
  // The host frees the slot although the backend server never answers.
  CHECK(waitUntil([&] { return Fleet.hostInProgress(0) == 0; }));
  setAllBackends(Fleet, "normal");
}
