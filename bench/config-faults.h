// Fault runs of config-bench: no host reverts to an older version, and all
// hosts agree again after the faults end.

#ifndef KUMQUATPITCH_CONFIG_FAULTS_H
#define KUMQUATPITCH_CONFIG_FAULTS_H

#include "config-report.h"

namespace kumquatpitch::bench {

/// (b) Injects random faults of the platform, the network and hosts.
inline void injectRandomFaults(unsigned Seeds) {
  constexpr unsigned Steps = 60;
  std::uint64_t Reverts = 0;
  unsigned DivergedFleets = 0;
  std::int64_t WorstMs = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    Fleet TestFleet(fleetShape(48), Seed);
    Network &Net = TestFleet.Net_;
    SeededRandom Random(Seed);
    TestFleet.startJoined();
    std::size_t Generation = 0;
    for (unsigned Step = 0; Step < Steps; ++Step) {
      const std::uint64_t Salt = Random.next();
      switch (Random.below(8)) {
      case 0:
        Net.Platform_.setMode(PlatformMode::Down);
        break;
      case 1:
        Net.Platform_.setMode(PlatformMode::Stale);
        break;
      case 2:
        Net.Platform_.setMode(PlatformMode::RolledBack);
        break;
      case 3: // Partition of the hosts into two sides.
        Net.IsLost_ = [Salt](std::size_t From, std::size_t To) {
          return (Salt >> From & 1U) != (Salt >> To & 1U);
        };
        break;
      case 4: // Loss in one direction for a quarter of the ordered host pairs.
        Net.IsLost_ = [Salt](std::size_t From, std::size_t To) {
          return (Salt * (From * 64 + To + 1) >> 60U) < 4;
        };
        break;
      case 5:
        TestFleet.replace(Random.below(48), ++Generation);
        break;
      default:
        Net.Platform_.setMode(PlatformMode::Normal);
        Net.IsLost_ = {};
        break;
      }
      TestFleet.publishChange(Random.below(2));
      Net.wake();
      Net.run(std::chrono::seconds(2));
    }
    Net.IsLost_ = {};
    Net.Platform_.setMode(PlatformMode::Normal);
    TestFleet.publishChange();
    const std::int64_t ElapsedMs = TestFleet.waitUntilInForce(
        TestFleet.version(), std::chrono::seconds(90));
    WorstMs = ElapsedMs < 0 ? INT64_MAX : std::max(WorstMs, ElapsedMs);
    Reverts += Net.Reverts_;
    DivergedFleets += TestFleet.allHostsAgree() ? 0 : 1;
  }
  std::printf("faults: %u seeds, %llu reverts, %u fleets apart at the end, "
              "healed after at most %lld ms\n",
              Seeds, static_cast<unsigned long long>(Reverts), DivergedFleets,
              static_cast<long long>(WorstMs));
  checkBound(Reverts == 0, "a version was reverted");
  checkBound(DivergedFleets == 0, "hosts differ after faults");
  checkBound(WorstMs <= 90'000, "time until healed");
}

/// (b) Replaces all hosts one by one while the platform is down. The platform
/// then returns, rolled back to the first version.
inline void replaceAllHosts() {
  Fleet TestFleet(fleetShape(48), ExampleSeed);
  Network &Net = TestFleet.Net_;
  TestFleet.startJoined();
  TestFleet.publishChange();
  TestFleet.waitUntilInForce(TestFleet.version(), std::chrono::seconds(30));
  const std::uint64_t Version = TestFleet.version();
  Net.Platform_.setMode(PlatformMode::Down);
  Net.wake();
  std::int64_t WorstMs = 0;
  for (std::size_t Index = 0; Index < 48; ++Index) {
    TestFleet.replace(Index, 1);
    const std::int64_t ElapsedMs =
        TestFleet.waitUntilInForce(Version, std::chrono::seconds(30));
    WorstMs = ElapsedMs < 0 ? INT64_MAX : std::max(WorstMs, ElapsedMs);
  }
  Net.Platform_.setMode(PlatformMode::RolledBack);
  Net.run(std::chrono::seconds(60));
  const bool KeptVersion =
      TestFleet.isInForce(Version) && TestFleet.allHostsAgree();
  Net.Platform_.setMode(PlatformMode::Normal);
  TestFleet.publishChange();
  const std::int64_t NextVersionMs =
      TestFleet.waitUntilInForce(TestFleet.version(), std::chrono::seconds(90));
  std::printf("replaced one by one, platform down: each ready after at most "
              "%lld ms with the last version; kept with the platform rolled "
              "back: %s; the next version in force after %lld ms\n",
              static_cast<long long>(WorstMs), KeptVersion ? "yes" : "no",
              static_cast<long long>(NextVersionMs));
  checkBound(WorstMs <= 5'000, "time until a new host is ready");
  checkBound(KeptVersion, "the last version was lost");
  checkBound(NextVersionMs >= 0, "a later version does not arrive");
  checkBound(Net.Reverts_ == 0, "a version was reverted");
}

/// (c) Two operators publish different revisions with the same version. Each
/// reader receives one of the two; all hosts have to converge to one.
inline void raceTwoRevisions(unsigned Seeds) {
  unsigned DivergedFleets = 0;
  std::uint64_t Reverts = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    Fleet TestFleet(fleetShape(48), Seed);
    Network &Net = TestFleet.Net_;
    TestFleet.startJoined();
    Net.run(std::chrono::seconds(2));
    Net.Platform_.setPart("service/customer-0-s0",
                          serviceJson("customer-0", 0, 100));
    Net.Platform_.publish(2);
    const PlatformReply FirstManifest =
        Net.Platform_.reply("manifest", false, 0);
    Net.Platform_.setPart("service/customer-0-s0",
                          serviceJson("customer-0", 0, 200));
    Net.AlterReply_ = [&](std::size_t Host, PlatformReply &Reply) {
      if (Reply.Key_ == "manifest" && Reply.Status_ == PlatformStatus::Value &&
          (Host * Seed) % 2 == 0)
        Reply.Body_ = FirstManifest.Body_;
    };
    Net.publish(2);
    Net.run(std::chrono::seconds(10));
    DivergedFleets +=
        TestFleet.allHostsAgree() && TestFleet.isInForce(2) ? 0 : 1;
    Reverts += Net.Reverts_;
  }
  std::printf("race of two revisions: %u seeds, %u fleets apart after 10 s\n",
              Seeds, DivergedFleets);
  checkBound(DivergedFleets == 0 && Reverts == 0, "revisions in a race");
}

/// (d) Starts all hosts of a region at once without a configuration.
inline void startRegion(std::size_t Hosts, bool WithSeeds) {
  FleetShape Shape = fleetShape(Hosts);
  Shape.Domains_ = 3;
  Shape.Regions_ = 1;
  Fleet TestFleet(Shape, ExampleSeed);
  if (!WithSeeds)
    for (SimHost &Host : TestFleet.Net_.Hosts_)
      Host.Options_.Seeds_.clear();
  TestFleet.startEmpty();
  const std::int64_t ElapsedMs =
      TestFleet.waitUntilInForce(1, std::chrono::seconds(120));
  std::printf(
      "region start of %zu hosts%s: peak %llu platform calls in a "
      "second, %llu in all, all ready after %lld ms\n",
      Hosts, WithSeeds ? "" : " without seeds",
      static_cast<unsigned long long>(TestFleet.Net_.PeakCallsPerSecond_),
      static_cast<unsigned long long>(TestFleet.Net_.Calls_),
      static_cast<long long>(ElapsedMs));
  checkBound(TestFleet.Net_.PeakCallsPerSecond_ <= PlatformReadsPerSecond,
             "platform reads at a region's start");
  checkBound(ElapsedMs >= 0, "hosts that never become ready");
}

/// (e) Publishes an invalid document: hosts keep the last valid one and report
/// the reason until it is corrected, and another customer's change still
/// applies.
inline void publishInvalidDocument() {
  Fleet TestFleet(fleetShape(48), ExampleSeed);
  Network &Net = TestFleet.Net_;
  TestFleet.startJoined();
  Net.run(std::chrono::seconds(2));
  Net.Platform_.setPart("service/customer-0-s1",
                        serviceJson("customer-1", 1, 9));
  TestFleet.publishChange(1);
  Net.run(std::chrono::seconds(10));
  unsigned RejectingHosts = 0;
  for (const SimHost &Host : Net.Hosts_) {
    const std::vector<Refusal> Refusals = Host.Sync_->refusals();
    const Catalog &InForce = *Host.Sync_->catalog();
    const ServiceEntry *LastValid =
        findService(InForce, ServiceName("customer-0-s1"));
    const ServiceEntry *OtherService =
        findService(InForce, ServiceName("customer-1-s0"));
    RejectingHosts += Refusals.size() == 1 && LastValid &&
                              LastValid->Version_ == 1 && OtherService &&
                              OtherService->Version_ == TestFleet.version()
                          ? 1
                          : 0;
  }
  const std::vector<Refusal> Sample = Net.Hosts_[0].Sync_->refusals();
  Net.Platform_.setPart("service/customer-0-s1",
                        serviceJson("customer-0", 1, 10));
  TestFleet.publishChange(1);
  Net.run(std::chrono::seconds(10));
  unsigned ClearedHosts = 0;
  for (const SimHost &Host : Net.Hosts_)
    ClearedHosts += Host.Sync_->refusals().empty() ? 1 : 0;
  std::printf("invalid document: %u of 48 hosts keep the last good one, hold "
              "the reason and take the other customer's change; %u clear after "
              "the correction\n  reason: %s\n",
              RejectingHosts, ClearedHosts,
              Sample.empty() ? "" : Sample[0].Message_.c_str());
  checkBound(RejectingHosts == 48 && ClearedHosts == 48, "invalid document");
}

} // namespace kumquatpitch::bench

#endif
