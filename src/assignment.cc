// Assignment of hosts by rendezvous hash. See assignment.h.

#include "kumquatpitch/assignment.h"

#include <algorithm>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

using IdHash = std::array<unsigned char, 8>;

IdHash idHash(const HostId &Host) {
  XXH64_canonical_t Bytes;
  XXH64_canonicalFromHash(&Bytes,
                          XXH3_64bits(Host.str().data(), Host.str().size()));
  return std::to_array(Bytes.digest);
}

std::uint64_t serviceSeed(const ServiceName &Service) {
  return XXH3_64bits(Service.str().data(), Service.str().size());
}

std::uint64_t hashForService(std::uint64_t Seed, const IdHash &Host) {
  return XXH3_64bits_withSeed(Host.data(), Host.size(), Seed);
}

/// A host's hash for a service, and its index in Candidates.
using RankedHost = std::pair<std::uint64_t, std::size_t>;

/// The `Count` hosts with the highest hashes, in descending order of hash;
/// hosts with equal hashes are in order of index.
std::vector<RankedHost> highestHashes(const std::vector<IdHash> &Hosts,
                                      std::uint64_t Seed, std::size_t Count) {
  std::vector<RankedHost> Best;
  if (Count == 0)
    return Best;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    const RankedHost Host(hashForService(Seed, Hosts[Index]), Index);
    if (Best.size() == Count && Host.first <= Best.back().first)
      continue;
    if (Best.size() == Count)
      Best.pop_back();
    const auto IsHigher = [](const RankedHost &Left, const RankedHost &Right) {
      return Left.first > Right.first;
    };
    Best.insert(std::upper_bound(Best.begin(), Best.end(), Host, IsHigher),
                Host);
  }
  return Best;
}

/// A member that has no position in the order yet.
struct UnplacedMember {
  const GroupMember *Member_;
  std::uint32_t Weight_;
};

/// Index of a member, drawn in proportion to the weights; the first when all
/// weights are 0.
std::size_t drawByWeight(const std::vector<UnplacedMember> &Members,
                         RandomSource &Random) {
  std::uint64_t Sum = 0;
  for (const UnplacedMember &Member : Members)
    Sum += Member.Weight_;
  std::uint64_t Drawn = Random.below(Sum);
  for (std::size_t Index = 0; Index < Members.size(); ++Index) {
    if (Drawn < Members[Index].Weight_)
      return Index;
    Drawn -= Members[Index].Weight_;
  }
  return 0;
}

/// All members in random order: each position is drawn in proportion to the
/// weights of the members that remain.
std::vector<const GroupMember *> weightedShuffle(const Group &Hosts,
                                                 const HostWeights &Weights,
                                                 RandomSource &Random) {
  std::vector<UnplacedMember> Remaining;
  for (const GroupMember &Member : Hosts.Members_) {
    const HostWeights::const_iterator It = Weights.find(Member.Host_);
    Remaining.push_back({&Member, It == Weights.end() ? 0 : It->second});
  }
  std::vector<const GroupMember *> Order;
  while (!Remaining.empty()) {
    const std::size_t Drawn = drawByWeight(Remaining, Random);
    Order.push_back(Remaining[Drawn].Member_);
    Remaining.erase(Remaining.begin() + static_cast<std::ptrdiff_t>(Drawn));
  }
  return Order;
}

} // namespace

bool Group::contains(const HostId &Host) const {
  const auto IsHost = [&](const GroupMember &Member) {
    return Member.Host_ == Host;
  };
  return std::any_of(Members_.begin(), Members_.end(), IsHost);
}

Assignment::Assignment(const HostList &List) {
  for (const HostRecord &Host : List.Hosts_) {
    const IdHash Hash = idHash(Host.Id_);
    for (const std::pair<const CustomerName, std::uint16_t> &Port :
         Host.CustomerPorts_) {
      Candidates &Domain =
          CandidatesByCustomer_[{Host.Region_, Port.first}][Host.Domain_];
      Domain.Hashes_.push_back(Hash);
      Domain.Hosts_.push_back(
          {Host.Id_, Host.Domain_, {Host.Address_, Port.second}});
    }
  }
}

Group Assignment::group(const ServiceEntry &Entry) const {
  Group Chosen;
  const auto It = CandidatesByCustomer_.find({Entry.Region_, Entry.Customer_});
  if (It == CandidatesByCustomer_.end())
    return Chosen;
  const std::uint64_t Seed = serviceSeed(Entry.Service_);
  for (const CandidatesByDomain::value_type &Pool : It->second) {
    const Candidates &Domain = Pool.second;
    for (const RankedHost &Host :
         highestHashes(Domain.Hashes_, Seed, Entry.HostsPerDomain_))
      Chosen.Members_.push_back(Domain.Hosts_[Host.second]);
  }
  return Chosen;
}

std::uint64_t rendezvousHash(const ServiceName &Service, const HostId &Host) {
  return hashForService(serviceSeed(Service), idHash(Host));
}

HostWeights equalWeights(const Group &Hosts) {
  HostWeights Weights;
  for (const GroupMember &Member : Hosts.Members_)
    Weights[Member.Host_] = 1;
  return Weights;
}

std::vector<GroupMember> drawAddressOrder(const Group &Hosts,
                                          const HostWeights &Weights,
                                          RandomSource &Random) {
  std::vector<const GroupMember *> Remaining =
      weightedShuffle(Hosts, Weights, Random);
  std::vector<GroupMember> Ordered;
  std::map<FailureDomain, std::size_t> DomainUses;
  while (!Remaining.empty()) {
    const auto IsUsedLess = [&](const GroupMember *Left,
                                const GroupMember *Right) {
      return DomainUses[Left->Domain_] < DomainUses[Right->Domain_];
    };
    const auto It =
        std::min_element(Remaining.begin(), Remaining.end(), IsUsedLess);
    ++DomainUses[(*It)->Domain_];
    Ordered.push_back(**It);
    Remaining.erase(It);
  }
  return Ordered;
}

} // namespace kumquatpitch
