// Tests of the codes and retry delays of refusals.

#include "kumquatpitch/gateway-refusal.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(GatewayRefusal){
    static std::string codeOf(bool MayHaveRun,
                              bool IsTimeOver){return resultCodeName(
        refusalOf(UnservedRequest{MayHaveRun, IsTimeOver}, Duration(1)).Code_);
}
}
;

// Guards against a timeout that is reported though there was time left, and
// against a refusal that claims that a request which may have run did not.
TEST(GatewayRefusal, CodeTellsWhyTheRequestWasNotServed) {
  STRCMP_EQUAL("backend_refused", codeOf(false, false).c_str());
  STRCMP_EQUAL("backend_refused", codeOf(false, true).c_str());
  STRCMP_EQUAL("backend_broken", codeOf(true, false).c_str());
  STRCMP_EQUAL("backend_timeout", codeOf(true, true).c_str());
}

TEST(GatewayRefusal, OnlyRequestsThatHaveNotRunAreAskedToReturn) {
  CHECK(refusalOf(UnservedRequest{false, false}, Duration(7)).RetryAfter_ ==
        Duration(7));
  CHECK_FALSE(refusalOf(UnservedRequest{true, false}, Duration(7)).RetryAfter_);
}

TEST(GatewayRefusal, CallersReturnWhenTheQueueHasLeft) {
  CHECK(retryAfterQueue(30, 10) == std::chrono::seconds(3));
  CHECK(retryAfterQueue(0, 10) == std::chrono::milliseconds(100));
  CHECK(retryAfterQueue(30, 0) == std::chrono::seconds(5));
}
