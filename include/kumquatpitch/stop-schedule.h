// The course of a planned stop: until when new requests are served, which
// requests may still be sent to a target, and when the process ends. No request
// is sent that might still be running when the process ends. Used by
// GatewayDaemon and HostDaemon; no I/O and no clock.

#ifndef KUMQUATPITCH_STOP_SCHEDULE_H
#define KUMQUATPITCH_STOP_SCHEDULE_H

#include "kumquatpitch/time-point.h"

namespace kumquatpitch {

class StopSchedule {
public:
  /// `Timeout` is the time from the signal until the process is killed.
  StopSchedule(TimePoint Start, Duration Timeout);

  /// The first half: callers have fetched a new host list by its end.
  bool servesNewRequests(TimePoint Now) const { return Now < ServeUntil_; }

  /// The latest deadline of a request that may be sent to a target. At its
  /// deadline a request is answered, so that its response can still be written.
  TimePoint latestDeadline() const { return LatestDeadline_; }

  /// When the process ends at the latest.
  TimePoint endAt() const { return EndAt_; }

  /// True when the process should end. `IsIdle`: no request is in progress.
  bool mayEnd(TimePoint Now, bool IsIdle) const;

  bool operator==(const StopSchedule &) const = default;

private:
  TimePoint ServeUntil_;
  TimePoint LatestDeadline_; ///< Before EndAt_.
  TimePoint EndAt_;          ///< Before the process would be killed.
};

} // namespace kumquatpitch

#endif
