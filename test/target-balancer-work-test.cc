// Choice of targets by expected work: single decisions, and how it meets
// ejection, rate limits and failure domains.

#include "kumquatpitch/balancing/cost-model.h"
#include "kumquatpitch/target-balancer.h"

#include "manual-time.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

TargetEntry target(const char *Id, const char *Domain) {
  TargetEntry Entry;
  Entry.Id_ = TargetId(Id);
  Entry.Service_ = ServiceName("archive");
  Entry.Domain_ = FailureDomain(Domain);
  Entry.Slots_ = 2;
  Entry.StartedUnixMs_ = 1;
  return Entry;
}

/// An estimate of requests that always take `Ms`.
WorkEstimate work(std::int64_t Ms) {
  const std::shared_ptr<WorkDistribution> Known =
      std::make_shared<WorkDistribution>(ms(Ms));
  for (int Count = 0; Count < 300; ++Count)
    Known->addCompleted(ms(Ms));
  return WorkEstimate(Known, 1);
}

} // namespace

TEST_GROUP(TargetBalancerWork) {
  SeededRandom Random_{7};
  TargetBalancer Balancer_{HostId("h1"), FailureDomain("a"), 0.7};
  std::int64_t Now_ = 100'000; ///< Milliseconds.
  TargetId First_{"t0"};
  TargetId Second_{"t1"};

  void setup() override {
    Balancer_.setBalancesByWork(true);
    useTargets({target("t0", "a"), target("t1", "a")});
  }

  void useTargets(const std::vector<TargetEntry> &Targets) {
    Balancer_.setTargets(Targets, atMs(Now_));
  }

  void start(const TargetId &Id, const WorkEstimate &Work) {
    Balancer_.attemptStarted(Id, atMs(Now_), Work);
  }

  void end(const TargetId &Id, std::int64_t StartedMs, AttemptEvidence Evidence,
           std::int64_t UsualMs) {
    Balancer_.attemptEnded(Id, atMs(StartedMs), Evidence, ms(UsualMs),
                           TargetReport(), atMs(Now_));
  }

  /// How many of 40 picks choose the target.
  int picksOf(const TargetId &Id, const WorkEstimate &Work) {
    int Picks = 0;
    for (int Count = 0; Count < 40; ++Count) {
      PickConstraints Constraints;
      Constraints.Work_ = Work;
      const std::optional<TargetPick> Pick =
          Balancer_.pick(Constraints, atMs(Now_), Random_);
      Picks += Pick && Pick->Target_.Id_ == Id ? 1 : 0;
    }
    return Picks;
  }
};

// Pattern: two targets have equally many requests, one of them long ones.
TEST(TargetBalancerWork, ChoosesTheTargetWhoseRequestsEndSooner) {
  for (int Slot = 0; Slot < 2; ++Slot) {
    start(First_, work(500));
    start(Second_, work(160));
  }
  CHECK_EQUAL(40, picksOf(Second_, work(160)));
}

TEST(TargetBalancerWork, ChoosesByCountWhereWorkIsEqual) {
  start(First_, work(300));
  CHECK_EQUAL(40, picksOf(Second_, work(300)));
}

