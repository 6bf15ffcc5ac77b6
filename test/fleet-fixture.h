// Builds host lists and service entries for tests and benchmarks.

#ifndef KUMQUATPITCH_FLEET_FIXTURE_H
#define KUMQUATPITCH_FLEET_FIXTURE_H

#include "kumquatpitch/host-list.h"
#include "kumquatpitch/service-entry.h"

#include <cstdint>
#include <string>

namespace kumquatpitch::test {

/// Live hosts `<RegionName>-host-0` to `<RegionName>-host-<Count - 1>` of one
/// region with customer "house", assigned round-robin to the failure domains
/// `domain-0` to `domain-<Domains - 1>`.
inline HostList makeHostList(std::size_t Count, std::size_t Domains,
                             const std::string &RegionName = "region") {
  HostList List;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    HostRecord Host;
    Host.Id_ = HostId(RegionName + "-host-" + std::to_string(Index));
    Host.Region_ = Region(RegionName);
    Host.Domain_ = FailureDomain("domain-" + std::to_string(Index % Domains));
    Host.Address_ = "127.0.0.1";
    Host.CustomerPorts_[CustomerName("house")] = 8000;
    List.Hosts_.push_back(Host);
  }
  return List;
}

/// Service entry of customer "house" with serving targets `target-0` to
/// `target-<Targets - 1>`.
inline ServiceEntry makeEntry(const std::string &Service, std::size_t Targets,
                              std::uint32_t Slots,
                              std::uint32_t Connections = 400) {
  ServiceEntry Entry;
  Entry.Service_ = ServiceName(Service);
  Entry.Customer_ = CustomerName("house");
  Entry.Region_ = Region("region");
  for (std::size_t Index = 0; Index < Targets; ++Index) {
    Target Added;
    Added.Id_ = TargetId("target-" + std::to_string(Index));
    Added.Slots_ = Slots;
    Added.Connections_ = Connections;
    Entry.Targets_.push_back(Added);
  }
  return Entry;
}

} // namespace kumquatpitch::test

#endif
