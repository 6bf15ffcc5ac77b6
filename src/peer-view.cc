// Heartbeats of peers. See peer-view.h.

#include "kumquatpitch/peer-view.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxPeers = 4'096;
constexpr Duration ForgetAfter = std::chrono::minutes(10);

} // namespace

const PeerView::Peer *PeerView::find(const HostId &Id) const {
  const std::map<HostId, Peer>::const_iterator It = Peers_.find(Id);
  return It == Peers_.end() ? nullptr : &It->second;
}

HeartbeatResult PeerView::onHeartbeat(const HostId &From,
                                      Incarnation PeerIncarnation,
                                      std::uint64_t Sequence,
                                      const HeartbeatMessage &Message,
                                      TimePoint Now) {
  if (!Peers_.count(From) && Peers_.size() >= MaxPeers)
    return HeartbeatResult::TableFull;
  Peer &Sender = Peers_[From];
  const bool IsNewIncarnation = Sender.Incarnation_ != PeerIncarnation;
  if (!IsNewIncarnation && Sequence <= Sender.Sequence_)
    return HeartbeatResult::OldSequence;
  if (std::find(Sender.PastIncarnations_.begin(),
                Sender.PastIncarnations_.end(),
                PeerIncarnation) != Sender.PastIncarnations_.end())
    return HeartbeatResult::OldIncarnation;
  if (IsNewIncarnation) {
    if (Sender.Incarnation_ != 0)
      Sender.PastIncarnations_[Sender.PastIncarnationCount_++ %
                               MaxPastIncarnations] = Sender.Incarnation_;
    Sender.Incarnation_ = PeerIncarnation;
    Sender.Epoch_ = 0;
    Sender.Leaving_ = false;
  }
  Sender.Sequence_ = Sequence;
  Sender.Epoch_ = std::max(Sender.Epoch_, Message.Epoch_);
  Sender.Leaving_ = Sender.Leaving_ || Message.Leaving_;
  Sender.ReceivesOurHeartbeats_ =
      std::find(Message.AlivePeers_.begin(), Message.AlivePeers_.end(),
                Self_) != Message.AlivePeers_.end();
  Sender.LastHeartbeat_ = Now;
  return IsNewIncarnation ? HeartbeatResult::NewIncarnation
                          : HeartbeatResult::Accepted;
}

bool PeerView::isAlive(const HostId &Id, TimePoint Now) const {
  const Peer *Found = find(Id);
  return Found && Now - Found->LastHeartbeat_ <= HeartbeatTimeout;
}

bool PeerView::receivesOurHeartbeats(const HostId &Id, TimePoint Now) const {
  const Peer *Found = find(Id);
  return Found && Found->ReceivesOurHeartbeats_ && isAlive(Id, Now);
}

std::optional<Incarnation> PeerView::incarnationOf(const HostId &Id) const {
  const Peer *Found = find(Id);
  if (!Found)
    return std::nullopt;
  return Found->Incarnation_;
}

std::optional<std::uint64_t> PeerView::epochOf(const HostId &Id) const {
  const Peer *Found = find(Id);
  if (!Found)
    return std::nullopt;
  return Found->Epoch_;
}

bool PeerView::isLeaving(const HostId &Id) const {
  const Peer *Found = find(Id);
  return Found && Found->Leaving_;
}

std::vector<HostId> PeerView::alivePeers(TimePoint Now) const {
  std::vector<HostId> Alive;
  for (const std::pair<const HostId, Peer> &Entry : Peers_)
    if (Now - Entry.second.LastHeartbeat_ <= HeartbeatTimeout)
      Alive.push_back(Entry.first);
  return Alive;
}

HeartbeatMessage PeerView::nextHeartbeat(std::uint64_t Epoch, bool Leaving,
                                         const ConfigState &Config,
                                         TimePoint Now) const {
  HeartbeatMessage Next{Epoch, Leaving, alivePeers(Now), Config};
  if (Next.AlivePeers_.size() > MaxAlivePeers)
    Next.AlivePeers_.resize(MaxAlivePeers);
  return Next;
}

void PeerView::expire(TimePoint Now) {
  std::erase_if(Peers_, [&](const std::pair<const HostId, Peer> &Entry) {
    return Now - Entry.second.LastHeartbeat_ > ForgetAfter;
  });
}

} // namespace kumquatpitch
