// Burn snapshots as JSON. See burn-json.h.

#include "kumquatpitch/burn-json.h"

namespace kumquatpitch::detail {

namespace {

constexpr double LeastAvailability = 50.0;
constexpr double MostAvailability = 99.999;
constexpr std::uint64_t MaxLatencyMs = 120'000;
constexpr std::uint64_t MaxWindowDays = 90;
/// Sums over thousands of hosts stay within 64 bits.
constexpr std::uint64_t MaxCount = 1ULL << 50;
constexpr Outcome Outcomes[] = {Outcome::NotRun, Outcome::Ran,
                                Outcome::Unknown};

nlohmann::json countsToJson(const BurnCounts &Counts) {
  nlohmann::json ByCause = nlohmann::json::object();
  for (std::size_t Index = 0; Index < BurnCauseCount; ++Index)
    ByCause[burnCauseName(static_cast<BurnCause>(Index))] =
        Counts.BadByCause_[Index];
  nlohmann::json ByOutcome = nlohmann::json::object();
  for (const Outcome Each : Outcomes)
    ByOutcome[outcomeName(Each)] =
        Counts.BadByOutcome_[static_cast<std::size_t>(Each)];
  return {{"good", Counts.Good_},
          {"bad", Counts.bad()},
          {"bad_by_cause", ByCause},
          {"bad_by_outcome", ByOutcome}};
}

BurnCounts readCounts(JsonReader &Reader) {
  BurnCounts Read;
  Read.Good_ = Reader.number("good", 0, MaxCount);
  const std::uint64_t Bad = Reader.number("bad", 0, MaxCount);
  std::uint64_t Told = 0;
  Reader.optionalObject("bad_by_cause", [&](JsonReader &Nested) {
    for (std::size_t Index = 0; Index < BurnCauseCount; ++Index)
      Read.BadByCause_[Index] = Nested.number(
          burnCauseName(static_cast<BurnCause>(Index)), 0, MaxCount);
  });
  Reader.optionalObject("bad_by_outcome", [&](JsonReader &Nested) {
    for (const Outcome Each : Outcomes) {
      const std::uint64_t Count = Nested.number(outcomeName(Each), 0, MaxCount);
      Read.BadByOutcome_[static_cast<std::size_t>(Each)] = Count;
      Told += Count;
    }
  });
  if (Read.bad() != Bad || Told != Bad)
    Reader.reject("bad", "must be the sum by cause and the sum by outcome");
  return Read;
}

BurnWindow readWindows(JsonReader &Reader, BurnSnapshot &Read) {
  const std::size_t Index =
      Reader.choice("window", {"5m", "30m", "1h", "6h", "slo"});
  WindowCounts &Window = Read.Windows_[Index];
  Window.Covered_ = Reader.milliseconds("covered_ms", 0, MaxReportedMs);
  Window.Counts_ = readCounts(Reader);
  return static_cast<BurnWindow>(Index);
}

} // namespace

nlohmann::json burnToJson(const BurnSnapshot &Value) {
  nlohmann::json Windows = nlohmann::json::array();
  for (std::size_t Index = 0; Index < BurnWindowCount; ++Index) {
    const WindowCounts &Window = Value.Windows_[Index];
    nlohmann::json Row = countsToJson(Window.Counts_);
    Row["window"] = burnWindowName(static_cast<BurnWindow>(Index));
    Row["covered_ms"] = toMilliseconds(Window.Covered_);
    Windows.push_back(Row);
  }
  nlohmann::json Series = nlohmann::json::array();
  for (const BurnPoint &Point : Value.Series_)
    Series.push_back({{"good", Point.Good_}, {"bad", Point.Bad_}});
  return {{"customer", Value.Customer_.str()},
          {"service", Value.Service_.str()},
          {"slo",
           {{"availability_percent", Value.Slo_.AvailabilityPercent_},
            {"latency_ms", toMilliseconds(Value.Slo_.Latency_)},
            {"window_days", Value.Slo_.WindowDays_}}},
          {"counted_ms", toMilliseconds(Value.CountedFor_)},
          {"windows", Windows},
          {"series_5m", Series}};
}

BurnSnapshot readBurn(JsonReader &Reader) {
  BurnSnapshot Read;
  Read.Customer_ = Reader.name<CustomerTag>("customer");
  Read.Service_ = Reader.name<ServiceTag>("service");
  bool HasObjective = false;
  Reader.optionalObject("slo", [&](JsonReader &Nested) {
    HasObjective = true;
    Read.Slo_.AvailabilityPercent_ = Nested.decimal(
        "availability_percent", LeastAvailability, MostAvailability);
    Read.Slo_.Latency_ = Nested.milliseconds("latency_ms", 1, MaxLatencyMs);
    Read.Slo_.WindowDays_ = static_cast<std::uint32_t>(
        Nested.number("window_days", 1, MaxWindowDays));
  });
  if (!HasObjective)
    Reader.reject("slo", "is missing");
  Read.CountedFor_ = Reader.milliseconds("counted_ms", 0, MaxReportedMs);
  unsigned Seen = 0;
  Reader.objects("windows", BurnWindowCount, BurnWindowCount,
                 [&](JsonReader &Element) {
                   const BurnWindow Window = readWindows(Element, Read);
                   Seen |= 1U << static_cast<unsigned>(Window);
                 });
  if (Seen != (1U << BurnWindowCount) - 1)
    Reader.reject("windows", "must hold each window once");
  Reader.objects("series_5m", 0, MaxBurnPoints, [&](JsonReader &Element) {
    const std::uint64_t Good = Element.number("good", 0, MaxCount);
    Read.Series_.push_back(BurnPoint{Good, Element.number("bad", 0, MaxCount)});
  });
  return Read;
}

} // namespace kumquatpitch::detail
