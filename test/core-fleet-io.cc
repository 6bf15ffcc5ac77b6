// Platform calls, links, callers and backend servers of the fault matrix. See
// core-fleet.h.

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
constexpr Duration ScatterDelay = std::chrono::seconds(2);
constexpr int SlowFactor = 20;

std::size_t indexOf(const TargetId &Id) { return Id.str().at(1) - '0'; }

/// Step that the sending of a message is, if any.
std::optional<Step> stepOf(const std::string &Bytes, const HostId &To) {
  return handleFailure(
      [&]() -> Result<std::optional<Step>> {
        BOOST_LEAF_AUTO(Message, decodePeerMessage(Bytes, To));
        const PeerBody &Body = Message.Body_;
        const ReportMessage *Report = std::get_if<ReportMessage>(&Body);
        if (Report && Report->Suspects_)
          return std::optional<Step>(Step::Suspected);
        if (std::holds_alternative<QuotaAskMessage>(Body))
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
    Events_.after(WatchStep, [this, I, Call, GiveUp, Life = Hosts_[I].Life_] {
      if (Hosts_[I].Life_ == Life)
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
    reach(Step::ConfigRead, I, 0);
  if (Reply->Body_.find("\"leaving\"") != std::string::npos &&
      Call.Key_.find("parts/service/") == 0)
    IsLeavingRead_ = true;
  post(I, PlatformDelay, [this, I, Got = *Reply] {
    carryOut(I, Hosts_[I].Core_->onPlatformReply(Got, local(I)));
  });
}

Duration CoreFleet::peerDelay(const LinkFaults &Faults) {
  Duration Delay = LinkDelay;
  if (Faults.Slow_)
    Delay += SlowDelay;
  if (Faults.Scatters_)
    Delay += Duration(Random_.below(ScatterDelay.count()));
  return Delay;
}

void CoreFleet::sendPeer(std::size_t From, const Endpoint &To,
                         std::string Message) {
  std::size_t I = To.Address_.back() - '1';
  const LinkFaults &Out = Hosts_[From].Link_;
  const std::optional<Step> Kind =
      stepOf(Message, HostId("h" + std::to_string(I)));
  const bool IsGrant = Kind == Step::QuotaGranted;
  if (Kind)
    reach(*Kind, From, *Kind == Step::Suspected ? 2 : 0);
  if (I >= MaxHosts || Out.LosesOut_ || Hosts_[I].Link_.LosesIn_)
    return;
  if (Out.Crosses_)
    I = (I + 1) % MaxHosts;
  if (Out.Cuts_)
    Message.resize(Message.size() / 2);
  const auto Deliver = [this, I, From, Message, IsGrant] {
    carryOut(I,
             Hosts_[I].Core_->receivePeer(Message, addressOf(From), local(I)));
    if (IsGrant)
      reach(Step::QuotaCredited, I, 0);
  };
  const Duration Delay = std::max(peerDelay(Out), peerDelay(Hosts_[I].Link_));
  post(I, Delay, Deliver);
  if (Out.Duplicates_)
    post(I, Delay + CopyDelay, Deliver);
}

void CoreFleet::send(const SendPtr &Sent) {
  const std::size_t I = Sent->Host_;
  Events_.after(CallerTimeout, [this, Sent, I, Life = Hosts_[I].Life_] {
    if (Sent->IsEnded_)
      return;
    if (Sent->Flow_ != 0)
      Events_.after(LinkDelay, [this, Sent, I, Life] {
        enter(I, Life, [this, Sent, I] {
          carryOut(I, Hosts_[I].Core_->abandon(Sent->Flow_, local(I)));
        });
      });
    endSend(Sent, {});
  });
  if (!isUp(I)) {
    Events_.after(LinkDelay, [this, Sent] { endSend(Sent, {}); });
    return;
  }
  reach(Step::BeforeAdmission, I, 0);
  post(I, LinkDelay, [this, I, Sent] { admit(I, Sent); });
  const LinkFaults &Faults = Hosts_[I].Link_;
  if (!Faults.Duplicates_ && !Faults.Scatters_)
    return;
  // A copy of the request arrives later; nobody reads what it is answered.
  const SendPtr Copy = std::make_shared<FleetSend>(*Sent);
  Copy->OnEnd_ = [](const SendEnd &) {};
  post(I, LinkDelay + (Faults.Scatters_ ? ScatterDelay : CopyDelay),
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
    respond(I, Sent, SendEnd{true, std::get<RequestRefusal>(First.Step_), {}});
    return;
  }
  Hosts_[I].Flows_[First.Flow_] = Flow{Sent, {}};
  take(I, First);
}

void CoreFleet::take(std::size_t I, const FlowStep &Next) {
  FleetHost &Of = Hosts_[I];
  const std::map<FlowId, Flow>::iterator At = Of.Flows_.find(Next.Flow_);
  if (At == Of.Flows_.end()) {
    Ledger_.violate(now(), 2, "a step for a request that has its outcome");
    return;
  }
  if (std::holds_alternative<Wait>(Next.Step_)) {
    reach(Step::Queued, I, 0);
    return;
  }
  if (const AttemptOrder *Order = std::get_if<AttemptOrder>(&Next.Step_)) {
    startAttempt(I, Next.Flow_, *Order);
    return;
  }
  const Flow Ended = At->second;
  Of.Flows_.erase(At);
  SendEnd End{true, std::nullopt, Ended.Answer_};
  if (const RequestRefusal *Refused = std::get_if<RequestRefusal>(&Next.Step_))
    End.Refusal_ = *Refused;
  respond(I, Ended.Send_, End);
}

void CoreFleet::respond(std::size_t I, const SendPtr &Sent,
                        const SendEnd &End) {
  if (Sent->IsReplied_)
    Ledger_.violate(now(), 2, "a second outcome of one send");
  Sent->IsReplied_ = true;
  const bool HasToken = !Sent->Token_.empty();
  if (!End.Refusal_) {
    Ledger_.delivered(Sent->Key_.Request_, End.Answer_, now());
  } else if (End.Refusal_->Outcome_ == Outcome::NotRun) {
    Ledger_.toldNotRun(Sent->Key_, HasToken, now());
    Ledger_.toldNotRunOnce(Sent->Key_.Request_, Sent->DidRun_, now());
  }
  if (Hosts_[I].Link_.LosesOut_)
    return;
  Events_.after(peerDelay(Hosts_[I].Link_),
                [this, Sent, End] { endSend(Sent, End); });
}

void CoreFleet::endSend(const SendPtr &Sent, const SendEnd &End) {
  if (Sent->IsEnded_)
    return;
  Sent->IsEnded_ = true;
  Sent->OnEnd_(End);
}

void CoreFleet::startAttempt(std::size_t I, FlowId Id,
                             const AttemptOrder &Order) {
  FleetHost &Of = Hosts_[I];
  const AttemptPtr Started = std::make_shared<Attempt>();
  Started->Order_ = Order;
  Started->Send_ = Of.Flows_.at(Id).Send_;
  Started->Host_ = I;
  Started->Life_ = Of.Life_;
  Started->Flow_ = Id;
  Started->Target_ = indexOf(Order.Target_);
  Started->IsNew_ = Order.FreshConnection_ || !Of.Kept_[Started->Target_];
  Started->IsSilent_ = !Started->IsNew_ && Of.Silent_[Started->Target_];
  Of.Attempts_[Order.Id_] = Started;
  reach(Step::BeforeFirstByte, I, Started->Target_);
  post(I, Started->IsNew_ ? ConnectDelay : Duration(0),
       [this, Started] { write(Started); });
}

void CoreFleet::write(const AttemptPtr &Of) {
  if (Of->IsEnded_)
    return;
  FleetHost &At = Hosts_[Of->Host_];
  const FleetBackend &Server = Backends_[Of->Target_];
  const auto Fail = [&](AttemptEnd End) {
    AttemptReport Report;
    Report.End_ = End;
    endAttempt(Of, Report, {});
  };
  if (Of->IsNew_ && Server.IsClosed_) {
    Fail(AttemptEnd::ConnectFailed);
    return;
  }
  if (!At.Core_->mayWrite(Of->Flow_, local(Of->Host_))) {
    Fail(AttemptEnd::NotWritten);
    return;
  }
  Of->IsWritten_ = true;
  Of->Written_ = local(Of->Host_);
  checkLeaving(Of->Host_, Of->Target_);
  if (Of->IsSilent_ || At.Link_.LosesOut_)
    return;
  Events_.after(peerDelay(At.Link_), [this, Of] { arriveAtBackend(Of); });
}

void CoreFleet::arriveAtBackend(const AttemptPtr &Of) {
  FleetBackend &Server = Backends_[Of->Target_];
  if (Server.IsResetting_ || Server.IsClosed_) {
    post(Of->Host_, LinkDelay, [this, Of] {
      AttemptReport Report;
      Report.End_ = AttemptEnd::Broken;
      endAttempt(Of, Report, {});
    });
    return;
  }
  if (Server.IsShedding_) {
    answer(Of, true);
    return;
  }
  Of->Send_->DidRun_ = true;
  Ledger_.ran(Of->Send_->Key_, !Of->Send_->Token_.empty(), now());
  reach(Step::InFlight, Of->Host_, Of->Target_);
  const bool IsLong = Server.IsSlow_ || now() < Server.ColdUntil_;
  // The injected fault takes effect before the server decides.
  Events_.after(Duration(0), [this, Of, IsLong] {
    FleetBackend &At = Backends_[Of->Target_];
    if (At.IsStalled_)
      At.Stuck_.push_back([this, Of] { answer(Of, false); });
    else
      Events_.after(IsLong ? ServiceTime * SlowFactor : ServiceTime,
                    [this, Of] { answer(Of, false); });
  });
}

void CoreFleet::answer(const AttemptPtr &Of, bool IsRefusal) {
  if (Backends_[Of->Target_].IsStalled_ && !IsRefusal) {
    Backends_[Of->Target_].Stuck_.push_back([this, Of] { answer(Of, false); });
    return;
  }
  reach(Step::BeforeDelivery, Of->Host_, Of->Target_);
  Events_.after(Duration(0), [this, Of, IsRefusal] {
    sendAnswer(Of, WireAnswer{Of->Order_.WireId_,
                              FleetAnswer{Of->Send_->Key_.Request_, true},
                              IsRefusal, Backends_[Of->Target_].IsDraining_});
  });
}

void CoreFleet::sendAnswer(const AttemptPtr &Of, WireAnswer Sent) {
  const LinkFaults &Faults = Hosts_[Of->Host_].Link_;
  if (Faults.LosesIn_ || Hosts_[Of->Host_].Life_ != Of->Life_)
    return;
  if (Backends_[Of->Target_].IsResetting_) {
    post(Of->Host_, LinkDelay, [this, Of] {
      AttemptReport Report;
      Report.End_ = AttemptEnd::Broken;
      endAttempt(Of, Report, {});
    });
    return;
  }
  AttemptPtr To = Of;
  if (Faults.Crosses_)
    if (const AttemptPtr Other = otherAttempt(Of))
      To = Other;
  Sent.Answer_.IsWhole_ = !Faults.Cuts_;
  const Duration Delay = peerDelay(Faults);
  post(Of->Host_, Delay, [this, To, Sent] { receiveAnswer(To, Sent); });
  if (Faults.Duplicates_) {
    // The second copy meets whatever the connection carries by then.
    post(Of->Host_, Delay + CopyDelay, [this, Of, Sent] {
      if (const AttemptPtr Other = otherAttempt(Of))
        receiveAnswer(Other, Sent);
    });
  }
}

CoreFleet::AttemptPtr CoreFleet::otherAttempt(const AttemptPtr &Than) {
  for (const std::pair<const AttemptId, AttemptPtr> &Each :
       Hosts_[Than->Host_].Attempts_)
    if (Each.second != Than && Each.second->IsWritten_ &&
        Each.second->Target_ == Than->Target_)
      return Each.second;
  return nullptr;
}

/// Matches the answer as the backend client does.
void CoreFleet::receiveAnswer(const AttemptPtr &Of, const WireAnswer &Got) {
  if (Of->IsEnded_)
    return;
  AttemptReport Report;
  Report.Draining_ = Got.IsDraining_ && Got.Answer_.IsWhole_;
  Report.HttpStatus_ = 200;
  Report.Load_ = 0;
  if (Report.Draining_ && !Backends_[Of->Target_].LeavingSign_)
    Backends_[Of->Target_].LeavingSign_ = now();
  if (!Got.Answer_.IsWhole_)
    Report.End_ = AttemptEnd::Broken;
  else if (Got.WireId_ != Of->Order_.WireId_)
    Report.End_ = AttemptEnd::Mismatched;
  else
    Report.End_ = Got.IsRefusal_ ? AttemptEnd::Refused : AttemptEnd::Answered;
  endAttempt(Of, Report, Got.Answer_);
}

void CoreFleet::endAttempt(const AttemptPtr &Of, AttemptReport Report,
                           const FleetAnswer &Got) {
  FleetHost &At = Hosts_[Of->Host_];
  if (Of->IsEnded_)
    return;
  Of->IsEnded_ = true;
  At.Attempts_.erase(Of->Order_.Id_);
  Report.NewConnection_ = Of->IsNew_;
  if (Of->IsWritten_)
    Report.Latency_ = local(Of->Host_) - Of->Written_;
  if (Report.End_ == AttemptEnd::Answered && !At.Silent_[Of->Target_])
    At.Kept_[Of->Target_] = true;
  const std::map<FlowId, Flow>::iterator Owner = At.Flows_.find(Of->Flow_);
  if (Owner != At.Flows_.end())
    Owner->second.Answer_ = Got;
  carryOut(Of->Host_,
           At.Core_->finishAttempt(Of->Flow_, Report, local(Of->Host_)));
}

} // namespace kumquatpitch::test
