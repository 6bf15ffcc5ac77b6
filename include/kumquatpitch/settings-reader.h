// Reads INI settings key by key and reports the first problem with its section
// and key. The settings of each daemon are read through it. A key that was not
// read by the end is unknown and an error.

#ifndef KUMQUATPITCH_SETTINGS_READER_H
#define KUMQUATPITCH_SETTINGS_READER_H

#include "kumquatpitch/logger.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/result.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch {

constexpr std::uint64_t MaxPort = 65'535;

/// A key of the settings with its section and value.
struct SettingsEntry {
  std::string Section_;
  std::string Key_;
  std::string Value_;
};

/// Parsed settings. Reading a key removes its entry; entries that are left when
/// finish() is called are unknown keys.
class SettingsReader {
public:
  /// Fails with SettingsInvalid when `Text` is not valid INI; the message names
  /// `File`.
  static Result<SettingsReader> parse(const std::string &Text,
                                      const std::string &File);

  std::optional<std::string> extractValue(const char *Section, const char *Key,
                                          bool Required);
  void reject(const SettingsEntry &Entry, const std::string &Problem);

  template <class Tag> Name<Tag> name(const char *Section, const char *Key) {
    return Name<Tag>(nameText(Section, Key));
  }
  std::string address(const char *Section, const char *Key,
                      const std::string &Default);
  std::uint64_t number(const char *Section, const char *Key, std::uint64_t Min,
                       std::uint64_t Max, std::optional<std::uint64_t> Default);
  /// Reads an optional decimal number.
  double decimal(const char *Section, const char *Key, double Min, double Max,
                 double Default);
  Endpoint endpoint(const char *Section, const char *Key);
  std::vector<Endpoint> endpoints(const char *Section, const char *Key);
  LogLevel level(const char *Section, const char *Key);
  std::map<CustomerName, std::uint16_t> customerPorts();

  /// Reports unknown keys and returns the first problem, if any.
  std::optional<std::string> finish();

private:
  static int collect(void *Context, const char *Section, const char *Key,
                     const char *Value);
  std::string nameText(const char *Section, const char *Key);

  std::vector<SettingsEntry> Entries_;
  std::optional<std::string> Problem_;
};

} // namespace kumquatpitch

#endif
