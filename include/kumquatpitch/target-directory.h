// The live targets that backend servers publish in the store, with the rules
// for when an entry that disappears from the store is dropped. Updated by
// StoreFollower, read by GatewayCore. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_TARGET_DIRECTORY_H
#define KUMQUATPITCH_TARGET_DIRECTORY_H

#include "kumquatpitch/leaving-targets.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <map>
#include <vector>

namespace kumquatpitch {

/// The entry that a backend server publishes about itself.
struct TargetEntry {
  TargetId Id_;
  ServiceName Service_;
  Endpoint Address_;
  FailureDomain Domain_;
  std::uint32_t Slots_ = 1;
  bool Leaving_ = false;            ///< Draining; gets no new requests.
  std::uint64_t StartedUnixMs_ = 0; ///< Start of this incarnation.
  /// Time after publication for which the target is still slow after its start.
  Duration ColdFor_{};

  bool operator==(const TargetEntry &) const = default;

  /// True when both entries route requests in the same way.
  bool isEquivalentTo(const TargetEntry &Other) const {
    TargetEntry Warm = *this;
    Warm.ColdFor_ = Other.ColdFor_;
    return Warm == Other;
  }
};

class TargetDirectory {
public:
  /// How long entries that are missing after a store outage are kept. Live
  /// servers are published again within two seconds after its end.
  static constexpr Duration RepublishGracePeriod =
      std::chrono::milliseconds(2'200);

  /// How long entries that a restored store lists are held back when they are
  /// older than what is known. A live target writes its entry again within a
  /// heartbeat, and the entry of any other one lapses after three of them.
  static constexpr Duration RestoredEntryHold =
      std::chrono::milliseconds(5'000);
  /// How long a target that has left is remembered for this purpose.
  static constexpr Duration DepartureMemory = std::chrono::seconds(120);

  /// Adds or updates an entry that its target wrote. Returns whether routing is
  /// affected.
  bool put(const TargetEntry &Entry, TimePoint Now);

  /// Removes an entry. Within RepublishGracePeriod after an outage, an entry
  /// that is not leaving is kept until that time ends, and dropped then unless
  /// it is put again. Returns whether routing is affected.
  bool remove(const TargetId &Id, TimePoint Now);

  /// Applies a complete listing. For RestoredEntryHold after a restore, entries
  /// that are older than what is known are held back until their target writes
  /// them again or that time ends. Returns whether routing is affected.
  bool replaceAll(const std::vector<TargetEntry> &Entries, TimePoint Now);

  /// Records that a target said in an answer to this host, or to `IsFromPeer`
  /// another one, that it leaves. Its entry is leaving from then on, whatever
  /// the store lists for this incarnation. Returns whether routing is affected.
  bool markLeaving(const LeavingTarget &Target, bool IsFromPeer, TimePoint Now);

  /// Targets whose leaving is to be announced to the other hosts now. They
  /// count as announced.
  std::vector<LeavingTarget> takeLeavingAnnouncements(TimePoint Now) {
    return LeavingTargets_.takeAnnouncements(Now);
  }

  /// Records that the store answers again after an outage.
  void storeRecovered(TimePoint Now) {
    GracePeriodEnd_ = Now + RepublishGracePeriod;
  }

  /// Records that the store came back from an older copy.
  void storeRestored(TimePoint Now) {
    storeRecovered(Now);
    HoldEnd_ = Now + RestoredEntryHold;
  }

  /// Drops missing entries whose grace period had ended at `CurrentAt`, and
  /// adds those whose hold had. `CurrentAt` is the time up to which all changes
  /// of the store are known: one that is still on its way may have published an
  /// entry again, or removed it. Returns whether routing is affected.
  bool expire(TimePoint CurrentAt, TimePoint Now);

  /// Number of listed entries that are held back.
  std::size_t heldBack() const { return HeldBack_.size(); }

  /// True for an entry that is kept although it is missing in the store.
  bool isMissing(const TargetId &Id) const { return Missing_.count(Id) != 0; }

  const std::map<TargetId, TargetEntry> &entries() const { return Entries_; }

private:
  struct Departure {
    std::uint64_t StartedUnixMs_ = 0;
    TimePoint At_;
  };

  bool add(TargetEntry Entry);
  void drop(std::map<TargetId, TargetEntry>::iterator It, TimePoint Now);
  bool isOlderThanKnown(const TargetEntry &Entry) const;

  std::map<TargetId, TargetEntry> Entries_;
  /// A subset of Entries_: those that the store lists as ready.
  LeavingTargets LeavingTargets_;
  /// Targets that have left in the last DepartureMemory.
  std::map<TargetId, Departure> Departures_;
  /// Listed entries that are not in use; until HoldEnd_.
  std::map<TargetId, TargetEntry> HeldBack_;
  TimePoint HoldEnd_{};
  /// When to drop entries that are missing in the store; a subset of Entries_.
  std::map<TargetId, TimePoint> Missing_;
  TimePoint GracePeriodEnd_{}; ///< End of the grace period after an outage.
};

} // namespace kumquatpitch

#endif
