// One daemon's decisions. See host-core.h.

#include "kumquatpitch/host-core.h"

#include "kumquatpitch/assignment.h"
#include "kumquatpitch/metrics-format.h"

#include <algorithm>

namespace kumquatpitch {

static void append(CoreActions &Actions, const CoreActions &More) {
  Actions.insert(Actions.end(), More.begin(), More.end());
}

static std::string describeFault(const HostFault &Fault) {
  if (Fault.Cause_ == HostFaultCause::LateTimer)
    return "own pause of " + std::to_string(toMilliseconds(Fault.Lateness_)) +
           " ms noticed; no target is ejected for it";
  return "many targets of " + std::to_string(Fault.Services_) +
         " services turned bad at once; taken as this host's own fault";
}

HostCore::HostCore(HostIdentity Self, HostServices Services, TimePoint Start)
    : Self_(std::move(Self)), Start_(Start), Random_(Services.Random_),
      Log_(Services.Log_),
      Exchange_(Self_.Id_, Self_.Incarnation_, Self_.Seeds_,
                Services.Transport_, Metrics_),
      Peers_(Self_.Id_),
      Sync_(ConfigSyncOptions{PeerContact{Self_.Id_, Self_.Domain_,
                                          Self_.PeerAddress_},
                              Self_.Customers_, Self_.Seeds_},
            Random_, Start),
      Flow_(Self_.Id_, Self_.Incarnation_, Start, Metrics_),
      NextHeartbeat_(Start), NextConfigTick_(Start), LastTick_(Start),
      NotLiveSince_(Start) {}

CoreActions HostCore::onPlatformReply(const PlatformReply &Reply,
                                      TimePoint Now) {
  return applyConfig(Sync_.onPlatformReply(Reply, Now), Now);
}

CoreActions HostCore::applyConfig(const ConfigActions &Changes, TimePoint Now) {
  for (const std::string &Note : Changes.Notes_)
    Log_.log(LogLevel::Info, "config", Note);
  for (const PeerSend &Each : Changes.Sends_)
    Exchange_.send(Each.To_, Each.ToId_, Each.Body_);
  if (Changes.HostsChanged_)
    noteHostList(Now);
  if (Changes.HostsChanged_ || Changes.CatalogChanged_)
    renewServices(Now);
  return CoreActions(Changes.Calls_.begin(), Changes.Calls_.end());
}

void HostCore::noteHostList(TimePoint Now) {
  Hosts_ = Sync_.hostList();
  Exchange_.setHosts(Hosts_);
  const HostRecord *Own = findHost(Hosts_, Self_.Id_);
  if (Own && Own->State_ == HostState::Live)
    NotLiveSince_.reset();
  else if (!NotLiveSince_)
    NotLiveSince_ = Now;
}

bool HostCore::isReady(TimePoint Now) const {
  if (IsLeaving_ || !Sync_.isReady(Now) || Sync_.catalog()->Version_ == 0)
    return false;
  return std::none_of(Services_.begin(), Services_.end(),
                      [Now](const ServiceMap::value_type &Each) {
                        return Each.second->isAssigned() &&
                               !Each.second->isSettled(Now);
                      });
}

void HostCore::renewServices(TimePoint Now) {
  const Assignment Assigned(Hosts_);
  ServiceMap Renewed;
  for (const std::pair<const CustomerName, CustomerConfig> &Each :
       Sync_.catalog()->Customers_)
    for (const ServiceTerms &Terms : Each.second.Contract_->Services_) {
      const std::shared_ptr<const ServiceEntry> Entry =
          Each.second.Services_.at(Terms.Service_);
      ServiceConfig Config{Each.second.Contract_, &Terms, Entry,
                           Assigned.group(*Entry)};
      const ServiceMap::iterator Known = Services_.find(Terms.Service_);
      if (Known == Services_.end()) {
        Renewed.emplace(Terms.Service_, std::make_shared<ServiceRuntime>(
                                            std::move(Config), Self_.Id_,
                                            Self_.Incarnation_, Random_, Now));
        continue;
      }
      Known->second->setConfig(std::move(Config), Now);
      Renewed.insert(*Known);
    }
  Services_ = std::move(Renewed);
  renewPeers();
}

void HostCore::renewPeers() {
  GroupPeers_.clear();
  std::map<ServiceName, std::size_t> TargetCounts;
  for (const ServiceMap::value_type &Each : Services_) {
    if (!Each.second->isAssigned())
      continue;
    TargetCounts.emplace(Each.first, Each.second->entry().Targets_.size());
    for (const GroupMember &Member : Each.second->config().Group_.Members_)
      GroupPeers_.insert(Member.Host_);
  }
  GroupPeers_.erase(Self_.Id_);
  Faults_.setServices(std::move(TargetCounts));
}

std::uint64_t HostCore::maxBodyBytes(const CustomerName &Customer,
                                     std::string_view Method,
                                     std::string_view Target) const {
  const Contract *Terms = findContract(*Sync_.catalog(), Customer);
  if (!Terms)
    return 0;
  const RouteMatch Match = findRoute(*Terms, Method, Target);
  return Match.Terms_ ? Match.Terms_->MaxBodyBytes_ : 0;
}

/// Refuses before the token is checked. A request with one may have run under
/// an earlier incarnation, and a copy of it may yet run here.
FlowStep HostCore::refuseEarly(ResultCode Code, const std::string &Message,
                               const CallerRequest &Request) {
  const Outcome Known =
      Request.Token_.empty() ? Outcome::NotRun : Outcome::Unknown;
  return FlowStep{0, RequestRefusal{Code, Known, Message, {}}};
}

FlowStep HostCore::admit(const CallerRequest &Request, TimePoint Now) {
  if (!Sync_.isReady(Now))
    return refuseEarly(ResultCode::NotReady, "no configuration yet", Request);
  const Contract *Terms = findContract(*Sync_.catalog(), Request.Customer_);
  const RouteMatch Match =
      Terms ? findRoute(*Terms, Request.Method_, Request.Target_)
            : RouteMatch();
  if (!Match.Route_)
    return refuseEarly(ResultCode::RouteUnknown,
                       "no route of the contract matches", Request);
  const RoutedRequest Routed{Request, Match.Route_->Idempotent_,
                             Services_.at(Match.Terms_->Service_)};
  return Flow_.admit(Routed, Now);
}

CoreActions HostCore::finishAttempt(FlowId Flow, const AttemptReport &Report,
                                    TimePoint Now) {
  if (Report.Draining_)
    tellOfDraining(Flow);
  return Flow_.finishAttempt(Flow, Report, Now);
}

CoreActions HostCore::abandon(FlowId Flow, TimePoint Now) {
  return Flow_.abandon(Flow, Now);
}

bool HostCore::mayWrite(FlowId Flow, TimePoint Now) const {
  return Flow_.mayWrite(Flow, Now);
}

CoreActions HostCore::tick(TimePoint Now) {
  if (Now >= NextHeartbeat_) {
    NextHeartbeat_ = Now + HeartbeatPeriod;
    sendHeartbeats(Now);
    Peers_.expire(Now);
  }
  CoreActions Actions = Flow_.tick(Now);
  evaluateTargets(Actions, Now);
  tickConfig(Actions, Now);
  return Actions;
}

void HostCore::evaluateService(ServiceRuntime &Service, CoreActions &Actions,
                               TimePoint Now) {
  const ServiceName &Name = Service.entry().Service_;
  for (const HealthChange &Change : Service.evaluate(Now)) {
    if (Change.Kind_ != HealthChangeKind::Suspected)
      Log_.log(LogLevel::Info, "detector", describeChange(Name, Change));
    append(Actions, Flow_.onHealthChange(Service, Change));
  }
  for (const TargetId &Suspect : Service.health().suspects())
    Faults_.targetTurnedBad(Name, Suspect, Now);
}

void HostCore::tickConfig(CoreActions &Actions, TimePoint Now) {
  if (Now < NextConfigTick_)
    return;
  NextConfigTick_ = Now + ConfigTickPeriod;
  std::set<HostId> OneWay;
  for (const HostId &Peer : GroupPeers_)
    if (Peers_.heard(Peer, Now) && !Peers_.hearsUs(Peer, Now))
      OneWay.insert(Peer);
  Sync_.setOneWayPeers(std::move(OneWay));
  append(Actions, applyConfig(Sync_.tick(Now), Now));
  reportTargets(Now);
}

void HostCore::evaluateTargets(CoreActions &Actions, TimePoint Now) {
  Faults_.timerFired(LastTick_ + TickPeriod, Now);
  LastTick_ = Now;
  const std::optional<HostFault> Fault = Faults_.ownFaultSuspected(Now);
  if (Fault && !IsFaultLogged_)
    Log_.log(LogLevel::Warning, "detector", describeFault(*Fault));
  IsFaultLogged_ = Fault.has_value();
  for (const ServiceMap::value_type &Each : Services_) {
    Each.second->applyDueSlots(Now);
    if (Fault)
      Each.second->health().clearEvidence(Now);
    else
      evaluateService(*Each.second, Actions, Now);
    append(Actions, Flow_.serveQueue(*Each.second, Now));
    askForQuota(*Each.second, Now);
  }
}

void HostCore::beginStop(TimePoint Now) {
  if (IsLeaving_)
    return;
  IsLeaving_ = true;
  LeavingSince_ = Now;
  sendHeartbeats(Now);
  Log_.log(LogLevel::Info, "stop", "leaving; no new callers are sent here");
}

bool HostCore::mayStop(TimePoint Now) const {
  // Hosts of the group learn of the stop by heartbeats, all others by the list.
  // Each may have given this host's address until then, to be kept for a while.
  return IsLeaving_ && Flow_.inProgress() == 0 && NotLiveSince_ &&
         Now - LeavingSince_ > AddressKeepTime + HeartbeatTimeout &&
         Now - *NotLiveSince_ > AddressKeepTime + ListSettleTime;
}

} // namespace kumquatpitch
