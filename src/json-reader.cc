// Strict JSON reading. See json-reader.h.

#include "kumquatpitch/json-reader.h"

#include "kumquatpitch/contract.h"

#include <cmath>
#include <vector>

namespace kumquatpitch::detail {

namespace {

constexpr int MaxNesting = 16;

std::string rangeProblem(std::uint64_t Least, std::uint64_t Most) {
  return "must be a whole number from " + std::to_string(Least) + " to " +
         std::to_string(Most);
}

/// Parser callback that records duplicate keys and nesting beyond MaxNesting.
class StructureCheck {
public:
  bool operator()(int Depth, nlohmann::json::parse_event_t Event,
                  nlohmann::json &Parsed) {
    if (Depth > MaxNesting)
      Problem_ = "nesting is deeper than " + std::to_string(MaxNesting);
    if (Event == nlohmann::json::parse_event_t::object_start)
      KeysByDepth_.emplace_back();
    if (Event == nlohmann::json::parse_event_t::object_end &&
        !KeysByDepth_.empty())
      KeysByDepth_.pop_back();
    if (Event == nlohmann::json::parse_event_t::key && !KeysByDepth_.empty() &&
        !KeysByDepth_.back().insert(Parsed.get<std::string>()).second)
      Problem_ = "field \"" + Parsed.get<std::string>() + "\" is there twice";
    return true;
  }

