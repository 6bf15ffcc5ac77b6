// Tests of the ids that one line of the log names.

#include "kumquatpitch/request-id-list.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(RequestIdList) { RequestIdList List_; };

TEST(RequestIdList, ListsIdsInTheirOrder) {
  List_.add("b");
  List_.add("");
  List_.add("a");
  CHECK_EQUAL(3, List_.count());
  STRCMP_EQUAL("b none a", List_.text().c_str());
}

// Guards against a log that grows with what callers send.
TEST(RequestIdList, IsBoundedInNumberAndLength) {
  const std::string Long(1'000, 'x');
  for (int Index = 0; Index < 1'000; ++Index)
    List_.add(Long);
  CHECK_EQUAL(1'000, List_.count());
  CHECK_EQUAL(RequestIdList::MaxIds * (RequestIdList::MaxIdBytes + 1) - 1,
              List_.text().size());
}

TEST(RequestIdList, CountsTheRequestsOfAnotherList) {
  RequestIdList Other;
  for (int Index = 0; Index < 20; ++Index)
    Other.add("o" + std::to_string(Index));
  List_.add("first");
  List_.add(Other);
  CHECK_EQUAL(21, List_.count());
  CHECK(List_.text().starts_with("first o0 o1 "));
  CHECK(List_.text().ends_with(" o14"));
}
