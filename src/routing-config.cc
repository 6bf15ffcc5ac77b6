// Route lookup. See routing-config.h.

#include "kumquatpitch/routing-config.h"

namespace kumquatpitch {

static std::string routeKey(std::string_view Host, std::string_view Prefix) {
  std::string Key;
  Key.reserve(Host.size() + Prefix.size() + 1);
  Key.append(Host).append(" ").append(Prefix);
  return Key;
}

RouteTable::RouteTable(RoutingConfig Config) : Config_(std::move(Config)) {
  if (Config_.Workspaces_)
    Workspaces_.emplace(*Config_.Workspaces_);
  for (const VirtualRoute &Route : Config_.Routes_)
    ByPrefix_.emplace(routeKey(Route.Host_, Route.Prefix_), &Route);
}

const VirtualRoute *RouteTable::find(std::string_view Host,
                                     std::string_view Path) const {
  std::size_t Slash = Path.rfind('/');
  while (Slash != std::string_view::npos) {
    const std::unordered_map<std::string, const VirtualRoute *>::const_iterator
        It = ByPrefix_.find(routeKey(Host, Path.substr(0, Slash + 1)));
    if (It != ByPrefix_.end())
      return It->second;
    if (Slash == 0)
      break;
    Slash = Path.rfind('/', Slash - 1);
  }
  return nullptr;
}

} // namespace kumquatpitch
