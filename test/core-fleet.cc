// Hosts of the fault matrix: starts, kills, pauses and stops them and executes
// the actions that their cores return. See core-fleet.h.

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
  FleetHost &Host = Hosts_[I];
  ++Host.Generation_;
  Host.IsPaused_ = false;
  Host.HeldEvents_.clear();
  Host.Version_ = 0;
  Host.HasConnection_.fill(false);
  Host.IsConnectionSilent_.fill(false);
  Host.Random_ = std::make_unique<SeededRandom>(Random_.next());
  Host.Transport_ = std::make_unique<Link>(*this, I);
  Host.Log_ = std::make_unique<StepLogger>(*this, I);
  HostIdentity Self{
      HostId("h" + std::to_string(I)),
      Region("kigali"),
      FailureDomain(FleetDocuments::domain(I)),
      NextIncarnation_++,
      Endpoint{addressOf(I), PeerPort},
      {Endpoint{addressOf(0), PeerPort}, Endpoint{addressOf(1), PeerPort}},
      {CustomerName("imigongo")}};
  Host.Core_ = std::make_unique<HostCore>(
      std::move(Self),
      HostDependencies{*Host.Random_, *Host.Log_, *Host.Transport_}, local(I));
  Host.ReachableSince_ = now();
  Host.GroupSince_ = now();
  Host.Group_.clear();
  post(I, TickPeriod, [this, I] { tick(I); });
}

void CoreFleet::killHost(std::size_t I) {
  FleetHost &Host = Hosts_[I];
  ++Host.Generation_;
  Host.Core_.reset();
  Host.IsPaused_ = false;
  Host.HeldEvents_.clear();
  Host.Attempts_.clear();
  Host.IsSettled_ = false;
  std::map<FlowId, Flow> OpenFlows;
  OpenFlows.swap(Host.Flows_);
  for (const std::pair<const FlowId, Flow> &Entry : OpenFlows)
    Events_.after(LinkDelay,
                  [this, Sent = Entry.second.Send_] { endSend(Sent, {}); });
}

void CoreFleet::pauseHost(std::size_t I) { Hosts_[I].IsPaused_ = true; }

/// Runs the events held during the pause, timers included, in order of arrival.
void CoreFleet::resumeHost(std::size_t I) {
  FleetHost &Host = Hosts_[I];
  Host.IsPaused_ = false;
  Host.ReachableSince_ = now();
  std::vector<std::function<void()>> Held;
  Held.swap(Host.HeldEvents_);
  const unsigned Generation = Host.Generation_;
  for (const std::function<void()> &Event : Held)
    runOnHost(I, Generation, Event);
}

void CoreFleet::jumpClock(std::size_t I, Duration Span) {
  Hosts_[I].ClockOffset_ += Span;
}

void CoreFleet::beginStop(std::size_t I) {
  post(I, Duration(0),
       [this, I] { Hosts_[I].Core_->beginStop(TimePoint::max(), local(I)); });
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
  Manifest NewManifest{ConfigVersion_, {}};
  for (const std::pair<const std::string, std::string> &Document : Documents)
    NewManifest.Parts_.push_back({Document.first, ConfigVersion_,
                                  contentHash(Document.second),
                                  Document.second.size()});
  Platform_.publish(NewManifest, Documents);
  PublishedLeaving_ = Leaving;
  if (Leaving && !Backends_[*Leaving].LeavingSign_)
    Backends_[*Leaving].LeavingSign_ = now();
}

void CoreFleet::setPlatform(PlatformMode Mode) {
  Platform_.setMode(Mode);
  if (!PublishedLeaving_ || IsLeavingRead_)
    return;
  // While no host can have read the sign, its time starts when the platform
  // becomes readable again.
  std::optional<TimePoint> &Sign = Backends_[*PublishedLeaving_].LeavingSign_;
  Sign.reset();
  if (Mode == PlatformMode::Normal)
    Sign = now();
}

void CoreFleet::silenceConnection(std::size_t I, std::size_t Target) {
  Hosts_[I].IsConnectionSilent_[Target] = Hosts_[I].HasConnection_[Target];
}

