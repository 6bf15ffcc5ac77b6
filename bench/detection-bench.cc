// Compares detection times and false ejections of the system with those of
// three baselines, on the same seeds. Exits with status 1 when a bound is
// broken.
//   detection-bench [--short]

#include "detection-model.h"

#include <cstdio>
#include <cstring>
#include <future>
#include <set>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Duration StallP50Bound = milliseconds(500);
constexpr Duration StallP99Bound = seconds(1);

const ModelSettings Imigongo{{{"proofdesk", DetectionProfile::FastDetection, 6,
                               2, 4, 120, milliseconds(40), seconds(2)},
                              {"workshop", DetectionProfile::FastDetection, 14,
                               2, 9, 240, milliseconds(40), seconds(2)},
                              {"ledger", DetectionProfile::FastDetection, 14, 2,
                               9, 240, milliseconds(40), seconds(2)}},
                             Duration(500),
                             milliseconds(25)};

const ModelSettings AltarFlowers{
    {{"rota-board", DetectionProfile::AvoidFalseEjection, 6, 3, 4, 30,
      milliseconds(40), seconds(5)},
     {"nuptial-desk", DetectionProfile::AvoidFalseEjection, 14, 3, 9, 40,
      milliseconds(40), seconds(5)}},
    milliseconds(1),
    milliseconds(50)};

enum class Fault : std::uint8_t {
  FullStall,
  StallWithPassingProbes,
  PartialStall,
  Flapping,
  OneWayLoss,
  SilentAtOneHost,
  SilentAtAllHosts,
  HostPause,
  HostCut,
};

struct FaultCase {
  Fault Fault_;
  const char *Name_;
  bool IsTargetFault_; ///< The target is faulty and has to be detected.
};

constexpr FaultCase FaultCases[] = {
    {Fault::FullStall, "full stall", true},
    {Fault::StallWithPassingProbes, "full stall, lying health", true},
    {Fault::PartialStall, "partial stall 50%", true},
    {Fault::Flapping, "flapping 3 s / 2 s", true},
    {Fault::OneWayLoss, "one-way loss to host 0", true},
    {Fault::SilentAtOneHost, "silent at one host", false},
    {Fault::SilentAtAllHosts, "silent at all hosts", false},
    {Fault::HostPause, "host pause", false},
    {Fault::HostCut, "host cut off", false},
};

constexpr Duration Warmup = seconds(20);
constexpr Duration ObservationTime = seconds(20);

void flap(Model &Simulation, TargetKey Key, bool Stalled) {
  Simulation.stall(Key, Stalled ? 1 : 0, true);
  Simulation.scheduleAt(
      Simulation.now() + seconds(Stalled ? 3 : 2),
      [&Simulation, Key, Stalled] { flap(Simulation, Key, !Stalled); });
}

void inject(Model &Simulation, Fault Kind, TargetKey Key) {
  switch (Kind) {
  case Fault::FullStall:
    return Simulation.stall(Key, 1, false);
  case Fault::StallWithPassingProbes:
    return Simulation.stall(Key, 1, true);
  case Fault::PartialStall:
    return Simulation.stall(Key, 0.5, true);
  case Fault::Flapping:
    return flap(Simulation, Key, true);
  case Fault::OneWayLoss:
    return Simulation.cut(Key, 0, true);
  case Fault::SilentAtOneHost:
    return Simulation.silenceConnections(Key, Key.Target_ % HostCount);
  case Fault::SilentAtAllHosts:
    for (std::size_t H = 0; H < HostCount; ++H)
      Simulation.silenceConnections(Key, H);
    return;
  case Fault::HostPause:
    return Simulation.pause(0, milliseconds(700));
  case Fault::HostCut:
    Simulation.isolateHost(0, true);
    return Simulation.scheduleAt(Simulation.now() + seconds(5), [&Simulation] {
      Simulation.isolateHost(0, false);
    });
  }
}

/// Detection times of one policy for one fault and service.
struct Sample {
  std::vector<Duration> Times_;
  std::size_t Missed_ = 0;
  std::size_t FalseEjections_ = 0;

