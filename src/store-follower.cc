// Reading and applying the published state. See store-follower.h.

#include "kumquatpitch/store-follower.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace kumquatpitch {

const char *readStatusName(ReadStatus Status) {
  switch (Status) {
  case ReadStatus::Ok:
    return "ok";
  case ReadStatus::HistoryGone:
    return "history_gone";
  case ReadStatus::Refused:
    return "refused";
  case ReadStatus::TooLong:
    return "too_long";
  case ReadStatus::Failed:
    return "failed";
  }
  return "unknown";
}

std::optional<ReadRequest> StoreFollower::due(std::uint32_t Rank, TimePoint Now,
                                              bool NeedsProof) {
  if (InProgress_ || Now < BackoffUntil_)
    return std::nullopt;
  const Duration Wait =
      ReadPeriod + HandOverDelay * std::min(Rank, MaxHandOverDelays);
  if (NeedsListing_)
    InProgress_ = ReadRequest{ReadRequest::Kind::All, 0, false};
  else if (Split_)
    InProgress_ = Split_->next();
  else if (HasGap_ || age(Now) >= Wait)
    InProgress_ = ReadRequest{ReadRequest::Kind::Changes, Revision_, false};
  else if (PeerConfigRevision_ > ConfigRevision_) {
    // All hosts read the new configuration at nearly the same time, so a
    // cheaper copy is tried first. If it is too old, the newest is read next.
    const bool AllowStale = StaleCopyReadFor_ < PeerConfigRevision_;
    StaleCopyReadFor_ = PeerConfigRevision_;
    InProgress_ = ReadRequest{ReadRequest::Kind::Config, 0, AllowStale};
  } else if (NeedsProof)
    InProgress_ =
        ReadRequest{ReadRequest::Kind::Changes, Revision_, false, true};
  InProgressEra_ = Era_;
  InProgressSince_ = Now;
  return InProgress_;
}

void StoreFollower::recordFailure(const ReadRequest &Request,
                                  const PublishedRead &Read, TimePoint Now) {
  const bool IsTooLong = Read.Status_ == ReadStatus::TooLong;
  if (IsTooLong && Request.Kind_ == ReadRequest::Kind::Changes) {
    Split_.emplace(Request.After_);
    return;
  }
  if (Read.Status_ == ReadStatus::HistoryGone ||
      (IsTooLong && Request.Kind_ == ReadRequest::Kind::TargetChanges)) {
    NeedsListing_ = true;
    Split_.reset();
    return;
  }
  if (!FailingSince_)
    FailingSince_ = Now;
  Duration Backoff = MinReadBackoff;
  for (std::uint32_t Index = 0; Index < ConsecutiveFailures_; ++Index)
    Backoff = std::min(MaxReadBackoff, Backoff * 2);
  ++ConsecutiveFailures_;
  BackoffUntil_ = std::max(Now + MinReadBackoff, InProgressSince_ + Backoff);
}

void StoreFollower::enterEra(std::uint64_t Era, TimePoint Now,
                             FollowResult &Result) {
  if (Revision_ != 0) {
    Result.EraChange_ = EraChange{Era_, Revision_};
    NeedsListing_ = true;
    // Targets write again what the copy does not have.
    Directory_.storeRestored(Now);
  }
  Era_ = Era;
  Split_.reset();
  ConfigRevision_ = 0;
  StoreVersion_.reset();
  PeerConfigRevision_ = 0;
  StaleCopyReadFor_ = 0;
  ConsecutiveFailures_ = 0;
  BackoffUntil_ = Now;
}

void StoreFollower::recordStoreAnswer(TimePoint Now) {
  if (FailingSince_ && Revision_ == 0)
    SettledAt_ = Now + TargetDirectory::RepublishGracePeriod;
  if (FailingSince_ && Now - *FailingSince_ >= MinOutageTime)
    Directory_.storeRecovered(Now);
  FailingSince_.reset();
}

FollowResult StoreFollower::readEnded(const PublishedRead &Read,
                                      TimePoint Now) {
  FollowResult Result;
  const ReadRequest Request = InProgress_.value_or(ReadRequest{});
  InProgress_.reset();
  // A later era than the store's is a false report of a peer. An older one than
  // was known when the read began comes from an old copy for stale reads.
  const bool IsStoreOlder = Read.Status_ == ReadStatus::Ok &&
                            Read.Era_ < Era_ && InProgressEra_ == Era_ &&
                            !Request.AllowStale_;
  if (Read.Era_ > Era_ || IsStoreOlder) {
    AnnouncesEra_ = Revision_ != 0;
    enterEra(Read.Era_, Now, Result);
  }
  if (Read.Status_ != ReadStatus::Ok || Read.Era_ < Era_) {
    recordFailure(Request, Read, Now);
    return Result;
  }
  recordStoreAnswer(Now);
  ConsecutiveFailures_ = 0;
  if (Read.Config_)
    applyConfig(*Read.Config_, Result);
  // Changes after a revision of another era are not all that has changed.
  const bool IsOfTargets = Request.Kind_ == ReadRequest::Kind::TargetChanges;
  if ((Request.Kind_ == ReadRequest::Kind::Changes || IsOfTargets) &&
      NeedsListing_)
    return Result;
  if (IsOfTargets) {
    Split_->targetsRead(Read.Revision_, InProgressSince_,
                        apply(Read.Targets_, Now, Result.TargetsChanged_));
    return Result;
  }
  Result.Reading_ = configReading(Request);
  if (Request.Kind_ == ReadRequest::Kind::Config) {
    if (Split_)
      completeChanges(Split_->changes(), Now, Result);
    Split_.reset();
    return Result;
  }
  if (Request.IsForProof_) {
    // The next reader forwards these changes, with others that came before.
    apply(Read.Targets_, Now, Result.TargetsChanged_);
    return Result;
  }
  if (Request.Kind_ == ReadRequest::Kind::All) {
    becomeCurrent(InProgressSince_, Now);
    applyAll(Read, Now, Result);
    return Result;
  }
  completeChanges(
      CompleteChanges{Request.After_, Read.Revision_, InProgressSince_,
                      apply(Read.Targets_, Now, Result.TargetsChanged_)},
      Now, Result);
  return Result;
}

