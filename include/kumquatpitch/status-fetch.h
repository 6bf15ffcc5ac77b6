// Reads the status reports of many hosts from their operator endpoints. Called
// by the commands; a host without an answer is a result of its own.

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

/// A host to ask.
struct HostAddress {
  std::optional<HostId> Id_; ///< None when only the address is known.
  Endpoint Address_;         ///< Operator port.

  bool operator==(const HostAddress &) const = default;
};

/// `id (address:port)`, or `address:port` without an id.
std::string hostAddressText(const HostAddress &Value);

/// What came of asking one host.
struct FetchedHost {
  HostAddress From_;
  std::optional<HostStatus> Status_; ///< None when there is a failure.
  Failure Failure_{ResultCode::Ok, ""};

  bool operator==(const FetchedHost &) const = default;
};

/// Asks all hosts, at most 16 at once, and gives the results in their order.
/// `Timeout` holds for each host. A host that answers under another id than
/// expected, or that an earlier address reached already, is a failure, so that
/// no host is counted twice.
std::vector<FetchedHost> fetchStatuses(const std::vector<HostAddress> &Hosts,
                                       Duration Timeout);

} // namespace kumquatpitch

#endif
