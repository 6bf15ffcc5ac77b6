// Bounded, non-blocking log lines. See event-log.h.

#include "kumquatpitch/event-log.h"

#include <cerrno>
#include <chrono>
#include <climits>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace kumquatpitch {

namespace {

const char *levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "unknown";
}

/// Time of day, for comparing lines of several hosts.
std::string wallTime() {
  const std::int64_t Ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  constexpr std::int64_t MsPerSecond = 1'000;
  char Text[40];
  std::snprintf(Text, sizeof Text, "%lld.%03lld",
                static_cast<long long>(Ms / MsPerSecond),
                static_cast<long long>(Ms % MsPerSecond));
  return Text;
}

void appendValue(std::string &Line, const std::string &Value) {
  if (!Value.empty() && Value.find_first_of(" \"=\n\r") == std::string::npos) {
    Line += Value;
    return;
  }
  Line += '"';
  for (const char Each : Value)
    Line += Each == '"' || Each == '\n' || Each == '\r' ? '\'' : Each;
  Line += '"';
}

} // namespace

EventLog::EventLog(TimerService &Timers, int Output, LogLevel Least)
    : Timers_(Timers), Output_(Output), Least_(Least),
      SecondBegan_(Timers.now()) {
  Subscription_ =
      Timers_.subscribe(FlushPeriod, [this](TimePoint) { flush(); });
}

EventLog::~EventLog() {
  Timers_.unsubscribe(Subscription_);
  flush();
}

bool EventLog::hasRoom(LogLevel Level, TimePoint Now) {
  if (Now - SecondBegan_ >= std::chrono::seconds(1)) {
    SecondBegan_ = Now;
    InfoLines_ = 0;
    OtherLines_ = 0;
  }
  std::uint32_t &Lines = Level == LogLevel::Info ? InfoLines_ : OtherLines_;
  const std::uint32_t Most =
      Level == LogLevel::Info ? MaxInfoLines : MaxOtherLines;
  if (Lines >= Most)
    return false;
  ++Lines;
  return true;
}

void EventLog::write(LogLevel Level, const char *Part, const char *Event,
                     std::initializer_list<LogField> Fields) {
  if (Level < Least_)
    return;
  if (Buffer_.size() >= MaxBufferBytes || !hasRoom(Level, Timers_.now())) {
    ++LeftOut_;
    ++LeftOutTotal_;
    return;
  }
  if (LeftOut_ > 0) {
    const std::uint64_t Count = LeftOut_;
    LeftOut_ = 0;
    append(LogLevel::Warning, "log", "lines_left_out",
           {{"count", std::to_string(Count)}});
  }
  append(Level, Part, Event, Fields);
}

void EventLog::append(LogLevel Level, const char *Part, const char *Event,
                      std::initializer_list<LogField> Fields) {
  Buffer_.append(wallTime()).append(" ").append(levelName(Level));
  Buffer_.append(" ").append(Part).append(" ").append(Event);
  for (const LogField &Each : Fields) {
    Buffer_.append(" ").append(Each.first).append("=");
    appendValue(Buffer_, Each.second);
  }
  Buffer_ += '\n';
}

void EventLog::flush() {
  // A pipe that polls as writable takes PIPE_BUF bytes without blocking.
  while (!Buffer_.empty()) {
    pollfd Ready{Output_, POLLOUT, 0};
    if (poll(&Ready, 1, 0) != 1 || (Ready.revents & POLLOUT) == 0)
      return;
    const std::size_t Size = std::min<std::size_t>(Buffer_.size(), PIPE_BUF);
    const ssize_t Written = ::write(Output_, Buffer_.data(), Size);
    if (Written <= 0) {
      if (errno != EINTR)
        return;
      continue;
    }
    Buffer_.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace kumquatpitch
