// ConfigSync: join, platform reads and state changes. See config-sync.h; the
// exchange with peers is in config-sync-peers.cc.

#include "kumquatpitch/config-sync.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

constexpr Duration DigestPeriod = std::chrono::seconds(1);
/// Peers that are sent a digest when the manifest or the host list changes.
constexpr std::size_t AnnouncePeers = 4;
constexpr std::size_t HostsAnnouncePeers = 1;
/// Longest delay of an announcement while documents are still being fetched.
constexpr Duration AnnounceDelay = std::chrono::milliseconds(300);
constexpr Duration LongPollWait = std::chrono::seconds(30);
constexpr Duration MinBackoff = std::chrono::seconds(1);
constexpr Duration MaxBackoff = std::chrono::seconds(10);
constexpr Duration MinHostsPause = std::chrono::seconds(1);
/// A reader fetches the whole host list at each change, so the pause after a
/// reply grows with its size. The rate is half of the control traffic budget of
/// 6 KB/s.
constexpr std::uint64_t HostsBytesPerSecond = 3'000;

/// Shortest wait of a joining host for its peers before it reads the platform.
constexpr Duration JoinTimeout = std::chrono::seconds(2);
/// Time for other peers to report a newer manifest after the first one did.
constexpr Duration JoinSettleTime = std::chrono::milliseconds(500);
constexpr Duration JoinDigestPeriod = std::chrono::milliseconds(500);
/// Longest wait for the highest manifest version that peers reported, from the
/// first digest with a manifest.
constexpr Duration JoinCatchUpTimeout = std::chrono::seconds(10);
/// Head start of the seeds at the platform when no peer has a host list.
constexpr Duration SeedHeadStart = std::chrono::seconds(8);
/// Wait before a joining host that is not a reader reads the platform, when
/// its peers have not supplied a manifest.
constexpr Duration NonReaderJoinTimeout = std::chrono::seconds(20);
constexpr Duration MaxPlatformDelay = std::chrono::seconds(2);
constexpr std::size_t JoinPeers = 4;

constexpr double PlatformCallsPerSecond = 50;
constexpr double FullTablesPerSecond = 8;
constexpr std::size_t MaxDocumentReads = 32;
/// Most changed documents that a host reads ahead after a new manifest from the
/// platform.
constexpr std::size_t MaxPrefetch = 64;
/// Size of the store above which documents needed by peers only are not kept.
constexpr std::size_t MaxRelayBytes = 16'000'000;

Duration randomDuration(Duration Limit, RandomSource &Random) {
  return Duration(static_cast<Duration::rep>(
      Random.below(static_cast<std::uint64_t>(Limit.count()))));
}

/// Parses a table's document into `Destination`. Returns the failure, if any.
template <class T>
std::optional<Failure> parseInto(T &Destination, const std::string &Body,
                                 Result<T> (*Parse)(std::string_view)) {
  return handleFailure(
      [&]() -> Result<std::optional<Failure>> {
        BOOST_LEAF_AUTO(Value, Parse(Body));
        Destination = std::move(Value);
        return std::optional<Failure>();
      },
      [](const Failure &Cause) { return std::optional<Failure>(Cause); });
}

} // namespace

