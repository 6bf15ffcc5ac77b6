// At-most-once record: resends, expiry and bounds. The exhaustive check with
// several hosts is in at-most-once-bench.cc.

#include "kumquatpitch/request-registry.h"

#include "manual-time.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::atMs;

static const ServiceName Ledger("ledger");
static constexpr std::int64_t EpochMs = 30'000;
static const BeginResult Accepted{true};

static RequestKey keyOf(const std::string &Id, std::uint32_t Resend = 0,
                        const char *Customer = "imigongo") {
  return RequestKey{CustomerName(Customer), Ledger, Id, Resend};
}

static BeginResult refused(ResultCode Code, Outcome Value) {
  return BeginResult{false, Code, Value};
}

TEST_GROUP(RequestRegistry) {
  RequestRegistry Registry_{HostId("gasabo-1"), 7, atMs(0),
                            RegistryLimits{4, 10'000, 3}};
  RequestToken Token_ = Registry_.issueToken(Ledger, atMs(0));
};

TEST(RequestRegistry, ResendGetsRecordedOutcome) {
  CHECK(Registry_.begin(Token_, keyOf("a"), atMs(1)) == Accepted);
  CHECK(Registry_.begin(Token_, keyOf("a"), atMs(2)) ==
        refused(ResultCode::RequestDuplicate, Outcome::Unknown));
  Registry_.finish(Token_, keyOf("a"), Outcome::Ran, atMs(3));
  CHECK(Registry_.begin(Token_, keyOf("a", 1), atMs(4)) ==
        refused(ResultCode::RequestAlreadyRan, Outcome::Ran));
  CHECK(Registry_.begin(Token_, keyOf("b"), atMs(5)) == Accepted);
  Registry_.finish(Token_, keyOf("b"), Outcome::Unknown, atMs(6));
  CHECK(Registry_.begin(Token_, keyOf("b", 1), atMs(7)) ==
        refused(ResultCode::RequestDuplicate, Outcome::Unknown));
}

// Guards against a delayed copy that runs after its caller received `not-run`.
TEST(RequestRegistry, RerunAfterNotRunNeedsHigherResendNumber) {
  CHECK(Registry_.begin(Token_, keyOf("a"), atMs(1)) == Accepted);
  Registry_.finish(Token_, keyOf("a"), Outcome::NotRun, atMs(2));
  CHECK(Registry_.begin(Token_, keyOf("a"), atMs(3)) ==
        refused(ResultCode::RequestDuplicate, Outcome::NotRun));
  CHECK(Registry_.begin(Token_, keyOf("a", 1), atMs(4)) == Accepted);
}

// Guards against a late finish() of an earlier send that changes the state of a
// later one.
TEST(RequestRegistry, FinishOfEarlierSendIsIgnored) {
  Registry_.begin(Token_, keyOf("a"), atMs(1));
  Registry_.finish(Token_, keyOf("a"), Outcome::NotRun, atMs(2));
  Registry_.begin(Token_, keyOf("a", 1), atMs(3));
  Registry_.finish(Token_, keyOf("a"), Outcome::NotRun, atMs(4));
  CHECK(Registry_.begin(Token_, keyOf("a", 2), atMs(5)).Outcome_ ==
        Outcome::Unknown);
}

TEST(RequestRegistry, EqualIdsOfTwoCustomersDoNotCollide) {
  CHECK(Registry_.begin(Token_, keyOf("a"), atMs(1)) == Accepted);
  CHECK(Registry_.begin(Token_, keyOf("a", 0, "kivu"), atMs(2)) == Accepted);
}

TEST(RequestRegistry, TokenOfAnotherIncarnationIsForeign) {
  RequestToken Other = Token_;
  Other.Host_ = HostId("gasabo-2");
  CHECK(Registry_.begin(Other, keyOf("a"), atMs(1)) ==
        refused(ResultCode::TokenForeign, Outcome::Unknown));
  Other = Token_;
  Other.Incarnation_ = 8;
  CHECK(Registry_.begin(Other, keyOf("a"), atMs(1)) ==
        refused(ResultCode::TokenForeign, Outcome::Unknown));
}

// Guards against `not-run` for a token that becomes valid later, when a delayed
// copy could run.
TEST(RequestRegistry, FutureEpochIsInvalidWithUnknownOutcome) {
  RequestToken Future = Token_;
  Future.Epoch_ = 1;
  CHECK(Registry_.begin(Future, keyOf("a"), atMs(EpochMs - 1)) ==
        refused(ResultCode::TokenInvalid, Outcome::Unknown));
  CHECK(Registry_.begin(Future, keyOf("a"), atMs(EpochMs)) == Accepted);
}

TEST(RequestRegistry, TokenOfAnotherServiceIsInvalid) {
  RequestToken Other = Token_;
  Other.Service_ = ServiceName("proofdesk");
  CHECK(Registry_.begin(Other, keyOf("a"), atMs(1)) ==
        refused(ResultCode::TokenInvalid, Outcome::Unknown));
}

TEST(RequestRegistry, InvalidIdIsRefusedAsNotRun) {
  for (const std::string &Id :
       {std::string(), std::string("a b"), std::string(65, 'a')})
    CHECK(Registry_.begin(Token_, keyOf(Id), atMs(1)) ==
          refused(ResultCode::RequestMalformed, Outcome::NotRun));
}

// Guards against ids that are removed while their token is still accepted, also
// when begin() is called with times out of order.
TEST(RequestRegistry, IdExpiresTogetherWithItsToken) {
  Registry_.begin(Token_, keyOf("a"), atMs(1));
  Registry_.finish(Token_, keyOf("a"), Outcome::Ran, atMs(2));
  CHECK(Registry_.begin(Token_, keyOf("a"), atMs(11 * EpochMs - 1)).Outcome_ ==
        Outcome::Ran);
  Registry_.expire(atMs(11 * EpochMs));
  CHECK_EQUAL(0, Registry_.entries());
  CHECK_EQUAL(0, Registry_.bytes());
  CHECK(Registry_.begin(Token_, keyOf("a"), atMs(11 * EpochMs - 1)) ==
        refused(ResultCode::TokenExpired, Outcome::Unknown));
}

// Guards against a second run when a resend carries a newer token of the same
// incarnation.
TEST(RequestRegistry, NewerTokenKeepsIdFor11MoreEpochs) {
  Registry_.begin(Token_, keyOf("a"), atMs(1));
  Registry_.finish(Token_, keyOf("a"), Outcome::Ran, atMs(2));
  const RequestToken Newer = Registry_.issueToken(Ledger, atMs(5 * EpochMs));
  CHECK(Registry_.begin(Newer, keyOf("a"), atMs(5 * EpochMs)).Outcome_ ==
        Outcome::Ran);
  CHECK(Registry_.begin(Newer, keyOf("a"), atMs(16 * EpochMs - 1)).Outcome_ ==
        Outcome::Ran);
  Registry_.expire(atMs(16 * EpochMs));
  CHECK_EQUAL(0, Registry_.entries());
}

// Guards against a delayed copy that runs once there is room, after the request
// was refused because the registry was full.
TEST(RequestRegistry, RefusalWhenFullIsFinal) {
  Registry_.begin(Token_, keyOf("a"), atMs(1));
  Registry_.begin(Token_, keyOf("b"), atMs(1));
  const RequestToken Later = Registry_.issueToken(Ledger, atMs(EpochMs));
  Registry_.begin(Later, keyOf("c"), atMs(EpochMs));
  const BeginResult Full = refused(ResultCode::RegistryFull, Outcome::NotRun);
  CHECK(Registry_.begin(Later, keyOf("d"), atMs(EpochMs)) == Full);
  CHECK_EQUAL(3, Registry_.entries());
  Registry_.expire(atMs(11 * EpochMs));
  CHECK_EQUAL(1, Registry_.entries());
  CHECK(Registry_.begin(Later, keyOf("d"), atMs(11 * EpochMs)) == Full);
  const RequestToken Fresh = Registry_.issueToken(Ledger, atMs(11 * EpochMs));
  CHECK(Registry_.begin(Fresh, keyOf("d"), atMs(11 * EpochMs)) == Accepted);
}

// Guards against one customer that fills the whole registry.
TEST(RequestRegistry, PerCustomerLimitLeavesRoomForOthers) {
  for (const char *Id : {"a", "b", "c", "d"})
    Registry_.begin(Token_, keyOf(Id), atMs(1));
  CHECK_EQUAL(3, Registry_.entries());
  CHECK(Registry_.begin(Token_, keyOf("a", 0, "kivu"), atMs(2)) == Accepted);
  CHECK(Registry_.begin(Token_, keyOf("b", 0, "kivu"), atMs(2)).Code_ ==
        ResultCode::RegistryFull);
}

TEST(RequestRegistry, BytesAreBounded) {
  RequestRegistry Small(HostId("gasabo-1"), 7, atMs(0),
                        RegistryLimits{100, 1'000, 100});
  for (int Id = 0; Id < 100; ++Id)
    Small.begin(Token_, keyOf(std::to_string(Id)), atMs(1));
  CHECK(Small.bytes() <= 1'000);
  CHECK(Small.entries() > 0);
}
