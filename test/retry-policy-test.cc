// Retry policy: who may retry or hedge, and the budget.

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
    fill(51);
    Context_.Idempotent_ = true;
    Context_.HasOtherTarget_ = true;
    Context_.Deadline_ = atMs(1000);
    Context_.LastEnd_ = AttemptEnd::Broken;
  }

  void fill(int Requests) {
    for (int Turn = 0; Turn < Requests; ++Turn)
      Policy_.firstAttempt(atMs(0));
  }

  void note(AttemptEnd End, int Count, Duration Latency = ms(10)) {
    AttemptReport Report;
    Report.End_ = End;
    Report.Latency_ = Latency;
    for (int Turn = 0; Turn < Count; ++Turn)
      Policy_.noteOutcome(Report, atMs(0));
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

// Guards against retries that reach the contract's percentage, also after a
// quiet time, and against a budget that starts full.
TEST(RetryPolicy, BudgetIsAPercentageOfFirstAttempts) {
  CHECK_EQUAL(0, RetryPolicy().budget());
  CHECK_EQUAL(5, Policy_.budget());
  for (int Turn = 0; Turn < 5; ++Turn)
    checkRetry(RetryVerdict::Allowed, atMs(0));
  checkRetry(RetryVerdict::BudgetEmpty, atMs(0));
  fill(9);
  checkRetry(RetryVerdict::BudgetEmpty, atMs(0));
  fill(1);
  checkRetry(RetryVerdict::Allowed, atMs(0));
  fill(100'000);
  CHECK_EQUAL(10, Policy_.budget());
}

// Guards against work that must not be repeated being repeated. A request of
// which nothing was sent may move to another target once.
TEST(RetryPolicy, OnlyIdempotentRequestsRepeat) {
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
  note(AttemptEnd::Answered, 200);
  checkHedge(RetryVerdict::NotIdempotent, atMs(100));
}

TEST(RetryPolicy, FinalEndsAreNotRetried) {
  for (const AttemptEnd End :
       {AttemptEnd::Answered, AttemptEnd::Cancelled, AttemptEnd::TooLarge,
        AttemptEnd::NotDelimited}) {
    Context_.LastEnd_ = End;
    checkRetry(RetryVerdict::NotRetryable, atMs(0));
  }
}

TEST(RetryPolicy, NeedsAnotherTargetAndAttempt) {
  Context_.HasOtherTarget_ = false;
  checkRetry(RetryVerdict::NoOtherTarget, atMs(0));
  Context_.HasOtherTarget_ = true;
  Context_.Attempts_ = 3;
  checkRetry(RetryVerdict::AttemptsUsed, atMs(0));
}

// Guards against an attempt that begins past the deadline, or so near to it
// that it usually ends past it.
TEST(RetryPolicy, KeepsTheDeadline) {
  checkRetry(RetryVerdict::DeadlineTooNear, atMs(1000));
  checkRetry(RetryVerdict::Allowed, atMs(999));
  note(AttemptEnd::Answered, 200, ms(50));
  checkRetry(RetryVerdict::DeadlineTooNear, atMs(950));
  checkRetry(RetryVerdict::Allowed, atMs(949));
}

// Guards against retries that add to an overload: own queue, or servers that
// shed most attempts.
TEST(RetryPolicy, StopsInAnOverload) {
  Context_.IsQueueEmpty_ = false;
  checkRetry(RetryVerdict::ServiceOverloaded, atMs(0));
  Context_.IsQueueEmpty_ = true;
  note(AttemptEnd::Answered, 10);
  note(AttemptEnd::Refused, 10);
  checkRetry(RetryVerdict::Allowed, atMs(0));
  note(AttemptEnd::Refused, 2);
  checkRetry(RetryVerdict::ServiceOverloaded, atMs(0));
  Context_.Deadline_ = atMs(10'000);
  checkRetry(RetryVerdict::Allowed, atMs(5000));
}

// Guards against hedges of ordinary requests, and outside the budget.
TEST(RetryPolicy, HedgesAfterTheSlowestTwentieth) {
  checkHedge(RetryVerdict::TooEarly, atMs(900));
  note(AttemptEnd::Answered, 188, ms(10));
  note(AttemptEnd::Answered, 12, ms(80));
  CHECK(Policy_.hedgeDelay() == ms(80));
  Context_.LastStart_ = atMs(100);
  checkHedge(RetryVerdict::TooEarly, atMs(179));
  for (int Turn = 0; Turn < 5; ++Turn)
    checkHedge(RetryVerdict::Allowed, atMs(180));
  checkHedge(RetryVerdict::BudgetEmpty, atMs(180));
}
