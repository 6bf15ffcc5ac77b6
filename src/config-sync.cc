// Join, platform reads and changes of state. See config-sync.h; the exchange
// with peers is in config-sync-peers.cc.

#include "kumquatpitch/config-sync.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

constexpr Duration DigestPeriod = std::chrono::seconds(1);
constexpr std::size_t PushPeers = 4;
constexpr std::size_t HostsPushPeers = 1;
constexpr Duration AnnounceDelay = std::chrono::milliseconds(300);
constexpr Duration WatchWait = std::chrono::seconds(30);
constexpr Duration LeastBackoff = std::chrono::seconds(1);
constexpr Duration MostBackoff = std::chrono::seconds(10);
constexpr Duration LeastHostsPause = std::chrono::seconds(1);
/// A reader takes the whole host list at each change, so the pause after a
/// reply follows its size: half of the control budget of 6 KB/s.
constexpr std::uint64_t HostsBytesPerSecond = 3'000;

constexpr Duration JoinTimeout = std::chrono::seconds(2);
constexpr Duration JoinSettle = std::chrono::milliseconds(500);
constexpr Duration JoinDigestPeriod = std::chrono::milliseconds(500);
constexpr Duration JoinGiveUp = std::chrono::seconds(10);
constexpr Duration SeedLead = std::chrono::seconds(8);
constexpr Duration JoinEscape = std::chrono::seconds(20);
constexpr Duration MostPlatformDelay = std::chrono::seconds(2);
constexpr std::size_t JoinPeers = 4;

constexpr double PlatformCallsPerSecond = 50;
constexpr double FullTablesPerSecond = 8;
constexpr std::size_t MaxReading = 32;
constexpr std::size_t MaxPrefetch = 64;
constexpr std::size_t MaxRelayBytes = 16'000'000;

Duration randomBelow(Duration Most, RandomSource &Random) {
  return Duration(static_cast<Duration::rep>(
      Random.below(static_cast<std::uint64_t>(Most.count()))));
}

/// Parses a table's document; its failure, or none.
template <class T>
std::optional<Failure> parseInto(T &Into, const std::string &Body,
                                 Result<T> (*Parse)(std::string_view)) {
  return handleFailure(
      [&]() -> Result<std::optional<Failure>> {
        BOOST_LEAF_AUTO(Value, Parse(Body));
        Into = std::move(Value);
        return std::optional<Failure>();
      },
      [](const Failure &Cause) { return std::optional<Failure>(Cause); });
}

} // namespace

bool ConfigSync::TokenBucket::take(TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - At_;
  Tokens_ = std::min(PerSecond_, Tokens_ + Passed.count() * PerSecond_);
  At_ = Now;
  if (Tokens_ < 1)
    return false;
  Tokens_ -= 1;
  return true;
}

ConfigSync::ConfigSync(ConfigSyncOptions Options, RandomSource &Random,
                       TimePoint Now)
    : Options_(std::move(Options)), Random_(&Random), Start_(Now),
      Documents_(Options_.Customers_), Directory_(Options_.Self_.Id_),
      Rank_(Options_.Self_.Id_, Options_.Self_.Domain_), NextJoinDigest_(Now),
      PlatformDelay_(randomBelow(MostPlatformDelay, Random)),
      NextDigest_(Now + randomBelow(DigestPeriod, Random)),
      CallBucket_(PlatformCallsPerSecond, Now),
      FullBucket_(FullTablesPerSecond, Now) {}

ConfigSync::ConfigSync(ConfigSyncOptions Options, RandomSource &Random,
                       TimePoint Now, const ConfigSync &From)
    : ConfigSync(std::move(Options), Random, Now) {
  Manifest_ = From.Manifest_;
  Hosts_ = From.Hosts_;
  Documents_ = From.Documents_;
  HighestHeard_ = Manifest_.version();
  Directory_.setHosts(Hosts_);
  Rank_.setHosts(Hosts_, Now);
  IsReady_ = true;
}

ConfigState ConfigSync::state() const {
  return ConfigState{Manifest_.version(), Hosts_.version()};
}

HostList ConfigSync::hostList() const {
  HostList List;
  List.Version_ = Hosts_.version().Version_;
  List.Hosts_.reserve(Hosts_.size());
  for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
    List.Hosts_.push_back(Hosts_.at(Index));
  return List;
}

