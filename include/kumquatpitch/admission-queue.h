// The bounded queue of one service of a contract: which requests wait for a
// slot, which are shed and which are dropped. Called by HostCore; does not know
// targets or slots beyond their count.

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

/// Identifies a waiting request; chosen by the caller, unique in the queue.
using QueueKey = std::uint64_t;

/// A request that was dropped from the queue and must be refused as not run.
struct DroppedRequest {
  QueueKey Key_ = 0;
  ResultCode Code_ = ResultCode::DeadlinePassed;

  bool operator==(const DroppedRequest &) const = default;
};

/// Requests leave the queue in order of arrival. Requests that cannot meet
/// their deadline, by the typical service time, are dropped before any other
/// is.
class AdmissionQueue {
public:
  /// Takes over the contract's terms and the count of requests that the host
  /// can run at once. Waiting requests stay, also above a lowered bound.
  void setTerms(const QueueTerms &Terms, std::uint32_t Slots);

  /// Ok when the request waits now, else why it is refused: DeadlinePassed,
  /// QueueWaitTooLong (the estimated wait exceeds the contract's, or leaves no
  /// time to run before the deadline) or QueueFull.
  ResultCode offer(QueueKey Key, TimePoint Deadline, TimePoint Now);

  /// Removes and gives the request to run next, or none. Called only when a
  /// slot is free.
  std::optional<QueueKey> next(TimePoint Now);

  /// Removes and gives the requests that can no longer be served in time,
  /// oldest first, with those that offer() and next() dropped.
  std::vector<DroppedRequest> expired(TimePoint Now);

  /// Removes a request whose caller left. Unknown keys are ignored.
  void remove(QueueKey Key);

  /// Time that a slot was occupied by an attempt that ended.
  void noteServiceTime(Duration Span);

  std::size_t size() const { return Waiting_.size(); }

  /// Time that a request offered now would wait.
  Duration estimatedWait() const;

private:
  struct Entry {
    QueueKey Key_;
    TimePoint Arrival_;
    TimePoint Deadline_;
  };

  double typicalServiceTime() const;
  std::optional<ResultCode> dropReason(const Entry &Each, TimePoint Now) const;
  void drop(const Entry &Each, ResultCode Reason, TimePoint Now);
  void dropHopeless(TimePoint Now);
  bool isStarved(TimePoint Now) const;

  QueueTerms Terms_;
  std::uint32_t Slots_ = 1;
  std::deque<Entry> Waiting_; ///< In order of arrival.
  std::vector<DroppedRequest> Dropped_;
  std::optional<double> MeanServiceTime_; ///< Moving average, microseconds.
  double ServiceTimeDeviation_ = 0; ///< Moving mean of absolute deviations.
  bool DroppedByEstimate_ = false;  ///< Since a request ran last.
  std::optional<TimePoint>
      IdleSince_;        ///< Since when estimates keep a slot free.
  bool Relearn_ = false; ///< The next service time replaces the averages.
};

} // namespace kumquatpitch

#endif
