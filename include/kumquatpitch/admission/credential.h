// What a caller's request says of its workspace: the key in its Authorization
// header. Pure functions.

#ifndef KUMQUATPITCH_ADMISSION_CREDENTIAL_H
#define KUMQUATPITCH_ADMISSION_CREDENTIAL_H

#include "kumquatpitch/admission/key-digest.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpitch {

enum class CredentialState : std::uint8_t {
  Missing,   ///< No Authorization header.
  Malformed, ///< More than one, another scheme, or no single key.
  Present,
};

struct Credential {
  CredentialState State_ = CredentialState::Missing;
  KeyDigest Key_; ///< Valid when State_ is Present.

  bool operator==(const Credential &) const = default;
};

/// Reads the credential of RFC 6750: one `Authorization` header with the scheme
/// `Bearer` in any case, at least one space, and a key of visible ASCII.
Credential
credentialOf(const std::vector<std::pair<std::string, std::string>> &Headers);

} // namespace kumquatpitch

#endif
