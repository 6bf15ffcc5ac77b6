// The daemon of a gateway host: wires core, front, store and peers together,
// and carries datagrams, signals and the planned stop. Owned by the gateway
// command. Runs on one thread.

#ifndef KUMQUATPITCH_GATEWAY_DAEMON_H
#define KUMQUATPITCH_GATEWAY_DAEMON_H

#include "kumquatpitch/asio-timer-service.h"
#include "kumquatpitch/gateway-platform.h"
#include "kumquatpitch/gateway-settings.h"
#include "kumquatpitch/host-membership.h"
#include "kumquatpitch/peer-datagram.h"
#include "kumquatpitch/store-follower.h"

#include <array>
#include <asio/ip/udp.hpp>
#include <asio/signal_set.hpp>

namespace kumquatpitch {

class GatewayDaemon : public EvidenceSink {
public:
  GatewayDaemon(GatewaySettings Settings, std::string SettingsFile,
                const GatewayPlatform &Platform);
  ~GatewayDaemon() override;

  /// Serves until a planned stop is done. Fails when a port cannot be listened
  /// at.
  Result<void> run();

  void evidence(const TargetEntry &Target, TargetNews News) override;

private:
  class DirectoryHandler;
  class MetricsHandler;

  Result<void> listen();
  void awaitSignal();
  void receiveDatagram();
  void handleDatagram(const std::string &Bytes);
  void send(const std::string &Address, const PeerDatagram &Message);
  void sendBytes(const std::string &Address, const std::string &Bytes);
  void send(const std::vector<OutgoingProbe> &Probes);
  void sendToOwnDomain(const PeerDatagram &Message);
  void tick();
  void order(const ReadOrder &What);
  void readEnded(const ReadOrder &What, const PublishedRead &Read);
  void apply(const FollowResult &Result);
  void passOn(const ProgressMessage &Message);
  void tellOwnDomain(const EvidenceMessage &Message);
  void updateGroups();
  void tellTallies(TimePoint Now);
  void updateState();
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
  SeededRandom Random_;
  Metrics Metrics_;
  HttpClient TargetClient_;
  HttpClient StoreClient_;
  std::unique_ptr<PublishedStateReader> Store_;
  HostMembership Membership_;
  StoreFollower Follower_;
  GatewayCore Core_;
  GatewayFront Front_;
  std::unique_ptr<DirectoryHandler> Directory_;
  std::unique_ptr<MetricsHandler> MetricsPage_;
  HttpServer FrontServer_;
  HttpServer ReadyServer_;
  HttpServer DirectoryServer_;
  HttpServer MetricsServer_;
  asio::ip::udp::socket Datagrams_;
  asio::ip::udp::endpoint Sender_;
  std::array<char, 2'048> DatagramBuffer_;
  asio::signal_set Signals_;
  /// Addresses of the other hosts that callers of a service are told to use.
  std::map<ServiceName, std::vector<std::string>> GroupAddresses_;
  std::uint64_t MembersSeen_ = 0;      ///< Membership_.changes() last applied.
  std::map<TargetId, TimePoint> Told_; ///< Evidence that was told recently.
  std::optional<TimePoint> StopBegan_;
  bool HadStore_ = true; ///< The last read of the store succeeded.
};

} // namespace kumquatpitch

#endif
