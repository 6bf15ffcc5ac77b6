// Tests the settings of a gateway host and the settings template that the
// platform fills in.

#include "kumquatpitch/gateway-settings.h"
#include "kumquatpitch/settings.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static std::string replaceAll(std::string Text, const std::string &From,
                              const std::string &To) {
  for (std::size_t Position = Text.find(From); Position != std::string::npos;
       Position = Text.find(From, Position + To.size()))
    Text.replace(Position, From.size(), To);
  return Text;
}

/// Keeps the text of a section of the template, or removes it.
static std::string fillSection(std::string Text, const std::string &Name,
                               bool IsKept) {
  const std::string Begin = "{{#" + Name + "}}";
  const std::string End = "{{/" + Name + "}}";
  const std::size_t From = Text.find(Begin);
  const std::size_t To = Text.find(End);
  if (From == std::string::npos || To == std::string::npos)
    return Text;
  const std::string Inner =
      Text.substr(From + Begin.size(), To - From - Begin.size());
  return Text.replace(From, To + End.size() - From, IsKept ? Inner : "");
}

/// The settings template with its placeholders replaced by example values. The
/// terms on keys and limits stand only in some deployments.
static std::string filledTemplate(bool HasTerms = true) {
  const std::string File =
      std::string(KUMQUATPITCH_SOURCE_DIR) + "/deploy/gateway.ini";
  std::string Text = handleFailure(
      [&]() -> Result<std::string> { return readFile(File, 100'000); },
      [](const Failure &) { return std::string(); });
  const std::pair<const char *, const char *> Values[] = {
      {"{{NodeName}}", "edge-ikeja-1"},
      {"{{Region}}", "lagos-west"},
      {"{{Zone}}", "ikeja"},
      {"{{Ip}}", "10.1.0.18"},
      {"{{Limits.CpuShare}}", "0.2"},
      {"{{Limits.Cores}}", "2"},
      {"{{Limits.MemoryMb}}", "160"},
      {"{{Listen.Front}}", "10.1.0.18:8381"},
      {"{{Listen.Ready}}", "10.1.0.18:8388"},
      {"{{Listen.Directory}}", "10.1.0.18:8383"},
      {"{{PortRange.0}}", "7200"},
      {"{{Seeds}}", "10.1.0.18:8382,10.2.0.34:8382"},
      {"{{Provider.Address}}", "10.200.1.7:8384"},
      {"{{Bounds.FloorShare}}", "0.7"},
      {"{{Bounds.RetryRatio}}", "0.2"},
      {"{{Bounds.RetrySlack}}", "64"},
      {"{{Bounds.RetryWindowS}}", "10"},
      {"{{Bounds.ttl_max_s}}", "5"},
      {"{{Bounds.GraceS}}", "6"},
      {"{{Limits.LinkMbps}}", "200"},
      {"{{Bounds.RevokeS}}", "5"},
      {"{{Bounds.QuotaWindowS}}", "5"},
      {"{{Bounds.QuotaOverage}}", "0.25"},
      {"{{Bounds.QuotaSlack}}", "20"}};
  for (const char *Section :
       {"Limits.LinkMbps", "Bounds.StrictRevoke", "Bounds.QuotaWindowS"})
    Text = fillSection(Text, Section, HasTerms);
  for (const std::pair<const char *, const char *> &Entry : Values)
    Text = replaceAll(Text, Entry.first, Entry.second);
  return Text;
}

static GatewaySettings parsed(const std::string &Text) {
  return handleFailure(
      [&]() -> Result<GatewaySettings> {
        return parseGatewaySettings(Text, "a.ini");
      },
      [](const Failure &) { return GatewaySettings(); });
}

static std::string parseError(const std::string &Text) {
  return handleFailure(
      [&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(parseGatewaySettings(Text, "a.ini"));
        return std::string("none");
      },
      [](const Failure &Cause) { return Cause.Message_; });
}

TEST_GROUP(GatewaySettings){};

TEST(GatewaySettings, FilledTemplateIsValid) {
  const std::string Text = filledTemplate();
  CHECK_EQUAL(std::string("none"), parseError(Text));
  const double Processor = handleFailure(
      [&]() -> Result<double> {
        BOOST_LEAF_AUTO(Settings, parseGatewaySettings(Text, "a.ini"));
        return Settings.ProcessorCores_;
      },
      [](const Failure &) { return 0.0; });
  DOUBLES_EQUAL(0.4, Processor, 1e-9);
  CHECK(Text.find("{{") == std::string::npos);
}

TEST(GatewaySettings, ErrorsNameSectionAndKey) {
  CHECK(parseError(replaceAll(filledTemplate(), "10.1.0.18:8381", "here"))
            .find("section [listen], key front") != std::string::npos);
  CHECK(parseError(replaceAll(filledTemplate(), "floor_share = 0.7",
                              "floor_share = 7"))
            .find("section [terms], key floor_share") != std::string::npos);
  CHECK(parseError(filledTemplate() + "\n[terms]\nfloor = 1\n")
            .find("is not a known section and key") != std::string::npos);
}

TEST(GatewaySettings, AddressAnswerTtlIsCappedBySetting) {
  const std::string WithShortTtl = replaceAll(
      filledTemplate(), "address_keep_max_s = 5", "address_keep_max_s = 0.5");
  const Duration Ttl = handleFailure(
      [&]() -> Result<Duration> {
        BOOST_LEAF_AUTO(Settings, parseGatewaySettings(WithShortTtl, "a.ini"));
        return Settings.AddressAnswerTtl_;
      },
      [](const Failure &) { return Duration::zero(); });
  CHECK(Ttl == std::chrono::milliseconds(500));
}

TEST(GatewaySettings, ServicesWithoutLengthsAreDeclared) {
  const auto IsDeclared = [](const std::string &Text) {
    return handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(Settings, parseGatewaySettings(Text, "a.ini"));
          return Settings.UnframedServices_.contains(ServiceName("desk"));
        },
        [](const Failure &) { return false; });
  };
  const std::string Section = filledTemplate() + "\n[answers]\n";
  CHECK(!IsDeclared(filledTemplate()));
  CHECK(IsDeclared(Section + "without_length = ledger, desk\n"));
  CHECK(parseError(Section + "without_length = ledger; desk\n")
            .find("section [answers], key without_length") !=
        std::string::npos);
}

