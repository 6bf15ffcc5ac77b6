// Report of the burn command: the merged counts of all hosts that answered, as
// text or JSON. burn-html formats the HTML page. The functions do no I/O.

#ifndef KUMQUATPITCH_BURN_REPORT_H
#define KUMQUATPITCH_BURN_REPORT_H

#include "kumquatpitch/burn-rate.h"
#include "kumquatpitch/status-fetch.h"

#include <string>
#include <vector>

namespace kumquatpitch {

struct BurnReport {
  std::vector<MergedBurn> Services_;
  std::vector<HostFetchResult>
      Hosts_; ///< All requested hosts, in the order
              ///< given, also those that did not answer.

  bool operator==(const BurnReport &) const = default;
};

BurnReport makeBurnReport(std::vector<HostFetchResult> Fetched);

/// Formats a burn rate with three significant digits, none as `-`.
std::string formatRate(const std::optional<double> &Rate);

/// Burn rate of a window; none if it has no requests.
std::optional<double> windowRate(const BurnSnapshot &Value, BurnWindow Window);

std::string formatBurnText(const BurnReport &Report);

/// `{"services":[...],"not_answered":[...]}` on one line.
std::string formatBurnJson(const BurnReport &Report);

} // namespace kumquatpitch

#endif
