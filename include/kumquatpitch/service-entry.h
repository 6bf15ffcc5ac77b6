// A service's entry: its backend servers and how they behave. Published by the
// platform; parsed and checked here.

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

/// Which detection error a service's customer weighs more.
enum class DetectionProfile : std::uint8_t {
  AvoidFalseEjection,
  FastDetection,
};

enum class TargetState : std::uint8_t { Starting, Serving, Leaving };

/// A response header by which a backend server says something. Unused when the
/// header's name is empty.
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
  std::uint32_t Slots_ = 0;       ///< Requests it runs at once.
  std::uint32_t Connections_ = 0; ///< Connections it accepts, fleet-wide.
  TargetState State_ = TargetState::Serving;

  bool operator==(const Target &) const = default;
};

/// A service with its targets.
struct ServiceEntry {
  ServiceName Service_;
  CustomerName Customer_; ///< The one customer that may use the service.
  std::uint64_t Version_ = 0;
  std::uint32_t FloorTargets_ = 0; ///< Capacity that ejections leave, in
                                   ///< targets; at most the count of targets.
  DetectionProfile Profile_ = DetectionProfile::AvoidFalseEjection;
  Region Region_;
  std::uint32_t HostsPerDomain_ = 1;
  std::string EchoHeader_; ///< Empty when the service echoes no attempt id.
  Marker Refusal_;
  Marker Drain_;
  std::string LoadHeader_;      ///< Reported load from 0 to 100; may be empty.
  std::string HealthPath_;      ///< Empty when there is no health endpoint.
  std::vector<Target> Targets_; ///< Sorted by id, ids are unique.

  bool operator==(const ServiceEntry &) const = default;
};

/// Parses a service's entry from JSON. Fails as parseContract does.
Result<ServiceEntry> parseServiceEntry(std::string_view Json);

/// Target with an id, or null.
const Target *findTarget(const ServiceEntry &Entry, const TargetId &Id);

} // namespace kumquatpitch

#endif
