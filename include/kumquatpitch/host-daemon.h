// The daemon of an entry host: builds the core and the io around it from
// settings, and runs until the planned stop is done.

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

/// Passes messages on to a transport that is opened later than the core is
/// made, since its callback needs the core.
class PeerLink : public PeerTransport {
public:
  bool send(const Endpoint &Peer, const std::string &Message) override {
    return Open_ && Open_->send(Peer, Message);
  }

  void open(std::unique_ptr<NngTransport> Transport) {
    Open_ = std::move(Transport);
  }
  void close() { Open_.reset(); }

private:
  std::unique_ptr<NngTransport> Open_;
};

class HostDaemon : private OperatorView {
public:
  explicit HostDaemon(Settings Given);
  ~HostDaemon() override;
  HostDaemon(const HostDaemon &) = delete;
  HostDaemon &operator=(const HostDaemon &) = delete;

  /// Runs until SIGTERM or SIGINT and the end of the planned stop. Fails with
  /// SettingsInvalid when a port cannot be bound.
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
  PeerLink Link_;
  HostCore Core_;
  BackendClient Backends_;
  std::unique_ptr<HttpPlatformReader> Platform_; ///< Ends before Driver_.
  RequestDriver Driver_;
  HttpFront Front_;
  OperatorEndpoint Operators_;
  asio::signal_set Signals_;
  TimePoint StopAt_ = TimePoint::max(); ///< When a planned stop is cut short.
};

} // namespace kumquatpitch

#endif
