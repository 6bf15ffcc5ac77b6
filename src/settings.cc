// Reads and checks settings. See settings.h.

#include "kumquatpitch/settings.h"
#include "kumquatpitch/settings-reader.h"

#include <fstream>
#include <set>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxSettingsBytes = 1 << 20;
void checkPorts(SettingsReader &Reader, const Settings &Parsed) {
  std::set<std::uint16_t> UsedPorts{Parsed.PeerPort_};
  if (!UsedPorts.insert(Parsed.OperatorPort_).second)
    Reader.reject(SettingsEntry{"host", "operator_port", ""},
                  "must differ from peer_port");
  for (const std::pair<const CustomerName, std::uint16_t> &Port :
       Parsed.CustomerPorts_)
    if (!UsedPorts.insert(Port.second).second)
      Reader.reject(SettingsEntry{"customer." + Port.first.str(), "port", ""},
                    "must differ from the host's other ports");
}

Settings readSettings(SettingsReader &Reader) {
  constexpr std::uint64_t MaxWorkers = 1'024;
  constexpr std::uint64_t MaxConnections = 100'000;
  constexpr std::uint64_t MaxBufferMiB = 4'096;
  constexpr std::uint64_t MaxStopLimitMs = 3'600'000;
  Settings Parsed;
  Parsed.Id_ = Reader.name<HostTag>("host", "id");
  Parsed.Region_ = Reader.name<RegionTag>("host", "region");
  Parsed.Domain_ = Reader.name<FailureDomainTag>("host", "failure_domain");
  Parsed.Address_ = Reader.address("host", "address", "");
  Parsed.PeerPort_ = Reader.number("host", "peer_port", 1, MaxPort, {});
  Parsed.OperatorPort_ = Reader.number("host", "operator_port", 1, MaxPort, {});
  Parsed.OperatorAddress_ =
      Reader.address("host", "operator_address", Parsed.Address_);
  Parsed.Platform_.Address_ = Reader.address("platform", "address", "");
  Parsed.Platform_.Port_ = Reader.number("platform", "port", 1, MaxPort, {});
  Parsed.Seeds_ = Reader.endpoints("peers", "seeds");
  Parsed.Workers_ =
      Reader.number("limits", "workers", 1, MaxWorkers, Parsed.Workers_);
  Parsed.MaxConnections_ = Reader.number(
      "limits", "max_connections", 1, MaxConnections, Parsed.MaxConnections_);
  Parsed.MaxBufferMiB_ = Reader.number("limits", "max_buffer_mib", 1,
                                       MaxBufferMiB, Parsed.MaxBufferMiB_);
  Parsed.StopLimit_ = std::chrono::milliseconds(Reader.number(
      "limits", "stop_limit_ms", 0, MaxStopLimitMs,
      static_cast<std::uint64_t>(toMilliseconds(Parsed.StopLimit_))));
  Parsed.LogLevel_ = Reader.level("log", "level");
  Parsed.CustomerPorts_ = Reader.customerPorts();
  checkPorts(Reader, Parsed);
  return Parsed;
}

} // namespace

Result<Settings> parseSettings(const std::string &Text,
                               const std::string &File) {
  BOOST_LEAF_AUTO(Reader, SettingsReader::parse(Text, File));
  Settings Parsed = readSettings(Reader);
  if (const std::optional<std::string> Problem = Reader.finish())
    return fail(ResultCode::SettingsInvalid, File + ": " + *Problem);
  return Parsed;
}

Result<Settings> loadSettings(const std::string &File) {
  BOOST_LEAF_AUTO(Text, readFile(File, MaxSettingsBytes));
  return parseSettings(Text, File);
}

Result<std::string> readFile(const std::string &File, std::size_t MaxBytes) {
  std::ifstream Stream(File, std::ios::binary);
  if (!Stream)
    return fail(ResultCode::SettingsUnreadable, File + ": cannot be opened");
  std::string Text(MaxBytes + 1, '\0');
  Stream.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(Stream.gcount()));
  if (Stream.bad())
    return fail(ResultCode::SettingsUnreadable, File + ": cannot be read");
  if (Text.size() > MaxBytes)
    return fail(ResultCode::SettingsUnreadable, File + ": is larger than " +
                                                    std::to_string(MaxBytes) +
                                                    " bytes");
  return Text;
}

} // namespace kumquatpitch
