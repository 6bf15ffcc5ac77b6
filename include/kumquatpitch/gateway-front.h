// Carries callers' requests through GatewayCore: admits them, makes the
// attempts it orders, and answers. Handles the requests of one HttpServer.
// Makes no decision of its own. Runs on one thread.

#ifndef KUMQUATPITCH_GATEWAY_FRONT_H
#define KUMQUATPITCH_GATEWAY_FRONT_H

#include "kumquatpitch/event-log.h"
#include "kumquatpitch/gateway-core.h"
#include "kumquatpitch/http-client.h"
#include "kumquatpitch/http-server.h"
#include "kumquatpitch/metrics.h"
#include "kumquatpitch/timer-service.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace kumquatpitch {

/// Names of the headers that callers, hosts and backend servers use.
struct GatewayHeaders {
  std::string RequestId_ = "Kumquatpitch-Request-Id";
  std::string DeadlineMs_ = "Kumquatpitch-Deadline-Ms";
  std::string ExpectedTarget_ = "Kumquatpitch-Target";
  std::string AnswerSignature_ = "Kumquatpitch-Answer-Signature";
  std::string NotRun_ = "Kumquatpitch-Not-Run";
  std::string TargetLoad_ = "Kumquatpitch-Target-Load";

  bool operator==(const GatewayHeaders &) const = default;
};

/// Takes evidence about targets for the other hosts.
class EvidenceSink {
public:
  virtual ~EvidenceSink() = default;
  virtual void evidence(const TargetEntry &Target, TargetNews News) = 0;
};

/// What a flow needs; all outlive the front.
struct GatewayParts {
  asio::io_context &Context_;
  TimerService &Timers_;
  GatewayCore &Core_;
  HttpClient &Client_;
  EventLog &Log_;
  Metrics &Metrics_;
  EvidenceSink &Evidence_;
  GatewayHeaders Headers_;
};

class GatewayFlow;

class GatewayFront : public HttpHandler {
public:
  explicit GatewayFront(GatewayParts Parts);
  ~GatewayFront() override;

  void handle(std::shared_ptr<HttpExchange> Exchange) override;
  HttpMessage reject(ResultCode Code) override;

  /// Refuses further requests as not run: the host is about to end.
  void refuseNew() { RefusesNew_ = true; }

  /// Goes on with the waiting requests for which there is room.
  void releaseWaiting();

private:
  friend class GatewayFlow;

  GatewayParts Parts_;
  TimerSubscription Release_ = 0;
  /// Flows of the requests that wait for room.
  std::map<const GatewayRequest *, std::shared_ptr<GatewayFlow>> Waiting_;
  bool RefusesNew_ = false;
};

} // namespace kumquatpitch

#endif
