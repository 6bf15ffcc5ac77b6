// SVG plot of the burn rate over time. See burn-html.h.

#include "kumquatpitch/burn-html.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace kumquatpitch {

namespace {

constexpr double Width = 720;
constexpr double Height = 240;
constexpr double Left = 56;
constexpr double Right = 704;
constexpr double Top = 16;
constexpr double Bottom = 204;
/// Lower end of the logarithmic scale; lower burn rates, and 0, are drawn here.
constexpr double MinBurn = 0.1;
constexpr double MinutesShown = 360;
constexpr double LabelHeight = 12;

std::string formatNumber(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.1f", Value);
  return Text;
}

double xOfMinutesAgo(double Minutes) {
  return Right -
         (Right - Left) * std::min(Minutes, MinutesShown) / MinutesShown;
}

/// Maps a burn rate to a y coordinate. The scale is logarithmic, from MinBurn
/// to the maximum rate, at which every request is bad.
class BurnScale {
public:
  explicit BurnScale(const Objective &Slo)
      : Max_(100.0 / (100.0 - Slo.AvailabilityPercent_)) {}

  double y(double Burn) const {
    const double Clamped = std::clamp(Burn, MinBurn, Max_);
    const double Fraction =
        std::log(Clamped / MinBurn) / std::log(Max_ / MinBurn);
    return Bottom - (Bottom - Top) * Fraction;
  }

  double max() const { return Max_; }

private:
  double Max_;
};

std::string text(double X, double Y, const char *Anchor,
                 const std::string &Content) {
  return "<text x=\"" + formatNumber(X) + "\" y=\"" + formatNumber(Y) +
         "\" text-anchor=\"" + Anchor + "\">" + Content + "</text>\n";
}

std::string line(double X1, double Y1, double X2, double Y2,
                 const char *Class) {
  return std::string("<line class=\"") + Class + "\" x1=\"" + formatNumber(X1) +
         "\" y1=\"" + formatNumber(Y1) + "\" x2=\"" + formatNumber(X2) +
         "\" y2=\"" + formatNumber(Y2) + "\"/>\n";
}

/// Horizontal lines at powers of ten and at the alarm thresholds, and the time
/// axis. Labels of powers of ten that would overlap the one below are left out.
std::string grid(const BurnScale &Scale, const Objective &Slo) {
  std::string Svg;
  double LastLabelY = Bottom + 2 * LabelHeight;
  const auto Label = [&](double Y, const std::string &Content) {
    if (LastLabelY - Y < LabelHeight)
      return;
    Svg += text(Left - 6, Y + 4, "end", Content);
    LastLabelY = Y;
  };
  for (double Value = MinBurn; Value <= Scale.max() * 1.0001; Value *= 10) {
    Svg += line(Left, Scale.y(Value), Right, Scale.y(Value), "grid");
    char Content[32];
    std::snprintf(Content, sizeof Content, "%g", Value);
    Label(Scale.y(Value),
          Value == MinBurn ? std::string("0") : std::string(Content));
  }
  for (const BurnAlarm Alarm : {BurnAlarm::Slow, BurnAlarm::Fast}) {
    const double Rate = alarmThreshold(Alarm, Slo);
    Svg +=
        line(Left, Scale.y(Rate), Right, Scale.y(Rate), burnAlarmName(Alarm));
    Svg +=
        text(Right, Scale.y(Rate) - 4, "end",
             std::string(burnAlarmName(Alarm)) + " alarm " + formatRate(Rate));
  }
  for (int Hour = 0; Hour <= 6; ++Hour) {
    const double X = xOfMinutesAgo(Hour * 60.0);
    Svg += line(X, Bottom, X, Bottom + 4, "axis");
    Svg += text(X, Bottom + 18, "middle",
                Hour == 0 ? "now" : "-" + std::to_string(Hour) + " h");
  }
  return Svg + line(Left, Bottom, Right, Bottom, "axis");
}

std::string dot(double X, double Y, const BurnPoint &Point, double Minutes,
                double Rate) {
  return "<circle cx=\"" + formatNumber(X) + "\" cy=\"" + formatNumber(Y) +
         "\" r=\"2.5\"><title>" + std::to_string(std::lround(Minutes)) +
         " min ago: burn " + formatRate(Rate) + ", good " +
         std::to_string(Point.Good_) + ", bad " + std::to_string(Point.Bad_) +
         "</title></circle>\n";
}

/// One dot for each point with requests; a line joins adjacent dots.
std::string curve(const BurnSnapshot &Value, const BurnScale &Scale) {
  const double PointMinutes =
      std::chrono::duration<double, std::ratio<60>>(BurnPointLength).count();
  std::string Path;
  std::string Dots;
  bool HasPrevious = false;
  for (std::size_t Index = 0; Index < Value.Series_.size(); ++Index) {
    const BurnPoint &Point = Value.Series_[Index];
    const std::optional<double> Rate =
        burnRate(Point.Good_, Point.Bad_, Value.Slo_);
    if (!Rate) {
      HasPrevious = false;
      continue;
    }
    const double Minutes = (static_cast<double>(Index) + 0.5) * PointMinutes;
    const double X = xOfMinutesAgo(Minutes);
    const double Y = Scale.y(*Rate);
    Path +=
        (HasPrevious ? " L" : " M") + formatNumber(X) + " " + formatNumber(Y);
    Dots += dot(X, Y, Point, Minutes, *Rate);
    HasPrevious = true;
  }
  return Path.empty()
             ? Dots
             : "<path class=\"burn\" d=\"" + Path.substr(1) + "\"/>\n" + Dots;
}

/// Marks the time since which all hosts have counted requests.
std::string coverage(const MergedBurn &Merged) {
  const double Minutes =
      std::chrono::duration<double, std::ratio<60>>(Merged.Total_.CountedFor_)
          .count();
  if (Minutes >= MinutesShown)
    return {};
  const double X = xOfMinutesAgo(Minutes);
  const bool IsInLeftHalf = X < (Left + Right) / 2;
  return line(X, Top, X, Bottom, "cover") +
         text(IsInLeftHalf ? X + 4 : X - 4, Top + 10,
              IsInLeftHalf ? "start" : "end", "all hosts count from here on");
}

} // namespace

std::string formatBurnPlot(const MergedBurn &Merged) {
  const BurnSnapshot &Total = Merged.Total_;
  const BurnScale Scale(Total.Slo_);
  return "<svg viewBox=\"0 0 " + formatNumber(Width) + " " +
         formatNumber(Height) + "\" role=\"img\" aria-label=\"Burn rate of " +
         escapeHtml(Total.Service_.str()) +
         " in steps of five minutes over six hours\">\n" +
         grid(Scale, Total.Slo_) + coverage(Merged) + curve(Total, Scale) +
         "</svg>\n";
}

} // namespace kumquatpitch
