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

ResendBudget::WindowCounts ResendBudget::countsAt(const ResendLimits &Limits,
                                                  TimePoint Now) {
  const std::int64_t Newest = bucketAt(Limits.Window_, Now).Index_;
  WindowCounts Counts;
  for (const Bucket &Slot : Buckets_) {
    if (Newest - Slot.Index_ > static_cast<std::int64_t>(BucketCount))
      continue;
    Counts.Resends_ += Slot.Resends_;
    // The oldest bucket may lie partly outside the window. Its resends count,
    // its requests do not, so the budget is never exceeded.
    if (Newest - Slot.Index_ < static_cast<std::int64_t>(BucketCount))
      Counts.Requests_ += Slot.Requests_;
  }
  return Counts;
}

double ResendBudget::remaining(const ResendLimits &Limits, TimePoint Now) {
  const WindowCounts Counts = countsAt(Limits, Now);
  return Limits.Ratio_ * Counts.Requests_ + Limits.Slack_ - Counts.Resends_;
}

void ResendBudget::refund(TimePoint Now) {
  // The resend is most likely counted in the newest bucket that has any.
  const std::int64_t Newest = bucketAt(Window_, Now).Index_;
  Bucket *Latest = nullptr;
  for (Bucket &Slot : Buckets_)
    if (Slot.Resends_ > 0 &&
        Newest - Slot.Index_ <= static_cast<std::int64_t>(BucketCount) &&
        (!Latest || Slot.Index_ > Latest->Index_))
      Latest = &Slot;
  if (Latest)
    --Latest->Resends_;
}

double ResendBudget::lotAt(TimePoint Now, RandomSource &Random) {
  const std::int64_t Window = Now.time_since_epoch().count() / Window_.count();
  if (Window != LotWindow_) {
    constexpr std::uint64_t Steps = 1 << 20;
    Lot_ = static_cast<double>(Random.below(Steps)) / Steps;
    LotWindow_ = Window;
  }
  return Lot_;
}

bool ResendBudget::tryConsume(const ResendLimits &Limits, TimePoint Now,
                              RandomSource &Random) {
  const WindowCounts Counts = countsAt(Limits, Now);
  const double Allowed = Limits.Ratio_ * Counts.Requests_ + Limits.Slack_;
  const bool IsAllowed =
      Allowed >= 1 ? Allowed - Counts.Resends_ >= 1
                   : Counts.Resends_ == 0 && lotAt(Now, Random) < Allowed;
  if (IsAllowed)
    ++bucketAt(Limits.Window_, Now).Resends_;
  return IsAllowed;
}

} // namespace kumquatpitch
