// Tests of what GatewayCore does with requests of workspaces that have a limit:
// where they wait, when they are refused, and when their tokens are given back.

#include "kumquatpitch/gateway-core.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(GatewayLimits) {
  SeededRandom Random_{3};
  GatewayCore Core_{GatewayOptions{HostId("h1"), FailureDomain("ikeja"), 0.7,
                                   0.2, 64, ms(10'000)},
                    Random_};

  void setup() override {
    VirtualRoute Route;
    Route.Name_ = "look";
    Route.Host_ = "h.example";
    Route.Prefix_ = "/look/";
    Route.Shares_ = {ServiceShare{ServiceName("desk"), 1}};
    Route.Kind_ = RouteKind::Idempotent;
    Route.Timeout_ = ms(2'000);
    Route.Objective_ = ms(1'000);
    Route.MaxTargets_ = 2;
    WorkspaceSettings Red;
    Red.Name_ = WorkspaceName("red");
    Red.Keys_ = {digestOf("key-1")};
    Red.RatePerSecond_ = 10;
    Red.Burst_ = 10;
    RoutingConfig Config;
    Config.Version_ = 1;
    Config.Routes_ = {Route};
    Config.Workspaces_ = {Red};
    Core_.setTable(std::make_shared<const RouteTable>(Config));
    Core_.setCallerHosts(
        {{ServiceName("desk"), {{HostId("h1"), FailureDomain("ikeja")}}}}, 1,
        atMs(0));
    TargetEntry Entry;
    Entry.Id_ = TargetId("t0");
    Entry.Service_ = ServiceName("desk");
    Entry.Domain_ = FailureDomain("ikeja");
    Entry.Slots_ = 3;
    Core_.setTargets({{Entry.Id_, Entry}}, atMs(0));
    Core_.limits().enable(HostId("h1"), 1);
  }

  std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>> admit(
      std::int64_t Ms) {
    RequestHead Head{"h.example", "/look/x", ms(2'000)};
    Head.Credential_ = credentialOf({{"Authorization", "Bearer key-1"}});
    return Core_.admit(Head, atMs(Ms));
  }

  std::shared_ptr<GatewayRequest> admitted(std::int64_t Ms) {
    return std::get<std::shared_ptr<GatewayRequest>>(admit(Ms));
  }

  void answer(std::uint32_t Tokens, Duration NextIn, std::int64_t Ms) {
    const std::optional<TokenRequest> Request =
        Core_.limits().nextRequest(atMs(Ms));
    CHECK(Request.has_value());
    CHECK(Core_.limits().onAnswer(
        TokenAnswer{
            HostId("c"),
            1,
            Request->Id_,
            true,
            {TokenGrant{limitKeyOf(WorkspaceName("red")), Tokens, NextIn}}},
        atMs(Ms)));
  }
};

TEST(GatewayLimits, RequestWaitsForATokenOutsideTheServicesQueue) {
  const std::shared_ptr<GatewayRequest> Request = admitted(0);
  CHECK(std::holds_alternative<QueuedForTarget>(Core_.place(Request, atMs(0))));
  CHECK_FALSE(Request->IsQueued_);
  CHECK(Core_.placeQueuedRequests(atMs(1)).empty());
  answer(1, Duration::zero(), 2);
  const auto Placed = Core_.placeQueuedRequests(atMs(2));
  CHECK_EQUAL(1, Placed.size());
  CHECK(Placed[0].first == Request);
  CHECK(std::holds_alternative<GatewayAttempt>(Placed[0].second));
}

TEST(GatewayLimits, BeyondItsLimitARequestIsRefusedAtOnce) {
  const std::shared_ptr<GatewayRequest> Request = admitted(0);
  Core_.place(Request, atMs(0));
  answer(0, ms(800), 0);
  const auto Placed = Core_.placeQueuedRequests(atMs(0));
  CHECK_EQUAL(429, std::get<GatewayRefusal>(Placed.at(0).second).Status_);
  const auto Second = admit(300);
  CHECK(std::get<GatewayRefusal>(Second).RetryAfter_ == ms(500));
}

TEST(GatewayLimits, RequestWhoseCallerLeftTakesNoToken) {
  const std::shared_ptr<GatewayRequest> Request = admitted(0);
  Core_.place(Request, atMs(0));
  Core_.removeFromQueue(*Request, atMs(0));
  Core_.requestEnded(*Request, false, atMs(0));
  CHECK_FALSE(Core_.limits().nextRequest(atMs(0)).has_value());
}

TEST(GatewayLimits, RequestThatNoTargetGotGivesItsTokenBack) {
  const std::shared_ptr<GatewayRequest> Request = admitted(0);
  Core_.place(Request, atMs(0));
  answer(1, Duration::zero(), 0);
  Core_.setTargets({}, atMs(0));
  CHECK(std::holds_alternative<GatewayRefusal>(
      Core_.placeQueuedRequests(atMs(0)).at(0).second));
  Core_.requestEnded(*Request, false, atMs(0));
  CHECK(admitted(10)->Token_.has_value());
}

TEST(GatewayLimits, RequestThatWasSentKeepsItsToken) {
  const std::shared_ptr<GatewayRequest> Request = admitted(0);
  Core_.place(Request, atMs(0));
  answer(1, Duration::zero(), 0);
  const auto Placed = Core_.placeQueuedRequests(atMs(0));
  Core_.attemptEnded(*Request, std::get<GatewayAttempt>(Placed.at(0).second),
                     AttemptOutcome::Success, TargetReport(), atMs(5));
  Core_.requestEnded(*Request, true, atMs(5));
  CHECK_FALSE(admitted(10)->Token_.has_value());
}
