// The burn page. See burn-html.h; the plot is in burn-plot.cc.

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
<dd>One that was refused or failed, was answered with a server error, or was
answered later than the objective's latency. Requests that failed by the
caller's own mistake, callers that left, and resent requests do not count.</dd>
<dt>Burn rate</dt>
<dd>The share of bad requests divided by the share that the objective allows. At
1 the error budget lasts exactly for the objective's window.</dd>
<dt>Error budget left</dt>
<dd>The part of the allowed bad requests not yet used, over the requests counted
so far in the objective's window. Negative when overspent.</dd>
<dt>Alarm</dt>
<dd>Fast: the 5 min and 1 h windows both burn at a rate that uses 2% of the
budget in 1 h. Slow: 30 min and 6 h, 5% in 6 h. Thresholds are at least 1 and at
most the rate at which every request is bad.</dd>
<dt>Covered</dt>
<dd>The part of a window that every host counted. A host counts from its own
start and keeps nothing beyond its life. What hosts that were replaced or did
not answer had counted is missing, and nothing is estimated in its place.</dd>
<dt>Causes</dt>
<dd>ejected: no target was usable. shed: refused by a full queue or pool, or by
the backend server. over_limit: above the contract's rate or requests in
progress. deadline: not answered in time. unknown: it cannot be told whether the
request ran. slow: answered too late. failed: answered with a server error.</dd>
<dt>Plot</dt>
<dd>Burn rate in steps of five minutes on a logarithmic scale; 0 stands for 0.1
and less. Steps without requests are empty. Hosts are aligned by the age of their
counts, to within a minute.</dd>
</dl>
</body>
</html>
)";

std::string cell(const std::string &Content) {
  return "<td>" + htmlText(Content) + "</td>";
}

std::string windowRow(const BurnSnapshot &Value, BurnWindow Window) {
  const WindowCounts &Counted = Value.window(Window);
  return "<tr>" + cell(burnWindowName(Window)) +
         cell(rateText(windowRate(Value, Window))) +
         cell(std::to_string(Counted.Counts_.Good_)) +
         cell(std::to_string(Counted.Counts_.bad())) +
         cell(spanText(Counted.Covered_)) + "</tr>\n";
}

std::string windowTable(const BurnSnapshot &Value) {
  std::string Out =
      "<div class=\"scroll\"><table><caption>Requests and burn rate</caption>\n"
      "<tr><th>window</th><th>burn rate</th><th>good</th><th>bad</th>"
      "<th>covered</th></tr>\n";
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index)
    Out += windowRow(Value, static_cast<BurnWindow>(Index));
  return Out + "</table></div>\n";
}

std::string badRow(const BurnSnapshot &Value, BurnWindow Window) {
  const BurnCounts &Counts = Value.window(Window).Counts_;
  std::string Out = "<tr>" + cell(burnWindowName(Window));
  for (const std::uint64_t Count : Counts.BadByCause_)
    Out += cell(std::to_string(Count));
  for (const std::uint64_t Count : Counts.BadByOutcome_)
    Out += cell(std::to_string(Count));
  return Out + "</tr>\n";
}

std::string badTable(const BurnSnapshot &Value) {
  std::string Out = "<div class=\"scroll\"><table><caption>Bad requests by "
                    "cause, and by what the caller was told</caption>\n<tr>"
                    "<th>window</th>";
  for (std::size_t Index = 0; Index < BurnCauseCount; ++Index)
    Out += std::string("<th>") + burnCauseName(static_cast<BurnCause>(Index)) +
           "</th>";
  for (const Outcome Each : {Outcome::NotRun, Outcome::Ran, Outcome::Unknown})
    Out += std::string("<th>told ") + outcomeName(Each) + "</th>";
  Out += "</tr>\n";
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index)
    Out += badRow(Value, static_cast<BurnWindow>(Index));
  return Out + "</table></div>\n";
}

std::string summary(const MergedBurn &Merged) {
  const BurnSnapshot &Total = Merged.Total_;
  const char *Alarm = burnAlarmName(burnAlarm(Total));
  const std::optional<double> BudgetLeft = budgetLeft(Total);
  char Text[200];
  std::snprintf(Text, sizeof Text,
                "Objective: %g%% good, within %lld ms, over %u days. ",
                Total.Slo_.AvailabilityPercent_,
                static_cast<long long>(toMilliseconds(Total.Slo_.Latency_)),
                Total.Slo_.WindowDays_);
  std::string Out = std::string("<p>Alarm: <span class=\"alarm-") + Alarm +
                    "\">" + Alarm + "</span>. Error budget left: ";
  char Share[32] = "no requests counted";
  if (BudgetLeft)
    std::snprintf(Share, sizeof Share, "%.1f%%", 100 * *BudgetLeft);
  Out += std::string(Share) + ".</p>\n<p class=\"sub\">" + Text +
         std::to_string(Merged.Hosts_) + " hosts, counting for " +
         spanText(Total.CountedFor_) + " to " +
         spanText(Merged.LongestCounted_) + ".</p>\n";
  if (Merged.ObjectivesDiffer_)
    Out += "<p class=\"notice\">Hosts have different contract versions; the "
           "strictest availability is used.</p>\n";
  return Out;
}

std::string section(const MergedBurn &Merged) {
  const BurnSnapshot &Total = Merged.Total_;
  return "<h2>" + htmlText(Total.Customer_.str()) + " / " +
         htmlText(Total.Service_.str()) + "</h2>\n" + summary(Merged) +
         burnPlot(Merged) + windowTable(Total) + badTable(Total);
}

std::string notice(const std::vector<FetchedHost> &Hosts) {
  if (allAnswered(Hosts))
    return {};
  std::string Out = "<div class=\"notice\"><p>These hosts did not answer. What "
                    "they counted is missing below.</p>\n<ul>\n";
  for (const FetchedHost &Each : Hosts)
    if (!Each.Status_)
      Out += "<li>" + htmlText(hostAddressText(Each.From_)) + ": " +
             htmlText(Each.Failure_.Message_) + "</li>\n";
  return Out + "</ul></div>\n";
}

} // namespace

std::string htmlText(const std::string &Text) {
  std::string Out;
  for (const char Each : Text) {
    switch (Each) {
    case '&':
      Out += "&amp;";
      break;
    case '<':
      Out += "&lt;";
      break;
    case '>':
      Out += "&gt;";
      break;
    case '"':
      Out += "&quot;";
      break;
    case '\'':
      Out += "&#39;";
      break;
    default:
      Out += Each;
    }
  }
  return Out;
}

std::string formatBurnHtml(const BurnReport &Report,
                           const std::string &MadeAt) {
  const std::ptrdiff_t Answered =
      std::count_if(Report.Hosts_.begin(), Report.Hosts_.end(),
                    [](const FetchedHost &Each) { return Each.Status_; });
  std::string Page = Head;
  Page += "<h1>Burn rates</h1>\n<p class=\"sub\">Made at " + htmlText(MadeAt) +
          " from " + std::to_string(Answered) + " of " +
          std::to_string(Report.Hosts_.size()) + " hosts.</p>\n" +
          notice(Report.Hosts_);
  if (Report.Services_.empty())
    Page += "<p>No service is counted on the hosts that answered.</p>\n";
  for (const MergedBurn &Each : Report.Services_)
    Page += section(Each);
  return Page + Definitions;
}

} // namespace kumquatpitch
