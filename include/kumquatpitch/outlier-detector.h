// Evidence about the targets of one service, and how suspect each one is.
// Owned by TargetHealth. It decides no ejection and knows no slots or floor.

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

/// A host's own evidence about a target, as it is reported to the group.
/// Evidence that came from peers is never passed on.
struct TargetEvidence {
  double OwnScore_ = 0;   ///< 1 is enough for ejection by itself.
  bool Suspects_ = false; ///< Work hangs or fails here; asks for evidence.
  /// Time since the start of the latest attempt that the target answered.
  std::optional<Duration> SinceAnsweredStart_;

  bool operator==(const TargetEvidence &) const = default;
};

enum class SuspicionCause : std::uint8_t { Stalled, Errors, Slow };

/// How suspect a target is, with the figures behind it.
struct Suspicion {
  TargetId Target_;
  /// From all that hangs or fails here, without regard to siblings, peers and
  /// connections that may be silent; suspect from SuspectScore on. A fault of
  /// this host shows in it, which the other score explains away.
  double OwnScore_ = 0;
  double Score_ = 0; ///< With siblings and peers; 1 or more: ejection.
  SuspicionCause Cause_ = SuspicionCause::Stalled;
  Duration OldestWaiting_{};
  std::uint32_t Bad_ = 0;   ///< Bad requests of the window, waiting ones too.
  std::uint32_t Good_ = 0;  ///< Good ones that started after the first bad one.
  double PeerScore_ = 0;    ///< Sum of the peers' own scores.
  double LatencyRatio_ = 0; ///< Median latency by the usual one; 0 if unknown.

  bool operator==(const Suspicion &) const = default;
};

/// Connections that went silent while new ones to the same target answer.
struct SilentConnections {
  TargetId Target_;
  TimePoint OpenedBefore_;          ///< Kept connections to be closed.
  std::vector<AttemptId> Attempts_; ///< Waiting on them; to be broken off.

  bool operator==(const SilentConnections &) const = default;
};

struct DetectorFindings {
  std::vector<Suspicion> Suspicions_; ///< Of all targets with a score.
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

  /// Targets to watch. Evidence of those that stay is kept; those that appear
  /// after the first call are cold and are given longer waits for a time.
  void setTargets(const std::set<TargetId> &Targets, TimePoint Now);

  void attemptStarted(const TargetId &Target, AttemptId Attempt,
                      bool NewConnection, TimePoint Now);
  void attemptEnded(const TargetId &Target, AttemptId Attempt,
                    const AttemptReport &Report, TimePoint Now);

  /// A failed probe adds to evidence of real work; a good one changes nothing.
  void probeEnded(const TargetId &Target, bool Ok, TimePoint Now);

  /// Evidence of another host of the group; replaces its previous one and
  /// expires after two seconds. It adds to own evidence and is never enough.
  void peerReport(const HostId &From, const TargetId &Target,
                  const TargetEvidence &Evidence, TimePoint Now);

  /// This host is at fault: drops all evidence, and waiting requests count as
  /// if they had started now.
  void clearEvidence(TimePoint Now);

  /// Drops the evidence about one target, as when it is reinstated.
  void forgetTarget(const TargetId &Target, TimePoint Now);

  DetectorFindings evaluate(TimePoint Now);

  /// True when work at this target hangs on kept connections and the next
  /// attempt is to open a new one, which tells a silent connection from a sick
  /// target.
  bool wantsNewConnection(const TargetId &Target, TimePoint Now) const;

