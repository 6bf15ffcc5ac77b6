// A host's report for operators and its JSON. HostCore fills it, the operator
// endpoint serves it, and the commands read it back.

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

/// What a host does with a target.
enum class TargetCondition : std::uint8_t {
  Usable,
  Ejected,
  HeldByFloor, ///< Suspect, but the floor needs it.
  Draining,    ///< Said so itself, or a peer reported it.
  Leaving,     ///< By the service's entry.
  Starting,    ///< By the service's entry.
};

/// `usable`, `ejected`, `held_by_floor`, `draining`, `leaving` or `starting`.
const char *targetConditionName(TargetCondition Condition);

/// A named number behind a decision, such as the age of the oldest request.
struct Figure {
  std::string Name_; ///< 1 to 63 bytes, with its unit: `oldest_wait_ms`.
  double Value_ = 0;

  bool operator==(const Figure &) const = default;
};

struct TargetStatus {
  TargetId Id_;
  TargetCondition Condition_ = TargetCondition::Usable;
  std::string Cause_; ///< Empty when the target is usable.
  std::vector<Figure> Figures_;
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

/// A service whose group this host belongs to.
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

/// Directions in which messages between this host and a peer arrive.
enum class PeerDirection : std::uint8_t { Both, OnlyFrom, OnlyTo, None };

/// `both`, `only_from`, `only_to` or `none`.
const char *peerDirectionName(PeerDirection Direction);

struct PeerStatus {
  HostId Host_;
  PeerDirection Direction_ = PeerDirection::None;
  Duration SilentFor_{}; ///< Since the last message from the peer.

  bool operator==(const PeerStatus &) const = default;
};

/// A published document that is not in force.
struct RefusalStatus {
  std::string Document_; ///< Such as `contract/imigongo`.
  std::uint64_t Version_ = 0;
  ResultCode Code_ = ResultCode::DocumentInvalid;
  std::string Reason_;
  Duration Age_{}; ///< Since it was refused.

  bool operator==(const RefusalStatus &) const = default;
};

/// One host's report. Spans reach back from when the report was made; they are
/// whole milliseconds in JSON. No point in time is given, since clocks of hosts
/// are not compared.
struct HostStatus {
  HostId Host_;
  Incarnation Incarnation_ = 0;
  Region Region_;
  FailureDomain Domain_;
  std::uint64_t ConfigVersion_ = 0; ///< Version in force; 0 when there is none.
  bool Ready_ = false;
  bool Leaving_ = false;
  Duration UpFor_{};
  Duration Age_{}; ///< From the making of the report to its sending.
  std::vector<ServiceStatus> Services_;
  std::vector<PeerStatus> Peers_;
  std::vector<RefusalStatus> Refusals_;
  std::vector<BurnSnapshot> Burn_;

  bool operator==(const HostStatus &) const = default;
};

/// JSON of a report on one line. Bytes that are not UTF-8 are replaced.
std::string formatHostStatus(const HostStatus &Value);

/// Parses a report strictly. Fails as parseContract does.
Result<HostStatus> parseHostStatus(std::string_view Json);

} // namespace kumquatpitch

#endif
