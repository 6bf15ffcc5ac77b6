// Tests that the memory for answers is shared fairly: a target that sends
// without end, or a caller that does not read, must not end the requests of
// others.

#include "gateway-front-fixture.h"

#include <sstream>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(GatewayMemory, GatewayFrontFixture) {
  asio::ip::tcp::socket Other_{Context_}; ///< A second caller.
  std::array<char, 65'536> OtherBuffer_;

  std::uint64_t counter(const std::string &Name) {
    return Metrics_.snapshot(Timers_.now()).Counters_[Name];
  }

  /// The value of a field that is quoted.
  static std::string quotedField(const std::string &Line,
                                 const std::string &Name) {
    const std::size_t Start = Line.find(" " + Name + "=\"") + Name.size() + 3;
    return Line.substr(Start, Line.find('"', Start) - Start);
  }

  static std::string chunk(std::size_t Bytes) {
    char Line[32];
    std::snprintf(Line, sizeof Line, "%zx\r\n", Bytes);
    return Line + std::string(Bytes, 'x') + "\r\n";
  }

  static std::string chunkedHead(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nKumquatpitch-Request-Id: " + Id +
           "\r\nKumquatpitch-Answer-Signature: s\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }
};

// Guards against the failure of small answers while one target sends a body
// without end: the one that holds most has to go.
TEST(GatewayMemory, EndlessAnswerDoesNotBreakOthers) {
  Client_.setMaxBufferedBytes(1'200'000);
  startTarget([](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const std::string Id = requestIdOf(Request);
    sendText(Socket, chunkedHead(Id) + chunk(Id == "long" ? 900'000 : 400'000) +
                         (Id == "long" ? "" : "0\r\n\r\n"));
    return true;
  });
  call(request("/large/1", "long"));
  CHECK(runUntil([this] { return Client_.bufferedBytes() >= 900'000; }));
  Other_.connect(localEndpoint(FrontPort));
  sendText(Other_, request("/large/2", "short"));
  std::string Got;
  const std::function<void()> Read = [&] {
    Other_.async_read_some(
        asio::buffer(OtherBuffer_),
        [&](const asio::error_code &Error, std::size_t Size) {
          Got.append(OtherBuffer_.data(), Size);
          if (!Error)
            Read();
        });
  };
  Read();
  CHECK(runUntil([&] { return Got.size() > 400'000; }));
  CHECK(Got.starts_with("HTTP/1.1 200"));
  CHECK_TEXT(runUntilReceived("HTTP/1.1 502"), Received_.c_str());
  CHECK_EQUAL(0, Client_.bufferedBytes());
}

// Guards against a process that runs out of memory with the answers of callers
// that do not read them.
TEST(GatewayMemory, CallerThatDoesNotReadIsClosed) {
  constexpr std::uint64_t MaxResponseBytes = 5'000'000;
  Server_.setMaxResponseBytes(MaxResponseBytes);
  startTarget([](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const bool IsLarge = Request.starts_with("GET /large/");
    const std::string Text = answer(
        requestIdOf(Request), std::string(IsLarge ? LargeBodyBytes : 10, 'x'));
    // The host closes the connections of a caller that has been closed.
    asio::error_code Closed;
    asio::write(Socket, asio::buffer(Text), Closed);
    return true;
  });
  Caller_.open(asio::ip::tcp::v4());
  Caller_.set_option(asio::socket_base::receive_buffer_size(4'096));
  Caller_.connect(localEndpoint(FrontPort));
  std::string Requests;
  for (std::size_t Index = 0; Index < LargeResponses; ++Index)
    Requests += request("/large/1", "id" + std::to_string(Index));
  sendText(Caller_, Requests);
  CHECK(runUntil([this] { return counter("slow_callers_closed") == 1; }));
  CHECK(runUntil([this] { return Server_.responseBytes() == 0; }));
  CHECK_EQUAL(0, Server_.connections());
  Caller_ = asio::ip::tcp::socket(Context_);
  call(request("/look/1", "other"));
  CHECK(runUntilReceived("HTTP/1.1 200"));
}

// A caller that reads gets all of its answers, however many they are.
TEST(GatewayMemory, CallerThatReadsGetsAllAnswers) {
  Server_.setMaxResponseBytes(4 * LargeBodyBytes);
  startTarget([](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket,
             answer(requestIdOf(Request), std::string(LargeBodyBytes, 'x')));
    return true;
  });
  for (std::size_t Index = 0; Index < LargeResponses; ++Index) {
    Received_.clear();
    Caller_ = asio::ip::tcp::socket(Context_);
    call(request("/large/1", "id" + std::to_string(Index)));
    CHECK(runUntil([this] { return Received_.size() > LargeBodyBytes; }));
  }
  CHECK_EQUAL(0, counter("slow_callers_closed"));
  CHECK(runUntil([this] { return Server_.responseBytes() == 0; }));
}

// Guards against answers that are lost without a line that names them: the
// caller of a closed connection knows the ids of its requests only.
TEST(GatewayMemory, LineOfAClosedCallerNamesTheLostAnswers) {
  constexpr std::uint64_t MaxResponseBytes = 5'000'000;
  Server_.setMaxResponseBytes(MaxResponseBytes);
  std::set<std::string> Answered;
  startTarget([&](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const std::string Text =
        answer(requestIdOf(Request), std::string(LargeBodyBytes, 'x'));
    // The host closes the connections of a caller that has been closed.
    asio::error_code Closed;
    asio::write(Socket, asio::buffer(Text), Closed);
    if (!Closed)
      Answered.insert(requestIdOf(Request));
    return true;
  });
  Caller_.open(asio::ip::tcp::v4());
  Caller_.set_option(asio::socket_base::receive_buffer_size(4'096));
  Caller_.connect(localEndpoint(FrontPort));
  const std::string CallerPort =
      std::to_string(Caller_.local_endpoint().port());
  std::string Requests;
  for (std::size_t Index = 0; Index < LargeResponses; ++Index)
    Requests += request("/large/1", "id" + std::to_string(Index));
  sendText(Caller_, Requests);
  CHECK(runUntil([this] { return counter("slow_callers_closed") == 1; }));
  CHECK(runUntil([this] { return Server_.connections() == 0; }));
  const std::string Line = logLine("request slow_caller_closed");
  CHECK_TEXT(Line.find(" address=127.0.0.1:" + CallerPort + " ") !=
                 std::string::npos,
             Line.c_str());
  std::set<std::string> Listed;
  std::istringstream Ids(quotedField(Line, "ids"));
  for (std::string Id; Ids >> Id;)
    Listed.insert(Id);
  CHECK_TEXT(Line.find(" responses=" + std::to_string(Listed.size()) + " ") !=
                 std::string::npos,
             Line.c_str());
  // Each request is in this line or has one of its own.
  for (std::size_t Index = 0; Index < LargeResponses; ++Index) {
    const std::string Id = "id" + std::to_string(Index);
    const bool IsListed = Listed.count(Id) > 0;
    const bool IsGone =
        !logLine(std::string("request caller_gone id=").append(Id).append(" "))
             .empty();
    CHECK_TEXT(IsListed != IsGone,
               std::string(Id).append(": ").append(Line).c_str());
    CHECK(!IsListed || Answered.count(Id) > 0);
  }
}

// Guards against a line that names responses which the caller has read.
TEST(GatewayMemory, LineOfAClosedCallerNamesNoDeliveredAnswer) {
  constexpr std::size_t Delivered = 40;
  Server_.setMaxResponseBytes(5'000'000);
  startTarget([](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const bool IsLarge = Request.starts_with("GET /large/");
    asio::error_code Closed;
    asio::write(
        Socket,
        asio::buffer(answer(requestIdOf(Request),
                            std::string(IsLarge ? LargeBodyBytes : 10, 'x'))),
        Closed);
    return true;
  });
  Caller_.open(asio::ip::tcp::v4());
  Caller_.set_option(asio::socket_base::receive_buffer_size(4'096));
  Caller_.connect(localEndpoint(FrontPort));
  std::array<char, 4'096> Bytes;
  for (std::size_t Index = 0; Index < Delivered; ++Index) {
    sendText(Caller_, request("/look/1", "read" + std::to_string(Index)));
    CHECK(runUntil([this] { return Caller_.available() > 0; }));
    Caller_.read_some(asio::buffer(Bytes));
  }
  std::string Requests;
  for (std::size_t Index = 0; Index < LargeResponses; ++Index)
    Requests += request("/large/1", "id" + std::to_string(Index));
  sendText(Caller_, Requests);
  CHECK(runUntil([this] { return counter("slow_callers_closed") == 1; }));
  const std::string Line = logLine("request slow_caller_closed");
  CHECK_TEXT(Line.find("id0") != std::string::npos, Line.c_str());
  CHECK_TEXT(Line.find("read") == std::string::npos, Line.c_str());
}

// Guards against refused input that cannot be found by its request's id.
TEST(GatewayMemory, LineOfARejectedRequestNamesIt) {
  Server_.setMaxBufferedBytes(1'000);
  call("POST /book/1 HTTP/1.1\r\nHost: h.example\r\n"
       "Kumquatpitch-Request-Id: too-large\r\nContent-Length: 1001\r\n\r\n");
  CHECK_TEXT(runUntilReceived("HTTP/1.1 503"), Received_.c_str());
  CHECK(!logLine("request rejected code=buffers_full id=too-large").empty());
}

// A head that breaks off may have cut the id.
TEST(GatewayMemory, LineOfARejectedRequestNamesNoCutId) {
  call("POST /book/1 HTTP/1.1\r\nHost: h.example\r\n"
       "Kumquatpitch-Request-Id: cut\x01");
  CHECK_TEXT(runUntilReceived("HTTP/1.1 400"), Received_.c_str());
  const std::string Line = logLine("request rejected");
  CHECK_TEXT(Line.ends_with(" code=request_malformed id=none"), Line.c_str());
}

// Guards against an answer that looks complete and has no body, since its
// length exceeds what the host takes.
TEST(GatewayMemory, AnswerLongerThanTheLimitIsAFailure) {
  startTarget([](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    const std::string Text =
        answer(requestIdOf(Request), std::string(MaxAnswerBytes + 1, 'x'));
    // The body comes later.
    sendText(Socket, Text.substr(0, Text.find("\r\n\r\n") + 4));
    return true;
  });
  call(request("/large/1", "id1"));
  CHECK(runUntilReceived("HTTP/1.1 "));
  CHECK_TEXT(Received_.starts_with("HTTP/1.1 502"), Received_.c_str());
}

// Guards against a request that runs without its body, since its length exceeds
// what callers may send.
TEST(GatewayMemory, RequestLongerThanTheLimitIsNotSent) {
  startTarget([](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket, answer(requestIdOf(Request), "ran"));
    return true;
  });
  const std::uint64_t TooMany = CallerLimits().MaxBodyBytes_ + 1;
  call("POST /book/1 HTTP/1.1\r\nHost: h.example\r\n"
       "Kumquatpitch-Request-Id: too-long\r\nContent-Length: " +
       std::to_string(TooMany) + "\r\n\r\n");
  CHECK(runUntilReceived("HTTP/1.1 "));
  CHECK_TEXT(Received_.starts_with("HTTP/1.1 413"), Received_.c_str());
  CHECK_EQUAL(0, Target_->handled());
  CHECK(!logLine("request rejected code=request_body_too_large id=too-long")
             .empty());
}

// Guards against a part of an answer that passes for a whole one, because the
// host closes the connection of a caller that does not read, and the answer has
// no length: the end has to be a reset.
TEST(GatewayMemory, ClosedCallerDoesNotTakeAPartOfAnUnframedAnswerForAll) {
  declareUnframed();
  Server_.setMaxResponseBytes(LargeBodyBytes / 2);
  startTarget([](ScriptedTarget::Socket &Socket, const std::string &Request) {
    if (!hasCompleteHead(Request))
      return false;
    sendText(Socket, "HTTP/1.1 200 OK\r\nKumquatpitch-Request-Id: " +
                         requestIdOf(Request) +
                         "\r\nKumquatpitch-Answer-Signature: s\r\n"
                         "Connection: close\r\n\r\n" +
                         std::string(LargeBodyBytes, 'x'));
    Socket.shutdown(ScriptedTarget::Socket::shutdown_send);
    return true;
  });
  Caller_.open(asio::ip::tcp::v4());
  Caller_.set_option(asio::socket_base::receive_buffer_size(4'096));
  Caller_.connect(localEndpoint(FrontPort));
  sendText(Caller_, request("/large/1", "id1"));
  CHECK(runUntil([this] { return counter("slow_callers_closed") == 1; }));
  CHECK(runUntil([this] { return Server_.connections() == 0; }));
  asio::error_code End;
  asio::read(Caller_, asio::dynamic_buffer(Received_), End);
  CHECK(Received_.size() < LargeBodyBytes);
  CHECK_TEXT(End == asio::error::connection_reset, End.message().c_str());
}
