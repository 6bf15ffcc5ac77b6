// Structured log lines on standard output: `TIME LEVEL PART EVENT
// key=value...`. Lines wait in a bounded buffer and are written only while the
// output takes them, so logging never blocks; what is left out is counted and
// told.

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
  /// Writes to the descriptor `Output`. Lines of one second beyond the bound of
  /// their level are left out.
  EventLog(TimerService &Timers, int Output, LogLevel Least);
  ~EventLog();
  EventLog(const EventLog &) = delete;
  EventLog &operator=(const EventLog &) = delete;

  void write(LogLevel Level, const char *Part, const char *Event,
             std::initializer_list<LogField> Fields);

  /// Writes what the output takes now.
  void flush();

  std::uint64_t leftOut() const { return LeftOutTotal_; }

private:
  /// Lines of one second: decisions in the ordinary course, and the rest.
  static constexpr std::uint32_t MaxInfoLines = 60;
  static constexpr std::uint32_t MaxOtherLines = 120;
  static constexpr std::size_t MaxBufferBytes = 65'536;
  static constexpr Duration FlushPeriod = std::chrono::milliseconds(250);

  bool hasRoom(LogLevel Level, TimePoint Now);
  void append(LogLevel Level, const char *Part, const char *Event,
              std::initializer_list<LogField> Fields);

  TimerService &Timers_;
  const int Output_;
  const LogLevel Least_;
  TimerSubscription Subscription_ = 0;
  std::string Buffer_; ///< At most MaxBufferBytes.
  TimePoint SecondBegan_;
  std::uint32_t InfoLines_ = 0;
  std::uint32_t OtherLines_ = 0;
  std::uint64_t LeftOut_ = 0; ///< Since the last line that told the count.
  std::uint64_t LeftOutTotal_ = 0;
};

} // namespace kumquatpitch

#endif
