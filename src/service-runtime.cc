// Configuration, attempts, target conditions and status of one service on this
// host. See service-runtime.h.

#include "kumquatpitch/service-runtime.h"

#include <algorithm>
#include <cstdio>

namespace kumquatpitch {

namespace {

std::vector<Measurement> figuresOf(const HealthChange &Change) {
  std::vector<Measurement> Figures = {
      {"usable_slots", static_cast<double>(Change.UsableSlots_)},
      {"floor_share_slots", static_cast<double>(Change.FloorShareSlots_)}};
  if (!Change.Suspicion_)
    return Figures;
  const Suspicion &Cause = *Change.Suspicion_;
  Figures.push_back({"score", Cause.Score_});
  Figures.push_back({"oldest_wait_ms", static_cast<double>(toMilliseconds(
                                           Cause.OldestInFlight_))});
  Figures.push_back({"bad_requests", static_cast<double>(Cause.Bad_)});
  Figures.push_back({"good_requests", static_cast<double>(Cause.Good_)});
  Figures.push_back({"peer_score", Cause.PeerScore_});
  Figures.push_back({"latency_ratio", Cause.LatencyRatio_});
  return Figures;
}

const char *changeVerb(HealthChangeKind Kind) {
  switch (Kind) {
  case HealthChangeKind::Suspected:
    return "suspected";
  case HealthChangeKind::Ejected:
    return "ejected";
  case HealthChangeKind::HeldByFloor:
    return "held by the floor";
  case HealthChangeKind::Reinstated:
    return "reinstated";
  case HealthChangeKind::ReinstatedByFloor:
    return "reinstated for the floor";
  case HealthChangeKind::CloseConnections:
    return "not answering on pooled connections";
  }
  return "";
}

std::vector<HostId> membersOf(const Group &Hosts) {
  std::vector<HostId> Members;
  for (const GroupMember &Member : Hosts.Members_)
    Members.push_back(Member.Host_);
  return Members;
}

std::uint32_t countSlots(const SlotShares &Shares) {
  std::uint32_t Slots = 0;
  for (const SlotShares::value_type &Share : Shares)
    Slots += Share.second.Slots_;
  return Slots;
}

/// One host's share of the contract's queue, rounded up, so that every host has
/// at least one place if the contract has a queue.
QueueTerms queueShare(const QueueTerms &Terms, const Group &Hosts) {
  const std::uint32_t Members = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(Hosts.Members_.size()));
  return QueueTerms{(Terms.MaxRequests_ + Members - 1) / Members,
                    Terms.MaxWait_};
}

} // namespace

ServiceRuntime::ServiceRuntime(ServiceConfig Config, const HostId &Self,
                               Incarnation OwnIncarnation, RandomSource &Random,
                               TimePoint Now)
    : Self_(Self), Picker_(Random),
      Quota_(Self, OwnIncarnation, *Config.Terms_),
      Burn_(Config.Contract_->Customer_, Config.Terms_->Service_,
            Config.Terms_->Slo_, Now) {
  setConfig(std::move(Config), Now);
}

void ServiceRuntime::setConfig(ServiceConfig Config, TimePoint Now) {
  Config_ = std::move(Config);
  IsAssigned_ = Config_.Group_.contains(Self_);
  Plan_ = makeSlotPlan(entry(), Config_.Group_);
  Slots_.setPlan(Plan_.sharesOf(Self_), terms().Deadline_, Now);
  Burn_.setObjective(terms().Slo_, Now);
  Retry_.setTerms(terms().Retry_);
  Quota_.setTerms(terms(), Now);
  Quota_.setGroup(membersOf(Config_.Group_), Now);
  applySlots(Now);
}

void ServiceRuntime::applySlots(TimePoint Now) {
  Usable_ = Slots_.usable(Now);
  Picker_.setTargets(entry(), Usable_, Now);
  std::map<TargetId, std::uint32_t> SlotCounts;
  for (const SlotShares::value_type &Share : Usable_)
    SlotCounts.emplace(Share.first, Share.second.Slots_);
  Health_.setEntry(entry(), SlotCounts, Now);
  Queue_.setTerms(queueShare(terms().Queue_, Config_.Group_),
                  countSlots(Usable_));
}

bool ServiceRuntime::isReadyToServe(TimePoint Now) {
  if (IsReadyToServe_)
    return true;
  const SlotShares Planned = Plan_.sharesOf(Self_);
  const bool HasSlots = countSlots(Planned) == 0 || countSlots(Usable_) > 0;
  const bool HasPermits =
      terms().InProgress_ < Config_.Group_.Members_.size() ||
      Quota_.usablePermits(Now) > 0;
  IsReadyToServe_ = HasSlots && HasPermits;
  return IsReadyToServe_;
}

std::optional<TargetId>
ServiceRuntime::pick(const std::vector<TargetId> &Excluded, TimePoint Now) {
  return Picker_.pick(Excluded, Availability(Health_), Now);
}

void ServiceRuntime::attemptStarted(const TargetId &Target, AttemptId Attempt,
                                    bool NewConnection, TimePoint Now) {
  Picker_.attemptStarted(Target);
  Health_.attemptStarted(Target, Attempt, NewConnection, Now);
}

