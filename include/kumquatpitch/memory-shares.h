// Divides a gateway host's memory among what callers and servers make it hold.
// Servers may send bytes without end, and callers may leave responses unread.
// Used by GatewayDaemon; no I/O.

#ifndef KUMQUATPITCH_MEMORY_SHARES_H
#define KUMQUATPITCH_MEMORY_SHARES_H

#include <cstdint>

namespace kumquatpitch {

/// Limits in bytes. The rest, over a quarter, is for the process itself, for
/// heads, and for bodies while they are copied.
class MemoryShares {
public:
  explicit MemoryShares(std::uint64_t MemoryBytes) : Memory_(MemoryBytes) {}

  /// Longest answer of a backend server.
  std::uint64_t oneAnswer() const { return Memory_ / 16; }
  /// Answers of backend servers in progress, all together.
  std::uint64_t answers() const { return Memory_ / 8; }
  /// Responses that callers have not read, all together.
  std::uint64_t responses() const { return Memory_ / 8; }
  /// Bodies of callers' requests, all together.
  std::uint64_t requestBodies() const { return Memory_ / 2; }

  bool operator==(const MemoryShares &) const = default;

private:
  std::uint64_t Memory_;
};

} // namespace kumquatpitch

#endif
