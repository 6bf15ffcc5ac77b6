// The bounded queue of one service of a contract: decides which requests wait
// for a slot, which are shed on arrival and which are dropped while they wait.
// Called by HostCore. Knows the number of slots, but no targets.

#ifndef KUMQUATPITCH_ADMISSION_QUEUE_H
#define KUMQUATPITCH_ADMISSION_QUEUE_H

#include "kumquatpitch/contract.h"
#include "kumquatpitch/result-code.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// Identifies a waiting request; chosen by the user of the queue, unique in it.
using QueueKey = std::uint64_t;

/// A request that was dropped from the queue. It must be refused, marked as not
/// run.
struct DroppedRequest {
  QueueKey Key_ = 0;
  ResultCode Code_ = ResultCode::DeadlinePassed;

  bool operator==(const DroppedRequest &) const = default;
};

/// First-in, first-out queue. Requests that cannot meet their deadline, given
/// the typical service time, are dropped before any other request.
class AdmissionQueue {
public:
  /// Replaces the contract's terms and the number of requests that the host can
  /// run at once. Waiting requests stay even if they exceed a lowered bound.
  void setTerms(const QueueTerms &Terms, std::uint32_t Slots);

  /// Enqueues a request and returns Ok, or returns why it is refused:
  /// DeadlinePassed, QueueFull or QueueWaitTooLong (the estimated wait exceeds
  /// the contract's limit or leaves no time to run before the deadline).
  ResultCode offer(QueueKey Key, TimePoint Deadline, TimePoint Now);

  /// Removes and returns the request to run next, if any. Call it only when a
  /// slot is free.
  std::optional<QueueKey> next(TimePoint Now);

  /// Drops, oldest first, the requests that can no longer be served in time.
  /// Returns them after those that offer() and next() dropped since the last
  /// call.
  std::vector<DroppedRequest> takeDropped(TimePoint Now);

  /// Removes a request whose caller left. Unknown keys are ignored.
  void remove(QueueKey Key);

  /// Records for how long an attempt that has ended occupied its slot.
  void recordServiceTime(Duration Span);

  std::size_t size() const { return Waiting_.size(); }

  /// Estimated time that a request offered now would wait.
  Duration estimatedWait() const;

private:
  struct WaitingRequest {
    QueueKey Key_;
    TimePoint Arrival_;
    TimePoint Deadline_;
  };

  double typicalServiceTime() const;
  std::optional<ResultCode> dropReason(const WaitingRequest &Request,
                                       TimePoint Now) const;
  void drop(const WaitingRequest &Request, ResultCode Reason, TimePoint Now);
  void dropExpired(TimePoint Now);
  bool isStarved(TimePoint Now) const;

  QueueTerms Terms_;
  std::uint32_t Slots_ = 1;
  std::deque<WaitingRequest> Waiting_; ///< In order of arrival.
  std::vector<DroppedRequest> Dropped_;
  std::optional<double> MeanServiceTime_; ///< Moving average in microseconds.
  double ServiceTimeDeviation_ = 0;       ///< Moving mean absolute deviation.
  /// A request was dropped before its deadline since a request last ran.
  bool DroppedEarly_ = false;
  /// When drops by estimate first left a slot idle.
  std::optional<TimePoint> StarvedSince_;
  bool ResetEstimate_ = false; ///< Next service time replaces the averages.
};

} // namespace kumquatpitch

#endif
