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
  Target Parsed;
  Parsed.Id_ = Reader.name<TargetTag>("id");
  Parsed.Address_.Address_ = Reader.text("address", MaxAddressBytes);
  Parsed.Address_.Port_ = Reader.number("port", 1, MaxPort);
  Parsed.Domain_ = Reader.name<FailureDomainTag>("failure_domain");
  Parsed.Slots_ = Reader.number("slots", 1, MaxSlots);
  Parsed.Connections_ = Reader.number("connections", 1, MaxConnections);
  Parsed.State_ = readState(Reader);
  return Parsed;
}

void readMarkers(JsonReader &Reader, ServiceEntry &Entry) {
  Reader.optionalObject("refusal_marker", [&](JsonReader &Nested) {
    Entry.Refusal_ = readMarker(Nested);
  });
  Reader.optionalObject("drain_marker", [&](JsonReader &Nested) {
    Entry.Drain_ = readMarker(Nested);
  });
  Entry.EchoHeader_ = Reader.textOr("echo_header", MaxHeaderBytes, "");
  Entry.LoadHeader_ = Reader.textOr("load_header", MaxHeaderBytes, "");
  Entry.HealthPath_ = Reader.textOr("health_path", MaxPathBytes, "");
}

void readTargets(JsonReader &Reader, ServiceEntry &Entry) {
  Reader.objects("targets", 1, MaxTargets, [&](JsonReader &Element) {
    Entry.Targets_.push_back(readTarget(Element));
  });
  detail::sortByUniqueKey(Reader, Entry.Targets_, &Target::Id_, "targets",
                          "id");
}

ServiceEntry readEntry(JsonReader &Reader) {
  static constexpr DetectionProfile Profiles[] = {
      DetectionProfile::AvoidFalseEjection, DetectionProfile::FastDetection};
  ServiceEntry Entry;
  Entry.Service_ = Reader.name<ServiceTag>("service");
  Entry.Customer_ = Reader.name<CustomerTag>("customer");
  Entry.Version_ = Reader.number("version", 1, UINT64_MAX);
  Entry.FloorTargets_ = Reader.number("floor_targets", 0, MaxTargets);
  Entry.Profile_ = Profiles[Reader.choice(
      "detection_profile", {"avoid-false-ejection", "fast-detection"})];
  Entry.Region_ = Reader.name<RegionTag>("region");
  Entry.HostsPerDomain_ =
      Reader.numberOr("hosts_per_failure_domain", 1, MaxHostsPerDomain, 1);
  readMarkers(Reader, Entry);
  readTargets(Reader, Entry);
  if (Entry.FloorTargets_ > Entry.Targets_.size())
    Reader.reject("floor_targets", "must not exceed the number of targets, " +
                                       std::to_string(Entry.Targets_.size()));
  return Entry;
}

} // namespace

Result<ServiceEntry> parseServiceEntry(std::string_view Json) {
  return detail::parseDocument(Json, readEntry);
}

const Target *findTarget(const ServiceEntry &Entry, const TargetId &Id) {
  const auto HasLowerId = [](const Target &Candidate, const TargetId &Key) {
    return Candidate.Id_ < Key;
  };
  const std::vector<Target>::const_iterator It = std::lower_bound(
      Entry.Targets_.begin(), Entry.Targets_.end(), Id, HasLowerId);
  return It != Entry.Targets_.end() && It->Id_ == Id ? &*It : nullptr;
}

} // namespace kumquatpitch
