// Proof of how recent this host's configuration is: the moment before which no
// newer one had been confirmed to an operator. A key that was withdrawn after
// that moment may still be in the configuration, so AdmissionControl accepts
// keys only for a limited time after it. The proof comes from reads of the
// store, or from other hosts: one host asks, and the other one answers how old
// its own proof is. The asking host counts that age from the sending of its
// question, so that no clocks of two hosts are compared. Owned by
// ConfigProofUpdater. Pure logic: no I/O and no clock.

#ifndef KUMQUATPITCH_ADMISSION_CONFIG_PROOF_H
#define KUMQUATPITCH_ADMISSION_CONFIG_PROOF_H

#include "kumquatpitch/time-point.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// What a complete read of the store's newest state showed.
struct ConfigReading {
  TimePoint SentAt_;          ///< When the read was sent, not when it ended.
  std::uint64_t Era_ = 0;     ///< Of the store.
  std::uint64_t Version_ = 0; ///< Of the newest configuration in the store.

  bool operator==(const ConfigReading &) const = default;
};

/// Asks another host how recent its configuration is.
struct ProofQuery {
  std::uint64_t Nonce_ = 0; ///< Random, and repeated in the answer.

  auto operator<=>(const ProofQuery &) const = default;
};

struct ProofAnswer {
  std::uint64_t Nonce_ = 0;
  std::uint64_t Version_ = 0; ///< Of the configuration in force.
  Duration Age_{};            ///< Age of the proof when the answer was sent.

  auto operator<=>(const ProofAnswer &) const = default;
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

  /// True when another host should be asked. Call ask() when it is.
  bool needsAnswer(TimePoint Now) const;
  /// Records a query that is sent now. `Nonce` has to be random.
  ProofQuery ask(std::uint64_t Nonce, TimePoint Now);
  /// Queries sent since the proof was last renewed.
  std::uint32_t queriesSinceProof() const { return QueriesSinceProof_; }

  /// Answers another host. None without a valid proof.
  std::optional<ProofAnswer> answer(const ProofQuery &Query,
                                    TimePoint Now) const;

  /// Applies the answer to a query. One that names a configuration newer than
  /// that in force counts once setVersion() has been called with it. Others
  /// than those to this host's latest queries are ignored.
  void receive(const ProofAnswer &Answer);

  /// The moment before which no configuration newer than the one in force had
  /// been confirmed. None without a proof.
  std::optional<TimePoint> provenAt() const { return ProvenAt_; }

  /// Time since that moment; the maximum without a proof.
  Duration age(TimePoint Now) const {
    return ProvenAt_ ? Now - *ProvenAt_ : Duration::max();
  }

  auto operator<=>(const ConfigProof &) const = default;

private:
  struct Question {
    std::uint64_t Nonce_ = 0;
    TimePoint SentAt_;

    auto operator<=>(const Question &) const = default;
  };
  /// No configuration newer than `Version_` had been confirmed before `At_`.
  struct Statement {
    std::uint64_t Version_ = 0;
    TimePoint At_;

    auto operator<=>(const Statement &) const = default;
  };

  void prove(TimePoint At);

  Duration KeyRevocationTime_;
  std::uint64_t Version_ = 0; ///< Of the configuration in force. Never falls.
  std::optional<TimePoint> ProvenAt_; ///< Never falls.
  std::optional<std::uint64_t> Era_;  ///< Of the last read.
  /// Reads that were sent earlier may lack what a restored store has lost.
  std::optional<TimePoint> RewrittenAt_;
  std::optional<TimePoint> ReadAt_; ///< Start of the last read for a proof.
  /// Queries without an answer, the latest last. At most MaxQuestions.
  std::vector<Question> Questions_;
  std::optional<TimePoint> AskedAt_;
  std::uint32_t QueriesSinceProof_ = 0;
  /// The latest answer about a version that is not in force here yet.
  std::optional<Statement> Pending_;
};

} // namespace kumquatpitch

#endif
