// Upkeep of the proof of a recent configuration. See config-proof-updater.h.

#include "kumquatpitch/config-proof-updater.h"

namespace kumquatpitch {

void ConfigProofUpdater::follow(const FollowResult &Result,
                                const RouteTable *InForce, TimePoint Now) {
  if (InForce)
    Proof_.setVersion(InForce->config().Version_);
  if (Result.Reading_)
    Proof_.readEnded(*Result.Reading_, Now);
  if (Proof_.provenAt())
    Dependencies_.Admission_.configProven(*Proof_.provenAt());
}

void ConfigProofUpdater::readStarted(TimePoint Now) {
  Proof_.readStarted(Now);
  Dependencies_.Metrics_.count("store_reads_for_proof");
}

void ConfigProofUpdater::tick(TimePoint Now) {
  const Duration Limit = Dependencies_.KeyRevocationTime_;
  if (Limit == Duration::zero())
    return;
  const Duration Age = Proof_.age(Now);
  if (Age < Limit / 2 && IsLost_) {
    IsLost_ = false;
    Dependencies_.Log_.write(LogLevel::Info, "config", "proof_regained",
                             {{"age_ms", std::to_string(toMilliseconds(Age))}});
  } else if (Age >= Limit && !IsLost_) {
    IsLost_ = true;
    Dependencies_.Metrics_.count("config_proofs_lost");
    Dependencies_.Log_.write(LogLevel::Warning, "config", "proof_lost",
                             {{"age_ms", std::to_string(toMilliseconds(Age))}});
  }
}

} // namespace kumquatpitch
