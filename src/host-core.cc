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
                               !Each.second->isServing(Now);
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

/// Spreads a drain marker, so that the whole group sends no new work there.
void HostCore::tellOfDraining(FlowId Flow) {
  const std::optional<AttemptPlace> Place = Flow_.placeOf(Flow);
  if (Place)
    tellGroup(*Place->Service_,
              ReportMessage{Place->Service_->entry().Service_, Place->Target_,
                            0, false, std::nullopt, true});
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

void HostCore::askForQuota(ServiceRuntime &Service, TimePoint Now) {
  if (!Service.isAssigned())
    return;
  for (const AddressedAsk &Each : Service.quota().tick(Now))
    if (Peers_.hearsUs(Each.To_, Now))
      Exchange_.send(Each.To_,
                     QuotaAskMessage{Service.entry().Service_, Each.Ask_});
}

void HostCore::reportTargets(TimePoint Now) {
  constexpr double MilliPerUnit = 1'000;
  constexpr double MaxScore = 1'000;
  for (const ServiceMap::value_type &Each : Services_) {
    if (!Each.second->isAssigned())
      continue;
    for (const std::pair<const TargetId, TargetEvidence> &Of :
         Each.second->health().evidenceToReport(Now))
      tellGroup(*Each.second,
                ReportMessage{
                    Each.first, Of.first,
                    static_cast<std::uint64_t>(
                        std::min(Of.second.OwnScore_, MaxScore) * MilliPerUnit),
                    Of.second.Suspects_, Of.second.SinceAnsweredStart_, false});
  }
}

void HostCore::tellGroup(const ServiceRuntime &Service, const PeerBody &Body) {
  for (const GroupMember &Member : Service.config().Group_.Members_)
    if (Member.Host_ != Self_.Id_)
      Exchange_.send(Member.Host_, Body);
}

/// Tells a host that was not there when a drain marker was spread.
void HostCore::tellNewcomer(const HostId &Host) {
  for (const ServiceMap::value_type &Each : Services_) {
    if (!Each.second->config().Group_.contains(Host))
      continue;
    for (const TargetId &Target : Each.second->health().marked())
      Exchange_.send(Host, ReportMessage{Each.first, Target, 0, false,
                                         std::nullopt, true});
  }
}

CoreActions HostCore::onReport(const HostId &From, const ReportMessage &Report,
                               TimePoint Now) {
  constexpr double MilliPerUnit = 1'000;
  const ServiceMap::iterator It = Services_.find(Report.Service_);
  if (It == Services_.end() || !It->second->config().Group_.contains(From))
    return {};
  if (Report.Draining_)
    It->second->markDraining(Report.Target_, Now);
  else
    It->second->health().peerReport(
        From, Report.Target_,
        TargetEvidence{static_cast<double>(Report.ScoreMilli_) / MilliPerUnit,
                       Report.Suspects_, Report.SinceAnsweredStart_},
        Now);
  return {};
}

CoreActions HostCore::onQuotaAsk(const HostId &From,
                                 const QuotaAskMessage &Message,
                                 TimePoint Now) {
  const ServiceMap::iterator It = Services_.find(Message.Service_);
  if (It == Services_.end() || !It->second->config().Group_.contains(From))
    return {};
  const std::optional<QuotaGrant> Grant =
      It->second->quota().onAsk(From, Message.Ask_, Now);
  if (Grant)
    Exchange_.send(From, QuotaGrantMessage{Message.Service_, *Grant});
  return {};
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

void HostCore::sendHeartbeats(TimePoint Now) {
  HeartbeatMessage Beat = Peers_.nextHeartbeat(Flow_.registry().issueEpoch(Now),
                                               IsLeaving_, Sync_.state(), Now);
  for (const HostId &Peer : GroupPeers_) {
    // A peer looks for itself only; naming all others to each of them makes
    // the bytes grow with the square of the count of peers.
    Beat.Heard_.clear();
    if (Peers_.heard(Peer, Now))
      Beat.Heard_.push_back(Peer);
    Exchange_.send(Peer, Beat);
  }
}

CoreActions HostCore::receivePeer(std::string_view Bytes,
                                  const std::string &Sender, TimePoint Now) {
  return handleFailure(
      [&]() -> Result<CoreActions> {
        BOOST_LEAF_AUTO(Message, Exchange_.receive(Bytes, Sender));
        return dispatch(Message, Now);
      },
      [&](const Failure &Cause) {
        Log_.log(LogLevel::Warning, "peers",
                 "message dropped: " + Cause.Message_);
        return CoreActions();
      });
}

CoreActions HostCore::dispatch(const PeerMessage &Message, TimePoint Now) {
  if (const HeartbeatMessage *Beat =
          std::get_if<HeartbeatMessage>(&Message.Body_)) {
    const HeartbeatResult Taken = Peers_.onHeartbeat(
        Message.From_, Message.Incarnation_, Message.Sequence_, *Beat, Now);
    const bool IsNew = Taken == HeartbeatResult::Accepted ||
                       Taken == HeartbeatResult::NewIncarnation;
    if (Taken == HeartbeatResult::NewIncarnation)
      tellNewcomer(Message.From_);
    if (IsNew)
      return applyConfig(Sync_.onHeartbeat(Message.From_, Beat->Config_, Now),
                         Now);
  }
  if (const ReportMessage *Report = std::get_if<ReportMessage>(&Message.Body_))
    return onReport(Message.From_, *Report, Now);
  if (const QuotaAskMessage *Ask = std::get_if<QuotaAskMessage>(&Message.Body_))
    return onQuotaAsk(Message.From_, *Ask, Now);
  if (const QuotaGrantMessage *Grant =
          std::get_if<QuotaGrantMessage>(&Message.Body_)) {
    const ServiceMap::iterator It = Services_.find(Grant->Service_);
    if (It != Services_.end())
      It->second->quota().onGrant(Message.From_, Grant->Grant_, Now);
    return {};
  }
  if (const DigestMessage *Digest = std::get_if<DigestMessage>(&Message.Body_))
    return applyConfig(Sync_.onDigest(Message.From_, *Digest, Now), Now);
  if (const PullMessage *Pull = std::get_if<PullMessage>(&Message.Body_))
    return applyConfig(Sync_.onPull(Message.From_, *Pull, Now), Now);
  if (const PartMessage *Part = std::get_if<PartMessage>(&Message.Body_))
    return applyConfig(Sync_.onPeerPart(Message.From_, *Part, Now), Now);
  return {};
}

Result<AddressAnswer> HostCore::addresses(const CustomerName &Customer,
                                          const ServiceName &Service,
                                          TimePoint Now) {
  if (!Sync_.isReady(Now))
    return fail(ResultCode::NotReady, "no configuration yet");
  const Contract *Terms = findContract(*Sync_.catalog(), Customer);
  if (!Terms || !findTerms(*Terms, Service))
    return fail(ResultCode::ServiceUnknown,
                "the contract names no such service");
  const ServiceRuntime &Served = *Services_.at(Service);
  AddressAnswer Answer{Service, Sync_.catalog()->Version_, {}};
  for (const GroupMember &Member : addressOrder(
           Served.config().Group_, callerWeights(Served, Now), Random_))
    if (!isKnownLeaving(Member.Host_))
      Answer.Hosts_.push_back(
          AddressOption{Member.Host_, Member.Domain_, Member.Address_,
                        tokenFor(Member.Host_, Service, Now)});
  return Answer;
}

std::string HostCore::tokenFor(const HostId &Host, const ServiceName &Service,
                               TimePoint Now) {
  if (Host == Self_.Id_)
    return formatToken(Flow_.registry().issueToken(Service, Now));
  const std::optional<Incarnation> Run = Peers_.incarnationOf(Host);
  const std::optional<std::uint64_t> Epoch = Peers_.epochOf(Host);
  if (!Run || !Epoch)
    return "";
  return formatToken(RequestToken{Service, Host, *Run, *Epoch});
}

/// Weights of the plan; hosts that this one does not hear come last. It may be
/// this host that is cut off, so they are not left out.
HostWeights HostCore::callerWeights(const ServiceRuntime &Service,
                                    TimePoint Now) const {
  HostWeights Weights = Service.plan().weights();
  if (!Service.isAssigned())
    return Weights;
  for (HostWeights::value_type &Each : Weights)
    if (Each.first != Self_.Id_ && !Peers_.heard(Each.first, Now))
      Each.second = 0;
  return Weights;
}

bool HostCore::isKnownLeaving(const HostId &Host) const {
  if (Host == Self_.Id_)
    return IsLeaving_;
  const HostRecord *Listed = findHost(Hosts_, Host);
  return Peers_.isLeaving(Host) ||
         (Listed && Listed->State_ == HostState::Leaving);
}

HostStatus HostCore::status(TimePoint Now) const {
  HostStatus Status;
  Status.Host_ = Self_.Id_;
  Status.Incarnation_ = Self_.Incarnation_;
  Status.Region_ = Self_.Region_;
  Status.Domain_ = Self_.Domain_;
  Status.ConfigVersion_ = Sync_.catalog()->Version_;
  Status.Ready_ = isReady(Now);
  Status.Leaving_ = IsLeaving_;
  Status.UpFor_ = Now - Start_;
  for (const ServiceMap::value_type &Each : Services_) {
    if (!Each.second->isAssigned())
      continue;
    Status.Services_.push_back(Each.second->status(Now));
    Status.Burn_.push_back(Each.second->burn().snapshot(Now));
  }
  for (const Refusal &Each : Sync_.refusals())
    Status.Refusals_.push_back(RefusalStatus{Each.Document_,
                                             Each.ManifestVersion_, Each.Code_,
                                             Each.Message_, Duration()});
  for (const HostId &Peer : GroupPeers_)
    Status.Peers_.push_back(peerStatus(Peer, Now));
  return Status;
}

PeerStatus HostCore::peerStatus(const HostId &Peer, TimePoint Now) const {
  PeerStatus Status;
  Status.Host_ = Peer;
  if (Peers_.heard(Peer, Now))
    Status.Direction_ = Peers_.hearsUs(Peer, Now) ? PeerDirection::Both
                                                  : PeerDirection::OnlyFrom;
  return Status;
}

std::string HostCore::metricsText(TimePoint Now) const {
  return formatMetrics(Metrics_.snapshot(Now), status(Now));
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
