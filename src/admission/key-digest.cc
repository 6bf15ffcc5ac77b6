// SHA-256 by OpenSSL. See key-digest.h.

#include "kumquatpitch/admission/key-digest.h"

#include <cstring>
#include <openssl/sha.h>

namespace kumquatpitch {

KeyDigest digestOf(std::string_view Key) {
  KeyDigest Digest;
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.Bytes_.data());
  return Digest;
}

std::string shortText(const KeyDigest &Digest) {
  constexpr std::size_t ShownBytes = 4;
  constexpr char Digits[] = "0123456789abcdef";
  constexpr unsigned BitsPerDigit = 4;
  constexpr unsigned DigitMask = 0xF;
  std::string Text;
  for (std::size_t Index = 0; Index < ShownBytes; ++Index) {
    Text.push_back(Digits[Digest.Bytes_[Index] >> BitsPerDigit]);
    Text.push_back(Digits[Digest.Bytes_[Index] & DigitMask]);
  }
  return Text;
}

std::size_t KeyDigestHash::operator()(const KeyDigest &Digest) const noexcept {
  std::size_t Hash = 0;
  std::memcpy(&Hash, Digest.Bytes_.data(), sizeof Hash);
  return Hash;
}

} // namespace kumquatpitch
