// Retry budget, overload and hedge delay. See retry-policy.h.

#include "kumquatpitch/retry-policy.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Most credit that is saved up in quiet times, enough for 10 attempts. A
/// larger bucket would allow a burst of retries when servers fail after a quiet
/// hour.
constexpr std::uint32_t MaxCredit = 1'001;

/// Credit that an attempt costs.
constexpr std::uint32_t AttemptCost = 100;

/// Time after which an ended attempt counts half in the share of shed ones.
constexpr Duration OutcomeHalfLife = std::chrono::seconds(1);

/// Fewest counted attempts from which the share of shed ones tells anything.
constexpr double MinOutcomes = 5;
constexpr double OverloadShare = 0.5;

constexpr std::size_t LatencyWindow = 200;
constexpr std::size_t MinLatencies = 40;

/// Answers between two computations of the quantiles, which sort the window.
constexpr std::size_t QuantilePeriod = 20;
constexpr double HedgeQuantile = 0.95;
constexpr double TypicalQuantile = 0.5;

bool isRetryable(AttemptEnd End) {
  switch (End) {
  case AttemptEnd::Refused:
  case AttemptEnd::ConnectFailed:
  case AttemptEnd::NotWritten:
  case AttemptEnd::TimedOut:
  case AttemptEnd::Broken:
  case AttemptEnd::Mismatched:
    return true;
  case AttemptEnd::Answered:
  case AttemptEnd::Cancelled:
  case AttemptEnd::NotDelimited:
  case AttemptEnd::TooLarge:
    return false;
  }
  return false;
}

/// No byte was sent to the first target, so another one may get the request
/// once even when it may not be repeated.
bool mayMoveUnsent(const RetryContext &Context) {
  return Context.Attempts_ == 1 &&
         (Context.LastEnd_ == AttemptEnd::ConnectFailed ||
          Context.LastEnd_ == AttemptEnd::NotWritten);
}

double decayFactor(Duration Age) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(OutcomeHalfLife.count()));
}

Duration quantileOf(std::vector<Duration> &Values, double Part) {
  const auto At =
      Values.begin() + static_cast<std::ptrdiff_t>(
                           Part * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), At, Values.end());
  return *At;
}

} // namespace

const char *retryVerdictName(RetryVerdict Verdict) {
  switch (Verdict) {
  case RetryVerdict::Allowed:
    return "allowed";
  case RetryVerdict::NotIdempotent:
    return "not_idempotent";
  case RetryVerdict::NotRetryable:
    return "not_retryable";
  case RetryVerdict::AttemptsUsed:
    return "attempts_used";
  case RetryVerdict::NoOtherTarget:
    return "no_other_target";
  case RetryVerdict::DeadlineTooNear:
    return "deadline_too_near";
  case RetryVerdict::ServiceOverloaded:
    return "service_overloaded";
  case RetryVerdict::TooEarly:
    return "too_early";
  case RetryVerdict::BudgetEmpty:
    return "budget_empty";
  }
  return "unknown";
}

void RetryPolicy::setTerms(const RetryTerms &Terms) {
  Terms_ = Terms;
  if (Terms_.BudgetPercent_ == 0)
    Credit_ = 0;
}

void RetryPolicy::firstAttempt(TimePoint /*Now*/) {
  Credit_ = std::min(Credit_ + Terms_.BudgetPercent_, MaxCredit);
}

bool RetryPolicy::isOverloaded(const RetryContext &Context,
                               TimePoint Now) const {
  if (!Context.IsQueueEmpty_)
    return true;
  const double Known = Ended_ * decayFactor(Now - CountedAt_);
  return Known >= MinOutcomes && Shed_ > OverloadShare * Ended_;
}

RetryVerdict RetryPolicy::commonVerdict(const RetryContext &Context,
                                        TimePoint Now) const {
  if (Context.Attempts_ >= Terms_.MaxAttempts_)
    return RetryVerdict::AttemptsUsed;
  if (!Context.HasOtherTarget_)
    return RetryVerdict::NoOtherTarget;
  if (Now + Typical_ >= Context.Deadline_)
    return RetryVerdict::DeadlineTooNear;
  if (isOverloaded(Context, Now))
    return RetryVerdict::ServiceOverloaded;
  return RetryVerdict::Allowed;
}

std::uint32_t RetryPolicy::budget() const {
  return Credit_ == 0 ? 0 : (Credit_ - 1) / AttemptCost;
}

RetryVerdict RetryPolicy::spend() {
  // Some credit remains, so that retries stay under the percentage.
  if (Credit_ <= AttemptCost)
    return RetryVerdict::BudgetEmpty;
  Credit_ -= AttemptCost;
  return RetryVerdict::Allowed;
}

RetryVerdict RetryPolicy::mayRetry(const RetryContext &Context, TimePoint Now) {
  if (!isRetryable(Context.LastEnd_))
    return RetryVerdict::NotRetryable;
  if (!Context.Idempotent_ && !mayMoveUnsent(Context))
    return RetryVerdict::NotIdempotent;
  const RetryVerdict Common = commonVerdict(Context, Now);
  return Common == RetryVerdict::Allowed ? spend() : Common;
}

RetryVerdict RetryPolicy::mayHedge(const RetryContext &Context, TimePoint Now) {
  if (!Context.Idempotent_)
    return RetryVerdict::NotIdempotent;
  if (!HedgeDelay_ || Now - Context.LastStart_ < *HedgeDelay_)
    return RetryVerdict::TooEarly;
  const RetryVerdict Common = commonVerdict(Context, Now);
  return Common == RetryVerdict::Allowed ? spend() : Common;
}

void RetryPolicy::noteOutcome(const AttemptReport &Report, TimePoint Now) {
  const double Kept = decayFactor(Now - CountedAt_);
  CountedAt_ = Now;
  Shed_ = Shed_ * Kept + (Report.End_ == AttemptEnd::Refused ? 1 : 0);
  Ended_ = Ended_ * Kept + 1;
  if (Report.End_ == AttemptEnd::Answered)
    noteLatency(Report.Latency_);
}

void RetryPolicy::noteLatency(Duration Latency) {
  if (Latencies_.size() < LatencyWindow)
    Latencies_.push_back(Latency);
  else
    Latencies_[NextLatency_] = Latency;
  NextLatency_ = (NextLatency_ + 1) % LatencyWindow;
  if (Latencies_.size() < MinLatencies || NextLatency_ % QuantilePeriod != 0)
    return;
  std::vector<Duration> Sorted = Latencies_;
  HedgeDelay_ = quantileOf(Sorted, HedgeQuantile);
  Typical_ = quantileOf(Sorted, TypicalQuantile);
}

} // namespace kumquatpitch
