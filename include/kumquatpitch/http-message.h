// HTTP messages of the I/O layer. Requests are parsed by cpp-httplib from a
// head and a body that were already split off the stream; responses are
// serialized to bytes.

#ifndef KUMQUATPITCH_HTTP_MESSAGE_H
#define KUMQUATPITCH_HTTP_MESSAGE_H

#include "kumquatpitch/result-code.h"
#include "kumquatpitch/result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatpitch {

/// One header field: name and value. Names compare without regard to case.
using HeaderField = std::pair<std::string, std::string>;
using HeaderFields = std::vector<HeaderField>;

/// A caller's complete request.
struct HttpRequest {
  std::string Method_;
  std::string Target_; ///< Path and query as sent.
  HeaderFields Headers_;
  std::string Body_;

  bool operator==(const HttpRequest &) const = default;
};

/// A response with its complete body.
struct HttpResponse {
  int Status_ = 0;
  std::string Reason_;
  HeaderFields Headers_; ///< Without hop-by-hop fields.
  std::string Body_;

  bool operator==(const HttpResponse &) const = default;
};

/// Parses the head with cpp-httplib and adds the body. Fails with
/// RequestMalformed.
Result<HttpRequest> parseRequest(const std::string &Head, std::string Body);

/// Value of the first field with this name, if there is one.
std::optional<std::string> findHeader(const HeaderFields &Fields,
                                      std::string_view Name);

/// True for hop-by-hop fields, which must not be forwarded: those of RFC 9110
/// section 7.6.1, and the fields that Connection names.
bool isHopByHop(std::string_view Name, const HeaderFields &Fields);

/// Serializes a response. `KeepAlive` sets the Connection field; `IsHead`, for
/// responses to HEAD, omits the body and keeps the backend server's
/// Content-Length.
std::string serializeResponse(const HttpResponse &Response, bool KeepAlive,
                              bool IsHead);

/// Whether a request that ended in `Cause` may have run. `MayBeResend` is true
/// if an earlier attempt with the same token may have. An internal error, such
/// as an exception, can come after the request was sent.
Outcome outcomeOf(const Failure &Cause, bool MayBeResend);

/// Builds the proxy's own response to a request that failed.
HttpResponse makeErrorResponse(ResultCode Code, Outcome RequestOutcome,
                               const std::string &Message);

} // namespace kumquatpitch

#endif
