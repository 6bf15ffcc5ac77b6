// Upkeep of the proof of a recent configuration. See config-proof-updater.h.

#include "kumquatpitch/config-proof-updater.h"

#include "kumquatpitch/admission/proof-peer.h"

namespace kumquatpitch {

void ConfigProofUpdater::follow(const FollowResult &Result,
                                const RouteTable *InForce, TimePoint Now) {
  if (InForce)
    Proof_.setVersion(InForce->config().Version_);
  if (Result.Reading_)
    Proof_.readEnded(*Result.Reading_, Now);
  passOn();
}

void ConfigProofUpdater::passOn() {
  if (Proof_.provenAt())
    Dependencies_.Admission_.configProven(*Proof_.provenAt());
}

void ConfigProofUpdater::readStarted(TimePoint Now) {
  Proof_.readStarted(Now);
  Dependencies_.Metrics_.count("store_reads_for_proof");
}

bool ConfigProofUpdater::receive(const PeerDatagram &Datagram,
                                 const std::string &SenderAddress,
                                 TimePoint Now) {
  if (const ProofQuery *Query = std::get_if<ProofQuery>(&Datagram)) {
    if (const std::optional<ProofAnswer> Answer = Proof_.answer(*Query, Now))
      Dependencies_.Peers_.send(SenderAddress, *Answer);
    return true;
  }
  if (const ProofAnswer *Answer = std::get_if<ProofAnswer>(&Datagram)) {
    Proof_.receive(*Answer);
    passOn();
    return true;
  }
  return false;
}

void ConfigProofUpdater::tick(TimePoint Now) {
  if (Proof_.needsAnswer(Now))
    ask(Now);
  logChanges(Now);
}

void ConfigProofUpdater::ask(TimePoint Now) {
  const std::optional<Member> Peer = chooseProofPeer(
      Dependencies_.Membership_.self(), Dependencies_.Membership_.members(),
      Reader_, Proof_.queriesSinceProof(), Dependencies_.Random_);
  if (!Peer)
    return;
  Dependencies_.Metrics_.count("proof_queries_sent");
  Dependencies_.Peers_.send(Peer->Address_,
                            Proof_.ask(Dependencies_.Random_.next(), Now));
}

void ConfigProofUpdater::logChanges(TimePoint Now) {
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