bool ConfigSync::TokenBucket::take(TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - LastRefill_;
  Tokens_ = std::min(PerSecond_, Tokens_ + Elapsed.count() * PerSecond_);
  LastRefill_ = Now;
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
      PlatformDelay_(randomDuration(MaxPlatformDelay, Random)),
      NextDigest_(Now + randomDuration(DigestPeriod, Random)),
      PlatformCallBucket_(PlatformCallsPerSecond, Now),
      FullTableBucket_(FullTablesPerSecond, Now) {}

ConfigSync::ConfigSync(ConfigSyncOptions Options, RandomSource &Random,
                       TimePoint Now, const ConfigSync &From)
    : ConfigSync(std::move(Options), Random, Now) {
  Manifest_ = From.Manifest_;
  Hosts_ = From.Hosts_;
  Documents_ = From.Documents_;
  HighestReportedManifest_ = Manifest_.version();
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
  for (const std::pair<const std::string, Refusal> &Entry : TableRefusals_)
    All.push_back(Entry.second);
  for (const std::pair<const CustomerName, Refusal> &Entry :
       Documents_.refusals())
    All.push_back(Entry.second);
  return All;
}

ConfigActions ConfigSync::tick(TimePoint Now) {
  ConfigActions Actions;
  Rank_.tick(Now);
  Directory_.expire(Now);
  if (NeedsRebuild_)
    rebuild(Actions);
  if (!IsReady_)
    sendJoinDigests(Actions, Now);
  if (Now >= NextDigest_) {
    NextDigest_ = Now + DigestPeriod;
    if (const std::optional<PeerContact> Peer = Directory_.random(*Random_))
      sendDigest(*Peer, false, Actions, Now);
  }
  watchTables(Actions, Now);
  fetchMissing(Actions, Now);
  if (AnnounceBy_ &&
      ((Documents_.missing().empty() && DocumentReads_.empty()) ||
       Now >= *AnnounceBy_))
    announceManifest(Actions, Now);
  updateReadiness(Actions, Now);
  return Actions;
}

// Join.

bool ConfigSync::isSeed() const {
  return std::find(Options_.Seeds_.begin(), Options_.Seeds_.end(),
                   Options_.Self_.Address_) != Options_.Seeds_.end();
}

void ConfigSync::sendJoinDigests(ConfigActions &Actions, TimePoint Now) {
  if (Now < NextJoinDigest_)
    return;
  NextJoinDigest_ = Now + JoinDigestPeriod;
  for (const Endpoint &Seed : Options_.Seeds_)
    if (Seed != Options_.Self_.Address_)
      sendDigest(PeerContact{HostId(), FailureDomain(), Seed}, false, Actions,
                 Now);
  for (std::size_t Count = 0; Count < JoinPeers; ++Count)
    if (const std::optional<PeerContact> Peer = Directory_.random(*Random_))
      sendDigest(*Peer, false, Actions, Now);
}

void ConfigSync::updateReadiness(ConfigActions &Actions, TimePoint Now) {
  if (IsReady_ || Manifest_.version().Version_ == 0 ||
      !Documents_.missing().empty() || NeedsRebuild_)
    return;
  if (FirstManifestDigest_ && Now - *FirstManifestDigest_ < JoinSettleTime)
    return;
  const bool IsBehind = Manifest_.version() < HighestReportedManifest_;
  if (IsBehind && FirstManifestDigest_ &&
      Now - *FirstManifestDigest_ < JoinCatchUpTimeout)
    return;
  IsReady_ = true;
  Actions.LogMessages_.push_back(
      "ready with version " + std::to_string(Manifest_.version().Version_) +
      (IsBehind
           ? "; a peer reported a newer version, which could not be fetched"
           : ""));
}

// Platform.

bool ConfigSync::mayCallPlatform(TimePoint Now) const {
  if (IsReady_)
    return Rank_.isReader();
  if (FirstManifestDigest_ && Now - *FirstManifestDigest_ < JoinCatchUpTimeout)
    return false;
  const Duration Age = Now - Start_;
  const bool HasList = Hosts_.version().Version_ > 0;
  if (FirstDigest_ && HasList)
    return Age >= (Rank_.isReader()
                       ? JoinTimeout
                       : NonReaderJoinTimeout + 10 * PlatformDelay_);
  if (!FirstDigest_ || isSeed())
    return Age >= JoinTimeout + PlatformDelay_;
  // Peers answered but none has a host list: the seeds read it first.
  return Age >= JoinTimeout + SeedHeadStart + 4 * PlatformDelay_;
}

void ConfigSync::watchTables(ConfigActions &Actions, TimePoint Now) {
  if (!mayCallPlatform(Now))
    return;
  watchTable("hosts", HostsWatch_, Hosts_.version().Version_, Actions, Now);
  // The host list decides which hosts read the manifest, so it comes first.
  if (Hosts_.version().Version_ > 0)
    watchTable("manifest", ManifestWatch_, Manifest_.version().Version_,
               Actions, Now);
}

void ConfigSync::watchTable(const char *Key, Watch &State, std::uint64_t After,
                            ConfigActions &Actions, TimePoint Now) {
  if (State.InFlight_ || Now < State.NotBefore_ ||
      !PlatformCallBucket_.take(Now))
    return;
  State.InFlight_ = true;
  ++Counters_.PlatformCalls_;
  Actions.Calls_.push_back(PlatformCall{Key, true, After, LongPollWait});
}

void ConfigSync::endWatch(Watch &State, const PlatformReply &Reply,
                          bool IsNewer, TimePoint Now) {
  State.InFlight_ = false;
  if (Reply.Status_ == PlatformStatus::Unchanged || IsNewer) {
    State.Backoff_ = Duration(0);
    State.NotBefore_ = Now;
    return;
  }
  State.Backoff_ = std::clamp(2 * State.Backoff_, MinBackoff, MaxBackoff);
  State.NotBefore_ =
      Now + State.Backoff_ / 2 + randomDuration(State.Backoff_ / 2, *Random_);
}

ConfigActions ConfigSync::onPlatformReply(const PlatformReply &Reply,
                                          TimePoint Now) {
  ConfigActions Actions;
  if (Reply.Status_ == PlatformStatus::Malformed)
    ++Counters_.MalformedReplies_;
  if (Reply.Key_ == "manifest")
    onManifestReply(Reply, Actions, Now);
  else if (Reply.Key_ == "hosts")
    onHostListReply(Reply, Actions, Now);
  else
    onDocumentReply(Reply, Actions, Now);
  updateReadiness(Actions, Now);
  return Actions;
}

template <class Document, class Entry>
bool ConfigSync::applyTableReply(const char *Name, VersionedTable<Entry> &Table,
                                 Document &Parsed,
                                 std::vector<Entry> Document::*Entries,
                                 const PlatformReply &Reply,
                                 Result<Document> (*Parse)(std::string_view),
                                 ConfigActions &Actions) {
  std::optional<Failure> Cause = parseInto(Parsed, Reply.Body_, Parse);
  if (!Cause && Parsed.Version_ != Reply.Version_)
    Cause = Failure{ResultCode::PlatformMalformed,
                    "version: differs from the reply's header"};
  if (Cause) {
    ++Counters_.MalformedReplies_;
    TableRefusals_[Name] = Refusal{Name, Reply.Version_, Cause->Code_,
                                   std::string(Name) + ": " + Cause->Message_};
    Actions.LogMessages_.push_back("refused " + TableRefusals_[Name].Message_);
    return false;
  }
  if (Parsed.Version_ < Table.version().Version_) {
    ++Counters_.StaleReplies_;
    Actions.LogMessages_.push_back(std::string("ignored ") + Name +
                                   " version " +
                                   std::to_string(Parsed.Version_) + ", have " +
                                   std::to_string(Table.version().Version_));
    return false;
  }
  TableRefusals_.erase(Name);
  return Table.replace(Parsed.Version_, Parsed.*Entries);
}

void ConfigSync::onManifestReply(const PlatformReply &Reply,
                                 ConfigActions &Actions, TimePoint Now) {
  Manifest Parsed;
  bool IsNewer = false;
  if (Reply.Status_ == PlatformStatus::Value)
    IsNewer = applyTableReply("manifest", Manifest_, Parsed, &Manifest::Parts_,
                              Reply, parseManifest, Actions);
  endWatch(ManifestWatch_, Reply, IsNewer, Now);
  if (IsNewer)
    onManifestChanged(HostId(), true, Actions, Now);
}

void ConfigSync::onHostListReply(const PlatformReply &Reply,
                                 ConfigActions &Actions, TimePoint Now) {
  HostList Parsed;
  bool IsNewer = false;
  if (Reply.Status_ == PlatformStatus::Value)
    IsNewer = applyTableReply("hosts", Hosts_, Parsed, &HostList::Hosts_, Reply,
                              parseHostList, Actions);
  endWatch(HostsWatch_, Reply, IsNewer, Now);
  const Duration Pause =
      std::chrono::milliseconds(Reply.WireBytes_ * 1'000 / HostsBytesPerSecond);
  if (Reply.Status_ == PlatformStatus::Value)
    HostsWatch_.NotBefore_ =
        std::max(HostsWatch_.NotBefore_, Now + std::max(MinHostsPause, Pause));
  if (IsNewer)
    onHostsChanged(Actions, Now);
}

bool ConfigSync::startDocumentRead(const DocumentId &Id, ConfigActions &Actions,
                                   TimePoint Now) {
  if (DocumentReads_.count(Id))
    return true;
  if (DocumentReads_.size() >= MaxDocumentReads ||
      !PlatformCallBucket_.take(Now))
    return false;
  DocumentReads_.insert(Id);
  ++Counters_.PlatformCalls_;
  Actions.Calls_.push_back(PlatformCall{"parts/" + Id.Name_ + "/" + Id.Hash_,
                                        false, 0, Duration(0)});
  return true;
}

void ConfigSync::onDocumentReply(const PlatformReply &Reply,
                                 ConfigActions &Actions, TimePoint Now) {
  constexpr std::string_view Prefix = "parts/";
  const std::size_t Slash = Reply.Key_.rfind('/');
  if (!Reply.Key_.starts_with(Prefix) || Slash <= Prefix.size())
    return;
  const DocumentId Id{Reply.Key_.substr(Prefix.size(), Slash - Prefix.size()),
                      Reply.Key_.substr(Slash + 1)};
  if (DocumentReads_.erase(Id) == 0)
    return;
  const bool IsMissing = Documents_.missing().count(Id) > 0;
  const bool HasRoom = Documents_.heldBytes() <= MaxRelayBytes;
  if (Reply.Status_ == PlatformStatus::Value) {
    if (contentHash(Reply.Body_) != Id.Hash_) {
      ++Counters_.DigestMismatches_;
      Actions.LogMessages_.push_back("ignored " + Id.Name_ +
                                     ": content does not match its hash");
    } else {
      if (IsMissing || HasRoom)
        Documents_.put(Id, Reply.Body_);
      answerWaitingPeers(Id, &Reply.Body_, Actions);
      onDocumentStored(Id, Actions, Now);
    }
  }
  answerWaitingPeers(Id, nullptr, Actions);
}

// State changes.

void ConfigSync::rebuild(ConfigActions &Actions) {
  NeedsRebuild_ = false;
  const std::map<CustomerName, Refusal> PreviousRefusals =
      Documents_.refusals();
  if (Documents_.rebuild())
    Actions.CatalogChanged_ = true;
  for (const std::pair<const CustomerName, Refusal> &Entry :
       Documents_.refusals()) {
    const std::map<CustomerName, Refusal>::const_iterator It =
        PreviousRefusals.find(Entry.first);
    if (It == PreviousRefusals.end() ||
        It->second.Message_ != Entry.second.Message_)
      Actions.LogMessages_.push_back("refused " + Entry.second.Message_);
  }
}

void ConfigSync::onDocumentStored(const DocumentId &Id, ConfigActions &Actions,
                                  TimePoint Now) {
  Fetches_.erase(Id);
  NeedsRebuild_ = true;
  if (!Documents_.missing().empty())
    return;
  rebuild(Actions);
  if (AnnounceBy_ && Documents_.missing().empty() && DocumentReads_.empty())
    announceManifest(Actions, Now);
}

void ConfigSync::onManifestChanged(const HostId &From, bool FromPlatform,
                                   ConfigActions &Actions, TimePoint Now) {
  HighestReportedManifest_ =
      std::max(HighestReportedManifest_, Manifest_.version());
  Documents_.setManifest(Manifest_);
  Fetches_.clear();
  rebuild(Actions);
  AnnounceBy_ = Now + AnnounceDelay;
  const std::vector<std::string> &Changed = Manifest_.lastChangedKeys();
  if (FromPlatform && Changed.size() <= MaxPrefetch)
    for (const std::string &Name : Changed) {
      const DocumentId Id{Name, Manifest_.find(Name)->Hash_};
      if (!Documents_.find(Id))
        startDocumentRead(Id, Actions, Now);
    }
  if (!FromPlatform)
    for (const std::pair<const DocumentId, CustomerName> &Missing :
         Documents_.missing())
      Fetches_[Missing.first] = Fetch{0, Now, From};
  fetchMissing(Actions, Now);
  if (Documents_.missing().empty() && DocumentReads_.empty())
    announceManifest(Actions, Now);
}

void ConfigSync::announceManifest(ConfigActions &Actions, TimePoint Now) {
  AnnounceBy_.reset();
  announce(AnnouncePeers, Actions, Now);
}

void ConfigSync::onHostsChanged(ConfigActions &Actions, TimePoint Now) {
  Directory_.setHosts(Hosts_);
  Rank_.setHosts(Hosts_, Now);
  Actions.HostsChanged_ = true;
  // In a large fleet the host list changes every few seconds, so a change is
  // announced to fewer peers than a new manifest. While this host joins it
  // announces to more, because other joining hosts wait for the list.
  announce(IsReady_ ? HostsAnnouncePeers : AnnouncePeers, Actions, Now);
}

} // namespace kumquatpitch
