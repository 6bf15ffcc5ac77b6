// Decides what one gateway host does with each caller's request: its route,
// service and target, whether a failed attempt is resent, and the response or
// refusal for the caller. A target is a backend server of a service. Uses
// RouteTable, TargetBalancer and ResendBudget; GatewayFront makes the attempts
// and sends the responses. Pure logic: no I/O and no clock.

#ifndef KUMQUATPITCH_GATEWAY_CORE_H
#define KUMQUATPITCH_GATEWAY_CORE_H

#include "kumquatpitch/admission/admission-control.h"
#include "kumquatpitch/admission/fair-order.h"
#include "kumquatpitch/admission/workspace-limits.h"
#include "kumquatpitch/attempt-outcome.h"
#include "kumquatpitch/balancing/cost-model.h"
#include "kumquatpitch/balancing/prediction-log.h"
#include "kumquatpitch/gateway-refusal.h"
#include "kumquatpitch/queue-wait.h"
#include "kumquatpitch/random-source.h"
#include "kumquatpitch/resend-budget.h"
#include "kumquatpitch/result-code.h"
#include "kumquatpitch/route-split.h"
#include "kumquatpitch/routing-config.h"
#include "kumquatpitch/target-balancer.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace kumquatpitch {

/// Deployment settings that bound the core's decisions.
struct GatewayOptions {
  HostId Host_;              ///< This host.
  FailureDomain Domain_;     ///< Failure domain of this host.
  double FloorShare_ = 0.7;  ///< Share of a service's targets to keep in use.
  double ResendRatio_ = 0.2; ///< Resends allowed per request.
  double ResendSlack_ = 0;   ///< Resends beyond the ratio, fleet-wide.
  Duration ResendWindow_ = std::chrono::seconds(10);
  AdmissionOptions Admission_{};
  /// Services are balanced by expected work where the configuration calls for
  /// it; see work-scope.h.
  bool MayBalanceByWork_ = true;

  bool operator==(const GatewayOptions &) const = default;
};

/// The parts of a caller's request that routing needs.
struct RequestHead {
  std::string Host_;                 ///< Virtual host, without a port.
  std::string Path_;                 ///< Without the query.
  std::optional<Duration> TimeLeft_; ///< Time to the caller's deadline.
  Credential Credential_{};          ///< Names the caller's workspace.
  std::uint64_t BodyBytes_ = 0;      ///< Size of the body.

  bool operator==(const RequestHead &) const = default;
};

/// One request in progress. Only GatewayCore modifies it.
struct GatewayRequest {
  std::shared_ptr<const RouteTable> Table_; ///< Keeps Route_ alive.
  const VirtualRoute *Route_ = nullptr;
  CallerIdentity Caller_;
  RequestPriority Priority_;
  double Weight_ = 1; ///< Of its workspace among those that wait.
  ServiceName Service_;
  RequestTraits Traits_; ///< Empty where the service is balanced by count.
  WorkEstimate Work_;    ///< Expected work; unknown there.
  TimePoint ArrivedAt_;
  TimePoint DeadlineAt_; ///< The caller's deadline or the route's
                         ///< timeout, whichever is earlier.
  std::set<TargetId> Tried_;
  std::uint32_t Sent_ = 0; ///< Attempts that may have reached a target.
  std::uint32_t FailedConnects_ = 0; ///< Attempts that could not connect.
  std::uint32_t InProgress_ = 0;     ///< Attempts in progress.
  bool MayHaveRun_ = false;          ///< A target may have executed it.
  bool IsHedged_ = false;
  bool IsLostTrial_ = false;   ///< Its last attempt was a trial that failed.
  bool HasResendPaid_ = false; ///< A resend was taken from the budget and has
                               ///< not been sent yet.
  bool IsQueued_ = false;      ///< Waits for a free slot at a target.
  std::optional<TokenTicket> Ticket_; ///< Set while it waits for a token.
  std::optional<LimitToken> Token_;   ///< Of its workspace's limit.
};

/// An attempt that the caller of GatewayCore has to start now.
struct GatewayAttempt {
  TargetEntry Target_;
  TimePoint StartedAt_;
  bool IsTrial_ = false; ///< Probes an ejected target with a real request.
  bool IsResend_ = false;
  /// For idempotent requests: when to call placeHedge().
  std::optional<TimePoint> HedgeAt_;

  bool operator==(const GatewayAttempt &) const = default;
};

/// The request was queued until a target has a free slot, or waits for a token
/// of its workspace's limit.
struct QueuedForTarget {
  bool operator==(const QueuedForTarget &) const = default;
};

using Placement = std::variant<GatewayRefusal, GatewayAttempt, QueuedForTarget>;

