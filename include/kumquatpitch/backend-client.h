// Runs attempts at backend servers with cpp-httplib and pools idle connections
// by address. Reports how each attempt ended; retries and the choice of the
// target are decided by HostCore.

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
  HttpResponse Answer_;

  bool operator==(const AttemptResult &) const = default;
};

/// Cancels a running attempt from another thread.
class AttemptCanceller {
public:
  /// Ends the attempt now, or prevents its start. Only the first call's reason
  /// is kept. While the connection is being opened, only MayWrite can end the
  /// attempt. Do not call this while holding a lock that MayWrite takes.
  void cancel(AttemptEnd Reason);

private:
  friend class BackendClient;

  /// Returns false when cancel() was already called.
  bool attach(detail::BackendConnection *Connection);
  /// Returns the reason given to cancel(), or Answered when it was not called.
  AttemptEnd detach();

  std::mutex Mutex_;
  detail::BackendConnection *Connection_ = nullptr; ///< Set during an attempt.
  AttemptEnd Reason_ = AttemptEnd::Answered;
};

/// HTTP client with a connection pool for each address. Thread-safe.
class BackendClient {
public:
  explicit BackendClient(const TimerService &Timers);
  ~BackendClient();
  BackendClient(const BackendClient &) = delete;
  BackendClient &operator=(const BackendClient &) = delete;

  /// Sends the request and waits for the whole answer. `MayWrite` is called
  /// immediately before the first byte is written; if it returns false, the
  /// attempt ends with NotWritten.
  AttemptResult run(const AttemptOrder &Order, const HttpRequest &Request,
                    const std::function<bool()> &MayWrite,
                    AttemptCanceller &Canceller);

  /// Closes the idle connections to an address; those in use are closed after
  /// their attempt instead of returning to the pool.
  void closeIdleConnections(const Endpoint &Address);

  /// Number of idle connections over all addresses.
  std::size_t idleConnections() const;

private:
  struct ConnectionPool {
    std::vector<std::unique_ptr<detail::BackendConnection>> Idle_;
    std::uint64_t Generation_ = 0; ///< Incremented by closeIdleConnections().
  };

  /// Takes an idle connection from the pool or creates one.
  std::unique_ptr<detail::BackendConnection> acquire(const AttemptOrder &Order);
  /// Returns a connection to the pool, or closes it when it belongs to an old
  /// generation, is closed or used up, or `MaxIdle` connections are idle
  /// already.
  void release(std::unique_ptr<detail::BackendConnection> Connection,
               std::size_t MaxIdle);

  const TimerService &Timers_;
  mutable std::mutex Mutex_;
  std::map<Endpoint, ConnectionPool> Pools_;
};

} // namespace kumquatpitch

#endif
