// ConfigSync: the exchange of digests, tables and documents with peers. See
// config-sync.h.

#include "kumquatpitch/config-sync.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxUnlistedInDigest = 3;
constexpr Duration PullTimeout = std::chrono::milliseconds(500);
/// A whole table takes longer to transfer than a delta.
constexpr Duration FullPullTimeout = std::chrono::seconds(1);
constexpr Duration FirstFetchDelay = std::chrono::milliseconds(400);
/// A host that restarts during message loss must have the configuration within
/// 2 s of the end of the loss; with 5 s here, the fault matrix measured 3.9 s.
constexpr Duration MaxFetchDelay = std::chrono::seconds(1);
constexpr double FetchDelayGrowth = 1.5;
constexpr unsigned MaxQuickFetches = 6;
constexpr std::size_t MaxFetchesPerTick = 16;
constexpr std::size_t MaxWaitingDocuments = 256;
constexpr std::size_t MaxWaitingPeers = 64;

/// The first attempts follow each other quickly, since one may go to a host
/// that is gone or be lost on the way. Later ones back off, so that peers that
/// lack the document are not flooded with requests.
Duration fetchDelay(unsigned Attempts) {
  if (Attempts < MaxQuickFetches)
    return FirstFetchDelay;
  const double Factor = std::pow(FetchDelayGrowth, Attempts - MaxQuickFetches);
  return Factor * FirstFetchDelay >= MaxFetchDelay
             ? MaxFetchDelay
             : std::chrono::duration_cast<Duration>(Factor * FirstFetchDelay);
}

} // namespace

// Digests.

DigestMessage ConfigSync::digest(bool IsReply, TimePoint Now) {
  DigestMessage Message;
  Message.Config_ = state();
  Message.IsReply_ = IsReply;
  Message.ReaderHeartbeats_ = Rank_.freshHeartbeats(Now);
  Message.Contacts_.push_back(Options_.Self_);
  for (PeerContact &Contact :
       Directory_.unlistedContacts(MaxUnlistedInDigest, *Random_, Now))
    Message.Contacts_.push_back(std::move(Contact));
  return Message;
}

void ConfigSync::sendDigest(const PeerContact &Peer, bool IsReply,
                            ConfigActions &Actions, TimePoint Now) {
  Actions.Sends_.push_back(
      PeerSend{Peer.Id_, Peer.Address_, digest(IsReply, Now)});
}

void ConfigSync::announce(std::size_t Peers, ConfigActions &Actions,
                          TimePoint Now) {
  for (std::size_t Count = 0; Count < Peers; ++Count)
    if (const std::optional<PeerContact> Peer = Directory_.random(*Random_))
      sendDigest(*Peer, false, Actions, Now);
}

ConfigActions ConfigSync::onDigest(const HostId &From,
                                   const DigestMessage &Message,
                                   TimePoint Now) {
  ConfigActions Actions;
  for (const PeerContact &Contact : Message.Contacts_) {
    const HostRecord *Listed = Hosts_.find(Contact.Id_.str());
    if (!Listed ||
        Endpoint{Listed->Address_, Listed->PeerPort_} != Contact.Address_)
      Directory_.recordContact(Contact, Contact.Id_ == From, Now);
  }
  Rank_.applyHeartbeats(Message.ReaderHeartbeats_, Now);
  if (Message.Config_.Manifest_.Version_ > 0)
    Directory_.recordMessageFrom(From, Now);
  if (!FirstDigest_)
    FirstDigest_ = Now;
  if (!FirstManifestDigest_ && Message.Config_.Manifest_.Version_ > 0)
    FirstManifestDigest_ = Now;
  const std::optional<PeerContact> Peer = Directory_.find(From);
  if (Peer)
    reconcile(*Peer, Message.Config_, !Message.IsReply_, Actions, Now);
  return Actions;
}

ConfigActions ConfigSync::onHeartbeat(const HostId &From,
                                      const ConfigState &State, TimePoint Now) {
  ConfigActions Actions;
  const std::optional<PeerContact> Peer = Directory_.find(From);
  if (Peer)
    reconcile(*Peer, State, false, Actions, Now);
  return Actions;
}

void ConfigSync::reconcile(const PeerContact &Peer,
                           const ConfigState &PeerState, bool MayReply,
                           ConfigActions &Actions, TimePoint Now) {
  HighestReportedManifest_ =
      std::max(HighestReportedManifest_, PeerState.Manifest_);
  if (PeerState.Manifest_ > Manifest_.version())
    pullTable(PullKind::Manifest, ManifestPull_, Peer, Manifest_.version(),
              Actions, Now);
  if (PeerState.Hosts_ > Hosts_.version())
    pullTable(PullKind::Hosts, HostsPull_, Peer, Hosts_.version(), Actions,
              Now);
  // A joining host (manifest version 0) always gets a reply, so that it knows
  // that it has peers.
  const bool IsBehind = PeerState.Manifest_ < Manifest_.version() ||
                        PeerState.Hosts_ < Hosts_.version() ||
                        PeerState.Manifest_.Version_ == 0;
  if (MayReply && IsBehind)
    sendDigest(Peer, true, Actions, Now);
}

