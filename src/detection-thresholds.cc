// Values of the two profiles. See detection-thresholds.h.

#include "kumquatpitch/detection-thresholds.h"

namespace kumquatpitch {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// One request cannot reach the required points, even with peers' evidence.
// Neither a single long request nor connections that go silent on all hosts at
// once may eject a target. A peer gain of 0.75 caused ejections in the latter
// case.
constexpr DetectionThresholds AvoidFalse{
    .MinStallThreshold_ = milliseconds(700),
    .StallFactor_ = 6,
    .RequiredPoints_ = 3,
    .MaxRequestPoints_ = 1.8,
    .ErrorPoints_ = 0.5,
    .MinBadFraction_ = 0.25,
    .PeerGain_ = 0.5,
    .SlowFactor_ = 12,
    .MinLatencySamples_ = 30,
    .EvidenceWindow_ = seconds(30),
    .ConfirmDelay_ = seconds(1),
    .BaseEjection_ = seconds(5),
    .MaxEjection_ = seconds(60),
    .BackoffResetAfter_ = minutes(5),
};

// One stalled request suffices for ejection, since a host may own only one slot
// and so see no second request.
constexpr DetectionThresholds Fast{
    .MinStallThreshold_ = milliseconds(450),
    .StallFactor_ = 3,
    .RequiredPoints_ = 1,
    .MaxRequestPoints_ = 2,
    .ErrorPoints_ = 0.34,
    .MinBadFraction_ = 0.25,
    .PeerGain_ = 0.5,
    .SlowFactor_ = 5,
    .MinLatencySamples_ = 8,
    .EvidenceWindow_ = seconds(10),
    .ConfirmDelay_ = milliseconds(150),
    .BaseEjection_ = seconds(5),
    .MaxEjection_ = minutes(5),
    .BackoffResetAfter_ = minutes(10),
};

} // namespace

const DetectionThresholds &thresholdsFor(DetectionProfile Profile) {
  return Profile == DetectionProfile::FastDetection ? Fast : AvoidFalse;
}

} // namespace kumquatpitch
