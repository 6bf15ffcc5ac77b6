// One host's stock of tokens. See workspace-limits.h.

#include "kumquatpitch/admission/workspace-limits.h"

#include <algorithm>
#include <cmath>

namespace kumquatpitch {

namespace {

/// Time over which the demand of a workspace is averaged.
constexpr double DemandSeconds = 1;
/// A host keeps tokens for the requests that it expects in this time.
constexpr double StockSeconds = 0.5;
constexpr Duration StockPeriod = std::chrono::milliseconds(200);
/// A round trip takes a few milliseconds.
constexpr Duration RepeatPeriod = std::chrono::milliseconds(40);
constexpr Duration GiveUpTime = std::chrono::milliseconds(200);
/// One request of a workspace may wait for the next token if it comes this
/// soon; its callers could hardly return earlier.
constexpr Duration ShortTokenWait = std::chrono::milliseconds(250);
/// Bounds the memory of waiting requests while no coordinator answers.
constexpr std::size_t MaxWaiting = 200;
/// Keeps a request for tokens within one datagram.
constexpr double MaxTokensPerWish = 10'000;
/// A workspace ceases to be limited after this time without a refusal.
constexpr Duration LimitedTime = std::chrono::seconds(5);
/// Returns of callers while no coordinator answers.
constexpr Duration NoCoordinatorRetryAfter = std::chrono::milliseconds(200);
/// A workspace without requests is forgotten below this demand.
constexpr double MinDemand = 0.01;

} // namespace

void WorkspaceLimits::enable(HostId Self, Incarnation OwnIncarnation) {
  IsEnabled_ = true;
  Self_ = std::move(Self);
  Incarnation_ = OwnIncarnation;
}

void WorkspaceLimits::dropExpired(State &Limited, TimePoint Now) {
  while (!Limited.Stock_.empty() && Limited.Stock_.front().ExpiresAt_ <= Now) {
    Counts_.Expired_ += Limited.Stock_.front().Tokens_;
    Limited.Stock_.pop_front();
  }
}

std::optional<LimitToken> WorkspaceLimits::take(State &Limited, TimePoint Now) {
  dropExpired(Limited, Now);
  if (Limited.Stock_.empty())
    return std::nullopt;
  const LimitToken Token{Limited.Stock_.front().ExpiresAt_};
  if (--Limited.Stock_.front().Tokens_ == 0)
    Limited.Stock_.pop_front();
  return Token;
}

double WorkspaceLimits::demand(const State &Limited, TimePoint Now) {
  return Limited.Demand_ *
         std::exp(-toSeconds(Now - Limited.DemandAt_) / DemandSeconds);
}

GatewayRefusal WorkspaceLimits::refuse(State &Limited, TimePoint Now) {
  if (!Limited.RefusedAt_)
    Limited.Refused_ = 0;
  ++Limited.Refused_;
  ++Counts_.Beyond_;
  Limited.RefusedAt_ = Now;
  return makeRefusal(ResultCode::RateExceeded,
                     std::max<Duration>(Limited.NoTokenUntil_ - Now,
                                        std::chrono::milliseconds(1)));
}

LimitDecision WorkspaceLimits::arrive(const WorkspaceSettings &Settings,
                                      TimePoint Now) {
  if (!IsEnabled_ || !Settings.hasLimit())
    return LimitToken{TimePoint::min()};
  State &Limited = States_[limitKeyOf(Settings.Name_)];
  Limited.Name_ = Settings.Name_;
  Limited.Demand_ = demand(Limited, Now) + 1 / DemandSeconds;
  Limited.DemandAt_ = Now;
  if (Limited.Waiting_.empty())
    if (const std::optional<LimitToken> Token = take(Limited, Now))
      return *Token;
  if (Now < Limited.NoTokenUntil_)
    return refuse(Limited, Now);
  if (Limited.Waiting_.size() >= MaxWaiting)
    return makeRefusal(ResultCode::NotReady, NoCoordinatorRetryAfter);
  const TokenTicket Ticket{++LastTicket_};
  Limited.Waiting_.push_back({Ticket, Now});
  HasNewNeed_ = true;
  if (Sink_)
    Sink_->tokenNeeded();
  return Ticket;
}

void WorkspaceLimits::cancel(TokenTicket Ticket) {
  for (std::pair<const LimitKey, State> &Entry : States_)
    std::erase_if(Entry.second.Waiting_, [&](const Waiting &Request) {
      return Request.Ticket_ == Ticket;
    });
  std::erase_if(Ended_, [&](const EndedTokenWait &Wait) {
    return Wait.Ticket_ == Ticket;
  });
}

void WorkspaceLimits::giveBack(const WorkspaceName &Workspace, LimitToken Token,
                               TimePoint Now) {
  if (Token.ExpiresAt_ <= Now)
    return;
  const std::map<LimitKey, State>::iterator It =
      States_.find(limitKeyOf(Workspace));
  if (It == States_.end())
    return;
  State &Limited = It->second;
  const std::deque<Stock>::iterator Later = std::ranges::upper_bound(
      Limited.Stock_, Token.ExpiresAt_, {}, &Stock::ExpiresAt_);
  Limited.Stock_.insert(Later, Stock{1, Token.ExpiresAt_});
  serveWaiting(Limited, Now);
}

void WorkspaceLimits::serveWaiting(State &Limited, TimePoint Now) {
  while (!Limited.Waiting_.empty()) {
    const std::optional<LimitToken> Token = take(Limited, Now);
    if (!Token)
      return;
    Ended_.push_back({Limited.Waiting_.front().Ticket_, *Token});
    Limited.Waiting_.pop_front();
  }
}

std::vector<EndedTokenWait> WorkspaceLimits::takeEnded(TimePoint Now) {
  for (std::pair<const LimitKey, State> &Entry : States_) {
    State &Limited = Entry.second;
    while (!Limited.Waiting_.empty() &&
           Now - Limited.Waiting_.front().Since_ >= MaxTokenWait) {
      const bool IsBeyond = Now < Limited.NoTokenUntil_;
      Counts_.Undecided_ += IsBeyond ? 0 : 1;
      Ended_.push_back({Limited.Waiting_.front().Ticket_,
                        IsBeyond ? refuse(Limited, Now)
                                 : makeRefusal(ResultCode::NotReady,
                                               NoCoordinatorRetryAfter)});
      Limited.Waiting_.pop_front();
    }
  }
  return std::exchange(Ended_, {});
}

TokenWish WorkspaceLimits::wish(const State &Limited, bool IsStockDue,
                                TimePoint Now) {
  TokenWish Wish;
  if (Now >= Limited.NoTokenUntil_)
    Wish.Needed_ = static_cast<std::uint32_t>(Limited.Waiting_.size());
  if (!IsStockDue)
    return Wish;
  std::uint32_t InStock = 0;
  for (const Stock &Kept : Limited.Stock_)
    if (Kept.ExpiresAt_ - Now > StockPeriod)
      InStock += Kept.Tokens_;
  const std::uint32_t Target = static_cast<std::uint32_t>(
      std::min(demand(Limited, Now) * StockSeconds, MaxTokensPerWish));
  if (InStock * 2 < Target)
    Wish.Wanted_ = Target - InStock;
  return Wish;
}

std::optional<TokenRequest> WorkspaceLimits::nextRequest(TimePoint Now) {
  if (Outstanding_) {
    if (Now - Outstanding_->FirstSentAt_ < GiveUpTime) {
      if (Now - Outstanding_->LastSentAt_ < RepeatPeriod)
        return std::nullopt;
      Outstanding_->LastSentAt_ = Now;
      return Outstanding_->Request_;
    }
    IsSilent_ = true;
    Outstanding_.reset();
  }
  const bool IsStockDue = Now >= StockDueAt_;
  if (IsStockDue)
    StockDueAt_ = Now + StockPeriod;
  TokenRequest Request{Self_, Incarnation_, 0, {}};
  const auto Add = [&](std::map<LimitKey, State>::const_iterator From,
                       std::map<LimitKey, State>::const_iterator To) {
    for (; From != To && Request.Wishes_.size() < MaxTokenWishes; ++From) {
      TokenWish Wish = wish(From->second, IsStockDue, Now);
      Wish.Key_ = From->first;
      if (Wish.Needed_ + Wish.Wanted_ == 0)
        continue;
      Request.Wishes_.push_back(Wish);
      Cursor_ = From->first + 1;
    }
  };
  const std::map<LimitKey, State>::const_iterator First =
      States_.lower_bound(Cursor_);
  Add(First, States_.end());
  Add(States_.begin(), First);
  HasNewNeed_ = false;
  if (Request.Wishes_.empty())
    return std::nullopt;
  Request.Id_ = ++LastRequest_;
  Outstanding_ = Outstanding{Request, Now, Now};
  return Request;
}

void WorkspaceLimits::credit(State &Limited, const TokenGrant &Grant,
                             TimePoint Now) {
  const TimePoint ExpiresAt = Outstanding_->FirstSentAt_ + LimitTokenLifetime;
  if (Grant.Tokens_ > 0 && ExpiresAt > Now) {
    Limited.Stock_.push_back({Grant.Tokens_, ExpiresAt});
    Counts_.Granted_ += Grant.Tokens_;
  }
  serveWaiting(Limited, Now);
  if (Grant.NextIn_ == Duration::zero())
    return;
  Limited.NoTokenUntil_ = Now + Grant.NextIn_;
  const std::size_t Kept = Grant.NextIn_ <= ShortTokenWait ? 1 : 0;
  while (Limited.Waiting_.size() > Kept) {
    Ended_.push_back({Limited.Waiting_.back().Ticket_, refuse(Limited, Now)});
    Limited.Waiting_.pop_back();
  }
}

bool WorkspaceLimits::onAnswer(const TokenAnswer &Answer, TimePoint Now) {
  if (!Outstanding_ || Answer.Requester_ != Incarnation_ ||
      Answer.Id_ != Outstanding_->Request_.Id_)
    return false;
  for (const TokenGrant &Grant : Answer.Grants_) {
    const std::map<LimitKey, State>::iterator It = States_.find(Grant.Key_);
    const bool IsAsked = std::ranges::any_of(
        Outstanding_->Request_.Wishes_,
        [&](const TokenWish &Wish) { return Wish.Key_ == Grant.Key_; });
    if (It != States_.end() && IsAsked)
      credit(It->second, Grant, Now);
  }
  Outstanding_.reset();
  return true;
}

bool WorkspaceLimits::takeSilence() { return std::exchange(IsSilent_, false); }

std::vector<LimitChange> WorkspaceLimits::takeChanges(TimePoint Now) {
  std::vector<LimitChange> Changes;
  for (std::pair<const LimitKey, State> &Entry : States_) {
    State &Limited = Entry.second;
    if (Limited.RefusedAt_ && !Limited.IsReported_) {
      Limited.IsReported_ = true;
      Changes.push_back({Limited.Name_, true, Limited.Refused_});
    } else if (Limited.RefusedAt_ && Now - *Limited.RefusedAt_ > LimitedTime) {
      Changes.push_back({Limited.Name_, false, Limited.Refused_});
      Limited.RefusedAt_.reset();
      Limited.IsReported_ = false;
    }
  }
  std::erase_if(States_, [&](const std::pair<const LimitKey, State> &Entry) {
    return Entry.second.Waiting_.empty() && !Entry.second.RefusedAt_ &&
           demand(Entry.second, Now) < MinDemand;
  });
  return Changes;
}

} // namespace kumquatpitch
