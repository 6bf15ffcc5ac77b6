// Parses and writes manifests. See manifest.h.

#include "kumquatpitch/manifest.h"

#include "kumquatpitch/contract.h"
#include "kumquatpitch/json-reader.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

using detail::JsonReader;

constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t MaxParts = 20'000;
constexpr std::size_t MaxPartNameBytes = 80;
constexpr std::size_t HashDigits = 32;

bool isValidPartName(std::string_view Name) {
  for (const std::string_view Prefix : {"contract/", "service/"})
    if (Name.substr(0, Prefix.size()) == Prefix)
      return isValidName(Name.substr(Prefix.size()));
  return false;
}

bool isHash(std::string_view Text) {
  return Text.size() == HashDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

ManifestPart readPart(JsonReader &Reader) {
  ManifestPart Part;
  Part.Name_ = Reader.text("name", MaxPartNameBytes);
  if (!isValidPartName(Part.Name_))
    Reader.reject("name", "must be contract/NAME or service/NAME");
  Part.Version_ = Reader.number("version", 1, UINT64_MAX);
  Part.Hash_ = Reader.text("hash", HashDigits);
  if (!isHash(Part.Hash_))
    Reader.reject("hash", "must be 32 digits of 0-9 and a-f");
  Part.Bytes_ = Reader.number("bytes", 1, MaxDocumentBytes);
  return Part;
}

Manifest readManifest(JsonReader &Reader) {
  Manifest Parsed;
  Reader.number("format", FormatVersion, FormatVersion);
  Parsed.Version_ = Reader.number("version", 1, UINT64_MAX);
  Reader.objects("parts", 0, MaxParts, [&](JsonReader &Element) {
    Parsed.Parts_.push_back(readPart(Element));
  });
  detail::sortByUniqueKey(Reader, Parsed.Parts_, &ManifestPart::Name_, "parts",
                          "name");
  return Parsed;
}

} // namespace

Result<Manifest> parseManifest(std::string_view Json) {
  return detail::parseDocument(Json, readManifest);
}

std::string formatManifest(const Manifest &Value) {
  nlohmann::json Parts = nlohmann::json::array();
  for (const ManifestPart &Part : Value.Parts_)
    Parts.push_back({{"name", Part.Name_},
                     {"version", Part.Version_},
                     {"hash", Part.Hash_},
                     {"bytes", Part.Bytes_}});
  const nlohmann::json Document = {{"format", FormatVersion},
                                   {"version", Value.Version_},
                                   {"parts", std::move(Parts)}};
  return Document.dump();
}

const ManifestPart *findPart(const Manifest &Value, std::string_view Name) {
  const auto HasLowerName = [](const ManifestPart &Part, std::string_view Key) {
    return Part.Name_ < Key;
  };
  const std::vector<ManifestPart>::const_iterator It = std::lower_bound(
      Value.Parts_.begin(), Value.Parts_.end(), Name, HasLowerName);
  return It != Value.Parts_.end() && It->Name_ == Name ? &*It : nullptr;
}

std::string contentHash(std::string_view Bytes) {
  const XXH128_hash_t Hash = XXH3_128bits(Bytes.data(), Bytes.size());
  char Text[HashDigits + 1];
  std::snprintf(Text, sizeof(Text), "%016" PRIx64 "%016" PRIx64, Hash.high64,
                Hash.low64);
  return Text;
}

} // namespace kumquatpitch
