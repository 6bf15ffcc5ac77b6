// Logs and counts how well the work of requests was predicted. GatewayFront
// passes it each prediction whose request ended. Reads no clock.

#ifndef KUMQUATPITCH_BALANCING_PREDICTION_LOG_H
#define KUMQUATPITCH_BALANCING_PREDICTION_LOG_H

#include "kumquatpitch/balancing/cost-model.h"
#include "kumquatpitch/event-log.h"
#include "kumquatpitch/metrics.h"
#include "kumquatpitch/time-point.h"

#include <optional>
#include <string>

namespace kumquatpitch {

/// A prediction and what was measured.
struct PredictedWork {
  Duration Predicted_{};
  Duration Measured_{};
  double Factor_ = 1; ///< By which the prediction was off; at least 1.

  bool operator==(const PredictedWork &) const = default;
};

class PredictionLog {
public:
  PredictionLog(EventLog &Log, Metrics &Metrics)
      : Log_(Log), Metrics_(Metrics) {}

  /// Counts a prediction. Logs it if it was off by more than
  /// PredictionCounts::WrongFactor, at most once a second.
  void record(const PredictedWork &Work, const std::string &RequestId,
              const std::string &Route, TimePoint Now);

  /// Logs what the model has learned of the routes, at most every ten seconds.
  void summarize(const CostModel &Model, TimePoint Now);

private:
  EventLog &Log_;
  Metrics &Metrics_;
  std::optional<TimePoint> WrongLoggedAt_;
  std::uint64_t WrongNotLogged_ = 0; ///< Since the last such line.
  std::optional<TimePoint> SummarizedAt_;
};

} // namespace kumquatpitch

#endif
