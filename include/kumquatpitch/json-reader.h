// Strict reading of JSON documents. A document is rejected when a field is
// unknown, a required field is missing or a value is out of range; the message
// names the field.

#ifndef KUMQUATPITCH_JSON_READER_H
#define KUMQUATPITCH_JSON_READER_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/result.h"
#include "kumquatpitch/time-point.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquatpitch::detail {

/// Reads the fields of one JSON object. The first problem is stored and
/// reported by finish(). After a problem, getters return default values, so
/// that the calling code can read all fields without a check after each.
class JsonReader {
public:
  /// `Path` names the object in messages, such as `services[2]`; it is empty
  /// for the document itself.
  JsonReader(const nlohmann::json &Object, std::string Path);

  std::uint64_t number(const char *Field, std::uint64_t Least,
                       std::uint64_t Most);
  std::uint64_t numberOr(const char *Field, std::uint64_t Least,
                         std::uint64_t Most, std::uint64_t Default);
  double decimal(const char *Field, double Least, double Most);
  bool boolean(const char *Field);
  std::string text(const char *Field, std::size_t MaxBytes);
  std::string textOr(const char *Field, std::size_t MaxBytes,
                     std::string Default);
  Duration milliseconds(const char *Field, std::uint64_t Least,
                        std::uint64_t Most);

  /// Reads a name; rejects text that isValidName() does not accept.
  template <class Tag> Name<Tag> name(const char *Field) {
    return Name<Tag>(nameText(Field));
  }

  /// Reads each object of an array of `Least` to `Most` elements.
  void objects(const char *Field, std::size_t Least, std::size_t Most,
               const std::function<void(JsonReader &)> &ReadElement);

  /// Reads an object if the field is present.
  void optionalObject(const char *Field,
                      const std::function<void(JsonReader &)> &ReadObject);

  /// Records a problem found by the calling code, unless one is already stored.
  void reject(const char *Field, const std::string &Problem);

  /// Reads one of `Names` and returns its index; rejects any other text.
  std::size_t choice(const char *Field,
                     std::initializer_list<const char *> Names);

  /// Like choice(), but returns the index of the first name if the field is
  /// missing.
  std::size_t choiceOrFirst(const char *Field,
                            std::initializer_list<const char *> Names) {
    return findField(Field, false) ? choice(Field, Names) : 0;
  }

  /// Checks for unknown fields and returns the first problem, or nullopt if
  /// there is none.
  std::optional<std::string> finish();

private:
  const nlohmann::json *findField(const char *Field, bool Required);
  std::string nameText(const char *Field);
  void readNested(const nlohmann::json &Object, const std::string &Path,
                  const std::function<void(JsonReader &)> &ReadObject);

  const nlohmann::json &Object_;
  std::string Path_;
  std::set<std::string> KnownFields_;
  std::optional<std::string> Problem_;
};

/// Parses `Json` strictly: it must be one object without duplicate keys, of at
/// most MaxDocumentBytes and at most 16 levels of nesting.
Result<nlohmann::json> parseJsonObject(std::string_view Json);

inline const std::string &keyText(const std::string &Key) { return Key; }
template <class Tag> const std::string &keyText(const Name<Tag> &Key) {
  return Key.str();
}

/// Sorts elements by a key member and rejects duplicate keys. `Field` and
/// `KeyName` name the list and the key in the message.
template <class Element, class Key>
void sortByUniqueKey(JsonReader &Reader, std::vector<Element> &Elements,
                     Key Element::*Member, const char *Field,
                     const char *KeyName) {
  std::sort(Elements.begin(), Elements.end(),
            [Member](const Element &Left, const Element &Right) {
              return Left.*Member < Right.*Member;
            });
  const typename std::vector<Element>::const_iterator It =
      std::adjacent_find(Elements.begin(), Elements.end(),
                         [Member](const Element &Left, const Element &Right) {
                           return Left.*Member == Right.*Member;
                         });
  if (It != Elements.end())
    Reader.reject(Field, std::string(KeyName) + " \"" + keyText((*It).*Member) +
                             "\" is there twice");
}

/// Parses `Json` and reads it with `Read`. Fails with DocumentInvalid if the
/// reader reports a problem.
template <class T>
Result<T> parseDocument(std::string_view Json, T (*Read)(JsonReader &)) {
  BOOST_LEAF_AUTO(Document, parseJsonObject(Json));
  JsonReader Reader(Document, "");
  T Value = Read(Reader);
  if (const std::optional<std::string> Problem = Reader.finish())
    return fail(ResultCode::DocumentInvalid, *Problem);
  return Value;
}

} // namespace kumquatpitch::detail

#endif
