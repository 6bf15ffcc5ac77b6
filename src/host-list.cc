// Parses the host list. See host-list.h.

#include "kumquatpitch/host-list.h"

#include "kumquatpitch/json-reader.h"

#include <algorithm>

namespace kumquatpitch {

namespace {

using detail::JsonReader;

constexpr std::size_t MaxHosts = 20'000;
constexpr std::size_t MaxCustomersPerHost = 10'000;
constexpr std::uint64_t MaxPort = 65'535;
constexpr std::size_t MaxAddressBytes = 45;

HostRecord readHost(JsonReader &Reader) {
  HostRecord Host;
  Host.Id_ = Reader.name<HostTag>("id");
  Host.Region_ = Reader.name<RegionTag>("region");
  Host.Domain_ = Reader.name<FailureDomainTag>("failure_domain");
  Host.Address_ = Reader.text("address", MaxAddressBytes);
  Host.PeerPort_ = Reader.number("peer_port", 1, MaxPort);
  Host.OperatorPort_ = Reader.number("operator_port", 1, MaxPort);
  Reader.objects(
      "customer_ports", 0, MaxCustomersPerHost, [&](JsonReader &Element) {
        const CustomerName Customer = Element.name<CustomerTag>("customer");
        const std::uint16_t Port = Element.number("port", 1, MaxPort);
        if (!Host.CustomerPorts_.emplace(Customer, Port).second)
          Element.reject("customer", "appears twice");
      });
  // The state may be omitted for live hosts, which are almost all: the list of
  // a large fleet has to fit into one value of the platform.
  const bool IsLeaving =
      Reader.choiceOrFirst("state", {"live", "leaving"}) == 1;
  Host.State_ = IsLeaving ? HostState::Leaving : HostState::Live;
  return Host;
}

HostList readList(JsonReader &Reader) {
  HostList List;
  List.Version_ = Reader.number("version", 1, UINT64_MAX);
  Reader.objects("hosts", 0, MaxHosts, [&](JsonReader &Element) {
    List.Hosts_.push_back(readHost(Element));
  });
  detail::sortByUniqueKey(Reader, List.Hosts_, &HostRecord::Id_, "hosts", "id");
  return List;
}

} // namespace

Result<HostList> parseHostList(std::string_view Json) {
  return detail::parseDocument(Json, readList);
}

const HostRecord *findHost(const HostList &List, const HostId &Id) {
  const auto HasLowerId = [](const HostRecord &Host, const HostId &Key) {
    return Host.Id_ < Key;
  };
  const std::vector<HostRecord>::const_iterator It =
      std::lower_bound(List.Hosts_.begin(), List.Hosts_.end(), Id, HasLowerId);
  return It != List.Hosts_.end() && It->Id_ == Id ? &*It : nullptr;
}

} // namespace kumquatpitch
