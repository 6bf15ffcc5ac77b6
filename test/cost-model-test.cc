// Predictions of the work of requests by route, workspace and size of the body.

#include "kumquatpitch/balancing/cost-model.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

RequestTraits request(const std::string &Route, const std::string &Workspace,
                      std::uint64_t BodyBytes) {
  return RequestTraits{Route, WorkspaceName(Workspace), BodyBytes, ms(900)};
}

void learn(CostModel &Model, const RequestTraits &Request, int Count,
           std::int64_t Ms) {
  for (int Index = 0; Index < Count; ++Index)
    Model.recordCompleted(Request, Model.estimate(Request), ms(Ms));
}

double predictedMs(CostModel &Model, const RequestTraits &Request) {
  return static_cast<double>(toMilliseconds(Model.estimate(Request).mean()));
}

} // namespace

TEST_GROUP(CostModel){};

TEST(CostModel, NewRouteStartsFromItsObjective) {
  CostModel Model;
  DOUBLES_EQUAL(300, predictedMs(Model, request("h /a/", "", 0)), 1);
}

TEST(CostModel, LearnsEachRoute) {
  CostModel Model;
  learn(Model, request("h /read/", "", 0), 200, 160);
  learn(Model, request("h /upload/", "", 0), 200, 500);
  DOUBLES_EQUAL(160, predictedMs(Model, request("h /read/", "", 0)), 8);
  DOUBLES_EQUAL(500, predictedMs(Model, request("h /upload/", "", 0)), 25);
}

TEST(CostModel, LearnsThatAWorkspaceCostsMore) {
  CostModel Model;
  for (int Index = 0; Index < 300; ++Index) {
    learn(Model, request("h /a/", "large", 0), 1, 600);
    learn(Model, request("h /a/", "small", 0), 1, 200);
  }
  CHECK(predictedMs(Model, request("h /a/", "large", 0)) > 480);
  CHECK(predictedMs(Model, request("h /a/", "small", 0)) < 270);
}

TEST(CostModel, LearnsThatLargeBodiesCostMore) {
  CostModel Model;
  for (int Index = 0; Index < 300; ++Index) {
    learn(Model, request("h /a/", "", 2'000'000), 1, 900);
    learn(Model, request("h /a/", "", 1'000), 1, 100);
  }
  CHECK(predictedMs(Model, request("h /a/", "", 2'000'000)) > 700);
  CHECK(predictedMs(Model, request("h /a/", "", 1'000)) < 190);
}

TEST(CostModel, RunningRequestsFollowWhatIsLearned) {
  CostModel Model;
  const RequestTraits Request = request("h /a/", "", 0);
  const WorkEstimate Running = Model.estimate(Request);
  learn(Model, Request, 200, 800);
  CHECK(Running.mean() > ms(700));
}

TEST(CostModel, TimeoutsAndCancelledAttemptsDoNotCountAsShort) {
  CostModel Model;
  const RequestTraits Request = request("h /a/", "", 0);
  learn(Model, Request, 100, 400);
  for (int Index = 0; Index < 100; ++Index) {
    learn(Model, Request, 1, 400);
    Model.recordCensored(Request, ms(50));
  }
  CHECK(predictedMs(Model, Request) > 380);
}

TEST(CostModel, KeepsABoundedNumberOfRoutesAndWorkspaces) {
  CostModel Model;
  for (int Index = 0; Index < 10'000; ++Index)
    learn(Model,
          request("h /" + std::to_string(Index % 2'000) + "/",
                  "w" + std::to_string(Index), 0),
          1, 100);
  CHECK_EQUAL(CostModel::MaxRoutes, Model.routeCount());
  CHECK_EQUAL(CostModel::MaxWorkspaceFactors, Model.workspaceFactorCount());
}

TEST(CostModel, RunningRequestOutlivesItsDroppedRoute) {
  CostModel Model;
  const RequestTraits Request = request("h /a/", "", 0);
  const WorkEstimate Running = Model.estimate(Request);
  for (std::size_t Index = 0; Index < CostModel::MaxRoutes; ++Index)
    Model.estimate(request("h /" + std::to_string(Index) + "/", "", 0));
  CHECK(Running.mean() > ms(0));
  CHECK(Model.recordCompleted(Request, Running, ms(300)) >= 1);
}

// Three in a hundred requests take seven times as long: that must not raise the
// estimate for bodies that have not been seen.
TEST(CostModel, TailDoesNotMakeAnUnseenBodySizeLookDear) {
  CostModel Model;
  for (int Index = 0; Index < 3'000; ++Index)
    learn(Model, request("h /a/", "", 0), 1, Index % 33 == 0 ? 1'120 : 160);
  DOUBLES_EQUAL(190, predictedMs(Model, request("h /a/", "", 0)), 25);
  DOUBLES_EQUAL(190, predictedMs(Model, request("h /a/", "", 2'000'000)), 25);
}

TEST(CostModel, CountsPredictions) {
  CostModel Model;
  const RequestTraits Request = request("h /a/", "", 0);
  DOUBLES_EQUAL(
      1, Model.recordCompleted(Request, Model.estimate(Request), ms(300)),
      0.01);
  DOUBLES_EQUAL(
      10, Model.recordCompleted(Request, Model.estimate(Request), ms(3'000)),
      0.1);
  CHECK_EQUAL(2U, Model.counts().Completed_);
  CHECK_EQUAL(1U, Model.counts().Close_);
  CHECK_EQUAL(1U, Model.counts().Wrong_);
  DOUBLES_EQUAL(0.6, Model.counts().PredictedSeconds_, 0.01);
  DOUBLES_EQUAL(3.3, Model.counts().MeasuredSeconds_, 0.01);
}

TEST(CostModel, DescribesTheRoutesUsedLast) {
  CostModel Model;
  learn(Model, request("h /a/", "", 0), 1, 300);
  STRCMP_EQUAL("h /a/ 300ms 1.0x 1.0x; ", Model.describe().c_str());
}
