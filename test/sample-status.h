// A sample host status report with a value in every field, for tests of the
// report, the operator endpoint and the commands.

#ifndef KUMQUATPITCH_SAMPLE_STATUS_H
#define KUMQUATPITCH_SAMPLE_STATUS_H

#include "kumquatpitch/host-status.h"

#include "manual-time.h"

namespace kumquatpitch::test {

inline BurnSnapshot sampleBurn() {
  BurnRate Burn(CustomerName("imigongo"), ServiceName("ledger"),
                Objective{99.5, ms(800), 28}, atMs(0));
  const CompletedRequest Shed{ResultCode::QueueFull, Outcome::NotRun, 503,
                              ms(1)};
  for (int Index = 0; Index < 100; ++Index)
    Burn.record(CompletedRequest{}, atMs(1'000));
  Burn.record(Shed, atMs(400'000));
  return Burn.snapshot(atMs(700'000));
}

inline HostStatus sampleStatus(const std::string &Host) {
  HostStatus Status;
  Status.Host_ = HostId(Host);
  Status.Incarnation_ = 0xfedcba9876543210;
  Status.Region_ = Region("kigali");
  Status.Domain_ = FailureDomain("gasabo");
  Status.ConfigVersion_ = 17;
  Status.Ready_ = true;
  Status.UpFor_ = ms(700'000);
  Status.Age_ = ms(3);
  const TargetStatus EjectedTarget{TargetId("ledger-3"),
                                   TargetCondition::Ejected,
                                   "stalled",
                                   {{"oldest_wait_ms", 412.5}},
                                   ms(9'000),
                                   1,
                                   0};
  const TargetStatus UsableTarget{
      TargetId("ledger-4"), TargetCondition::Usable, "", {}, ms(60'000), 2, 1};
  Status.Services_ = {{CustomerName("imigongo"),
                       ServiceName("ledger"),
                       5,
                       9,
                       {HostId("h-1"), HostId("h-2")},
                       {16.5, 7, 1},
                       2,
                       {EjectedTarget, UsableTarget}}};
  Status.Peers_ = {{HostId("h-2"), PeerDirection::OnlyFrom, ms(120)}};
  Status.Refusals_ = {{"contract/imigongo", 18, ResultCode::DocumentInvalid,
                       "services[0].slo: is missing", ms(5'000)}};
  Status.Burn_ = {sampleBurn()};
  return Status;
}

} // namespace kumquatpitch::test

#endif
