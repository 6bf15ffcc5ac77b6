// Gossip membership by probes. See host-membership.h.

#include "kumquatpitch/host-membership.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

/// Maximum of members in one message, so that it fits into one packet.
constexpr std::size_t MaxMembers = 16;
/// Number of messages in which a host sends a change. It is enough to reach
/// thousands of hosts, as each round multiplies the hosts that know the change.
constexpr std::uint32_t SendsPerUpdate = 10;
/// One probe in this many goes to another failure domain; bytes between domains
/// are costly.
constexpr std::uint64_t ProbesPerCrossDomainProbe = 5;
/// A host that has just started probes several members at each tick: when all
/// hosts start at once, none of them can give another a list of the members.
constexpr Duration JoinDuration = std::chrono::milliseconds(1'500);
constexpr std::size_t ProbesPerTickWhileJoining = 4;
/// Time between probes of the seeds: while no other member is known to be
/// alive, and later, to heal a partition of the fleet.
constexpr Duration SeedIntervalAlone = std::chrono::milliseconds(300);
constexpr Duration SeedInterval = std::chrono::seconds(3);
/// A lost member is still probed for this long, then removed.
constexpr Duration LostMemberRetention = std::chrono::seconds(60);

} // namespace

bool Member::supersedes(const Member &Other) const {
  // Of two updates of the same version, the one that says lost is newer: a host
  // that is alive refutes it by raising its version.
  const bool IsLost = State_ == MemberState::Lost;
  const bool IsOtherLost = Other.State_ == MemberState::Lost;
  return std::tie(Incarnation_, Version_, IsLost) >
         std::tie(Other.Incarnation_, Other.Version_, IsOtherLost);
}

HostMembership::HostMembership(Member Self, RandomSource &Random)
    : Self_(std::move(Self)), Random_(Random) {}

std::vector<OutgoingProbe> HostMembership::setState(MemberState State) {
  std::vector<OutgoingProbe> Messages;
  if (Self_.State_ == State)
    return Messages;
  Self_.State_ = State;
  ++Self_.Version_;
  ++Changes_;
  // Members of the own failure domain answer most callers of this host, so they
  // all get the change. Of the others, a random fifth does, to save bytes
  // between domains.
  for (const std::pair<const HostId, Peer> &Entry : Peers_)
    if (Entry.second.Member_.isAlive() &&
        (Entry.second.Member_.Domain_ == Self_.Domain_ ||
         Random_.below(ProbesPerCrossDomainProbe) == 0))
      Messages.push_back({Entry.second.Member_.Address_, message(true)});
  return Messages;
}

bool HostMembership::applyUpdate(const Member &Update, TimePoint Now) {
  if (Update.Id_ == Self_.Id_) {
    if (Update.supersedes(Self_) && Update.Incarnation_ == Self_.Incarnation_) {
      Self_.Version_ = Update.Version_ + 1;
      return true;
    }
    return false;
  }
  const std::map<HostId, Peer>::iterator It = Peers_.find(Update.Id_);
  if (It != Peers_.end() && !Update.supersedes(It->second.Member_))
    return false;
  if (It == Peers_.end() && !Update.isAlive())
    return false;
  Peer &KnownPeer = Peers_[Update.Id_];
  const bool IsVisible =
      It == Peers_.end() || KnownPeer.Member_.State_ != Update.State_ ||
      KnownPeer.Member_.Incarnation_ != Update.Incarnation_ ||
      KnownPeer.Member_.Address_ != Update.Address_;
  KnownPeer.Member_ = Update;
  KnownPeer.MissedProbes_ = 0;
  if (!Update.isAlive())
    KnownPeer.LostAt_ = Now;
  if (IsVisible)
    ++Changes_;
  scheduleUpdate(Update.Id_);
  return true;
}

void HostMembership::scheduleUpdate(const HostId &Id) {
  PendingUpdates_[Id] = SendsPerUpdate;
}

