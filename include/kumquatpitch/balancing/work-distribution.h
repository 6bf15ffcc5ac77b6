// Distribution of the work of similar requests: how long one takes at a target
// of usual speed, and how much longer one takes that has run for a while. Kept
// by CostModel for each route. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_BALANCING_WORK_DISTRIBUTION_H
#define KUMQUATPITCH_BALANCING_WORK_DISTRIBUTION_H

#include "kumquatpitch/time-point.h"

#include <array>
#include <cstddef>

namespace kumquatpitch {

/// Histogram of recent samples in constant memory. Recent samples weigh up to
/// twice as much as older ones, so that it follows a change.
class WorkDistribution {
public:
  /// Starts from an assumed mean that weighs as much as one sample.
  explicit WorkDistribution(Duration AssumedMean);

  /// Adds the work of a request that ended.
  void addCompleted(Duration Work);

  /// Adds a request that had not ended after `RanFor`. Its weight goes to the
  /// longer samples in proportion to theirs (Efron, "The two sample problem
  /// with censored data", 1967); without any, it counts as twice `RanFor`.
  void addCensored(Duration RanFor);

  Duration mean() const { return Duration(toCount(MeanUs_)); }

  /// Mean of the time that a request takes from now on which has run for
  /// `RanFor`. One that has run longer than all samples is expected to take as
  /// long again.
  Duration remaining(Duration RanFor) const;

  bool operator==(const WorkDistribution &) const = default;

private:
  /// Two buckets for each factor of two, from FirstEdgeUs to 18 minutes.
  static constexpr std::size_t BucketCount = 40;
  struct Bucket {
    double Weight_ = 0;
    double SumUs_ = 0;
    /// The same of this bucket and all longer ones.
    double WeightFrom_ = 0;
    double SumFromUs_ = 0;

    bool operator==(const Bucket &) const = default;
  };

  static Duration::rep toCount(double Microseconds) {
    return static_cast<Duration::rep>(Microseconds);
  }
  static std::size_t bucketOf(Duration::rep Microseconds);
  static double upperEdge(std::size_t Index);
  void add(Duration Work, double Weight);
  void halveIfHeavy();
  void updateSums();

  std::array<Bucket, BucketCount> Buckets_;
  double MeanUs_ = 0;
};

} // namespace kumquatpitch

#endif