  /// Nothing when the quantile falls among the missed detections.
  std::optional<Duration> quantile(double Fraction) const {
    std::vector<Duration> Sorted = Times_;
    std::sort(Sorted.begin(), Sorted.end());
    const double Count = static_cast<double>(Sorted.size() + Missed_);
    const std::size_t Rank =
        static_cast<std::size_t>(std::ceil(Fraction * Count)) - 1;
    return Rank < Sorted.size() ? std::optional<Duration>(Sorted[Rank])
                                : std::nullopt;
  }
};

/// Simulates one fault. Each affected host that has slots at the target
/// adds one detection time, measured from the start of the fault, or a miss.
void runTrial(const ModelSettings &Settings, std::size_t Policy,
              const FaultCase &Case, std::size_t Service, std::uint64_t Seed,
              Sample &Result) {
  const Workload &Offered = Settings.Workloads_[Service];
  const TargetKey Key{Service, Seed % Offered.Targets_};
  const TimePoint Start = TimePoint(Warmup) + milliseconds(Seed * 7919 % 1000);
  Model Simulation(Settings, Policy, Seed);
  std::set<std::size_t> ActiveHosts; // Hosts that send requests to the target.
  Simulation.scheduleAt(Start, [&] {
    for (std::size_t H = 0; H < HostCount; ++H)
      if (Simulation.isUsable(H, Key))
        ActiveHosts.insert(H);
    inject(Simulation, Case.Fault_, Key);
  });
  Simulation.run(Start + ObservationTime);
  std::map<std::size_t, TimePoint> EjectedAt;
  for (const Ejection &Ejected : Simulation.ejections()) {
    Result.FalseEjections_ += Ejected.IsFalse_ ? 1 : 0;
    if (Ejected.Key_ == Key && Ejected.At_ >= Start)
      EjectedAt.emplace(Ejected.Host_, Ejected.At_);
  }
  for (std::size_t H = 0; Case.IsTargetFault_ && H < HostCount; ++H) {
    bool OwnsSlots = false;
    for (std::size_t I = 0; I < Offered.Slots_; ++I)
      OwnsSlots = OwnsSlots || (Key.Target_ + I) % HostCount == H;
    if (!OwnsSlots || !ActiveHosts.contains(H) ||
        (Case.Fault_ == Fault::OneWayLoss && H != 0))
      continue;
    if (EjectedAt.contains(H))
      Result.Times_.push_back(EjectedAt[H] - Start);
    else
      ++Result.Missed_;
  }
}

std::string inMilliseconds(const std::optional<Duration> &Time) {
  return Time ? std::to_string(toMilliseconds(*Time)) : "-";
}

bool isFullStall(Fault Kind) {
  return Kind == Fault::FullStall || Kind == Fault::StallWithPassingProbes;
}

/// True when a bound on detection times applies to this result.
bool hasBound(const Workload &Offered, Fault Kind, std::size_t Policy) {
  return Policy == 0 && Offered.Profile_ == DetectionProfile::FastDetection &&
         isFullStall(Kind);
}

/// True when the result keeps the bounds for a full stall.
bool keepsBounds(const Sample &Result) {
  const std::optional<Duration> P50 = Result.quantile(0.5);
  const std::optional<Duration> P99 = Result.quantile(0.99);
  return P50 && P99 && *P50 <= StallP50Bound && *P99 <= StallP99Bound;
}

/// Prints the result of all trials of a fault. Returns false when it breaks a
/// bound.
bool printCell(const ModelSettings &Settings, const FaultCase &Case,
               std::size_t Service, std::size_t Policy, const Sample &Result,
               std::uint64_t Trials) {
  const Workload &Offered = Settings.Workloads_[Service];
  const bool Holds =
      !hasBound(Offered, Case.Fault_, Policy) || keepsBounds(Result);
  std::string Times;
  if (Case.IsTargetFault_)
    Times = "p50 " + inMilliseconds(Result.quantile(0.5)) + " ms, p99 " +
            inMilliseconds(Result.quantile(0.99)) + " ms, missed " +
            std::to_string(Result.Missed_) + " of " +
            std::to_string(Result.Missed_ + Result.Times_.size()) + ", ";
  std::printf("%-24s %-12s %-16s %sfalse ejections %zu in %llu trials%s\n",
              Case.Name_, Offered.Name_, PolicyNames[Policy], Times.c_str(),
              Result.FalseEjections_, static_cast<unsigned long long>(Trials),
              Holds ? "" : "  BOUND BROKEN");
  std::fflush(stdout);
  return Holds;
}

