// Load balancing and outlier ejection for the targets of one service. A target
// is chosen by the host's own requests in progress, the load that targets
// report with their answers, latencies and failures; where the service is
// balanced by work, by the work that is expected of the requests instead of
// their number (see target-balancer-work.cc). Failing targets are
// ejected until trial requests (half-open probes) to them succeed; the
// service's floor is the share of targets that should stay in use. Driven by
// GatewayCore. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_TARGET_BALANCER_H
#define KUMQUATPITCH_TARGET_BALANCER_H

#include "kumquatpitch/balancing/own-attempts.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/random-source.h"
#include "kumquatpitch/rate-limit-share.h"
#include "kumquatpitch/target-directory.h"
#include "kumquatpitch/target-rate-limit.h"
#include "kumquatpitch/target-report.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquatpitch {

/// What the end of an attempt shows about the health of its target.
enum class AttemptEvidence : std::uint8_t {
  Answered,    ///< The target ran the request and answered with success.
  Failed,      ///< Failed early, or the answer was cut off or malformed.
  FailedLate,  ///< Failed after a long run, or on a request so short that early
               ///< and late cannot be told apart. Healthy targets do so too.
  Unreachable, ///< No connection could be made.
  Gone,        ///< Another instance answers at the target's address.
  Refused,     ///< The target refused the request without running it.
  Silent,      ///< The attempt timed out without an answer.
  None,        ///< No evidence: the caller left, or the failure is due
               ///< to the deadline.
};

/// An observation about a target that one host reports to others.
enum class TargetObservation : std::uint8_t {
  Recovered = 0, ///< A trial request succeeded.
  SuspectedFailure =
      1,      ///< A failure that healthy targets also have occasionally.
  Failed = 2, ///< A failure that healthy targets do not have.
  Gone = 3,   ///< Another instance answers at the target's address.
};

/// A host that a service's callers are directed to.
struct AssignedHost {
  HostId Id_;
  FailureDomain Domain_;

  bool operator==(const AssignedHost &) const = default;
};

/// Exponentially decayed counts of a service's requests that ended on one host,
/// and of those among them that were not served.
struct RequestOutcomeCounts {
  double Ended_ = 0;
  double Unserved_ = 0;

  bool operator==(const RequestOutcomeCounts &) const = default;
};

/// A request is taken as unable to meet its deadline when its expected latency
/// exceeds the time left by this factor. The factor is above 1 because many
/// requests take less than the usual latency.
constexpr double DeadlineSlackFactor = 1.7;

/// What a request requires of the target picked for it.
struct PickConstraints {
  std::set<TargetId> Tried_;
  bool IsRetryable_ = false; ///< A failed attempt can be resent.
  /// Longest time that the answer may take. A target whose expected latency
  /// exceeds it by DeadlineSlackFactor is not picked.
  Duration TimeLeft_ = Duration::max();
  Duration Usual_{};          ///< Usual latency of this kind of request.
  bool IsLastResort_ = false; ///< Prefer an ejected target to none.
  /// Expected work of the request; used where the service is balanced by work.
  WorkEstimate Work_{};

  bool operator==(const PickConstraints &) const = default;
};

/// The target picked for a request.
struct TargetPick {
  TargetEntry Target_;
  bool IsTrial_ = false; ///< The target is ejected; the request is its trial.

  bool operator==(const TargetPick &) const = default;
};

class TargetBalancer {
public:
  TargetBalancer(HostId OwnId, FailureDomain OwnDomain, double FloorShare)
      : OwnId_(std::move(OwnId)), OwnDomain_(std::move(OwnDomain)),
        FloorShare_(FloorShare) {}

  /// Replaces the service's targets. State is kept for targets whose start time
  /// and address are unchanged.
  void setTargets(const std::vector<TargetEntry> &Targets, TimePoint Now);

  /// Sets the hosts that share the service's requests. They send trial requests
  /// to an ejected target in turn, in an order that every host computes alike.
  void setAssignedHosts(std::vector<AssignedHost> Hosts, TimePoint Now);

