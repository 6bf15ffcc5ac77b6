// The published routing configuration as value types, and the table that looks
// up the route of a request. Decoded by platform/, used by GatewayCore. Pure
// logic: no I/O and no clock.

#ifndef KUMQUATPITCH_ROUTING_CONFIG_H
#define KUMQUATPITCH_ROUTING_CONFIG_H

#include "kumquatpitch/admission/workspace-index.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatpitch {

/// One of the services that a route splits its requests between, in proportion
/// to their weights.
struct ServiceShare {
  ServiceName Service_;
  std::uint32_t Weight_ = 1;

  bool operator==(const ServiceShare &) const = default;
};

/// What a route's requests are, which decides whether they may run again.
enum class RouteKind : std::uint8_t {
  AtMostOnce, ///< A request must not run more than once.
  Idempotent, ///< A request may run more than once.
  Download,   ///< As Idempotent; its answers are large.
  Upload,     ///< As AtMostOnce; its bodies are large.
};

/// Settings for the requests to one virtual host whose path has one prefix.
struct VirtualRoute {
  std::string Name_;
  std::string Host_;
  std::string Prefix_;               ///< Begins and ends with a slash.
  std::vector<ServiceShare> Shares_; ///< Not empty.
  RouteKind Kind_ = RouteKind::AtMostOnce;
  Duration Timeout_{};   ///< Longest time until the caller gets a response.
  Duration Objective_{}; ///< Latency objective; 0 if not set.
  std::uint32_t MaxTargets_ =
      1; ///< Most targets that one request may be sent to.
  std::uint32_t Priority_ = 0; ///< 0 is the highest priority.
  bool IsPublic_ = false;      ///< Its requests need no key.

  /// True when requests may be executed more than once.
  bool isIdempotent() const {
    return Kind_ == RouteKind::Idempotent || Kind_ == RouteKind::Download;
  }

  bool operator==(const VirtualRoute &) const = default;
};

/// Settings of one service.
struct ServiceSettings {
  ServiceName Name_;
  /// Most connections of all hosts together to one target; 0 if unknown.
  std::uint32_t MaxConnections_ = 0;

  bool operator==(const ServiceSettings &) const = default;
};

/// Limits on what a caller may send and how long it may take.
struct CallerLimits {
  std::uint64_t MaxHeadBytes_ = 16'384;
  std::uint64_t MaxBodyBytes_ = 1 << 20;
  Duration HeadTimeout_ = std::chrono::seconds(3);
  Duration IdleTimeout_ = std::chrono::seconds(15);

  bool operator==(const CallerLimits &) const = default;
};

struct RoutingConfig {
  std::uint64_t Version_ = 0;
  CallerLimits Limits_;
  std::vector<VirtualRoute> Routes_;
  std::vector<ServiceSettings> Services_;
  /// Kinds of route that this version does not know. Their requests run at most
  /// once.
  std::set<std::string> UnknownKinds_;
  /// None where requests need no keys and are forwarded as they are.
  std::optional<std::vector<WorkspaceSettings>> Workspaces_{};
  /// Entries of workspaces that cannot be used, without their keys.
  std::vector<std::string> WorkspaceProblems_{};

  bool operator==(const RoutingConfig &) const = default;
};

/// Index of a configuration's routes. Immutable.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfig Config);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  const RoutingConfig &config() const { return Config_; }

  /// The workspaces and their keys; null where requests need none.
  const WorkspaceIndex *workspaces() const {
    return Workspaces_ ? &*Workspaces_ : nullptr;
  }

  /// Returns the route of virtual host `Host` with the longest prefix of
  /// `Path`, or null if there is none.
  const VirtualRoute *find(std::string_view Host, std::string_view Path) const;

private:
  RoutingConfig Config_;
  std::optional<WorkspaceIndex> Workspaces_;
  /// Routes by host and prefix, joined by a space, which neither can contain.
  std::unordered_map<std::string, const VirtualRoute *> ByPrefix_;
};

} // namespace kumquatpitch

#endif
