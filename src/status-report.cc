// Text and JSON of host reports. See status-report.h.

#include "kumquatpitch/status-report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

namespace kumquatpitch {

namespace {

using nlohmann::json;

std::string shortNumber(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.4g", Value);
  return Text;
}

std::string targetLine(const TargetStatus &Value) {
  std::string Line = "    target " + Value.Id_.str() + ": " +
                     targetConditionName(Value.Condition_) + " for " +
                     spanText(Value.Since_);
  if (!Value.Cause_.empty())
    Line += ", " + printable(Value.Cause_);
  for (const Figure &Each : Value.Figures_)
    Line += " " + printable(Each.Name_) + "=" + shortNumber(Each.Value_);
  return Line + "\n";
}

std::string serviceLines(const ServiceStatus &Value) {
  std::string Group;
  for (const HostId &Each : Value.Group_)
    Group += " " + Each.str();
  const std::ptrdiff_t Usable =
      std::count_if(Value.Targets_.begin(), Value.Targets_.end(),
                    [](const TargetStatus &Each) {
                      return Each.Condition_ == TargetCondition::Usable;
                    });
  std::string Lines =
      "  " + Value.Customer_.str() + "/" + Value.Service_.str() + ": " +
      std::to_string(Usable) + " of " + std::to_string(Value.Targets_.size()) +
      " targets usable, floor " + std::to_string(Value.FloorTargets_) +
      ", entry version " + std::to_string(Value.EntryVersion_) + "\n";
  Lines += "    share " + shortNumber(Value.Quota_.RatePerSecond_) + "/s, " +
           std::to_string(Value.Quota_.InProgress_) + " of " +
           std::to_string(Value.Quota_.InProgressShare_) + " in progress, " +
           std::to_string(Value.Queued_) + " queued; group" + Group + "\n";
  for (const TargetStatus &Each : Value.Targets_)
    if (Each.Condition_ != TargetCondition::Usable)
      Lines += targetLine(Each);
  return Lines;
}

std::string hostLines(const HostStatus &Value) {
  std::string Lines =
      Value.Host_.str() + " (" + Value.Region_.str() + "/" +
      Value.Domain_.str() + "): " + (Value.Ready_ ? "ready" : "not ready") +
      (Value.Leaving_ ? ", leaving" : "") + ", configuration " +
      std::to_string(Value.ConfigVersion_) + ", up " + spanText(Value.UpFor_) +
      ", report is " + spanText(Value.Age_) + " old\n";
  for (const ServiceStatus &Each : Value.Services_)
    Lines += serviceLines(Each);
  for (const PeerStatus &Each : Value.Peers_)
    if (Each.Direction_ != PeerDirection::Both)
      Lines += "  peer " + Each.Host_.str() + ": heard " +
               peerDirectionName(Each.Direction_) + ", silent for " +
               spanText(Each.SilentFor_) + "\n";
  for (const RefusalStatus &Each : Value.Refusals_)
    Lines += "  refused " + printable(Each.Document_) + " version " +
             std::to_string(Each.Version_) + ": " +
             std::to_string(static_cast<unsigned>(Each.Code_)) + " " +
             resultCodeName(Each.Code_) + ": " + printable(Each.Reason_) +
             " (" + spanText(Each.Age_) + " ago)\n";
  return Lines;
}

} // namespace

std::string spanText(Duration Span) {
  struct Unit {
    const char *Name_;
    std::int64_t Ms_;
  };
  static constexpr std::array<Unit, 5> Units{{{"d", 86'400'000},
                                              {"h", 3'600'000},
                                              {"m", 60'000},
                                              {"s", 1'000},
                                              {"ms", 1}}};
  const std::int64_t Ms = std::max<std::int64_t>(0, toMilliseconds(Span));
  for (std::size_t Index = 0; Index + 1 < Units.size(); ++Index) {
    const Unit &Major = Units[Index];
    const Unit &Minor = Units[Index + 1];
    if (Ms < Major.Ms_)
      continue;
    const std::int64_t Rest = Ms % Major.Ms_ / Minor.Ms_;
    std::string Text = std::to_string(Ms / Major.Ms_) + Major.Name_;
    if (Rest > 0 && Major.Ms_ > 1'000)
      Text += " " + std::to_string(Rest) + Minor.Name_;
    return Text;
  }
  return std::to_string(Ms) + "ms";
}

std::string printable(const std::string &Text) {
  std::string Out = Text;
  std::replace_if(
      Out.begin(), Out.end(),
      [](char Each) { return (Each >= 0 && Each < ' ') || Each == '\x7f'; },
      '?');
  return Out;
}

std::string formatStatusText(const std::vector<FetchedHost> &Fetched) {
  std::string Text;
  std::map<std::uint64_t, std::size_t> Versions;
  std::size_t Answered = 0;
  for (const FetchedHost &Each : Fetched) {
    if (!Each.Status_)
      continue;
    Text += hostLines(*Each.Status_);
    ++Versions[Each.Status_->ConfigVersion_];
    ++Answered;
  }
  Text += notAnsweredText(Fetched);
  Text += std::to_string(Answered) + " of " + std::to_string(Fetched.size()) +
          " hosts answered";
  for (const std::pair<const std::uint64_t, std::size_t> &Each : Versions)
    Text += "; configuration " + std::to_string(Each.first) + " on " +
            std::to_string(Each.second);
  return Text + "\n";
}

std::string formatStatusJson(const std::vector<FetchedHost> &Fetched) {
  json Hosts = json::array();
  for (const FetchedHost &Each : Fetched)
    if (Each.Status_)
      Hosts.push_back(json::parse(formatHostStatus(*Each.Status_)));
  const json Document = {{"hosts", Hosts},
                         {"not_answered", notAnsweredToJson(Fetched)}};
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json notAnsweredToJson(const std::vector<FetchedHost> &Fetched) {
  json Rows = json::array();
  for (const FetchedHost &Each : Fetched)
    if (!Each.Status_)
      Rows.push_back({{"host", hostAddressText(Each.From_)},
                      {"code", static_cast<unsigned>(Each.Failure_.Code_)},
                      {"reason", Each.Failure_.Message_}});
  return Rows;
}

std::string notAnsweredText(const std::vector<FetchedHost> &Fetched) {
  std::string Text;
  for (const FetchedHost &Each : Fetched)
    if (!Each.Status_)
      Text += "no report from " + hostAddressText(Each.From_) + ": " +
              std::to_string(static_cast<unsigned>(Each.Failure_.Code_)) + " " +
              resultCodeName(Each.Failure_.Code_) + ": " +
              printable(Each.Failure_.Message_) + "\n";
  return Text;
}

bool allAnswered(const std::vector<FetchedHost> &Fetched) {
  return std::all_of(
      Fetched.begin(), Fetched.end(),
      [](const FetchedHost &Each) { return Each.Status_.has_value(); });
}

} // namespace kumquatpitch
