// Readers by rank. See reader-rank.h.

#include "kumquatpitch/reader-rank.h"

#include <algorithm>
#include <xxhash.h>

namespace kumquatpitch {

namespace {

constexpr Duration BeatPeriod = std::chrono::seconds(1);
/// Beats that have not risen for this long are not relayed, and after
/// BeatTimeout their reader counts as gone.
constexpr Duration RelayTimeout = std::chrono::seconds(6);
constexpr Duration BeatTimeout = std::chrono::seconds(10);
/// Longer than a beat can be under way, so that a forgotten beat does not rise
/// again by a late relay.
constexpr Duration ForgetBeatAfter = std::chrono::seconds(30);
constexpr Duration DelayPerRank = std::chrono::seconds(1);
constexpr std::size_t MostDelayedRank = 30;

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
  std::size_t Better = 0;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    const HostRecord &Host = Hosts.at(Index);
    if (Host.Domain_ == Domain_ && Host.State_ == HostState::Live &&
        Host.Id_ != Self_ && rendezvousHash(Host.Id_) > OwnHash_)
      ++Better;
  }
  Rank_ = Better;
  tick(Now);
}

void ReaderRank::onBeats(const std::vector<ReaderBeat> &Beats, TimePoint Now) {
  for (const ReaderBeat &Each : Beats) {
    if (Each.Reader_ == Self_) {
      OwnCount_ = std::max(OwnCount_, Each.Count_);
      continue;
    }
    if (!Beats_.count(Each.Reader_) && Beats_.size() >= MaxReaderBeats)
      continue;
    Beat &Known = Beats_[Each.Reader_];
    if (Each.Count_ <= Known.Count_)
      continue;
    Known = Beat{Each.Domain_, Each.Count_, Now};
  }
}

std::size_t ReaderRank::betterReaders(TimePoint Now) const {
  std::size_t Count = 0;
  for (const std::pair<const HostId, Beat> &Each : Beats_)
    if (Each.second.Domain_ == Domain_ &&
        Now - Each.second.Risen_ <= BeatTimeout &&
        rendezvousHash(Each.first) > OwnHash_)
      ++Count;
  return Count;
}

void ReaderRank::tick(TimePoint Now) {
  std::erase_if(Beats_, [&](const std::pair<const HostId, Beat> &Each) {
    return Now - Each.second.Risen_ > ForgetBeatAfter;
  });
  if (!Rank_) {
    IsReader_ = false;
    return;
  }
  if (betterReaders(Now) >= ReadersPerDomain)
    ShortSince_.reset();
  else if (!ShortSince_)
    ShortSince_ = Now;
  const Duration Delay =
      BeatTimeout + DelayPerRank * std::min(*Rank_, MostDelayedRank);
  IsReader_ =
      *Rank_ < ReadersPerDomain || (ShortSince_ && Now - *ShortSince_ >= Delay);
  if (!IsReader_ || (LastBeat_ && Now - *LastBeat_ < BeatPeriod))
    return;
  ++OwnCount_;
  LastBeat_ = Now;
}

std::vector<ReaderBeat> ReaderRank::freshBeats(TimePoint Now) const {
  std::vector<ReaderBeat> Fresh;
  if (IsReader_)
    Fresh.push_back(ReaderBeat{Self_, Domain_, OwnCount_});
  for (const std::pair<const HostId, Beat> &Each : Beats_)
    if (Now - Each.second.Risen_ <= RelayTimeout &&
        Fresh.size() < MaxReaderBeats)
      Fresh.push_back(
          ReaderBeat{Each.first, Each.second.Domain_, Each.second.Count_});
  return Fresh;
}

} // namespace kumquatpitch
