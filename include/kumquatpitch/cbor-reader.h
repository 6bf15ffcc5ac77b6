// Strict reading of CBOR values from peers. Values are positional arrays with a
// fixed number of elements, each of a known type and range.

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

/// Reads the elements of one array in order. The first problem is stored in a
/// string that all readers of a message share; after a problem, getters return
/// empty values.
class CborReader {
public:
  /// Records a problem if `Value` is not an array of `Count` elements. `Path`
  /// names the array in messages.
  CborReader(const nlohmann::json &Value, std::size_t Count, const char *Path,
             std::string &Problem);

  std::uint64_t number(std::uint64_t Most = UINT64_MAX);
  bool boolean();
  std::string text(std::size_t MaxBytes);
  std::string bytes(std::size_t MaxBytes);

  /// Reads a hash of 16 bytes and returns it as 32 hexadecimal digits.
  std::string hash();

  template <class Tag> Name<Tag> name() { return Name<Tag>(nameText()); }

  /// Reads an array of at most `Most` arrays, each of `Count` elements.
  void arrays(std::size_t Most, std::size_t Count,
              const std::function<void(CborReader &)> &ReadElement);

  /// Reads an array of at most `Most` strings of at most `MaxBytes` each.
  void texts(std::size_t Most, std::size_t MaxBytes,
             const std::function<void(std::string)> &ReadText);

  /// Reads a nested array of `Count` elements.
  void nested(std::size_t Count,
              const std::function<void(CborReader &)> &ReadElement);

  /// Records a problem found by the calling code, unless one is already stored.
  void reject(const std::string &Problem);

private:
  const nlohmann::json *next();
  std::string nameText();

  const nlohmann::json *Array_ = nullptr; ///< Null after a problem.
  std::size_t Index_ = 0;
  const char *Path_;
  std::string &Problem_;
};

/// Converts 32 hexadecimal digits to a CBOR byte string.
nlohmann::json hashToCbor(std::string_view Hash);
nlohmann::json bytesToCbor(std::string_view Bytes);

/// Parses one CBOR map strictly: no trailing bytes, no duplicate keys and
/// limited nesting. Fails with PeerMessageMalformed.
Result<nlohmann::json> parseCborMap(std::string_view Bytes);

} // namespace kumquatpitch::detail

#endif
