// A host's report with a value in every field, for tests of status, endpoint
// and commands.

#ifndef KUMQUATPITCH_SAMPLE_STATUS_H
#define KUMQUATPITCH_SAMPLE_STATUS_H

#include "kumquatpitch/host-status.h"

#include "manual-time.h"

namespace kumquatpitch::test {

inline BurnSnapshot sampleBurn() {
  BurnRate Counter(CustomerName("imigongo"), ServiceName("ledger"),
                   Objective{99.5, ms(800), 28}, atMs(0));
  const RequestEnd Shed{ResultCode::QueueFull, Outcome::NotRun, 503, ms(1)};
  for (int Index = 0; Index < 100; ++Index)
    Counter.record(RequestEnd{}, atMs(1'000));
  Counter.record(Shed, atMs(400'000));
  return Counter.snapshot(atMs(700'000));
}

inline HostStatus sampleStatus(const std::string &Host) {
  HostStatus Made;
  Made.Host_ = HostId(Host);
  Made.Incarnation_ = 0xfedcba9876543210;
  Made.Region_ = Region("kigali");
  Made.Domain_ = FailureDomain("gasabo");
  Made.ConfigVersion_ = 17;
  Made.Ready_ = true;
  Made.UpFor_ = ms(700'000);
  Made.Age_ = ms(3);
  const TargetStatus Bad{TargetId("ledger-3"),
                         TargetCondition::Ejected,
                         "stalled",
                         {{"oldest_wait_ms", 412.5}},
                         ms(9'000),
                         1,
                         0};
  const TargetStatus Fine{
      TargetId("ledger-4"), TargetCondition::Usable, "", {}, ms(60'000), 2, 1};
  Made.Services_ = {{CustomerName("imigongo"),
                     ServiceName("ledger"),
                     5,
                     9,
                     {HostId("h-1"), HostId("h-2")},
                     {16.5, 7, 1},
                     2,
                     {Bad, Fine}}};
  Made.Peers_ = {{HostId("h-2"), PeerDirection::OnlyFrom, ms(120)}};
  Made.Refusals_ = {{"contract/imigongo", 18, ResultCode::DocumentInvalid,
                     "services[0].slo: is missing", ms(5'000)}};
  Made.Burn_ = {sampleBurn()};
  return Made;
}

} // namespace kumquatpitch::test

#endif
