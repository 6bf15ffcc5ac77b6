// Requests, configuration, target health and the planned stop of one host. See
// host-core.h.

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
    return "this process was paused for " +
           std::to_string(toMilliseconds(Fault.Lateness_)) +
           " ms; target evidence is discarded, no target is ejected for it";
  return "many targets of " + std::to_string(Fault.Services_) +
         " services became suspect at once; assuming a fault of this host";
}

HostCore::HostCore(HostIdentity Self, HostDependencies Dependencies,
                   TimePoint Start)
    : Self_(std::move(Self)), Start_(Start), Random_(Dependencies.Random_),
      Log_(Dependencies.Log_),
      Exchange_(Self_.Id_, Self_.Incarnation_, Self_.Seeds_,
                Dependencies.Transport_, Metrics_),
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
  for (const std::string &Note : Changes.LogMessages_)
    Log_.log(LogLevel::Info, "config", Note);
  for (const PeerSend &Send : Changes.Sends_)
    Exchange_.send(Send.To_, Send.ToId_, Send.Body_);
  if (Changes.HostsChanged_)
    applyHostList(Now);
  if (Changes.HostsChanged_ || Changes.CatalogChanged_)
    updateServices(Now);
  return CoreActions(Changes.Calls_.begin(), Changes.Calls_.end());
}

void HostCore::applyHostList(TimePoint Now) {
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
                      [Now](const ServiceMap::value_type &Service) {
                        return Service.second->isAssigned() &&
                               !Service.second->isReadyToServe(Now);
                      });
}

void HostCore::updateServices(TimePoint Now) {
  const Assignment Groups(Hosts_);
  ServiceMap Updated;
  for (const std::pair<const CustomerName, CustomerConfig> &Customer :
       Sync_.catalog()->Customers_)
    for (const ServiceTerms &Terms : Customer.second.Contract_->Services_) {
      const std::shared_ptr<const ServiceEntry> Entry =
          Customer.second.Services_.at(Terms.Service_);
      ServiceConfig Config{Customer.second.Contract_, &Terms, Entry,
                           Groups.group(*Entry)};
      const ServiceMap::iterator Existing = Services_.find(Terms.Service_);
      if (Existing == Services_.end()) {
        Updated.emplace(Terms.Service_, std::make_shared<ServiceRuntime>(
                                            std::move(Config), Self_.Id_,
                                            Self_.Incarnation_, Random_, Now));
        continue;
      }
      Existing->second->setConfig(std::move(Config), Now);
      Updated.insert(*Existing);
    }
  Services_ = std::move(Updated);
  updateGroupPeers();
}

void HostCore::updateGroupPeers() {
  GroupPeers_.clear();
  std::map<ServiceName, std::size_t> TargetCounts;
  for (const ServiceMap::value_type &Service : Services_) {
    if (!Service.second->isAssigned())
      continue;
    TargetCounts.emplace(Service.first,
                         Service.second->entry().Targets_.size());
    for (const GroupMember &Member : Service.second->config().Group_.Members_)
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

/// Refuses a request before its token is checked. The outcome of a request with
/// a token is unknown then: it may have run under an earlier incarnation, and a
/// copy of it may still run here.
FlowStep HostCore::refuseBeforeTokenCheck(ResultCode Code,
                                          const std::string &Message,
                                          const CallerRequest &Request) {
  const Outcome RequestOutcome =
      Request.Token_.empty() ? Outcome::NotRun : Outcome::Unknown;
  return FlowStep{0, RequestRefusal{Code, RequestOutcome, Message, {}}};
}

FlowStep HostCore::admit(const CallerRequest &Request, TimePoint Now) {
  if (!Sync_.isReady(Now))
    return refuseBeforeTokenCheck(ResultCode::NotReady, "no configuration yet",
                                  Request);
  const Contract *Terms = findContract(*Sync_.catalog(), Request.Customer_);
  const RouteMatch Match =
      Terms ? findRoute(*Terms, Request.Method_, Request.Target_)
            : RouteMatch();
  if (!Match.Route_)
    return refuseBeforeTokenCheck(ResultCode::RouteUnknown,
                                  "no route of the contract matches", Request);
  const RoutedRequest Routed{Request, Match.Route_->Idempotent_,
                             Services_.at(Match.Terms_->Service_)};
  return Flow_.admit(Routed, Now);
}

CoreActions HostCore::finishAttempt(FlowId Flow, const AttemptReport &Report,
                                    TimePoint Now) {
  if (Report.Draining_)
    broadcastDraining(Flow);
  return Flow_.finishAttempt(Flow, Report, Now);
}

CoreActions HostCore::onCallerDisconnect(FlowId Flow, TimePoint Now) {
  return Flow_.onCallerDisconnect(Flow, Now);
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
    Faults_.recordSuspectTarget(Name, Suspect, Now);
}

void HostCore::tickConfig(CoreActions &Actions, TimePoint Now) {
  if (Now < NextConfigTick_)
    return;
  NextConfigTick_ = Now + ConfigTickPeriod;
  std::set<HostId> OneWayPeers;
  for (const HostId &Peer : GroupPeers_)
    if (Peers_.isAlive(Peer, Now) && !Peers_.receivesOurHeartbeats(Peer, Now))
      OneWayPeers.insert(Peer);
  Sync_.setOneWayPeers(std::move(OneWayPeers));
  append(Actions, applyConfig(Sync_.tick(Now), Now));
  reportTargetEvidence(Now);
}

void HostCore::evaluateTargets(CoreActions &Actions, TimePoint Now) {
  Faults_.timerFired(LastTick_ + TickPeriod, Now);
  LastTick_ = Now;
  const std::optional<HostFault> Fault = Faults_.suspectedHostFault(Now);
  if (Fault && !IsFaultLogged_)
    Log_.log(LogLevel::Warning, "detector", describeFault(*Fault));
  IsFaultLogged_ = Fault.has_value();
  for (const ServiceMap::value_type &Service : Services_) {
    Service.second->applyDueSlots(Now);
    if (Fault)
      Service.second->health().clearEvidence(Now);
    else
      evaluateService(*Service.second, Actions, Now);
    append(Actions, Flow_.serveQueue(*Service.second, Now));
    requestQuota(*Service.second, Now);
  }
}

CoreActions HostCore::beginStop(TimePoint LatestDeadline, TimePoint Now) {
  if (IsLeaving_)
    return {};
  IsLeaving_ = true;
  LeavingSince_ = Now;
  sendHeartbeats(Now);
  Log_.log(LogLevel::Info, "stop",
           "planned stop started; callers are referred to other hosts");
  return Flow_.beginStop(LatestDeadline, Now);
}

bool HostCore::mayStop(TimePoint Now) const {
  // Hosts of the group learn of the stop from heartbeats, all others from the
  // host list. Until then each may have given this host's address to callers,
  // which keep it for AddressAnswerTtl.
  return IsLeaving_ && Flow_.inProgress() == 0 && NotLiveSince_ &&
         Now - LeavingSince_ > AddressAnswerTtl + HeartbeatTimeout &&
         Now - *NotLiveSince_ > AddressAnswerTtl + HostListPropagationTime;
}

} // namespace kumquatpitch
