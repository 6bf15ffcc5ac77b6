// Prometheus text exposition. See metrics-format.h.

#include "kumquatpitch/metrics-format.h"

#include "kumquatpitch/release.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace kumquatpitch {

namespace {

using Labels = std::vector<std::pair<const char *, std::string>>;

/// Greatest number of services for which target and burn-rate lines are
/// written.
constexpr std::size_t MaxStatusServices = 1'000;
constexpr std::size_t ConditionCount = 6;

std::string escapeLabelValue(const std::string &Text) {
  std::string Result;
  for (const char Character : Text) {
    if (Character == '\n') {
      Result += "\\n";
      continue;
    }
    if (Character == '\\' || Character == '"')
      Result += '\\';
    Result += Character;
  }
  return Result;
}

std::string formatNumber(double Value) {
  if (std::isnan(Value))
    return "NaN";
  char Text[32];
  const std::to_chars_result End =
      std::to_chars(Text, Text + sizeof Text, Value);
  return {Text, End.ptr};
}

/// Builds the exposition text. The format requires that all lines of one metric
/// are consecutive.
class Exposition {
public:
  void beginMetric(const char *Name, const char *Type, const char *Help) {
    Name_ = std::string("kumquatpitch_") + Name;
    Text_ += "# HELP " + Name_ + " " + Help + "\n# TYPE " + Name_ + " " + Type +
             "\n";
  }

  void addSample(const Labels &LabelSet, double Value,
                 const char *Suffix = "") {
    appendNameAndLabels(LabelSet, Suffix);
    Text_ += formatNumber(Value) + "\n";
  }

  void addSample(const Labels &LabelSet, std::uint64_t Value,
                 const char *Suffix = "") {
    appendNameAndLabels(LabelSet, Suffix);
    Text_ += std::to_string(Value) + "\n";
  }

  std::string take() { return std::move(Text_); }

private:
  void appendNameAndLabels(const Labels &LabelSet, const char *Suffix) {
    Text_ += Name_ + Suffix;
    char Separator = '{';
    for (const std::pair<const char *, std::string> &Label : LabelSet) {
      Text_ += Separator + std::string(Label.first) + "=\"" +
               escapeLabelValue(Label.second) + '"';
      Separator = ',';
    }
    Text_ += LabelSet.empty() ? " " : "} ";
  }

