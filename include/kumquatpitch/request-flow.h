// The state of each request from its arrival at the host to its outcome:
// admission, attempts, retries and the single outcome reported to the caller.
// Driven by HostCore.

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

/// The service and target at which an attempt runs.
struct AttemptLocation {
  std::shared_ptr<ServiceRuntime> Service_;
  TargetId Target_;
};

class RequestFlow {
public:
  RequestFlow(HostId Self, Incarnation OwnIncarnation, TimePoint Start,
              Metrics &Counters);

  /// Admits, queues or refuses a new request and returns its first step.
  FlowStep admit(const RoutedRequest &Routed, TimePoint Now);

  /// Delivers the answer, retries or refuses after an attempt ended. The freed
  /// slot can also start queued requests, whose steps are returned as well.
  CoreActions finishAttempt(FlowId Flow, const AttemptReport &Report,
                            TimePoint Now);

  /// Begins a planned stop: from now on, attempts are started only for requests
  /// whose deadline is `LatestDeadline` at the latest. Returns the refusals of
  /// the queued ones with a later deadline.
  CoreActions beginStop(TimePoint LatestDeadline, TimePoint Now);

  /// Handles a caller that disconnected: cancels the running attempt, or
  /// removes the request from the queue.
  CoreActions onCallerDisconnect(FlowId Flow, TimePoint Now);

  /// True when the running attempt may still be sent. Has to be checked
  /// directly before its first byte is written.
  bool mayWrite(FlowId Flow, TimePoint Now) const;

  /// Cancels attempts whose deadline has passed and expires request ids in the
  /// registry.
  CoreActions tick(TimePoint Now);

  /// Starts queued requests for which a slot is free and refuses those that can
  /// no longer be served in time.
  CoreActions serveQueue(ServiceRuntime &Service, TimePoint Now);

  /// Cancels the attempts on silent connections and, at an ejected target, as
  /// many idempotent ones as the retry budget allows to be retried elsewhere.
  CoreActions onHealthChange(ServiceRuntime &Service,
                             const HealthChange &Change);

  /// Where the request's attempt runs, or nullopt when none is running.
  std::optional<AttemptLocation> attemptLocation(FlowId Flow) const;

  RequestRegistry &registry() { return Registry_; }
  std::size_t inProgress() const { return Flows_.size(); }

private:
  struct FlowState {
    std::shared_ptr<ServiceRuntime> Service_;
    bool IsIdempotent_ = false;
    bool IsRegistered_ = false; ///< In the registry, which needs a finish().
    RequestToken Token_;
    RequestKey Key_;
    TimePoint Arrived_;
    TimePoint Deadline_;
    AttemptId Attempt_ = 0; ///< 0 when none is running.
    TargetId Target_;
    std::vector<TargetId> TriedTargets_;
    std::uint32_t AttemptCount_ = 0;
    bool HasPermit_ = false; ///< Holds quota of the service.
    bool IsQueued_ = false;
    bool MayHaveRun_ = false; ///< An attempt ended that may have run.
    bool IsCallerGone_ = false;
    bool IsCancelled_ = false; ///< The running attempt was cancelled.
  };
  using FlowMap = std::map<FlowId, FlowState>;

  bool mayStillSend(const FlowState &State) const {
    return State.Deadline_ <= LatestDeadline_;
  }
  NextStep refuseLeaving(const FlowState &State);
  NextStep admitRouted(const RoutedRequest &Routed, FlowId Id, FlowState &State,
                       TimePoint Now);
  NextStep registerRequest(const RoutedRequest &Routed, FlowState &State,
                           TimePoint Now);
  NextStep startOrWait(FlowId Id, FlowState &State, TimePoint Now);
  NextStep start(FlowState &State, const TargetId &Chosen, TimePoint Now);
  AttemptOrder makeOrder(const FlowState &State,
                         bool RequiresNewConnection) const;
  NextStep afterFailure(FlowState &State, AttemptEnd End, TimePoint Now);
  std::optional<TargetId> retryTarget(FlowState &State, AttemptEnd End,
                                      TimePoint Now);
  NextStep refuse(const FlowState &State, ResultCode Code,
                  const std::string &Message);
  FlowStep endFlow(FlowMap::iterator It, const NextStep &Final, int HttpStatus,
                   TimePoint Now);

  const HostId Self_;
  const Incarnation Incarnation_;
  Metrics &Metrics_;
  RequestRegistry Registry_;
  TimePoint LatestDeadline_ = TimePoint::max(); ///< Earlier during a stop.
  FlowId NextFlow_ = 1;
  AttemptId NextAttempt_ = 1;
  FlowMap Flows_;
};

} // namespace kumquatpitch

#endif
