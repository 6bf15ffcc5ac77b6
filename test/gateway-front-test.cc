// Tests GatewayFront over real sockets in one process, between a caller and a
// scripted target.

#include "gateway-front-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(GatewayFront, GatewayFrontFixture){};

TEST(GatewayFront, ForwardsRequestUnchangedAndAnswers) {
  std::string Forwarded;
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (Request.find("four") == std::string::npos)
      return false;
    Forwarded = Request;
    sendText(Socket, answer(requestIdOf(Request), "whole"));
    return true;
  });
  call(request("/book/a?b=c", "id1", "POST", "four"));
  CHECK(runUntilReceived("\r\n\r\nwhole"));
  CHECK(Forwarded.rfind("POST /book/a?b=c HTTP/1.1\r\n", 0) == 0);
  CHECK(Forwarded.find("Kumquatpitch-Target: t0\r\n") != std::string::npos);
  CHECK(Forwarded.find("Kumquatpitch-Deadline-Ms: ") != std::string::npos);
}

// Guards against answering pipelined requests out of order.
TEST(GatewayFront, PipelinedRequestsAreAnsweredInOrder) {
  std::vector<std::shared_ptr<ScriptedTarget::Socket>> Held;
  asio::steady_timer Later(Context_);
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const std::string Id = requestIdOf(Request);
    if (Id != "id1") {
      sendText(Socket, answer(Id, "body-" + Id));
      return true;
    }
    Later.expires_after(std::chrono::milliseconds(100));
    Later.async_wait([&Socket, Id](const asio::error_code &) {
      sendText(Socket, answer(Id, "body-" + Id));
    });
    return true;
  });
  call(request("/look/1", "id1") + request("/look/2", "id2") +
       request("/look/3", "id3"));
  CHECK(runUntilReceived("body-id3"));
  CHECK(Received_.find("body-id1") < Received_.find("body-id2"));
  CHECK(Received_.find("body-id2") < Received_.find("body-id3"));
}

// Guards against giving a caller the answer to another request.
TEST(GatewayFront, SkipsLateAnswersOfEarlierRequests) {
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket, answer("another", "foreign") +
                         answer(requestIdOf(Request), "own"));
    return true;
  });
  call(request("/look/1", "id1"));
  CHECK(runUntilReceived("\r\n\r\nown"));
  CHECK(Received_.find("foreign") == std::string::npos);
}

// Guards against delivering a truncated answer as a complete one.
TEST(GatewayFront, TruncatedAnswersAreFailures) {
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const std::string Complete = answer(requestIdOf(Request), "whole");
    sendText(Socket, Complete.substr(0, Complete.size() - 2));
    Socket.close();
    return true;
  });
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("HTTP/1.1 502"));
  CHECK(EvidenceSink_.LastObservation_ == TargetObservation::Failed);
}

// Guards against giving a caller the second copy of an earlier answer that
// comes without a request id on a connection in use again.
TEST(GatewayFront, AnswersWithoutRequestIdAreFailures) {
  bookTwice("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n"
            "Kumquatpitch-Answer-Signature: s\r\n\r\ncopied");
  CHECK(runUntilReceived("HTTP/1.1 502"));
  CHECK(Received_.find("copied") == std::string::npos);
}

// Guards against taking a late refusal of an earlier request for one of the
// current request, which may run.
TEST(GatewayFront, RefusalWithoutRequestIdDoesNotClaimNotRun) {
  bookTwice("HTTP/1.1 503 Service Unavailable\r\nKumquatpitch-Not-Run: 1\r\n"
            "Content-Length: 0\r\n\r\n");
  CHECK(runUntilReceived("HTTP/1.1 502"));
}

// Guards against giving a caller that sends no request id the late copy of
// another answer: nothing would tell the two apart on a connection in use
// again.
TEST(GatewayFront, RequestWithoutIdUsesAFreshConnection) {
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket, answer(requestIdOf(Request), "body"));
    return true;
  });
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("body"));
  Received_.clear();
  sendText(Caller_, "GET /look/2 HTTP/1.1\r\nHost: h.example\r\n\r\n");
  CHECK(runUntilReceived("body"));
  CHECK_EQUAL(2, Target_->accepted());
}

