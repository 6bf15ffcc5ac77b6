// Keeps a host's copy of the published state. In each failure domain one host
// reads the store and forwards the changes to the others, which read the store
// themselves only when no changes arrive in time. They do so in an order that
// all of them compute alike. Used by GatewayDaemon, which carries out the
// reads; this class does no I/O and reads no clock.

#ifndef KUMQUATPITCH_STORE_FOLLOWER_H
#define KUMQUATPITCH_STORE_FOLLOWER_H

#include "kumquatpitch/admission/config-proof.h"
#include "kumquatpitch/host-membership.h"
#include "kumquatpitch/published-state.h"
#include "kumquatpitch/store-read.h"
#include "kumquatpitch/target-directory.h"

#include <map>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// Changes that the reading host sends to the others of its failure domain.
struct StoreChangesMessage {
  HostId From_;
  std::uint64_t After_ = 0;    ///< The changes follow this revision
  std::uint64_t Revision_ = 0; ///< and are complete up to this one.
  std::uint64_t ConfigRevision_ = 0;
  std::vector<TargetChange> Targets_;
  std::uint64_t Era_ = 0; ///< Of all revisions in the message.

  bool operator==(const StoreChangesMessage &) const = default;
};

/// The store came back from an older copy.
struct EraChange {
  std::uint64_t PreviousEra_ = 0;
  std::uint64_t PreviousRevision_ = 0;

  bool operator==(const EraChange &) const = default;
};

/// The effects of a read or a message.
struct FollowResult {
  std::optional<EraChange> EraChange_;
  bool TargetsChanged_ = false;
  std::shared_ptr<const RouteTable> NewTable_;   ///< Null when unchanged.
  std::optional<StoreChangesMessage> ToForward_; ///< To the own failure domain.
  /// Set by a read that showed the newest configuration of the store, if this
  /// host could decode that one.
  std::optional<ConfigReading> Reading_;
};

