// Writes and reads burn snapshots as JSON. See burn-json.h.

#include "kumquatpitch/burn-json.h"

namespace kumquatpitch::detail {

namespace {

constexpr double MinAvailabilityPercent = 50.0;
constexpr double MaxAvailabilityPercent = 99.999;
constexpr std::uint64_t MaxLatencyMs = 120'000;
constexpr std::uint64_t MaxWindowDays = 90;
/// Limit for each count, so that sums over thousands of hosts fit in 64 bits.
constexpr std::uint64_t MaxCount = 1ULL << 50;
constexpr Outcome Outcomes[] = {Outcome::NotRun, Outcome::Ran,
                                Outcome::Unknown};

nlohmann::json countsToJson(const BurnCounts &Counts) {
  nlohmann::json ByCause = nlohmann::json::object();
  for (std::size_t Index = 0; Index < BurnCauseCount; ++Index)
    ByCause[burnCauseName(static_cast<BurnCause>(Index))] =
        Counts.BadByCause_[Index];
  nlohmann::json ByOutcome = nlohmann::json::object();
  for (const Outcome Reported : Outcomes)
    ByOutcome[outcomeName(Reported)] =
        Counts.BadByOutcome_[static_cast<std::size_t>(Reported)];
  return {{"good", Counts.Good_},
          {"bad", Counts.bad()},
          {"bad_by_cause", ByCause},
          {"bad_by_outcome", ByOutcome}};
}

BurnCounts readCounts(JsonReader &Reader) {
  BurnCounts Counts;
  Counts.Good_ = Reader.number("good", 0, MaxCount);
  const std::uint64_t Bad = Reader.number("bad", 0, MaxCount);
  std::uint64_t BadByOutcomeSum = 0;
  Reader.optionalObject("bad_by_cause", [&](JsonReader &Nested) {
    for (std::size_t Index = 0; Index < BurnCauseCount; ++Index)
      Counts.BadByCause_[Index] = Nested.number(
          burnCauseName(static_cast<BurnCause>(Index)), 0, MaxCount);
  });
  Reader.optionalObject("bad_by_outcome", [&](JsonReader &Nested) {
    for (const Outcome Reported : Outcomes) {
      const std::uint64_t Count =
          Nested.number(outcomeName(Reported), 0, MaxCount);
      Counts.BadByOutcome_[static_cast<std::size_t>(Reported)] = Count;
      BadByOutcomeSum += Count;
    }
  });
  if (Counts.bad() != Bad || BadByOutcomeSum != Bad)
    Reader.reject("bad", "must be the sum by cause and the sum by outcome");
  return Counts;
}

BurnWindow readWindow(JsonReader &Reader, BurnSnapshot &Snapshot) {
  const std::size_t Index =
      Reader.choice("window", {"5m", "30m", "1h", "6h", "slo"});
  WindowCounts &Window = Snapshot.Windows_[Index];
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
  BurnSnapshot Snapshot;
  Snapshot.Customer_ = Reader.name<CustomerTag>("customer");
  Snapshot.Service_ = Reader.name<ServiceTag>("service");
  bool HasObjective = false;
  Reader.optionalObject("slo", [&](JsonReader &Nested) {
    HasObjective = true;
    Snapshot.Slo_.AvailabilityPercent_ = Nested.decimal(
        "availability_percent", MinAvailabilityPercent, MaxAvailabilityPercent);
    Snapshot.Slo_.Latency_ = Nested.milliseconds("latency_ms", 1, MaxLatencyMs);
    Snapshot.Slo_.WindowDays_ = static_cast<std::uint32_t>(
        Nested.number("window_days", 1, MaxWindowDays));
  });
  if (!HasObjective)
    Reader.reject("slo", "is missing");
  Snapshot.CountedFor_ = Reader.milliseconds("counted_ms", 0, MaxReportedMs);
  unsigned WindowsRead = 0;
  Reader.objects("windows", BurnWindowCount, BurnWindowCount,
                 [&](JsonReader &Element) {
                   const BurnWindow Window = readWindow(Element, Snapshot);
                   WindowsRead |= 1U << static_cast<unsigned>(Window);
                 });
  if (WindowsRead != (1U << BurnWindowCount) - 1)
    Reader.reject("windows", "must hold each window once");
  Reader.objects("series_5m", 0, MaxBurnPoints, [&](JsonReader &Element) {
    const std::uint64_t Good = Element.number("good", 0, MaxCount);
    Snapshot.Series_.push_back(
        BurnPoint{Good, Element.number("bad", 0, MaxCount)});
  });
  return Snapshot;
}

} // namespace kumquatpitch::detail
