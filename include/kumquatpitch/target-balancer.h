// Chooses the target of each request of one service, from the host's own
// requests in progress, the load that answers report, latencies and failures.
// Failing targets are ejected for a while, within the service's floor. Driven
// by GatewayCore. Pure.

#ifndef KUMQUATPITCH_TARGET_BALANCER_H
#define KUMQUATPITCH_TARGET_BALANCER_H

#include "kumquatpitch/random-source.h"
#include "kumquatpitch/target-directory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquatpitch {

/// Load that a target reports with an answer.
struct ReportedLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;

  bool operator==(const ReportedLoad &) const = default;
};

/// What an attempt showed about its target.
enum class AttemptEvidence : std::uint8_t {
  Answered,    ///< It ran the request and answered with success.
  Failed,      ///< It failed at once, broke off or sent garbage.
  FailedLate,  ///< It failed after working for long, or on a request that takes
               ///< no time, as healthy targets do now and then.
  Unreachable, ///< No connection could be made.
  Refused,     ///< It refused the request without running it.
  Silent,      ///< No answer when the attempt was given up.
  None,        ///< The caller left or the answer says nothing.
};

/// What hosts tell each other about a target.
enum class TargetNews : std::uint8_t {
  Recovered = 0, ///< A trial succeeded.
  Doubtful = 1,  ///< A failure as healthy targets have now and then.
  Failed = 2,    ///< A failure that healthy targets do not have.
};

/// A request is hopeless when its usual time exceeds the time left by this
/// factor: many requests are done sooner than usual.
constexpr double HopelessFactor = 1.7;

struct PickTerms {
  std::set<TargetId> Tried_;
  bool MayRepeat_ = false; ///< A failure could be made good by a resend.
  /// Longest time that an answer may take; a target that is expected to need
  /// longer is no choice.
  Duration TimeLeft_ = Duration::max();
  Duration Usual_{};          ///< Usual latency of requests of this kind.
  bool IsLastResort_ = false; ///< Better an ejected target than none.

  bool operator==(const PickTerms &) const = default;
};

/// A chosen target.
struct TargetPick {
  TargetEntry Target_;
  bool IsTrial_ = false; ///< The target is ejected and gets a trial request.

  bool operator==(const TargetPick &) const = default;
};

class TargetBalancer {
public:
  /// `Salt` differs between hosts, so that they do not try an ejected target at
  /// the same moment.
  TargetBalancer(FailureDomain OwnDomain, double FloorShare, std::uint64_t Salt)
      : OwnDomain_(std::move(OwnDomain)), FloorShare_(FloorShare), Salt_(Salt) {
  }

  /// Takes the service's current targets.
  void setTargets(const std::vector<TargetEntry> &Targets, TimePoint Now);

  /// Chooses a target that has room; none when there is none besides tried
  /// ones.
  std::optional<TargetPick> pick(const PickTerms &Terms, TimePoint Now,
                                 RandomSource &Random);

  /// An attempt was sent.
  void attemptStarted(const TargetId &Id, TimePoint Now);

  /// An attempt ended. `Usual` is the usual latency of requests of its kind,
  /// or 0 while it is unknown.
  void attemptEnded(const TargetId &Id, TimePoint StartedAt,
                    AttemptEvidence Evidence, Duration Usual,
                    std::optional<ReportedLoad> Load, TimePoint Now);

  /// Tells whether requests wait for room, which makes ejected targets dear.
  void setCrowded(bool IsCrowded) { IsCrowded_ = IsCrowded; }

  /// A request ended, served or not.
  void requestEnded(bool Served, TimePoint Now);

  /// Another host reports what it saw of a target.
  void peerEvidence(const TargetId &Id, TargetNews News, TimePoint Now);

  bool isEjected(const TargetId &Id) const;

  /// True when a target besides tried ones is known, full or not.
  bool hasTarget(const PickTerms &Terms) const;

  /// Requests that the targets in use end in a second, at the usual latency.
  double drainRate(TimePoint Now) const;

  /// One word for each target, for logs: its own requests in progress, those of
  /// other hosts, and `e` when ejected, `p` on probation, `l` when leaving.
  std::string describe(TimePoint Now) const;

  std::size_t size() const { return States_.size(); }
  std::size_t ejectedCount() const;

  /// Time until the target that is free first is expected to be free.
  Duration expectedRoom(TimePoint Now) const;

private:
  struct State {
    TargetEntry Entry_;
    TimePoint KnownSince_;
    std::multiset<TimePoint> Running_; ///< Starts of own attempts.
    double Foreign_ = 0;  ///< Requests of other hosts, as last reported.
    TimePoint ForeignAt_; ///< When it was reported.
    double Slowness_ = 1; ///< Decayed mean of latencies by the usual ones.
    TimePoint SlownessAt_;
    std::uint32_t Failures_ = 0;  ///< Since it was last in use.
    std::uint32_t Successes_ = 0; ///< Since the last failure.
    TimePoint FailedAt_;
    TimePoint TriedAt_; ///< Last news of it from any host while ejected.
    double Jitter_ = 1; ///< Of trial pauses; differs between hosts.
    TimePoint FailedLateAt_;
    bool HasFailedLate_ = false;
    bool Ejected_ = false; ///< Stays set until trials succeed.
    double Served_ = 0;    ///< Decayed counts since the ejection,
    double Unserved_ = 0;  ///< by what requests showed.
    TimePoint RatedAt_;
    bool OnTrial_ = false; ///< A trial request is in progress.
    TimePoint HeardAt_;    ///< When it last gave a whole answer.
    TimePoint RefusingUntil_;
  };

  double load(const State &Each, TimePoint Now) const;
  double slowness(const State &Each, TimePoint Now) const;
  double expected(const State &Each, TimePoint Now) const;
  Duration trialPause(const State &Each, bool MayRepeat) const;
  bool isFloorAtRisk() const;
  bool isCapacityShort() const;
  static void rate(State &Each, bool Served, TimePoint Now);
  static double servedShare(const State &Each);
  const State *floorTrial(TimePoint Now) const;
  void takeEvidence(State &Each, AttemptEvidence Evidence, TimePoint StartedAt,
                    TimePoint Now);
  bool isSilent(const State &Each, TimePoint Now) const;
  bool hasRoom(const State &Each, TimePoint Now) const;
  bool areAllEjected() const;
  std::optional<TargetPick> lastResort(const PickTerms &Terms);
  bool mayTry(const State &Each, const PickTerms &Terms, TimePoint Now) const;
  void doubt(State &Each, TimePoint Now);
  void eject(State &Each, TimePoint Now);
  void succeed(State &Each, TimePoint Now);

  FailureDomain OwnDomain_;
  double FloorShare_;
  std::uint64_t Salt_;
  bool IsCrowded_ = false;
  std::map<TargetId, State> States_;
  /// Decayed mean latency in microseconds, by the time that requests take.
  double Mean_ = 200'000;
  TimePoint RepeatableAt_; ///< When a repeatable request was last placed.
  double Ended_ = 0;       ///< Decayed count of requests that ended,
  double Unserved_ = 0;    ///< and of those that were not served.
  TimePoint EndedAt_;
};

} // namespace kumquatpitch

#endif
