// Checks in the soak that all hosts together keep the rate limit that a target
// names. Counts the requests of each host that had the limit in an answer half
// a second before and was not disturbed.

#ifndef KUMQUATPITCH_SOAK_RATE_LIMIT_H
#define KUMQUATPITCH_SOAK_RATE_LIMIT_H

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace kumquatpitch::test {

class SoakRateLimit {
public:
  using Clock = std::chrono::steady_clock;

  void begin(double PerSecond) {
    PerSecond_ = PerSecond;
    BeganAt_ = Clock::now();
    ToldAt_.clear();
    Counted_.clear();
    LargestExcess_ = 0;
  }
  void end() { PerSecond_ = 0; }

  bool isNamed() const { return PerSecond_ > 0; }
  double perSecond() const { return PerSecond_; }

  /// Records an answer that named the limit to the host.
  void answered(const std::string &Host) {
    ToldAt_.emplace(Host, Clock::now());
  }

  /// Records a request of a host that is not disturbed.
  void arrived(const std::string &Host) {
    constexpr std::chrono::milliseconds LearningTime(500);
    constexpr std::chrono::seconds Span(4);
    constexpr std::chrono::seconds StableTime(3);
    const Clock::time_point Now = Clock::now();
    const std::map<std::string, Clock::time_point>::const_iterator Told =
        ToldAt_.find(Host);
    if (Told == ToldAt_.end() || Now - Told->second < LearningTime)
      return;
    Counted_.push_back(Now);
    while (Now - Counted_.front() >= Span)
      Counted_.pop_front();
    const double Allowed = 1.5 * PerSecond_ * 4 + 5;
    if (Now - BeganAt_ >= StableTime)
      LargestExcess_ = std::max(LargestExcess_,
                                static_cast<double>(Counted_.size()) - Allowed);
  }

  /// Requests beyond what the users' rule allows in 4 s, at the worst.
  double largestExcess() const { return LargestExcess_; }

private:
  double PerSecond_ = 0; ///< 0 while no limit is named.
  Clock::time_point BeganAt_;
  std::map<std::string, Clock::time_point> ToldAt_; ///< By host.
  std::deque<Clock::time_point> Counted_;           ///< In the last 4 s.
  double LargestExcess_ = 0;
};

} // namespace kumquatpitch::test

#endif
