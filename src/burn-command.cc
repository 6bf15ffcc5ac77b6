// The command `burn`. See burn-command.h.

#include "kumquatpitch/burn-command.h"

#include "kumquatpitch/burn-html.h"
#include "kumquatpitch/report-options.h"
#include "kumquatpitch/status-report.h"

#include <cstdio>
#include <ctime>
#include <fstream>

namespace kumquatpitch {

static constexpr char HelpText[] =
    "usage: kumquatpitch burn [options]\n"
    "Shows for each customer and service how fast the error budget is used "
    "up,\n"
    "from the counters of all hosts that answer. No value is estimated. The\n"
    "exit status is 1 when a host does not answer.\n"
    "  --host ADDRESS:PORT  operator port of a host; may be repeated\n"
    "  --list FILE          JSON host list to read the hosts from\n"
    "  --timeout-ms N       timeout for each host, 1 to 60000 (default 2000)\n"
    "  --json               print JSON on one line\n"
    "  --html FILE          also write a page with plots\n"
    "  --help               print this text\n";

static std::string currentUtcTime() {
  const std::time_t Now = std::time(nullptr);
  std::tm Parts{};
  gmtime_r(&Now, &Parts);
  char Text[32];
  std::strftime(Text, sizeof Text, "%Y-%m-%d %H:%M UTC", &Parts);
  return Text;
}

static Result<void> writePage(const BurnReport &Report,
                              const std::string &File) {
  std::ofstream Page(File, std::ios::binary | std::ios::trunc);
  Page << formatBurnHtml(Report, currentUtcTime());
  Page.close();
  if (!Page)
    return fail(ResultCode::UsageError, "cannot write " + File);
  return {};
}

static Result<int> printReport(const ReportOptions &Options) {
  if (Options.Help_) {
    std::fputs(HelpText, stdout);
    return 0;
  }
  const BurnReport Report =
      makeBurnReport(fetchStatuses(Options.Hosts_, Options.Timeout_));
  if (Options.Json_)
    std::printf("%s\n", formatBurnJson(Report).c_str());
  else
    std::fputs(formatBurnText(Report).c_str(), stdout);
  if (!Options.HtmlFile_.empty()) {
    Result<void> Written = writePage(Report, Options.HtmlFile_);
    if (!Written)
      return Written.error();
  }
  return allHostsAnswered(Report.Hosts_)
             ? 0
             : exitStatus(ResultCode::HostUnreachable);
}

int runBurn(int Argc, char **Argv) {
  return handleFailure(
      [&]() -> Result<int> {
        Result<ReportOptions> Options = parseReportOptions(Argc, Argv, true);
        if (!Options)
          return Options.error();
        return printReport(Options.value());
      },
      [](const Failure &Cause) { return reportFailure("burn", Cause); });
}

} // namespace kumquatpitch
