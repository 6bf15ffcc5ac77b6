// Tests of the child processes that tests and the demo start.

#include "child-process.h"

#include <chrono>
#include <csignal>
#include <fstream>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch::test;

TEST_GROUP(ChildProcess){};

/// True while a process runs; one that has ended and is not yet reaped does
/// not.
static bool isAlive(pid_t Pid) {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/stat");
  std::string Id;
  std::string Name;
  std::string State;
  return Status >> Id >> Name >> State && State != "Z" && State != "X";
}

// Guards against processes of the demo or of a test that outlive it when it is
// killed.
TEST(ChildProcess, EndsWithAKilledParent) {
  int Pipe[2];
  CHECK_EQUAL(0, pipe(Pipe));
  const pid_t Parent = fork();
  if (Parent == 0) {
    const ChildProcess Child({"/bin/sleep", "60"}, "/dev/null");
    const pid_t Pid = Child.id();
    if (write(Pipe[1], &Pid, sizeof Pid) == sizeof Pid)
      kill(getpid(), SIGKILL);
    _exit(1);
  }
  pid_t Child = 0;
  CHECK_EQUAL(static_cast<ssize_t>(sizeof Child),
              read(Pipe[0], &Child, sizeof Child));
  int Status = 0;
  waitpid(Parent, &Status, 0);
  bool IsAlive = true;
  for (int Count = 0; Count < 100 && IsAlive; ++Count) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    IsAlive = isAlive(Child);
  }
  CHECK_FALSE(IsAlive);
  close(Pipe[0]);
  close(Pipe[1]);
}

TEST(ChildProcess, MissingProgramIsAnError) {
  CHECK_THROWS(std::runtime_error,
               ChildProcess({"/no/such/program"}, "/dev/null"));
}
