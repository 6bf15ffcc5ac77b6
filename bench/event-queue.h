// Virtual time for benchmarks: events run in order of time, and in order of
// scheduling at equal times.

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

class EventQueue {
public:
  TimePoint now() const { return Now_; }

  void after(Duration Span, std::function<void()> Run) {
    Events_.push({Now_ + Span, NextOrder_++, std::move(Run)});
  }

  /// Runs all events up to `End`.
  void runUntil(TimePoint End) {
    while (!Events_.empty() && Events_.top().At_ <= End) {
      const Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      Next.Run_();
    }
    Now_ = End;
  }

private:
  struct Event {
    TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Run_;

    bool operator<(const Event &Other) const {
      return std::pair(Other.At_, Other.Order_) < std::pair(At_, Order_);
    }
  };

  TimePoint Now_{};
  std::uint64_t NextOrder_ = 0;
  std::priority_queue<Event> Events_;
};

/// Exponentially distributed span.
inline Duration exponential(RandomSource &Random, double MeanMicroseconds) {
  constexpr double Range = 18446744073709551616.0; // 2^64
  const double Unit = (static_cast<double>(Random.next()) + 0.5) / Range;
  return Duration(
      static_cast<Duration::rep>(-std::log(Unit) * MeanMicroseconds) + 1);
}

} // namespace kumquatpitch::bench

#endif
