// An HTTP/1.1 server on Asio for one address: kept connections, pipelined
// requests answered in order, limits and timeouts of callers. It hands whole
// requests to a handler and decides nothing about them. Runs on one thread.

#ifndef KUMQUATPITCH_HTTP_SERVER_H
#define KUMQUATPITCH_HTTP_SERVER_H

#include "kumquatpitch/message-parser.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/routing-config.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>

namespace kumquatpitch {

/// A request that waits for its answer. Kept alive by its handler.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpMessage &request() const = 0;
  /// Answers the request; only the first call counts.
  virtual void answer(HttpMessage Answer) = 0;
  /// Sets what is called when the caller leaves before the answer.
  virtual void onCallerGone(std::function<void()> Callback) = 0;
};

class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  /// Takes a whole request, and answers it at any time.
  virtual void handle(std::shared_ptr<HttpExchange> Exchange) = 0;

  /// Makes the answer to bytes that are no acceptable request.
  virtual HttpMessage reject(ResultCode Code) = 0;
};

class HttpSession;

class HttpServer {
public:
  HttpServer(asio::io_context &Context, HttpHandler &Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens; keeps at most `MaxConnections`. Fails with SettingsInvalid.
  Result<void> listen(const Endpoint &At, std::size_t MaxConnections);

  /// Applies to requests that begin later.
  void setLimits(const CallerLimits &Limits) { Limits_ = Limits; }

  /// Lets each connection end after the answers that are due on it. A request
  /// may be on its way on an idle one: that is closed with its next answer.
  void drain() { IsDraining_ = true; }

  std::size_t connections() const { return Sessions_.size(); }
  std::size_t requestsInProgress() const;

private:
  friend class HttpSession;

  void accept();

  asio::io_context &Context_;
  HttpHandler &Handler_;
  asio::ip::tcp::acceptor Acceptor_;
  asio::steady_timer RetryTimer_; ///< Runs after accepting failed.
  CallerLimits Limits_;
  std::size_t MaxConnections_ = 0;
  bool IsDraining_ = false;
  std::set<std::shared_ptr<HttpSession>>
      Sessions_; ///< At most MaxConnections_.
};

} // namespace kumquatpitch

#endif