/// Calls `RunPolicy` for all policies in parallel and returns the results in
/// the order of the policies.
template <class T, class Function>
std::vector<T> forEachPolicy(const Function &RunPolicy) {
  std::vector<std::future<T>> Futures;
  Futures.reserve(PolicyCount);
  for (std::size_t Policy = 0; Policy < PolicyCount; ++Policy)
    Futures.push_back(std::async(std::launch::async, RunPolicy, Policy));
  std::vector<T> Results;
  Results.reserve(PolicyCount);
  for (std::future<T> &Future : Futures)
    Results.push_back(Future.get());
  return Results;
}

bool runFaults(const ModelSettings &Settings, std::uint64_t Trials,
               std::uint64_t BoundTrials) {
  bool Ok = true;
  for (const FaultCase &Case : FaultCases)
    for (std::size_t S = 0; S < Settings.Workloads_.size(); ++S) {
      const auto TrialCount = [&](std::size_t Policy) {
        return hasBound(Settings.Workloads_[S], Case.Fault_, Policy)
                   ? BoundTrials
                   : Trials;
      };
      const auto RunTrials = [&](std::size_t Policy) {
        Sample Result;
        for (std::uint64_t Seed = 1; Seed <= TrialCount(Policy); ++Seed)
          runTrial(Settings, Policy, Case, S, Seed, Result);
        return Result;
      };
      const std::vector<Sample> Results = forEachPolicy<Sample>(RunTrials);
      for (std::size_t Policy = 0; Policy < PolicyCount; ++Policy)
        Ok = printCell(Settings, Case, S, Policy, Results[Policy],
                       TrialCount(Policy)) &&
             Ok;
    }
  return Ok;
}

/// Schedules one hour of disruptions that are not faults of a target: load
/// peaks, restarts, pauses and cuts of hosts, failing health checks and silent
/// connections.
class OrdinaryHour {
public:
  OrdinaryHour(Model &Simulation, const ModelSettings &Settings,
               std::uint64_t Seed)
      : Simulation_(Simulation), Settings_(Settings),
        Random_(Seed * 0x9e3779b97f4a7c15ULL) {
    repeat(3, [this] { startLoadPeak(); });
    repeat(4, [this] {
      Simulation_.restart(randomTarget(), Random_.below(2) == 0);
    });
    repeat(6, [this] {
      Simulation_.pause(Random_.below(HostCount),
                        milliseconds(between(50, 5000)));
    });
    repeat(3, [this] { isolateRandomHost(); });
    repeat(2, [this] { cutRandomPeerTraffic(); });
    repeat(4, [this] { failHealthChecks(); });
    repeat(2, [this] {
      Simulation_.silenceConnections(randomTarget(), Random_.below(HostCount));
    });
  }

private:
  std::int64_t between(std::int64_t Min, std::int64_t Max) {
    return Min + static_cast<std::int64_t>(Random_.below(Max - Min));
  }

  TargetKey randomTarget() {
    const std::size_t S = Random_.below(Settings_.Workloads_.size());
    return {S, Random_.below(Settings_.Workloads_[S].Targets_)};
  }

