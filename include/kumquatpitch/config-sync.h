// Distribution of the configuration (manifest, host list and documents).
// Decides when this host reads the platform and which messages it exchanges
// with its peers, and holds the configuration in force. Performs no I/O:
// HostCore feeds it events, then sends the messages and makes the platform
// calls returned.

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

/// Time between calls of ConfigSync::tick().
constexpr Duration ConfigTickPeriod = std::chrono::milliseconds(100);

/// Settings of this host that ConfigSync needs.
struct ConfigSyncOptions {
  PeerContact Self_;
  std::vector<CustomerName> Customers_; ///< Served by this host.
  std::vector<Endpoint> Seeds_;         ///< Peers to contact at start.
};

/// A message to send. `ToId_` is empty when only the address is known.
struct PeerSend {
  HostId ToId_;
  Endpoint To_;
  PeerBody Body_;

  bool operator==(const PeerSend &) const = default;
};

/// What HostCore has to do after an event.
struct ConfigActions {
  std::vector<PeerSend> Sends_;
  std::vector<PlatformCall> Calls_;
  bool CatalogChanged_ = false;
  bool HostsChanged_ = false;
  std::vector<std::string> LogMessages_; ///< Lines to log.
};

/// Totals since this host started.
struct ConfigCounters {
  std::uint64_t StaleReplies_ = 0; ///< Older values, from platform or peers.
  std::uint64_t MalformedReplies_ = 0; ///< From the platform.
  /// Tables and documents whose content did not match their digest or hash.
  std::uint64_t DigestMismatches_ = 0;
  std::uint64_t FullTransfers_ = 0; ///< Whole tables sent to peers.
  std::uint64_t PlatformCalls_ = 0;

  bool operator==(const ConfigCounters &) const = default;
};

/// State machine that keeps the configuration of one host up to date.
class ConfigSync {
public:
  /// `Random` must outlive the object.
  ConfigSync(ConfigSyncOptions Options, RandomSource &Random, TimePoint Now);

  /// Starts ready with a copy of another host's tables and documents, as after
  /// joining the fleet through that host.
  ConfigSync(ConfigSyncOptions Options, RandomSource &Random, TimePoint Now,
             const ConfigSync &From);

  /// Call once each ConfigTickPeriod.
  ConfigActions tick(TimePoint Now);
  ConfigActions onPlatformReply(const PlatformReply &Reply, TimePoint Now);
  ConfigActions onDigest(const HostId &From, const DigestMessage &Message,
                         TimePoint Now);
  /// Compares the versions in a peer's heartbeat with the ones held.
  ConfigActions onHeartbeat(const HostId &From, const ConfigState &State,
                            TimePoint Now);
  ConfigActions onPull(const HostId &From, const PullMessage &Message,
                       TimePoint Now);
  ConfigActions onPeerPart(const HostId &From, const PartMessage &Message,
                           TimePoint Now);

  /// Sets the peers with which messages pass in one direction only. Nothing is
  /// pulled from them, since either the pull or its reply would be lost.
  void setOneWayPeers(std::set<HostId> Peers) {
    OneWayPeers_ = std::move(Peers);
  }

  /// Configuration in force; never null.
  const std::shared_ptr<const Catalog> &catalog() const {
    return Documents_.catalog();
  }

  /// The newest host list received.
  const VersionedTable<HostRecord> &hosts() const { return Hosts_; }

  /// A copy of the host list in its document form.
  HostList hostList() const;

  /// Versions of the manifest and host list held, for heartbeats.
  ConfigState state() const;

  /// Tables and documents that were refused, with the reason.
  std::vector<Refusal> refusals() const;

  /// True once the join is complete: the highest manifest version that peers
  /// reported is in force, or the wait for it has timed out. Stays true.
  bool isReady(TimePoint) const { return IsReady_; }

  /// True while this host reads the platform for its failure domain.
  bool isReader() const { return Rank_.isReader(); }
  const ConfigCounters &counters() const { return Counters_; }
  std::size_t heldBytes() const { return Documents_.heldBytes(); }

private:
  /// The last pull of a table; active until its peer answers.
  struct TablePull {
    HostId Peer_;
    TimePoint Sent_;
    bool Active_ = false;
  };

  /// Progress of fetching a missing document.
  struct Fetch {
    unsigned Attempts_ = 0;
    TimePoint NextTry_;
    HostId LastPeer_;
  };

  /// A long poll of one platform key. Failed and unneeded replies lengthen the
  /// pause before the next poll; so do large host lists.
  struct Watch {
    bool InFlight_ = false;
    TimePoint NotBefore_;
    Duration Backoff_{};
  };

  /// Refills at a constant rate; holds at most one second's worth of tokens.
  class TokenBucket {
  public:
    TokenBucket(double PerSecond, TimePoint Now)
        : PerSecond_(PerSecond), Tokens_(PerSecond), LastRefill_(Now) {}

    bool take(TimePoint Now);

  private:
    double PerSecond_;
    double Tokens_;
    TimePoint LastRefill_;
  };

