// Tests when a caller's connection stops accepting requests.

#include "kumquatpitch/connection-phase.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(ConnectionPhase) { ConnectionPhase Phase_; };

TEST(ConnectionPhase, StaysOpenWithoutAReasonToClose) {
  CHECK_FALSE(Phase_.responseQueued(false, false));
  CHECK(Phase_.acceptsRequests());
}

// Guards against accepting a request that would not be answered.
TEST(ConnectionPhase, AcceptsNothingAfterTheLastResponse) {
  CHECK(Phase_.responseQueued(false, true));
  CHECK_FALSE(Phase_.acceptsRequests());
  CHECK(Phase_.isLastQueued());
}

// Guards against closing before all accepted requests are answered.
TEST(ConnectionPhase, OnlyTheLastOfSeveralResponsesEndsTheConnection) {
  CHECK_FALSE(Phase_.responseQueued(true, true));
  CHECK(Phase_.acceptsRequests());
  Phase_.acceptNoMore();
  CHECK_FALSE(Phase_.acceptsRequests());
  CHECK_FALSE(Phase_.responseQueued(true, false));
  CHECK_FALSE(Phase_.isLastQueued());
  CHECK(Phase_.responseQueued(false, false));
}
