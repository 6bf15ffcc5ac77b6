// Decides who sent a request and whether it may run at all: the workspace that
// its key names, and whether this host can still prove that the key holds.
// Owned by GatewayCore, which decides where an admitted request goes. Pure
// logic: no I/O and no clock.

#ifndef KUMQUATPITCH_ADMISSION_ADMISSION_CONTROL_H
#define KUMQUATPITCH_ADMISSION_ADMISSION_CONTROL_H

#include "kumquatpitch/admission/credential.h"
#include "kumquatpitch/admission/request-priority.h"
#include "kumquatpitch/gateway-refusal.h"
#include "kumquatpitch/routing-config.h"
#include "kumquatpitch/time-point.h"

#include <optional>
#include <variant>

namespace kumquatpitch {

/// Terms of the deployment on keys.
struct AdmissionOptions {
  /// How long after its withdrawal was confirmed a key may still be accepted;
  /// 0 when the deployment sets no such limit.
  Duration KeyRevocationTime_{};

  bool operator==(const AdmissionOptions &) const = default;
};

/// The workspace for which a request is handled.
struct CallerIdentity {
  std::optional<KeyDigest> Key_; ///< None for a request without a workspace.
  WorkspaceName Workspace_;      ///< Empty for a request without a workspace.

  bool operator==(const CallerIdentity &) const = default;
};

class AdmissionControl {
public:
  explicit AdmissionControl(AdmissionOptions Options) : Options_(Options) {}

  /// Records that the configuration in force was the newest confirmed one at
  /// `At`. Earlier times than the last one are ignored.
  void configProven(TimePoint At);

  /// Identifies the caller of a new request to `Route` of `Table`. Refuses it
  /// with KeyUnknown, or with KeyUnproven when this host cannot tell whether
  /// the key holds.
  std::variant<GatewayRefusal, CallerIdentity>
  identify(const RouteTable &Table, const VirtualRoute &Route,
           const Credential &Presented, TimePoint Now) const;

  /// True when a request of `Caller` that was admitted earlier may still be
  /// sent: `Newest`, the table in force, still gives the key to its workspace,
  /// and this host can prove that it does. Check it directly before each
  /// attempt: the request may have waited, or the host may have been suspended.
  bool mayRun(const CallerIdentity &Caller, const RouteTable &Newest,
              TimePoint Now) const;

  /// True when the configuration in force is proven recent enough to accept
  /// keys by it.
  bool isConfigProven(TimePoint Now) const;

private:
  AdmissionOptions Options_;
  std::optional<TimePoint> ProvenAt_;
};

/// The priority of a request of `Caller` on `Route`.
RequestPriority priorityOf(const RouteTable &Table, const VirtualRoute &Route,
                           const CallerIdentity &Caller);

/// The weight of `Caller`'s workspace among those that wait for the same room:
/// its rate limit, or the mean of all limits for one without; 1 without any.
double weightOf(const RouteTable &Table, const CallerIdentity &Caller);

} // namespace kumquatpitch

#endif
