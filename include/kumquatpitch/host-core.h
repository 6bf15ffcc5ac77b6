// The decision logic of one host daemon, free of I/O. The I/O layer passes it
// events with the current time and carries out the actions that it returns. A
// process can hold several instances, as simulations do. Not thread-safe: the
// owner calls it from one thread at a time.

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

/// A daemon's identity, from its settings.
struct HostIdentity {
  HostId Id_;
  Region Region_;
  FailureDomain Domain_;
  Incarnation Incarnation_ = 0;
  Endpoint PeerAddress_;                ///< Receives the peers' messages.
  std::vector<Endpoint> Seeds_;         ///< Initial peers, from the settings.
  std::vector<CustomerName> Customers_; ///< Customers that this host serves.

  bool operator==(const HostIdentity &) const = default;
};

/// Dependencies of a HostCore; they have to outlive it.
struct HostDependencies {
  RandomSource &Random_;
  Logger &Log_;
  PeerTransport &Transport_;
};

class HostCore {
public:
  HostCore(HostIdentity Self, HostDependencies Dependencies, TimePoint Start);

  /// Handles the reply to a PlatformCall.
  CoreActions onPlatformReply(const PlatformReply &Reply, TimePoint Now);

  /// Largest request body allowed on the matching route of the customer's
  /// contract, in bytes; 0 when no route matches.
  std::uint64_t maxBodyBytes(const CustomerName &Customer,
                             std::string_view Method,
                             std::string_view Target) const;

  /// Admits, queues or refuses a new request.
  FlowStep admit(const CallerRequest &Request, TimePoint Now);

  /// See RequestFlow for these three.
  CoreActions finishAttempt(FlowId Flow, const AttemptReport &Report,
                            TimePoint Now);
  CoreActions onCallerDisconnect(FlowId Flow, TimePoint Now);
  bool mayWrite(FlowId Flow, TimePoint Now) const;

  /// Handles a datagram from the IP address `Sender`.
  CoreActions receivePeer(std::string_view Bytes, const std::string &Sender,
                          TimePoint Now);

  /// Does the periodic work. Has to be called every TickPeriod.
  CoreActions tick(TimePoint Now);

  /// The hosts that a caller of the service should use, in order, each with a
  /// request token. Fails with ServiceUnknown or NotReady.
  Result<AddressAnswer> addresses(const CustomerName &Customer,
                                  const ServiceName &Service, TimePoint Now);

  /// True when the host has the newest configuration that it was told of, may
  /// use its slots and is not leaving.
  bool isReady(TimePoint Now) const;
  bool isLeaving() const { return IsLeaving_; }

  /// Starts a planned stop: the host announces that it is leaving. From now on,
  /// attempts are made only for requests whose deadline is `LatestDeadline` at
  /// the latest.
  CoreActions beginStop(TimePoint LatestDeadline, TimePoint Now);
  /// True when a planned stop may end: no request is in progress, and no caller
  /// can still hold a valid answer that lists this host.
  bool mayStop(TimePoint Now) const;

  std::size_t requestsInProgress() const { return Flow_.inProgress(); }

  /// The status report for operators.
  HostStatus status(TimePoint Now) const;
  std::string metricsText(TimePoint Now) const;

private:
  using ServiceMap = std::map<ServiceName, std::shared_ptr<ServiceRuntime>>;

  CoreActions applyConfig(const ConfigActions &Changes, TimePoint Now);
  void applyHostList(TimePoint Now);
  void updateServices(TimePoint Now);
  void tickConfig(CoreActions &Actions, TimePoint Now);
  void updateGroupPeers();
  void sendHeartbeats(TimePoint Now);
  void evaluateTargets(CoreActions &Actions, TimePoint Now);
  void requestQuota(ServiceRuntime &Service, TimePoint Now);
  void reportTargetEvidence(TimePoint Now);
  void sendToGroup(const ServiceRuntime &Service, const PeerBody &Body);
  void broadcastDraining(FlowId Flow);
  void sendMissedDrainMarkers(const HostId &Host);
  CoreActions onReport(const HostId &From, const ReportMessage &Report,
                       TimePoint Now);
  CoreActions onQuotaLoanRequest(const HostId &From,
                                 const QuotaLoanRequestMessage &Message,
                                 TimePoint Now);
  void evaluateService(ServiceRuntime &Service, CoreActions &Actions,
                       TimePoint Now);
  PeerStatus peerStatus(const HostId &Peer, TimePoint Now) const;
  FlowStep refuseBeforeTokenCheck(ResultCode Code, const std::string &Message,
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
  HostList Hosts_; ///< The last host list from Sync_.
  ServiceMap Services_;
  std::set<HostId> GroupPeers_; ///< Other members of this host's groups.
  RequestFlow Flow_;
  HostFaultMonitor Faults_;
  TimePoint NextHeartbeat_;
  TimePoint NextConfigTick_;
  TimePoint LastTick_;
  bool IsFaultLogged_ = false;
  bool IsLeaving_ = false;
  TimePoint LeavingSince_;
  /// Since when the host list has not listed this host as live; empty while it
  /// does.
  std::optional<TimePoint> NotLiveSince_;
};

/// Period of HostCore::tick.
constexpr Duration TickPeriod = std::chrono::milliseconds(20);

} // namespace kumquatpitch

#endif
