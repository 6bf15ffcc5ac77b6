// Entry point of the binary: runs the command that the first argument names.

#include "kumquatpitch/burn-command.h"
#include "kumquatpitch/command.h"
#include "kumquatpitch/release.h"
#include "kumquatpitch/result-code.h"
#include "kumquatpitch/status-command.h"

#include <cstring>
#include <iostream>

namespace {

struct Command {
  const char *Name_;
  const char *Summary_;
  int (*Run_)(int Argc, char **Argv);
};

const Command Commands[] = {
    {"serve", "run the daemon of an entry host", kumquatpitch::runServe},
    {"gateway", "run the daemon of a host on the platform",
     kumquatpitch::runGateway},
    {"check", "check settings and published documents", kumquatpitch::runCheck},
    {"status", "show the status of hosts and the reasons",
     kumquatpitch::runStatus},
    {"burn", "report the burn of service-level objectives",
     kumquatpitch::runBurn},
};

void printUsage(std::ostream &Stream) {
  Stream << "usage: kumquatpitch COMMAND [OPTION...]\n\ncommands:\n";
  Stream << "  version\tname the sources of this binary\n";
  for (const Command &Entry : Commands)
    Stream << "  " << Entry.Name_ << "\t" << Entry.Summary_ << "\n";
  Stream
      << "\nkumquatpitch COMMAND --help describes a command. Exit status: 0 on "
         "success, or\nthe first digit of the result code (docs/errors.md).\n";
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 2) {
    printUsage(std::cerr);
    return kumquatpitch::exitStatus(kumquatpitch::ResultCode::UsageError);
  }
  if (std::strcmp(Argv[1], "--help") == 0) {
    printUsage(std::cout);
    return 0;
  }
  if (std::strcmp(Argv[1], "version") == 0) {
    std::cout << kumquatpitch::releaseId() << "\n";
    return 0;
  }
  for (const Command &Entry : Commands)
    if (std::strcmp(Argv[1], Entry.Name_) == 0)
      return Entry.Run_(Argc - 1, Argv + 1);
  std::cerr << "kumquatpitch: unknown command \"" << Argv[1] << "\"\n";
  printUsage(std::cerr);
  return kumquatpitch::exitStatus(kumquatpitch::ResultCode::UsageError);
}
