// Tests of TargetHealth: ejection, reinstatement, ramps and the floor.

#include "kumquatpitch/target-health.h"
#include "manual-time.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

// One host with one slot at each of four targets, and a floor of two targets.
TEST_GROUP(TargetHealth) {
  TargetHealth Health_;
  ServiceEntry Entry_;
  std::map<TargetId, std::uint32_t> Slots_;
  AttemptId NextAttempt_ = 1;
  std::vector<HealthChange> Changes_;

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

  /// Evaluates every 25 ms. Each letter of `Stalled` names a target with one
  /// attempt that hangs until `ToMs`; the other targets answer.
  void drive(std::int64_t FromMs, std::int64_t ToMs,
             const std::string &Stalled) {
    const AttemptId FirstHung = NextAttempt_;
    for (const char Name : Stalled)
      Health_.attemptStarted(TargetId(std::string(1, Name)), NextAttempt_++,
                             false, atMs(FromMs));
    for (std::int64_t Ms = FromMs; Ms < ToMs; Ms += 25) {
      for (const std::pair<const TargetId, std::uint32_t> &Entry : Slots_)
        if (Stalled.find(Entry.first.str()) == std::string::npos)
          answer(Entry.first, Ms);
      for (const HealthChange &Change : Health_.evaluate(atMs(Ms)))
        Changes_.push_back(Change);
    }
    AttemptReport Report;
    Report.End_ = AttemptEnd::TimedOut;
    for (std::size_t I = 0; I < Stalled.size(); ++I)
      Health_.attemptEnded(TargetId(Stalled.substr(I, 1)), FirstHung + I,
                           Report, atMs(ToMs));
  }

  void answer(const TargetId &Target, std::int64_t Ms) {
    Health_.attemptStarted(Target, NextAttempt_, false, atMs(Ms - 20));
    AttemptReport Report;
    Report.End_ = AttemptEnd::Answered;
    Report.Latency_ = ms(20);
    Report.HttpStatus_ = 200;
    Health_.attemptEnded(Target, NextAttempt_++, Report, atMs(Ms));
  }

  std::vector<HealthChange> changesOfKind(HealthChangeKind Kind) const {
    std::vector<HealthChange> Result;
    for (const HealthChange &Change : Changes_)
      if (Change.Kind_ == Kind)
        Result.push_back(Change);
    return Result;
  }
};

// Guards against an ejection before HostFaultMonitor was told of the suspect.
TEST(TargetHealth, ReportsSuspicionBeforeEjection) {
  drive(0, 1000, "");
  drive(1000, 1525, "a");
  CHECK_EQUAL(2, Changes_.size());
  CHECK(Changes_[0].Kind_ == HealthChangeKind::Suspected);
  CHECK(Changes_[1].Kind_ == HealthChangeKind::Ejected);
  CHECK(Changes_[1].Suspicion_->Cause_ == SuspicionCause::Stalled);
  CHECK(Changes_[1].Suspicion_->OldestInFlight_ == ms(450));
  CHECK_EQUAL(3, Changes_[1].UsableSlots_);
  CHECK_FALSE(Health_.isUsable(TargetId("a")));
  CHECK(Health_.rampShare(TargetId("a"), atMs(1600)) == 0);
}

// Guards against ejections in a network partition: its errors come all at once,
// and without the delay a target is ejected before the errors of the other
// targets show that the network is the cause.
TEST(TargetHealth, EjectionForErrorsWaitsForTheConfirmDelay) {
  drive(0, 1000, "");
  for (int I = 0; I < 4; ++I) {
    Health_.attemptStarted(TargetId("a"), NextAttempt_, true, atMs(1000));
    AttemptReport Report;
    Report.End_ = AttemptEnd::ConnectFailed;
    Health_.attemptEnded(TargetId("a"), NextAttempt_++, Report, atMs(1001));
  }
  CHECK_EQUAL(1, Health_.evaluate(atMs(1025)).size());
  CHECK_EQUAL(1, Health_.suspects().size());
  CHECK_EQUAL(0, Health_.evaluate(atMs(1150)).size());
  CHECK(Health_.evaluate(atMs(1175)).at(0).Kind_ == HealthChangeKind::Ejected);
}

