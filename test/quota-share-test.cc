// Quota shares when messages are lost, late or duplicated, and when the group
// changes. bench/quota-bench.cc checks under all faults that the limits hold.

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

  /// Uses up A's share and returns A's loan request to B.
  QuotaLoanRequest loanRequestOfA(std::int64_t NowMs) {
    acquireAll(A_, atMs(NowMs));
    return A_.tick(atMs(NowMs)).at(0).LoanRequest_;
  }
};

// Guards against a new host that spends the share of the host it replaced.
TEST(QuotaShare, NewMemberHasNoShareUntilSettled) {
  CHECK(A_.tryAcquire(atMs(4'999)) == ResultCode::RateExceeded);
  CHECK(A_.tryAcquire(atMs(8'999)) == ResultCode::InProgressExceeded);
  CHECK_EQUAL(5, acquireAll(A_, atMs(9'000)));
}

TEST(QuotaShare, LenderDebitsAndBorrowerCreditsAGrantOnce) {
  const QuotaLoanRequest Request = loanRequestOfA(SettledMs);
  const QuotaGrant Grant =
      *B_.onLoanRequest(HostA, Request, atMs(SettledMs + 1));
  CHECK_EQUAL(3, Grant.Permits_);
  CHECK_EQUAL(2, B_.usablePermits(atMs(SettledMs + 1)));
  const std::int64_t Before = A_.spendableRate(atMs(SettledMs + 2));
  CHECK(A_.onGrant(HostB, Grant, atMs(SettledMs + 2)));
  CHECK_FALSE(A_.onGrant(HostB, Grant, atMs(SettledMs + 2)));
  CHECK_EQUAL(Before + Grant.Rate_, A_.spendableRate(atMs(SettledMs + 2)));
  CHECK_EQUAL(8, A_.usablePermits(atMs(SettledMs + 2)));
  CHECK_FALSE(
      B_.onLoanRequest(HostA, Request, atMs(SettledMs + 3)).has_value());
}

// Guards against grants that are delayed by a partition and then all spent at
// once.
TEST(QuotaShare, LateAndSupersededGrantsAreNotCredited) {
  const QuotaLoanRequest First = loanRequestOfA(SettledMs);
  const QuotaGrant Late = *B_.onLoanRequest(HostA, First, atMs(SettledMs + 1));
  CHECK_FALSE(A_.onGrant(HostB, Late, atMs(SettledMs + 250)));
  const QuotaLoanRequest Second = loanRequestOfA(SettledMs + 300);
  CHECK_FALSE(A_.onGrant(HostB, Late, atMs(SettledMs + 301)));
  const QuotaGrant Next =
      *B_.onLoanRequest(HostA, Second, atMs(SettledMs + 301));
  QuotaGrant Foreign = Next;
  Foreign.Borrower_ = 9;
  CHECK_FALSE(A_.onGrant(HostB, Foreign, atMs(SettledMs + 302)));
  CHECK(A_.onGrant(HostB, Next, atMs(SettledMs + 302)));
}

// Guards against a lender that reuses a permit while a request that the
// borrower started with it may still run.
TEST(QuotaShare, PermitsExpireAtTheBorrowerBeforeTheLender) {
  const QuotaLoanRequest Request = loanRequestOfA(SettledMs);
  CHECK(A_.onGrant(HostB, *B_.onLoanRequest(HostA, Request, atMs(SettledMs)),
                   atMs(SettledMs)));
  CHECK_EQUAL(8, A_.usablePermits(atMs(SettledMs + 1'999)));
  CHECK_EQUAL(5, A_.usablePermits(atMs(SettledMs + 2'000)));
  CHECK_EQUAL(2, B_.usablePermits(atMs(SettledMs + 4'999)));
  CHECK_EQUAL(5, B_.usablePermits(atMs(SettledMs + 5'000)));
}

// Guards against a lender that takes back the permits of a replaced incarnation
// when the new incarnation sends its first loan request.
TEST(QuotaShare, LoanOutlivesTheBorrowersIncarnation) {
  B_.onLoanRequest(HostA, loanRequestOfA(SettledMs), atMs(SettledMs));
  B_.onLoanRequest(HostA, {1, 77, 0, 0, 0, 0}, atMs(SettledMs + 100));
  CHECK_EQUAL(2, B_.usablePermits(atMs(SettledMs + 100)));
}

// Guards against a loan request that returns a permit in use.
TEST(QuotaShare, ReturnsOnlyUnusedPermits) {
  const QuotaLoanRequest Request = loanRequestOfA(SettledMs);
  A_.onGrant(HostB, *B_.onLoanRequest(HostA, Request, atMs(SettledMs)),
             atMs(SettledMs));
  CHECK_EQUAL(3, acquireAll(A_, atMs(SettledMs + 10)));
  A_.release(atMs(SettledMs + 2'100));
  CHECK_EQUAL(2,
              A_.tick(atMs(SettledMs + 2'100)).at(0).LoanRequest_.HeldPermits_);
}

TEST(QuotaShare, BusyLenderGrantsNothing) {
  acquireAll(B_, atMs(SettledMs));
  CHECK_FALSE(
      B_.onLoanRequest(HostA, loanRequestOfA(SettledMs), atMs(SettledMs))
          .has_value());
}

// Guards against two hosts that use the share of the same former member at the
// same time.
TEST(QuotaShare, SmallerShareAppliesAtOnceAndLargerWhenSettled) {
  A_.setGroup({HostA}, atMs(SettledMs));
  CHECK_EQUAL(5, A_.usablePermits(atMs(SettledMs + 8'999)));
  CHECK_EQUAL(10, A_.usablePermits(atMs(SettledMs + 9'000)));
  A_.setGroup({HostA, HostB}, atMs(SettledMs + 10'000));
  CHECK_EQUAL(5, A_.usablePermits(atMs(SettledMs + 10'000)));
  A_.setGroup({HostB}, atMs(SettledMs + 10'001));
  CHECK(A_.tryAcquire(atMs(SettledMs + 10'001)) == ResultCode::RateExceeded);
}

// Guards against rate that is spent on a request without a permit.
TEST(QuotaShare, RefusedRequestSpendsNoRate) {
  CHECK_EQUAL(5, acquireAll(A_, atMs(SettledMs)));
  CHECK(A_.tryAcquire(atMs(SettledMs)) == ResultCode::InProgressExceeded);
  CHECK_EQUAL(5 * QuotaUnitsPerRequest, A_.spendableRate(atMs(SettledMs)));
  A_.release(atMs(SettledMs));
  CHECK_EQUAL(1, acquireAll(A_, atMs(SettledMs)));
}
