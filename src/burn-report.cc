// Formats the burn report as text and JSON. See burn-report.h.

#include "kumquatpitch/burn-report.h"

#include "kumquatpitch/burn-json.h"
#include "kumquatpitch/status-report.h"

#include <cstdio>

namespace kumquatpitch {

namespace {

using nlohmann::json;

std::string windowLine(const BurnSnapshot &Value, BurnWindow Window) {
  const WindowCounts &Counted = Value.window(Window);
  const std::string Rate = formatRate(windowRate(Value, Window));
  const std::string Covered = formatDuration(Counted.Covered_);
  char Line[160];
  std::snprintf(
      Line, sizeof Line, "  %-4s burn %8s   good %10llu   bad %8llu   over %s",
      burnWindowName(Window), Rate.c_str(),
      static_cast<unsigned long long>(Counted.Counts_.Good_),
      static_cast<unsigned long long>(Counted.Counts_.bad()), Covered.c_str());
  std::string Text = Line;
  for (std::size_t Index = 0; Index < BurnCauseCount; ++Index)
    if (Counted.Counts_.BadByCause_[Index] > 0)
      Text += std::string("  ") + burnCauseName(static_cast<BurnCause>(Index)) +
              "=" + std::to_string(Counted.Counts_.BadByCause_[Index]);
  for (const Outcome Reported :
       {Outcome::NotRun, Outcome::Ran, Outcome::Unknown}) {
    const std::uint64_t Count =
        Counted.Counts_.BadByOutcome_[static_cast<std::size_t>(Reported)];
    if (Count > 0)
      Text += std::string("  ") + outcomeName(Reported) + ":" +
              std::to_string(Count);
  }
  return Text + "\n";
}

std::string serviceText(const MergedBurn &Merged) {
  const BurnSnapshot &Total = Merged.Total_;
  char Objective[96];
  std::snprintf(Objective, sizeof Objective, "%g%% within %lldms over %ud",
                Total.Slo_.AvailabilityPercent_,
                static_cast<long long>(toMilliseconds(Total.Slo_.Latency_)),
                Total.Slo_.WindowDays_);
  std::string Text = Total.Customer_.str() + "/" + Total.Service_.str() +
                     ": objective " + Objective + ", " +
                     std::to_string(Merged.Hosts_) + " hosts counted for " +
                     formatDuration(Total.CountedFor_) + " to " +
                     formatDuration(Merged.LongestCounted_) + "\n";
  const std::optional<double> Left = budgetLeft(Total);
  char Budget[64] = "no requests";
  if (Left)
    std::snprintf(Budget, sizeof Budget, "%.1f%%", 100 * *Left);
  Text += std::string("  error budget left ") + Budget + ", alarm " +
          burnAlarmName(burnAlarm(Total)) + "\n";
  if (Merged.ObjectivesDiffer_)
    Text += "  hosts have different contract versions; the strictest "
            "availability is used\n";
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index)
    Text += windowLine(Total, static_cast<BurnWindow>(Index));
  return Text;
}

json numberOrNull(const std::optional<double> &Value) {
  return Value ? json(*Value) : json(nullptr);
}

json serviceToJson(const MergedBurn &Merged) {
  json Row = detail::burnToJson(Merged.Total_);
  for (json &Window : Row["windows"])
    for (std::size_t Index = 0; Index < BurnWindowCount; ++Index) {
      const BurnWindow RowWindow = static_cast<BurnWindow>(Index);
      if (Window["window"] == burnWindowName(RowWindow))
        Window["burn_rate"] =
            numberOrNull(windowRate(Merged.Total_, RowWindow));
    }
  Row["hosts"] = Merged.Hosts_;
  Row["longest_counted_ms"] = toMilliseconds(Merged.LongestCounted_);
  Row["objectives_differ"] = Merged.ObjectivesDiffer_;
  Row["budget_left"] = numberOrNull(budgetLeft(Merged.Total_));
  Row["alarm"] = burnAlarmName(burnAlarm(Merged.Total_));
  return Row;
}

} // namespace

BurnReport makeBurnReport(std::vector<HostFetchResult> Fetched) {
  std::vector<BurnSnapshot> Snapshots;
  for (const HostFetchResult &Host : Fetched)
    if (Host.Status_)
      Snapshots.insert(Snapshots.end(), Host.Status_->Burn_.begin(),
                       Host.Status_->Burn_.end());
  return BurnReport{mergeBurn(Snapshots), std::move(Fetched)};
}

std::string formatRate(const std::optional<double> &Rate) {
  if (!Rate)
    return "-";
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.3g", *Rate);
  return Text;
}

std::optional<double> windowRate(const BurnSnapshot &Value, BurnWindow Window) {
  const BurnCounts &Counts = Value.window(Window).Counts_;
  return burnRate(Counts.Good_, Counts.bad(), Value.Slo_);
}

std::string formatBurnText(const BurnReport &Report) {
  std::string Text;
  for (const MergedBurn &Service : Report.Services_)
    Text += serviceText(Service);
  if (Report.Services_.empty())
    Text += "no host that answered counts requests of a service\n";
  return Text + formatUnansweredHosts(Report.Hosts_);
}

std::string formatBurnJson(const BurnReport &Report) {
  json Services = json::array();
  for (const MergedBurn &Service : Report.Services_)
    Services.push_back(serviceToJson(Service));
  const json Document = {
      {"services", Services},
      {"not_answered", unansweredHostsToJson(Report.Hosts_)}};
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace kumquatpitch
