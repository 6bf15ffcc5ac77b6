// The gateway command: runs the daemon of a gateway host on the platform. See
// command.h.

#include "kumquatpitch/command.h"
#include "kumquatpitch/gateway-daemon.h"
#include "kumquatpitch/report-options.h"
#include "platform/platform-adapter.h"

#include <getopt.h>
#include <iostream>
#include <malloc.h>

namespace kumquatpitch {

namespace {

constexpr const char *Usage =
    "usage: kumquatpitch gateway --config FILE [--check]\n\n"
    "Runs the daemon of a gateway host with the settings of an INI file.\n"
    "  --check  check the settings and exit\n"
    "SIGTERM starts the planned stop; SIGHUP reads the settings again.\n";

/// Makes the C library return the memory of bodies to the system when they are
/// freed. By default it raises the size from which it does so, up to 32 MB, and
/// the freed ones, which no limit counts, stay in the process.
void returnFreedBodies() {
#ifdef __GLIBC__
  constexpr int FixedThresholdBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, FixedThresholdBytes);
#endif
}

int runDaemon(const std::string &File, bool OnlyCheck) {
  return handleFailure(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(Settings, loadGatewaySettings(File));
        if (OnlyCheck) {
          std::cout << File << ": ok\n";
          return 0;
        }
        returnFreedBodies();
        const PlatformAdapter Platform;
        GatewayDaemon Daemon(std::move(Settings), File, Platform);
        BOOST_LEAF_CHECK(Daemon.run());
        return 0;
      },
      [](const Failure &Cause) { return reportFailure("gateway", Cause); });
}

} // namespace

int runGateway(int Argc, char **Argv) {
  static const option Options[] = {{"config", required_argument, nullptr, 'c'},
                                   {"check", no_argument, nullptr, 'k'},
                                   {"help", no_argument, nullptr, 'h'},
                                   {nullptr, 0, nullptr, 0}};
  std::string File;
  bool OnlyCheck = false;
  int Code = 0;
  while ((Code = getopt_long(Argc, Argv, "c:kh", Options, nullptr)) != -1) {
    if (Code == 'c') {
      File = optarg;
    } else if (Code == 'k') {
      OnlyCheck = true;
    } else {
      (Code == 'h' ? std::cout : std::cerr) << Usage;
      return Code == 'h' ? 0 : exitStatus(ResultCode::UsageError);
    }
  }
  if (File.empty() || optind != Argc) {
    std::cerr << Usage;
    return exitStatus(ResultCode::UsageError);
  }
  return runDaemon(File, OnlyCheck);
}

} // namespace kumquatpitch
