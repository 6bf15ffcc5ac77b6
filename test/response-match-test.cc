// Tests matching of responses to requests.

#include "kumquatpitch/response-match.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

const RequestEcho Expected{"X-Id", "a"};

ResponseMatch match(int Status, const HeaderFields &Headers, bool IsReused) {
  HttpMessage Response;
  Response.Status_ = Status;
  Response.Headers_ = Headers;
  return matchResponse(Response, Expected, IsReused);
}

} // namespace

TEST_GROUP(ResponseMatch){};

TEST(ResponseMatch, TellsOwnResponsesFromOthers) {
  CHECK(match(200, {{"x-id", "a"}}, true) == ResponseMatch::Own);
  CHECK(match(503, {{"X-Id", "a"}}, true) == ResponseMatch::Own);
  CHECK(match(200, {{"X-Id", "b"}}, false) == ResponseMatch::Other);
  CHECK(match(103, {}, true) == ResponseMatch::Interim);
}

TEST(ResponseMatch, ResponseWithoutIdIsOwnOnlyForAFailureOnANewConnection) {
  CHECK(match(503, {}, false) == ResponseMatch::Own);
  CHECK(match(503, {}, true) == ResponseMatch::Unattributed);
  CHECK(match(200, {}, false) == ResponseMatch::Unattributed);
}

// Guards against two heads that were read as one.
TEST(ResponseMatch, ResponseWithSeveralIdsIsUnattributed) {
  CHECK(match(200, {{"X-Id", "a"}, {"X-Id", "b"}}, false) ==
        ResponseMatch::Unattributed);
  CHECK(match(200, {{"X-Id", "a"}, {"x-id", "a"}}, false) ==
        ResponseMatch::Unattributed);
}

// Guards against a late copy of an earlier response to the same id.
TEST(ResponseMatch, ConnectionDoesNotCarryAnIdTwice) {
  CarriedRequestIds Ids;
  Ids.add("a");
  CHECK_FALSE(Ids.mayCarry("a"));
  CHECK(Ids.mayCarry("b"));
  // Requests without an id are sent on new connections only.
  Ids.add("");
  CHECK(Ids.mayCarry(""));
}

TEST(ResponseMatch, ConnectionThatHasCarriedManyIdsIsFull) {
  CarriedRequestIds Ids;
  for (std::size_t Id = 0; Id < CarriedRequestIds::MaxIds; ++Id) {
    CHECK_FALSE(Ids.isFull());
    Ids.add(std::to_string(Id));
  }
  CHECK(Ids.isFull());
  CHECK_FALSE(Ids.mayCarry("new"));
}
