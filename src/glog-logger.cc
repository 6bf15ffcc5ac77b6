// Logging with glog. See glog-logger.h.

#include "kumquatpitch/glog-logger.h"

#include <glog/logging.h>

namespace kumquatpitch {

static constexpr std::chrono::seconds RepeatInterval{1};
static constexpr std::size_t MaxRecentLines = 1'000;

GlogLogger::GlogLogger(LogLevel MinLevel) {
  static const bool IsInitialized = [] {
    google::InitGoogleLogging("kumquatpitch");
    return true;
  }();
  static_cast<void>(IsInitialized);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = static_cast<int>(MinLevel);
}

void GlogLogger::log(LogLevel Level, const char *Component,
                     const std::string &Text) {
  std::string Line = std::string(Component) + ": " + Text;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (RecentLines_.size() >= MaxRecentLines)
      RecentLines_.clear();
    const std::chrono::steady_clock::time_point Now =
        std::chrono::steady_clock::now();
    RecentLine &Entry = RecentLines_[Line];
    if (Now - Entry.WrittenAt_ < RepeatInterval) {
      ++Entry.Suppressed_;
      return;
    }
    if (Entry.Suppressed_ > 0)
      Line +=
          " (" + std::to_string(Entry.Suppressed_) + " equal lines suppressed)";
    Entry = RecentLine{Now, 0};
  }
  switch (Level) {
  case LogLevel::Info:
    LOG(INFO) << Line;
    break;
  case LogLevel::Warning:
    LOG(WARNING) << Line;
    break;
  case LogLevel::Error:
    LOG(ERROR) << Line;
    break;
  }
}

} // namespace kumquatpitch