// Pattern: a request that has outlived the usual work is one of the few that
// take many times as long.
TEST(TargetBalancerWork, AvoidsTheTargetOfARequestThatOutlivedItsWork) {
  const std::shared_ptr<WorkDistribution> WithTail =
      std::make_shared<WorkDistribution>(ms(160));
  for (int Count = 0; Count < 300; ++Count)
    WithTail->addCompleted(ms(Count % 33 == 0 ? 1'120 : 160));
  const WorkEstimate Work(WithTail, 1);
  start(First_, Work);
  start(First_, Work);
  Now_ += 400;
  start(Second_, Work);
  start(Second_, Work);
  CHECK_EQUAL(40, picksOf(Second_, Work));
}

TEST(TargetBalancerWork, LongRequestDoesNotMakeItsTargetSilent) {
  start(First_, work(2'000));
  start(Second_, work(2'000));
  start(Second_, work(2'000));
  Now_ += 4'000;
  CHECK_EQUAL(40, picksOf(First_, work(160)));
}

TEST(TargetBalancerWork, ShortRequestWithoutAnswerMakesItsTargetSilentSoon) {
  start(First_, work(150));
  start(Second_, work(2'000));
  start(Second_, work(2'000));
  Now_ += 650;
  CHECK_EQUAL(40, picksOf(Second_, work(150)));
}

TEST(TargetBalancerWork, TimeoutOfALongRequestIsNotSilence) {
  start(First_, work(2'000));
  Now_ += 3'000;
  CHECK(Balancer_.attemptEnded(
            First_, atMs(Now_ - 3'000), AttemptEvidence::Silent, ms(2'000),
            TargetReport(), atMs(Now_)) == AttemptEvidence::None);
  CHECK_FALSE(Balancer_.isEjected(First_));
}

TEST(TargetBalancerWork, TakesTheSlownessOfATargetOutOfTheWork) {
  for (int Count = 0; Count < 20; ++Count) {
    start(First_, work(200));
    start(Second_, work(200));
    Now_ += 200;
    end(Second_, Now_ - 200, AttemptEvidence::Answered, 200);
    Now_ += 200;
    end(First_, Now_ - 400, AttemptEvidence::Answered, 200);
  }
  start(First_, work(200));
  Now_ += 400;
  const std::optional<Duration> Work =
      Balancer_.workDone(First_, atMs(Now_ - 400), atMs(Now_));
  CHECK(Work.has_value());
  CHECK(*Work < ms(340));
}

// Slowness that all targets share is not told from work that has grown.
TEST(TargetBalancerWork, SlownessOfAllTargetsIsWork) {
  for (int Count = 0; Count < 100; ++Count) {
    start(First_, work(200));
    start(Second_, work(200));
    Now_ += 400;
    end(First_, Now_ - 400, AttemptEvidence::Answered, 200);
    end(Second_, Now_ - 400, AttemptEvidence::Answered, 200);
  }
  start(First_, work(200));
  Now_ += 400;
  const std::optional<Duration> Work =
      Balancer_.workDone(First_, atMs(Now_ - 400), atMs(Now_));
  CHECK(Work.has_value());
  DOUBLES_EQUAL(400, toMilliseconds(*Work), 25);
}

TEST(TargetBalancerWork, ExpectedWaitIsNotWork) {
  start(First_, work(200));
  start(First_, work(200));
  start(First_, work(200));
  Now_ += 300;
  const std::optional<Duration> Work =
      Balancer_.workDone(First_, atMs(Now_ - 300), atMs(Now_));
  CHECK(Work.has_value());
  CHECK_EQUAL(300, toMilliseconds(*Work));
  Now_ += 100;
  start(Second_, work(200));
  start(Second_, work(200));
  Now_ += 1;
  start(Second_, work(200));
  Now_ += 300;
  const std::optional<Duration> AfterWait =
      Balancer_.workDone(Second_, atMs(Now_ - 300), atMs(Now_));
  CHECK(AfterWait.has_value());
  CHECK(*AfterWait < ms(240));
}

TEST(TargetBalancerWork, UnknownAttemptHasDoneNoWork) {
  CHECK_FALSE(Balancer_.workDone(First_, atMs(1), atMs(Now_)).has_value());
  CHECK_FALSE(
      Balancer_.workDone(TargetId("none"), atMs(1), atMs(Now_)).has_value());
}

// Ejection goes before work: a failed target is not chosen because it is idle.
TEST(TargetBalancerWork, EjectedTargetIsNotChosenForItsLittleWork) {
  start(First_, work(200));
  Now_ += 1;
  end(First_, Now_ - 1, AttemptEvidence::Failed, 200);
  start(Second_, work(500));
  CHECK_EQUAL(0, picksOf(First_, work(160)));
}

// A request crosses to another failure domain only to save nearly as much as
// the mean work, as by count.
TEST(TargetBalancerWork, StaysInItsDomainForASmallGain) {
  useTargets({target("t0", "a"), target("t1", "b")});
  start(First_, work(200));
  start(First_, work(200));
  CHECK_EQUAL(40, picksOf(First_, work(200)));
}

TEST(TargetBalancerWork, CrossesDomainsWhenItsOwnIsBusyForLong) {
  useTargets({target("t0", "a"), target("t1", "b")});
  start(First_, work(5'000));
  start(First_, work(5'000));
  CHECK_EQUAL(40, picksOf(Second_, work(160)));
}

// A target that allows no request is not chosen however little work it has.
TEST(TargetBalancerWork, RateLimitGoesBeforeWork) {
  start(First_, work(200));
  Now_ += 200;
  Balancer_.attemptEnded(First_, atMs(Now_ - 200), AttemptEvidence::Answered,
                         ms(200), TargetReport{std::nullopt, 0.0}, atMs(Now_));
  start(Second_, work(2'000));
  CHECK_EQUAL(0, picksOf(First_, work(160)));
}

// All reports are old: requests are sent again, also after an overload.
TEST(TargetBalancerWork, OldReportsOfFullTargetsDoNotBlockTheService) {
  for (int Count = 0; Count < 100; ++Count)
    for (const TargetId &Id : {First_, Second_}) {
      start(Id, work(200));
      Now_ += 1;
      Balancer_.attemptEnded(
          Id, atMs(Now_ - 1), AttemptEvidence::Answered, ms(200),
          TargetReport{ReportedLoad{2, 9}, NoRateLimit}, atMs(Now_));
    }
  Balancer_.setHasWaitingRequests(true);
  PickConstraints Constraints;
  Constraints.Work_ = work(200);
  CHECK_FALSE(Balancer_.pick(Constraints, atMs(Now_), Random_).has_value());
  Now_ += 2'000;
  CHECK(Balancer_.pick(Constraints, atMs(Now_), Random_).has_value());
}