  /// Sets whether targets are chosen by expected work instead of by count.
  void setBalancesByWork(bool ByWork) { ByWork_ = ByWork; }

  /// Picks an untried target whose rate limit allows a request of this host:
  /// one that is due for a trial request, otherwise the one with room and the
  /// lowest expected cost. Returns nothing when there is neither, unless
  /// `IsLastResort_` is set and an ejected one has room.
  std::optional<TargetPick> pick(const PickConstraints &Constraints,
                                 TimePoint Now, RandomSource &Random);

  /// Records that an attempt was sent. `Work` is the expected work of its
  /// request.
  void attemptStarted(const TargetId &Id, TimePoint Now,
                      const WorkEstimate &Work = WorkEstimate());

  /// Work that an attempt in progress has got since its start: the time without
  /// the expected wait at the target and without the target's slowness in
  /// relation to the service's others. Empty for an unknown attempt.
  std::optional<Duration> workDone(const TargetId &Id, TimePoint StartedAt,
                                   TimePoint Now) const;

  /// Records the end of an attempt. `Usual` is the usual latency of requests of
  /// its kind, or 0 while it is unknown; `Report` is empty when the target did
  /// not answer. Returns the evidence as it was counted: a timeout is none when
  /// the target has answered other requests meanwhile.
  AttemptEvidence attemptEnded(const TargetId &Id, TimePoint StartedAt,
                               AttemptEvidence Evidence, Duration Usual,
                               const TargetReport &Report, TimePoint Now);

  /// Requests per second that the target last said it takes from all hosts
  /// together; NoRateLimit when it named no limit or is unknown.
  double rateLimit(const TargetId &Id, TimePoint Now) const;

  /// Divides the targets' rate limits among the assigned hosts again, and
  /// returns those that should be announced to the other hosts now. Call it a
  /// few times a second.
  std::vector<NamedRateLimit> takeRateLimitUpdates(TimePoint Now);

  /// Records a rate limit that a target named to another host. Returns whether
  /// that changes the limit that is in force here.
  bool recordPeerRateLimit(const NamedRateLimit &Limit, TimePoint Now);

  /// Sets whether requests are waiting for room. While they are, trials come
  /// sooner and ejected targets that serve part of their requests are used.
  void setHasWaitingRequests(bool HasWaitingRequests) {
    HasWaitingRequests_ = HasWaitingRequests;
  }

  /// Records the end of a request for the floor. A request that was lost as a
  /// trial is not to be recorded: trials would call for further ones.
  void requestEnded(bool Served, TimePoint Now);

  /// Decayed counts of the requests that ended on this host.
  RequestOutcomeCounts outcomeCounts(TimePoint Now) const;

  /// Records the counts that another host reported.
  void recordPeerOutcomes(const HostId &From,
                          const RequestOutcomeCounts &Counts, TimePoint Now);

  /// Applies an observation about a target that another host reported.
  void applyPeerObservation(const TargetId &Id, TargetObservation Observation,
                            TimePoint Now);

  bool isEjected(const TargetId &Id) const;

  /// True when every target that could get requests is ejected.
  bool areAllEjected(TimePoint Now) const;

  /// True when there is an untried target, even if it is full or ejected.
  bool hasUntriedTarget(const PickConstraints &Constraints,
                        TimePoint Now) const;

  /// Requests per second that the targets can complete, by their slots and the
  /// mean latency. An ejected target counts by the share that it serves.
  double completionRate(TimePoint Now) const;

  /// Describes each target in one word for logs: this host's requests in
  /// progress, those of other hosts, then `l` when leaving, `g` when another
  /// instance answers at its address, `r` when its rate limit allows no request
  /// of this host now, `e` when ejected, `p` on probation, `f` when it refused
  /// as full, `o` in the own failure domain, and, where the service is balanced
  /// by work, `w` with the expected wait there in milliseconds, if any.
  std::string describe(TimePoint Now) const;

