// Tests the parsing of what targets report in the headers of their answers.

#include "kumquatpitch/target-report.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(TargetReport){
    static std::optional<double> limitOf(const std::string &Text){
        return parseTargetReport(nullptr, &Text).RateLimit_;
}

static std::optional<ReportedLoad> loadOf(const std::string &Text) {
  return parseTargetReport(&Text, nullptr).Load_;
}
}
;

TEST(TargetReport, ReadsLoadAndIgnoresSlots) {
  CHECK(loadOf("3,1,8") == (ReportedLoad{3, 1}));
  CHECK(loadOf("3,1") == (ReportedLoad{3, 1}));
}

TEST(TargetReport, MalformedLoadIsNone) {
  for (const char *Text : {"", "3", "-1,0,8", "a,b,c", "3,"})
    CHECK(!loadOf(Text));
}

TEST(TargetReport, AnswerWithoutLimitNamesNone) {
  CHECK(parseTargetReport(nullptr, nullptr).RateLimit_ == NoRateLimit);
}

TEST(TargetReport, ReadsDecimalLimit) {
  CHECK(limitOf("3.4") == 3.4);
  CHECK(limitOf("12") == 12.0);
  CHECK(limitOf("0") == 0.0);
}

// Guards against taking an unreadable limit as the end of the limit.
TEST(TargetReport, MalformedLimitIsUnknown) {
  for (const char *Text : {"", "x", "-1", "nan", "inf", "3.4/s", "1e999"})
    CHECK(!limitOf(Text));
}

TEST(TargetReport, TargetLeavesOnlyWhenItSaysSo) {
  const auto LeavingOf = [](const std::string &Text) {
    return parseTargetReport(nullptr, nullptr, &Text).IsLeaving_;
  };
  CHECK(LeavingOf("1") == true);
  CHECK(LeavingOf("0") == false);
  CHECK(parseTargetReport(nullptr, nullptr).IsLeaving_ == false);
  for (const char *Text : {"", "2", "1, 1", "yes"})
    CHECK_FALSE(LeavingOf(Text).has_value());
}
