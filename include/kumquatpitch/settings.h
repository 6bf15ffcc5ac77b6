// Settings of one host, read from an INI file. All settings are checked before
// the daemon starts, so that it never runs partly configured.

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
  std::string Address_; ///< IP address that the host's ports use.
  std::uint16_t PeerPort_ = 0;
  std::uint16_t OperatorPort_ = 0;
  std::string OperatorAddress_; ///< IP address of the operator port.
  Endpoint Platform_;
  std::vector<Endpoint> Seeds_; ///< Peers contacted before the list is known.
  std::map<CustomerName, std::uint16_t> CustomerPorts_;
  std::uint32_t Workers_ = 64;
  std::uint32_t MaxConnections_ = 4'000;
  std::uint32_t MaxBufferMiB_ = 64;
  Duration StopLimit_ = std::chrono::seconds(60);
  LogLevel LogLevel_ = LogLevel::Info;

  bool operator==(const Settings &) const = default;
};

/// Reads settings from INI text. Fails with SettingsInvalid; the message names
/// `File`, the line or the section and key, and the valid values.
Result<Settings> parseSettings(const std::string &Text,
                               const std::string &File);

/// Reads settings from a file. Fails like parseSettings, or with
/// SettingsUnreadable when the file cannot be read.
Result<Settings> loadSettings(const std::string &File);

/// Reads a whole file. Fails with SettingsUnreadable when it cannot be read or
/// is larger than `MaxBytes`.
Result<std::string> readFile(const std::string &File, std::size_t MaxBytes);

} // namespace kumquatpitch

#endif
