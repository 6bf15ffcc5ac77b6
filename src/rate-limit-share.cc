// Request rates of hosts and weighted rendezvous hashing. See
// rate-limit-share.h.

#include "kumquatpitch/rate-limit-share.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

/// Time constant of the smoothed rates.
constexpr double SmoothingSeconds = 5;
/// A host whose last report is older than this has fewer requests than are
/// reported, or cannot be heard.
constexpr Duration ReportMaxAge = std::chrono::milliseconds(2'500);
/// Time in which the first report of a host arrives.
constexpr Duration FirstReportTime = std::chrono::seconds(3);
/// Weight of a host without requests.
constexpr double MinPerSecond = 1.0 / 16;

double roundToPowerOfTwo(double PerSecond) {
  return std::exp2(std::round(std::log2(std::max(PerSecond, MinPerSecond))));
}

/// Score of a host in the weighted rendezvous hashing: the hosts with the
/// highest scores are chosen, each as often as its weight says.
double scoreOf(const HostWeight &Host, const TargetId &Target) {
  const std::string Text = Target.str() + " " + Host.Id_.str();
  constexpr double HashRange = 18446744073709551616.0; // 2^64
  const double Uniform =
      (static_cast<double>(XXH3_64bits(Text.data(), Text.size())) + 1) /
      (HashRange + 2);
  return -Host.PerSecond_ / std::log(Uniform);
}

/// Number of hosts that share a limit. A host may send one request at any
/// moment, so more hosts could exceed a small limit in a burst.
std::size_t sharingHosts(double PerSecond) {
  constexpr double MaxLimit = 1e6;
  constexpr std::size_t MinHosts = 2;
  return static_cast<std::size_t>(std::min(PerSecond, MaxLimit)) + MinHosts;
}

} // namespace

void HostDemand::setHosts(const std::vector<HostId> &Hosts, TimePoint Now) {
  std::map<HostId, Rate> Kept;
  for (const HostId &Host : Hosts) {
    const std::map<HostId, Rate>::const_iterator It = Rates_.find(Host);
    Kept[Host] = It == Rates_.end() ? Rate{Now, std::nullopt, Now} : It->second;
  }
  Rates_ = std::move(Kept);
}

double HostDemand::decayed(const Rate &Known, TimePoint Now) {
  const Duration Silence = Now - Known.ReportedAt_ - ReportMaxAge;
  return Known.PerSecond_.value_or(0) *
         std::exp(-std::max(0.0, toSeconds(Silence)) / SmoothingSeconds);
}

void HostDemand::record(const HostId &Host, double PerSecond, TimePoint Now) {
  const std::map<HostId, Rate>::iterator It = Rates_.find(Host);
  if (It == Rates_.end())
    return;
  Rate &Known = It->second;
  const double Before = Known.PerSecond_ ? decayed(Known, Now) : PerSecond;
  const double Weight =
      1 - std::exp(-toSeconds(Now - Known.ReportedAt_) / SmoothingSeconds);
  Known.PerSecond_ = Before + (PerSecond - Before) * Weight;
  Known.ReportedAt_ = Now;
}

std::vector<HostWeight> HostDemand::weights(const HostId &Self,
                                            TimePoint Now) const {
  const std::map<HostId, Rate>::const_iterator Own = Rates_.find(Self);
  const double OwnRate = Own == Rates_.end() ? 0 : decayed(Own->second, Now);
  std::vector<HostWeight> Weights;
  Weights.reserve(Rates_.size());
  for (const std::pair<const HostId, Rate> &Host : Rates_) {
    const Rate &Known = Host.second;
    const bool IsAwaited =
        !Known.PerSecond_ && Now - Known.SetAt_ < FirstReportTime;
    Weights.push_back(HostWeight{
        Host.first,
        roundToPowerOfTwo(IsAwaited ? OwnRate : decayed(Known, Now))});
  }
  return Weights;
}

double shareOfRateLimit(double PerSecond, const TargetId &Target,
                        const HostId &Self,
                        const std::vector<HostWeight> &Hosts) {
  if (Hosts.empty())
    return 1;
  std::vector<std::pair<double, const HostWeight *>> Ranking;
  Ranking.reserve(Hosts.size());
  for (const HostWeight &Host : Hosts)
    Ranking.emplace_back(scoreOf(Host, Target), &Host);
  const std::size_t Sharing = std::min(sharingHosts(PerSecond), Hosts.size());
  std::partial_sort(Ranking.begin(),
                    Ranking.begin() + static_cast<std::ptrdiff_t>(Sharing),
                    Ranking.end(), std::greater<>());
  Ranking.resize(Sharing);
  double Total = 0;
  double Own = 0;
  for (const std::pair<double, const HostWeight *> &Host : Ranking) {
    Total += Host.second->PerSecond_;
    if (Host.second->Id_ == Self)
      Own = Host.second->PerSecond_;
  }
  return Own / Total;
}

} // namespace kumquatpitch
