// Host reports as JSON, both ways. See host-status.h.

#include "kumquatpitch/host-status.h"

#include "kumquatpitch/burn-json.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace kumquatpitch {

namespace {

using detail::JsonReader;
using detail::MaxReportedMs;
using nlohmann::json;

constexpr std::size_t MaxServices = 4'000;
constexpr std::size_t MaxTargets = 1'000;
constexpr std::size_t MaxPeers = 20'000;
constexpr std::size_t MaxRefusals = 10'000;
constexpr std::size_t MaxFigures = 16;
constexpr std::size_t MaxReasonBytes = 1'000;
/// A byte that is not UTF-8 becomes a character of three bytes.
constexpr std::size_t MaxReadReasonBytes = 3 * MaxReasonBytes;
constexpr std::uint64_t MaxCount = UINT32_MAX;
constexpr double MaxFigure = 1e15;

json spanToJson(Duration Span) {
  return std::max<std::int64_t>(0, toMilliseconds(Span));
}

json targetToJson(const TargetStatus &Value) {
  json Row = {{"id", Value.Id_.str()},
              {"condition", targetConditionName(Value.Condition_)},
              {"since_ms", spanToJson(Value.Since_)},
              {"own_slots", Value.OwnSlots_},
              {"in_progress", Value.InProgress_}};
  if (!Value.Cause_.empty())
    Row["cause"] = Value.Cause_.substr(0, MaxReasonBytes);
  json Figures = json::array();
  for (const Figure &Each : Value.Figures_)
    Figures.push_back({{"name", Each.Name_}, {"value", Each.Value_}});
  Row["figures"] = Figures;
  return Row;
}

json serviceToJson(const ServiceStatus &Value) {
  json Group = json::array();
  for (const HostId &Each : Value.Group_)
    Group.push_back({{"host", Each.str()}});
  json Targets = json::array();
  for (const TargetStatus &Each : Value.Targets_)
    Targets.push_back(targetToJson(Each));
  return {{"customer", Value.Customer_.str()},
          {"service", Value.Service_.str()},
          {"entry_version", Value.EntryVersion_},
          {"floor_targets", Value.FloorTargets_},
          {"group", Group},
          {"quota",
           {{"rate_per_s", Value.Quota_.RatePerSecond_},
            {"in_progress_share", Value.Quota_.InProgressShare_},
            {"in_progress", Value.Quota_.InProgress_}}},
          {"queued", Value.Queued_},
          {"targets", Targets}};
}

json peerToJson(const PeerStatus &Value) {
  return {{"host", Value.Host_.str()},
          {"direction", peerDirectionName(Value.Direction_)},
          {"silent_ms", spanToJson(Value.SilentFor_)}};
}

json refusalToJson(const RefusalStatus &Value) {
  return {{"document", Value.Document_},
          {"version", Value.Version_},
          {"code", static_cast<unsigned>(Value.Code_)},
          {"reason", Value.Reason_.substr(0, MaxReasonBytes)},
          {"age_ms", spanToJson(Value.Age_)}};
}

/// Sixteen hexadecimal digits, since many JSON readers keep only 53 bits.
std::string incarnationText(Incarnation Value) {
  char Text[17];
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Value));
  return Text;
}

Incarnation readIncarnation(JsonReader &Reader) {
  const std::string Text = Reader.text("incarnation", 16);
  Incarnation Value = 0;
  const std::from_chars_result Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value, 16);
  if (Text.size() != 16 || Parsed.ptr != Text.data() + Text.size())
    Reader.reject("incarnation", "must be 16 hexadecimal digits");
  return Value;
}

std::uint32_t readCount(JsonReader &Reader, const char *Field) {
  return static_cast<std::uint32_t>(Reader.number(Field, 0, MaxCount));
}

Duration readSpan(JsonReader &Reader, const char *Field) {
  return Reader.milliseconds(Field, 0, MaxReportedMs);
}

TargetStatus readTarget(JsonReader &Reader) {
  TargetStatus Read;
  Read.Id_ = Reader.name<TargetTag>("id");
  Read.Condition_ = static_cast<TargetCondition>(
      Reader.choice("condition", {"usable", "ejected", "held_by_floor",
                                  "draining", "leaving", "starting"}));
  Read.Since_ = readSpan(Reader, "since_ms");
  Read.OwnSlots_ = readCount(Reader, "own_slots");
  Read.InProgress_ = readCount(Reader, "in_progress");
  Read.Cause_ = Reader.textOr("cause", MaxReadReasonBytes, "");
  Reader.objects("figures", 0, MaxFigures, [&](JsonReader &Element) {
    const std::string Name = Element.text("name", MaxNameBytes);
    Read.Figures_.push_back(
        Figure{Name, Element.decimal("value", -MaxFigure, MaxFigure)});
  });
  return Read;
}

