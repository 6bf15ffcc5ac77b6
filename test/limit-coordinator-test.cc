// Tests of the coordinator's token buckets.

#include "kumquatpitch/admission/limit-coordinator.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

constexpr LimitKey Key = 17;

TokenRequest request(std::uint64_t Id, std::uint32_t Needed,
                     std::uint32_t Wanted, const char *From = "a") {
  return TokenRequest{HostId(From), 1, Id, {TokenWish{Key, Needed, Wanted}}};
}

} // namespace

TEST_GROUP(LimitCoordinator) {
  LimitCoordinator Coordinator_{
      HostId("c"), 1, LimitTolerance{std::chrono::seconds(5), 0.25, 20}};

  void setup() override {
    Coordinator_.setLimits({{Key, WorkspaceLimit{10, 10}}}, atMs(0));
    Coordinator_.setHolders({HostId("a"), HostId("b")}, atMs(0));
  }

  /// Delegates half of all limits from `Holder`, beginning at `Ms`.
  void delegate(const char *Holder, std::int64_t Ms) {
    const LimitPartQuestion Question = Coordinator_.onOffer(
        LimitPartOffer{HostId(Holder), 0, 0, 0, false}, true, atMs(Ms));
    Coordinator_.onOffer(
        LimitPartOffer{HostId(Holder), 1, Question.Question_, 2, false}, true,
        atMs(Ms));
  }

  /// Keeps both halves until `Ms`.
  void keepUntil(std::int64_t Ms) {
    for (std::int64_t At = 0; At <= Ms; At += 250) {
      delegate("a", At);
      delegate("b", At);
    }
  }

  TokenGrant grant(const TokenRequest &Request, std::int64_t Ms) {
    return Coordinator_.onRequest(Request, atMs(Ms)).value().Grants_.at(0);
  }
};

TEST(LimitCoordinator, WithoutAPartItSaysNothingAboutLimits) {
  CHECK_FALSE(Coordinator_.onRequest(request(1, 1, 0), atMs(0))->HasShare_);
  CHECK(Coordinator_.onRequest(request(1, 1, 0), atMs(0))->Grants_.empty());
}

TEST(LimitCoordinator, BucketFillsWithTheRateUpToTheBurst) {
  keepUntil(1'000);
  CHECK_EQUAL(10, grant(request(1, 50, 0), 1'000).Tokens_);
  const TokenGrant None = grant(request(2, 1, 0), 1'000);
  CHECK_EQUAL(0, None.Tokens_);
  CHECK(None.NextIn_ >= ms(90) && None.NextIn_ <= ms(101));
  keepUntil(5'000);
  CHECK_EQUAL(11, grant(request(3, 50, 0), 5'000).Tokens_);
}

TEST(LimitCoordinator, RepeatedRequestGetsTheSameTokens) {
  keepUntil(1'000);
  const std::optional<TokenAnswer> First =
      Coordinator_.onRequest(request(2, 3, 0), atMs(1'000));
  CHECK(Coordinator_.onRequest(request(2, 3, 0), atMs(1'050)) == First);
  CHECK_FALSE(
      Coordinator_.onRequest(request(1, 3, 0), atMs(1'050)).has_value());
  CHECK_EQUAL(7, grant(request(3, 50, 0), 1'000).Tokens_);
}

TEST(LimitCoordinator, StockLeavesHalfABucketToRequestsThatWait) {
  keepUntil(5'000);
  CHECK_EQUAL(5, grant(request(1, 0, 50), 5'000).Tokens_);
  CHECK_EQUAL(0, grant(request(2, 0, 50), 5'000).Tokens_);
  CHECK_EQUAL(6, grant(request(3, 6, 0), 5'000).Tokens_);
}

// Guards against tokens of a part that another coordinator has by now.
TEST(LimitCoordinator, TokensOfAPartThatEndsAreDiscarded) {
  keepUntil(5'000);
  CHECK_FALSE(Coordinator_.onRequest(request(1, 1, 0), atMs(6'000))->HasShare_);
  delegate("a", 6'000);
  delegate("b", 6'000);
  CHECK_EQUAL(0, grant(request(2, 50, 0), 6'000).Tokens_);
}

TEST(LimitCoordinator, ToleranceIsUsedOnlyWhileAPartIsMissing) {
  const WorkspaceLimit Limit{10, 10};
  const double Rate =
      tolerantRate(Limit, LimitTolerance{std::chrono::seconds(5), 0.25, 20});
  // (10 * 5 + 10) * 0.25 + 20 - 10 * 0.75 = 27.5, of which 0.8 over 5.75 s.
  DOUBLES_EQUAL(10 + 0.8 * 27.5 / 5.75, Rate, 1e-6);
  for (std::int64_t At = 0; At <= 1'000; At += 250)
    delegate("a", At);
  CHECK_EQUAL(6, grant(request(1, 50, 0), 1'000).Tokens_);
  for (std::int64_t At = 1'000; At <= 1'500; At += 250)
    delegate("a", At);
  CHECK_EQUAL(3, grant(request(2, 50, 0), 1'500).Tokens_);
}

TEST(LimitCoordinator, LoweredLimitCutsTheBucket) {
  keepUntil(5'000);
  Coordinator_.setLimits({{Key, WorkspaceLimit{1, 1}}}, atMs(5'000));
  CHECK_EQUAL(2, grant(request(1, 50, 0), 5'000).Tokens_);
}
