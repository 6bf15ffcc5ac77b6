// Tests what is remembered of the framing of servers' answers.

#include "kumquatpitch/framing-history.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(FramingHistory) {
  const Endpoint Server_{"10.0.0.1", 80};
  FramingHistory History_;

  void record(int Count, bool IsFramed) {
    for (int Index = 0; Index < Count; ++Index)
      History_.record(Server_, IsFramed);
  }
};

TEST(FramingHistory, UnknownServerIsNotExpectedToFrame) {
  CHECK_FALSE(History_.framesAnswers(Server_));
  record(1, true);
  CHECK(History_.framesAnswers(Server_));
  CHECK_FALSE(History_.framesAnswers(Endpoint{"10.0.0.1", 81}));
}

TEST(FramingHistory, FewAnswersWithoutALengthDoNotCount) {
  record(9, true);
  record(7, false);
  CHECK(History_.framesAnswers(Server_));
}

// Guards against failing all answers of a server that has changed, or of
// another one that has got its address.
TEST(FramingHistory, OldAnswersAreForgotten) {
  record(100, true);
  record(8, false);
  CHECK_FALSE(History_.framesAnswers(Server_));
}

TEST(FramingHistory, NumberOfServersIsBounded) {
  record(1, true);
  for (int Port = 1; Port <= 5'000; ++Port)
    History_.record(Endpoint{"10.0.0.2", static_cast<std::uint16_t>(Port)},
                    true);
  CHECK_FALSE(History_.framesAnswers(Server_));
  CHECK(History_.framesAnswers(Endpoint{"10.0.0.2", 5'000}));
}
