// An HTTP/1.1 server on Asio that listens on one address. It owns the callers'
// connections: keep-alive, pipelining with responses in request order, and the
// limits and timeouts for callers. Complete requests go to a handler, which
// makes all decisions about them. Runs on one thread.

#ifndef KUMQUATPITCH_HTTP_SERVER_H
#define KUMQUATPITCH_HTTP_SERVER_H

#include "kumquatpitch/buffer-budget.h"
#include "kumquatpitch/message-parser.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/request-id-list.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/routing-config.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>

namespace kumquatpitch {

/// A request and its pending response. The handler keeps it alive.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpMessage &request() const = 0;
  /// Sends the response; calls after the first are ignored.
  virtual void answer(HttpMessage Response) = 0;
  /// Sets the callback for a caller that disconnects before the response.
  virtual void onCallerGone(std::function<void()> Callback) = 0;
};

/// A connection that is closed because its caller does not read.
struct SlowCaller {
  std::string Address_; ///< `unknown` if the caller has left meanwhile.
  std::uint64_t UnreadBytes_ = 0;
  RequestIdList Unread_; ///< Requests whose responses are lost.

  bool operator==(const SlowCaller &) const = default;
};

class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  /// Handles a complete request; may answer it at any later time. If it throws,
  /// the server answers with reject(InternalError) and the exception goes to
  /// the event loop.
  virtual void handle(std::shared_ptr<HttpExchange> Exchange) = 0;

  /// Builds the response to input that is not an acceptable request.
  virtual HttpMessage reject(ResultCode Code) = 0;

  /// The same, with the method, if the head is complete, and those headers that
  /// are.
  virtual HttpMessage rejectRequest(ResultCode Code,
                                    const HttpMessage & /*Request*/) {
    return reject(Code);
  }

  /// Id by which the log names a request; empty if it has none.
  virtual std::string requestId(const HttpMessage & /*Request*/) const {
    return {};
  }

  /// A connection is closed since its caller has left the most bytes of
  /// responses unread while there is no memory left for responses.
  virtual void closingSlowCaller(const SlowCaller & /*Caller*/) {}
};

class HttpSession;

class HttpServer {
public:
  HttpServer(asio::io_context &Context, HttpHandler &Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts listening. Connections beyond `MaxConnections` are closed at once.
  /// Fails with SettingsInvalid.
  Result<void> listen(const Endpoint &ListenEndpoint,
                      std::size_t MaxConnections);

  /// The size limits apply to connections accepted later, the timeouts also to
  /// open ones.
  void setLimits(const CallerLimits &Limits) { Limits_ = Limits; }

  /// Limits the bytes of request bodies that all connections hold together. A
  /// request whose body would exceed it is refused with BuffersFull, once its
  /// length is known.
  void setMaxBufferedBytes(std::uint64_t Limit) { Bodies_.setLimit(Limit); }

  /// Bytes of request bodies that the connections hold.
  std::uint64_t bufferedBytes() const { return Bodies_.held(); }

  /// Limits the bytes of responses that all connections hold until their
  /// callers have read them. Beyond it, the connection that holds most is
  /// closed.
  void setMaxResponseBytes(std::uint64_t Limit) { MaxResponseBytes_ = Limit; }

  /// Sets how long a caller may take nothing of a response before its
  /// connection is closed. 10 s by default.
  void setWriteTimeout(Duration Timeout) { WriteTimeout_ = Timeout; }

  /// Bytes of responses that the connections hold.
  std::uint64_t responseBytes() const { return ResponseBytes_; }

  /// Closes each connection after its pending responses. An idle connection
  /// stays open until its next response, since a request may be in flight.
  void drain() { IsDraining_ = true; }

  std::size_t connections() const { return Sessions_.size(); }
  /// Requests without a response, and connections whose responses are being
  /// written or may still be on the way. Until it is 0, ending the process cuts
  /// responses.
  std::size_t requestsInProgress() const;

private:
  friend class HttpSession;

  void accept();
  void boundResponses();

  asio::io_context &Context_;
  HttpHandler &Handler_;
  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_; ///< Delays the next accept after a failure.
  CallerLimits Limits_;
  BufferBudget Bodies_{64 << 20};
  std::uint64_t MaxResponseBytes_ = 64 << 20;
  std::uint64_t ResponseBytes_ = 0; ///< Sum of all connections.
  Duration WriteTimeout_ = std::chrono::seconds(10);
  std::size_t MaxConnections_ = 0;
  bool IsDraining_ = false;
  std::set<std::shared_ptr<HttpSession>>
      Sessions_; ///< At most MaxConnections_.
};

} // namespace kumquatpitch

#endif
