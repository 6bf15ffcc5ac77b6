// Hosts by rendezvous hashing. See caller-hosts.h.

#include "kumquatpitch/caller-hosts.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

struct Ranked {
  int Distance_ = 0; ///< 0: same domain, 1: same region, 2: elsewhere.
  std::uint64_t Hash_ = 0;
  const Member *Host_ = nullptr;
};

std::vector<Ranked> rank(const std::vector<Member> &Members,
                         std::string_view VirtualHost,
                         const FailureDomain &Domain, const Region &OfRegion) {
  std::vector<Ranked> Order;
  std::string Key;
  for (const Member &Each : Members) {
    if (Each.State_ != MemberState::Serving)
      continue;
    const int Distance =
        Each.Domain_ == Domain ? 0 : (Each.Region_ == OfRegion ? 1 : 2);
    Key.assign(VirtualHost).append(" ").append(Each.Id_.str());
    Order.push_back({Distance, XXH3_64bits(Key.data(), Key.size()), &Each});
  }
  std::sort(Order.begin(), Order.end(),
            [](const Ranked &Left, const Ranked &Right) {
              return std::tie(Left.Distance_, Left.Hash_, Left.Host_->Id_) <
                     std::tie(Right.Distance_, Right.Hash_, Right.Host_->Id_);
            });
  return Order;
}

} // namespace

std::vector<Member> callerHosts(const std::vector<Member> &Members,
                                std::string_view VirtualHost,
                                const FailureDomain &Domain,
                                const Region &OfRegion) {
  const std::vector<Ranked> Order =
      rank(Members, VirtualHost, Domain, OfRegion);
  const std::size_t InDomain = static_cast<std::size_t>(
      std::count_if(Order.begin(), Order.end(),
                    [](const Ranked &Each) { return Each.Distance_ == 0; }));
  const std::size_t Wanted =
      std::clamp((InDomain + HostsPerCallerHost / 2) / HostsPerCallerHost,
                 LeastCallerHosts, MostCallerHosts);
  std::vector<Member> Chosen;
  for (const Ranked &Each : Order)
    if (Chosen.size() < Wanted)
      Chosen.push_back(*Each.Host_);
  return Chosen;
}

} // namespace kumquatpitch
