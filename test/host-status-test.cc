// Host status reports: formatting as JSON and strict parsing.

#include "kumquatpitch/host-status.h"

#include "sample-status.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::sampleStatus;

static std::string parseError(const std::string &Json) {
  return handleFailure(
      [&]() -> Result<std::string> {
        Result<HostStatus> Parsed = parseHostStatus(Json);
        if (!Parsed)
          return Parsed.error();
        return std::string();
      },
      [](const Failure &Cause) { return Cause.Message_; });
}

static std::string replaceText(std::string Text, const std::string &From,
                               const std::string &To) {
  const std::size_t Position = Text.find(From);
  return Position == std::string::npos
             ? Text
             : Text.replace(Position, From.size(), To);
}

TEST_GROUP(HostStatus){};

// Guards against a field that is formatted but not parsed, or the reverse.
TEST(HostStatus, RoundTripsEveryField) {
  const HostStatus Value = sampleStatus("h-1");
  CHECK(parseHostStatus(formatHostStatus(Value)).value() == Value);
}

TEST(HostStatus, RoundTripsAnEmptyReport) {
  HostStatus Value;
  Value.Host_ = HostId("h-9");
  Value.Region_ = Region("r");
  Value.Domain_ = FailureDomain("d");
  CHECK(parseHostStatus(formatHostStatus(Value)).value() == Value);
}

TEST(HostStatus, ErrorNamesFieldAndProblem) {
  const std::string Json = formatHostStatus(sampleStatus("h-1"));
  STRCMP_EQUAL("config_versio: is not a known field",
               parseError(replaceText(Json, "{\"age_ms\"",
                                      "{\"config_versio\":1,\"age_ms\""))
                   .c_str());
  STRCMP_EQUAL(
      "refusals[0].code: is not a known result code",
      parseError(replaceText(Json, "\"code\":2002", "\"code\":2999")).c_str());
  STRCMP_EQUAL("incarnation: must be 16 hexadecimal digits",
               parseError(replaceText(Json, "fedcba", "fedcbx")).c_str());
}

// Guards against summing counts over hosts when the counts of one report
// contradict each other.
TEST(HostStatus, RejectsContradictoryBurnCounts) {
  const std::string Json = formatHostStatus(sampleStatus("h-1"));
  STRCMP_EQUAL("burn[0].windows[0].bad: must be the sum by cause and the sum "
               "by outcome",
               parseError(replaceText(Json, "\"bad\":1,\"bad_by_cause\"",
                                      "\"bad\":2,\"bad_by_cause\""))
                   .c_str());
  STRCMP_EQUAL(
      "burn[0].windows: must hold each window once",
      parseError(replaceText(Json, "\"window\":\"30m\"", "\"window\":\"6h\""))
          .c_str());
}

// Guards against a rejected document whose reason is not valid UTF-8 or is too
// long and makes the whole report unreadable.
TEST(HostStatus, AcceptsReasonsThatAreNotUtf8) {
  HostStatus Value = sampleStatus("h-1");
  Value.Refusals_[0].Reason_ = std::string(5'000, '\xff');
  const HostStatus Parsed = parseHostStatus(formatHostStatus(Value)).value();
  CHECK(!Parsed.Refusals_[0].Reason_.empty());
}
