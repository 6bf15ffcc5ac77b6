// Entry of a service: its backend servers, the headers with which they signal,
// and how ejection treats them. The platform publishes it; it is parsed and
// validated here.

#ifndef KUMQUATPITCH_SERVICE_ENTRY_H
#define KUMQUATPITCH_SERVICE_ENTRY_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch {

/// Which kind of detection error is worse for a service's customer: ejecting a
/// healthy backend server, or detecting a failed one late.
enum class DetectionProfile : std::uint8_t {
  AvoidFalseEjection,
  FastDetection,
};

enum class TargetState : std::uint8_t { Starting, Serving, Leaving };

/// A response header and the value with which a backend server signals a
/// condition, such as a refusal. Not used when the header's name is empty.
struct Marker {
  std::string Header_;
  std::string Value_;

  bool operator==(const Marker &) const = default;
};

/// One backend server of a service.
struct Target {
  TargetId Id_;
  Endpoint Address_;
  FailureDomain Domain_;
  std::uint32_t Slots_ = 0;       ///< Requests it runs concurrently.
  std::uint32_t Connections_ = 0; ///< Connections it accepts, fleet-wide.
  TargetState State_ = TargetState::Serving;

  bool operator==(const Target &) const = default;
};

/// A service and its targets.
struct ServiceEntry {
  ServiceName Service_;
  CustomerName Customer_; ///< The one customer that may use the service.
  std::uint64_t Version_ = 0;
  std::uint32_t FloorTargets_ = 0; ///< Capacity that ejections must leave,
                                   ///< in targets; at most Targets_.size().
  DetectionProfile Profile_ = DetectionProfile::AvoidFalseEjection;
  Region Region_;
  std::uint32_t HostsPerDomain_ = 1;
  std::string EchoHeader_; ///< Empty when the service echoes no attempt id.
  Marker Refusal_;
  Marker Drain_;
  std::string LoadHeader_; ///< Header with the load, 0 to 100; may be empty.
  std::string HealthPath_; ///< Empty when there is no health endpoint.
  std::vector<Target> Targets_; ///< Sorted by id, ids are unique.

  bool operator==(const ServiceEntry &) const = default;
};

/// Parses a service's entry from JSON. Fails with the same codes as
/// parseContract.
Result<ServiceEntry> parseServiceEntry(std::string_view Json);

/// Target with the id `Id`, or null.
const Target *findTarget(const ServiceEntry &Entry, const TargetId &Id);

} // namespace kumquatpitch

#endif
