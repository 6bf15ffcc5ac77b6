// The `status` command. See status-command.h.

#include "kumquatpitch/status-command.h"

#include "kumquatpitch/report-options.h"
#include "kumquatpitch/status-report.h"

#include <cstdio>

namespace kumquatpitch {

static constexpr char HelpText[] =
    "usage: kumquatpitch status [options]\n"
    "Shows readiness, targets, quota shares, peers and rejected documents of\n"
    "hosts. The exit status is 1 when a host does not answer.\n"
    "  --host ADDRESS:PORT  operator port of a host; may be repeated\n"
    "  --list FILE          hosts of a host list (JSON)\n"
    "  --timeout-ms N       time for each host, 1 to 60000 (2000)\n"
    "  --json               JSON on one line\n"
    "  --help               this text\n";

static int printStatus(const ReportOptions &Options) {
  if (Options.Help_) {
    std::fputs(HelpText, stdout);
    return 0;
  }
  const std::vector<HostFetchResult> Fetched =
      fetchStatuses(Options.Hosts_, Options.Timeout_);
  if (Options.Json_)
    std::printf("%s\n", formatStatusJson(Fetched).c_str());
  else
    std::fputs(formatStatusText(Fetched).c_str(), stdout);
  return allHostsAnswered(Fetched) ? 0
                                   : exitStatus(ResultCode::HostUnreachable);
}

int runStatus(int Argc, char **Argv) {
  return handleFailure(
      [&]() -> Result<int> {
        Result<ReportOptions> Options = parseReportOptions(Argc, Argv, false);
        if (!Options)
          return Options.error();
        return printStatus(Options.value());
      },
      [](const Failure &Cause) { return reportFailure("status", Cause); });
}

} // namespace kumquatpitch