void StoreFollower::becomeCurrent(TimePoint AskedAt, TimePoint Now) {
  FreshAt_ = Now;
  CompleteUntil_ = AskedAt;
  HasGap_ = false;
}

void StoreFollower::completeChanges(const CompleteChanges &Changes,
                                    TimePoint Now, FollowResult &Result) {
  becomeCurrent(Changes.AskedAt_, Now);
  Result.ToForward_ =
      StoreChangesMessage{Self_,
                          Changes.After_,
                          std::max(Changes.After_, Changes.UpTo_),
                          ConfigRevision_,
                          Changes.Targets_,
                          Era_};
  Revision_ = std::max(Revision_, Changes.UpTo_);
}

/// A stale copy may lack a confirmed configuration. Changes may lack one as
/// well: one that came before them and that only a peer has read.
std::optional<ConfigReading>
StoreFollower::configReading(const ReadRequest &Request) const {
  if (Request.AllowStale_ || PeerConfigRevision_ > ConfigRevision_ ||
      !StoreVersion_)
    return std::nullopt;
  return ConfigReading{InProgressSince_, Era_, *StoreVersion_};
}

void StoreFollower::applyAll(const PublishedRead &Read, TimePoint Now,
                             FollowResult &Result) {
  std::vector<TargetEntry> Entries;
  Revisions_.clear();
  for (const TargetChange &Change : Read.Targets_) {
    Revisions_[Change.Id_] = Change.Revision_;
    if (Change.Entry_)
      Entries.push_back(*Change.Entry_);
  }
  Result.TargetsChanged_ = Directory_.replaceAll(Entries, Now);
  Revision_ = Read.Revision_;
  NeedsListing_ = false;
  if (AnnouncesEra_)
    Result.ToForward_ = StoreChangesMessage{
        Self_, Revision_, Revision_, ConfigRevision_, {}, Era_};
  AnnouncesEra_ = false;
}

void StoreFollower::applyConfig(const PublishedConfig &Config,
                                FollowResult &Result) {
  if (Config.Revision_ >= ConfigRevision_) {
    ConfigRevision_ = Config.Revision_;
    StoreVersion_.reset();
    if (Config.Table_)
      StoreVersion_ = Config.Table_->config().Version_;
  }
  if (!Config.Table_)
    return;
  if (Table_ && Config.Table_->config().Version_ <= Table_->config().Version_)
    return;
  Table_ = Config.Table_;
  Result.NewTable_ = Table_;
}

std::vector<TargetChange>
StoreFollower::apply(const std::vector<TargetChange> &Changes, TimePoint Now,
                     bool &IsRoutingChanged) {
  std::vector<TargetChange> Effective;
  for (const TargetChange &Change : Changes) {
    std::uint64_t &AppliedRevision = Revisions_[Change.Id_];
    if (Change.Revision_ < AppliedRevision)
      continue;
    // A peer told of it. Other hosts may have missed that message, and this
    // host's will say that it is complete.
    if (Change.Revision_ == AppliedRevision) {
      Effective.push_back(Change);
      continue;
    }
    AppliedRevision = Change.Revision_;
    // Hosts that did not keep a missing entry have to learn that it is
    // published again.
    const bool WasMissing = Directory_.isMissing(Change.Id_);
    const bool Changed = Change.Entry_ ? Directory_.put(*Change.Entry_, Now)
                                       : Directory_.remove(Change.Id_, Now);
    IsRoutingChanged |= Changed;
    if (Changed || WasMissing || !Change.Entry_)
      Effective.push_back(Change);
  }
  return Effective;
}

FollowResult StoreFollower::receive(const StoreChangesMessage &Message,
                                    TimePoint Now) {
  FollowResult Result;
  if (Message.Era_ < Era_)
    return Result;
  if (Message.Era_ > Era_)
    enterEra(Message.Era_, Now, Result);
  PeerConfigRevision_ = std::max(PeerConfigRevision_, Message.ConfigRevision_);
  if (NeedsListing_)
    return Result;
  recordStoreAnswer(Now);
  apply(Message.Targets_, Now, Result.TargetsChanged_);
  if (Message.After_ > Revision_) {
    HasGap_ = true;
    return Result;
  }
  if (Message.Revision_ >= Revision_) {
    Revision_ = Message.Revision_;
    becomeCurrent(Now, Now);
  }
  return Result;
}

std::uint32_t readerRank(const Member &Self, const std::vector<Member> &All) {
  const auto Key = [](const Member &Host) {
    return std::make_tuple(
        XXH3_64bits(Host.Id_.str().data(), Host.Id_.str().size()), Host.Id_);
  };
  return static_cast<std::uint32_t>(
      std::count_if(All.begin(), All.end(), [&](const Member &Host) {
        return Host.Domain_ == Self.Domain_ &&
               (Host.State_ == MemberState::Starting ||
                Host.State_ == MemberState::Serving) &&
               Key(Host) < Key(Self);
      }));
}

} // namespace kumquatpitch
