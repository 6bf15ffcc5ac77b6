// One connection to a backend server, built on the HTTP library's client. Calls
// back for permission before the first byte is written and limits the size of
// the answer.

#ifndef KUMQUATPITCH_BACKEND_CONNECTION_H
#define KUMQUATPITCH_BACKEND_CONNECTION_H

#include "kumquatpitch/http-message.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/spliced-response.h"
#include "kumquatpitch/time-point.h"

#include <atomic>
#include <functional>
#include <httplib.h>

namespace kumquatpitch::detail {

/// Result of sending one request and reading its answer.
struct ExchangeResult {
  httplib::Error Error_ = httplib::Error::Unknown;
  bool IsConnected_ = false;   ///< Connected, so bytes may have been sent.
  bool IsNew_ = false;         ///< The connection was opened for this exchange.
  bool IsWriteDenied_ = false; ///< MayWrite returned false.
  bool IsTooLarge_ = false;    ///< The answer exceeded the limit.
  /// False if the answer may hold bytes of another one.
  bool IsWhole_ = false;
  bool HasBytesBehind_ = false; ///< Bytes followed the answer.
  httplib::Response Response_;  ///< Valid when Error_ is Success.
};

class BackendConnection : public httplib::ClientImpl {
public:
  BackendConnection(const Endpoint &Address, std::uint64_t Generation);

  /// Sends `Request` and reads the answer. Connecting takes `Remaining` at
  /// most; the owner ends the exchange by calling stop(), and without that it
  /// ends soon after `Remaining`.
  ExchangeResult exchange(httplib::Request &Request, const RequestEcho &Echo,
                          std::uint64_t MaxAnswerBytes, Duration Remaining,
                          const std::function<bool()> &MayWrite);

  /// True once MayWrite has permitted writing. Until then stop() could block
  /// until the connection is open, and is not needed: MayWrite ends the
  /// exchange as well.
  bool mayBeWriting() const { return MayBeWriting_; }

  /// True once the connection has carried as many requests as it remembers.
  bool isUsedUp() const { return CarriedIds_.isFull(); }

  const Endpoint &address() const { return Address_; }
  std::uint64_t generation() const { return Generation_; }

protected:
  bool create_and_connect_socket(Socket &Created,
                                 httplib::Error &Error) override;

private:
  bool
  process_socket(const Socket &Opened,
                 std::function<bool(httplib::Stream &)> HandleRequest) override;

  const Endpoint Address_;
  const std::uint64_t Generation_;
  std::atomic<bool> MayBeWriting_{false};
  const std::function<bool()> *MayWrite_ = nullptr; ///< Set during an exchange.
  ExchangeResult *Current_ = nullptr;               ///< Set during an exchange.
  CarriedRequestIds CarriedIds_;
  SplicedResponseScan Scan_;   ///< Of the current answer.
  Duration StreamTimeout_{};   ///< Of the whole exchange.
  bool IsBodyOmitted_ = false; ///< In the current answer.
};

} // namespace kumquatpitch::detail

#endif
