// The expected work of one request, as CostModel predicts it. A value that
// stays valid for as long as the request runs.

#ifndef KUMQUATPITCH_BALANCING_WORK_ESTIMATE_H
#define KUMQUATPITCH_BALANCING_WORK_ESTIMATE_H

#include "kumquatpitch/balancing/work-distribution.h"

#include <memory>
#include <utility>

namespace kumquatpitch {

class WorkEstimate {
public:
  /// No estimate: the request counts as one of the usual work.
  WorkEstimate() = default;

  /// The distribution is that of the request's route, and `Factor` its expected
  /// work in relation to the route's.
  WorkEstimate(std::shared_ptr<const WorkDistribution> Distribution,
               double Factor)
      : Distribution_(std::move(Distribution)), Factor_(Factor) {}

  bool isKnown() const { return Distribution_ != nullptr; }

  /// Expected time at a target of usual speed; 0 without an estimate.
  Duration mean() const {
    return isKnown() ? scaled(Distribution_->mean(), Factor_)
                     : Duration::zero();
  }

  /// Expected further time, at a target of usual speed, of a request that has
  /// run for `RanFor` there; 0 without an estimate.
  Duration remaining(Duration RanFor) const {
    return isKnown()
               ? scaled(Distribution_->remaining(scaled(RanFor, 1 / Factor_)),
                        Factor_)
               : Duration::zero();
  }

  bool operator==(const WorkEstimate &) const = default;

private:
  static Duration scaled(Duration Value, double Factor) {
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(Value.count()) * Factor));
  }

  std::shared_ptr<const WorkDistribution> Distribution_;
  double Factor_ = 1;
};

} // namespace kumquatpitch

#endif
