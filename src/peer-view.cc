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

HeartbeatResult PeerView::onHeartbeat(const HostId &From, Incarnation Run,
                                      std::uint64_t Sequence,
                                      const HeartbeatMessage &Message,
                                      TimePoint Now) {
  if (!Peers_.count(From) && Peers_.size() >= MaxPeers)
    return HeartbeatResult::TableFull;
  Peer &Known = Peers_[From];
  const bool IsNewRun = Known.Run_ != Run;
  if (!IsNewRun && Sequence <= Known.Sequence_)
    return HeartbeatResult::OldSequence;
  if (std::find(Known.OldRuns_.begin(), Known.OldRuns_.end(), Run) !=
      Known.OldRuns_.end())
    return HeartbeatResult::OldIncarnation;
  if (IsNewRun) {
    if (Known.Run_ != 0)
      Known.OldRuns_[Known.OldRunCount_++ % RememberedRuns] = Known.Run_;
    Known.Run_ = Run;
    Known.Epoch_ = 0;
    Known.Leaving_ = false;
  }
  Known.Sequence_ = Sequence;
  Known.Epoch_ = std::max(Known.Epoch_, Message.Epoch_);
  Known.Leaving_ = Known.Leaving_ || Message.Leaving_;
  Known.HearsUs_ = std::find(Message.Heard_.begin(), Message.Heard_.end(),
                             Self_) != Message.Heard_.end();
  Known.Heard_ = Now;
  return IsNewRun ? HeartbeatResult::NewIncarnation : HeartbeatResult::Accepted;
}

bool PeerView::heard(const HostId &Id, TimePoint Now) const {
  const Peer *Known = find(Id);
  return Known && Now - Known->Heard_ <= HeartbeatTimeout;
}

bool PeerView::hearsUs(const HostId &Id, TimePoint Now) const {
  const Peer *Known = find(Id);
  return Known && Known->HearsUs_ && heard(Id, Now);
}

std::optional<Incarnation> PeerView::incarnationOf(const HostId &Id) const {
  const Peer *Known = find(Id);
  if (!Known)
    return std::nullopt;
  return Known->Run_;
}

std::optional<std::uint64_t> PeerView::epochOf(const HostId &Id) const {
  const Peer *Known = find(Id);
  if (!Known)
    return std::nullopt;
  return Known->Epoch_;
}

bool PeerView::isLeaving(const HostId &Id) const {
  const Peer *Known = find(Id);
  return Known && Known->Leaving_;
}

std::vector<HostId> PeerView::heardPeers(TimePoint Now) const {
  std::vector<HostId> Heard;
  for (const std::pair<const HostId, Peer> &Each : Peers_)
    if (Now - Each.second.Heard_ <= HeartbeatTimeout)
      Heard.push_back(Each.first);
  return Heard;
}

HeartbeatMessage PeerView::nextHeartbeat(std::uint64_t Epoch, bool Leaving,
                                         const ConfigState &Config,
                                         TimePoint Now) const {
  HeartbeatMessage Next{Epoch, Leaving, heardPeers(Now), Config};
  if (Next.Heard_.size() > MaxHeardPeers)
    Next.Heard_.resize(MaxHeardPeers);
  return Next;
}

void PeerView::expire(TimePoint Now) {
  std::erase_if(Peers_, [&](const std::pair<const HostId, Peer> &Each) {
    return Now - Each.second.Heard_ > ForgetAfter;
  });
}

} // namespace kumquatpitch
