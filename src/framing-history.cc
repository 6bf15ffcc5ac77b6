// Framing of servers' latest answers. See framing-history.h.

#include "kumquatpitch/framing-history.h"

#include <algorithm>
#include <bit>

namespace kumquatpitch {

void FramingHistory::record(const Endpoint &Server, bool IsFramed) {
  if (Servers_.size() >= MaxServers && Servers_.count(Server) == 0)
    Servers_.clear();
  Answers &Latest = Servers_[Server];
  constexpr std::uint32_t Mask = (1U << MaxAnswers) - 1;
  Latest.Count_ = std::min(Latest.Count_ + 1, MaxAnswers);
  Latest.Framed_ = ((Latest.Framed_ << 1U) | (IsFramed ? 1U : 0U)) & Mask;
}

bool FramingHistory::framesAnswers(const Endpoint &Server) const {
  const std::map<Endpoint, Answers>::const_iterator It = Servers_.find(Server);
  return It != Servers_.end() &&
         2 * static_cast<std::uint32_t>(std::popcount(It->second.Framed_)) >
             It->second.Count_;
}

} // namespace kumquatpitch
