// Ejection and reinstatement within the floor.

#include "kumquatpitch/target-health.h"
#include "manual-time.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

// One host with a slot at each of four targets, of which two must stay.
TEST_GROUP(TargetHealth) {
  TargetHealth Health_;
  ServiceEntry Entry_;
  std::map<TargetId, std::uint32_t> Slots_;
  AttemptId Next_ = 1;
  std::vector<HealthChange> Seen_;

  void setup() override {
    Entry_.FloorTargets_ = 2;
    Entry_.Profile_ = DetectionProfile::FastDetection;
    for (const char *Name : {"a", "b", "c", "d"}) {
      Entry_.Targets_.push_back({});
      Entry_.Targets_.back().Id_ = TargetId(Name);
      Entry_.Targets_.back().Slots_ = 1;
      Slots_[TargetId(Name)] = 1;
    }
    Health_.setEntry(Entry_, Slots_, atMs(0));
  }

  void setState(std::size_t Target, TargetState State, std::int64_t Ms) {
    Entry_.Targets_[Target].State_ = State;
    Health_.setEntry(Entry_, Slots_, atMs(Ms));
  }

  /// Evaluates every 25 ms; the targets of `Stalled` answer nothing, the
  /// others answer.
  void drive(std::int64_t FromMs, std::int64_t ToMs,
             const std::string &Stalled) {
    const AttemptId FirstHung = Next_;
    for (const char Each : Stalled)
      Health_.attemptStarted(TargetId(std::string(1, Each)), Next_++, false,
                             atMs(FromMs));
    for (std::int64_t Ms = FromMs; Ms < ToMs; Ms += 25) {
      for (const std::pair<const TargetId, std::uint32_t> &Each : Slots_)
        if (Stalled.find(Each.first.str()) == std::string::npos)
          answer(Each.first, Ms);
      for (const HealthChange &Each : Health_.evaluate(atMs(Ms)))
        Seen_.push_back(Each);
    }
    AttemptReport Report;
    Report.End_ = AttemptEnd::TimedOut;
    for (std::size_t I = 0; I < Stalled.size(); ++I)
      Health_.attemptEnded(TargetId(Stalled.substr(I, 1)), FirstHung + I,
                           Report, atMs(ToMs));
  }

  void answer(const TargetId &Target, std::int64_t Ms) {
    Health_.attemptStarted(Target, Next_, false, atMs(Ms - 20));
    AttemptReport Report;
    Report.End_ = AttemptEnd::Answered;
    Report.Latency_ = ms(20);
    Report.HttpStatus_ = 200;
    Health_.attemptEnded(Target, Next_++, Report, atMs(Ms));
  }

  std::vector<HealthChange> seen(HealthChangeKind Kind) const {
    std::vector<HealthChange> Found;
    for (const HealthChange &Each : Seen_)
      if (Each.Kind_ == Kind)
        Found.push_back(Each);
    return Found;
  }
};

// Guards against an ejection before HostFaultMonitor has heard of the suspect.
TEST(TargetHealth, SuspectsBeforeItEjects) {
  drive(0, 1000, "");
  drive(1000, 1525, "a");
  CHECK_EQUAL(2, Seen_.size());
  CHECK(Seen_[0].Kind_ == HealthChangeKind::Suspected);
  CHECK(Seen_[1].Kind_ == HealthChangeKind::Ejected);
  CHECK(Seen_[1].Suspicion_->Cause_ == SuspicionCause::Stalled);
  CHECK(Seen_[1].Suspicion_->OldestWaiting_ == ms(450));
  CHECK_EQUAL(3, Seen_[1].UsableSlots_);
  CHECK_FALSE(Health_.isUsable(TargetId("a")));
  CHECK(Health_.rampShare(TargetId("a"), atMs(1600)) == 0);
}

// Guards against errors of a network cut that come all at once and eject before
// the other targets show the cause.
TEST(TargetHealth, SuddenErrorsWaitForTheConfirmDelay) {
  drive(0, 1000, "");
  for (int I = 0; I < 4; ++I) {
    Health_.attemptStarted(TargetId("a"), Next_, true, atMs(1000));
    AttemptReport Report;
    Report.End_ = AttemptEnd::ConnectFailed;
    Health_.attemptEnded(TargetId("a"), Next_++, Report, atMs(1001));
  }
  CHECK_EQUAL(1, Health_.evaluate(atMs(1025)).size());
  CHECK_EQUAL(1, Health_.suspects().size());
  CHECK_EQUAL(0, Health_.evaluate(atMs(1150)).size());
  CHECK(Health_.evaluate(atMs(1175)).at(0).Kind_ == HealthChangeKind::Ejected);
}