  std::string Name_;
  std::string Text_;
};

Labels serviceLabels(const std::string &Customer, const std::string &Service) {
  return {{"customer", Customer}, {"service", Service}};
}

Labels withLabel(Labels Base, const char *Name, std::string Value) {
  Base.emplace_back(Name, std::move(Value));
  return Base;
}

void writeCounts(Exposition &Text, const MetricsSnapshot &Snapshot) {
  Text.beginMetric("requests_total", "counter",
                   "Requests by result code and outcome.");
  for (const ServiceMetrics &Service : Snapshot.Services_)
    for (const std::pair<const std::pair<ResultCode, Outcome>, std::uint64_t>
             &Counts : Service.Requests_) {
      const Labels Base =
          withLabel(serviceLabels(Service.Customer_, Service.Service_), "code",
                    resultCodeName(Counts.first.first));
      Text.addSample(
          withLabel(Base, "outcome", outcomeName(Counts.first.second)),
          Counts.second);
    }
  Text.beginMetric("attempts_total", "counter",
                   "Attempts at backend servers by how they ended.");
  for (const ServiceMetrics &Service : Snapshot.Services_)
    for (std::size_t Index = 0; Index < AttemptEndCount; ++Index)
      if (Service.Attempts_[Index] > 0)
        Text.addSample(
            withLabel(serviceLabels(Service.Customer_, Service.Service_), "end",
                      attemptEndName(static_cast<AttemptEnd>(Index))),
            Service.Attempts_[Index]);
  Text.beginMetric(
      "label_sets_over_limit_total", "counter",
      "Events counted as other because a table of labels is full.");
  Text.addSample({}, Snapshot.OverLimitEvents_);
  for (const std::pair<const std::string, std::uint64_t> &Counter :
       Snapshot.Counters_) {
    Text.beginMetric((Counter.first + "_total").c_str(), "counter",
                     "Events of the host.");
    Text.addSample({}, Counter.second);
  }
}

void writeLatencies(Exposition &Text, const MetricsSnapshot &Snapshot,
                    LatencyKind Kind, const char *Name, const char *Help) {
  const std::size_t Index = static_cast<std::size_t>(Kind);
  Text.beginMetric(Name, "summary", Help);
  for (const ServiceMetrics &Service : Snapshot.Services_) {
    const LatencyStats &Stats = Service.Latencies_[Index];
    const Labels Base = serviceLabels(Service.Customer_, Service.Service_);
    Text.addSample(withLabel(Base, "quantile", "0.5"),
                   Stats.P50Seconds_.value_or(NAN));
    Text.addSample(withLabel(Base, "quantile", "0.99"),
                   Stats.P99Seconds_.value_or(NAN));
    Text.addSample(Base, Stats.SumSeconds_, "_sum");
    Text.addSample(Base, Stats.Count_, "_count");
  }
  const std::string MaxName = std::string(Name) + "_max";
  Text.beginMetric(MaxName.c_str(), "gauge",
                   "Greatest value of the last minute.");
  for (const ServiceMetrics &Service : Snapshot.Services_)
    Text.addSample(serviceLabels(Service.Customer_, Service.Service_),
                   Service.Latencies_[Index].MaxSeconds_);
  const std::string MeanName = std::string(Name) + "_mean";
  Text.beginMetric(MeanName.c_str(), "gauge", "Mean of the last minute.");
  for (const ServiceMetrics &Service : Snapshot.Services_)
    Text.addSample(serviceLabels(Service.Customer_, Service.Service_),
                   Service.Latencies_[Index].MeanSeconds_);
}

void writeTargets(Exposition &Text, const HostStatus &Status) {
  Text.beginMetric("targets", "gauge",
                   "Targets of the host's services by condition.");
  for (std::size_t Index = 0;
       Index < std::min(Status.Services_.size(), MaxStatusServices); ++Index) {
    const ServiceStatus &Service = Status.Services_[Index];
    std::array<std::uint64_t, ConditionCount> Counts{};
    for (const TargetStatus &Target : Service.Targets_)
      ++Counts[static_cast<std::size_t>(Target.Condition_)];
    const Labels Base =
        serviceLabels(Service.Customer_.str(), Service.Service_.str());
    for (std::size_t Kind = 0; Kind < ConditionCount; ++Kind)
      Text.addSample(
          withLabel(Base, "condition",
                    targetConditionName(static_cast<TargetCondition>(Kind))),
          Counts[Kind]);
  }
}

void writeBurnRates(Exposition &Text, const HostStatus &Status) {
  Text.beginMetric(
      "burn_rate", "gauge",
      "Burn rate of this host alone; 1 uses up the budget in its window.");
  for (std::size_t Index = 0;
       Index < std::min(Status.Burn_.size(), MaxStatusServices); ++Index) {
    const BurnSnapshot &Burn = Status.Burn_[Index];
    const Labels Base =
        serviceLabels(Burn.Customer_.str(), Burn.Service_.str());
    for (std::size_t Kind = 0; Kind < BurnWindowCount; ++Kind) {
      const BurnCounts &Counts = Burn.Windows_[Kind].Counts_;
      const std::optional<double> Rate =
          burnRate(Counts.Good_, Counts.bad(), Burn.Slo_);
      if (Rate)
        Text.addSample(withLabel(Base, "window",
                                 burnWindowName(static_cast<BurnWindow>(Kind))),
                       *Rate);
    }
  }
}

void writeHost(Exposition &Text, const HostStatus &Status) {
  const auto Gauge = [&](const char *Name, const char *Help, double Value) {
    Text.beginMetric(Name, "gauge", Help);
    Text.addSample({}, Value);
  };
  Gauge("ready", "1 when the host accepts requests.", Status.Ready_ ? 1 : 0);
  Gauge("leaving", "1 while the host stops.", Status.Leaving_ ? 1 : 0);
  Gauge("up_seconds", "Time since the start of this incarnation.",
        std::chrono::duration<double>(Status.UpFor_).count());
  Gauge("config_version", "Version of the configuration in force.",
        static_cast<double>(Status.ConfigVersion_));
  Gauge("documents_refused", "Published documents that are not in force.",
        static_cast<double>(Status.Refusals_.size()));
  Text.beginMetric("peers", "gauge",
                   "Peers by the direction in which they are heard.");
  std::array<std::uint64_t, 4> Directions{};
  for (const PeerStatus &Peer : Status.Peers_)
    ++Directions[static_cast<std::size_t>(Peer.Direction_)];
  for (std::size_t Kind = 0; Kind < Directions.size(); ++Kind)
    Text.addSample(
        {{"direction", peerDirectionName(static_cast<PeerDirection>(Kind))}},
        Directions[Kind]);
}

} // namespace

std::string formatMetrics(const MetricsSnapshot &Snapshot,
                          const HostStatus &Status) {
  Exposition Text;
  Text.beginMetric("release_info", "gauge", "The sources of this binary.");
  Text.addSample({{"release", releaseId()}}, std::uint64_t{1});
  writeHost(Text, Status);
  writeCounts(Text, Snapshot);
  writeLatencies(Text, Snapshot, LatencyKind::Request,
                 "request_latency_seconds",
                 "Time from a whole request read to its answer.");
  writeLatencies(Text, Snapshot, LatencyKind::Added, "added_latency_seconds",
                 "Part of the latency that this host adds.");
  writeTargets(Text, Status);
  writeBurnRates(Text, Status);
  return Text.take();
}

} // namespace kumquatpitch
