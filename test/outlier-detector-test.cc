// Tests OutlierDetector: evidence about targets and their scores.

#include "kumquatpitch/outlier-detector.h"
#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

// Six targets with the fast-detection profile. Answers take 40 ms, so the stall
// threshold is at its minimum of 450 ms.
TEST_GROUP(OutlierDetector) {
  OutlierDetector Detector_{DetectionProfile::FastDetection};
  std::set<TargetId> Targets_{TargetId("a"), TargetId("b"), TargetId("c"),
                              TargetId("d"), TargetId("e"), TargetId("f")};
  TargetId Subject_{"a"};
  HostId Peer_{"peer"};
  AttemptId NextAttempt_ = 1;

  void setup() override { Detector_.setTargets(Targets_, atMs(0)); }

  AttemptId start(const TargetId &Target, std::int64_t Ms,
                  bool NewConnection = false) {
    Detector_.attemptStarted(Target, NextAttempt_, NewConnection, atMs(Ms));
    return NextAttempt_++;
  }

  void end(const TargetId &Target, AttemptId Attempt, AttemptEnd End,
           std::int64_t Ms, std::int64_t LatencyMs, int Status = 200) {
    AttemptReport Report;
    Report.End_ = End;
    Report.Latency_ = ms(LatencyMs);
    Report.HttpStatus_ = Status;
    Detector_.attemptEnded(Target, Attempt, Report, atMs(Ms));
  }

  void answer(const TargetId &Target, std::int64_t StartMs,
              std::int64_t LatencyMs = 40, bool NewConnection = false,
              int Status = 200) {
    end(Target, start(Target, StartMs, NewConnection), AttemptEnd::Answered,
        StartMs + LatencyMs, LatencyMs, Status);
  }

  /// All targets answer in 40 ms, every 50 ms from `FromMs` to `ToMs`.
  void answerAll(std::int64_t FromMs, std::int64_t ToMs) {
    for (std::int64_t Ms = FromMs; Ms + 40 <= ToMs; Ms += 50)
      for (const TargetId &Target : Targets_)
        answer(Target, Ms);
    Detector_.evaluate(atMs(ToMs));
  }

  double score(const TargetId &Target, std::int64_t Ms) {
    for (const Suspicion &Entry : Detector_.evaluate(atMs(Ms)).Suspicions_)
      if (Entry.Target_ == Target)
        return Entry.Score_;
    return 0;
  }
};

// Guards against detecting a stall only after the deadline of the request.
TEST(OutlierDetector, InFlightRequestCountsBeforeItEnds) {
  answerAll(0, 1000);
  start(Subject_, 1000);
  CHECK(score(Subject_, 1170) == 0);
  DOUBLES_EQUAL(0.5, score(Subject_, 1225), 0.01);
  DOUBLES_EQUAL(1.0, score(Subject_, 1450), 0.01);
}

// Guards against a health endpoint that reports a stalled target as healthy and
// so clears the evidence.
TEST(OutlierDetector, SuccessfulProbeKeepsEvidence) {
  answerAll(0, 1000);
  start(Subject_, 1000);
  Detector_.probeEnded(Subject_, true, atMs(1400));
  DOUBLES_EQUAL(1.0, score(Subject_, 1450), 0.01);
}

// Guards against ejecting a healthy target because its health checks fail.
TEST(OutlierDetector, FailedProbesAloneAreNoEvidence) {
  answerAll(0, 1000);
  for (int I = 0; I < 10; ++I)
    Detector_.probeEnded(Subject_, false, atMs(1000 + I));
  CHECK(score(Subject_, 1100) == 0);
}

TEST(OutlierDetector, ErrorsCountButShedRequestsDoNot) {
  answerAll(0, 1000);
  for (int I = 0; I < 3; ++I) {
    answer(Subject_, 1000 + 10 * I, 5, false, 503);
    end(TargetId("b"), start(TargetId("b"), 1000), AttemptEnd::Refused, 1005,
        5);
  }
  CHECK(score(Subject_, 1100) >= 1);
  CHECK(score(TargetId("b"), 1100) == 0);
}

// Guards against ejecting a target for rare errors among many good answers.
TEST(OutlierDetector, RareErrorsAreNoEvidence) {
  answerAll(0, 1000);
  for (int I = 0; I < 3; ++I) {
    answer(Subject_, 1000 + 100 * I, 5, false, 503);
    for (int J = 0; J < 5; ++J)
      answer(Subject_, 1010 + 100 * I + J);
  }
  CHECK(score(Subject_, 1400) == 0);
}

