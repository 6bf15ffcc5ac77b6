// HostCore's address responses to callers, and its status and metrics for
// operators. See host-core.h.

#include "kumquatpitch/assignment.h"
#include "kumquatpitch/host-core.h"
#include "kumquatpitch/metrics-format.h"

namespace kumquatpitch {

Result<AddressAnswer> HostCore::addresses(const CustomerName &Customer,
                                          const ServiceName &Service,
                                          TimePoint Now) {
  if (!Sync_.isReady(Now))
    return fail(ResultCode::NotReady, "no configuration yet");
  const Contract *Terms = findContract(*Sync_.catalog(), Customer);
  if (!Terms || !findTerms(*Terms, Service))
    return fail(ResultCode::ServiceUnknown,
                "the contract does not include this service");
  const ServiceRuntime &Runtime = *Services_.at(Service);
  AddressAnswer Answer{Service, Sync_.catalog()->Version_, {}};
  for (const GroupMember &Member : drawAddressOrder(
           Runtime.config().Group_, callerWeights(Runtime, Now), Random_))
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
  const std::optional<Incarnation> PeerIncarnation = Peers_.incarnationOf(Host);
  const std::optional<std::uint64_t> Epoch = Peers_.epochOf(Host);
  if (!PeerIncarnation || !Epoch)
    return "";
  return formatToken(RequestToken{Service, Host, *PeerIncarnation, *Epoch});
}

/// Weights from the slot plan. Hosts without recent heartbeats get weight 0,
/// which puts them last; they are not left out, since this host itself may be
/// the one that is cut off.
HostWeights HostCore::callerWeights(const ServiceRuntime &Service,
                                    TimePoint Now) const {
  HostWeights Weights = Service.plan().weights();
  if (!Service.isAssigned())
    return Weights;
  for (HostWeights::value_type &Weight : Weights)
    if (Weight.first != Self_.Id_ && !Peers_.isAlive(Weight.first, Now))
      Weight.second = 0;
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
  for (const ServiceMap::value_type &Service : Services_) {
    if (!Service.second->isAssigned())
      continue;
    Status.Services_.push_back(Service.second->status(Now));
    Status.Burn_.push_back(Service.second->burnRate().snapshot(Now));
  }
  for (const Refusal &Refused : Sync_.refusals())
    Status.Refusals_.push_back(
        RejectedDocumentStatus{Refused.Document_, Refused.ManifestVersion_,
                               Refused.Code_, Refused.Message_, Duration()});
  for (const HostId &Peer : GroupPeers_)
    Status.Peers_.push_back(peerStatus(Peer, Now));
  return Status;
}

PeerStatus HostCore::peerStatus(const HostId &Peer, TimePoint Now) const {
  PeerStatus Status;
  Status.Host_ = Peer;
  if (Peers_.isAlive(Peer, Now))
    Status.Direction_ = Peers_.receivesOurHeartbeats(Peer, Now)
                            ? PeerDirection::Both
                            : PeerDirection::OnlyFrom;
  return Status;
}

std::string HostCore::metricsText(TimePoint Now) const {
  return formatMetrics(Metrics_.snapshot(Now), status(Now));
}

} // namespace kumquatpitch
