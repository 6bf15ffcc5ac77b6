// Writes the core's log lines with glog and limits repeats.

#ifndef KUMQUATPITCH_GLOG_LOGGER_H
#define KUMQUATPITCH_GLOG_LOGGER_H

#include "kumquatpitch/logger.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace kumquatpitch {

/// Logs to standard error. A line that is equal to one of the last second is
/// counted and left out; the count is told with the next one that is written.
class GlogLogger : public Logger {
public:
  /// Sets up glog for the process; `Least` is the lowest level written.
  explicit GlogLogger(LogLevel Least);

  void log(LogLevel Level, const char *Part, const std::string &Text) override;

private:
  struct Repeat {
    std::chrono::steady_clock::time_point Since_;
    unsigned LeftOut_ = 0;
  };

  std::mutex Mutex_;
  std::map<std::string, Repeat> Recent_; ///< At most MaxRecentLines entries.
};

} // namespace kumquatpitch

#endif
