// Parses service entries. See service-entry.h.

#include "kumquatpitch/service-entry.h"

#include "kumquatpitch/json-reader.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

using detail::JsonReader;

constexpr std::uint64_t MaxTargets = 1'000;
constexpr std::uint64_t MaxSlots = 10'000;
constexpr std::uint64_t MaxConnections = 100'000;
constexpr std::uint64_t MaxHostsPerDomain = 16;
constexpr std::uint64_t MaxPort = 65'535;
constexpr std::size_t MaxHeaderBytes = 128;
constexpr std::size_t MaxAddressBytes = 45;
constexpr std::size_t MaxPathBytes = 1'024;

Marker readMarker(JsonReader &Reader) {
  return Marker{Reader.text("header", MaxHeaderBytes),
                Reader.text("value", MaxHeaderBytes)};
}

TargetState readState(JsonReader &Reader) {
  static constexpr TargetState States[] = {
      TargetState::Starting, TargetState::Serving, TargetState::Leaving};
  return States[Reader.choice("state", {"starting", "serving", "leaving"})];
}

Target readTarget(JsonReader &Reader) {
  Target Read;
  Read.Id_ = Reader.name<TargetTag>("id");
  Read.Address_.Address_ = Reader.text("address", MaxAddressBytes);
  Read.Address_.Port_ = Reader.number("port", 1, MaxPort);
  Read.Domain_ = Reader.name<FailureDomainTag>("failure_domain");
  Read.Slots_ = Reader.number("slots", 1, MaxSlots);
  Read.Connections_ = Reader.number("connections", 1, MaxConnections);
  Read.State_ = readState(Reader);
  return Read;
}

void readMarkers(JsonReader &Reader, ServiceEntry &Read) {
  Reader.optionalObject("refusal_marker", [&](JsonReader &Nested) {
    Read.Refusal_ = readMarker(Nested);
  });
  Reader.optionalObject("drain_marker", [&](JsonReader &Nested) {
    Read.Drain_ = readMarker(Nested);
  });
  Read.EchoHeader_ = Reader.textOr("echo_header", MaxHeaderBytes, "");
  Read.LoadHeader_ = Reader.textOr("load_header", MaxHeaderBytes, "");
  Read.HealthPath_ = Reader.textOr("health_path", MaxPathBytes, "");
}

void readTargets(JsonReader &Reader, ServiceEntry &Read) {
  Reader.objects("targets", 1, MaxTargets, [&](JsonReader &Element) {
    Read.Targets_.push_back(readTarget(Element));
  });
  detail::sortByUniqueKey(Reader, Read.Targets_, &Target::Id_, "targets", "id");
}

ServiceEntry readEntry(JsonReader &Reader) {
  static constexpr DetectionProfile Profiles[] = {
      DetectionProfile::AvoidFalseEjection, DetectionProfile::FastDetection};
  ServiceEntry Read;
  Read.Service_ = Reader.name<ServiceTag>("service");
  Read.Customer_ = Reader.name<CustomerTag>("customer");
  Read.Version_ = Reader.number("version", 1, UINT64_MAX);
  Read.FloorTargets_ = Reader.number("floor_targets", 0, MaxTargets);
  Read.Profile_ = Profiles[Reader.choice(
      "detection_profile", {"avoid-false-ejection", "fast-detection"})];
  Read.Region_ = Reader.name<RegionTag>("region");
  Read.HostsPerDomain_ =
      Reader.numberOr("hosts_per_failure_domain", 1, MaxHostsPerDomain, 1);
  readMarkers(Reader, Read);
  readTargets(Reader, Read);
  if (Read.FloorTargets_ > Read.Targets_.size())
    Reader.reject("floor_targets", "must not exceed the count of targets, " +
                                       std::to_string(Read.Targets_.size()));
  return Read;
}

} // namespace

Result<ServiceEntry> parseServiceEntry(std::string_view Json) {
  return detail::parseDocument(Json, readEntry);
}

const Target *findTarget(const ServiceEntry &Entry, const TargetId &Id) {
  const auto IsBefore = [](const Target &Each, const TargetId &Key) {
    return Each.Id_ < Key;
  };
  const std::vector<Target>::const_iterator It = std::lower_bound(
      Entry.Targets_.begin(), Entry.Targets_.end(), Id, IsBefore);
  return It != Entry.Targets_.end() && It->Id_ == Id ? &*It : nullptr;
}

} // namespace kumquatpitch