/// What to do after an attempt.
enum class GatewayStep : std::uint8_t {
  Deliver, ///< Forward the attempt's response to the caller.
  Resend,  ///< Call place() for another attempt.
  Wait,    ///< Wait for another attempt in progress.
  Fail,    ///< Send the caller the gateway's own error response.
};

struct GatewayDecision {
  GatewayStep Step_ = GatewayStep::Fail;
  GatewayRefusal Refusal_; ///< Set when Step_ is Fail.
  std::optional<TargetObservation>
      Observation_; ///< To broadcast to the other hosts.
  /// How well the attempt's work was predicted, if it was and the target
  /// answered.
  std::optional<PredictedWork> Prediction_{};

  bool operator==(const GatewayDecision &) const = default;
};

class GatewayCore {
public:
  GatewayCore(GatewayOptions Options, RandomSource &Random);

  void setTable(std::shared_ptr<const RouteTable> Table);
  void setTargets(const std::map<TargetId, TargetEntry> &Targets,
                  TimePoint Now);
  /// Sets the hosts that each service's callers are given, and the number of
  /// live hosts in the fleet. The given hosts divide most of the service's
  /// resend slack and take turns at trials of its ejected targets; other hosts
  /// get a small part of the slack.
  void setCallerHosts(
      const std::map<ServiceName, std::vector<AssignedHost>> &HostsByService,
      std::size_t AliveHosts, TimePoint Now);

  /// Begins a planned stop: from now on, attempts are made only for requests
  /// whose deadline is `LatestDeadline` at the latest. Others are refused as
  /// not run, if they have not run; those that are queued, by the next call of
  /// placeQueuedRequests().
  void beginStop(TimePoint LatestDeadline) { LatestDeadline_ = LatestDeadline; }

  /// Decides who sent a request and whether it may run.
  AdmissionControl &admission() { return Admission_; }

  /// Decides whether a request lies within its workspace's limit.
  WorkspaceLimits &limits() { return Limits_; }

  bool hasTable() const { return Table_ != nullptr; }
  const std::shared_ptr<const RouteTable> &table() const { return Table_; }

  /// Routes a new request, or refuses it when there is no configuration or no
  /// matching route.
  std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>>
  admit(const RequestHead &Head, TimePoint Now);

  /// Chooses the target of the next attempt, refuses the request, or queues it.
  /// An attempt counts as in progress until attemptEnded().
  Placement place(const std::shared_ptr<GatewayRequest> &Request,
                  TimePoint Now);

  /// Places queued requests for which a slot is free, and refuses those that
  /// cannot complete before their deadline. Call it after each attempt and a
  /// few times a second.
  std::vector<std::pair<std::shared_ptr<GatewayRequest>, Placement>>
  placeQueuedRequests(TimePoint Now);

  /// Removes a request from the queue, for example when its caller has
  /// disconnected. Does nothing when the request is not queued.
  void removeFromQueue(GatewayRequest &Request, TimePoint Now);

  /// Chooses the target of a second attempt that runs alongside the first, slow
  /// one. Returns nothing when the resend budget or the targets do not allow
  /// it.
  std::optional<GatewayAttempt> placeHedge(GatewayRequest &Request,
                                           TimePoint Now);

  /// Records how an attempt ended and decides the next step. `Report` is empty
  /// when the target did not answer.
  GatewayDecision attemptEnded(GatewayRequest &Request,
                               const GatewayAttempt &Attempt,
                               AttemptOutcome Outcome,
                               const TargetReport &Report, TimePoint Now);

  /// Records that a request ended; `Served` is true on success.
  void requestEnded(const GatewayRequest &Request, bool Served, TimePoint Now);

  /// Builds the refusal of a request that has timed out or for which no further
  /// attempt is possible. It says whether a target may have executed it, and if
  /// not, when the host expects room for another request.
  GatewayRefusal refusalFor(const GatewayRequest &Request, TimePoint Now) const;

  /// Recent counts of ended and unserved requests on this host, for services
  /// that have any.
  std::map<ServiceName, RequestOutcomeCounts>
  outcomeCounts(TimePoint Now) const;

  /// Records the counts of a service that another host reported.
  void recordPeerOutcomes(const HostId &From, const ServiceName &Name,
                          const RequestOutcomeCounts &Counts, TimePoint Now);

  /// Rate limits of targets that should be announced to the other hosts now.
  std::vector<NamedRateLimit> takeRateLimitUpdates(TimePoint Now);

  /// Records a rate limit that a target named to another host. Returns whether
  /// that changes the limit that is in force here.
  bool recordPeerRateLimit(const NamedRateLimit &Limit, TimePoint Now);

  /// Records what another host reported about a target.
  void applyPeerObservation(const ServiceName &Name, const TargetId &Id,
                            TargetObservation Observation, TimePoint Now);

  /// Describes a service's queue for logs: its length, the rate at which the
  /// targets take requests from this host, and the part of that rate that was
  /// expected from their slots, per second.
  std::string describeQueue(const ServiceName &Name, TimePoint Now) const;

