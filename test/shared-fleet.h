// One fleet shared by several process tests. Starting a fleet per test would be
// slow, because a new host waits until it may use its slots.

#ifndef KUMQUATPITCH_SHARED_FLEET_H
#define KUMQUATPITCH_SHARED_FLEET_H

#include "test-fleet.h"

#include <memory>

namespace kumquatpitch::test {

/// Default fleet plan with the binaries of this build.
inline FleetPlan testPlan() {
  FleetPlan Plan;
  Plan.BinaryDir_ = BINARY_DIR;
  return Plan;
}

/// Returns the shared fleet, started at the first call, with all backend
/// servers in normal mode. Tests must not stop its hosts.
inline TestFleet &sharedFleet() {
  static const std::unique_ptr<TestFleet> Fleet = [] {
    std::unique_ptr<TestFleet> Started =
        std::make_unique<TestFleet>(testPlan());
    Started->waitReady();
    return Started;
  }();
  for (int Index = 0; Index < testPlan().Backends_; ++Index)
    Fleet->setBackendMode(Index, "normal");
  return *Fleet;
}

inline void setAllBackends(TestFleet &Fleet, const std::string &Mode) {
  for (int Index = 0; Index < testPlan().Backends_; ++Index)
    Fleet.setBackendMode(Index, Mode);
}

} // namespace kumquatpitch::test

#endif
