// Updates and removals of target entries. See target-directory.h.

#include "kumquatpitch/target-directory.h"

#include <set>

namespace kumquatpitch {

bool TargetDirectory::put(const TargetEntry &Entry, TimePoint Now) {
  static_cast<void>(Now);
  Missing_.erase(Entry.Id_);
  const std::map<TargetId, TargetEntry>::iterator It = Entries_.find(Entry.Id_);
  if (It == Entries_.end()) {
    Entries_.emplace(Entry.Id_, Entry);
    return true;
  }
  const bool Changed = !It->second.isEquivalentTo(Entry);
  It->second = Entry;
  return Changed;
}

bool TargetDirectory::remove(const TargetId &Id, TimePoint Now) {
  const std::map<TargetId, TargetEntry>::iterator It = Entries_.find(Id);
  if (It == Entries_.end())
    return false;
  if (Now < GracePeriodEnd_ && !It->second.Leaving_) {
    Missing_.emplace(Id, GracePeriodEnd_);
    return false;
  }
  Missing_.erase(Id);
  Entries_.erase(It);
  return true;
}

bool TargetDirectory::replaceAll(const std::vector<TargetEntry> &Entries,
                                 TimePoint Now) {
  bool Changed = false;
  std::set<TargetId> Listed;
  for (const TargetEntry &Entry : Entries) {
    Listed.insert(Entry.Id_);
    Changed |= put(Entry, Now);
  }
  std::vector<TargetId> Unlisted;
  for (const std::pair<const TargetId, TargetEntry> &Entry : Entries_)
    if (!Listed.count(Entry.first))
      Unlisted.push_back(Entry.first);
  for (const TargetId &Id : Unlisted)
    Changed |= remove(Id, Now);
  return Changed;
}

bool TargetDirectory::expire(TimePoint Now) {
  bool Changed = false;
  for (std::map<TargetId, TimePoint>::iterator It = Missing_.begin();
       It != Missing_.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    Entries_.erase(It->first);
    It = Missing_.erase(It);
    Changed = true;
  }
  return Changed;
}

} // namespace kumquatpitch
