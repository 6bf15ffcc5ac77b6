// Keeps this host's proof that its configuration is recent enough to accept
// keys: records what reads of the store show, asks other hosts and answers
// them, passes the proof to AdmissionControl and logs when it is lost and
// regained. Owned by GatewayDaemon.

#ifndef KUMQUATPITCH_CONFIG_PROOF_UPDATER_H
#define KUMQUATPITCH_CONFIG_PROOF_UPDATER_H

#include "kumquatpitch/admission/admission-control.h"
#include "kumquatpitch/admission/config-proof.h"
#include "kumquatpitch/event-log.h"
#include "kumquatpitch/metrics.h"
#include "kumquatpitch/peer-channel.h"
#include "kumquatpitch/store-follower.h"

namespace kumquatpitch {

/// Everything that ConfigProofUpdater uses. The references outlive it.
struct ConfigProofDependencies {
  Duration KeyRevocationTime_{}; ///< 0 when no proof is needed.
  AdmissionControl &Admission_;
  EventLog &Log_;
  Metrics &Metrics_;
  PeerChannel &Peers_;
  const HostMembership &Membership_;
  RandomSource &Random_;
};

class ConfigProofUpdater {
public:
  explicit ConfigProofUpdater(ConfigProofDependencies Dependencies)
      : Dependencies_(Dependencies), Proof_(Dependencies.KeyRevocationTime_) {}

  /// Records a read of the store or a message about it. `InForce` is the table
  /// in force after it; null before the first one.
  void follow(const FollowResult &Result, const RouteTable *InForce,
              TimePoint Now);

  /// True when this host should read the store only to renew its proof.
  bool needsRead(TimePoint Now) const { return Proof_.needsRead(Now); }

  /// Records that such a read has begun.
  void readStarted(TimePoint Now);

  /// Records that `Host` has forwarded changes of the store.
  void setReader(const HostId &Host) { Reader_ = Host; }

  /// Handles a query or an answer of another host. Returns false for a message
  /// of another kind.
  bool receive(const PeerDatagram &Datagram, const std::string &SenderAddress,
               TimePoint Now);

  /// Asks another host when that is due, and logs changes. Call it a few times
  /// a second.
  void tick(TimePoint Now);

  const ConfigProof &proof() const { return Proof_; }

private:
  void ask(TimePoint Now);
  void logChanges(TimePoint Now);
  void passOn();

  ConfigProofDependencies Dependencies_;
  ConfigProof Proof_;
  HostId Reader_;
  /// The proof as last logged: lost when it has expired, regained when at least
  /// half of its time is left.
  bool IsLost_ = true;
};

} // namespace kumquatpitch

#endif
