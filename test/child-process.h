// Child processes of tests, signalled by process id, and free loopback ports.

#ifndef KUMQUATPITCH_CHILD_PROCESS_H
#define KUMQUATPITCH_CHILD_PROCESS_H

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace kumquatpitch::test {

/// Owns one child process; the destructor kills it and waits for its end.
class ChildProcess {
public:
  /// Starts `Arguments[0]` and appends its output to `LogFile`.
  ChildProcess(const std::vector<std::string> &Arguments,
               const std::string &LogFile);
  ~ChildProcess();
  ChildProcess(ChildProcess &&Other) noexcept;
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ChildProcess &operator=(ChildProcess &&) = delete;

  /// Process id, or 0 after the process has been reaped.
  pid_t id() const { return Pid_; }

  void signal(int Number) const;

  /// Waits for the process to end. Returns its exit status, or the negated
  /// number of the signal that ended it.
  int wait();

  /// Returns whether the process still runs, and reaps it if it has ended.
  bool isRunning();

private:
  pid_t Pid_ = 0; ///< 0 after the process has been reaped.
  int Status_ = 0;
};

/// Returns a TCP port on loopback that can be bound at the time of the call.
int freePort();

/// Polls `IsDone` every 10 ms until it returns true. Returns false after one
/// minute; only a hang takes that long.
template <class Function> bool waitUntil(Function &&IsDone) {
  const std::chrono::steady_clock::time_point Deadline =
      std::chrono::steady_clock::now() + std::chrono::minutes(1);
  while (std::chrono::steady_clock::now() < Deadline) {
    if (IsDone())
      return true;
    const timespec Pause{0, 10'000'000};
    nanosleep(&Pause, nullptr);
  }
  return false;
}

} // namespace kumquatpitch::test

#endif
