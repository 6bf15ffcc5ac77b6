// Tests HttpFront over real sockets and threads: each request that it accepts
// is answered.

#include "kumquatpitch/http-front.h"

#include "child-process.h"

#include <algorithm>
#include <array>
#include <asio/write.hpp>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

/// More than the buffers of a connection hold.
constexpr std::size_t LargeBodyBytes = 16 << 20;

/// Throws for /throw, answers /large with LargeBodyBytes, and all other
/// requests with their path.
class PathHandler : public CallerHandler {
public:
  std::uint64_t maxBodyBytes(const CustomerName &, std::string_view,
                             std::string_view) override {
    return 100;
  }

  HttpResponse handle(const CustomerName &, const HttpRequest &Request,
                      CallerPresence &) override {
    if (Request.Target_ == "/throw")
      throw std::runtime_error("handler failed");
    if (Request.Target_ == "/large")
      return HttpResponse{200, "OK", {}, std::string(LargeBodyBytes, 'b')};
    return HttpResponse{200, "OK", {}, Request.Target_};
  }
};

} // namespace

TEST_GROUP(HttpFront) {
  asio::io_context Context_;
  PathHandler Handler_;
  HttpFront Front_{Context_, Handler_, FrontLimits()};
  std::uint16_t Port_ =
      static_cast<std::uint16_t>(kumquatpitch::test::freePort());

  void setup() override {
    const bool IsListening = handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(Front_.listen(CustomerName("imigongo"),
                                         Endpoint{"127.0.0.1", Port_}));
          return true;
        },
        [](const Failure &) { return false; });
    CHECK(IsListening);
  }

  asio::ip::tcp::socket connect(const std::string &Path) {
    asio::ip::tcp::socket Caller(Context_);
    Caller.connect({asio::ip::make_address("127.0.0.1"), Port_});
    asio::write(Caller,
                asio::buffer("GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n"));
    return Caller;
  }

  void readInto(asio::ip::tcp::socket & Caller, std::string & Received) {
    Caller.async_read_some(asio::buffer(Buffer_),
                           [&](const std::error_code &Error, std::size_t Size) {
                             Received.append(Buffer_.data(), Size);
                             if (!Error)
                               readInto(Caller, Received);
                           });
  }

  /// Runs until `IsDone` returns true, for at most 2 s.
  bool runUntil(const std::function<bool()> &IsDone) {
    for (int Step = 0; Step < 400 && !IsDone(); ++Step) {
      Context_.restart();
      Context_.run_for(std::chrono::milliseconds(5));
    }
    return IsDone();
  }

  /// Sends a request and returns its response.
  std::string call(const std::string &Path) {
    asio::ip::tcp::socket Caller = connect(Path);
    std::string Received;
    readInto(Caller, Received);
    runUntil([&] { return !Received.empty(); });
    Caller.close();
    runUntil([&] { return Front_.connections() == 0; });
    return Received;
  }

  std::array<char, 65'536> Buffer_;
};

// Guards against a refusal that claims not-run for a request whose handler
// threw after it may have sent the request.
TEST(HttpFront, RequestWhoseHandlerThrowsMayHaveRun) {
  const std::string Response = call("/throw");
  CHECK(Response.rfind("HTTP/1.1 500", 0) == 0);
  CHECK(Response.find("not-run") == std::string::npos);
  CHECK(call("/next").find("/next") != std::string::npos);
}

// Guards against a planned stop that ends the process while an answer is being
// written: the host waits until no connection is busy.
TEST(HttpFront, ConnectionIsBusyUntilItsAnswerHasBeenWritten) {
  asio::ip::tcp::socket Caller = connect("/large");
  CHECK(runUntil([&] { return Front_.busyConnections() == 1; }));
  CHECK(runUntil([&] { return Front_.busyWorkers() == 0; }));
  Front_.stopAccepting();
  Context_.restart();
  Context_.run_for(std::chrono::milliseconds(100));
  CHECK_EQUAL(1, Front_.busyConnections());
  std::string Received;
  readInto(Caller, Received);
  CHECK(runUntil([&] { return Received.size() > LargeBodyBytes; }));
  Caller.close();
  CHECK(runUntil([&] { return Front_.busyConnections() == 0; }));
}

// Guards against answers of callers that do not read, which fill the host's
// memory, and against failing those of callers that do.
TEST(HttpFront, AnswersThatAreNotReadAreBounded) {
  constexpr std::size_t SlowCallers = 10;
  constexpr std::size_t MaxHeldBytes = (64 << 20) + 2 * LargeBodyBytes;
  std::vector<asio::ip::tcp::socket> Callers;
  std::size_t MostHeld = 0;
  for (std::size_t Index = 0; Index < SlowCallers; ++Index) {
    Callers.push_back(connect("/large"));
    runUntil([&] { return Front_.busyWorkers() > 0; });
    CHECK(runUntil([&] { return Front_.busyWorkers() == 0; }));
    runUntil([&, Turns = 0]() mutable { return ++Turns > 4; });
    MostHeld = std::max(MostHeld, Front_.heldBytes());
  }
  CHECK_TEXT(MostHeld <= MaxHeldBytes, std::to_string(MostHeld).c_str());
  asio::ip::tcp::socket Reader = connect("/large");
  std::string Received;
  readInto(Reader, Received);
  CHECK(runUntil([&] { return Received.size() > LargeBodyBytes; }));
}
