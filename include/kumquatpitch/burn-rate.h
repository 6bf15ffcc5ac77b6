// Counts good and bad requests of one service of a contract and computes its
// burn rate: how fast bad requests use up the error budget of the service's
// objective. HostCore records each finished request; the commands merge the
// snapshots of several hosts. The counts are in memory only and are lost when
// the host restarts.

#ifndef KUMQUATPITCH_BURN_RATE_H
#define KUMQUATPITCH_BURN_RATE_H

#include "kumquatpitch/contract.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/result-code.h"
#include "kumquatpitch/time-point.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// Why a request counts as bad.
enum class BurnCause : std::uint8_t {
  Ejected,   ///< No backend server was usable.
  Shed,      ///< Refused by a full queue or pool, or by the backend server.
  OverLimit, ///< Above the contract's limit on rate or concurrency.
  Deadline,  ///< Not answered by its deadline.
  Unknown,   ///< It is not known whether the request ran.
  Slow,      ///< Answered later than the latency objective allows.
  Failed,    ///< Answered with a server error.
};
constexpr std::size_t BurnCauseCount = 7;

/// Name of a cause in JSON and metrics, for example `over_limit`.
const char *burnCauseName(BurnCause Cause);

/// How a request ended, as the caller saw it.
struct CompletedRequest {
  ResultCode Code_ = ResultCode::Ok; ///< Ok when an answer was delivered.
  Outcome Outcome_ = Outcome::Ran;
  int HttpStatus_ = 200;
  Duration Latency_{};

  bool operator==(const CompletedRequest &) const = default;
};

/// How a request counts against an objective.
struct RequestClass {
  std::optional<BurnCause> Cause_; ///< None for a good request.
  Outcome Outcome_ = Outcome::Ran;

  bool operator==(const RequestClass &) const = default;
};

/// Classifies a request as good or bad. Returns none if the request does not
/// count: the caller sent an invalid request, disconnected, connected to the
/// wrong host, or resent a request that is already counted.
std::optional<RequestClass> classifyRequest(const CompletedRequest &End,
                                            const Objective &Slo);

/// Numbers of good and bad requests in a period of time.
struct BurnCounts {
  std::uint64_t Good_ = 0;
  std::array<std::uint64_t, BurnCauseCount> BadByCause_{};
  std::array<std::uint64_t, 3> BadByOutcome_{}; ///< Indexed by Outcome.

  std::uint64_t bad() const;
  std::uint64_t total() const { return Good_ + bad(); }
  void add(const BurnCounts &Other);
  void add(const RequestClass &Class);

  bool operator==(const BurnCounts &) const = default;
};

/// Counts requests in time buckets of equal length, in a ring buffer: a new
/// bucket overwrites the oldest one. Memory is fixed at construction.
class CountRing {
public:
  CountRing(TimePoint Start, Duration BucketLength, std::size_t Buckets);

  void add(const RequestClass &Class, TimePoint Now);

  /// Sum over the current bucket and the `FullBuckets` before it.
  BurnCounts sumLast(std::size_t FullBuckets, TimePoint Now) const;

  /// Sum over `Count` buckets, of which the newest is `Skip` buckets before the
  /// current one.
  BurnCounts sumRange(std::size_t Skip, std::size_t Count, TimePoint Now) const;

  /// Copies the counts into a ring with buckets of another length.
  CountRing withBucketLength(Duration BucketLength) const;

private:
  std::int64_t indexAt(TimePoint Now) const;
  BurnCounts &bucketAt(std::int64_t Index);
  const BurnCounts *find(std::int64_t Index) const;

  TimePoint Start_;
  Duration Length_;
  std::vector<BurnCounts> Buckets_;
  std::int64_t Newest_ = 0; ///< Index of the newest bucket. Bucket i is stored
                            ///< at i modulo the size; buckets with an index
                            ///< above Newest_ - size are valid.
};

enum class BurnWindow : std::uint8_t { Min5, Min30, Hour1, Hour6, Slo };
constexpr std::size_t BurnWindowCount = 5;

/// `5m`, `30m`, `1h`, `6h` or `slo`.
const char *burnWindowName(BurnWindow Window);

/// Length of a window under an objective.
Duration burnWindowLength(BurnWindow Window, const Objective &Slo);

