// One connection to a backend server over the HTTP library's client. Asks
// before the first byte is written and reads no more than allowed.

#ifndef KUMQUATPITCH_BACKEND_CONNECTION_H
#define KUMQUATPITCH_BACKEND_CONNECTION_H

#include "kumquatpitch/http-message.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/time-point.h"

#include <atomic>
#include <functional>
#include <httplib.h>

namespace kumquatpitch::detail {

/// What the library saw of one exchange.
struct Exchange {
  httplib::Error Error_ = httplib::Error::Unknown;
  bool IsConnected_ = false;   ///< A connection stood, so bytes may have left.
  bool IsNew_ = false;         ///< The connection was opened for it.
  bool IsForbidden_ = false;   ///< MayWrite said no.
  bool IsTooLarge_ = false;    ///< The answer exceeded the limit.
  httplib::Response Response_; ///< Valid when Error_ is Success.
};

class BackendConnection : public httplib::ClientImpl {
public:
  BackendConnection(const Endpoint &Address, std::uint64_t Generation);

  /// Sends `Request` and reads the answer. Connecting takes `Remaining` at the
  /// longest; the whole exchange is bounded by whoever calls stop().
  Exchange exchange(httplib::Request &Request, std::uint64_t MaxAnswerBytes,
                    Duration Remaining, const std::function<bool()> &MayWrite);

  /// True from the permission to write on. Before, stop() could wait for the
  /// connection to be made, and MayWrite ends the exchange as well.
  bool mayBeWriting() const { return MayBeWriting_; }

  const Endpoint &address() const { return Address_; }
  std::uint64_t generation() const { return Generation_; }

protected:
  bool create_and_connect_socket(Socket &Created,
                                 httplib::Error &Error) override;

private:
  const Endpoint Address_;
  const std::uint64_t Generation_;
  std::atomic<bool> MayBeWriting_{false};
  const std::function<bool()> *MayWrite_ = nullptr; ///< Set in an exchange.
  Exchange *Current_ = nullptr;                     ///< Set in an exchange.
};

} // namespace kumquatpitch::detail

#endif
