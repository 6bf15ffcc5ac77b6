// How GatewayCore keeps the limits of workspaces: a request takes a token
// before it is placed, and waits for one outside the queues of the services.
// See gateway-core.h.

#include "kumquatpitch/gateway-core.h"

namespace kumquatpitch {

LimitDecision GatewayCore::decideLimit(const CallerIdentity &Caller,
                                       TimePoint Now) {
  const WorkspaceIndex *Workspaces = Table_->workspaces();
  const WorkspaceSettings *Holder =
      Workspaces && Caller.Key_ ? Workspaces->find(Caller.Workspace_) : nullptr;
  return Holder ? Limits_.arrive(*Holder, Now)
                : LimitDecision(LimitToken{TimePoint::min()});
}

void GatewayCore::setLimit(GatewayRequest &Request,
                           const LimitDecision &Decision) {
  if (const TokenTicket *Ticket = std::get_if<TokenTicket>(&Decision))
    Request.Ticket_ = *Ticket;
  else if (const LimitToken *Token = std::get_if<LimitToken>(&Decision))
    Request.Token_ = *Token;
}

Placement
GatewayCore::awaitToken(const std::shared_ptr<GatewayRequest> &Request) {
  TokenWaits_[Request->Ticket_->Id_] = Request;
  return QueuedForTarget{};
}

/// Places the requests that got a token, and refuses those beyond their limit.
GatewayCore::PlacedRequests GatewayCore::endTokenWaits(TimePoint Now) {
  PlacedRequests Placed;
  for (const EndedTokenWait &Wait : Limits_.takeEnded(Now)) {
    const auto It = TokenWaits_.find(Wait.Ticket_.Id_);
    if (It == TokenWaits_.end())
      continue;
    const std::shared_ptr<GatewayRequest> Request = It->second;
    TokenWaits_.erase(It);
    Request->Ticket_.reset();
    if (const GatewayRefusal *Refusal =
            std::get_if<GatewayRefusal>(&Wait.End_)) {
      Placed.emplace_back(Request, *Refusal);
      continue;
    }
    Request->Token_ = std::get<LimitToken>(Wait.End_);
    const Placement Result = place(Request, Now);
    if (!std::holds_alternative<QueuedForTarget>(Result))
      Placed.emplace_back(Request, Result);
  }
  return Placed;
}

void GatewayCore::cancelTokenWait(GatewayRequest &Request) {
  if (!Request.Ticket_)
    return;
  Limits_.cancel(*Request.Ticket_);
  TokenWaits_.erase(Request.Ticket_->Id_);
  Request.Ticket_.reset();
}

/// A request that no target got has used nothing of the limit.
void GatewayCore::giveTokenBack(const GatewayRequest &Request, TimePoint Now) {
  if (Request.Token_ && Request.Sent_ == 0 && Request.InProgress_ == 0)
    Limits_.giveBack(Request.Caller_.Workspace_, *Request.Token_, Now);
}

} // namespace kumquatpitch
