// Membership by probes and passed-on news. See host-membership.h.

#include "kumquatpitch/host-membership.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

/// Most members in one message, so that it fits into one packet.
constexpr std::size_t MaxMembers = 16;
/// Messages that carry a change; enough to reach thousands of hosts, as each
/// round of messages multiplies the hosts that know it.
constexpr std::uint32_t SpreadCount = 10;
/// One probe in this many goes to another failure domain, where bytes cost.
constexpr std::uint64_t ForeignDomainEvery = 5;
/// A host that has just started probes several members at each tick: when all
/// hosts start at once, none of them can tell another who is there.
constexpr Duration JoinTime = std::chrono::milliseconds(1'500);
constexpr std::size_t JoinProbes = 4;
/// Seeds are asked this often while alone, and later to heal a split fleet.
constexpr Duration SeedPeriodAlone = std::chrono::milliseconds(300);
constexpr Duration SeedPeriod = std::chrono::seconds(3);
/// A lost member is probed for this long, and forgotten after it.
constexpr Duration LostMemory = std::chrono::seconds(60);

} // namespace

bool Member::supersedes(const Member &Other) const {
  // Of two reports of the same version, the loss is the newer one: the host
  // itself raises the version to refute it.
  const bool IsLost = State_ == MemberState::Lost;
  const bool OtherLost = Other.State_ == MemberState::Lost;
  return std::tie(Incarnation_, Version_, IsLost) >
         std::tie(Other.Incarnation_, Other.Version_, OtherLost);
}

HostMembership::HostMembership(Member Self, RandomSource &Random)
    : Self_(std::move(Self)), Random_(Random) {}

std::vector<OutgoingProbe> HostMembership::setState(MemberState State) {
  std::vector<OutgoingProbe> Out;
  if (Self_.State_ == State)
    return Out;
  Self_.State_ = State;
  ++Self_.Version_;
  ++Changes_;
  // Members of the own failure domain answer most callers of this host.
  for (const std::pair<const HostId, Peer> &Each : Peers_)
    if (Each.second.Known_.isAlive() &&
        (Each.second.Known_.Domain_ == Self_.Domain_ ||
         Random_.below(ForeignDomainEvery) == 0))
      Out.push_back({Each.second.Known_.Address_, message(true)});
  return Out;
}

bool HostMembership::learn(const Member &News, TimePoint Now) {
  if (News.Id_ == Self_.Id_) {
    if (News.supersedes(Self_) && News.Incarnation_ == Self_.Incarnation_) {
      Self_.Version_ = News.Version_ + 1;
      return true;
    }
    return false;
  }
  const std::map<HostId, Peer>::iterator It = Peers_.find(News.Id_);
  if (It != Peers_.end() && !News.supersedes(It->second.Known_))
    return false;
  if (It == Peers_.end() && !News.isAlive())
    return false;
  Peer &Known = Peers_[News.Id_];
  const bool Visible = It == Peers_.end() ||
                       Known.Known_.State_ != News.State_ ||
                       Known.Known_.Incarnation_ != News.Incarnation_ ||
                       Known.Known_.Address_ != News.Address_;
  Known.Known_ = News;
  Known.Missed_ = 0;
  if (!News.isAlive())
    Known.LostAt_ = Now;
  if (Visible)
    ++Changes_;
  spread(News.Id_);
  return true;
}

void HostMembership::spread(const HostId &Id) { Spreading_[Id] = SpreadCount; }

std::vector<Member> HostMembership::news() {
  // What was carried least goes first.
  std::vector<std::pair<std::uint32_t, HostId>> Order;
  for (const std::pair<const HostId, std::uint32_t> &Each : Spreading_)
    Order.emplace_back(Each.second, Each.first);
  std::sort(Order.rbegin(), Order.rend());
  if (Order.size() > MaxMembers)
    Order.resize(MaxMembers);
  std::vector<Member> Carried;
  for (const std::pair<std::uint32_t, HostId> &Each : Order) {
    const std::map<HostId, Peer>::const_iterator Known =
        Peers_.find(Each.second);
    if (Known != Peers_.end())
      Carried.push_back(Known->second.Known_);
    if (Known == Peers_.end() || --Spreading_[Each.second] == 0)
      Spreading_.erase(Each.second);
  }
  return Carried;
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
  for (const Member &Each : members()) {
    const std::uint64_t Seed =
        Each.Incarnation_ ^ (static_cast<std::uint64_t>(Each.Version_) << 48) ^
        static_cast<std::uint64_t>(Each.State_);
    Sum ^= XXH3_64bits_withSeed(Each.Id_.str().data(), Each.Id_.str().size(),
                                Seed);
  }
  return Sum;
}

ProbeMessage HostMembership::message(bool IsAnswer) {
  return ProbeMessage{Self_, IsAnswer, false, digest(), news()};
}

std::optional<HostId> HostMembership::nextToProbe() {
  const bool Foreign = Random_.below(ForeignDomainEvery) == 0;
  for (int Refilled = 0; Refilled < 2; ++Refilled) {
    for (std::size_t Index = Round_.size(); Index-- > 0;) {
      const std::map<HostId, Peer>::const_iterator It =
          Peers_.find(Round_[Index]);
      const bool Known = It != Peers_.end();
      if (Known && (It->second.Known_.Domain_ != Self_.Domain_) != Foreign)
        continue;
      Round_.erase(Round_.begin() + static_cast<std::ptrdiff_t>(Index));
      if (Known)
        return It->first;
    }
    // Nobody of that kind is left: the next round begins.
    for (const Member &Each : sample(Peers_.size() + 1))
      if (Each.Id_ != Self_.Id_ && (Each.Domain_ != Self_.Domain_) == Foreign)
        Round_.push_back(Each.Id_);
  }
  return std::nullopt;
}

