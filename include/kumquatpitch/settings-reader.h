// Reads INI settings key by key and reports the first problem with its place.
// Used by the settings of each daemon. Keys that nobody took are unknown and
// refused.

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

/// The text of one key, and where it stands.
struct SettingsEntry {
  std::string Section_;
  std::string Key_;
  std::string Value_;
};

/// Takes the known keys out of the list; what is left is unknown.
class SettingsReader {
public:
  /// Fails with SettingsInvalid when `Text` is no INI; `File` is named.
  static Result<SettingsReader> parse(const std::string &Text,
                                      const std::string &File);

  std::optional<std::string> take(const char *Section, const char *Key,
                                  bool Required);
  void reject(const SettingsEntry &At, const std::string &Problem);

  template <class Tag> Name<Tag> name(const char *Section, const char *Key) {
    return Name<Tag>(nameText(Section, Key));
  }
  std::string address(const char *Section, const char *Key,
                      const std::string &Default);
  std::uint64_t number(const char *Section, const char *Key,
                       std::uint64_t Least, std::uint64_t Most,
                       std::optional<std::uint64_t> Default);
  /// A decimal number.
  double decimal(const char *Section, const char *Key, double Least,
                 double Most, double Default);
  Endpoint endpoint(const char *Section, const char *Key);
  std::vector<Endpoint> endpoints(const char *Section, const char *Key);
  LogLevel level(const char *Section, const char *Key);
  std::map<CustomerName, std::uint16_t> customerPorts();

  /// The first problem, an unknown key included.
  std::optional<std::string> finish();

private:
  static int collect(void *User, const char *Section, const char *Key,
                     const char *Value);
  std::string nameText(const char *Section, const char *Key);

  std::vector<SettingsEntry> Entries_;
  std::optional<std::string> Problem_;
};

} // namespace kumquatpitch

#endif
