// Codes and retry delays of refusals. See gateway-refusal.h.

#include "kumquatpitch/gateway-refusal.h"

#include <algorithm>

namespace kumquatpitch {

/// Bounds of the retry delay. The queue's departure rate does not predict more
/// than a few seconds.
static constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
static constexpr Duration MaxRetryAfter = std::chrono::seconds(5);

GatewayRefusal makeRefusal(ResultCode Code,
                           std::optional<Duration> RetryAfter) {
  return GatewayRefusal{Code, httpStatus(Code), RetryAfter};
}

GatewayRefusal refusalOf(const UnservedRequest &Request, Duration RetryAfter) {
  if (!Request.MayHaveRun_ && Request.IsHostLeaving_)
    return makeRefusal(ResultCode::HostLeaving, OtherHostRetryAfter);
  if (!Request.MayHaveRun_)
    return makeRefusal(ResultCode::BackendRefused, RetryAfter);
  return makeRefusal(Request.IsTimeOver_ ? ResultCode::BackendTimeout
                                         : ResultCode::BackendBroken,
                     std::nullopt);
}

Duration retryAfterQueue(std::size_t Waiting, double DepartureRate) {
  constexpr double MinRate = 1e-3;
  const double Seconds =
      static_cast<double>(Waiting) / std::max(DepartureRate, MinRate);
  const Duration Wait =
      fromSeconds(std::min(Seconds, toSeconds(MaxRetryAfter)));
  return std::max(MinRetryAfter, Wait);
}

} // namespace kumquatpitch
