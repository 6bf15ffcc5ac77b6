// Settings: parsing, and error messages that name the section and key.

#include "kumquatpitch/settings.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static const std::string ValidSettings = R"(
[host]
id = lagos-01
region = lagos-west
failure_domain = ikeja
address = 127.0.0.1
peer_port = 7001
operator_port = 7002
[platform]
address = 127.0.0.1
port = 7100
[peers]
seeds = 127.0.0.1:7011, 127.0.0.1:7021
[customer.imigongo]
port = 7003
[log]
level = warning
)";

static std::string replaceText(std::string Text, const std::string &From,
                               const std::string &To) {
  const std::size_t Position = Text.find(From);
  return Position == std::string::npos
             ? Text
             : Text.replace(Position, From.size(), To);
}

static std::string parseError(const std::string &Text) {
  return handleFailure(
      [&]() -> Result<std::string> {
        Result<Settings> Parsed = parseSettings(Text, "a.ini");
        if (!Parsed)
          return Parsed.error();
        return std::string("none");
      },
      [](const Failure &Cause) { return Cause.Message_; });
}

TEST_GROUP(Settings){};

TEST(Settings, ParsesValidSettings) {
  const Settings Parsed = parseSettings(ValidSettings, "a.ini").value();
  CHECK(Parsed.Id_ == HostId("lagos-01"));
  CHECK_EQUAL(2, Parsed.Seeds_.size());
  CHECK((Parsed.Seeds_[1] == Endpoint{"127.0.0.1", 7021}));
  CHECK_EQUAL(7003, Parsed.CustomerPorts_.at(CustomerName("imigongo")));
  CHECK(Parsed.LogLevel_ == LogLevel::Warning);
}

// Guards against a misspelt key being ignored, so that the default applies
// unnoticed.
TEST(Settings, RejectsUnknownKey) {
  STRCMP_EQUAL(
      "a.ini: section [log], key levle: is not a known section and "
      "key",
      parseError(replaceText(ValidSettings, "level =", "levle =")).c_str());
}

TEST(Settings, RejectsMissingKey) {
  STRCMP_EQUAL(
      "a.ini: section [host], key peer_port: is missing",
      parseError(replaceText(ValidSettings, "peer_port = 7001", "")).c_str());
}

TEST(Settings, RejectsDuplicateKey) {
  STRCMP_EQUAL(
      "a.ini: section [host], key id: is set more than once",
      parseError(replaceText(ValidSettings, "region =", "id = b\nregion ="))
          .c_str());
}

TEST(Settings, RejectsOutOfRangePort) {
  STRCMP_EQUAL("a.ini: section [customer.imigongo], key port: must be a whole "
               "number from 1 to 65535",
               parseError(replaceText(ValidSettings, "7003", "70030")).c_str());
}

TEST(Settings, RejectsMalformedLine) {
  STRCMP_EQUAL(
      "a.ini: line 3: must be [SECTION], KEY = VALUE or a comment",
      parseError(replaceText(ValidSettings, "id = lagos-01", "lagos-01"))
          .c_str());
}

TEST(Settings, RejectsPortUsedTwice) {
  STRCMP_EQUAL("a.ini: section [customer.imigongo], key port: must differ from "
               "the host's other ports",
               parseError(replaceText(ValidSettings, "7003", "7001")).c_str());
}
