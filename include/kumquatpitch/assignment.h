// Assignment of hosts to services: which hosts of a region form the group of a
// service, and in which order a caller is given them. Called by HostCore for
// each host list and service entry. Keeps no state besides the list's index.

#ifndef KUMQUATPITCH_ASSIGNMENT_H
#define KUMQUATPITCH_ASSIGNMENT_H

#include "kumquatpitch/host-list.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/peer-transport.h"
#include "kumquatpitch/random-source.h"
#include "kumquatpitch/service-entry.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kumquatpitch {

/// One host of a group and where callers of the service's customer reach it.
struct GroupMember {
  HostId Host_;
  FailureDomain Domain_;
  Endpoint Address_; ///< The customer's port on the host.

  bool operator==(const GroupMember &) const = default;
};

/// The hosts assigned to a service.
struct Group {
  /// Sorted by failure domain and then by descending hash, so that a replaced
  /// host leaves the positions of other failure domains unchanged.
  std::vector<GroupMember> Members_;

  bool operator==(const Group &) const = default;

  bool contains(const HostId &Host) const;
};

/// Index of the hosts of a list. Leaving hosts keep their place until the list
/// drops them, since they still serve callers with their slots. Equal lists
/// give equal groups on every host and every build.
class Assignment {
public:
  explicit Assignment(const HostList &List);

  /// Group of a service: in each failure domain of its region the
  /// `HostsPerDomain_` hosts with the highest hashes among those that
  /// have a port for the service's customer. A failure domain with fewer such
  /// hosts gives all of them.
  Group group(const ServiceEntry &Entry) const;

private:
  /// Hash of a host's id, most significant byte first on every build.
  using IdHash = std::array<unsigned char, 8>;

  /// Hosts of one failure domain. The hashes are apart from the records, since
  /// all of them are read for each service and few of the records are.
  struct Candidates {
    std::vector<IdHash> Hashes_;     ///< Of the hosts' ids.
    std::vector<GroupMember> Hosts_; ///< Sorted by id.
  };
  using Pool = std::map<FailureDomain, Candidates>;

  std::map<std::pair<Region, CustomerName>, Pool> Pools_;
};

/// Rendezvous hash of a host for a service; equal on every build.
std::uint64_t rendezvousHash(const ServiceName &Service, const HostId &Host);

/// Weight of each host of a group for callers; hosts that are missing weigh 0.
using HostWeights = std::map<HostId, std::uint32_t>;

/// Equal weights for all members.
HostWeights equalWeights(const Group &Hosts);

/// The group in the order in which one caller is to try it. Each place is drawn
/// at random in proportion to the weights, among the hosts of the failure
/// domains used least so far; hosts of weight 0 come last.
std::vector<GroupMember> addressOrder(const Group &Hosts,
                                      const HostWeights &Weights,
                                      RandomSource &Random);

} // namespace kumquatpitch

#endif
