// Numbered result codes of the system and the possible outcomes of a failed
// request. docs/errors.md holds the same table; a test compares the two.

#ifndef KUMQUATPITCH_RESULT_CODE_H
#define KUMQUATPITCH_RESULT_CODE_H

#include <cstdint>
#include <vector>

namespace kumquatpitch {

/// Whether a request was executed, as far as the host can know, when the caller
/// does not receive the backend server's answer.
enum class Outcome : std::uint8_t {
  NotRun,  ///< No byte reached a backend server, or it refused the request.
  Ran,     ///< The backend server ran the request.
  Unknown, ///< The request may or may not have run.
};

/// Result codes. The first digit names the area: 1 settings and command line,
/// 2 published documents, 3 caller's request, 4 backend server, 5 limits,
/// 6 peers, 7 platform, 9 internal.
enum class ResultCode : std::uint16_t {
  Ok = 0,
  UsageError = 1001,
  SettingsUnreadable = 1002,
  SettingsInvalid = 1003,
  HostUnreachable = 1004,
  DocumentMalformed = 2001,
  DocumentInvalid = 2002,
  DocumentTooLarge = 2003,
  DocumentStale = 2004,
  DocumentHashMismatch = 2005,
  RequestMalformed = 3001,
  RequestHeadTooLarge = 3002,
  RequestBodyTooLarge = 3003,
  RouteUnknown = 3004,
  ServiceUnknown = 3005,
  WrongHost = 3006,
  TokenInvalid = 3007,
  TokenForeign = 3008,
  TokenExpired = 3009,
  RequestDuplicate = 3010,
  RequestIncomplete = 3011,
  CallerGone = 3012,
  RequestAlreadyRan = 3013,
  KeyUnknown = 3014,
  KeyUnproven = 3015,
  BackendUnreachable = 4001,
  BackendRefused = 4002,
  BackendTimeout = 4003,
  BackendBroken = 4004,
  AnswerNotDelimited = 4005,
  AnswerTooLarge = 4006,
  AnswerMismatched = 4007,
  NoTarget = 4008,
  DeadlinePassed = 5001,
  RateExceeded = 5002,
  InProgressExceeded = 5003,
  QueueFull = 5004,
  QueueWaitTooLong = 5005,
  WorkersBusy = 5006,
  RegistryFull = 5007,
  HostLeaving = 5008,
  BuffersFull = 5009,
  PeerMessageMalformed = 6001,
  PeerVersionUnknown = 6002,
  PeerNotListed = 6003,
  PeerMessageTooLarge = 6004,
  PlatformUnreachable = 7001,
  PlatformMalformed = 7002,
  NotReady = 7003,
  InternalError = 9001,
};

/// Stable name of a code, such as `backend_timeout`.
const char *resultCodeName(ResultCode Code);

/// Returns `not-run`, `ran` or `unknown`.
const char *outcomeName(Outcome Value);

/// HTTP status of an answer that reports the code to a caller.
int httpStatus(ResultCode Code);

/// Exit status of a command that ends with this code: 0 for Ok, otherwise the
/// first digit of the code.
int exitStatus(ResultCode Code);

/// All codes in ascending order.
const std::vector<ResultCode> &allResultCodes();

} // namespace kumquatpitch

#endif
