// The order in which the queued requests of a service get free slots. Answers
// one load pattern: one workspace sends many times its usual, or its callers
// repeat at once, while all workspaces wait for the same targets. Driven by
// GatewayCore. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_ADMISSION_FAIR_ORDER_H
#define KUMQUATPITCH_ADMISSION_FAIR_ORDER_H

#include "kumquatpitch/admission/request-priority.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/time-point.h"

#include <cstddef>
#include <map>
#include <vector>

namespace kumquatpitch {

/// What decides the place of a queued request.
struct QueuedRequest {
  std::size_t Index_ = 0; ///< Position in the caller's own list.
  bool IsLate_ = false;   ///< Can no longer meet its latency objective.
  RequestPriority Priority_;
  TimePoint DueAt_; ///< Its objective, or its deadline if it is late.
  WorkspaceName Workspace_;
  double Weight_ = 1; ///< Of its workspace; above 0.

  bool operator==(const QueuedRequest &) const = default;
};

/// Requests that can still meet their objective go first, then by priority.
/// Within one priority the workspaces take turns by start-time fair queueing:
/// while two are backlogged, the requests that each of them has started,
/// divided by its weight, differ by at most one request of each (Goyal, Vin and
/// Cheng, 1996). The requests of one workspace go by their objective.
class FairOrder {
public:
  /// Sorts the requests, the one to start first at the front. Without
  /// workspaces the order is by lateness, priority and time due.
  void sort(std::vector<QueuedRequest> &Requests) const;

  /// Counts a request that was sent to a target.
  void started(const WorkspaceName &Workspace, double Weight);

private:
  double startTag(const WorkspaceName &Workspace) const;

  /// Start tag of the request that was started last. It never falls.
  double VirtualTime_ = 0;
  /// Finish tags of the workspaces. Those that the virtual time has passed are
  /// dropped whenever there are PruneAt_ of them.
  std::map<WorkspaceName, double> FinishTags_;
  static constexpr std::size_t MinPruneSize = 4'096;
  std::size_t PruneAt_ = MinPruneSize;
};

} // namespace kumquatpitch

#endif
