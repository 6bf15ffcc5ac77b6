// Keeps this host's proof that its configuration is recent enough to accept
// keys: records what reads of the store show, passes it to AdmissionControl and
// logs when the proof is lost and regained. Owned by GatewayDaemon.

#ifndef KUMQUATPITCH_CONFIG_PROOF_UPDATER_H
#define KUMQUATPITCH_CONFIG_PROOF_UPDATER_H

#include "kumquatpitch/admission/admission-control.h"
#include "kumquatpitch/admission/config-proof.h"
#include "kumquatpitch/event-log.h"
#include "kumquatpitch/metrics.h"
#include "kumquatpitch/store-follower.h"

namespace kumquatpitch {

/// Everything that ConfigProofUpdater uses. The references outlive it.
struct ConfigProofDependencies {
  Duration KeyRevocationTime_{}; ///< 0 when no proof is needed.
  AdmissionControl &Admission_;
  EventLog &Log_;
  Metrics &Metrics_;
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

  /// Logs changes. Call it a few times a second.
  void tick(TimePoint Now);

  const ConfigProof &proof() const { return Proof_; }

private:
  ConfigProofDependencies Dependencies_;
  ConfigProof Proof_;
  /// The proof as last logged: lost when it has expired, regained when at least
  /// half of its time is left.
  bool IsLost_ = true;
};

} // namespace kumquatpitch

#endif
