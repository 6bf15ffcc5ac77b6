// Learns and predicts the work of requests. See cost-model.h.

#include "kumquatpitch/balancing/cost-model.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace kumquatpitch {

namespace {

/// A route without samples is assumed to take its objective divided by this,
/// or AssumedWork if it has none.
constexpr double ObjectiveFactor = 3;
constexpr Duration AssumedWork = std::chrono::milliseconds(200);
/// Samples that weigh as much as the assumption that a workspace or a body size
/// makes no difference.
constexpr double FactorPriorSamples = 20;
/// Most samples that a factor remembers, and the largest ratio that one sample
/// counts with: a rare request that takes many times as long says little about
/// its workspace.
constexpr double MaxFactorSamples = 100;
constexpr double MaxRatio = 16;
/// Bounds of a factor: a wrong one must not hide a request's cost.
constexpr double MinFactor = 0.1;
constexpr double MaxFactor = 10;

double seconds(Duration Value) { return toSeconds(Value); }

} // namespace

void CostModel::Factor::add(double Ratio) {
  Samples_ = std::min(Samples_ + 1, MaxFactorSamples);
  Mean_ += (std::min(Ratio, MaxRatio * Mean_) - Mean_) / Samples_;
}

double CostModel::Factor::value() const {
  return std::clamp((Mean_ * Samples_ + FactorPriorSamples) /
                        (Samples_ + FactorPriorSamples),
                    MinFactor, MaxFactor);
}

std::size_t CostModel::bodyClass(std::uint64_t Bytes) {
  constexpr unsigned SmallestClassShift = 10;
  const unsigned Power =
      static_cast<unsigned>(std::bit_width(Bytes >> SmallestClassShift));
  return std::min<std::size_t>((Power + 1) / 2, BodyClasses - 1);
}

CostModel::RouteCost &CostModel::routeCost(const RequestTraits &Request) {
  const Duration Assumed =
      Request.Objective_.count() > 0
          ? Duration(static_cast<Duration::rep>(
                static_cast<double>(Request.Objective_.count()) /
                ObjectiveFactor))
          : AssumedWork;
  return Routes_.findOrCreate(Request.Route_, Assumed);
}

CostModel::Factor *CostModel::workspaceFactor(const RequestTraits &Request) {
  if (Request.Workspace_.empty())
    return nullptr;
  return &WorkspaceFactors_.findOrCreate(Request.Route_ + "\n" +
                                         Request.Workspace_.str());
}

double CostModel::factorOf(const RequestTraits &Request) {
  const RouteCost &Route = routeCost(Request);
  const Factor *Workspace = workspaceFactor(Request);
  return Route.ByBody_[bodyClass(Request.BodyBytes_)].value() *
         (Workspace ? Workspace->value() : 1);
}

WorkEstimate CostModel::estimate(const RequestTraits &Request) {
  return WorkEstimate(routeCost(Request).Work_, factorOf(Request));
}

double CostModel::recordCompleted(const RequestTraits &Request,
                                  const WorkEstimate &Predicted,
                                  Duration Work) {
  // The estimate follows what is learned, so it is read before this sample.
  const double Expected = std::max(seconds(Predicted.mean()), 1e-6);
  RouteCost &Route = routeCost(Request);
  Factor *Workspace = workspaceFactor(Request);
  Factor &Body = Route.ByBody_[bodyClass(Request.BodyBytes_)];
  const double BodyFactor = Body.value();
  const double WorkspaceFactor = Workspace ? Workspace->value() : 1;
  // Each factor learns what the others leave unexplained.
  const double Ratio =
      seconds(Work) / std::max(seconds(Route.Work_->mean()), 1e-6);
  Body.add(Ratio / WorkspaceFactor);
  if (Workspace)
    Workspace->add(Ratio / BodyFactor);
  Route.Work_->addCompleted(
      fromSeconds(seconds(Work) / (BodyFactor * WorkspaceFactor)));

  const double Measured = std::max(seconds(Work), 1e-6);
  const double Error = std::max(Expected / Measured, Measured / Expected);
  Route.MedianError_.add(Error);
  Route.HighError_.add(Error);
  ++Counts_.Completed_;
  Counts_.Close_ += Error <= PredictionCounts::CloseFactor ? 1 : 0;
  Counts_.Wrong_ += Error > PredictionCounts::WrongFactor ? 1 : 0;
  Counts_.PredictedSeconds_ += Expected;
  Counts_.MeasuredSeconds_ += Measured;
  return Error;
}

void CostModel::recordCensored(const RequestTraits &Request, Duration RanFor) {
  const double Expected = factorOf(Request);
  routeCost(Request).Work_->addCensored(
      fromSeconds(seconds(RanFor) / Expected));
}

std::string CostModel::describe() const {
  std::string Text;
  std::size_t Count = 0;
  const auto Tenths = [](double Value) {
    const long Scaled = std::lround(Value * 10);
    return std::to_string(Scaled / 10) + "." + std::to_string(Scaled % 10);
  };
  for (const std::pair<std::string, RouteCost> &Route : Routes_.entries()) {
    if (++Count > MaxDescribed)
      break;
    Text += Route.first + " " +
            std::to_string(toMilliseconds(Route.second.Work_->mean())) + "ms " +
            Tenths(Route.second.MedianError_.value()) + "x " +
            Tenths(Route.second.HighError_.value()) + "x; ";
  }
  return Text;
}

} // namespace kumquatpitch
