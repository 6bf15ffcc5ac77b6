// Log lines from the core. Io writes them with glog; tests collect them.

#ifndef KUMQUATPITCH_LOGGER_H
#define KUMQUATPITCH_LOGGER_H

#include <cstdint>
#include <string>

namespace kumquatpitch {

enum class LogLevel : std::uint8_t { Info, Warning, Error };

class Logger {
public:
  virtual ~Logger() = default;

  /// Writes one line: `Part: Text`. Text holds no customer data.
  virtual void log(LogLevel Level, const char *Part,
                   const std::string &Text) = 0;
};

} // namespace kumquatpitch

#endif
