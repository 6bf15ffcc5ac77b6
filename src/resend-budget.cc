// Resends within a sliding window. See resend-budget.h.

#include "kumquatpitch/resend-budget.h"

namespace kumquatpitch {

ResendBudget::Count &ResendBudget::countAt(Duration Window, TimePoint Now) {
  if (Window != Window_) {
    Window_ = Window;
    Counts_ = {};
  }
  const std::int64_t Part =
      Now.time_since_epoch().count() /
      (Window_.count() / static_cast<std::int64_t>(Parts));
  Count &Slot = Counts_[static_cast<std::size_t>(Part) % Counts_.size()];
  if (Slot.Part_ != Part)
    Slot = Count{Part, 0, 0};
  return Slot;
}

void ResendBudget::requestArrived(TimePoint Now) {
  ++countAt(Window_, Now).Requests_;
}

double ResendBudget::remaining(const ResendTerms &Terms, TimePoint Now) {
  const std::int64_t Newest = countAt(Terms.Window_, Now).Part_;
  double Requests = 0;
  double Resends = 0;
  for (const Count &Each : Counts_) {
    if (Newest - Each.Part_ > static_cast<std::int64_t>(Parts))
      continue;
    Resends += Each.Resends_;
    // The oldest part may lie outside the window: it counts against the
    // budget only.
    if (Newest - Each.Part_ < static_cast<std::int64_t>(Parts))
      Requests += Each.Requests_;
  }
  return Terms.Ratio_ * Requests + Terms.Slack_ - Resends;
}

bool ResendBudget::take(const ResendTerms &Terms, TimePoint Now) {
  if (remaining(Terms, Now) < 1)
    return false;
  ++countAt(Terms.Window_, Now).Resends_;
  return true;
}

} // namespace kumquatpitch
