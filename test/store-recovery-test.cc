// Tests hosts that follow a store which comes back from an older copy, in
// virtual time and without a network: what the store has lost must not undo
// what the hosts know, and what is confirmed afterwards must reach all of them.

#include "kumquatpitch/store-follower.h"

#include "manual-time.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

// Times of the platform, in milliseconds.
constexpr std::int64_t StableMs = 3'000;
constexpr std::int64_t ConfigApplyMs = 2'000;
constexpr std::int64_t HeartbeatMs = 1'500;
constexpr std::int64_t LeaseMs = 3 * HeartbeatMs;
constexpr std::int64_t DrainMs = 2'500;

/// A store that loses its last changes when it is restored.
class RestorableStore {
public:
  /// What is stored under one key: a configuration or a target's entry.
  struct Item {
    std::uint64_t Version_ = 0; ///< Of a configuration; 0 for a target.
    std::optional<TargetEntry> Entry_;
    std::uint64_t Revision_ = 0;
  };

  void put(const std::string &Key, Item Value, std::int64_t NowMs) {
    Value.Revision_ = ++State_.Revision_;
    State_.History_[State_.Revision_] = Key;
    State_.Items_[Key] = std::move(Value);
    Copies_[NowMs] = State_;
  }

  void remove(const std::string &Key, std::int64_t NowMs) {
    if (State_.Items_.erase(Key) == 0)
      return;
    State_.History_[++State_.Revision_] = Key;
    Copies_[NowMs] = State_;
  }

  /// Returns to the state at `CopyMs`.
  void restore(std::int64_t CopyMs) {
    ++Era_;
    Copies_.erase(Copies_.upper_bound(CopyMs), Copies_.end());
    State_ = Copies_.empty() ? State() : std::prev(Copies_.end())->second;
  }

  const std::map<std::string, Item> &items() const { return State_.Items_; }

  /// Changes with a version of the configuration are too long for one read.
  bool HasLongConfigs_ = false;

  PublishedRead answer(const ReadRequest &Request) const {
    PublishedRead Read;
    Read.Status_ = ReadStatus::Ok;
    const bool IsOfTargets = Request.Kind_ == ReadRequest::Kind::TargetChanges;
    Read.Era_ = Era_;
    Read.Revision_ = State_.Revision_;
    if (Request.Kind_ == ReadRequest::Kind::Config) {
      append("config", Read);
    } else if (Request.Kind_ == ReadRequest::Kind::All) {
      for (const std::pair<const std::string, Item> &Entry : State_.Items_)
        append(Entry.first, Read);
    } else if (Request.After_ > State_.Revision_) {
      Read.Status_ = ReadStatus::HistoryGone;
    } else {
      for (std::map<std::uint64_t, std::string>::const_iterator It =
               State_.History_.upper_bound(Request.After_);
           It != State_.History_.end(); ++It)
        if (It->second != "config" || !IsOfTargets)
          appendEvent(It->first, It->second, Read);
      if (HasLongConfigs_ && Read.Config_) {
        Read = PublishedRead();
        Read.Status_ = ReadStatus::TooLong;
      }
    }
    return Read;
  }

private:
  struct State {
    std::map<std::string, Item> Items_;
    std::map<std::uint64_t, std::string> History_; ///< Key by revision.
    std::uint64_t Revision_ = 40;
  };

  void append(const std::string &Key, PublishedRead &Read) const {
    const std::map<std::string, Item>::const_iterator It =
        State_.Items_.find(Key);
    if (It != State_.Items_.end())
      appendEvent(It->second.Revision_, Key, Read);
  }

  void appendEvent(std::uint64_t Revision, const std::string &Key,
                   PublishedRead &Read) const {
    const std::map<std::string, Item>::const_iterator It =
        State_.Items_.find(Key);
    if (Key != "config") {
      const bool IsThere = It != State_.Items_.end();
      Read.Targets_.push_back(TargetChange{
          TargetId(Key), Revision, IsThere ? It->second.Entry_ : std::nullopt});
    } else if (It != State_.Items_.end()) {
      RoutingConfig Config;
      Config.Version_ = It->second.Version_;
      Read.Config_ =
          PublishedConfig{Revision, std::make_shared<const RouteTable>(Config)};
    }
  }

