// Shares of a contract: messages that are lost, late or doubled, and changes of
// the group. bench/quota-bench.cc checks conservation under all faults.

#include "kumquatpitch/quota-share.h"

#include "manual-time.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::atMs;

static const HostId HostA("a");
static const HostId HostB("b");
static constexpr std::int64_t SettledMs = 20'000;

static ServiceTerms terms() {
  ServiceTerms Terms;
  Terms.RatePerSecond_ = 40;
  Terms.InProgress_ = 10;
  Terms.Deadline_ = std::chrono::seconds(2);
  return Terms;
}

static int acquireAll(QuotaShare &Share, TimePoint Now) {
  int Count = 0;
  while (Share.tryAcquire(Now) == ResultCode::Ok)
    ++Count;
  return Count;
}

TEST_GROUP(QuotaShare) {
  QuotaShare A_{HostA, 1, terms()};
  QuotaShare B_{HostB, 2, terms()};

  void setup() override {
    A_.setGroup({HostB, HostA}, atMs(0));
    B_.setGroup({HostA, HostB}, atMs(0));
  }

  /// Makes A need more than its share; gives its ask to B.
  QuotaAsk askOfA(std::int64_t NowMs) {
    acquireAll(A_, atMs(NowMs));
    return A_.tick(atMs(NowMs)).at(0).Ask_;
  }
};

// Guards against a replaced host that spends the share of its predecessor.
TEST(QuotaShare, StartsEmptyUntilSettled) {
  CHECK(A_.tryAcquire(atMs(4'999)) == ResultCode::RateExceeded);
  CHECK(A_.tryAcquire(atMs(8'999)) == ResultCode::InProgressExceeded);
  CHECK_EQUAL(5, acquireAll(A_, atMs(9'000)));
}

TEST(QuotaShare, LenderDebitsWhatTheBorrowerCreditsOnce) {
  const QuotaAsk Ask = askOfA(SettledMs);
  const QuotaGrant Grant = *B_.onAsk(HostA, Ask, atMs(SettledMs + 1));
  CHECK_EQUAL(3, Grant.Permits_);
  CHECK_EQUAL(2, B_.usablePermits(atMs(SettledMs + 1)));
  const std::int64_t Before = A_.spendableRate(atMs(SettledMs + 2));
  CHECK(A_.onGrant(HostB, Grant, atMs(SettledMs + 2)));
  CHECK_FALSE(A_.onGrant(HostB, Grant, atMs(SettledMs + 2)));
  CHECK_EQUAL(Before + Grant.Rate_, A_.spendableRate(atMs(SettledMs + 2)));
  CHECK_EQUAL(8, A_.usablePermits(atMs(SettledMs + 2)));
  CHECK_FALSE(B_.onAsk(HostA, Ask, atMs(SettledMs + 3)).has_value());
}

// Guards against grants that pile up in a partition and are spent together.
TEST(QuotaShare, LateAndSupersededGrantsAreLost) {
  const QuotaAsk First = askOfA(SettledMs);
  const QuotaGrant Late = *B_.onAsk(HostA, First, atMs(SettledMs + 1));
  CHECK_FALSE(A_.onGrant(HostB, Late, atMs(SettledMs + 250)));
  const QuotaAsk Second = askOfA(SettledMs + 300);
  CHECK_FALSE(A_.onGrant(HostB, Late, atMs(SettledMs + 301)));
  const QuotaGrant Next = *B_.onAsk(HostA, Second, atMs(SettledMs + 301));
  QuotaGrant Foreign = Next;
  Foreign.Borrower_ = 9;
  CHECK_FALSE(A_.onGrant(HostB, Foreign, atMs(SettledMs + 302)));
  CHECK(A_.onGrant(HostB, Next, atMs(SettledMs + 302)));
}

// Guards against a lender that reuses a permit while the borrower's last
// request with it may still run.
TEST(QuotaShare, PermitsExpireForTheBorrowerFirst) {
  const QuotaAsk Ask = askOfA(SettledMs);
  CHECK(A_.onGrant(HostB, *B_.onAsk(HostA, Ask, atMs(SettledMs)),
                   atMs(SettledMs)));
  CHECK_EQUAL(8, A_.usablePermits(atMs(SettledMs + 1'999)));
  CHECK_EQUAL(5, A_.usablePermits(atMs(SettledMs + 2'000)));
  CHECK_EQUAL(2, B_.usablePermits(atMs(SettledMs + 4'999)));
  CHECK_EQUAL(5, B_.usablePermits(atMs(SettledMs + 5'000)));
}

// Guards against a new incarnation whose ask frees what the earlier one holds.
TEST(QuotaShare, NewIncarnationOfTheBorrowerLeavesTheOldLoan) {
  B_.onAsk(HostA, askOfA(SettledMs), atMs(SettledMs));
  B_.onAsk(HostA, {1, 77, 0, 0, 0, 0}, atMs(SettledMs + 100));
  CHECK_EQUAL(2, B_.usablePermits(atMs(SettledMs + 100)));
}

// Guards against an ask that returns a permit which a request still uses.
TEST(QuotaShare, ReturnsOnlyUnusedPermits) {
  const QuotaAsk Ask = askOfA(SettledMs);
  A_.onGrant(HostB, *B_.onAsk(HostA, Ask, atMs(SettledMs)), atMs(SettledMs));
  CHECK_EQUAL(3, acquireAll(A_, atMs(SettledMs + 10)));
  A_.release(atMs(SettledMs + 2'100));
  CHECK_EQUAL(2, A_.tick(atMs(SettledMs + 2'100)).at(0).Ask_.HeldPermits_);
}

TEST(QuotaShare, BusyLenderKeepsItsShare) {
  acquireAll(B_, atMs(SettledMs));
  CHECK_FALSE(B_.onAsk(HostA, askOfA(SettledMs), atMs(SettledMs)).has_value());
}

// Guards against two hosts that both count the share of a member that left.
TEST(QuotaShare, LosesAtOnceAndGainsWhenSettled) {
  A_.setGroup({HostA}, atMs(SettledMs));
  CHECK_EQUAL(5, A_.usablePermits(atMs(SettledMs + 8'999)));
  CHECK_EQUAL(10, A_.usablePermits(atMs(SettledMs + 9'000)));
  A_.setGroup({HostA, HostB}, atMs(SettledMs + 10'000));
  CHECK_EQUAL(5, A_.usablePermits(atMs(SettledMs + 10'000)));
  A_.setGroup({HostB}, atMs(SettledMs + 10'001));
  CHECK(A_.tryAcquire(atMs(SettledMs + 10'001)) == ResultCode::RateExceeded);
}

// Guards against a refusal that takes the rate without a permit.
TEST(QuotaShare, RefusalTakesNothing) {
  CHECK_EQUAL(5, acquireAll(A_, atMs(SettledMs)));
  CHECK(A_.tryAcquire(atMs(SettledMs)) == ResultCode::InProgressExceeded);
  CHECK_EQUAL(5 * QuotaRequestUnits, A_.spendableRate(atMs(SettledMs)));
  A_.release(atMs(SettledMs));
  CHECK_EQUAL(1, acquireAll(A_, atMs(SettledMs)));
}
