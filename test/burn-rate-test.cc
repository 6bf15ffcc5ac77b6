// Tests of the burn rate: classification of requests, windows, merging and the
// alarm rule.

#include "kumquatpitch/burn-rate.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::atMs;
using kumquatpitch::test::ms;

static const Objective Slo{99.0, std::chrono::milliseconds(500), 28};
constexpr std::int64_t MinuteMs = 60'000;

static BurnRate makeCounter() {
  return {CustomerName("imigongo"), ServiceName("ledger"), Slo, atMs(0)};
}

static CompletedRequest failed(ResultCode Code, Outcome Reported) {
  return CompletedRequest{Code, Reported, httpStatus(Code), ms(1)};
}

static void recordMany(BurnRate &Counter, const CompletedRequest &End,
                       int Count, TimePoint Now) {
  for (int Index = 0; Index < Count; ++Index)
    Counter.record(End, Now);
}

static std::uint64_t badIn(const BurnRate &Counter, BurnWindow Window,
                           TimePoint Now) {
  return Counter.snapshot(Now).window(Window).Counts_.bad();
}

static const CompletedRequest GoodEnd{ResultCode::Ok, Outcome::Ran, 200,
                                      ms(10)};
static const CompletedRequest ShedEnd =
    failed(ResultCode::QueueFull, Outcome::NotRun);

TEST_GROUP(BurnRate){};

TEST(BurnRate, ClassifiesByAvailabilityAndLatency) {
  CHECK(!classifyRequest(GoodEnd, Slo)->Cause_);
  const CompletedRequest Late{ResultCode::Ok, Outcome::Ran, 200, ms(501)};
  CHECK(classifyRequest(Late, Slo)->Cause_ == BurnCause::Slow);
  const CompletedRequest Error{ResultCode::Ok, Outcome::Ran, 503, ms(1)};
  CHECK(classifyRequest(Error, Slo)->Cause_ == BurnCause::Failed);
  CHECK(classifyRequest(failed(ResultCode::NoTarget, Outcome::NotRun), Slo)
            ->Cause_ == BurnCause::Ejected);
  CHECK(classifyRequest(failed(ResultCode::RateExceeded, Outcome::NotRun), Slo)
            ->Cause_ == BurnCause::OverLimit);
  CHECK(
      classifyRequest(failed(ResultCode::BackendBroken, Outcome::Unknown), Slo)
          ->Cause_ == BurnCause::Unknown);
}

// Guards against requests that fail through the caller's own mistake and use up
// the customer's error budget.
TEST(BurnRate, IgnoresFailuresCausedByTheCaller) {
  BurnRate Counter = makeCounter();
  for (const ResultCode Code : {ResultCode::RouteUnknown,
                                ResultCode::CallerGone, ResultCode::WrongHost})
    CHECK(!Counter.record(failed(Code, Outcome::NotRun), atMs(1)));
  CHECK_EQUAL(
      0, Counter.snapshot(atMs(2)).window(BurnWindow::Slo).Counts_.total());
}

TEST(BurnRate, CountsByCauseAndOutcome) {
  BurnRate Counter = makeCounter();
  recordMany(Counter, GoodEnd, 3, atMs(1));
  recordMany(Counter, ShedEnd, 2, atMs(1));
  Counter.record(failed(ResultCode::BackendTimeout, Outcome::Unknown), atMs(1));
  const BurnSnapshot Snapshot = Counter.snapshot(atMs(2));
  const BurnCounts &Counts = Snapshot.window(BurnWindow::Min5).Counts_;
  CHECK_EQUAL(3, Counts.Good_);
  CHECK_EQUAL(2, Counts.BadByCause_[static_cast<std::size_t>(BurnCause::Shed)]);
  CHECK_EQUAL(1,
              Counts.BadByOutcome_[static_cast<std::size_t>(Outcome::Unknown)]);
  CHECK_EQUAL(2,
              Counts.BadByOutcome_[static_cast<std::size_t>(Outcome::NotRun)]);
}

// Guards against a bucket that is reused without being cleared: after a time
// without requests, its old counts would appear in a window again.
TEST(BurnRate, WindowsDropCountsOlderThanTheirLength) {
  BurnRate Counter = makeCounter();
  recordMany(Counter, ShedEnd, 7, atMs(1));
  CHECK_EQUAL(7, badIn(Counter, BurnWindow::Min5, atMs(5 * MinuteMs - 1)));
  Counter.record(GoodEnd, atMs(6 * MinuteMs));
  CHECK_EQUAL(0, badIn(Counter, BurnWindow::Min5, atMs(6 * MinuteMs)));
  CHECK_EQUAL(7, badIn(Counter, BurnWindow::Min30, atMs(30 * MinuteMs - 1)));
  CHECK_EQUAL(0, badIn(Counter, BurnWindow::Min30, atMs(31 * MinuteMs)));
  CHECK_EQUAL(7, badIn(Counter, BurnWindow::Hour1, atMs(60 * MinuteMs - 1)));
  Counter.record(GoodEnd, atMs(362 * MinuteMs));
  CHECK_EQUAL(0, badIn(Counter, BurnWindow::Hour6, atMs(362 * MinuteMs)));
  CHECK_EQUAL(7, badIn(Counter, BurnWindow::Slo, atMs(362 * MinuteMs)));
  const std::int64_t Days29 = 29LL * 24 * 60 * MinuteMs;
  CHECK_EQUAL(0, badIn(Counter, BurnWindow::Slo, atMs(Days29)));
}