  /// The balancer of a service; null if the service is unknown.
  const TargetBalancer *balancer(const ServiceName &Name) const;

  const CostModel &costs() const { return Costs_; }

private:
  struct ServiceState {
    explicit ServiceState(const GatewayOptions &Options)
        : Balancer_(Options.Host_, Options.Domain_, Options.FloorShare_) {}

    TargetBalancer Balancer_;
    ResendBudget Budget_;
    QueueWait Wait_;
    FairOrder Order_;
    std::vector<std::shared_ptr<GatewayRequest>> Queue_;
    std::size_t CallerHosts_ = 1; ///< Hosts that share the service's requests.
  };
  using PlacedRequests =
      std::vector<std::pair<std::shared_ptr<GatewayRequest>, Placement>>;

  bool endsBeforeStop(const GatewayRequest &Request) const {
    return !LatestDeadline_ || Request.DeadlineAt_ <= *LatestDeadline_;
  }
  bool mayStillSend(const GatewayRequest &Request, TimePoint Now) const {
    return endsBeforeStop(Request) &&
           Admission_.mayRun(Request.Caller_, *Table_, Now);
  }
  LimitDecision decideLimit(const CallerIdentity &Caller, TimePoint Now);
  static void setLimit(GatewayRequest &Request, const LimitDecision &Decision);
  Placement awaitToken(const std::shared_ptr<GatewayRequest> &Request);
  PlacedRequests endTokenWaits(TimePoint Now);
  void cancelTokenWait(GatewayRequest &Request);
  void giveTokenBack(const GatewayRequest &Request, TimePoint Now);
  ResendLimits resendLimits(const ServiceName &Name) const;
  Duration meanLatency(const VirtualRoute &Route) const;
  Duration usualLatency(const GatewayRequest &Request) const;
  Duration expectedLatency(const GatewayRequest &Request) const;
  Duration hedgeDelay(const GatewayRequest &Request) const;
  void recordLatency(const VirtualRoute &Route, Duration Latency);
  void estimateWork(GatewayRequest &Request, std::uint64_t BodyBytes);
  std::optional<PredictedWork> learnWork(const GatewayRequest &Request,
                                         AttemptOutcome Outcome,
                                         AttemptEvidence Evidence,
                                         std::optional<Duration> Work);
  AttemptEvidence classifyAttempt(const GatewayRequest &Request,
                                  const GatewayAttempt &Attempt,
                                  AttemptOutcome Outcome, TimePoint Now) const;
  GatewayAttempt startAttempt(GatewayRequest &Request, ServiceState &State,
                              const TargetPick &Pick, bool IsResend,
                              TimePoint Now);
  Placement tryToPlace(GatewayRequest &Request, ServiceState &State,
                       TimePoint Now);
  Placement placeAsLastResort(GatewayRequest &Request, ServiceState &State,
                              TimePoint Now);
  PickConstraints pickConstraints(const GatewayRequest &Request,
                                  ServiceState &State, TimePoint Now) const;
  void drainQueue(ServiceState &State, TimePoint Now, PlacedRequests &Placed);
  void sortQueue(ServiceState &State, TimePoint Now) const;
  static void queueChanged(ServiceState &State, TimePoint Now);
  static double expectedDepartureRate(const ServiceState &State, TimePoint Now);
  bool canBeServedInTime(const GatewayRequest &Request,
                         const ServiceState &State, std::size_t Ahead,
                         double Rate, TimePoint Now) const;
  Placement placeQueued(GatewayRequest &Request, ServiceState &State,
                        std::size_t Ahead, double Rate, TimePoint Now);
  GatewayDecision decideAfterFailure(GatewayRequest &Request,
                                     AttemptOutcome Outcome, TimePoint Now);
  ServiceState &findOrCreateService(const ServiceName &Name);

  GatewayOptions Options_;
  AdmissionControl Admission_;
  WorkspaceLimits Limits_;
  /// Requests that wait for a token, by ticket.
  std::map<std::uint64_t, std::shared_ptr<GatewayRequest>> TokenWaits_;
  RandomSource &Random_;
  /// This host's share of the fleet's resend slack, for the services whose
  /// callers are given this host.
  std::map<ServiceName, double> SlackShares_;
  double DefaultSlackShare_ = 0;            ///< For all other services.
  std::optional<TimePoint> LatestDeadline_; ///< Set during a planned stop.
  std::shared_ptr<const RouteTable> Table_;
  std::map<ServiceName, ServiceState> Services_;
  RouteSplit Split_;
  CostModel Costs_;
  std::set<ServiceName> ServicesByWork_; ///< See work-scope.h.
  /// Moving average of each route's latency, in microseconds.
  std::map<std::string, double> Latencies_;
};

} // namespace kumquatpitch

#endif