// Guards against ejections below the floor.
TEST(TargetHealth, FloorPreventsTheSecondEjection) {
  drive(0, 1000, "");
  Entry_.FloorTargets_ = 3;
  Health_.setEntry(Entry_, Slots_, atMs(1000));
  drive(1000, 1600, "ab");
  CHECK_EQUAL(1, changesOfKind(HealthChangeKind::Ejected).size());
  CHECK_EQUAL(1, changesOfKind(HealthChangeKind::HeldByFloor).size());
  CHECK_EQUAL(3,
              changesOfKind(HealthChangeKind::HeldByFloor)[0].FloorShareSlots_);
}

// Guards against a target that stays ejected although another one left and the
// floor needs its capacity.
TEST(TargetHealth, DepartureReinstatesAnEjectedTargetAtOnce) {
  drive(0, 1000, "");
  drive(1000, 1600, "ab");
  CHECK_EQUAL(2, changesOfKind(HealthChangeKind::Ejected).size());
  Health_.markLeaving(TargetId("c"), atMs(1600));
  const bool OneIsReinstated =
      Health_.isUsable(TargetId("a")) != Health_.isUsable(TargetId("b"));
  CHECK(OneIsReinstated);
  CHECK(Health_.evaluate(atMs(1625)).at(0).Kind_ ==
        HealthChangeKind::ReinstatedByFloor);
}

// Guards against a thundering herd at a target whose ejection ended.
TEST(TargetHealth, ReinstatedTargetRampsUp) {
  drive(0, 1000, "");
  drive(1000, 1500, "a");
  drive(1500, 6700, "");
  CHECK_EQUAL(1, changesOfKind(HealthChangeKind::Reinstated).size());
  DOUBLES_EQUAL(0.1, Health_.rampShare(TargetId("a"), atMs(6700)), 0.01);
  DOUBLES_EQUAL(0.5, Health_.rampShare(TargetId("a"), atMs(21'450)), 0.02);
  CHECK(Health_.rampShare(TargetId("a"), atMs(36'500)) == 1);
}

// Guards against a flapping target that fails as many requests after each
// ejection.
TEST(TargetHealth, FlappingDoublesTheEjectionUpToTheMaximum) {
  Duration Longest{};
  Duration Previous = ms(2500);
  std::int64_t Now = 1000;
  drive(0, Now, "");
  for (int I = 0; I < 9; ++I) {
    Changes_.clear();
    drive(Now, Now + 600, "a");
    const Duration Length =
        changesOfKind(HealthChangeKind::Ejected).at(0).EjectedFor_;
    CHECK(Length == std::min<Duration>(2 * Previous, std::chrono::minutes(5)));
    Previous = Length;
    Longest = std::max(Longest, Length);
    Now += 1000 + toMilliseconds(Length);
    drive(Now, Now + 1000, "");
    Now += 1000;
  }
  CHECK(Longest == std::chrono::minutes(5));
}

// Guards against an ejection that outlasts its cause: in a network partition
// the first one may come before the partition is recognised.
TEST(TargetHealth, HostFaultUndoesRecentEjections) {
  drive(0, 1000, "");
  drive(1000, 1500, "a");
  CHECK_FALSE(Health_.isUsable(TargetId("a")));
  Health_.clearEvidence(atMs(1600));
  CHECK(Health_.isUsable(TargetId("a")));
  CHECK(Health_.rampShare(TargetId("a"), atMs(1600)) == 1);
}

// Guards against a cold target that is given its full share at once.
TEST(TargetHealth, StartedTargetRampsUp) {
  setState(3, TargetState::Starting, 1000);
  CHECK_FALSE(Health_.isUsable(TargetId("d")));
  setState(3, TargetState::Serving, 2000);
  DOUBLES_EQUAL(0.5, Health_.rampShare(TargetId("d"), atMs(17'000)), 0.01);
  CHECK(Health_.rampShare(TargetId("a"), atMs(2000)) == 1);
}

// Guards against an entry that still lists a draining target as serving and so
// undoes its drain marker.
TEST(TargetHealth, DrainingTargetStaysUnusable) {
  Health_.markLeaving(TargetId("d"), atMs(1000));
  setState(0, TargetState::Serving, 2000);
  CHECK_FALSE(Health_.isUsable(TargetId("d")));
  setState(3, TargetState::Starting, 3000);
  setState(3, TargetState::Serving, 4000);
  CHECK(Health_.isUsable(TargetId("d")));
}
