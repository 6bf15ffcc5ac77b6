// Process tests of misbehaving callers: malformed requests, slow and silent
// senders, and callers that disconnect.

#include "raw-connection.h"
#include "shared-fleet.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch::test;

TEST_GROUP(FrontProcess){};

static std::string sendRaw(const std::string &Bytes) {
  const RawConnection Caller(sharedFleet().customerPort(0));
  Caller.write(Bytes);
  return Caller.readAll();
}

// Guards against request smuggling: with an ambiguous body length, a host could
// read part of one request's body as a second request.
TEST(FrontProcess, RefusesSmuggling) {
  const std::string SmuggledRequest =
      "GET /proofs/hidden HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string AmbiguousHeaders[] = {
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n",
      "Transfer-Encoding: xchunked\r\n", "X: a\nContent-Length: 5\r\n"};
  for (const std::string &HeaderLines : AmbiguousHeaders) {
    std::string RequestText = "POST /orders/1 HTTP/1.1\r\nHost: a\r\n";
    RequestText.append(HeaderLines)
        .append("\r\n0\r\n\r\n")
        .append(SmuggledRequest);
    const std::string Response = sendRaw(RequestText);
    CHECK_TEXT(Response.rfind("HTTP/1.1 400", 0) == 0, HeaderLines.c_str());
    CHECK_TEXT(Response.find("not-run") != std::string::npos,
               HeaderLines.c_str());
    CHECK_TEXT(Response.find("HTTP/1.1 200") == std::string::npos,
               HeaderLines.c_str());
  }
}

TEST(FrontProcess, RefusesBodyLargerThanContractLimit) {
  const std::string Response =
      sendRaw("POST /orders/1 HTTP/1.1\r\nHost: a\r\nContent-Length: "
              "1048577\r\n\r\n");
  CHECK(Response.find("Kumquatpitch-Code: 3003") != std::string::npos);
}

TEST(FrontProcess, AnswersPipelinedRequestsInOrder) {
  const std::string Response =
      sendRaw("GET /proofs/first HTTP/1.1\r\nHost: a\r\n\r\n"
              "GET /proofs/second HTTP/1.1\r\nHost: a\r\nConnection: "
              "close\r\n\r\n");
  const std::size_t First = Response.find("/proofs/first");
  const std::size_t Second = Response.find("/proofs/second");
  CHECK(First != std::string::npos);
  CHECK(Second != std::string::npos);
  CHECK(First < Second);
}

// Guards against slow or silent callers that occupy the host's workers and so
// block other callers.
TEST(FrontProcess, SlowCallersDoNotBlockOthers) {
  TestFleet &Fleet = sharedFleet();
  std::vector<std::unique_ptr<RawConnection>> SlowCallers;
  for (int Count = 0; Count < 200; ++Count) {
    SlowCallers.push_back(
        std::make_unique<RawConnection>(Fleet.customerPort(0)));
    SlowCallers.back()->write(
        "POST /orders/1 HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
  }
  for (int Count = 0; Count < 20; ++Count)
    CHECK_EQUAL(
        200,
        TestFleet::call(Fleet.customerPort(0), "GET", "/proofs/1").Status_);
}

// Guards against an attempt that keeps its slot after its caller has
// disconnected.
TEST(FrontProcess, DisconnectedCallerReleasesItsSlot) {
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
  // The host frees the slot although the backend server never responds.
  CHECK(waitUntil([&] { return Fleet.hostInProgress(0) == 0; }));
  setAllBackends(Fleet, "normal");
}
