// The order in which requests get scarce room: the priority of the workspace
// goes before that of the route. A value.

#ifndef KUMQUATPITCH_ADMISSION_REQUEST_PRIORITY_H
#define KUMQUATPITCH_ADMISSION_REQUEST_PRIORITY_H

#include <compare>
#include <cstdint>

namespace kumquatpitch {

/// The lesser value goes first.
struct RequestPriority {
  std::uint32_t Workspace_ = 0; ///< 0 is the highest; 0 without a workspace.
  std::uint32_t Route_ = 0;     ///< 0 is the highest.

  bool operator==(const RequestPriority &) const = default;
  std::strong_ordering operator<=>(const RequestPriority &) const = default;
};

} // namespace kumquatpitch

#endif
