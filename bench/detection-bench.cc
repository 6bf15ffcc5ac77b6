// Detection time and false ejections of the system and of three baselines, on
// the same seeds. Ends with exit status 1 when a stated bound is broken.
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
  LyingHealth,
  PartialStall,
  Flapping,
  OneWayLoss,
  SilentAtOneHost,
  SilentAtAllHosts,
  HostPause,
  HostCut,
};

struct FaultName {
  Fault Fault_;
  const char *Name_;
  bool IsTargets_; ///< A fault of the target, which is to be detected.
};

constexpr FaultName FaultNames[] = {
    {Fault::FullStall, "full stall", true},
    {Fault::LyingHealth, "full stall, lying health", true},
    {Fault::PartialStall, "partial stall 50%", true},
    {Fault::Flapping, "flapping 3 s / 2 s", true},
    {Fault::OneWayLoss, "one-way loss to host 0", true},
    {Fault::SilentAtOneHost, "silent at one host", false},
    {Fault::SilentAtAllHosts, "silent at all hosts", false},
    {Fault::HostPause, "host pause", false},
    {Fault::HostCut, "host cut off", false},
};

constexpr Duration Warmup = seconds(20);
constexpr Duration Observed = seconds(20);

void flap(Model &Run, TargetKey Key, bool Stalled) {
  Run.stall(Key, Stalled ? 1 : 0, true);
  Run.at(Run.now() + seconds(Stalled ? 3 : 2),
         [&Run, Key, Stalled] { flap(Run, Key, !Stalled); });
}

void inject(Model &Run, Fault Kind, TargetKey Key) {
  switch (Kind) {
  case Fault::FullStall:
    return Run.stall(Key, 1, false);
  case Fault::LyingHealth:
    return Run.stall(Key, 1, true);
  case Fault::PartialStall:
    return Run.stall(Key, 0.5, true);
  case Fault::Flapping:
    return flap(Run, Key, true);
  case Fault::OneWayLoss:
    return Run.cut(Key, 0, true);
  case Fault::SilentAtOneHost:
    return Run.silence(Key, Key.Target_ % HostCount);
  case Fault::SilentAtAllHosts:
    for (std::size_t H = 0; H < HostCount; ++H)
      Run.silence(Key, H);
    return;
  case Fault::HostPause:
    return Run.pause(0, milliseconds(700));
  case Fault::HostCut:
    Run.cutHost(0, true);
    return Run.at(Run.now() + seconds(5), [&Run] { Run.cutHost(0, false); });
  }
}

/// Detection times of one fault and service under one policy.
struct Sample {
  std::vector<Duration> Times_;
  std::size_t Missed_ = 0;
  std::size_t FalseEjections_ = 0;

  /// Nothing when the quantile falls among the missed ones.
  std::optional<Duration> quantile(double Part) const {
    std::vector<Duration> Sorted = Times_;
    std::sort(Sorted.begin(), Sorted.end());
    const double Count = static_cast<double>(Sorted.size() + Missed_);
    const std::size_t Rank =
        static_cast<std::size_t>(std::ceil(Part * Count)) - 1;
    return Rank < Sorted.size() ? std::optional<Duration>(Sorted[Rank])
                                : std::nullopt;
  }
};

/// One run with one fault; each host that owns slots at the target and is
/// affected gives a detection time, from the start of the fault.
void runTrial(const ModelSettings &Settings, std::size_t Policy,
              const FaultName &Kind, std::size_t Service, std::uint64_t Seed,
              Sample &Result) {
  const Workload &Of = Settings.Workloads_[Service];
  const TargetKey Key{Service, Seed % Of.Targets_};
  const TimePoint Start = TimePoint(Warmup) + milliseconds(Seed * 7919 % 1000);
  Model Run(Settings, Policy, Seed);
  std::set<std::size_t> Using; // Hosts whose traffic flows to the target.
  Run.at(Start, [&] {
    for (std::size_t H = 0; H < HostCount; ++H)
      if (Run.isUsable(H, Key))
        Using.insert(H);
    inject(Run, Kind.Fault_, Key);
  });
  Run.run(Start + Observed);
  std::map<std::size_t, TimePoint> Noticed;
  for (const Ejection &Each : Run.ejections()) {
    Result.FalseEjections_ += Each.False_ ? 1 : 0;
    if (Each.Key_ == Key && Each.At_ >= Start)
      Noticed.emplace(Each.Host_, Each.At_);
  }
  for (std::size_t H = 0; Kind.IsTargets_ && H < HostCount; ++H) {
    bool OwnsSlots = false;
    for (std::size_t I = 0; I < Of.Slots_; ++I)
      OwnsSlots = OwnsSlots || (Key.Target_ + I) % HostCount == H;
    if (!OwnsSlots || !Using.contains(H) ||
        (Kind.Fault_ == Fault::OneWayLoss && H != 0))
      continue;
    if (Noticed.contains(H))
      Result.Times_.push_back(Noticed[H] - Start);
    else
      ++Result.Missed_;
  }
}

