// Parses INI settings with libinih. See settings-reader.h.

#include "kumquatpitch/settings-reader.h"

#include "kumquatpitch/ip-address.h"

#include <charconv>
#include <ini.h>
#include <set>
#include <sstream>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxSeeds = 64;
constexpr std::string_view CustomerSection = "customer.";

std::string describeLocation(const SettingsEntry &Entry) {
  return "section [" + Entry.Section_ + "], key " + Entry.Key_;
}

std::optional<std::uint64_t> parseNumber(const std::string &Text,
                                         std::uint64_t Min, std::uint64_t Max) {
  std::uint64_t Number = 0;
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      Number < Min || Number > Max)
    return std::nullopt;
  return Number;
}

std::optional<Endpoint> parseEndpoint(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || !isIpAddress(Text.substr(0, Colon)))
    return std::nullopt;
  const std::optional<std::uint64_t> Port =
      parseNumber(Text.substr(Colon + 1), 1, MaxPort);
  if (!Port)
    return std::nullopt;
  return Endpoint{Text.substr(0, Colon), static_cast<std::uint16_t>(*Port)};
}

} // namespace

int SettingsReader::collect(void *Context, const char *Section, const char *Key,
                            const char *Value) {
  SettingsReader &Reader = *static_cast<SettingsReader *>(Context);
  SettingsEntry Entry{Section, Key, Value};
  for (const SettingsEntry &Other : Reader.Entries_)
    if (Other.Section_ == Entry.Section_ && Other.Key_ == Entry.Key_)
      Reader.reject(Entry, "is set more than once");
  Reader.Entries_.push_back(std::move(Entry));
  return 1;
}

Result<SettingsReader> SettingsReader::parse(const std::string &Text,
                                             const std::string &File) {
  SettingsReader Reader;
  const int BadLine = ini_parse_string(Text.c_str(), collect, &Reader);
  if (BadLine != 0)
    return fail(ResultCode::SettingsInvalid,
                File + ": line " + std::to_string(BadLine) +
                    ": must be [SECTION], KEY = VALUE or a comment");
  return Reader;
}

std::optional<std::string> SettingsReader::extractValue(const char *Section,
                                                        const char *Key,
                                                        bool Required) {
  for (std::size_t Index = 0; Index < Entries_.size(); ++Index) {
    if (Entries_[Index].Section_ != Section || Entries_[Index].Key_ != Key)
      continue;
    std::string Value = Entries_[Index].Value_;
    Entries_.erase(Entries_.begin() + static_cast<std::ptrdiff_t>(Index));
    return Value;
  }
  if (Required)
    reject(SettingsEntry{Section, Key, ""}, "is missing");
  return std::nullopt;
}

void SettingsReader::reject(const SettingsEntry &Entry,
                            const std::string &Problem) {
  if (!Problem_)
    Problem_ = describeLocation(Entry) + ": " + Problem;
}

std::string SettingsReader::nameText(const char *Section, const char *Key) {
  std::string Text = extractValue(Section, Key, true).value_or("");
  if (!isValidName(Text))
    reject(SettingsEntry{Section, Key, ""},
           "must be a name: 1 to 63 of a-z, 0-9 and "
           "'-', not starting with '-'");
  return Text;
}

std::string SettingsReader::address(const char *Section, const char *Key,
                                    const std::string &Default) {
  std::string Text =
      extractValue(Section, Key, Default.empty()).value_or(Default);
  if (!isIpAddress(Text))
    reject(SettingsEntry{Section, Key, ""}, "must be an IP address");
  return Text;
}

std::uint64_t SettingsReader::number(const char *Section, const char *Key,
                                     std::uint64_t Min, std::uint64_t Max,
                                     std::optional<std::uint64_t> Default) {
  const std::optional<std::string> Text = extractValue(Section, Key, !Default);
  if (!Text)
    return Default.value_or(Min);
  const std::optional<std::uint64_t> Number = parseNumber(*Text, Min, Max);
  if (!Number)
    reject(SettingsEntry{Section, Key, ""}, "must be a whole number from " +
                                                std::to_string(Min) + " to " +
                                                std::to_string(Max));
  return Number.value_or(Min);
}

double SettingsReader::decimal(const char *Section, const char *Key, double Min,
                               double Max, double Default) {
  const std::optional<std::string> Text = extractValue(Section, Key, false);
  if (!Text)
    return Default;
  double Number = 0;
  const char *End = Text->data() + Text->size();
  const std::from_chars_result Parsed =
      std::from_chars(Text->data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End || Number < Min ||
      Number > Max) {
    reject(SettingsEntry{Section, Key, ""}, "must be a number from " +
                                                std::to_string(Min) + " to " +
                                                std::to_string(Max));
    return Default;
  }
  return Number;
}

Endpoint SettingsReader::endpoint(const char *Section, const char *Key) {
  const std::optional<std::string> Text = extractValue(Section, Key, true);
  const std::optional<Endpoint> Parsed =
      Text ? parseEndpoint(*Text) : std::nullopt;
  if (!Parsed)
    reject(SettingsEntry{Section, Key, ""}, "must be ADDRESS:PORT");
  return Parsed.value_or(Endpoint());
}

std::vector<Endpoint> SettingsReader::endpoints(const char *Section,
                                                const char *Key) {
  std::vector<Endpoint> Endpoints;
  std::istringstream Text(extractValue(Section, Key, false).value_or(""));
  std::string Item;
  while (std::getline(Text, Item, ',')) {
    Item.erase(0, Item.find_first_not_of(' '));
    Item.erase(Item.find_last_not_of(' ') + 1);
    const std::optional<Endpoint> Parsed = parseEndpoint(Item);
    if (!Parsed || Endpoints.size() >= MaxSeeds) {
      reject(SettingsEntry{Section, Key, ""},
             "must be a comma-separated list of up to 64 ADDRESS:PORT items");
      break;
    }
    Endpoints.push_back(*Parsed);
  }
  return Endpoints;
}

LogLevel SettingsReader::level(const char *Section, const char *Key) {
  const std::string Text = extractValue(Section, Key, false).value_or("info");
  if (Text == "info")
    return LogLevel::Info;
  if (Text == "warning")
    return LogLevel::Warning;
  if (Text != "error")
    reject(SettingsEntry{Section, Key, ""}, "must be info, warning or error");
  return LogLevel::Error;
}

std::map<CustomerName, std::uint16_t> SettingsReader::customerPorts() {
  std::map<CustomerName, std::uint16_t> Ports;
  std::set<std::string> Sections;
  for (const SettingsEntry &Entry : Entries_)
    if (Entry.Section_.rfind(CustomerSection, 0) == 0)
      Sections.insert(Entry.Section_);
  for (const std::string &Section : Sections) {
    const std::string Customer = Section.substr(CustomerSection.size());
    if (!isValidName(Customer))
      reject(SettingsEntry{Section, "port", ""},
             "is in a section whose customer name is not valid");
    Ports.emplace(CustomerName(Customer),
                  number(Section.c_str(), "port", 1, MaxPort, std::nullopt));
  }
  if (Ports.empty())
    reject(SettingsEntry{"customer.NAME", "port", ""}, "is missing");
  return Ports;
}

std::optional<std::string> SettingsReader::finish() {
  if (!Problem_ && !Entries_.empty())
    reject(Entries_.front(), "is not a known section and key");
  return Problem_;
}

} // namespace kumquatpitch
