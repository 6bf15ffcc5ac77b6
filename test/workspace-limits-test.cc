// Tests of one host's decisions about workspaces' limits.

#include "kumquatpitch/admission/workspace-limits.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

WorkspaceSettings orchid() {
  WorkspaceSettings Settings;
  Settings.Name_ = WorkspaceName("orchid");
  Settings.RatePerSecond_ = 10;
  Settings.Burst_ = 10;
  return Settings;
}

const LimitKey Key = limitKeyOf(WorkspaceName("orchid"));

TokenAnswer answerTo(const TokenRequest &Request, std::uint32_t Tokens,
                     Duration NextIn) {
  return TokenAnswer{HostId("c"),
                     Request.Incarnation_,
                     Request.Id_,
                     true,
                     {TokenGrant{Key, Tokens, NextIn}}};
}

bool isToken(const LimitDecision &Decision) {
  return std::holds_alternative<LimitToken>(Decision);
}

} // namespace

TEST_GROUP(WorkspaceLimits) {
  WorkspaceLimits Limits_;

  void setup() override { Limits_.enable(HostId("h"), 1); }

  /// Credits tokens for requests that wait until then.
  void credit(std::uint32_t Tokens, Duration NextIn, TimePoint Now) {
    const std::optional<TokenRequest> Request = Limits_.nextRequest(Now);
    CHECK(Request.has_value());
    CHECK(Limits_.onAnswer(answerTo(*Request, Tokens, NextIn), Now));
  }
};

TEST(WorkspaceLimits, NoLimitIsKeptWithoutCoordinatorsOrLimit) {
  WorkspaceLimits Off;
  CHECK(isToken(Off.arrive(orchid(), atMs(0))));
  WorkspaceSettings Unlimited = orchid();
  Unlimited.RatePerSecond_ = 0;
  CHECK(isToken(Limits_.arrive(Unlimited, atMs(0))));
}

TEST(WorkspaceLimits, RequestWaitsForItsToken) {
  const LimitDecision Decision = Limits_.arrive(orchid(), atMs(0));
  const TokenTicket *Ticket = std::get_if<TokenTicket>(&Decision);
  CHECK(Ticket);
  CHECK(Limits_.takeEnded(atMs(1)).empty());
  credit(1, Duration::zero(), atMs(3));
  const std::vector<EndedTokenWait> Ended = Limits_.takeEnded(atMs(3));
  CHECK_EQUAL(1, Ended.size());
  CHECK(Ended[0].Ticket_ == *Ticket);
  CHECK(std::holds_alternative<LimitToken>(Ended[0].End_));
}

TEST(WorkspaceLimits, BeyondTheLimitIsRefusedAtOnceWithTheTimeUntilAToken) {
  Limits_.arrive(orchid(), atMs(0));
  credit(0, ms(900), atMs(0));
  CHECK_EQUAL(1, Limits_.takeEnded(atMs(0)).size());
  const LimitDecision Second = Limits_.arrive(orchid(), atMs(400));
  const GatewayRefusal *Refusal = std::get_if<GatewayRefusal>(&Second);
  CHECK(Refusal);
  CHECK_EQUAL(429, Refusal->Status_);
  CHECK(Refusal->RetryAfter_ == ms(500));
}

TEST(WorkspaceLimits, OneRequestWaitsForATokenThatComesSoon) {
  Limits_.arrive(orchid(), atMs(0));
  Limits_.arrive(orchid(), atMs(0));
  credit(0, ms(100), atMs(0));
  CHECK_EQUAL(1, Limits_.takeEnded(atMs(0)).size());
  credit(1, Duration::zero(), atMs(100));
  CHECK_EQUAL(1, Limits_.takeEnded(atMs(100)).size());
}

TEST(WorkspaceLimits, TokenIsUsedOnceAndOnlyInItsLifetime) {
  Limits_.arrive(orchid(), atMs(0));
  credit(3, Duration::zero(), atMs(0));
  Limits_.takeEnded(atMs(0));
  CHECK(isToken(Limits_.arrive(orchid(), atMs(749))));
  CHECK_FALSE(isToken(Limits_.arrive(orchid(), atMs(750))));
}

TEST(WorkspaceLimits, DoubledAnswerIsCreditedOnce) {
  Limits_.arrive(orchid(), atMs(0));
  const std::optional<TokenRequest> Request = Limits_.nextRequest(atMs(0));
  CHECK(Limits_.onAnswer(answerTo(*Request, 2, Duration::zero()), atMs(1)));
  CHECK_FALSE(
      Limits_.onAnswer(answerTo(*Request, 2, Duration::zero()), atMs(1)));
  CHECK(isToken(Limits_.arrive(orchid(), atMs(1))));
  CHECK_FALSE(isToken(Limits_.arrive(orchid(), atMs(1))));
}

TEST(WorkspaceLimits, TokenOfARequestThatDidNotRunIsUsedAgain) {
  Limits_.arrive(orchid(), atMs(0));
  credit(1, Duration::zero(), atMs(0));
  const LimitToken Token =
      std::get<LimitToken>(Limits_.takeEnded(atMs(0)).at(0).End_);
  Limits_.giveBack(WorkspaceName("orchid"), Token, atMs(10));
  CHECK(isToken(Limits_.arrive(orchid(), atMs(20))));
  Limits_.giveBack(WorkspaceName("orchid"), Token, atMs(750));
  CHECK_FALSE(isToken(Limits_.arrive(orchid(), atMs(750))));
}

TEST(WorkspaceLimits, WithoutAnswerTheWaitEnds) {
  Limits_.arrive(orchid(), atMs(0));
  Limits_.nextRequest(atMs(0));
  CHECK(Limits_.takeEnded(atMs(499)).empty());
  const std::vector<EndedTokenWait> Ended = Limits_.takeEnded(atMs(500));
  CHECK_EQUAL(503, std::get<GatewayRefusal>(Ended.at(0).End_).Status_);
}

TEST(WorkspaceLimits, BeginAndEndOfALimitAreReportedOnce) {
  Limits_.arrive(orchid(), atMs(0));
  credit(0, ms(900), atMs(0));
  CHECK((Limits_.takeChanges(atMs(10)) ==
         std::vector{LimitChange{WorkspaceName("orchid"), true, 1}}));
  CHECK(Limits_.takeChanges(atMs(20)).empty());
  CHECK((Limits_.takeChanges(atMs(6'000)) ==
         std::vector{LimitChange{WorkspaceName("orchid"), false, 1}}));
  CHECK(Limits_.takeChanges(atMs(6'001)).empty());
}
