// HTTP server for operators on a port of its own. It only reads: every answer
// comes from an OperatorView, and no request changes the host.

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

/// What a host shows its operators. The endpoint calls it from several threads
/// at once.
class OperatorView {
public:
  virtual ~OperatorView() = default;

  /// False while the host is leaving or has no configuration.
  virtual bool ready() = 0;

  /// Prometheus text exposition.
  virtual std::string metricsText() = 0;

  virtual HostStatus status() = 0;
};

/// Serves `/health`, `/ready`, `/metrics` and `/status`. Each connection
/// carries one request; at most four are read or answered at once, and further
/// ones wait in the listening socket.
class OperatorEndpoint {
public:
  /// `View` outlives the endpoint.
  explicit OperatorEndpoint(OperatorView &View);
  ~OperatorEndpoint();
  OperatorEndpoint(const OperatorEndpoint &) = delete;
  OperatorEndpoint &operator=(const OperatorEndpoint &) = delete;

  /// Listens on `Address`; port 0 takes a free one. Fails with SettingsInvalid
  /// when the address cannot be bound. Called once.
  Result<void> start(const Endpoint &Address);

  /// Port listened on; 0 before start().
  std::uint16_t port() const { return Port_; }

  /// Ends after requests in progress; at most a few seconds.
  void stop();

private:
  void addRoutes();

  OperatorView &View_;
  std::unique_ptr<httplib::Server> Server_;
  std::uint16_t Port_ = 0;
  std::atomic<bool> HasEnded_ = false;
  std::thread Listener_;
};

} // namespace kumquatpitch

#endif
