// One host's part of the rate limit that a target names in its answers. The
// limit holds for all hosts together; rate-limit-share.h divides it. Hosts
// announce to each other what a target named, as a host without a part gets no
// answers. Owned by TargetBalancer, one for each target. Does no I/O and reads
// no clock.

#ifndef KUMQUATPITCH_TARGET_RATE_LIMIT_H
#define KUMQUATPITCH_TARGET_RATE_LIMIT_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/target-report.h"
#include "kumquatpitch/time-point.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace kumquatpitch {

/// A limit that a target named to one host, for the other hosts.
struct NamedRateLimit {
  ServiceName Service_;
  TargetId Target_;
  std::uint64_t StartedUnixMs_ = 0; ///< Incarnation of the target.
  double PerSecond_ = NoRateLimit;
  Duration Age_{}; ///< Time since the target named it.

  bool operator==(const NamedRateLimit &) const = default;
};

class TargetRateLimit {
public:
  /// Sets the host's rank in the order of the `Hosts` that callers are given. A
  /// host that is not one of them has the rank `Hosts`.
  void setRank(std::size_t Rank, std::size_t Hosts);

  /// Sets the fraction of the limit that this host may use.
  void setShare(double Share, TimePoint Now);

  /// Records the limit that an answer named, or NoRateLimit.
  void recordAnswer(double PerSecond, TimePoint Now);

  /// Records a limit that the target named to another host `Age` ago. An
  /// update that is older than the known limit is ignored.
  void recordPeer(double PerSecond, Duration Age, TimePoint Now);

  /// Requests per second that the target takes from all hosts together.
  double perSecond(TimePoint Now) const;

  /// This host's part of it, 0 when it has none. NoRateLimit without a limit.
  double ownPerSecond(TimePoint Now) const;

  /// True when this host may send a request now.
  bool allowsAttempt(TimePoint Now) const;

  /// Counts a request that was sent, whatever it was sent for.
  void attemptStarted(TimePoint Now);

  /// Age of the limit if it should be announced to the other hosts now. It then
  /// counts as announced.
  std::optional<Duration> takeUpdate(TimePoint Now);

private:
  void setLimit(double PerSecond, TimePoint NamedAt, TimePoint Now);
  bool isExpired(TimePoint Now) const;
  double tokens(TimePoint Now) const;
  void settle(TimePoint Now);

  double PerSecond_ = NoRateLimit; ///< As last named.
  TimePoint NamedAt_;              ///< When the target named it, to any host.
  std::size_t Rank_ = 0;
  std::size_t Hosts_ = 1;
  double Share_ = 1;
  /// Token bucket of the own part, as of SettledAt_. Empty when the host gets a
  /// part: another host may have used it until now.
  double Tokens_ = 0;
  TimePoint SettledAt_;
  bool HasUpdate_ = false;       ///< The limit changed by an own answer.
  bool IsFromOwnAnswer_ = false; ///< The last update was an own answer.
  std::optional<TimePoint> AnnouncedAt_; ///< Last one sent or received.
  std::optional<TimePoint> EndedAt_;     ///< When the last limit ended.
};

} // namespace kumquatpitch

#endif
