// Digests, pulls and parts of ConfigSync. See config-sync.h.

#include "kumquatpitch/config-sync.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

constexpr std::size_t UnlistedInDigest = 3;
constexpr Duration PullTimeout = std::chrono::milliseconds(500);
/// A whole table takes longer on the way than a difference.
constexpr Duration FullPullTimeout = std::chrono::seconds(1);
constexpr Duration FirstFetchDelay = std::chrono::milliseconds(400);
// A host that restarts during a loss must have the configuration within 2 s of
// its end; with 5 s the fault matrix saw 3.9 s.
constexpr Duration MostFetchDelay = std::chrono::seconds(1);
constexpr double FetchDelayGrowth = 1.5;
constexpr unsigned MaxQuickFetches = 6;
constexpr std::size_t MaxFetchesPerTick = 16;
constexpr std::size_t MaxWaitingDocuments = 256;
constexpr std::size_t MaxWaitingPeers = 64;

/// The first tries follow each other quickly, since one may meet a host that is
/// gone or a lost message; later ones spare a peer that has nothing to give.
Duration fetchDelay(unsigned Attempts) {
  if (Attempts < MaxQuickFetches)
    return FirstFetchDelay;
  const double Factor = std::pow(FetchDelayGrowth, Attempts - MaxQuickFetches);
  return Factor * FirstFetchDelay >= MostFetchDelay
             ? MostFetchDelay
             : std::chrono::duration_cast<Duration>(Factor * FirstFetchDelay);
}

} // namespace

// Digests.

DigestMessage ConfigSync::digest(bool IsReply, TimePoint Now) {
  DigestMessage Message;
  Message.Config_ = state();
  Message.IsReply_ = IsReply;
  Message.Beats_ = Rank_.freshBeats(Now);
  Message.Contacts_.push_back(Options_.Self_);
  for (PeerContact &Each : Directory_.unlisted(UnlistedInDigest, *Random_, Now))
    Message.Contacts_.push_back(std::move(Each));
  return Message;
}

void ConfigSync::sendDigest(const PeerContact &Peer, bool IsReply,
                            ConfigActions &Out, TimePoint Now) {
  Out.Sends_.push_back(PeerSend{Peer.Id_, Peer.Address_, digest(IsReply, Now)});
}

void ConfigSync::announce(std::size_t Peers, ConfigActions &Out,
                          TimePoint Now) {
  for (std::size_t Count = 0; Count < Peers; ++Count)
    if (const std::optional<PeerContact> Peer = Directory_.random(*Random_))
      sendDigest(*Peer, false, Out, Now);
}

ConfigActions ConfigSync::onDigest(const HostId &From,
                                   const DigestMessage &Message,
                                   TimePoint Now) {
  ConfigActions Out;
  for (const PeerContact &Each : Message.Contacts_) {
    const HostRecord *Listed = Hosts_.find(Each.Id_.str());
    if (!Listed ||
        Endpoint{Listed->Address_, Listed->PeerPort_} != Each.Address_)
      Directory_.noteContact(Each, Each.Id_ == From, Now);
  }
  Rank_.onBeats(Message.Beats_, Now);
  if (Message.Config_.Manifest_.Version_ > 0)
    Directory_.noteHeard(From, Now);
  if (!FirstHeard_)
    FirstHeard_ = Now;
  if (!FirstAnswer_ && Message.Config_.Manifest_.Version_ > 0)
    FirstAnswer_ = Now;
  const std::optional<PeerContact> Peer = Directory_.find(From);
  if (Peer)
    compare(*Peer, Message.Config_, !Message.IsReply_, Out, Now);
  return Out;
}

ConfigActions ConfigSync::onHeartbeat(const HostId &From,
                                      const ConfigState &State, TimePoint Now) {
  ConfigActions Out;
  const std::optional<PeerContact> Peer = Directory_.find(From);
  if (Peer)
    compare(*Peer, State, false, Out, Now);
  return Out;
}

void ConfigSync::compare(const PeerContact &Peer, const ConfigState &Theirs,
                         bool MayReply, ConfigActions &Out, TimePoint Now) {
  HighestHeard_ = std::max(HighestHeard_, Theirs.Manifest_);
  if (Theirs.Manifest_ > Manifest_.version())
    pullTable(PullKind::Manifest, ManifestPull_, Peer, Manifest_.version(), Out,
              Now);
  if (Theirs.Hosts_ > Hosts_.version())
    pullTable(PullKind::Hosts, HostsPull_, Peer, Hosts_.version(), Out, Now);
  // A host that joins is answered in any case: it must know that it is not
  // alone.
  const bool IsBehind = Theirs.Manifest_ < Manifest_.version() ||
                        Theirs.Hosts_ < Hosts_.version() ||
                        Theirs.Manifest_.Version_ == 0;
  if (MayReply && IsBehind)
    sendDigest(Peer, true, Out, Now);
}