  /// Own evidence of targets that are suspect here or at a peer; to be sent to
  /// the group.
  std::map<TargetId, TargetEvidence> evidenceToReport(TimePoint Now) const;

private:
  struct Waiting {
    TimePoint Start_;
    bool NewConnection_ = false;
    bool Cleared_ = false; ///< Spans an own fault; its latency is unusable.
    bool Closing_ = false; ///< Reported as silent.
  };
  struct Ended {
    TimePoint Start_;
    TimePoint At_;
    double Points_ = 0; ///< 0 for a good answer.
    bool Hang_ = false;
    bool NewConnection_ = false;
  };
  struct PeerEvidence {
    TargetEvidence Evidence_;
    TimePoint At_;
  };
  struct Record {
    std::map<AttemptId, Waiting> Waiting_;
    std::deque<Ended> Ended_;    ///< In order of end; at most MaxEnded.
    std::uint32_t BadEnded_ = 0; ///< Entries of Ended_ with points.
    QuantileTracker Typical_{0.5, 0.1};
    QuantileTracker High_{0.95, 0.1};
    std::uint32_t Samples_ = 0; ///< Answers since evidence was last dropped.
    std::uint32_t FailedProbes_ = 0; ///< In a row.
    TimePoint ColdUntil_;
    std::optional<TimePoint> LastAnsweredStart_;
    std::optional<TimePoint> LastNewAnsweredStart_;
    std::optional<TimePoint> LastHangAt_;
    std::optional<TimePoint> LastAnsweredAt_;
    /// Kept connections from before this are taken to be silent.
    std::optional<TimePoint> SilentBefore_;
    std::optional<TimePoint> LastSilentAt_;
    bool SilentReported_ = true;
    std::map<HostId, PeerEvidence> Peers_;
  };
  struct Figures {
    double Points_ = 0;
    double ErrorShare_ = 0; ///< Part of Points_ that errors gave.
    std::uint32_t Bad_ = 0;
    std::uint32_t Good_ = 0;
    Duration OldestWaiting_{};
    double badFraction() const {
      return Bad_ == 0 ? 0 : 1.0 * Bad_ / (Bad_ + Good_);
    }
  };

  Record *find(const TargetId &Target);
  const Record *find(const TargetId &Target) const;
  Duration stallAge(const Record &Of, TimePoint Now) const;
  double hangPoints(const Record &Of, Duration Wait, TimePoint Now) const;
  double waitingPoints(const Record &Of, const Waiting &Request, bool Explain,
                       TimePoint Now) const;
  double endedPoints(const Record &Of, const Waiting &Request,
                     const AttemptReport &Report, TimePoint Now) const;
  bool answersPeers(const Record &Of, TimePoint After, TimePoint Now) const;
  bool isOnSilentConnection(const Record &Of, bool NewConnection,
                            TimePoint Start) const;
  bool mayBeSilent(const Record &Of, const Waiting &Request,
                   TimePoint Now) const;
  void noteAnswer(Record &Of, const Waiting &Request,
                  const AttemptReport &Report, TimePoint Now);
  void noteEnded(Record &Of, const Ended &Entry);
  void findSilent(Record &Of, TimePoint Now) const;
  void expire(Record &Of, TimePoint Now) const;
  std::optional<SilentConnections> takeSilent(const TargetId &Target,
                                              Record &Of, TimePoint Now) const;
  /// With `Explain`, requests that peers' answers explain count less or not.
  Figures figures(const Record &Of, bool Explain, TimePoint Now) const;
  double ownScore(const Record &Of, const Figures &Own) const;
  double slowScore(const Record &Of) const;
  double latencyRatio(const Record &Of) const;
  double peerScore(const Record &Of, TimePoint Now) const;
  std::optional<Suspicion> suspicion(const TargetId &Target, const Record &Of,
                                     double SiblingBadFraction,
                                     TimePoint Now) const;
  void updateReferences();

  const DetectionThresholds *Thresholds_;
  std::map<TargetId, Record> Records_;
  bool HasTargets_ = false;
  QuantileTracker Usual_{0.5, 0.005}; ///< Median latency of the service.
  double SiblingTypical_ = 0;         ///< Median over targets of Typical_.
  double SiblingHigh_ = 0;            ///< Median over targets of High_.
};

} // namespace kumquatpitch

#endif
