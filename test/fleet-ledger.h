// What the fault matrix records of each request and each target, and the
// violations of the invariants that follow from the records.

#ifndef KUMQUATPITCH_FLEET_LEDGER_H
#define KUMQUATPITCH_FLEET_LEDGER_H

#include "manual-time.h"

#include "kumquatpitch/core-action.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquatpitch::test {

/// One request of a caller. A resend with a raised number is another key.
struct RequestKeyOfCaller {
  std::uint64_t Request_ = 0;
  std::uint32_t Resend_ = 0;

  std::strong_ordering operator<=>(const RequestKeyOfCaller &) const = default;
};

/// An answer on its way from a backend server to a caller.
struct FleetAnswer {
  std::uint64_t Request_ = 0; ///< That the backend server ran.
  bool IsWhole_ = true;
};

class FleetLedger {
public:
  void violate(TimePoint Now, int Invariant, const std::string &Text) {
    if (Violations_.size() < MaxViolations)
      Violations_.push_back(
          "invariant " + std::to_string(Invariant) + " at " +
          std::to_string(toMilliseconds(Now.time_since_epoch())) +
          " ms: " + Text);
  }

  /// A backend server starts to run a request.
  void ran(const RequestKeyOfCaller &Key, bool HasToken, TimePoint Now) {
    ++Runs_;
    if (!HasToken)
      return;
    if (NotRun_.count(Key))
      violate(Now, 3, "request " + nameOf(Key) + " runs, told not-run before");
    Ran_.insert(Key);
    if (++TokenRuns_[Key.Request_] > 1)
      violate(Now, 4, "request " + nameOf(Key) + " runs again");
  }

  void toldNotRun(const RequestKeyOfCaller &Key, bool HasToken, TimePoint Now) {
    if (!HasToken)
      return;
    NotRun_.insert(Key);
    if (Ran_.count(Key))
      violate(Now, 3, "request " + nameOf(Key) + " told not-run, it ran");
  }

  /// One send without a token is told not-run; its own run is `DidRun`.
  void toldNotRunOnce(std::uint64_t Request, bool DidRun, TimePoint Now) {
    if (DidRun)
      violate(Now, 3,
              "send of request " + std::to_string(Request) +
                  " told not-run, it ran");
  }

  void delivered(std::uint64_t Request, const FleetAnswer &Got, TimePoint Now) {
    ++Delivered_;
    if (Got.Request_ != Request)
      violate(Now, 2,
              "request " + std::to_string(Request) + " got the answer of " +
                  std::to_string(Got.Request_));
    if (!Got.IsWhole_)
      violate(Now, 2,
              "request " + std::to_string(Request) +
                  " got a part of an answer");
  }

  const std::vector<std::string> &violations() const { return Violations_; }
  std::uint64_t runs() const { return Runs_; }
  std::uint64_t deliveries() const { return Delivered_; }

private:
  static constexpr std::size_t MaxViolations = 8;

  static std::string nameOf(const RequestKeyOfCaller &Key) {
    return std::to_string(Key.Request_) + "/" + std::to_string(Key.Resend_);
  }

  std::set<RequestKeyOfCaller> Ran_;
  std::set<RequestKeyOfCaller> NotRun_;
  std::map<std::uint64_t, int> TokenRuns_;
  std::vector<std::string> Violations_;
  std::uint64_t Runs_ = 0;
  std::uint64_t Delivered_ = 0;
};

} // namespace kumquatpitch::test

#endif
