// How long requests usually take, and what the end of an attempt shows. See
// gateway-core.h.

#include "kumquatpitch/gateway-core.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

/// A failure this close to the deadline is attributed to the target's own time
/// limit, not to a fault.
constexpr Duration DeadlineMargin = std::chrono::milliseconds(50);
/// A hedged attempt starts after this multiple of the expected latency.
constexpr double HedgeFactor = 3;
/// Until a route's latency has been measured, it is estimated as the route's
/// latency objective divided by this factor.
constexpr double ObjectiveFactor = 3;
/// Weight of a new sample in the moving average of a route's latency.
constexpr double LatencyWeight = 0.05;
/// A failure within this fraction of the expected latency came before the
/// target did any work, as most gray failures do.
constexpr double EarlyFailureFraction = 0.25;
/// When that fraction is shorter than this, the time of a failure does not show
/// whether it is a gray one.
constexpr Duration MinEarlyFailureTime = std::chrono::milliseconds(20);

} // namespace

Duration GatewayCore::meanLatency(const VirtualRoute &Route) const {
  const std::map<std::string, double>::const_iterator It =
      Latencies_.find(routeKey(Route));
  return It == Latencies_.end()
             ? Duration::zero()
             : Duration(static_cast<Duration::rep>(It->second));
}

void GatewayCore::recordLatency(const VirtualRoute &Route, Duration Latency) {
  const double Sample = static_cast<double>(Latency.count());
  double &Mean = Latencies_.try_emplace(routeKey(Route), Sample).first->second;
  Mean += (Sample - Mean) * LatencyWeight;
}

AttemptEvidence GatewayCore::classifyAttempt(const GatewayRequest &Request,
                                             const GatewayAttempt &Attempt,
                                             AttemptOutcome Outcome,
                                             TimePoint Now) const {
  switch (Outcome) {
  case AttemptOutcome::Success:
    return AttemptEvidence::Answered;
  case AttemptOutcome::Failure: {
    // The target stopped at the deadline that the request carried.
    if (Request.DeadlineAt_ - Now < DeadlineMargin)
      return AttemptEvidence::None;
    const Duration EarlyFailureTime(static_cast<Duration::rep>(
        EarlyFailureFraction *
        static_cast<double>(expectedLatency(Request).count())));
    return EarlyFailureTime >= MinEarlyFailureTime &&
                   Now - Attempt.StartedAt_ < EarlyFailureTime
               ? AttemptEvidence::Failed
               : AttemptEvidence::FailedLate;
  }
  case AttemptOutcome::Broken:
    return AttemptEvidence::Failed;
  case AttemptOutcome::Refused:
    return AttemptEvidence::Refused;
  case AttemptOutcome::OtherInstance:
    return AttemptEvidence::Gone;
  case AttemptOutcome::NotConnected:
    return AttemptEvidence::Unreachable;
  case AttemptOutcome::TimedOut:
    return AttemptEvidence::Silent;
  case AttemptOutcome::Cancelled:
    return AttemptEvidence::None;
  }
  return AttemptEvidence::None;
}

/// The expected work of the request, or the mean latency of its route where the
/// service is balanced by count; 0 while that is unknown.
Duration GatewayCore::usualLatency(const GatewayRequest &Request) const {
  return Request.Work_.isKnown() ? Request.Work_.mean()
                                 : meanLatency(*Request.Route_);
}

/// The usual latency, or an estimate from the route's latency objective until
/// one is measured. Without the estimate, a host that has just started would
/// classify the first failures of gray targets as ordinary late failures.
Duration GatewayCore::expectedLatency(const GatewayRequest &Request) const {
  const Duration Usual = usualLatency(Request);
  return Usual.count() > 0
             ? Usual
             : Duration(static_cast<Duration::rep>(
                   static_cast<double>(Request.Route_->Objective_.count()) /
                   ObjectiveFactor));
}

Duration GatewayCore::hedgeDelay(const GatewayRequest &Request) const {
  return Duration(static_cast<Duration::rep>(
      HedgeFactor * static_cast<double>(expectedLatency(Request).count())));
}

void GatewayCore::estimateWork(GatewayRequest &Request,
                               std::uint64_t BodyBytes) {
  if (ServicesByWork_.count(Request.Service_) == 0)
    return;
  Request.Traits_ =
      RequestTraits{routeKey(*Request.Route_), Request.Caller_.Workspace_,
                    BodyBytes, Request.Route_->Objective_};
  Request.Work_ = Costs_.estimate(Request.Traits_);
}

/// Learns from an attempt that ended after it had got `Work`. A refused attempt
/// did not run, and one that ended in a target's silence or in an error shows
/// nothing of its work.
std::optional<PredictedWork>
GatewayCore::learnWork(const GatewayRequest &Request, AttemptOutcome Outcome,
                       AttemptEvidence Evidence, std::optional<Duration> Work) {
  if (!Request.Work_.isKnown() || !Work)
    return std::nullopt;
  if (Outcome == AttemptOutcome::Success) {
    const Duration Predicted = Request.Work_.mean();
    const double Factor =
        Costs_.recordCompleted(Request.Traits_, Request.Work_, *Work);
    return PredictedWork{Predicted, *Work, Factor};
  }
  if (Outcome == AttemptOutcome::Cancelled ||
      Outcome == AttemptOutcome::Broken ||
      (Outcome == AttemptOutcome::TimedOut &&
       Evidence != AttemptEvidence::Silent))
    Costs_.recordCensored(Request.Traits_, *Work);
  return std::nullopt;
}

} // namespace kumquatpitch
