// The way of each request through the host: admission, attempts, retries and
// the one outcome that the caller is told. Driven by HostCore.

#ifndef KUMQUATPITCH_REQUEST_FLOW_H
#define KUMQUATPITCH_REQUEST_FLOW_H

#include "kumquatpitch/core-action.h"
#include "kumquatpitch/metrics.h"
#include "kumquatpitch/request-registry.h"
#include "kumquatpitch/service-runtime.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch {

/// A request with the route that it matched.
struct RoutedRequest {
  CallerRequest Request_;
  bool IsIdempotent_ = false;
  std::shared_ptr<ServiceRuntime> Service_;
};

/// Where a request's attempt runs.
struct AttemptPlace {
  std::shared_ptr<ServiceRuntime> Service_;
  TargetId Target_;
};

class RequestFlow {
public:
  RequestFlow(HostId Self, Incarnation Run, TimePoint Start, Metrics &Counters);

  /// Decides on a new request and gives its first step.
  FlowStep admit(const RoutedRequest &Routed, TimePoint Now);

  /// Decides after an attempt ended. Gives steps of this and other requests.
  CoreActions finishAttempt(FlowId Flow, const AttemptReport &Report,
                            TimePoint Now);

  /// The caller left. Ends the attempt, if one runs, or the wait.
  CoreActions abandon(FlowId Flow, TimePoint Now);

  /// Asked directly before the first byte of an attempt is written.
  bool mayWrite(FlowId Flow, TimePoint Now) const;

  /// Ends attempts whose deadline has passed and forgets expired ids.
  CoreActions tick(TimePoint Now);

  /// Starts waiting requests that have a slot now and refuses those that can no
  /// longer be served in time.
  CoreActions serveQueue(ServiceRuntime &Service, TimePoint Now);

  /// Ends attempts at an ejected target that can go on elsewhere, and those on
  /// silent connections.
  CoreActions onHealthChange(ServiceRuntime &Service,
                             const HealthChange &Change);

  /// Where the request's attempt runs; none while there is none.
  std::optional<AttemptPlace> placeOf(FlowId Flow) const;

  RequestRegistry &registry() { return Registry_; }
  std::size_t inProgress() const { return Flows_.size(); }

private:
  struct FlowState {
    std::shared_ptr<ServiceRuntime> Service_;
    bool IsIdempotent_ = false;
    bool IsBound_ = false; ///< Begun in the registry; finish() is owed.
    RequestToken Token_;
    RequestKey Key_;
    TimePoint Arrived_;
    TimePoint Deadline_;
    AttemptId Attempt_ = 0; ///< 0 while none runs.
    TargetId Target_;
    std::vector<TargetId> Tried_;
    std::uint32_t Attempts_ = 0;
    bool HasPermit_ = false; ///< Holds quota of the service.
    bool IsQueued_ = false;
    bool MayHaveRun_ = false; ///< An attempt ended without proof of not-run.
    bool IsAbandoned_ = false;
    bool IsCancelled_ = false; ///< The running attempt was told to end.
  };
  using FlowMap = std::map<FlowId, FlowState>;

  NextStep admitRouted(const RoutedRequest &Routed, FlowId Id, FlowState &Entry,
                       TimePoint Now);
  NextStep bind(const RoutedRequest &Routed, FlowState &Entry, TimePoint Now);
  NextStep startOrWait(FlowId Id, FlowState &Entry, TimePoint Now);
  NextStep start(FlowState &Entry, const TargetId &Chosen, TimePoint Now);
  AttemptOrder makeOrder(const FlowState &Entry, bool IsFresh) const;
  NextStep afterFailure(FlowState &Entry, AttemptEnd End, TimePoint Now);
  std::optional<TargetId> retryTarget(FlowState &Entry, AttemptEnd End,
                                      TimePoint Now);
  NextStep refuse(const FlowState &Entry, ResultCode Code,
                  const std::string &Message);
  FlowStep close(FlowMap::iterator At, const NextStep &Last, int HttpStatus,
                 TimePoint Now);

  const HostId Self_;
  const Incarnation Incarnation_;
  Metrics &Metrics_;
  RequestRegistry Registry_;
  FlowId NextFlow_ = 1;
  AttemptId NextAttempt_ = 1;
  FlowMap Flows_;
};

} // namespace kumquatpitch

#endif
