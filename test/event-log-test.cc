// Tests the format of log lines, the limit of lines per second, and that
// logging never blocks.

#include "log-pipe-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(EventLog, LogPipeFixture){};

TEST(EventLog, ValuesWithSpecialCharactersAreQuoted) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  Log.write(LogLevel::Warning, "request", "refused",
            {{"id", "9c41"}, {"detail", "no \"room\"\nleft"}});
  Log.flush();
  const std::string Line = readOutput();
  CHECK(Line.find(" warning request refused id=9c41 "
                  "detail=\"no 'room''left\"\n") != std::string::npos);
}

TEST(EventLog, LinesOverTheRateLimitAreDroppedAndCounted) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  for (int Count = 0; Count < 1'000; ++Count)
    Log.write(LogLevel::Info, "request", "waits", {});
  CHECK_EQUAL(940, Log.droppedLines());
  Timers_.advance(ms(1'000));
  Log.write(LogLevel::Info, "request", "waits", {});
  Log.flush();
  CHECK(readOutput().find("lines_left_out count=940") != std::string::npos);
}

// Guards against logs that grow with the number of ordinary requests.
TEST(EventLog, SampledLinesAreLimitedAndNotCountedAsDropped) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  for (int Second = 0; Second < 2; ++Second) {
    int Admitted = 0;
    for (int Count = 0; Count < 100; ++Count)
      Admitted += Log.admitSampledLine() ? 1 : 0;
    CHECK_EQUAL(10, Admitted);
    Timers_.advance(ms(1'000));
  }
  CHECK_EQUAL(0, Log.droppedLines());
}

// Guards against a host that blocks in logging because nobody reads its output.
TEST(EventLog, FullOutputDoesNotBlock) {
  EventLog Log(Timers_, Pipe_[1], LogLevel::Info);
  for (int Second = 0; Second < 200; ++Second) {
    for (int Count = 0; Count < 100; ++Count)
      Log.write(LogLevel::Error, "part", "event",
                {{"text", std::string(100, 'x')}});
    Timers_.advance(ms(1'000));
  }
  CHECK(Log.droppedLines() > 0);
}
