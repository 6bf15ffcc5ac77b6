// The error responses that a gateway host gives in place of a backend server's:
// which code a request gets that cannot be served, and when its caller may
// return. Used by GatewayCore and GatewayFront; no I/O and no clock.

#ifndef KUMQUATPITCH_GATEWAY_REFUSAL_H
#define KUMQUATPITCH_GATEWAY_REFUSAL_H

#include "kumquatpitch/result-code.h"
#include "kumquatpitch/time-point.h"

#include <cstddef>
#include <optional>

namespace kumquatpitch {

/// An error response that the gateway sends instead of a backend server's.
struct GatewayRefusal {
  ResultCode Code_ = ResultCode::InternalError;
  int Status_ = 500;
  std::optional<Duration> RetryAfter_;

  bool operator==(const GatewayRefusal &) const = default;
};

/// Retry delay while the configuration or the targets are missing: roughly the
/// time that it takes to read them.
constexpr Duration StateRetryAfter = std::chrono::milliseconds(500);

/// Retry delay where another host can serve the request immediately.
constexpr Duration OtherHostRetryAfter = std::chrono::milliseconds(20);

/// The refusal with the status of its code.
GatewayRefusal makeRefusal(ResultCode Code, std::optional<Duration> RetryAfter);

/// What is known of a request that gets no further attempt.
struct UnservedRequest {
  bool MayHaveRun_ = false;    ///< A target has it or may have executed it.
  bool IsTimeOver_ = false;    ///< Its deadline has passed.
  bool IsHostLeaving_ = false; ///< It may not end before the host does.

  bool operator==(const UnservedRequest &) const = default;
};

/// The refusal of a request that gets no further attempt. `RetryAfter` is sent
/// only if it has not run.
GatewayRefusal refusalOf(const UnservedRequest &Request, Duration RetryAfter);

/// When callers may return to a service at which `Waiting` requests are queued
/// and `DepartureRate` of them leave the queue in a second: once all have left
/// it, so that the callers that were refused first return first.
Duration retryAfterQueue(std::size_t Waiting, double DepartureRate);

} // namespace kumquatpitch

#endif
