// Benchmark of the sharing of contract limits within a group of hosts. It
// measures whether the limits hold under faults over many seeds, the overshoot
// during membership changes, how much of the contract is used when all load is
// on one host, and the isolation of customers. Exits with status 1 when a bound
// is broken.

#include "quota-model.h"

#include <cstdio>
#include <cstring>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

namespace {

constexpr std::uint64_t RatePerSecond = 50;
constexpr std::uint32_t Permits = 20;

ServiceTerms terms(std::uint64_t Rate = RatePerSecond,
                   std::uint32_t InProgress = Permits) {
  ServiceTerms Terms;
  Terms.Service_ = ServiceName("ledger");
  Terms.RatePerSecond_ = static_cast<std::uint32_t>(Rate);
  Terms.InProgress_ = InProgress;
  Terms.Deadline_ = std::chrono::seconds(2);
  return Terms;
}

Duration serviceTime(RandomSource &Random, std::int64_t MaxMs) {
  return std::chrono::milliseconds(
      1 + Random.below(static_cast<std::uint64_t>(MaxMs)));
}

struct ConservationResult {
  std::uint64_t BrokenSeeds_ = 0; ///< Seeds that exceeded a limit.
  double RateExcess_ = -1e9;
  std::uint64_t MostInProgressPercent_ = 0;
  std::uint64_t Admitted_ = 0;
  std::uint64_t CreditedGrants_ = 0;
};

/// Runs one model per seed, with one of the fault sets. The load varies from
/// none to 10 times the rate and moves between hosts.
ConservationResult runConservation(Division Rule, QuotaGuard DisabledGuard,
                                   std::uint64_t Seeds) {
  const QuotaFaults Faults[] = {{10, 10, 10, 500, 100, 200},
                                {20, 20, 30, 0, 0, 0},
                                {0, 0, 0, 1'000, 0, 0},
                                {0, 10, 10, 0, 300, 0},
                                {0, 10, 10, 0, 0, 500}};
  constexpr int Steps = 60'000;
  constexpr double RoundingError = 1e-6;
  ConservationResult Total;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    SeededRandom Random(Seed + 1'000'000);
    const std::size_t Hosts = 2 + Random.below(4);
    const std::uint32_t Rate = 2 + static_cast<std::uint32_t>(Random.below(80));
    const std::uint32_t InProgress =
        1 + static_cast<std::uint32_t>(Random.below(30));
    const ServiceTerms Terms = terms(Rate, InProgress);
    QuotaModel Model(Rule, Hosts, Terms, Faults[Seed % std::size(Faults)],
                     Seed);
    Model.DisabledGuard_ = DisabledGuard;
    // Short requests exercise the rate limit, long ones the limit of requests
    // in progress.
    const std::int64_t MaxServiceMs = Random.below(2) == 0 ? 2'000 : 20;
    std::size_t PreferredHost = 0;
    const std::uint64_t Loads[] = {0, 1, 3, 10};
    std::uint64_t Load = 3;
    const bool OneHostOnly = Random.below(2) == 0;
    for (int Step = 0; Step < Steps; ++Step) {
      Model.step();
      if (Random.below(2'000) == 0) {
        PreferredHost = Random.below(Hosts);
        Load = Loads[Random.below(std::size(Loads))];
      }
      if (Random.below(1'000) >= Load * Rate)
        continue;
      const std::size_t HostIndex = !OneHostOnly && Random.below(4) == 0
                                        ? Random.below(Hosts)
                                        : PreferredHost;
      Model.tryAdmit(HostIndex, serviceTime(Random, MaxServiceMs));
    }
    const bool IsBroken = Model.rateExcess() > RoundingError ||
                          Model.doubleCredits() > 0 ||
                          Model.mostInProgress() > InProgress;
    Total.BrokenSeeds_ += IsBroken ? 1 : 0;
    Total.RateExcess_ = std::max(Total.RateExcess_, Model.rateExcess());
    Total.MostInProgressPercent_ =
        std::max(Total.MostInProgressPercent_,
                 Model.mostInProgress() * 100 / InProgress);
    Total.Admitted_ += Model.admitted();
    Total.CreditedGrants_ += Model.grantsCredited();
  }
  return Total;
}

bool reportConservation(const char *Title, Division Rule,
                        QuotaGuard DisabledGuard, std::uint64_t Seeds,
                        bool MustHold) {
  const ConservationResult Total = runConservation(Rule, DisabledGuard, Seeds);
  std::printf("conservation %-16s seeds %llu  broken %llu  rate over its bound "
              "by at most %.2f requests  in progress at most %llu%%  admitted "
              "%llu  grants credited %llu\n",
              Title, static_cast<unsigned long long>(Seeds),
              static_cast<unsigned long long>(Total.BrokenSeeds_),
              Total.RateExcess_,
              static_cast<unsigned long long>(Total.MostInProgressPercent_),
              static_cast<unsigned long long>(Total.Admitted_),
              static_cast<unsigned long long>(Total.CreditedGrants_));
  return (Total.BrokenSeeds_ == 0) == MustHold;
}

struct Usage {
  /// Of the contract's limit, used by one host after the settle time.
  double Percent_ = 0;
  /// Loan requests and grants of the whole group.
  double MessagesPerSecond_ = 0;
};

Usage usageOnOneHost(Division Rule, const QuotaFaults &Faults, bool ByPermits) {
  constexpr int SettleSteps = 10'000;
  constexpr int Steps = 60'000;
  constexpr double LoadFactor = 3;
  // The limit that is not measured is set too high to be reached.
  const ServiceTerms Terms =
      ByPermits ? terms(1'000, Permits) : terms(RatePerSecond, 1'000);
  QuotaModel Model(Rule, 3, Terms, Faults, 7);
  SeededRandom Random(11);
  const Duration Service = std::chrono::milliseconds(ByPermits ? 100 : 20);
  const double Limit =
      ByPermits
          ? Permits * 1'000.0 / static_cast<double>(toMilliseconds(Service))
          : RatePerSecond;
  std::uint64_t Before = 0;
  std::uint64_t SentBefore = 0;
  for (int Step = 0; Step < SettleSteps + Steps; ++Step) {
    Model.step();
    if (Step == SettleSteps) {
      Before = Model.admitted();
      SentBefore = Model.messages();
    }
    if (static_cast<double>(Random.below(1'000)) < LoadFactor * Limit)
      Model.tryAdmit(0, Service);
  }
  constexpr double Seconds = Steps / 1'000.0;
  return {static_cast<double>(Model.admitted() - Before) * 100 /
              (Limit * Seconds),
          static_cast<double>(Model.messages() - SentBefore) / Seconds};
}

bool reportUsage() {
  constexpr double TargetPercent = 95;
  const QuotaFaults NoFaults;
  const QuotaFaults Lossy{5, 5, 5, 0, 0, 0};
  const QuotaFaults Partitions{0, 0, 0, 100, 0, 0};
  bool Ok = true;
  for (const bool ByPermits : {false, true}) {
    const char *const Kind = ByPermits ? "in progress" : "rate";
    const Usage Shared = usageOnOneHost(Division::Shared, NoFaults, ByPermits);
    std::printf(
        "use on one host, %-11s shared %.1f%% (target %.0f%%, %.0f "
        "messages/s)  with 5%% "
        "loss, duplicates and delays %.1f%%  with partitions %.1f%%  "
        "equal shares %.1f%%  full limit each %.1f%%\n",
        Kind, Shared.Percent_, TargetPercent, Shared.MessagesPerSecond_,
        usageOnOneHost(Division::Shared, Lossy, ByPermits).Percent_,
        usageOnOneHost(Division::Shared, Partitions, ByPermits).Percent_,
        usageOnOneHost(Division::EqualShares, NoFaults, ByPermits).Percent_,
        usageOnOneHost(Division::FullLimitEach, NoFaults, ByPermits).Percent_);
    Ok = Ok && Shared.Percent_ >= TargetPercent;
  }
  return Ok;
}

struct Overshoot {
  /// Admitted rate divided by the contract's rate, after the change.
  double Rate_ = 0;
  double RateExcess_ = 0; ///< Requests over the bound in any window.
  std::uint64_t InProgress_ = 0;
};

/// Delay after which a host receives a new member list: none, or just below the
/// settle time.
std::int64_t membershipDelayMs(RandomSource &Random) {
  return static_cast<std::int64_t>(Random.below(2)) * 4'990;
}

/// Removes one of four hosts from the member list and adds it again. Each host
/// receives both changes within the settle time. If `IsStale`, the removed host
/// is cut off and keeps its old list.
Overshoot changeMembers(const ServiceTerms &Terms, std::int64_t MaxServiceMs,
                        bool IsStale, std::uint64_t Seed) {
  constexpr std::int64_t Steps = 65'000;
  constexpr std::int64_t ReturnFromMs = 45'000;
  constexpr std::int64_t ChangeMs = 15'000;
  constexpr std::int64_t SettledMs = 30'000;
  constexpr std::size_t Hosts = 4;
  SeededRandom Random(Seed);
  QuotaModel Model(Division::Shared, Hosts, Terms, {}, Seed);
  const std::vector<HostId> RemainingMembers{
      QuotaModel::idOf(0), QuotaModel::idOf(1), QuotaModel::idOf(2)};
  std::vector<HostId> AllMembers = RemainingMembers;
  AllMembers.push_back(QuotaModel::idOf(Hosts - 1));
  std::vector<std::int64_t> RemovalMs(IsStale ? Hosts - 1 : Hosts);
  std::vector<std::int64_t> ReturnMs(RemovalMs.size());
  for (std::size_t Index = 0; Index < RemovalMs.size(); ++Index) {
    RemovalMs[Index] = ChangeMs + membershipDelayMs(Random);
    ReturnMs[Index] = ReturnFromMs + membershipDelayMs(Random);
  }
  Overshoot Result;
  std::uint64_t Before = 0;
  for (std::int64_t Step = 0; Step < Steps; ++Step) {
    Model.step();
    if (Step == ChangeMs && IsStale)
      Model.isolate(Hosts - 1);
    if (Step == SettledMs)
      Before = Model.admitted();
    if (Step == ReturnFromMs)
      Result.Rate_ = static_cast<double>(Model.admitted() - Before) * 1'000 /
                     static_cast<double>(Terms.RatePerSecond_ *
                                         (ReturnFromMs - SettledMs));
    for (std::size_t Index = 0; Index < RemovalMs.size(); ++Index) {
      if (Step == RemovalMs[Index])
        Model.setMembers(Index, RemainingMembers);
      if (Step == ReturnMs[Index])
        Model.setMembers(Index, AllMembers);
    }
    // Seconds without load let the token buckets fill, so that the burst is
    // measured as well.
    if (!IsStale && Step % 3'000 < 1'000)
      continue;
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      if (Random.below(1'000) < 2 * RatePerSecond)
        Model.tryAdmit(Index, serviceTime(Random, MaxServiceMs));
  }
  Result.RateExcess_ = Model.rateExcess();
  Result.InProgress_ = Model.mostInProgress();
  return Result;
}

Overshoot maxOvershoot(bool IsStale, std::uint64_t Seeds) {
  constexpr std::uint32_t Ample = 1'000;
  Overshoot Max;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    const Overshoot ByRate =
        changeMembers(terms(RatePerSecond, Ample), 20, IsStale, Seed);
    const Overshoot ByPermits =
        changeMembers(terms(Ample, Permits), 2'000, IsStale, Seed);
    Max.Rate_ = std::max(Max.Rate_, ByRate.Rate_);
    Max.RateExcess_ = Seed == 1 ? ByRate.RateExcess_
                                : std::max(Max.RateExcess_, ByRate.RateExcess_);
    Max.InProgress_ = std::max(Max.InProgress_, ByPermits.InProgress_);
  }
  return Max;
}

bool reportMembership(std::uint64_t Seeds) {
  // The stale host still uses the share of one member in four, a quarter of the
  // rate. The burst of one second adds to a rate measured over 15 s.
  constexpr double RateBound = 1.25 + 1.0 / 15;
  constexpr std::uint64_t InProgressBound = Permits + Permits / 4;
  // All hosts have equal load, so nothing is borrowed and the burst is only
  // each host's own 500 ms. One request is added because whole requests are
  // counted.
  constexpr double DelayedBound = 1 - 0.5 * RatePerSecond;
  const Overshoot Delayed = maxOvershoot(false, Seeds);
  const Overshoot Max = maxOvershoot(true, Seeds);
  std::printf(
      "membership: all learn within 5 s, seeds %llu  rate over its "
      "bound by at most %.2f requests (bound %.2f)  in progress %llu of "
      "%u\n",
      static_cast<unsigned long long>(Seeds), Delayed.RateExcess_, DelayedBound,
      static_cast<unsigned long long>(Delayed.InProgress_), Permits);
  std::printf("membership: one stale host of 4, seeds %llu  rate %.3f of the "
              "contract (bound %.3f)  in progress %llu of %u (bound %llu)\n",
              static_cast<unsigned long long>(Seeds), Max.Rate_, RateBound,
              static_cast<unsigned long long>(Max.InProgress_), Permits,
              static_cast<unsigned long long>(InProgressBound));
  return Delayed.RateExcess_ <= DelayedBound &&
         Delayed.InProgress_ <= Permits && Max.Rate_ <= RateBound &&
         Max.InProgress_ <= InProgressBound;
}

/// Runs two customers whose requests share each host's workers, and appends the
/// first customer's latencies in ms to `Latencies`. The second customer sends
/// `Factor` times its rate, to all hosts or, if `OneHost`, to one only.
void shareHosts(Division Rule, int Factor, bool OneHost, std::uint64_t Seed,
                std::vector<std::int64_t> &Latencies) {
  constexpr std::size_t Hosts = 3;
  constexpr std::size_t Workers = 3;
  constexpr int Steps = 120'000;
  constexpr int SettleSteps = 10'000;
  QuotaModel First(Rule, Hosts, terms(), {}, Seed);
  QuotaModel Second(Rule, Hosts, terms(), {}, Seed + 1'000);
  SeededRandom Random(Seed + 2'000);
  SeededRandom OtherRandom(Seed + 3'000);
  std::vector<std::vector<std::int64_t>> FreeAt(
      Hosts, std::vector<std::int64_t>(Workers));
  const auto OfferRequest = [&](QuotaModel &Model, RandomSource &Source,
                                int Load, std::int64_t Step, bool IsMeasured) {
    const bool IsPinned = OneHost && !IsMeasured && &Model == &Second;
    const bool HasRequest =
        Source.below(1'000) < RatePerSecond * static_cast<std::uint64_t>(Load);
    const std::size_t HostIndex = IsPinned ? 0 : Source.below(Hosts);
    const std::int64_t Work = 10 + static_cast<std::int64_t>(Source.below(60));
    if (!HasRequest)
      return;
    std::int64_t &FreeWorkerAt =
        *std::min_element(FreeAt[HostIndex].begin(), FreeAt[HostIndex].end());
    const std::int64_t End = std::max(FreeWorkerAt, Step) + Work;
    if (!Model.tryAdmit(HostIndex, std::chrono::milliseconds(End - Step)))
      return;
    FreeWorkerAt = End;
    if (IsMeasured)
      Latencies.push_back(End - Step);
  };
  for (std::int64_t Step = 0; Step < Steps; ++Step) {
    First.step();
    Second.step();
    OfferRequest(Second, OtherRandom, Factor, Step, false);
    OfferRequest(First, Random, 1, Step, Step > SettleSteps);
  }
}

double sharedHostP99(Division Rule, int Factor, bool OneHost,
                     std::uint64_t Seeds) {
  std::vector<std::int64_t> Latencies;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
    shareHosts(Rule, Factor, OneHost, Seed, Latencies);
  std::sort(Latencies.begin(), Latencies.end());
  return static_cast<double>(Latencies[Latencies.size() * 99 / 100]);
}

bool reportIsolation(std::uint64_t Seeds) {
  constexpr double MaxRatio = 1.1;
  bool Ok = true;
  for (const bool OneHost : {false, true}) {
    const auto Ratio = [OneHost, Seeds](Division Rule) {
      return sharedHostP99(Rule, 10, OneHost, Seeds) /
             sharedHostP99(Rule, 1, OneHost, Seeds);
    };
    const double Shared = Ratio(Division::Shared);
    std::printf("isolation, other customer at %s: p99 %.0f ms, with it at 10 "
                "times its limit %.0f ms, ratio %.3f (bound %.1f); full limit "
                "each %.3f, equal shares %.3f\n",
                OneHost ? "one host" : "all hosts",
                sharedHostP99(Division::Shared, 1, OneHost, Seeds),
                sharedHostP99(Division::Shared, 10, OneHost, Seeds), Shared,
                MaxRatio, Ratio(Division::FullLimitEach),
                Ratio(Division::EqualShares));
    Ok = Ok && Shared <= MaxRatio;
  }
  return Ok;
}

} // namespace

int main(int Argc, char **Argv) {
  const bool Short = Argc > 1 && std::strcmp(Argv[1], "--short") == 0;
  const std::uint64_t Seeds = Short ? 40 : 1'000;
  bool Ok = reportConservation("shared", Division::Shared, QuotaGuard::None,
                               Seeds, true);
  Ok = reportConservation("equal shares", Division::EqualShares,
                          QuotaGuard::None, Seeds, true) &&
       Ok;
  Ok = reportConservation("full limit each", Division::FullLimitEach,
                          QuotaGuard::None, Seeds, false) &&
       Ok;
  Ok = reportConservation("no settle time", Division::Shared,
                          QuotaGuard::SettleTime, Seeds, false) &&
       Ok;
  Ok = reportMembership(Short ? 10 : 100) && Ok;
  Ok = reportUsage() && Ok;
  Ok = reportIsolation(Short ? 5 : 40) && Ok;
  std::printf("quota: %s\n", Ok ? "ok" : "BROKEN");
  return Ok ? 0 : 1;
}
