// Hosts of the fault matrix: start, kill, pause, stop and what their cores ask
// for. See core-fleet.h.

#include "core-fleet.h"

#include <algorithm>

namespace kumquatpitch::test {

namespace {

constexpr Duration LinkDelay = std::chrono::milliseconds(1);
constexpr Duration PlatformDelay = std::chrono::milliseconds(3);
constexpr std::uint16_t PeerPort = 7;

} // namespace

CoreFleet::CoreFleet(std::uint64_t Seed, int RatePerSecond)
    : Random_(Seed), Rate_(RatePerSecond) {
  publish(std::nullopt);
  publish(std::nullopt);
  ++ListVersion_;
  Platform_.publishHosts(ListVersion_,
                         FleetDocuments::hosts(ListVersion_, States_));
}

void CoreFleet::startHost(std::size_t I) {
  FleetHost &Of = Hosts_[I];
  ++Of.Life_;
  Of.IsPaused_ = false;
  Of.Held_.clear();
  Of.Version_ = 0;
  Of.Kept_.fill(false);
  Of.Silent_.fill(false);
  Of.Random_ = std::make_unique<SeededRandom>(Random_.next());
  Of.Transport_ = std::make_unique<Link>(*this, I);
  Of.Log_ = std::make_unique<StepLogger>(*this, I);
  HostIdentity Self{
      HostId("h" + std::to_string(I)),
      Region("kigali"),
      FailureDomain(FleetDocuments::domain(I)),
      NextIncarnation_++,
      Endpoint{addressOf(I), PeerPort},
      {Endpoint{addressOf(0), PeerPort}, Endpoint{addressOf(1), PeerPort}},
      {CustomerName("imigongo")}};
  Of.Core_ = std::make_unique<HostCore>(
      std::move(Self), HostServices{*Of.Random_, *Of.Log_, *Of.Transport_},
      local(I));
  Of.ReachableSince_ = now();
  Of.GroupSince_ = now();
  Of.Group_.clear();
  post(I, TickPeriod, [this, I] { tick(I); });
}

void CoreFleet::killHost(std::size_t I) {
  FleetHost &Of = Hosts_[I];
  ++Of.Life_;
  Of.Core_.reset();
  Of.IsPaused_ = false;
  Of.Held_.clear();
  Of.Attempts_.clear();
  Of.IsSettled_ = false;
  std::map<FlowId, Flow> Open;
  Open.swap(Of.Flows_);
  for (const std::pair<const FlowId, Flow> &Each : Open)
    Events_.after(LinkDelay,
                  [this, Sent = Each.second.Send_] { endSend(Sent, {}); });
}

void CoreFleet::pauseHost(std::size_t I) { Hosts_[I].IsPaused_ = true; }

/// What waited is handled in order of arrival; timers are among it.
void CoreFleet::wakeHost(std::size_t I) {
  FleetHost &Of = Hosts_[I];
  Of.IsPaused_ = false;
  Of.ReachableSince_ = now();
  std::vector<std::function<void()>> Held;
  Held.swap(Of.Held_);
  const unsigned Life = Of.Life_;
  for (const std::function<void()> &Each : Held)
    enter(I, Life, Each);
}

void CoreFleet::jumpClock(std::size_t I, Duration Span) {
  Hosts_[I].ClockOffset_ += Span;
}

void CoreFleet::beginStop(std::size_t I) {
  post(I, Duration(0), [this, I] { Hosts_[I].Core_->beginStop(local(I)); });
}

void CoreFleet::listHost(std::size_t I, const std::string &State) {
  States_[I] = State;
  ++ListVersion_;
  Platform_.publishHosts(ListVersion_,
                         FleetDocuments::hosts(ListVersion_, States_));
}

void CoreFleet::publish(std::optional<std::size_t> Leaving) {
  ++ConfigVersion_;
  const std::map<std::string, std::string> Documents = {
      {"contract/imigongo", FleetDocuments::contract(Rate_)},
      {"service/ledger", FleetDocuments::service(ConfigVersion_, Leaving)}};
  Manifest Table{ConfigVersion_, {}};
  for (const std::pair<const std::string, std::string> &Each : Documents)
    Table.Parts_.push_back({Each.first, ConfigVersion_,
                            contentHash(Each.second), Each.second.size()});
  Platform_.publish(Table, Documents);
  PublishedLeaving_ = Leaving;
  if (Leaving && !Backends_[*Leaving].LeavingSign_)
    Backends_[*Leaving].LeavingSign_ = now();
}

void CoreFleet::setPlatform(PlatformMode Mode) {
  Platform_.setMode(Mode);
  if (!PublishedLeaving_ || IsLeavingRead_)
    return;
  // A sign that no host can have read counts from when it can be read.
  std::optional<TimePoint> &Sign = Backends_[*PublishedLeaving_].LeavingSign_;
  Sign.reset();
  if (Mode == PlatformMode::Normal)
    Sign = now();
}

void CoreFleet::silenceKept(std::size_t I, std::size_t Target) {
  Hosts_[I].Silent_[Target] = Hosts_[I].Kept_[Target];
}

void CoreFleet::releaseStuck(std::size_t Target) {
  std::vector<std::function<void()>> Stuck;
  Stuck.swap(Backends_[Target].Stuck_);
  for (const std::function<void()> &Each : Stuck)
    Events_.after(Duration(0), Each);
}

bool CoreFleet::isReady(std::size_t I) const {
  return isUp(I) && Hosts_[I].Core_->isReady(local(I));
}

std::optional<AddressAnswer> CoreFleet::addresses(std::size_t I) {
  FleetHost &Of = Hosts_[I];
  if (!Of.Core_ || Of.IsPaused_)
    return std::nullopt;
  return handleFailure(
      [&]() -> Result<std::optional<AddressAnswer>> {
        BOOST_LEAF_AUTO(Answer,
                        Of.Core_->addresses(CustomerName("imigongo"),
                                            ServiceName("ledger"), local(I)));
        return std::optional<AddressAnswer>(std::move(Answer));
      },
      [](const Failure &) { return std::optional<AddressAnswer>(); });
}

void CoreFleet::post(std::size_t I, Duration Delay, std::function<void()> Run) {
  Events_.after(Delay, [this, I, Life = Hosts_[I].Life_, Run = std::move(Run)] {
    enter(I, Life, Run);
  });
}

void CoreFleet::enter(std::size_t I, unsigned Life,
                      const std::function<void()> &Run) {
  FleetHost &Of = Hosts_[I];
  if (Of.Life_ != Life || !Of.Core_)
    return;
  if (Of.IsPaused_) {
    Of.Held_.push_back(Run);
    return;
  }
  Run();
  check(I);
}

void CoreFleet::tick(std::size_t I) {
  carryOut(I, Hosts_[I].Core_->tick(local(I)));
  if (Hosts_[I].Core_->mayStop(local(I))) {
    checkStop(I);
    Hosts_[I].IsStopped_ = true;
    killHost(I);
    return;
  }
  post(I, TickPeriod, [this, I] { tick(I); });
}

void CoreFleet::checkStop(std::size_t I) {
  for (const std::pair<const FlowId, Flow> &Each : Hosts_[I].Flows_)
    Ledger_.violate(now(), 6,
                    "h" + std::to_string(I) + " stops with request " +
                        std::to_string(Each.second.Send_->Key_.Request_));
}

void CoreFleet::carryOut(std::size_t I, const CoreActions &Actions) {
  for (const CoreAction &Action : Actions) {
    if (const FlowStep *Next = std::get_if<FlowStep>(&Action)) {
      take(I, *Next);
    } else if (const CancelAttempt *End = std::get_if<CancelAttempt>(&Action)) {
      const std::map<AttemptId, AttemptPtr>::iterator At =
          Hosts_[I].Attempts_.find(End->Attempt_);
      if (At == Hosts_[I].Attempts_.end())
        continue;
      post(I, Duration(0), [this, Of = At->second, Reason = End->Reason_] {
        AttemptReport Report;
        Report.End_ = Of->IsWritten_ ? Reason : AttemptEnd::NotWritten;
        endAttempt(Of, Report, {});
      });
    } else if (const CloseConnections *Close =
                   std::get_if<CloseConnections>(&Action)) {
      const std::size_t Target = Close->Address_.Address_.back() - '1';
      Hosts_[I].Kept_[Target] = false;
      Hosts_[I].Silent_[Target] = false;
    } else if (const PlatformCall *Call = std::get_if<PlatformCall>(&Action)) {
      Events_.after(PlatformDelay,
                    [this, I, Asked = *Call, Life = Hosts_[I].Life_,
                     GiveUp = now() + Call->Wait_] {
                      if (Hosts_[I].Life_ == Life)
                        callPlatform(I, Asked, GiveUp);
                    });
    }
  }
}

} // namespace kumquatpitch::test
