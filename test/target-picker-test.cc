// Target picker: slots, choice, ramps and draining.

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

  void set(TimePoint Now, std::uint32_t Slots = 2) {
    SlotShares Own;
    for (const Target &Each : Entry_.Targets_)
      Own[Each.Id_] = {Slots, 100};
    Picker_.setTargets(Entry_, Own, Now);
  }

  /// How many of 600 picks at one time take target 0 or 1. Both of the drawn
  /// pair are among them in about 100.
  int picksOfBad(TimePoint Now) {
    int Bad = 0;
    for (int Turn = 0; Turn < 600; ++Turn) {
      const std::optional<TargetId> Id = Picker_.pick({}, Health_, Now);
      Bad += *Id == idOf(0) || *Id == idOf(1) ? 1 : 0;
    }
    return Bad;
  }

  /// Picks `Count` times, one attempt after the other; gives how often `Id` was
  /// picked.
  int picksOf(const TargetId &Id, int Count, TimePoint Start,
              Duration Latency = ms(10)) {
    int Found = 0;
    for (int Turn = 0; Turn < Count; ++Turn) {
      const TimePoint Now = Start + Turn * Latency;
      const std::optional<TargetId> Picked = Picker_.pick({}, Health_, Now);
      if (!Picked)
        continue;
      Found += *Picked == Id ? 1 : 0;
      Picker_.started(*Picked);
      Picker_.ended(*Picked, answered(Latency), Now + Latency);
    }
    return Found;
  }
};

// Guards against more attempts at a target than the host's own slots, also
// after slots were lost and after the target was removed and listed again.
TEST(TargetPicker, NeverExceedsOwnSlots) {
  set(atMs(0));
  std::vector<TargetId> Running;
  while (const std::optional<TargetId> Id =
             Picker_.pick({}, Health_, atMs(1))) {
    Picker_.started(*Id);
    Running.push_back(*Id);
  }
  CHECK_EQUAL(8, Running.size());
  CHECK_EQUAL(0, Picker_.freeSlots());
  set(atMs(2), 1);
  const std::vector<Target> Listed = Entry_.Targets_;
  Entry_.Targets_.clear();
  set(atMs(3));
  Entry_.Targets_ = Listed;
  set(atMs(4));
  CHECK(!Picker_.pick({}, Health_, atMs(60000)));
  for (const TargetId &Id : Running)
    Picker_.ended(Id, answered(ms(5)), atMs(60001));
  CHECK_EQUAL(8, Picker_.freeSlots());
}

// Guards against a slot that is used without a connection for it.
TEST(TargetPicker, SlotsNeedConnections) {
  Picker_.setTargets(Entry_, {{idOf(0), {3, 1}}}, atMs(0));
  CHECK_EQUAL(1, Picker_.freeSlots());
}

TEST(TargetPicker, SkipsExcludedAndEjected) {
  set(atMs(0));
  Health_.Ejected_ = {idOf(1), idOf(2)};
  for (int Turn = 0; Turn < 100; ++Turn)
    CHECK(Picker_.pick({idOf(0)}, Health_, atMs(1)) == idOf(3));
}

// Guards against slow or failing targets that get an equal part of the work.
TEST(TargetPicker, AvoidsSlowTargets) {
  set(atMs(0));
  for (int Turn = 0; Turn < 200; ++Turn)
    for (int Each = 0; Each < 4; ++Each) {
      Picker_.started(idOf(Each));
      Picker_.ended(idOf(Each), answered(ms(Each < 2 ? 100 : 10)),
                    atMs(10L * Turn));
    }
  CHECK(picksOfBad(atMs(2000)) < 150);
}

// Guards against failing targets that attract work because they fail fast, also
// after half of the targets failed for long: an earlier penalty was a multiple
// of the median latency, which the penalty itself raised without bound.
TEST(TargetPicker, AvoidsFastFailingTargets) {
  set(atMs(0));
  AttemptReport Failed = answered(ms(1));
  Failed.HttpStatus_ = 503;
  for (int Turn = 0; Turn < 5000; ++Turn)
    for (int Each = 0; Each < 4; ++Each) {
      Picker_.started(idOf(Each));
      Picker_.ended(idOf(Each), Each < 2 ? Failed : answered(ms(10)),
                    atMs(10L * Turn));
    }
  CHECK(picksOfBad(atMs(50000)) < 150);
}