// Guards against judging a slow service by a fixed limit, and against missing a
// target that answers but is far slower than its siblings.
TEST(OutlierDetector, LatencyIsComparedWithSiblings) {
  for (std::int64_t Ms = 0; Ms < 4000; Ms += 100)
    for (const TargetId &Target : Targets_)
      answer(Target, Ms, Target == Subject_ ? 400 : 60);
  CHECK(score(Subject_, 4500) >= 1);
  CHECK(score(TargetId("b"), 4500) == 0);
  for (std::int64_t Ms = 10'000; Ms < 40'000; Ms += 100)
    for (const TargetId &Target : Targets_)
      answer(Target, Ms, 400);
  CHECK(score(Subject_, 40'500) == 0);
}

// Guards against ejections when one cause, such as an overload, affects all
// targets.
TEST(OutlierDetector, StallOfAllSiblingsIsNoOutlier) {
  answerAll(0, 1000);
  for (const TargetId &Target : Targets_)
    start(Target, 1000);
  CHECK(score(Subject_, 1500) == 0);
  CHECK(Detector_.evaluate(atMs(1500)).Suspicions_.at(0).UndiscountedScore_ >=
        1);
}

// Guards against ejecting, on peers' evidence alone, a target that works for
// this host, and against peers' evidence that outweighs the host's own.
TEST(OutlierDetector, PeerEvidenceOnlyAddsToOwn) {
  answerAll(0, 1000);
  Detector_.peerReport(Peer_, Subject_, {5, true, std::nullopt}, atMs(1000));
  CHECK(score(Subject_, 1100) == 0);
  start(Subject_, 1100);
  DOUBLES_EQUAL(0.75, score(Subject_, 1325), 0.01);
  CHECK(Detector_.evidenceToReport(atMs(1325)).at(Subject_).LocalScore_ < 0.51);
}

TEST(OutlierDetector, PeerEvidenceExpires) {
  answerAll(0, 1000);
  Detector_.peerReport(Peer_, Subject_, {5, true, std::nullopt}, atMs(1000));
  start(Subject_, 2800);
  DOUBLES_EQUAL(0.5, score(Subject_, 3025), 0.01);
}

// Guards against ejecting a healthy target because of a silent connection. An
// attempt on a new connection is answered, so the old ones are to be closed.
TEST(OutlierDetector, SilentConnectionIsClosedAndNoEvidence) {
  answerAll(0, 1000);
  const AttemptId Hung = start(Subject_, 1000);
  CHECK_FALSE(Detector_.wantsNewConnection(Subject_, atMs(1100)));
  CHECK(Detector_.wantsNewConnection(Subject_, atMs(1250)));
  answer(Subject_, 1250, 40, true);
  const DetectorFindings First = Detector_.evaluate(atMs(1460));
  CHECK_EQUAL(1, First.Silent_.size());
  CHECK(First.Silent_[0].OpenedBefore_ == atMs(1250));
  CHECK(score(Subject_, 1800) == 0);
  const DetectorFindings Later = Detector_.evaluate(atMs(1900));
  CHECK((Later.Silent_.at(0).Attempts_ == std::vector<AttemptId>{Hung}));
}

// Guards against repeatedly blaming silent connections for a target that stalls
// some of its requests.
TEST(OutlierDetector, PartialStallIsReportedAsSilentOnce) {
  answerAll(0, 1000);
  start(Subject_, 1000);
  answer(Subject_, 1250, 40, true);
  Detector_.evaluate(atMs(1460));
  start(Subject_, 1500);
  answer(Subject_, 1750, 40, true);
  CHECK(score(Subject_, 1960) >= 1);
}

// Guards against a host with a single slot ejecting a target when only the
// connection from this host went silent.
TEST(OutlierDetector, KeptConnectionThatHangsHereOnlyIsNoEvidence) {
  answerAll(0, 1000);
  start(Subject_, 1000);
  Detector_.peerReport(Peer_, Subject_, {0, false, ms(100)}, atMs(1500));
  CHECK(score(Subject_, 1500) == 0);
  CHECK(Detector_.evidenceToReport(atMs(1500)).contains(Subject_));
}

// Guards against missing a network cut between this host and all targets
// because the targets still answer peers.
TEST(OutlierDetector, AnswersToPeersDoNotHideHostFault) {
  answerAll(0, 1000);
  start(Subject_, 1000);
  Detector_.peerReport(Peer_, Subject_, {0, false, ms(100)}, atMs(1500));
  const std::vector<Suspicion> Suspicions =
      Detector_.evaluate(atMs(1500)).Suspicions_;
  CHECK(Suspicions.at(0).UndiscountedScore_ >= 1);
}

// Guards against missing one-way packet loss because the target still answers
// peers.
TEST(OutlierDetector, NewConnectionThatHangsHereOnlyIsEvidence) {
  answerAll(0, 1000);
  start(Subject_, 1000, true);
  Detector_.peerReport(Peer_, Subject_, {0, false, ms(100)}, atMs(1400));
  DOUBLES_EQUAL(1.0 / 3, score(Subject_, 1450), 0.01);
  Detector_.peerReport(Peer_, Subject_, {0, false, ms(100)}, atMs(1450));
  DOUBLES_EQUAL(2.0 / 3, score(Subject_, 2400), 0.01);
}

// Guards against using evidence from a pause or a network cut of this host.
TEST(OutlierDetector, ClearEvidenceRestartsScoring) {
  answerAll(0, 1000);
  start(Subject_, 1000);
  CHECK(score(Subject_, 3000) >= 1);
  Detector_.clearEvidence(atMs(3000));
  CHECK(score(Subject_, 3100) == 0);
  DOUBLES_EQUAL(1.0, score(Subject_, 3450), 0.01);
}

// Guards against ejecting a cold target for its first slow answers.
TEST(OutlierDetector, ColdTargetHasLongerStallThreshold) {
  answerAll(0, 1000);
  Targets_.insert(TargetId("cold"));
  Detector_.setTargets(Targets_, atMs(1000));
  start(TargetId("cold"), 1000);
  CHECK(score(TargetId("cold"), 1500) == 0);
  CHECK(score(TargetId("cold"), 2400) >= 1);
}

// Guards against ejecting a target for one long request when the profile avoids
// false ejections.
TEST(OutlierDetector, AvoidFalseEjectionNeedsMoreThanOneRequest) {
  Detector_.setProfile(DetectionProfile::AvoidFalseEjection);
  answerAll(0, 1000);
  start(Subject_, 1000);
  Detector_.peerReport(Peer_, Subject_, {5, true, std::nullopt}, atMs(5000));
  CHECK(score(Subject_, 5100) < 1);
  start(Subject_, 5100);
  CHECK(score(Subject_, 6500) >= 1);
}
