// Retries and hedges of one service of a contract: whether another attempt may
// be made, within the contract's budget. Called by HostCore; does not choose
// targets and does not know tokens of requests that may not be repeated.

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
  NotRetryable, ///< The last end would repeat itself, or the caller left.
  AttemptsUsed, ///< The contract's attempts are used up.
  NoOtherTarget,
  DeadlineTooNear,
  ServiceOverloaded,
  TooEarly, ///< A hedge before the hedge delay, or with too few latencies.
  BudgetEmpty,
};

/// Fixed name of a verdict for logs and metrics, such as `budget_empty`.
const char *retryVerdictName(RetryVerdict Verdict);

/// A request for which another attempt is considered.
struct RetryContext {
  bool Idempotent_ = false;     ///< By the contract's route.
  std::uint32_t Attempts_ = 1;  ///< Made so far, with hedges.
  TimePoint Deadline_;          ///< Of the request.
  bool HasOtherTarget_ = false; ///< A target that was not tried has a slot.
  bool IsQueueEmpty_ = true;    ///< The service's own queue.
  AttemptEnd LastEnd_ = AttemptEnd::Answered; ///< Not used for hedges.
  TimePoint LastStart_; ///< When the attempt in progress began; hedges only.

  bool operator==(const RetryContext &) const = default;
};

/// Budget and recent outcomes of one service of a contract.
class RetryPolicy {
public:
  /// Takes over the contract's terms; the budget is kept up to its new bound.
  void setTerms(const RetryTerms &Terms);

  /// A request's first attempt begins, which fills the budget.
  void firstAttempt(TimePoint Now);

  /// Decides on an attempt after one that failed. Allowed takes the attempt
  /// from the budget, so the caller must make it.
  RetryVerdict mayRetry(const RetryContext &Context, TimePoint Now);

  /// Decides on a second attempt beside one in progress, as mayRetry does.
  RetryVerdict mayHedge(const RetryContext &Context, TimePoint Now);

  /// Records how an attempt ended.
  void noteOutcome(const AttemptReport &Report, TimePoint Now);

  /// Time after the start of an attempt when it may be hedged: the 95th
  /// percentile of recent latencies. None while too few are known.
  std::optional<Duration> hedgeDelay() const { return HedgeDelay_; }

  /// Attempts that the budget allows now.
  std::uint32_t budget() const;

private:
  bool isOverloaded(const RetryContext &Context, TimePoint Now) const;
  RetryVerdict commonVerdict(const RetryContext &Context, TimePoint Now) const;
  RetryVerdict spend();
  void noteLatency(Duration Latency);

  RetryTerms Terms_;
  /// Hundredths of attempts, at most MaxCredit. Starts at 0, so that retries
  /// stay under the contract's percentage of first attempts.
  std::uint32_t Credit_ = 0;
  double Shed_ = 0;     ///< Decayed count of refused attempts.
  double Ended_ = 0;    ///< Decayed count of all attempts that ended.
  TimePoint CountedAt_; ///< Time to which the counts are decayed.
  std::vector<Duration> Latencies_; ///< Ring of recent answers.
  std::size_t NextLatency_ = 0;     ///< Index in the ring.
  std::optional<Duration> HedgeDelay_;
  Duration Typical_{}; ///< Median of recent answers; 0 while unknown.
};

} // namespace kumquatpitch

#endif
