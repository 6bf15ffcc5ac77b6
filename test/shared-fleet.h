// One fleet for several process tests, since a new host waits for its slots.

#ifndef KUMQUATPITCH_SHARED_FLEET_H
#define KUMQUATPITCH_SHARED_FLEET_H

#include "test-fleet.h"

#include <memory>

namespace kumquatpitch::test {

inline FleetPlan testPlan() {
  FleetPlan Plan;
  Plan.BinaryDir_ = BINARY_DIR;
  return Plan;
}

/// The fleet with all backend servers in normal mode. Tests must not end its
/// hosts.
inline TestFleet &sharedFleet() {
  static const std::unique_ptr<TestFleet> Fleet = [] {
    std::unique_ptr<TestFleet> Made = std::make_unique<TestFleet>(testPlan());
    Made->waitReady();
    return Made;
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
