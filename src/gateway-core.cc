// Decisions about requests. See gateway-core.h.

#include "kumquatpitch/gateway-core.h"

#include <algorithm>
#include <tuple>

namespace kumquatpitch {

namespace {

/// Part of the resend ratio that is used; the rest covers requests that arrive
/// later than they are counted.
constexpr double UsedRatio = 0.9;
/// How soon a caller may come back when configuration or targets are missing:
/// about the time in which they are read.
constexpr Duration StateRetryAfter = std::chrono::milliseconds(500);
/// Shortest wait named to a refused caller.
constexpr Duration LeastRetryAfter = std::chrono::milliseconds(100);
/// An answer needs this much of the time left to reach the caller.
constexpr Duration DeliveryTime = std::chrono::milliseconds(15);
/// A second target is asked when the first takes this many times the usual.
constexpr double HedgeFactor = 3;
/// Until a route's latencies are known, its objective stands in for this many
/// times the usual.
constexpr double ObjectiveFactor = 3;
constexpr double LatencyWeight = 0.05;
/// Resends that are kept for requests that fail unexpectedly: trials are made
/// only while more are left.
constexpr double TrialReserve = 2;
/// Parts of the fleet's resend slack that the hosts which callers are told to
/// use divide, and that all hosts divide. The rest covers hosts whose views of
/// the fleet differ.
constexpr double CallerHostsSlack = 0.75;
constexpr double OtherHostsSlack = 0.1;

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
    const std::map<ServiceName, std::vector<Member>> &Groups,
    std::size_t AliveHosts) {
  SlackParts_.clear();
  for (std::pair<const ServiceName, Service> &Each : Services_)
    if (!Groups.count(Each.first))
      Each.second.Balancer_.setGroup({});
  for (const std::pair<const ServiceName, std::vector<Member>> &Each : Groups) {
    serviceOf(Each.first).Balancer_.setGroup(Each.second);
    if (std::any_of(
            Each.second.begin(), Each.second.end(),
            [&](const Member &Host) { return Host.Id_ == Terms_.Host_; }))
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
    const double Usual = toSeconds(usualLatency(*Each->Route_));
    const double TimeLeft = toSeconds(Each->GiveUpAt_ - Now);
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

const TargetBalancer *GatewayCore::balancer(const ServiceName &Name) const {
  const std::map<ServiceName, Service>::const_iterator It =
      Services_.find(Name);
  return It == Services_.end() ? nullptr : &It->second.Balancer_;
}

} // namespace kumquatpitch
