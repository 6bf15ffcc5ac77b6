// The actions that HostCore returns to the I/O layer after an event: the next
// step of a request, an attempt to cancel, pooled connections to close, or a
// call to the platform.

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

/// Sequence number of a request within one incarnation; never reused.
using FlowId = std::uint64_t;

/// The parts of a caller's request that the core's decisions depend on.
struct CallerRequest {
  CustomerName Customer_; ///< Determined by the listening port.
  std::string Method_;
  std::string Target_;               ///< Path and query.
  std::optional<Duration> Deadline_; ///< Time left, sent by the caller.
  std::string Token_;                ///< Empty without one.
  std::string RequestId_;            ///< Empty without one.
  std::uint32_t Resend_ = 0;

  bool operator==(const CallerRequest &) const = default;
};

/// The request is queued for a slot; a later FlowStep starts or refuses it.
struct Wait {
  bool operator==(const Wait &) const = default;
};

/// Send the answer of the attempt that just ended to the caller.
struct Deliver {
  bool operator==(const Deliver &) const = default;
};

/// Send the caller a refusal instead of a backend server's answer.
struct RequestRefusal {
  ResultCode Code_ = ResultCode::InternalError;
  Outcome Outcome_ = Outcome::Unknown;
  std::string Message_;
  std::vector<Endpoint> Hosts_; ///< Alternative hosts; may be empty.

  bool operator==(const RequestRefusal &) const = default;
};

using NextStep = std::variant<Wait, AttemptOrder, Deliver, RequestRefusal>;

/// The next step of one request.
struct FlowStep {
  FlowId Flow_ = 0;
  NextStep Step_;

  bool operator==(const FlowStep &) const = default;
};

/// Cancel a running attempt. Its AttemptReport follows as for any other.
struct CancelAttempt {
  AttemptId Attempt_ = 0;
  AttemptEnd Reason_ = AttemptEnd::Cancelled;

  bool operator==(const CancelAttempt &) const = default;
};

/// Stop reusing the pooled connections to an address.
struct CloseConnections {
  Endpoint Address_;

  bool operator==(const CloseConnections &) const = default;
};

/// Read or watch a key of the platform. The reply is to be passed to
/// HostCore::onPlatformReply.
struct PlatformCall {
  std::string Key_;
  bool IsWatch_ = false;
  std::uint64_t After_ = 0; ///< Only for a watch.
  Duration Wait_{};         ///< Only for a watch.

  bool operator==(const PlatformCall &) const = default;
};

using CoreAction =
    std::variant<FlowStep, CancelAttempt, CloseConnections, PlatformCall>;
using CoreActions = std::vector<CoreAction>;

} // namespace kumquatpitch

#endif