// Deployments without terms on keys and limits are served as before.
TEST(GatewaySettings, TermsOnKeysAndLimitsAreOptional) {
  CHECK_EQUAL(std::string("none"), parseError(filledTemplate(false)));
  const GatewaySettings Without = parsed(filledTemplate(false));
  CHECK(Without.KeyRevocationTime_ == Duration::zero());
  CHECK(Without.LimitWindow_ == Duration::zero());
  DOUBLES_EQUAL(0, Without.LinkMbps_, 1e-9);
  const GatewaySettings With = parsed(filledTemplate());
  CHECK(With.KeyRevocationTime_ == std::chrono::seconds(5));
  CHECK(With.LimitWindow_ == std::chrono::seconds(5));
  DOUBLES_EQUAL(0.25, With.LimitOverage_, 1e-9);
  DOUBLES_EQUAL(20, With.LimitSlack_, 1e-9);
  DOUBLES_EQUAL(200, With.LinkMbps_, 1e-9);
}

TEST(GatewaySettings, ChoosesTargetsByCountUnlessToldByWork) {
  CHECK_FALSE(parsed(filledTemplate()).MayBalanceByWork_);
  const std::string Section = filledTemplate() + "\n[balancing]\n";
  CHECK(parsed(Section + "choice = auto\n").MayBalanceByWork_);
  CHECK_FALSE(parsed(Section + "choice = count\n").MayBalanceByWork_);
  CHECK(parseError(Section + "choice = size\n")
            .find("section [balancing], key choice") != std::string::npos);
}
