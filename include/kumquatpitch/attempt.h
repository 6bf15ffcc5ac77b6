// One attempt of a request at a backend server: the order that the core gives
// to the I/O layer, and the report that the I/O layer returns at its end.

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

/// Sequence number of an attempt within one incarnation; never reused.
using AttemptId = std::uint64_t;

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t {
  Answered,      ///< The complete answer to this attempt arrived.
  Refused,       ///< The answer carries the service's refusal marker.
  ConnectFailed, ///< No connection was made, so no byte was written.
  NotWritten,    ///< Given up before the first byte was written.
  TimedOut,      ///< Written; no complete answer before the deadline.
  Broken,        ///< Written; the connection broke or the answer was truncated.
  Cancelled,     ///< The caller disconnected.
  NotDelimited,  ///< The answer has no length and is not chunked.
  TooLarge,      ///< The answer exceeds the contract's size limit.
  Mismatched,    ///< The answer carries another attempt's id.
};

/// True when the request cannot have run at the backend server: either no byte
/// of it can have arrived there, or the server refused it.
constexpr bool provesNotRun(AttemptEnd End) {
  return End == AttemptEnd::Refused || End == AttemptEnd::ConnectFailed ||
         End == AttemptEnd::NotWritten;
}

/// An attempt for the I/O layer to make.
struct AttemptOrder {
  AttemptId Id_ = 0;
  std::string WireId_; ///< Unique across incarnations; some services echo it.
  ServiceName Service_;
  TargetId Target_;
  Endpoint Address_;
  TimePoint Deadline_;
  bool RequiresNewConnection_ = false; ///< No pooled connection may be used.
  std::size_t MaxIdleConnections_ = 0; ///< Limit of the address's idle pool.
  std::uint64_t MaxAnswerBytes_ = 0;
  std::string EchoHeader_;
  Marker Refusal_;
  Marker Drain_;
  std::string LoadHeader_;

  bool operator==(const AttemptOrder &) const = default;
};

/// The result of an attempt, reported by the I/O layer.
struct AttemptReport {
  AttemptEnd End_ = AttemptEnd::NotWritten;
  Duration Latency_{}; ///< From the first byte written to the attempt's end.
  bool NewConnection_ = false; ///< The attempt opened its connection.
  bool Draining_ = false;      ///< The answer carries the drain marker.
  std::optional<double> Load_; ///< Reported load, 0 to 100.
  int HttpStatus_ = 0;         ///< 0 unless Answered or Refused.

  bool operator==(const AttemptReport &) const = default;
};

} // namespace kumquatpitch

#endif
