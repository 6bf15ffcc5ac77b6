// Decides whether a response on a connection to a server belongs to the request
// that waits there. A faulty server may send a response again, late, where the
// response to another request is due. Used by HttpClientConnection; no I/O.

#ifndef KUMQUATPITCH_RESPONSE_MATCH_H
#define KUMQUATPITCH_RESPONSE_MATCH_H

#include "kumquatpitch/message-parser.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace kumquatpitch {

/// Identifies a request in its response.
struct RequestEcho {
  /// Header in which the response repeats the id. If the name is empty, every
  /// final response counts as the request's own.
  std::string Header_;
  std::string Id_;

  bool operator==(const RequestEcho &) const = default;
};

/// How a complete response relates to the request that waits for one.
enum class ResponseMatch : std::uint8_t {
  Own,          ///< The response to the request.
  Interim,      ///< A 1xx response; the final one follows.
  Other,        ///< The response to another request.
  Unattributed, ///< Without an id, or with several: could belong to any
                ///< request.
};

/// Classifies a response. `IsReused` is true if the connection has carried
/// another request before. On a new one, a failure without an id is the
/// request's own: a server may fail before it has read the id.
ResponseMatch matchResponse(const HttpMessage &Response,
                            const RequestEcho &Expected, bool IsReused);

/// True if a part of another response stands in a head: it broke off there, and
/// its fields, such as one that says that the request has not run, may have
/// become those of this one. `Via` and `Upgrade` name the protocol rightly.
bool headHoldsAnother(const std::string &Reason, const HeaderFields &Headers);

/// Ids of the requests that one connection has carried. A request that is sent
/// again under its id must use another connection: on this one, a late copy of
/// the earlier response could not be told from the response to the second
/// attempt.
class CarriedRequestIds {
public:
  /// Bounds the memory of a connection to 4 KB.
  static constexpr std::size_t MaxIds = 512;

  /// True if the connection may carry a request with this id. Two ids with the
  /// same hash only cost a new connection.
  bool mayCarry(const std::string &Id) const;

  /// True if a request with this id was recorded.
  bool hasCarried(const std::string &Id) const;

  /// Records an id. A request without one is not recorded.
  void add(const std::string &Id);

  bool isFull() const { return Hashes_.size() >= MaxIds; }

private:
  std::vector<std::uint64_t> Hashes_; ///< At most MaxIds.
};

} // namespace kumquatpitch

#endif
