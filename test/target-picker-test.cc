// Tests of TargetPicker: slots, choice, ramps and draining.

#include "kumquatpitch/target-picker.h"

#include "fixed-availability.h"
#include "fleet-fixture.h"
#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static TargetId idOf(int Index) {
  return TargetId("target-" + std::to_string(Index));
}

static AttemptReport answered(Duration Latency, double Load = 0) {
  AttemptReport Report;
  Report.End_ = AttemptEnd::Answered;
  Report.Latency_ = Latency;
  Report.Load_ = Load;
  return Report;
}

TEST_GROUP(TargetPicker) {
  SeededRandom Random_{1};
  TargetPicker Picker_{Random_};
  FixedAvailability Health_;
  ServiceEntry Entry_ = makeEntry("ledger", 4, 6);

  void setSlots(TimePoint Now, std::uint32_t Slots = 2) {
    SlotShares Shares;
    for (const Target &Listed : Entry_.Targets_)
      Shares[Listed.Id_] = {Slots, 100};
    Picker_.setTargets(Entry_, Shares, Now);
  }

  /// Returns how many of 600 picks at one time take target 0 or 1. About 100
  /// are unavoidable, since the two random candidates are targets 0 and 1.
  int picksOfTargets0And1(TimePoint Now) {
    int Picks = 0;
    for (int Turn = 0; Turn < 600; ++Turn) {
      const std::optional<TargetId> Id = Picker_.pick({}, Health_, Now);
      Picks += *Id == idOf(0) || *Id == idOf(1) ? 1 : 0;
    }
    return Picks;
  }

  /// Picks `Count` times, one attempt after the other, and returns how often
  /// `Id` was picked.
  int picksOf(const TargetId &Id, int Count, TimePoint Start,
              Duration Latency = ms(10)) {
    int Picks = 0;
    for (int Turn = 0; Turn < Count; ++Turn) {
      const TimePoint Now = Start + Turn * Latency;
      const std::optional<TargetId> Picked = Picker_.pick({}, Health_, Now);
      if (!Picked)
        continue;
      Picks += *Picked == Id ? 1 : 0;
      Picker_.attemptStarted(*Picked);
      Picker_.attemptEnded(*Picked, answered(Latency), Now + Latency);
    }
    return Picks;
  }
};

// Guards against more attempts at a target than the host has slots there, also
// after it lost slots and after the target was removed and listed again.
TEST(TargetPicker, NeverExceedsOwnSlots) {
  setSlots(atMs(0));
  std::vector<TargetId> Running;
  while (const std::optional<TargetId> Id =
             Picker_.pick({}, Health_, atMs(1))) {
    Picker_.attemptStarted(*Id);
    Running.push_back(*Id);
  }
  CHECK_EQUAL(8, Running.size());
  CHECK_EQUAL(0, Picker_.freeSlots());
  setSlots(atMs(2), 1);
  const std::vector<Target> Listed = Entry_.Targets_;
  Entry_.Targets_.clear();
  setSlots(atMs(3));
  Entry_.Targets_ = Listed;
  setSlots(atMs(4));
  CHECK(!Picker_.pick({}, Health_, atMs(60000)));
  for (const TargetId &Id : Running)
    Picker_.attemptEnded(Id, answered(ms(5)), atMs(60001));
  CHECK_EQUAL(8, Picker_.freeSlots());
}

// Guards against the use of a slot that has no connection.
TEST(TargetPicker, SlotsWithoutConnectionsAreNotUsed) {
  Picker_.setTargets(Entry_, {{idOf(0), {3, 1}}}, atMs(0));
  CHECK_EQUAL(1, Picker_.freeSlots());
}

TEST(TargetPicker, SkipsExcludedAndEjectedTargets) {
  setSlots(atMs(0));
  Health_.Ejected_ = {idOf(1), idOf(2)};
  for (int Turn = 0; Turn < 100; ++Turn)
    CHECK(Picker_.pick({idOf(0)}, Health_, atMs(1)) == idOf(3));
}

// Guards against slow targets that get the same share of the work as others.
TEST(TargetPicker, AvoidsSlowTargets) {
  setSlots(atMs(0));
  for (int Turn = 0; Turn < 200; ++Turn)
    for (int Index = 0; Index < 4; ++Index) {
      Picker_.attemptStarted(idOf(Index));
      Picker_.attemptEnded(idOf(Index), answered(ms(Index < 2 ? 100 : 10)),
                           atMs(10L * Turn));
    }
  CHECK(picksOfTargets0And1(atMs(2000)) < 150);
}

