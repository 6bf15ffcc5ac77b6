// In-memory platform of the fault matrix: it publishes versioned documents and
// can be down, stale or rolled back. CoreFleet delivers its replies.

#ifndef KUMQUATPITCH_FLEET_PLATFORM_H
#define KUMQUATPITCH_FLEET_PLATFORM_H

#include "kumquatpitch/host-list.h"
#include "kumquatpitch/manifest.h"
#include "kumquatpitch/platform-reader.h"
#include "kumquatpitch/service-entry.h"

#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch::test {

enum class PlatformMode { Normal, Down, Stale, RolledBack };

/// Stores all published versions and answers reads and watches.
class FleetPlatform {
public:
  void publish(const Manifest &NewManifest,
               const std::map<std::string, std::string> &Documents) {
    for (const ManifestPart &Part : NewManifest.Parts_)
      Parts_["parts/" + Part.Name_ + "/" + Part.Hash_] =
          Documents.at(Part.Name_);
    Manifests_.push_back({NewManifest.Version_, formatManifest(NewManifest)});
  }

  void publishHosts(std::uint64_t Version, const std::string &Body) {
    Hosts_.push_back({Version, Body});
  }

  void setMode(PlatformMode Mode) {
    Mode_ = Mode;
    FrozenManifests_ = Manifests_.size();
    FrozenHosts_ = Hosts_.size();
  }

  bool isDown() const { return Mode_ == PlatformMode::Down; }
  std::uint64_t manifestVersion() const { return Manifests_.back().Version_; }

  /// Reply to a read.
  PlatformReply read(const std::string &Key) const {
    if (isDown())
      return PlatformReply{Key, PlatformStatus::Unreachable, 0, "", 0};
    if (Key == "manifest" || Key == "hosts")
      return value(Key, current(Key));
    const std::map<std::string, std::string>::const_iterator Entry =
        Parts_.find(Key);
    if (Entry == Parts_.end())
      return PlatformReply{Key, PlatformStatus::UnknownKey, 0, "", 0};
    return value(Key, {0, Entry->second});
  }

  /// Reply to a watch, or none while there is no newer version. A rolled-back
  /// platform replies at once with its oldest value.
  std::optional<PlatformReply> watch(const std::string &Key,
                                     std::uint64_t After) const {
    if (isDown() || Mode_ == PlatformMode::RolledBack ||
        current(Key).Version_ > After)
      return read(Key);
    return std::nullopt;
  }

private:
  struct Value {
    std::uint64_t Version_ = 0;
    std::string Body_;
  };

  static PlatformReply value(const std::string &Key, const Value &Stored) {
    return PlatformReply{Key, PlatformStatus::Value, Stored.Version_,
                         Stored.Body_, Stored.Body_.size()};
  }

  const Value &current(const std::string &Key) const {
    const bool IsManifest = Key == "manifest";
    const std::vector<Value> &Values = IsManifest ? Manifests_ : Hosts_;
    if (Mode_ == PlatformMode::RolledBack)
      return Values.front();
    if (Mode_ == PlatformMode::Stale)
      return Values[(IsManifest ? FrozenManifests_ : FrozenHosts_) - 1];
    return Values.back();
  }

  PlatformMode Mode_ = PlatformMode::Normal;
  std::vector<Value> Manifests_;
  std::vector<Value> Hosts_;
  std::size_t FrozenManifests_ = 0;
  std::size_t FrozenHosts_ = 0;
  std::map<std::string, std::string> Parts_;
};

/// Builds the documents of the fault matrix: one customer with one service.
struct FleetDocuments {
  static constexpr std::uint64_t Targets = 6;
  static constexpr std::uint64_t Slots = 4;
  static constexpr std::uint64_t Floor = 4;

  static std::string domain(std::size_t Index) {
    static const char *const Names[] = {"nyarugenge", "gasabo", "kicukiro"};
    return Names[Index % 3];
  }

  static std::string contract(int RatePerSecond) {
    const nlohmann::json Service = {
        {"name", "ledger"},
        {"rate_per_s", RatePerSecond},
        {"in_progress", 56},
        {"max_body_bytes", 16384},
        {"max_answer_bytes", 262144},
        {"deadline_ms", 2000},
        {"queue", {{"max_requests", 28}, {"max_wait_ms", 150}}},
        {"retry", {{"budget_percent", 10}, {"max_attempts", 2}}},
        {"slo",
         {{"availability_percent", 99.9},
          {"latency_ms", 500},
          {"window_days", 28}}},
        {"routes",
         {{{"method", "GET"}, {"path_prefix", "/"}, {"idempotent", true}},
          {{"method", "POST"}, {"path_prefix", "/"}, {"idempotent", false}}}}};
    return nlohmann::json{
        {"customer", "imigongo"}, {"version", 1}, {"services", {Service}}}
        .dump();
  }

  static std::string service(std::uint64_t Version,
                             std::optional<std::size_t> Leaving) {
    nlohmann::json List = nlohmann::json::array();
    for (std::size_t I = 0; I < Targets; ++I)
      List.push_back({{"id", "t" + std::to_string(I)},
                      {"address", "10.1.0." + std::to_string(I + 1)},
                      {"port", 80},
                      {"failure_domain", domain(I)},
                      {"slots", Slots},
                      {"connections", 40},
                      {"state", Leaving == I ? "leaving" : "serving"}});
    const nlohmann::json Entry = {
        {"service", "ledger"},
        {"customer", "imigongo"},
        {"version", Version},
        {"floor_targets", Floor},
        {"detection_profile", "fast-detection"},
        {"region", "kigali"},
        {"hosts_per_failure_domain", 2},
        {"echo_header", "Attempt"},
        {"refusal_marker", {{"header", "Refused"}, {"value", "yes"}}},
        {"drain_marker", {{"header", "State"}, {"value", "draining"}}},
        {"load_header", "Load"},
        {"targets", List}};
    return Entry.dump();
  }

  static std::string hosts(std::uint64_t Version,
                           const std::vector<std::string> &States) {
    nlohmann::json List = nlohmann::json::array();
    for (std::size_t I = 0; I < States.size(); ++I)
      if (!States[I].empty())
        List.push_back(
            {{"id", "h" + std::to_string(I)},
             {"region", "kigali"},
             {"failure_domain", domain(I)},
             {"address", "10.0.0." + std::to_string(I + 1)},
             {"peer_port", 7},
             {"operator_port", 8},
             {"customer_ports", {{{"customer", "imigongo"}, {"port", 9}}}},
             {"state", States[I]}});
    return nlohmann::json{{"version", Version}, {"hosts", List}}.dump();
  }
};

} // namespace kumquatpitch::test

#endif
