// Liveness of peers: which peers' heartbeats arrive here, and which peers
// receive the heartbeats of this host. Owned by HostCore; its only input is
// heartbeats.

#ifndef KUMQUATPITCH_PEER_VIEW_H
#define KUMQUATPITCH_PEER_VIEW_H

#include "kumquatpitch/peer-message.h"
#include "kumquatpitch/time-point.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// Interval of the heartbeats to each peer that this host monitors.
constexpr Duration HeartbeatPeriod = std::chrono::seconds(1);

/// A peer is no longer alive when none of its heartbeats arrived for this long.
constexpr Duration HeartbeatTimeout = std::chrono::seconds(3);

/// How a received heartbeat was handled.
enum class HeartbeatResult : std::uint8_t {
  Accepted,
  NewIncarnation, ///< Accepted; the peer is new or restarted.
  OldSequence,    ///< Ignored: late or duplicate.
  OldIncarnation, ///< Ignored: this incarnation was replaced.
  TableFull,      ///< Ignored: new peer, and MaxPeers are known.
};

class PeerView {
public:
  explicit PeerView(HostId Self) : Self_(std::move(Self)) {}

  /// Applies a heartbeat that `From` sent.
  HeartbeatResult onHeartbeat(const HostId &From, Incarnation PeerIncarnation,
                              std::uint64_t Sequence,
                              const HeartbeatMessage &Message, TimePoint Now);

  /// True when a heartbeat of the peer arrived within HeartbeatTimeout.
  bool isAlive(const HostId &Peer, TimePoint Now) const;

  /// True when the peer is alive and its last heartbeat lists this host, so
  /// that heartbeats arrive in both directions.
  bool receivesOurHeartbeats(const HostId &Peer, TimePoint Now) const;

  /// Last accepted incarnation; none for an unknown peer.
  std::optional<Incarnation> incarnationOf(const HostId &Peer) const;

  /// Highest epoch of the peer's incarnation; none for an unknown peer.
  std::optional<std::uint64_t> epochOf(const HostId &Peer) const;

  /// True when the peer's incarnation announced that it leaves the fleet.
  bool isLeaving(const HostId &Peer) const;

  /// Peers that are alive, sorted.
  std::vector<HostId> alivePeers(TimePoint Now) const;

  /// Contents of this host's next heartbeat.
  HeartbeatMessage nextHeartbeat(std::uint64_t Epoch, bool Leaving,
                                 const ConfigState &Config,
                                 TimePoint Now) const;

  /// Removes peers without a heartbeat for ForgetAfter.
  void expire(TimePoint Now);

  std::size_t size() const { return Peers_.size(); }

private:
  static constexpr std::size_t MaxPastIncarnations = 8;

  struct Peer {
    Incarnation Incarnation_ = 0;
    std::uint64_t Sequence_ = 0; ///< Highest of this incarnation.
    std::uint64_t Epoch_ = 0;    ///< Never decreases within an incarnation.
    bool Leaving_ = false;       ///< Stays true within an incarnation.
    bool ReceivesOurHeartbeats_ = false;
    TimePoint LastHeartbeat_;
    /// Latest incarnations that were replaced. Incarnations are random numbers
    /// without an order, so only this record shows that a late message is old.
    std::array<Incarnation, MaxPastIncarnations> PastIncarnations_{};
    std::size_t PastIncarnationCount_ = 0;
  };

  const Peer *find(const HostId &Id) const;

  HostId Self_;
  std::map<HostId, Peer> Peers_; ///< At most MaxPeers.
};

} // namespace kumquatpitch

#endif
