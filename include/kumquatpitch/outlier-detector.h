// Outlier detection for one service: collects evidence about the service's
// targets and scores how suspect each one is. Owned by TargetHealth, which
// decides on ejections; slots and the ejection floor are not handled here.

#ifndef KUMQUATPITCH_OUTLIER_DETECTOR_H
#define KUMQUATPITCH_OUTLIER_DETECTOR_H

#include "kumquatpitch/attempt.h"
#include "kumquatpitch/detection-thresholds.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/quantile-tracker.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kumquatpitch {

/// Evidence that a host gathered itself about a target, as sent to the other
/// hosts of its group. Evidence received from peers is never forwarded.
struct TargetEvidence {
  double LocalScore_ = 0; ///< 1 suffices for ejection without other evidence.
  /// Requests hang or fail on this host, which asks its peers for evidence.
  bool Suspects_ = false;
  /// Time since the start of the latest-started attempt that was answered.
  std::optional<Duration> SinceAnsweredStart_;

  bool operator==(const TargetEvidence &) const = default;
};

enum class SuspicionCause : std::uint8_t { Stalled, Errors, Slow };

/// How suspect a target is, with the figures behind it.
struct Suspicion {
  TargetId Target_;
  /// Score from all requests that hang or fail on this host. Unlike Score_, it
  /// is not discounted for siblings, answers to peers or possibly silent
  /// connections, so it also shows a fault of this host, which those
  /// discounts hide. The target is suspect from SuspectScore on.
  double UndiscountedScore_ = 0;
  double Score_ = 0; ///< Takes siblings and peers into account; 1: eject.
  SuspicionCause Cause_ = SuspicionCause::Stalled;
  Duration OldestInFlight_{};
  std::uint32_t Bad_ = 0;   ///< Bad requests in the window and in flight.
  std::uint32_t Good_ = 0;  ///< Good ones started since the first bad one.
  double PeerScore_ = 0;    ///< Sum of the peers' scores.
  double LatencyRatio_ = 0; ///< Median latency / usual median; 0: unknown.

  bool operator==(const Suspicion &) const = default;
};

/// Kept connections to a target that went silent, while new connections to the
/// same target get answers.
struct SilentConnections {
  TargetId Target_;
  TimePoint OpenedBefore_;          ///< Close kept connections older than this.
  std::vector<AttemptId> Attempts_; ///< In flight on them; to be aborted.

  bool operator==(const SilentConnections &) const = default;
};

struct DetectorFindings {
  /// All targets with an undiscounted score above 0.
  std::vector<Suspicion> Suspicions_;
  std::vector<SilentConnections> Silent_;

  bool operator==(const DetectorFindings &) const = default;
};

class OutlierDetector {
public:
  /// Score from which a target counts as suspect.
  static constexpr double SuspectScore = 0.5;

  explicit OutlierDetector(DetectionProfile Profile)
      : Thresholds_(&thresholdsFor(Profile)) {}

  void setProfile(DetectionProfile Profile) {
    Thresholds_ = &thresholdsFor(Profile);
  }

  /// Replaces the set of watched targets. Evidence about targets that remain is
  /// kept. Targets added after the first non-empty set are cold: their stall
  /// threshold is longer for the first 30 seconds.
  void setTargets(const std::set<TargetId> &Targets, TimePoint Now);

  void attemptStarted(const TargetId &Target, AttemptId Id, bool NewConnection,
                      TimePoint Now);
  void attemptEnded(const TargetId &Target, AttemptId Id,
                    const AttemptReport &Report, TimePoint Now);

  /// Records a health check. Repeated failures add to the evidence from real
  /// requests; a success only resets the count of failures.
  void probeEnded(const TargetId &Target, bool Ok, TimePoint Now);

  /// Records the evidence of another host of the group. It replaces that host's
  /// previous evidence and expires after two seconds. It only raises a score
  /// that this host's own evidence already gives.
  void peerReport(const HostId &From, const TargetId &Target,
                  const TargetEvidence &Evidence, TimePoint Now);

  /// Drops all evidence because this host itself is at fault. Attempts in
  /// flight count as if they had started now.
  void clearEvidence(TimePoint Now);

  /// Drops the evidence about one target, for example when it is reinstated.
  void forgetTarget(const TargetId &Target, TimePoint Now);

  DetectorFindings evaluate(TimePoint Now);

  /// True if attempts at this target hang on kept connections, so that the next
  /// attempt should open a new one. Its outcome distinguishes a silent
  /// connection from a faulty target.
  bool wantsNewConnection(const TargetId &Target, TimePoint Now) const;

