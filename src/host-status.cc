// Formats host status reports as JSON and parses them. See host-status.h.

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
constexpr std::size_t MaxMeasurements = 16;
constexpr std::size_t MaxReasonBytes = 1'000;
/// Formatting replaces each invalid UTF-8 byte by a three-byte character, so a
/// reason can be up to three times longer when it is parsed.
constexpr std::size_t MaxParsedReasonBytes = 3 * MaxReasonBytes;
constexpr std::uint64_t MaxCount = UINT32_MAX;
constexpr double MaxMeasuredValue = 1e15;

json durationToJson(Duration Value) {
  return std::max<std::int64_t>(0, toMilliseconds(Value));
}

json targetToJson(const TargetStatus &Value) {
  json Row = {{"id", Value.Id_.str()},
              {"condition", targetConditionName(Value.Condition_)},
              {"since_ms", durationToJson(Value.Since_)},
              {"own_slots", Value.OwnSlots_},
              {"in_progress", Value.InProgress_}};
  if (!Value.Cause_.empty())
    Row["cause"] = Value.Cause_.substr(0, MaxReasonBytes);
  json Measurements = json::array();
  for (const Measurement &Entry : Value.Measurements_)
    Measurements.push_back({{"name", Entry.Name_}, {"value", Entry.Value_}});
  Row["figures"] = Measurements;
  return Row;
}

json serviceToJson(const ServiceStatus &Value) {
  json Group = json::array();
  for (const HostId &Host : Value.Group_)
    Group.push_back({{"host", Host.str()}});
  json Targets = json::array();
  for (const TargetStatus &Target : Value.Targets_)
    Targets.push_back(targetToJson(Target));
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
          {"silent_ms", durationToJson(Value.SilentFor_)}};
}

json refusalToJson(const RejectedDocumentStatus &Value) {
  return {{"document", Value.Document_},
          {"version", Value.Version_},
          {"code", static_cast<unsigned>(Value.Code_)},
          {"reason", Value.Reason_.substr(0, MaxReasonBytes)},
          {"age_ms", durationToJson(Value.Age_)}};
}

/// Sixteen hexadecimal digits in a string, because many JSON parsers keep only
/// 53 bits of a number.
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

Duration readDuration(JsonReader &Reader, const char *Field) {
  return Reader.milliseconds(Field, 0, MaxReportedMs);
}

TargetStatus readTarget(JsonReader &Reader) {
  TargetStatus Target;
  Target.Id_ = Reader.name<TargetTag>("id");
  Target.Condition_ = static_cast<TargetCondition>(
      Reader.choice("condition", {"usable", "ejected", "held_by_floor",
                                  "draining", "leaving", "starting"}));
  Target.Since_ = readDuration(Reader, "since_ms");
  Target.OwnSlots_ = readCount(Reader, "own_slots");
  Target.InProgress_ = readCount(Reader, "in_progress");
  Target.Cause_ = Reader.textOr("cause", MaxParsedReasonBytes, "");
  Reader.objects("figures", 0, MaxMeasurements, [&](JsonReader &Element) {
    const std::string Name = Element.text("name", MaxNameBytes);
    Target.Measurements_.push_back(Measurement{
        Name, Element.decimal("value", -MaxMeasuredValue, MaxMeasuredValue)});
  });
  return Target;
}

ServiceStatus readService(JsonReader &Reader) {
  ServiceStatus Service;
  Service.Customer_ = Reader.name<CustomerTag>("customer");
  Service.Service_ = Reader.name<ServiceTag>("service");
  Service.EntryVersion_ = Reader.number("entry_version", 0, UINT64_MAX);
  Service.FloorTargets_ = readCount(Reader, "floor_targets");
  Reader.objects("group", 0, MaxPeers, [&](JsonReader &Element) {
    Service.Group_.push_back(Element.name<HostTag>("host"));
  });
  bool HasQuota = false;
  Reader.optionalObject("quota", [&](JsonReader &Nested) {
    HasQuota = true;
    Service.Quota_.RatePerSecond_ =
        Nested.decimal("rate_per_s", 0, MaxMeasuredValue);
    Service.Quota_.InProgressShare_ = readCount(Nested, "in_progress_share");
    Service.Quota_.InProgress_ = readCount(Nested, "in_progress");
  });
  if (!HasQuota)
    Reader.reject("quota", "is missing");
  Service.Queued_ = readCount(Reader, "queued");
  Reader.objects("targets", 0, MaxTargets, [&](JsonReader &Element) {
    Service.Targets_.push_back(readTarget(Element));
  });
  return Service;
}