std::string inMilliseconds(const std::optional<Duration> &Time) {
  return Time ? std::to_string(toMilliseconds(*Time)) : "-";
}

bool isFullStall(Fault Kind) {
  return Kind == Fault::FullStall || Kind == Fault::LyingHealth;
}

/// True when the system's result in this case is bound.
bool isBound(const Workload &Of, Fault Kind, std::size_t Policy) {
  return Policy == 0 && Of.Profile_ == DetectionProfile::FastDetection &&
         isFullStall(Kind);
}

/// True when the bounds on a full stall hold.
bool withinBounds(const Sample &Of) {
  const std::optional<Duration> P50 = Of.quantile(0.5);
  const std::optional<Duration> P99 = Of.quantile(0.99);
  return P50 && P99 && *P50 <= StallP50Bound && *P99 <= StallP99Bound;
}

/// Prints the result of all trials of a fault. False when it breaks a bound.
bool printCell(const ModelSettings &Settings, const FaultName &Kind,
               std::size_t Service, std::size_t Policy, const Sample &Result,
               std::uint64_t Trials) {
  const Workload &Of = Settings.Workloads_[Service];
  const bool Holds = !isBound(Of, Kind.Fault_, Policy) || withinBounds(Result);
  std::string Times;
  if (Kind.IsTargets_)
    Times = "p50 " + inMilliseconds(Result.quantile(0.5)) + " ms, p99 " +
            inMilliseconds(Result.quantile(0.99)) + " ms, missed " +
            std::to_string(Result.Missed_) + " of " +
            std::to_string(Result.Missed_ + Result.Times_.size()) + ", ";
  std::printf("%-24s %-12s %-16s %sfalse ejections %zu in %llu trials%s\n",
              Kind.Name_, Of.Name_, PolicyNames[Policy], Times.c_str(),
              Result.FalseEjections_, static_cast<unsigned long long>(Trials),
              Holds ? "" : "  BOUND BROKEN");
  std::fflush(stdout);
  return Holds;
}

/// Calls `Run` for each policy, in parallel; the results are in their order.
template <class T, class Function>
std::vector<T> forEachPolicy(const Function &Run) {
  std::vector<std::future<T>> Futures;
  Futures.reserve(PolicyCount);
  for (std::size_t Policy = 0; Policy < PolicyCount; ++Policy)
    Futures.push_back(std::async(std::launch::async, Run, Policy));
  std::vector<T> Results;
  Results.reserve(PolicyCount);
  for (std::future<T> &Each : Futures)
    Results.push_back(Each.get());
  return Results;
}

bool runFaults(const ModelSettings &Settings, std::uint64_t Trials,
               std::uint64_t BoundTrials) {
  bool Ok = true;
  for (const FaultName &Kind : FaultNames)
    for (std::size_t S = 0; S < Settings.Workloads_.size(); ++S) {
      const auto CountOf = [&](std::size_t Policy) {
        return isBound(Settings.Workloads_[S], Kind.Fault_, Policy)
                   ? BoundTrials
                   : Trials;
      };
      const auto RunTrials = [&](std::size_t Policy) {
        Sample Result;
        for (std::uint64_t Seed = 1; Seed <= CountOf(Policy); ++Seed)
          runTrial(Settings, Policy, Kind, S, Seed, Result);
        return Result;
      };
      const std::vector<Sample> Results = forEachPolicy<Sample>(RunTrials);
      for (std::size_t Policy = 0; Policy < PolicyCount; ++Policy)
        Ok = printCell(Settings, Kind, S, Policy, Results[Policy],
                       CountOf(Policy)) &&
             Ok;
    }
  return Ok;
}

