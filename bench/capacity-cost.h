// Limits and sizes that the capacity benchmark checks against, and the cost of
// a piece of work in processor time and heap memory. The operator new and
// delete of capacity-bench.cc count the heap.

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

/// Heap of the whole program, in bytes as allocated by malloc (including its
/// rounding up).
struct Heap {
  std::uint64_t Allocations_ = 0;
  std::int64_t Live_ = 0; ///< Bytes in use.
  std::int64_t Peak_ = 0; ///< Highest value of Live_ since its last reset.
};
inline Heap HeapUsage;

// Limits and rates from docs/design.md, section 2.
constexpr double MaxMemoryBytes = 64e6;
constexpr double MaxTrafficBytesPerSecond = 6'000;
constexpr double MaxControlCorePercent = 1.6;
constexpr double PlatformReadsPerSecond = 2'000;
constexpr double RequestsPerSecondPerHost = 67;
constexpr double SecondsPerDay = 86'400;
constexpr double RestartsPerDay = 11'000;
constexpr double FailuresPerDay = 300;
constexpr double ConfigChangesPerDay = 3'700;
constexpr std::size_t Workspaces = 320'000;

/// Each restart changes the host list twice (leaving, then live again), and so
/// does each failure (the host is removed, then a new one is added).
constexpr double ListChangesPerSecond =
    2 * (RestartsPerDay + FailuresPerDay) / SecondsPerDay;

/// The fleet of today, and the fleet at its target size in two years.
inline const FleetSize Today{48, 3, 36, 6, 1};
inline const FleetSize Planned{4'800, 3'700, 71'000, 100'000, 100};

/// Scales the planned fleet to a number of hosts; services, targets and routes
/// follow in proportion.
inline FleetSize scaled(std::size_t Hosts, std::size_t Customers) {
  const auto Scale = [&](std::size_t PlannedCount) {
    return PlannedCount * Hosts / Planned.Hosts_;
  };
  return FleetSize{Hosts, Scale(Planned.Services_), Scale(Planned.Targets_),
                   Scale(Planned.Routes_), Customers};
}

/// Processor time that the process has used, in milliseconds.
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
  double GrownBytes_ = 0; ///< Live bytes after the work minus those before.
  double PeakBytes_ = 0;  ///< Highest live bytes above those before.
};

/// Runs the work and measures its cost. Resets the peak of the heap.
inline Cost costOf(const std::function<void()> &Work) {
  const Heap Before = HeapUsage;
  HeapUsage.Peak_ = HeapUsage.Live_;
  const double Start = cpuMs();
  Work();
  return Cost{cpuMs() - Start,
              static_cast<double>(HeapUsage.Allocations_ - Before.Allocations_),
              static_cast<double>(HeapUsage.Live_ - Before.Live_),
              static_cast<double>(HeapUsage.Peak_ - Before.Live_)};
}

/// Divides a total by the number of units of work. The peak is not divided: it
/// is a maximum and not a sum.
inline Cost costPerUnit(const Cost &Total, double Units) {
  return Cost{Total.Ms_ / Units, Total.Allocations_ / Units,
              Total.GrownBytes_ / Units, Total.PeakBytes_};
}

/// Prints the least-squares slope, and the ratio of the last value to the one
/// that the line through the first two points predicts: above 1 the cost grows
/// faster than linearly.
inline void printSlope(const char *Name, const std::vector<double> &Sizes,
                       const std::vector<double> &Values, const char *Unit) {
  const Spread Size = spreadOf(Sizes);
  const Spread Value = spreadOf(Values);
  double Product = 0;
  double Square = 0;
  for (std::size_t Index = 0; Index < Sizes.size(); ++Index) {
    Product += (Sizes[Index] - Size.Mean_) * (Values[Index] - Value.Mean_);
    Square += (Sizes[Index] - Size.Mean_) * (Sizes[Index] - Size.Mean_);
  }
  const double FirstSlope = (Values[1] - Values[0]) / (Sizes[1] - Sizes[0]);
  const double Predicted = Values[0] + FirstSlope * (Sizes.back() - Sizes[0]);
  std::printf("slope  %-34s %12.4g %s; last point %.2f of the line through "
              "the first two\n",
              Name, Product / Square, Unit,
              Predicted == 0 ? 1.0 : Values.back() / Predicted);
}

} // namespace kumquatpitch::bench

#endif
