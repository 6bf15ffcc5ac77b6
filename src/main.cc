// Entry of the binary: chooses the command.

#include "kumquatpitch/burn-command.h"
#include "kumquatpitch/command.h"
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
    {"status", "show what hosts do and why", kumquatpitch::runStatus},
    {"burn", "report on service-level burn", kumquatpitch::runBurn},
};

void printUsage(std::ostream &Out) {
  Out << "usage: kumquatpitch COMMAND [OPTION...]\n\ncommands:\n";
  for (const Command &Each : Commands)
    Out << "  " << Each.Name_ << "\t" << Each.Summary_ << "\n";
  Out << "\nkumquatpitch COMMAND --help describes a command. Exit status: 0, "
         "or "
         "the first digit\nof the result code (docs/errors.md).\n";
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
  for (const Command &Each : Commands)
    if (std::strcmp(Argv[1], Each.Name_) == 0)
      return Each.Run_(Argc - 1, Argv + 1);
  std::cerr << "kumquatpitch: no command \"" << Argv[1] << "\"\n";
  printUsage(std::cerr);
  return kumquatpitch::exitStatus(kumquatpitch::ResultCode::UsageError);
}
