// How an attempt at a target ended, as the gateway's front sees it and its core
// judges it. Values only.

#ifndef KUMQUATPITCH_ATTEMPT_OUTCOME_H
#define KUMQUATPITCH_ATTEMPT_OUTCOME_H

#include <cstdint>

namespace kumquatpitch {

/// How an attempt ended, as seen on the connection.
enum class AttemptOutcome : std::uint8_t {
  Success,       ///< Complete successful response.
  Failure,       ///< Complete response with an error.
  Refused,       ///< The target reports that it did not execute the request.
  OtherInstance, ///< Another instance has the address; it executed nothing.
  NotConnected,  ///< No byte was sent.
  Broken,        ///< Sent; the response is missing, truncated or malformed.
  TimedOut,      ///< Sent; no response before the request's deadline.
  Cancelled,     ///< The caller disconnected or another attempt won.
};

/// Stable name of an outcome for logs, such as `not_connected`.
const char *attemptOutcomeName(AttemptOutcome Outcome);

} // namespace kumquatpitch

#endif
