// One try of a request at a backend server: what the core orders, and what io
// reports when it ended.

#ifndef KUMQUATPITCH_ATTEMPT_H
#define KUMQUATPITCH_ATTEMPT_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/service-entry.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <optional>
#include <string>

namespace kumquatpitch {

/// Counts attempts of one incarnation; never reused.
using AttemptId = std::uint64_t;

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  Answered,      ///< A whole answer of this attempt arrived.
  Refused,       ///< The answer carries the service's refusal marker.
  ConnectFailed, ///< No connection, so no byte was written.
  NotWritten,    ///< Given up before the first byte was written.
  TimedOut,      ///< Written, and no whole answer before the deadline.
  Broken,        ///< Written, and the connection broke or the answer was cut.
  Cancelled,     ///< The caller left.
  NotDelimited,  ///< The answer has no length and is not chunked.
  TooLarge,      ///< The answer exceeds the contract's size.
  Mismatched,    ///< The answer carries another attempt's id.
};

/// True when no byte of the request can have reached the backend server or it
/// refused the request, so the request did not run there.
constexpr bool provesNotRun(AttemptEnd End) {
  return End == AttemptEnd::Refused || End == AttemptEnd::ConnectFailed ||
         End == AttemptEnd::NotWritten;
}

/// What io is to send where.
struct AttemptOrder {
  AttemptId Id_ = 0;
  std::string WireId_; ///< Unique over incarnations; echoed by some services.
  ServiceName Service_;
  TargetId Target_;
  Endpoint Address_;
  TimePoint Deadline_;
  bool FreshConnection_ = false; ///< Kept connections must not be used.
  std::size_t MaxKept_ = 0;      ///< Idle connections to keep at the address.
  std::uint64_t MaxAnswerBytes_ = 0;
  std::string EchoHeader_;
  Marker Refusal_;
  Marker Drain_;
  std::string LoadHeader_;

  bool operator==(const AttemptOrder &) const = default;
};

/// What io reports of an attempt that ended.
struct AttemptReport {
  AttemptEnd End_ = AttemptEnd::NotWritten;
  Duration Latency_{};         ///< From the first byte written to the end.
  bool NewConnection_ = false; ///< The attempt opened its connection.
  bool Draining_ = false;      ///< The answer carries the drain marker.
  std::optional<double> Load_; ///< Reported load, 0 to 100.
  int HttpStatus_ = 0;         ///< 0 unless Answered or Refused.

  bool operator==(const AttemptReport &) const = default;
};

} // namespace kumquatpitch

#endif
