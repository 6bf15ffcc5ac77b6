// Hedges, the end of an attempt and what follows from it, and what hosts tell
// each other about targets and requests. See gateway-core.h.

#include "kumquatpitch/gateway-core.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

/// Attempts that found no connection, besides those that were sent.
constexpr std::uint32_t MaxUnconnected = 3;
/// A failure this close to the deadline is the target's own time limit.
constexpr Duration DeadlineMargin = std::chrono::milliseconds(50);
/// Least time in which a resend has a chance.
constexpr Duration LeastResendTime = std::chrono::milliseconds(60);
/// Hedges are made only while more resends than this are left for requests that
/// fail unexpectedly.
constexpr double HedgeReserve = 3;
/// A failure within this part of the usual latency came before any work, as
/// gray failures mostly do. Where that part is shorter than this, nothing can
/// be told from the time.
constexpr double LateFailurePart = 0.25;
constexpr Duration LeastLateFailure = std::chrono::milliseconds(20);
/// Services with fewer requests lately than this say nothing about the floor.
constexpr double LeastTally = 0.5;

} // namespace

AttemptEvidence GatewayCore::evidenceOf(const GatewayRequest &Request,
                                        const GatewayAttempt &Order,
                                        AttemptOutcome Result,
                                        TimePoint Now) const {
  switch (Result) {
  case AttemptOutcome::Success:
    return AttemptEvidence::Answered;
  case AttemptOutcome::Failure: {
    // The target gave up at the deadline that it was given.
    if (Request.GiveUpAt_ - Now < DeadlineMargin)
      return AttemptEvidence::None;
    const Duration Early(static_cast<Duration::rep>(
        LateFailurePart *
        static_cast<double>(expectedLatency(*Request.Route_).count())));
    return Early >= LeastLateFailure && Now - Order.StartedAt_ < Early
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

std::optional<GatewayAttempt> GatewayCore::placeHedge(GatewayRequest &Request,
                                                      TimePoint Now) {
  Service &Of = serviceOf(Request.Service_);
  if (Request.IsHedged_ || !Request.Route_->Idempotent_ ||
      Request.Sent_ + Request.InProgress_ >= Request.Route_->MaxTargets_ ||
      Request.GiveUpAt_ - Now < LeastResendTime ||
      Of.Budget_.left(resendTerms(Request.Service_), Now) < HedgeReserve)
    return std::nullopt;
  const std::optional<TargetPick> Pick =
      Of.Balancer_.pick(pickTerms(Request, Of, Now), Now, Random_);
  if (!Pick || Of.Balancer_.isEjected(Pick->Target_.Id_) ||
      !Of.Budget_.take(resendTerms(Request.Service_), Now))
    return std::nullopt;
  Request.IsHedged_ = true;
  return start(Request, Of, *Pick, true, Now);
}

GatewayDecision GatewayCore::attemptEnded(GatewayRequest &Request,
                                          const GatewayAttempt &Order,
                                          AttemptOutcome Result,
                                          std::optional<ReportedLoad> Load,
                                          TimePoint Now) {
  --Request.InProgress_;
  const AttemptEvidence Evidence = evidenceOf(Request, Order, Result, Now);
  TargetBalancer &Balancer = serviceOf(Request.Service_).Balancer_;
  Balancer.attemptEnded(Order.Target_.Id_, Order.StartedAt_, Evidence,
                        usualLatency(*Request.Route_), Load, Now);
  if (Result == AttemptOutcome::Success)
    noteLatency(*Request.Route_, Now - Order.StartedAt_);
  if (Result == AttemptOutcome::NotConnected)
    ++Request.Connecting_;
  else
    ++Request.Sent_;
  if (Result == AttemptOutcome::Success || Result == AttemptOutcome::Failure ||
      Result == AttemptOutcome::Broken || Result == AttemptOutcome::TimedOut)
    Request.MayHaveRun_ = true;
  GatewayDecision Next =
      Result == AttemptOutcome::Success
          ? GatewayDecision{GatewayStep::Deliver, {}, std::nullopt}
          : afterFailure(Request, Result, Now);
  // What is unreachable from here or silent may be a matter of the path.
  if (Evidence == AttemptEvidence::FailedLate ||
      Evidence == AttemptEvidence::Unreachable ||
      Evidence == AttemptEvidence::Silent)
    Next.News_ = TargetNews::Doubtful;
  else if (Evidence == AttemptEvidence::Answered && Order.IsTrial_)
    Next.News_ = TargetNews::Recovered;
  else if (Evidence == AttemptEvidence::Failed)
    Next.News_ = TargetNews::Failed;
  else if (Evidence == AttemptEvidence::Gone)
    Next.News_ = TargetNews::Gone;
  return Next;
}

GatewayDecision GatewayCore::afterFailure(GatewayRequest &Request,
                                          AttemptOutcome Result,
                                          TimePoint Now) {
  if (Request.InProgress_ > 0)
    return GatewayDecision{GatewayStep::Wait, {}, std::nullopt};
  const bool HasTime = Request.GiveUpAt_ - Now >= LeastResendTime;
  const bool MayRepeat = Request.Route_->Idempotent_ || !Request.MayHaveRun_;
  if (HasTime && MayRepeat && Result != AttemptOutcome::TimedOut) {
    if (Result == AttemptOutcome::NotConnected &&
        Request.Connecting_ <= MaxUnconnected)
      return GatewayDecision{GatewayStep::Resend, {}, std::nullopt};
    if (Request.Sent_ < Request.Route_->MaxTargets_ &&
        serviceOf(Request.Service_)
            .Budget_.take(resendTerms(Request.Service_), Now))
      return GatewayDecision{GatewayStep::Resend, {}, std::nullopt};
  }
  if (Result == AttemptOutcome::Failure)
    return GatewayDecision{GatewayStep::Deliver, {}, std::nullopt};
  if (Result == AttemptOutcome::Broken)
    return GatewayDecision{GatewayStep::Fail,
                           refuse(ResultCode::BackendBroken, std::nullopt),
                           std::nullopt};
  return GatewayDecision{GatewayStep::Fail, giveUp(Request), std::nullopt};
}

void GatewayCore::requestEnded(const GatewayRequest &Request, bool Served,
                               TimePoint Now) {
  serviceOf(Request.Service_).Balancer_.requestEnded(Served, Now);
}

std::map<ServiceName, ServiceTally> GatewayCore::tallies(TimePoint Now) const {
  std::map<ServiceName, ServiceTally> Out;
  for (const std::pair<const ServiceName, Service> &Each : Services_) {
    const ServiceTally Of = Each.second.Balancer_.tally(Now);
    if (Of.Ended_ >= LeastTally)
      Out[Each.first] = Of;
  }
  return Out;
}

void GatewayCore::peerTally(const HostId &From, const ServiceName &Name,
                            const ServiceTally &Of, TimePoint Now) {
  const std::map<ServiceName, Service>::iterator It = Services_.find(Name);
  if (It != Services_.end())
    It->second.Balancer_.peerTally(From, Of, Now);
}

void GatewayCore::peerEvidence(const ServiceName &Name, const TargetId &Id,
                               TargetNews News, TimePoint Now) {
  const std::map<ServiceName, Service>::iterator It = Services_.find(Name);
  if (It != Services_.end())
    It->second.Balancer_.peerEvidence(Id, News, Now);
}

} // namespace kumquatpitch
