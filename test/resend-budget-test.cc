// Tests that the resend budget holds in every sliding window.

#include "kumquatpitch/resend-budget.h"

#include "manual-time.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(ResendBudget) {
  SeededRandom Random_{3};
  ResendBudget Budget_;
  const ResendLimits Limits_{0.2, 3, ms(10'000)};
};

TEST(ResendBudget, AllowsSlackWithoutRequests) {
  for (int Count = 0; Count < 3; ++Count)
    CHECK(Budget_.tryConsume(Limits_, atMs(5), Random_));
  CHECK_FALSE(Budget_.tryConsume(Limits_, atMs(6), Random_));
}

TEST(ResendBudget, RequestsIncreaseBudgetByRatio) {
  for (int Count = 0; Count < 20; ++Count)
    Budget_.requestArrived(atMs(Count));
  for (int Count = 0; Count < 7; ++Count)
    CHECK(Budget_.tryConsume(Limits_, atMs(100), Random_));
  CHECK_FALSE(Budget_.tryConsume(Limits_, atMs(100), Random_));
}

// Guards against a burst across a window boundary that consumes the budgets of
// two windows within one.
TEST(ResendBudget, HoldsInEverySlidingWindow) {
  std::vector<std::int64_t> Resends;
  for (std::int64_t TimeMs = 0; TimeMs < 60'000; TimeMs += 50) {
    Budget_.requestArrived(atMs(TimeMs));
    const bool InBurst = TimeMs % 20'000 > 8'000 && TimeMs % 20'000 < 14'000;
    while (InBurst && Budget_.tryConsume(Limits_, atMs(TimeMs), Random_))
      Resends.push_back(TimeMs);
  }
  CHECK(Resends.size() > 60);
  for (std::size_t First = 0; First < Resends.size(); ++First) {
    std::size_t Last = First;
    while (Last < Resends.size() && Resends[Last] - Resends[First] < 10'000)
      ++Last;
    // Each window has 200 requests: 200 * 0.2 + 3 resends.
    CHECK(Last - First <= 43);
  }
}

// Guards against hosts that get a request now and then never resending: each of
// 45 hosts has a budget of 0.5 resends in a window.
TEST(ResendBudget, SmallBudgetsAllowTheirSumByLot) {
  const ResendLimits Small{0.2, 0.5, ms(10'000)};
  int Resends = 0;
  for (int Host = 0; Host < 45; ++Host) {
    ResendBudget Budget;
    for (std::int64_t TimeMs = 0; TimeMs < 100'000; TimeMs += 100)
      Resends += Budget.tryConsume(Small, atMs(TimeMs), Random_) ? 1 : 0;
  }
  // Ten windows of 22.5 resends. A resend at the end of a window delays the
  // next one.
  CHECK(Resends >= 45 * 10 * 0.5 * 0.6);
  CHECK(Resends <= 45 * 10 * 0.5 * 1.1);
}

// Guards against budget lost to resends for which no target had room.
TEST(ResendBudget, RefundAllowsAnotherResend) {
  for (int Count = 0; Count < 3; ++Count)
    CHECK(Budget_.tryConsume(Limits_, atMs(5), Random_));
  Budget_.refund(atMs(900));
  CHECK(Budget_.tryConsume(Limits_, atMs(900), Random_));
  CHECK_FALSE(Budget_.tryConsume(Limits_, atMs(900), Random_));
}