// Guards against a target that attracts all work by reporting no load, and
// against old reports that count in full.
TEST(TargetPicker, LoadReportsAreDiscounted) {
  set(atMs(0));
  for (int Each = 0; Each < 4; ++Each) {
    Picker_.started(idOf(Each));
    Picker_.ended(idOf(Each), answered(ms(10), Each == 0 ? 0 : 90), atMs(0));
  }
  int Fresh = 0;
  int Old = 0;
  for (int Turn = 0; Turn < 1000; ++Turn) {
    Fresh += Picker_.pick({}, Health_, atMs(0)) == idOf(0) ? 1 : 0;
    Old += Picker_.pick({}, Health_, atMs(60000)) == idOf(0) ? 1 : 0;
  }
  CHECK(Fresh > 400 && Fresh < 600);
  CHECK(Old < 350);
}

// Guards against a cold target that gets its full part at once. Of 4 targets an
// equal part is 1,000 of 4,000 picks.
TEST(TargetPicker, ColdTargetRampsUp) {
  const std::vector<Target> Listed = Entry_.Targets_;
  Entry_.Targets_.pop_back();
  set(atMs(0), 1);
  Entry_.Targets_ = Listed;
  set(atMs(1000), 1);
  const int Early = picksOf(idOf(3), 300, atMs(1000));
  const int Late = picksOf(idOf(3), 300, atMs(40000));
  CHECK(Early < 30);
  CHECK(Late > 50);
}

// Guards against a service that is held at a fraction of its capacity because
// all of its targets were replaced.
TEST(TargetPicker, AllColdTargetsServe) {
  const std::vector<Target> Listed = Entry_.Targets_;
  Entry_.Targets_.clear();
  set(atMs(0));
  Entry_.Targets_ = Listed;
  set(atMs(1000));
  for (int Turn = 0; Turn < 8; ++Turn)
    Picker_.started(*Picker_.pick({}, Health_, atMs(1000)));
  CHECK_EQUAL(0, Picker_.freeSlots());
}

// Guards against a rush to a reinstated target, which is idle and so scores
// best.
TEST(TargetPicker, ReinstatedTargetRampsUp) {
  set(atMs(0));
  Health_.Ejected_ = {idOf(3)};
  CHECK_EQUAL(0, picksOf(idOf(3), 300, atMs(0)));
  Health_.Ejected_.clear();
  Health_.Reinstated_[idOf(3)] = atMs(3000);
  CHECK(picksOf(idOf(3), 100, atMs(3000)) < 15);
  CHECK(picksOf(idOf(3), 300, atMs(14000)) > 50);
}

// Guards against new work for a draining target, by each of its signs, and
// against a mark that outlasts the target's restart.
TEST(TargetPicker, DrainingTargetsGetNoWork) {
  set(atMs(0));
  AttemptReport Marked = answered(ms(10));
  Marked.Draining_ = true;
  Picker_.started(idOf(0));
  Picker_.ended(idOf(0), Marked, atMs(1));
  Picker_.markDraining(idOf(1), atMs(1));
  Entry_.Targets_[2].State_ = TargetState::Leaving;
  set(atMs(2));
  CHECK_EQUAL(2, Picker_.freeSlots());
  CHECK_EQUAL(300, picksOf(idOf(3), 300, atMs(2)));
  Entry_.Targets_[0].State_ = TargetState::Starting;
  set(atMs(4000));
  CHECK_EQUAL(2, Picker_.freeSlots());
  Entry_.Targets_[0].State_ = TargetState::Serving;
  set(atMs(5000));
  Picker_.clearDraining(idOf(1), atMs(5000));
  CHECK_EQUAL(6, Picker_.freeSlots());
}
