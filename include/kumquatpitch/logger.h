// Logging interface of the core. GlogLogger writes the lines with glog; tests
// collect them.

#ifndef KUMQUATPITCH_LOGGER_H
#define KUMQUATPITCH_LOGGER_H

#include <cstdint>
#include <string>

namespace kumquatpitch {

enum class LogLevel : std::uint8_t { Info, Warning, Error };

class Logger {
public:
  virtual ~Logger() = default;

  /// Writes one line: `Component: Text`. `Text` must not contain customer data.
  virtual void log(LogLevel Level, const char *Component,
                   const std::string &Text) = 0;
};

} // namespace kumquatpitch

#endif
