// Identification of callers. See admission-control.h.

#include "kumquatpitch/admission/admission-control.h"

#include <algorithm>

namespace kumquatpitch {

/// Another host may have the proof that this one lacks.
static constexpr Duration UnprovenRetryAfter = std::chrono::milliseconds(100);

void AdmissionControl::configProven(TimePoint At) {
  ProvenAt_ = ProvenAt_ ? std::max(*ProvenAt_, At) : At;
}

/// A withdrawal that this host does not know of was confirmed after the proven
/// moment. A request that is sent within the revocation time after the proven
/// moment is therefore sent within that time after the withdrawal, too.
bool AdmissionControl::isConfigProven(TimePoint Now) const {
  if (Options_.KeyRevocationTime_ == Duration::zero())
    return true;
  return ProvenAt_ && Now - *ProvenAt_ < Options_.KeyRevocationTime_;
}

std::variant<GatewayRefusal, CallerIdentity>
AdmissionControl::identify(const RouteTable &Table, const VirtualRoute &Route,
                           const Credential &Presented, TimePoint Now) const {
  const WorkspaceIndex *Workspaces = Table.workspaces();
  if (!Workspaces)
    return CallerIdentity{};
  const bool IsProven = isConfigProven(Now);
  const WorkspaceSettings *Holder =
      Presented.State_ == CredentialState::Present && IsProven
          ? Workspaces->find(Presented.Key_)
          : nullptr;
  if (Holder)
    return CallerIdentity{Presented.Key_, Holder->Name_};
  if (Route.IsPublic_)
    return CallerIdentity{};
  // Without a proof, a key that is not known here may just have been added.
  if (Presented.State_ == CredentialState::Present && !IsProven)
    return makeRefusal(ResultCode::KeyUnproven, UnprovenRetryAfter);
  return makeRefusal(ResultCode::KeyUnknown, std::nullopt);
}

bool AdmissionControl::mayRun(const CallerIdentity &Caller,
                              const RouteTable &Newest, TimePoint Now) const {
  if (!Caller.Key_)
    return true;
  const WorkspaceIndex *Workspaces = Newest.workspaces();
  const WorkspaceSettings *Holder =
      Workspaces ? Workspaces->find(*Caller.Key_) : nullptr;
  return Holder && Holder->Name_ == Caller.Workspace_ && isConfigProven(Now);
}

/// The workspace of the caller; null for a caller without one.
static const WorkspaceSettings *holderOf(const RouteTable &Table,
                                         const CallerIdentity &Caller) {
  const WorkspaceIndex *Workspaces = Table.workspaces();
  return Workspaces && Caller.Key_ ? Workspaces->find(Caller.Workspace_)
                                   : nullptr;
}

RequestPriority priorityOf(const RouteTable &Table, const VirtualRoute &Route,
                           const CallerIdentity &Caller) {
  const WorkspaceSettings *Holder = holderOf(Table, Caller);
  return RequestPriority{Holder ? Holder->Priority_ : 0, Route.Priority_};
}

double weightOf(const RouteTable &Table, const CallerIdentity &Caller) {
  const WorkspaceIndex *Workspaces = Table.workspaces();
  const WorkspaceSettings *Holder = holderOf(Table, Caller);
  if (!Workspaces)
    return 1;
  return Holder && Holder->hasLimit() ? Holder->RatePerSecond_
                                      : Workspaces->meanLimit();
}

} // namespace kumquatpitch
