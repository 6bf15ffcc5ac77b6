// Counters and latency statistics of one host, per customer and service.
// HostCore records the events; metrics-format writes a snapshot as text. The
// number of label sets is bounded: events of any further set are counted under
// the label `other`.

#ifndef KUMQUATPITCH_METRICS_H
#define KUMQUATPITCH_METRICS_H

#include "kumquatpitch/attempt.h"
#include "kumquatpitch/burn-rate.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/time-point.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquatpitch {

/// Customer and service label of events over the bound on label sets.
constexpr char OtherLabel[] = "other";

/// Latency statistics. Count and sum cover the time since the host's start; the
/// mean, maximum and quantiles cover the last complete minute, or the current
/// minute while the first one is still running.
struct LatencyStats {
  std::uint64_t Count_ = 0; ///< Since the start.
  double SumSeconds_ = 0;   ///< Since the start.
  double MeanSeconds_ = 0;
  double MaxSeconds_ = 0;
  std::optional<double> P50Seconds_; ///< Empty with fewer than 20 samples.
  std::optional<double> P99Seconds_;

  bool operator==(const LatencyStats &) const = default;
};

/// Kinds of latency that are recorded.
enum class LatencyKind : std::uint8_t {
  Request, ///< From the complete request read to the answer ready.
  Added,   ///< The part that the host adds to the backend server's.
};
constexpr std::size_t LatencyKindCount = 2;

constexpr std::size_t AttemptEndCount = 10;

/// Label value of an attempt's end, such as `timed_out`.
const char *attemptEndName(AttemptEnd End);

/// Counts and latencies of one customer's service.
struct ServiceMetrics {
  std::string Customer_;
  std::string Service_;
  std::map<std::pair<ResultCode, Outcome>, std::uint64_t> Requests_;
  std::array<std::uint64_t, AttemptEndCount> Attempts_{};
  std::array<LatencyStats, LatencyKindCount> Latencies_;

  bool operator==(const ServiceMetrics &) const = default;
};

struct MetricsSnapshot {
  std::vector<ServiceMetrics> Services_; ///< Sorted by customer and service.
  std::map<std::string, std::uint64_t> Counters_;
  std::uint64_t OverLimitEvents_ = 0; ///< Events over the bound on label sets
                                      ///< or counters.

  bool operator==(const MetricsSnapshot &) const = default;
};

class Metrics {
public:
  /// Keeps at most `MaxLabelSets` pairs of customer and service, plus `other`.
  explicit Metrics(std::size_t MaxLabelSets = DefaultLabelSets);
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Counts a request and its latency.
  void requestEnded(const CustomerName &Customer, const ServiceName &Service,
                    const CompletedRequest &End, TimePoint Now);

  /// Records the latency that the host added to a delivered answer.
  void recordAddedLatency(const CustomerName &Customer,
                          const ServiceName &Service, Duration Added,
                          TimePoint Now);

  void attemptEnded(const CustomerName &Customer, const ServiceName &Service,
                    AttemptEnd End, TimePoint Now);

  /// Adds `By` to a counter of the host, such as `peer_messages_dropped`. Names
  /// consist of [a-z_]; at most 64 counters are kept.
  void count(std::string_view Name, std::uint64_t By = 1);

  /// Removes a pair that is no longer configured, which frees its label set for
  /// another pair.
  void forget(const CustomerName &Customer, const ServiceName &Service);

  MetricsSnapshot snapshot(TimePoint Now) const;

private:
  static constexpr std::size_t DefaultLabelSets = 1'000;
  struct Entry;
  using Key = std::pair<std::string, std::string>;

  Entry &findOrCreateEntry(const CustomerName &Customer,
                           const ServiceName &Service, TimePoint Now);

  std::size_t MaxLabelSets_;
  std::map<Key, std::unique_ptr<Entry>>
      Entries_; ///< At most MaxLabelSets_ + 1.
  std::map<std::string, std::uint64_t, std::less<>> Counters_;
  std::uint64_t OverLimitEvents_ = 0;
};

} // namespace kumquatpitch

#endif
