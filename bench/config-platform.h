// Simulated platform of config-bench: publishes documents and answers reads and
// watches in virtual time, with the fault mode that a benchmark sets.

#ifndef KUMQUATPITCH_CONFIG_PLATFORM_H
#define KUMQUATPITCH_CONFIG_PLATFORM_H

#include "kumquatpitch/host-list.h"
#include "kumquatpitch/manifest.h"
#include "kumquatpitch/platform-reader.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatpitch::bench {

enum class PlatformMode { Normal, Down, Stale, RolledBack };

inline std::string contractJson(const std::string &Customer,
                                std::uint64_t Version, unsigned Services) {
  nlohmann::json List = nlohmann::json::array();
  for (unsigned Index = 0; Index < Services; ++Index) {
    const std::string Name = Customer + "-s" + std::to_string(Index);
    List.push_back({{"name", Name},
                    {"rate_per_s", 50},
                    {"in_progress", 20},
                    {"max_body_bytes", 65536},
                    {"max_answer_bytes", 1048576},
                    {"deadline_ms", 2000},
                    {"slo",
                     {{"availability_percent", 99.9},
                      {"latency_ms", 500},
                      {"window_days", 28}}},
                    {"routes",
                     {{{"method", "GET"},
                       {"path_prefix", "/" + Name},
                       {"idempotent", true}}}}});
  }
  return nlohmann::json{
      {"customer", Customer}, {"version", Version}, {"services", List}}
      .dump();
}

inline std::string serviceJson(const std::string &Customer, unsigned Index,
                               std::uint64_t Version) {
  constexpr unsigned Targets = 14;
  nlohmann::json List = nlohmann::json::array();
  for (unsigned Target = 0; Target < Targets; ++Target)
    List.push_back({{"id", "t" + std::to_string(Target)},
                    {"address", "10.1.0." + std::to_string(Target)},
                    {"port", 9000},
                    {"failure_domain", "d" + std::to_string(Target % 3)},
                    {"slots", 2},
                    {"connections", 400},
                    {"state", "serving"}});
  return nlohmann::json{{"service", Customer + "-s" + std::to_string(Index)},
                        {"customer", Customer},
                        {"version", Version},
                        {"floor_targets", 7},
                        {"detection_profile", "fast-detection"},
                        {"region", "r0"},
                        {"targets", List}}
      .dump();
}

/// Holds every published version of each key.
class Platform {
public:
  void setPart(const std::string &Name, const std::string &Json) {
    const std::string Hash = contentHash(Json);
    Parts_["parts/" + Name + "/" + Hash] = Json;
    CurrentParts_[Name] = ManifestPart{Name, ++PartVersion_, Hash, Json.size()};
  }

  void removePart(const std::string &Name) { CurrentParts_.erase(Name); }

  /// Publishes a manifest of the current parts.
  void publish(std::uint64_t Version) {
    Manifest Next;
    Next.Version_ = Version;
    for (const std::pair<const std::string, ManifestPart> &Part : CurrentParts_)
      Next.Parts_.push_back(Part.second);
    put("manifest", Version, formatManifest(Next));
  }

  void publishHosts(const HostList &List) {
    nlohmann::json Hosts = nlohmann::json::array();
    for (const HostRecord &Host : List.Hosts_) {
      nlohmann::json Ports = nlohmann::json::array();
      for (const std::pair<const CustomerName, std::uint16_t> &Port :
           Host.CustomerPorts_)
        Ports.push_back(
            {{"customer", Port.first.str()}, {"port", Port.second}});
      Hosts.push_back(
          {{"id", Host.Id_.str()},
           {"region", Host.Region_.str()},
           {"failure_domain", Host.Domain_.str()},
           {"address", Host.Address_},
           {"peer_port", Host.PeerPort_},
           {"operator_port", Host.OperatorPort_},
           {"customer_ports", Ports},
           {"state", Host.State_ == HostState::Live ? "live" : "leaving"}});
    }
    put("hosts", List.Version_,
        nlohmann::json{{"version", List.Version_}, {"hosts", Hosts}}.dump());
  }

  /// Publishes a value without validating it.
  void put(const std::string &Key, std::uint64_t Version, std::string Body) {
    Values_[Key].push_back(Value{Version, std::move(Body)});
  }

  /// Stale: reads return what was current at this call; later publications are
  /// hidden. RolledBack: reads return the first publication.
  void setMode(PlatformMode Mode) {
    Mode_ = Mode;
    for (const std::pair<const std::string, std::vector<Value>> &Entry :
         Values_)
      FrozenCounts_[Entry.first] = Entry.second.size();
  }

  PlatformMode mode() const { return Mode_; }

  /// Reply to a call made now; Unchanged means that the watch has to wait.
  PlatformReply reply(const std::string &Key, bool IsWatch,
                      std::uint64_t After) const {
    PlatformReply Reply{Key, PlatformStatus::Unreachable, 0, "", 0};
    if (Mode_ == PlatformMode::Down)
      return Reply;
    const Value *Published = find(Key);
    if (!Published) {
      Reply.Status_ = PlatformStatus::UnknownKey;
      return Reply;
    }
    // A rolled-back platform has lost the later versions, so it answers a watch
    // at once instead of waiting for a newer one.
    if (IsWatch && Published->Version_ <= After &&
        Mode_ != PlatformMode::RolledBack) {
      Reply.Status_ = PlatformStatus::Unchanged;
      return Reply;
    }
    return PlatformReply{Key, PlatformStatus::Value, Published->Version_,
                         Published->Body_, Published->Body_.size()};
  }

private:
  struct Value {
    std::uint64_t Version_;
    std::string Body_;
  };

  const Value *find(const std::string &Key) const {
    static Value Part;
    const std::map<std::string, std::string>::const_iterator PartIt =
        Parts_.find(Key);
    if (PartIt != Parts_.end()) {
      Part = Value{0, PartIt->second};
      return &Part;
    }
    const std::map<std::string, std::vector<Value>>::const_iterator It =
        Values_.find(Key);
    if (It == Values_.end() || It->second.empty())
      return nullptr;
    if (Mode_ == PlatformMode::RolledBack)
      return &It->second.front();
    if (Mode_ == PlatformMode::Stale && FrozenCounts_.count(Key))
      return &It->second[FrozenCounts_.at(Key) - 1];
    return &It->second.back();
  }

  PlatformMode Mode_ = PlatformMode::Normal;
  std::uint64_t PartVersion_ = 0;
  /// Contents by part key; immutable, since the key holds the hash.
  std::map<std::string, std::string> Parts_;
  /// Parts of the next manifest, by name.
  std::map<std::string, ManifestPart> CurrentParts_;
  /// Publications by key, oldest first.
  std::map<std::string, std::vector<Value>> Values_;
  /// Number of publications per key when the mode was last set.
  std::map<std::string, std::size_t> FrozenCounts_;
};

} // namespace kumquatpitch::bench

#endif
