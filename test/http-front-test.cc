// Tests HttpFront over real sockets and threads: each request that it accepts
// is answered.

#include "kumquatpitch/http-front.h"

#include "child-process.h"

#include <array>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

/// Throws for /throw and answers all other requests with their path.
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

  /// Sends a request and returns what was received within 1 s.
  std::string call(const std::string &Path) {
    asio::ip::tcp::socket Caller(Context_);
    Caller.connect({asio::ip::make_address("127.0.0.1"), Port_});
    asio::write(Caller,
                asio::buffer("GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n"));
    std::array<char, 4'096> Buffer;
    std::string Received;
    Caller.async_read_some(asio::buffer(Buffer),
                           [&](const std::error_code &, std::size_t Size) {
                             Received.assign(Buffer.data(), Size);
                           });
    for (int Step = 0; Step < 200 && Received.empty(); ++Step) {
      Context_.restart();
      Context_.run_for(std::chrono::milliseconds(5));
    }
    Caller.close();
    Context_.restart();
    Context_.run_for(std::chrono::milliseconds(5));
    return Received;
  }
};

// Guards against a refusal that claims not-run for a request whose handler
// threw after it may have sent the request.
TEST(HttpFront, RequestWhoseHandlerThrowsMayHaveRun) {
  const std::string Response = call("/throw");
  CHECK(Response.rfind("HTTP/1.1 500", 0) == 0);
  CHECK(Response.find("not-run") == std::string::npos);
  CHECK(call("/next").find("/next") != std::string::npos);
}
