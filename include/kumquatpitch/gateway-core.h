// All decisions about callers' requests on one host of a gateway: route,
// service, target, resend, answer or refusal. Composed of RouteTable,
// TargetBalancer and ResendBudget; GatewayExchange carries its orders out.
// Pure.

#ifndef KUMQUATPITCH_GATEWAY_CORE_H
#define KUMQUATPITCH_GATEWAY_CORE_H

#include "kumquatpitch/random-source.h"
#include "kumquatpitch/resend-budget.h"
#include "kumquatpitch/result-code.h"
#include "kumquatpitch/routing-config.h"
#include "kumquatpitch/target-balancer.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace kumquatpitch {

/// Terms of the deployment that bound the core's decisions.
struct GatewayTerms {
  HostId Host_;             ///< This host.
  FailureDomain Domain_;    ///< Of this host.
  double FloorShare_ = 0.7; ///< Part of a service's targets to keep in use.
  double ResendRatio_ = 0.2;
  double ResendSlack_ = 0; ///< Of all hosts together.
  Duration ResendWindow_ = std::chrono::seconds(10);

  bool operator==(const GatewayTerms &) const = default;
};

/// A caller's request as far as routing needs it.
struct RequestHead {
  std::string Host_;                 ///< Virtual host, without a port.
  std::string Path_;                 ///< Without the query.
  std::optional<Duration> TimeLeft_; ///< How long the caller waits.

  bool operator==(const RequestHead &) const = default;
};

/// An answer of the system's own in place of a backend server's.
struct GatewayRefusal {
  ResultCode Code_ = ResultCode::InternalError;
  int Status_ = 500;
  std::optional<Duration> RetryAfter_;

  bool operator==(const GatewayRefusal &) const = default;
};

/// One request in progress. Changed by GatewayCore only.
struct GatewayRequest {
  std::shared_ptr<const RouteTable> Table_; ///< Keeps Route_ alive.
  const VirtualRoute *Route_ = nullptr;
  ServiceName Service_;
  TimePoint ArrivedAt_;
  TimePoint GiveUpAt_; ///< Its deadline or its route's timeout.
  std::set<TargetId> Tried_;
  std::uint32_t Sent_ = 0;       ///< Attempts that may have reached a target.
  std::uint32_t Connecting_ = 0; ///< Attempts that found no connection.
  std::uint32_t InProgress_ = 0;
  bool MayHaveRun_ = false;
  bool IsHedged_ = false;
  bool Waits_ = false; ///< For room at a target.
};

/// An attempt to make now.
struct GatewayAttempt {
  TargetEntry Target_;
  TimePoint StartedAt_;
  bool IsTrial_ = false;
  bool IsResend_ = false;
  /// Idempotent requests: when a second target is to be asked as well.
  std::optional<TimePoint> HedgeAt_;

  bool operator==(const GatewayAttempt &) const = default;
};

/// The request waits for room at a target; release() places it.
struct WaitsForRoom {
  bool operator==(const WaitsForRoom &) const = default;
};

using Placement = std::variant<GatewayRefusal, GatewayAttempt, WaitsForRoom>;

/// How an attempt ended, as seen on the connection.
enum class AttemptOutcome : std::uint8_t {
  Success,       ///< Whole answer with success.
  Failure,       ///< Whole answer of the target that tells of a failure.
  Refused,       ///< The target says that it did not run the request.
  OtherInstance, ///< Another instance has the address; it ran nothing.
  NotConnected,  ///< No byte was sent.
  Broken,        ///< Sent; the answer is missing, cut or garbage.
  TimedOut,      ///< Sent; no answer until the request was given up.
  Cancelled,     ///< The caller left, or another attempt was faster.
};

/// Fixed name of a result for logs, such as `not_connected`.
const char *attemptOutcomeName(AttemptOutcome Result);

/// What to do after an attempt.
enum class GatewayStep : std::uint8_t {
  Deliver, ///< Give the attempt's answer to the caller.
  Resend,  ///< Ask place() for another attempt.
  Wait,    ///< Another attempt is in progress.
  Fail,    ///< Give the caller an answer of the system's own.
};

struct GatewayDecision {
  GatewayStep Step_ = GatewayStep::Fail;
  GatewayRefusal Refusal_;         ///< With Fail.
  std::optional<TargetNews> News_; ///< For the other hosts.

  bool operator==(const GatewayDecision &) const = default;
};

class GatewayCore {
public:
  GatewayCore(GatewayTerms Terms, RandomSource &Random);

  void setTable(std::shared_ptr<const RouteTable> Table);
  void setTargets(const std::map<TargetId, TargetEntry> &Targets,
                  TimePoint Now);
  /// Takes the hosts that callers of each service are told to use, and how many
  /// hosts live. They divide the fleet's resend slack and the trials of ejected
  /// targets.
  void setGroups(const std::map<ServiceName, std::vector<GroupHost>> &Groups,
                 std::size_t AliveHosts);

