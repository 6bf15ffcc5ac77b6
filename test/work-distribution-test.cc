// Mean, residual and censored samples of a distribution of work.

#include "kumquatpitch/balancing/work-distribution.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

void addMany(WorkDistribution &Work, int Count, std::int64_t Ms) {
  for (int Index = 0; Index < Count; ++Index)
    Work.addCompleted(ms(Ms));
}

} // namespace

TEST_GROUP(WorkDistribution){};

TEST(WorkDistribution, StartsFromTheAssumedMean) {
  const WorkDistribution Work(ms(300));
  DOUBLES_EQUAL(300, toMilliseconds(Work.mean()), 1);
  DOUBLES_EQUAL(300, toMilliseconds(Work.remaining(ms(0))), 1);
}

TEST(WorkDistribution, SamplesOutweighTheAssumption) {
  WorkDistribution Work(ms(3'000));
  addMany(Work, 100, 160);
  DOUBLES_EQUAL(188, toMilliseconds(Work.mean()), 2);
}

TEST(WorkDistribution, FollowsAChangeWithinFourHundredSamples) {
  WorkDistribution Work(ms(100));
  addMany(Work, 5'000, 100);
  addMany(Work, 400, 200);
  CHECK(Work.mean() > ms(170));
}

// Three in a hundred take seven times as long: one that has run for twice the
// usual time is one of them.
TEST(WorkDistribution, RequestThatOutlivesTheUsualWorkIsALongOne) {
  WorkDistribution Work(ms(160));
  for (int Index = 0; Index < 300; ++Index)
    Work.addCompleted(ms(Index % 33 == 0 ? 1'120 : 160));
  CHECK(Work.remaining(ms(0)) < ms(220));
  DOUBLES_EQUAL(800, toMilliseconds(Work.remaining(ms(320))), 30);
}

TEST(WorkDistribution, RequestBeyondAllSamplesTakesAsLongAgain) {
  WorkDistribution Work(ms(100));
  addMany(Work, 50, 100);
  DOUBLES_EQUAL(9'000, toMilliseconds(Work.remaining(ms(9'000))), 1);
}

TEST(WorkDistribution, CensoredSamplesDoNotCountAsShort) {
  WorkDistribution Work(ms(400));
  for (int Index = 0; Index < 200; ++Index) {
    Work.addCompleted(ms(400));
    Work.addCensored(ms(100));
  }
  DOUBLES_EQUAL(400, toMilliseconds(Work.mean()), 4);
}

TEST(WorkDistribution, CensoredSampleBeyondAllOthersRaisesTheMean) {
  WorkDistribution Work(ms(100));
  addMany(Work, 50, 100);
  Work.addCensored(ms(2'000));
  CHECK(Work.mean() > ms(150));
}

TEST(WorkDistribution, HoldsAnyWork) {
  WorkDistribution Work(ms(0));
  for (const std::int64_t Ms :
       {std::int64_t{0}, std::int64_t{1}, std::int64_t{10'000'000'000}})
    Work.addCompleted(ms(Ms));
  Work.addCensored(ms(10'000'000'000));
  CHECK(Work.mean() > ms(1'000'000));
  CHECK(Work.remaining(ms(10'000'000'000)) > ms(0));
}