  State State_;
  std::map<std::int64_t, State> Copies_; ///< By the time of the change.
  std::uint64_t Era_ = 1;
};

/// Hosts of one failure domain, an operator and targets before one store.
class RecoveryModel {
public:
  RecoveryModel(std::size_t Hosts, std::uint64_t Seed, int LossPercent = 0)
      : Random_(Seed), LossPercent_(LossPercent) {
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      Hosts_.emplace_back(HostId("h" + std::to_string(Index)));
    setConfig();
    for (int Index = 0; Index < 8; ++Index)
      addTarget();
  }

  /// Confirms the next version of the configuration, unless the store is away.
  void setConfig() {
    if (IsDown_)
      return;
    ++Version_;
    ConfirmedAt_ = Now_;
    Store_.put("config", {Version_, std::nullopt, 0}, Now_);
  }

  void addTarget() {
    TargetEntry Entry;
    Entry.Id_ = TargetId("t" + std::to_string(++TargetCount_));
    Entry.Service_ = ServiceName("desk");
    Entry.StartedUnixMs_ = 1'000 + TargetCount_;
    Targets_[Entry.Id_] = Entry;
    write(Entry.Id_);
  }

  /// Makes the first target that is ready drain, and leave later.
  void drainTarget() {
    for (std::pair<const TargetId, TargetEntry> &Target : Targets_)
      if (!Target.second.Leaving_) {
        Target.second.Leaving_ = true;
        write(Target.first);
        const TargetId Id = Target.first;
        return at(Now_ + DrainMs, [this, Id] {
          Targets_.erase(Id);
          if (!IsDown_)
            Store_.remove(Id.str(), Now_);
        });
      }
  }

  /// Takes the store away for `ForMs` and brings it back as it was `AgeMs`
  /// before.
  void restore(std::int64_t ForMs, std::int64_t AgeMs) {
    IsDown_ = true;
    const std::int64_t CopyMs = Now_ - AgeMs;
    at(Now_ + ForMs, [this, CopyMs] {
      Store_.restore(CopyMs);
      IsDown_ = false;
      DisturbedAt_ = Now_;
      at(Now_ + below(HeartbeatMs), [this] { writeConfigAgain(); });
      for (const std::pair<const TargetId, TargetEntry> &Target : Targets_) {
        const TargetId Id = Target.first;
        at(Now_ + below(HeartbeatMs), [this, Id] { write(Id); });
      }
      at(Now_ + LeaseMs, [this] { removeLapsedEntries(); });
    });
  }

  void at(std::int64_t TimeMs, std::function<void()> Action) {
    Events_.emplace(TimeMs, std::move(Action));
  }

  void run(std::int64_t UntilMs) {
    for (; Now_ < UntilMs; ++Now_) {
      while (!Events_.empty() && Events_.begin()->first <= Now_) {
        const std::function<void()> Action = std::move(Events_.begin()->second);
        Events_.erase(Events_.begin());
        Action();
      }
      for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
        if ((Now_ + static_cast<std::int64_t>(Index) * 7) % 100 == 0)
          tick(Index);
    }
  }

  std::int64_t below(std::int64_t Bound) {
    return static_cast<std::int64_t>(Random_() % Bound);
  }

  void setLongConfigs() { Store_.HasLongConfigs_ = true; }

  int StoreReads_ = 0;
  /// Broken guarantees, by what a test calls them.
  int LateConfigs_ = 0;
  int OlderConfigs_ = 0;
  int ReturnedTargets_ = 0;
  int LostTargets_ = 0;

private:
  struct Host {
    explicit Host(HostId Id) : Follower_(std::move(Id)) {}
    StoreFollower Follower_;
    std::uint64_t Version_ = 0;
    std::map<TargetId, bool> SeenLeaving_; ///< Targets that it has had.
  };

