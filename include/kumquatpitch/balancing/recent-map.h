// A map of bounded size that keeps the entries used last. Used by CostModel.

#ifndef KUMQUATPITCH_BALANCING_RECENT_MAP_H
#define KUMQUATPITCH_BALANCING_RECENT_MAP_H

#include <cstddef>
#include <list>
#include <map>
#include <utility>

namespace kumquatpitch {

template <typename Key, typename Value> class RecentMap {
public:
  /// Keeps at most `Capacity` entries, which must be above 0.
  explicit RecentMap(std::size_t Capacity) : Capacity_(Capacity) {}

  /// Returns the value of `Name`, which becomes the most recent one. A missing
  /// one is constructed from `Arguments`; the least recent one is dropped if
  /// there are too many. The reference holds until the next call.
  template <typename... Args>
  Value &findOrCreate(const Key &Name, Args &&...Arguments) {
    const typename std::map<Key, Position>::iterator Found = Index_.find(Name);
    if (Found != Index_.end()) {
      Entries_.splice(Entries_.begin(), Entries_, Found->second);
      return Found->second->second;
    }
    if (Index_.size() >= Capacity_) {
      Index_.erase(Entries_.back().first);
      Entries_.pop_back();
    }
    Entries_.emplace_front(std::piecewise_construct,
                           std::forward_as_tuple(Name),
                           std::forward_as_tuple(Arguments...));
    Index_.emplace(Name, Entries_.begin());
    return Entries_.front().second;
  }

  /// Returns the value of `Name`, or null. Does not count as a use.
  const Value *find(const Key &Name) const {
    const typename std::map<Key, Position>::const_iterator Found =
        Index_.find(Name);
    return Found == Index_.end() ? nullptr : &Found->second->second;
  }

  std::size_t size() const { return Index_.size(); }

  /// All entries, the most recent one first.
  const std::list<std::pair<Key, Value>> &entries() const { return Entries_; }

private:
  using Position = typename std::list<std::pair<Key, Value>>::iterator;

  std::size_t Capacity_;
  std::list<std::pair<Key, Value>> Entries_; ///< The most recent one first.
  std::map<Key, Position> Index_;
};

} // namespace kumquatpitch

#endif
