// Processes that a test starts and ends by id, and free ports on loopback.

#ifndef KUMQUATPITCH_CHILD_PROCESS_H
#define KUMQUATPITCH_CHILD_PROCESS_H

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace kumquatpitch::test {

/// One process. It is killed when the object ends.
class ChildProcess {
public:
  /// Starts `Arguments[0]` with its output going to `LogFile`.
  ChildProcess(const std::vector<std::string> &Arguments,
               const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ChildProcess &operator=(ChildProcess &&) = delete;

  /// Process id; 0 after the end was seen.
  pid_t id() const { return Pid_; }

  void signal(int Number) const;

  /// Waits for the end; gives the exit status, or minus the signal's number.
  int wait();

  /// True while the process runs.
  bool isRunning();

private:
  pid_t Pid_ = 0; ///< 0 after the end was seen.
  int Status_ = 0;
};

/// A port that nothing listens on now.
int freePort();

/// Asks `IsDone` until it says yes; false after a minute, which only a hang
/// takes.
template <class Function> bool waitUntil(Function &&IsDone) {
  const std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + std::chrono::minutes(1);
  while (std::chrono::steady_clock::now() < End) {
    if (IsDone())
      return true;
    const timespec Pause{0, 10'000'000};
    nanosleep(&Pause, nullptr);
  }
  return false;
}

} // namespace kumquatpitch::test

#endif
