// Exchanges the messages that keep the workspaces' limits over the whole fleet:
// drives a LimitPeer with timers, datagrams and the members of the fleet, and
// reports to logs and metrics. Owned by GatewayDaemon, which receives the
// datagrams, where the settings name a window for limits.

#ifndef KUMQUATPITCH_LIMIT_EXCHANGE_H
#define KUMQUATPITCH_LIMIT_EXCHANGE_H

#include "kumquatpitch/admission/limit-peer.h"
#include "kumquatpitch/event-log.h"
#include "kumquatpitch/gateway-core.h"
#include "kumquatpitch/gateway-front.h"
#include "kumquatpitch/gateway-settings.h"
#include "kumquatpitch/peer-channel.h"

#include <asio/io_context.hpp>

namespace kumquatpitch {

/// Everything that LimitExchange uses. All of it outlives it.
struct LimitExchangeDependencies {
  asio::io_context &Context_;
  TimerService &Timers_;
  GatewayCore &Core_;
  GatewayFront &Front_;
  const HostMembership &Membership_;
  PeerChannel &Peers_;
  EventLog &Log_;
  Metrics &Metrics_;
};

class LimitExchange : public TokenNeedSink {
public:
  LimitExchange(LimitExchangeDependencies Dependencies,
                const GatewaySettings &Settings);
  ~LimitExchange() override;
  LimitExchange(const LimitExchange &) = delete;
  LimitExchange &operator=(const LimitExchange &) = delete;

  void tokenNeeded() override;

  /// Handles a message of another host. Returns false for a message of another
  /// kind.
  bool receive(const PeerDatagram &Datagram);

private:
  void tick(TimePoint Now);
  void updateMembers(TimePoint Now);
  void updateLimits(TimePoint Now);
  void send(const std::vector<AddressedLimitMessage> &Messages);
  void report(TimePoint Now);

  LimitExchangeDependencies Dependencies_;
  LimitPeer Peer_;
  TimerSubscription Tick_ = 0;
  std::map<HostId, std::string> Addresses_;
  std::optional<std::uint64_t> AppliedChanges_; ///< Of Membership_.
  std::shared_ptr<const RouteTable> AppliedTable_;
  bool HasLimits_ = false; ///< AppliedTable_ has a workspace with a limit.
  TimePoint ReportedAt_;
  std::optional<HostId> LoggedCoordinator_;
  /// Cleared at the end, for handlers that are still queued then.
  std::shared_ptr<LimitExchange *> Alive_;
  bool IsSendQueued_ = false;
};

} // namespace kumquatpitch

#endif
