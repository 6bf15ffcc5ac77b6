// What a host reports to the others about requests and targets, and what it
// does with their reports: evidence of failing targets, counts of failed
// requests, and what targets say of themselves, rate limits and leaving. Owned
// by GatewayDaemon, which receives the datagrams.

#ifndef KUMQUATPITCH_PEER_REPORTS_H
#define KUMQUATPITCH_PEER_REPORTS_H

#include "kumquatpitch/event-log.h"
#include "kumquatpitch/gateway-core.h"
#include "kumquatpitch/gateway-front.h"
#include "kumquatpitch/peer-channel.h"
#include "kumquatpitch/timer-service.h"

#include <map>
#include <string>
#include <vector>

namespace kumquatpitch {

/// Everything that PeerReports uses. All of it outlives it.
struct PeerReportsDependencies {
  HostId Self_;
  GatewayCore &Core_;
  TargetDirectory &Directory_;
  PeerChannel &Peers_;
  TimerService &Timers_;
  EventLog &Log_;
  RandomSource &Random_;
};

class PeerReports : public EvidenceSink {
public:
  explicit PeerReports(PeerReportsDependencies Dependencies);
  ~PeerReports() override;

  /// Skips a failure of a target that follows another within EvidenceInterval.
  void broadcastEvidence(const TargetEntry &Target,
                         TargetObservation Observation) override;

  void targetLeaves(const TargetEntry &Target) override;

  /// Sets, for each service, the addresses of the other hosts that its callers
  /// use.
  void
  setCallerHosts(std::map<ServiceName, std::vector<std::string>> Addresses) {
    CallerHostAddresses_ = std::move(Addresses);
  }

  /// Handles a report of another host. Returns false for a message of another
  /// kind.
  bool receive(const PeerDatagram &Datagram, const std::string &SenderAddress);

  /// Announces leaving targets, and drops what is no longer needed. Call it a
  /// few times a second.
  void tick(TimePoint Now);

private:
  void receive(const EvidenceMessage &Evidence);
  void receive(const RateLimitsMessage &Limits,
               const std::string &SenderAddress);
  void receive(const LeavingTargetsMessage &Leaving,
               const std::string &SenderAddress);
  /// `Source` is the address of the host that told of it, or `own`.
  void markLeaving(const LeavingTarget &Target, const std::string &Source);
  void sendOutcomeCounts(TimePoint Now);
  void sendRateLimitUpdates(TimePoint Now);

  PeerReportsDependencies Dependencies_;
  std::map<ServiceName, std::vector<std::string>> CallerHostAddresses_;
  /// When a failure of the target was last sent to the other hosts. Entries
  /// older than EvidenceInterval are dropped.
  std::map<TargetId, TimePoint> LastEvidenceAt_;
  TimerSubscription OutcomeCounts_ = 0;
  TimerSubscription RateLimitUpdates_ = 0;
};

} // namespace kumquatpitch

#endif