std::vector<Refusal> ConfigSync::refusals() const {
  std::vector<Refusal> All;
  for (const std::pair<const std::string, Refusal> &Each : TableRefusals_)
    All.push_back(Each.second);
  for (const std::pair<const CustomerName, Refusal> &Each :
       Documents_.refusals())
    All.push_back(Each.second);
  return All;
}

ConfigActions ConfigSync::tick(TimePoint Now) {
  ConfigActions Out;
  Rank_.tick(Now);
  Directory_.expire(Now);
  if (NeedsRebuild_)
    rebuild(Out);
  if (!IsReady_)
    join(Out, Now);
  if (Now >= NextDigest_) {
    NextDigest_ = Now + DigestPeriod;
    if (const std::optional<PeerContact> Peer = Directory_.random(*Random_))
      sendDigest(*Peer, false, Out, Now);
  }
  watchTables(Out, Now);
  fetchMissing(Out, Now);
  if (AnnounceBy_ && ((Documents_.missing().empty() && Reading_.empty()) ||
                      Now >= *AnnounceBy_))
    announceManifest(Out, Now);
  checkReady(Out, Now);
  return Out;
}

// Join.

bool ConfigSync::isSeed() const {
  return std::find(Options_.Seeds_.begin(), Options_.Seeds_.end(),
                   Options_.Self_.Address_) != Options_.Seeds_.end();
}

void ConfigSync::join(ConfigActions &Out, TimePoint Now) {
  if (Now < NextJoinDigest_)
    return;
  NextJoinDigest_ = Now + JoinDigestPeriod;
  for (const Endpoint &Seed : Options_.Seeds_)
    if (Seed != Options_.Self_.Address_)
      sendDigest(PeerContact{HostId(), FailureDomain(), Seed}, false, Out, Now);
  for (std::size_t Count = 0; Count < JoinPeers; ++Count)
    if (const std::optional<PeerContact> Peer = Directory_.random(*Random_))
      sendDigest(*Peer, false, Out, Now);
}

void ConfigSync::checkReady(ConfigActions &Out, TimePoint Now) {
  if (IsReady_ || Manifest_.version().Version_ == 0 ||
      !Documents_.missing().empty() || NeedsRebuild_)
    return;
  if (FirstAnswer_ && Now - *FirstAnswer_ < JoinSettle)
    return;
  const bool IsBehind = Manifest_.version() < HighestHeard_;
  if (IsBehind && FirstAnswer_ && Now - *FirstAnswer_ < JoinGiveUp)
    return;
  IsReady_ = true;
  Out.Notes_.push_back("ready with version " +
                       std::to_string(Manifest_.version().Version_) +
                       (IsBehind ? "; a newer one was heard of and is not to "
                                   "be had"
                                 : ""));
}

// Platform.

bool ConfigSync::mayCallPlatform(TimePoint Now) const {
  if (IsReady_)
    return Rank_.isReader();
  if (FirstAnswer_ && Now - *FirstAnswer_ < JoinGiveUp)
    return false;
  const Duration Age = Now - Start_;
  const bool HasList = Hosts_.version().Version_ > 0;
  if (FirstHeard_ && HasList)
    return Age >=
           (Rank_.isReader() ? JoinTimeout : JoinEscape + 10 * PlatformDelay_);
  if (!FirstHeard_ || isSeed())
    return Age >= JoinTimeout + PlatformDelay_;
  // Peers are there and none has a list: the seeds read it first.
  return Age >= JoinTimeout + SeedLead + 4 * PlatformDelay_;
}

void ConfigSync::watchTables(ConfigActions &Out, TimePoint Now) {
  if (!mayCallPlatform(Now))
    return;
  watchTable("hosts", HostsWatch_, Hosts_.version().Version_, Out, Now);
  // The list decides who reads the manifest.
  if (Hosts_.version().Version_ > 0)
    watchTable("manifest", ManifestWatch_, Manifest_.version().Version_, Out,
               Now);
}

void ConfigSync::watchTable(const char *Key, Watch &State, std::uint64_t After,
                            ConfigActions &Out, TimePoint Now) {
  if (State.Waiting_ || Now < State.NotBefore_ || !CallBucket_.take(Now))
    return;
  State.Waiting_ = true;
  ++Counters_.PlatformCalls_;
  Out.Calls_.push_back(PlatformCall{Key, true, After, WatchWait});
}

