// Tests HttpServer over real sockets: each request that it accepts gets its
// response, in the order of the requests.

#include "kumquatpitch/http-server.h"
#include "kumquatpitch/run-loop.h"

#include "child-process.h"

#include <array>
#include <asio/write.hpp>
#include <functional>
#include <stdexcept>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

HttpMessage textResponse(int Status, const std::string &Text) {
  HttpMessage Response;
  Response.Status_ = Status;
  Response.Body_ = Text;
  return Response;
}

constexpr std::size_t LargeBytes = 8 << 20;

/// Answers a request for /later after the next one, throws for /throw, answers
/// one for /large with LargeBytes, and all others at once with their path.
class PathHandler : public HttpHandler {
public:
  void handle(std::shared_ptr<HttpExchange> Exchange) override {
    const std::string Path = Exchange->request().Target_;
    if (Path == "/throw")
      throw std::runtime_error("handler failed");
    if (Path == "/later") {
      Held_ = std::move(Exchange);
      return;
    }
    Exchange->answer(textResponse(
        200, Path == "/large" ? std::string(LargeBytes, 'x') : Path));
  }

  HttpMessage reject(ResultCode Code) override {
    return textResponse(httpStatus(Code), resultCodeName(Code));
  }

  std::shared_ptr<HttpExchange> Held_;
};

std::string requestFor(const std::string &Path, const std::string &Headers) {
  return "POST " + Path + " HTTP/1.1\r\nHost: h\r\n" + Headers + "\r\n";
}

} // namespace

TEST_GROUP(HttpServer) {
  asio::io_context Context_;
  PathHandler Handler_;
  HttpServer Server_{Context_, Handler_};
  asio::ip::tcp::socket Caller_{Context_};
  std::array<char, 4'096> Buffer_;
  std::string Received_;
  std::vector<asio::ip::tcp::socket> OtherCallers_;
  std::uint16_t Port_ = 0;
  int HandlersFailed_ = 0;

  void setup() override {
    const std::uint16_t Port =
        static_cast<std::uint16_t>(kumquatpitch::test::freePort());
    const bool IsListening = handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(Server_.listen(Endpoint{"127.0.0.1", Port}, 10));
          return true;
        },
        [](const Failure &) { return false; });
    CHECK(IsListening);
    Caller_.connect({asio::ip::make_address("127.0.0.1"), Port});
    readResponses();
    Port_ = Port;
  }

  /// Sends on a new connection instead of the current one, which stays open.
  void sendOnNewConnection(const std::string &Bytes) {
    OtherCallers_.push_back(std::move(Caller_));
    Caller_ = asio::ip::tcp::socket(Context_);
    Caller_.connect({asio::ip::make_address("127.0.0.1"), Port_});
    Received_.clear();
    readResponses();
    send(Bytes);
  }

  void readResponses() {
    Caller_.async_read_some(
        asio::buffer(Buffer_),
        [this](const asio::error_code &Error, std::size_t Size) {
          Received_.append(Buffer_.data(), Size);
          if (!Error)
            readResponses();
        });
  }

  void send(const std::string &Bytes) {
    asio::write(Caller_, asio::buffer(Bytes));
  }

  /// Runs until the caller has received `Text`, for at most 1 s.
  bool runUntilReceived(const std::string &Text) {
    for (int Step = 0; Step < 200; ++Step) {
      Context_.restart();
      try {
        Context_.run_for(std::chrono::milliseconds(5));
      } catch (const std::runtime_error &) {
        ++HandlersFailed_;
      }
      if (Received_.find(Text) != std::string::npos)
        return true;
    }
    return false;
  }
};

// Guards against a request that is never answered because its handler throws,
// and against requests behind it that wait for ever.
TEST(HttpServer, RequestWhoseHandlerThrowsIsAnswered) {
  send(requestFor("/first", "Content-Length: 0\r\n") +
       requestFor("/throw", "Content-Length: 0\r\n") +
       requestFor("/third", "Content-Length: 0\r\n"));
  CHECK(runUntilReceived("/third"));
  CHECK(Received_.find("/first") < Received_.find("HTTP/1.1 500"));
  CHECK(Received_.find("HTTP/1.1 500") < Received_.find("/third"));
  runUntilReceived("none");
  CHECK_EQUAL(1, HandlersFailed_);
}

// Guards against a caller that waits for 100 Continue for ever, because the
// head came while the request before it had no response yet.
TEST(HttpServer, ContinueFollowsTheResponseBeforeIt) {
  send(requestFor("/later", "Content-Length: 0\r\n") +
       requestFor("/body", "Content-Length: 4\r\nExpect: 100-continue\r\n"));
  CHECK_FALSE(runUntilReceived("HTTP/1.1"));
  Handler_.Held_->answer(textResponse(200, "later"));
  CHECK(runUntilReceived("100 Continue"));
  CHECK(Received_.find("later") < Received_.find("100 Continue"));
  send("four");
  CHECK(runUntilReceived("/body"));
}

