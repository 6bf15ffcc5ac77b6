// The published routing configuration as value types, and the table that finds
// the route of a request. Decoded by platform/, used by GatewayCore. Pure.

#ifndef KUMQUATPITCH_ROUTING_CONFIG_H
#define KUMQUATPITCH_ROUTING_CONFIG_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquatpitch {

/// A service's part of a route's requests, in proportion to the weights.
struct ServiceShare {
  ServiceName Service_;
  std::uint32_t Weight_ = 1;

  bool operator==(const ServiceShare &) const = default;
};

/// What applies to the requests of one virtual host below one path prefix.
struct VirtualRoute {
  std::string Name_;
  std::string Host_;
  std::string Prefix_;               ///< Begins and ends with a slash.
  std::vector<ServiceShare> Shares_; ///< Not empty.
  bool Idempotent_ = false;          ///< May run more than once.
  Duration Timeout_{};               ///< Longest time a caller is kept waiting.
  Duration Objective_{};             ///< Latency objective; 0 when not stated.
  std::uint32_t MaxTargets_ = 1; ///< Targets that one request may be sent to.
  std::uint32_t Priority_ = 0;   ///< 0 is the most urgent.

  bool operator==(const VirtualRoute &) const = default;
};

/// What the configuration says of a service.
struct ServiceRule {
  ServiceName Name_;
  std::uint32_t MaxConnections_ =
      0; ///< Of all hosts at one target; 0: unknown.

  bool operator==(const ServiceRule &) const = default;
};

/// Bounds of what a caller may send.
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
  std::vector<ServiceRule> Services_;

  bool operator==(const RoutingConfig &) const = default;
};

/// Index over a configuration. Immutable.
class RouteTable {
public:
  RouteTable() = default;
  explicit RouteTable(RoutingConfig Config);
  RouteTable(const RouteTable &) = delete;
  RouteTable &operator=(const RouteTable &) = delete;

  const RoutingConfig &config() const { return Config_; }

  /// The route with the longest prefix of `Path` at `Host`; null without one.
  const VirtualRoute *find(std::string_view Host, std::string_view Path) const;

private:
  RoutingConfig Config_;
  /// By host and prefix, joined by a space, which neither can contain.
  std::unordered_map<std::string, const VirtualRoute *> ByPrefix_;
};

} // namespace kumquatpitch

#endif