void ConfigSync::endWatch(Watch &State, const PlatformReply &Reply,
                          bool IsNewer, TimePoint Now) {
  State.Waiting_ = false;
  if (Reply.Status_ == PlatformStatus::Unchanged || IsNewer) {
    State.Backoff_ = Duration(0);
    State.NotBefore_ = Now;
    return;
  }
  State.Backoff_ = std::clamp(2 * State.Backoff_, LeastBackoff, MostBackoff);
  State.NotBefore_ =
      Now + State.Backoff_ / 2 + randomBelow(State.Backoff_ / 2, *Random_);
}

ConfigActions ConfigSync::onPlatformReply(const PlatformReply &Reply,
                                          TimePoint Now) {
  ConfigActions Out;
  if (Reply.Status_ == PlatformStatus::Malformed)
    ++Counters_.MalformedReplies_;
  if (Reply.Key_ == "manifest")
    onManifest(Reply, Out, Now);
  else if (Reply.Key_ == "hosts")
    onHostList(Reply, Out, Now);
  else
    onPart(Reply, Out, Now);
  checkReady(Out, Now);
  return Out;
}

template <class Document, class Entry>
bool ConfigSync::takeTable(const char *Name, VersionedTable<Entry> &Table,
                           Document &Read,
                           std::vector<Entry> Document::*Entries,
                           const PlatformReply &Reply,
                           Result<Document> (*Parse)(std::string_view),
                           ConfigActions &Out) {
  std::optional<Failure> Cause = parseInto(Read, Reply.Body_, Parse);
  if (!Cause && Read.Version_ != Reply.Version_)
    Cause = Failure{ResultCode::PlatformMalformed,
                    "version: differs from the reply's header"};
  if (Cause) {
    ++Counters_.MalformedReplies_;
    TableRefusals_[Name] = Refusal{Name, Reply.Version_, Cause->Code_,
                                   std::string(Name) + ": " + Cause->Message_};
    Out.Notes_.push_back("refused " + TableRefusals_[Name].Message_);
    return false;
  }
  if (Read.Version_ < Table.version().Version_) {
    ++Counters_.StaleReplies_;
    Out.Notes_.push_back(std::string("ignored ") + Name + " version " +
                         std::to_string(Read.Version_) + ", have " +
                         std::to_string(Table.version().Version_));
    return false;
  }
  TableRefusals_.erase(Name);
  return Table.replace(Read.Version_, Read.*Entries);
}

void ConfigSync::onManifest(const PlatformReply &Reply, ConfigActions &Out,
                            TimePoint Now) {
  Manifest Read;
  bool IsNewer = false;
  if (Reply.Status_ == PlatformStatus::Value)
    IsNewer = takeTable("manifest", Manifest_, Read, &Manifest::Parts_, Reply,
                        parseManifest, Out);
  endWatch(ManifestWatch_, Reply, IsNewer, Now);
  if (IsNewer)
    manifestChanged(HostId(), true, Out, Now);
}

