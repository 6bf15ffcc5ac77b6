// Bounds how many attempts beyond the first one host may send to a service, so
// that all hosts together stay within the fleet's budget. Used by GatewayCore.
// Pure.

#ifndef KUMQUATPITCH_RESEND_BUDGET_H
#define KUMQUATPITCH_RESEND_BUDGET_H

#include "kumquatpitch/time-point.h"

#include <array>
#include <cstdint>

namespace kumquatpitch {

/// The fleet's budget for one service: in any window, resends are at most
/// `Ratio_` times the requests plus `Slack_`.
struct ResendTerms {
  double Ratio_ = 0;
  double Slack_ = 0; ///< This host's part of the fleet's slack.
  Duration Window_ = std::chrono::seconds(10);

  bool operator==(const ResendTerms &) const = default;
};

class ResendBudget {
public:
  /// A request arrived from a caller.
  void requestArrived(TimePoint Now);

  /// Takes one resend from the budget; false when it is used up.
  bool take(const ResendTerms &Terms, TimePoint Now);

  /// Resends that the budget still allows now.
  double left(const ResendTerms &Terms, TimePoint Now) {
    return remaining(Terms, Now);
  }

private:
  /// Parts of a window that are counted apart. The oldest part is counted
  /// whole, so a window is at most one part longer than stated.
  static constexpr std::size_t Parts = 20;

  struct Count {
    std::int64_t Part_ = -1; ///< Number of the part since the clock's epoch.
    std::uint32_t Requests_ = 0;
    std::uint32_t Resends_ = 0;
  };

  Count &countAt(Duration Window, TimePoint Now);
  double remaining(const ResendTerms &Terms, TimePoint Now);

  std::array<Count, Parts + 1> Counts_{};
  Duration Window_ = std::chrono::seconds(10);
};

} // namespace kumquatpitch

#endif
