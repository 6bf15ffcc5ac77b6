// Rendezvous hashing of hosts. See assignment.h.

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

std::uint64_t hashFor(std::uint64_t Seed, const IdHash &Host) {
  return XXH3_64bits_withSeed(Host.data(), Host.size(), Seed);
}

/// A host's hash for a service and its index in its failure domain.
using Ranked = std::pair<std::uint64_t, std::size_t>;

/// The `Count` highest hashes, descending. Equal hashes are in order of index.
std::vector<Ranked> highest(const std::vector<IdHash> &Hosts,
                            std::uint64_t Seed, std::size_t Count) {
  std::vector<Ranked> Best;
  if (Count == 0)
    return Best;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    const Ranked Each(hashFor(Seed, Hosts[Index]), Index);
    if (Best.size() == Count && Each.first <= Best.back().first)
      continue;
    if (Best.size() == Count)
      Best.pop_back();
    const auto IsHigher = [](const Ranked &Left, const Ranked &Right) {
      return Left.first > Right.first;
    };
    Best.insert(std::upper_bound(Best.begin(), Best.end(), Each, IsHigher),
                Each);
  }
  return Best;
}

/// Members that are not placed yet, with their weights.
struct Unplaced {
  const GroupMember *Member_;
  std::uint32_t Weight_;
};

/// Index of an entry, drawn in proportion to the weights; the first when all
/// weigh 0.
std::size_t drawByWeight(const std::vector<Unplaced> &Entries,
                         RandomSource &Random) {
  std::uint64_t Sum = 0;
  for (const Unplaced &Each : Entries)
    Sum += Each.Weight_;
  std::uint64_t Drawn = Random.below(Sum);
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    if (Drawn < Entries[Index].Weight_)
      return Index;
    Drawn -= Entries[Index].Weight_;
  }
  return 0;
}

/// Draws all members in proportion to their weights.
std::vector<const GroupMember *>
shuffled(const Group &Hosts, const HostWeights &Weights, RandomSource &Random) {
  std::vector<Unplaced> Left;
  for (const GroupMember &Each : Hosts.Members_) {
    const HostWeights::const_iterator It = Weights.find(Each.Host_);
    Left.push_back({&Each, It == Weights.end() ? 0 : It->second});
  }
  std::vector<const GroupMember *> Order;
  while (!Left.empty()) {
    const std::size_t Drawn = drawByWeight(Left, Random);
    Order.push_back(Left[Drawn].Member_);
    Left.erase(Left.begin() + static_cast<std::ptrdiff_t>(Drawn));
  }
  return Order;
}

} // namespace

bool Group::contains(const HostId &Host) const {
  const auto IsHost = [&](const GroupMember &Each) {
    return Each.Host_ == Host;
  };
  return std::any_of(Members_.begin(), Members_.end(), IsHost);
}

Assignment::Assignment(const HostList &List) {
  for (const HostRecord &Host : List.Hosts_) {
    const IdHash Hash = idHash(Host.Id_);
    for (const std::pair<const CustomerName, std::uint16_t> &Port :
         Host.CustomerPorts_) {
      Candidates &Domain = Pools_[{Host.Region_, Port.first}][Host.Domain_];
      Domain.Hashes_.push_back(Hash);
      Domain.Hosts_.push_back(
          {Host.Id_, Host.Domain_, {Host.Address_, Port.second}});
    }
  }
}

Group Assignment::group(const ServiceEntry &Entry) const {
  Group Chosen;
  const auto It = Pools_.find({Entry.Region_, Entry.Customer_});
  if (It == Pools_.end())
    return Chosen;
  const std::uint64_t Seed = serviceSeed(Entry.Service_);
  for (const Pool::value_type &Each : It->second) {
    const Candidates &Domain = Each.second;
    for (const Ranked &Host :
         highest(Domain.Hashes_, Seed, Entry.HostsPerDomain_))
      Chosen.Members_.push_back(Domain.Hosts_[Host.second]);
  }
  return Chosen;
}

std::uint64_t rendezvousHash(const ServiceName &Service, const HostId &Host) {
  return hashFor(serviceSeed(Service), idHash(Host));
}

HostWeights equalWeights(const Group &Hosts) {
  HostWeights Weights;
  for (const GroupMember &Each : Hosts.Members_)
    Weights[Each.Host_] = 1;
  return Weights;
}

std::vector<GroupMember> addressOrder(const Group &Hosts,
                                      const HostWeights &Weights,
                                      RandomSource &Random) {
  std::vector<const GroupMember *> Left = shuffled(Hosts, Weights, Random);
  std::vector<GroupMember> Ordered;
  std::map<FailureDomain, std::size_t> Used;
  while (!Left.empty()) {
    const auto UsedLess = [&](const GroupMember *One, const GroupMember *Two) {
      return Used[One->Domain_] < Used[Two->Domain_];
    };
    const auto It = std::min_element(Left.begin(), Left.end(), UsedLess);
    ++Used[(*It)->Domain_];
    Ordered.push_back(**It);
    Left.erase(It);
  }
  return Ordered;
}

} // namespace kumquatpitch