// Tables.

void ConfigSync::pullTable(PullKind Kind, TablePull &Pull,
                           const PeerContact &Peer, const TableVersion &Have,
                           ConfigActions &Out, TimePoint Now) {
  const Duration Timeout = Have.Version_ == 0 ? FullPullTimeout : PullTimeout;
  if ((Pull.Active_ && Now - Pull.Sent_ < Timeout) || OneWay_.count(Peer.Id_))
    return;
  Pull = TablePull{Peer.Id_, Now, true};
  Out.Sends_.push_back(
      PeerSend{Peer.Id_, Peer.Address_, PullMessage{Kind, Have, "", ""}});
}

ConfigActions ConfigSync::onPull(const HostId &From, const PullMessage &Message,
                                 TimePoint Now) {
  ConfigActions Out;
  const std::optional<PeerContact> Peer = Directory_.find(From);
  if (!Peer)
    return Out;
  if (Message.Kind_ == PullKind::Document)
    answerDocument(*Peer, Message, Out, Now);
  else
    answerTable(*Peer, Message, Out, Now);
  return Out;
}

void ConfigSync::answerTable(const PeerContact &Peer,
                             const PullMessage &Message, ConfigActions &Out,
                             TimePoint Now) {
  PartMessage Answer;
  TableVersion From;
  if (Message.Kind_ == PullKind::Manifest) {
    if (Manifest_.version() <= Message.Have_)
      return;
    ManifestDelta Delta = Manifest_.deltaFor(Message.Have_);
    From = Delta.From_;
    Answer.Content_ = std::move(Delta);
  } else {
    if (Hosts_.version() <= Message.Have_)
      return;
    HostsDelta Delta = Hosts_.deltaFor(Message.Have_);
    From = Delta.From_;
    Answer.Content_ = std::move(Delta);
  }
  if (From.Version_ == 0) {
    if (!FullBucket_.take(Now))
      return;
    ++Counters_.FullTransfers_;
  }
  Out.Sends_.push_back(PeerSend{Peer.Id_, Peer.Address_, std::move(Answer)});
}

template <class Entry>
bool ConfigSync::applyDelta(VersionedTable<Entry> &Table, TablePull &Pull,
                            PullKind Kind, const HostId &From,
                            const TableDelta<Entry> &Delta, ConfigActions &Out,
                            TimePoint Now) {
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
      pullTable(Kind, Pull, *Peer, Table.version(), Out, Now);
    return false;
  }
  if (Table.apply(Delta))
    return true;
  ++Counters_.DigestMismatches_;
  // The histories differ: only the whole table helps.
  if (Peer && Delta.From_.Version_ > 0)
    pullTable(Kind, Pull, *Peer, TableVersion{}, Out, Now);
  return false;
}

ConfigActions ConfigSync::onPeerPart(const HostId &From,
                                     const PartMessage &Message,
                                     TimePoint Now) {
  ConfigActions Out;
  if (const ManifestDelta *Parts =
          std::get_if<ManifestDelta>(&Message.Content_)) {
    if (applyDelta(Manifest_, ManifestPull_, PullKind::Manifest, From, *Parts,
                   Out, Now))
      manifestChanged(From, false, Out, Now);
  } else if (const HostsDelta *Hosts =
                 std::get_if<HostsDelta>(&Message.Content_)) {
    if (applyDelta(Hosts_, HostsPull_, PullKind::Hosts, From, *Hosts, Out, Now))
      hostsChanged(Out, Now);
  } else {
    onDocument(From, std::get<DocumentBody>(Message.Content_), Out, Now);
  }
  checkReady(Out, Now);
  return Out;
}

// Documents.

