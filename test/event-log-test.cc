// Log lines: bounded for each second, and never blocking.

#include "kumquatpitch/event-log.h"

#include "manual-time.h"

#include <array>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(EventLog) {
  ManualTimerService Timers_;
  std::array<int, 2> Pipe_{};

  void setup() override { CHECK_EQUAL(0, pipe(Pipe_.data())); }
  void teardown() override {
    close(Pipe_[0]);
    close(Pipe_[1]);
  }

  std::string written() {
    std::array<char, 200'000> Bytes;
    const ssize_t Size = read(Pipe_[0], Bytes.data(), Bytes.size());
    return std::string(Bytes.data(), Size > 0 ? Size : 0);
  }
};

TEST(EventLog, LinesHoldKeysAndQuotedValues) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  Log.write(LogLevel::Warning, "request", "refused",
            {{"id", "9c41"}, {"detail", "no \"room\"\nleft"}});
  Log.flush();
  const std::string Line = written();
  CHECK(Line.find(" warning request refused id=9c41 "
                  "detail=\"no 'room''left\"\n") != std::string::npos);
}

TEST(EventLog, LinesOfASecondAreBoundedAndCounted) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  for (int Count = 0; Count < 1'000; ++Count)
    Log.write(LogLevel::Info, "request", "waits", {});
  CHECK_EQUAL(940, Log.leftOut());
  Timers_.advance(ms(1'000));
  Log.write(LogLevel::Info, "request", "waits", {});
  Log.flush();
  CHECK(written().find("lines_left_out count=940") != std::string::npos);
}

// Guards against a reader of the output that has stopped stopping the host.
TEST(EventLog, FullOutputDoesNotBlock) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  for (int Second = 0; Second < 200; ++Second) {
    for (int Count = 0; Count < 100; ++Count)
      Log.write(LogLevel::Error, "part", "event",
                {{"text", std::string(100, 'x')}});
    Timers_.advance(ms(1'000));
  }
  CHECK(Log.leftOut() > 0);
}
