// A timer service whose time the test owns.

#ifndef KUMQUATPITCH_MANUAL_TIME_H
#define KUMQUATPITCH_MANUAL_TIME_H

#include "kumquatpitch/timer-service.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace kumquatpitch::test {

/// A point `Ms` milliseconds after the clock's start.
inline TimePoint atMs(std::int64_t Ms) {
  return TimePoint(std::chrono::milliseconds(Ms));
}

inline Duration ms(std::int64_t Count) {
  return std::chrono::milliseconds(Count);
}

/// Time moves only by advance(); subscribers are called in order of time.
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

  /// Moves time by `Span` and calls what falls due, each at its own time.
  void advance(Duration Span) {
    const TimePoint End = Now_ + Span;
    while (Entry *Due = earliest(End)) {
      Now_ = Due->Due_;
      Due->Due_ += Due->Period_;
      const std::function<void(TimePoint)> Callback = Due->Callback_;
      Callback(Now_);
    }
    Now_ = End;
  }

  /// Moves time as a pause of the process does: nothing runs meanwhile, and
  /// each subscriber that fell due is called once, late.
  void pause(Duration Span) {
    Now_ += Span;
    std::vector<std::function<void(TimePoint)>> Late;
    for (std::pair<const TimerSubscription, Entry> &Each : Entries_) {
      if (Each.second.Due_ > Now_)
        continue;
      Each.second.Due_ = Now_ + Each.second.Period_;
      Late.push_back(Each.second.Callback_);
    }
    for (const std::function<void(TimePoint)> &Callback : Late)
      Callback(Now_);
  }

private:
  struct Entry {
    Duration Period_;
    TimePoint Due_;
    std::function<void(TimePoint)> Callback_;
  };

  Entry *earliest(TimePoint End) {
    Entry *Best = nullptr;
    for (std::pair<const TimerSubscription, Entry> &Each : Entries_)
      if (Each.second.Due_ <= End && (!Best || Each.second.Due_ < Best->Due_))
        Best = &Each.second;
    return Best;
  }

  TimePoint Now_{};
  TimerSubscription NextId_ = 1;
  std::map<TimerSubscription, Entry> Entries_;
};

} // namespace kumquatpitch::test

#endif
