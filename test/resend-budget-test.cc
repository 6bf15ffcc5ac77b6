// The budget of resends holds in every window.

#include "kumquatpitch/resend-budget.h"

#include "manual-time.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(ResendBudget) {
  ResendBudget Budget_;
  const ResendTerms Terms_{0.2, 3, ms(10'000)};
};

TEST(ResendBudget, SlackIsThereWithoutRequests) {
  for (int Count = 0; Count < 3; ++Count)
    CHECK(Budget_.take(Terms_, atMs(5)));
  CHECK_FALSE(Budget_.take(Terms_, atMs(6)));
}

TEST(ResendBudget, RequestsAddTheirShare) {
  for (int Count = 0; Count < 20; ++Count)
    Budget_.requestArrived(atMs(Count));
  for (int Count = 0; Count < 7; ++Count)
    CHECK(Budget_.take(Terms_, atMs(100)));
  CHECK_FALSE(Budget_.take(Terms_, atMs(100)));
}

// Guards against a burst at a window's edge that spends two windows' budgets
// within one window.
TEST(ResendBudget, HoldsInSlidingWindows) {
  std::vector<std::int64_t> Resends;
  for (std::int64_t At = 0; At < 60'000; At += 50) {
    Budget_.requestArrived(atMs(At));
    const bool IsStorm = At % 20'000 > 8'000 && At % 20'000 < 14'000;
    while (IsStorm && Budget_.take(Terms_, atMs(At)))
      Resends.push_back(At);
  }
  CHECK(Resends.size() > 60);
  for (std::size_t First = 0; First < Resends.size(); ++First) {
    std::size_t Last = First;
    while (Last < Resends.size() && Resends[Last] - Resends[First] < 10'000)
      ++Last;
    // 200 requests in each window.
    CHECK(Last - First <= 43);
  }
}
