// Rate-limited, non-blocking log lines. See event-log.h.

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

/// Unix time in seconds with milliseconds. Log lines use wall-clock time so
/// that lines of several hosts can be compared.
std::string formatWallClock() {
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
  for (const char Char : Value)
    Line += Char == '"' || Char == '\n' || Char == '\r' ? '\'' : Char;
  Line += '"';
}

} // namespace

EventLog::EventLog(TimerService &Timers, int OutputFd, LogLevel MinLevel)
    : Timers_(Timers), OutputFd_(OutputFd), MinLevel_(MinLevel),
      WindowStart_(Timers.now()) {
  Subscription_ =
      Timers_.subscribe(FlushPeriod, [this](TimePoint) { flush(); });
}

EventLog::~EventLog() {
  Timers_.unsubscribe(Subscription_);
  flush();
}

void EventLog::updateWindow(TimePoint Now) {
  if (Now - WindowStart_ < std::chrono::seconds(1))
    return;
  WindowStart_ = Now;
  InfoLines_ = 0;
  OtherLines_ = 0;
  SampledLines_ = 0;
}

bool EventLog::admitSampledLine() {
  updateWindow(Timers_.now());
  return SampledLines_++ < MaxSampledLines;
}

bool EventLog::admitLine(LogLevel Level, TimePoint Now) {
  updateWindow(Now);
  std::uint32_t &Lines = Level == LogLevel::Info ? InfoLines_ : OtherLines_;
  const std::uint32_t MaxLines =
      Level == LogLevel::Info ? MaxInfoLines : MaxOtherLines;
  if (Lines >= MaxLines)
    return false;
  ++Lines;
  return true;
}

void EventLog::write(LogLevel Level, const char *Component, const char *Event,
                     std::initializer_list<LogField> Fields) {
  if (Level < MinLevel_)
    return;
  if (Buffer_.size() >= MaxBufferBytes || !admitLine(Level, Timers_.now())) {
    ++DroppedSinceReport_;
    ++DroppedTotal_;
    return;
  }
  if (DroppedSinceReport_ > 0) {
    const std::uint64_t Count = DroppedSinceReport_;
    DroppedSinceReport_ = 0;
    append(LogLevel::Warning, "log", "lines_left_out",
           {{"count", std::to_string(Count)}});
  }
  append(Level, Component, Event, Fields);
}

void EventLog::append(LogLevel Level, const char *Component, const char *Event,
                      std::initializer_list<LogField> Fields) {
  Buffer_.append(formatWallClock()).append(" ").append(levelName(Level));
  Buffer_.append(" ").append(Component).append(" ").append(Event);
  for (const LogField &Field : Fields) {
    Buffer_.append(" ").append(Field.first).append("=");
    appendValue(Buffer_, Field.second);
  }
  Buffer_ += '\n';
}

void EventLog::flush() {
  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
  while (!Buffer_.empty()) {
    pollfd OutputPoll{OutputFd_, POLLOUT, 0};
    if (poll(&OutputPoll, 1, 0) != 1 || (OutputPoll.revents & POLLOUT) == 0)
      return;
    const std::size_t Size = std::min<std::size_t>(Buffer_.size(), PIPE_BUF);
    const ssize_t Written = ::write(OutputFd_, Buffer_.data(), Size);
    if (Written <= 0) {
      if (errno != EINTR)
        return;
      continue;
    }
    Buffer_.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace kumquatpitch
