// This host's attempts in progress at one target, with the work that is
// expected of each. Owned by TargetBalancer for each target. Does no I/O and
// reads no clock.

#ifndef KUMQUATPITCH_BALANCING_OWN_ATTEMPTS_H
#define KUMQUATPITCH_BALANCING_OWN_ATTEMPTS_H

#include "kumquatpitch/balancing/work-estimate.h"
#include "kumquatpitch/time-point.h"

#include <cstddef>
#include <map>
#include <optional>

namespace kumquatpitch {

/// An attempt in progress.
struct OwnAttempt {
  TimePoint RunsFrom_; ///< When the target is expected to begin with it.
  WorkEstimate Work_;

  bool operator==(const OwnAttempt &) const = default;
};

class OwnAttempts {
public:
  /// Records an attempt that was sent at `Now` and is expected to wait at the
  /// target for `Wait`.
  void started(TimePoint Now, Duration Wait, const WorkEstimate &Work) {
    Attempts_.emplace(Now, OwnAttempt{Now + Wait, Work});
    EndRateAt_.reset();
  }

  /// Removes an attempt that was sent at `StartedAt`, if there is one.
  void ended(TimePoint StartedAt) {
    const std::multimap<TimePoint, OwnAttempt>::iterator It =
        Attempts_.find(StartedAt);
    if (It != Attempts_.end())
      Attempts_.erase(It);
    EndRateAt_.reset();
  }

  std::size_t size() const { return Attempts_.size(); }
  bool empty() const { return Attempts_.empty(); }

  /// When the attempt was sent that has been in progress longest. There must be
  /// one.
  TimePoint oldestStart() const { return Attempts_.begin()->first; }

  /// An attempt that was sent at `StartedAt`, if there is one.
  std::optional<OwnAttempt> find(TimePoint StartedAt) const;

  /// Sum of the rates, per microsecond, at which the attempts are expected to
  /// end at a target that is slower than usual by `Slowness`. One without an
  /// estimate counts as one of `UsualUs` microseconds. The sum is computed
  /// again when an attempt was sent or ended, or it is older than RateMaxAge.
  double endRate(double UsualUs, double Slowness, TimePoint Now) const;

  /// True when an attempt has been without an answer for `Factor` times its
  /// expected work, and at least for `Minimum`. `AnsweredAt` is when the target
  /// last answered. Attempts without an estimate do not count.
  bool isOverdue(double Factor, Duration Minimum, TimePoint AnsweredAt,
                 TimePoint Now) const;

private:
  /// Short against the work of requests, long against the time between choices
  /// of a host that makes many.
  static constexpr Duration RateMaxAge = std::chrono::milliseconds(10);

  std::multimap<TimePoint, OwnAttempt> Attempts_; ///< By time of sending.
  mutable double EndRate_ = 0;
  mutable std::optional<TimePoint> EndRateAt_; ///< Empty: compute it again.
};

} // namespace kumquatpitch

#endif
