// Settings of one host, read from an INI file. Everything is checked before a
// daemon starts; nothing starts half-configured.

#ifndef KUMQUATPITCH_SETTINGS_H
#define KUMQUATPITCH_SETTINGS_H

#include "kumquatpitch/logger.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/time-point.h"

#include <map>
#include <string>
#include <vector>

namespace kumquatpitch {

struct Settings {
  HostId Id_;
  Region Region_;
  FailureDomain Domain_;
  std::string Address_; ///< IP address of all of the host's ports.
  std::uint16_t PeerPort_ = 0;
  std::uint16_t OperatorPort_ = 0;
  std::string OperatorAddress_; ///< Where the operator port listens.
  Endpoint Platform_;
  std::vector<Endpoint> Seeds_; ///< Peers to ask before the list is known.
  std::map<CustomerName, std::uint16_t> CustomerPorts_;
  std::uint32_t Workers_ = 64;
  std::uint32_t MaxConnections_ = 4'000;
  std::uint32_t MaxBufferMiB_ = 64;
  Duration StopLimit_ = std::chrono::seconds(60);
  LogLevel LogLevel_ = LogLevel::Info;

  bool operator==(const Settings &) const = default;
};

/// Reads settings from INI text. Fails with SettingsInvalid; the message names
/// `File`, the line or section and key, and what would be right.
Result<Settings> parseSettings(const std::string &Text,
                               const std::string &File);

/// Reads settings from a file. Fails with SettingsUnreadable too.
Result<Settings> loadSettings(const std::string &File);

/// Reads a whole file of at most `MaxBytes`. Fails with SettingsUnreadable.
Result<std::string> readFile(const std::string &File, std::size_t MaxBytes);

} // namespace kumquatpitch

#endif
