// Thresholds of the two detection profiles. Read by OutlierDetector and
// TargetHealth; the profiles differ in nothing else.

#ifndef KUMQUATPITCH_DETECTION_THRESHOLDS_H
#define KUMQUATPITCH_DETECTION_THRESHOLDS_H

#include "kumquatpitch/service-entry.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>

namespace kumquatpitch {

/// Evidence is counted in points. A request that has waited for the stall age
/// is one point, in proportion to its wait.
struct DetectionThresholds {
  Duration StallFloor_{};       ///< Least stall age.
  double StallFactor_ = 0;      ///< Stall age by the usual 95th percentile.
  double RequiredPoints_ = 0;   ///< Points for ejection; a score of 1.
  double MaxRequestPoints_ = 0; ///< Most points of one request.
  double ErrorPoints_ = 0;      ///< Points of an error that came quickly.
  double MinBadFraction_ = 0;   ///< Bad requests of those since the first bad.
  double PeerGain_ = 0;   ///< Most that peers add, by the host's own evidence.
  double SlowFactor_ = 0; ///< Median latency by the usual one for ejection.
  std::uint32_t SlowSamples_ = 0; ///< Answers before latency is compared.
  Duration Window_{};             ///< Age at which evidence expires.
  Duration ConfirmDelay_{};       ///< Least time from suspicion to ejection.
  Duration BaseEjection_{};       ///< Length of a first ejection.
  Duration MaxEjection_{};        ///< Cap of the doubling length.
  Duration ForgetAfter_{};        ///< Time in service that resets the doubling.

  bool operator==(const DetectionThresholds &) const = default;
};

/// Thresholds of a profile.
const DetectionThresholds &thresholdsFor(DetectionProfile Profile);

} // namespace kumquatpitch

#endif