  /// Stores what a target reports, if that differs from what is stored.
  void write(const TargetId &Id) {
    const std::map<TargetId, TargetEntry>::const_iterator Target =
        Targets_.find(Id);
    const std::map<std::string, RestorableStore::Item>::const_iterator Stored =
        Store_.items().find(Id.str());
    if (!IsDown_ && Target != Targets_.end() &&
        (Stored == Store_.items().end() ||
         Stored->second.Entry_ != Target->second))
      Store_.put(Id.str(), {0, Target->second, 0}, Now_);
  }

  void writeConfigAgain() {
    const std::map<std::string, RestorableStore::Item>::const_iterator It =
        Store_.items().find("config");
    if (!IsDown_ &&
        (It == Store_.items().end() || It->second.Version_ != Version_))
      Store_.put("config", {Version_, std::nullopt, 0}, Now_);
  }

  void removeLapsedEntries() {
    std::vector<std::string> Lapsed;
    for (const std::pair<const std::string, RestorableStore::Item> &Entry :
         Store_.items())
      if (Entry.first != "config" && !Targets_.count(TargetId(Entry.first)))
        Lapsed.push_back(Entry.first);
    for (const std::string &Key : Lapsed)
      if (!IsDown_)
        Store_.remove(Key, Now_);
  }

  void tick(std::size_t Index) {
    Host &Self = Hosts_[Index];
    Self.Follower_.expire(atMs(Now_));
    if (const std::optional<ReadRequest> Request =
            Self.Follower_.due(static_cast<std::uint32_t>(Index), atMs(Now_))) {
      ++StoreReads_;
      at(Now_ + 4, [this, Index, Request] {
        const PublishedRead Read =
            IsDown_ ? PublishedRead() : Store_.answer(*Request);
        apply(Index, Hosts_[Index].Follower_.readEnded(Read, atMs(Now_)));
      });
    }
    check(Self);
  }

  void apply(std::size_t Index, const FollowResult &Result) {
    if (Result.ToForward_)
      for (std::size_t To = 0; To < Hosts_.size(); ++To)
        if (To != Index && below(100) >= LossPercent_) {
          const StoreChangesMessage Message = *Result.ToForward_;
          at(Now_ + 1 + below(20), [this, To, Message] {
            apply(To, Hosts_[To].Follower_.receive(Message, atMs(Now_)));
          });
        }
    check(Hosts_[Index]);
  }

  void check(Host &Self) {
    const std::uint64_t Version =
        Self.Follower_.table() ? Self.Follower_.table()->config().Version_ : 0;
    OlderConfigs_ += Version < Self.Version_ ? 1 : 0;
    Self.Version_ = Version;
    const bool IsStable = !IsDown_ && ConfirmedAt_ >= DisturbedAt_ + StableMs;
    LateConfigs_ +=
        IsStable && Now_ > ConfirmedAt_ + ConfigApplyMs && Version < Version_
            ? 1
            : 0;
    checkTargets(Self);
  }

  void checkTargets(Host &Self) {
    const std::map<TargetId, TargetEntry> &Known =
        Self.Follower_.directory().entries();
    for (std::pair<const TargetId, bool> &Seen : Self.SeenLeaving_) {
      const std::map<TargetId, TargetEntry>::const_iterator It =
          Known.find(Seen.first);
      const bool IsUsed = It != Known.end() && !It->second.Leaving_;
      const std::map<TargetId, TargetEntry>::const_iterator Target =
          Targets_.find(Seen.first);
      const bool IsReady = Target != Targets_.end() && !Target->second.Leaving_;
      ReturnedTargets_ += Seen.second && IsUsed ? 1 : 0;
      LostTargets_ += IsReady && !IsUsed ? 1 : 0;
      Seen.second |= !IsUsed;
    }
    for (const std::pair<const TargetId, TargetEntry> &Entry : Known)
      Self.SeenLeaving_.emplace(Entry.first, Entry.second.Leaving_);
  }

