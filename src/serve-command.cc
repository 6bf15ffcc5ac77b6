// The serve command: runs the daemon. See command.h.

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
    "SIGTERM starts the planned stop: the host leaves the address answers,\n"
    "serves on until kept answers have expired and requests are done, and "
    "ends.\n";

} // namespace

int runServe(int Argc, char **Argv) {
  static const option Known[] = {{"config", required_argument, nullptr, 'c'},
                                 {"help", no_argument, nullptr, 'h'},
                                 {nullptr, 0, nullptr, 0}};
  std::string File;
  int Code = 0;
  while ((Code = getopt_long(Argc, Argv, "c:h", Known, nullptr)) != -1) {
    if (Code == 'c') {
      File = optarg;
      continue;
    }
    (Code == 'h' ? std::cout : std::cerr) << Usage;
    return Code == 'h' ? 0 : exitStatus(ResultCode::UsageError);
  }
  if (File.empty() || optind != Argc) {
    std::cerr << Usage;
    return exitStatus(ResultCode::UsageError);
  }
  return handleFailure(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(Read, loadSettings(File));
        HostDaemon Daemon(std::move(Read));
        BOOST_LEAF_CHECK(Daemon.run());
        return 0;
      },
      [](const Failure &Cause) { return reportFailure("serve", Cause); });
}

} // namespace kumquatpitch