  /// This host's evidence about targets that this host or a peer suspects, to
  /// be sent to the other hosts of the group.
  std::map<TargetId, TargetEvidence> evidenceToReport(TimePoint Now) const;

private:
  struct InFlightAttempt {
    TimePoint Start_;
    bool NewConnection_ = false;
    /// Evidence was dropped while it was in flight, for example after a fault
    /// of this host: Start_ was moved, and the latency is not used.
    bool StartReset_ = false;
    bool ReportedSilent_ = false; ///< In SilentConnections already.
  };
  struct CompletedAttempt {
    TimePoint Start_;
    TimePoint EndedAt_;
    double Points_ = 0; ///< 0 for a good answer or a silent connection.
    bool Hung_ = false;
    bool NewConnection_ = false;
  };
  struct PeerEvidence {
    TargetEvidence Evidence_;
    TimePoint ReceivedAt_;
  };
  struct TargetStats {
    std::map<AttemptId, InFlightAttempt> InFlight_;
    /// Ordered by EndedAt_; at most MaxCompleted entries.
    std::deque<CompletedAttempt> Completed_;
    std::uint32_t BadCompleted_ = 0; ///< Entries of Completed_ with points.
    QuantileTracker MedianLatency_{0.5, 0.1};
    QuantileTracker P95Latency_{0.95, 0.1};
    std::uint32_t LatencySamples_ = 0; ///< Since evidence was last dropped.
    std::uint32_t FailedProbes_ = 0;   ///< Consecutive.
    TimePoint ColdUntil_;
    /// Latest start of any answered attempt.
    std::optional<TimePoint> LastAnsweredStart_;
    /// Latest start of an answered attempt on a new connection.
    std::optional<TimePoint> LastNewConnectionAnsweredStart_;
    std::optional<TimePoint> LastHangAt_;
    std::optional<TimePoint> LastAnsweredAt_;
    /// Attempts that started before this on a kept connection are treated as
    /// being on a silent connection.
    std::optional<TimePoint> SilentBefore_;
    std::optional<TimePoint> LastSilentAt_;
    bool SilentReported_ = true;
    std::map<HostId, PeerEvidence> PeerEvidence_;
  };
  struct EvidenceSummary {
    double Points_ = 0;
    double ErrorShare_ = 0; ///< Fraction of Points_ that is due to errors.
    std::uint32_t Bad_ = 0;
    std::uint32_t Good_ = 0;
    Duration OldestInFlight_{};
    double badFraction() const {
      return Bad_ == 0 ? 0 : 1.0 * Bad_ / (Bad_ + Good_);
    }
  };

  TargetStats *find(const TargetId &Target);
  const TargetStats *find(const TargetId &Target) const;
  Duration stallThreshold(const TargetStats &Stats, TimePoint Now) const;
  double hangPoints(const TargetStats &Stats, Duration Elapsed,
                    TimePoint Now) const;
  double inFlightPoints(const TargetStats &Stats,
                        const InFlightAttempt &Attempt, bool DiscountExplained,
                        TimePoint Now) const;
  double completedPoints(const TargetStats &Stats,
                         const InFlightAttempt &Attempt,
                         const AttemptReport &Report, TimePoint Now) const;
  bool hasAnsweredPeers(const TargetStats &Stats, TimePoint After,
                        TimePoint Now) const;
  bool isOnSilentConnection(const TargetStats &Stats, bool NewConnection,
                            TimePoint Start) const;
  bool mayBeOnSilentConnection(const TargetStats &Stats,
                               const InFlightAttempt &Attempt,
                               TimePoint Now) const;
  void recordAnswer(TargetStats &Stats, const InFlightAttempt &Attempt,
                    const AttemptReport &Report, TimePoint Now);
  void recordCompleted(TargetStats &Stats, const CompletedAttempt &Attempt);
  void detectSilentConnections(TargetStats &Stats, TimePoint Now) const;
  void expire(TargetStats &Stats, TimePoint Now) const;
  std::optional<SilentConnections>
  collectSilentConnections(const TargetId &Target, TargetStats &Stats,
                           TimePoint Now) const;
  /// With `DiscountExplained`, a hanging attempt counts a third if the target
  /// answers peers, and not at all if its connection may also be silent.
  EvidenceSummary summarizeEvidence(const TargetStats &Stats,
                                    bool DiscountExplained,
                                    TimePoint Now) const;
  double localScore(const TargetStats &Stats,
                    const EvidenceSummary &Evidence) const;
  double slowScore(const TargetStats &Stats) const;
  double latencyRatio(const TargetStats &Stats) const;
  double peerScore(const TargetStats &Stats, TimePoint Now) const;
  std::optional<Suspicion> suspicion(const TargetId &Target,
                                     const TargetStats &Stats,
                                     double SiblingBadFraction,
                                     TimePoint Now) const;
  void updateReferences();

  const DetectionThresholds *Thresholds_;
  std::map<TargetId, TargetStats> StatsByTarget_;
  bool HasTargets_ = false;
  /// Median latency of the service; adapts more slowly than MedianLatency_.
  QuantileTracker ServiceMedian_{0.5, 0.005};
  double SiblingMedian_ = 0; ///< Median of the targets' MedianLatency_.
  double SiblingP95_ = 0;    ///< Median of the targets' P95Latency_.
};

} // namespace kumquatpitch

#endif
