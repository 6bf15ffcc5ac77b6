// Decides whether a request to one service of a contract may be retried or
// hedged, and owns the retry budget that the contract sets. Called by HostCore.
// Does not choose targets and does not handle the tokens of requests that must
// not be repeated.

#ifndef KUMQUATPITCH_RETRY_POLICY_H
#define KUMQUATPITCH_RETRY_POLICY_H

#include "kumquatpitch/attempt.h"
#include "kumquatpitch/contract.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// Why another attempt may or may not be made.
enum class RetryVerdict : std::uint8_t {
  Allowed,
  NotIdempotent,
  NotRetryable, ///< A retry would end the same, or the caller left.
  AttemptsUsed, ///< The contract's MaxAttempts_ is reached.
  NoOtherTarget,
  DeadlineTooNear,
  ServiceOverloaded,
  TooEarly, ///< Hedges only: before the hedge delay, or it is unknown.
  BudgetEmpty,
};

/// Stable name of a verdict for logs and metrics, such as `budget_empty`.
const char *retryVerdictName(RetryVerdict Verdict);

/// A request for which another attempt is considered.
struct RetryContext {
  bool Idempotent_ = false;     ///< According to the contract's route.
  std::uint32_t Attempts_ = 1;  ///< Made so far, including hedges.
  TimePoint Deadline_;          ///< Of the request.
  bool HasOtherTarget_ = false; ///< An untried target has a free slot.
  bool IsQueueEmpty_ = true;    ///< This host's queue of the service.
  AttemptEnd LastEnd_ = AttemptEnd::Answered; ///< Not used for hedges.
  TimePoint LastStart_; ///< When the attempt in progress began; hedges only.

  bool operator==(const RetryContext &) const = default;
};

/// Retry budget and recent outcomes of one service of a contract.
class RetryPolicy {
public:
  /// Replaces the contract's terms. The credit saved so far stays, unless the
  /// budget is now 0 percent.
  void setTerms(const RetryTerms &Terms);

  /// Records that a request's first attempt begins, which adds to the budget.
  void firstAttempt(TimePoint Now);

  /// Decides whether a failed attempt may be retried. `Allowed` charges the
  /// attempt to the budget, so the retry must then be made.
  RetryVerdict mayRetry(const RetryContext &Context, TimePoint Now);

  /// Decides whether a second attempt may start while one is in progress.
  /// `Allowed` charges the budget, as in mayRetry().
  RetryVerdict mayHedge(const RetryContext &Context, TimePoint Now);

  /// Records how an attempt ended.
  void recordOutcome(const AttemptReport &Report, TimePoint Now);

  /// Time after the start of an attempt from which it may be hedged: the 95th
  /// percentile of recent latencies. None while there are too few samples.
  std::optional<Duration> hedgeDelay() const { return HedgeDelay_; }

  /// Number of attempts that the budget allows now.
  std::uint32_t budget() const;

private:
  bool isOverloaded(const RetryContext &Context, TimePoint Now) const;
  RetryVerdict checkLimits(const RetryContext &Context, TimePoint Now) const;
  RetryVerdict chargeBudget();
  void recordLatency(Duration Latency);

  RetryTerms Terms_;
  /// In hundredths of an attempt, at most MaxCredit. Starts at 0 so that
  /// retries stay below the contract's percentage of first attempts.
  std::uint32_t Credit_ = 0;
  double RefusedCount_ = 0; ///< Decayed count of refused attempts.
  double EndedCount_ = 0;   ///< Decayed count of all attempts that ended.
  TimePoint CountedAt_;     ///< Time to which the counts are decayed.
  std::vector<Duration> Latencies_; ///< Ring buffer of recent answers.
  std::size_t NextLatency_ = 0;     ///< Index in Latencies_.
  std::optional<Duration> HedgeDelay_;
  Duration MedianLatency_{}; ///< Median of recent answers; 0 while unknown.
};

} // namespace kumquatpitch

#endif