// Guards against a process that ends because the bodies of several requests,
// each within its limit, exceed the host's memory together.
TEST(HttpServer, BodiesBeyondTheMemoryForThemAreRefused) {
  Server_.setMaxBufferedBytes(1'000);
  const std::string Body(800, 'b');
  send(requestFor("/later", "Content-Length: 800\r\n") + Body);
  CHECK_FALSE(runUntilReceived("HTTP/1.1"));
  CHECK_EQUAL(800, Server_.bufferedBytes());
  // Refused as soon as the length is known.
  sendOnNewConnection(requestFor("/second", "Content-Length: 800\r\n"));
  CHECK(runUntilReceived("HTTP/1.1 503"));
  CHECK(Received_.find("buffers_full") != std::string::npos);
  // Chunked bodies are refused when they exceed it.
  sendOnNewConnection(requestFor("/third", "Transfer-Encoding: chunked\r\n") +
                      "320\r\n" + Body);
  CHECK(runUntilReceived("HTTP/1.1 503"));
  // Requests without a body are served.
  sendOnNewConnection(requestFor("/fourth", "Content-Length: 0\r\n"));
  CHECK(runUntilReceived("/fourth"));
  Handler_.Held_->answer(textResponse(200, "later"));
  CHECK_EQUAL(0, Server_.bufferedBytes());
  sendOnNewConnection(requestFor("/fifth", "Content-Length: 800\r\n") + Body);
  CHECK(runUntilReceived("/fifth"));
  CHECK_EQUAL(0, Server_.bufferedBytes());
}

// Guards against bytes that stay counted after their caller has left.
TEST(HttpServer, BodyOfACallerThatLeavesIsNoLongerCounted) {
  send(requestFor("/body", "Content-Length: 800\r\n") + "part");
  CHECK_FALSE(runUntilReceived("HTTP/1.1"));
  CHECK_EQUAL(800, Server_.bufferedBytes());
  Caller_.close();
  runUntilReceived("none");
  CHECK_EQUAL(0, Server_.bufferedBytes());
}

// Guards against a request inside the body of one that is too long: the body
// must not be read as further requests.
TEST(HttpServer, BodyBeyondTheLimitIsNotReadAsRequests) {
  CallerLimits Limits;
  Limits.MaxBodyBytes_ = 100;
  Server_.setLimits(Limits);
  sendOnNewConnection(requestFor("/long", "Content-Length: 5000\r\n") +
                      requestFor("/inside", "Content-Length: 0\r\n"));
  CHECK(runUntilReceived("HTTP/1.1 413"));
  CHECK(Received_.find("/long") == std::string::npos);
  CHECK(Received_.find("/inside") == std::string::npos);
}

TEST_GROUP_BASE(HttpServerSlowCaller, TEST_GROUP_CppUTestGroupHttpServer) {
  asio::ip::tcp::socket Slow_{Context_};

  void callForALargeResponse() {
    Server_.setWriteTimeout(std::chrono::milliseconds(300));
    Slow_.open(asio::ip::tcp::v4());
    Slow_.set_option(asio::socket_base::receive_buffer_size(65'536));
    Slow_.connect({asio::ip::make_address("127.0.0.1"), Port_});
    asio::write(Slow_,
                asio::buffer(requestFor(
                    "/large", "Connection: close\r\nContent-Length: 0\r\n")));
    Slow_.non_blocking(true);
  }

  /// Runs the server for a moment.
  void runServer() {
    Context_.restart();
    Context_.run_for(std::chrono::milliseconds(10));
  }
};

// Guards against cutting a large response, inside its caller's time, because
// the whole of it takes longer than a write may stand still.
TEST(HttpServerSlowCaller, ResponseIsWrittenAsLongAsTheCallerReads) {
  callForALargeResponse();
  std::string Part(32'768, '\0');
  std::size_t Total = 0;
  for (int Step = 0; Step < 1'000 && Total < LargeBytes; ++Step) {
    runServer();
    asio::error_code Error;
    Total += Slow_.read_some(asio::buffer(Part), Error);
    if (Error && Error != asio::error::would_block)
      break;
  }
  CHECK(Total >= LargeBytes);
}

// Guards against a connection that is held for a caller that does not read.
TEST(HttpServerSlowCaller, ResponseThatNobodyReadsIsCut) {
  callForALargeResponse();
  const auto IsCut = [&] {
    return Server_.connections() == 1; // That of the fixture.
  };
  runServer();
  CHECK_FALSE(IsCut());
  for (int Step = 0; Step < 200 && !IsCut(); ++Step)
    runServer();
  CHECK(IsCut());
}
