// Tests of a daemon's event loop.

#include "kumquatpitch/run-loop.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <stdexcept>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(RunLoop) {
  asio::io_context Context_;
  std::string Failures_;
  const HandlerFailed OnFailure_ = [this](const char *Text) {
    Failures_ += Text;
  };
};

// Guards against one malformed message or unexpected error that ends the
// process.
TEST(RunLoop, HandlersAfterOneThatThrowsAreRun) {
  bool HasRun = false;
  asio::post(Context_, [] { throw std::runtime_error("unexpected"); });
  asio::post(Context_, [&] { HasRun = true; });
  runUntilStopped(Context_, OnFailure_);
  CHECK(HasRun);
  STRCMP_EQUAL("unexpected", Failures_.c_str());
}

// Guards against requests that are cut off because they were received when the
// loop stopped.
TEST(RunLoop, ReadyHandlersRunAfterAStop) {
  bool HasRun = false;
  asio::post(Context_, [this] { Context_.stop(); });
  asio::post(Context_, [this, &HasRun] {
    Context_.stop();
    asio::post(Context_, [&HasRun] { HasRun = true; });
  });
  runUntilStopped(Context_, OnFailure_);
  CHECK_FALSE(HasRun);
  runReadyHandlers(Context_, std::chrono::seconds(1), OnFailure_);
  CHECK(HasRun);
  CHECK(Context_.stopped());
}

// Guards against a stop that waits for a timer.
TEST(RunLoop, TimersThatAreNotDueDoNotDelayAStop) {
  asio::steady_timer Timer(Context_, std::chrono::hours(1));
  Timer.async_wait([](const asio::error_code &) {});
  runReadyHandlers(Context_, std::chrono::seconds(60), OnFailure_);
  CHECK(Context_.stopped());
}
