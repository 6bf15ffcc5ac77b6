// Text and JSON of the status command, and formatting that the burn command
// shares. Pure: io fetches the reports.

#ifndef KUMQUATPITCH_STATUS_REPORT_H
#define KUMQUATPITCH_STATUS_REPORT_H

#include "kumquatpitch/status-fetch.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace kumquatpitch {

/// A span in at most two units, such as `11m 40s` or `3ms`.
std::string spanText(Duration Span);

/// `Text` with control characters replaced, so that it cannot steer a terminal.
std::string printable(const std::string &Text);

/// Report for a person. Usable targets are counted; all others are listed.
std::string formatStatusText(const std::vector<FetchedHost> &Fetched);

/// `{"hosts":[...],"not_answered":[...]}` on one line.
std::string formatStatusJson(const std::vector<FetchedHost> &Fetched);

/// Hosts without a report, with code and reason.
nlohmann::json notAnsweredToJson(const std::vector<FetchedHost> &Fetched);

/// A line for each host without a report; empty when all answered.
std::string notAnsweredText(const std::vector<FetchedHost> &Fetched);

/// True when each host answered.
bool allAnswered(const std::vector<FetchedHost> &Fetched);

} // namespace kumquatpitch

#endif
