// The plot of burn over time. See burn-html.h.

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
/// Lowest burn that the scale tells from none.
constexpr double LeastBurn = 0.1;
constexpr double MinutesShown = 360;
constexpr double LabelHeight = 12;

std::string number(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.1f", Value);
  return Text;
}

double xOfMinutesAgo(double Minutes) {
  return Right -
         (Right - Left) * std::min(Minutes, MinutesShown) / MinutesShown;
}

/// Maps burn from LeastBurn to the greatest possible, at which every request is
/// bad, to the height of the plot.
class BurnScale {
public:
  explicit BurnScale(const Objective &Slo)
      : Greatest_(100.0 / (100.0 - Slo.AvailabilityPercent_)) {}

  double y(double Burn) const {
    const double Shown = std::clamp(Burn, LeastBurn, Greatest_);
    const double Part =
        std::log(Shown / LeastBurn) / std::log(Greatest_ / LeastBurn);
    return Bottom - (Bottom - Top) * Part;
  }

  double greatest() const { return Greatest_; }

private:
  double Greatest_;
};

std::string text(double X, double Y, const char *Anchor,
                 const std::string &Content) {
  return "<text x=\"" + number(X) + "\" y=\"" + number(Y) +
         "\" text-anchor=\"" + Anchor + "\">" + Content + "</text>\n";
}

std::string line(double X1, double Y1, double X2, double Y2,
                 const char *Class) {
  return std::string("<line class=\"") + Class + "\" x1=\"" + number(X1) +
         "\" y1=\"" + number(Y1) + "\" x2=\"" + number(X2) + "\" y2=\"" +
         number(Y2) + "\"/>\n";
}

/// Horizontal lines at round values and at the alarm thresholds. A label that
/// would touch one below it is left out.
std::string grid(const BurnScale &Scale, const Objective &Slo) {
  std::string Out;
  double LastLabel = Bottom + 2 * LabelHeight;
  const auto Label = [&](double Y, const std::string &Content) {
    if (LastLabel - Y < LabelHeight)
      return;
    Out += text(Left - 6, Y + 4, "end", Content);
    LastLabel = Y;
  };
  for (double Value = LeastBurn; Value <= Scale.greatest() * 1.0001;
       Value *= 10) {
    Out += line(Left, Scale.y(Value), Right, Scale.y(Value), "grid");
    char Content[32];
    std::snprintf(Content, sizeof Content, "%g", Value);
    Label(Scale.y(Value),
          Value == LeastBurn ? std::string("0") : std::string(Content));
  }
  for (const BurnAlarm Alarm : {BurnAlarm::Slow, BurnAlarm::Fast}) {
    const double Rate = alarmThreshold(Alarm, Slo);
    Out +=
        line(Left, Scale.y(Rate), Right, Scale.y(Rate), burnAlarmName(Alarm));
    Out += text(Right, Scale.y(Rate) - 4, "end",
                std::string(burnAlarmName(Alarm)) + " alarm " + rateText(Rate));
  }
  for (int Hour = 0; Hour <= 6; ++Hour) {
    const double X = xOfMinutesAgo(Hour * 60.0);
    Out += line(X, Bottom, X, Bottom + 4, "axis");
    Out += text(X, Bottom + 18, "middle",
                Hour == 0 ? "now" : "-" + std::to_string(Hour) + " h");
  }
  return Out + line(Left, Bottom, Right, Bottom, "axis");
}

std::string dot(double X, double Y, const BurnPoint &Point, double Minutes,
                double Rate) {
  return "<circle cx=\"" + number(X) + "\" cy=\"" + number(Y) +
         "\" r=\"2.5\"><title>" + std::to_string(std::lround(Minutes)) +
         " min ago: burn " + rateText(Rate) + ", good " +
         std::to_string(Point.Good_) + ", bad " + std::to_string(Point.Bad_) +
         "</title></circle>\n";
}

/// Dots, joined where neighbouring points both have requests.
std::string curve(const BurnSnapshot &Value, const BurnScale &Scale) {
  const double PointMinutes =
      std::chrono::duration<double, std::ratio<60>>(BurnPointLength).count();
  std::string Path;
  std::string Dots;
  bool IsJoined = false;
  for (std::size_t Index = 0; Index < Value.Series_.size(); ++Index) {
    const BurnPoint &Point = Value.Series_[Index];
    const std::optional<double> Rate =
        burnRate(Point.Good_, Point.Bad_, Value.Slo_);
    if (!Rate) {
      IsJoined = false;
      continue;
    }
    const double Minutes = (static_cast<double>(Index) + 0.5) * PointMinutes;
    const double X = xOfMinutesAgo(Minutes);
    const double Y = Scale.y(*Rate);
    Path += (IsJoined ? " L" : " M") + number(X) + " " + number(Y);
    Dots += dot(X, Y, Point, Minutes, *Rate);
    IsJoined = true;
  }
  return Path.empty()
             ? Dots
             : "<path class=\"burn\" d=\"" + Path.substr(1) + "\"/>\n" + Dots;
}

/// Marks the age beyond which some hosts had not begun to count.
std::string coverage(const MergedBurn &Merged) {
  const double Minutes =
      std::chrono::duration<double, std::ratio<60>>(Merged.Total_.CountedFor_)
          .count();
  if (Minutes >= MinutesShown)
    return {};
  const double X = xOfMinutesAgo(Minutes);
  const bool IsAtLeft = X < (Left + Right) / 2;
  return line(X, Top, X, Bottom, "cover") +
         text(IsAtLeft ? X + 4 : X - 4, Top + 10, IsAtLeft ? "start" : "end",
              "all hosts count from here on");
}

} // namespace

std::string burnPlot(const MergedBurn &Merged) {
  const BurnSnapshot &Total = Merged.Total_;
  const BurnScale Scale(Total.Slo_);
  return "<svg viewBox=\"0 0 " + number(Width) + " " + number(Height) +
         "\" role=\"img\" aria-label=\"Burn rate of " +
         htmlText(Total.Service_.str()) +
         " in steps of five minutes over six hours\">\n" +
         grid(Scale, Total.Slo_) + coverage(Merged) + curve(Total, Scale) +
         "</svg>\n";
}

} // namespace kumquatpitch
