// Prometheus text exposition. See metrics-format.h.

#include "kumquatpitch/metrics-format.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace kumquatpitch {

namespace {

using Labels = std::vector<std::pair<const char *, std::string>>;

/// Services of the status that get lines of their own.
constexpr std::size_t MaxStatusServices = 1'000;
constexpr std::size_t ConditionCount = 6;

std::string escaped(const std::string &Text) {
  std::string Out;
  for (const char Each : Text) {
    if (Each == '\n') {
      Out += "\\n";
      continue;
    }
    if (Each == '\\' || Each == '"')
      Out += '\\';
    Out += Each;
  }
  return Out;
}

std::string numberText(double Value) {
  if (std::isnan(Value))
    return "NaN";
  char Text[32];
  const std::to_chars_result End =
      std::to_chars(Text, Text + sizeof Text, Value);
  return {Text, End.ptr};
}

/// Collects lines; a metric's lines must follow each other.
class Exposition {
public:
  void begin(const char *Name, const char *Type, const char *Help) {
    Name_ = std::string("kumquatpitch_") + Name;
    Text_ += "# HELP " + Name_ + " " + Help + "\n# TYPE " + Name_ + " " + Type +
             "\n";
  }

  void line(const Labels &With, double Value, const char *Suffix = "") {
    head(With, Suffix);
    Text_ += numberText(Value) + "\n";
  }

  void line(const Labels &With, std::uint64_t Value, const char *Suffix = "") {
    head(With, Suffix);
    Text_ += std::to_string(Value) + "\n";
  }

  std::string take() { return std::move(Text_); }

private:
  void head(const Labels &With, const char *Suffix) {
    Text_ += Name_ + Suffix;
    char Before = '{';
    for (const std::pair<const char *, std::string> &Each : With) {
      Text_ +=
          Before + std::string(Each.first) + "=\"" + escaped(Each.second) + '"';
      Before = ',';
    }
    Text_ += With.empty() ? " " : "} ";
  }

