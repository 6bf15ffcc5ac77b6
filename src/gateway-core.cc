// Decisions about requests. See gateway-core.h.

#include "kumquatpitch/gateway-core.h"

#include <algorithm>
#include <tuple>

namespace kumquatpitch {

namespace {

/// Part of the resend ratio that is used; the rest covers requests that arrive
/// later than they are counted.
constexpr double UsedRatio = 0.9;
/// Attempts that found no connection, besides those that were sent.
constexpr std::uint32_t MaxUnconnected = 3;
/// How soon a caller may come back when configuration or targets are missing:
/// about the time in which they are read.
constexpr Duration StateRetryAfter = std::chrono::milliseconds(500);
/// Shortest wait named to a refused caller.
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(100);
/// An answer needs this much of the time left to reach the caller.
constexpr Duration DeliveryTime = std::chrono::milliseconds(15);
/// A failure this close to the deadline is the target's own time limit.
constexpr Duration DeadlineMargin = std::chrono::milliseconds(50);
/// Least time in which a resend has a chance.
constexpr Duration LeastResendTime = std::chrono::milliseconds(60);
/// A second target is asked when the first takes this many times the usual.
constexpr double HedgeFactor = 3;
/// Until a route's latencies are known, its objective stands in for this many
/// times the usual.
constexpr double ObjectiveFactor = 3;
constexpr double LatencyWeight = 0.05;
/// Resends that are kept for requests that fail unexpectedly: trials and hedges
/// are made only while more are left.
constexpr double TrialReserve = 2;
constexpr double HedgeReserve = 3;
/// A failure within this part of the usual latency came before any work, as
/// gray failures mostly do. Where that part is shorter than this, nothing can
/// be told from the time.
constexpr double LateFailurePart = 0.25;
constexpr Duration LeastLateFailure = std::chrono::milliseconds(20);
/// Parts of the fleet's resend slack that the hosts which callers are told to
/// use divide, and that all hosts divide. The rest covers hosts whose views of
/// the fleet differ.
constexpr double CallerHostsSlack = 0.75;
constexpr double OtherHostsSlack = 0.1;
/// Services with fewer requests lately than this say nothing about the floor.
constexpr double LeastTally = 0.5;

std::string keyOf(const VirtualRoute &Of) {
  return Of.Host_ + " " + Of.Prefix_;
}

} // namespace

const char *attemptOutcomeName(AttemptOutcome Result) {
  switch (Result) {
  case AttemptOutcome::Success:
    return "success";
  case AttemptOutcome::Failure:
    return "failure";
  case AttemptOutcome::Refused:
    return "refused";
  case AttemptOutcome::OtherInstance:
    return "other_instance";
  case AttemptOutcome::NotConnected:
    return "not_connected";
  case AttemptOutcome::Broken:
    return "broken";
  case AttemptOutcome::TimedOut:
    return "timed_out";
  case AttemptOutcome::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

GatewayCore::GatewayCore(GatewayTerms Terms, RandomSource &Random)
    : Terms_(std::move(Terms)), Random_(Random) {}

void GatewayCore::setTable(std::shared_ptr<const RouteTable> Table) {
  Table_ = std::move(Table);
  SplitCredits_.clear();
}

GatewayCore::Service &GatewayCore::serviceOf(const ServiceName &Name) {
  return Services_.try_emplace(Name, Terms_).first->second;
}

void GatewayCore::setTargets(const std::map<TargetId, TargetEntry> &Targets,
                             TimePoint Now) {
  std::map<ServiceName, std::vector<TargetEntry>> ByService;
  for (std::pair<const ServiceName, Service> &Each : Services_)
    ByService[Each.first];
  for (const std::pair<const TargetId, TargetEntry> &Each : Targets)
    ByService[Each.second.Service_].push_back(Each.second);
  for (const std::pair<const ServiceName, std::vector<TargetEntry>> &Each :
       ByService)
    serviceOf(Each.first).Balancer_.setTargets(Each.second, Now);
}

GatewayRefusal GatewayCore::refuse(ResultCode Code,
                                   std::optional<Duration> RetryAfter) const {
  return GatewayRefusal{Code, httpStatus(Code), RetryAfter};
}

/// One step of smooth weighted round robin; gives the share that is next.
static std::size_t nextShare(const std::vector<ServiceShare> &Shares,
                             std::vector<double> &Credits) {
  double Total = 0;
  std::size_t Best = 0;
  for (std::size_t Index = 0; Index < Shares.size(); ++Index) {
    Total += Shares[Index].Weight_;
    Credits[Index] += Shares[Index].Weight_;
    if (Credits[Index] > Credits[Best])
      Best = Index;
  }
  Credits[Best] -= Total;
  return Best;
}

const ServiceName &GatewayCore::chooseService(const VirtualRoute &Chosen) {
  if (Chosen.Shares_.size() == 1)
    return Chosen.Shares_.front().Service_;
  std::vector<double> &Credits = SplitCredits_[keyOf(Chosen)];
  if (Credits.size() != Chosen.Shares_.size()) {
    // Hosts begin at different places of the sequence: with few requests each,
    // they would together send too few to the smaller shares.
    Credits.assign(Chosen.Shares_.size(), 0);
    constexpr std::uint64_t MostSteps = 1'000;
    for (std::uint64_t Left = Random_.below(MostSteps); Left > 0; --Left)
      nextShare(Chosen.Shares_, Credits);
  }
  return Chosen.Shares_[nextShare(Chosen.Shares_, Credits)].Service_;
}

std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>>
GatewayCore::admit(const RequestHead &Head, TimePoint Now) {
  if (!Table_)
    return refuse(ResultCode::NotReady, StateRetryAfter);
  const VirtualRoute *Found = Table_->find(Head.Host_, Head.Path_);
  if (!Found)
    return refuse(ResultCode::RouteUnknown, std::nullopt);
  const std::shared_ptr<GatewayRequest> Request =
      std::make_shared<GatewayRequest>();
  Request->Table_ = Table_;
  Request->Route_ = Found;
  Request->Service_ = chooseService(*Found);
  Request->ArrivedAt_ = Now;
  Duration Left = Found->Timeout_;
  if (Head.TimeLeft_)
    Left = std::min(Left, *Head.TimeLeft_);
  Request->GiveUpAt_ = Now + Left;
  serviceOf(Request->Service_).Budget_.requestArrived(Now);
  return Request;
}

void GatewayCore::setGroups(
    const std::map<ServiceName, std::vector<GroupHost>> &Groups,
    std::size_t AliveHosts) {
  SlackParts_.clear();
  for (const std::pair<const ServiceName, std::vector<GroupHost>> &Each :
       Groups) {
    serviceOf(Each.first).Balancer_.setGroup(Each.second);
    if (std::any_of(
            Each.second.begin(), Each.second.end(),
            [&](const GroupHost &Host) { return Host.Id_ == Terms_.Host_; }))
      SlackParts_[Each.first] =
          CallerHostsSlack / static_cast<double>(Each.second.size());
  }
  RestSlackPart_ = OtherHostsSlack /
                   static_cast<double>(std::max<std::size_t>(1, AliveHosts));
}

ResendTerms GatewayCore::resendTerms(const ServiceName &Of) const {
  const std::map<ServiceName, double>::const_iterator It = SlackParts_.find(Of);
  const double Part = It == SlackParts_.end() ? RestSlackPart_ : It->second;
  return ResendTerms{Terms_.ResendRatio_ * UsedRatio,
                     Terms_.ResendSlack_ * Part, Terms_.ResendWindow_};
}

Duration GatewayCore::usualLatency(const VirtualRoute &Of) const {
  const std::map<std::string, double>::const_iterator It =
      Latencies_.find(keyOf(Of));
  return It == Latencies_.end()
             ? Duration::zero()
             : Duration(static_cast<Duration::rep>(It->second));
}

void GatewayCore::noteLatency(const VirtualRoute &Of, Duration Latency) {
  const double Sample = static_cast<double>(Latency.count());
  double &Mean = Latencies_.try_emplace(keyOf(Of), Sample).first->second;
  Mean += (Sample - Mean) * LatencyWeight;
}

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

/// The usual latency, or what the objective lets expect while it is unknown: a
/// host that has just started would else take its first failures at gray
/// targets for ordinary ones.
Duration GatewayCore::expectedLatency(const VirtualRoute &Of) const {
  const Duration Usual = usualLatency(Of);
  return Usual.count() > 0 ? Usual
                           : Duration(static_cast<Duration::rep>(
                                 static_cast<double>(Of.Objective_.count()) /
                                 ObjectiveFactor));
}

Duration GatewayCore::hedgeDelay(const VirtualRoute &Of) const {
  return Duration(static_cast<Duration::rep>(
      HedgeFactor * static_cast<double>(expectedLatency(Of).count())));
}

GatewayAttempt GatewayCore::start(GatewayRequest &Request, Service &Of,
                                  const TargetPick &Pick, bool IsResend,
                                  TimePoint Now) {
  GatewayAttempt Order{Pick.Target_, Now, Pick.IsTrial_, IsResend,
                       std::nullopt};
  Of.Balancer_.attemptStarted(Pick.Target_.Id_, Now);
  Request.Tried_.insert(Pick.Target_.Id_);
  ++Request.InProgress_;
  if (Request.Route_->Idempotent_ && !Request.IsHedged_ &&
      Request.Route_->MaxTargets_ > Request.Sent_ + Request.InProgress_)
    Order.HedgeAt_ = Now + hedgeDelay(*Request.Route_);
  return Order;
}

PickTerms GatewayCore::pickTerms(const GatewayRequest &Request, Service &Of,
                                 TimePoint Now) const {
  PickTerms Terms;
  Terms.Tried_ = Request.Tried_;
  Terms.MayRepeat_ =
      Request.Route_->Idempotent_ &&
      Request.Route_->MaxTargets_ > Request.Sent_ + 1 &&
      Of.Budget_.left(resendTerms(Request.Service_), Now) >= TrialReserve;
  Terms.TimeLeft_ = Request.GiveUpAt_ - Now;
  Terms.Usual_ = usualLatency(*Request.Route_);
  return Terms;
}

Placement GatewayCore::tryToPlace(GatewayRequest &Request, Service &Of,
                                  TimePoint Now) {
  const PickTerms Terms = pickTerms(Request, Of, Now);
  if (Terms.TimeLeft_ <= DeliveryTime)
    return giveUp(Request);
  const std::optional<TargetPick> Pick = Of.Balancer_.pick(Terms, Now, Random_);
  if (Pick)
    return start(Request, Of, *Pick, Request.Sent_ > 0, Now);
  if (!Of.Balancer_.hasTarget(Terms, Now))
    return Request.Tried_.empty()
               ? refuse(ResultCode::NoTarget, StateRetryAfter)
               : giveUp(Request);
  if (static_cast<double>(Terms.Usual_.count()) >
      static_cast<double>(Terms.TimeLeft_.count()) * HopelessFactor)
    return giveUp(Request);
  return WaitsForRoom{};
}

Placement GatewayCore::place(const std::shared_ptr<GatewayRequest> &Request,
                             TimePoint Now) {
  Service &Of = serviceOf(Request->Service_);
  // Those that wait already go first, by the order of orderWaiting().
  Placement Placed = Of.Waiting_.empty() ? tryToPlace(*Request, Of, Now)
                                         : Placement(WaitsForRoom{});
  if (std::holds_alternative<WaitsForRoom>(Placed)) {
    Request->Waits_ = true;
    Of.Waiting_.push_back(Request);
    Of.Balancer_.setCrowded(true);
  }
  return Placed;
}

/// Sorts by what each request can still earn: those that can be answered within
/// their objective first, the more urgent and then the earliest first.
void GatewayCore::orderWaiting(Service &Of, TimePoint Now) const {
  const auto Key = [&](const std::shared_ptr<GatewayRequest> &Each) {
    const VirtualRoute &By = *Each->Route_;
    const TimePoint Aim = Each->ArrivedAt_ + By.Objective_;
    const bool IsLate = Now + usualLatency(By) > Aim;
    return std::make_tuple(IsLate, By.Priority_,
                           IsLate ? Each->GiveUpAt_ : Aim);
  };
  std::stable_sort(Of.Waiting_.begin(), Of.Waiting_.end(),
                   [&](const std::shared_ptr<GatewayRequest> &Left,
                       const std::shared_ptr<GatewayRequest> &Right) {
                     return Key(Left) < Key(Right);
                   });
}

/// A request that may run again is better sent to an ejected target than
/// refused; of another, the caller rather hears that it has not run.
Placement GatewayCore::lastPlacement(GatewayRequest &Request, Service &Of,
                                     TimePoint Now) {
  if (!Request.Route_->Idempotent_ || Request.Sent_ > 0)
    return giveUp(Request);
  PickTerms Terms = pickTerms(Request, Of, Now);
  Terms.IsLastResort_ = true;
  const std::optional<TargetPick> Pick = Of.Balancer_.pick(Terms, Now, Random_);
  if (!Pick)
    return giveUp(Request);
  return start(Request, Of, *Pick, false, Now);
}

void GatewayCore::releaseService(Service &Of, TimePoint Now, Released &Out) {
  if (Of.Waiting_.empty())
    return;
  orderWaiting(Of, Now);
  std::vector<std::shared_ptr<GatewayRequest>> Left;
  bool IsFull = false;
  for (const std::shared_ptr<GatewayRequest> &Each : Of.Waiting_) {
    // Once one found no room, those behind it would take the room of trials
    // only; they are checked for their time.
    const Placement Placed =
        IsFull ? Placement(WaitsForRoom{}) : tryToPlace(*Each, Of, Now);
    if (!std::holds_alternative<WaitsForRoom>(Placed)) {
      Each->Waits_ = false;
      Out.emplace_back(Each, Placed);
      continue;
    }
    IsFull = true;
    const double Ahead = static_cast<double>(Left.size());
    const double Wait = Ahead / std::max(1.0, Of.Balancer_.drainRate(Now));
    const double Usual =
        std::chrono::duration<double>(usualLatency(*Each->Route_)).count();
    const double TimeLeft =
        std::chrono::duration<double>(Each->GiveUpAt_ - Now).count();
    if (Wait + Usual / HopelessFactor > TimeLeft) {
      Each->Waits_ = false;
      Out.emplace_back(Each, lastPlacement(*Each, Of, Now));
      continue;
    }
    Left.push_back(Each);
  }
  Of.Waiting_ = std::move(Left);
  Of.Balancer_.setCrowded(!Of.Waiting_.empty());
}

GatewayCore::Released GatewayCore::release(TimePoint Now) {
  Released Out;
  for (std::pair<const ServiceName, Service> &Each : Services_)
    releaseService(Each.second, Now, Out);
  return Out;
}

void GatewayCore::withdraw(const GatewayRequest &Request) {
  if (!Request.Waits_)
    return;
  std::erase_if(serviceOf(Request.Service_).Waiting_,
                [&](const std::shared_ptr<GatewayRequest> &Each) {
                  return Each.get() == &Request;
                });
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

GatewayRefusal GatewayCore::giveUp(const GatewayRequest &Request) const {
  if (Request.MayHaveRun_ || Request.InProgress_ > 0)
    return refuse(ResultCode::BackendTimeout, std::nullopt);
  const TargetBalancer *Targets = balancer(Request.Service_);
  const Duration Room =
      Targets
          ? std::max(LeastRetryAfter, Targets->expectedRoom(Request.ArrivedAt_))
          : StateRetryAfter;
  return refuse(ResultCode::BackendRefused, Room);
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

const TargetBalancer *GatewayCore::balancer(const ServiceName &Name) const {
  const std::map<ServiceName, Service>::const_iterator It =
      Services_.find(Name);
  return It == Services_.end() ? nullptr : &It->second.Balancer_;
}

} // namespace kumquatpitch
