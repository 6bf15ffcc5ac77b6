// Log lines through glog. See glog-logger.h.

#include "kumquatpitch/glog-logger.h"

#include <glog/logging.h>

namespace kumquatpitch {

static constexpr std::chrono::seconds RepeatInterval{1};
static constexpr std::size_t MaxRecentLines = 1'000;

GlogLogger::GlogLogger(LogLevel Least) {
  static const bool Started = [] {
    google::InitGoogleLogging("kumquatpitch");
    return true;
  }();
  static_cast<void>(Started);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = static_cast<int>(Least);
}

void GlogLogger::log(LogLevel Level, const char *Part,
                     const std::string &Text) {
  std::string Line = std::string(Part) + ": " + Text;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (Recent_.size() >= MaxRecentLines)
      Recent_.clear();
    const std::chrono::steady_clock::time_point Now =
        std::chrono::steady_clock::now();
    Repeat &Entry = Recent_[Line];
    if (Now - Entry.Since_ < RepeatInterval) {
      ++Entry.LeftOut_;
      return;
    }
    if (Entry.LeftOut_ > 0)
      Line += " (" + std::to_string(Entry.LeftOut_) + " equal lines left out)";
    Entry = Repeat{Now, 0};
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
