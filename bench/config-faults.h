// Fault runs of config-bench: nothing goes back, and all hosts agree again.

#ifndef KUMQUATPITCH_CONFIG_FAULTS_H
#define KUMQUATPITCH_CONFIG_FAULTS_H

#include "config-report.h"

namespace kumquatpitch::bench {

/// (b) Random faults of the platform, of the network and of hosts.
inline void neverReverts(unsigned Seeds) {
  constexpr unsigned Steps = 60;
  std::uint64_t Reverts = 0;
  unsigned Apart = 0;
  std::int64_t Worst = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    Fleet All(shapeOf(48), Seed);
    Network &Net = All.Net_;
    SeededRandom Random(Seed);
    All.startJoined();
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
      case 3: // Two sides.
        Net.IsLost_ = [Salt](std::size_t From, std::size_t To) {
          return (Salt >> From & 1U) != (Salt >> To & 1U);
        };
        break;
      case 4: // A quarter of the pairs, each in one direction.
        Net.IsLost_ = [Salt](std::size_t From, std::size_t To) {
          return (Salt * (From * 64 + To + 1) >> 60U) < 4;
        };
        break;
      case 5:
        All.replace(Random.below(48), ++Generation);
        break;
      default:
        Net.Platform_.setMode(PlatformMode::Normal);
        Net.IsLost_ = {};
        break;
      }
      All.change(Random.below(2));
      Net.wake();
      Net.run(std::chrono::seconds(2));
    }
    Net.IsLost_ = {};
    Net.Platform_.setMode(PlatformMode::Normal);
    All.change();
    const std::int64_t Took =
        All.waitInForce(All.version(), std::chrono::seconds(90));
    Worst = Took < 0 ? INT64_MAX : std::max(Worst, Took);
    Reverts += Net.Reverts_;
    Apart += All.allEqual() ? 0 : 1;
  }
  std::printf("faults: %u seeds, %llu reverts, %u fleets apart at the end, "
              "healed after at most %lld ms\n",
              Seeds, static_cast<unsigned long long>(Reverts), Apart,
              static_cast<long long>(Worst));
  bound(Reverts == 0, "a version was reverted");
  bound(Apart == 0, "hosts differ after faults");
  bound(Worst <= 90'000, "time until healed");
}

/// (b) All hosts are replaced one by one while the platform is down; then it
/// comes back rolled back to the first version.
inline void replaceAll() {
  Fleet All(shapeOf(48), ExampleSeed);
  Network &Net = All.Net_;
  All.startJoined();
  All.change();
  All.waitInForce(All.version(), std::chrono::seconds(30));
  const std::uint64_t Version = All.version();
  Net.Platform_.setMode(PlatformMode::Down);
  Net.wake();
  std::int64_t Worst = 0;
  for (std::size_t Index = 0; Index < 48; ++Index) {
    All.replace(Index, 1);
    const std::int64_t Took =
        All.waitInForce(Version, std::chrono::seconds(30));
    Worst = Took < 0 ? INT64_MAX : std::max(Worst, Took);
  }
  Net.Platform_.setMode(PlatformMode::RolledBack);
  Net.run(std::chrono::seconds(60));
  const bool Kept = All.isInForce(Version) && All.allEqual();
  Net.Platform_.setMode(PlatformMode::Normal);
  All.change();
  const std::int64_t Next =
      All.waitInForce(All.version(), std::chrono::seconds(90));
  std::printf("replaced one by one, platform down: each ready after at most "
              "%lld ms with the last version; kept with the platform rolled "
              "back: %s; the next version in force after %lld ms\n",
              static_cast<long long>(Worst), Kept ? "yes" : "no",
              static_cast<long long>(Next));
  bound(Worst <= 5'000, "time until a new host is ready");
  bound(Kept, "the last version was lost");
  bound(Next >= 0, "a later version does not arrive");
  bound(Net.Reverts_ == 0, "a version was reverted");
}

/// (c) Two operators publish different revisions under one version; readers see
/// one or the other.
inline void race(unsigned Seeds) {
  unsigned Apart = 0;
  std::uint64_t Reverts = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    Fleet All(shapeOf(48), Seed);
    Network &Net = All.Net_;
    All.startJoined();
    Net.run(std::chrono::seconds(2));
    Net.Platform_.setPart("service/customer-0-s0",
                          serviceJson("customer-0", 0, 100));
    Net.Platform_.publish(2);
    const PlatformReply First = Net.Platform_.reply("manifest", false, 0);
    Net.Platform_.setPart("service/customer-0-s0",
                          serviceJson("customer-0", 0, 200));
    Net.AlterReply_ = [&](std::size_t Host, PlatformReply &Reply) {
      if (Reply.Key_ == "manifest" && Reply.Status_ == PlatformStatus::Value &&
          (Host * Seed) % 2 == 0)
        Reply.Body_ = First.Body_;
    };
    Net.publish(2);
    Net.run(std::chrono::seconds(10));
    Apart += All.allEqual() && All.isInForce(2) ? 0 : 1;
    Reverts += Net.Reverts_;
  }
  std::printf("race of two revisions: %u seeds, %u fleets apart after 10 s\n",
              Seeds, Apart);
  bound(Apart == 0 && Reverts == 0, "revisions in a race");
}

