// What the core hands to io after an event: steps of requests, attempts to end
// and connections to close.

#ifndef KUMQUATPITCH_CORE_ACTION_H
#define KUMQUATPITCH_CORE_ACTION_H

#include "kumquatpitch/attempt.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/result-code.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace kumquatpitch {

/// Counts requests of one incarnation; never reused.
using FlowId = std::uint64_t;

/// A caller's request as far as the core decides on it.
struct CallerRequest {
  CustomerName Customer_; ///< From the port that it came in by.
  std::string Method_;
  std::string Target_;               ///< Path and query.
  std::optional<Duration> Deadline_; ///< What is left, from the caller.
  std::string Token_;                ///< Empty without one.
  std::string RequestId_;            ///< Empty without one.
  std::uint32_t Resend_ = 0;

  bool operator==(const CallerRequest &) const = default;
};

/// The request waits for a slot; a later step tells how it goes on.
struct Wait {
  bool operator==(const Wait &) const = default;
};

/// The answer of the attempt that just ended is the caller's.
struct Deliver {
  bool operator==(const Deliver &) const = default;
};

/// The request ends without a backend server's answer.
struct RequestRefusal {
  ResultCode Code_ = ResultCode::InternalError;
  Outcome Outcome_ = Outcome::Unknown;
  std::string Message_;
  std::vector<Endpoint> Hosts_; ///< Where to send it instead, if anywhere.

  bool operator==(const RequestRefusal &) const = default;
};

using NextStep = std::variant<Wait, AttemptOrder, Deliver, RequestRefusal>;

/// The next step of one request.
struct FlowStep {
  FlowId Flow_ = 0;
  NextStep Step_;

  bool operator==(const FlowStep &) const = default;
};

/// A running attempt is to end; its report follows as usual.
struct CancelAttempt {
  AttemptId Attempt_ = 0;
  AttemptEnd Reason_ = AttemptEnd::Cancelled;

  bool operator==(const CancelAttempt &) const = default;
};

/// Kept connections to an address are not to be used again.
struct CloseConnections {
  Endpoint Address_;

  bool operator==(const CloseConnections &) const = default;
};

/// The platform is to be asked; the reply goes to HostCore::onPlatformReply.
struct PlatformCall {
  std::string Key_;
  bool IsWatch_ = false;
  std::uint64_t After_ = 0; ///< Of a watch.
  Duration Wait_{};         ///< Of a watch.

  bool operator==(const PlatformCall &) const = default;
};

using CoreAction =
    std::variant<FlowStep, CancelAttempt, CloseConnections, PlatformCall>;
using CoreActions = std::vector<CoreAction>;

} // namespace kumquatpitch

#endif
