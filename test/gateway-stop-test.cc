// Tests that each request which a stopping front accepts is answered.

#include "gateway-front-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

/// Number of complete responses in `Text`.
std::size_t countResponses(const std::string &Text) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find("HTTP/1.1 "); At != std::string::npos;
       At = Text.find("HTTP/1.1 ", At + 1))
    ++Count;
  return Count;
}

} // namespace

TEST_GROUP_BASE(GatewayStop, GatewayFrontFixture) {
  std::set<std::string> Ran_;

  /// Starts a target that runs each request and answers it at once with
  /// `BodySize` bytes.
  void startRecordingTarget(std::size_t BodySize = 4) {
    startTarget([this, BodySize](ScriptedTarget::Socket &Socket,
                                 const std::string &Request) {
      if (!hasCompleteHead(Request))
        return false;
      const std::string Id = requestIdOf(Request);
      Ran_.insert(Id);
      asio::async_write(Socket,
                        asio::buffer(Written_.emplace_back(
                            answer(Id, std::string(BodySize, 'b')))),
                        [](const asio::error_code &, std::size_t) {});
      return true;
    });
  }

  /// Runs until the caller has seen the end of the connection, and the host has
  /// closed it.
  bool runUntilClosed() {
    return runUntil([&] { return IsEnded_ && Server_.connections() == 0; });
  }

  std::deque<std::string> Written_;
};

// Guards against running the second of two requests that arrive together and
// never answering it: the first is answered at once, and the host stops.
TEST(GatewayStop, RequestBehindOneThatIsAnsweredAtOnceIsAnswered) {
  startRecordingTarget();
  Server_.drain();
  call(request("/gone/1", "id1") + request("/look/2", "id2"));
  CHECK(runUntilClosed());
  CHECK(Received_.find("HTTP/1.1 404") == 0);
  CHECK_EQUAL(1, Ran_.size());
  CHECK_EQUAL(2, countResponses(Received_));
  // Only the last response says that the connection closes.
  CHECK(Received_.find("Connection: close") > Received_.find("HTTP/1.1 200"));
}

// Guards against accepting a request while the connection's last response is
// being written: it would run and get no answer.
TEST(GatewayStop, RequestBehindTheLastResponseIsNotPassedOn) {
  startRecordingTarget(LargeBodyBytes);
  Server_.drain();
  CHECK(callWithoutReading(LargeResponses));
  CHECK_EQUAL(LargeResponses, Ran_.size());
  sendText(Caller_, request("/look/2", "last"));
  runUntil([&] { return Ran_.count("last") != 0; });
  readAnswers();
  CHECK(runUntilClosed());
  CHECK_EQUAL(0, Ran_.count("last"));
  CHECK_EQUAL(LargeResponses, countResponses(Received_));
}

// Guards against a request that a full pipeline holds back and that is dropped
// when the responses of the others are written.
TEST(GatewayStop, RequestsBeyondAFullPipelineAreAnswered) {
  startRecordingTarget();
  Server_.drain();
  constexpr std::size_t Count = 40;
  std::string Requests;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Requests += request("/gone/1", "id" + std::to_string(Index));
  call(Requests + request("/look/2", "last"));
  CHECK(runUntilClosed());
  CHECK_EQUAL(1, Ran_.size());
  CHECK_EQUAL(Count + 1, countResponses(Received_));
}

// Guards against handling what follows a request that asks to close.
TEST(GatewayStop, RequestBehindOneThatAsksToCloseIsNotPassedOn) {
  startRecordingTarget();
  std::string First = request("/look/1", "id1");
  First.insert(First.find("\r\n") + 2, "Connection: close\r\n");
  call(First + request("/look/2", "id2"));
  CHECK(runUntilClosed());
  CHECK_EQUAL(0, Ran_.count("id2"));
  CHECK_EQUAL(1, countResponses(Received_));
}

// Guards against a planned stop that ends the process while responses are being
// written: the daemon waits until no request is in progress.
TEST(GatewayStop, ResponsesThatAreBeingWrittenAreInProgress) {
  startRecordingTarget(LargeBodyBytes);
  Server_.drain();
  CHECK(callWithoutReading(LargeResponses));
  CHECK_EQUAL(LargeResponses, Ran_.size());
  CHECK_EQUAL(1, Server_.requestsInProgress());
  readAnswers();
  CHECK(runUntilClosed());
  CHECK_EQUAL(0, Server_.requestsInProgress());
}

// Guards against a planned stop that cuts requests which it took late: they are
// refused at once, as not run.
TEST(GatewayStop, RequestThatMayOutlastTheStopIsNotPassedOn) {
  startRecordingTarget();
  Server_.drain();
  Core_.beginStop(Timers_.now() + std::chrono::milliseconds(500));
  // The route's timeout is 600 ms.
  std::string Short = request("/look/1", "id1");
  Short.insert(Short.find("\r\n") + 2, "Kumquatpitch-Deadline-Ms: 400\r\n");
  call(Short + request("/look/2", "id2") + request("/book/3", "id3", "POST"));
  CHECK(runUntilClosed());
  CHECK_EQUAL(1, Ran_.size());
  CHECK_EQUAL(1, Ran_.count("id1"));
  CHECK_EQUAL(3, countResponses(Received_));
  const std::size_t First = Received_.find("HTTP/1.1 503");
  CHECK(First != std::string::npos);
  CHECK(Received_.find("HTTP/1.1 503", First + 1) != std::string::npos);
  CHECK(Received_.find("Kumquatpitch-Code: 5008") != std::string::npos);
  CHECK(Received_.find("Retry-After: 0.020") != std::string::npos);
}