  std::mt19937_64 Random_;
  const int LossPercent_;
  std::int64_t Now_ = 0;
  RestorableStore Store_;
  std::vector<Host> Hosts_;
  std::map<TargetId, TargetEntry> Targets_; ///< That run, as they are.
  std::multimap<std::int64_t, std::function<void()>> Events_;
  std::uint64_t Version_ = 0;
  int TargetCount_ = 0;
  std::int64_t ConfirmedAt_ = 0;
  std::int64_t DisturbedAt_ = -StableMs;
  bool IsDown_ = false;
};

} // namespace

TEST_GROUP(StoreRecovery){};

// Guards against a confirmed configuration that hosts do not read, because the
// store gives out a revision again that they have from before it was restored.
TEST(StoreRecovery, ConfigurationAfterARestoreReachesAllHosts) {
  RecoveryModel Model(16, 1);
  for (const std::int64_t TimeMs : {5'000, 9'000, 12'000, 21'500})
    Model.at(TimeMs, [&Model] { Model.setConfig(); });
  Model.at(15'000, [&Model] { Model.restore(2'000, 9'000); });
  Model.run(30'000);
  CHECK_EQUAL(0, Model.LateConfigs_);
  CHECK_EQUAL(0, Model.OlderConfigs_);
}

// Guards against a target that drains or has left and is used again, because
// the restored store lists it as ready, and against the loss of live targets
// that the copy does not have yet.
TEST(StoreRecovery, RestoredEntriesDoNotUndoWhatTargetsReported) {
  RecoveryModel Model(16, 2);
  for (const std::int64_t TimeMs : {8'000, 10'000, 14'500})
    Model.at(TimeMs, [&Model] { Model.drainTarget(); });
  Model.at(13'000, [&Model] { Model.addTarget(); });
  Model.at(15'000, [&Model] { Model.restore(2'000, 9'000); });
  Model.run(30'000);
  CHECK_EQUAL(0, Model.ReturnedTargets_);
  CHECK_EQUAL(0, Model.LostTargets_);
}

static void checkRandomOrder(std::uint64_t Seed, bool HasLongConfigs) {
  RecoveryModel Model(12, Seed, Seed % 2 == 0 ? 5 : 0);
  if (HasLongConfigs)
    Model.setLongConfigs();
  for (int Change = 0; Change < 8; ++Change) {
    Model.at(3'000 + Model.below(30'000), [&Model] { Model.setConfig(); });
    Model.at(3'000 + Model.below(30'000), [&Model] { Model.drainTarget(); });
    Model.at(3'000 + Model.below(30'000), [&Model] { Model.addTarget(); });
  }
  for (const std::int64_t FromMs : {8'000, 20'000}) {
    const std::int64_t ForMs = 300 + Model.below(3'000);
    const std::int64_t AgeMs = 1'000 + Model.below(12'000);
    Model.at(FromMs + Model.below(4'000),
             [&Model, ForMs, AgeMs] { Model.restore(ForMs, AgeMs); });
  }
  Model.run(42'000);
  CHECK_EQUAL(0, Model.LateConfigs_);
  CHECK_EQUAL(0, Model.OlderConfigs_);
  CHECK_EQUAL(0, Model.ReturnedTargets_);
  CHECK_EQUAL(0, Model.LostTargets_);
}

// Guards against orders of restores, changes and lost datagrams that the two
// tests above do not have. The store may go back twice, and changes may be
// confirmed while it has just come back.
TEST(StoreRecovery, HoldsInRandomOrdersOfRestoresAndChanges) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    checkRandomOrder(Seed, false);
}

// Guards against the same while changes are read in parts.
TEST(StoreRecovery, HoldsInRandomOrdersWithLongConfigurations) {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed)
    checkRandomOrder(Seed, true);
}
