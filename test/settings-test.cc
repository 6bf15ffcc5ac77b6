// Settings: each defect is named with its section and key.

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

static std::string replaced(std::string Text, const std::string &From,
                            const std::string &To) {
  const std::size_t At = Text.find(From);
  return At == std::string::npos ? Text : Text.replace(At, From.size(), To);
}

static std::string problemOf(const std::string &Text) {
  return handleFailure(
      [&]() -> Result<std::string> {
        Result<Settings> Read = parseSettings(Text, "a.ini");
        if (!Read)
          return Read.error();
        return std::string("none");
      },
      [](const Failure &Cause) { return Cause.Message_; });
}

TEST_GROUP(Settings){};

TEST(Settings, ReadsEveryKey) {
  const Settings Read = parseSettings(ValidSettings, "a.ini").value();
  CHECK(Read.Id_ == HostId("lagos-01"));
  CHECK_EQUAL(2, Read.Seeds_.size());
  CHECK((Read.Seeds_[1] == Endpoint{"127.0.0.1", 7021}));
  CHECK_EQUAL(7003, Read.CustomerPorts_.at(CustomerName("imigongo")));
  CHECK(Read.LogLevel_ == LogLevel::Warning);
}

// Guards against a misspelt key that leaves a default in force unnoticed.
TEST(Settings, NamesAnUnknownKey) {
  STRCMP_EQUAL(
      "a.ini: section [log], key levle: is not a known section and "
      "key",
      problemOf(replaced(ValidSettings, "level =", "levle =")).c_str());
}

TEST(Settings, NamesAMissingKey) {
  STRCMP_EQUAL(
      "a.ini: section [host], key peer_port: is missing",
      problemOf(replaced(ValidSettings, "peer_port = 7001", "")).c_str());
}

TEST(Settings, NamesADoubledKey) {
  STRCMP_EQUAL(
      "a.ini: section [host], key id: is there twice",
      problemOf(replaced(ValidSettings, "region =", "id = b\nregion ="))
          .c_str());
}

TEST(Settings, NamesAnOutOfRangePort) {
  STRCMP_EQUAL("a.ini: section [customer.imigongo], key port: must be a whole "
               "number from 1 to 65535",
               problemOf(replaced(ValidSettings, "7003", "70030")).c_str());
}

TEST(Settings, NamesAMalformedLine) {
  STRCMP_EQUAL(
      "a.ini: line 3: must be [SECTION], KEY = VALUE or a comment",
      problemOf(replaced(ValidSettings, "id = lagos-01", "lagos-01")).c_str());
}

TEST(Settings, RefusesOnePortForTwoUses) {
  STRCMP_EQUAL("a.ini: section [customer.imigongo], key port: must differ from "
               "the host's other ports",
               problemOf(replaced(ValidSettings, "7003", "7001")).c_str());
}