  std::size_t size() const { return States_.size(); }
  std::size_t ejectedCount() const;

  /// Number of targets whose rate limit allows no request of this host now.
  std::size_t limitedCount(TimePoint Now) const;

  /// Expected time until the first target has a free slot.
  Duration expectedTimeToFreeSlot(TimePoint Now) const;

private:
  struct State {
    TargetEntry Entry_;
    TimePoint KnownSince_;
    OwnAttempts Running_;
    TimePoint SentAt_;     ///< Start of the last own attempt.
    double PeerLoad_ = 0;  ///< Other hosts' requests there, by its last report.
    TimePoint PeerLoadAt_; ///< When the load was reported.
    TargetRateLimit RateLimit_;
    double Slowness_ = 1; ///< Decayed mean of latency / usual latency.
    TimePoint SlownessAt_;
    std::uint32_t Failures_ = 0;  ///< Since it was last fully in use.
    std::uint32_t Successes_ = 0; ///< Since the last failure.
    TimePoint FailedAt_;
    TimePoint GraySince_;    ///< Assumed start of the current gray failure.
    TimePoint LastResultAt_; ///< Last failure or success on any host.
    std::size_t Rank_ = 0;   ///< Assigned hosts whose turn comes earlier.
    std::uint32_t Suspicion_ = 0; ///< Weighted late failures since an answer.
    TimePoint SuspectedAt_;
    bool Ejected_ = false;        ///< Stays set until trials succeed.
    bool IsUnresponsive_ = false; ///< Its last failure was not an answer.
    /// Decayed counts of successes and failures since the ejection.
    double Served_ = 0;
    double Unserved_ = 0;
    TimePoint OutcomesAt_;
    bool OnTrial_ = false; ///< A trial request is in progress.
    TimePoint AnsweredAt_; ///< When it last answered in full.
    TimePoint RefusingUntil_;
    double ShedShare_ = 0; ///< Share refused with slots free, as of ShedAt_.
    TimePoint ShedAt_;
    /// Set when another instance answered at its address, so that the target
    /// itself no longer runs there.
    std::optional<TimePoint> GoneUntil_;

    /// True when it gets no requests at all, not even trials.
    bool isUnavailable(TimePoint Now) const {
      return Entry_.Leaving_ || (GoneUntil_ && Now < *GoneUntil_) ||
             RateLimit_.ownPerSecond(Now) == 0;
    }
  };

  /// What a pick derives once from all targets and hosts.
  struct PickBasis {
    double UnservedShare_ = 0; ///< Of the service's recent requests.
    /// Fewer trials of unresponsive targets are in progress than may be.
    bool MayTryUnresponsive_ = true;
    bool HasEjected_ = false; ///< Some target is ejected.

    bool mayTry(const State &Target) const {
      return MayTryUnresponsive_ || !Target.IsUnresponsive_;
    }
  };

