// Selects caller hosts by rendezvous hashing. See caller-hosts.h.

#include "kumquatpitch/caller-hosts.h"

#include <algorithm>
#include <functional>
#include <string>
#include <tuple>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

struct RankedHost {
  int Distance_ = 0; ///< 0: same domain, 1: same region, 2: other region.
  std::uint64_t Hash_ = 0;
  const Member *Member_ = nullptr;
};

std::vector<RankedHost> rankHosts(const std::vector<Member> &Members,
                                  std::string_view VirtualHost,
                                  const FailureDomain &Domain,
                                  const Region &CallerRegion) {
  std::vector<RankedHost> Ranking;
  std::string Key;
  for (const Member &Host : Members) {
    if (Host.State_ != MemberState::Serving)
      continue;
    const int Distance =
        Host.Domain_ == Domain ? 0 : (Host.Region_ == CallerRegion ? 1 : 2);
    Key.assign(VirtualHost).append(" ").append(Host.Id_.str());
    Ranking.push_back({Distance, XXH3_64bits(Key.data(), Key.size()), &Host});
  }
  std::sort(Ranking.begin(), Ranking.end(),
            [](const RankedHost &Left, const RankedHost &Right) {
              return std::tie(Left.Distance_, Left.Hash_, Left.Member_->Id_) <
                     std::tie(Right.Distance_, Right.Hash_, Right.Member_->Id_);
            });
  return Ranking;
}

/// Processor time of the largest known host of the region, also when it does
/// not serve now.
std::uint32_t largestProcessor(const std::vector<Member> &Members,
                               const Region &CallerRegion) {
  std::uint32_t Largest = 0;
  for (const Member &Host : Members)
    if (Host.Region_ == CallerRegion)
      Largest = std::max(Largest, Host.Processor_);
  return Largest;
}

/// Moves the large hosts of the caller's failure domain to the front. A host is
/// large when it has at least the processor time of the smallest among the
/// largest hosts that together have `LargeHostsShare` of the domain's total.
void preferLargeHosts(std::vector<RankedHost> &Ranking) {
  std::vector<std::uint32_t> Sizes;
  double Total = 0;
  for (const RankedHost &Host : Ranking)
    if (Host.Distance_ == 0) {
      Sizes.push_back(Host.Member_->Processor_);
      Total += Host.Member_->Processor_;
    }
  std::sort(Sizes.begin(), Sizes.end(), std::greater<>());
  std::uint32_t MinLargeSize = 0;
  double LargeTotal = 0;
  for (const std::uint32_t Size : Sizes) {
    if (LargeTotal >= LargeHostsShare * Total)
      break;
    LargeTotal += Size;
    MinLargeSize = Size;
  }
  std::stable_partition(
      Ranking.begin(), Ranking.end(), [&](const RankedHost &Host) {
        return Host.Distance_ == 0 && Host.Member_->Processor_ >= MinLargeSize;
      });
}

} // namespace

std::vector<Member> callerHosts(const std::vector<Member> &Members,
                                std::string_view VirtualHost,
                                const FailureDomain &Domain,
                                const Region &CallerRegion) {
  std::vector<RankedHost> Ranking =
      rankHosts(Members, VirtualHost, Domain, CallerRegion);
  preferLargeHosts(Ranking);
  const std::size_t DomainHosts = static_cast<std::size_t>(
      std::count_if(Ranking.begin(), Ranking.end(), [](const RankedHost &Host) {
        return Host.Distance_ == 0;
      }));
  const std::size_t Wanted =
      std::clamp((DomainHosts + HostsPerCallerHost / 2) / HostsPerCallerHost,
                 MinCallerHosts, MaxCallerHosts);
  const std::size_t WantedProcessor =
      Wanted * largestProcessor(Members, CallerRegion);
  std::vector<Member> Selected;
  std::size_t Processor = 0;
  for (const RankedHost &Host : Ranking) {
    if (Selected.size() >= MaxCallerHosts ||
        (Selected.size() >= Wanted && Processor >= WantedProcessor))
      break;
    Selected.push_back(*Host.Member_);
    Processor += Host.Member_->Processor_;
  }
  return Selected;
}

} // namespace kumquatpitch