// Tables.

void ConfigSync::pullTable(PullKind Kind, TablePull &Pull,
                           const PeerContact &Peer, const TableVersion &Have,
                           ConfigActions &Actions, TimePoint Now) {
  const Duration Timeout = Have.Version_ == 0 ? FullPullTimeout : PullTimeout;
  if ((Pull.Active_ && Now - Pull.Sent_ < Timeout) ||
      OneWayPeers_.count(Peer.Id_))
    return;
  Pull = TablePull{Peer.Id_, Now, true};
  Actions.Sends_.push_back(
      PeerSend{Peer.Id_, Peer.Address_, PullMessage{Kind, Have, "", ""}});
}

ConfigActions ConfigSync::onPull(const HostId &From, const PullMessage &Message,
                                 TimePoint Now) {
  ConfigActions Actions;
  const std::optional<PeerContact> Peer = Directory_.find(From);
  if (!Peer)
    return Actions;
  if (Message.Kind_ == PullKind::Document)
    onDocumentPull(*Peer, Message, Actions, Now);
  else
    onTablePull(*Peer, Message, Actions, Now);
  return Actions;
}

void ConfigSync::onTablePull(const PeerContact &Peer,
                             const PullMessage &Message, ConfigActions &Actions,
                             TimePoint Now) {
  PartMessage Reply;
  TableVersion From;
  if (Message.Kind_ == PullKind::Manifest) {
    if (Manifest_.version() <= Message.HeldVersion_)
      return;
    ManifestDelta Delta = Manifest_.deltaFor(Message.HeldVersion_);
    From = Delta.From_;
    Reply.Content_ = std::move(Delta);
  } else {
    if (Hosts_.version() <= Message.HeldVersion_)
      return;
    HostsDelta Delta = Hosts_.deltaFor(Message.HeldVersion_);
    From = Delta.From_;
    Reply.Content_ = std::move(Delta);
  }
  if (From.Version_ == 0) {
    if (!FullTableBucket_.take(Now))
      return;
    ++Counters_.FullTransfers_;
  }
  Actions.Sends_.push_back(PeerSend{Peer.Id_, Peer.Address_, std::move(Reply)});
}

template <class Entry>
bool ConfigSync::applyDelta(VersionedTable<Entry> &Table, TablePull &Pull,
                            PullKind Kind, const HostId &From,
                            const TableDelta<Entry> &Delta,
                            ConfigActions &Actions, TimePoint Now) {
  if (Pull.Peer_ == From)
    Pull.Active_ = false;
  if (Delta.To_ <= Table.version()) {
    if (Delta.To_ < Table.version())
      ++Counters_.StaleReplies_;
    return false;
  }
  const std::optional<PeerContact> Peer = Directory_.find(From);
  if (!Table.canApply(Delta)) {
    if (Peer)
      pullTable(Kind, Pull, *Peer, Table.version(), Actions, Now);
    return false;
  }
  if (Table.apply(Delta))
    return true;
  ++Counters_.DigestMismatches_;
  // The histories have diverged, so only the whole table can repair this copy.
  if (Peer && Delta.From_.Version_ > 0)
    pullTable(Kind, Pull, *Peer, TableVersion{}, Actions, Now);
  return false;
}

ConfigActions ConfigSync::onPeerPart(const HostId &From,
                                     const PartMessage &Message,
                                     TimePoint Now) {
  ConfigActions Actions;
  if (const ManifestDelta *Parts =
          std::get_if<ManifestDelta>(&Message.Content_)) {
    if (applyDelta(Manifest_, ManifestPull_, PullKind::Manifest, From, *Parts,
                   Actions, Now))
      onManifestChanged(From, false, Actions, Now);
  } else if (const HostsDelta *Hosts =
                 std::get_if<HostsDelta>(&Message.Content_)) {
    if (applyDelta(Hosts_, HostsPull_, PullKind::Hosts, From, *Hosts, Actions,
                   Now))
      onHostsChanged(Actions, Now);
  } else {
    onPeerDocument(From, std::get<DocumentBody>(Message.Content_), Actions,
                   Now);
  }
  updateReadiness(Actions, Now);
  return Actions;
}

// Documents.

