// Bounds and rates that the parts of config-bench report.

#ifndef KUMQUATPITCH_CONFIG_REPORT_H
#define KUMQUATPITCH_CONFIG_REPORT_H

#include "config-fleet.h"

namespace kumquatpitch::bench {

constexpr std::uint64_t PlatformReadsPerSecond = 2'000;
constexpr std::uint64_t ExampleSeed = 1;

inline unsigned Broken = 0;

inline void bound(bool Holds, const char *What) {
  if (Holds)
    return;
  ++Broken;
  std::printf("  BROKEN: %s\n", What);
}

inline double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

struct Rates {
  double Messages_ = 0;
  double Sent_ = 0;
  double Received_ = 0;
  double Most_ = 0; ///< Sent and received by the busiest host.
};

inline Rates ratesOf(const Network &Net, Duration Span) {
  Rates Sum;
  for (const SimHost &Host : Net.Hosts_) {
    const double Sent = static_cast<double>(Host.Traffic_.SentBytes_);
    const double Received = static_cast<double>(Host.Traffic_.ReceivedBytes_);
    Sum.Messages_ += static_cast<double>(Host.Traffic_.Messages_);
    Sum.Sent_ += Sent;
    Sum.Received_ += Received;
    Sum.Most_ = std::max(Sum.Most_, (Sent + Received) / seconds(Span));
  }
  const double Scale = seconds(Span) * static_cast<double>(Net.Hosts_.size());
  return Rates{Sum.Messages_ / Scale, Sum.Sent_ / Scale, Sum.Received_ / Scale,
               Sum.Most_};
}

} // namespace kumquatpitch::bench

#endif
