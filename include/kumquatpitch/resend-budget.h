// Retry budget of one host for one service: limits the attempts beyond each
// request's first, so that all hosts together stay within the fleet's budget.
// Used by GatewayCore. Pure logic: no I/O and no clock.

#ifndef KUMQUATPITCH_RESEND_BUDGET_H
#define KUMQUATPITCH_RESEND_BUDGET_H

#include "kumquatpitch/random-source.h"
#include "kumquatpitch/time-point.h"

#include <array>
#include <cstdint>

namespace kumquatpitch {

/// Limits for one service: in any window, the number of resends is at most
/// `Ratio_` times the number of requests plus `Slack_`.
struct ResendLimits {
  double Ratio_ = 0;
  double Slack_ = 0; ///< This host's share of the fleet's slack.
  Duration Window_ = std::chrono::seconds(10);

  bool operator==(const ResendLimits &) const = default;
};

class ResendBudget {
public:
  /// Counts a request that arrived from a caller.
  void requestArrived(TimePoint Now);

  /// Consumes one resend; returns false when the budget is exhausted. A budget
  /// of less than one resend in a window allows one by lot: many hosts with few
  /// requests each then use, in sum, what they are allowed.
  bool tryConsume(const ResendLimits &Limits, TimePoint Now,
                  RandomSource &Random);

  /// Returns a resend that was consumed and not sent.
  void refund(TimePoint Now);

  /// Number of resends that the budget still allows.
  double available(const ResendLimits &Limits, TimePoint Now) {
    return remaining(Limits, Now);
  }

private:
  /// Number of buckets in a sliding window. Resends of the oldest bucket count
  /// in full, so the effective window is at most one bucket longer than
  /// configured.
  static constexpr std::size_t BucketCount = 20;

  struct Bucket {
    std::int64_t Index_ = -1; ///< Bucket number since the clock's epoch.
    std::uint32_t Requests_ = 0;
    std::uint32_t Resends_ = 0;
  };

  /// Requests and resends within the last window.
  struct WindowCounts {
    double Requests_ = 0;
    double Resends_ = 0;
  };

  Bucket &bucketAt(Duration Window, TimePoint Now);
  WindowCounts countsAt(const ResendLimits &Limits, TimePoint Now);
  double remaining(const ResendLimits &Limits, TimePoint Now);
  double lotAt(TimePoint Now, RandomSource &Random);

  std::array<Bucket, BucketCount + 1> Buckets_{};
  Duration Window_ = std::chrono::seconds(10);
  double Lot_ = 0;              ///< In [0, 1), drawn once in each window.
  std::int64_t LotWindow_ = -1; ///< Number of the window of Lot_.
};

} // namespace kumquatpitch

#endif
