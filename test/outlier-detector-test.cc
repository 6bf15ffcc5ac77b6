// Evidence and suspicion of single targets.

#include "kumquatpitch/outlier-detector.h"
#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

// Six targets with the fast profile. A stall age is 450 ms while answers take
// 40 ms.
TEST_GROUP(OutlierDetector) {
  OutlierDetector Detector_{DetectionProfile::FastDetection};
  std::set<TargetId> Targets_{TargetId("a"), TargetId("b"), TargetId("c"),
                              TargetId("d"), TargetId("e"), TargetId("f")};
  TargetId Sick_{"a"};
  HostId Peer_{"peer"};
  AttemptId Next_ = 1;

  void setup() override { Detector_.setTargets(Targets_, atMs(0)); }

  AttemptId start(const TargetId &Target, std::int64_t Ms,
                  bool NewConnection = false) {
    Detector_.attemptStarted(Target, Next_, NewConnection, atMs(Ms));
    return Next_++;
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

  /// Usual answers of all targets until `Ms`.
  void answerAll(std::int64_t FromMs, std::int64_t ToMs) {
    for (std::int64_t Ms = FromMs; Ms + 40 <= ToMs; Ms += 50)
      for (const TargetId &Each : Targets_)
        answer(Each, Ms);
    Detector_.evaluate(atMs(ToMs));
  }

  double score(const TargetId &Target, std::int64_t Ms) {
    for (const Suspicion &Each : Detector_.evaluate(atMs(Ms)).Suspicions_)
      if (Each.Target_ == Target)
        return Each.Score_;
    return 0;
  }
};

// Guards against a stall that is noticed only when the deadline has passed.
TEST(OutlierDetector, AWaitingRequestCountsBeforeItEnds) {
  answerAll(0, 1000);
  start(Sick_, 1000);
  CHECK(score(Sick_, 1170) == 0);
  DOUBLES_EQUAL(0.5, score(Sick_, 1225), 0.01);
  DOUBLES_EQUAL(1.0, score(Sick_, 1450), 0.01);
}

// Guards against a lying health endpoint that clears a stalled target.
TEST(OutlierDetector, AGoodProbeClearsNothing) {
  answerAll(0, 1000);
  start(Sick_, 1000);
  Detector_.probeEnded(Sick_, true, atMs(1400));
  DOUBLES_EQUAL(1.0, score(Sick_, 1450), 0.01);
}

// Guards against misleading health reports that eject a healthy target.
TEST(OutlierDetector, FailedProbesAloneAreNoEvidence) {
  answerAll(0, 1000);
  for (int I = 0; I < 10; ++I)
    Detector_.probeEnded(Sick_, false, atMs(1000 + I));
  CHECK(score(Sick_, 1100) == 0);
}

TEST(OutlierDetector, ErrorsCountAndShedRequestsDoNot) {
  answerAll(0, 1000);
  for (int I = 0; I < 3; ++I) {
    answer(Sick_, 1000 + 10 * I, 5, false, 503);
    end(TargetId("b"), start(TargetId("b"), 1000), AttemptEnd::Refused, 1005,
        5);
  }
  CHECK(score(Sick_, 1100) >= 1);
  CHECK(score(TargetId("b"), 1100) == 0);
}

// Guards against a rare error among many good answers ejecting a target.
TEST(OutlierDetector, AFewErrorsAmongGoodAnswersAreNoEvidence) {
  answerAll(0, 1000);
  for (int I = 0; I < 3; ++I) {
    answer(Sick_, 1000 + 100 * I, 5, false, 503);
    for (int J = 0; J < 5; ++J)
      answer(Sick_, 1010 + 100 * I + J);
  }
  CHECK(score(Sick_, 1400) == 0);
}

// Guards against a slow service being judged by a fixed limit, and against a
// target that answers, but far slower than its siblings.
TEST(OutlierDetector, LatencyIsComparedWithSiblings) {
  for (std::int64_t Ms = 0; Ms < 4000; Ms += 100)
    for (const TargetId &Each : Targets_)
      answer(Each, Ms, Each == Sick_ ? 400 : 60);
  CHECK(score(Sick_, 4500) >= 1);
  CHECK(score(TargetId("b"), 4500) == 0);
  for (std::int64_t Ms = 10'000; Ms < 40'000; Ms += 100)
    for (const TargetId &Each : Targets_)
      answer(Each, Ms, 400);
  CHECK(score(Sick_, 40'500) == 0);
}

// Guards against one bad cause for all, such as an overload, costing targets.
TEST(OutlierDetector, WhatAllSiblingsSufferIsNoOutlier) {
  answerAll(0, 1000);
  for (const TargetId &Each : Targets_)
    start(Each, 1000);
  CHECK(score(Sick_, 1500) == 0);
  CHECK(Detector_.evaluate(atMs(1500)).Suspicions_.at(0).OwnScore_ >= 1);
}

// Guards against peers ejecting a target that this host finds well, and against
// peers' evidence that outweighs the host's own.
TEST(OutlierDetector, PeersOnlyAddToOwnEvidence) {
  answerAll(0, 1000);
  Detector_.peerReport(Peer_, Sick_, {5, true, std::nullopt}, atMs(1000));
  CHECK(score(Sick_, 1100) == 0);
  start(Sick_, 1100);
  DOUBLES_EQUAL(0.75, score(Sick_, 1325), 0.01);
  CHECK(Detector_.evidenceToReport(atMs(1325)).at(Sick_).OwnScore_ < 0.51);
}

TEST(OutlierDetector, PeersEvidenceExpires) {
  answerAll(0, 1000);
  Detector_.peerReport(Peer_, Sick_, {5, true, std::nullopt}, atMs(1000));
  start(Sick_, 2800);
  DOUBLES_EQUAL(0.5, score(Sick_, 3025), 0.01);
}

// Guards against a silent connection that ejects a healthy target: a new
// connection answers, so the old ones are closed.
TEST(OutlierDetector, ASilentConnectionIsClosedAndNoEvidence) {
  answerAll(0, 1000);
  const AttemptId Hung = start(Sick_, 1000);
  CHECK_FALSE(Detector_.wantsNewConnection(Sick_, atMs(1100)));
  CHECK(Detector_.wantsNewConnection(Sick_, atMs(1250)));
  answer(Sick_, 1250, 40, true);
  const DetectorFindings First = Detector_.evaluate(atMs(1460));
  CHECK_EQUAL(1, First.Silent_.size());
  CHECK(First.Silent_[0].OpenedBefore_ == atMs(1250));
  CHECK(score(Sick_, 1800) == 0);
  const DetectorFindings Later = Detector_.evaluate(atMs(1900));
  CHECK((Later.Silent_.at(0).Attempts_ == std::vector<AttemptId>{Hung}));
}

// Guards against the same verdict again and again for a target that stalls a
// part of its requests.
TEST(OutlierDetector, APartialStallIsNotSilentTwice) {
  answerAll(0, 1000);
  start(Sick_, 1000);
  answer(Sick_, 1250, 40, true);
  Detector_.evaluate(atMs(1460));
  start(Sick_, 1500);
  answer(Sick_, 1750, 40, true);
  CHECK(score(Sick_, 1960) >= 1);
}

// Guards against a host with a single slot ejecting a target whose connection
// to this host alone went silent.
TEST(OutlierDetector, AKeptConnectionThatHangsHereOnlyIsNoEvidence) {
  answerAll(0, 1000);
  start(Sick_, 1000);
  Detector_.peerReport(Peer_, Sick_, {0, false, ms(100)}, atMs(1500));
  CHECK(score(Sick_, 1500) == 0);
  CHECK(Detector_.evidenceToReport(atMs(1500)).contains(Sick_));
}

// Guards against a cut of this host from all targets that goes unnoticed since
// peers are well.
TEST(OutlierDetector, PeersAnswersDoNotHideAnOwnFault) {
  answerAll(0, 1000);
  start(Sick_, 1000);
  Detector_.peerReport(Peer_, Sick_, {0, false, ms(100)}, atMs(1500));
  const std::vector<Suspicion> Found =
      Detector_.evaluate(atMs(1500)).Suspicions_;
  CHECK(Found.at(0).OwnScore_ >= 1);
}

// Guards against one-way loss that goes unnoticed since peers are well.
TEST(OutlierDetector, ANewConnectionThatHangsHereOnlyIsEvidence) {
  answerAll(0, 1000);
  start(Sick_, 1000, true);
  Detector_.peerReport(Peer_, Sick_, {0, false, ms(100)}, atMs(1400));
  DOUBLES_EQUAL(1.0 / 3, score(Sick_, 1450), 0.01);
  Detector_.peerReport(Peer_, Sick_, {0, false, ms(100)}, atMs(1450));
  DOUBLES_EQUAL(2.0 / 3, score(Sick_, 2400), 0.01);
}

// Guards against evidence from a pause or a network cut of this host.
TEST(OutlierDetector, ClearedEvidenceCountsFromZero) {
  answerAll(0, 1000);
  start(Sick_, 1000);
  CHECK(score(Sick_, 3000) >= 1);
  Detector_.clearEvidence(atMs(3000));
  CHECK(score(Sick_, 3100) == 0);
  DOUBLES_EQUAL(1.0, score(Sick_, 3450), 0.01);
}

// Guards against a cold target being ejected for its first slow answers.
TEST(OutlierDetector, AColdTargetMayTakeLonger) {
  answerAll(0, 1000);
  Targets_.insert(TargetId("cold"));
  Detector_.setTargets(Targets_, atMs(1000));
  start(TargetId("cold"), 1000);
  CHECK(score(TargetId("cold"), 1500) == 0);
  CHECK(score(TargetId("cold"), 2400) >= 1);
}

// Guards against one long request costing a target where false ejections
// matter more.
TEST(OutlierDetector, OneRequestIsNotEnoughToAvoidFalseEjection) {
  Detector_.setProfile(DetectionProfile::AvoidFalseEjection);
  answerAll(0, 1000);
  start(Sick_, 1000);
  Detector_.peerReport(Peer_, Sick_, {5, true, std::nullopt}, atMs(5000));
  CHECK(score(Sick_, 5100) < 1);
  start(Sick_, 5100);
  CHECK(score(Sick_, 6500) >= 1);
}
