// The daemon of a gateway host. It connects GatewayCore, GatewayFront, the
// store and the host's peers, sends and receives datagrams, handles signals and
// runs the planned stop. Owned by the gateway command. Runs on one thread.

#ifndef KUMQUATPITCH_GATEWAY_DAEMON_H
#define KUMQUATPITCH_GATEWAY_DAEMON_H

#include "kumquatpitch/asio-timer-service.h"
#include "kumquatpitch/config-proof-updater.h"
#include "kumquatpitch/gateway-platform.h"
#include "kumquatpitch/gateway-settings.h"
#include "kumquatpitch/host-membership.h"
#include "kumquatpitch/limit-exchange.h"
#include "kumquatpitch/peer-channel.h"
#include "kumquatpitch/peer-reports.h"
#include "kumquatpitch/stop-schedule.h"
#include "kumquatpitch/store-follower.h"
#include "kumquatpitch/store-read-log.h"

#include <array>
#include <asio/ip/udp.hpp>
#include <asio/signal_set.hpp>

namespace kumquatpitch {

class GatewayDaemon {
public:
  GatewayDaemon(GatewaySettings Settings, std::string SettingsFile,
                const GatewayPlatform &Platform);
  ~GatewayDaemon();

  /// Serves until a planned stop has finished. Fails if one of the ports cannot
  /// be opened.
  Result<void> run();

private:
  class DirectoryHandler;
  class MetricsHandler;

  Result<void> listen();
  void awaitSignal();
  void receiveDatagram();
  void handleDatagram(const std::string &Bytes,
                      const std::string &SenderAddress);
  void handlerFailed(const char *Text);
  void send(const std::vector<OutgoingProbe> &Probes);
  void tick();
  void startRead(const ReadRequest &Order, TimePoint Now);
  void onReadEnded(const ReadRequest &Order, const PublishedRead &Read);
  void apply(const FollowResult &Result);
  void updateCallerHosts();
  void updateState();
  /// Reads the settings file again and applies its seeds; all other settings
  /// need a restart. Unless `IsSignalled`, does nothing if the seeds are the
  /// same.
  void checkSettings(bool IsSignalled);
  void beginStop();
  void continueStop(TimePoint Now);
  bool canServe() const;
  bool isReady() const;

  const GatewaySettings Settings_;
  const std::string SettingsFile_;
  std::vector<Endpoint> Seeds_;
  const GatewayPlatform &Platform_;
  asio::io_context Context_;
  AsioTimerService Timers_;
  EventLog Log_;
  StoreReadLog StoreReadLog_{Log_};
  SeededRandom Random_;
  Metrics Metrics_;
  HttpClient TargetClient_;
  HttpClient StoreClient_;
  std::unique_ptr<PublishedStateReader> Store_;
  HostMembership Membership_;
  StoreFollower Follower_;
  GatewayCore Core_;
  GatewayFront Front_;
  std::unique_ptr<DirectoryHandler> DirectoryHandler_;
  std::unique_ptr<MetricsHandler> MetricsHandler_;
  HttpServer FrontServer_;
  HttpServer ReadyServer_;
  HttpServer DirectoryServer_;
  HttpServer MetricsServer_;
  asio::ip::udp::socket Datagrams_;
  PeerChannel Peers_;
  PeerReports Reports_;
  std::unique_ptr<LimitExchange> Limits_; ///< Null where no limits are kept.
  ConfigProofUpdater ConfigProof_;
  asio::ip::udp::endpoint Sender_;
  std::array<char, 2'048> DatagramBuffer_;
  asio::signal_set Signals_;
  /// Value of Membership_.changes() last applied.
  std::uint64_t AppliedMembershipChanges_ = 0;
  std::optional<StopSchedule> Stop_; ///< Set during a planned stop.
};

} // namespace kumquatpitch

#endif