// Guards against ejections below the floor.
TEST(TargetHealth, TheFloorHoldsTheThirdEjection) {
  drive(0, 1000, "");
  Entry_.FloorTargets_ = 3;
  Health_.setEntry(Entry_, Slots_, atMs(1000));
  drive(1000, 1600, "ab");
  CHECK_EQUAL(1, seen(HealthChangeKind::Ejected).size());
  CHECK_EQUAL(1, seen(HealthChangeKind::HeldByFloor).size());
  CHECK_EQUAL(3, seen(HealthChangeKind::HeldByFloor)[0].ShareSlots_);
}

// Guards against capacity that stays away when another target leaves.
TEST(TargetHealth, ADepartureReinstatesAtOnce) {
  drive(0, 1000, "");
  drive(1000, 1600, "ab");
  CHECK_EQUAL(2, seen(HealthChangeKind::Ejected).size());
  Health_.markLeaving(TargetId("c"), atMs(1600));
  const bool IsBack =
      Health_.isUsable(TargetId("a")) != Health_.isUsable(TargetId("b"));
  CHECK(IsBack);
  CHECK(Health_.evaluate(atMs(1625)).at(0).Kind_ ==
        HealthChangeKind::ReinstatedByFloor);
}

// Guards against a thundering herd at a target that comes back.
TEST(TargetHealth, AReinstatedTargetRampsUp) {
  drive(0, 1000, "");
  drive(1000, 1500, "a");
  drive(1500, 6700, "");
  CHECK_EQUAL(1, seen(HealthChangeKind::Reinstated).size());
  DOUBLES_EQUAL(0.1, Health_.rampShare(TargetId("a"), atMs(6700)), 0.01);
  DOUBLES_EQUAL(0.5, Health_.rampShare(TargetId("a"), atMs(21'450)), 0.02);
  CHECK(Health_.rampShare(TargetId("a"), atMs(36'500)) == 1);
}

// Guards against a flapping target that costs as many requests each time.
TEST(TargetHealth, FlappingLengthensTheEjectionUpToTheCap) {
  Duration Longest{};
  Duration Previous = ms(2500);
  std::int64_t Now = 1000;
  drive(0, Now, "");
  for (int I = 0; I < 9; ++I) {
    Seen_.clear();
    drive(Now, Now + 600, "a");
    const Duration Length = seen(HealthChangeKind::Ejected).at(0).EjectedFor_;
    CHECK(Length == std::min<Duration>(2 * Previous, std::chrono::minutes(5)));
    Previous = Length;
    Longest = std::max(Longest, Length);
    Now += 1000 + toMilliseconds(Length);
    drive(Now, Now + 1000, "");
    Now += 1000;
  }
  CHECK(Longest == std::chrono::minutes(5));
}

// Guards against a network cut whose first ejection came before it was
// recognised.
TEST(TargetHealth, AnOwnFaultUndoesRecentEjections) {
  drive(0, 1000, "");
  drive(1000, 1500, "a");
  CHECK_FALSE(Health_.isUsable(TargetId("a")));
  Health_.clearEvidence(atMs(1600));
  CHECK(Health_.isUsable(TargetId("a")));
  CHECK(Health_.rampShare(TargetId("a"), atMs(1600)) == 1);
}

// Guards against a cold target that is given its whole share.
TEST(TargetHealth, ATargetThatStartsRampsUp) {
  setState(3, TargetState::Starting, 1000);
  CHECK_FALSE(Health_.isUsable(TargetId("d")));
  setState(3, TargetState::Serving, 2000);
  DOUBLES_EQUAL(0.5, Health_.rampShare(TargetId("d"), atMs(17'000)), 0.01);
  CHECK(Health_.rampShare(TargetId("a"), atMs(2000)) == 1);
}

// Guards against an entry that arrives late and undoes a drain marker.
TEST(TargetHealth, ADrainingTargetStaysUnusable) {
  Health_.markLeaving(TargetId("d"), atMs(1000));
  setState(0, TargetState::Serving, 2000);
  CHECK_FALSE(Health_.isUsable(TargetId("d")));
  setState(3, TargetState::Starting, 3000);
  setState(3, TargetState::Serving, 4000);
  CHECK(Health_.isUsable(TargetId("d")));
}