ServiceStatus readService(JsonReader &Reader) {
  ServiceStatus Read;
  Read.Customer_ = Reader.name<CustomerTag>("customer");
  Read.Service_ = Reader.name<ServiceTag>("service");
  Read.EntryVersion_ = Reader.number("entry_version", 0, UINT64_MAX);
  Read.FloorTargets_ = readCount(Reader, "floor_targets");
  Reader.objects("group", 0, MaxPeers, [&](JsonReader &Element) {
    Read.Group_.push_back(Element.name<HostTag>("host"));
  });
  bool HasQuota = false;
  Reader.optionalObject("quota", [&](JsonReader &Nested) {
    HasQuota = true;
    Read.Quota_.RatePerSecond_ = Nested.decimal("rate_per_s", 0, MaxFigure);
    Read.Quota_.InProgressShare_ = readCount(Nested, "in_progress_share");
    Read.Quota_.InProgress_ = readCount(Nested, "in_progress");
  });
  if (!HasQuota)
    Reader.reject("quota", "is missing");
  Read.Queued_ = readCount(Reader, "queued");
  Reader.objects("targets", 0, MaxTargets, [&](JsonReader &Element) {
    Read.Targets_.push_back(readTarget(Element));
  });
  return Read;
}

PeerStatus readPeer(JsonReader &Reader) {
  PeerStatus Read;
  Read.Host_ = Reader.name<HostTag>("host");
  Read.Direction_ = static_cast<PeerDirection>(
      Reader.choice("direction", {"both", "only_from", "only_to", "none"}));
  Read.SilentFor_ = readSpan(Reader, "silent_ms");
  return Read;
}

RefusalStatus readRefusal(JsonReader &Reader) {
  RefusalStatus Read;
  Read.Document_ = Reader.text("document", MaxReasonBytes);
  Read.Version_ = Reader.number("version", 0, UINT64_MAX);
  Read.Code_ = static_cast<ResultCode>(Reader.number("code", 0, 9'999));
  const std::vector<ResultCode> &Codes = allResultCodes();
  if (std::find(Codes.begin(), Codes.end(), Read.Code_) == Codes.end())
    Reader.reject("code", "is not a known result code");
  Read.Reason_ = Reader.textOr("reason", MaxReadReasonBytes, "");
  Read.Age_ = readSpan(Reader, "age_ms");
  return Read;
}

HostStatus readStatus(JsonReader &Reader) {
  HostStatus Read;
  Read.Host_ = Reader.name<HostTag>("host");
  Read.Incarnation_ = readIncarnation(Reader);
  Read.Region_ = Reader.name<RegionTag>("region");
  Read.Domain_ = Reader.name<FailureDomainTag>("failure_domain");
  Read.ConfigVersion_ = Reader.number("config_version", 0, UINT64_MAX);
  Read.Ready_ = Reader.boolean("ready");
  Read.Leaving_ = Reader.boolean("leaving");
  Read.UpFor_ = readSpan(Reader, "up_ms");
  Read.Age_ = readSpan(Reader, "age_ms");
  Reader.objects("services", 0, MaxServices, [&](JsonReader &Element) {
    Read.Services_.push_back(readService(Element));
  });
  Reader.objects("peers", 0, MaxPeers, [&](JsonReader &Element) {
    Read.Peers_.push_back(readPeer(Element));
  });
  Reader.objects("refusals", 0, MaxRefusals, [&](JsonReader &Element) {
    Read.Refusals_.push_back(readRefusal(Element));
  });
  Reader.objects("burn", 0, MaxServices, [&](JsonReader &Element) {
    Read.Burn_.push_back(detail::readBurn(Element));
  });
  return Read;
}

} // namespace

const char *targetConditionName(TargetCondition Condition) {
  static constexpr const char *Names[] = {
      "usable", "ejected", "held_by_floor", "draining", "leaving", "starting"};
  return Names[static_cast<std::size_t>(Condition)];
}

const char *peerDirectionName(PeerDirection Direction) {
  static constexpr const char *Names[] = {"both", "only_from", "only_to",
                                          "none"};
  return Names[static_cast<std::size_t>(Direction)];
}

std::string formatHostStatus(const HostStatus &Value) {
  json Services = json::array();
  for (const ServiceStatus &Each : Value.Services_)
    Services.push_back(serviceToJson(Each));
  json Peers = json::array();
  for (const PeerStatus &Each : Value.Peers_)
    Peers.push_back(peerToJson(Each));
  json Refusals = json::array();
  for (const RefusalStatus &Each : Value.Refusals_)
    Refusals.push_back(refusalToJson(Each));
  json Burn = json::array();
  for (const BurnSnapshot &Each : Value.Burn_)
    Burn.push_back(detail::burnToJson(Each));
  const json Document = {{"host", Value.Host_.str()},
                         {"incarnation", incarnationText(Value.Incarnation_)},
                         {"region", Value.Region_.str()},
                         {"failure_domain", Value.Domain_.str()},
                         {"config_version", Value.ConfigVersion_},
                         {"ready", Value.Ready_},
                         {"leaving", Value.Leaving_},
                         {"up_ms", spanToJson(Value.UpFor_)},
                         {"age_ms", spanToJson(Value.Age_)},
                         {"services", Services},
                         {"peers", Peers},
                         {"refusals", Refusals},
                         {"burn", Burn}};
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<HostStatus> parseHostStatus(std::string_view Json) {
  return detail::parseDocument(Json, readStatus);
}

} // namespace kumquatpitch
