// Tests that an answer without a length, of which only the end of its
// connection says that it is complete, does not pass for a whole one.

#include "gateway-front-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(GatewayUnframed, GatewayFrontFixture) {
  using Socket = ScriptedTarget::Socket;

  /// A target that answers each request with the status and the fields, without
  /// a length, announces the end of the connection and ends it in order.
  void startUnframedTarget(const std::string &Status,
                           const std::string &Fields = "") {
    startTarget([=](Socket &Connection, const std::string &Request) {
      if (!hasCompleteHead(Request))
        return false;
      sendText(Connection,
               "HTTP/1.1 " + Status +
                   "\r\nKumquatpitch-Request-Id: " + requestIdOf(Request) +
                   "\r\nKumquatpitch-Answer-Signature: s\r\n" + Fields +
                   "Connection: close\r\n\r\nfirst half");
      Connection.shutdown(Socket::shutdown_send);
      return true;
    });
  }

  std::uint64_t counter(const std::string &Name) {
    return Metrics_.snapshot(Timers_.now()).Counters_[Name];
  }

  bool received(const std::string &Text) const {
    return Received_.find(Text) != std::string::npos;
  }
};

// Guards against delivering as complete an answer that broke off, where the
// server's process or something on the way has ended the connection in order.
TEST(GatewayUnframed, OrderlyEndInTheMiddleOfAnAnswerIsAFailure) {
  for (const char *Method : {"GET", "POST"}) {
    startUnframedTarget("200 OK");
    useNewTarget();
    Received_.clear();
    Caller_ = asio::ip::tcp::socket(Context_);
    call(request(*Method == 'G' ? "/look/1" : "/book/1", "id1", Method));
    CHECK_TEXT(runUntilReceived("HTTP/1.1 502"), Received_.c_str());
    CHECK(!received("first half"));
    Target_.reset();
  }
}

// Guards against any other statement that rests on such an answer: its failure,
// and its claim that the request has not run.
TEST(GatewayUnframed, FailuresAndRefusalsAreNotTakenEither) {
  startUnframedTarget("500 Internal Server Error");
  call(request("/book/1", "id1", "POST"));
  CHECK_TEXT(runUntilReceived("HTTP/1.1 502"), Received_.c_str());
  Target_.reset();
  startUnframedTarget("503 Service Unavailable", "Kumquatpitch-Not-Run: 1\r\n");
  useNewTarget();
  Received_.clear();
  Caller_ = asio::ip::tcp::socket(Context_);
  call(request("/book/2", "id2", "POST"));
  CHECK_TEXT(runUntilReceived("HTTP/1.1 502"), Received_.c_str());
}

// Guards against a caller that waits for a target that sends a body without end
// or leaves its connection open: the head tells that no proof will follow.
TEST(GatewayUnframed, AnswerFailsWithItsHead) {
  startTarget([](Socket &Connection, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Connection, "HTTP/1.1 200 OK\r\nKumquatpitch-Request-Id: " +
                             requestIdOf(Request) +
                             "\r\nKumquatpitch-Answer-Signature: s\r\n\r\n");
    return true;
  });
  // The route's timeout is 600 ms.
  const TimePoint Start = Timers_.now();
  call(request("/book/1", "id1", "POST"));
  CHECK_TEXT(runUntilReceived("HTTP/1.1 502"), Received_.c_str());
  CHECK(Timers_.now() - Start < std::chrono::milliseconds(300));
  CHECK_EQUAL(1, counter("responses_unprovable"));
  CHECK_EQUAL(0, Client_.bufferedBytes());
}

// Guards against requests behind such an answer that go unanswered: a caller
// that pipelines gets all of its answers, in order, on the connection.
TEST(GatewayUnframed, PipelinedRequestsBehindItAreAnswered) {
  startTarget([](Socket &Connection, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const std::string Id = requestIdOf(Request);
    if (Id == "id1") {
      sendText(Connection,
               "HTTP/1.1 200 OK\r\nKumquatpitch-Request-Id: id1\r\n"
               "Kumquatpitch-Answer-Signature: s\r\n\r\nfirst half");
      Connection.shutdown(Socket::shutdown_send);
    } else {
      sendText(Connection, answer(Id, "second"));
    }
    return true;
  });
  call(request("/look/1", "id1") + request("/look/2", "id2"));
  CHECK_TEXT(runUntilReceived("second"), Received_.c_str());
  CHECK(Received_.find("HTTP/1.1 502") == 0);
  CHECK(!received("first half"));
  CHECK(!IsEnded_);
}

