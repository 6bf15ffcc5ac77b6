// Event loop that survives exceptions of handlers. See run-loop.h.

#include "kumquatpitch/run-loop.h"

#include <chrono>
#include <exception>

namespace kumquatpitch {

void runUntilStopped(asio::io_context &Context,
                     const HandlerFailed &OnFailure) {
  for (;;) {
    try {
      Context.run();
      return;
    } catch (const std::exception &Error) {
      OnFailure(Error.what());
    }
  }
}

void runReadyHandlers(asio::io_context &Context, Duration Limit,
                      const HandlerFailed &OnFailure) {
  const std::chrono::steady_clock::time_point End =
      std::chrono::steady_clock::now() + Limit;
  std::size_t Ran = 1;
  while (Ran > 0 && std::chrono::steady_clock::now() < End) {
    try {
      Context.restart();
      Ran = Context.poll();
    } catch (const std::exception &Error) {
      OnFailure(Error.what());
    }
  }
  Context.stop();
}

} // namespace kumquatpitch