// Guards against memory and time lost to a target that sends bytes without end:
// lines before a status line, a status line, a head, a body without a length, a
// chunk's extension, and interim answers.
TEST(GatewayFront, EndlessAnswersAreCut) {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::pair<std::string, std::string> Streams[] = {
      {"", "\r\n"},
      {"", "HTTP/1.1 200 "},
      {Head, "X-Filler: abcdefghijklmnopqrstuvwxyz\r\n"},
      {Head + "X: ", "abcdefghijklmnopqrstuvwxyz"},
      {Head + "\r\n", "abcdefghijklmnopqrstuvwxyz"},
      {Chunked + "5;", "abcdefghijklmnopqrstuvwxyz"},
      {Chunked, "5\r\nabcde\r\n"},
      {"", "HTTP/1.1 102 Processing\r\n\r\n"}};
  for (const std::pair<std::string, std::string> &Stream : Streams) {
    std::size_t Sent = 0;
    startTarget([&](ScriptedTarget::Socket &Socket,
                    const std::string &Request) {
      if (!hasCompleteHead(Request))
        return false;
      std::string Filler;
      while (Filler.size() < 64'000)
        Filler += Stream.second;
      // Sends until the host closes the connection.
      const std::shared_ptr<std::function<void(std::string)>> Write =
          std::make_shared<std::function<void(std::string)>>();
      *Write = [&Socket, &Sent, Filler, Write](std::string Text) {
        const std::shared_ptr<std::string> Bytes =
            std::make_shared<std::string>(std::move(Text));
        asio::async_write(Socket, asio::buffer(*Bytes),
                          [&Sent, Filler, Write, Bytes](
                              const asio::error_code &Error, std::size_t Size) {
                            Sent += Size;
                            if (!Error)
                              (*Write)(Filler);
                            else
                              *Write = nullptr;
                          });
      };
      (*Write)(Stream.first + Filler);
      return true;
    });
    useNewTarget();
    Received_.clear();
    Caller_ = asio::ip::tcp::socket(Context_);
    call(request("/book/1", "id1", "POST"));
    CHECK(runUntilReceived("HTTP/1.1 502"));
    // The socket buffers on the way take up to a few megabytes.
    CHECK(Sent <= MaxAnswerBytes + 8'000'000);
    CHECK(runUntil([&] { return Client_.bufferedBytes() == 0; }));
    Target_.reset();
  }
}

TEST(GatewayFront, UnsignedAnswersAreFailures) {
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake");
    return true;
  });
  call(request("/look/1", "id1"));
  CHECK(runUntilReceived("HTTP/1.1 502"));
}

TEST(GatewayFront, AnswersDelimitedByConnectionCloseAreDelivered) {
  declareUnframed();
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(
        Socket,
        "HTTP/1.1 200 OK\r\nKumquatpitch-Request-Id: " + requestIdOf(Request) +
            "\r\nKumquatpitch-Answer-Signature: s\r\n\r\nunframed");
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send);
    return true;
  });
  call(request("/look/1", "id1"));
  CHECK(runUntil([this] { return IsEnded_; }));
  CHECK(Received_.find("HTTP/1.1 200 OK\r\n") == 0);
  CHECK(Received_.find("Content-Length") == std::string::npos);
  CHECK(Received_.find("Connection: close\r\n\r\nunframed") !=
        std::string::npos);
  CHECK(Received_.ends_with("unframed"));
}

// Guards against the target parsing the rest of a long body as the next request
// on the connection.
TEST(GatewayFront, ConnectionIsNotReusedAfterEarlyAnswer) {
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request) || Request.size() > 4'096)
      return false;
    sendText(Socket,
             answer(requestIdOf(Request), "early", "413 Payload Too Large"));
    return false;
  });
  call(request("/book/1", "id1", "POST", std::string(900'000, 'x')));
  CHECK(runUntilReceived("early"));
  CHECK_EQUAL(0, Client_.idleConnections());
}

TEST(GatewayFront, ConnectionToTargetIsReused) {
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket,
             answer(requestIdOf(Request), "body-" + requestIdOf(Request)));
    return true;
  });
  call(request("/look/1", "id1"));
  CHECK(runUntilReceived("body-id1"));
  sendText(Caller_, request("/look/2", "id2"));
  CHECK(runUntilReceived("body-id2"));
  CHECK_EQUAL(1, Target_->accepted());
}

// Guards against targets that keep working for a caller that has disconnected.
TEST(GatewayFront, CallerDisconnectCancelsAttempt) {
  bool Started = false;
  startTarget([&](ScriptedTarget::Socket &, const std::string &Request) {
    Started = hasCompleteHead(Request);
    return Started;
  });
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntil([&] { return Started; }));
  Caller_.close();
  CHECK(runUntil([&] { return Target_->closed() == 1; }));
}

// Guards against a silent target that keeps a caller waiting past the route's
// timeout.
TEST(GatewayFront, SilentTargetGivesGatewayTimeout) {
  startTarget(
      [](ScriptedTarget::Socket &, const std::string &) { return false; });
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("HTTP/1.1 504"));
}

// Guards against treating 421 (another instance has the address) as a refusal
// by a full target, because both carry the header that says the request has not
// run. The target was then tried again without end.
TEST(GatewayFront, MisdirectedAnswerReportsTargetGone) {
  startTarget([](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket,
             "HTTP/1.1 421 Misdirected Request\r\nKumquatpitch-Request-Id: " +
                 requestIdOf(Request) + "\r\n" + GatewayHeaders().NotRun_ +
                 ": 1\r\nContent-Length: 0\r\n\r\n");
    return true;
  });
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("HTTP/1.1 503"));
  CHECK(EvidenceSink_.LastObservation_ == TargetObservation::Gone);
}

TEST(GatewayFront, UnreachableTargetGivesRetryAfter) {
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("HTTP/1.1 503"));
  CHECK(Received_.find("Retry-After: ") != std::string::npos);
}

