// Distribution of the configuration: who reads the platform, what is told to
// and asked from peers, and what is in force. Driven by HostCore, which sends
// the messages and makes the platform calls that each event returns.

#ifndef KUMQUATPITCH_CONFIG_SYNC_H
#define KUMQUATPITCH_CONFIG_SYNC_H

#include "kumquatpitch/core-action.h"
#include "kumquatpitch/document-store.h"
#include "kumquatpitch/peer-directory.h"
#include "kumquatpitch/platform-reader.h"
#include "kumquatpitch/reader-rank.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquatpitch {

/// HostCore calls tick() once each period.
constexpr Duration ConfigTickPeriod = std::chrono::milliseconds(100);

/// What the settings say about this host.
struct ConfigSyncOptions {
  PeerContact Self_;
  std::vector<CustomerName> Customers_; ///< Served by this host.
  std::vector<Endpoint> Seeds_;         ///< Peers to ask at start.
};

/// A message to send. `ToId_` is empty when only the address is known.
struct PeerSend {
  HostId ToId_;
  Endpoint To_;
  PeerBody Body_;

  bool operator==(const PeerSend &) const = default;
};

/// What an event leads to.
struct ConfigActions {
  std::vector<PeerSend> Sends_;
  std::vector<PlatformCall> Calls_;
  bool CatalogChanged_ = false;
  bool HostsChanged_ = false;
  std::vector<std::string> Notes_; ///< Lines to log.
};

/// Totals since the start.
struct ConfigCounters {
  std::uint64_t StaleReplies_ = 0;     ///< Older platform or peer values.
  std::uint64_t MalformedReplies_ = 0; ///< Of the platform.
  std::uint64_t DigestMismatches_ = 0; ///< Parts whose content was another.
  std::uint64_t FullTransfers_ = 0;    ///< Whole tables sent to peers.
  std::uint64_t PlatformCalls_ = 0;

  bool operator==(const ConfigCounters &) const = default;
};

class ConfigSync {
public:
  /// `Random` must outlive the object.
  ConfigSync(ConfigSyncOptions Options, RandomSource &Random, TimePoint Now);

  /// Starts with the tables and documents of another host and ready, as after a
  /// join from it.
  ConfigSync(ConfigSyncOptions Options, RandomSource &Random, TimePoint Now,
             const ConfigSync &From);

  ConfigActions tick(TimePoint Now);
  ConfigActions onPlatformReply(const PlatformReply &Reply, TimePoint Now);
  ConfigActions onDigest(const HostId &From, const DigestMessage &Message,
                         TimePoint Now);
  /// Takes the versions that a heartbeat carries.
  ConfigActions onHeartbeat(const HostId &From, const ConfigState &State,
                            TimePoint Now);
  ConfigActions onPull(const HostId &From, const PullMessage &Message,
                       TimePoint Now);
  ConfigActions onPeerPart(const HostId &From, const PartMessage &Message,
                           TimePoint Now);

  /// Peers that hear this host or are heard by it in one direction only; they
  /// are not asked.
  void setOneWayPeers(std::set<HostId> Peers) { OneWay_ = std::move(Peers); }

  /// Configuration in force; never null.
  const std::shared_ptr<const Catalog> &catalog() const {
    return Documents_.catalog();
  }

  /// The host list as last known.
  const VersionedTable<HostRecord> &hosts() const { return Hosts_; }

  /// The same as a document, copied.
  HostList hostList() const;

  /// Versions held, for heartbeats.
  ConfigState state() const;

  /// Documents that are not in force, with the reason.
  std::vector<Refusal> refusals() const;

  /// True from when the highest version that was heard of during the join is in
  /// force; stays true.
  bool isReady(TimePoint) const { return IsReady_; }

  bool isReader() const { return Rank_.isReader(); }
  const ConfigCounters &counters() const { return Counters_; }
  std::size_t heldBytes() const { return Documents_.heldBytes(); }

private:
  /// A pull of a table that has not been answered.
  struct TablePull {
    HostId Peer_;
    TimePoint Sent_;
    bool Active_ = false;
  };

  /// A needed document that was asked for.
  struct Fetch {
    unsigned Attempts_ = 0;
    TimePoint NextTry_;
    HostId LastPeer_;
  };

  /// A watch of one key, with its pauses after failures and large values.
  struct Watch {
    bool Waiting_ = false;
    TimePoint NotBefore_;
    Duration Backoff_{};
  };

  /// Refills at a constant rate up to one second's worth.
  class TokenBucket {
  public:
    TokenBucket(double PerSecond, TimePoint Now)
        : PerSecond_(PerSecond), Tokens_(PerSecond), At_(Now) {}

    bool take(TimePoint Now);

  private:
    double PerSecond_;
    double Tokens_;
    TimePoint At_;
  };

