// Thresholds of the two detection profiles, which differ only in these values.
// Read by OutlierDetector and TargetHealth.

#ifndef KUMQUATPITCH_DETECTION_THRESHOLDS_H
#define KUMQUATPITCH_DETECTION_THRESHOLDS_H

#include "kumquatpitch/service-entry.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>

namespace kumquatpitch {

/// Evidence is measured in points. An attempt in flight counts its elapsed time
/// divided by the stall threshold, so one that has just reached the threshold
/// counts one point.
struct DetectionThresholds {
  Duration MinStallThreshold_{}; ///< Lower bound of the stall threshold.
  double StallFactor_ = 0;       ///< Stall threshold / usual p95 latency.
  double RequiredPoints_ = 0;    ///< Points that make a score of 1: ejection.
  double MaxRequestPoints_ = 0;  ///< Cap on the points of one hanging request.
  double ErrorPoints_ = 0;       ///< Points of an error that came quickly.
  double MinBadFraction_ = 0;    ///< Least bad share since the first bad one.
  double PeerGain_ = 0;          ///< Cap on peers' part, per unit of own score.
  double SlowFactor_ = 0; ///< Median / usual median latency for ejection.
  std::uint32_t MinLatencySamples_ = 0; ///< Answers before latency counts.
  Duration EvidenceWindow_{};           ///< Age at which evidence expires.
  Duration ConfirmDelay_{};      ///< Least time from suspicion to ejection.
  Duration BaseEjection_{};      ///< Duration of a first ejection.
  Duration MaxEjection_{};       ///< Cap on the duration, which doubles.
  Duration BackoffResetAfter_{}; ///< Time in service that resets the doubling.

  bool operator==(const DetectionThresholds &) const = default;
};

const DetectionThresholds &thresholdsFor(DetectionProfile Profile);

} // namespace kumquatpitch

#endif
