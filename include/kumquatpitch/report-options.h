// Command-line options of the commands that fetch reports from hosts: status
// and burn.

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
  std::string HtmlFile_; ///< Empty if no HTML page is to be written.
  Duration Timeout_ = std::chrono::seconds(2);

  bool operator==(const ReportOptions &) const = default;
};

/// Parses the options; `Argv[0]` is the command's name. Fails with UsageError,
/// SettingsUnreadable, or an error of parseHostList. Not thread-safe, because
/// it uses getopt_long.
Result<ReportOptions> parseReportOptions(int Argc, char **Argv,
                                         bool AcceptsHtml);

/// Prints `<command>: <code> <name>: <message>` to standard error and returns
/// the exit status.
int reportFailure(const char *Command, const Failure &Cause);

} // namespace kumquatpitch

#endif
