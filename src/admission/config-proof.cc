// Proof of a recent configuration. See config-proof.h.

#include "kumquatpitch/admission/config-proof.h"

#include <algorithm>

namespace kumquatpitch {

/// A proof older than this fraction of the revocation time is renewed by an own
/// read of the store. The rest of the time is left for reads that fail.
static constexpr int ReadFraction = 2;
/// Fraction of the revocation time between two such reads. Reads that prove
/// nothing, such as those of a configuration that cannot be decoded, would
/// otherwise follow each other without a pause.
static constexpr int ReadPeriodFraction = 4;
/// A store counts its eras from 1. In the first one it has lost nothing.
static constexpr std::uint64_t FirstEra = 1;

void ConfigProof::setVersion(std::uint64_t Version) {
  Version_ = std::max(Version_, Version);
}

void ConfigProof::prove(TimePoint At) {
  ProvenAt_ = ProvenAt_ ? std::max(*ProvenAt_, At) : At;
}

void ConfigProof::readEnded(const ConfigReading &Reading, TimePoint Now) {
  if (Reading.Era_ != Era_ && (Era_ || Reading.Era_ > FirstEra))
    RewrittenAt_ = Now + RewriteTime;
  Era_ = Reading.Era_;
  // A store that came back from an older copy lacks confirmed configurations
  // until they are written again.
  const bool MayLackWrites = RewrittenAt_ && Reading.SentAt_ < *RewrittenAt_;
  if (MayLackWrites || Reading.Version_ < Version_)
    return;
  prove(Reading.SentAt_);
}

bool ConfigProof::needsRead(TimePoint Now) const {
  if (KeyRevocationTime_ == Duration::zero() ||
      age(Now) < KeyRevocationTime_ / ReadFraction)
    return false;
  return !ReadAt_ || Now - *ReadAt_ >= KeyRevocationTime_ / ReadPeriodFraction;
}

} // namespace kumquatpitch
