// Statistics over measured values, and the bounds of a benchmark: prints each
// check and derives the exit status of the program.

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

/// Compares measured values with their bounds and prints one line for each.
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

  /// Exit status for main(): 1 if at least one bound was exceeded, otherwise 0.
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

/// Quantile of the values at `Fraction` (0 to 1), for example 0.5 for the
/// median. Returns 0 if there are no values.
inline double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  const std::size_t Index = std::min(
      Values.size() - 1,
      static_cast<std::size_t>(Fraction * static_cast<double>(Values.size())));
  std::nth_element(Values.begin(), Values.begin() + Index, Values.end());
  return Values[Index];
}

/// Minimum, mean and maximum of a set of values.
struct Spread {
  double Min_ = 0;
  double Mean_ = 0;
  double Max_ = 0;
};

inline Spread spreadOf(const std::vector<double> &Values) {
  Spread Summary;
  if (Values.empty())
    return Summary;
  Summary.Min_ = *std::min_element(Values.begin(), Values.end());
  Summary.Max_ = *std::max_element(Values.begin(), Values.end());
  for (const double Value : Values)
    Summary.Mean_ += Value / static_cast<double>(Values.size());
  return Summary;
}

} // namespace kumquatpitch::bench

#endif
