// TimerService implementation with Asio. The time includes that in which the
// machine was suspended; Asio's timers do not run meanwhile.

#ifndef KUMQUATPITCH_ASIO_TIMER_SERVICE_H
#define KUMQUATPITCH_ASIO_TIMER_SERVICE_H

#include "kumquatpitch/timer-service.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>

namespace kumquatpitch {

/// Callbacks run on a thread that runs the io_context, never inside
/// subscribe(). Thread-safe.
class AsioTimerService : public TimerService {
public:
  explicit AsioTimerService(asio::io_context &Context) : Context_(Context) {}

  TimePoint now() const override;
  TimerSubscription subscribe(Duration Period,
                              std::function<void(TimePoint)> Callback) override;
  void unsubscribe(TimerSubscription Subscription) override;

private:
  struct Entry {
    Entry(asio::io_context &Context, Duration Period,
          std::function<void(TimePoint)> Callback)
        : Timer_(Context), Period_(Period), Callback_(std::move(Callback)) {}

    asio::steady_timer Timer_;
    Duration Period_;
    std::function<void(TimePoint)> Callback_;
  };

  void scheduleNext(TimerSubscription Id,
                    const std::shared_ptr<Entry> &Subscriber);

  asio::io_context &Context_;
  std::mutex Mutex_;
  TimerSubscription NextId_ = 1;
  std::map<TimerSubscription, std::shared_ptr<Entry>> Entries_;
};

} // namespace kumquatpitch

#endif
