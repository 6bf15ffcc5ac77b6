// Token bucket, expiry and updates of a target's rate limit. See
// target-rate-limit.h.

#include "kumquatpitch/target-rate-limit.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

/// A target that takes fewer requests is still sent this many a second: only
/// its answers show that the limit has ended.
constexpr double MinPerSecond = 0.1;
/// Capacity of the bucket: this time at the host's rate, at least one request.
constexpr double BurstSeconds = 1;
/// Hosts without a part get no answers from the target, so its limit is sent
/// again this often. The next host in the order waits a little longer: it sends
/// only what the first one has not.
constexpr Duration RepeatPeriod = std::chrono::seconds(2);
constexpr Duration RepeatTurn = std::chrono::milliseconds(250);
/// How long the end of a limit is repeated, for hosts that missed the first
/// datagram.
constexpr Duration RepeatEndFor = std::chrono::seconds(6);
/// At a host without a part, a limit expires when no update of it has arrived
/// for this long, as the hosts with a part may have no requests for the target.
/// It expires at one host after the other: the first one that sends a request
/// announces to the others what the target answers.
constexpr Duration ExpiryTime = std::chrono::seconds(10);
constexpr Duration ExpiryTurn = std::chrono::milliseconds(500);
/// The same for hosts that callers are not given. There may be hundreds.
constexpr Duration UnassignedExpiryTime = std::chrono::seconds(60);

} // namespace

void TargetRateLimit::setRank(std::size_t Rank, std::size_t Hosts) {
  Rank_ = Rank;
  Hosts_ = Hosts;
}

void TargetRateLimit::setShare(double Share, TimePoint Now) {
  settle(Now);
  Share_ = Share;
}

void TargetRateLimit::setLimit(double PerSecond, TimePoint NamedAt,
                               TimePoint Now) {
  settle(Now);
  const bool WasLimited = perSecond(Now) != NoRateLimit;
  if (!WasLimited)
    Tokens_ = 0;
  if (PerSecond != NoRateLimit)
    EndedAt_.reset();
  else if (WasLimited)
    EndedAt_ = Now;
  PerSecond_ = PerSecond;
  NamedAt_ = NamedAt;
}

void TargetRateLimit::recordAnswer(double PerSecond, TimePoint Now) {
  HasUpdate_ |= PerSecond != perSecond(Now);
  IsFromOwnAnswer_ = true;
  setLimit(PerSecond, Now, Now);
}

void TargetRateLimit::recordPeer(double PerSecond, Duration Age,
                                 TimePoint Now) {
  const TimePoint NamedAt = Now - Age;
  if (NamedAt > NamedAt_) {
    setLimit(PerSecond, NamedAt, Now);
    IsFromOwnAnswer_ = false;
  }
  if (PerSecond == PerSecond_) {
    HasUpdate_ = false;
    AnnouncedAt_ = Now;
  }
}

bool TargetRateLimit::isExpired(TimePoint Now) const {
  if (Share_ > 0)
    return false;
  const Duration After = Rank_ < Hosts_
                             ? ExpiryTime + ExpiryTurn * static_cast<int>(Rank_)
                             : UnassignedExpiryTime;
  return Now - NamedAt_ > After;
}

double TargetRateLimit::perSecond(TimePoint Now) const {
  if (isExpired(Now))
    return NoRateLimit;
  return PerSecond_;
}

double TargetRateLimit::ownPerSecond(TimePoint Now) const {
  const double PerSecond = perSecond(Now);
  return PerSecond == NoRateLimit ? NoRateLimit
                                  : std::max(PerSecond, MinPerSecond) * Share_;
}

double TargetRateLimit::tokens(TimePoint Now) const {
  const double Rate = ownPerSecond(Now);
  if (Rate == NoRateLimit)
    return 1;
  if (Rate == 0)
    return 0;
  return std::min(std::max(1.0, BurstSeconds * Rate),
                  Tokens_ + Rate * toSeconds(Now - SettledAt_));
}

void TargetRateLimit::settle(TimePoint Now) {
  Tokens_ = tokens(Now);
  SettledAt_ = Now;
}

bool TargetRateLimit::allowsAttempt(TimePoint Now) const {
  return tokens(Now) >= 1;
}

void TargetRateLimit::attemptStarted(TimePoint Now) {
  if (perSecond(Now) == NoRateLimit)
    return;
  settle(Now);
  Tokens_ -= 1;
}

std::optional<Duration> TargetRateLimit::takeUpdate(TimePoint Now) {
  const bool IsWorthRepeating =
      PerSecond_ != NoRateLimit || (EndedAt_ && Now - *EndedAt_ < RepeatEndFor);
  const Duration Period =
      RepeatPeriod + RepeatTurn * static_cast<int>(std::min(Rank_, Hosts_));
  const bool IsRepeatDue = IsWorthRepeating && IsFromOwnAnswer_ &&
                           AnnouncedAt_ && NamedAt_ > *AnnouncedAt_ &&
                           Now - *AnnouncedAt_ >= Period;
  if (!HasUpdate_ && !IsRepeatDue)
    return std::nullopt;
  HasUpdate_ = false;
  AnnouncedAt_ = Now;
  return Now - NamedAt_;
}

} // namespace kumquatpitch
