// Estimates a quantile of recent samples in constant memory. Used by
// OutlierDetector for latencies. The quantiles of Boost.Accumulators are not
// used because they weight all samples equally and so do not follow a change.

#ifndef KUMQUATPITCH_QUANTILE_TRACKER_H
#define KUMQUATPITCH_QUANTILE_TRACKER_H

#include <algorithm>

namespace kumquatpitch {

/// The estimate moves towards each sample by a fixed proportion of its own
/// value, weighted so that it settles at the quantile. A single outlier moves
/// it by only one step, however large the outlier is. The first samples move it
/// further, since the very first one, which sets it, may be an outlier.
class QuantileTracker {
public:
  /// `Quantile` is from 0 to 1; `Step` is the proportion moved for one sample.
  QuantileTracker(double Quantile, double Step)
      : Quantile_(Quantile), Step_(Step) {}

  void add(double Sample) {
    Count_ += 1;
    const double Step = std::max(Step_, 1 / Count_);
    if (Value_ <= 0)
      Value_ = Sample;
    else if (Sample > Value_)
      Value_ *= 1 + Step * Quantile_;
    else
      Value_ *= 1 - Step * (1 - Quantile_);
  }

  /// 0 without samples.
  double value() const { return Value_; }

private:
  double Quantile_;
  double Step_;
  double Count_ = 0; ///< Number of samples.
  double Value_ = 0;
};

} // namespace kumquatpitch

#endif
