// What the burn command shows: counts of all hosts that answered, merged. Text
// and JSON; burn-html writes the page. Pure.

#ifndef KUMQUATPITCH_BURN_REPORT_H
#define KUMQUATPITCH_BURN_REPORT_H

#include "kumquatpitch/burn-rate.h"
#include "kumquatpitch/status-fetch.h"

#include <string>
#include <vector>

namespace kumquatpitch {

struct BurnReport {
  std::vector<MergedBurn> Services_;
  std::vector<FetchedHost> Hosts_; ///< As asked, with those without answer.

  bool operator==(const BurnReport &) const = default;
};

BurnReport makeBurnReport(std::vector<FetchedHost> Fetched);

/// `-` without a value, else three digits.
std::string rateText(const std::optional<double> &Rate);

/// Burn rate of a window, none without requests.
std::optional<double> windowRate(const BurnSnapshot &Value, BurnWindow Window);

std::string formatBurnText(const BurnReport &Report);

/// `{"services":[...],"not_answered":[...]}` on one line.
std::string formatBurnJson(const BurnReport &Report);

} // namespace kumquatpitch

#endif
