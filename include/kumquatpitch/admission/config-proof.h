// Proof of how recent this host's configuration is: the moment before which no
// newer one had been confirmed to an operator. A key that was withdrawn after
// that moment may still be in the configuration, so AdmissionControl accepts
// keys only for a limited time after it. The proof comes from reads of the
// store. Owned by ConfigProofUpdater. Pure logic: no I/O and no clock.

#ifndef KUMQUATPITCH_ADMISSION_CONFIG_PROOF_H
#define KUMQUATPITCH_ADMISSION_CONFIG_PROOF_H

#include "kumquatpitch/time-point.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace kumquatpitch {

/// What a complete read of the store's newest state showed.
struct ConfigReading {
  TimePoint SentAt_;          ///< When the read was sent, not when it ended.
  std::uint64_t Era_ = 0;     ///< Of the store.
  std::uint64_t Version_ = 0; ///< Of the newest configuration in the store.

  bool operator==(const ConfigReading &) const = default;
};

class ConfigProof {
public:
  /// After a store came back from an older copy, the operator has written again
  /// within this time what the copy did not have.
  static constexpr Duration RewriteTime = std::chrono::milliseconds(2'200);

  /// `KeyRevocationTime` is how long a proof lasts; with 0, none is needed.
  explicit ConfigProof(Duration KeyRevocationTime)
      : KeyRevocationTime_(KeyRevocationTime) {}

  /// Sets the version of the configuration in force. Lower ones than the last
  /// are ignored.
  void setVersion(std::uint64_t Version);

  /// Records a read of the store. Call setVersion() before it when the read
  /// brought a configuration into force.
  void readEnded(const ConfigReading &Reading, TimePoint Now);

  /// True when this host should read the store only to renew its proof. Call
  /// readStarted() when it does.
  bool needsRead(TimePoint Now) const;
  void readStarted(TimePoint Now) { ReadAt_ = Now; }

  /// The moment before which no configuration newer than the one in force had
  /// been confirmed. None without a proof.
  std::optional<TimePoint> provenAt() const { return ProvenAt_; }

  /// Time since that moment; the maximum without a proof.
  Duration age(TimePoint Now) const {
    return ProvenAt_ ? Now - *ProvenAt_ : Duration::max();
  }

  auto operator<=>(const ConfigProof &) const = default;

private:
  void prove(TimePoint At);

  Duration KeyRevocationTime_;
  std::uint64_t Version_ = 0; ///< Of the configuration in force. Never falls.
  std::optional<TimePoint> ProvenAt_; ///< Never falls.
  std::optional<std::uint64_t> Era_;  ///< Of the last read.
  /// Reads that were sent earlier may lack what a restored store has lost.
  std::optional<TimePoint> RewrittenAt_;
  std::optional<TimePoint> ReadAt_; ///< Start of the last read for a proof.
};

} // namespace kumquatpitch

#endif
