// Updates and removals of target entries. See target-directory.h.

#include "kumquatpitch/target-directory.h"

#include <set>
#include <utility>

namespace kumquatpitch {

bool TargetDirectory::put(const TargetEntry &Entry, TimePoint Now) {
  static_cast<void>(Now);
  HeldBack_.erase(Entry.Id_);
  return add(Entry);
}

bool TargetDirectory::add(TargetEntry Entry) {
  if (!Entry.Leaving_ &&
      LeavingTargets_.contains(LeavingTarget{Entry.Id_, Entry.StartedUnixMs_}))
    Entry.Leaving_ = true;
  else
    LeavingTargets_.forget(Entry.Id_);
  Missing_.erase(Entry.Id_);
  Departures_.erase(Entry.Id_);
  const std::map<TargetId, TargetEntry>::iterator It = Entries_.find(Entry.Id_);
  if (It == Entries_.end()) {
    Entries_.emplace(Entry.Id_, Entry);
    return true;
  }
  const bool Changed = !It->second.isEquivalentTo(Entry);
  It->second = Entry;
  return Changed;
}

bool TargetDirectory::markLeaving(const LeavingTarget &Target, bool IsFromPeer,
                                  TimePoint Now) {
  const std::map<TargetId, TargetEntry>::iterator It =
      Entries_.find(Target.Id_);
  if (It == Entries_.end() ||
      It->second.StartedUnixMs_ != Target.StartedUnixMs_)
    return false;
  const bool IsNew = !It->second.Leaving_;
  // The store lists it as leaving.
  if (!IsNew && !LeavingTargets_.contains(Target))
    return false;
  if (IsFromPeer)
    LeavingTargets_.recordPeer(Target, Now);
  else
    LeavingTargets_.recordAnswer(Target, Now);
  It->second.Leaving_ = true;
  return IsNew;
}

void TargetDirectory::drop(std::map<TargetId, TargetEntry>::iterator It,
                           TimePoint Now) {
  LeavingTargets_.forget(It->first);
  Departures_[It->first] = Departure{It->second.StartedUnixMs_, Now};
  Entries_.erase(It);
}

bool TargetDirectory::remove(const TargetId &Id, TimePoint Now) {
  HeldBack_.erase(Id);
  const std::map<TargetId, TargetEntry>::iterator It = Entries_.find(Id);
  if (It == Entries_.end())
    return false;
  if (Now < GracePeriodEnd_ && !It->second.Leaving_) {
    Missing_.emplace(Id, GracePeriodEnd_);
    return false;
  }
  Missing_.erase(Id);
  drop(It, Now);
  return true;
}

/// True for an entry of an earlier incarnation than the known one, and for one
/// that is ready although its target drains or has left.
bool TargetDirectory::isOlderThanKnown(const TargetEntry &Entry) const {
  const std::map<TargetId, TargetEntry>::const_iterator Known =
      Entries_.find(Entry.Id_);
  if (Known != Entries_.end())
    return Entry.StartedUnixMs_ < Known->second.StartedUnixMs_ ||
           (Entry.StartedUnixMs_ == Known->second.StartedUnixMs_ &&
            Known->second.Leaving_ && !Entry.Leaving_);
  const std::map<TargetId, Departure>::const_iterator Left =
      Departures_.find(Entry.Id_);
  return Left != Departures_.end() &&
         Entry.StartedUnixMs_ <= Left->second.StartedUnixMs_;
}

bool TargetDirectory::replaceAll(const std::vector<TargetEntry> &Entries,
                                 TimePoint Now) {
  bool Changed = false;
  std::set<TargetId> Listed;
  HeldBack_.clear();
  for (const TargetEntry &Entry : Entries) {
    Listed.insert(Entry.Id_);
    if (Now < HoldEnd_ && isOlderThanKnown(Entry))
      HeldBack_.emplace(Entry.Id_, Entry);
    else
      Changed |= add(Entry);
  }
  std::vector<TargetId> Unlisted;
  for (const std::pair<const TargetId, TargetEntry> &Entry : Entries_)
    if (!Listed.count(Entry.first))
      Unlisted.push_back(Entry.first);
  for (const TargetId &Id : Unlisted)
    Changed |= remove(Id, Now);
  return Changed;
}

bool TargetDirectory::expire(TimePoint CurrentAt, TimePoint Now) {
  bool Changed = false;
  for (std::map<TargetId, TimePoint>::iterator It = Missing_.begin();
       It != Missing_.end();) {
    if (CurrentAt < It->second) {
      ++It;
      continue;
    }
    drop(Entries_.find(It->first), Now);
    It = Missing_.erase(It);
    Changed = true;
  }
  if (CurrentAt >= HoldEnd_)
    for (const std::pair<const TargetId, TargetEntry> &Held :
         std::exchange(HeldBack_, {}))
      Changed |= add(Held.second);
  std::erase_if(Departures_,
                [&](const std::pair<const TargetId, Departure> &Left) {
                  return Now - Left.second.At_ > DepartureMemory;
                });
  return Changed;
}

} // namespace kumquatpitch