TEST(GatewayFront, RequestWithoutHostHeaderIsMalformed) {
  call("GET /look/1 HTTP/1.1\r\n\r\n");
  CHECK(runUntilReceived("HTTP/1.1 400"));
}

// Guards against answering that the body is too large when the path is unknown.
TEST(GatewayFront, UnknownRouteWithBodyIsNotFound) {
  call(request("/none/1", "id1", "POST", "body"));
  CHECK(runUntilReceived("HTTP/1.1 404"));
}

// Guards against forwarding a request and then cutting it off, because the idle
// timeout expired while the host was too busy to read the request.
TEST(GatewayFront, IdleTimeoutDoesNotCutARequest) {
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket, answer(requestIdOf(Request), "kept"));
    return true;
  });
  CallerLimits Limits;
  Limits.IdleTimeout_ = std::chrono::milliseconds(100);
  Server_.setLimits(Limits);
  Caller_.connect(localEndpoint(FrontPort));
  CHECK(runUntil([&] { return Server_.connections() == 1; }));
  sendText(Caller_, request("/book/1", "id1", "POST"));
  usleep(150'000); // The host's event loop does not run meanwhile.
  readAnswers();
  CHECK(runUntilReceived("kept"));
}

// Guards against cutting off a response, because the idle timeout expires while
// the caller is still reading it.
TEST(GatewayFront, IdleTimeoutDoesNotCutAResponse) {
  std::deque<std::string> Written;
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const std::string Body = std::string(LargeBodyBytes, 'b') + "end";
    Written.push_back(answer(requestIdOf(Request), Body));
    asio::async_write(Socket, asio::buffer(Written.back()),
                      [](const asio::error_code &, std::size_t) {});
    return true;
  });
  CallerLimits Limits;
  Limits.IdleTimeout_ = std::chrono::milliseconds(50);
  Server_.setLimits(Limits);
  CHECK(callWithoutReading(LargeResponses));
  CHECK_EQUAL(LargeResponses, Written.size());
  // Longer than the idle timeout.
  Context_.restart();
  Context_.run_for(std::chrono::milliseconds(150));
  readAnswers();
  CHECK(runUntil([&] {
    return Received_.size() > LargeResponses * LargeBodyBytes &&
           Received_.ends_with("end");
  }));
}

// Guards against a caller that holds a connection by sending its request a few
// bytes at a time.
TEST(GatewayFront, SlowRequestHasOneTimeout) {
  CallerLimits Limits;
  Limits.HeadTimeout_ = std::chrono::milliseconds(150);
  Server_.setLimits(Limits);
  call("GET /look/");
  const bool IsEnded = [&] {
    for (int Count = 0; Count < 20; ++Count) {
      asio::error_code Ignored;
      asio::write(Caller_, asio::buffer("x", 1), Ignored);
      Context_.restart();
      Context_.run_for(std::chrono::milliseconds(50));
      if (Received_.find("HTTP/1.1 408") != std::string::npos)
        return true;
    }
    return false;
  }();
  CHECK(IsEnded);
}

TEST(GatewayFront, PlannedStopClosesConnectionsAfterAnswer) {
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket, answer(requestIdOf(Request), "last"));
    return true;
  });
  Caller_.connect(localEndpoint(FrontPort));
  CHECK(runUntil([&] { return Server_.connections() == 1; }));
  Server_.drain();
  sendText(Caller_, request("/look/1", "id1"));
  readAnswers();
  CHECK(runUntilReceived("last"));
  CHECK(Received_.find("Connection: close") != std::string::npos);
}

// Guards against a limit that is read only from some answers, and against one
// that ends with an answer whose limit cannot be read.
TEST(GatewayFront, ReadsTheRateLimitFromAllAnswersOfTheTarget) {
  std::string Status;
  std::string Extra;
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    std::string Text = answer(requestIdOf(Request), "body" + Status, Status);
    Text.insert(Text.find("\r\n") + 2, Extra);
    sendText(Socket, Text);
    return true;
  });
  const auto LimitAfter = [&](const char *NextStatus,
                              const std::string &NextExtra) {
    Status = NextStatus;
    Extra = NextExtra;
    Received_.clear();
    // Time in which the last limit allows a request again.
    Context_.restart();
    Context_.run_for(std::chrono::milliseconds(50));
    sendText(Caller_, request("/look/1", "id1"));
    CHECK(runUntilReceived("\r\n\r\n"));
    return Core_.balancer(ServiceName("desk"))
        ->rateLimit(TargetId("t0"), Timers_.now());
  };
  const std::string Named = "Kumquatpitch-Target-Rate-Limit: 50\r\n";
  Caller_.connect(localEndpoint(FrontPort));
  readAnswers();
  CHECK(LimitAfter("200 OK", "") == NoRateLimit);
  CHECK(LimitAfter("503 Full", Named + "Kumquatpitch-Not-Run: 1\r\n") == 50);
  CHECK(LimitAfter("200 OK", "") == NoRateLimit);
  CHECK(LimitAfter("500 Failed", Named) == 50);
  CHECK(LimitAfter("200 OK", "Kumquatpitch-Target-Rate-Limit: x\r\n") == 50);
}
