// Retry budget, overload detection and hedge delay. See retry-policy.h.

#include "kumquatpitch/retry-policy.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Cap on the credit saved up while few requests fail, enough for 10 attempts.
/// A larger bucket would allow a burst of retries when servers fail after a
/// quiet hour.
constexpr std::uint32_t MaxCredit = 1'001;

/// Credit that one retry or hedge costs.
constexpr std::uint32_t AttemptCost = 100;

/// Half-life of an ended attempt's weight in the fraction of refused attempts.
constexpr Duration OutcomeHalfLife = std::chrono::seconds(1);

/// With fewer ended attempts than this (decayed), the fraction of refused ones
/// is not significant.
constexpr double MinEndedCount = 5;
constexpr double OverloadFraction = 0.5;

constexpr std::size_t LatencyWindow = 200;
constexpr std::size_t MinLatencies = 40;

/// Answers between two updates of the quantiles, which reorder the whole
/// window.
constexpr std::size_t QuantilePeriod = 20;
constexpr double HedgeQuantile = 0.95;
constexpr double MedianQuantile = 0.5;

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

/// True if the only attempt so far sent no byte of the request. It may then
/// move to another target once, even if it is not idempotent.
bool canMoveUnsent(const RetryContext &Context) {
  return Context.Attempts_ == 1 &&
         (Context.LastEnd_ == AttemptEnd::ConnectFailed ||
          Context.LastEnd_ == AttemptEnd::NotWritten);
}

double decayFactor(Duration Age) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(OutcomeHalfLife.count()));
}

Duration computeQuantile(std::vector<Duration> &Values, double Fraction) {
  const auto Position =
      Values.begin() + static_cast<std::ptrdiff_t>(
                           Fraction * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Position, Values.end());
  return *Position;
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
  const double DecayedCount = EndedCount_ * decayFactor(Now - CountedAt_);
  return DecayedCount >= MinEndedCount &&
         RefusedCount_ > OverloadFraction * EndedCount_;
}

RetryVerdict RetryPolicy::checkLimits(const RetryContext &Context,
                                      TimePoint Now) const {
  if (Context.Attempts_ >= Terms_.MaxAttempts_)
    return RetryVerdict::AttemptsUsed;
  if (!Context.HasOtherTarget_)
    return RetryVerdict::NoOtherTarget;
  if (Now + MedianLatency_ >= Context.Deadline_)
    return RetryVerdict::DeadlineTooNear;
  if (isOverloaded(Context, Now))
    return RetryVerdict::ServiceOverloaded;
  return RetryVerdict::Allowed;
}

std::uint32_t RetryPolicy::budget() const {
  return Credit_ == 0 ? 0 : (Credit_ - 1) / AttemptCost;
}

RetryVerdict RetryPolicy::chargeBudget() {
  // Credit must not reach 0, so that retries stay below the percentage instead
  // of reaching it.
  if (Credit_ <= AttemptCost)
    return RetryVerdict::BudgetEmpty;
  Credit_ -= AttemptCost;
  return RetryVerdict::Allowed;
}

RetryVerdict RetryPolicy::mayRetry(const RetryContext &Context, TimePoint Now) {
  if (!isRetryable(Context.LastEnd_))
    return RetryVerdict::NotRetryable;
  if (!Context.Idempotent_ && !canMoveUnsent(Context))
    return RetryVerdict::NotIdempotent;
  const RetryVerdict Verdict = checkLimits(Context, Now);
  return Verdict == RetryVerdict::Allowed ? chargeBudget() : Verdict;
}

RetryVerdict RetryPolicy::mayHedge(const RetryContext &Context, TimePoint Now) {
  if (!Context.Idempotent_)
    return RetryVerdict::NotIdempotent;
  if (!HedgeDelay_ || Now - Context.LastStart_ < *HedgeDelay_)
    return RetryVerdict::TooEarly;
  const RetryVerdict Verdict = checkLimits(Context, Now);
  return Verdict == RetryVerdict::Allowed ? chargeBudget() : Verdict;
}

void RetryPolicy::recordOutcome(const AttemptReport &Report, TimePoint Now) {
  const double Decay = decayFactor(Now - CountedAt_);
  CountedAt_ = Now;
  RefusedCount_ =
      RefusedCount_ * Decay + (Report.End_ == AttemptEnd::Refused ? 1 : 0);
  EndedCount_ = EndedCount_ * Decay + 1;
  if (Report.End_ == AttemptEnd::Answered)
    recordLatency(Report.Latency_);
}

void RetryPolicy::recordLatency(Duration Latency) {
  if (Latencies_.size() < LatencyWindow)
    Latencies_.push_back(Latency);
  else
    Latencies_[NextLatency_] = Latency;
  NextLatency_ = (NextLatency_ + 1) % LatencyWindow;
  if (Latencies_.size() < MinLatencies || NextLatency_ % QuantilePeriod != 0)
    return;
  std::vector<Duration> Samples = Latencies_;
  HedgeDelay_ = computeQuantile(Samples, HedgeQuantile);
  MedianLatency_ = computeQuantile(Samples, MedianQuantile);
}

} // namespace kumquatpitch
