// The response to a caller that looks up the hosts of a service.

#ifndef KUMQUATPITCH_ADDRESS_ANSWER_H
#define KUMQUATPITCH_ADDRESS_ANSWER_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatpitch {

/// How long callers may cache the response. A host that leaves the fleet keeps
/// serving for longer than this, so that cached addresses stay valid.
constexpr std::chrono::milliseconds AddressAnswerTtl{10'000};

/// A host that the caller may use.
struct AddressOption {
  HostId Host_;
  FailureDomain Domain_;
  Endpoint Address_;
  std::string Token_; ///< Empty while the host's incarnation is unknown.

  bool operator==(const AddressOption &) const = default;
};

struct AddressAnswer {
  ServiceName Service_;
  std::uint64_t ConfigVersion_ = 0;
  std::vector<AddressOption> Hosts_; ///< In the order in which to try them.

  bool operator==(const AddressAnswer &) const = default;
};

/// Formats the response as JSON. docs/callers.md describes the format.
std::string formatAddressAnswer(const AddressAnswer &Answer);

} // namespace kumquatpitch

#endif