std::vector<Member> HostMembership::pendingUpdates() {
  // Updates that were sent least often come first.
  std::vector<std::pair<std::uint32_t, HostId>> Order;
  for (const std::pair<const HostId, std::uint32_t> &Entry : PendingUpdates_)
    Order.emplace_back(Entry.second, Entry.first);
  std::sort(Order.rbegin(), Order.rend());
  if (Order.size() > MaxMembers)
    Order.resize(MaxMembers);
  std::vector<Member> Updates;
  for (const std::pair<std::uint32_t, HostId> &Entry : Order) {
    const std::map<HostId, Peer>::const_iterator It = Peers_.find(Entry.second);
    if (It != Peers_.end())
      Updates.push_back(It->second.Member_);
    if (It == Peers_.end() || --PendingUpdates_[Entry.second] == 0)
      PendingUpdates_.erase(Entry.second);
  }
  return Updates;
}

std::vector<Member> HostMembership::sample(std::size_t Count) {
  std::vector<Member> Chosen = members();
  for (std::size_t Index = 0; Index + 1 < Chosen.size(); ++Index)
    std::swap(Chosen[Index],
              Chosen[Index + Random_.below(Chosen.size() - Index)]);
  if (Chosen.size() > Count)
    Chosen.resize(Count);
  return Chosen;
}

std::uint64_t HostMembership::digest() const {
  std::uint64_t Sum = 0;
  for (const Member &Host : members()) {
    const std::uint64_t Seed =
        Host.Incarnation_ ^ (static_cast<std::uint64_t>(Host.Version_) << 48) ^
        static_cast<std::uint64_t>(Host.State_);
    Sum ^= XXH3_64bits_withSeed(Host.Id_.str().data(), Host.Id_.str().size(),
                                Seed);
  }
  return Sum;
}

ProbeMessage HostMembership::message(bool IsAnswer) {
  return ProbeMessage{Self_, IsAnswer, false, digest(), pendingUpdates()};
}

std::optional<HostId> HostMembership::nextToProbe() {
  const bool IsCrossDomain = Random_.below(ProbesPerCrossDomainProbe) == 0;
  for (int Attempt = 0; Attempt < 2; ++Attempt) {
    for (std::size_t Index = Round_.size(); Index-- > 0;) {
      const std::map<HostId, Peer>::const_iterator It =
          Peers_.find(Round_[Index]);
      const bool IsKnown = It != Peers_.end();
      if (IsKnown &&
          (It->second.Member_.Domain_ != Self_.Domain_) != IsCrossDomain)
        continue;
      Round_.erase(Round_.begin() + static_cast<std::ptrdiff_t>(Index));
      if (IsKnown)
        return It->first;
    }
    // No member of that kind is left to probe: start the next round.
    for (const Member &Host : sample(Peers_.size() + 1))
      if (Host.Id_ != Self_.Id_ &&
          (Host.Domain_ != Self_.Domain_) == IsCrossDomain)
        Round_.push_back(Host.Id_);
  }
  return std::nullopt;
}

void HostMembership::probe(const HostId &Id, TimePoint Now,
                           std::vector<OutgoingProbe> &Messages) {
  Peer &Probed = Peers_[Id];
  if (Probed.Member_.isAlive() && !Probed.ProbedAt_)
    Probed.ProbedAt_ = Now;
  Messages.push_back({Probed.Member_.Address_, message(false)});
}

void HostMembership::checkProbeTimeouts(TimePoint Now,
                                        std::vector<OutgoingProbe> &Messages) {
  std::vector<HostId> ToProbeAgain;
  std::vector<HostId> Expired;
  for (std::pair<const HostId, Peer> &Entry : Peers_) {
    Peer &Probed = Entry.second;
    if (!Probed.Member_.isAlive()) {
      if (Now - Probed.LostAt_ > LostMemberRetention)
        Expired.push_back(Entry.first);
      continue;
    }
    if (!Probed.ProbedAt_ || Now - *Probed.ProbedAt_ < ProbeTimeout)
      continue;
    Probed.ProbedAt_.reset();
    if (++Probed.MissedProbes_ < MaxMissedProbes) {
      ToProbeAgain.push_back(Entry.first);
      continue;
    }
    Probed.Member_.State_ = MemberState::Lost;
    Probed.LostAt_ = Now;
    ++Changes_;
    scheduleUpdate(Entry.first);
  }
  for (const HostId &Id : Expired)
    Peers_.erase(Id);
  for (const HostId &Id : ToProbeAgain)
    probe(Id, Now, Messages);
}