// Guards against failing targets that attract work because they fail fast, also
// after half of the targets failed for a long time. A penalty that is a
// multiple of the median latency fails here: it raises that median without
// bound.
TEST(TargetPicker, AvoidsTargetsThatFailFast) {
  setSlots(atMs(0));
  AttemptReport Failed = answered(ms(1));
  Failed.HttpStatus_ = 503;
  for (int Turn = 0; Turn < 5000; ++Turn)
    for (int Index = 0; Index < 4; ++Index) {
      Picker_.attemptStarted(idOf(Index));
      Picker_.attemptEnded(idOf(Index), Index < 2 ? Failed : answered(ms(10)),
                           atMs(10L * Turn));
    }
  CHECK(picksOfTargets0And1(atMs(50000)) < 150);
}

// Guards against a target that attracts all work by reporting zero load, and
// against load reports that keep their full weight as they age.
TEST(TargetPicker, LoadReportsDecay) {
  setSlots(atMs(0));
  for (int Index = 0; Index < 4; ++Index) {
    Picker_.attemptStarted(idOf(Index));
    Picker_.attemptEnded(idOf(Index), answered(ms(10), Index == 0 ? 0 : 90),
                         atMs(0));
  }
  int PicksWithFreshReports = 0;
  int PicksWithOldReports = 0;
  for (int Turn = 0; Turn < 1000; ++Turn) {
    PicksWithFreshReports +=
        Picker_.pick({}, Health_, atMs(0)) == idOf(0) ? 1 : 0;
    PicksWithOldReports +=
        Picker_.pick({}, Health_, atMs(60000)) == idOf(0) ? 1 : 0;
  }
  CHECK(PicksWithFreshReports > 400 && PicksWithFreshReports < 600);
  CHECK(PicksWithOldReports < 350);
}

// Guards against a cold target that gets its full share at once. With 4 targets
// an equal share is 75 of 300 picks.
TEST(TargetPicker, ColdTargetRampsUp) {
  const std::vector<Target> Listed = Entry_.Targets_;
  Entry_.Targets_.pop_back();
  setSlots(atMs(0), 1);
  Entry_.Targets_ = Listed;
  setSlots(atMs(1000), 1);
  const int Early = picksOf(idOf(3), 300, atMs(1000));
  const int Late = picksOf(idOf(3), 300, atMs(40000));
  CHECK(Early < 30);
  CHECK(Late > 50);
}

// Guards against a service that is limited to a fraction of its capacity
// because all of its targets were replaced and so are cold.
TEST(TargetPicker, ServiceWithOnlyColdTargetsUsesAllSlots) {
  const std::vector<Target> Listed = Entry_.Targets_;
  Entry_.Targets_.clear();
  setSlots(atMs(0));
  Entry_.Targets_ = Listed;
  setSlots(atMs(1000));
  for (int Turn = 0; Turn < 8; ++Turn)
    Picker_.attemptStarted(*Picker_.pick({}, Health_, atMs(1000)));
  CHECK_EQUAL(0, Picker_.freeSlots());
}

// Guards against a rush to a reinstated target, which is idle and so has the
// lowest cost.
TEST(TargetPicker, ReinstatedTargetRampsUp) {
  setSlots(atMs(0));
  Health_.Ejected_ = {idOf(3)};
  CHECK_EQUAL(0, picksOf(idOf(3), 300, atMs(0)));
  Health_.Ejected_.clear();
  Health_.Reinstated_[idOf(3)] = atMs(3000);
  CHECK(picksOf(idOf(3), 100, atMs(3000)) < 15);
  CHECK(picksOf(idOf(3), 300, atMs(14000)) > 50);
}

// Guards against new work for a target that drains by its own report, by
// markDraining() or by its listed state, and against draining that outlasts the
// target's restart.
TEST(TargetPicker, DrainingTargetsGetNoWork) {
  setSlots(atMs(0));
  AttemptReport DrainReport = answered(ms(10));
  DrainReport.Draining_ = true;
  Picker_.attemptStarted(idOf(0));
  Picker_.attemptEnded(idOf(0), DrainReport, atMs(1));
  Picker_.markDraining(idOf(1), atMs(1));
  Entry_.Targets_[2].State_ = TargetState::Leaving;
  setSlots(atMs(2));
  CHECK_EQUAL(2, Picker_.freeSlots());
  CHECK_EQUAL(300, picksOf(idOf(3), 300, atMs(2)));
  Entry_.Targets_[0].State_ = TargetState::Starting;
  setSlots(atMs(4000));
  CHECK_EQUAL(2, Picker_.freeSlots());
  Entry_.Targets_[0].State_ = TargetState::Serving;
  setSlots(atMs(5000));
  Picker_.clearDraining(idOf(1), atMs(5000));
  CHECK_EQUAL(6, Picker_.freeSlots());
}
