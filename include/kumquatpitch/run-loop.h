// Runs a daemon's event loop. One handler that throws does not end the process,
// and requests that were received when the loop stopped still get an answer.
// Used by GatewayDaemon.

#ifndef KUMQUATPITCH_RUN_LOOP_H
#define KUMQUATPITCH_RUN_LOOP_H

#include "kumquatpitch/time-point.h"

#include <asio/io_context.hpp>
#include <functional>

namespace kumquatpitch {

/// Called with the text of an exception that a handler threw.
using HandlerFailed = std::function<void(const char *)>;

/// Runs `Context` until it is stopped or has no work left. The handlers that
/// follow one that throws run as usual.
void runUntilStopped(asio::io_context &Context, const HandlerFailed &OnFailure);

/// Runs the handlers of a stopped `Context` until none is ready, and for at
/// most `Limit`. Leaves it stopped.
void runReadyHandlers(asio::io_context &Context, Duration Limit,
                      const HandlerFailed &OnFailure);

} // namespace kumquatpitch

#endif