/// Schedules an hour of everything that is no fault of a target.
class OrdinaryHour {
public:
  OrdinaryHour(Model &Run, const ModelSettings &Settings, std::uint64_t Seed)
      : Run_(Run), Settings_(Settings), Random_(Seed * 0x9e3779b97f4a7c15ULL) {
    repeat(3, [this] { loadPeak(); });
    repeat(4, [this] { Run_.restart(key(), Random_.below(2) == 0); });
    repeat(6, [this] {
      Run_.pause(Random_.below(HostCount), milliseconds(between(50, 5000)));
    });
    repeat(3, [this] { hostCut(); });
    repeat(2, [this] { peerCut(); });
    repeat(4, [this] { misleadingHealth(); });
    repeat(2, [this] { Run_.silence(key(), Random_.below(HostCount)); });
  }

private:
  std::int64_t between(std::int64_t Least, std::int64_t Most) {
    return Least + static_cast<std::int64_t>(Random_.below(Most - Least));
  }

  TargetKey key() {
    const std::size_t S = Random_.below(Settings_.Workloads_.size());
    return {S, Random_.below(Settings_.Workloads_[S].Targets_)};
  }

  template <class Action> void repeat(int Count, Action Act) {
    for (int I = 0; I < Count; ++I)
      Run_.at(TimePoint(milliseconds(between(20'000, 3'500'000))), Act);
  }

  void loadPeak() {
    Run_.setLoad(4, 2, 0.1);
    Run_.at(Run_.now() + seconds(30), [this] { Run_.setLoad(1, 1, 0); });
  }

  void hostCut() {
    const std::size_t H = Random_.below(HostCount);
    Run_.cutHost(H, true);
    Run_.at(Run_.now() + milliseconds(between(200, 20'000)),
            [this, H] { Run_.cutHost(H, false); });
  }

  void peerCut() {
    const std::size_t H = Random_.below(HostCount);
    Run_.cutPeer(H, true);
    Run_.at(Run_.now() + seconds(60), [this, H] { Run_.cutPeer(H, false); });
  }

  void misleadingHealth() {
    const TargetKey Key = key();
    Run_.target(Key).ProbeOk_ = false;
    Run_.at(Run_.now() + seconds(60),
            [this, Key] { Run_.target(Key).ProbeOk_ = true; });
  }

  Model &Run_;
  const ModelSettings &Settings_;
  SeededRandom Random_;
};

struct HoursResult {
  std::vector<std::size_t> False_; ///< False ejections, by service.
  std::uint64_t Requests_ = 0;
};

/// Runs seeded hours without a fault of a target. False when a healthy
/// rota-board target was ejected by the system.
bool runHours(const ModelSettings &Settings, std::uint64_t Count) {
  const auto RunPolicy = [&](std::size_t Policy) {
    HoursResult Result;
    Result.False_.resize(Settings.Workloads_.size());
    for (std::uint64_t Seed = 1; Seed <= Count; ++Seed) {
      Model Run(Settings, Policy, Seed);
      const OrdinaryHour Schedule(Run, Settings, Seed);
      Run.run(TimePoint(hours(1)));
      Result.Requests_ += Run.requests();
      for (const Ejection &Each : Run.ejections())
        Result.False_[Each.Key_.Service_] += Each.False_ ? 1 : 0;
    }
    return Result;
  };
  bool Ok = true;
  const std::vector<HoursResult> Results =
      forEachPolicy<HoursResult>(RunPolicy);
  for (std::size_t S = 0; S < Settings.Workloads_.size(); ++S)
    for (std::size_t Policy = 0; Policy < PolicyCount; ++Policy) {
      const HoursResult &Of = Results[Policy];
      const char *const Name = Settings.Workloads_[S].Name_;
      const bool Holds = Policy != 0 || Of.False_[S] == 0 ||
                         std::strcmp(Name, "rota-board") != 0;
      Ok = Ok && Holds;
      std::printf("%-24s %-12s %-16s false ejections %zu in %llu h, %llu "
                  "requests of all services%s\n",
                  "ordinary hours", Name, PolicyNames[Policy], Of.False_[S],
                  static_cast<unsigned long long>(Count),
                  static_cast<unsigned long long>(Of.Requests_),
                  Holds ? "" : "  BOUND BROKEN");
    }
  std::fflush(stdout);
  return Ok;
}

void printWorkloads(const ModelSettings &Settings) {
  for (const Workload &Of : Settings.Workloads_)
    std::printf("%s: %u targets, %u slots, floor %u, %.0f requests/s, median "
                "%lld ms, deadline %lld ms, %s\n",
                Of.Name_, Of.Targets_, Of.Slots_, Of.Floor_, Of.RatePerSecond_,
                static_cast<long long>(toMilliseconds(Of.Median_)),
                static_cast<long long>(toMilliseconds(Of.Deadline_)),
                Of.Profile_ == DetectionProfile::FastDetection
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
