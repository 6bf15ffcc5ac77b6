// Lines about a routing configuration. See config-log.h.

#include "kumquatpitch/config-log.h"

#include <algorithm>

namespace kumquatpitch {

static void logWorkspaceProblems(const RouteTable &Table, EventLog &Log) {
  const RoutingConfig &Config = Table.config();
  std::vector<std::string> Problems = Config.WorkspaceProblems_;
  if (Table.workspaces())
    std::ranges::copy(Table.workspaces()->problems(),
                      std::back_inserter(Problems));
  Problems.resize(std::min(Problems.size(), WorkspaceIndex::MaxProblems));
  for (const std::string &Problem : Problems)
    Log.write(
        LogLevel::Warning, "config", "workspace_problem",
        {{"version", std::to_string(Config.Version_)}, {"detail", Problem}});
}

void logConfigInForce(const RouteTable &Table, std::uint64_t Revision,
                      EventLog &Log) {
  const RoutingConfig &Config = Table.config();
  Log.write(LogLevel::Info, "config", "in_force",
            {{"version", std::to_string(Config.Version_)},
             {"revision", std::to_string(Revision)},
             {"routes", std::to_string(Config.Routes_.size())}});
  logWorkspaceProblems(Table, Log);
  if (Config.UnknownKinds_.empty())
    return;
  std::string Kinds;
  for (const std::string &Kind : Config.UnknownKinds_)
    Kinds += (Kinds.empty() ? "" : ",") + Kind;
  Log.write(LogLevel::Warning, "config", "unknown_kinds",
            {{"version", std::to_string(Config.Version_)},
             {"kinds", Kinds},
             {"handled_as", "at_most_once"}});
}

} // namespace kumquatpitch
