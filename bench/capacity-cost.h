// Limits of the plan, and processor time and heap of a piece of work, for the
// capacity benchmark. The heap is counted by its operator new.

#ifndef KUMQUATPITCH_CAPACITY_COST_H
#define KUMQUATPITCH_CAPACITY_COST_H

#include "bench-report.h"
#include "capacity-fleet.h"

#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <vector>

namespace kumquatpitch::bench {

/// Heap of the whole program, as malloc gives it out.
struct Heap {
  std::uint64_t Allocations_ = 0;
  std::int64_t Live_ = 0;
  std::int64_t Peak_ = 0;
};
inline Heap Counted;

// Limits of docs/design.md, section 2.
constexpr double MaxMemoryBytes = 64e6;
constexpr double MaxTrafficBytesPerSecond = 6'000;
constexpr double MaxControlCorePercent = 1.6;
constexpr double PlatformReadsPerSecond = 2'000;
constexpr double RequestsPerSecondOfHost = 67;
constexpr double SecondsPerDay = 86'400;
constexpr double RestartsPerDay = 11'000;
constexpr double FailuresPerDay = 300;
constexpr double ConfigChangesPerDay = 3'700;
constexpr std::size_t Workspaces = 320'000;

/// A restart is listed as leaving and as live, a failure as gone and as new.
constexpr double ListChangesPerSecond =
    2 * (RestartsPerDay + FailuresPerDay) / SecondsPerDay;

inline const FleetSize Today{48, 3, 36, 6, 1};
inline const FleetSize Planned{4'800, 3'700, 71'000, 100'000, 100};

inline FleetSize scaled(std::size_t Hosts, std::size_t Customers) {
  const auto Part = [&](std::size_t Whole) {
    return Whole * Hosts / Planned.Hosts_;
  };
  return FleetSize{Hosts, Part(Planned.Services_), Part(Planned.Targets_),
                   Part(Planned.Routes_), Customers};
}

inline double cpuMs() {
  timespec Used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Used);
  return 1e3 * static_cast<double>(Used.tv_sec) +
         static_cast<double>(Used.tv_nsec) / 1e6;
}

/// Processor time and allocations of a piece of work.
struct Cost {
  double Ms_ = 0;
  double Allocations_ = 0;
  double GrownBytes_ = 0;
  double PeakBytes_ = 0; ///< Above the start.
};

inline Cost costOf(const std::function<void()> &Work) {
  const Heap Before = Counted;
  Counted.Peak_ = Counted.Live_;
  const double Start = cpuMs();
  Work();
  return Cost{cpuMs() - Start,
              static_cast<double>(Counted.Allocations_ - Before.Allocations_),
              static_cast<double>(Counted.Live_ - Before.Live_),
              static_cast<double>(Counted.Peak_ - Before.Live_)};
}

inline Cost shared(const Cost &Whole, double Parts) {
  return Cost{Whole.Ms_ / Parts, Whole.Allocations_ / Parts,
              Whole.GrownBytes_ / Parts, Whole.PeakBytes_};
}

/// Least-squares slope, and how far the last point is above the line through
/// the first two.
inline void printSlope(const char *Name, const std::vector<double> &Sizes,
                       const std::vector<double> &Values, const char *Unit) {
  const Spread Size = spreadOf(Sizes);
  const Spread Value = spreadOf(Values);
  double Product = 0;
  double Square = 0;
  for (std::size_t At = 0; At < Sizes.size(); ++At) {
    Product += (Sizes[At] - Size.Mean_) * (Values[At] - Value.Mean_);
    Square += (Sizes[At] - Size.Mean_) * (Sizes[At] - Size.Mean_);
  }
  const double First = (Values[1] - Values[0]) / (Sizes[1] - Sizes[0]);
  const double Line = Values[0] + First * (Sizes.back() - Sizes[0]);
  std::printf("slope  %-34s %12.4g %s; last point %.2f of the line through "
              "the first two\n",
              Name, Product / Square, Unit,
              Line == 0 ? 1.0 : Values.back() / Line);
}

} // namespace kumquatpitch::bench

#endif
