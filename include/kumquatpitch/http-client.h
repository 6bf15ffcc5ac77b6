// HTTP/1.1 calls over kept connections on Asio, one request at a time on a
// connection. A call ends with a whole answer, or with what is known about
// whether the request was sent. Used for backend servers and for the platform.
// Runs on one thread.

#ifndef KUMQUATPITCH_HTTP_CLIENT_H
#define KUMQUATPITCH_HTTP_CLIENT_H

#include "kumquatpitch/message-parser.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/time-point.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace kumquatpitch {

/// How a call ended.
enum class CallEnd : std::uint8_t {
  Answered,     ///< A whole answer.
  NotConnected, ///< No byte of the request was sent.
  Broken,       ///< Sent; the answer is missing, cut or no HTTP.
  TimedOut,     ///< Sent; the time was up.
};

struct CallResult {
  CallEnd End_ = CallEnd::NotConnected;
  HttpMessage Answer_; ///< With Answered.
  std::string Detail_; ///< For the log: what failed.
};

/// What is called, and for how long to wait.
struct CallTerms {
  Endpoint At_;
  Duration ConnectTimeout_{};
  Duration Timeout_{}; ///< From now to the whole answer.
  /// Longest time that a reused connection may have idled.
  Duration MaxIdle_{};
  /// Header in which the answer repeats `Echo_`; answers that name another
  /// value belong to earlier requests and are passed over. Empty: unchecked.
  std::string EchoHeader_;
  std::string Echo_;
  std::uint64_t MaxAnswerBytes_ = 0;
};

class HttpClientConnection;

class HttpClient {
public:
  using Callback = std::function<void(CallResult)>;

  /// Ends a call without an answer; it must not be used after the callback.
  class Call {
  public:
    virtual ~Call() = default;
    /// Closes the connection. The callback is not called.
    virtual void cancel() = 0;
  };

  explicit HttpClient(asio::io_context &Context);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends `Request`, which must be a whole HTTP/1.1 request. Calls back
  /// exactly once, not before it returns, unless the call is cancelled.
  std::shared_ptr<Call> call(const CallTerms &Terms, std::string Request,
                             Callback OnEnd);

  /// Closes idle connections to `At`.
  void closeIdle(const Endpoint &At);

  std::size_t idle() const;

private:
  friend class HttpClientConnection;

  std::shared_ptr<HttpClientConnection> takeIdle(const CallTerms &Terms);
  void keep(const std::shared_ptr<HttpClientConnection> &Idle);
  void forget(const HttpClientConnection *Idle);

  asio::io_context &Context_;
  /// Idle connections, the one used last at the end.
  std::map<Endpoint, std::list<std::shared_ptr<HttpClientConnection>>> Idle_;
};

} // namespace kumquatpitch

#endif
