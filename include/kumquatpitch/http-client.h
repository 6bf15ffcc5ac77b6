// An HTTP/1.1 client on Asio with a pool of persistent connections, each of
// which carries one request at a time. A call ends with a complete response, or
// with a failure that states whether the request may have been sent. Used for
// backend servers and for the platform. Runs on one thread.

#ifndef KUMQUATPITCH_HTTP_CLIENT_H
#define KUMQUATPITCH_HTTP_CLIENT_H

#include "kumquatpitch/message-parser.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/response-match.h"
#include "kumquatpitch/time-point.h"

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kumquatpitch {

/// How a call ended.
enum class CallEnd : std::uint8_t {
  Answered,     ///< A complete response was received.
  NotConnected, ///< No byte of the request was sent.
  Broken,       ///< Sent, but the response is missing, truncated or not HTTP.
  TimedOut,     ///< Sent, but no complete response came before the timeout.
};

struct CallResult {
  CallEnd End_ = CallEnd::NotConnected;
  HttpMessage Answer_;       ///< The response; set only with Answered.
  std::string Detail_;       ///< What failed, for the log.
  int SkippedResponses_ = 0; ///< Responses to other requests.
  bool IsEarly_ = false;     ///< Answered before the whole request was written.
  bool HasSecondResponse_ = false; ///< A second one began inside it.
  bool IsUnprovable_ = false; ///< Broken, since its end would prove nothing.
  bool IsTooLong_ = false;    ///< Broken, since it exceeds MaxAnswerBytes_.
  /// The response ended like the beginning of another one, and counts as whole
  /// because nothing followed.
  bool WasHeld_ = false;
  /// Bytes that arrived together with the end of the response and do not belong
  /// to it.
  std::size_t StrayBytes_ = 0;
};

/// Bytes that a server sent while its connection carried no call.
struct IdleBytes {
  Endpoint Server_;
  std::string LastRequestId_; ///< Of the last call; empty if it had none.
  std::string Start_;         ///< The first bytes.
  std::size_t Size_ = 0;

  bool operator==(const IdleBytes &) const = default;
};

/// The server to call, the timeouts and the limits of one call.
struct CallOptions {
  Endpoint Endpoint_;
  Duration ConnectTimeout_{};
  Duration Timeout_{}; ///< From the call to the complete response.
  /// Above 0, Timeout_ bounds each wait for bytes of the response instead, and
  /// the call as a whole may last longer by the time that its bytes take at
  /// this rate. A long response then passes a slow link, while one that stops
  /// or trickles still ends.
  std::uint64_t MinBytesPerSecond_ = 0;
  /// A connection is reused only if it has been idle for less than this.
  Duration MaxIdle_{};
  /// Responses to other requests are skipped; one that may belong to any
  /// request breaks the call. The call is not made on a connection that has
  /// carried a request with the same id.
  RequestEcho Echo_;
  std::uint64_t MaxAnswerBytes_ = 0;
  /// A response that ends with its connection is taken. Otherwise the call is
  /// broken as soon as its head is complete: such a response may have been cut.
  bool AcceptsUnframed_ = false;
  bool IsHead_ = false; ///< The request's method is HEAD.
};

/// A serialized request. The body is shared with its owner, so that a long one
/// is held once, however many attempts send it.
struct OutgoingRequest {
  std::string Head_; ///< With the body, if Body_ is null.
  std::shared_ptr<const std::string> Body_;

  bool operator==(const OutgoingRequest &) const = default;
};

class HttpClientConnection;

class HttpClient {
public:
  using Callback = std::function<void(CallResult)>;
  using IdleBytesCallback = std::function<void(const IdleBytes &)>;

  /// Handle of a call in progress. Must not be used after the callback.
  class Call {
  public:
    virtual ~Call() = default;
    /// Closes the connection; the callback is not called.
    virtual void cancel() = 0;
  };

  explicit HttpClient(asio::io_context &Context);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends `Request`, which must be a complete HTTP/1.1 request. Unless the
  /// call is cancelled, `OnEnd` is called exactly once, after this function has
  /// returned.
  std::shared_ptr<Call> call(const CallOptions &Options,
                             OutgoingRequest Request, Callback OnEnd);

  /// Closes the idle connections to `Server`.
  void closeIdle(const Endpoint &Server);

  std::size_t idleConnections() const;

  /// `OnIdleBytes` is called when bytes arrive on an idle connection, which is
  /// then closed.
  void setOnIdleBytes(IdleBytesCallback OnIdleBytes) {
    OnIdleBytes_ = std::move(OnIdleBytes);
  }

  /// Limits the bytes of bodies that all calls in progress hold together, as
  /// allocated. Beyond it, the call that holds most is broken.
  void setMaxBufferedBytes(std::uint64_t Limit) { MaxBufferedBytes_ = Limit; }

  /// Bytes of bodies that the calls in progress hold.
  std::uint64_t bufferedBytes() const { return BufferedBytes_; }

private:
  friend class HttpClientConnection;

  std::shared_ptr<HttpClientConnection> acquireIdle(const CallOptions &Options);
  void addIdle(const std::shared_ptr<HttpClientConnection> &Connection);
  void removeIdle(const HttpClientConnection *Connection);
  /// Of the calls in progress, the one that holds the most bytes of a body.
  HttpClientConnection &largestHolder() const;

  asio::io_context &Context_;
  IdleBytesCallback OnIdleBytes_;
  std::uint64_t MaxBufferedBytes_ = 64 << 20;
  std::uint64_t BufferedBytes_ = 0;          ///< Sum of all calls in progress.
  std::set<HttpClientConnection *> Holders_; ///< Those with bytes of a body.
  /// Idle connections by server, the most recently used one at the end.
  std::map<Endpoint, std::list<std::shared_ptr<HttpClientConnection>>> Idle_;
};

} // namespace kumquatpitch

#endif