PeerStatus readPeer(JsonReader &Reader) {
  PeerStatus Peer;
  Peer.Host_ = Reader.name<HostTag>("host");
  Peer.Direction_ = static_cast<PeerDirection>(
      Reader.choice("direction", {"both", "only_from", "only_to", "none"}));
  Peer.SilentFor_ = readDuration(Reader, "silent_ms");
  return Peer;
}

RejectedDocumentStatus readRefusal(JsonReader &Reader) {
  RejectedDocumentStatus Refusal;
  Refusal.Document_ = Reader.text("document", MaxReasonBytes);
  Refusal.Version_ = Reader.number("version", 0, UINT64_MAX);
  Refusal.Code_ = static_cast<ResultCode>(Reader.number("code", 0, 9'999));
  const std::vector<ResultCode> &Codes = allResultCodes();
  if (std::find(Codes.begin(), Codes.end(), Refusal.Code_) == Codes.end())
    Reader.reject("code", "is not a known result code");
  Refusal.Reason_ = Reader.textOr("reason", MaxParsedReasonBytes, "");
  Refusal.Age_ = readDuration(Reader, "age_ms");
  return Refusal;
}

HostStatus readStatus(JsonReader &Reader) {
  HostStatus Status;
  Status.Host_ = Reader.name<HostTag>("host");
  Status.Incarnation_ = readIncarnation(Reader);
  Status.Region_ = Reader.name<RegionTag>("region");
  Status.Domain_ = Reader.name<FailureDomainTag>("failure_domain");
  Status.ConfigVersion_ = Reader.number("config_version", 0, UINT64_MAX);
  Status.Ready_ = Reader.boolean("ready");
  Status.Leaving_ = Reader.boolean("leaving");
  Status.UpFor_ = readDuration(Reader, "up_ms");
  Status.Age_ = readDuration(Reader, "age_ms");
  Reader.objects("services", 0, MaxServices, [&](JsonReader &Element) {
    Status.Services_.push_back(readService(Element));
  });
  Reader.objects("peers", 0, MaxPeers, [&](JsonReader &Element) {
    Status.Peers_.push_back(readPeer(Element));
  });
  Reader.objects("refusals", 0, MaxRefusals, [&](JsonReader &Element) {
    Status.Refusals_.push_back(readRefusal(Element));
  });
  Reader.objects("burn", 0, MaxServices, [&](JsonReader &Element) {
    Status.Burn_.push_back(detail::readBurn(Element));
  });
  return Status;
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
  for (const ServiceStatus &Service : Value.Services_)
    Services.push_back(serviceToJson(Service));
  json Peers = json::array();
  for (const PeerStatus &Peer : Value.Peers_)
    Peers.push_back(peerToJson(Peer));
  json Refusals = json::array();
  for (const RejectedDocumentStatus &Refusal : Value.Refusals_)
    Refusals.push_back(refusalToJson(Refusal));
  json Burn = json::array();
  for (const BurnSnapshot &Snapshot : Value.Burn_)
    Burn.push_back(detail::burnToJson(Snapshot));
  const json Document = {{"host", Value.Host_.str()},
                         {"incarnation", incarnationText(Value.Incarnation_)},
                         {"region", Value.Region_.str()},
                         {"failure_domain", Value.Domain_.str()},
                         {"config_version", Value.ConfigVersion_},
                         {"ready", Value.Ready_},
                         {"leaving", Value.Leaving_},
                         {"up_ms", durationToJson(Value.UpFor_)},
                         {"age_ms", durationToJson(Value.Age_)},
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
