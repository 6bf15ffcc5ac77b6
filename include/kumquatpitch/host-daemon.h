// The daemon of a host: builds HostCore, its sockets and its timers from the
// settings and runs until a graceful stop has completed.

#ifndef KUMQUATPITCH_HOST_DAEMON_H
#define KUMQUATPITCH_HOST_DAEMON_H

#include "kumquatpitch/asio-timer-service.h"
#include "kumquatpitch/backend-client.h"
#include "kumquatpitch/glog-logger.h"
#include "kumquatpitch/host-core.h"
#include "kumquatpitch/http-front.h"
#include "kumquatpitch/http-platform-reader.h"
#include "kumquatpitch/nng-transport.h"
#include "kumquatpitch/operator-endpoint.h"
#include "kumquatpitch/request-driver.h"
#include "kumquatpitch/settings.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace kumquatpitch {

/// Forwards messages to a transport that is opened after the core is
/// constructed, since the transport's callback needs the core. Until then, and
/// after close(), send() returns false.
class DeferredPeerTransport : public PeerTransport {
public:
  bool send(const Endpoint &Peer, const std::string &Message) override {
    return Transport_ && Transport_->send(Peer, Message);
  }

  void open(std::unique_ptr<NngTransport> Transport) {
    Transport_ = std::move(Transport);
  }
  void close() { Transport_.reset(); }

private:
  std::unique_ptr<NngTransport> Transport_;
};

/// The process of one host; also the source of its operator endpoint's data.
class HostDaemon : private OperatorView {
public:
  explicit HostDaemon(Settings Config);
  ~HostDaemon() override;
  HostDaemon(const HostDaemon &) = delete;
  HostDaemon &operator=(const HostDaemon &) = delete;

  /// Runs until SIGTERM or SIGINT starts a graceful stop and that stop has
  /// completed. Fails with SettingsInvalid when a port cannot be bound.
  Result<void> run();

private:
  bool ready() override;
  std::string metricsText() override;
  HostStatus status() override;

  Result<void> openPeerTransport();
  void tick(TimePoint Now);
  void beginStop();

  const Settings Settings_;
  asio::io_context Context_;
  AsioTimerService Timers_;
  GlogLogger Log_;
  SeededRandom Random_;
  DeferredPeerTransport PeerTransport_;
  HostCore Core_;
  BackendClient Backends_;
  /// Reset before Driver_ is destroyed.
  std::unique_ptr<HttpPlatformReader> Platform_;
  RequestDriver Driver_;
  HttpFront Front_;
  OperatorEndpoint Operators_;
  asio::signal_set Signals_;
  /// When a graceful stop ends even if requests are still in progress.
  TimePoint StopDeadline_ = TimePoint::max();
};

} // namespace kumquatpitch

#endif
