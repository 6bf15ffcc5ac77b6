// Which hosts of a failure domain read the platform. Owned by ConfigSync.

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

/// Hosts of a failure domain that read the platform at a time.
constexpr std::size_t ReadersPerDomain = 2;

/// Hosts are ordered by rendezvous hash. The first two of the list read; a
/// later one takes over when it has not heard the beats of two better ones for
/// a time that grows with its place, and stops as soon as it hears them. Beats
/// travel with digests, so no host needs to exchange heartbeats with all
/// others.
class ReaderRank {
public:
  ReaderRank(HostId Self, FailureDomain Domain);

  /// Takes the hosts; live ones of the own failure domain count.
  void setHosts(const VersionedTable<HostRecord> &Hosts, TimePoint Now);

  /// Takes relayed beats. A beat is fresh when its count rises.
  void onBeats(const std::vector<ReaderBeat> &Beats, TimePoint Now);

  /// Decides anew, and raises the own beat while this host reads.
  void tick(TimePoint Now);

  bool isReader() const { return IsReader_; }

  /// Fresh beats, the own one included.
  std::vector<ReaderBeat> freshBeats(TimePoint Now) const;

  /// Place of this host in its failure domain, from 0; none without a list.
  std::optional<std::size_t> rank() const { return Rank_; }

private:
  struct Beat {
    FailureDomain Domain_;
    std::uint64_t Count_ = 0;
    TimePoint Risen_;
  };

  std::size_t betterReaders(TimePoint Now) const;

  HostId Self_;
  FailureDomain Domain_;
  std::uint64_t OwnHash_;
  std::optional<std::size_t> Rank_;
  bool IsReader_ = false;
  std::uint64_t OwnCount_ = 0;
  std::optional<TimePoint> LastBeat_;
  /// Since when fewer than two better readers are heard.
  std::optional<TimePoint> ShortSince_;
  std::map<HostId, Beat> Beats_; ///< At most MaxReaderBeats.
};

} // namespace kumquatpitch

#endif
