// The way of a request through separate processes.

#include "test-fleet.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch::test;

static FleetPlan plan() {
  FleetPlan Plan;
  Plan.BinaryDir_ = BINARY_DIR;
  return Plan;
}

TEST_GROUP(RequestProcess){};

TEST(RequestProcess, ServesARequestFromEndToEnd) {
  TestFleet Fleet(plan());
  CHECK(Fleet.waitReady());
  const std::optional<std::vector<AddressedHost>> Hosts = Fleet.askAddresses(1);
  CHECK(Hosts.has_value());
  CHECK_EQUAL(3, Hosts->size());
  const CallerAnswer Got =
      TestFleet::call(Hosts->front().Port_, "GET", "/proofs/7?page=2",
                      {{"X-Caller", "officer-1"}});
  CHECK_EQUAL(200, Got.Status_);
  CHECK(Got.Body_.find("GET /proofs/7?page=2 officer-1") != std::string::npos);
}
