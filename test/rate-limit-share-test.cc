// Tests the division of a target's rate limit among hosts.

#include "kumquatpitch/rate-limit-share.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(RateLimitShare){static HostId host(std::size_t Index){
    return HostId("h" + std::to_string(Index));
}

static std::vector<HostWeight> equalHosts(std::size_t Count) {
  std::vector<HostWeight> Hosts;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Hosts.push_back(HostWeight{host(Index), 1});
  return Hosts;
}

static double weightOf(const std::vector<HostWeight> &Weights,
                       const HostId &Id) {
  for (const HostWeight &Host : Weights)
    if (Host.Id_ == Id)
      return Host.PerSecond_;
  return -1;
}
}
;

// Guards against parts that add up to more than the limit, and against so many
// hosts with a part that one request of each exceeds a small limit.
TEST(RateLimitShare, PartsAddUpToTheLimit) {
  for (const double PerSecond : {0.0, 0.5, 1.0, 3.4, 20.0, 1e12})
    for (const std::size_t Hosts : {1U, 3U, 36U, 293U}) {
      double Sum = 0;
      std::size_t Sharing = 0;
      for (std::size_t Index = 0; Index < Hosts; ++Index) {
        const double Share = shareOfRateLimit(PerSecond, TargetId("t"),
                                              host(Index), equalHosts(Hosts));
        Sum += Share;
        Sharing += Share > 0 ? 1 : 0;
      }
      DOUBLES_EQUAL(1, Sum, 1e-9);
      CHECK(static_cast<double>(Sharing) <= PerSecond + 2);
    }
}

TEST(RateLimitShare, HostThatCallersAreNotGivenHasNoPart) {
  CHECK_EQUAL(
      0, shareOfRateLimit(100, TargetId("t"), HostId("other"), equalHosts(3)));
}

// Guards against parts at hosts that have no requests, while those that have
// requests refuse them.
TEST(RateLimitShare, HostsWithRequestsHaveTheParts) {
  std::vector<HostWeight> Hosts = equalHosts(20);
  for (HostWeight &Host : Hosts)
    Host.PerSecond_ = 1.0 / 16;
  for (std::size_t Index = 0; Index < 3; ++Index)
    Hosts[Index].PerSecond_ = 8;
  double Busy = 0;
  constexpr int Targets = 100;
  for (int Target = 0; Target < Targets; ++Target)
    for (std::size_t Index = 0; Index < 3; ++Index)
      Busy += shareOfRateLimit(2, TargetId("t" + std::to_string(Target)),
                               host(Index), Hosts);
  CHECK(Busy >= Targets * 0.95);
}

// Guards against all limited targets of a service being left to the same few
// hosts.
TEST(RateLimitShare, TargetsAreSpreadOverEqualHosts) {
  constexpr int Targets = 80;
  constexpr std::size_t HostCount = 20;
  for (std::size_t Index = 0; Index < HostCount; ++Index) {
    double Sum = 0;
    for (int Target = 0; Target < Targets; ++Target)
      Sum += shareOfRateLimit(3, TargetId("t" + std::to_string(Target)),
                              host(Index), equalHosts(HostCount));
    CHECK(Sum >= 1.5 && Sum <= 8); // 4 on average.
  }
}

TEST(RateLimitShare, WeightsAreSmoothedRatesOfTheHosts) {
  HostDemand Demand;
  Demand.setHosts({host(0), host(1)}, atMs(0));
  for (std::int64_t Ms = 0; Ms <= 10'000; Ms += 250) {
    Demand.record(host(0), 8, atMs(Ms));
    Demand.record(host(1), Ms % 500 == 0 ? 0 : 4, atMs(Ms));
    Demand.record(host(2), 50, atMs(Ms));
  }
  const std::vector<HostWeight> Weights = Demand.weights(host(0), atMs(10'000));
  CHECK_EQUAL(8, weightOf(Weights, host(0)));
  CHECK_EQUAL(2, weightOf(Weights, host(1)));
  CHECK_EQUAL(2, Weights.size());
}

// Guards against a host that takes the whole limit after its start because it
// has not heard of the others' requests yet.
TEST(RateLimitShare, NewHostsCountLikeSelfUntilTheyReport) {
  HostDemand Demand;
  Demand.setHosts({host(0), host(1)}, atMs(0));
  for (std::int64_t Ms = 0; Ms <= 5'000; Ms += 250) {
    Demand.record(host(0), 8, atMs(Ms));
    CHECK(Ms > 2'900 ||
          weightOf(Demand.weights(host(0), atMs(Ms)), host(1)) ==
              weightOf(Demand.weights(host(0), atMs(Ms)), host(0)));
  }
  CHECK(weightOf(Demand.weights(host(0), atMs(5'000)), host(1)) < 0.1);
}

TEST(RateLimitShare, HostThatFallsSilentLosesItsWeight) {
  HostDemand Demand;
  Demand.setHosts({host(0), host(1)}, atMs(0));
  Demand.record(host(1), 8, atMs(0));
  CHECK_EQUAL(8, weightOf(Demand.weights(host(0), atMs(2'000)), host(1)));
  CHECK(weightOf(Demand.weights(host(0), atMs(30'000)), host(1)) < 0.1);
}
