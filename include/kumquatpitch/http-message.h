// HTTP messages as the io layer passes them on: requests parsed by the HTTP
// library from bytes that were framed before, and answers as bytes.

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

/// One header line; names compare without regard to case.
using HeaderField = std::pair<std::string, std::string>;
using HeaderFields = std::vector<HeaderField>;

/// A caller's whole request.
struct HttpRequest {
  std::string Method_;
  std::string Target_; ///< Path and query as sent.
  HeaderFields Headers_;
  std::string Body_;

  bool operator==(const HttpRequest &) const = default;
};

/// An answer with its whole body.
struct HttpAnswer {
  int Status_ = 0;
  std::string Reason_;
  HeaderFields Headers_; ///< Without hop-by-hop fields.
  std::string Body_;

  bool operator==(const HttpAnswer &) const = default;
};

/// Parses the head with the HTTP library and adds the body. Fails with
/// RequestMalformed.
Result<HttpRequest> parseRequest(const std::string &Head, std::string Body);

/// Value of the first field with that name, or nothing.
std::optional<std::string> findHeader(const HeaderFields &Fields,
                                      std::string_view Name);

/// True for fields that concern one connection only and must not be passed on:
/// RFC 9110 section 7.6.1, the fields that Connection names included.
bool isHopByHop(std::string_view Name, const HeaderFields &Fields);

/// Bytes of an answer. `KeepOpen` sets the Connection field; `IsHead` leaves
/// the body out and keeps the backend server's Content-Length.
std::string serializeAnswer(const HttpAnswer &Answer, bool KeepOpen,
                            bool IsHead);

/// The system's own answer to a request that failed.
HttpAnswer makeErrorAnswer(ResultCode Code, Outcome What,
                           const std::string &Message);

} // namespace kumquatpitch

#endif
