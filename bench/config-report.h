// Bound checks and traffic rates for the reports of config-bench.

#ifndef KUMQUATPITCH_CONFIG_REPORT_H
#define KUMQUATPITCH_CONFIG_REPORT_H

#include "config-fleet.h"

namespace kumquatpitch::bench {

constexpr std::uint64_t PlatformReadsPerSecond = 2'000;
constexpr std::uint64_t ExampleSeed = 1;

/// Number of broken bounds; decides the exit status.
inline unsigned BrokenBounds = 0;

/// Counts and prints a bound that does not hold.
inline void checkBound(bool Holds, const char *Name) {
  if (Holds)
    return;
  ++BrokenBounds;
  std::printf("  BROKEN: %s\n", Name);
}

inline double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Traffic of the average host, per second.
struct Rates {
  double Messages_ = 0;
  double Sent_ = 0;        ///< Bytes.
  double Received_ = 0;    ///< Bytes.
  double BusiestHost_ = 0; ///< Bytes sent and received by the busiest host.
};

inline Rates ratesPerHost(const Network &Net, Duration Span) {
  Rates Total;
  for (const SimHost &Host : Net.Hosts_) {
    const double Sent = static_cast<double>(Host.Traffic_.SentBytes_);
    const double Received = static_cast<double>(Host.Traffic_.ReceivedBytes_);
    Total.Messages_ += static_cast<double>(Host.Traffic_.Messages_);
    Total.Sent_ += Sent;
    Total.Received_ += Received;
    Total.BusiestHost_ =
        std::max(Total.BusiestHost_, (Sent + Received) / seconds(Span));
  }
  const double HostSeconds =
      seconds(Span) * static_cast<double>(Net.Hosts_.size());
  return Rates{Total.Messages_ / HostSeconds, Total.Sent_ / HostSeconds,
               Total.Received_ / HostSeconds, Total.BusiestHost_};
}

} // namespace kumquatpitch::bench

#endif
