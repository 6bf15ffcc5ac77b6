// Choice of targets by expected work against that by count, on the same
// arrivals in virtual time. Pattern: callers of an archive send short requests
// of 160 ms beside long ones of 500 ms, three in a hundred of which take seven
// times as long. bench/work-choice-bench.cc prints the figures of more mixes.

#include "work-choice-model.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

WorkFigures figures(const WorkCase &Case, Belief Used) {
  return WorkChoiceModel(Case, Used).run();
}

/// Checks that the share in objective, the median and the 99th percentile of
/// short requests are no worse than those by count by more than the fraction.
void checkNoWorse(const WorkFigures &Work, const WorkFigures &Count,
                  double Fraction) {
  CHECK(Work.InObjective_ >= Count.InObjective_ * (1 - Fraction));
  CHECK(Work.ShortP50Ms_ <= Count.ShortP50Ms_ * (1 + Fraction));
  CHECK(Work.ShortP99Ms_ <= Count.ShortP99Ms_ * (1 + Fraction));
}

} // namespace

TEST_GROUP(WorkChoice){};

TEST(WorkChoice, IsNoWorseThanByCountInAnyCell) {
  for (const double Load : {0.5, 0.7, 0.9})
    for (const int Hosts : {4, 8, 100})
      for (const std::int64_t ViewAgeMs : {100, 1'000}) {
        WorkCase Case;
        Case.Load_ = Load;
        Case.Hosts_ = Hosts;
        Case.ViewAgeMs_ = ViewAgeMs;
        checkNoWorse(figures(Case, Belief::Learned),
                     figures(Case, Belief::Count), 0.02);
      }
}

TEST(WorkChoice, WrongModelIsLittleWorseThanCounting) {
  for (const double Load : {0.5, 0.7, 0.9}) {
    WorkCase Case;
    Case.Load_ = Load;
    const WorkFigures Count = figures(Case, Belief::Count);
    checkNoWorse(figures(Case, Belief::Swapped), Count, 0.05);
    checkNoWorse(figures(Case, Belief::Equal), Count, 0.05);
    Case.SlowTarget_ = 2;
    checkNoWorse(figures(Case, Belief::Learned), figures(Case, Belief::Count),
                 0.05);
  }
}

TEST(WorkChoice, ServesShortRequestsFasterBesideLongOnesUnderLoad) {
  WorkCase Case;
  Case.Load_ = 0.9;
  Case.Hosts_ = 4;
  const WorkFigures Count = figures(Case, Belief::Count);
  const WorkFigures Work = figures(Case, Belief::Learned);
  CHECK(Work.ShortP99Ms_ < Count.ShortP99Ms_);
  CHECK(Work.InObjective_ >= Count.InObjective_);
}
