// Lines and counters about predictions of work. See prediction-log.h.

#include "kumquatpitch/balancing/prediction-log.h"

#include <cmath>

namespace kumquatpitch {

namespace {

constexpr Duration WrongLogPause = std::chrono::seconds(1);
constexpr Duration SummaryPeriod = std::chrono::seconds(10);

} // namespace

void PredictionLog::record(const PredictedWork &Work,
                           const std::string &RequestId,
                           const std::string &Route, TimePoint Now) {
  Metrics_.count("work_predictions");
  Metrics_.count("work_predicted_ms",
                 static_cast<std::uint64_t>(toMilliseconds(Work.Predicted_)));
  Metrics_.count("work_measured_ms",
                 static_cast<std::uint64_t>(toMilliseconds(Work.Measured_)));
  if (Work.Factor_ <= PredictionCounts::CloseFactor)
    Metrics_.count("work_predictions_close");
  if (Work.Factor_ <= PredictionCounts::WrongFactor)
    return;
  Metrics_.count("work_predictions_wrong");
  if (WrongLoggedAt_ && Now - *WrongLoggedAt_ < WrongLogPause) {
    ++WrongNotLogged_;
    return;
  }
  WrongLoggedAt_ = Now;
  Log_.write(LogLevel::Warning, "work", "prediction_wrong",
             {{"id", RequestId},
              {"route", Route},
              {"predicted_ms", std::to_string(toMilliseconds(Work.Predicted_))},
              {"measured_ms", std::to_string(toMilliseconds(Work.Measured_))},
              {"not_logged", std::to_string(WrongNotLogged_)}});
  WrongNotLogged_ = 0;
}

void PredictionLog::summarize(const CostModel &Model, TimePoint Now) {
  if (SummarizedAt_ && Now - *SummarizedAt_ < SummaryPeriod)
    return;
  SummarizedAt_ = Now;
  const PredictionCounts &Counts = Model.counts();
  Log_.write(
      LogLevel::Info, "work", "predictions",
      {{"ended", std::to_string(Counts.Completed_)},
       {"close", std::to_string(Counts.Close_)},
       {"wrong", std::to_string(Counts.Wrong_)},
       {"predicted_s", std::to_string(std::lround(Counts.PredictedSeconds_))},
       {"measured_s", std::to_string(std::lround(Counts.MeasuredSeconds_))},
       {"routes", Model.describe()}});
}

} // namespace kumquatpitch