void ConfigSync::answerDocument(const PeerContact &Peer,
                                const PullMessage &Message, ConfigActions &Out,
                                TimePoint Now) {
  const DocumentId Id{Message.Name_, Message.Hash_};
  if (const std::shared_ptr<const std::string> Bytes = Documents_.find(Id)) {
    Out.Sends_.push_back(
        PeerSend{Peer.Id_, Peer.Address_,
                 PartMessage{DocumentBody{Id.Name_, Id.Hash_, false, *Bytes}}});
    return;
  }
  const ManifestPart *Part = Manifest_.find(Id.Name_);
  const bool IsNamed = Part && Part->Hash_ == Id.Hash_;
  const bool HasRoom = WaitingPeers_.count(Id)
                           ? WaitingPeers_[Id].size() < MaxWaitingPeers
                           : WaitingPeers_.size() < MaxWaitingDocuments;
  if (IsNamed && HasRoom && mayCallPlatform(Now) &&
      readDocument(Id, Out, Now)) {
    WaitingPeers_[Id].insert(Peer.Id_);
    return;
  }
  Out.Sends_.push_back(
      PeerSend{Peer.Id_, Peer.Address_,
               PartMessage{DocumentBody{Id.Name_, Id.Hash_, true, ""}}});
}

void ConfigSync::giveToWaiting(const DocumentId &Id, const std::string *Bytes,
                               ConfigActions &Out) {
  const std::map<DocumentId, std::set<HostId>>::iterator It =
      WaitingPeers_.find(Id);
  if (It == WaitingPeers_.end())
    return;
  for (const HostId &Waiting : It->second)
    if (const std::optional<PeerContact> Peer = Directory_.find(Waiting))
      Out.Sends_.push_back(
          PeerSend{Peer->Id_, Peer->Address_,
                   PartMessage{DocumentBody{Id.Name_, Id.Hash_, !Bytes,
                                            Bytes ? *Bytes : std::string()}}});
  WaitingPeers_.erase(It);
}

void ConfigSync::onDocument(const HostId &From, const DocumentBody &Body,
                            ConfigActions &Out, TimePoint Now) {
  const DocumentId Id{Body.Name_, Body.Hash_};
  if (!Documents_.missing().count(Id))
    return;
  if (!Body.Absent_ && Documents_.put(Id, Body.Bytes_)) {
    documentArrived(Id, Out, Now);
    return;
  }
  if (!Body.Absent_)
    ++Counters_.DigestMismatches_;
  const std::map<DocumentId, Fetch>::iterator It = Fetches_.find(Id);
  if (It != Fetches_.end() && It->second.LastPeer_ == From &&
      It->second.Attempts_ <= MaxQuickFetches)
    It->second.NextTry_ = Now;
}

std::optional<PeerContact> ConfigSync::fetchPeer(const Fetch &Next,
                                                 const CustomerName &Customer,
                                                 TimePoint Now) {
  // In turn the peer that told of the version or one heard last, a reader,
  // which reads what it does not hold, and one that serves the customer. The
  // list may name only hosts that are gone, so it is not asked first.
  constexpr unsigned Sources = 3;
  const std::vector<ReaderBeat> Readers = Rank_.freshBeats(Now);
  if (Next.Attempts_ == 0 && !Next.LastPeer_.empty())
    return Directory_.find(Next.LastPeer_);
  if (Next.Attempts_ % Sources == 0)
    if (std::optional<PeerContact> Heard =
            Directory_.randomHeard(*Random_, Now))
      return Heard;
  if (Next.Attempts_ % Sources == 1 && !Readers.empty()) {
    const HostId &Reader = Readers[Random_->below(Readers.size())].Reader_;
    if (Reader != Options_.Self_.Id_)
      return Directory_.find(Reader);
  }
  return Directory_.randomOf(Customer, *Random_);
}

void ConfigSync::fetchMissing(ConfigActions &Out, TimePoint Now) {
  std::size_t Sent = 0;
  for (const std::pair<const DocumentId, CustomerName> &Each :
       Documents_.missing()) {
    Fetch &Next = Fetches_[Each.first];
    if (Now < Next.NextTry_ || Reading_.count(Each.first))
      continue;
    if (Sent++ >= MaxFetchesPerTick)
      return;
    const bool PrefersPlatform =
        Next.Attempts_ % 2 == (Next.LastPeer_.empty() ? 0 : 1);
    if (!PrefersPlatform || !mayCallPlatform(Now) ||
        !readDocument(Each.first, Out, Now)) {
      const std::optional<PeerContact> Peer = fetchPeer(Next, Each.second, Now);
      if (Peer && !OneWay_.count(Peer->Id_)) {
        Next.LastPeer_ = Peer->Id_;
        Out.Sends_.push_back(PeerSend{
            Peer->Id_, Peer->Address_,
            PullMessage{
                PullKind::Document, {}, Each.first.Name_, Each.first.Hash_}});
      }
    }
    Next.NextTry_ = Now + fetchDelay(Next.Attempts_);
    ++Next.Attempts_;
  }
}

} // namespace kumquatpitch