void HostMembership::probeSeeds(TimePoint Now,
                                std::vector<OutgoingProbe> &Messages) {
  const bool IsAlone =
      std::none_of(Peers_.begin(), Peers_.end(),
                   [](const std::pair<const HostId, Peer> &Entry) {
                     return Entry.second.Member_.isAlive();
                   });
  if (SeedsProbedAt_ &&
      Now - *SeedsProbedAt_ < (IsAlone ? SeedIntervalAlone : SeedInterval))
    return;
  SeedsProbedAt_ = Now;
  for (const std::string &Address : Seeds_) {
    if (Address == Self_.Address_)
      continue;
    const bool IsKnown =
        std::any_of(Peers_.begin(), Peers_.end(),
                    [&](const std::pair<const HostId, Peer> &Entry) {
                      return Entry.second.Member_.isAlive() &&
                             Entry.second.Member_.Address_ == Address;
                    });
    if (IsKnown)
      continue;
    ProbeMessage Probe = message(false);
    Probe.WantsAll_ = IsAlone;
    Messages.push_back({Address, Probe});
  }
}

std::vector<OutgoingProbe> HostMembership::tick(TimePoint Now) {
  std::vector<OutgoingProbe> Messages;
  checkProbeTimeouts(Now, Messages);
  probeSeeds(Now, Messages);
  if (!FirstTickAt_)
    FirstTickAt_ = Now;
  const bool IsJoining = Now - *FirstTickAt_ < JoinDuration;
  if (!IsJoining && Now - *ProbedAt_ < ProbeInterval)
    return Messages;
  ProbedAt_ = Now;
  for (std::size_t Count = 0;
       Count < (IsJoining ? ProbesPerTickWhileJoining : 1); ++Count)
    if (const std::optional<HostId> Next = nextToProbe())
      probe(*Next, Now, Messages);
  return Messages;
}

std::vector<OutgoingProbe> HostMembership::receive(const ProbeMessage &Message,
                                                   TimePoint Now) {
  std::vector<OutgoingProbe> Messages;
  if (Message.From_.Id_ == Self_.Id_)
    return Messages;
  applyUpdate(Message.From_, Now);
  for (const Member &Update : Message.Members_)
    applyUpdate(Update, Now);
  const std::map<HostId, Peer>::iterator Sender =
      Peers_.find(Message.From_.Id_);
  if (Sender != Peers_.end()) {
    // Any message shows that the sender is alive. A host that was declared lost
    // by mistake learns of it from the answer, and refutes it.
    Sender->second.ProbedAt_.reset();
    Sender->second.MissedProbes_ = 0;
    if (!Sender->second.Member_.isAlive())
      scheduleUpdate(Sender->first);
  }
  if (Message.IsAnswer_)
    return Messages;
  if (Message.WantsAll_) {
    const std::vector<Member> All = members();
    for (std::size_t First = 0; First < All.size(); First += MaxMembers) {
      ProbeMessage Part{Self_, true, false, digest(), {}};
      Part.Members_.assign(All.begin() + static_cast<std::ptrdiff_t>(First),
                           All.begin() + static_cast<std::ptrdiff_t>(std::min(
                                             All.size(), First + MaxMembers)));
      Messages.push_back({Message.From_.Address_, std::move(Part)});
    }
    return Messages;
  }
  ProbeMessage Answer = message(true);
  // The hosts know different members or states: send a random sample.
  if (Answer.Digest_ != Message.Digest_)
    for (const Member &Host : sample(MaxMembers / 2))
      if (Answer.Members_.size() < MaxMembers)
        Answer.Members_.push_back(Host);
  Messages.push_back({Message.From_.Address_, std::move(Answer)});
  return Messages;
}

std::vector<Member> HostMembership::members() const {
  std::vector<Member> All{Self_};
  for (const std::pair<const HostId, Peer> &Entry : Peers_)
    All.push_back(Entry.second.Member_);
  return All;
}

} // namespace kumquatpitch
