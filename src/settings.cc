// Reads and checks settings. See settings.h.

#include "kumquatpitch/settings.h"

#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <functional>
#include <ini.h>
#include <optional>
#include <set>
#include <sstream>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxSettingsBytes = 1 << 20;
constexpr std::uint64_t MaxPort = 65'535;
constexpr std::size_t MaxSeeds = 64;
constexpr std::string_view CustomerSection = "customer.";

/// The text of one key, and where it stands.
struct Entry {
  std::string Section_;
  std::string Key_;
  std::string Value_;
};

/// Collects entries; refuses doubled keys.
struct EntryList {
  std::vector<Entry> Entries_;
  std::optional<std::string> Problem_;
};

std::string placeOf(const Entry &At) {
  return "section [" + At.Section_ + "], key " + At.Key_;
}

int collectEntry(void *User, const char *Section, const char *Key,
                 const char *Value) {
  EntryList &List = *static_cast<EntryList *>(User);
  Entry Read{Section, Key, Value};
  for (const Entry &Known : List.Entries_)
    if (Known.Section_ == Read.Section_ && Known.Key_ == Read.Key_ &&
        !List.Problem_)
      List.Problem_ = placeOf(Read) + ": is there twice";
  List.Entries_.push_back(std::move(Read));
  return 1;
}

std::optional<std::uint64_t>
parseNumber(const std::string &Text, std::uint64_t Least, std::uint64_t Most) {
  std::uint64_t Number = 0;
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != Text.data() + Text.size() ||
      Number < Least || Number > Most)
    return std::nullopt;
  return Number;
}

bool isIpAddress(const std::string &Text) {
  in6_addr Ignored;
  return inet_pton(AF_INET, Text.c_str(), &Ignored) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), &Ignored) == 1;
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

/// Takes the known keys out of the list; what is left is unknown.
class SettingsReader {
public:
  explicit SettingsReader(EntryList List)
      : Entries_(std::move(List.Entries_)), Problem_(std::move(List.Problem_)) {
  }

  std::optional<std::string> take(const char *Section, const char *Key,
                                  bool Required) {
    for (std::size_t Index = 0; Index < Entries_.size(); ++Index) {
      if (Entries_[Index].Section_ != Section || Entries_[Index].Key_ != Key)
        continue;
      std::string Value = Entries_[Index].Value_;
      Entries_.erase(Entries_.begin() + static_cast<std::ptrdiff_t>(Index));
      return Value;
    }
    if (Required)
      reject(Entry{Section, Key, ""}, "is missing");
    return std::nullopt;
  }

  void reject(const Entry &At, const std::string &Problem) {
    if (!Problem_)
      Problem_ = placeOf(At) + ": " + Problem;
  }

  template <class Tag> Name<Tag> name(const char *Section, const char *Key) {
    const std::string Text = take(Section, Key, true).value_or("");
    if (!isValidName(Text))
      reject(Entry{Section, Key, ""}, "must be a name: 1 to 63 of a-z, 0-9 and "
                                      "'-', not starting with '-'");
    return Name<Tag>(Text);
  }

  std::string address(const char *Section, const char *Key,
                      const std::string &Default) {
    std::string Text = take(Section, Key, Default.empty()).value_or(Default);
    if (!isIpAddress(Text))
      reject(Entry{Section, Key, ""}, "must be an IP address");
    return Text;
  }

  std::uint64_t number(const char *Section, const char *Key,
                       std::uint64_t Least, std::uint64_t Most,
                       std::optional<std::uint64_t> Default) {
    const std::optional<std::string> Text = take(Section, Key, !Default);
    if (!Text)
      return Default.value_or(Least);
    const std::optional<std::uint64_t> Number = parseNumber(*Text, Least, Most);
    if (!Number)
      reject(Entry{Section, Key, ""}, "must be a whole number from " +
                                          std::to_string(Least) + " to " +
                                          std::to_string(Most));
    return Number.value_or(Least);
  }

  std::vector<Endpoint> endpoints(const char *Section, const char *Key) {
    std::vector<Endpoint> Read;
    std::istringstream Text(take(Section, Key, false).value_or(""));
    std::string Item;
    while (std::getline(Text, Item, ',')) {
      Item.erase(0, Item.find_first_not_of(' '));
      Item.erase(Item.find_last_not_of(' ') + 1);
      const std::optional<Endpoint> Parsed = parseEndpoint(Item);
      if (!Parsed || Read.size() >= MaxSeeds) {
        reject(Entry{Section, Key, ""},
               "must be up to 64 of ADDRESS:PORT, separated by commas");
        break;
      }
      Read.push_back(*Parsed);
    }
    return Read;
  }

  LogLevel level(const char *Section, const char *Key) {
    const std::string Text = take(Section, Key, false).value_or("info");
    if (Text == "info")
      return LogLevel::Info;
    if (Text == "warning")
      return LogLevel::Warning;
    if (Text != "error")
      reject(Entry{Section, Key, ""}, "must be info, warning or error");
    return LogLevel::Error;
  }