void HostMembership::probe(const HostId &Id, TimePoint Now,
                           std::vector<OutgoingProbe> &Out) {
  Peer &Asked = Peers_[Id];
  if (Asked.Known_.isAlive() && !Asked.ProbedAt_)
    Asked.ProbedAt_ = Now;
  Out.push_back({Asked.Known_.Address_, message(false)});
}

void HostMembership::checkAnswers(TimePoint Now,
                                  std::vector<OutgoingProbe> &Out) {
  std::vector<HostId> Again;
  std::vector<HostId> Forgotten;
  for (std::pair<const HostId, Peer> &Each : Peers_) {
    Peer &Asked = Each.second;
    if (!Asked.Known_.isAlive()) {
      if (Now - Asked.LostAt_ > LostMemory)
        Forgotten.push_back(Each.first);
      continue;
    }
    if (!Asked.ProbedAt_ || Now - *Asked.ProbedAt_ < AnswerTime)
      continue;
    Asked.ProbedAt_.reset();
    if (++Asked.Missed_ < MostMissed) {
      Again.push_back(Each.first);
      continue;
    }
    Asked.Known_.State_ = MemberState::Lost;
    Asked.LostAt_ = Now;
    ++Changes_;
    spread(Each.first);
  }
  for (const HostId &Id : Forgotten)
    Peers_.erase(Id);
  for (const HostId &Id : Again)
    probe(Id, Now, Out);
}

void HostMembership::probeSeeds(TimePoint Now,
                                std::vector<OutgoingProbe> &Out) {
  const bool Alone =
      std::none_of(Peers_.begin(), Peers_.end(),
                   [](const std::pair<const HostId, Peer> &Each) {
                     return Each.second.Known_.isAlive();
                   });
  if (SeedsProbedAt_ &&
      Now - *SeedsProbedAt_ < (Alone ? SeedPeriodAlone : SeedPeriod))
    return;
  SeedsProbedAt_ = Now;
  for (const std::string &Address : Seeds_) {
    if (Address == Self_.Address_)
      continue;
    const bool Known =
        std::any_of(Peers_.begin(), Peers_.end(),
                    [&](const std::pair<const HostId, Peer> &Each) {
                      return Each.second.Known_.isAlive() &&
                             Each.second.Known_.Address_ == Address;
                    });
    if (Known)
      continue;
    ProbeMessage Ask = message(false);
    Ask.WantsAll_ = Alone;
    Out.push_back({Address, Ask});
  }
}

std::vector<OutgoingProbe> HostMembership::tick(TimePoint Now) {
  std::vector<OutgoingProbe> Out;
  checkAnswers(Now, Out);
  probeSeeds(Now, Out);
  if (!BeganAt_)
    BeganAt_ = Now;
  const bool IsJoining = Now - *BeganAt_ < JoinTime;
  if (!IsJoining && Now - *ProbedAt_ < ProbePeriod)
    return Out;
  ProbedAt_ = Now;
  for (std::size_t Count = 0; Count < (IsJoining ? JoinProbes : 1); ++Count)
    if (const std::optional<HostId> Next = nextToProbe())
      probe(*Next, Now, Out);
  return Out;
}

std::vector<OutgoingProbe> HostMembership::receive(const ProbeMessage &Message,
                                                   TimePoint Now) {
  std::vector<OutgoingProbe> Out;
  if (Message.From_.Id_ == Self_.Id_)
    return Out;
  learn(Message.From_, Now);
  for (const Member &Each : Message.Members_)
    learn(Each, Now);
  const std::map<HostId, Peer>::iterator Sender =
      Peers_.find(Message.From_.Id_);
  if (Sender != Peers_.end()) {
    // Any message shows life. A host that was reported lost by mistake hears
    // of it with the answer, and refutes it.
    Sender->second.ProbedAt_.reset();
    Sender->second.Missed_ = 0;
    if (!Sender->second.Known_.isAlive())
      spread(Sender->first);
  }
  if (Message.IsAnswer_)
    return Out;
  if (Message.WantsAll_) {
    const std::vector<Member> All = members();
    for (std::size_t First = 0; First < All.size(); First += MaxMembers) {
      ProbeMessage Part{Self_, true, false, digest(), {}};
      Part.Members_.assign(All.begin() + static_cast<std::ptrdiff_t>(First),
                           All.begin() + static_cast<std::ptrdiff_t>(std::min(
                                             All.size(), First + MaxMembers)));
      Out.push_back({Message.From_.Address_, std::move(Part)});
    }
    return Out;
  }
  ProbeMessage Answer = message(true);
  // The two know different things: some of them are told, by chance.
  if (Answer.Digest_ != Message.Digest_)
    for (const Member &Each : sample(MaxMembers / 2))
      if (Answer.Members_.size() < MaxMembers)
        Answer.Members_.push_back(Each);
  Out.push_back({Message.From_.Address_, std::move(Answer)});
  return Out;
}

std::vector<Member> HostMembership::members() const {
  std::vector<Member> All{Self_};
  for (const std::pair<const HostId, Peer> &Each : Peers_)
    All.push_back(Each.second.Known_);
  return All;
}

} // namespace kumquatpitch
