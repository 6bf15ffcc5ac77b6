// Choice of the host that is asked. See proof-peer.h.

#include "kumquatpitch/admission/proof-peer.h"

namespace kumquatpitch {

std::optional<Member> chooseProofPeer(const Member &Self,
                                      const std::vector<Member> &All,
                                      const HostId &Reader,
                                      std::uint32_t Unanswered,
                                      RandomSource &Random) {
  std::vector<const Member *> Readers;
  std::vector<const Member *> OwnDomain;
  std::vector<const Member *> OtherDomains;
  for (const Member &Host : All) {
    if (!Host.isAlive() || Host.Id_ == Self.Id_)
      continue;
    if (Host.Domain_ != Self.Domain_) {
      OtherDomains.push_back(&Host);
      continue;
    }
    OwnDomain.push_back(&Host);
    if (Host.Id_ == Reader)
      Readers.push_back(&Host);
  }
  const std::vector<const Member *> *const Order[] = {&Readers, &OwnDomain,
                                                      &OtherDomains};
  // Bytes between failure domains are costly, so another one is asked last.
  for (std::size_t Step = 0; Step < std::size(Order); ++Step) {
    const std::vector<const Member *> &Hosts =
        *Order[(Unanswered + Step) % std::size(Order)];
    if (!Hosts.empty())
      return *Hosts[Random.below(Hosts.size())];
  }
  return std::nullopt;
}

} // namespace kumquatpitch