  std::map<CustomerName, std::uint16_t> customerPorts() {
    std::map<CustomerName, std::uint16_t> Ports;
    std::set<std::string> Sections;
    for (const Entry &Each : Entries_)
      if (Each.Section_.rfind(CustomerSection, 0) == 0)
        Sections.insert(Each.Section_);
    for (const std::string &Section : Sections) {
      const std::string Customer = Section.substr(CustomerSection.size());
      if (!isValidName(Customer))
        reject(Entry{Section, "port", ""}, "the customer's name is not valid");
      Ports.emplace(CustomerName(Customer),
                    number(Section.c_str(), "port", 1, MaxPort, std::nullopt));
    }
    if (Ports.empty())
      reject(Entry{"customer.NAME", "port", ""}, "is missing");
    return Ports;
  }

  std::optional<std::string> finish() {
    if (!Problem_ && !Entries_.empty())
      reject(Entries_.front(), "is not a known section and key");
    return Problem_;
  }

private:
  std::vector<Entry> Entries_;
  std::optional<std::string> Problem_;
};

void checkPorts(SettingsReader &Reader, const Settings &Read) {
  std::set<std::uint16_t> Ports{Read.PeerPort_};
  if (!Ports.insert(Read.OperatorPort_).second)
    Reader.reject(Entry{"host", "operator_port", ""},
                  "must differ from peer_port");
  for (const std::pair<const CustomerName, std::uint16_t> &Each :
       Read.CustomerPorts_)
    if (!Ports.insert(Each.second).second)
      Reader.reject(Entry{"customer." + Each.first.str(), "port", ""},
                    "must differ from the host's other ports");
}

Settings readSettings(SettingsReader &Reader) {
  constexpr std::uint64_t MaxWorkers = 1'024;
  constexpr std::uint64_t MaxConnections = 100'000;
  constexpr std::uint64_t MaxBufferMiB = 4'096;
  constexpr std::uint64_t MaxStopLimitMs = 3'600'000;
  Settings Read;
  Read.Id_ = Reader.name<HostTag>("host", "id");
  Read.Region_ = Reader.name<RegionTag>("host", "region");
  Read.Domain_ = Reader.name<FailureDomainTag>("host", "failure_domain");
  Read.Address_ = Reader.address("host", "address", "");
  Read.PeerPort_ = Reader.number("host", "peer_port", 1, MaxPort, {});
  Read.OperatorPort_ = Reader.number("host", "operator_port", 1, MaxPort, {});
  Read.OperatorAddress_ =
      Reader.address("host", "operator_address", Read.Address_);
  Read.Platform_.Address_ = Reader.address("platform", "address", "");
  Read.Platform_.Port_ = Reader.number("platform", "port", 1, MaxPort, {});
  Read.Seeds_ = Reader.endpoints("peers", "seeds");
  Read.Workers_ =
      Reader.number("limits", "workers", 1, MaxWorkers, Read.Workers_);
  Read.MaxConnections_ = Reader.number("limits", "max_connections", 1,
                                       MaxConnections, Read.MaxConnections_);
  Read.MaxBufferMiB_ = Reader.number("limits", "max_buffer_mib", 1,
                                     MaxBufferMiB, Read.MaxBufferMiB_);
  Read.StopLimit_ = std::chrono::milliseconds(Reader.number(
      "limits", "stop_limit_ms", 0, MaxStopLimitMs,
      static_cast<std::uint64_t>(toMilliseconds(Read.StopLimit_))));
  Read.LogLevel_ = Reader.level("log", "level");
  Read.CustomerPorts_ = Reader.customerPorts();
  checkPorts(Reader, Read);
  return Read;
}

} // namespace

Result<Settings> parseSettings(const std::string &Text,
                               const std::string &File) {
  EntryList List;
  const int BadLine = ini_parse_string(Text.c_str(), collectEntry, &List);
  if (BadLine != 0)
    return fail(ResultCode::SettingsInvalid,
                File + ": line " + std::to_string(BadLine) +
                    ": must be [SECTION], KEY = VALUE or a comment");
  SettingsReader Reader(std::move(List));
  Settings Read = readSettings(Reader);
  if (const std::optional<std::string> Problem = Reader.finish())
    return fail(ResultCode::SettingsInvalid, File + ": " + *Problem);
  return Read;
}

Result<Settings> loadSettings(const std::string &File) {
  BOOST_LEAF_AUTO(Text, readFile(File, MaxSettingsBytes));
  return parseSettings(Text, File);
}

Result<std::string> readFile(const std::string &File, std::size_t MaxBytes) {
  std::ifstream In(File, std::ios::binary);
  if (!In)
    return fail(ResultCode::SettingsUnreadable, File + ": cannot be opened");
  std::string Text(MaxBytes + 1, '\0');
  In.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(In.gcount()));
  if (In.bad())
    return fail(ResultCode::SettingsUnreadable, File + ": cannot be read");
  if (Text.size() > MaxBytes)
    return fail(ResultCode::SettingsUnreadable, File + ": is larger than " +
                                                    std::to_string(MaxBytes) +
                                                    " bytes");
  return Text;
}

} // namespace kumquatpitch
