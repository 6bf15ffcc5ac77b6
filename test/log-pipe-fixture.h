// A pipe that an EventLog writes to. Used by the tests of log lines.

#ifndef KUMQUATPITCH_LOG_PIPE_FIXTURE_H
#define KUMQUATPITCH_LOG_PIPE_FIXTURE_H

#include "kumquatpitch/event-log.h"

#include "manual-time.h"

#include <array>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace kumquatpitch::test {

TEST_BASE(LogPipeFixture) {
  ManualTimerService Timers_;
  std::array<int, 2> Pipe_{};

  void setup() override { CHECK_EQUAL(0, pipe(Pipe_.data())); }
  void teardown() override {
    close(Pipe_[0]);
    close(Pipe_[1]);
  }

  /// Lines that have been flushed; waits until there are some.
  std::string readOutput() {
    std::array<char, 200'000> Bytes;
    const ssize_t Size = read(Pipe_[0], Bytes.data(), Bytes.size());
    return std::string(Bytes.data(), Size > 0 ? Size : 0);
  }

  std::string flushAndRead(EventLog & Log) {
    Log.flush();
    return readOutput();
  }
};

} // namespace kumquatpitch::test

#endif
