// Tests RetryPolicy: which requests may be retried or hedged, and the budget.

#include "kumquatpitch/retry-policy.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(RetryPolicy) {
  RetryPolicy Policy_;
  RetryContext Context_;

  void setup() override {
    Policy_.setTerms({10, 3});
    startRequests(51);
    Context_.Idempotent_ = true;
    Context_.HasOtherTarget_ = true;
    Context_.Deadline_ = atMs(1000);
    Context_.LastEnd_ = AttemptEnd::Broken;
  }

  void startRequests(int Requests) {
    for (int I = 0; I < Requests; ++I)
      Policy_.firstAttempt(atMs(0));
  }

  void recordOutcomes(AttemptEnd End, int Count, Duration Latency = ms(10)) {
    AttemptReport Report;
    Report.End_ = End;
    Report.Latency_ = Latency;
    for (int I = 0; I < Count; ++I)
      Policy_.recordOutcome(Report, atMs(0));
  }

  void checkRetry(RetryVerdict Expected, TimePoint Now) {
    STRCMP_EQUAL(retryVerdictName(Expected),
                 retryVerdictName(Policy_.mayRetry(Context_, Now)));
  }

  void checkHedge(RetryVerdict Expected, TimePoint Now) {
    STRCMP_EQUAL(retryVerdictName(Expected),
                 retryVerdictName(Policy_.mayHedge(Context_, Now)));
  }
};

// Guards against retries that reach the contract's percentage, even after a
// quiet time, and against a budget that starts full.
TEST(RetryPolicy, BudgetIsAPercentageOfFirstAttempts) {
  CHECK_EQUAL(0, RetryPolicy().budget());
  CHECK_EQUAL(5, Policy_.budget());
  for (int I = 0; I < 5; ++I)
    checkRetry(RetryVerdict::Allowed, atMs(0));
  checkRetry(RetryVerdict::BudgetEmpty, atMs(0));
  startRequests(9);
  checkRetry(RetryVerdict::BudgetEmpty, atMs(0));
  startRequests(1);
  checkRetry(RetryVerdict::Allowed, atMs(0));
  startRequests(100'000);
  CHECK_EQUAL(10, Policy_.budget());
}

// Guards against repeating a request that is not idempotent. One of which
// nothing was sent may move to another target once.
TEST(RetryPolicy, OnlyIdempotentRequestsAreRepeated) {
  Context_.Idempotent_ = false;
  for (const AttemptEnd End : {AttemptEnd::Broken, AttemptEnd::TimedOut,
                               AttemptEnd::Refused, AttemptEnd::Mismatched}) {
    Context_.LastEnd_ = End;
    checkRetry(RetryVerdict::NotIdempotent, atMs(0));
  }
  Context_.LastEnd_ = AttemptEnd::ConnectFailed;
  checkRetry(RetryVerdict::Allowed, atMs(0));
  Context_.Attempts_ = 2;
  checkRetry(RetryVerdict::NotIdempotent, atMs(0));
  recordOutcomes(AttemptEnd::Answered, 200);
  checkHedge(RetryVerdict::NotIdempotent, atMs(100));
}

TEST(RetryPolicy, DoesNotRetryFinalOutcomes) {
  for (const AttemptEnd End :
       {AttemptEnd::Answered, AttemptEnd::Cancelled, AttemptEnd::TooLarge,
        AttemptEnd::NotDelimited}) {
    Context_.LastEnd_ = End;
    checkRetry(RetryVerdict::NotRetryable, atMs(0));
  }
}

TEST(RetryPolicy, NeedsAnUntriedTargetAndARemainingAttempt) {
  Context_.HasOtherTarget_ = false;
  checkRetry(RetryVerdict::NoOtherTarget, atMs(0));
  Context_.HasOtherTarget_ = true;
  Context_.Attempts_ = 3;
  checkRetry(RetryVerdict::AttemptsUsed, atMs(0));
}

// Guards against attempts that start after the deadline, or so close to it that
// an attempt of median latency would end after it.
TEST(RetryPolicy, DoesNotRetryTooCloseToTheDeadline) {
  checkRetry(RetryVerdict::DeadlineTooNear, atMs(1000));
  checkRetry(RetryVerdict::Allowed, atMs(999));
  recordOutcomes(AttemptEnd::Answered, 200, ms(50));
  checkRetry(RetryVerdict::DeadlineTooNear, atMs(950));
  checkRetry(RetryVerdict::Allowed, atMs(949));
}

// Guards against retries that add to an overload, which shows in a non-empty
// queue on this host or in servers that refuse most attempts.
TEST(RetryPolicy, DoesNotRetryDuringOverload) {
  Context_.IsQueueEmpty_ = false;
  checkRetry(RetryVerdict::ServiceOverloaded, atMs(0));
  Context_.IsQueueEmpty_ = true;
  recordOutcomes(AttemptEnd::Answered, 10);
  recordOutcomes(AttemptEnd::Refused, 10);
  checkRetry(RetryVerdict::Allowed, atMs(0));
  recordOutcomes(AttemptEnd::Refused, 2);
  checkRetry(RetryVerdict::ServiceOverloaded, atMs(0));
  Context_.Deadline_ = atMs(10'000);
  checkRetry(RetryVerdict::Allowed, atMs(5000));
}

// Guards against hedging requests of ordinary latency, and beyond the budget.
TEST(RetryPolicy, HedgesAfterThe95thPercentile) {
  checkHedge(RetryVerdict::TooEarly, atMs(900));
  recordOutcomes(AttemptEnd::Answered, 188, ms(10));
  recordOutcomes(AttemptEnd::Answered, 12, ms(80));
  CHECK(Policy_.hedgeDelay() == ms(80));
  Context_.LastStart_ = atMs(100);
  checkHedge(RetryVerdict::TooEarly, atMs(179));
  for (int I = 0; I < 5; ++I)
    checkHedge(RetryVerdict::Allowed, atMs(180));
  checkHedge(RetryVerdict::BudgetEmpty, atMs(180));
}
