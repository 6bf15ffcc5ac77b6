// Hosts and targets for tests of the gateway's decisions.

#ifndef KUMQUATPITCH_TEST_GATEWAY_VALUES_H
#define KUMQUATPITCH_TEST_GATEWAY_VALUES_H

#include "kumquatpitch/host-membership.h"
#include "kumquatpitch/target-directory.h"

namespace kumquatpitch::test {

inline Member memberOf(const std::string &Id, const char *Domain) {
  Member Made;
  Made.Id_ = HostId(Id);
  Made.Domain_ = FailureDomain(Domain);
  return Made;
}

/// A target `tINDEX` of the service `desk` with three slots.
inline TargetEntry targetOf(int Index, const char *Domain) {
  TargetEntry Made;
  Made.Id_ = TargetId("t" + std::to_string(Index));
  Made.Service_ = ServiceName("desk");
  Made.Domain_ = FailureDomain(Domain);
  Made.Slots_ = 3;
  return Made;
}

} // namespace kumquatpitch::test

#endif
