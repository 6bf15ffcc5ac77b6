// Read-only HTTP server for operators, on a separate port. Every answer comes
// from an OperatorView, and no request changes the host's state.

#ifndef KUMQUATPITCH_OPERATOR_ENDPOINT_H
#define KUMQUATPITCH_OPERATOR_ENDPOINT_H

#include "kumquatpitch/host-status.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/result.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
} // namespace httplib

namespace kumquatpitch {

/// State of the host that the endpoint serves. The functions are called from
/// several threads at once.
class OperatorView {
public:
  virtual ~OperatorView() = default;

  /// False while the host is leaving or has no configuration.
  virtual bool ready() = 0;

  /// Metrics in Prometheus text exposition format.
  virtual std::string metricsText() = 0;

  virtual HostStatus status() = 0;
};

/// Serves `/health`, `/ready`, `/metrics` and `/status`. Each connection
/// carries one request. At most four connections are read or answered at once
/// and at most four more are queued; further ones wait in the backlog of the
/// listening socket.
class OperatorEndpoint {
public:
  /// `View` must outlive the endpoint.
  explicit OperatorEndpoint(OperatorView &View);
  ~OperatorEndpoint();
  OperatorEndpoint(const OperatorEndpoint &) = delete;
  OperatorEndpoint &operator=(const OperatorEndpoint &) = delete;

  /// Listens on `Address`; port 0 selects a free one. Fails with
  /// SettingsInvalid when the address cannot be bound. Call it only once.
  Result<void> start(const Endpoint &Address);

  /// Port listened on; 0 before start().
  std::uint16_t port() const { return Port_; }

  /// Stops the server after the requests in progress; takes at most a few
  /// seconds.
  void stop();

private:
  void addRoutes();

  OperatorView &View_;
  std::unique_ptr<httplib::Server> Server_;
  std::uint16_t Port_ = 0;
  std::atomic<bool> HasListenerEnded_ = false;
  std::thread Listener_;
};

} // namespace kumquatpitch

#endif
