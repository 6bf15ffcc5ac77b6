// Messages between the hosts of a gateway and their CBOR encoding, one message
// per datagram. Pure functions.

#ifndef KUMQUATPITCH_PEER_DATAGRAM_H
#define KUMQUATPITCH_PEER_DATAGRAM_H

#include "kumquatpitch/admission/config-proof.h"
#include "kumquatpitch/admission/limit-peer.h"
#include "kumquatpitch/host-membership.h"
#include "kumquatpitch/leaving-targets.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/store-follower.h"
#include "kumquatpitch/target-balancer.h"

#include <string>
#include <variant>
#include <vector>

namespace kumquatpitch {

/// Evidence about the health of a target, from one request of the sending host.
struct EvidenceMessage {
  ServiceName Service_;
  TargetId Target_;
  std::uint64_t StartedUnixMs_ = 0; ///< Incarnation of the target.
  TargetObservation Observation_ = TargetObservation::Failed;
  /// The receiver forwards the message to the other hosts of its failure
  /// domain.
  bool Forward_ = false;

  bool operator==(const EvidenceMessage &) const = default;
};

/// Decayed counts of the requests that ended on one host, by service.
struct OutcomeCountsMessage {
  HostId From_;
  std::map<ServiceName, RequestOutcomeCounts> Services_;

  bool operator==(const OutcomeCountsMessage &) const = default;
};

/// Rate limits that targets named to one host.
struct RateLimitsMessage {
  std::vector<NamedRateLimit> Limits_;
  /// The receiver forwards the message to the other hosts of its failure
  /// domain.
  bool Forward_ = false;

  bool operator==(const RateLimitsMessage &) const = default;
};

/// Targets that said to one host that they leave.
struct LeavingTargetsMessage {
  std::vector<LeavingTarget> Targets_;
  /// The receiver forwards the message to the other hosts of its failure
  /// domain.
  bool Forward_ = false;

  bool operator==(const LeavingTargetsMessage &) const = default;
};

using PeerDatagram =
    std::variant<ProbeMessage, StoreChangesMessage, EvidenceMessage,
                 OutcomeCountsMessage, RateLimitsMessage, LimitPartOffer,
                 LimitPartQuestion, TokenRequest, TokenAnswer, ProofQuery,
                 ProofAnswer, LeavingTargetsMessage>;

/// Maximum number of services in one OutcomeCountsMessage. A message with this
/// many services fits into one datagram even if all names have the maximum
/// length.
constexpr std::size_t MaxOutcomeCounts = 14;

/// Maximum size of a datagram that is sent or accepted, in bytes. Chosen to fit
/// into one packet.
constexpr std::size_t MaxDatagramBytes = 1'400;

std::string encodeDatagram(const PeerDatagram &Message);

/// Fails with PeerMessageMalformed or PeerVersionUnknown.
Result<PeerDatagram> decodeDatagram(const std::string &Bytes);

/// The message about workspaces' limits, if the datagram is one.
std::optional<LimitMessage> limitMessageOf(const PeerDatagram &Datagram);

/// Divides the limits among messages that fit into one datagram each.
std::vector<RateLimitsMessage>
splitRateLimits(const std::vector<NamedRateLimit> &Limits);

/// Divides the targets among messages that fit into one datagram each.
std::vector<LeavingTargetsMessage>
splitLeavingTargets(const std::vector<LeavingTarget> &Targets);

/// Splits the changes into messages that fit into one datagram each. Each
/// message begins at the revision at which the previous one ends.
std::vector<StoreChangesMessage>
splitStoreChanges(const StoreChangesMessage &Message);

} // namespace kumquatpitch

#endif
