// Strict reading of CBOR values from peers: positional arrays with an exact
// count of elements, each of a known type and range.

#ifndef KUMQUATPITCH_CBOR_READER_H
#define KUMQUATPITCH_CBOR_READER_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/result.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace kumquatpitch::detail {

/// Reads the elements of one array in order. The first problem is kept in a
/// text that all readers of a message share; after it, getters give empty
/// values.
class CborReader {
public:
  /// Notes a problem when `Value` is not an array of `Count` elements.
  CborReader(const nlohmann::json &Value, std::size_t Count, const char *Where,
             std::string &Problem);

  std::uint64_t number(std::uint64_t Most = UINT64_MAX);
  bool boolean();
  std::string text(std::size_t MaxBytes);
  std::string bytes(std::size_t MaxBytes);

  /// 16 bytes as 32 hexadecimal digits.
  std::string hash();

  template <class Tag> Name<Tag> name() { return Name<Tag>(nameText()); }

  /// Reads each element of an array of at most `Most` arrays, which have
  /// `Count` elements each.
  void arrays(std::size_t Most, std::size_t Count,
              const std::function<void(CborReader &)> &ReadElement);

  /// Reads each element of an array of at most `Most` texts.
  void texts(std::size_t Most, std::size_t MaxBytes,
             const std::function<void(std::string)> &Take);

  /// Reads a nested array of `Count` elements.
  void nested(std::size_t Count,
              const std::function<void(CborReader &)> &ReadElement);

  /// Keeps a problem of the caller's own checks, unless there is one already.
  void reject(const std::string &What);

private:
  const nlohmann::json *next();
  std::string nameText();

  const nlohmann::json *Array_ = nullptr; ///< Null after a problem.
  std::size_t At_ = 0;
  const char *Where_;
  std::string &Problem_;
};

/// 32 hexadecimal digits as a CBOR byte string.
nlohmann::json hashToCbor(std::string_view Hash);
nlohmann::json bytesToCbor(std::string_view Bytes);

/// Parses one CBOR map strictly: nothing behind it, no duplicate keys, limited
/// nesting. Fails with PeerMessageMalformed.
Result<nlohmann::json> parseCborMap(std::string_view Bytes);

} // namespace kumquatpitch::detail

#endif
