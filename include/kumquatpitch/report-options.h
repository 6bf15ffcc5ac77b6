// Command line of the commands that read hosts' reports: status and burn.

#ifndef KUMQUATPITCH_REPORT_OPTIONS_H
#define KUMQUATPITCH_REPORT_OPTIONS_H

#include "kumquatpitch/result.h"
#include "kumquatpitch/status-fetch.h"

#include <string>
#include <vector>

namespace kumquatpitch {

struct ReportOptions {
  std::vector<HostAddress> Hosts_;
  bool Help_ = false;
  bool Json_ = false;
  std::string HtmlFile_; ///< Empty when none was asked for.
  Duration Timeout_ = std::chrono::seconds(2);

  bool operator==(const ReportOptions &) const = default;
};

/// Reads the options; `Argv[0]` is the command's name. Fails with UsageError,
/// SettingsUnreadable, or as parseHostList does. Uses getopt_long, so not from
/// two threads at once.
Result<ReportOptions> parseReportOptions(int Argc, char **Argv, bool TakesHtml);

/// Prints `<command>: <code> <name>: <message>` to standard error and gives the
/// exit status.
int reportFailure(const char *Command, const Failure &Cause);

} // namespace kumquatpitch

#endif