// A service that always answers so stays usable once it is declared.
TEST(GatewayUnframed, AnswersOfADeclaredServiceAreDelivered) {
  declareUnframed();
  startUnframedTarget("200 OK");
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntil([this] { return IsEnded_; }));
  CHECK(Received_.find("HTTP/1.1 200") == 0);
  CHECK(received("first half"));
  CHECK(!received("Content-Length"));
  CHECK_EQUAL(0, counter("responses_unprovable"));
}

// Guards against trusting the end of a connection on which the server has just
// written the answer to another request.
TEST(GatewayUnframed, DeclaredAnswerBehindOneToAnotherRequestIsAFailure) {
  declareUnframed();
  bookTwice(answer("id1", "first") +
                "HTTP/1.1 200 OK\r\nKumquatpitch-Request-Id: id2\r\n"
                "Kumquatpitch-Answer-Signature: s\r\n"
                "Connection: close\r\n\r\nsecond ha",
            true);
  Received_.clear();
  CHECK_TEXT(runUntilReceived("HTTP/1.1 502"), Received_.c_str());
  CHECK(!received("second ha"));
}

// Guards against an answer that is too long for the host and reaches its caller
// as a success with an empty body, complete by its length.
TEST(GatewayUnframed, AnswerBeyondTheLimitIsAFailure) {
  startTarget([](Socket &Connection, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Connection, "HTTP/1.1 200 OK\r\nKumquatpitch-Request-Id: id1\r\n"
                         "Kumquatpitch-Answer-Signature: s\r\n"
                         "Content-Length: 9000000000\r\n\r\n");
    return true;
  });
  call(request("/book/1", "id1", "POST"));
  CHECK_TEXT(runUntilReceived("HTTP/1.1 "), Received_.c_str());
  CHECK_TEXT(Received_.starts_with("HTTP/1.1 502"), Received_.c_str());
}

// Guards against two readings of one head. The parser takes a chunked coding
// that is written in an unusual way for none, and reads up to the end of the
// connection: the answer is then without a length, and its body is raw chunks.
TEST(GatewayUnframed, OddChunkedCodingIsNoProof) {
  for (const char *Coding : {"chunked\t", ",chunked", "chunked, chunked"}) {
    startTarget([Coding](Socket &Connection, const std::string &Request) {
      if (!hasCompleteHead(Request))
        return false;
      sendText(Connection, "HTTP/1.1 200 OK\r\nKumquatpitch-Request-Id: " +
                               requestIdOf(Request) +
                               "\r\nKumquatpitch-Answer-Signature: s\r\n"
                               "Transfer-Encoding: " +
                               Coding +
                               "\r\nConnection: close\r\n\r\n"
                               "a\r\nfirst half");
      Connection.shutdown(Socket::shutdown_send);
      return true;
    });
    useNewTarget();
    Received_.clear();
    Caller_ = asio::ip::tcp::socket(Context_);
    call(request("/book/1", "id1", "POST"));
    CHECK_TEXT(runUntilReceived("HTTP/1.1 502"), Received_.c_str());
    Target_.reset();
  }
}

// Guards against an untrue "not run": the server gives two whole answers to one
// request, one that it is not the instance meant, and one that it is done.
TEST(GatewayUnframed, MisdirectedBeforeASuccessDoesNotClaimNotRun) {
  startTarget([](Socket &Connection, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const std::string Id = requestIdOf(Request);
    sendText(Connection,
             "HTTP/1.1 421 Misdirected Request\r\nKumquatpitch-Request-Id: " +
                 Id + "\r\n" + GatewayHeaders().NotRun_ +
                 ": 1\r\nContent-Length: 0\r\n\r\n" + answer(Id, "done"));
    return true;
  });
  call(request("/book/1", "id1", "POST"));
  CHECK_TEXT(runUntilReceived("HTTP/1.1 "), Received_.c_str());
  CHECK_TEXT(received("HTTP/1.1 502"), Received_.c_str());
}
