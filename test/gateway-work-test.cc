// Which requests GatewayCore predicts the work of, and what it learns from
// their ends.

#include "kumquatpitch/gateway-core.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

VirtualRoute route(const char *Prefix, const char *Service, RouteKind Kind) {
  VirtualRoute Route;
  Route.Host_ = "h.example";
  Route.Prefix_ = Prefix;
  Route.Shares_ = {ServiceShare{ServiceName(Service), 1}};
  Route.Kind_ = Kind;
  Route.Timeout_ = ms(20'000);
  Route.Objective_ = ms(900);
  return Route;
}

} // namespace

TEST_GROUP(GatewayWork) {
  SeededRandom Random_{3};
  std::int64_t Now_ = 100'000;

  std::unique_ptr<GatewayCore> makeCore(bool MayBalanceByWork) {
    GatewayOptions Options{HostId("h1"), FailureDomain("a")};
    Options.MayBalanceByWork_ = MayBalanceByWork;
    std::unique_ptr<GatewayCore> Core =
        std::make_unique<GatewayCore>(Options, Random_);
    useConfig(*Core, 1);
    std::map<TargetId, TargetEntry> Targets;
    for (const char *Service : {"archive", "ledger"}) {
      TargetEntry Entry;
      Entry.Id_ = TargetId(Service);
      Entry.Service_ = ServiceName(Service);
      Entry.Domain_ = FailureDomain("a");
      Entry.Slots_ = 3;
      Targets[Entry.Id_] = Entry;
    }
    Core->setTargets(Targets, atMs(Now_));
    return Core;
  }

  static void useConfig(GatewayCore & Core, std::uint64_t Version) {
    RoutingConfig Config;
    Config.Version_ = Version;
    Config.Routes_ = {route("/upload/", "archive", RouteKind::Upload),
                      route("/read/", "archive", RouteKind::Idempotent),
                      route("/post/", "ledger", RouteKind::AtMostOnce)};
    Core.setTable(std::make_shared<const RouteTable>(Config));
  }

  std::shared_ptr<GatewayRequest> admit(GatewayCore & Core, const char *Path) {
    return std::get<std::shared_ptr<GatewayRequest>>(
        Core.admit(RequestHead{"h.example", Path, ms(20'000)}, atMs(Now_)));
  }

  /// Runs a request to its end after `TakenMs`.
  GatewayDecision runRequest(GatewayCore & Core, const char *Path,
                             std::int64_t TakenMs, AttemptOutcome Outcome) {
    const std::shared_ptr<GatewayRequest> Request = admit(Core, Path);
    const GatewayAttempt Attempt =
        std::get<GatewayAttempt>(Core.place(Request, atMs(Now_)));
    Now_ += TakenMs;
    return Core.attemptEnded(*Request, Attempt, Outcome, TargetReport(),
                             atMs(Now_));
  }
};

TEST(GatewayWork, IsPredictedOnlyForServicesThatTakeUploads) {
  const std::unique_ptr<GatewayCore> Core = makeCore(true);
  CHECK(admit(*Core, "/upload/x")->Work_.isKnown());
  CHECK(admit(*Core, "/read/x")->Work_.isKnown());
  CHECK_FALSE(admit(*Core, "/post/x")->Work_.isKnown());
  CHECK_FALSE(runRequest(*Core, "/post/x", 100, AttemptOutcome::Success)
                  .Prediction_.has_value());
}

TEST(GatewayWork, IsNotPredictedWhenTheSettingsSayByCount) {
  const std::unique_ptr<GatewayCore> Core = makeCore(false);
  CHECK_FALSE(admit(*Core, "/upload/x")->Work_.isKnown());
}

TEST(GatewayWork, IsLearnedFromAnswers) {
  const std::unique_ptr<GatewayCore> Core = makeCore(true);
  const GatewayDecision First =
      runRequest(*Core, "/read/x", 300, AttemptOutcome::Success);
  CHECK(First.Prediction_.has_value());
  DOUBLES_EQUAL(300, toMilliseconds(First.Prediction_->Predicted_), 1);
  for (int Count = 0; Count < 100; ++Count)
    runRequest(*Core, "/read/x", 160, AttemptOutcome::Success);
  CHECK(admit(*Core, "/read/x")->Work_.mean() < ms(180));
}

TEST(GatewayWork, OutlivesAChangeOfConfiguration) {
  const std::unique_ptr<GatewayCore> Core = makeCore(true);
  for (int Count = 0; Count < 100; ++Count)
    runRequest(*Core, "/read/x", 160, AttemptOutcome::Success);
  useConfig(*Core, 2);
  CHECK(admit(*Core, "/read/x")->Work_.mean() < ms(180));
}

TEST(GatewayWork, EarlyErrorsAndRefusalsAreNoSamples) {
  const std::unique_ptr<GatewayCore> Core = makeCore(true);
  const Duration Before = admit(*Core, "/read/x")->Work_.mean();
  for (int Count = 0; Count < 10; ++Count) {
    runRequest(*Core, "/read/x", 5, AttemptOutcome::Refused);
    Now_ += 1'000;
  }
  runRequest(*Core, "/read/x", 5, AttemptOutcome::Failure);
  CHECK(admit(*Core, "/read/x")->Work_.mean() == Before);
}

TEST(GatewayWork, CancelledAttemptsDoNotCountAsShort) {
  const std::unique_ptr<GatewayCore> Core = makeCore(true);
  for (int Count = 0; Count < 50; ++Count)
    runRequest(*Core, "/read/x", 20, AttemptOutcome::Cancelled);
  CHECK(admit(*Core, "/read/x")->Work_.mean() > ms(280));
}
