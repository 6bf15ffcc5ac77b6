// Good and bad requests of one service of a contract, and how fast they use up
// the error budget. HostCore records the end of each request; the commands
// merge the snapshots of several hosts. Holds no state beyond the host's life.

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

/// Why a request was bad.
enum class BurnCause : std::uint8_t {
  Ejected,   ///< No target was usable.
  Shed,      ///< Refused by a full queue or pool, or by the backend server.
  OverLimit, ///< Above the contract's rate or requests in progress.
  Deadline,  ///< Not answered by its deadline.
  Unknown,   ///< The caller cannot be told whether it ran.
  Slow,      ///< Answered, but later than the objective's latency.
  Failed,    ///< Answered with a server error.
};
constexpr std::size_t BurnCauseCount = 7;

/// Name of a cause in JSON and metrics, such as `over_limit`.
const char *burnCauseName(BurnCause Cause);

/// How a request ended, as the caller saw it.
struct RequestEnd {
  ResultCode Code_ = ResultCode::Ok; ///< Ok when an answer was delivered.
  Outcome Outcome_ = Outcome::Ran;
  int HttpStatus_ = 200;
  Duration Latency_{};

  bool operator==(const RequestEnd &) const = default;
};

/// A request's standing by an objective. Without a cause it is good.
struct BurnVerdict {
  std::optional<BurnCause> Cause_;
  Outcome Outcome_ = Outcome::Ran;

  bool operator==(const BurnVerdict &) const = default;
};

/// Judges a request. None when it does not count: the caller made a mistake,
/// left, asked the wrong host or resent a request that is counted already.
std::optional<BurnVerdict> judge(const RequestEnd &End, const Objective &Slo);

/// Requests of some span of time.
struct BurnCounts {
  std::uint64_t Good_ = 0;
  std::array<std::uint64_t, BurnCauseCount> BadByCause_{};
  std::array<std::uint64_t, 3> BadByOutcome_{}; ///< By Outcome's values.

  std::uint64_t bad() const;
  std::uint64_t total() const { return Good_ + bad(); }
  void add(const BurnCounts &Other);
  void add(const BurnVerdict &Verdict);

  bool operator==(const BurnCounts &) const = default;
};

/// Counts in equal buckets from a start on; older buckets are dropped. Memory
/// is fixed at construction.
class CountRing {
public:
  CountRing(TimePoint Start, Duration BucketLength, std::size_t Buckets);

  void add(const BurnVerdict &Verdict, TimePoint Now);

  /// Sum over the current bucket and `Full` buckets before it.
  BurnCounts last(std::size_t Full, TimePoint Now) const;

  /// Sum over `Count` buckets that ended `Skip` buckets before the current one.
  BurnCounts range(std::size_t Skip, std::size_t Count, TimePoint Now) const;

  /// The same counts in buckets of another length.
  CountRing withLength(Duration BucketLength) const;

private:
  std::int64_t indexAt(TimePoint Now) const;
  BurnCounts &bucketAt(std::int64_t Index);
  const BurnCounts *find(std::int64_t Index) const;

  TimePoint Start_;
  Duration Length_;
  std::vector<BurnCounts> Buckets_;
  std::int64_t Newest_ = 0; ///< Bucket i lies at i modulo the size; buckets
                            ///< above Newest_ - size are valid.
};

enum class BurnWindow : std::uint8_t { Min5, Min30, Hour1, Hour6, Slo };
constexpr std::size_t BurnWindowCount = 5;

/// `5m`, `30m`, `1h`, `6h` or `slo`.
const char *burnWindowName(BurnWindow Window);

/// Length of a window under an objective.
Duration burnWindowLength(BurnWindow Window, const Objective &Slo);

/// Counts of a window. They may reach back one bucket further than its length:
/// 15 s for 5 min, 1 min up to 6 h, 1/112 of the objective's own window.
struct WindowCounts {
  BurnCounts Counts_;
  Duration Covered_{}; ///< Part of the window that was counted at all.

  bool operator==(const WindowCounts &) const = default;
};

/// Good and bad requests of five minutes.
struct BurnPoint {
  std::uint64_t Good_ = 0;
  std::uint64_t Bad_ = 0;

  bool operator==(const BurnPoint &) const = default;
};
constexpr std::chrono::minutes BurnPointLength{5};
constexpr std::size_t MaxBurnPoints = 72;

/// What one host counted for one service of a contract.
struct BurnSnapshot {
  CustomerName Customer_;
  ServiceName Service_;
  Objective Slo_;
  Duration CountedFor_{}; ///< Before the snapshot; earlier nothing is known.
  std::array<WindowCounts, BurnWindowCount> Windows_;
  std::vector<BurnPoint> Series_; ///< Newest first, at most MaxBurnPoints; only
                                  ///< spans that were counted in full.

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

  /// Takes a changed objective. What is counted stays as it was judged.
  void setObjective(const Objective &Slo, TimePoint Now);

  /// Judges and counts a request; gives the verdict, none if not counted.
  std::optional<BurnVerdict> record(const RequestEnd &End, TimePoint Now);

  BurnSnapshot snapshot(TimePoint Now) const;

private:
  CustomerName Customer_;
  ServiceName Service_;
  Objective Slo_;
  TimePoint Start_;
  TimePoint SloStart_; ///< Start of what SloRing_ still holds.
  CountRing Recent_;   ///< For the 5 min window.
  CountRing Minutes_;  ///< For windows of 30 min to 6 h and the series.
  CountRing SloRing_;
};

/// Snapshots of several hosts for one service of a contract.
struct MergedBurn {
  BurnSnapshot Total_; ///< Sums; CountedFor_ and Covered_ are the least of all
                       ///< hosts; the series ends with the longest one.
  std::size_t Hosts_ = 0;
  Duration LongestCounted_{};
  bool ObjectivesDiffer_ = false; ///< Hosts have different contract versions;
                                  ///< Total_ takes the strictest availability.

  bool operator==(const MergedBurn &) const = default;
};

/// Merges by customer and service, in this order. Series are aligned by age,
/// since hosts' clocks are not compared.
std::vector<MergedBurn> mergeBurn(const std::vector<BurnSnapshot> &Snapshots);

/// Share of bad requests over the share that the objective allows; 1 uses up
/// the budget exactly within the objective's window. None without requests.
std::optional<double> burnRate(std::uint64_t Good, std::uint64_t Bad,
                               const Objective &Slo);

/// Part of the error budget that is left, 1 when untouched and negative when
/// overspent, over the requests counted so far. None without requests.
std::optional<double> budgetLeft(const BurnSnapshot &Value);

enum class BurnAlarm : std::uint8_t { None, Slow, Fast };

/// `none`, `slow` or `fast`.
const char *burnAlarmName(BurnAlarm Alarm);

/// Burn rate at which an alarm starts, for both windows of its pair. Fast: 2%
/// of the budget in 1 h. Slow: 5% in 6 h. At least 1, and at most the rate at
/// which every request is bad.
double alarmThreshold(BurnAlarm Alarm, const Objective &Slo);

/// Fast when the 5 min and 1 h windows are both at the threshold, slow when 30
/// min and 6 h are. The short window ends the alarm soon after the fault ends.
BurnAlarm burnAlarm(const BurnSnapshot &Value);

} // namespace kumquatpitch

#endif
