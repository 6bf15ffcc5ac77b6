// Target selection and ejection of one service.

#include "kumquatpitch/target-balancer.h"

#include "manual-time.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static TargetEntry target(int Index, const char *Domain = "ikeja") {
  TargetEntry Entry;
  Entry.Id_ = TargetId("t" + std::to_string(Index));
  Entry.Service_ = ServiceName("desk");
  Entry.Address_ =
      Endpoint{"10.0.0.1", static_cast<std::uint16_t>(1'000 + Index)};
  Entry.Domain_ = FailureDomain(Domain);
  Entry.Slots_ = 3;
  Entry.StartedUnixMs_ = 1;
  return Entry;
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

  std::optional<TargetPick> pick(bool IsRetryable) {
    PickConstraints Constraints;
    Constraints.IsRetryable_ = IsRetryable;
    Constraints.TimeLeft_ = ms(2'000);
    return Balancer_.pick(Constraints, atMs(Now_), Random_);
  }

  void runAttempt(const TargetId &Id, AttemptEvidence Evidence,
                  std::int64_t DurationMs) {
    Balancer_.attemptStarted(Id, atMs(Now_));
    Now_ += DurationMs;
    Balancer_.attemptEnded(Id, atMs(Now_ - DurationMs), Evidence, ms(200),
                           TargetReport(), atMs(Now_));
  }

  /// Returns whether 30 picks without load choose the target at least once.
  bool isUsed(const TargetId &Id, bool IsRetryable) {
    for (int Count = 0; Count < 30; ++Count) {
      const std::optional<TargetPick> Pick = pick(IsRetryable);
      if (Pick && Pick->Target_.Id_ == Id)
        return true;
    }
    return false;
  }
};

TEST(TargetBalancer, EarlyFailureEjectsAtOnce) {
  useTargets(4);
  runAttempt(TargetId("t0"), AttemptEvidence::Failed, 3);
  CHECK(Balancer_.isEjected(TargetId("t0")));
  CHECK_FALSE(isUsed(TargetId("t0"), false));
}

// Guards against ejecting a healthy target because a few of its requests fail.
TEST(TargetBalancer, ConsecutiveLateFailuresEject) {
  useTargets(4);
  runAttempt(TargetId("t0"), AttemptEvidence::FailedLate, 200);
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  runAttempt(TargetId("t0"), AttemptEvidence::Answered, 200);
  runAttempt(TargetId("t0"), AttemptEvidence::FailedLate, 200);
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  runAttempt(TargetId("t0"), AttemptEvidence::FailedLate, 200);
  CHECK(Balancer_.isEjected(TargetId("t0")));
}

// Guards against ejecting a healthy target because several hosts each report a
// single failed request: no host learns of the successes that others saw.
TEST(TargetBalancer, ThreePeerReportsOfLateFailuresEject) {
  useTargets(4);
  for (int Count = 0; Count < 2; ++Count) {
    Now_ += 1'000;
    Balancer_.applyPeerObservation(
        TargetId("t0"), TargetObservation::SuspectedFailure, atMs(Now_));
    CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  }
  Balancer_.applyPeerObservation(
      TargetId("t0"), TargetObservation::SuspectedFailure, atMs(Now_));
  CHECK(Balancer_.isEjected(TargetId("t0")));
}

// Guards against losing non-retryable requests to trials of an ejected target
// while there are retryable requests.
TEST(TargetBalancer, RetryableRequestsServeAsTrials) {
  useTargets(4);
  runAttempt(TargetId("t0"), AttemptEvidence::Failed, 3);
  pick(true);
  Now_ += 2'500;
  CHECK_FALSE(isUsed(TargetId("t0"), false));
  const std::optional<TargetPick> Trial = pick(true);
  CHECK(Trial && Trial->IsTrial_ && Trial->Target_.Id_ == TargetId("t0"));
  // Only one trial is in progress at a time.
  CHECK_FALSE(isUsed(TargetId("t0"), true));
}

// Guards against reinstating a gray target, which succeeds now and then, after
// a single success.
TEST(TargetBalancer, TwoSuccessfulTrialsReinstate) {
  useTargets(6);
  runAttempt(TargetId("t0"), AttemptEvidence::Failed, 3);
  Now_ += 4'000;
  runAttempt(TargetId("t0"), AttemptEvidence::Answered, 200);
  CHECK(Balancer_.isEjected(TargetId("t0")));
  Now_ += 300;
  runAttempt(TargetId("t0"), AttemptEvidence::Answered, 200);
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
}

// Guards against more unused targets than the floor allows, even when every
// trial costs a non-retryable request. None may be unused while requests fail.
TEST(TargetBalancer, FloorSendsTrialsToExcessEjectedTargets) {
  useTargets(10);
  Now_ += 6'000;
  for (int Index = 0; Index < 5; ++Index)
    runAttempt(TargetId("t" + std::to_string(Index)), AttemptEvidence::Failed,
               3);
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
  const int TrialsAtRisk = Trials();
  CHECK_EQUAL(3, TrialsAtRisk);
}

// Guards against a sound target without a request for the two seconds over
// which the floor is judged: all combinations of five targets that are in use,
// fail with an answer, or answer nothing, while requests of the service fail.
// One that fails by itself is sound again two seconds later; one that answers
// nothing is not.
TEST(TargetBalancer, NoFailingTargetIsLeftOutWhileRequestsFail) {
  constexpr int Targets = 5;
  constexpr std::int64_t StepMs = 50;
  enum class Health : std::uint8_t { Good, Failing, Silent };
  for (int Case = 0; Case < 3 * 3 * 3 * 3 * 3; ++Case) {
    Health Healths[Targets];
    for (int Index = 0, Rest = Case; Index < Targets; ++Index, Rest /= 3)
      Healths[Index] = static_cast<Health>(Rest % 3);
    Balancer_ = TargetBalancer(HostId("h1"), FailureDomain("ikeja"), 0.7);
    useTargets(Targets);
    Now_ += 6'000;
    std::map<TargetId, std::int64_t> LastUse;
    std::map<TargetId, std::int64_t> SilentSince;
    for (int Index = 0; Index < Targets; ++Index) {
      const TargetId Id("t" + std::to_string(Index));
      if (Healths[Index] != Health::Good)
        runAttempt(Id,
                   Healths[Index] == Health::Failing
                       ? AttemptEvidence::Failed
                       : AttemptEvidence::Unreachable,
                   3);
      LastUse[Id] = Now_;
    }
    for (const std::int64_t End = Now_ + 8'000; Now_ < End; Now_ += StepMs) {
      for (int Count = 0; Count < 10; ++Count)
        Balancer_.requestEnded(Count > 2, atMs(Now_));
      for (std::map<TargetId, std::int64_t>::iterator It = SilentSince.begin();
           It != SilentSince.end();) {
        const bool IsOver = Now_ - It->second >= 2'000;
        if (IsOver)
          Balancer_.attemptEnded(It->first, atMs(It->second),
                                 AttemptEvidence::Silent, ms(200),
                                 TargetReport(), atMs(Now_));
        It = IsOver ? SilentSince.erase(It) : std::next(It);
      }
      const std::optional<TargetPick> Pick = pick(false);
      if (!Pick)
        continue;
      const TargetId &Id = Pick->Target_.Id_;
      const int Index = std::stoi(Id.str().substr(1));
      CHECK(Healths[Index] != Health::Failing || Now_ - LastUse[Id] <= 2'000);
      LastUse[Id] = Now_;
      Balancer_.attemptStarted(Id, atMs(Now_));
      if (Healths[Index] == Health::Silent)
        SilentSince[Id] = Now_;
      else
        Balancer_.attemptEnded(Id, atMs(Now_),
                               Healths[Index] == Health::Good
                                   ? AttemptEvidence::Answered
                                   : AttemptEvidence::Failed,
                               ms(200), TargetReport(), atMs(Now_));
    }
    for (int Index = 0; Index < Targets; ++Index)
      CHECK(Healths[Index] != Health::Failing ||
            Now_ - LastUse[TargetId("t" + std::to_string(Index))] <= 2'000);
  }
}

// Guards against sending the floor's trials to targets whose gray failure has
// just begun.
TEST(TargetBalancer, FloorTriesLongestEjectedTargetFirst) {
  useTargets(10);
  Now_ += 6'000;
  for (int Index = 0; Index < 5; ++Index)
    runAttempt(TargetId("t" + std::to_string(4 - Index)),
               AttemptEvidence::Failed, 3);
  pick(true);
  Now_ += 2'000;
  CHECK(pick(false)->Target_.Id_ == TargetId("t4"));
}

// Guards against trials for the floor because of a few failed requests on one
// host, its own trials among them, while few of the service's requests fail.
TEST(TargetBalancer, FloorRiskCountsRequestsOfAllHosts) {
  useTargets(20);
  Now_ += 6'000;
  Balancer_.setAssignedHosts({{HostId("h1"), FailureDomain("ikeja")},
                              {HostId("h2"), FailureDomain("ikeja")}},
                             atMs(Now_));
  for (int Index = 0; Index < 5; ++Index)
    runAttempt(TargetId("t" + std::to_string(Index)), AttemptEvidence::Failed,
               3);
  pick(true);
  Now_ += 2'000;
  for (int Count = 0; Count < 10; ++Count)
    Balancer_.requestEnded(Count > 0, atMs(Now_));
  Balancer_.recordPeerOutcomes(HostId("h2"), {20, 0}, atMs(Now_));
  CHECK_FALSE(pick(false)->IsTrial_);
  Balancer_.recordPeerOutcomes(HostId("h2"), {20, 6}, atMs(Now_));
  CHECK(pick(false)->IsTrial_);
  // Counts that are too old are ignored.
  Balancer_.recordPeerOutcomes(HostId("h2"), {2'000, 0}, atMs(Now_ - 2'000));
  CHECK(pick(false)->IsTrial_);
}

// Guards against all hosts sending a trial to the same target at once.
TEST(TargetBalancer, HostsSendTrialsInTurn) {
  const std::vector<AssignedHost> Hosts = {
      {HostId("h1"), FailureDomain("ikeja")},
      {HostId("h2"), FailureDomain("ikeja")},
      {HostId("h3"), FailureDomain("yaba")}};
  std::vector<std::int64_t> WaitedMs;
  for (const AssignedHost &Host : Hosts) {
    TargetBalancer Balancer(Host.Id_, Host.Domain_, 0.7);
    Balancer.setAssignedHosts(Hosts, atMs(Now_));
    Balancer.setTargets({target(0), target(1)}, atMs(Now_));
    Balancer.applyPeerObservation(TargetId("t0"), TargetObservation::Failed,
                                  atMs(Now_));
    PickConstraints Constraints;
    Constraints.IsRetryable_ = true;
    Constraints.TimeLeft_ = ms(2'000);
    std::int64_t ElapsedMs = 0;
    while (
        ElapsedMs < 10'000 &&
        !Balancer.pick(Constraints, atMs(Now_ + ElapsedMs), Random_)->IsTrial_)
      ElapsedMs += 50;
    WaitedMs.push_back(ElapsedMs);
  }
  // The host in another failure domain comes last.
  CHECK_EQUAL(2'300, WaitedMs[2]);
  CHECK_EQUAL(1'500, std::min(WaitedMs[0], WaitedMs[1]));
  CHECK_EQUAL(1'900, std::max(WaitedMs[0], WaitedMs[1]));
}

// Guards against losing non-retryable requests repeatedly to a target whose
// gray failure lasts longer than usual, and against leaving recovered targets
// unused for long.
TEST(TargetBalancer, NonRetryableTrialPauseAdaptsToGrayFailureLength) {
  const auto PauseMs = [&] {
    runAttempt(TargetId("t0"), AttemptEvidence::Failed, 3);
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
    runAttempt(TargetId("t0"), AttemptEvidence::Answered, 200);
    runAttempt(TargetId("t0"), AttemptEvidence::Answered, 200);
    runAttempt(TargetId("t0"), AttemptEvidence::Failed, 3);
    Now_ += 1'000;
  }
  CHECK(PauseMs() < First);
}

// Guards against a network fault between one host and a target ejecting the
// target on every host.
TEST(TargetBalancer, OwnAnswerClearsSuspicionRaisedByPeers) {
  useTargets(4);
  Balancer_.applyPeerObservation(
      TargetId("t0"), TargetObservation::SuspectedFailure, atMs(Now_));
  runAttempt(TargetId("t0"), AttemptEvidence::Answered, 200);
  Balancer_.applyPeerObservation(
      TargetId("t0"), TargetObservation::SuspectedFailure, atMs(Now_));
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  Balancer_.applyPeerObservation(TargetId("t0"), TargetObservation::Failed,
                                 atMs(Now_));
  CHECK(Balancer_.isEjected(TargetId("t0")));
}

// Guards against sending requests to a target that has stopped answering while
// its earlier requests have not yet reached their deadlines.
TEST(TargetBalancer, SilentTargetsAreAvoided) {
  useTargets(2);
  Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  Now_ += 1'500;
  CHECK_FALSE(isUsed(TargetId("t0"), true));
  runAttempt(TargetId("t0"), AttemptEvidence::Answered, 1);
  CHECK(isUsed(TargetId("t0"), true) || isUsed(TargetId("t1"), true));
}

// Guards against ejecting a target that had too little time to answer because
// of a short deadline.
TEST(TargetBalancer, ShortTimeoutsDoNotEject) {
  useTargets(4);
  runAttempt(TargetId("t0"), AttemptEvidence::Silent, 300);
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
  runAttempt(TargetId("t0"), AttemptEvidence::Silent, 2'000);
  CHECK(Balancer_.isEjected(TargetId("t0")));
}

TEST(TargetBalancer, FullTargetsAreNotPicked) {
  useTargets(1);
  for (int Count = 0; Count < 4; ++Count) {
    CHECK(pick(false).has_value());
    Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  }
  CHECK_FALSE(pick(false).has_value());
}

// Guards against each host filling a target's queue because it does not see the
// other hosts' requests.
TEST(TargetBalancer, ReportedLoadCountsUntilWorkedOff) {
  useTargets(1);
  Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  Balancer_.attemptEnded(TargetId("t0"), atMs(Now_), AttemptEvidence::Refused,
                         ms(200), TargetReport{ReportedLoad{3, 12}, {}},
                         atMs(Now_));
  Now_ += 400;
  CHECK_FALSE(pick(false).has_value());
  Now_ += 1'000;
  CHECK(pick(false).has_value());
}

TEST(TargetBalancer, OwnFailureDomainIsPreferredUntilFull) {
  Balancer_.setTargets({target(0), target(1, "yaba")}, atMs(Now_));
  for (int Count = 0; Count < 3; ++Count) {
    CHECK(pick(false)->Target_.Id_ == TargetId("t0"));
    Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  }
  Balancer_.attemptStarted(TargetId("t0"), atMs(Now_));
  CHECK(pick(false)->Target_.Id_ == TargetId("t1"));
}

// Guards against refusing requests that an ejected target would likely serve.
TEST(TargetBalancer, PartlyServingTargetsAreUsedWhileRequestsWait) {
  useTargets(3);
  for (int Count = 0; Count < 4; ++Count) {
    Balancer_.attemptStarted(TargetId("t1"), atMs(Now_));
    Balancer_.attemptStarted(TargetId("t2"), atMs(Now_));
  }
  runAttempt(TargetId("t0"), AttemptEvidence::Failed, 3);
  CHECK_FALSE(pick(false).has_value());
  Balancer_.setHasWaitingRequests(true);
  CHECK_FALSE(pick(false).has_value());
  runAttempt(TargetId("t0"), AttemptEvidence::Answered, 3);
  runAttempt(TargetId("t0"), AttemptEvidence::Failed, 3);
  runAttempt(TargetId("t0"), AttemptEvidence::Answered, 3);
  runAttempt(TargetId("t0"), AttemptEvidence::Answered, 3);
  CHECK(pick(false).has_value());
}

TEST(TargetBalancer, LeavingTargetsAreNotPicked) {
  TargetEntry Leaving = target(0);
  Leaving.Leaving_ = true;
  Balancer_.setTargets({Leaving}, atMs(Now_));
  CHECK_FALSE(pick(true).has_value());
  CHECK_FALSE(Balancer_.hasUntriedTarget(PickConstraints(), atMs(Now_)));
}

// Guards against repeated attempts on a target whose address now belongs to
// another instance: each attempt uses part of the retry budget.
TEST(TargetBalancer, TargetsReplacedAtTheirAddressAreNotPicked) {
  useTargets(2);
  runAttempt(TargetId("t0"), AttemptEvidence::Failed, 3);
  runAttempt(TargetId("t0"), AttemptEvidence::Gone, 3);
  Balancer_.applyPeerObservation(TargetId("t1"), TargetObservation::Gone,
                                 atMs(Now_));
  Now_ += 5'000;
  CHECK_FALSE(pick(true).has_value());
  CHECK_FALSE(Balancer_.hasUntriedTarget(PickConstraints(), atMs(Now_)));
  TargetEntry Restarted = target(1);
  Restarted.StartedUnixMs_ = 2;
  Balancer_.setTargets({target(0), Restarted}, atMs(Now_));
  CHECK(pick(true)->Target_.Id_ == TargetId("t1"));
}

// Guards against applying the state of an earlier incarnation of a target to
// the next.
TEST(TargetBalancer, RestartClearsEjection) {
  useTargets(2);
  runAttempt(TargetId("t0"), AttemptEvidence::Failed, 3);
  TargetEntry Restarted = target(0);
  Restarted.StartedUnixMs_ = 2;
  Balancer_.setTargets({Restarted, target(1)}, atMs(Now_));
  CHECK_FALSE(Balancer_.isEjected(TargetId("t0")));
}

// Guards against attempts at a limited target that are not usual placements:
// trials while it is ejected, and the last resort.
TEST(TargetBalancer, TrialsAndLastResortKeepTheRateLimit) {
  useTargets(1);
  const TargetId Id("t0");
  Balancer_.attemptStarted(Id, atMs(Now_));
  Balancer_.attemptEnded(Id, atMs(Now_), AttemptEvidence::Failed, ms(200),
                         TargetReport{{}, 1}, atMs(Now_));
  int Sent = 0;
  for (const std::int64_t Start = Now_; Now_ < Start + 20'000; Now_ += 50)
    for (const bool IsLastResort : {false, true}) {
      PickConstraints Constraints;
      Constraints.IsRetryable_ = true;
      Constraints.IsLastResort_ = IsLastResort;
      const std::optional<TargetPick> Pick =
          Balancer_.pick(Constraints, atMs(Now_), Random_);
      if (!Pick)
        continue;
      ++Sent;
      runAttempt(Id, AttemptEvidence::Failed, 0);
    }
  CHECK(Sent >= 15 && Sent <= 20);
}

// Guards against requests that wait for a target whose limit is left to other
// hosts.
TEST(TargetBalancer, LimitedTargetWithoutOwnPartIsNoTarget) {
  useTargets(1);
  Balancer_.setAssignedHosts({{HostId("h2"), FailureDomain("ikeja")}},
                             atMs(Now_));
  CHECK(Balancer_.hasUntriedTarget(PickConstraints(), atMs(Now_)));
  Balancer_.recordPeerRateLimit(
      {ServiceName("desk"), TargetId("t0"), 1, 2, ms(0)}, atMs(Now_));
  CHECK_FALSE(Balancer_.hasUntriedTarget(PickConstraints(), atMs(Now_)));
  CHECK_FALSE(pick(false).has_value());
  // Another incarnation has named no limit yet.
  TargetEntry Restarted = target(0);
  Restarted.StartedUnixMs_ = 2;
  Balancer_.setTargets({Restarted}, atMs(Now_));
  Balancer_.recordPeerRateLimit(
      {ServiceName("desk"), TargetId("t0"), 1, 2, ms(0)}, atMs(Now_));
  CHECK(pick(false).has_value());
}
