// Settings of a gateway host, read from an INI file. All values are validated
// before the daemon starts.

#ifndef KUMQUATPITCH_GATEWAY_SETTINGS_H
#define KUMQUATPITCH_GATEWAY_SETTINGS_H

#include "kumquatpitch/logger.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/time-point.h"
#include "kumquatpitch/unframed-services.h"

#include <string>
#include <vector>

namespace kumquatpitch {

struct GatewaySettings {
  HostId Id_;
  Region Region_;
  FailureDomain Domain_;
  /// Processor time available to the host, in cores.
  double ProcessorCores_ = 1;
  std::uint64_t MemoryBytes_ = 256 << 20; ///< Memory available to the host.
  std::string Address_;           ///< IP address of all ports of the host.
  Endpoint Front_;                ///< Accepts callers' requests.
  Endpoint Ready_;                ///< Answers readiness checks.
  Endpoint Directory_;            ///< Tells callers which hosts to use.
  std::uint16_t PeerPort_ = 0;    ///< For peer datagrams; same on all hosts.
  std::uint16_t MetricsPort_ = 0; ///< 0 disables the metrics port.
  std::vector<Endpoint> Seeds_;
  Endpoint Store_;
  std::uint32_t MaxConnections_ = 3'000;
  double FloorShare_ = 0.7;
  double ResendRatio_ = 0.2;
  double ResendSlack_ = 10;
  Duration ResendWindow_ = std::chrono::seconds(10);
  /// How long callers may cache the answer to an address query.
  Duration AddressAnswerTtl_ = std::chrono::seconds(2);
  /// Time from the stop signal until the platform kills the daemon.
  Duration StopTimeout_ = std::chrono::seconds(6);
  /// Services whose answers may end with their connection.
  UnframedServices UnframedServices_;
  /// How long after its withdrawal was confirmed a key may still be accepted;
  /// 0 when no such limit is kept.
  Duration KeyRevocationTime_{};
  /// Longest span over which workspaces' limits are judged; 0 when unknown.
  Duration LimitWindow_{};
  /// What all hosts together may run beyond a workspace's limit in such a
  /// window, as a share of the limit and as a number of requests.
  double LimitOverage_ = 0;
  double LimitSlack_ = 0;
  double LinkMbps_ = 0; ///< Speed of the host's network link; 0 if unknown.
  /// Targets may be chosen by expected work; see work-scope.h.
  bool MayBalanceByWork_ = false;
  LogLevel LogLevel_ = LogLevel::Info;

  bool operator==(const GatewaySettings &) const = default;
};

/// Parses settings from INI text; `File` is named in error messages. Fails with
/// SettingsInvalid.
Result<GatewaySettings> parseGatewaySettings(const std::string &Text,
                                             const std::string &File);

/// Reads and parses a settings file. Fails with SettingsUnreadable or
/// SettingsInvalid.
Result<GatewaySettings> loadGatewaySettings(const std::string &File);

} // namespace kumquatpitch

#endif
