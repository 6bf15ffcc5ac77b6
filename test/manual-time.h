// Timer service whose clock the test advances by hand.

#ifndef KUMQUATPITCH_MANUAL_TIME_H
#define KUMQUATPITCH_MANUAL_TIME_H

#include "kumquatpitch/timer-service.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace kumquatpitch::test {

/// The time point `Ms` milliseconds after the clock's epoch.
inline TimePoint atMs(std::int64_t Ms) {
  return TimePoint(std::chrono::milliseconds(Ms));
}

inline Duration ms(std::int64_t Count) {
  return std::chrono::milliseconds(Count);
}

/// Time moves only in advance() and pause(). advance() calls subscribers in the
/// order of their due times.
class ManualTimerService : public TimerService {
public:
  TimePoint now() const override { return Now_; }

  TimerSubscription
  subscribe(Duration Period, std::function<void(TimePoint)> Callback) override {
    const TimerSubscription Id = NextId_++;
    Entries_.emplace(Id, Entry{Period, Now_ + Period, std::move(Callback)});
    return Id;
  }

  void unsubscribe(TimerSubscription Subscription) override {
    Entries_.erase(Subscription);
  }

  /// Advances time by `Span` and calls each subscriber that falls due, with the
  /// clock set to its due time.
  void advance(Duration Span) {
    const TimePoint End = Now_ + Span;
    while (Entry *Next = earliestDueBy(End)) {
      Now_ = Next->Due_;
      Next->Due_ += Next->Period_;
      const std::function<void(TimePoint)> Callback = Next->Callback_;
      Callback(Now_);
    }
    Now_ = End;
  }

  /// Simulates a pause of the process: nothing runs for `Span`, and afterwards
  /// each subscriber that fell due is called once, late.
  void pause(Duration Span) {
    Now_ += Span;
    std::vector<std::function<void(TimePoint)>> LateCallbacks;
    for (std::pair<const TimerSubscription, Entry> &Subscriber : Entries_) {
      if (Subscriber.second.Due_ > Now_)
        continue;
      Subscriber.second.Due_ = Now_ + Subscriber.second.Period_;
      LateCallbacks.push_back(Subscriber.second.Callback_);
    }
    for (const std::function<void(TimePoint)> &Callback : LateCallbacks)
      Callback(Now_);
  }

private:
  struct Entry {
    Duration Period_;
    TimePoint Due_;
    std::function<void(TimePoint)> Callback_;
  };

  Entry *earliestDueBy(TimePoint End) {
    Entry *Earliest = nullptr;
    for (std::pair<const TimerSubscription, Entry> &Candidate : Entries_)
      if (Candidate.second.Due_ <= End &&
          (!Earliest || Candidate.second.Due_ < Earliest->Due_))
        Earliest = &Candidate.second;
    return Earliest;
  }

  TimePoint Now_{};
  TimerSubscription NextId_ = 1;
  std::map<TimerSubscription, Entry> Entries_;
};

} // namespace kumquatpitch::test

#endif
