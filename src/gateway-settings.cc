// Reads a gateway host's settings. See gateway-settings.h.

#include "kumquatpitch/gateway-settings.h"
#include "kumquatpitch/settings-reader.h"
#include "kumquatpitch/settings.h"

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxSettingsBytes = 1 << 20;
constexpr std::uint64_t MaxConnections = 100'000;
constexpr double MaxSeconds = 3'600;
constexpr double MaxSlack = 1e6;
constexpr double MaxCores = 1'024;

Duration secondsOf(double Seconds) {
  return Duration(static_cast<Duration::rep>(Seconds * 1e6));
}

double asSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

GatewaySettings readAll(SettingsReader &Reader) {
  GatewaySettings Read;
  Read.Id_ = Reader.name<HostTag>("host", "id");
  Read.Region_ = Reader.name<RegionTag>("host", "region");
  Read.Domain_ = Reader.name<FailureDomainTag>("host", "failure_domain");
  Read.Processor_ =
      Reader.decimal("host", "processor_share", 0.001, 1, 1) *
      Reader.decimal("host", "processor_cores", 0.001, MaxCores, 1);
  Read.Address_ = Reader.address("host", "address", "");
  Read.Front_ = Reader.endpoint("listen", "front");
  Read.Ready_ = Reader.endpoint("listen", "ready");
  Read.Directory_ = Reader.endpoint("listen", "directory");
  Read.MetricsPort_ = static_cast<std::uint16_t>(
      Reader.number("listen", "metrics_port", 0, MaxPort, 0));
  Read.PeerPort_ = static_cast<std::uint16_t>(
      Reader.number("peers", "port", 1, MaxPort, std::nullopt));
  Read.Seeds_ = Reader.endpoints("peers", "seeds");
  Read.Store_ = Reader.endpoint("store", "address");
  Read.MaxConnections_ = static_cast<std::uint32_t>(Reader.number(
      "limits", "max_connections", 1, MaxConnections, Read.MaxConnections_));
  Read.FloorShare_ =
      Reader.decimal("terms", "floor_share", 0, 1, Read.FloorShare_);
  Read.ResendRatio_ =
      Reader.decimal("terms", "resend_ratio", 0, 1, Read.ResendRatio_);
  Read.ResendSlack_ =
      Reader.decimal("terms", "resend_slack", 0, MaxSlack, Read.ResendSlack_);
  Read.ResendWindow_ =
      secondsOf(Reader.decimal("terms", "resend_window_s", 1, MaxSeconds,
                               asSeconds(Read.ResendWindow_)));
  const double MostKeep = Reader.decimal("terms", "address_keep_max_s", 0.1,
                                         MaxSeconds, MaxSeconds);
  Read.AddressKeep_ = std::min(Read.AddressKeep_, secondsOf(MostKeep));
  Read.StopTime_ = secondsOf(Reader.decimal(
      "terms", "stop_time_s", 0.1, MaxSeconds, asSeconds(Read.StopTime_)));
  Read.LogLevel_ = Reader.level("log", "level");
  return Read;
}

} // namespace

Result<GatewaySettings> parseGatewaySettings(const std::string &Text,
                                             const std::string &File) {
  BOOST_LEAF_AUTO(Reader, SettingsReader::parse(Text, File));
  GatewaySettings Read = readAll(Reader);
  if (const std::optional<std::string> Problem = Reader.finish())
    return fail(ResultCode::SettingsInvalid, File + ": " + *Problem);
  return Read;
}

Result<GatewaySettings> loadGatewaySettings(const std::string &File) {
  BOOST_LEAF_AUTO(Text, readFile(File, MaxSettingsBytes));
  return parseGatewaySettings(Text, File);
}

} // namespace kumquatpitch
