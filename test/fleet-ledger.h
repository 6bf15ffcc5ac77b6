// Records the runs, deliveries and not-run replies of each request in the fault
// matrix, and reports the invariants that they break.

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

/// Identifies one request of a caller. A resend under a higher resend number
/// has its own key.
struct CallerRequestKey {
  std::uint64_t Request_ = 0;
  std::uint32_t Resend_ = 0;

  std::strong_ordering operator<=>(const CallerRequestKey &) const = default;
};

/// An answer on its way from a backend server to a caller.
struct FleetAnswer {
  std::uint64_t Request_ = 0; ///< Request that the backend server ran.
  bool IsComplete_ = true;
};

/// Collects the records and the first violations of one cell.
class FleetLedger {
public:
  /// Adds a violation of the invariant with this number, up to MaxViolations.
  void violate(TimePoint Now, int Invariant, const std::string &Text) {
    if (Violations_.size() < MaxViolations)
      Violations_.push_back(
          "invariant " + std::to_string(Invariant) + " at " +
          std::to_string(toMilliseconds(Now.time_since_epoch())) +
          " ms: " + Text);
  }

  /// Records that a backend server starts to run a request.
  void recordRun(const CallerRequestKey &Key, bool HasToken, TimePoint Now) {
    ++Runs_;
    if (!HasToken)
      return;
    if (NotRun_.count(Key))
      violate(Now, 3,
              "request " + nameOf(Key) + " runs after it was reported not run");
    Ran_.insert(Key);
    if (++TokenRuns_[Key.Request_] > 1)
      violate(Now, 4, "request " + nameOf(Key) + " runs a second time");
  }

  /// Records that the host reported a request with a token as not run.
  void recordNotRun(const CallerRequestKey &Key, bool HasToken, TimePoint Now) {
    if (!HasToken)
      return;
    NotRun_.insert(Key);
    if (Ran_.count(Key))
      violate(Now, 3,
              "request " + nameOf(Key) + " was reported not run, but it ran");
  }

  /// Records that the host reported one send as not run. `DidRun` is true if a
  /// backend server has run this send.
  void recordSendNotRun(std::uint64_t Request, bool DidRun, TimePoint Now) {
    if (DidRun)
      violate(Now, 3,
              "send of request " + std::to_string(Request) +
                  " was reported not run, but it ran");
  }

  /// Records that the host passed an answer to the caller.
  void recordDelivery(std::uint64_t Request, const FleetAnswer &Received,
                      TimePoint Now) {
    ++Delivered_;
    if (Received.Request_ != Request)
      violate(Now, 2,
              "request " + std::to_string(Request) + " got the answer of " +
                  std::to_string(Received.Request_));
    if (!Received.IsComplete_)
      violate(Now, 2,
              "request " + std::to_string(Request) + " got a truncated answer");
  }

  const std::vector<std::string> &violations() const { return Violations_; }
  std::uint64_t runs() const { return Runs_; }
  std::uint64_t deliveries() const { return Delivered_; }

private:
  static constexpr std::size_t MaxViolations = 8;

  static std::string nameOf(const CallerRequestKey &Key) {
    return std::to_string(Key.Request_) + "/" + std::to_string(Key.Resend_);
  }

  std::set<CallerRequestKey> Ran_;
  std::set<CallerRequestKey> NotRun_;
  std::map<std::uint64_t, int> TokenRuns_;
  std::vector<std::string> Violations_;
  std::uint64_t Runs_ = 0;
  std::uint64_t Delivered_ = 0;
};

} // namespace kumquatpitch::test

#endif
