// HTML page of the burn command. See burn-html.h; the plot is in burn-plot.cc.

#include "kumquatpitch/burn-html.h"

#include "kumquatpitch/status-report.h"

#include <algorithm>
#include <cstdio>

namespace kumquatpitch {

namespace {

constexpr char Head[] = R"(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<meta name="color-scheme" content="light dark">
<meta http-equiv="Content-Security-Policy" content="default-src 'none'; style-src 'unsafe-inline'">
<title>Burn rates</title>
<style>
:root { --page: #fdfdfc; --text: #22262a; --soft: #5c646c; --rule: #d9dde0;
  --burn: #1f5f99; --slow: #8a6100; --fast: #a8321f; --notice: #fbf3df; }
@media (prefers-color-scheme: dark) {
:root { --page: #16191c; --text: #e2e5e8; --soft: #9aa3ab; --rule: #353b41;
  --burn: #7db8ea; --slow: #d9ae4a; --fast: #f0907d; --notice: #2c2718; } }
body { margin: 0 auto; max-width: 62rem; padding: 1.5rem; line-height: 1.5;
  background: var(--page); color: var(--text);
  font-family: system-ui, sans-serif; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2.5rem; }
p.sub, caption, dd { color: var(--soft); }
.notice { background: var(--notice); border-left: 4px solid var(--slow);
  padding: .5rem 1rem; }
.alarm-slow { color: var(--slow); font-weight: 600; }
.alarm-fast { color: var(--fast); font-weight: 600; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%;
  font-variant-numeric: tabular-nums; }
caption { text-align: left; padding: .25rem 0; }
th, td { border-bottom: 1px solid var(--rule); padding: .3rem .6rem;
  text-align: right; white-space: nowrap; }
th:first-child, td:first-child { text-align: left; }
th { font-weight: 600; }
svg { width: 100%; height: auto; margin: .5rem 0; }
svg text { fill: var(--soft); font-size: 11px; }
svg .grid { stroke: var(--rule); } svg .axis { stroke: var(--soft); }
svg .slow { stroke: var(--slow); stroke-dasharray: 6 4; }
svg .fast { stroke: var(--fast); stroke-dasharray: 6 4; }
svg .cover { stroke: var(--soft); stroke-dasharray: 2 3; }
svg .burn { fill: none; stroke: var(--burn); stroke-width: 1.5; }
svg circle { fill: var(--burn); }
dt { font-weight: 600; } dd { margin: 0 0 .6rem 0; }
</style>
</head>
<body>
)";

constexpr char Definitions[] = R"(<h2>Definitions</h2>
<dl>
<dt>Bad request</dt>
<dd>A request that was refused or failed, was answered with a server error, or
was answered later than the latency objective. Requests that failed through the
caller's own mistake, requests whose caller disconnected, and resent requests do
not count.</dd>
<dt>Burn rate</dt>
<dd>The share of bad requests divided by the share that the objective allows. At
a rate of 1 the error budget lasts exactly for the objective's window.</dd>
<dt>Error budget left</dt>
<dd>The part of the allowed bad requests not yet used, over the requests counted
so far in the objective's window. Negative when overspent.</dd>
<dt>Alarm</dt>
<dd>Fast: the 5 min and 1 h windows both burn at a rate that uses 2% of the
budget in 1 h. Slow: the 30 min and 6 h windows both burn at a rate that uses 5%
in 6 h. Thresholds are at least 1 and at most the rate at which every request is
bad.</dd>
<dt>Covered</dt>
<dd>The part of a window in which every host counted requests. A host counts
from its own start and loses its counts when it stops. The counts of hosts that
were replaced or did not answer are missing; no estimate replaces them.</dd>
<dt>Causes</dt>
<dd>ejected: no backend server was usable. shed: refused by a full queue or
pool, or by the backend server. over_limit: above the contract's limit on rate
or concurrency. deadline: not answered by the deadline. unknown: it is not known
whether the request ran. slow: answered later than the latency objective.
failed: answered with a server error.</dd>
<dt>Plot</dt>
<dd>Burn rate in intervals of five minutes on a logarithmic scale; 0 stands for
0.1 and less. Intervals without requests are empty. Hosts are aligned by the age
of their counts, to within a minute.</dd>
</dl>
</body>
</html>
)";

std::string cell(const std::string &Content) {
  return "<td>" + escapeHtml(Content) + "</td>";
}

std::string windowRow(const BurnSnapshot &Value, BurnWindow Window) {
  const WindowCounts &Counted = Value.window(Window);
  return "<tr>" + cell(burnWindowName(Window)) +
         cell(formatRate(windowRate(Value, Window))) +
         cell(std::to_string(Counted.Counts_.Good_)) +
         cell(std::to_string(Counted.Counts_.bad())) +
         cell(formatDuration(Counted.Covered_)) + "</tr>\n";
}

std::string windowTable(const BurnSnapshot &Value) {
  std::string Html =
      "<div class=\"scroll\"><table><caption>Requests and burn rate</caption>\n"
      "<tr><th>window</th><th>burn rate</th><th>good</th><th>bad</th>"
      "<th>covered</th></tr>\n";
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index)
    Html += windowRow(Value, static_cast<BurnWindow>(Index));
  return Html + "</table></div>\n";
}

std::string badRequestRow(const BurnSnapshot &Value, BurnWindow Window) {
  const BurnCounts &Counts = Value.window(Window).Counts_;
  std::string Html = "<tr>" + cell(burnWindowName(Window));
  for (const std::uint64_t Count : Counts.BadByCause_)
    Html += cell(std::to_string(Count));
  for (const std::uint64_t Count : Counts.BadByOutcome_)
    Html += cell(std::to_string(Count));
  return Html + "</tr>\n";
}

std::string badRequestTable(const BurnSnapshot &Value) {
  std::string Html =
      "<div class=\"scroll\"><table><caption>Bad requests by "
      "cause, and by the outcome reported to the caller</caption>\n<tr>"
      "<th>window</th>";
  for (std::size_t Index = 0; Index < BurnCauseCount; ++Index)
    Html += std::string("<th>") + burnCauseName(static_cast<BurnCause>(Index)) +
            "</th>";
  for (const Outcome Reported :
       {Outcome::NotRun, Outcome::Ran, Outcome::Unknown})
    Html += std::string("<th>reported ") + outcomeName(Reported) + "</th>";
  Html += "</tr>\n";
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index)
    Html += badRequestRow(Value, static_cast<BurnWindow>(Index));
  return Html + "</table></div>\n";
}

std::string summary(const MergedBurn &Merged) {
  const BurnSnapshot &Total = Merged.Total_;
  const char *Alarm = burnAlarmName(burnAlarm(Total));
  const std::optional<double> BudgetLeft = budgetLeft(Total);
  char ObjectiveText[200];
  std::snprintf(ObjectiveText, sizeof ObjectiveText,
                "Objective: %g%% good, within %lld ms, over %u days. ",
                Total.Slo_.AvailabilityPercent_,
                static_cast<long long>(toMilliseconds(Total.Slo_.Latency_)),
                Total.Slo_.WindowDays_);
  std::string Html = std::string("<p>Alarm: <span class=\"alarm-") + Alarm +
                     "\">" + Alarm + "</span>. Error budget left: ";
  char Share[32] = "no requests counted";
  if (BudgetLeft)
    std::snprintf(Share, sizeof Share, "%.1f%%", 100 * *BudgetLeft);
  Html += std::string(Share) + ".</p>\n<p class=\"sub\">" + ObjectiveText +
          std::to_string(Merged.Hosts_) + " hosts, counting for " +
          formatDuration(Total.CountedFor_) + " to " +
          formatDuration(Merged.LongestCounted_) + ".</p>\n";
  if (Merged.ObjectivesDiffer_)
    Html += "<p class=\"notice\">Hosts have different contract versions; the "
            "strictest availability is used.</p>\n";
  return Html;
}

std::string serviceSection(const MergedBurn &Merged) {
  const BurnSnapshot &Total = Merged.Total_;
  return "<h2>" + escapeHtml(Total.Customer_.str()) + " / " +
         escapeHtml(Total.Service_.str()) + "</h2>\n" + summary(Merged) +
         formatBurnPlot(Merged) + windowTable(Total) + badRequestTable(Total);
}

std::string notice(const std::vector<HostFetchResult> &Hosts) {
  if (allHostsAnswered(Hosts))
    return {};
  std::string Html =
      "<div class=\"notice\"><p>These hosts did not answer. Their "
      "counts are missing below.</p>\n<ul>\n";
  for (const HostFetchResult &Host : Hosts)
    if (!Host.Status_)
      Html += "<li>" + escapeHtml(formatHostAddress(Host.From_)) + ": " +
              escapeHtml(Host.Failure_.Message_) + "</li>\n";
  return Html + "</ul></div>\n";
}

} // namespace

