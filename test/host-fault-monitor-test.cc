// Faults of the host itself.

#include "kumquatpitch/host-fault-monitor.h"
#include "manual-time.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(HostFaultMonitor) {
  HostFaultMonitor Monitor_;

  void turnBad(const char *Service, int Count, std::int64_t FirstMs,
               std::int64_t StepMs) {
    for (int I = 0; I < Count; ++I)
      Monitor_.targetTurnedBad(ServiceName(Service),
                               TargetId("t" + std::to_string(I)),
                               atMs(FirstMs + I * StepMs));
  }
};

// Guards against the evidence of a paused host being believed.
TEST(HostFaultMonitor, ALateTimerIsAnOwnFault) {
  Monitor_.timerFired(atMs(1000), atMs(1100));
  CHECK_FALSE(Monitor_.ownFaultSuspected(atMs(1100)).has_value());
  Monitor_.timerFired(atMs(2000), atMs(2101));
  const std::optional<HostFault> Fault = Monitor_.ownFaultSuspected(atMs(2101));
  CHECK(Fault->Cause_ == HostFaultCause::LateTimer);
  CHECK(Fault->Lateness_ == ms(101));
  CHECK_FALSE(Monitor_.ownFaultSuspected(atMs(3101)).has_value());
}

// Guards against a network cut of this host being taken for sick targets.
TEST(HostFaultMonitor, HalfOfTheTargetsOfTwoServicesAreAnOwnFault) {
  Monitor_.setServices({{ServiceName("a"), 6}, {ServiceName("b"), 14}});
  turnBad("a", 3, 0, 100);
  turnBad("b", 6, 300, 50);
  CHECK_FALSE(Monitor_.ownFaultSuspected(atMs(600)).has_value());
  Monitor_.targetTurnedBad(ServiceName("b"), TargetId("t6"), atMs(900));
  CHECK_EQUAL(2, Monitor_.ownFaultSuspected(atMs(900))->Services_);
}

// Guards against faults that merely add up over a longer time.
TEST(HostFaultMonitor, TargetsThatTurnBadOneByOneAreNoOwnFault) {
  Monitor_.setServices({{ServiceName("a"), 6}, {ServiceName("b"), 6}});
  turnBad("a", 6, 0, 600);
  turnBad("b", 6, 300, 600);
  CHECK_FALSE(Monitor_.ownFaultSuspected(atMs(3300)).has_value());
}

// Guards against an outage of one service being taken for an own fault, and
// against a host with one service never suspecting itself.
TEST(HostFaultMonitor, OneServiceCountsOnlyWithAllTargetsAndAlone) {
  Monitor_.setServices({{ServiceName("a"), 4}, {ServiceName("b"), 4}});
  turnBad("a", 4, 0, 10);
  CHECK_FALSE(Monitor_.ownFaultSuspected(atMs(40)).has_value());
  Monitor_.setServices({{ServiceName("a"), 4}});
  turnBad("a", 3, 2000, 10);
  CHECK_FALSE(Monitor_.ownFaultSuspected(atMs(2040)).has_value());
  turnBad("a", 4, 2040, 10);
  CHECK_TRUE(Monitor_.ownFaultSuspected(atMs(2080)).has_value());
}