  template <class Function> void repeat(int Count, Function Callback) {
    for (int I = 0; I < Count; ++I)
      Simulation_.scheduleAt(
          TimePoint(milliseconds(between(20'000, 3'500'000))), Callback);
  }

  void startLoadPeak() {
    Simulation_.setLoad(4, 2, 0.1);
    Simulation_.scheduleAt(Simulation_.now() + seconds(30),
                           [this] { Simulation_.setLoad(1, 1, 0); });
  }

  void isolateRandomHost() {
    const std::size_t H = Random_.below(HostCount);
    Simulation_.isolateHost(H, true);
    Simulation_.scheduleAt(Simulation_.now() +
                               milliseconds(between(200, 20'000)),
                           [this, H] { Simulation_.isolateHost(H, false); });
  }

  void cutRandomPeerTraffic() {
    const std::size_t H = Random_.below(HostCount);
    Simulation_.cutPeerTraffic(H, true);
    Simulation_.scheduleAt(Simulation_.now() + seconds(60),
                           [this, H] { Simulation_.cutPeerTraffic(H, false); });
  }

  void failHealthChecks() {
    const TargetKey Key = randomTarget();
    Simulation_.target(Key).ProbeOk_ = false;
    Simulation_.scheduleAt(Simulation_.now() + seconds(60), [this, Key] {
      Simulation_.target(Key).ProbeOk_ = true;
    });
  }

  Model &Simulation_;
  const ModelSettings &Settings_;
  SeededRandom Random_;
};

struct HoursResult {
  std::vector<std::size_t> FalseEjections_; ///< By service.
  std::uint64_t Requests_ = 0;
};

/// Simulates `Count` seeded hours without a fault of a target. Returns false
/// when the system ejected a healthy rota-board target.
bool runHours(const ModelSettings &Settings, std::uint64_t Count) {
  const auto RunPolicy = [&](std::size_t Policy) {
    HoursResult Result;
    Result.FalseEjections_.resize(Settings.Workloads_.size());
    for (std::uint64_t Seed = 1; Seed <= Count; ++Seed) {
      Model Simulation(Settings, Policy, Seed);
      const OrdinaryHour Schedule(Simulation, Settings, Seed);
      Simulation.run(TimePoint(hours(1)));
      Result.Requests_ += Simulation.requests();
      for (const Ejection &Ejected : Simulation.ejections())
        Result.FalseEjections_[Ejected.Key_.Service_] +=
            Ejected.IsFalse_ ? 1 : 0;
    }
    return Result;
  };
  bool Ok = true;
  const std::vector<HoursResult> Results =
      forEachPolicy<HoursResult>(RunPolicy);
  for (std::size_t S = 0; S < Settings.Workloads_.size(); ++S)
    for (std::size_t Policy = 0; Policy < PolicyCount; ++Policy) {
      const HoursResult &Result = Results[Policy];
      const char *const Name = Settings.Workloads_[S].Name_;
      const bool Holds = Policy != 0 || Result.FalseEjections_[S] == 0 ||
                         std::strcmp(Name, "rota-board") != 0;
      Ok = Ok && Holds;
      std::printf("%-24s %-12s %-16s false ejections %zu in %llu h, %llu "
                  "requests of all services%s\n",
                  "ordinary hours", Name, PolicyNames[Policy],
                  Result.FalseEjections_[S],
                  static_cast<unsigned long long>(Count),
                  static_cast<unsigned long long>(Result.Requests_),
                  Holds ? "" : "  BOUND BROKEN");
    }
  std::fflush(stdout);
  return Ok;
}

void printWorkloads(const ModelSettings &Settings) {
  for (const Workload &Offered : Settings.Workloads_)
    std::printf("%s: %u targets, %u slots, floor %u, %.0f requests/s, median "
                "%lld ms, deadline %lld ms, %s\n",
                Offered.Name_, Offered.Targets_, Offered.Slots_, Offered.Floor_,
                Offered.RatePerSecond_,
                static_cast<long long>(toMilliseconds(Offered.Median_)),
                static_cast<long long>(toMilliseconds(Offered.Deadline_)),
                Offered.Profile_ == DetectionProfile::FastDetection
                    ? "fast-detection"
                    : "avoid-false-ejection");
}

} // namespace

int main(int Argc, char **Argv) {
  const bool IsShort = Argc == 2 && std::strcmp(Argv[1], "--short") == 0;
  if (Argc > 1 && !IsShort) {
    std::fprintf(stderr, "usage: detection-bench [--short]\n");
    return 1;
  }
  printWorkloads(Imigongo);
  printWorkloads(AltarFlowers);
  bool Ok = runFaults(Imigongo, IsShort ? 2 : 25, IsShort ? 30 : 300);
  Ok = runFaults(AltarFlowers, IsShort ? 2 : 25, 0) && Ok;
  if (!IsShort)
    Ok = runHours(Imigongo, 2) && Ok;
  Ok = runHours(AltarFlowers, IsShort ? 2 : 100) && Ok;
  std::printf("%s\n", Ok ? "all bounds hold" : "a bound is broken");
  return Ok ? 0 : 1;
}
