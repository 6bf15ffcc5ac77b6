// The token that binds a non-idempotent request to one incarnation of one host.
// Address responses contain it; callers send it back unchanged.

#ifndef KUMQUATPITCH_REQUEST_TOKEN_H
#define KUMQUATPITCH_REQUEST_TOKEN_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatpitch {

/// Binds a request to one incarnation of one host. Only that incarnation may
/// run it, and only within its accepted epochs.
struct RequestToken {
  ServiceName Service_;
  HostId Host_;
  Incarnation Incarnation_ = 0; ///< Never zero in a valid token.
  std::uint64_t Epoch_ = 0;     ///< Counted from the incarnation's start.

  bool operator==(const RequestToken &) const = default;
};

/// Maximum length of a token's text in bytes.
constexpr std::size_t MaxTokenBytes = 192;

/// Formats a token for a header: `k1.SERVICE.HOST.INCARNATION.EPOCH.CHECKSUM`.
std::string formatToken(const RequestToken &Token);

/// Parses the text that formatToken writes and accepts no other spelling. Fails
/// with TokenInvalid. The checksum detects typing errors and truncation; it
/// does not authenticate the token.
Result<RequestToken> parseToken(std::string_view Text);

} // namespace kumquatpitch

#endif
