// Simulated fleets of config-bench: hosts spread over failure domains and
// regions, and customers with their documents.

#ifndef KUMQUATPITCH_CONFIG_FLEET_H
#define KUMQUATPITCH_CONFIG_FLEET_H

#include "config-network.h"

namespace kumquatpitch::bench {

struct FleetShape {
  std::size_t Hosts_ = 48;
  std::size_t Domains_ = 3;
  std::size_t Regions_ = 1;
  std::size_t Customers_ = 2; ///< Customer 0 is served by all hosts.
  unsigned Services_ = 10;    ///< Of customer 0; the others have 3.
  std::size_t UnservedCustomers_ =
      0; ///< Customers that no host of the run serves.
};

/// 3 failure domains in 1 region up to 48 hosts, as in today's fleet; 8 failure
/// domains in 3 regions above.
inline FleetShape fleetShape(std::size_t Hosts) {
  FleetShape Shape;
  Shape.Hosts_ = Hosts;
  if (Hosts > 48) {
    Shape.Domains_ = 8;
    Shape.Regions_ = 3;
    // The platform's value limit of 1 MB holds about 4,800 hosts with one
    // customer port each.
    Shape.Customers_ =
        Hosts >= 4'800 ? 1 : std::min<std::size_t>(20, Hosts / 48);
    Shape.UnservedCustomers_ = 80;
  }
  return Shape;
}

inline std::string customerName(std::size_t Index) {
  return "customer-" + std::to_string(Index);
}

class Fleet {
public:
  Fleet(FleetShape Shape, std::uint64_t Seed)
      : Net_(Seed), Shape_(Shape), PrototypeRandom_(Seed) {
    publishDocuments();
    for (std::size_t Index = 0; Index < Shape_.Hosts_; ++Index)
      addHost(Index, "host");
    List_.Version_ = 1;
    std::sort(List_.Hosts_.begin(), List_.Hosts_.end(),
              [](const HostRecord &Left, const HostRecord &Right) {
                return Left.Id_ < Right.Id_;
              });
    Net_.Platform_.publishHosts(List_);
    const std::vector<Endpoint> Seeds = seeds();
    for (SimHost &Host : Net_.Hosts_)
      Host.Options_.Seeds_ = Seeds;
  }

  /// Starts all hosts with the current configuration.
  void startJoined() {
    std::map<std::vector<CustomerName>, std::unique_ptr<ConfigSync>> Prototypes;
    for (std::size_t Index = 0; Index < Net_.Hosts_.size(); ++Index) {
      const ConfigSyncOptions &Options = Net_.Hosts_[Index].Options_;
      std::unique_ptr<ConfigSync> &Prototype = Prototypes[Options.Customers_];
      if (!Prototype)
        Prototype = Net_.makePrototype(Options, PrototypeRandom_);
      Net_.start(Index, Prototype.get());
    }
  }

  /// Starts all hosts without a configuration.
  void startEmpty() {
    for (std::size_t Index = 0; Index < Net_.Hosts_.size(); ++Index)
      Net_.start(Index, nullptr);
  }

  /// Publishes a new version of a customer's first service.
  void publishChange(std::size_t Customer = 0) {
    ++Version_;
    Net_.Platform_.setPart("service/" + customerName(Customer) + "-s0",
                           serviceJson(customerName(Customer), 0, Version_));
    Net_.publish(Version_);
  }

  std::uint64_t version() const { return Version_; }
  void setVersion(std::uint64_t Version) { Version_ = Version; }

  /// Returns true when all running hosts are ready with this version or later.
  bool isInForce(std::uint64_t Version) const {
    for (const SimHost &Host : Net_.Hosts_)
      if (Host.IsAlive_ && (Host.Sync_->catalog()->Version_ < Version ||
                            !Host.Sync_->isReady(Net_.now())))
        return false;
    return true;
  }

  /// Returns true when all running hosts have the same manifest and the same
  /// version in force.
  bool allHostsAgree() const {
    const SimHost *First = nullptr;
    for (const SimHost &Host : Net_.Hosts_) {
      if (!Host.IsAlive_)
        continue;
      if (First &&
          (Host.Sync_->state().Manifest_ != First->Sync_->state().Manifest_ ||
           Host.Sync_->catalog()->Version_ !=
               First->Sync_->catalog()->Version_))
        return false;
      First = &Host;
    }
    return true;
  }

