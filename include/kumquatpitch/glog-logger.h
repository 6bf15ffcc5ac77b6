// Logger that writes with glog and suppresses repeated lines.

#ifndef KUMQUATPITCH_GLOG_LOGGER_H
#define KUMQUATPITCH_GLOG_LOGGER_H

#include "kumquatpitch/logger.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace kumquatpitch {

/// Logs to standard error. A line that equals one written within the last
/// second is suppressed and counted; the next such line that is written reports
/// the count.
class GlogLogger : public Logger {
public:
  /// Initializes glog for the process; `MinLevel` is the lowest level written.
  explicit GlogLogger(LogLevel MinLevel);

  void log(LogLevel Level, const char *Component,
           const std::string &Text) override;

private:
  struct RecentLine {
    std::chrono::steady_clock::time_point WrittenAt_;
    unsigned Suppressed_ = 0;
  };

  std::mutex Mutex_;
  std::map<std::string, RecentLine>
      RecentLines_; ///< At most MaxRecentLines entries.
};

} // namespace kumquatpitch

#endif
