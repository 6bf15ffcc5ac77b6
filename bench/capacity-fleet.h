// Published documents of a fleet of a given size, for the capacity benchmark.

#ifndef KUMQUATPITCH_CAPACITY_FLEET_H
#define KUMQUATPITCH_CAPACITY_FLEET_H

#include "kumquatpitch/assignment.h"
#include "kumquatpitch/catalog.h"
#include "kumquatpitch/manifest.h"
#include "kumquatpitch/versioned-table.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquatpitch::bench {

/// Counts of a whole fleet. Services are spread evenly over the customers,
/// targets and routes evenly over the services.
struct FleetSize {
  std::size_t Hosts_ = 0;
  std::size_t Services_ = 0;
  std::size_t Targets_ = 0;
  std::size_t Routes_ = 0;
  std::size_t Customers_ = 0;
};

/// Services assigned to a host, their targets, and the other hosts that are
/// assigned to the same services.
struct HostLoad {
  std::size_t Services_ = 0;
  std::size_t Targets_ = 0;
  std::set<HostId> Peers_;
};

/// Synthetic fleet. Each customer has its own hosts and services, all in one
/// region. The three regions have 3, 3 and 2 failure domains.
class Fleet {
public:
  explicit Fleet(const FleetSize &Size) : Size_(Size) {
    for (std::size_t Index = 0; Index < Size.Hosts_; ++Index)
      List_.Hosts_.push_back(makeHost(Index));
    List_.Version_ = 1;
    std::sort(List_.Hosts_.begin(), List_.Hosts_.end(),
              [](const HostRecord &Left, const HostRecord &Right) {
                return Left.Id_ < Right.Id_;
              });
    for (std::size_t Index = 0; Index < Size.Services_; ++Index)
      publish("service/" + serviceName(Index), serviceJson(Index, 1));
    for (std::size_t Index = 0; Index < Size.Customers_; ++Index)
      publish("contract/" + customerName(Index), contractJson(Index));
    Manifest_.Version_ = 1;
  }

  const FleetSize &size() const { return Size_; }
  const HostList &list() const { return List_; }

  /// The manifest with all of its parts.
  Manifest manifest() const {
    Manifest Complete = Manifest_;
    for (const std::pair<const std::string, ManifestPart> &Part : Parts_)
      Complete.Parts_.push_back(Part.second);
    return Complete;
  }

  /// Content of the document that a part of the manifest names.
  const std::string &document(const std::string &Name) const {
    return Documents_.at(Name);
  }

  /// The host list as the platform publishes it.
  std::string hostsJson() const {
    nlohmann::json Hosts = nlohmann::json::array();
    for (const HostRecord &Host : List_.Hosts_) {
      nlohmann::json Ports = nlohmann::json::array();
      for (const std::pair<const CustomerName, std::uint16_t> &Port :
           Host.CustomerPorts_)
        Ports.push_back(
            {{"customer", Port.first.str()}, {"port", Port.second}});
      Hosts.push_back({{"id", Host.Id_.str()},
                       {"region", Host.Region_.str()},
                       {"failure_domain", Host.Domain_.str()},
                       {"address", Host.Address_},
                       {"peer_port", Host.PeerPort_},
                       {"operator_port", Host.OperatorPort_},
                       {"customer_ports", Ports}});
    }
    return nlohmann::json{{"version", List_.Version_}, {"hosts", Hosts}}.dump();
  }

  /// Publishes a new version of a service's entry and increments the
  /// manifest's version.
  void changeService(std::size_t Index, std::uint64_t Version) {
    publish("service/" + serviceName(Index), serviceJson(Index, Version));
    ++Manifest_.Version_;
  }

  std::size_t servicesPerCustomer() const {
    return Size_.Services_ / Size_.Customers_;
  }
  std::size_t customerOfService(std::size_t Service) const {
    return Service % Size_.Customers_;
  }
  std::size_t routesPerService() const {
    return std::max<std::size_t>(1, Size_.Routes_ / Size_.Services_);
  }
  static std::string serviceName(std::size_t Index) {
    return "service-" + zeroPadded(Index);
  }
  static std::string customerName(std::size_t Index) {
    return "customer-" + zeroPadded(Index);
  }

  /// Load of each host after the assignment of all services; hosts without a
  /// service are included.
  std::map<HostId, HostLoad> loads() const {
    const Assignment Assigned(List_);
    std::map<HostId, HostLoad> Loads;
    for (const HostRecord &Host : List_.Hosts_)
      Loads[Host.Id_];
    for (std::size_t Index = 0; Index < Size_.Services_; ++Index) {
      ServiceEntry Entry;
      Entry.Service_ = ServiceName(serviceName(Index));
      Entry.Customer_ = CustomerName(customerName(customerOfService(Index)));
      Entry.Region_ = Region(regionName(customerOfService(Index)));
      const Group Members = Assigned.group(Entry);
      for (const GroupMember &Member : Members.Members_) {
        HostLoad &Load = Loads[Member.Host_];
        ++Load.Services_;
        Load.Targets_ += targetCount(Index);
        for (const GroupMember &Other : Members.Members_)
          if (Other.Host_ != Member.Host_)
            Load.Peers_.insert(Other.Host_);
      }
    }
    return Loads;
  }

private:
  static constexpr std::size_t Regions = 3;
  static constexpr std::uint16_t PeerPort = 7400;
  static constexpr std::uint16_t OperatorPort = 7401;
  static constexpr std::uint16_t CustomerPort = 8000;