class StoreFollower {
public:
  /// Time between reads. A change has to reach every host within the drain
  /// time, which is at least 2 s: that covers this period, one hand-over to the
  /// next reader, and the way of the change back to the hosts.
  static constexpr Duration ReadPeriod = std::chrono::milliseconds(700);
  /// Extra wait of a host over its predecessor in the order of readers, which
  /// applies to the first MaxHandOverDelays ranks.
  static constexpr Duration HandOverDelay = std::chrono::milliseconds(250);
  static constexpr std::uint32_t MaxHandOverDelays = 3;
  /// Back-off after failed reads, doubled from the minimum up to the maximum.
  /// It begins with the read; the minimum also separates a failure from the
  /// next read.
  static constexpr Duration MinReadBackoff = std::chrono::milliseconds(200);
  static constexpr Duration MaxReadBackoff = std::chrono::milliseconds(1'600);
  /// Reads that fail for this long count as a store outage.
  static constexpr Duration MinOutageTime = std::chrono::milliseconds(1'200);

  explicit StoreFollower(HostId Self) : Self_(std::move(Self)) {}

  /// Returns the next read and marks it as in progress, if one is due and none
  /// is in progress yet. `Rank` is the host's rank in the order of its failure
  /// domain's readers. With `NeedsProof`, a read for that is due when no other
  /// is.
  std::optional<ReadRequest> due(std::uint32_t Rank, TimePoint Now,
                                 bool NeedsProof = false);

  /// Applies the result of the read that due() returned.
  FollowResult readEnded(const PublishedRead &Read, TimePoint Now);

  /// Applies changes that another host has read.
  FollowResult receive(const StoreChangesMessage &Message, TimePoint Now);

  /// Drops entries that were not republished after an outage, and uses those
  /// that a restored store still lists. Returns whether routing is affected.
  bool expire(TimePoint Now) {
    return CompleteUntil_ && !NeedsListing_ && !HasGap_ &&
           Directory_.expire(*CompleteUntil_, Now);
  }

  const TargetDirectory &directory() const { return Directory_; }
  TargetDirectory &directory() { return Directory_; }
  const std::shared_ptr<const RouteTable> &table() const { return Table_; }
  std::uint64_t revision() const { return Revision_; }
  std::uint64_t configRevision() const { return ConfigRevision_; }
  /// Era of the store that the revisions belong to.
  std::uint64_t era() const { return Era_; }
  bool hasState() const { return Table_ != nullptr && Revision_ != 0; }
  /// False while entries that expired in an outage before the first listing may
  /// still be republished.
  bool isSettled(TimePoint Now) const {
    return !SettledAt_ || Now >= *SettledAt_;
  }
  /// Time since the copy was last known to be current.
  Duration age(TimePoint Now) const {
    return FreshAt_ ? Now - *FreshAt_ : Duration::max();
  }

private:
  /// Applies the changes. Returns those that may affect routing on some host,
  /// and sets `IsRoutingChanged` when one affects routing on this host.
  std::vector<TargetChange> apply(const std::vector<TargetChange> &Changes,
                                  TimePoint Now, bool &IsRoutingChanged);
  /// Follows the store to another era. Its revisions cannot be compared with
  /// the known ones, so all state is read again; until then it stays in use.
  void enterEra(std::uint64_t Era, TimePoint Now, FollowResult &Result);
  void recordStoreAnswer(TimePoint Now);
  /// Records that the copy is complete, with all changes before `AskedAt`.
  void becomeCurrent(TimePoint AskedAt, TimePoint Now);
  /// Records that the copy has these changes, and passes them on to the own
  /// failure domain.
  void completeChanges(const CompleteChanges &Changes, TimePoint Now,
                       FollowResult &Result);
  void applyAll(const PublishedRead &Read, TimePoint Now, FollowResult &Result);
  void applyConfig(const PublishedConfig &Config, FollowResult &Result);
  void recordFailure(const ReadRequest &Request, const PublishedRead &Read,
                     TimePoint Now);
  std::optional<ConfigReading> configReading(const ReadRequest &Request) const;

  HostId Self_;
  TargetDirectory Directory_;
  std::map<TargetId, std::uint64_t> Revisions_; ///< Of the applied changes.
  std::shared_ptr<const RouteTable> Table_;
  std::uint64_t Era_ = 0;      ///< Of all revisions below.
  std::uint64_t Revision_ = 0; ///< Complete up to here; 0 before a listing.
  std::uint64_t ConfigRevision_ = 0;
  /// Version of the configuration at ConfigRevision_. None when that one could
  /// not be decoded.
  std::optional<std::uint64_t> StoreVersion_;
  std::uint64_t PeerConfigRevision_ = 0; ///< Newest reported by a peer.
  /// Value of PeerConfigRevision_ for which a stale copy was last read.
  std::uint64_t StaleCopyReadFor_ = 0;
  std::optional<ReadRequest> InProgress_;
  std::uint64_t InProgressEra_ = 0; ///< Era_ when the read began.
  TimePoint InProgressSince_;
  /// Set while changes are read in parts, because all together are too long.
  std::optional<SplitRead> Split_;
  bool NeedsListing_ = true;
  bool AnnouncesEra_ = false; ///< The next listing is the first of its era.
  bool HasGap_ = false;       ///< Changes before a peer's message were missed.
  std::optional<TimePoint> FreshAt_; ///< When the copy was last completed.
  /// The copy has all changes before this moment. A long read ends later.
  std::optional<TimePoint> CompleteUntil_;
  std::optional<TimePoint> FailingSince_;
  std::optional<TimePoint> SettledAt_; ///< After a start during an outage.
  TimePoint BackoffUntil_{};
  std::uint32_t ConsecutiveFailures_ = 0;
};

/// Rank of `Self` in the order of readers, among the starting and serving hosts
/// of its failure domain. All hosts compute the same order; each domain has its
/// own.
std::uint32_t readerRank(const Member &Self, const std::vector<Member> &All);

} // namespace kumquatpitch

#endif
