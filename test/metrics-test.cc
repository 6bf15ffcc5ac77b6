// Metrics: statistics, bounds and text exposition.

#include "kumquatpitch/metrics-format.h"

#include "sample-status.h"

#include <random>
#include <set>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::atMs;
using kumquatpitch::test::ms;
using kumquatpitch::test::sampleStatus;

static const CustomerName Customer("imigongo");
static const ServiceName Service("ledger");

static CompletedRequest requestOfMs(std::int64_t Ms) {
  return CompletedRequest{ResultCode::Ok, Outcome::Ran, 200, ms(Ms)};
}

static LatencyStats latencyAt(const Metrics &Recorded, TimePoint Now) {
  return Recorded.snapshot(Now).Services_.at(0).Latencies_[0];
}

TEST_GROUP(Metrics){};

TEST(Metrics, ComputesLatencyStatistics) {
  Metrics Recorded;
  std::mt19937_64 Engine(7);
  for (int Index = 0; Index < 10'000; ++Index) {
    const std::int64_t Ms = static_cast<std::int64_t>(1 + Engine() % 1'000);
    Recorded.requestEnded(Customer, Service, requestOfMs(Ms), atMs(Index));
  }
  const LatencyStats Stats = latencyAt(Recorded, atMs(10'000));
  CHECK_EQUAL(10'000, Stats.Count_);
  DOUBLES_EQUAL(0.5, Stats.MeanSeconds_, 0.02);
  DOUBLES_EQUAL(1.0, Stats.MaxSeconds_, 0.001);
  DOUBLES_EQUAL(0.5, Stats.P50Seconds_.value(), 0.02);
  DOUBLES_EQUAL(0.99, Stats.P99Seconds_.value(), 0.01);
}

// Guards against undefined quantiles: the library's estimate has no defined
// value with only a few samples.
TEST(Metrics, OmitsQuantilesOfFewSamples) {
  Metrics Recorded;
  for (int Index = 0; Index < 19; ++Index)
    Recorded.requestEnded(Customer, Service, requestOfMs(5), atMs(0));
  CHECK(!latencyAt(Recorded, atMs(1)).P99Seconds_);
  Recorded.requestEnded(Customer, Service, requestOfMs(5), atMs(0));
  CHECK(latencyAt(Recorded, atMs(1)).P99Seconds_.has_value());
}

// Guards against statistics that still show an old fault, or still look healthy
// after a new one.
TEST(Metrics, StatisticsCoverTheLastMinute) {
  Metrics Recorded;
  Recorded.requestEnded(Customer, Service, requestOfMs(9'000), atMs(0));
  Recorded.requestEnded(Customer, Service, requestOfMs(10), atMs(61'000));
  DOUBLES_EQUAL(9.0, latencyAt(Recorded, atMs(62'000)).MaxSeconds_, 1e-9);
  DOUBLES_EQUAL(0.01, latencyAt(Recorded, atMs(121'000)).MaxSeconds_, 1e-9);
  DOUBLES_EQUAL(0.0, latencyAt(Recorded, atMs(600'000)).MaxSeconds_, 1e-9);
  Recorded.requestEnded(Customer, Service, requestOfMs(20), atMs(700'000));
  DOUBLES_EQUAL(0.0, latencyAt(Recorded, atMs(700'001)).MaxSeconds_, 1e-9);
  CHECK_EQUAL(3, latencyAt(Recorded, atMs(700'001)).Count_);
}

// Guards against memory that grows with the number of names that callers
// invent.
TEST(Metrics, CountsLabelSetsOverTheLimitAsOther) {
  Metrics Recorded(2);
  for (const char *Name : {"a", "b", "c", "d", "c"})
    Recorded.requestEnded(Customer, ServiceName(Name), requestOfMs(1), atMs(0));
  MetricsSnapshot Snapshot = Recorded.snapshot(atMs(1));
  CHECK_EQUAL(3, Snapshot.Services_.size());
  STRCMP_EQUAL("other", Snapshot.Services_[2].Service_.c_str());
  CHECK_EQUAL(3, Snapshot.Services_[2].Latencies_[0].Count_);
  CHECK_EQUAL(3, Snapshot.OverLimitEvents_);
  Recorded.forget(Customer, ServiceName("a"));
  Recorded.requestEnded(Customer, ServiceName("e"), requestOfMs(1), atMs(0));
  Snapshot = Recorded.snapshot(atMs(1));
  STRCMP_EQUAL("e", Snapshot.Services_[1].Service_.c_str());
}

TEST(Metrics, BoundsTheNumberOfHostCounters) {
  Metrics Recorded;
  for (int Index = 0; Index < 100; ++Index)
    Recorded.count("event_" +
                   std::string(static_cast<std::size_t>(Index), 'x'));
  CHECK_EQUAL(64, Recorded.snapshot(atMs(0)).Counters_.size());
  CHECK_EQUAL(36, Recorded.snapshot(atMs(0)).OverLimitEvents_);
}

TEST(Metrics, WritesTextExposition) {
  Metrics Recorded;
  Recorded.requestEnded(Customer, Service, requestOfMs(5), atMs(0));
  Recorded.attemptEnded(Customer, Service, AttemptEnd::TimedOut, atMs(0));
  Recorded.count("peer_messages_dropped", 4);
  const std::string Text =
      formatMetrics(Recorded.snapshot(atMs(1)), sampleStatus("h-1"));
  for (const char *Line :
       {"kumquatpitch_ready 1\n", "kumquatpitch_config_version 17\n",
        "kumquatpitch_requests_total{customer=\"imigongo\",service=\"ledger\","
        "code=\"ok\",outcome=\"ran\"} 1\n",
        "kumquatpitch_attempts_total{customer=\"imigongo\",service=\"ledger\","
        "end=\"timed_out\"} 1\n",
        "kumquatpitch_request_latency_seconds{customer=\"imigongo\","
        "service=\"ledger\",quantile=\"0.99\"} NaN\n",
        "kumquatpitch_request_latency_seconds_sum{customer=\"imigongo\","
        "service=\"ledger\"} 0.005\n",
        "kumquatpitch_peer_messages_dropped_total 4\n",
        "kumquatpitch_targets{customer=\"imigongo\",service=\"ledger\","
        "condition=\"ejected\"} 1\n",
        "kumquatpitch_peers{direction=\"only_from\"} 1\n"})
    STRCMP_CONTAINS(Line, Text.c_str());
}

// Guards against a metric declared twice, which makes scrapers reject the
// whole page.
TEST(Metrics, DeclaresEachMetricOnce) {
  Metrics Recorded;
  Recorded.requestEnded(Customer, Service, requestOfMs(5), atMs(0));
  std::istringstream Lines(
      formatMetrics(Recorded.snapshot(atMs(1)), sampleStatus("h-1")));
  std::set<std::string> Declared;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.rfind("# TYPE ", 0) == 0)
      CHECK(Declared.insert(Line).second);
  CHECK_EQUAL(18, Declared.size());
}

// Guards against a label value that closes its quotes and injects another
// label.
TEST(Metrics, EscapesLabelValues) {
  Metrics Recorded;
  Recorded.requestEnded(CustomerName("a\"b\\c\nd"), Service, requestOfMs(5),
                        atMs(0));
  STRCMP_CONTAINS(
      "customer=\"a\\\"b\\\\c\\nd\"",
      formatMetrics(Recorded.snapshot(atMs(1)), HostStatus{}).c_str());
}
