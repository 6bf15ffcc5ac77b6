// The list of hosts that the platform publishes, parsed and validated. It lags
// behind the fleet: a listed host may be gone already.

#ifndef KUMQUATPITCH_HOST_LIST_H
#define KUMQUATPITCH_HOST_LIST_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch {

enum class HostState : std::uint8_t { Live, Leaving };

/// One host of the fleet.
struct HostRecord {
  HostId Id_;
  Region Region_;
  FailureDomain Domain_;
  std::string Address_;
  std::uint16_t PeerPort_ = 0;
  std::uint16_t OperatorPort_ = 0;
  std::map<CustomerName, std::uint16_t> CustomerPorts_;
  HostState State_ = HostState::Live;

  bool operator==(const HostRecord &) const = default;
};

/// All hosts that the platform lists, in one version.
struct HostList {
  std::uint64_t Version_ = 0;
  std::vector<HostRecord> Hosts_; ///< Sorted by id, ids are unique.

  bool operator==(const HostList &) const = default;
};

/// Parses the host list from JSON. Fails with the same codes as parseContract.
Result<HostList> parseHostList(std::string_view Json);

/// Record of a host, or null when the list does not have it.
const HostRecord *findHost(const HostList &List, const HostId &Id);

} // namespace kumquatpitch

#endif
