// Histogram of work, its mean and its mean residual. See work-distribution.h.

#include "kumquatpitch/balancing/work-distribution.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace kumquatpitch {

namespace {

/// Upper edge of the first bucket is twice this. A power of two, so that a
/// bucket is found by shifts.
constexpr unsigned FirstEdgeShift = 10;
constexpr double FirstEdgeUs = 1 << FirstEdgeShift;
/// The weights are halved when they reach this sum. Three in a hundred requests
/// that take much longer still count with several samples then.
constexpr double MaxWeight = 400;
/// Spread of the assumed distribution around its mean.
constexpr double AssumedSpread = 0.5;

} // namespace

WorkDistribution::WorkDistribution(Duration AssumedMean) {
  const double MeanUs =
      std::max<double>(FirstEdgeUs, static_cast<double>(AssumedMean.count()));
  for (const double Factor : {1 - AssumedSpread, 1 + AssumedSpread})
    add(Duration(toCount(MeanUs * Factor)), 0.5);
  updateSums();
}

/// Bucket 2k holds the work from 2^k to 2^(k + 1/2) first edges, and bucket
/// 2k + 1 what follows up to 2^(k + 1).
std::size_t WorkDistribution::bucketOf(Duration::rep Microseconds) {
  const std::uint64_t Units =
      static_cast<std::uint64_t>(std::max<Duration::rep>(Microseconds, 0));
  if (Units < (std::uint64_t{1} << FirstEdgeShift))
    return 0;
  const unsigned Power =
      static_cast<unsigned>(std::bit_width(Units)) - 1 - FirstEdgeShift;
  constexpr double SquareRootOfTwo = 1.4142135623730951;
  const double Lower =
      FirstEdgeUs * static_cast<double>(std::uint64_t{1} << Power);
  const std::size_t Index =
      std::size_t{2} * Power +
      (static_cast<double>(Units) >= Lower * SquareRootOfTwo ? 1 : 0);
  return std::min(Index, BucketCount - 1);
}

double WorkDistribution::upperEdge(std::size_t Index) {
  constexpr double SquareRootOfTwo = 1.4142135623730951;
  const double Lower =
      FirstEdgeUs * static_cast<double>(std::uint64_t{1} << (Index / 2));
  return Index % 2 == 0 ? Lower * SquareRootOfTwo : Lower * 2;
}

void WorkDistribution::add(Duration Work, double Weight) {
  Bucket &Target = Buckets_[bucketOf(Work.count())];
  Target.Weight_ += Weight;
  Target.SumUs_ += Weight * static_cast<double>(Work.count());
}

void WorkDistribution::addCompleted(Duration Work) {
  add(Work, 1);
  updateSums();
}

void WorkDistribution::addCensored(Duration RanFor) {
  const std::size_t First = bucketOf(RanFor.count()) + 1;
  const double Longer = First < BucketCount ? Buckets_[First].WeightFrom_ : 0;
  if (Longer <= 0) {
    add(RanFor * 2, 1);
  } else {
    const double Factor = 1 + 1 / Longer;
    for (std::size_t Index = First; Index < BucketCount; ++Index) {
      Buckets_[Index].Weight_ *= Factor;
      Buckets_[Index].SumUs_ *= Factor;
    }
  }
  updateSums();
}

void WorkDistribution::halveIfHeavy() {
  if (Buckets_.front().WeightFrom_ < MaxWeight)
    return;
  for (Bucket &Each : Buckets_) {
    Each.Weight_ /= 2;
    Each.SumUs_ /= 2;
    Each.WeightFrom_ /= 2;
    Each.SumFromUs_ /= 2;
  }
}

void WorkDistribution::updateSums() {
  double Weight = 0;
  double SumUs = 0;
  for (std::size_t Index = BucketCount; Index-- > 0;) {
    Bucket &Each = Buckets_[Index];
    Weight += Each.Weight_;
    SumUs += Each.SumUs_;
    Each.WeightFrom_ = Weight;
    Each.SumFromUs_ = SumUs;
  }
  MeanUs_ = SumUs / Weight;
  halveIfHeavy();
}

Duration WorkDistribution::remaining(Duration RanFor) const {
  const double RanUs = static_cast<double>(RanFor.count());
  const std::size_t Index = bucketOf(RanFor.count());
  const Bucket &Current = Buckets_[Index];
  const double Edge = upperEdge(Index);
  const double Lower = Index == 0 ? 0 : upperEdge(Index - 1);
  // The samples of a bucket are taken as spread evenly over it.
  const double Share = std::clamp((Edge - RanUs) / (Edge - Lower), 0.0, 1.0);
  const bool IsLast = Index + 1 == BucketCount;
  const double Weight =
      Share * Current.Weight_ + (IsLast ? 0 : Buckets_[Index + 1].WeightFrom_);
  const double SumUs = Share * Current.Weight_ * (RanUs + Edge) / 2 +
                       (IsLast ? 0 : Buckets_[Index + 1].SumFromUs_);
  // Less than a thousandth of a sample is a rounding error or long past.
  constexpr double MinWeight = 0.001;
  if (Weight < MinWeight)
    return RanFor;
  return Duration(toCount(std::max(0.0, SumUs / Weight - RanUs)));
}

} // namespace kumquatpitch
