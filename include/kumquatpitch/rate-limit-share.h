// Divides the rate limit of a target among the hosts that send requests to its
// service, by how many requests they have. Each host computes the division from
// the counts that hosts exchange anyway, so no host has to hand out parts. Used
// by TargetBalancer. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_RATE_LIMIT_SHARE_H
#define KUMQUATPITCH_RATE_LIMIT_SHARE_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/time-point.h"

#include <map>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// A host and its requests per second for a service, rounded to a power of two:
/// hosts whose measurements differ a little then compute the same division.
struct HostWeight {
  HostId Id_;
  double PerSecond_ = 0;

  bool operator==(const HostWeight &) const = default;
};

/// Smoothed request rates of the hosts of a service.
class HostDemand {
public:
  /// Sets the hosts that the service's callers are given.
  void setHosts(const std::vector<HostId> &Hosts, TimePoint Now);

  /// Records the current rate of a host in requests per second. Hosts that are
  /// not set are ignored.
  void record(const HostId &Host, double PerSecond, TimePoint Now);

  /// Weights of all hosts as `Self` sees them. A host that was set only now
  /// counts like `Self` until its first report has had time to arrive.
  std::vector<HostWeight> weights(const HostId &Self, TimePoint Now) const;

private:
  struct Rate {
    TimePoint SetAt_;
    std::optional<double> PerSecond_; ///< None before the first report.
    TimePoint ReportedAt_;
  };

  static double decayed(const Rate &Known, TimePoint Now);

  std::map<HostId, Rate> Rates_;
};

/// Fraction of a target's limit of `PerSecond` that `Self` may use: 0 for a
/// host without a part, and 1 when there are no other hosts. The hosts with a
/// part are chosen for each target by rendezvous hashing, with the weights.
double shareOfRateLimit(double PerSecond, const TargetId &Target,
                        const HostId &Self,
                        const std::vector<HostWeight> &Hosts);

} // namespace kumquatpitch

#endif
