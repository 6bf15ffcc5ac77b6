// The serve command: runs the daemon of an entry host. See command.h.

#include "kumquatpitch/command.h"
#include "kumquatpitch/host-daemon.h"
#include "kumquatpitch/report-options.h"

#include <getopt.h>
#include <iostream>

namespace kumquatpitch {

namespace {

constexpr const char *Usage =
    "usage: kumquatpitch serve --config FILE\n\n"
    "Runs the daemon of an entry host with the settings of an INI file.\n"
    "SIGTERM starts a planned stop: the host is removed from address answers,\n"
    "serves requests until cached answers have expired and running requests\n"
    "are done, and then exits.\n";

} // namespace

int runServe(int Argc, char **Argv) {
  static const option LongOptions[] = {
      {"config", required_argument, nullptr, 'c'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0}};
  std::string File;
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "c:h", LongOptions, nullptr)) !=
         -1) {
    if (Option == 'c') {
      File = optarg;
      continue;
    }
    (Option == 'h' ? std::cout : std::cerr) << Usage;
    return Option == 'h' ? 0 : exitStatus(ResultCode::UsageError);
  }
  if (File.empty() || optind != Argc) {
    std::cerr << Usage;
    return exitStatus(ResultCode::UsageError);
  }
  return handleFailure(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(Loaded, loadSettings(File));
        HostDaemon Daemon(std::move(Loaded));
        BOOST_LEAF_CHECK(Daemon.run());
        return 0;
      },
      [](const Failure &Cause) { return reportFailure("serve", Cause); });
}

} // namespace kumquatpitch
