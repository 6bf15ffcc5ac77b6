// Platform calls, links, requests of callers and backend servers of the fault
// matrix. See core-fleet.h.

#include "core-fleet.h"

#include <algorithm>

namespace kumquatpitch::test {

namespace {

constexpr Duration LinkDelay = std::chrono::milliseconds(1);
constexpr Duration ConnectDelay = std::chrono::milliseconds(1);
constexpr Duration ServiceTime = std::chrono::milliseconds(20);
constexpr Duration PlatformDelay = std::chrono::milliseconds(3);
constexpr Duration CallerTimeout = std::chrono::milliseconds(2'500);
constexpr Duration SlowDelay = std::chrono::milliseconds(400);
constexpr Duration CopyDelay = std::chrono::milliseconds(50);
constexpr Duration MaxReorderDelay = std::chrono::seconds(2);
constexpr int SlowFactor = 20;

std::size_t indexOf(const TargetId &Id) { return Id.str().at(1) - '0'; }

/// Returns the step that is reached by sending this message, if any.
std::optional<Step> stepOf(const std::string &Bytes, const HostId &To) {
  return handleFailure(
      [&]() -> Result<std::optional<Step>> {
        BOOST_LEAF_AUTO(Message, decodePeerMessage(Bytes, To));
        const PeerBody &Body = Message.Body_;
        const ReportMessage *Report = std::get_if<ReportMessage>(&Body);
        if (Report && Report->Suspects_)
          return std::optional<Step>(Step::Suspected);
        if (std::holds_alternative<QuotaLoanRequestMessage>(Body))
          return std::optional<Step>(Step::QuotaAsked);
        if (std::holds_alternative<QuotaGrantMessage>(Body))
          return std::optional<Step>(Step::QuotaGranted);
        return std::optional<Step>();
      },
      [](const Failure &) { return std::optional<Step>(); });
}

} // namespace

void CoreFleet::callPlatform(std::size_t I, const PlatformCall &Call,
                             TimePoint GiveUp) {
  constexpr Duration WatchStep = std::chrono::milliseconds(5);
  std::optional<PlatformReply> Reply;
  if (!Call.IsWatch_)
    Reply = Platform_.read(Call.Key_);
  else
    Reply = Platform_.watch(Call.Key_, Call.After_);
  if (!Reply && now() < GiveUp) {
    Events_.after(WatchStep,
                  [this, I, Call, GiveUp, Generation = Hosts_[I].Generation_] {
                    if (Hosts_[I].Generation_ == Generation)
                      callPlatform(I, Call, GiveUp);
                  });
    return;
  }
  if (!Reply)
    Reply = PlatformReply{Call.Key_, PlatformStatus::Unchanged, 0, "", 0};
  const bool IsNewManifest =
      Call.Key_ == "manifest" && Reply->Status_ == PlatformStatus::Value &&
      Reply->Version_ == ConfigVersion_ && ConfigVersion_ > 2;
  if (IsNewManifest)
    reportStep(Step::ConfigRead, I, 0);
  if (Reply->Body_.find("\"leaving\"") != std::string::npos &&
      Call.Key_.find("parts/service/") == 0)
    IsLeavingRead_ = true;
  post(I, PlatformDelay, [this, I, Received = *Reply] {
    executeActions(I, Hosts_[I].Core_->onPlatformReply(Received, local(I)));
  });
}

Duration CoreFleet::linkDelay(const LinkFaults &Faults) {
  Duration Delay = LinkDelay;
  if (Faults.AddsDelay_)
    Delay += SlowDelay;
  if (Faults.Reorders_)
    Delay += Duration(Random_.below(MaxReorderDelay.count()));
  return Delay;
}

void CoreFleet::sendPeer(std::size_t From, const Endpoint &To,
                         std::string Message) {
  std::size_t I = To.Address_.back() - '1';
  const LinkFaults &SenderFaults = Hosts_[From].Link_;
  const std::optional<Step> Reached =
      stepOf(Message, HostId("h" + std::to_string(I)));
  const bool IsGrant = Reached == Step::QuotaGranted;
  if (Reached)
    reportStep(*Reached, From, *Reached == Step::Suspected ? 2 : 0);
  if (I >= MaxHosts || SenderFaults.DropsOutbound_ ||
      Hosts_[I].Link_.DropsInbound_)
    return;
  if (SenderFaults.Misroutes_)
    I = (I + 1) % MaxHosts;
  if (SenderFaults.Truncates_)
    Message.resize(Message.size() / 2);
  const auto Deliver = [this, I, From, Message, IsGrant] {
    executeActions(
        I, Hosts_[I].Core_->receivePeer(Message, addressOf(From), local(I)));
    if (IsGrant)
      reportStep(Step::QuotaCredited, I, 0);
  };
  const Duration Delay =
      std::max(linkDelay(SenderFaults), linkDelay(Hosts_[I].Link_));
  post(I, Delay, Deliver);
  if (SenderFaults.Duplicates_)
    post(I, Delay + CopyDelay, Deliver);
}

void CoreFleet::send(const SendPtr &Sent) {
  const std::size_t I = Sent->Host_;
  Events_.after(CallerTimeout,
                [this, Sent, I, Generation = Hosts_[I].Generation_] {
                  if (Sent->IsEnded_)
                    return;
                  if (Sent->Flow_ != 0)
                    Events_.after(LinkDelay, [this, Sent, I, Generation] {
                      runOnHost(I, Generation, [this, Sent, I] {
                        executeActions(I, Hosts_[I].Core_->onCallerDisconnect(
                                              Sent->Flow_, local(I)));
                      });
                    });
                  endSend(Sent, {});
                });
  if (!isUp(I)) {
    Events_.after(LinkDelay, [this, Sent] { endSend(Sent, {}); });
    return;
  }
  reportStep(Step::BeforeAdmission, I, 0);
  post(I, LinkDelay, [this, I, Sent] { admit(I, Sent); });
  const LinkFaults &Faults = Hosts_[I].Link_;
  if (!Faults.Duplicates_ && !Faults.Reorders_)
    return;
  // A copy of the request arrives later; its answer is discarded.
  const SendPtr Copy = std::make_shared<FleetSend>(*Sent);
  Copy->OnEnd_ = [](const SendResult &) {};
  post(I, LinkDelay + (Faults.Reorders_ ? MaxReorderDelay : CopyDelay),
       [this, I, Copy] { admit(I, Copy); });
}

void CoreFleet::admit(std::size_t I, const SendPtr &Sent) {
  CallerRequest Request;
  Request.Customer_ = CustomerName("imigongo");
  Request.Method_ = Sent->Token_.empty() ? "GET" : "POST";
  Request.Target_ = "/deposits";
  Request.Token_ = Sent->Token_;
  if (!Sent->Token_.empty())
    Request.RequestId_ = "r" + std::to_string(Sent->Key_.Request_);
  Request.Resend_ = Sent->Key_.Resend_;
  const FlowStep First = Hosts_[I].Core_->admit(Request, local(I));
  Sent->Flow_ = First.Flow_;
  if (First.Flow_ == 0) {
    respond(I, Sent,
            SendResult{true, std::get<RequestRefusal>(First.Step_), {}});
    return;
  }
  Hosts_[I].Flows_[First.Flow_] = Flow{Sent, {}};
  applyStep(I, First);
}

void CoreFleet::applyStep(std::size_t I, const FlowStep &Next) {
  FleetHost &Host = Hosts_[I];
  const std::map<FlowId, Flow>::iterator Entry = Host.Flows_.find(Next.Flow_);
  if (Entry == Host.Flows_.end()) {
    Ledger_.violate(now(), 2,
                    "a step for a request that already has an outcome");
    return;
  }
  if (std::holds_alternative<Wait>(Next.Step_)) {
    reportStep(Step::Queued, I, 0);
    return;
  }
  if (const AttemptOrder *Order = std::get_if<AttemptOrder>(&Next.Step_)) {
    startAttempt(I, Next.Flow_, *Order);
    return;
  }
  const Flow Ended = Entry->second;
  Host.Flows_.erase(Entry);
  SendResult End{true, std::nullopt, Ended.Answer_};
  if (const RequestRefusal *Refused = std::get_if<RequestRefusal>(&Next.Step_))
    End.Refusal_ = *Refused;
  respond(I, Ended.Send_, End);
}

void CoreFleet::respond(std::size_t I, const SendPtr &Sent,
                        const SendResult &End) {
  if (Sent->IsReplied_)
    Ledger_.violate(now(), 2, "a second outcome for one send");
  Sent->IsReplied_ = true;
  const bool HasToken = !Sent->Token_.empty();
  if (!End.Refusal_) {
    Ledger_.recordDelivery(Sent->Key_.Request_, End.Answer_, now());
  } else if (End.Refusal_->Outcome_ == Outcome::NotRun) {
    Ledger_.recordNotRun(Sent->Key_, HasToken, now());
    Ledger_.recordSendNotRun(Sent->Key_.Request_, Sent->DidRun_, now());
  }
  if (Hosts_[I].Link_.DropsOutbound_)
    return;
  Events_.after(linkDelay(Hosts_[I].Link_),
                [this, Sent, End] { endSend(Sent, End); });
}

void CoreFleet::endSend(const SendPtr &Sent, const SendResult &End) {
  if (Sent->IsEnded_)
    return;
  Sent->IsEnded_ = true;
  Sent->OnEnd_(End);
}

void CoreFleet::startAttempt(std::size_t I, FlowId Id,
                             const AttemptOrder &Order) {
  FleetHost &Host = Hosts_[I];
  const AttemptPtr Started = std::make_shared<Attempt>();
  Started->Order_ = Order;
  Started->Send_ = Host.Flows_.at(Id).Send_;
  Started->Host_ = I;
  Started->Generation_ = Host.Generation_;
  Started->Flow_ = Id;
  Started->Target_ = indexOf(Order.Target_);
  Started->IsNew_ =
      Order.RequiresNewConnection_ || !Host.HasConnection_[Started->Target_];
  Started->IsSilent_ =
      !Started->IsNew_ && Host.IsConnectionSilent_[Started->Target_];
  Host.Attempts_[Order.Id_] = Started;
  reportStep(Step::BeforeFirstByte, I, Started->Target_);
  post(I, Started->IsNew_ ? ConnectDelay : Duration(0),
       [this, Started] { write(Started); });
}

void CoreFleet::write(const AttemptPtr &Active) {
  if (Active->IsEnded_)
    return;
  FleetHost &Host = Hosts_[Active->Host_];
  const FleetBackend &Server = Backends_[Active->Target_];
  const auto Fail = [&](AttemptEnd End) {
    AttemptReport Report;
    Report.End_ = End;
    endAttempt(Active, Report, {});
  };
  if (Active->IsNew_ && Server.IsClosed_) {
    Fail(AttemptEnd::ConnectFailed);
    return;
  }
  if (!Host.Core_->mayWrite(Active->Flow_, local(Active->Host_))) {
    Fail(AttemptEnd::NotWritten);
    return;
  }
  Active->IsWritten_ = true;
  Active->Written_ = local(Active->Host_);
  checkLeaving(Active->Host_, Active->Target_);
  if (Active->IsSilent_ || Host.Link_.DropsOutbound_)
    return;
  Events_.after(linkDelay(Host.Link_),
                [this, Active] { arriveAtBackend(Active); });
}

void CoreFleet::arriveAtBackend(const AttemptPtr &Active) {
  FleetBackend &Server = Backends_[Active->Target_];
  if (Server.IsResetting_ || Server.IsClosed_) {
    post(Active->Host_, LinkDelay, [this, Active] {
      AttemptReport Report;
      Report.End_ = AttemptEnd::Broken;
      endAttempt(Active, Report, {});
    });
    return;
  }
  if (Server.IsShedding_) {
    answer(Active, true);
    return;
  }
  Active->Send_->DidRun_ = true;
  Ledger_.recordRun(Active->Send_->Key_, !Active->Send_->Token_.empty(), now());
  reportStep(Step::InFlight, Active->Host_, Active->Target_);
  const bool IsSlow = Server.IsSlow_ || now() < Server.ColdUntil_;
  // Deferred so that a fault injected at this step takes effect first.
  Events_.after(Duration(0), [this, Active, IsSlow] {
    FleetBackend &Backend = Backends_[Active->Target_];
    if (Backend.IsStalled_)
      Backend.StalledAnswers_.push_back(
          [this, Active] { answer(Active, false); });
    else
      Events_.after(IsSlow ? ServiceTime * SlowFactor : ServiceTime,
                    [this, Active] { answer(Active, false); });
  });
}

void CoreFleet::answer(const AttemptPtr &Active, bool IsRefusal) {
  if (Backends_[Active->Target_].IsStalled_ && !IsRefusal) {
    Backends_[Active->Target_].StalledAnswers_.push_back(
        [this, Active] { answer(Active, false); });
    return;
  }
  reportStep(Step::BeforeDelivery, Active->Host_, Active->Target_);
  Events_.after(Duration(0), [this, Active, IsRefusal] {
    sendAnswer(Active,
               WireAnswer{Active->Order_.WireId_,
                          FleetAnswer{Active->Send_->Key_.Request_, true},
                          IsRefusal, Backends_[Active->Target_].IsDraining_});
  });
}

void CoreFleet::sendAnswer(const AttemptPtr &Active, WireAnswer Sent) {
  const LinkFaults &Faults = Hosts_[Active->Host_].Link_;
  if (Faults.DropsInbound_ ||
      Hosts_[Active->Host_].Generation_ != Active->Generation_)
    return;
  if (Backends_[Active->Target_].IsResetting_) {
    post(Active->Host_, LinkDelay, [this, Active] {
      AttemptReport Report;
      Report.End_ = AttemptEnd::Broken;
      endAttempt(Active, Report, {});
    });
    return;
  }
  AttemptPtr Recipient = Active;
  if (Faults.Misroutes_)
    if (const AttemptPtr Other = findOtherAttempt(Active))
      Recipient = Other;
  Sent.Answer_.IsComplete_ = !Faults.Truncates_;
  const Duration Delay = linkDelay(Faults);
  post(Active->Host_, Delay,
       [this, Recipient, Sent] { receiveAnswer(Recipient, Sent); });
  if (Faults.Duplicates_) {
    // The second copy goes to another attempt that is open at that time.
    post(Active->Host_, Delay + CopyDelay, [this, Active, Sent] {
      if (const AttemptPtr Other = findOtherAttempt(Active))
        receiveAnswer(Other, Sent);
    });
  }
}

CoreFleet::AttemptPtr CoreFleet::findOtherAttempt(const AttemptPtr &Excluded) {
  for (const std::pair<const AttemptId, AttemptPtr> &Entry :
       Hosts_[Excluded->Host_].Attempts_)
    if (Entry.second != Excluded && Entry.second->IsWritten_ &&
        Entry.second->Target_ == Excluded->Target_)
      return Entry.second;
  return nullptr;
}

/// Matches the answer to the attempt by wire id, as the backend client does.
void CoreFleet::receiveAnswer(const AttemptPtr &Active,
                              const WireAnswer &Received) {
  if (Active->IsEnded_)
    return;
  AttemptReport Report;
  Report.Draining_ = Received.IsDraining_ && Received.Answer_.IsComplete_;
  Report.HttpStatus_ = 200;
  Report.Load_ = 0;
  if (Report.Draining_ && !Backends_[Active->Target_].LeavingSign_)
    Backends_[Active->Target_].LeavingSign_ = now();
  if (!Received.Answer_.IsComplete_)
    Report.End_ = AttemptEnd::Broken;
  else if (Received.WireId_ != Active->Order_.WireId_)
    Report.End_ = AttemptEnd::Mismatched;
  else
    Report.End_ =
        Received.IsRefusal_ ? AttemptEnd::Refused : AttemptEnd::Answered;
  endAttempt(Active, Report, Received.Answer_);
}

void CoreFleet::endAttempt(const AttemptPtr &Active, AttemptReport Report,
                           const FleetAnswer &Received) {
  FleetHost &Host = Hosts_[Active->Host_];
  if (Active->IsEnded_)
    return;
  Active->IsEnded_ = true;
  Host.Attempts_.erase(Active->Order_.Id_);
  Report.NewConnection_ = Active->IsNew_;
  if (Active->IsWritten_)
    Report.Latency_ = local(Active->Host_) - Active->Written_;
  if (Report.End_ == AttemptEnd::Answered &&
      !Host.IsConnectionSilent_[Active->Target_])
    Host.HasConnection_[Active->Target_] = true;
  const std::map<FlowId, Flow>::iterator Owner =
      Host.Flows_.find(Active->Flow_);
  if (Owner != Host.Flows_.end())
    Owner->second.Answer_ = Received;
  executeActions(
      Active->Host_,
      Host.Core_->finishAttempt(Active->Flow_, Report, local(Active->Host_)));
}

} // namespace kumquatpitch::test
