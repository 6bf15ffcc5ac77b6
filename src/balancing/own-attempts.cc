// Work left of a host's own attempts at a target. See own-attempts.h.

#include "kumquatpitch/balancing/own-attempts.h"

#include <algorithm>

namespace kumquatpitch {

std::optional<OwnAttempt> OwnAttempts::find(TimePoint StartedAt) const {
  const std::multimap<TimePoint, OwnAttempt>::const_iterator It =
      Attempts_.find(StartedAt);
  if (It == Attempts_.end())
    return std::nullopt;
  return It->second;
}

double OwnAttempts::endRate(double UsualUs, double Slowness,
                            TimePoint Now) const {
  // A request that is about to end does not make the target look free at once:
  // its end is not known to better than a part of its work.
  constexpr double MinRemainingShare = 0.2;
  if (EndRateAt_ && Now - *EndRateAt_ < RateMaxAge)
    return EndRate_;
  double Rate = 0;
  for (const std::pair<const TimePoint, OwnAttempt> &Entry : Attempts_) {
    const OwnAttempt &Attempt = Entry.second;
    double RemainingUs = UsualUs;
    if (Attempt.Work_.isKnown()) {
      const double RanUs = static_cast<double>(
          std::max(Duration::zero(), Now - Attempt.RunsFrom_).count());
      const Duration Ran(static_cast<Duration::rep>(RanUs / Slowness));
      RemainingUs =
          std::max(static_cast<double>(Attempt.Work_.remaining(Ran).count()),
                   static_cast<double>(Attempt.Work_.mean().count()) *
                       MinRemainingShare);
    }
    Rate += 1 / RemainingUs;
  }
  EndRate_ = Rate;
  EndRateAt_ = Now;
  return Rate;
}

bool OwnAttempts::isOverdue(double Factor, Duration Minimum,
                            TimePoint AnsweredAt, TimePoint Now) const {
  if (empty() || Now - std::max(oldestStart(), AnsweredAt) <= Minimum)
    return false;
  return std::any_of(
      Attempts_.begin(), Attempts_.end(),
      [&](const std::pair<const TimePoint, OwnAttempt> &Entry) {
        const WorkEstimate &Work = Entry.second.Work_;
        if (!Work.isKnown())
          return false;
        const Duration Limit = std::max(
            Minimum, Duration(static_cast<Duration::rep>(
                         Factor * static_cast<double>(Work.mean().count()))));
        return Now - std::max(Entry.first, AnsweredAt) > Limit;
      });
}

} // namespace kumquatpitch