void CoreFleet::releaseStalledAnswers(std::size_t Target) {
  std::vector<std::function<void()>> Answers;
  Answers.swap(Backends_[Target].StalledAnswers_);
  for (const std::function<void()> &Answer : Answers)
    Events_.after(Duration(0), Answer);
}

bool CoreFleet::isReady(std::size_t I) const {
  return isUp(I) && Hosts_[I].Core_->isReady(local(I));
}

std::optional<AddressAnswer> CoreFleet::addresses(std::size_t I) {
  FleetHost &Host = Hosts_[I];
  if (!Host.Core_ || Host.IsPaused_)
    return std::nullopt;
  return handleFailure(
      [&]() -> Result<std::optional<AddressAnswer>> {
        BOOST_LEAF_AUTO(Answer,
                        Host.Core_->addresses(CustomerName("imigongo"),
                                              ServiceName("ledger"), local(I)));
        return std::optional<AddressAnswer>(std::move(Answer));
      },
      [](const Failure &) { return std::optional<AddressAnswer>(); });
}

void CoreFleet::post(std::size_t I, Duration Delay, std::function<void()> Run) {
  Events_.after(Delay,
                [this, I, Generation = Hosts_[I].Generation_,
                 Run = std::move(Run)] { runOnHost(I, Generation, Run); });
}

void CoreFleet::runOnHost(std::size_t I, unsigned Generation,
                          const std::function<void()> &Run) {
  FleetHost &Host = Hosts_[I];
  if (Host.Generation_ != Generation || !Host.Core_)
    return;
  if (Host.IsPaused_) {
    Host.HeldEvents_.push_back(Run);
    return;
  }
  Run();
  checkInvariants(I);
}

void CoreFleet::tick(std::size_t I) {
  executeActions(I, Hosts_[I].Core_->tick(local(I)));
  if (Hosts_[I].Core_->mayStop(local(I))) {
    checkStop(I);
    Hosts_[I].IsStopped_ = true;
    killHost(I);
    return;
  }
  post(I, TickPeriod, [this, I] { tick(I); });
}

void CoreFleet::checkStop(std::size_t I) {
  for (const std::pair<const FlowId, Flow> &Entry : Hosts_[I].Flows_)
    Ledger_.violate(now(), 6,
                    "h" + std::to_string(I) + " stops with open request " +
                        std::to_string(Entry.second.Send_->Key_.Request_));
}

void CoreFleet::executeActions(std::size_t I, const CoreActions &Actions) {
  for (const CoreAction &Action : Actions) {
    if (const FlowStep *Next = std::get_if<FlowStep>(&Action)) {
      applyStep(I, *Next);
    } else if (const CancelAttempt *End = std::get_if<CancelAttempt>(&Action)) {
      const std::map<AttemptId, AttemptPtr>::iterator Entry =
          Hosts_[I].Attempts_.find(End->Attempt_);
      if (Entry == Hosts_[I].Attempts_.end())
        continue;
      post(I, Duration(0),
           [this, Active = Entry->second, Reason = End->Reason_] {
             AttemptReport Report;
             Report.End_ = Active->IsWritten_ ? Reason : AttemptEnd::NotWritten;
             endAttempt(Active, Report, {});
           });
    } else if (const CloseConnections *Close =
                   std::get_if<CloseConnections>(&Action)) {
      const std::size_t Target = Close->Address_.Address_.back() - '1';
      Hosts_[I].HasConnection_[Target] = false;
      Hosts_[I].IsConnectionSilent_[Target] = false;
    } else if (const PlatformCall *Call = std::get_if<PlatformCall>(&Action)) {
      Events_.after(PlatformDelay, [this, I, Request = *Call,
                                    Generation = Hosts_[I].Generation_,
                                    GiveUp = now() + Call->Wait_] {
        if (Hosts_[I].Generation_ == Generation)
          callPlatform(I, Request, GiveUp);
      });
    }
  }
}

} // namespace kumquatpitch::test
