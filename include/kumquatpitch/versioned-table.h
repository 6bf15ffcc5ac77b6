// VersionedTable: a table of keyed entries under one version (the manifest or
// the host list) that computes and applies deltas between versions. Used by
// ConfigSync and the classes it owns.

#ifndef KUMQUATPITCH_VERSIONED_TABLE_H
#define KUMQUATPITCH_VERSIONED_TABLE_H

#include "kumquatpitch/peer-message.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpitch {

inline const std::string &entryKey(const ManifestPart &Part) {
  return Part.Name_;
}
inline const std::string &entryKey(const HostRecord &Host) {
  return Host.Id_.str();
}

/// Each entry holds the table version in which this host saw it change, so the
/// delta from a version consists of the entries that changed after it. A host
/// that skipped versions sends more entries than changed, which is harmless
/// since entries are whole values. Copies share their content.
template <class Entry> class VersionedTable {
public:
  struct VersionedEntry {
    std::shared_ptr<const Entry> Value_;
    std::uint64_t ChangedIn_ = 0;
  };

  const TableVersion &version() const { return Version_; }
  std::size_t size() const { return Entries_->size(); }
  const Entry &at(std::size_t Index) const {
    return *(*Entries_)[Index].Value_;
  }

  /// The entry with this key, or null.
  const Entry *find(const std::string &Key) const {
    const EntryIterator It = lowerBound(*Entries_, Key);
    return It != Entries_->end() && entryKey(*It->Value_) == Key
               ? It->Value_.get()
               : nullptr;
  }

  /// Keys of the entries that the last update added or changed.
  const std::vector<std::string> &lastChangedKeys() const {
    return LastChangedKeys_;
  }

  /// Replaces the table. `Entries` must be sorted by key. False when the new
  /// version is not newer; with equal versions the greater digest is newer.
  bool replace(std::uint64_t Version, const std::vector<Entry> &Entries) {
    ContentDigest Digest;
    for (const Entry &NewEntry : Entries)
      add(Digest, entryDigest(NewEntry));
    const TableVersion NewVersion{Version, Digest};
    if (NewVersion <= Version_)
      return false;
    std::vector<VersionedEntry> Next;
    Next.reserve(Entries.size());
    std::vector<std::string> Changed;
    for (const Entry &NewEntry : Entries) {
      const EntryIterator Old = lowerBound(*Entries_, entryKey(NewEntry));
      if (Old != Entries_->end() && *Old->Value_ == NewEntry) {
        Next.push_back(*Old);
        continue;
      }
      Next.push_back(
          VersionedEntry{std::make_shared<const Entry>(NewEntry), Version});
      Changed.push_back(entryKey(NewEntry));
    }
    recordRemovedKeys(keysMissingIn(Next), Version);
    commit(NewVersion, std::move(Next), std::move(Changed));
    return true;
  }

  /// True when the delta starts from this version, or is a whole table.
  bool canApply(const TableDelta<Entry> &Delta) const {
    return Delta.From_.Version_ == 0 || Delta.From_ == Version_;
  }

  /// Applies a delta. False when the result does not match the digest in the
  /// delta; the table is then unchanged.
  bool apply(const TableDelta<Entry> &Delta) {
    if (Delta.From_.Version_ == 0)
      return applyWhole(Delta);
    std::vector<VersionedEntry> Next = *Entries_;
    ContentDigest Digest = Version_.Digest_;
    std::vector<std::string> Changed;
    std::vector<std::string> Removed;
    for (const std::string &Key : Delta.Removed_) {
      const typename std::vector<VersionedEntry>::iterator It =
          lowerBound(Next, Key);
      if (It == Next.end() || entryKey(*It->Value_) != Key)
        continue;
      subtract(Digest, entryDigest(*It->Value_));
      Next.erase(It);
      Removed.push_back(Key);
    }
    for (const Entry &NewEntry : Delta.Changed_)
      if (upsert(Next, Digest, NewEntry, Delta.To_.Version_))
        Changed.push_back(entryKey(NewEntry));
    if (Digest != Delta.To_.Digest_)
      return false;
    recordRemovedKeys(Removed, Delta.To_.Version_);
    commit(Delta.To_, std::move(Next), std::move(Changed));
    return true;
  }

  /// Delta that brings a host from `Have` to this version. Contains the whole
  /// table when the history does not reach back to `Have`.
  TableDelta<Entry> deltaFor(const TableVersion &Have) const {
    TableDelta<Entry> Delta;
    Delta.To_ = Version_;
    const bool HasHistory = Have.Version_ >= OldestDeltaBase_ &&
                            Have.Version_ > 0 &&
                            Have.Version_ < Version_.Version_;
    if (HasHistory)
      Delta.From_ = Have;
    for (const VersionedEntry &Current : *Entries_)
      if (!HasHistory || Current.ChangedIn_ > Have.Version_)
        Delta.Changed_.push_back(*Current.Value_);
    for (const std::pair<std::string, std::uint64_t> &Removal : RemovedKeys_)
      if (HasHistory && Removal.second > Have.Version_ && !find(Removal.first))
        Delta.Removed_.push_back(Removal.first);
    return Delta;
  }

private:
  using EntryIterator = typename std::vector<VersionedEntry>::const_iterator;

  static constexpr std::size_t MaxRemovedKeys = 1'000;

  template <class List>
  static auto lowerBound(List &In, const std::string &Key) {
    return std::lower_bound(
        In.begin(), In.end(), Key,
        [](const VersionedEntry &Candidate, const std::string &Wanted) {
          return entryKey(*Candidate.Value_) < Wanted;
        });
  }

  static void add(ContentDigest &Digest, const ContentDigest &Summand) {
    Digest.High_ += Summand.High_;
    Digest.Low_ += Summand.Low_;
  }

  static void subtract(ContentDigest &Digest, const ContentDigest &Summand) {
    Digest.High_ -= Summand.High_;
    Digest.Low_ -= Summand.Low_;
  }

  /// Adds or replaces an entry and updates the digest. True when the entry was
  /// added or changed.
  static bool upsert(std::vector<VersionedEntry> &List, ContentDigest &Digest,
                     const Entry &Value, std::uint64_t Version) {
    const typename std::vector<VersionedEntry>::iterator It =
        lowerBound(List, entryKey(Value));
    const bool Exists =
        It != List.end() && entryKey(*It->Value_) == entryKey(Value);
    if (Exists && *It->Value_ == Value)
      return false;
    if (Exists)
      subtract(Digest, entryDigest(*It->Value_));
    add(Digest, entryDigest(Value));
    VersionedEntry Next{std::make_shared<const Entry>(Value), Version};
    if (Exists)
      *It = std::move(Next);
    else
      List.insert(It, std::move(Next));
    return true;
  }

  bool applyWhole(const TableDelta<Entry> &Delta) {
    VersionedTable Copy = *this;
    std::vector<Entry> Sorted = Delta.Changed_;
    std::sort(Sorted.begin(), Sorted.end(),
              [](const Entry &Left, const Entry &Right) {
                return entryKey(Left) < entryKey(Right);
              });
    if (!Copy.replace(Delta.To_.Version_, Sorted) || Copy.Version_ != Delta.To_)
      return false;
    *this = std::move(Copy);
    return true;
  }

  std::vector<std::string>
  keysMissingIn(const std::vector<VersionedEntry> &Next) const {
    std::vector<std::string> Keys;
    EntryIterator It = Next.begin();
    for (const VersionedEntry &Old : *Entries_) {
      while (It != Next.end() && entryKey(*It->Value_) < entryKey(*Old.Value_))
        ++It;
      if (It == Next.end() || entryKey(*It->Value_) != entryKey(*Old.Value_))
        Keys.push_back(entryKey(*Old.Value_));
    }
    return Keys;
  }

  void recordRemovedKeys(const std::vector<std::string> &Keys,
                         std::uint64_t Version) {
    for (const std::string &Key : Keys)
      RemovedKeys_.emplace_back(Key, Version);
    while (RemovedKeys_.size() > MaxRemovedKeys) {
      OldestDeltaBase_ =
          std::max(OldestDeltaBase_, RemovedKeys_.front().second);
      RemovedKeys_.erase(RemovedKeys_.begin());
    }
  }

  /// Makes `Next` the content of the table, as version `NewVersion`.
  void commit(const TableVersion &NewVersion, std::vector<VersionedEntry> Next,
              std::vector<std::string> Changed) {
    if (Version_.Version_ == 0)
      OldestDeltaBase_ = NewVersion.Version_;
    Entries_ =
        std::make_shared<const std::vector<VersionedEntry>>(std::move(Next));
    Version_ = NewVersion;
    LastChangedKeys_ = std::move(Changed);
  }

  TableVersion Version_;
  /// Oldest version that deltas can start from.
  std::uint64_t OldestDeltaBase_ = 0;
  std::shared_ptr<const std::vector<VersionedEntry>> Entries_ =
      std::make_shared<const std::vector<VersionedEntry>>(); ///< Sorted by key.
  /// Removed keys and the version that removed them, oldest first; at most
  /// MaxRemovedKeys.
  std::vector<std::pair<std::string, std::uint64_t>> RemovedKeys_;
  std::vector<std::string> LastChangedKeys_;
};

} // namespace kumquatpitch

#endif
