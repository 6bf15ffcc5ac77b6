// Reads and checks settings. See settings.h.

#include "kumquatpitch/settings.h"
#include "kumquatpitch/settings-reader.h"

#include <fstream>
#include <set>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxSettingsBytes = 1 << 20;
void checkPorts(SettingsReader &Reader, const Settings &Read) {
  std::set<std::uint16_t> Ports{Read.PeerPort_};
  if (!Ports.insert(Read.OperatorPort_).second)
    Reader.reject(SettingsEntry{"host", "operator_port", ""},
                  "must differ from peer_port");
  for (const std::pair<const CustomerName, std::uint16_t> &Each :
       Read.CustomerPorts_)
    if (!Ports.insert(Each.second).second)
      Reader.reject(SettingsEntry{"customer." + Each.first.str(), "port", ""},
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
  BOOST_LEAF_AUTO(Reader, SettingsReader::parse(Text, File));
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
