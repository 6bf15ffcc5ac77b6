// Benchmark of metrics: time per sample, memory per label set, and the error of
// the estimated p99. Exits with status 1 when memory or error exceeds its
// bound; times are printed and have no bound.

#include "kumquatpitch/metrics-format.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <random>

using namespace kumquatpitch;

namespace {

constexpr std::size_t LabelSets = 1'000;
constexpr int Samples = 1'000'000;
constexpr double MaxBytesPerSet = 4'096;
constexpr double MaxBytesPerBurnRate = 48 * 1'024;
constexpr double MaxP99Error = 0.05;

double usedBytes() { return static_cast<double>(mallinfo2().uordblks); }

double nowNs() {
  return std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

ServiceName serviceName(std::size_t Index) {
  return ServiceName("service-" + std::to_string(Index));
}

/// Fills every label set and returns the bytes per label set.
double bytesPerSet(Metrics &Recorder) {
  const CustomerName Customer("customer");
  const double Before = usedBytes();
  for (std::size_t Index = 0; Index < LabelSets; ++Index) {
    Recorder.requestEnded(Customer, serviceName(Index), CompletedRequest{},
                          TimePoint());
    Recorder.recordAddedLatency(Customer, serviceName(Index), Duration(1),
                                TimePoint());
  }
  return (usedBytes() - Before) / LabelSets;
}

double nsPerSample(Metrics &Recorder) {
  const CustomerName Customer("customer");
  const ServiceName Service = serviceName(LabelSets / 2);
  const double Start = nowNs();
  for (int Index = 0; Index < Samples; ++Index)
    Recorder.requestEnded(Customer, Service,
                          CompletedRequest{ResultCode::Ok, Outcome::Ran, 200,
                                           Duration(Index % 1'000)},
                          TimePoint(Duration(15 * Index)));
  return (nowNs() - Start) / Samples;
}

/// Largest relative error of p99 over 20 seeds. Each seed draws 4,000
/// long-tailed latencies, as many as a minute has at 67 requests per second.
double worstP99Error() {
  double WorstError = 0;
  for (unsigned Seed = 1; Seed <= 20; ++Seed) {
    std::mt19937_64 Engine(Seed);
    std::lognormal_distribution<double> LatencyMicros(9.0, 0.8);
    Metrics Recorder;
    std::vector<double> ExactSeconds;
    for (int Index = 0; Index < 4'000; ++Index) {
      const Duration Latency(static_cast<std::int64_t>(LatencyMicros(Engine)));
      ExactSeconds.push_back(std::chrono::duration<double>(Latency).count());
      Recorder.requestEnded(
          CustomerName("c"), ServiceName("s"),
          CompletedRequest{ResultCode::Ok, Outcome::Ran, 200, Latency},
          TimePoint());
    }
    std::sort(ExactSeconds.begin(), ExactSeconds.end());
    const double ExactP99 = ExactSeconds[ExactSeconds.size() * 99 / 100];
    const double EstimatedP99 = Recorder.snapshot(TimePoint())
                                    .Services_.at(0)
                                    .Latencies_[0]
                                    .P99Seconds_.value_or(0);
    WorstError =
        std::max(WorstError, std::abs(EstimatedP99 - ExactP99) / ExactP99);
  }
  return WorstError;
}

/// Bytes per service and nanoseconds per request of a burn-rate counter.
std::pair<double, double> burnRateCost() {
  const double Before = usedBytes();
  BurnRate Counter(CustomerName("c"), ServiceName("s"),
                   Objective{99.9, std::chrono::milliseconds(500), 28},
                   TimePoint());
  const double Bytes = usedBytes() - Before;
  const double Start = nowNs();
  for (int Index = 0; Index < Samples; ++Index)
    Counter.record(CompletedRequest{}, TimePoint(Duration(15'000L * Index)));
  return {Bytes, (nowNs() - Start) / Samples};
}

} // namespace

int main() {
  Metrics Recorder(LabelSets);
  const double Bytes = bytesPerSet(Recorder);
  const double Ns = nsPerSample(Recorder);
  const double Start = nowNs();
  const std::size_t TextBytes =
      formatMetrics(Recorder.snapshot(TimePoint()), HostStatus{}).size();
  const double FormatNs = nowNs() - Start;
  const double Error = worstP99Error();
  const std::pair<double, double> Burn = burnRateCost();
  std::printf("metrics: %.0f bytes per label set, %.0f ns per sample\n", Bytes,
              Ns);
  std::printf("metrics: %zu label sets formatted in %.2f ms, %zu bytes\n",
              LabelSets, FormatNs / 1e6, TextBytes);
  std::printf("metrics: p99 error at most %.1f%% over 20 seeds\n", 100 * Error);
  std::printf("burn-rate: %.0f bytes per service, %.0f ns per request\n",
              Burn.first, Burn.second);
  return Bytes > MaxBytesPerSet || Error > MaxP99Error ||
                 Burn.first > MaxBytesPerBurnRate
             ? 1
             : 0;
}