  bool hasTable() const { return Table_ != nullptr; }
  const std::shared_ptr<const RouteTable> &table() const { return Table_; }

  /// Takes a new request, or refuses it.
  std::variant<GatewayRefusal, std::shared_ptr<GatewayRequest>>
  admit(const RequestHead &Head, TimePoint Now);

  /// Chooses the target of the next attempt, refuses, or lets the request wait.
  /// An attempt counts as in progress until attemptEnded().
  Placement place(const std::shared_ptr<GatewayRequest> &Request,
                  TimePoint Now);

  /// Places waiting requests for which there is room now, and refuses those
  /// that cannot be done in time. To be called when an attempt has ended and a
  /// few times a second.
  std::vector<std::pair<std::shared_ptr<GatewayRequest>, Placement>>
  release(TimePoint Now);

  /// A waiting request has ended otherwise.
  void withdraw(const GatewayRequest &Request);

  /// A second attempt beside the first, which is slow; none when the budget or
  /// the targets do not allow it.
  std::optional<GatewayAttempt> placeHedge(GatewayRequest &Request,
                                           TimePoint Now);

  /// Takes the end of an attempt and decides what is next.
  GatewayDecision attemptEnded(GatewayRequest &Request,
                               const GatewayAttempt &Order,
                               AttemptOutcome Result,
                               std::optional<ReportedLoad> Load, TimePoint Now);

  /// A request was answered, with success or not.
  void requestEnded(const GatewayRequest &Request, bool Served, TimePoint Now);

  /// The request's time is up, or no attempt is possible any more.
  GatewayRefusal giveUp(const GatewayRequest &Request) const;

  /// Requests that ended lately here, of services that have any.
  std::map<ServiceName, ServiceTally> tallies(TimePoint Now) const;

  /// The same of a service at another host.
  void peerTally(const HostId &From, const ServiceName &Name,
                 const ServiceTally &Of, TimePoint Now);

  /// Another host saw a target fail or recover.
  void peerEvidence(const ServiceName &Name, const TargetId &Id,
                    TargetNews News, TimePoint Now);

  /// The balancer of a service; null for unknown ones.
  const TargetBalancer *balancer(const ServiceName &Service) const;

private:
  struct Service {
    explicit Service(const GatewayTerms &Terms)
        : Balancer_(Terms.Host_, Terms.Domain_, Terms.FloorShare_) {}

    TargetBalancer Balancer_;
    ResendBudget Budget_;
    std::vector<std::shared_ptr<GatewayRequest>> Waiting_;
  };
  using Released =
      std::vector<std::pair<std::shared_ptr<GatewayRequest>, Placement>>;

  const ServiceName &chooseService(const VirtualRoute &Chosen);
  ResendTerms resendTerms(const ServiceName &Of) const;
  Duration usualLatency(const VirtualRoute &Of) const;
  Duration expectedLatency(const VirtualRoute &Of) const;
  Duration hedgeDelay(const VirtualRoute &Of) const;
  void noteLatency(const VirtualRoute &Of, Duration Latency);
  AttemptEvidence evidenceOf(const GatewayRequest &Request,
                             const GatewayAttempt &Order, AttemptOutcome Result,
                             TimePoint Now) const;
  GatewayRefusal refuse(ResultCode Code,
                        std::optional<Duration> RetryAfter) const;
  GatewayAttempt start(GatewayRequest &Request, Service &Of,
                       const TargetPick &Pick, bool IsResend, TimePoint Now);
  Placement tryToPlace(GatewayRequest &Request, Service &Of, TimePoint Now);
  Placement lastPlacement(GatewayRequest &Request, Service &Of, TimePoint Now);
  PickTerms pickTerms(const GatewayRequest &Request, Service &Of,
                      TimePoint Now) const;
  void releaseService(Service &Of, TimePoint Now, Released &Out);
  void orderWaiting(Service &Of, TimePoint Now) const;
  GatewayDecision afterFailure(GatewayRequest &Request, AttemptOutcome Result,
                               TimePoint Now);
  Service &serviceOf(const ServiceName &Name);

  GatewayTerms Terms_;
  RandomSource &Random_;
  /// This host's part of the fleet's resend slack, where it is in the group.
  std::map<ServiceName, double> SlackParts_;
  double RestSlackPart_ = 0;
  std::shared_ptr<const RouteTable> Table_;
  std::map<ServiceName, Service> Services_;
  /// Smooth weighted round robin of split routes: credit of each share.
  std::map<std::string, std::vector<double>> SplitCredits_;
  /// Decayed mean latency of each route's answers, microseconds.
  std::map<std::string, double> Latencies_;
};

} // namespace kumquatpitch

#endif
