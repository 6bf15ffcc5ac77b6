// HostCore's messages to and from other hosts: heartbeats, target reports,
// quota and configuration. See host-core.h.

#include "kumquatpitch/host-core.h"

#include <algorithm>

namespace kumquatpitch {

/// Reports to the group that the flow's target is draining, so that no host of
/// the group sends new work there.
void HostCore::broadcastDraining(FlowId Flow) {
  const std::optional<AttemptLocation> Location = Flow_.attemptLocation(Flow);
  if (Location)
    sendToGroup(*Location->Service_,
                ReportMessage{Location->Service_->entry().Service_,
                              Location->Target_, 0, false, std::nullopt, true});
}

void HostCore::requestQuota(ServiceRuntime &Service, TimePoint Now) {
  if (!Service.isAssigned())
    return;
  for (const AddressedLoanRequest &Request : Service.quota().tick(Now))
    if (Peers_.receivesOurHeartbeats(Request.To_, Now))
      Exchange_.send(Request.To_,
                     QuotaLoanRequestMessage{Service.entry().Service_,
                                             Request.LoanRequest_});
}

void HostCore::reportTargetEvidence(TimePoint Now) {
  constexpr double MilliPerUnit = 1'000;
  constexpr double MaxScore = 1'000;
  for (const ServiceMap::value_type &Service : Services_) {
    if (!Service.second->isAssigned())
      continue;
    for (const std::pair<const TargetId, TargetEvidence> &Evidence :
         Service.second->health().evidenceToReport(Now))
      sendToGroup(
          *Service.second,
          ReportMessage{Service.first, Evidence.first,
                        static_cast<std::uint64_t>(
                            std::min(Evidence.second.LocalScore_, MaxScore) *
                            MilliPerUnit),
                        Evidence.second.Suspects_,
                        Evidence.second.SinceAnsweredStart_, false});
  }
}

void HostCore::sendToGroup(const ServiceRuntime &Service,
                           const PeerBody &Body) {
  for (const GroupMember &Member : Service.config().Group_.Members_)
    if (Member.Host_ != Self_.Id_)
      Exchange_.send(Member.Host_, Body);
}

/// Reports all draining targets to a host that restarted or could not receive
/// this host's messages, and may have missed the broadcast.
void HostCore::sendMissedDrainMarkers(const HostId &Host) {
  for (const ServiceMap::value_type &Service : Services_) {
    if (!Service.second->config().Group_.contains(Host))
      continue;
    for (const TargetId &Target : Service.second->health().leavingTargets())
      Exchange_.send(Host, ReportMessage{Service.first, Target, 0, false,
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

CoreActions HostCore::onQuotaLoanRequest(const HostId &From,
                                         const QuotaLoanRequestMessage &Message,
                                         TimePoint Now) {
  const ServiceMap::iterator It = Services_.find(Message.Service_);
  if (It == Services_.end() || !It->second->config().Group_.contains(From))
    return {};
  const std::optional<QuotaGrant> Grant =
      It->second->quota().onLoanRequest(From, Message.LoanRequest_, Now);
  if (Grant)
    Exchange_.send(From, QuotaGrantMessage{Message.Service_, *Grant});
  return {};
}

void HostCore::sendHeartbeats(TimePoint Now) {
  HeartbeatMessage Heartbeat = Peers_.nextHeartbeat(
      Flow_.registry().issueEpoch(Now), IsLeaving_, Sync_.state(), Now);
  for (const HostId &Peer : GroupPeers_) {
    // A peer checks only whether it is listed itself. Listing all peers in each
    // heartbeat would make the traffic grow with the square of their number.
    Heartbeat.AlivePeers_.clear();
    if (Peers_.isAlive(Peer, Now))
      Heartbeat.AlivePeers_.push_back(Peer);
    Exchange_.send(Peer, Heartbeat);
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
                 "peer message dropped: " + Cause.Message_);
        return CoreActions();
      });
}

CoreActions HostCore::dispatch(const PeerMessage &Message, TimePoint Now) {
  if (const HeartbeatMessage *Heartbeat =
          std::get_if<HeartbeatMessage>(&Message.Body_)) {
    const bool WasHearingUs = Peers_.receivesOurHeartbeats(Message.From_, Now);
    const HeartbeatResult BeatResult =
        Peers_.onHeartbeat(Message.From_, Message.Incarnation_,
                           Message.Sequence_, *Heartbeat, Now);
    const bool IsNew = BeatResult == HeartbeatResult::Accepted ||
                       BeatResult == HeartbeatResult::NewIncarnation;
    if (BeatResult == HeartbeatResult::NewIncarnation ||
        (!WasHearingUs && Peers_.receivesOurHeartbeats(Message.From_, Now)))
      sendMissedDrainMarkers(Message.From_);
    if (IsNew)
      return applyConfig(
          Sync_.onHeartbeat(Message.From_, Heartbeat->Config_, Now), Now);
  }
  if (const ReportMessage *Report = std::get_if<ReportMessage>(&Message.Body_))
    return onReport(Message.From_, *Report, Now);
  if (const QuotaLoanRequestMessage *Request =
          std::get_if<QuotaLoanRequestMessage>(&Message.Body_))
    return onQuotaLoanRequest(Message.From_, *Request, Now);
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

} // namespace kumquatpitch
