// Tests HostFaultMonitor: detection of faults of the host itself.

#include "kumquatpitch/host-fault-monitor.h"
#include "manual-time.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(HostFaultMonitor) {
  HostFaultMonitor Monitor_;

  void suspectTargets(const char *Service, int Count, std::int64_t FirstMs,
                      std::int64_t StepMs) {
    for (int I = 0; I < Count; ++I)
      Monitor_.recordSuspectTarget(ServiceName(Service),
                                   TargetId("t" + std::to_string(I)),
                                   atMs(FirstMs + I * StepMs));
  }
};

// Guards against trusting evidence that a host gathered around a pause.
TEST(HostFaultMonitor, LateTimerIsAHostFault) {
  Monitor_.timerFired(atMs(1000), atMs(1100));
  CHECK_FALSE(Monitor_.suspectedHostFault(atMs(1100)).has_value());
  Monitor_.timerFired(atMs(2000), atMs(2101));
  const std::optional<HostFault> Fault =
      Monitor_.suspectedHostFault(atMs(2101));
  CHECK(Fault->Cause_ == HostFaultCause::LateTimer);
  CHECK(Fault->Lateness_ == ms(101));
  CHECK_FALSE(Monitor_.suspectedHostFault(atMs(3101)).has_value());
}

// Guards against mistaking a network cut of this host for faulty targets.
TEST(HostFaultMonitor, HalfOfTheTargetsOfTwoServicesIsAHostFault) {
  Monitor_.setServices({{ServiceName("a"), 6}, {ServiceName("b"), 14}});
  suspectTargets("a", 3, 0, 100);
  suspectTargets("b", 6, 300, 50);
  CHECK_FALSE(Monitor_.suspectedHostFault(atMs(600)).has_value());
  Monitor_.recordSuspectTarget(ServiceName("b"), TargetId("t6"), atMs(900));
  CHECK_EQUAL(2, Monitor_.suspectedHostFault(atMs(900))->Services_);
}

// Guards against adding up target faults that are spread over a longer time.
TEST(HostFaultMonitor, TargetFaultsSpreadOverTimeAreNoHostFault) {
  Monitor_.setServices({{ServiceName("a"), 6}, {ServiceName("b"), 6}});
  suspectTargets("a", 6, 0, 600);
  suspectTargets("b", 6, 300, 600);
  CHECK_FALSE(Monitor_.suspectedHostFault(atMs(3300)).has_value());
}

// Guards against mistaking an outage of one service for a host fault, and
// against a host with a single service that never suspects itself.
TEST(HostFaultMonitor, AllTargetsOfTheOnlyServiceAreAHostFault) {
  Monitor_.setServices({{ServiceName("a"), 4}, {ServiceName("b"), 4}});
  suspectTargets("a", 4, 0, 10);
  CHECK_FALSE(Monitor_.suspectedHostFault(atMs(40)).has_value());
  Monitor_.setServices({{ServiceName("a"), 4}});
  suspectTargets("a", 3, 2000, 10);
  CHECK_FALSE(Monitor_.suspectedHostFault(atMs(2040)).has_value());
  suspectTargets("a", 4, 2040, 10);
  CHECK_TRUE(Monitor_.suspectedHostFault(atMs(2080)).has_value());
}