  std::string Name_;
  std::string Text_;
};

Labels labelsOf(const std::string &Customer, const std::string &Service) {
  return {{"customer", Customer}, {"service", Service}};
}

Labels extended(Labels Base, const char *Name, std::string Value) {
  Base.emplace_back(Name, std::move(Value));
  return Base;
}

void writeCounts(Exposition &Out, const MetricsSnapshot &Counted) {
  Out.begin("requests_total", "counter",
            "Requests by result code and outcome.");
  for (const ServiceMetrics &Each : Counted.Services_)
    for (const std::pair<const std::pair<ResultCode, Outcome>, std::uint64_t>
             &Counts : Each.Requests_) {
      const Labels Base = extended(labelsOf(Each.Customer_, Each.Service_),
                                   "code", resultCodeName(Counts.first.first));
      Out.line(extended(Base, "outcome", outcomeName(Counts.first.second)),
               Counts.second);
    }
  Out.begin("attempts_total", "counter",
            "Attempts at backend servers by how they ended.");
  for (const ServiceMetrics &Each : Counted.Services_)
    for (std::size_t Index = 0; Index < AttemptEndCount; ++Index)
      if (Each.Attempts_[Index] > 0)
        Out.line(extended(labelsOf(Each.Customer_, Each.Service_), "end",
                          attemptEndName(static_cast<AttemptEnd>(Index))),
                 Each.Attempts_[Index]);
  Out.begin("label_sets_over_limit_total", "counter",
            "Events counted as other because a table of labels is full.");
  Out.line({}, Counted.OverLimit_);
  for (const std::pair<const std::string, std::uint64_t> &Each :
       Counted.Counters_) {
    Out.begin((Each.first + "_total").c_str(), "counter",
              "Events of the host.");
    Out.line({}, Each.second);
  }
}

void writeLatencies(Exposition &Out, const MetricsSnapshot &Counted,
                    LatencyKind Kind, const char *Name, const char *Help) {
  const std::size_t Index = static_cast<std::size_t>(Kind);
  Out.begin(Name, "summary", Help);
  for (const ServiceMetrics &Each : Counted.Services_) {
    const LatencyStats &Stats = Each.Latencies_[Index];
    const Labels Base = labelsOf(Each.Customer_, Each.Service_);
    Out.line(extended(Base, "quantile", "0.5"),
             Stats.P50Seconds_.value_or(NAN));
    Out.line(extended(Base, "quantile", "0.99"),
             Stats.P99Seconds_.value_or(NAN));
    Out.line(Base, Stats.SumSeconds_, "_sum");
    Out.line(Base, Stats.Count_, "_count");
  }
  const std::string MaxName = std::string(Name) + "_max";
  Out.begin(MaxName.c_str(), "gauge", "Greatest value of the last minute.");
  for (const ServiceMetrics &Each : Counted.Services_)
    Out.line(labelsOf(Each.Customer_, Each.Service_),
             Each.Latencies_[Index].MaxSeconds_);
  const std::string MeanName = std::string(Name) + "_mean";
  Out.begin(MeanName.c_str(), "gauge", "Mean of the last minute.");
  for (const ServiceMetrics &Each : Counted.Services_)
    Out.line(labelsOf(Each.Customer_, Each.Service_),
             Each.Latencies_[Index].MeanSeconds_);
}

void writeTargets(Exposition &Out, const HostStatus &Status) {
  Out.begin("targets", "gauge", "Targets of the host's services by condition.");
  for (std::size_t Index = 0;
       Index < std::min(Status.Services_.size(), MaxStatusServices); ++Index) {
    const ServiceStatus &Each = Status.Services_[Index];
    std::array<std::uint64_t, ConditionCount> Counts{};
    for (const TargetStatus &Target : Each.Targets_)
      ++Counts[static_cast<std::size_t>(Target.Condition_)];
    const Labels Base = labelsOf(Each.Customer_.str(), Each.Service_.str());
    for (std::size_t Kind = 0; Kind < ConditionCount; ++Kind)
      Out.line(
          extended(Base, "condition",
                   targetConditionName(static_cast<TargetCondition>(Kind))),
          Counts[Kind]);
  }
}

void writeBurn(Exposition &Out, const HostStatus &Status) {
  Out.begin(
      "burn_rate", "gauge",
      "Burn rate of this host alone; 1 uses up the budget in its window.");
  for (std::size_t Index = 0;
       Index < std::min(Status.Burn_.size(), MaxStatusServices); ++Index) {
    const BurnSnapshot &Each = Status.Burn_[Index];
    const Labels Base = labelsOf(Each.Customer_.str(), Each.Service_.str());
    for (std::size_t Kind = 0; Kind < BurnWindowCount; ++Kind) {
      const BurnCounts &Counts = Each.Windows_[Kind].Counts_;
      const std::optional<double> Rate =
          burnRate(Counts.Good_, Counts.bad(), Each.Slo_);
      if (Rate)
        Out.line(extended(Base, "window",
                          burnWindowName(static_cast<BurnWindow>(Kind))),
                 *Rate);
    }
  }
}

void writeHost(Exposition &Out, const HostStatus &Status) {
  const auto Gauge = [&](const char *Name, const char *Help, double Value) {
    Out.begin(Name, "gauge", Help);
    Out.line({}, Value);
  };
  Gauge("ready", "1 when the host accepts requests.", Status.Ready_ ? 1 : 0);
  Gauge("leaving", "1 while the host stops.", Status.Leaving_ ? 1 : 0);
  Gauge("up_seconds", "Time since the start of this incarnation.",
        std::chrono::duration<double>(Status.UpFor_).count());
  Gauge("config_version", "Version of the configuration in force.",
        static_cast<double>(Status.ConfigVersion_));
  Gauge("documents_refused", "Published documents that are not in force.",
        static_cast<double>(Status.Refusals_.size()));
  Out.begin("peers", "gauge",
            "Peers by the direction in which they are heard.");
  std::array<std::uint64_t, 4> Directions{};
  for (const PeerStatus &Each : Status.Peers_)
    ++Directions[static_cast<std::size_t>(Each.Direction_)];
  for (std::size_t Kind = 0; Kind < Directions.size(); ++Kind)
    Out.line(
        {{"direction", peerDirectionName(static_cast<PeerDirection>(Kind))}},
        Directions[Kind]);
}

} // namespace

std::string formatMetrics(const MetricsSnapshot &Counted,
                          const HostStatus &Status) {
  Exposition Out;
  writeHost(Out, Status);
  writeCounts(Out, Counted);
  writeLatencies(Out, Counted, LatencyKind::Request, "request_latency_seconds",
                 "Time from a whole request read to its answer.");
  writeLatencies(Out, Counted, LatencyKind::Added, "added_latency_seconds",
                 "Part of the latency that this host adds.");
  writeTargets(Out, Status);
  writeBurn(Out, Status);
  return Out.take();
}

} // namespace kumquatpitch
