// Time types of the core: durations in microseconds and points on the host's
// monotonic clock, which also counts time in which the host was suspended. The
// core receives the time from its callers and never reads a clock.

#ifndef KUMQUATPITCH_TIME_POINT_H
#define KUMQUATPITCH_TIME_POINT_H

#include <chrono>
#include <cstdint>

namespace kumquatpitch {

/// A span of time in microseconds.
using Duration = std::chrono::microseconds;

/// Tag type of the host's monotonic clock. It has no `now`: time comes from a
/// TimerService, so that tests can control it.
struct HostClock {
  using rep = Duration::rep;       // NOLINT(readability-identifier-naming)
  using period = Duration::period; // NOLINT(readability-identifier-naming)
  using duration = Duration;       // NOLINT(readability-identifier-naming)
};

/// A point on the host's monotonic clock. Points of two hosts, or of two
/// incarnations of one host, must not be compared.
using TimePoint = std::chrono::time_point<HostClock, Duration>;

/// Whole milliseconds of `Span`, rounded down.
inline std::int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

inline double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// `Seconds` as whole microseconds, rounded towards zero.
inline Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace kumquatpitch

#endif
