// Timers with Asio. See asio-timer-service.h.

#include "kumquatpitch/asio-timer-service.h"

#include <ctime>

namespace kumquatpitch {

/// The steady clock of the standard library stops while the machine is
/// suspended, and would make what is known look more recent than it is.
TimePoint AsioTimerService::now() const {
  std::timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

TimerSubscription
AsioTimerService::subscribe(Duration Period,
                            std::function<void(TimePoint)> Callback) {
  const std::shared_ptr<Entry> Subscriber =
      std::make_shared<Entry>(Context_, Period, std::move(Callback));
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const TimerSubscription Id = NextId_++;
  Entries_.emplace(Id, Subscriber);
  scheduleNext(Id, Subscriber);
  return Id;
}

void AsioTimerService::unsubscribe(TimerSubscription Subscription) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  const std::map<TimerSubscription, std::shared_ptr<Entry>>::iterator It =
      Entries_.find(Subscription);
  if (It == Entries_.end())
    return;
  It->second->Timer_.cancel();
  Entries_.erase(It);
}

void AsioTimerService::scheduleNext(TimerSubscription Id,
                                    const std::shared_ptr<Entry> &Subscriber) {
  Subscriber->Timer_.expires_after(Subscriber->Period_);
  Subscriber->Timer_.async_wait(
      [this, Id, Subscriber](const std::error_code &Error) {
        if (Error)
          return;
        // Scheduled first: the callback may throw.
        const TimePoint Now = now();
        {
          const std::lock_guard<std::mutex> Lock(Mutex_);
          if (Entries_.count(Id))
            scheduleNext(Id, Subscriber);
        }
        Subscriber->Callback_(Now);
      });
}

} // namespace kumquatpitch
