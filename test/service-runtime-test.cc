// Readiness of one service on a host after its start.

#include "fleet-fixture.h"
#include "kumquatpitch/service-runtime.h"
#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(ServiceRuntime) {
  SeededRandom Random_{1};

  /// A service with a single slot, served by a group of three hosts.
  ServiceConfig makeConfig(std::uint32_t InProgress) {
    Contract Terms;
    Terms.Customer_ = CustomerName("imigongo");
    ServiceTerms Service;
    Service.Service_ = ServiceName("ledger");
    Service.RatePerSecond_ = 10;
    Service.InProgress_ = InProgress;
    Service.Deadline_ = ms(1'000);
    Service.Slo_ = Objective{99, ms(500), 28};
    Terms.Services_.push_back(Service);
    ServiceConfig Config;
    Config.Contract_ = std::make_shared<Contract>(Terms);
    Config.Terms_ = &Config.Contract_->Services_.front();
    Config.Entry_ = std::make_shared<ServiceEntry>(makeEntry("ledger", 1, 1));
    for (const char *Host : {"h0", "h1", "h2"})
      Config.Group_.Members_.push_back(
          GroupMember{HostId(Host), FailureDomain("a"), {}});
    return Config;
  }
};

// Guards against a host that never becomes ready because a service has fewer
// slots or permits than its group has hosts.
TEST(ServiceRuntime, HostWithoutShareOfSmallServiceIsReady) {
  for (const char *Host : {"h0", "h1", "h2"}) {
    ServiceRuntime Runtime(makeConfig(1), HostId(Host), 1, Random_, atMs(0));
    Runtime.applyDueSlots(atMs(20'000));
    CHECK_TEXT(Runtime.isReadyToServe(atMs(20'000)), Host);
  }
}

// Guards against a host that reports ready, and so is given callers, before it
// may use its slots and permits.
TEST(ServiceRuntime, NotReadyBeforeSlotsAndPermitsAreUsable) {
  int NotReady = 0;
  for (const char *Host : {"h0", "h1", "h2"}) {
    ServiceRuntime Runtime(makeConfig(30), HostId(Host), 1, Random_, atMs(0));
    Runtime.applyDueSlots(atMs(1'000));
    NotReady += Runtime.isReadyToServe(atMs(1'000)) ? 0 : 1;
  }
  CHECK_EQUAL(3, NotReady);
}
