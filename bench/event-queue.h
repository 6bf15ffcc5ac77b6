// Virtual time for benchmarks. Events run in order of time; events at the same
// time run in the order in which they were scheduled.

#ifndef KUMQUATPITCH_EVENT_QUEUE_H
#define KUMQUATPITCH_EVENT_QUEUE_H

#include "kumquatpitch/random-source.h"
#include "kumquatpitch/time-point.h"

#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace kumquatpitch::bench {

/// Virtual clock that advances to the time of each event as it runs.
class EventQueue {
public:
  TimePoint now() const { return Now_; }

  /// Schedules a callback after a delay from the current virtual time.
  void after(Duration Delay, std::function<void()> Callback) {
    Events_.push({Now_ + Delay, NextSequence_++, std::move(Callback)});
  }

  /// Runs all events up to and including `End`, and sets the clock to `End`.
  void runUntil(TimePoint End) {
    while (!Events_.empty() && Events_.top().Time_ <= End) {
      const Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.Time_;
      Next.Callback_();
    }
    Now_ = End;
  }

private:
  struct Event {
    TimePoint Time_;
    std::uint64_t Sequence_;
    std::function<void()> Callback_;

    /// Inverted, because std::priority_queue has the largest element on top.
    bool operator<(const Event &Other) const {
      return std::pair(Other.Time_, Other.Sequence_) <
             std::pair(Time_, Sequence_);
    }
  };

  TimePoint Now_{};
  std::uint64_t NextSequence_ = 0;
  std::priority_queue<Event> Events_;
};

/// Draws an exponentially distributed duration of at least 1 us.
inline Duration exponential(RandomSource &Random, double MeanMicroseconds) {
  constexpr double Range = 18446744073709551616.0; // 2^64
  const double Uniform = (static_cast<double>(Random.next()) + 0.5) / Range;
  return Duration(
      static_cast<Duration::rep>(-std::log(Uniform) * MeanMicroseconds) + 1);
}

} // namespace kumquatpitch::bench

#endif
