// Matching of responses to requests by id. See response-match.h.

#include "kumquatpitch/response-match.h"

#include <algorithm>
#include <xxhash.h>

namespace kumquatpitch {

ResponseMatch matchResponse(const HttpMessage &Response,
                            const RequestEcho &Expected, bool IsReused) {
  constexpr int FirstFinalStatus = 200;
  constexpr int FirstFailureStatus = 300;
  if (Response.Status_ < FirstFinalStatus)
    return ResponseMatch::Interim;
  if (Expected.Header_.empty())
    return ResponseMatch::Own;
  const std::size_t Ids = Response.headerCount(Expected.Header_);
  if (Ids == 0 && !IsReused && Response.Status_ >= FirstFailureStatus)
    return ResponseMatch::Own;
  // A head that broke off and was followed by another response reads as one
  // head with the ids of both.
  if (Ids != 1)
    return ResponseMatch::Unattributed;
  return *Response.header(Expected.Header_) == Expected.Id_
             ? ResponseMatch::Own
             : ResponseMatch::Other;
}

bool headHoldsAnother(const std::string &Reason, const HeaderFields &Headers) {
  // Products such as SimpleHTTP/0.6 have names that end like the protocol's.
  constexpr std::string_view ProtocolName = "HTTP/1";
  if (Reason.find(ProtocolName) != std::string::npos)
    return true;
  return std::any_of(
      Headers.begin(), Headers.end(), [ProtocolName](const HeaderField &Field) {
        return !headerNamesEqual(Field.first, "Via") &&
               !headerNamesEqual(Field.first, "Upgrade") &&
               (Field.first.find(ProtocolName) != std::string::npos ||
                Field.second.find(ProtocolName) != std::string::npos);
      });
}

static std::uint64_t hashOf(const std::string &Id) {
  return XXH3_64bits(Id.data(), Id.size());
}

bool CarriedRequestIds::mayCarry(const std::string &Id) const {
  return Id.empty() || (!isFull() && !hasCarried(Id));
}

bool CarriedRequestIds::hasCarried(const std::string &Id) const {
  return std::find(Hashes_.begin(), Hashes_.end(), hashOf(Id)) != Hashes_.end();
}

void CarriedRequestIds::add(const std::string &Id) {
  if (!Id.empty())
    Hashes_.push_back(hashOf(Id));
}

} // namespace kumquatpitch
