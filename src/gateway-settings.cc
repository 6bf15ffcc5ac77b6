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
constexpr double MaxLinkMbps = 1e6;

constexpr std::int64_t MaxMemoryMb = 1 << 20;

GatewaySettings readSettings(SettingsReader &Reader) {
  GatewaySettings Settings;
  Settings.Id_ = Reader.name<HostTag>("host", "id");
  Settings.Region_ = Reader.name<RegionTag>("host", "region");
  Settings.Domain_ = Reader.name<FailureDomainTag>("host", "failure_domain");
  Settings.ProcessorCores_ =
      Reader.decimal("host", "processor_share", 0.001, 1, 1) *
      Reader.decimal("host", "processor_cores", 0.001, MaxCores, 1);
  Settings.MemoryBytes_ = static_cast<std::uint64_t>(Reader.number(
                              "host", "memory_mb", 16, MaxMemoryMb, 256))
                          << 20;
  Settings.Address_ = Reader.address("host", "address", "");
  Settings.Front_ = Reader.endpoint("listen", "front");
  Settings.Ready_ = Reader.endpoint("listen", "ready");
  Settings.Directory_ = Reader.endpoint("listen", "directory");
  Settings.MetricsPort_ = static_cast<std::uint16_t>(
      Reader.number("listen", "metrics_port", 0, MaxPort, 0));
  Settings.PeerPort_ = static_cast<std::uint16_t>(
      Reader.number("peers", "port", 1, MaxPort, std::nullopt));
  Settings.Seeds_ = Reader.endpoints("peers", "seeds");
  Settings.Store_ = Reader.endpoint("store", "address");
  Settings.MaxConnections_ = static_cast<std::uint32_t>(
      Reader.number("limits", "max_connections", 1, MaxConnections,
                    Settings.MaxConnections_));
  Settings.FloorShare_ =
      Reader.decimal("terms", "floor_share", 0, 1, Settings.FloorShare_);
  Settings.ResendRatio_ =
      Reader.decimal("terms", "resend_ratio", 0, 1, Settings.ResendRatio_);
  Settings.ResendSlack_ = Reader.decimal("terms", "resend_slack", 0, MaxSlack,
                                         Settings.ResendSlack_);
  Settings.ResendWindow_ =
      fromSeconds(Reader.decimal("terms", "resend_window_s", 1, MaxSeconds,
                                 toSeconds(Settings.ResendWindow_)));
  const double MaxTtl = Reader.decimal("terms", "address_keep_max_s", 0.1,
                                       MaxSeconds, MaxSeconds);
  Settings.AddressAnswerTtl_ =
      std::min(Settings.AddressAnswerTtl_, fromSeconds(MaxTtl));
  Settings.StopTimeout_ =
      fromSeconds(Reader.decimal("terms", "stop_time_s", 0.1, MaxSeconds,
                                 toSeconds(Settings.StopTimeout_)));
  const std::optional<UnframedServices> Unframed = UnframedServices::parse(
      Reader.extractValue("answers", "without_length", false).value_or(""));
  if (!Unframed)
    Reader.reject(SettingsEntry{"answers", "without_length", ""},
                  "must be a comma-separated list of services, or *");
  Settings.UnframedServices_ = Unframed.value_or(UnframedServices());
  Settings.KeyRevocationTime_ = fromSeconds(
      Reader.decimal("terms", "key_revocation_s", 0, MaxSeconds, 0));
  Settings.LimitWindow_ =
      fromSeconds(Reader.decimal("terms", "limit_window_s", 0, MaxSeconds, 0));
  Settings.LimitOverage_ = Reader.decimal("terms", "limit_overage", 0, 1, 0);
  Settings.LimitSlack_ = Reader.decimal("terms", "limit_slack", 0, MaxSlack, 0);
  Settings.LinkMbps_ = Reader.decimal("host", "link_mbps", 0, MaxLinkMbps, 0);
  const std::string Choice =
      Reader.extractValue("balancing", "choice", false).value_or("count");
  if (Choice != "auto" && Choice != "count")
    Reader.reject(SettingsEntry{"balancing", "choice", Choice},
                  "must be auto or count");
  Settings.MayBalanceByWork_ = Choice == "auto";
  Settings.LogLevel_ = Reader.level("log", "level");
  return Settings;
}

} // namespace

Result<GatewaySettings> parseGatewaySettings(const std::string &Text,
                                             const std::string &File) {
  BOOST_LEAF_AUTO(Reader, SettingsReader::parse(Text, File));
  GatewaySettings Settings = readSettings(Reader);
  if (const std::optional<std::string> Problem = Reader.finish())
    return fail(ResultCode::SettingsInvalid, File + ": " + *Problem);
  return Settings;
}

Result<GatewaySettings> loadGatewaySettings(const std::string &File) {
  BOOST_LEAF_AUTO(Text, readFile(File, MaxSettingsBytes));
  return parseGatewaySettings(Text, File);
}

} // namespace kumquatpitch
