// Fetches the status reports of many hosts from their operator endpoints for
// the commands. A host that does not answer gets a result with its failure; it
// does not fail the whole fetch.

#ifndef KUMQUATPITCH_STATUS_FETCH_H
#define KUMQUATPITCH_STATUS_FETCH_H

#include "kumquatpitch/host-status.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/time-point.h"

#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch {

/// Operator endpoint of a host whose status is fetched.
struct HostAddress {
  std::optional<HostId> Id_; ///< Unset when only the address is known.
  Endpoint Address_;         ///< Operator port.

  bool operator==(const HostAddress &) const = default;
};

/// `id (address:port)`, or `address:port` without an id.
std::string formatHostAddress(const HostAddress &Value);

/// Result of fetching the status of one host.
struct HostFetchResult {
  HostAddress From_;
  std::optional<HostStatus> Status_; ///< Unset when the fetch failed.
  Failure Failure_{ResultCode::Ok, ""};

  bool operator==(const HostFetchResult &) const = default;
};

/// Fetches the status of all hosts, at most 16 at once, and returns the results
/// in the order of `Hosts`. `Timeout` applies to each host. It is a failure
/// when a host answers under an unexpected id or was already reached at an
/// earlier address, so that no host is counted twice.
std::vector<HostFetchResult>
fetchStatuses(const std::vector<HostAddress> &Hosts, Duration Timeout);

} // namespace kumquatpitch

#endif
