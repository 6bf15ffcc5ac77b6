// Chooses the target of each request of one service, from the host's own
// requests in progress, the load that answers report, latencies and failures.
// Failing targets are ejected for a while, within the service's floor. Driven
// by GatewayCore. Pure.

#ifndef KUMQUATPITCH_TARGET_BALANCER_H
#define KUMQUATPITCH_TARGET_BALANCER_H

#include "kumquatpitch/name.h"
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
  Gone,        ///< Another instance answers at its address.
  Refused,     ///< It refused the request without running it.
  Silent,      ///< No answer when the attempt was given up.
  None,        ///< The caller left or the answer says nothing.
};

/// What hosts tell each other about a target.
enum class TargetNews : std::uint8_t {
  Recovered = 0, ///< A trial succeeded.
  Doubtful = 1,  ///< A failure as healthy targets have now and then.
  Failed = 2,    ///< A failure that healthy targets do not have.
  Gone = 3,      ///< Another instance answers at its address.
};

/// A host that callers of a service are told to use.
struct GroupHost {
  HostId Id_;
  FailureDomain Domain_;

  bool operator==(const GroupHost &) const = default;
};

/// How many requests for a service ended lately on one host, and how many of
/// them were not served: decayed counts.
struct ServiceTally {
  double Ended_ = 0;
  double Unserved_ = 0;

  bool operator==(const ServiceTally &) const = default;
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

namespace detail {

inline double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace detail

class TargetBalancer {
public:
  TargetBalancer(HostId Own, FailureDomain OwnDomain, double FloorShare)
      : Own_(std::move(Own)), OwnDomain_(std::move(OwnDomain)),
        FloorShare_(FloorShare) {}

  /// Takes the service's current targets.
  void setTargets(const std::vector<TargetEntry> &Targets, TimePoint Now);

  /// Takes the hosts that share the service's requests. They take turns to try
  /// an ejected target, in an order that each of them computes alike.
  void setGroup(std::vector<GroupHost> Group);

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

  /// Requests that ended on this host lately.
  ServiceTally tally(TimePoint Now) const;

  /// The same of another host.
  void peerTally(const HostId &From, const ServiceTally &Of, TimePoint Now);

  /// Another host reports what it saw of a target.
  void peerEvidence(const TargetId &Id, TargetNews News, TimePoint Now);

  bool isEjected(const TargetId &Id) const;

  /// True when a target besides tried ones is known, full or not.
  bool hasTarget(const PickTerms &Terms, TimePoint Now) const;

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
    TimePoint SpellAt_;    ///< When it is taken to have turned gray.
    TimePoint TriedAt_;    ///< Last news of it from any host while ejected.
    std::size_t Rank_ = 0; ///< Hosts of the group that try it before this one.
    std::uint32_t Doubts_ = 0; ///< Weighted late failures since an answer.
    TimePoint DoubtedAt_;
    bool Ejected_ = false; ///< Stays set until trials succeed.
    double Served_ = 0;    ///< Decayed counts since the ejection,
    double Unserved_ = 0;  ///< by what requests showed.
    TimePoint RatedAt_;
    bool OnTrial_ = false; ///< A trial request is in progress.
    TimePoint HeardAt_;    ///< When it last gave a whole answer.
    TimePoint RefusingUntil_;
    /// Another instance answered at its address: it is not there any more.
    std::optional<TimePoint> GoneUntil_;

    /// True when it gets no requests at all, not even as a trial.
    bool isOut(TimePoint Now) const {
      return Entry_.Leaving_ || (GoneUntil_ && Now < *GoneUntil_);
    }
  };

  double load(const State &Each, TimePoint Now) const;
  double slowness(const State &Each, TimePoint Now) const;
  double expected(const State &Each, TimePoint Now) const;
  Duration trialPause(const State &Each, bool MayRepeat, TimePoint Now) const;
  Duration turnOf(const State &Each) const;
  std::size_t rankOf(const TargetEntry &Of) const;
  bool isFloorAtRisk(TimePoint Now) const;
  bool mayRisk(const PickTerms &Terms, TimePoint Now) const;
  bool isCapacityShort() const;
  static void rate(State &Each, bool Served, TimePoint Now);
  static double servedShare(const State &Each);
  const State *floorTrial(const PickTerms &Terms, TimePoint Now) const;
  void takeEvidence(State &Each, AttemptEvidence Evidence, TimePoint StartedAt,
                    TimePoint Now);
  bool isSilent(const State &Each, TimePoint Now) const;
  bool hasRoom(const State &Each, TimePoint Now) const;
  bool areAllEjected(TimePoint Now) const;
  std::optional<TargetPick> lastResort(const PickTerms &Terms, TimePoint Now);
  bool mayTry(const State &Each, const PickTerms &Terms, TimePoint Now) const;
  void followTrial(State &Each, bool Succeeded, TimePoint Now);
  void doubt(State &Each, std::uint32_t Weight, TimePoint Now);
  void eject(State &Each, TimePoint Now);
  void succeed(State &Each, TimePoint Now);

  struct PeerTally {
    ServiceTally Of_;
    TimePoint At_;
  };

  HostId Own_;
  FailureDomain OwnDomain_;
  double FloorShare_;
  std::vector<GroupHost> Group_;
  bool IsCrowded_ = false;
  std::map<TargetId, State> States_;
  /// Decayed mean latency in microseconds, by the time that requests take.
  double Mean_ = 200'000;
  TimePoint RepeatableAt_; ///< When a repeatable request was last placed.
  ServiceTally Ended_;     ///< Of this host, at EndedAt_.
  TimePoint EndedAt_;
  std::map<HostId, PeerTally> PeerTallies_;
  /// Expected length of a gray failure: see followTrial().
  double SpellSeconds_ = 6;
};

} // namespace kumquatpitch

#endif