  // Platform.
  void watchTables(ConfigActions &Out, TimePoint Now);
  void watchTable(const char *Key, Watch &State, std::uint64_t After,
                  ConfigActions &Out, TimePoint Now);
  void endWatch(Watch &State, const PlatformReply &Reply, bool IsNewer,
                TimePoint Now);
  bool isSeed() const;
  bool mayCallPlatform(TimePoint Now) const;
  void onManifest(const PlatformReply &Reply, ConfigActions &Out,
                  TimePoint Now);
  void onHostList(const PlatformReply &Reply, ConfigActions &Out,
                  TimePoint Now);
  void onPart(const PlatformReply &Reply, ConfigActions &Out, TimePoint Now);
  template <class Document, class Entry>
  bool
  takeTable(const char *Name, VersionedTable<Entry> &Table, Document &Read,
            std::vector<Entry> Document::*Entries, const PlatformReply &Reply,
            Result<Document> (*Parse)(std::string_view), ConfigActions &Out);
  bool readDocument(const DocumentId &Id, ConfigActions &Out, TimePoint Now);

  // Peers.
  void compare(const PeerContact &Peer, const ConfigState &Theirs,
               bool MayReply, ConfigActions &Out, TimePoint Now);
  void pullTable(PullKind Kind, TablePull &Pull, const PeerContact &Peer,
                 const TableVersion &Have, ConfigActions &Out, TimePoint Now);
  template <class Entry>
  bool applyDelta(VersionedTable<Entry> &Table, TablePull &Pull, PullKind Kind,
                  const HostId &From, const TableDelta<Entry> &Delta,
                  ConfigActions &Out, TimePoint Now);
  void answerTable(const PeerContact &Peer, const PullMessage &Message,
                   ConfigActions &Out, TimePoint Now);
  void answerDocument(const PeerContact &Peer, const PullMessage &Message,
                      ConfigActions &Out, TimePoint Now);
  void onDocument(const HostId &From, const DocumentBody &Body,
                  ConfigActions &Out, TimePoint Now);
  DigestMessage digest(bool IsReply, TimePoint Now);
  void sendDigest(const PeerContact &Peer, bool IsReply, ConfigActions &Out,
                  TimePoint Now);
  void announce(std::size_t Peers, ConfigActions &Out, TimePoint Now);
  void announceManifest(ConfigActions &Out, TimePoint Now);

  // State changes.
  void manifestChanged(const HostId &From, bool FromPlatform,
                       ConfigActions &Out, TimePoint Now);
  void hostsChanged(ConfigActions &Out, TimePoint Now);
  void rebuild(ConfigActions &Out);
  void fetchMissing(ConfigActions &Out, TimePoint Now);
  std::optional<PeerContact>
  fetchPeer(const Fetch &Next, const CustomerName &Customer, TimePoint Now);
  void giveToWaiting(const DocumentId &Id, const std::string *Bytes,
                     ConfigActions &Out);
  void documentArrived(const DocumentId &Id, ConfigActions &Out, TimePoint Now);
  void join(ConfigActions &Out, TimePoint Now);
  void checkReady(ConfigActions &Out, TimePoint Now);

  ConfigSyncOptions Options_;
  RandomSource *Random_;
  TimePoint Start_;
  VersionedTable<ManifestPart> Manifest_;
  VersionedTable<HostRecord> Hosts_;
  DocumentStore Documents_;
  PeerDirectory Directory_;
  ReaderRank Rank_;
  std::set<HostId> OneWay_;
  ConfigCounters Counters_;
  std::map<std::string, Refusal> TableRefusals_; ///< `manifest` and `hosts`.

  // Join.
  bool IsReady_ = false;
  TableVersion HighestHeard_;            ///< Of the manifest.
  std::optional<TimePoint> FirstHeard_;  ///< Any peer.
  std::optional<TimePoint> FirstAnswer_; ///< A peer with a manifest.
  TimePoint NextJoinDigest_;
  Duration PlatformDelay_{}; ///< Random part of the wait for the platform.

  // Repair and distribution.
  TimePoint NextDigest_;
  std::optional<TimePoint> AnnounceBy_; ///< A newer manifest is to be told.
  TablePull ManifestPull_;
  TablePull HostsPull_;
  std::map<DocumentId, Fetch> Fetches_;
  std::map<DocumentId, std::set<HostId>> WaitingPeers_; ///< Bounded.
  std::set<DocumentId> Reading_; ///< At the platform; bounded.
  bool NeedsRebuild_ = false;

  // Platform.
  Watch ManifestWatch_;
  Watch HostsWatch_;
  TokenBucket CallBucket_;
  TokenBucket FullBucket_; ///< Whole tables sent to peers.
};

} // namespace kumquatpitch

#endif