  /// Decimal number with leading zeros, at least four digits wide.
  static std::string zeroPadded(std::size_t Number) {
    std::string Text = std::to_string(Number);
    return std::string(Text.size() < 4 ? 4 - Text.size() : 0, '0') + Text;
  }
  static std::string regionName(std::size_t Customer) {
    return "region-" + std::to_string(Customer % Regions);
  }
  static std::string address(std::size_t SecondByte, std::size_t Index) {
    constexpr std::size_t ByteValues = 256;
    return "10." +
           std::to_string(SecondByte + Index / (ByteValues * ByteValues)) +
           "." + std::to_string(Index / ByteValues % ByteValues) + "." +
           std::to_string(Index % ByteValues);
  }
  std::size_t targetCount(std::size_t Service) const {
    return Size_.Targets_ / Size_.Services_ +
           (Service < Size_.Targets_ % Size_.Services_ ? 1 : 0);
  }

  HostRecord makeHost(std::size_t Index) const {
    const std::size_t Customer = Index % Size_.Customers_;
    const std::size_t RegionIndex = Customer % Regions;
    const std::size_t DomainCount = RegionIndex == 2 ? 2 : 3;
    HostRecord Record;
    Record.Region_ = Region(regionName(Customer));
    Record.Domain_ =
        FailureDomain("domain-" + std::to_string(RegionIndex) +
                      std::to_string(Index / Size_.Customers_ % DomainCount));
    Record.Id_ =
        HostId("host-" + Record.Domain_.str() + "-" + zeroPadded(Index));
    Record.Address_ = address(20, Index);
    Record.PeerPort_ = PeerPort;
    Record.OperatorPort_ = OperatorPort;
    Record.CustomerPorts_[CustomerName(customerName(Customer))] = CustomerPort;
    return Record;
  }

  std::string serviceJson(std::size_t Index, std::uint64_t Version) const {
    const std::size_t Count = targetCount(Index);
    nlohmann::json Targets = nlohmann::json::array();
    for (std::size_t TargetIndex = 0; TargetIndex < Count; ++TargetIndex)
      Targets.push_back(
          {{"id",
            serviceName(Index) + "-target-" + std::to_string(TargetIndex)},
           {"address", address(100, Index * Count + TargetIndex)},
           {"port", 8080},
           {"failure_domain",
            "domain-" + std::to_string(customerOfService(Index) % Regions) +
                std::to_string(TargetIndex % 2)},
           {"slots", 3},
           {"connections", 400},
           {"state", "serving"}});
    return nlohmann::json{
        {"service", serviceName(Index)},
        {"customer", customerName(customerOfService(Index))},
        {"version", Version},
        {"floor_targets", Count * 2 / 3},
        {"detection_profile", "fast-detection"},
        {"region", regionName(customerOfService(Index))},
        {"hosts_per_failure_domain", 1},
        {"echo_header", "Kumquatpitch-Attempt-Id"},
        {"refusal_marker",
         {{"header", "Refused-Work"}, {"value", "not-started"}}},
        {"drain_marker", {{"header", "Server-State"}, {"value", "draining"}}},
        {"load_header", "Server-Load"},
        {"health_path", "/health"},
        {"targets", Targets}}
        .dump();
  }

  std::string contractJson(std::size_t Customer) const {
    nlohmann::json Services = nlohmann::json::array();
    for (std::size_t Index = Customer; Index < Size_.Services_;
         Index += Size_.Customers_) {
      nlohmann::json Routes = nlohmann::json::array();
      for (std::size_t RouteIndex = 0; RouteIndex < routesPerService();
           ++RouteIndex)
        Routes.push_back({{"method", RouteIndex % 2 == 0 ? "GET" : "POST"},
                          {"path_prefix", "/" + serviceName(Index) + "/route-" +
                                              std::to_string(RouteIndex)},
                          {"idempotent", RouteIndex % 2 == 0}});
      Services.push_back(
          {{"name", serviceName(Index)},
           {"rate_per_s", 120},
           {"in_progress", 60},
           {"max_body_bytes", 262144},
           {"max_answer_bytes", 262144},
           {"deadline_ms", 2500},
           {"queue", {{"max_requests", 28}, {"max_wait_ms", 200}}},
           {"retry", {{"budget_percent", 10}, {"max_attempts", 2}}},
           {"slo",
            {{"availability_percent", 99.5},
             {"latency_ms", 800},
             {"window_days", 28}}},
           {"routes", Routes}});
    }
    return nlohmann::json{{"customer", customerName(Customer)},
                          {"version", 1},
                          {"services", Services}}
        .dump();
  }

  /// Stores the document and updates its part of the manifest.
  void publish(const std::string &Name, std::string Bytes) {
    ManifestPart &Part = Parts_[Name];
    Part.Name_ = Name;
    ++Part.Version_;
    Part.Hash_ = contentHash(Bytes);
    Part.Bytes_ = Bytes.size();
    Documents_[Name] = std::move(Bytes);
  }

  FleetSize Size_;
  HostList List_;
  Manifest Manifest_; ///< Only the version; the parts are in Parts_.
  /// Parts of the manifest and documents, both by the name of the part.
  std::map<std::string, ManifestPart> Parts_;
  std::map<std::string, std::string> Documents_;
};

} // namespace kumquatpitch::bench

#endif
