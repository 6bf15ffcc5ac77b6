// Text and JSON output of the status command, and formatting functions that the
// burn command shares. Does no I/O; status-fetch.h fetches the reports.

#ifndef KUMQUATPITCH_STATUS_REPORT_H
#define KUMQUATPITCH_STATUS_REPORT_H

#include "kumquatpitch/status-fetch.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatpitch {

/// A duration in at most two units, such as `11m 40s` or `3ms`.
std::string formatDuration(Duration Value);

/// `Text` with control characters replaced by `?`, so that text from a host
/// cannot send control sequences to the terminal.
std::string replaceControlCharacters(const std::string &Text);

/// Human-readable report. Usable targets are only counted; all other targets
/// are listed one by one.
std::string formatStatusText(const std::vector<HostFetchResult> &Fetched);

/// `{"hosts":[...],"not_answered":[...]}` on one line.
std::string formatStatusJson(const std::vector<HostFetchResult> &Fetched);

/// Hosts whose report could not be fetched, with result code and reason.
nlohmann::json
unansweredHostsToJson(const std::vector<HostFetchResult> &Fetched);

/// One line for each host whose report could not be fetched; empty when all
/// hosts answered.
std::string formatUnansweredHosts(const std::vector<HostFetchResult> &Fetched);

/// True when every host answered.
bool allHostsAnswered(const std::vector<HostFetchResult> &Fetched);

} // namespace kumquatpitch

#endif
