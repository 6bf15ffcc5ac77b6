// Contracts: strict parsing and route lookup.

#include "kumquatpitch/contract.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static const char *const ValidContract = R"({
  "customer": "imigongo", "version": 3,
  "services": [{
    "name": "ledger", "rate_per_s": 50, "in_progress": 20,
    "max_body_bytes": 65536, "max_answer_bytes": 1048576, "deadline_ms": 2000,
    "queue": {"max_requests": 16, "max_wait_ms": 200},
    "retry": {"budget_percent": 10, "max_attempts": 3},
    "slo": {"availability_percent": 99.9, "latency_ms": 500, "window_days": 28},
    "routes": [
      {"method": "GET", "path_prefix": "/ledger", "idempotent": true},
      {"method": "GET", "path_prefix": "/ledger/lists", "idempotent": false},
      {"method": "POST", "path_prefix": "/ledger/deposits", "idempotent": false}
    ]}]})";

static std::string replaceFirst(std::string Text, const std::string &From,
                                const std::string &To) {
  const std::size_t Position = Text.find(From);
  return Position == std::string::npos
             ? Text
             : Text.replace(Position, From.size(), To);
}

static Failure parseFailure(const std::string &Json) {
  return handleFailure(
      [&]() -> Result<Failure> {
        Result<Contract> Parsed = parseContract(Json);
        if (!Parsed)
          return Parsed.error();
        return Failure{ResultCode::Ok, ""};
      },
      [](const Failure &Cause) { return Cause; });
}

TEST_GROUP(Contract){};

TEST(Contract, ParsesEveryField) {
  const Contract Parsed = parseContract(ValidContract).value();
  CHECK(Parsed.Customer_ == CustomerName("imigongo"));
  CHECK_EQUAL(3, Parsed.Version_);
  const ServiceTerms &Terms = Parsed.Services_.at(0);
  CHECK_EQUAL(50, Terms.RatePerSecond_);
  CHECK(Terms.Deadline_ == std::chrono::seconds(2));
  CHECK_EQUAL(16, Terms.Queue_.MaxRequests_);
  CHECK_EQUAL(3, Terms.Retry_.MaxAttempts_);
  CHECK(Terms.Slo_.Latency_ == std::chrono::milliseconds(500));
}

// Guards against a misspelt field that is silently ignored.
TEST(Contract, NamesMisspeltField) {
  const Failure Cause =
      parseFailure(replaceFirst(ValidContract, "in_progress", "in_progres"));
  CHECK(Cause.Code_ == ResultCode::DocumentInvalid);
  STRCMP_EQUAL("services[0].in_progress: is missing", Cause.Message_.c_str());
}

TEST(Contract, NamesValueOutOfRange) {
  const Failure Cause = parseFailure(replaceFirst(
      ValidContract, "\"deadline_ms\": 2000", "\"deadline_ms\": 0"));
  STRCMP_EQUAL("services[0].deadline_ms: must be a whole number from 1 to "
               "120000",
               Cause.Message_.c_str());
}

// Guards against a duplicate field that silently replaces the first one.
TEST(Contract, RejectsDuplicateField) {
  const Failure Cause =
      parseFailure(replaceFirst(ValidContract, "\"version\": 3",
                                "\"version\": 3, \"version\": "
                                "4"));
  CHECK(Cause.Code_ == ResultCode::DocumentMalformed);
  STRCMP_EQUAL("field \"version\" is there twice", Cause.Message_.c_str());
}

TEST(Contract, RejectsDuplicateRoute) {
  const Failure Cause =
      parseFailure(replaceFirst(ValidContract, "/ledger/lists", "/ledger"));
  STRCMP_EQUAL("services: route GET /ledger appears twice",
               Cause.Message_.c_str());
}

TEST(Contract, RejectsTextThatIsNotAJsonObject) {
  CHECK(parseFailure("{").Code_ == ResultCode::DocumentMalformed);
  CHECK(parseFailure("[]").Code_ == ResultCode::DocumentMalformed);
  CHECK(parseFailure(std::string(100, '[')).Code_ ==
        ResultCode::DocumentMalformed);
}

TEST(Contract, RejectsTooLargeDocument) {
  CHECK(parseFailure(std::string(MaxDocumentBytes + 1, ' ')).Code_ ==
        ResultCode::DocumentTooLarge);
}

TEST(Contract, LongestPrefixWins) {
  const Contract Parsed = parseContract(ValidContract).value();
  STRCMP_EQUAL(
      "/ledger/lists",
      findRoute(Parsed, "GET", "/ledger/lists/7").Route_->PathPrefix_.c_str());
  STRCMP_EQUAL(
      "/ledger",
      findRoute(Parsed, "GET", "/ledger/x").Route_->PathPrefix_.c_str());
}

// Guards against /ledgerbook matching the route of /ledger.
TEST(Contract, PrefixMatchesWholeSegments) {
  const Contract Parsed = parseContract(ValidContract).value();
  CHECK(findRoute(Parsed, "GET", "/ledgerbook").Route_ == nullptr);
  CHECK(findRoute(Parsed, "GET", "/ledger?x=1").Route_ != nullptr);
  CHECK(findRoute(Parsed, "PUT", "/ledger").Route_ == nullptr);
}
