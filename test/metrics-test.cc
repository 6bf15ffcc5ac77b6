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

static RequestEnd tookMs(std::int64_t Ms) {
  return RequestEnd{ResultCode::Ok, Outcome::Ran, 200, ms(Ms)};
}

static LatencyStats latencyAt(const Metrics &Counted, TimePoint Now) {
  return Counted.snapshot(Now).Services_.at(0).Latencies_[0];
}

TEST_GROUP(Metrics){};

TEST(Metrics, KeepsLatencyStatistics) {
  Metrics Counted;
  std::mt19937_64 Engine(7);
  for (int Index = 0; Index < 10'000; ++Index) {
    const std::int64_t Ms = static_cast<std::int64_t>(1 + Engine() % 1'000);
    Counted.requestEnded(Customer, Service, tookMs(Ms), atMs(Index));
  }
  const LatencyStats Stats = latencyAt(Counted, atMs(10'000));
  CHECK_EQUAL(10'000, Stats.Count_);
  DOUBLES_EQUAL(0.5, Stats.MeanSeconds_, 0.02);
  DOUBLES_EQUAL(1.0, Stats.MaxSeconds_, 0.001);
  DOUBLES_EQUAL(0.5, Stats.P50Seconds_.value(), 0.02);
  DOUBLES_EQUAL(0.99, Stats.P99Seconds_.value(), 0.01);
}

// Guards against the library's undefined quantiles of a few samples.
TEST(Metrics, GivesNoQuantilesOfFewSamples) {
  Metrics Counted;
  for (int Index = 0; Index < 19; ++Index)
    Counted.requestEnded(Customer, Service, tookMs(5), atMs(0));
  CHECK(!latencyAt(Counted, atMs(1)).P99Seconds_);
  Counted.requestEnded(Customer, Service, tookMs(5), atMs(0));
  CHECK(latencyAt(Counted, atMs(1)).P99Seconds_.has_value());
}

// Guards against statistics that keep showing an old fault, or an old calm.
TEST(Metrics, StatisticsAreOfTheLastMinute) {
  Metrics Counted;
  Counted.requestEnded(Customer, Service, tookMs(9'000), atMs(0));
  Counted.requestEnded(Customer, Service, tookMs(10), atMs(61'000));
  DOUBLES_EQUAL(9.0, latencyAt(Counted, atMs(62'000)).MaxSeconds_, 1e-9);
  DOUBLES_EQUAL(0.01, latencyAt(Counted, atMs(121'000)).MaxSeconds_, 1e-9);
  DOUBLES_EQUAL(0.0, latencyAt(Counted, atMs(600'000)).MaxSeconds_, 1e-9);
  Counted.requestEnded(Customer, Service, tookMs(20), atMs(700'000));
  DOUBLES_EQUAL(0.0, latencyAt(Counted, atMs(700'001)).MaxSeconds_, 1e-9);
  CHECK_EQUAL(3, latencyAt(Counted, atMs(700'001)).Count_);
}

// Guards against memory that grows with the names callers make up.
TEST(Metrics, CountsLabelsOverTheLimitAsOther) {
  Metrics Counted(2);
  for (const char *Name : {"a", "b", "c", "d", "c"})
    Counted.requestEnded(Customer, ServiceName(Name), tookMs(1), atMs(0));
  MetricsSnapshot Taken = Counted.snapshot(atMs(1));
  CHECK_EQUAL(3, Taken.Services_.size());
  STRCMP_EQUAL("other", Taken.Services_[2].Service_.c_str());
  CHECK_EQUAL(3, Taken.Services_[2].Latencies_[0].Count_);
  CHECK_EQUAL(3, Taken.OverLimit_);
  Counted.forget(Customer, ServiceName("a"));
  Counted.requestEnded(Customer, ServiceName("e"), tookMs(1), atMs(0));
  Taken = Counted.snapshot(atMs(1));
  STRCMP_EQUAL("e", Taken.Services_[1].Service_.c_str());
}

TEST(Metrics, BoundsTheHostsCounters) {
  Metrics Counted;
  for (int Index = 0; Index < 100; ++Index)
    Counted.count("event_" + std::string(static_cast<std::size_t>(Index), 'x'));
  CHECK_EQUAL(64, Counted.snapshot(atMs(0)).Counters_.size());
  CHECK_EQUAL(36, Counted.snapshot(atMs(0)).OverLimit_);
}

TEST(Metrics, WritesTextExposition) {
  Metrics Counted;
  Counted.requestEnded(Customer, Service, tookMs(5), atMs(0));
  Counted.attemptEnded(Customer, Service, AttemptEnd::TimedOut, atMs(0));
  Counted.count("peer_messages_dropped", 4);
  const std::string Text =
      formatMetrics(Counted.snapshot(atMs(1)), sampleStatus("h-1"));
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

// Guards against a metric declared twice, which makes readers drop the page.
TEST(Metrics, DeclaresEachMetricOnce) {
  Metrics Counted;
  Counted.requestEnded(Customer, Service, tookMs(5), atMs(0));
  std::istringstream Lines(
      formatMetrics(Counted.snapshot(atMs(1)), sampleStatus("h-1")));
  std::set<std::string> Declared;
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.rfind("# TYPE ", 0) == 0)
      CHECK(Declared.insert(Line).second);
  CHECK_EQUAL(17, Declared.size());
}

// Guards against a value that ends its own label and forges another.
TEST(Metrics, EscapesLabelValues) {
  Metrics Counted;
  Counted.requestEnded(CustomerName("a\"b\\c\nd"), Service, tookMs(5), atMs(0));
  STRCMP_CONTAINS(
      "customer=\"a\\\"b\\\\c\\nd\"",
      formatMetrics(Counted.snapshot(atMs(1)), HostStatus{}).c_str());
}
