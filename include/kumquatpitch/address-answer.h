// The answer to a caller who asks which hosts to use for a service.

#ifndef KUMQUATPITCH_ADDRESS_ANSWER_H
#define KUMQUATPITCH_ADDRESS_ANSWER_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquatpitch {

/// How long callers may keep the answer. A leaving host serves for longer.
constexpr std::chrono::milliseconds AddressKeepTime{10'000};

/// One host that a caller may use.
struct AddressOption {
  HostId Host_;
  FailureDomain Domain_;
  Endpoint Address_;
  std::string Token_; ///< Empty while the host's incarnation is not known.

  bool operator==(const AddressOption &) const = default;
};

struct AddressAnswer {
  ServiceName Service_;
  std::uint64_t ConfigVersion_ = 0;
  std::vector<AddressOption> Hosts_; ///< To be tried in this order.

  bool operator==(const AddressAnswer &) const = default;
};

/// JSON for the caller; docs/callers.md describes it.
std::string formatAddressAnswer(const AddressAnswer &Answer);

} // namespace kumquatpitch

#endif
