// Strict CBOR reading. See cbor-reader.h.

#include "kumquatpitch/cbor-reader.h"

#include <set>
#include <vector>

namespace kumquatpitch::detail {

namespace {

using nlohmann::json;

constexpr std::size_t MaxNesting = 8;
constexpr std::size_t HashBytes = 16;
constexpr const char *HexDigits = "0123456789abcdef";

/// Checks the structure before the value is built: the library builds nested
/// values recursively, so the nesting depth must be limited first.
class StructureCheck : public nlohmann::json_sax<json> {
public:
  bool null() override { return false; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return false; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t &) override { return false; }
  bool string(string_t &) override { return true; }
  bool binary(binary_t &) override { return true; }
  bool start_object(std::size_t) override {
    KeysByDepth_.emplace_back();
    return ++Depth_ <= MaxNesting;
  }
  bool key(string_t &Key) override {
    return KeysByDepth_.back().insert(Key).second;
  }
  bool end_object() override {
    KeysByDepth_.pop_back();
    --Depth_;
    return true;
  }
  bool start_array(std::size_t) override { return ++Depth_ <= MaxNesting; }
  bool end_array() override {
    --Depth_;
    return true;
  }
  bool parse_error(std::size_t, const std::string &,
                   const nlohmann::detail::exception &) override {
    return false;
  }

private:
  std::size_t Depth_ = 0;
  std::vector<std::set<std::string>> KeysByDepth_;
};

std::uint8_t hexDigitValue(char Digit) {
  return static_cast<std::uint8_t>(Digit <= '9' ? Digit - '0'
                                                : Digit - 'a' + 10);
}

} // namespace

CborReader::CborReader(const json &Value, std::size_t Count, const char *Path,
                       std::string &Problem)
    : Path_(Path), Problem_(Problem) {
  if (!Value.is_array() || Value.size() != Count)
    reject("must be an array of length " + std::to_string(Count));
  else
    Array_ = &Value;
}

void CborReader::reject(const std::string &Problem) {
  if (Problem_.empty())
    Problem_ =
        std::string(Path_) + "[" + std::to_string(Index_) + "]: " + Problem;
  Array_ = nullptr;
}

const json *CborReader::next() {
  if (!Array_ || !Problem_.empty() || Index_ >= Array_->size())
    return nullptr;
  return &(*Array_)[Index_++];
}

std::uint64_t CborReader::number(std::uint64_t Most) {
  const json *Value = next();
  if (!Value)
    return 0;
  if (!Value->is_number_unsigned() || Value->get<std::uint64_t>() > Most) {
    reject("must be a whole number up to " + std::to_string(Most));
    return 0;
  }
  return Value->get<std::uint64_t>();
}

bool CborReader::boolean() {
  const json *Value = next();
  if (!Value)
    return false;
  if (!Value->is_boolean()) {
    reject("must be true or false");
    return false;
  }
  return Value->get<bool>();
}

std::string CborReader::text(std::size_t MaxBytes) {
  const json *Value = next();
  if (!Value)
    return {};
  const std::string *Text = Value->get_ptr<const std::string *>();
  if (!Text || Text->size() > MaxBytes) {
    reject("must be a string of at most " + std::to_string(MaxBytes) +
           " bytes");
    return {};
  }
  return *Text;
}

std::string CborReader::bytes(std::size_t MaxBytes) {
  const json *Value = next();
  if (!Value)
    return {};
  if (!Value->is_binary() || Value->get_binary().has_subtype() ||
      Value->get_binary().size() > MaxBytes) {
    reject("must be at most " + std::to_string(MaxBytes) + " bytes");
    return {};
  }
  const json::binary_t &Bytes = Value->get_binary();
  return std::string(Bytes.begin(), Bytes.end());
}

std::string CborReader::hash() {
  const std::string Bytes = bytes(HashBytes);
  if (Bytes.size() != HashBytes) {
    reject("must be a hash of 16 bytes");
    return {};
  }
  std::string Text;
  for (const char Character : Bytes) {
    const std::uint8_t Byte = static_cast<std::uint8_t>(Character);
    Text.push_back(HexDigits[Byte >> 4U]);
    Text.push_back(HexDigits[Byte & 15U]);
  }
  return Text;
}

std::string CborReader::nameText() {
  std::string Text = text(MaxNameBytes);
  if (Array_ && !isValidName(Text))
    reject("must be a name");
  return Text;
}

void CborReader::arrays(std::size_t Most, std::size_t Count,
                        const std::function<void(CborReader &)> &ReadElement) {
  const json *Value = next();
  if (!Value)
    return;
  if (!Value->is_array() || Value->size() > Most) {
    reject("must be an array of length at most " + std::to_string(Most));
    return;
  }
  for (const json &Element : *Value) {
    CborReader Reader(Element, Count, Path_, Problem_);
    ReadElement(Reader);
  }
}

void CborReader::texts(std::size_t Most, std::size_t MaxBytes,
                       const std::function<void(std::string)> &ReadText) {
  const json *Value = next();
  if (!Value)
    return;
  if (!Value->is_array() || Value->size() > Most) {
    reject("must be an array of length at most " + std::to_string(Most));
    return;
  }
  CborReader Reader(*Value, Value->size(), Path_, Problem_);
  for (std::size_t Index = 0; Index < Value->size(); ++Index)
    ReadText(Reader.text(MaxBytes));
}

void CborReader::nested(std::size_t Count,
                        const std::function<void(CborReader &)> &ReadElement) {
  const json *Value = next();
  if (!Value)
    return;
  CborReader Reader(*Value, Count, Path_, Problem_);
  ReadElement(Reader);
}

json hashToCbor(std::string_view Hash) {
  json::binary_t::container_type Bytes;
  for (std::size_t Index = 0; Index + 1 < Hash.size(); Index += 2)
    Bytes.push_back(static_cast<std::uint8_t>(hexDigitValue(Hash[Index]) << 4U |
                                              hexDigitValue(Hash[Index + 1])));
  return json::binary(std::move(Bytes));
}

json bytesToCbor(std::string_view Bytes) {
  return json::binary(
      json::binary_t::container_type(Bytes.begin(), Bytes.end()));
}

Result<json> parseCborMap(std::string_view Bytes) {
  StructureCheck Check;
  if (!json::sax_parse(Bytes.begin(), Bytes.end(), &Check,
                       json::input_format_t::cbor))
    return fail(ResultCode::PeerMessageMalformed,
                "malformed CBOR, or a value that peer messages do not allow");
  json Parsed = json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (!Parsed.is_object())
    return fail(ResultCode::PeerMessageMalformed, "must be a CBOR map");
  return Parsed;
}

} // namespace kumquatpitch::detail