void ConfigSync::onDocumentPull(const PeerContact &Peer,
                                const PullMessage &Message,
                                ConfigActions &Actions, TimePoint Now) {
  const DocumentId Id{Message.Name_, Message.Hash_};
  if (const std::shared_ptr<const std::string> Bytes = Documents_.find(Id)) {
    Actions.Sends_.push_back(
        PeerSend{Peer.Id_, Peer.Address_,
                 PartMessage{DocumentBody{Id.Name_, Id.Hash_, false, *Bytes}}});
    return;
  }
  const ManifestPart *Part = Manifest_.find(Id.Name_);
  const bool IsInManifest = Part && Part->Hash_ == Id.Hash_;
  const bool HasRoom = WaitingPeers_.count(Id)
                           ? WaitingPeers_[Id].size() < MaxWaitingPeers
                           : WaitingPeers_.size() < MaxWaitingDocuments;
  if (IsInManifest && HasRoom && mayCallPlatform(Now) &&
      startDocumentRead(Id, Actions, Now)) {
    WaitingPeers_[Id].insert(Peer.Id_);
    return;
  }
  Actions.Sends_.push_back(
      PeerSend{Peer.Id_, Peer.Address_,
               PartMessage{DocumentBody{Id.Name_, Id.Hash_, true, ""}}});
}

void ConfigSync::answerWaitingPeers(const DocumentId &Id,
                                    const std::string *Bytes,
                                    ConfigActions &Actions) {
  const std::map<DocumentId, std::set<HostId>>::iterator It =
      WaitingPeers_.find(Id);
  if (It == WaitingPeers_.end())
    return;
  for (const HostId &PeerId : It->second)
    if (const std::optional<PeerContact> Peer = Directory_.find(PeerId))
      Actions.Sends_.push_back(
          PeerSend{Peer->Id_, Peer->Address_,
                   PartMessage{DocumentBody{Id.Name_, Id.Hash_, !Bytes,
                                            Bytes ? *Bytes : std::string()}}});
  WaitingPeers_.erase(It);
}

void ConfigSync::onPeerDocument(const HostId &From, const DocumentBody &Body,
                                ConfigActions &Actions, TimePoint Now) {
  const DocumentId Id{Body.Name_, Body.Hash_};
  if (!Documents_.missing().count(Id))
    return;
  if (!Body.Absent_ && Documents_.put(Id, Body.Bytes_)) {
    onDocumentStored(Id, Actions, Now);
    return;
  }
  if (!Body.Absent_)
    ++Counters_.DigestMismatches_;
  const std::map<DocumentId, Fetch>::iterator It = Fetches_.find(Id);
  if (It != Fetches_.end() && It->second.LastPeer_ == From &&
      It->second.Attempts_ <= MaxQuickFetches)
    It->second.NextTry_ = Now;
}

std::optional<PeerContact> ConfigSync::fetchPeer(const Fetch &Pending,
                                                 const CustomerName &Customer,
                                                 TimePoint Now) {
  // Try in turn: (1) the peer that sent the manifest or one heard from
  // recently; (2) a reader, which reads documents that it lacks from the
  // platform; (3) a listed host that serves the customer. The host list comes
  // last because it may name only hosts that are gone.
  constexpr unsigned Sources = 3;
  const std::vector<ReaderHeartbeat> Readers = Rank_.freshHeartbeats(Now);
  if (Pending.Attempts_ == 0 && !Pending.LastPeer_.empty())
    return Directory_.find(Pending.LastPeer_);
  if (Pending.Attempts_ % Sources == 0)
    if (std::optional<PeerContact> Recent =
            Directory_.randomRecentSender(*Random_, Now))
      return Recent;
  if (Pending.Attempts_ % Sources == 1 && !Readers.empty()) {
    const HostId &Reader = Readers[Random_->below(Readers.size())].Reader_;
    if (Reader != Options_.Self_.Id_)
      return Directory_.find(Reader);
  }
  return Directory_.randomServing(Customer, *Random_);
}

void ConfigSync::fetchMissing(ConfigActions &Actions, TimePoint Now) {
  std::size_t Sent = 0;
  for (const std::pair<const DocumentId, CustomerName> &Missing :
       Documents_.missing()) {
    Fetch &Pending = Fetches_[Missing.first];
    if (Now < Pending.NextTry_ || DocumentReads_.count(Missing.first))
      continue;
    if (Sent++ >= MaxFetchesPerTick)
      return;
    const bool PrefersPlatform =
        Pending.Attempts_ % 2 == (Pending.LastPeer_.empty() ? 0 : 1);
    if (!PrefersPlatform || !mayCallPlatform(Now) ||
        !startDocumentRead(Missing.first, Actions, Now)) {
      const std::optional<PeerContact> Peer =
          fetchPeer(Pending, Missing.second, Now);
      if (Peer && !OneWayPeers_.count(Peer->Id_)) {
        Pending.LastPeer_ = Peer->Id_;
        Actions.Sends_.push_back(PeerSend{Peer->Id_, Peer->Address_,
                                          PullMessage{PullKind::Document,
                                                      {},
                                                      Missing.first.Name_,
                                                      Missing.first.Hash_}});
      }
    }
    Pending.NextTry_ = Now + fetchDelay(Pending.Attempts_);
    ++Pending.Attempts_;
  }
}

} // namespace kumquatpitch
