// Starts, signals and reaps child processes for tests. See child-process.h.

#include "child-process.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdint>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace kumquatpitch::test {

namespace {

/// Runs in the child: only calls that are safe after fork() of a process with
/// threads. Returns only when the program cannot be started.
void startProgram(char *const *Argv, const char *LogFile, pid_t Parent) {
  // The child ends with its parent, also when that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Log = open(LogFile, O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (getppid() != Parent || Log < 0)
    return;
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  execv(Argv[0], Argv);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Arguments,
                           const std::string &LogFile) {
  std::vector<char *> Argv;
  Argv.reserve(Arguments.size() + 1);
  for (const std::string &Argument : Arguments)
    Argv.push_back(const_cast<char *>(Argument.c_str()));
  Argv.push_back(nullptr);
  // Closed by a successful exec; a byte says that the program did not start.
  int StartFailed[2];
  if (pipe2(StartFailed, O_CLOEXEC) != 0)
    throw std::runtime_error("cannot open a pipe");
  const pid_t Parent = getpid();
  Pid_ = fork();
  if (Pid_ == 0) {
    startProgram(Argv.data(), LogFile.c_str(), Parent);
    const char Failed = 1;
    const ssize_t Written = write(StartFailed[1], &Failed, 1);
    _exit(Written == 1 ? 126 : 127);
  }
  close(StartFailed[1]);
  char Failed = 0;
  const bool HasFailed = Pid_ < 0 || read(StartFailed[0], &Failed, 1) == 1;
  close(StartFailed[0]);
  if (!HasFailed)
    return;
  if (Pid_ > 0)
    wait();
  throw std::runtime_error("cannot start " + Arguments[0]);
}

ChildProcess::ChildProcess(ChildProcess &&Other) noexcept
    : Pid_(std::exchange(Other.Pid_, 0)), Status_(Other.Status_) {}

ChildProcess::~ChildProcess() {
  if (Pid_ == 0)
    return;
  signal(SIGKILL);
  wait();
}

void ChildProcess::signal(int Number) const {
  if (Pid_ != 0)
    kill(Pid_, Number);
}

int ChildProcess::wait() {
  if (Pid_ != 0) {
    int WaitStatus = 0;
    waitpid(Pid_, &WaitStatus, 0);
    Status_ =
        WIFEXITED(WaitStatus) ? WEXITSTATUS(WaitStatus) : -WTERMSIG(WaitStatus);
    Pid_ = 0;
  }
  return Status_;
}

bool ChildProcess::isRunning() {
  if (Pid_ == 0)
    return false;
  int WaitStatus = 0;
  if (waitpid(Pid_, &WaitStatus, WNOHANG) == 0)
    return true;
  Status_ =
      WIFEXITED(WaitStatus) ? WEXITSTATUS(WaitStatus) : -WTERMSIG(WaitStatus);
  Pid_ = 0;
  return false;
}

int freePort() {
  // These ports lie below the ephemeral range. An outgoing connection could
  // take an ephemeral port before the process that is to listen on it starts.
  constexpr int First = 12'000;
  constexpr int Count = 18'000;
  static int Next = static_cast<int>(getpid()) * 37 % Count;
  for (int Tries = 0; Tries < Count; ++Tries) {
    const int Port = First + Next;
    Next = (Next + 1) % Count;
    const int Socket = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    const bool IsFree = bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                             sizeof Address) == 0;
    close(Socket);
    if (IsFree)
      return Port;
  }
  throw std::runtime_error("no free port");
}

} // namespace kumquatpitch::test
