// Runs attempts at backend servers with cpp-httplib and keeps connections for
// each address. Reports what happened; decides nothing about retries or
// targets.

#ifndef KUMQUATPITCH_BACKEND_CLIENT_H
#define KUMQUATPITCH_BACKEND_CLIENT_H

#include "kumquatpitch/attempt.h"
#include "kumquatpitch/http-message.h"
#include "kumquatpitch/timer-service.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace kumquatpitch {

namespace detail {
class BackendConnection;
} // namespace detail

/// Result of one attempt. The answer is set only when End_ is Answered or
/// Refused.
struct AttemptResult {
  AttemptReport Report_;
  HttpAnswer Answer_;

  bool operator==(const AttemptResult &) const = default;
};

/// Ends a running attempt from another thread.
class AttemptCanceller {
public:
  /// Ends the attempt now, or before it starts. The reason of the first call
  /// holds. While the connection is being made it is MayWrite that ends the
  /// attempt. Not to be called under a lock that MayWrite takes.
  void cancel(AttemptEnd Reason);

private:
  friend class BackendClient;

  /// False when cancel() was called before.
  bool attach(detail::BackendConnection *Connection);
  /// The reason of cancel(), or Answered when it was not called.
  AttemptEnd detach();

  std::mutex Mutex_;
  detail::BackendConnection *Connection_ = nullptr; ///< While one is running.
  AttemptEnd Reason_ = AttemptEnd::Answered;
};

/// Safe to use from several threads.
class BackendClient {
public:
  explicit BackendClient(const TimerService &Timers);
  ~BackendClient();
  BackendClient(const BackendClient &) = delete;
  BackendClient &operator=(const BackendClient &) = delete;

  /// Sends the request and waits for the whole answer. `MayWrite` is asked
  /// directly before the first byte; false ends the attempt with NotWritten.
  AttemptResult run(const AttemptOrder &Order, const HttpRequest &Request,
                    const std::function<bool()> &MayWrite,
                    AttemptCanceller &Canceller);

  /// Closes idle connections to an address and marks those in use, so that they
  /// are not kept.
  void closeKept(const Endpoint &Address);

  /// Connections that are idle now, over all addresses.
  std::size_t idleConnections() const;

private:
  struct Kept {
    std::vector<std::unique_ptr<detail::BackendConnection>> Idle_;
    std::uint64_t Generation_ = 0; ///< Grows with closeKept().
  };

  std::unique_ptr<detail::BackendConnection> take(const AttemptOrder &Order);
  void give(std::unique_ptr<detail::BackendConnection> Connection,
            std::size_t MaxKept);

  const TimerService &Timers_;
  mutable std::mutex Mutex_;
  std::map<Endpoint, Kept> Kept_;
};

} // namespace kumquatpitch

#endif
