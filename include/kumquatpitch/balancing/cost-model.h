// Predicts the work of a request from what a host sees before it sends the
// request: its route, its workspace and the size of its body. Learns from the
// work of requests that ended. GatewayCore owns it and passes it work from
// which the slowness of the target has been taken out. Does no I/O and reads no
// clock.

#ifndef KUMQUATPITCH_BALANCING_COST_MODEL_H
#define KUMQUATPITCH_BALANCING_COST_MODEL_H

#include "kumquatpitch/balancing/recent-map.h"
#include "kumquatpitch/balancing/work-estimate.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/quantile-tracker.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>

namespace kumquatpitch {

/// What is known of a request before it runs.
struct RequestTraits {
  std::string Route_;           ///< The route's key.
  WorkspaceName Workspace_;     ///< Empty for a request without one.
  std::uint64_t BodyBytes_ = 0; ///< Size of the request's body.
  Duration Objective_{};        ///< Of the route; 0 if it has none.

  bool operator==(const RequestTraits &) const = default;
};

/// Counts of predictions since the start, for metrics.
struct PredictionCounts {
  std::uint64_t Completed_ = 0; ///< Predictions whose request ended.
  std::uint64_t Close_ = 0;     ///< Within a factor of CloseFactor.
  std::uint64_t Wrong_ = 0;     ///< Off by more than WrongFactor.
  double PredictedSeconds_ = 0; ///< Sum of the predicted work.
  double MeasuredSeconds_ = 0;  ///< Sum of the measured work.

  static constexpr double CloseFactor = 1.5;
  static constexpr double WrongFactor = 8;

  bool operator==(const PredictionCounts &) const = default;
};

class CostModel {
public:
  /// Predicts the work of a request. A route without samples starts from a
  /// third of its objective.
  WorkEstimate estimate(const RequestTraits &Request);

  /// Learns the work of a request that ended with success: its time without the
  /// wait and the slowness of its target. `Predicted` is the
  /// estimate with which it was sent. Returns the factor by which the
  /// prediction was off, at least 1.
  double recordCompleted(const RequestTraits &Request,
                         const WorkEstimate &Predicted, Duration Work);

  /// Learns that a request needs more than `RanFor`: it timed out, was
  /// cancelled, or its answer broke.
  void recordCensored(const RequestTraits &Request, Duration RanFor);

  const PredictionCounts &counts() const { return Counts_; }

  /// Describes the routes used last for logs, at most MaxDescribed: the mean
  /// work in milliseconds, then the median and the 90th percentile of the
  /// factor by which predictions were off.
  std::string describe() const;

  std::size_t routeCount() const { return Routes_.size(); }
  std::size_t workspaceFactorCount() const { return WorkspaceFactors_.size(); }

  static constexpr std::size_t MaxRoutes = 1'024;
  static constexpr std::size_t MaxWorkspaceFactors = 4'096;
  static constexpr std::size_t MaxDescribed = 8;

private:
  /// Decayed mean of the work of some of a route's requests, in relation to
  /// what is otherwise expected of them.
  struct Factor {
    double Mean_ = 1;
    double Samples_ = 0;

    void add(double Ratio);
    /// The mean, drawn towards 1 while there are few samples.
    double value() const;
  };

  /// A class holds the bodies within a factor of four of each other.
  static constexpr std::size_t BodyClasses = 12;

  struct RouteCost {
    explicit RouteCost(Duration AssumedMean)
        : Work_(std::make_shared<WorkDistribution>(AssumedMean)) {}

    /// Of requests whose factors are taken out. Shared with the estimates, so
    /// that those of running requests follow what is learned.
    std::shared_ptr<WorkDistribution> Work_;
    std::array<Factor, BodyClasses> ByBody_;
    QuantileTracker MedianError_{0.5, 0.05};
    QuantileTracker HighError_{0.9, 0.05};
  };

  static std::size_t bodyClass(std::uint64_t Bytes);
  RouteCost &routeCost(const RequestTraits &Request);
  Factor *workspaceFactor(const RequestTraits &Request);
  double factorOf(const RequestTraits &Request);

  RecentMap<std::string, RouteCost> Routes_{MaxRoutes};
  /// By route and workspace, joined by a line feed, which neither contains.
  RecentMap<std::string, Factor> WorkspaceFactors_{MaxWorkspaceFactors};
  PredictionCounts Counts_;
};

} // namespace kumquatpitch

#endif
