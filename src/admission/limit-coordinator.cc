// Token buckets of the workspaces. See limit-coordinator.h.

#include "kumquatpitch/admission/limit-coordinator.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

/// From this share on, no part is missing; sums of parts are not exact.
constexpr double WholeShare = 0.999;
/// Used part of the tolerance. The rest covers the additional token of each
/// coordinator, and hosts that joined unknown to the other side of a split.
constexpr double UsedTolerance = 0.8;
/// A level this much below a whole token still gives it; sums are not exact.
constexpr double LevelError = 1e-9;
/// Stock is granted from the upper half of a bucket only, so that requests that
/// already wait get the rest.
constexpr double ReservedForNeeded = 0.5;
/// Answers are repeated while their tokens can be used.
constexpr Duration AnswerRetention = std::chrono::seconds(2);
constexpr double MaxNextInSeconds = 60;

} // namespace

LimitKey limitKeyOf(const WorkspaceName &Name) {
  return XXH3_64bits(Name.str().data(), Name.str().size());
}

/// Tokens are used up to LimitTokenLifetime after they were granted, so a
/// window sees grants of a longer span.
double tolerantRate(const WorkspaceLimit &Limit,
                    const LimitTolerance &Tolerance) {
  const double Window = toSeconds(Tolerance.Window_);
  const double Lifetime = toSeconds(LimitTokenLifetime);
  const double Extra =
      Tolerance.Overage_ * (Limit.RatePerSecond_ * Window + Limit.Burst_) +
      Tolerance.Slack_ - Limit.RatePerSecond_ * Lifetime;
  return Limit.RatePerSecond_ +
         UsedTolerance * std::max(0.0, Extra) / (Window + Lifetime);
}

/// One token more than the share, so that a small part of a small limit also
/// adds up to a whole token.
double LimitCoordinator::bucketSize(const WorkspaceLimit &Limit, double Share) {
  return Share > 0 ? Share * Limit.Burst_ + 1 : 0;
}

double LimitCoordinator::rate(const WorkspaceLimit &Limit, double Share) const {
  return Share * (Share < WholeShare ? tolerantRate(Limit, Tolerance_)
                                     : Limit.RatePerSecond_);
}

/// Fills the buckets. Called before each change of the share that may raise it,
/// so the share of now is the least since the last call.
void LimitCoordinator::advance(TimePoint Now) {
  const double Share = Ledger_.share(Now);
  const double Passed = std::max(0.0, toSeconds(Now - AdvancedAt_));
  AdvancedAt_ = std::max(AdvancedAt_, Now);
  for (std::pair<const LimitKey, Bucket> &Entry : Buckets_) {
    Bucket &Tokens = Entry.second;
    Tokens.Level_ =
        std::min(bucketSize(Tokens.Limit_, Share),
                 Tokens.Level_ + rate(Tokens.Limit_, Share) * Passed);
  }
}

void LimitCoordinator::setLimits(
    const std::map<LimitKey, WorkspaceLimit> &Limits, TimePoint Now) {
  advance(Now);
  std::map<LimitKey, Bucket> Buckets;
  for (const std::pair<const LimitKey, WorkspaceLimit> &Entry : Limits) {
    const std::map<LimitKey, Bucket>::const_iterator Known =
        Buckets_.find(Entry.first);
    const double Level = Known == Buckets_.end() ? 0 : Known->second.Level_;
    Buckets[Entry.first] =
        Bucket{Entry.second,
               std::min(Level, bucketSize(Entry.second, Ledger_.share(Now)))};
  }
  Buckets_ = std::move(Buckets);
}

void LimitCoordinator::setHolders(const std::set<HostId> &Holders,
                                  TimePoint Now) {
  advance(Now);
  Ledger_.setHolders(Holders);
}

LimitPartQuestion LimitCoordinator::onOffer(const LimitPartOffer &Offer,
                                            bool Accepting, TimePoint Now) {
  advance(Now);
  LimitPartQuestion Question = Ledger_.onOffer(Offer, Accepting, Now);
  // Discards the tokens of a part that was given up.
  advance(Now);
  return Question;
}

TokenGrant LimitCoordinator::grant(const TokenWish &Wish, double Share) {
  TokenGrant Granted{Wish.Key_, 0, Duration::zero()};
  const std::map<LimitKey, Bucket>::iterator It = Buckets_.find(Wish.Key_);
  if (It == Buckets_.end())
    return Granted;
  Bucket &Tokens = It->second;
  const auto Take = [&](std::uint32_t Count, double Available) {
    const double Whole = std::floor(std::max(0.0, Available) + LevelError);
    const std::uint32_t Taken =
        static_cast<std::uint32_t>(std::min(Whole, static_cast<double>(Count)));
    Tokens.Level_ = std::max(0.0, Tokens.Level_ - Taken);
    Granted.Tokens_ += Taken;
    return Taken;
  };
  if (Take(Wish.Needed_, Tokens.Level_) < Wish.Needed_) {
    const double Seconds = (1 - Tokens.Level_) / rate(Tokens.Limit_, Share);
    // Messages carry whole milliseconds.
    Granted.NextIn_ =
        std::chrono::ceil<std::chrono::milliseconds>(std::clamp<Duration>(
            fromSeconds(std::min(Seconds, MaxNextInSeconds)),
            std::chrono::milliseconds(1), fromSeconds(MaxNextInSeconds)));
    return Granted;
  }
  Take(Wish.Wanted_,
       Tokens.Level_ - ReservedForNeeded * bucketSize(Tokens.Limit_, Share));
  return Granted;
}

std::optional<TokenAnswer>
LimitCoordinator::onRequest(const TokenRequest &Request, TimePoint Now) {
  advance(Now);
  std::erase_if(LastAnswers_,
                [&](const std::pair<const HostId, LastAnswer> &Entry) {
                  return Now - Entry.second.At_ > AnswerRetention;
                });
  const std::map<HostId, LastAnswer>::const_iterator Last =
      LastAnswers_.find(Request.From_);
  if (Last != LastAnswers_.end() &&
      Last->second.Answer_.Requester_ == Request.Incarnation_) {
    if (Request.Id_ < Last->second.Answer_.Id_)
      return std::nullopt;
    if (Request.Id_ == Last->second.Answer_.Id_)
      return Last->second.Answer_;
  }
  const double Share = Ledger_.share(Now);
  TokenAnswer Answer{Self_, Request.Incarnation_, Request.Id_, Share > 0, {}};
  if (Answer.HasShare_)
    for (const TokenWish &Wish : Request.Wishes_)
      Answer.Grants_.push_back(grant(Wish, Share));
  LastAnswers_[Request.From_] = LastAnswer{Answer, Now};
  return Answer;
}

} // namespace kumquatpitch
