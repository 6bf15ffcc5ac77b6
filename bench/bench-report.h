// Figures and bounds of a benchmark: prints them and gives the exit status.

#ifndef KUMQUATPITCH_BENCH_REPORT_H
#define KUMQUATPITCH_BENCH_REPORT_H

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <vector>

namespace kumquatpitch::bench {

/// True when `--short` is among the arguments.
inline bool isShort(int Argc, char **Argv) {
  for (int Index = 1; Index < Argc; ++Index)
    if (std::strcmp(Argv[Index], "--short") == 0)
      return true;
  return false;
}

/// Bounds that a run has to keep.
class BoundChecks {
public:
  void atMost(const char *Name, double Value, double Bound) {
    check(Name, Value, "<=", Bound, Value <= Bound);
  }

  void below(const char *Name, double Value, double Bound) {
    check(Name, Value, "<", Bound, Value < Bound);
  }

  void atLeast(const char *Name, double Value, double Bound) {
    check(Name, Value, ">=", Bound, Value >= Bound);
  }

  /// Status for main(): 1 when a bound was broken.
  int exitStatus() const { return Broken_ ? 1 : 0; }

private:
  void check(const char *Name, double Value, const char *Relation, double Bound,
             bool Holds) {
    std::printf("%s %s: %.6g %s %.4g\n", Holds ? "ok    " : "BROKEN", Name,
                Value, Relation, Bound);
    Broken_ = Broken_ || !Holds;
  }

  bool Broken_ = false;
};

/// Value at `Part` (0 to 1) of the sorted values; 0 when there are none.
inline double quantile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  const std::size_t At = std::min(
      Values.size() - 1,
      static_cast<std::size_t>(Part * static_cast<double>(Values.size())));
  std::nth_element(Values.begin(), Values.begin() + At, Values.end());
  return Values[At];
}

/// Smallest, mean and largest of a set of values.
struct Spread {
  double Min_ = 0;
  double Mean_ = 0;
  double Max_ = 0;
};

inline Spread spreadOf(const std::vector<double> &Values) {
  Spread Found;
  if (Values.empty())
    return Found;
  Found.Min_ = *std::min_element(Values.begin(), Values.end());
  Found.Max_ = *std::max_element(Values.begin(), Values.end());
  for (const double Value : Values)
    Found.Mean_ += Value / static_cast<double>(Values.size());
  return Found;
}

} // namespace kumquatpitch::bench

#endif