  double load(const State &Target, TimePoint Now) const;
  double peerLoadByWork(const State &Target, TimePoint Now) const;
  /// Expected wait for a slot at the target, in microseconds of work at a
  /// target of usual speed.
  double expectedWaitUs(const State &Target, double Load, double Slowness,
                        TimePoint Now) const;
  /// Expected time until the target would have completed the request, in means
  /// of the service's work.
  double completionTime(const State &Target, const WorkEstimate &Work,
                        double Load, double Slowness, TimePoint Now) const;
  /// Mean work of the service's requests, or its mean latency where it is
  /// balanced by count.
  double usualUs() const { return ByWork_ ? MeanWorkUs_ : MeanLatencyUs_; }
  Duration expectedWait(const State &Target, TimePoint Now) const;
  void recordExpectedWork(const WorkEstimate &Work);
  static Duration runTime(const OwnAttempt &Attempt, TimePoint StartedAt,
                          TimePoint Now);
  void recordSpeed(State &Target, const std::optional<OwnAttempt> &Attempt,
                   TimePoint StartedAt, Duration Usual, TimePoint Now);
  void recordPeerLoad(State &Target, double Load, TimePoint Now);
  static double shedShare(const State &Target, TimePoint Now);
  static void recordShedding(State &Target, bool Refused, TimePoint Now);
  /// Latency factor of the target, decayed towards 1 and raised by a cold
  /// start.
  double slowness(const State &Target, TimePoint Now) const;
  /// Expected time of a new request there, in usual latencies.
  double expectedTime(const State &Target, TimePoint Now) const;
  Duration trialPause(const State &Target, bool IsRetryable,
                      TimePoint Now) const;
  Duration turnDelay(const State &Target) const;
  void updateRank(State &Target) const;
  void updateRateLimitShares(TimePoint Now);
  void updateRateLimitShare(State &Target,
                            const std::vector<HostWeight> &Weights,
                            TimePoint Now) const;
  double completionRate(const State &Target, TimePoint Now) const;
  std::size_t rankOf(const TargetEntry &Entry) const;
  double unservedShare(TimePoint Now) const;
  bool mayBeTrial(const PickConstraints &Constraints, TimePoint Now) const;
  bool isCapacityShort() const;
  static void countOutcome(State &Target, bool Served, TimePoint Now);
  static double servedShare(const State &Target);

  static Duration floorPause(const State &Target, bool IsAtRisk);
  PickBasis pickBasis(TimePoint Now) const;
  const State *floorTrialTarget(const PickConstraints &Constraints,
                                const PickBasis &Basis, TimePoint Now) const;
  bool showsSilence(const State &Target, TimePoint StartedAt, double UsualUs,
                    TimePoint Now) const;
  void applyEvidence(State &Target, AttemptEvidence Evidence,
                     TimePoint StartedAt, TimePoint Now);
  bool isSilent(const State &Target, TimePoint Now) const;
  bool hasRoom(const State &Target, double Load, TimePoint Now) const;
  std::optional<TargetPick> pickLastResort(const PickConstraints &Constraints,
                                           TimePoint Now);
  bool isTrialDue(const State &Target, const PickConstraints &Constraints,
                  const PickBasis &Basis, TimePoint Now) const;
  void recordTrialOfUnresponsive(bool Succeeded);
  void adjustGrayFailureLength(State &Target, bool Succeeded, TimePoint Now);
  void raiseSuspicion(State &Target, std::uint32_t Weight, TimePoint Now);
  void eject(State &Target, TimePoint Now);
  void recordSuccess(State &Target, TimePoint Now);

  struct PeerOutcomes {
    RequestOutcomeCounts Counts_;
    TimePoint ReportedAt_;
  };

  HostId OwnId_;
  FailureDomain OwnDomain_;
  double FloorShare_;
  std::vector<AssignedHost> AssignedHosts_;
  HostDemand Demand_;
  /// Most trials of unresponsive targets that this host makes at once; see
  /// pickBasis().
  std::size_t MaxUnresponsiveTrials_ = 1;
  bool HasWaitingRequests_ = false;
  std::map<TargetId, State> States_;
  /// Decayed mean latency. Samples below the mean weigh less, in proportion.
  double MeanLatencyUs_ = 200'000;
  bool ByWork_ = false;
  /// Decayed mean of the expected work of the attempts sent, all alike.
  double MeanWorkUs_ = 200'000;
  /// Decayed mean of the slowness of the targets that answered. Slowness that
  /// all targets share is work.
  double ServiceSlowness_ = 1;
  /// Decayed mean of the other hosts' requests at a slot, by all reports.
  double PeerLoadPerSlot_ = 0;
  TimePoint RetryablePickedAt_;      ///< Last pick for a retryable request.
  RequestOutcomeCounts OwnOutcomes_; ///< As of OwnOutcomesAt_.
  TimePoint OwnOutcomesAt_;
  std::map<HostId, PeerOutcomes> PeerOutcomes_;
  /// Expected length of a gray failure; see adjustGrayFailureLength().
  double GrayFailureSeconds_ = 6;
};

} // namespace kumquatpitch

#endif
