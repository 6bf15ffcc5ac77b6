// Tests of result code names and exit statuses.

#include "kumquatpitch/result-code.h"

#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(ResultCode){};

// Guards against two codes with the same name, which logs and answers could not
// distinguish.
TEST(ResultCode, NamesAreUnique) {
  std::set<std::string> Names;
  for (const ResultCode Code : allResultCodes())
    CHECK(Names.insert(resultCodeName(Code)).second);
}

TEST(ResultCode, ExitStatusIsTheFirstDigit) {
  CHECK_EQUAL(0, exitStatus(ResultCode::Ok));
  CHECK_EQUAL(2, exitStatus(ResultCode::DocumentInvalid));
  CHECK_EQUAL(9, exitStatus(ResultCode::InternalError));
}
