// Estimates how long a request waits in a host's queue for a service, from the
// rate at which the host's own requests leave it for targets. Answers one load
// pattern: more arrivals than the targets can serve, where each request that is
// queued without a chance delays all others. Driven by GatewayCore. Does no I/O
// and reads no clock.

#ifndef KUMQUATPITCH_QUEUE_WAIT_H
#define KUMQUATPITCH_QUEUE_WAIT_H

#include "kumquatpitch/admission/request-priority.h"
#include "kumquatpitch/time-point.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace kumquatpitch {

/// Sum that decays exponentially with QueueWait's time constant.
struct DecayingSum {
  double Value_ = 0;
  TimePoint At_; ///< Time of Value_.

  double at(TimePoint Now) const;
  void add(double Amount, TimePoint Now);

  bool operator==(const DecayingSum &) const = default;
};

/// What decides how long a queued request has to wait.
struct QueuePosition {
  std::size_t Ahead_ = 0; ///< Queued requests that are placed before it.
  RequestPriority Priority_;
  /// True when it comes after all requests that can meet their objective, also
  /// after those that have yet to arrive.
  bool IsBehindAll_ = false;

  bool operator==(const QueuePosition &) const = default;
};

class QueueWait {
public:
  /// Counts a request that arrived from a caller.
  void requestArrived(const RequestPriority &Priority, TimePoint Now);

  /// Counts an attempt that was sent while `IsQueueEmpty` or not. Only a queue
  /// that is not empty shows how fast the targets take requests.
  void attemptStarted(bool IsQueueEmpty, TimePoint Now);

  /// Records that the queue became empty or not.
  void setQueueEmpty(bool IsEmpty, TimePoint Now);

  /// Requests per second that the targets take from this host. Until the queue
  /// has shown it, the larger of `ExpectedRate` and of what they took lately is
  /// returned.
  double departureRate(double ExpectedRate, TimePoint Now) const;

  /// Expected wait in the queue; Duration::max() when requests that go first
  /// arrive as fast as the targets take them.
  Duration expectedWait(const QueuePosition &Position, double ExpectedRate,
                        TimePoint Now) const;

private:
  double busySeconds(TimePoint Now) const;
  /// Arrivals per second of requests that are placed before one of `Position`.
  double arrivalRateAhead(const QueuePosition &Position, TimePoint Now) const;

  std::map<RequestPriority, DecayingSum> ArrivalsByPriority_;
  DecayingSum AllDepartures_;
  DecayingSum Departures_;  ///< While the queue was not empty.
  DecayingSum BusySeconds_; ///< Time with a queue that is not empty, up to
                            ///< BusySince_.
  TimePoint BusySince_;     ///< Last time that BusySeconds_ includes.
  bool IsQueueEmpty_ = true;
};

} // namespace kumquatpitch

#endif
