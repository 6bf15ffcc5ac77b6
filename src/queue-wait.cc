// Arrival and departure rates of a queue. See queue-wait.h.

#include "kumquatpitch/queue-wait.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Time constant of all sums, long enough for several departures at a host that
/// is one of many.
constexpr double DecaySeconds = 1.5;
/// Weight of the expected departure rate, as seconds with a queue.
constexpr double PriorSeconds = 0.3;

} // namespace

double DecayingSum::at(TimePoint Now) const {
  return Value_ * std::exp(-toSeconds(Now - At_) / DecaySeconds);
}

void DecayingSum::add(double Amount, TimePoint Now) {
  Value_ = at(Now) + Amount;
  At_ = Now;
}

void QueueWait::requestArrived(const RequestPriority &Priority, TimePoint Now) {
  ArrivalsByPriority_[Priority].add(1, Now);
}

void QueueWait::attemptStarted(bool IsQueueEmpty, TimePoint Now) {
  AllDepartures_.add(1, Now);
  if (!IsQueueEmpty)
    Departures_.add(1, Now);
}

void QueueWait::setQueueEmpty(bool IsEmpty, TimePoint Now) {
  if (!IsQueueEmpty_) {
    BusySeconds_.Value_ = busySeconds(Now);
    BusySeconds_.At_ = Now;
  }
  BusySince_ = Now;
  IsQueueEmpty_ = IsEmpty;
}

/// Decayed time with a queue that is not empty. The integral over the current
/// span decays as the sums do.
double QueueWait::busySeconds(TimePoint Now) const {
  const double Before = BusySeconds_.at(Now);
  if (IsQueueEmpty_)
    return Before;
  const double Span = toSeconds(Now - BusySince_);
  return Before + DecaySeconds * (1 - std::exp(-Span / DecaySeconds));
}

double QueueWait::departureRate(double ExpectedRate, TimePoint Now) const {
  const double Prior =
      std::max(ExpectedRate, AllDepartures_.at(Now) / DecaySeconds);
  return (Departures_.at(Now) + Prior * PriorSeconds) /
         (busySeconds(Now) + PriorSeconds);
}

double QueueWait::arrivalRateAhead(const QueuePosition &Position,
                                   TimePoint Now) const {
  double Sum = 0;
  for (const std::pair<const RequestPriority, DecayingSum> &Entry :
       ArrivalsByPriority_)
    if (Position.IsBehindAll_ || Entry.first < Position.Priority_)
      Sum += Entry.second.at(Now);
  return Sum / DecaySeconds;
}

Duration QueueWait::expectedWait(const QueuePosition &Position,
                                 double ExpectedRate, TimePoint Now) const {
  const double Rate =
      departureRate(ExpectedRate, Now) - arrivalRateAhead(Position, Now);
  constexpr double MaxWaitSeconds = 3'600;
  const double Departures = static_cast<double>(Position.Ahead_) + 1;
  if (Rate * MaxWaitSeconds <= Departures)
    return Duration::max();
  return fromSeconds(Departures / Rate);
}

} // namespace kumquatpitch