  /// Returns the milliseconds until the version is in force on all running
  /// hosts, or -1 when that takes longer than `Limit`.
  std::int64_t waitUntilInForce(std::uint64_t Version, Duration Limit) {
    const TimePoint Start = Net_.now();
    Net_.run(Limit, [&] { return isInForce(Version); });
    return isInForce(Version) ? toMilliseconds(Net_.now() - Start) : -1;
  }

  /// Replaces a host by one that is missing in the host list. Its seeds are
  /// hosts that are running now.
  void replace(std::size_t Index, std::size_t Generation) {
    Net_.stop(Index);
    ConfigSyncOptions &Options = Net_.Hosts_[Index].Options_;
    Options.Self_.Id_ = HostId("new-" + std::to_string(Generation) + "-" +
                               std::to_string(Index));
    Options.Self_.Address_.Address_ =
        "10.9." + std::to_string(Generation) + "." + std::to_string(Index);
    Options.Seeds_.clear();
    constexpr std::size_t SeedCount = 6;
    while (Options.Seeds_.size() < SeedCount) {
      const SimHost &Seed = Net_.Hosts_[Net_.random().below(Shape_.Hosts_)];
      if (Seed.IsAlive_)
        Options.Seeds_.push_back(Seed.Options_.Self_.Address_);
    }
    Net_.start(Index, nullptr);
  }

  Network Net_;
  HostList List_;

private:
  void publishDocuments() {
    for (std::size_t Index = 0;
         Index < Shape_.Customers_ + Shape_.UnservedCustomers_; ++Index) {
      constexpr unsigned OtherServices = 3;
      const std::string Name = customerName(Index);
      const unsigned Count = Index == 0 ? Shape_.Services_ : OtherServices;
      Net_.Platform_.setPart("contract/" + Name, contractJson(Name, 1, Count));
      for (unsigned Service = 0; Service < Count; ++Service)
        Net_.Platform_.setPart("service/" + Name + "-s" +
                                   std::to_string(Service),
                               serviceJson(Name, Service, 1));
    }
    Net_.Platform_.publish(1);
  }

  void addHost(std::size_t Index, const std::string &Prefix) {
    const std::size_t Domain = Index % Shape_.Domains_;
    const std::size_t Region = Domain * Shape_.Regions_ / Shape_.Domains_;
    HostRecord Record;
    Record.Id_ = HostId(Prefix + "-" + std::to_string(10'000 + Index));
    Record.Region_ = kumquatpitch::Region("region-" + std::to_string(Region));
    Record.Domain_ = FailureDomain("domain-" + std::to_string(Domain));
    Record.Address_ = "10.0." + std::to_string(Index / 250) + "." +
                      std::to_string(Index % 250);
    Record.PeerPort_ = 7000;
    Record.OperatorPort_ = 7001;
    SimHost Host;
    Host.Region_ = Region;
    Host.Options_.Self_ = PeerContact{
        Record.Id_, Record.Domain_, {Record.Address_, Record.PeerPort_}};
    Host.Options_.Customers_.emplace_back(customerName(0));
    if (Shape_.Customers_ > 1)
      Host.Options_.Customers_.emplace_back(
          customerName(1 + Index % (Shape_.Customers_ - 1)));
    std::uint16_t Port = 8000;
    for (const CustomerName &Customer : Host.Options_.Customers_)
      Record.CustomerPorts_[Customer] = Port++;
    constexpr std::size_t HeartbeatReceiverCount = 8;
    for (std::size_t Step = 1; Step <= HeartbeatReceiverCount; ++Step)
      Host.HeartbeatReceivers_.push_back((Index + Step * Step) % Shape_.Hosts_);
    List_.Hosts_.push_back(std::move(Record));
    Net_.Hosts_.push_back(std::move(Host));
  }

  std::vector<Endpoint> seeds() const {
    constexpr std::size_t SeedCount = 6;
    std::vector<Endpoint> Seeds;
    for (std::size_t Count = 0; Count < SeedCount; ++Count)
      Seeds.push_back(Net_.Hosts_[Count * Shape_.Hosts_ / SeedCount]
                          .Options_.Self_.Address_);
    return Seeds;
  }

  FleetShape Shape_;
  SeededRandom PrototypeRandom_;
  std::uint64_t Version_ = 1;
};

} // namespace kumquatpitch::bench

#endif