/// Counts of a window. They may include up to one bucket more than the window's
/// length: 15 s for the 5 min window, 1 min for those of 30 min to 6 h, and
/// 1/112 of the objective's own window.
struct WindowCounts {
  BurnCounts Counts_;
  Duration Covered_{}; ///< Part of the window in which requests were counted.

  bool operator==(const WindowCounts &) const = default;
};

/// Good and bad requests of one five-minute interval of the series.
struct BurnPoint {
  std::uint64_t Good_ = 0;
  std::uint64_t Bad_ = 0;

  bool operator==(const BurnPoint &) const = default;
};
constexpr std::chrono::minutes BurnPointLength{5};
constexpr std::size_t MaxBurnPoints = 72;

/// Counts of one host for one service of a contract.
struct BurnSnapshot {
  CustomerName Customer_;
  ServiceName Service_;
  Objective Slo_;
  Duration CountedFor_{}; ///< Time from the start of counting to the snapshot.
  std::array<WindowCounts, BurnWindowCount> Windows_;
  std::vector<BurnPoint> Series_; ///< Newest first, at most MaxBurnPoints; only
                                  ///< intervals that were counted in full.

  const WindowCounts &window(BurnWindow Window) const {
    return Windows_[static_cast<std::size_t>(Window)];
  }

  bool operator==(const BurnSnapshot &) const = default;
};

/// Counts the requests of one service of a contract on one host.
class BurnRate {
public:
  BurnRate(CustomerName Customer, ServiceName Service, const Objective &Slo,
           TimePoint Now);

  /// Applies a changed objective. Requests that are already counted are not
  /// classified again.
  void setObjective(const Objective &Slo, TimePoint Now);

  /// Classifies and counts a request. Returns its class, or none if it does not
  /// count.
  std::optional<RequestClass> record(const CompletedRequest &End,
                                     TimePoint Now);

  BurnSnapshot snapshot(TimePoint Now) const;

private:
  CustomerName Customer_;
  ServiceName Service_;
  Objective Slo_;
  TimePoint Start_;
  TimePoint SloStart_; ///< Start of the time that SloRing_ covers.
  CountRing Recent_;   ///< For the 5 min window.
  CountRing Minutes_;  ///< For windows of 30 min to 6 h and the series.
  CountRing SloRing_;
};

/// Snapshots of several hosts for one service of a contract.
struct MergedBurn {
  BurnSnapshot Total_; ///< Sums over the hosts. CountedFor_ and Covered_ are
                       ///< the minimum over the hosts; the series is as long
                       ///< as the longest one.
  std::size_t Hosts_ = 0;
  Duration LongestCounted_{};     ///< Maximum CountedFor_ of the hosts.
  bool ObjectivesDiffer_ = false; ///< Hosts have different contract versions;
                                  ///< Total_ has the objective with the highest
                                  ///< availability.

  bool operator==(const MergedBurn &) const = default;
};

/// Merges the snapshots of each service; the result is sorted by customer, then
/// service. Series are aligned by age, because the clocks of different hosts
/// are not compared.
std::vector<MergedBurn> mergeBurn(const std::vector<BurnSnapshot> &Snapshots);

/// Share of bad requests divided by the share that the objective allows. At a
/// rate of 1 the error budget lasts exactly for the objective's window. None if
/// there are no requests.
std::optional<double> burnRate(std::uint64_t Good, std::uint64_t Bad,
                               const Objective &Slo);

/// Fraction of the error budget that is left, over the requests counted so far:
/// 1 if no request was bad, negative if the budget is overspent. None if there
/// are no requests.
std::optional<double> budgetLeft(const BurnSnapshot &Value);

enum class BurnAlarm : std::uint8_t { None, Slow, Fast };

/// `none`, `slow` or `fast`.
const char *burnAlarmName(BurnAlarm Alarm);

/// Burn rate that both windows of an alarm must reach. Fast: the rate that uses
/// 2% of the budget in 1 h. Slow: 5% in 6 h. The result is at least 1, and at
/// most the rate at which every request is bad.
double alarmThreshold(BurnAlarm Alarm, const Objective &Slo);

/// Fast if the 5 min and 1 h windows both reach its threshold, slow if the
/// 30 min and 6 h windows do. The short window of each pair makes the alarm end
/// soon after the fault ends.
BurnAlarm burnAlarm(const BurnSnapshot &Value);

} // namespace kumquatpitch

#endif
