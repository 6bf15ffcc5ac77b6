// Text and JSON of host reports. See status-report.h.

#include "kumquatpitch/status-report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

namespace kumquatpitch {

namespace {

using nlohmann::json;

std::string formatNumber(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof Text, "%.4g", Value);
  return Text;
}

std::string formatTarget(const TargetStatus &Value) {
  std::string Line = "    target " + Value.Id_.str() + ": " +
                     targetConditionName(Value.Condition_) + " for " +
                     formatDuration(Value.Since_);
  if (!Value.Cause_.empty())
    Line += ", " + replaceControlCharacters(Value.Cause_);
  for (const Measurement &Entry : Value.Measurements_)
    Line += " " + replaceControlCharacters(Entry.Name_) + "=" +
            formatNumber(Entry.Value_);
  return Line + "\n";
}

std::string formatService(const ServiceStatus &Value) {
  std::string Group;
  for (const HostId &Host : Value.Group_)
    Group += " " + Host.str();
  const std::ptrdiff_t Usable =
      std::count_if(Value.Targets_.begin(), Value.Targets_.end(),
                    [](const TargetStatus &Target) {
                      return Target.Condition_ == TargetCondition::Usable;
                    });
  std::string Lines =
      "  " + Value.Customer_.str() + "/" + Value.Service_.str() + ": " +
      std::to_string(Usable) + " of " + std::to_string(Value.Targets_.size()) +
      " targets usable, floor " + std::to_string(Value.FloorTargets_) +
      ", entry version " + std::to_string(Value.EntryVersion_) + "\n";
  Lines += "    share " + formatNumber(Value.Quota_.RatePerSecond_) + "/s, " +
           std::to_string(Value.Quota_.InProgress_) + " of " +
           std::to_string(Value.Quota_.InProgressShare_) + " in progress, " +
           std::to_string(Value.Queued_) + " queued; group" + Group + "\n";
  for (const TargetStatus &Target : Value.Targets_)
    if (Target.Condition_ != TargetCondition::Usable)
      Lines += formatTarget(Target);
  return Lines;
}

std::string formatHost(const HostStatus &Value) {
  std::string Lines = Value.Host_.str() + " (" + Value.Region_.str() + "/" +
                      Value.Domain_.str() +
                      "): " + (Value.Ready_ ? "ready" : "not ready") +
                      (Value.Leaving_ ? ", leaving" : "") + ", configuration " +
                      std::to_string(Value.ConfigVersion_) + ", up " +
                      formatDuration(Value.UpFor_) + ", report is " +
                      formatDuration(Value.Age_) + " old\n";
  for (const ServiceStatus &Service : Value.Services_)
    Lines += formatService(Service);
  for (const PeerStatus &Peer : Value.Peers_)
    if (Peer.Direction_ != PeerDirection::Both)
      Lines += "  peer " + Peer.Host_.str() + ": heard " +
               peerDirectionName(Peer.Direction_) + ", silent for " +
               formatDuration(Peer.SilentFor_) + "\n";
  for (const RejectedDocumentStatus &Refusal : Value.Refusals_)
    Lines += "  refused " + replaceControlCharacters(Refusal.Document_) +
             " version " + std::to_string(Refusal.Version_) + ": " +
             std::to_string(static_cast<unsigned>(Refusal.Code_)) + " " +
             resultCodeName(Refusal.Code_) + ": " +
             replaceControlCharacters(Refusal.Reason_) + " (" +
             formatDuration(Refusal.Age_) + " ago)\n";
  return Lines;
}

} // namespace

std::string formatDuration(Duration Value) {
  struct Unit {
    const char *Name_;
    std::int64_t Ms_;
  };
  static constexpr std::array<Unit, 5> Units{{{"d", 86'400'000},
                                              {"h", 3'600'000},
                                              {"m", 60'000},
                                              {"s", 1'000},
                                              {"ms", 1}}};
  const std::int64_t Ms = std::max<std::int64_t>(0, toMilliseconds(Value));
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

std::string replaceControlCharacters(const std::string &Text) {
  std::string Printable = Text;
  std::replace_if(
      Printable.begin(), Printable.end(),
      [](char Char) { return (Char >= 0 && Char < ' ') || Char == '\x7f'; },
      '?');
  return Printable;
}

std::string formatStatusText(const std::vector<HostFetchResult> &Fetched) {
  std::string Text;
  std::map<std::uint64_t, std::size_t> HostsByVersion;
  std::size_t Answered = 0;
  for (const HostFetchResult &Host : Fetched) {
    if (!Host.Status_)
      continue;
    Text += formatHost(*Host.Status_);
    ++HostsByVersion[Host.Status_->ConfigVersion_];
    ++Answered;
  }
  Text += formatUnansweredHosts(Fetched);
  Text += std::to_string(Answered) + " of " + std::to_string(Fetched.size()) +
          " hosts answered";
  for (const std::pair<const std::uint64_t, std::size_t> &Version :
       HostsByVersion)
    Text += "; configuration " + std::to_string(Version.first) + " on " +
            std::to_string(Version.second);
  return Text + "\n";
}

std::string formatStatusJson(const std::vector<HostFetchResult> &Fetched) {
  json Hosts = json::array();
  for (const HostFetchResult &Host : Fetched)
    if (Host.Status_)
      Hosts.push_back(json::parse(formatHostStatus(*Host.Status_)));
  const json Document = {{"hosts", Hosts},
                         {"not_answered", unansweredHostsToJson(Fetched)}};
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

json unansweredHostsToJson(const std::vector<HostFetchResult> &Fetched) {
  json Rows = json::array();
  for (const HostFetchResult &Host : Fetched)
    if (!Host.Status_)
      Rows.push_back({{"host", formatHostAddress(Host.From_)},
                      {"code", static_cast<unsigned>(Host.Failure_.Code_)},
                      {"reason", Host.Failure_.Message_}});
  return Rows;
}

std::string formatUnansweredHosts(const std::vector<HostFetchResult> &Fetched) {
  std::string Text;
  for (const HostFetchResult &Host : Fetched)
    if (!Host.Status_)
      Text += "no report from " + formatHostAddress(Host.From_) + ": " +
              std::to_string(static_cast<unsigned>(Host.Failure_.Code_)) + " " +
              resultCodeName(Host.Failure_.Code_) + ": " +
              replaceControlCharacters(Host.Failure_.Message_) + "\n";
  return Text;
}

bool allHostsAnswered(const std::vector<HostFetchResult> &Fetched) {
  return std::all_of(
      Fetched.begin(), Fetched.end(),
      [](const HostFetchResult &Host) { return Host.Status_.has_value(); });
}

} // namespace kumquatpitch