  const std::optional<std::string> &problem() const { return Problem_; }

private:
  std::vector<std::set<std::string>> KeysByDepth_;
  std::optional<std::string> Problem_;
};

} // namespace

JsonReader::JsonReader(const nlohmann::json &Object, std::string Path)
    : Object_(Object), Path_(std::move(Path)) {
  if (!Object.is_object())
    Problem_ = (Path_.empty() ? "document" : Path_) + ": must be an object";
}

const nlohmann::json *JsonReader::findField(const char *Field, bool Required) {
  KnownFields_.insert(Field);
  if (Problem_)
    return nullptr;
  const nlohmann::json::const_iterator It = Object_.find(Field);
  if (It != Object_.end())
    return &*It;
  if (Required)
    reject(Field, "is missing");
  return nullptr;
}

std::uint64_t JsonReader::number(const char *Field, std::uint64_t Least,
                                 std::uint64_t Most) {
  const nlohmann::json *Value = findField(Field, true);
  if (!Value)
    return Least;
  if (!Value->is_number_unsigned() || Value->get<std::uint64_t>() < Least ||
      Value->get<std::uint64_t>() > Most) {
    reject(Field, rangeProblem(Least, Most));
    return Least;
  }
  return Value->get<std::uint64_t>();
}

std::uint64_t JsonReader::numberOr(const char *Field, std::uint64_t Least,
                                   std::uint64_t Most, std::uint64_t Default) {
  return findField(Field, false) ? number(Field, Least, Most) : Default;
}

double JsonReader::decimal(const char *Field, double Least, double Most) {
  const nlohmann::json *Value = findField(Field, true);
  if (!Value)
    return Least;
  const double Number = Value->is_number() ? Value->get<double>() : NAN;
  if (!(Number >= Least && Number <= Most)) {
    reject(Field, "must be a number from " + std::to_string(Least) + " to " +
                      std::to_string(Most));
    return Least;
  }
  return Number;
}

bool JsonReader::boolean(const char *Field) {
  const nlohmann::json *Value = findField(Field, true);
  if (!Value)
    return false;
  if (!Value->is_boolean()) {
    reject(Field, "must be true or false");
    return false;
  }
  return Value->get<bool>();
}

std::string JsonReader::text(const char *Field, std::size_t MaxBytes) {
  const nlohmann::json *Value = findField(Field, true);
  if (!Value)
    return {};
  const std::string *Text = Value->get_ptr<const std::string *>();
  if (!Text || Text->empty() || Text->size() > MaxBytes) {
    reject(Field,
           "must be a string of 1 to " + std::to_string(MaxBytes) + " bytes");
    return {};
  }
  return *Text;
}

std::string JsonReader::textOr(const char *Field, std::size_t MaxBytes,
                               std::string Default) {
  return findField(Field, false) ? text(Field, MaxBytes) : std::move(Default);
}

Duration JsonReader::milliseconds(const char *Field, std::uint64_t Least,
                                  std::uint64_t Most) {
  return std::chrono::milliseconds(number(Field, Least, Most));
}

std::string JsonReader::nameText(const char *Field) {
  std::string Text = text(Field, MaxNameBytes);
  if (!Problem_ && !isValidName(Text))
    reject(Field, "must be a name: 1 to 63 of a-z, 0-9 and '-', not starting "
                  "with '-'");
  return Text;
}

void JsonReader::readNested(
    const nlohmann::json &Object, const std::string &Path,
    const std::function<void(JsonReader &)> &ReadObject) {
  JsonReader Nested(Object, Path);
  ReadObject(Nested);
  std::optional<std::string> Problem = Nested.finish();
  if (Problem && !Problem_)
    Problem_ = std::move(Problem);
}

void JsonReader::objects(const char *Field, std::size_t Least, std::size_t Most,
                         const std::function<void(JsonReader &)> &ReadElement) {
  const nlohmann::json *Value = findField(Field, true);
  if (!Value)
    return;
  if (!Value->is_array() || Value->size() < Least || Value->size() > Most) {
    reject(Field, "must be a list of " + std::to_string(Least) + " to " +
                      std::to_string(Most) + " objects");
    return;
  }
  const std::string Prefix = Path_.empty() ? Field : Path_ + "." + Field;
  for (std::size_t Index = 0; Index < Value->size() && !Problem_; ++Index)
    readNested((*Value)[Index], Prefix + "[" + std::to_string(Index) + "]",
               ReadElement);
}

void JsonReader::optionalObject(
    const char *Field, const std::function<void(JsonReader &)> &ReadObject) {
  const nlohmann::json *Value = findField(Field, false);
  if (Value)
    readNested(*Value, Path_.empty() ? Field : Path_ + "." + Field, ReadObject);
}

void JsonReader::reject(const char *Field, const std::string &Problem) {
  if (!Problem_)
    Problem_ = (Path_.empty() ? Field : Path_ + "." + Field) + ": " + Problem;
}

std::size_t JsonReader::choice(const char *Field,
                               std::initializer_list<const char *> Names) {
  const std::string Text = text(Field, MaxNameBytes);
  std::string AllowedNames;
  std::size_t Index = 0;
  for (const char *Name : Names) {
    if (Text == Name)
      return Index;
    AllowedNames += (Index++ == 0 ? "" : ", ") + std::string(Name);
  }
  reject(Field, "must be one of: " + AllowedNames);
  return 0;
}

std::optional<std::string> JsonReader::finish() {
  if (Problem_)
    return Problem_;
  for (nlohmann::json::const_iterator It = Object_.begin(); It != Object_.end();
       ++It)
    if (!KnownFields_.count(It.key()))
      reject(It.key().c_str(), "is not a known field");
  return Problem_;
}

Result<nlohmann::json> parseJsonObject(std::string_view Json) {
  if (Json.size() > MaxDocumentBytes)
    return fail(ResultCode::DocumentTooLarge,
                "document has " + std::to_string(Json.size()) +
                    " bytes; at most " + std::to_string(MaxDocumentBytes));
  StructureCheck Check;
  try {
    nlohmann::json Document =
        nlohmann::json::parse(Json.begin(), Json.end(), std::ref(Check));
    if (Check.problem())
      return fail(ResultCode::DocumentMalformed, *Check.problem());
    if (!Document.is_object())
      return fail(ResultCode::DocumentMalformed, "document must be an object");
    return Document;
  } catch (const nlohmann::json::exception &Error) {
    return fail(ResultCode::DocumentMalformed, Error.what());
  }
}

} // namespace kumquatpitch::detail
