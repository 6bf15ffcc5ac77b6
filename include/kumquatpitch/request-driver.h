// Carries callers' requests through the core: asks HostCore for each step, runs
// attempts with BackendClient and hands the result to the front. Holds the lock
// under which HostCore is called.

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

class RequestDriver : public CallerHandler {
public:
  RequestDriver(HostCore &Core, BackendClient &Backends,
                const TimerService &Timers, PlatformReader &Platform)
      : Core_(Core), Backends_(Backends), Timers_(Timers), Platform_(Platform) {
  }

  std::uint64_t maxBodyBytes(const CustomerName &Customer,
                             std::string_view Method,
                             std::string_view Target) override;
  HttpAnswer handle(const CustomerName &Customer, const HttpRequest &Request,
                    CallerPresence &Presence) override;

  /// Runs `Use` on the core under the lock and carries out the actions that it
  /// gives.
  void drive(const std::function<CoreActions(HostCore &, TimePoint)> &Use);

  /// Runs `Read` on the core under the lock.
  template <class Function> auto read(Function &&Read) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Read(Core_, Timers_.now());
  }

private:
  /// Something to do after the lock is released.
  using Deferred = std::function<void()>;

  /// What a worker waits for, and how its attempt is ended.
  struct Mailbox {
    std::condition_variable Arrived_;
    std::optional<NextStep> Next_;
    AttemptId Attempt_ = 0; ///< 0 while none runs.
    std::shared_ptr<AttemptCanceller> Canceller_;
  };

  HttpAnswer handleAddresses(const CustomerName &Customer,
                             const HttpRequest &Request);
  HttpAnswer handleRequest(const CallerRequest &Caller,
                           const HttpRequest &Request,
                           CallerPresence &Presence);
  AttemptResult runAttempt(FlowId Flow, Mailbox &Box, const AttemptOrder &Order,
                           const HttpRequest &Request);
  NextStep waitForStep(Mailbox &Box);
  std::vector<Deferred> carryOut(const CoreActions &Actions);
  void callPlatform(const PlatformCall &Call);

  HostCore &Core_;
  BackendClient &Backends_;
  const TimerService &Timers_;
  PlatformReader &Platform_;
  std::mutex Mutex_; ///< Guards Core_ and Mailboxes_ with their contents.
  std::map<FlowId, Mailbox> Mailboxes_;
};

/// Reads what the core needs from a caller's request. Fails with
/// RequestMalformed; the message names the header.
Result<CallerRequest> readCallerRequest(const CustomerName &Customer,
                                        const HttpRequest &Request);

} // namespace kumquatpitch

#endif
