// What a target reports about itself in the headers of an answer. GatewayFront
// parses a report from each answer and passes it to GatewayCore. Pure
// functions.

#ifndef KUMQUATPITCH_TARGET_REPORT_H
#define KUMQUATPITCH_TARGET_REPORT_H

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace kumquatpitch {

/// Load that a target reports with an answer.
struct ReportedLoad {
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;

  bool operator==(const ReportedLoad &) const = default;
};

/// Rate limit of a target that names none, in requests per second.
constexpr double NoRateLimit = std::numeric_limits<double>::infinity();

struct TargetReport {
  std::optional<ReportedLoad> Load_; ///< None if missing or malformed.
  /// Requests per second that the target takes from all hosts together, or
  /// NoRateLimit. None if the answer's value is malformed.
  std::optional<double> RateLimit_;
  std::optional<bool> IsLeaving_ = false; ///< None if malformed.

  bool operator==(const TargetReport &) const = default;
};

/// Parses the report in an answer's headers; a null pointer stands for a
/// missing header. `Load` is `running,waiting,slots`, of which the slots are
/// ignored, `RateLimit` a decimal number, and `Leaving` is `1` or `0`.
TargetReport parseTargetReport(const std::string *Load,
                               const std::string *RateLimit,
                               const std::string *Leaving = nullptr);

/// A rate limit for logs, such as `3.4`, or `none`.
std::string formatRateLimit(double PerSecond);

} // namespace kumquatpitch

#endif
