// All decisions of one daemon. Io hands it events with the time and carries out
// the actions that it gives back. Many can live in one process. Not
// synchronized: the owner calls it from one thread at a time.

#ifndef KUMQUATPITCH_HOST_CORE_H
#define KUMQUATPITCH_HOST_CORE_H

#include "kumquatpitch/address-answer.h"
#include "kumquatpitch/config-sync.h"
#include "kumquatpitch/core-action.h"
#include "kumquatpitch/host-fault-monitor.h"
#include "kumquatpitch/host-list.h"
#include "kumquatpitch/host-status.h"
#include "kumquatpitch/logger.h"
#include "kumquatpitch/metrics.h"
#include "kumquatpitch/peer-exchange.h"
#include "kumquatpitch/peer-view.h"
#include "kumquatpitch/random-source.h"
#include "kumquatpitch/request-flow.h"
#include "kumquatpitch/service-runtime.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch {

/// What a daemon knows of itself from its settings.
struct HostIdentity {
  HostId Id_;
  Region Region_;
  FailureDomain Domain_;
  Incarnation Incarnation_ = 0;
  Endpoint PeerAddress_;                ///< Where this host hears its peers.
  std::vector<Endpoint> Seeds_;         ///< Peers that the settings name.
  std::vector<CustomerName> Customers_; ///< Served by this host.

  bool operator==(const HostIdentity &) const = default;
};

/// Services that the core is driven through; they outlive it.
struct HostServices {
  RandomSource &Random_;
  Logger &Log_;
  PeerTransport &Transport_;
};

class HostCore {
public:
  HostCore(HostIdentity Self, HostServices Services, TimePoint Start);

  /// Takes the reply to a PlatformCall.
  CoreActions onPlatformReply(const PlatformReply &Reply, TimePoint Now);

  /// Largest body of a request on a route of the contract, in bytes; 0 when
  /// there is no such route.
  std::uint64_t maxBodyBytes(const CustomerName &Customer,
                             std::string_view Method,
                             std::string_view Target) const;

  /// Decides on a new request.
  FlowStep admit(const CallerRequest &Request, TimePoint Now);

  CoreActions finishAttempt(FlowId Flow, const AttemptReport &Report,
                            TimePoint Now);
  CoreActions abandon(FlowId Flow, TimePoint Now);
  bool mayWrite(FlowId Flow, TimePoint Now) const;

  /// Takes a message that came from an IP address.
  CoreActions receivePeer(std::string_view Bytes, const std::string &Sender,
                          TimePoint Now);

  /// To be called every TickPeriod.
  CoreActions tick(TimePoint Now);

  /// Which hosts to use. Fails with ServiceUnknown or NotReady.
  Result<AddressAnswer> addresses(const CustomerName &Customer,
                                  const ServiceName &Service, TimePoint Now);

  /// True when the host has the newest configuration that it heard of, may use
  /// its slots and is not leaving.
  bool isReady(TimePoint Now) const;
  bool isLeaving() const { return IsLeaving_; }

  /// Starts a planned stop.
  void beginStop(TimePoint Now);
  /// True when no caller can need this host any more.
  bool mayStop(TimePoint Now) const;

  std::size_t requestsInProgress() const { return Flow_.inProgress(); }

  /// Report for operators.
  HostStatus status(TimePoint Now) const;
  std::string metricsText(TimePoint Now) const;

private:
  using ServiceMap = std::map<ServiceName, std::shared_ptr<ServiceRuntime>>;

  CoreActions applyConfig(const ConfigActions &Changes, TimePoint Now);
  void noteHostList(TimePoint Now);
  void renewServices(TimePoint Now);
  void tickConfig(CoreActions &Actions, TimePoint Now);
  void renewPeers();
  void sendHeartbeats(TimePoint Now);
  void evaluateTargets(CoreActions &Actions, TimePoint Now);
  void askForQuota(ServiceRuntime &Service, TimePoint Now);
  void reportTargets(TimePoint Now);
  void tellGroup(const ServiceRuntime &Service, const PeerBody &Body);
  void tellOfDraining(FlowId Flow);
  void tellNewcomer(const HostId &Host);
  CoreActions onReport(const HostId &From, const ReportMessage &Report,
                       TimePoint Now);
  CoreActions onQuotaAsk(const HostId &From, const QuotaAskMessage &Message,
                         TimePoint Now);
  void evaluateService(ServiceRuntime &Service, CoreActions &Actions,
                       TimePoint Now);
  PeerStatus peerStatus(const HostId &Peer, TimePoint Now) const;
  FlowStep refuseEarly(ResultCode Code, const std::string &Message,
                       const CallerRequest &Request);
  CoreActions dispatch(const PeerMessage &Message, TimePoint Now);
  HostWeights callerWeights(const ServiceRuntime &Service, TimePoint Now) const;
  bool isKnownLeaving(const HostId &Host) const;
  std::string tokenFor(const HostId &Host, const ServiceName &Service,
                       TimePoint Now);

  const HostIdentity Self_;
  const TimePoint Start_;
  RandomSource &Random_;
  Logger &Log_;
  Metrics Metrics_;
  PeerExchange Exchange_;
  PeerView Peers_;
  ConfigSync Sync_;
  HostList Hosts_; ///< Of Sync_, as a document.
  ServiceMap Services_;
  std::set<HostId> GroupPeers_; ///< Other hosts of this host's groups.
  RequestFlow Flow_;
  HostFaultMonitor Faults_;
  TimePoint NextHeartbeat_;
  TimePoint NextConfigTick_;
  TimePoint LastTick_;
  bool IsFaultLogged_ = false;
  bool IsLeaving_ = false;
  TimePoint LeavingSince_;
  /// Since when the list has not named this host as live; none while it does.
  std::optional<TimePoint> NotLiveSince_;
};

/// Period of HostCore::tick.
constexpr Duration TickPeriod = std::chrono::milliseconds(20);

} // namespace kumquatpitch

#endif
