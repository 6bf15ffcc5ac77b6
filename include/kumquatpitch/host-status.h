// A host's status report for operators and its JSON form. HostCore fills it in,
// the operator endpoint serves it, and the status and burn commands parse it.

#ifndef KUMQUATPITCH_HOST_STATUS_H
#define KUMQUATPITCH_HOST_STATUS_H

#include "kumquatpitch/burn-rate.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch {

/// Whether a host sends requests to a target, and if not, why.
enum class TargetCondition : std::uint8_t {
  Usable,
  Ejected,
  HeldByFloor, ///< Suspected, but kept in use by the ejection floor.
  Draining,    ///< Announced by the target or reported by a peer.
  Leaving,     ///< Marked so in the service entry.
  Starting,    ///< Marked so in the service entry.
};

/// `usable`, `ejected`, `held_by_floor`, `draining`, `leaving` or `starting`.
const char *targetConditionName(TargetCondition Condition);

/// A named value on which a decision was based, such as the age of the oldest
/// request.
struct Measurement {
  std::string Name_; ///< 1 to 63 bytes, with its unit: `oldest_wait_ms`.
  double Value_ = 0;

  bool operator==(const Measurement &) const = default;
};

struct TargetStatus {
  TargetId Id_;
  TargetCondition Condition_ = TargetCondition::Usable;
  std::string Cause_; ///< Empty when the target is usable.
  std::vector<Measurement> Measurements_;
  Duration Since_{}; ///< Time in this condition.
  std::uint32_t OwnSlots_ = 0;
  std::uint32_t InProgress_ = 0;

  bool operator==(const TargetStatus &) const = default;
};

/// This host's share of a contract's limits.
struct QuotaStatus {
  double RatePerSecond_ = 0;
  std::uint32_t InProgressShare_ = 0;
  std::uint32_t InProgress_ = 0;

  bool operator==(const QuotaStatus &) const = default;
};

/// State of a service whose host group includes this host.
struct ServiceStatus {
  CustomerName Customer_;
  ServiceName Service_;
  std::uint64_t EntryVersion_ = 0;
  std::uint32_t FloorTargets_ = 0;
  std::vector<HostId> Group_;
  QuotaStatus Quota_;
  std::uint32_t Queued_ = 0;
  std::vector<TargetStatus> Targets_;

  bool operator==(const ServiceStatus &) const = default;
};

/// Directions in which messages between this host and a peer arrive. `OnlyFrom`
/// means that messages from the peer arrive, but not those to the peer.
enum class PeerDirection : std::uint8_t { Both, OnlyFrom, OnlyTo, None };

/// `both`, `only_from`, `only_to` or `none`.
const char *peerDirectionName(PeerDirection Direction);

struct PeerStatus {
  HostId Host_;
  PeerDirection Direction_ = PeerDirection::None;
  Duration SilentFor_{}; ///< Time since the last message from the peer.

  bool operator==(const PeerStatus &) const = default;
};

/// A published document that this host rejected, so it is not in force.
struct RejectedDocumentStatus {
  std::string Document_; ///< For example `contract/imigongo`.
  std::uint64_t Version_ = 0;
  ResultCode Code_ = ResultCode::DocumentInvalid;
  std::string Reason_;
  Duration Age_{}; ///< Time since the document was rejected.

  bool operator==(const RejectedDocumentStatus &) const = default;
};

/// Status report of one host. Durations are counted back from when the report
/// was made and are whole milliseconds in JSON. There are no absolute times,
/// because clocks of different hosts are not compared.
struct HostStatus {
  HostId Host_;
  Incarnation Incarnation_ = 0;
  Region Region_;
  FailureDomain Domain_;
  std::uint64_t ConfigVersion_ = 0; ///< Version in force; 0 when none is.
  bool Ready_ = false;
  bool Leaving_ = false;
  Duration UpFor_{};
  Duration Age_{}; ///< Time from making the report to sending it.
  std::vector<ServiceStatus> Services_;
  std::vector<PeerStatus> Peers_;
  std::vector<RejectedDocumentStatus> Refusals_;
  std::vector<BurnSnapshot> Burn_;

  bool operator==(const HostStatus &) const = default;
};

/// Formats a report as one line of JSON. Bytes that are not valid UTF-8 are
/// replaced.
std::string formatHostStatus(const HostStatus &Value);

/// Parses a report strictly: an unknown field is an error. Fails with the
/// same codes as parseContract.
Result<HostStatus> parseHostStatus(std::string_view Json);

} // namespace kumquatpitch

#endif