// Guards against a recently started host that reports its counts as if they
// covered a whole window.
TEST(BurnRate, ReportsHowLongItHasCounted) {
  BurnRate Counter = makeCounter();
  const BurnSnapshot YoungHost = Counter.snapshot(atMs(2 * MinuteMs));
  CHECK(YoungHost.CountedFor_ == std::chrono::minutes(2));
  CHECK(YoungHost.window(BurnWindow::Hour6).Covered_ ==
        std::chrono::minutes(2));
  CHECK(YoungHost.Series_.empty());
  const BurnSnapshot Older = Counter.snapshot(atMs(20 * MinuteMs));
  CHECK(Older.window(BurnWindow::Min5).Covered_ == std::chrono::minutes(5));
  CHECK_EQUAL(4, Older.Series_.size());
  CHECK_EQUAL(MaxBurnPoints,
              Counter.snapshot(atMs(1000 * MinuteMs)).Series_.size());
}

// Guards against counts that are lost or doubled when the length of the
// objective's window changes.
TEST(BurnRate, KeepsCountsWhenTheSloWindowChanges) {
  BurnRate Counter = makeCounter();
  const std::int64_t DayMs = 24LL * 60 * MinuteMs;
  recordMany(Counter, ShedEnd, 5, atMs(1));
  recordMany(Counter, ShedEnd, 4, atMs(6 * DayMs));
  Counter.setObjective(Objective{99.0, ms(500), 7}, atMs(6 * DayMs));
  CHECK_EQUAL(9, badIn(Counter, BurnWindow::Slo, atMs(6 * DayMs)));
  CHECK_EQUAL(4, badIn(Counter, BurnWindow::Slo, atMs(8 * DayMs)));
  Counter.setObjective(Slo, atMs(20 * DayMs));
  CHECK(Counter.snapshot(atMs(20 * DayMs)).window(BurnWindow::Slo).Covered_ ==
        std::chrono::hours(24 * 7));
}

TEST(BurnRate, MergesSnapshotsByService) {
  BurnRate OldHost = makeCounter();
  BurnRate YoungHost = makeCounter();
  recordMany(OldHost, ShedEnd, 2, atMs(1));
  recordMany(YoungHost, ShedEnd, 1, atMs(1));
  recordMany(YoungHost, GoodEnd, 9, atMs(1));
  BurnSnapshot Other = YoungHost.snapshot(atMs(5 * MinuteMs));
  Other.Service_ = ServiceName("workshop");
  const std::vector<MergedBurn> Merged =
      mergeBurn({OldHost.snapshot(atMs(10 * MinuteMs)),
                 YoungHost.snapshot(atMs(5 * MinuteMs)), Other});
  CHECK_EQUAL(2, Merged.size());
  CHECK_EQUAL(2, Merged[0].Hosts_);
  CHECK_EQUAL(3, Merged[0].Total_.window(BurnWindow::Hour1).Counts_.bad());
  CHECK(Merged[0].Total_.CountedFor_ == std::chrono::minutes(5));
  CHECK(Merged[0].LongestCounted_ == std::chrono::minutes(10));
  CHECK_EQUAL(2, Merged[0].Total_.Series_.size());
  CHECK(!Merged[0].ObjectivesDiffer_);
}

TEST(BurnRate, ComputesBurnRateAndBudgetLeft) {
  DOUBLES_EQUAL(5.0, burnRate(95, 5, Slo).value(), 1e-9);
  CHECK(!burnRate(0, 0, Slo));
  BurnRate Counter = makeCounter();
  CHECK(!budgetLeft(Counter.snapshot(atMs(1))));
  recordMany(Counter, GoodEnd, 995, atMs(1));
  recordMany(Counter, ShedEnd, 5, atMs(1));
  DOUBLES_EQUAL(0.5, budgetLeft(Counter.snapshot(atMs(2))).value(), 1e-9);
}

// Guards against an alarm raised by one window alone: by the short window in a
// short burst, or by the long window after the fault is over.
TEST(BurnRate, AlarmRequiresBothWindows) {
  BurnRate Counter = makeCounter();
  recordMany(Counter, GoodEnd, 10'000, atMs(1));
  recordMany(Counter, ShedEnd, 100, atMs(50 * MinuteMs));
  const BurnSnapshot Burst = Counter.snapshot(atMs(50 * MinuteMs));
  CHECK(burnAlarm(Burst) == BurnAlarm::None);
  recordMany(Counter, ShedEnd, 3'000, atMs(51 * MinuteMs));
  CHECK(burnAlarm(Counter.snapshot(atMs(51 * MinuteMs))) == BurnAlarm::Fast);
  recordMany(Counter, GoodEnd, 10, atMs(58 * MinuteMs));
  CHECK(burnAlarm(Counter.snapshot(atMs(58 * MinuteMs))) == BurnAlarm::Slow);
  DOUBLES_EQUAL(13.44, alarmThreshold(BurnAlarm::Fast, Slo), 1e-9);
  DOUBLES_EQUAL(5.6, alarmThreshold(BurnAlarm::Slow, Slo), 1e-9);
}
