// Handles callers' requests of one HttpServer: has GatewayCore admit them,
// sends the attempts that it decides on to backend servers, and answers the
// callers. Makes no decision of its own. Runs on one thread.

#ifndef KUMQUATPITCH_GATEWAY_FRONT_H
#define KUMQUATPITCH_GATEWAY_FRONT_H

#include "kumquatpitch/event-log.h"
#include "kumquatpitch/gateway-core.h"
#include "kumquatpitch/gateway-headers.h"
#include "kumquatpitch/http-client.h"
#include "kumquatpitch/http-server.h"
#include "kumquatpitch/metrics.h"
#include "kumquatpitch/timer-service.h"
#include "kumquatpitch/unframed-services.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace kumquatpitch {

/// Sends what this host observed about targets to the other hosts.
class EvidenceSink {
public:
  virtual ~EvidenceSink() = default;
  virtual void broadcastEvidence(const TargetEntry &Target,
                                 TargetObservation Observation) = 0;
  /// Called for each answer in which a target says that it leaves.
  virtual void targetLeaves(const TargetEntry &Target) = 0;
};

/// Everything that a request in progress uses. All of it outlives the front.
struct GatewayDependencies {
  asio::io_context &Context_;
  TimerService &Timers_;
  GatewayCore &Core_;
  HttpClient &Client_;
  EventLog &Log_;
  Metrics &Metrics_;
  EvidenceSink &EvidenceSink_;
  const UnframedServices &UnframedServices_;
  GatewayHeaders Headers_;
  std::uint64_t MaxAnswerBytes_ = 8 << 20; ///< Longest answer of a target.
};

class ActiveGatewayRequest;

class GatewayFront : public HttpHandler {
public:
  explicit GatewayFront(GatewayDependencies Dependencies);
  ~GatewayFront() override;

  void handle(std::shared_ptr<HttpExchange> Exchange) override;
  HttpMessage reject(ResultCode Code) override;
  HttpMessage rejectRequest(ResultCode Code,
                            const HttpMessage &Request) override;
  std::string requestId(const HttpMessage &Request) const override;
  void closingSlowCaller(const SlowCaller &Caller) override;

  /// Refuses further requests as not run, because the host is about to stop.
  void rejectNewRequests() { RejectsNewRequests_ = true; }

  /// Continues the waiting requests that GatewayCore can now place or refuse.
  void resumeWaitingRequests();

private:
  friend class ActiveGatewayRequest;

  GatewayDependencies Dependencies_;
  TimerSubscription ResumeSubscription_ = 0;
  /// Requests that wait for a free slot at a target.
  std::map<const GatewayRequest *, std::shared_ptr<ActiveGatewayRequest>>
      Waiting_;
  bool RejectsNewRequests_ = false;
  PredictionLog Predictions_;
};

} // namespace kumquatpitch

#endif