/// (d) All hosts of a region start at once without any state.
inline void regionStart(std::size_t Hosts, bool WithSeeds) {
  FleetShape Shape = shapeOf(Hosts);
  Shape.Domains_ = 3;
  Shape.Regions_ = 1;
  Fleet All(Shape, ExampleSeed);
  if (!WithSeeds)
    for (SimHost &Host : All.Net_.Hosts_)
      Host.Options_.Seeds_.clear();
  All.startEmpty();
  const std::int64_t Took = All.waitInForce(1, std::chrono::seconds(120));
  std::printf("region start of %zu hosts%s: peak %llu platform calls in a "
              "second, %llu in all, all ready after %lld ms\n",
              Hosts, WithSeeds ? "" : " without seeds",
              static_cast<unsigned long long>(All.Net_.PeakCallsPerSecond_),
              static_cast<unsigned long long>(All.Net_.Calls_),
              static_cast<long long>(Took));
  bound(All.Net_.PeakCallsPerSecond_ <= PlatformReadsPerSecond,
        "platform reads at a region's start");
  bound(Took >= 0, "hosts that never become ready");
}

/// (e) An invalid document: the last good one stays and the reason is held.
inline void invalidDocument() {
  Fleet All(shapeOf(48), ExampleSeed);
  Network &Net = All.Net_;
  All.startJoined();
  Net.run(std::chrono::seconds(2));
  Net.Platform_.setPart("service/customer-0-s1",
                        serviceJson("customer-1", 1, 9));
  All.change(1);
  Net.run(std::chrono::seconds(10));
  unsigned Held = 0;
  for (const SimHost &Host : Net.Hosts_) {
    const std::vector<Refusal> Refused = Host.Sync_->refusals();
    const Catalog &InForce = *Host.Sync_->catalog();
    const ServiceEntry *Good =
        findService(InForce, ServiceName("customer-0-s1"));
    const ServiceEntry *Other =
        findService(InForce, ServiceName("customer-1-s0"));
    Held += Refused.size() == 1 && Good && Good->Version_ == 1 && Other &&
                    Other->Version_ == All.version()
                ? 1
                : 0;
  }
  const std::vector<Refusal> Sample = Net.Hosts_[0].Sync_->refusals();
  Net.Platform_.setPart("service/customer-0-s1",
                        serviceJson("customer-0", 1, 10));
  All.change(1);
  Net.run(std::chrono::seconds(10));
  unsigned Clear = 0;
  for (const SimHost &Host : Net.Hosts_)
    Clear += Host.Sync_->refusals().empty() ? 1 : 0;
  std::printf("invalid document: %u of 48 hosts keep the last good one, hold "
              "the reason and take the other customer's change; %u clear after "
              "the correction\n  reason: %s\n",
              Held, Clear, Sample.empty() ? "" : Sample[0].Message_.c_str());
  bound(Held == 48 && Clear == 48, "invalid document");
}

} // namespace kumquatpitch::bench

#endif
