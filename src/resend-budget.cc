// Sliding-window counts of requests and resends. See resend-budget.h.

#include "kumquatpitch/resend-budget.h"

namespace kumquatpitch {

ResendBudget::Bucket &ResendBudget::bucketAt(Duration Window, TimePoint Now) {
  if (Window != Window_) {
    Window_ = Window;
    Buckets_ = {};
  }
  const std::int64_t Index =
      Now.time_since_epoch().count() /
      (Window_.count() / static_cast<std::int64_t>(BucketCount));
  Bucket &Slot = Buckets_[static_cast<std::size_t>(Index) % Buckets_.size()];
  if (Slot.Index_ != Index)
    Slot = Bucket{Index, 0, 0};
  return Slot;
}

void ResendBudget::requestArrived(TimePoint Now) {
  ++bucketAt(Window_, Now).Requests_;
}

double ResendBudget::remaining(const ResendLimits &Limits, TimePoint Now) {
  const std::int64_t Newest = bucketAt(Limits.Window_, Now).Index_;
  double Requests = 0;
  double Resends = 0;
  for (const Bucket &Slot : Buckets_) {
    if (Newest - Slot.Index_ > static_cast<std::int64_t>(BucketCount))
      continue;
    Resends += Slot.Resends_;
    // The oldest bucket may lie partly outside the window. Its resends count,
    // its requests do not, so the budget is never exceeded.
    if (Newest - Slot.Index_ < static_cast<std::int64_t>(BucketCount))
      Requests += Slot.Requests_;
  }
  return Limits.Ratio_ * Requests + Limits.Slack_ - Resends;
}

bool ResendBudget::tryConsume(const ResendLimits &Limits, TimePoint Now) {
  if (remaining(Limits, Now) < 1)
    return false;
  ++bucketAt(Limits.Window_, Now).Resends_;
  return true;
}

} // namespace kumquatpitch