std::string escapeHtml(const std::string &Text) {
  std::string Escaped;
  for (const char Character : Text) {
    switch (Character) {
    case '&':
      Escaped += "&amp;";
      break;
    case '<':
      Escaped += "&lt;";
      break;
    case '>':
      Escaped += "&gt;";
      break;
    case '"':
      Escaped += "&quot;";
      break;
    case '\'':
      Escaped += "&#39;";
      break;
    default:
      Escaped += Character;
    }
  }
  return Escaped;
}

std::string formatBurnHtml(const BurnReport &Report,
                           const std::string &GeneratedAt) {
  const std::ptrdiff_t Answered =
      std::count_if(Report.Hosts_.begin(), Report.Hosts_.end(),
                    [](const HostFetchResult &Host) { return Host.Status_; });
  std::string Page = Head;
  Page += "<h1>Burn rates</h1>\n<p class=\"sub\">Generated at " +
          escapeHtml(GeneratedAt) + " from " + std::to_string(Answered) +
          " of " + std::to_string(Report.Hosts_.size()) + " hosts.</p>\n" +
          notice(Report.Hosts_);
  if (Report.Services_.empty())
    Page += "<p>No host that answered counts requests of a service.</p>\n";
  for (const MergedBurn &Service : Report.Services_)
    Page += serviceSection(Service);
  return Page + Definitions;
}

} // namespace kumquatpitch
