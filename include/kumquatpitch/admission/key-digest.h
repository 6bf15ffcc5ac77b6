// Digests of the keys by which callers name their workspace. Only digests are
// kept, so that no key stands in memory, logs, metrics or messages. Pure
// functions.

#ifndef KUMQUATPITCH_ADMISSION_KEY_DIGEST_H
#define KUMQUATPITCH_ADMISSION_KEY_DIGEST_H

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquatpitch {

/// SHA-256 of a key.
struct KeyDigest {
  std::array<std::uint8_t, 32> Bytes_{};

  bool operator==(const KeyDigest &) const = default;
  std::strong_ordering operator<=>(const KeyDigest &) const = default;
};

/// Computes the digest of a key.
KeyDigest digestOf(std::string_view Key);

/// The first bytes of the digest in hexadecimal, by which logs tell keys apart.
std::string shortText(const KeyDigest &Digest);

/// The digest is uniform already, so its first bytes serve as the hash.
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest &Digest) const noexcept;
};

} // namespace kumquatpitch

#endif