  // Platform.
  void watchTables(ConfigActions &Actions, TimePoint Now);
  void watchTable(const char *Key, Watch &State, std::uint64_t After,
                  ConfigActions &Actions, TimePoint Now);
  void endWatch(Watch &State, const PlatformReply &Reply, bool IsNewer,
                TimePoint Now);
  bool isSeed() const;
  bool mayCallPlatform(TimePoint Now) const;
  void onManifestReply(const PlatformReply &Reply, ConfigActions &Actions,
                       TimePoint Now);
  void onHostListReply(const PlatformReply &Reply, ConfigActions &Actions,
                       TimePoint Now);
  void onDocumentReply(const PlatformReply &Reply, ConfigActions &Actions,
                       TimePoint Now);
  /// Parses a table from a platform reply and stores it if it is newer. Returns
  /// true when the table changed.
  template <class Document, class Entry>
  bool applyTableReply(const char *Name, VersionedTable<Entry> &Table,
                       Document &Parsed, std::vector<Entry> Document::*Entries,
                       const PlatformReply &Reply,
                       Result<Document> (*Parse)(std::string_view),
                       ConfigActions &Actions);
  /// Starts reading a document from the platform unless a read of it is in
  /// progress. False when too many reads are, or the call rate is used up.
  bool startDocumentRead(const DocumentId &Id, ConfigActions &Actions,
                         TimePoint Now);

  // Peers.
  void reconcile(const PeerContact &Peer, const ConfigState &PeerState,
                 bool MayReply, ConfigActions &Actions, TimePoint Now);
  void pullTable(PullKind Kind, TablePull &Pull, const PeerContact &Peer,
                 const TableVersion &Have, ConfigActions &Actions,
                 TimePoint Now);
  /// Returns true when the table changed.
  template <class Entry>
  bool applyDelta(VersionedTable<Entry> &Table, TablePull &Pull, PullKind Kind,
                  const HostId &From, const TableDelta<Entry> &Delta,
                  ConfigActions &Actions, TimePoint Now);
  void onTablePull(const PeerContact &Peer, const PullMessage &Message,
                   ConfigActions &Actions, TimePoint Now);
  void onDocumentPull(const PeerContact &Peer, const PullMessage &Message,
                      ConfigActions &Actions, TimePoint Now);
  void onPeerDocument(const HostId &From, const DocumentBody &Body,
                      ConfigActions &Actions, TimePoint Now);
  DigestMessage digest(bool IsReply, TimePoint Now);
  void sendDigest(const PeerContact &Peer, bool IsReply, ConfigActions &Actions,
                  TimePoint Now);
  void announce(std::size_t Peers, ConfigActions &Actions, TimePoint Now);
  void announceManifest(ConfigActions &Actions, TimePoint Now);

  // State changes.
  void onManifestChanged(const HostId &From, bool FromPlatform,
                         ConfigActions &Actions, TimePoint Now);
  void onHostsChanged(ConfigActions &Actions, TimePoint Now);
  void rebuild(ConfigActions &Actions);
  void fetchMissing(ConfigActions &Actions, TimePoint Now);
  std::optional<PeerContact>
  fetchPeer(const Fetch &Pending, const CustomerName &Customer, TimePoint Now);
  /// `Bytes` is null when the document could not be read.
  void answerWaitingPeers(const DocumentId &Id, const std::string *Bytes,
                          ConfigActions &Actions);
  void onDocumentStored(const DocumentId &Id, ConfigActions &Actions,
                        TimePoint Now);
  void sendJoinDigests(ConfigActions &Actions, TimePoint Now);
  void updateReadiness(ConfigActions &Actions, TimePoint Now);

  ConfigSyncOptions Options_;
  RandomSource *Random_;
  TimePoint Start_;
  VersionedTable<ManifestPart> Manifest_;
  VersionedTable<HostRecord> Hosts_;
  DocumentStore Documents_;
  PeerDirectory Directory_;
  ReaderRank Rank_;
  std::set<HostId> OneWayPeers_;
  ConfigCounters Counters_;
  std::map<std::string, Refusal> TableRefusals_; ///< By platform key.

  // Join.
  bool IsReady_ = false;
  TableVersion HighestReportedManifest_; ///< By peers or the platform.
  /// Arrival of the first digest of any peer.
  std::optional<TimePoint> FirstDigest_;
  /// Arrival of the first digest of a peer that has a manifest.
  std::optional<TimePoint> FirstManifestDigest_;
  TimePoint NextJoinDigest_;
  Duration PlatformDelay_{}; ///< Jitter; spreads hosts that start together.

  // Repair and distribution.
  TimePoint NextDigest_;
  /// Deadline for announcing a newer manifest; empty when none is pending.
  std::optional<TimePoint> AnnounceBy_;
  TablePull ManifestPull_;
  TablePull HostsPull_;
  std::map<DocumentId, Fetch> Fetches_;
  /// Peers to answer when a document has been read from the platform; bounded.
  std::map<DocumentId, std::set<HostId>> WaitingPeers_;
  /// Reads from the platform in progress; bounded.
  std::set<DocumentId> DocumentReads_;
  bool NeedsRebuild_ = false;

  // Platform.
  Watch ManifestWatch_;
  Watch HostsWatch_;
  TokenBucket PlatformCallBucket_;
  TokenBucket FullTableBucket_; ///< Limits whole tables sent to peers.
};

} // namespace kumquatpitch

#endif
