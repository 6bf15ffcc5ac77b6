// Drives callers' requests: takes each next step from HostCore, runs attempts
// with BackendClient and returns the answer to HttpFront. Owns the mutex that
// serializes all calls of HostCore.

#ifndef KUMQUATPITCH_REQUEST_DRIVER_H
#define KUMQUATPITCH_REQUEST_DRIVER_H

#include "kumquatpitch/backend-client.h"
#include "kumquatpitch/host-core.h"
#include "kumquatpitch/http-front.h"
#include "kumquatpitch/platform-reader.h"
#include "kumquatpitch/timer-service.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>

namespace kumquatpitch {

/// Handles callers' requests on the worker threads of HttpFront.
class RequestDriver : public CallerHandler {
public:
  RequestDriver(HostCore &Core, BackendClient &Backends,
                const TimerService &Timers, PlatformReader &Platform)
      : Core_(Core), Backends_(Backends), Timers_(Timers), Platform_(Platform) {
  }

  std::uint64_t maxBodyBytes(const CustomerName &Customer,
                             std::string_view Method,
                             std::string_view Target) override;
  HttpResponse handle(const CustomerName &Customer, const HttpRequest &Request,
                      CallerPresence &Presence) override;

  /// Calls `Operation` on the core under the lock and executes the actions that
  /// it returns.
  void
  runOnCore(const std::function<CoreActions(HostCore &, TimePoint)> &Operation);

  /// Returns the result of `Query`, called on the core under the lock.
  template <class Function> auto queryCore(Function &&Query) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Query(Core_, Timers_.now());
  }

private:
  /// Work that is done after the lock is released.
  using Deferred = std::function<void()>;

  /// A request that a worker thread is handling: the next step it waits for,
  /// and the running attempt with its canceller.
  struct ActiveRequest {
    std::condition_variable StepReady_;
    std::optional<NextStep> Next_;
    AttemptId Attempt_ = 0; ///< 0 while no attempt runs.
    std::shared_ptr<AttemptCanceller> Canceller_;
  };

  HttpResponse handleAddresses(const CustomerName &Customer,
                               const HttpRequest &Request);
  HttpResponse handleRequest(const CallerRequest &Caller,
                             const HttpRequest &Request,
                             CallerPresence &Presence);
  AttemptResult runAttempt(FlowId Flow, ActiveRequest &Active,
                           const AttemptOrder &Order,
                           const HttpRequest &Request);
  NextStep waitForStep(ActiveRequest &Active);
  /// Executes actions while Mutex_ is held. Returns those that must run after
  /// it is released.
  std::vector<Deferred> execute(const CoreActions &Actions);
  void callPlatform(const PlatformCall &Call);

  HostCore &Core_;
  BackendClient &Backends_;
  const TimerService &Timers_;
  PlatformReader &Platform_;
  std::mutex Mutex_; ///< Guards Core_ and ActiveRequests_ with their contents.
  std::map<FlowId, ActiveRequest> ActiveRequests_;
};

/// Extracts from a caller's request what the core needs. Fails with
/// RequestMalformed; the message names the invalid header.
Result<CallerRequest> readCallerRequest(const CustomerName &Customer,
                                        const HttpRequest &Request);

} // namespace kumquatpitch

#endif
