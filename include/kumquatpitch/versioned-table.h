// A table of named entries with one version: the manifest or the host list.
// Gives the difference to an older version. Used by ConfigSync only.

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

/// Each entry holds the table version at which this host saw it change, so a
/// delta from any version since then is every entry that changed later. Hosts
/// that skipped versions name more entries than changed, which is harmless
/// since entries are whole values. Copies share their content.
template <class Entry> class VersionedTable {
public:
  struct Slot {
    std::shared_ptr<const Entry> Value_;
    std::uint64_t ChangedAt_ = 0;
  };

  const TableVersion &version() const { return Version_; }
  std::size_t size() const { return Slots_->size(); }
  const Entry &at(std::size_t Index) const { return *(*Slots_)[Index].Value_; }

  /// Entry with a key, or null.
  const Entry *find(const std::string &Key) const {
    const SlotIterator It = lowerBound(*Slots_, Key);
    return It != Slots_->end() && entryKey(*It->Value_) == Key
               ? It->Value_.get()
               : nullptr;
  }

  /// Keys whose entries the last change added or altered.
  const std::vector<std::string> &lastChanged() const { return LastChanged_; }

  /// Takes a whole table, sorted by key. False when it is not newer.
  bool replace(std::uint64_t Version, const std::vector<Entry> &Entries) {
    ContentDigest Sum;
    for (const Entry &Each : Entries)
      add(Sum, entryDigest(Each));
    const TableVersion To{Version, Sum};
    if (To <= Version_)
      return false;
    std::vector<Slot> Next;
    Next.reserve(Entries.size());
    std::vector<std::string> Changed;
    for (const Entry &Each : Entries) {
      const SlotIterator Old = lowerBound(*Slots_, entryKey(Each));
      if (Old != Slots_->end() && *Old->Value_ == Each) {
        Next.push_back(*Old);
        continue;
      }
      Next.push_back(Slot{std::make_shared<const Entry>(Each), Version});
      Changed.push_back(entryKey(Each));
    }
    noteRemoved(keysMissingIn(Next), Version);
    adopt(To, std::move(Next), std::move(Changed));
    return true;
  }

  /// True when the delta leads from this version, or is the whole table.
  bool canApply(const TableDelta<Entry> &Delta) const {
    return Delta.From_.Version_ == 0 || Delta.From_ == Version_;
  }

  /// Takes a delta. False when the result is not the digest that it names; the
  /// table is unchanged then.
  bool apply(const TableDelta<Entry> &Delta) {
    if (Delta.From_.Version_ == 0)
      return applyWhole(Delta);
    std::vector<Slot> Next = *Slots_;
    ContentDigest Sum = Version_.Digest_;
    std::vector<std::string> Changed;
    std::vector<std::string> Removed;
    for (const std::string &Key : Delta.Removed_) {
      const typename std::vector<Slot>::iterator It = lowerBound(Next, Key);
      if (It == Next.end() || entryKey(*It->Value_) != Key)
        continue;
      subtract(Sum, entryDigest(*It->Value_));
      Next.erase(It);
      Removed.push_back(Key);
    }
    for (const Entry &Each : Delta.Changed_)
      if (put(Next, Sum, Each, Delta.To_.Version_))
        Changed.push_back(entryKey(Each));
    if (Sum != Delta.To_.Digest_)
      return false;
    noteRemoved(Removed, Delta.To_.Version_);
    adopt(Delta.To_, std::move(Next), std::move(Changed));
    return true;
  }

  /// What a host with `Have` needs; the whole table when the history does not
  /// reach back to it.
  TableDelta<Entry> deltaFor(const TableVersion &Have) const {
    TableDelta<Entry> Delta;
    Delta.To_ = Version_;
    const bool HasHistory = Have.Version_ >= Floor_ && Have.Version_ > 0 &&
                            Have.Version_ < Version_.Version_;
    if (HasHistory)
      Delta.From_ = Have;
    for (const Slot &Each : *Slots_)
      if (!HasHistory || Each.ChangedAt_ > Have.Version_)
        Delta.Changed_.push_back(*Each.Value_);
    for (const std::pair<std::string, std::uint64_t> &Each : Removed_)
      if (HasHistory && Each.second > Have.Version_ && !find(Each.first))
        Delta.Removed_.push_back(Each.first);
    return Delta;
  }

private:
  using SlotIterator = typename std::vector<Slot>::const_iterator;

  static constexpr std::size_t MaxRemoved = 1'000;

  template <class Slots>
  static auto lowerBound(Slots &In, const std::string &Key) {
    return std::lower_bound(In.begin(), In.end(), Key,
                            [](const Slot &Each, const std::string &Wanted) {
                              return entryKey(*Each.Value_) < Wanted;
                            });
  }

  static void add(ContentDigest &Sum, const ContentDigest &Each) {
    Sum.High_ += Each.High_;
    Sum.Low_ += Each.Low_;
  }

  static void subtract(ContentDigest &Sum, const ContentDigest &Each) {
    Sum.High_ -= Each.High_;
    Sum.Low_ -= Each.Low_;
  }

  /// True when the entry is new or altered.
  static bool put(std::vector<Slot> &Slots, ContentDigest &Sum,
                  const Entry &Value, std::uint64_t Version) {
    const typename std::vector<Slot>::iterator It =
        lowerBound(Slots, entryKey(Value));
    const bool Exists =
        It != Slots.end() && entryKey(*It->Value_) == entryKey(Value);
    if (Exists && *It->Value_ == Value)
      return false;
    if (Exists)
      subtract(Sum, entryDigest(*It->Value_));
    add(Sum, entryDigest(Value));
    Slot Next{std::make_shared<const Entry>(Value), Version};
    if (Exists)
      *It = std::move(Next);
    else
      Slots.insert(It, std::move(Next));
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

  std::vector<std::string> keysMissingIn(const std::vector<Slot> &Next) const {
    std::vector<std::string> Keys;
    SlotIterator At = Next.begin();
    for (const Slot &Old : *Slots_) {
      while (At != Next.end() && entryKey(*At->Value_) < entryKey(*Old.Value_))
        ++At;
      if (At == Next.end() || entryKey(*At->Value_) != entryKey(*Old.Value_))
        Keys.push_back(entryKey(*Old.Value_));
    }
    return Keys;
  }

  void noteRemoved(const std::vector<std::string> &Keys,
                   std::uint64_t Version) {
    for (const std::string &Key : Keys)
      Removed_.emplace_back(Key, Version);
    while (Removed_.size() > MaxRemoved) {
      Floor_ = std::max(Floor_, Removed_.front().second);
      Removed_.erase(Removed_.begin());
    }
  }

  void adopt(const TableVersion &To, std::vector<Slot> Next,
             std::vector<std::string> Changed) {
    if (Version_.Version_ == 0)
      Floor_ = To.Version_;
    Slots_ = std::make_shared<const std::vector<Slot>>(std::move(Next));
    Version_ = To;
    LastChanged_ = std::move(Changed);
  }

  TableVersion Version_;
  std::uint64_t Floor_ = 0; ///< Oldest version that deltas can start from.
  std::shared_ptr<const std::vector<Slot>> Slots_ =
      std::make_shared<const std::vector<Slot>>(); ///< Sorted by key.
  /// Removed keys and the version that removed them, oldest first.
  std::vector<std::pair<std::string, std::uint64_t>> Removed_;
  std::vector<std::string> LastChanged_;
};

} // namespace kumquatpitch

#endif
