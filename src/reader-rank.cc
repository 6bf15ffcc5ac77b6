// Election of platform readers by rank. See reader-rank.h.

#include "kumquatpitch/reader-rank.h"

#include <algorithm>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

constexpr Duration HeartbeatPeriod = std::chrono::seconds(1);
/// A heartbeat whose counter has not increased for this long is no longer
/// relayed. After HeartbeatTimeout without an increase its reader counts as
/// gone.
constexpr Duration RelayTimeout = std::chrono::seconds(6);
constexpr Duration HeartbeatTimeout = std::chrono::seconds(10);
/// Longer than relays can delay a heartbeat, so that a late relay does not
/// make the heartbeat of a forgotten reader look new.
constexpr Duration ForgetReaderAfter = std::chrono::seconds(30);
/// Added per rank before a host takes over, so that not all do so at once.
constexpr Duration DelayPerRank = std::chrono::seconds(1);
constexpr std::size_t MaxDelayedRank = 30;

std::uint64_t rendezvousHash(const HostId &Host) {
  constexpr std::uint64_t ReaderSeed = 0x726561646572ULL;
  return XXH3_64bits_withSeed(Host.str().data(), Host.str().size(), ReaderSeed);
}

} // namespace

ReaderRank::ReaderRank(HostId Self, FailureDomain Domain)
    : Self_(std::move(Self)), Domain_(std::move(Domain)),
      OwnHash_(rendezvousHash(Self_)) {}

void ReaderRank::setHosts(const VersionedTable<HostRecord> &Hosts,
                          TimePoint Now) {
  std::size_t HigherRanked = 0;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    const HostRecord &Host = Hosts.at(Index);
    if (Host.Domain_ == Domain_ && Host.State_ == HostState::Live &&
        Host.Id_ != Self_ && rendezvousHash(Host.Id_) > OwnHash_)
      ++HigherRanked;
  }
  Rank_ = HigherRanked;
  tick(Now);
}

void ReaderRank::applyHeartbeats(const std::vector<ReaderHeartbeat> &Heartbeats,
                                 TimePoint Now) {
  for (const ReaderHeartbeat &Received : Heartbeats) {
    if (Received.Reader_ == Self_) {
      OwnCounter_ = std::max(OwnCounter_, Received.Count_);
      continue;
    }
    if (!Heartbeats_.count(Received.Reader_) &&
        Heartbeats_.size() >= MaxReaderHeartbeats)
      continue;
    Heartbeat &Stored = Heartbeats_[Received.Reader_];
    if (Received.Count_ <= Stored.Counter_)
      continue;
    Stored = Heartbeat{Received.Domain_, Received.Count_, Now};
  }
}

std::size_t ReaderRank::higherRankedReaders(TimePoint Now) const {
  std::size_t Count = 0;
  for (const std::pair<const HostId, Heartbeat> &Entry : Heartbeats_)
    if (Entry.second.Domain_ == Domain_ &&
        Now - Entry.second.LastIncrease_ <= HeartbeatTimeout &&
        rendezvousHash(Entry.first) > OwnHash_)
      ++Count;
  return Count;
}

void ReaderRank::tick(TimePoint Now) {
  std::erase_if(Heartbeats_,
                [&](const std::pair<const HostId, Heartbeat> &Entry) {
                  return Now - Entry.second.LastIncrease_ > ForgetReaderAfter;
                });
  if (!Rank_) {
    IsReader_ = false;
    return;
  }
  if (higherRankedReaders(Now) >= ReadersPerDomain)
    TooFewSince_.reset();
  else if (!TooFewSince_)
    TooFewSince_ = Now;
  const Duration Delay =
      HeartbeatTimeout + DelayPerRank * std::min(*Rank_, MaxDelayedRank);
  IsReader_ = *Rank_ < ReadersPerDomain ||
              (TooFewSince_ && Now - *TooFewSince_ >= Delay);
  if (!IsReader_ || (LastHeartbeat_ && Now - *LastHeartbeat_ < HeartbeatPeriod))
    return;
  ++OwnCounter_;
  LastHeartbeat_ = Now;
}

std::vector<ReaderHeartbeat> ReaderRank::freshHeartbeats(TimePoint Now) const {
  std::vector<ReaderHeartbeat> Fresh;
  if (IsReader_)
    Fresh.push_back(ReaderHeartbeat{Self_, Domain_, OwnCounter_});
  for (const std::pair<const HostId, Heartbeat> &Entry : Heartbeats_)
    if (Now - Entry.second.LastIncrease_ <= RelayTimeout &&
        Fresh.size() < MaxReaderHeartbeats)
      Fresh.push_back(ReaderHeartbeat{Entry.first, Entry.second.Domain_,
                                      Entry.second.Counter_});
  return Fresh;
}

} // namespace kumquatpitch
