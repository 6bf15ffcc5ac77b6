// One service on a host: when it is ready to serve.

#include "fleet-fixture.h"
#include "kumquatpitch/service-runtime.h"
#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(ServiceRuntime) {
  SeededRandom Random_{1};

  /// A service with one slot in all, before a group of three hosts.
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

// Guards against a host that is never ready because a service has fewer slots
// or permits than the group has hosts.
TEST(ServiceRuntime, AHostWithoutAPartOfASmallServiceSettles) {
  for (const char *Host : {"h0", "h1", "h2"}) {
    ServiceRuntime Runtime(makeConfig(1), HostId(Host), 1, Random_, atMs(0));
    Runtime.applyDueSlots(atMs(20'000));
    CHECK_TEXT(Runtime.isSettled(atMs(20'000)), Host);
  }
}

// Guards against a host that is sent callers before it may serve them.
TEST(ServiceRuntime, SettlesOnlyWithSlotsAndPermits) {
  int Waiting = 0;
  for (const char *Host : {"h0", "h1", "h2"}) {
    ServiceRuntime Runtime(makeConfig(30), HostId(Host), 1, Random_, atMs(0));
    Runtime.applyDueSlots(atMs(1'000));
    Waiting += Runtime.isSettled(atMs(1'000)) ? 0 : 1;
  }
  CHECK_EQUAL(3, Waiting);
}