void ServiceRuntime::attemptEnded(const TargetId &Target, AttemptId Attempt,
                                  const AttemptReport &Report, TimePoint Now) {
  Picker_.attemptEnded(Target, Report, Now);
  Health_.attemptEnded(Target, Attempt, Report, Now);
  Retry_.recordOutcome(Report, Now);
  if (Report.End_ == AttemptEnd::Answered)
    Queue_.recordServiceTime(Report.Latency_);
  if (Report.Draining_)
    markDraining(Target, Now);
}

void ServiceRuntime::markDraining(const TargetId &Target, TimePoint Now) {
  Picker_.markDraining(Target, Now);
  Health_.markLeaving(Target, Now);
  if (!Conditions_.count(Target))
    Conditions_[Target] =
        Condition{TargetCondition::Draining, "drain marker", {}, Now};
}

void ServiceRuntime::applyDueSlots(TimePoint Now) {
  if (Slots_.usable(Now) != Usable_)
    applySlots(Now);
}

std::vector<HealthChange> ServiceRuntime::evaluate(TimePoint Now) {
  std::vector<HealthChange> Changes = Health_.evaluate(Now);
  for (const HealthChange &Change : Changes)
    recordCondition(Change, Now);
  return Changes;
}

void ServiceRuntime::recordCondition(const HealthChange &Change,
                                     TimePoint Now) {
  switch (Change.Kind_) {
  case HealthChangeKind::Ejected:
  case HealthChangeKind::HeldByFloor: {
    const bool IsEjected = Change.Kind_ == HealthChangeKind::Ejected;
    Conditions_[Change.Target_] = Condition{
        IsEjected ? TargetCondition::Ejected : TargetCondition::HeldByFloor,
        Change.Suspicion_ ? suspicionCauseName(Change.Suspicion_->Cause_) : "",
        figuresOf(Change), Now};
    return;
  }
  case HealthChangeKind::Reinstated:
  case HealthChangeKind::ReinstatedByFloor:
    Conditions_.erase(Change.Target_);
    return;
  case HealthChangeKind::Suspected:
  case HealthChangeKind::CloseConnections:
    return;
  }
}

TargetStatus ServiceRuntime::targetStatus(const Target &Listed,
                                          TimePoint Now) const {
  TargetStatus Status;
  Status.Id_ = Listed.Id_;
  Status.OwnSlots_ = Plan_.shareOf(Self_, Listed.Id_).Slots_;
  Status.InProgress_ = Picker_.inProgress(Listed.Id_);
  const std::map<TargetId, Condition>::const_iterator It =
      Conditions_.find(Listed.Id_);
  // TargetHealth reinstates for the floor at once, but evaluate() reports it
  // only at the next tick, so the recorded ejection may be outdated.
  const bool HasEjectionEnded = It != Conditions_.end() &&
                                It->second.Value_ == TargetCondition::Ejected &&
                                Health_.isUsable(Listed.Id_);
  if (It != Conditions_.end() && !HasEjectionEnded) {
    Status.Condition_ = It->second.Value_;
    Status.Cause_ = It->second.Cause_;
    Status.Measurements_ = It->second.Measurements_;
    Status.Since_ = Now - It->second.Since_;
  }
  if (Listed.State_ == TargetState::Serving)
    return Status;
  const bool IsLeaving = Listed.State_ == TargetState::Leaving;
  Status.Condition_ =
      IsLeaving ? TargetCondition::Leaving : TargetCondition::Starting;
  Status.Cause_ = "service entry";
  return Status;
}

ServiceStatus ServiceRuntime::status(TimePoint Now) const {
  ServiceStatus Status;
  Status.Customer_ = entry().Customer_;
  Status.Service_ = entry().Service_;
  Status.EntryVersion_ = entry().Version_;
  Status.FloorTargets_ = entry().FloorTargets_;
  for (const GroupMember &Member : Config_.Group_.Members_)
    Status.Group_.push_back(Member.Host_);
  const std::size_t Members = std::max<std::size_t>(1, Status.Group_.size());
  Status.Quota_.RatePerSecond_ = static_cast<double>(terms().RatePerSecond_) /
                                 static_cast<double>(Members);
  Status.Quota_.InProgressShare_ =
      terms().InProgress_ / static_cast<std::uint32_t>(Members);
  Status.Quota_.InProgress_ = Quota_.inProgress();
  Status.Queued_ = static_cast<std::uint32_t>(Queue_.size());
  for (const Target &Listed : entry().Targets_)
    Status.Targets_.push_back(targetStatus(Listed, Now));
  return Status;
}

const char *suspicionCauseName(SuspicionCause Cause) {
  switch (Cause) {
  case SuspicionCause::Stalled:
    return "stalled";
  case SuspicionCause::Errors:
    return "errors";
  case SuspicionCause::Slow:
    return "slow";
  }
  return "";
}

std::string describeChange(const ServiceName &Service,
                           const HealthChange &Change) {
  std::string Text = Service.str() + " " + Change.Target_.str() + " " +
                     changeVerb(Change.Kind_);
  if (Change.Suspicion_)
    Text +=
        std::string(", cause ") + suspicionCauseName(Change.Suspicion_->Cause_);
  if (Change.EjectedFor_ > Duration::zero())
    Text +=
        ", for " + std::to_string(toMilliseconds(Change.EjectedFor_)) + " ms";
  for (const Measurement &Value : figuresOf(Change)) {
    char Number[64];
    std::snprintf(Number, sizeof(Number), ", %s %.6g", Value.Name_.c_str(),
                  Value.Value_);
    Text += Number;
  }
  return Text;
}

} // namespace kumquatpitch
