// Parsing of the headers that describe a target. See target-report.h.

#include "kumquatpitch/target-report.h"

#include "kumquatpitch/parse-number.h"

#include <cmath>
#include <cstdio>

namespace kumquatpitch {

namespace {

std::optional<ReportedLoad> parseLoad(const std::string &Text) {
  const std::size_t Comma = Text.find(',');
  if (Comma == std::string::npos)
    return std::nullopt;
  const std::size_t Next = Text.find(',', Comma + 1);
  const std::optional<std::uint32_t> Running =
      parseNumber<std::uint32_t>(Text.substr(0, Comma));
  const std::optional<std::uint32_t> Waiting =
      parseNumber<std::uint32_t>(Text.substr(Comma + 1, Next - Comma - 1));
  if (!Running || !Waiting)
    return std::nullopt;
  return ReportedLoad{*Running, *Waiting};
}

std::optional<double> parseRateLimit(const std::string &Text) {
  const std::optional<double> PerSecond = parseNumber<double>(Text);
  if (!PerSecond || !std::isfinite(*PerSecond) || *PerSecond < 0)
    return std::nullopt;
  return PerSecond;
}

} // namespace

TargetReport parseTargetReport(const std::string *Load,
                               const std::string *RateLimit,
                               const std::string *Leaving) {
  TargetReport Report;
  if (Load)
    Report.Load_ = parseLoad(*Load);
  Report.RateLimit_ = RateLimit ? parseRateLimit(*RateLimit) : NoRateLimit;
  if (Leaving && (*Leaving == "1" || *Leaving == "0"))
    Report.IsLeaving_ = *Leaving == "1";
  else if (Leaving)
    Report.IsLeaving_ = std::nullopt;
  return Report;
}

std::string formatRateLimit(double PerSecond) {
  if (PerSecond == NoRateLimit)
    return "none";
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.4g", PerSecond);
  return Text;
}

} // namespace kumquatpitch
