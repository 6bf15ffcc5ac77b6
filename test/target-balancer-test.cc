// Target selection and ejection of one service.

#include "kumquatpitch/target-balancer.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static TargetEntry target(int Index, const char *Domain = "ikeja") {
  TargetEntry Made;
  Made.Id_ = TargetId("t" + std::to_string(Index));
  Made.Service_ = ServiceName("desk");
  Made.Address_ =
      Endpoint{"10.0.0.1", static_cast<std::uint16_t>(1'000 + Index)};
  Made.Domain_ = FailureDomain(Domain);
  Made.Slots_ = 3;
  Made.StartedUnixMs_ = 1;
  return Made;
}

TEST_GROUP(TargetBalancer) {
  SeededRandom Random_{7};
  TargetBalancer Balancer_{HostId("h1"), FailureDomain("ikeja"), 0.7};
  std::int64_t Now_ = 100'000; ///< Milliseconds.

  void useTargets(int Count) {
    std::vector<TargetEntry> Targets;
    Targets.reserve(Count);
    for (int Index = 0; Index < Count; ++Index)
      Targets.push_back(target(Index));
    Balancer_.setTargets(Targets, atMs(Now_));
  }

  std::optional<TargetPick> pick(bool MayRepeat) {
    PickTerms Terms;
    Terms.MayRepeat_ = MayRepeat;
    Terms.TimeLeft_ = ms(2'000);
    return Balancer_.pick(Terms, atMs(Now_), Random_);
  }

  void end(const TargetId &Id, AttemptEvidence Evidence, std::int64_t TookMs) {
    Balancer_.attemptStarted(Id, atMs(Now_));
    Now_ += TookMs;
    Balancer_.attemptEnded(Id, atMs(Now_ - TookMs), Evidence, ms(200),
                           std::nullopt, atMs(Now_));
  }

  /// Picks many times without load; true when the target is among the picks.
  bool isUsed(const TargetId &Id, bool MayRepeat) {
    for (int Count = 0; Count < 30; ++Count) {
      const std::optional<TargetPick> Pick = pick(MayRepeat);
      if (Pick && Pick->Target_.Id_ == Id)
        return true;
    }
    return false;
  }
};

TEST(TargetBalancer, EarlyFailureEjectsAtOnce) {
  useTargets(4);
  end(TargetId("t0"), AttemptEvidence::Failed, 3);
  CHECK(Balancer_.isEjected(TargetId("t0")));
  CHECK_FALSE(isUsed(TargetId("t0"), false));
}

// Guards against ejecting healthy targets, a few of whose requests fail.
TEST(TargetBalancer, LateFailuresEjectOnlyTogether) {
  useTargets(4);
  end(TargetId("t0"), AttemptEvidence::FailedLate, 200);
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  end(TargetId("t0"), AttemptEvidence::Answered, 200);
  end(TargetId("t0"), AttemptEvidence::FailedLate, 200);
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  end(TargetId("t0"), AttemptEvidence::FailedLate, 200);
  CHECK(Balancer_.isEjected(TargetId("t0")));
}

// Guards against ejecting healthy targets by failures of single requests that
// several hosts tell of: each of them does not hear of the others' successes.
TEST(TargetBalancer, TwoDoubtsOfOtherHostsDoNotEject) {
  useTargets(4);
  for (int Count = 0; Count < 2; ++Count) {
    Now_ += 1'000;
    Balancer_.peerEvidence(TargetId("t0"), TargetNews::Doubtful, atMs(Now_));
    CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  }
  Balancer_.peerEvidence(TargetId("t0"), TargetNews::Doubtful, atMs(Now_));
  CHECK(Balancer_.isEjected(TargetId("t0")));
}

// Guards against bookings being lost to find out whether a target has
// recovered, while requests are there that can be repeated.
TEST(TargetBalancer, RepeatableRequestsTakeTheTrials) {
  useTargets(4);
  end(TargetId("t0"), AttemptEvidence::Failed, 3);
  pick(true);
  Now_ += 2'500;
  CHECK_FALSE(isUsed(TargetId("t0"), false));
  const std::optional<TargetPick> Trial = pick(true);
  CHECK(Trial && Trial->IsTrial_ && Trial->Target_.Id_ == TargetId("t0"));
  // One trial at a time.
  CHECK_FALSE(isUsed(TargetId("t0"), true));
}

// Guards against a gray target, which succeeds now and then, coming back after
// one success.
TEST(TargetBalancer, TwoTrialsMustSucceed) {
  useTargets(6);
  end(TargetId("t0"), AttemptEvidence::Failed, 3);
  Now_ += 4'000;
  end(TargetId("t0"), AttemptEvidence::Answered, 200);
  CHECK(Balancer_.isEjected(TargetId("t0")));
  Now_ += 300;
  end(TargetId("t0"), AttemptEvidence::Answered, 200);
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
}

// Guards against the floor: no more targets than it allows may stay without
// requests, even if every trial costs a booking, and fewer while requests fail.
TEST(TargetBalancer, FloorTriesTheExcess) {
  useTargets(10);
  Now_ += 6'000;
  for (int Index = 0; Index < 5; ++Index)
    end(TargetId("t" + std::to_string(Index)), AttemptEvidence::Failed, 3);
  pick(true);
  Now_ += 2'000;
  const auto Trials = [&] {
    int Count = 0;
    while (Count < 10 && pick(false)->IsTrial_)
      ++Count;
    return Count;
  };
  CHECK_EQUAL(2, Trials());
  for (int Count = 0; Count < 10; ++Count)
    Balancer_.requestEnded(Count > 2, atMs(Now_));
  CHECK_EQUAL(2, Trials());
}

// Guards against the floor's trials going to targets that have just turned
// gray.
TEST(TargetBalancer, FloorTriesWhatWasEjectedFirst) {
  useTargets(10);
  Now_ += 6'000;
  for (int Index = 0; Index < 5; ++Index)
    end(TargetId("t" + std::to_string(4 - Index)), AttemptEvidence::Failed, 3);
  pick(true);
  Now_ += 2'000;
  CHECK(pick(false)->Target_.Id_ == TargetId("t4"));
}

// Guards against trials for the floor that a few failures of one host, its
// trials among them, would call for, while the service as a whole is well.
TEST(TargetBalancer, FloorCountsTheRequestsOfAllHosts) {
  useTargets(20);
  Now_ += 6'000;
  Balancer_.setGroup({{HostId("h1"), FailureDomain("ikeja")},
                      {HostId("h2"), FailureDomain("ikeja")}});
  for (int Index = 0; Index < 5; ++Index)
    end(TargetId("t" + std::to_string(Index)), AttemptEvidence::Failed, 3);
  pick(true);
  Now_ += 2'000;
  for (int Count = 0; Count < 10; ++Count)
    Balancer_.requestEnded(Count > 0, atMs(Now_));
  Balancer_.peerTally(HostId("h2"), {20, 0}, atMs(Now_));
  CHECK_FALSE(pick(false)->IsTrial_);
  Balancer_.peerTally(HostId("h2"), {20, 6}, atMs(Now_));
  CHECK(pick(false)->IsTrial_);
  // Old counts say nothing any more.
  Balancer_.peerTally(HostId("h2"), {2'000, 0}, atMs(Now_ - 2'000));
  CHECK(pick(false)->IsTrial_);
}

// Guards against all hosts trying the same target at the same moment.
TEST(TargetBalancer, HostsTakeTurnsToTryATarget) {
  const std::vector<GroupHost> Group = {{HostId("h1"), FailureDomain("ikeja")},
                                        {HostId("h2"), FailureDomain("ikeja")},
                                        {HostId("h3"), FailureDomain("yaba")}};
  std::vector<std::int64_t> WaitedMs;
  for (const GroupHost &Host : Group) {
    TargetBalancer Balancer(Host.Id_, Host.Domain_, 0.7);
    Balancer.setGroup(Group);
    Balancer.setTargets({target(0), target(1)}, atMs(Now_));
    Balancer.peerEvidence(TargetId("t0"), TargetNews::Failed, atMs(Now_));
    PickTerms Terms;
    Terms.MayRepeat_ = true;
    Terms.TimeLeft_ = ms(2'000);
    std::int64_t Ms = 0;
    while (Ms < 10'000 &&
           !Balancer.pick(Terms, atMs(Now_ + Ms), Random_)->IsTrial_)
      Ms += 50;
    WaitedMs.push_back(Ms);
  }
  // The host of another failure domain is the last.
  CHECK_EQUAL(2'300, WaitedMs[2]);
  CHECK_EQUAL(1'500, std::min(WaitedMs[0], WaitedMs[1]));
  CHECK_EQUAL(1'900, std::max(WaitedMs[0], WaitedMs[1]));
}

// Guards against bookings being spent on a target again and again while it is
// gray for longer than usual, and against leaving recovered ones alone for
// long.
TEST(TargetBalancer, CostlyPauseFollowsTheLengthOfGrayFailures) {
  const auto PauseMs = [&] {
    end(TargetId("t0"), AttemptEvidence::Failed, 3);
    const std::int64_t Before = Now_;
    while (Now_ - Before < 20'000 && !pick(false)->IsTrial_)
      Now_ += 50;
    return Now_ - Before;
  };
  useTargets(10);
  const std::int64_t First = PauseMs();
  for (int Count = 0; Count < 30; ++Count)
    PauseMs();
  const std::int64_t Longest = PauseMs();
  CHECK(First < Longest);
  CHECK(Longest <= 15'050);
  for (int Count = 0; Count < 100; ++Count) {
    end(TargetId("t0"), AttemptEvidence::Answered, 200);
    end(TargetId("t0"), AttemptEvidence::Answered, 200);
    end(TargetId("t0"), AttemptEvidence::Failed, 3);
    Now_ += 1'000;
  }
  CHECK(PauseMs() < First);
}

// Guards against a fault of one host's path ejecting a target everywhere.
TEST(TargetBalancer, DoubtsOfOthersGiveWayToOwnAnswers) {
  useTargets(4);
  Balancer_.peerEvidence(TargetId("t0"), TargetNews::Doubtful, atMs(Now_));
  end(TargetId("t0"), AttemptEvidence::Answered, 200);
  Balancer_.peerEvidence(TargetId("t0"), TargetNews::Doubtful, atMs(Now_));
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  Balancer_.peerEvidence(TargetId("t0"), TargetNews::Failed, atMs(Now_));
  CHECK(Balancer_.isEjected(TargetId("t0")));
}

// Guards against sending to a target that answers nothing any more while its
// requests still wait for their deadline.
TEST(TargetBalancer, SilentTargetsAreAvoided) {
  useTargets(2);
  Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  Now_ += 1'500;
  CHECK_FALSE(isUsed(TargetId("t0"), true));
  end(TargetId("t0"), AttemptEvidence::Answered, 1);
  CHECK(isUsed(TargetId("t0"), true) || isUsed(TargetId("t1"), true));
}

// Guards against short deadlines ejecting targets that had no time to answer.
TEST(TargetBalancer, ShortDeadlinesAreNoSilence) {
  useTargets(4);
  end(TargetId("t0"), AttemptEvidence::Silent, 300);
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  end(TargetId("t0"), AttemptEvidence::Silent, 2'000);
  CHECK(Balancer_.isEjected(TargetId("t0")));
}

TEST(TargetBalancer, FullTargetsHaveNoRoom) {
  useTargets(1);
  for (int Count = 0; Count < 4; ++Count) {
    CHECK(pick(false).has_value());
    Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  }
  CHECK_FALSE(pick(false).has_value());
}

// Guards against hosts that each fill a target's queue, as none sees the
// others' requests.
TEST(TargetBalancer, ReportedLoadCountsAndFades) {
  useTargets(1);
  Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  Balancer_.attemptEnded(TargetId("t0"), atMs(Now_), AttemptEvidence::Refused,
                         ms(200), ReportedLoad{3, 12}, atMs(Now_));
  Now_ += 400;
  CHECK_FALSE(pick(false).has_value());
  Now_ += 1'000;
  CHECK(pick(false).has_value());
}

TEST(TargetBalancer, OwnFailureDomainComesFirstUntilItIsFull) {
  Balancer_.setTargets({target(0), target(1, "yaba")}, atMs(Now_));
  for (int Count = 0; Count < 3; ++Count) {
    CHECK(pick(false)->Target_.Id_ == TargetId("t0"));
    Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  }
  Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  CHECK(pick(false)->Target_.Id_ == TargetId("t1"));
}

// Guards against refusing requests that an ejected target would mostly serve.
TEST(TargetBalancer, PartlyServingTargetsAreUsedWhileRequestsWait) {
  useTargets(3);
  for (int Count = 0; Count < 4; ++Count) {
    Balancer_.attemptStarted(TargetId("t1"), atMs(Now_));
    Balancer_.attemptStarted(TargetId("t2"), atMs(Now_));
  }
  end(TargetId("t0"), AttemptEvidence::Failed, 3);
  CHECK_FALSE(pick(false).has_value());
  Balancer_.setCrowded(true);
  CHECK_FALSE(pick(false).has_value());
  end(TargetId("t0"), AttemptEvidence::Answered, 3);
  end(TargetId("t0"), AttemptEvidence::Failed, 3);
  end(TargetId("t0"), AttemptEvidence::Answered, 3);
  end(TargetId("t0"), AttemptEvidence::Answered, 3);
  CHECK(pick(false).has_value());
}

TEST(TargetBalancer, LeavingTargetsGetNothing) {
  TargetEntry Leaving = target(0);
  Leaving.Leaving_ = true;
  Balancer_.setTargets({Leaving}, atMs(Now_));
  CHECK_FALSE(pick(true).has_value());
  CHECK_FALSE(Balancer_.hasTarget(PickTerms(), atMs(Now_)));
}

// Guards against trying a target again and again whose address another one has:
// each try costs a part of the budget for resends.
TEST(TargetBalancer, TargetsWithAnotherInstanceAtTheirAddressGetNothing) {
  useTargets(2);
  end(TargetId("t0"), AttemptEvidence::Failed, 3);
  end(TargetId("t0"), AttemptEvidence::Gone, 3);
  Balancer_.peerEvidence(TargetId("t1"), TargetNews::Gone, atMs(Now_));
  Now_ += 5'000;
  CHECK_FALSE(pick(true).has_value());
  CHECK_FALSE(Balancer_.hasTarget(PickTerms(), atMs(Now_)));
  TargetEntry Restarted = target(1);
  Restarted.StartedUnixMs_ = 2;
  Balancer_.setTargets({target(0), Restarted}, atMs(Now_));
  CHECK(pick(true)->Target_.Id_ == TargetId("t1"));
}

// Guards against knowledge about a former incarnation being used for the next.
TEST(TargetBalancer, RestartedTargetsBeginAnew) {
  useTargets(2);
  end(TargetId("t0"), AttemptEvidence::Failed, 3);
  TargetEntry Restarted = target(0);
  Restarted.StartedUnixMs_ = 2;
  Balancer_.setTargets({Restarted, target(1)}, atMs(Now_));
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
}
