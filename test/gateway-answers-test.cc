// Tests that a caller gets the whole answer to its own request, from targets
// that send answers late, twice, without a length or in part.

#include "gateway-front-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

constexpr const char *Signature = "Kumquatpitch-Answer-Signature: s\r\n";
constexpr const char *NotRun = "Kumquatpitch-Not-Run: 1\r\n";
constexpr const char *Refused = "HTTP/1.1 503 Service Unavailable\r\n";

std::string idHeader(const std::string &Id) {
  return "Kumquatpitch-Request-Id: " + Id + "\r\n";
}

} // namespace

TEST_GROUP_BASE(GatewayAnswers, GatewayFrontFixture) {
  std::array<char, 4'096> TargetBuffer_;
};

// Guards against giving a caller a late copy of the answer to another request
// that has no length and ends with its connection.
TEST(GatewayAnswers, UnframedAnswerToAnotherRequestIsNotDelivered) {
  bookTwice("HTTP/1.1 200 OK\r\n" + idHeader("id1") + Signature + "\r\nfirst",
            true);
  Received_.clear();
  CHECK(runUntilReceived("HTTP/1.1 502"));
  CHECK(Received_.find("first") == std::string::npos);
}

// Guards against taking a late copy of another request's refusal that has no
// length for the refusal of a request that has run.
TEST(GatewayAnswers, UnframedRefusalOfAnotherRequestDoesNotClaimNotRun) {
  bookTwice(Refused + idHeader("id1") + NotRun + "\r\n", true);
  CHECK(runUntilReceived("HTTP/1.1 502"));
}

// Guards against running a request twice: its caller sends it again under its
// id after a refusal, and the target sends a late copy of that refusal while it
// runs the second attempt.
TEST(GatewayAnswers, RequestSentAgainUsesAnotherConnection) {
  int Requests = 0;
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const std::string Refusal = Refused + idHeader(requestIdOf(Request)) +
                                NotRun + "Content-Length: 0\r\n\r\n";
    ++Requests;
    sendText(Socket, Target_->accepted() == 1
                         ? Refusal
                         : answer(requestIdOf(Request), "booked"));
    return true;
  });
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("HTTP/1.1 503"));
  // The target counts as full for a moment after a refusal.
  Context_.restart();
  Context_.run_for(std::chrono::milliseconds(100));
  sendText(Caller_, request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("booked"));
  CHECK_EQUAL(2, Requests);
  CHECK_EQUAL(2, Target_->accepted());
}

// Guards against a caller that uses up a target's connections by sending all of
// its requests under one id.
TEST(GatewayAnswers, RequestsWithOneIdDoNotAddConnections) {
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket, answer(requestIdOf(Request), "body"));
    return true;
  });
  Caller_.connect(localEndpoint(FrontPort));
  readAnswers();
  constexpr int Requests = 20;
  for (int Index = 0; Index < Requests; ++Index) {
    Received_.clear();
    sendText(Caller_, request("/look/1", "id1"));
    CHECK(runUntilReceived("body"));
  }
  CHECK_EQUAL(Requests, Target_->accepted());
  CHECK_EQUAL(1, Client_.idleConnections());
}

// Guards against joining the head of an answer that broke off with the answer
// that follows it: the result has the own id and a foreign body.
TEST(GatewayAnswers, AnswersWithSeveralRequestIdsAreFailures) {
  bookTwice("HTTP/1.1 200 OK\r\n" + idHeader("id2") + Signature +
            "Content-Type: te" + answer("id1", "first"));
  Received_.clear();
  CHECK(runUntilReceived("HTTP/1.1 502"));
  CHECK(Received_.find("first") == std::string::npos);
}

// Guards against completing an answer whose target stopped inside its head and
// closed the connection.
TEST(GatewayAnswers, HeadsThatBreakOffAreFailures) {
  const std::string Start = "HTTP/1.1 200 OK\r\n" + idHeader("id1") + Signature;
  for (const std::string &Head :
       {Start + "Content-Length: 0\r\n\r\n", Start + "\r\n",
        Start + "Transfer-Encoding: chunked\r\n\r\n"})
    for (std::size_t Size = 0; Size < Head.size(); ++Size) {
      startTarget(
          [&](ScriptedTarget::Socket &Socket, const std::string &Request) {
            if (!hasCompleteHead(Request))
              return false;
            sendText(Socket, Head.substr(0, Size));
            Socket.close();
            return true;
          });
      useNewTarget();
      Received_.clear();
      Caller_ = asio::ip::tcp::socket(Context_);
      call(request("/book/1", "id1", "POST"));
      CHECK_TEXT(runUntilReceived("HTTP/1.1 502"),
                 ("cut after " + Head.substr(0, Size)).c_str());
      Target_.reset();
    }
}

// Guards against completing an answer without a length that is reset on the way
// while the request's body is still being sent.
TEST(GatewayAnswers, UnframedAnswerThatIsResetIsAFailure) {
  // More than the buffers of a connection hold.
  constexpr std::size_t BodyBytes = 16'000'000;
  CallerLimits Limits;
  Limits.MaxBodyBytes_ = BodyBytes;
  Server_.setLimits(Limits);
  // Reads the beginning of the request only, and resets the connection once the
  // host has read the first half of the answer.
  asio::ip::tcp::acceptor Acceptor(Context_, localEndpoint(TargetPort));
  asio::ip::tcp::socket Target(Context_);
  asio::steady_timer Later(Context_);
  Acceptor.async_accept(Target, [&](const asio::error_code &) {
    Target.async_read_some(
        asio::buffer(TargetBuffer_),
        [&](const asio::error_code &, std::size_t) {
          sendText(Target, "HTTP/1.1 200 OK\r\n" + idHeader("id1") + Signature +
                               "\r\nfirst half");
          Later.expires_after(std::chrono::milliseconds(50));
          Later.async_wait([&](const asio::error_code &) {
            Target.set_option(asio::socket_base::linger(true, 0));
            Target.close();
          });
        });
  });
  Caller_.connect(localEndpoint(FrontPort));
  const std::string Request =
      request("/book/1", "id1", "POST", std::string(BodyBytes, 'x'));
  asio::async_write(Caller_, asio::buffer(Request),
                    [](const asio::error_code &, std::size_t) {});
  readAnswers();
  CHECK(runUntilReceived("HTTP/1.1 502"));
  CHECK(Received_.find("first half") == std::string::npos);
}
