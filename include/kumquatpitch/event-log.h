// Structured log lines: `TIME LEVEL COMPONENT EVENT key=value...`, written to
// standard output. Lines wait in a bounded buffer and are written only while
// the output is writable, so logging never blocks. Lines beyond the limits are
// dropped, counted, and reported in a later line.

#ifndef KUMQUATPITCH_EVENT_LOG_H
#define KUMQUATPITCH_EVENT_LOG_H

#include "kumquatpitch/logger.h"
#include "kumquatpitch/timer-service.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace kumquatpitch {

/// A key and its value; values are quoted where they hold spaces.
using LogField = std::pair<const char *, std::string>;

class EventLog {
public:
  /// Writes lines of at least level `MinLevel` to the file descriptor
  /// `OutputFd`. Lines beyond the limit per second for their level are dropped.
  EventLog(TimerService &Timers, int OutputFd, LogLevel MinLevel);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  void write(LogLevel Level, const char *Component, const char *Event,
             std::initializer_list<LogField> Fields);

  /// True for MaxSampledLines calls a second. For lines about routine events,
  /// of which a sample is enough; the others are not counted as dropped.
  bool admitSampledLine();

  /// Writes as much of the buffer as the output accepts without blocking.
  void flush();

  std::uint64_t droppedLines() const { return DroppedTotal_; }

private:
  /// Limits per second: `Info` lines, which record routine decisions, and lines
  /// of all other levels.
  static constexpr std::uint32_t MaxInfoLines = 60;
  static constexpr std::uint32_t MaxOtherLines = 120;
  static constexpr std::uint32_t MaxSampledLines = 10;
  static constexpr std::size_t MaxBufferBytes = 65'536;
  static constexpr Duration FlushPeriod = std::chrono::milliseconds(250);

  void updateWindow(TimePoint Now);
  bool admitLine(LogLevel Level, TimePoint Now);
  void append(LogLevel Level, const char *Component, const char *Event,
              std::initializer_list<LogField> Fields);

  TimerService &Timers_;
  const int OutputFd_;
  const LogLevel MinLevel_;
  TimerSubscription Subscription_ = 0;
  std::string Buffer_; ///< Accepts no line once it holds MaxBufferBytes.
  TimePoint WindowStart_;
  std::uint32_t InfoLines_ = 0;
  std::uint32_t OtherLines_ = 0;
  std::uint32_t SampledLines_ = 0;
  /// Lines dropped since the last `lines_left_out` line.
  std::uint64_t DroppedSinceReport_ = 0;
  std::uint64_t DroppedTotal_ = 0;
};

} // namespace kumquatpitch

#endif
