// Bounds the memory that several holders of buffers use together. Used by
// HttpServer for the bodies of requests; no I/O.

#ifndef KUMQUATPITCH_BUFFER_BUDGET_H
#define KUMQUATPITCH_BUFFER_BUDGET_H

#include <cstdint>

namespace kumquatpitch {

/// Invariant: the sum of all `Held` values is held(), and grows only up to the
/// limit.
class BufferBudget {
public:
  explicit BufferBudget(std::uint64_t LimitBytes) : Limit_(LimitBytes) {}

  void setLimit(std::uint64_t Bytes) { Limit_ = Bytes; }
  std::uint64_t held() const { return Total_; }

  /// Changes what one holder holds from `Held` to `Bytes`. Returns false and
  /// changes nothing if that would exceed the limit; a holder that shrinks
  /// always may.
  bool resize(std::uint64_t &Held, std::uint64_t Bytes) {
    const std::uint64_t Others = Total_ - Held;
    if (Bytes > Held && (Others > Limit_ || Bytes > Limit_ - Others))
      return false;
    Total_ = Others + Bytes;
    Held = Bytes;
    return true;
  }

private:
  std::uint64_t Limit_;
  std::uint64_t Total_ = 0;
};

} // namespace kumquatpitch

#endif
