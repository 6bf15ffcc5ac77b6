// Messages between hosts about the workspaces' limits. See limit-exchange.h.

#include "kumquatpitch/limit-exchange.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

namespace kumquatpitch {

static constexpr Duration ReportPeriod = std::chrono::milliseconds(500);

LimitExchange::LimitExchange(LimitExchangeDependencies Dependencies,
                             const GatewaySettings &Settings)
    : Dependencies_(Dependencies),
      Peer_(Settings.Id_, Dependencies.Membership_.self().Incarnation_,
            LimitTolerance{Settings.LimitWindow_, Settings.LimitOverage_,
                           Settings.LimitSlack_},
            std::ranges::any_of(Settings.Seeds_,
                                [&](const Endpoint &Seed) {
                                  return Seed.Address_ != Settings.Address_;
                                }),
            Dependencies.Core_.limits()),
      Alive_(std::make_shared<LimitExchange *>(this)) {
  Dependencies_.Core_.limits().setSink(this);
  Tick_ = Dependencies_.Timers_.subscribe(LimitPeerPeriod,
                                          [this](TimePoint Now) { tick(Now); });
}

LimitExchange::~LimitExchange() {
  *Alive_ = nullptr;
  Dependencies_.Timers_.unsubscribe(Tick_);
  Dependencies_.Core_.limits().setSink(nullptr);
}

/// The request is sent after the current handler, so that one carries all needs
/// of the requests that are read together.
void LimitExchange::tokenNeeded() {
  if (std::exchange(IsSendQueued_, true))
    return;
  asio::post(Dependencies_.Context_, [Alive = Alive_] {
    LimitExchange *Exchange = *Alive;
    if (!Exchange)
      return;
    Exchange->IsSendQueued_ = false;
    Exchange->send(
        Exchange->Peer_.tokenNeeded(Exchange->Dependencies_.Timers_.now()));
    Exchange->Dependencies_.Front_.resumeWaitingRequests();
  });
}

bool LimitExchange::receive(const PeerDatagram &Datagram) {
  const std::optional<LimitMessage> Message = limitMessageOf(Datagram);
  if (!Message)
    return false;
  send(Peer_.receive(*Message, Dependencies_.Timers_.now()));
  if (std::holds_alternative<TokenAnswer>(*Message))
    Dependencies_.Front_.resumeWaitingRequests();
  return true;
}

void LimitExchange::tick(TimePoint Now) {
  updateMembers(Now);
  updateLimits(Now);
  if (!HasLimits_)
    return;
  send(Peer_.tick(Now));
  Dependencies_.Front_.resumeWaitingRequests();
  if (Now - ReportedAt_ >= ReportPeriod)
    report(Now);
}

void LimitExchange::updateMembers(TimePoint Now) {
  if (AppliedChanges_ == Dependencies_.Membership_.changes())
    return;
  AppliedChanges_ = Dependencies_.Membership_.changes();
  const std::vector<Member> Members = Dependencies_.Membership_.members();
  Addresses_.clear();
  for (const Member &Host : Members)
    Addresses_[Host.Id_] = Host.Address_;
  Peer_.setMembers(Members, Now);
}

void LimitExchange::updateLimits(TimePoint Now) {
  if (AppliedTable_ == Dependencies_.Core_.table())
    return;
  AppliedTable_ = Dependencies_.Core_.table();
  std::map<LimitKey, WorkspaceLimit> Limits;
  if (const WorkspaceIndex *Workspaces = AppliedTable_->workspaces())
    for (const WorkspaceSettings *Workspace : Workspaces->limited())
      Limits[limitKeyOf(Workspace->Name_)] =
          WorkspaceLimit{Workspace->RatePerSecond_, Workspace->Burst_};
  HasLimits_ = !Limits.empty();
  Peer_.setLimits(Limits, Now);
}

void LimitExchange::send(const std::vector<AddressedLimitMessage> &Messages) {
  for (const AddressedLimitMessage &Entry : Messages) {
    const std::map<HostId, std::string>::const_iterator Address =
        Addresses_.find(Entry.To_);
    if (Address == Addresses_.end()) {
      Dependencies_.Metrics_.count("limit_receivers_unknown");
      continue;
    }
    Dependencies_.Peers_.send(
        Address->second,
        std::visit(
            [](const auto &Alternative) { return PeerDatagram(Alternative); },
            Entry.Message_));
  }
}

void LimitExchange::report(TimePoint Now) {
  ReportedAt_ = Now;
  const LimitCounts Counts = Dependencies_.Core_.limits().takeCounts();
  Metrics &Sums = Dependencies_.Metrics_;
  Sums.count("limit_tokens_granted", Counts.Granted_);
  Sums.count("limit_tokens_expired", Counts.Expired_);
  Sums.count("limit_requests_beyond", Counts.Beyond_);
  Sums.count("limit_requests_undecided", Counts.Undecided_);
  for (const LimitChange &Change :
       Dependencies_.Core_.limits().takeChanges(Now))
    Dependencies_.Log_.write(LogLevel::Info, "workspace",
                             Change.IsLimited_ ? "limit_reached" : "limit_left",
                             {{"workspace", Change.Workspace_.str()},
                              {"refused", std::to_string(Change.Refused_)}});
  const std::optional<HostId> Coordinator = Peer_.coordinator(Now);
  if (Coordinator == LoggedCoordinator_)
    return;
  LoggedCoordinator_ = Coordinator;
  Dependencies_.Log_.write(
      LogLevel::Info, "limits", "coordinator_changed",
      {{"coordinator", Coordinator ? Coordinator->str() : "none"},
       {"own_share", std::to_string(Peer_.share(Now))}});
}

} // namespace kumquatpitch
