// Elects the hosts of a failure domain that read the configuration from the
// platform; the other hosts get it from their peers. Owned by ConfigSync.

#ifndef KUMQUATPITCH_READER_RANK_H
#define KUMQUATPITCH_READER_RANK_H

#include "kumquatpitch/peer-message.h"
#include "kumquatpitch/time-point.h"
#include "kumquatpitch/versioned-table.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// Number of hosts per failure domain that read the platform at a time.
constexpr std::size_t ReadersPerDomain = 2;

/// Decides whether this host reads the platform. The hosts of a failure domain
/// are ranked by rendezvous hash, and the first `ReadersPerDomain` read. A host
/// of a lower rank starts to read when it has received heartbeats from fewer
/// than `ReadersPerDomain` higher-ranked readers for a time that grows with its
/// rank; it stops as soon as enough of them are received again. Heartbeats are
/// relayed with the gossip digests, so no host has to exchange them with all
/// others.
class ReaderRank {
public:
  ReaderRank(HostId Self, FailureDomain Domain);

  /// Recomputes the rank from the host list. Only live hosts of this host's
  /// failure domain are ranked.
  void setHosts(const VersionedTable<HostRecord> &Hosts, TimePoint Now);

  /// Applies relayed heartbeats. Only a heartbeat whose counter increased is
  /// new; others are ignored.
  void applyHeartbeats(const std::vector<ReaderHeartbeat> &Heartbeats,
                       TimePoint Now);

  /// Decides again whether this host reads; while it does, increments its own
  /// heartbeat counter once a second.
  void tick(TimePoint Now);

  bool isReader() const { return IsReader_; }

  /// Heartbeats to relay: those that increased recently, and this host's own
  /// while it reads. At most MaxReaderHeartbeats.
  std::vector<ReaderHeartbeat> freshHeartbeats(TimePoint Now) const;

  /// Rank of this host in its failure domain, from 0; none before the first
  /// host list.
  std::optional<std::size_t> rank() const { return Rank_; }

private:
  /// The last heartbeat received from another reader.
  struct Heartbeat {
    FailureDomain Domain_;
    std::uint64_t Counter_ = 0;
    TimePoint LastIncrease_; ///< When the counter last increased.
  };

  /// Readers of this failure domain that rank higher than this host and whose
  /// heartbeats have not timed out.
  std::size_t higherRankedReaders(TimePoint Now) const;

  HostId Self_;
  FailureDomain Domain_;
  std::uint64_t OwnHash_;
  std::optional<std::size_t> Rank_;
  bool IsReader_ = false;
  std::uint64_t OwnCounter_ = 0;
  std::optional<TimePoint> LastHeartbeat_;
  /// Since when there are fewer than `ReadersPerDomain` higher-ranked readers.
  std::optional<TimePoint> TooFewSince_;
  /// By reader; at most MaxReaderHeartbeats entries.
  std::map<HostId, Heartbeat> Heartbeats_;
};

} // namespace kumquatpitch

#endif
