// Interface to the platform's configuration service. HttpPlatformReader
// implements it over HTTP; tests use a simulated platform. HostCore calls it
// for the reads that ConfigSync requests.

#ifndef KUMQUATPITCH_PLATFORM_READER_H
#define KUMQUATPITCH_PLATFORM_READER_H

#include "kumquatpitch/result-code.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <functional>
#include <string>

namespace kumquatpitch {

/// How a read or watch ended.
enum class PlatformStatus : std::uint8_t {
  Value,       ///< The body is the key's value.
  Unchanged,   ///< A watch ended without a newer version.
  UnknownKey,  ///< The platform has no such key.
  Malformed,   ///< The reply violates the protocol or the size limit.
  Unreachable, ///< No complete reply, or the reader's own queue is full.
};

/// Reply of the platform to a read or watch.
struct PlatformReply {
  std::string Key_;
  PlatformStatus Status_ = PlatformStatus::Unreachable;
  std::uint64_t Version_ = 0; ///< 0 for keys without a version.
  std::string Body_;
  std::uint64_t WireBytes_ = 0; ///< Size of the body as transferred.

  bool operator==(const PlatformReply &) const = default;
};

class PlatformReader {
public:
  using Callback = std::function<void(PlatformReply)>;

  virtual ~PlatformReader() = default;

  /// Reads a key: `manifest`, `hosts` or `parts/NAME/HASH`. Calls back exactly
  /// once, from any thread, possibly before read() returns.
  virtual void read(const std::string &Key, Callback OnReply) = 0;

  /// Waits up to `Wait` for a version above `After`; calls back as read() does.
  virtual void watch(const std::string &Key, std::uint64_t After, Duration Wait,
                     Callback OnReply) = 0;
};

} // namespace kumquatpitch

#endif
