// Accepts callers' connections with Asio, reads whole requests and writes
// answers. A connection occupies a worker thread only while a complete request
// is handled, so idle, slow and silent callers occupy none. What is answered is
// decided by the CallerHandler.

#ifndef KUMQUATPITCH_HTTP_FRONT_H
#define KUMQUATPITCH_HTTP_FRONT_H

#include "kumquatpitch/http-message.h"
#include "kumquatpitch/logger.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/unread-answers.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/thread_pool.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace kumquatpitch {

/// Notifies a handler when the caller's connection closes. Thread-safe.
class CallerPresence {
public:
  /// Calls `Callback` once when the caller disconnects, or immediately when it
  /// already has. An empty function unsubscribes.
  void onDisconnect(std::function<void()> Callback);

  /// Called by the front when the connection broke or was closed.
  void markDisconnected();

private:
  std::mutex Mutex_;
  bool IsDisconnected_ = false;
  std::function<void()> Callback_;
};

/// Answers callers' requests.
class CallerHandler {
public:
  virtual ~CallerHandler() = default;

  /// Returns the size limit of a request's body, in bytes.
  virtual std::uint64_t maxBodyBytes(const CustomerName &Customer,
                                     std::string_view Method,
                                     std::string_view Target) = 0;

  /// Handles one request on a worker thread; may block that thread.
  virtual HttpResponse handle(const CustomerName &Customer,
                              const HttpRequest &Request,
                              CallerPresence &Presence) = 0;
};

/// Resource limits and timeouts of the front.
struct FrontLimits {
  std::size_t MaxConnections_ = 4'000;
  std::size_t MaxWorkers_ = 64;           ///< Concurrent requests.
  std::size_t MaxBufferBytes_ = 64 << 20; ///< Over all connections; once for
                                          ///< requests, once for answers.
  std::chrono::milliseconds RequestTimeout_{10'000}; ///< First to last byte.
  std::chrono::milliseconds IdleTimeout_{60'000};
  std::chrono::milliseconds WriteTimeout_{10'000};

  bool operator==(const FrontLimits &) const = default;
};

namespace detail {
class CallerSession;
} // namespace detail

/// HTTP/1.1 server for callers, with one listener for each customer.
class HttpFront {
public:
  HttpFront(asio::io_context &Context, CallerHandler &Handler,
            FrontLimits Limits);
  ~HttpFront();
  HttpFront(const HttpFront &) = delete;
  HttpFront &operator=(const HttpFront &) = delete;

  /// Listens for one customer's callers. Fails with SettingsInvalid when the
  /// address cannot be bound; the message names it.
  Result<void> listen(const CustomerName &Customer, const Endpoint &Address);

  /// Stops accepting connections. Idle connections are closed after their next
  /// answer.
  void stopAccepting();

  /// Waits until no handler runs. No handler starts after this returns.
  void join();

  std::size_t connections() const { return Connections_; }
  std::size_t busyWorkers() const { return BusyWorkers_; }
  /// Connections with a request that is handled, or with an answer that is
  /// written or that the caller may not have read to its end.
  std::size_t busyConnections() const { return BusyConnections_; }

  /// Answers whose connections were closed before their callers had read them,
  /// since all together held more than MaxBufferBytes_.
  std::uint64_t droppedAnswers() const { return Unread_->dropped(); }

  /// Bytes of requests and answers that the connections hold.
  std::size_t heldBytes() const { return HeldBytes_ + Unread_->bytes(); }

private:
  friend class detail::CallerSession;

  struct Listener {
    Listener(asio::io_context &Context, CustomerName Name)
        : Acceptor_(Context), Customer_(std::move(Name)) {}

    asio::ip::tcp::acceptor Acceptor_;
    CustomerName Customer_;
  };

  void accept(const std::shared_ptr<Listener> &Source);

  asio::io_context &Context_;
  CallerHandler &Handler_;
  const FrontLimits Limits_;
  asio::thread_pool Workers_;
  std::vector<std::shared_ptr<Listener>> Listeners_;
  std::atomic<bool> IsStopping_{false};
  std::atomic<std::size_t> Connections_{0};     ///< At most MaxConnections_.
  std::atomic<std::size_t> BusyWorkers_{0};     ///< At most MaxWorkers_.
  std::atomic<std::size_t> BusyConnections_{0}; ///< At most Connections_.
  std::atomic<std::size_t> HeldBytes_{0}; ///< At most about MaxBufferBytes_.
  /// Shared with the connections, which the context may keep for longer.
  const std::shared_ptr<UnreadAnswers> Unread_;
};

} // namespace kumquatpitch

#endif
