// Chooses the host that is asked for a proof of a recent configuration. Used by
// ConfigProofUpdater. Pure logic: no I/O and no clock.

#ifndef KUMQUATPITCH_ADMISSION_PROOF_PEER_H
#define KUMQUATPITCH_ADMISSION_PROOF_PEER_H

#include "kumquatpitch/host-membership.h"

namespace kumquatpitch {

/// The host to ask after `Unanswered` queries that brought no newer proof: in
/// turn `Reader`, which forwarded the last changes of the store, a random host
/// of `Self`'s failure domain and a random one of another, as far as there are
/// such hosts. None when no other host is alive.
std::optional<Member> chooseProofPeer(const Member &Self,
                                      const std::vector<Member> &All,
                                      const HostId &Reader,
                                      std::uint32_t Unanswered,
                                      RandomSource &Random);

} // namespace kumquatpitch

#endif