void ConfigSync::onHostList(const PlatformReply &Reply, ConfigActions &Out,
                            TimePoint Now) {
  HostList Read;
  bool IsNewer = false;
  if (Reply.Status_ == PlatformStatus::Value)
    IsNewer = takeTable("hosts", Hosts_, Read, &HostList::Hosts_, Reply,
                        parseHostList, Out);
  endWatch(HostsWatch_, Reply, IsNewer, Now);
  const Duration Pause =
      std::chrono::milliseconds(Reply.WireBytes_ * 1'000 / HostsBytesPerSecond);
  if (Reply.Status_ == PlatformStatus::Value)
    HostsWatch_.NotBefore_ = std::max(HostsWatch_.NotBefore_,
                                      Now + std::max(LeastHostsPause, Pause));
  if (IsNewer)
    hostsChanged(Out, Now);
}

bool ConfigSync::readDocument(const DocumentId &Id, ConfigActions &Out,
                              TimePoint Now) {
  if (Reading_.count(Id))
    return true;
  if (Reading_.size() >= MaxReading || !CallBucket_.take(Now))
    return false;
  Reading_.insert(Id);
  ++Counters_.PlatformCalls_;
  Out.Calls_.push_back(PlatformCall{"parts/" + Id.Name_ + "/" + Id.Hash_, false,
                                    0, Duration(0)});
  return true;
}

void ConfigSync::onPart(const PlatformReply &Reply, ConfigActions &Out,
                        TimePoint Now) {
  constexpr std::string_view Prefix = "parts/";
  const std::size_t Slash = Reply.Key_.rfind('/');
  if (!Reply.Key_.starts_with(Prefix) || Slash <= Prefix.size())
    return;
  const DocumentId Id{Reply.Key_.substr(Prefix.size(), Slash - Prefix.size()),
                      Reply.Key_.substr(Slash + 1)};
  if (Reading_.erase(Id) == 0)
    return;
  const bool IsNeeded = Documents_.missing().count(Id) > 0;
  const bool HasRoom = Documents_.heldBytes() <= MaxRelayBytes;
  if (Reply.Status_ == PlatformStatus::Value) {
    if (contentHash(Reply.Body_) != Id.Hash_) {
      ++Counters_.DigestMismatches_;
      Out.Notes_.push_back("ignored " + Id.Name_ +
                           ": content has another hash");
    } else {
      if (IsNeeded || HasRoom)
        Documents_.put(Id, Reply.Body_);
      giveToWaiting(Id, &Reply.Body_, Out);
      documentArrived(Id, Out, Now);
    }
  }
  giveToWaiting(Id, nullptr, Out);
}

// Changes of state.

void ConfigSync::rebuild(ConfigActions &Out) {
  NeedsRebuild_ = false;
  const std::map<CustomerName, Refusal> Before = Documents_.refusals();
  if (Documents_.rebuild())
    Out.CatalogChanged_ = true;
  for (const std::pair<const CustomerName, Refusal> &Each :
       Documents_.refusals()) {
    const std::map<CustomerName, Refusal>::const_iterator It =
        Before.find(Each.first);
    if (It == Before.end() || It->second.Message_ != Each.second.Message_)
      Out.Notes_.push_back("refused " + Each.second.Message_);
  }
}

void ConfigSync::documentArrived(const DocumentId &Id, ConfigActions &Out,
                                 TimePoint Now) {
  Fetches_.erase(Id);
  NeedsRebuild_ = true;
  if (!Documents_.missing().empty())
    return;
  rebuild(Out);
  if (AnnounceBy_ && Documents_.missing().empty() && Reading_.empty())
    announceManifest(Out, Now);
}

void ConfigSync::manifestChanged(const HostId &From, bool FromPlatform,
                                 ConfigActions &Out, TimePoint Now) {
  HighestHeard_ = std::max(HighestHeard_, Manifest_.version());
  Documents_.setManifest(Manifest_);
  Fetches_.clear();
  rebuild(Out);
  AnnounceBy_ = Now + AnnounceDelay;
  const std::vector<std::string> &Changed = Manifest_.lastChanged();
  if (FromPlatform && Changed.size() <= MaxPrefetch)
    for (const std::string &Name : Changed) {
      const DocumentId Id{Name, Manifest_.find(Name)->Hash_};
      if (!Documents_.find(Id))
        readDocument(Id, Out, Now);
    }
  if (!FromPlatform)
    for (const std::pair<const DocumentId, CustomerName> &Each :
         Documents_.missing())
      Fetches_[Each.first] = Fetch{0, Now, From};
  fetchMissing(Out, Now);
  if (Documents_.missing().empty() && Reading_.empty())
    announceManifest(Out, Now);
}

void ConfigSync::announceManifest(ConfigActions &Out, TimePoint Now) {
  AnnounceBy_.reset();
  announce(PushPeers, Out, Now);
}

void ConfigSync::hostsChanged(ConfigActions &Out, TimePoint Now) {
  Directory_.setHosts(Hosts_);
  Rank_.setHosts(Hosts_, Now);
  Out.HostsChanged_ = true;
  // A large fleet changes the list every few seconds, so it is told to fewer
  // peers than a manifest; hosts that join wait for it.
  announce(IsReady_ ? HostsPushPeers : PushPeers, Out, Now);
}

} // namespace kumquatpitch
