// Which peers this host hears, and which of them hear this host. Owned by
// HostCore; fed with heartbeats only.

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

/// Heartbeats are sent once each period to each peer of interest.
constexpr Duration HeartbeatPeriod = std::chrono::seconds(1);

/// A peer without a heartbeat for this long is not heard.
constexpr Duration HeartbeatTimeout = std::chrono::seconds(3);

/// What became of a heartbeat.
enum class HeartbeatResult : std::uint8_t {
  Accepted,
  NewIncarnation, ///< Accepted; the peer has started anew or is new.
  OldSequence,    ///< Ignored: late or doubled.
  OldIncarnation, ///< Ignored: from a run that ended or was replaced.
  TableFull,      ///< Ignored: MaxPeers are known.
};

class PeerView {
public:
  explicit PeerView(HostId Self) : Self_(std::move(Self)) {}

  /// Takes a heartbeat of `From`.
  HeartbeatResult onHeartbeat(const HostId &From, Incarnation Run,
                              std::uint64_t Sequence,
                              const HeartbeatMessage &Message, TimePoint Now);

  /// True when a heartbeat of the peer arrived within HeartbeatTimeout.
  bool heard(const HostId &Peer, TimePoint Now) const;

  /// True when the peer is heard and its last heartbeat names this host.
  bool hearsUs(const HostId &Peer, TimePoint Now) const;

  /// Last accepted incarnation; none for an unknown peer.
  std::optional<Incarnation> incarnationOf(const HostId &Peer) const;

  /// Last epoch of the peer's incarnation; none for an unknown peer.
  std::optional<std::uint64_t> epochOf(const HostId &Peer) const;

  /// True when the peer's last heartbeat announced that it leaves.
  bool isLeaving(const HostId &Peer) const;

  /// Heard peers, sorted.
  std::vector<HostId> heardPeers(TimePoint Now) const;

  /// Contents of this host's next heartbeat.
  HeartbeatMessage nextHeartbeat(std::uint64_t Epoch, bool Leaving,
                                 const ConfigState &Config,
                                 TimePoint Now) const;

  /// Forgets peers that have not been heard for ForgetAfter.
  void expire(TimePoint Now);

  std::size_t size() const { return Peers_.size(); }

private:
  static constexpr std::size_t RememberedRuns = 8;

  struct Peer {
    Incarnation Run_ = 0;
    std::uint64_t Sequence_ = 0; ///< Highest of this incarnation.
    std::uint64_t Epoch_ = 0;    ///< Never falls within an incarnation.
    bool Leaving_ = false;       ///< Stays true within an incarnation.
    bool HearsUs_ = false;
    TimePoint Heard_;
    /// Incarnations that were replaced. They are random numbers without an
    /// order, so a late message is known as old only by this record.
    std::array<Incarnation, RememberedRuns> OldRuns_{};
    std::size_t OldRunCount_ = 0;
  };

  const Peer *find(const HostId &Id) const;

  HostId Self_;
  std::map<HostId, Peer> Peers_; ///< At most MaxPeers.
};

} // namespace kumquatpitch

#endif
