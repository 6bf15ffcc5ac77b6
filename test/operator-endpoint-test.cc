// Tests of the operator endpoint over loopback connections.

#include "kumquatpitch/operator-endpoint.h"

#include "sample-status.h"

#include <asio.hpp>
#include <atomic>
#include <httplib.h>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::sampleStatus;

namespace {

class FakeView : public OperatorView {
public:
  bool ready() override { return IsReady_; }
  std::string metricsText() override {
    if (ThrowsOnMetrics_)
      throw std::runtime_error("broken view");
    return "up 1\n";
  }
  HostStatus status() override { return sampleStatus("h-1"); }

  std::atomic<bool> IsReady_ = true;
  std::atomic<bool> ThrowsOnMetrics_ = false;
};

const Endpoint AnyPort{"127.0.0.1", 0};

} // namespace

TEST_GROUP(OperatorEndpoint) {
  FakeView View_;
  std::optional<OperatorEndpoint> Endpoint_;

  void setup() override {
    Endpoint_.emplace(View_);
    CHECK(!!Endpoint_->start(AnyPort));
  }
  void teardown() override { Endpoint_.reset(); }

  httplib::Result get(const char *Path) {
    httplib::Client Client("127.0.0.1", Endpoint_->port());
    Client.set_read_timeout(5);
    return Client.Get(Path);
  }
};

TEST(OperatorEndpoint, ServesEachPath) {
  CHECK_EQUAL(200, get("/health")->status);
  STRCMP_EQUAL("up 1\n", get("/metrics")->body.c_str());
  CHECK(parseHostStatus(get("/status")->body).value() == sampleStatus("h-1"));
  CHECK_EQUAL(404, get("/other")->status);
}

// Guards against a host that reports ready while it shuts down.
TEST(OperatorEndpoint, ReadyReflectsTheHost) {
  CHECK_EQUAL(200, get("/ready")->status);
  View_.IsReady_ = false;
  CHECK_EQUAL(503, get("/ready")->status);
  CHECK_EQUAL(200, get("/health")->status);
}

TEST(OperatorEndpoint, ExceptionAnswersInternalError) {
  View_.ThrowsOnMetrics_ = true;
  CHECK_EQUAL(500, get("/metrics")->status);
  CHECK_EQUAL(200, get("/health")->status);
}

// Guards against idle keep-alive connections that occupy every thread of the
// pool.
TEST(OperatorEndpoint, ClosesTheConnectionAfterEachAnswer) {
  httplib::Client Client("127.0.0.1", Endpoint_->port());
  Client.set_keep_alive(true);
  STRCMP_EQUAL("close",
               Client.Get("/health")->get_header_value("Connection").c_str());
}

// Guards against connections that send nothing and thereby block operators.
TEST(OperatorEndpoint, SilentConnectionsDoNotBlockOthers) {
  asio::io_context Context;
  std::vector<asio::ip::tcp::socket> SilentConnections;
  const asio::ip::tcp::endpoint Server(asio::ip::address_v4::loopback(),
                                       Endpoint_->port());
  for (int Index = 0; Index < 8; ++Index)
    SilentConnections.emplace_back(Context).connect(Server);
  const httplib::Result Answer = get("/health");
  CHECK(Answer);
  CHECK_EQUAL(200, Answer->status);
}

// Guards against callers that send a head without end, which fills the host's
// memory.
TEST(OperatorEndpoint, EndlessHeadIsCutOff) {
  constexpr std::size_t MaxBytes = 64 << 20;
  const std::string Filler(1'000, 'f');
  for (const std::string &Block : {"X-Filler: " + Filler + "\r\n", Filler}) {
    asio::io_context Context;
    asio::ip::tcp::socket Caller(Context);
    Caller.connect({asio::ip::address_v4::loopback(), Endpoint_->port()});
    asio::error_code Error;
    std::size_t Written = asio::write(
        Caller, asio::buffer(std::string("GET /health HTTP/1.1\r\nX-A: ")),
        Error);
    while (!Error && Written < MaxBytes)
      Written += asio::write(Caller, asio::buffer(Block), Error);
    CHECK_TEXT(Written < MaxBytes / 2, std::to_string(Written).c_str());
  }
  CHECK_EQUAL(200, get("/health")->status);
}

// Guards against a stack overflow: the HTTP library matches a range with a
// recursive function.
TEST(OperatorEndpoint, LongRangeDoesNotEndTheProcess) {
  constexpr std::size_t Ranges = 15'000;
  std::string Value = "bytes=0-0";
  for (std::size_t Index = 0; Index < Ranges; ++Index)
    Value += ",0-0";
  httplib::Client Client("127.0.0.1", Endpoint_->port());
  for (const std::size_t Size : {1'000, 7'000, 14'000, 60'000})
    Client.Get("/health", {{"Range", Value.substr(0, Size + 1)}});
  CHECK_EQUAL(200, get("/health")->status);
}

// Guards against callers that send a byte now and then and thereby occupy every
// thread of the pool.
TEST(OperatorEndpoint, SlowHeadsDoNotBlockOthers) {
  asio::io_context Context;
  std::vector<asio::ip::tcp::socket> SlowCallers;
  const asio::ip::tcp::endpoint Server(asio::ip::address_v4::loopback(),
                                       Endpoint_->port());
  for (int Index = 0; Index < 8; ++Index)
    SlowCallers.emplace_back(Context).connect(Server);
  std::atomic<bool> HasEnded = false;
  std::thread Sender([&] {
    const std::string Part = "G";
    while (!HasEnded) {
      asio::error_code Ignored;
      for (asio::ip::tcp::socket &Caller : SlowCallers)
        asio::write(Caller, asio::buffer(Part), Ignored);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  const httplib::Result Answer = get("/health");
  HasEnded = true;
  Sender.join();
  CHECK(Answer);
  CHECK_EQUAL(200, Answer->status);
}

// Guards against two daemons that silently share one port.
TEST(OperatorEndpoint, RefusesAPortInUse) {
  OperatorEndpoint Second(View_);
  const ResultCode Code = handleFailure(
      [&]() -> Result<ResultCode> {
        Result<void> Started = Second.start({"127.0.0.1", Endpoint_->port()});
        if (!Started)
          return Started.error();
        return ResultCode::Ok;
      },
      [](const Failure &Cause) { return Cause.Code_; });
  CHECK(Code == ResultCode::SettingsInvalid);
}

// Guards against a stop() that is called before the accept loop runs and then
// waits forever.
TEST(OperatorEndpoint, StopsImmediatelyAfterStart) {
  for (int Round = 0; Round < 20; ++Round) {
    OperatorEndpoint ShortLived(View_);
    CHECK(!!ShortLived.start(AnyPort));
    ShortLived.stop();
  }
}
