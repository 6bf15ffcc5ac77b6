// Assignment of hosts to services: which hosts of a region form the group that
// serves a service, and the order in which their addresses are given to a
// caller. HostCore uses it for each host list and service entry. Its only state
// is an index of the host list.

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

/// One host of a group and the address at which callers of the service's
/// customer reach it.
struct GroupMember {
  HostId Host_;
  FailureDomain Domain_;
  Endpoint Address_; ///< The customer's port on the host.

  bool operator==(const GroupMember &) const = default;
};

/// The hosts assigned to a service.
struct Group {
  /// Sorted by failure domain and then by descending hash, so that replacing a
  /// host does not move the members of other failure domains.
  std::vector<GroupMember> Members_;

  bool operator==(const Group &) const = default;

  bool contains(const HostId &Host) const;
};

/// Computes the groups of services from a host list. Leaving hosts stay in
/// their groups until the list drops them, since their slots still serve
/// callers. Equal host lists give equal groups on every host and every build.
class Assignment {
public:
  explicit Assignment(const HostList &List);

  /// Group of a service. From each failure domain of the service's region it
  /// has the `HostsPerDomain_` hosts with the highest rendezvous hashes among
  /// those with a port for the service's customer, or all of these if there are
  /// fewer.
  Group group(const ServiceEntry &Entry) const;

private:
  /// Hash of a host's id, most significant byte first on every build.
  using IdHash = std::array<unsigned char, 8>;

  /// Hosts of one failure domain. The hashes are stored apart from the records,
  /// since each service reads all hashes but only a few records.
  struct Candidates {
    std::vector<IdHash> Hashes_;     ///< Of the ids, in the order of Hosts_.
    std::vector<GroupMember> Hosts_; ///< Sorted by id.
  };
  using CandidatesByDomain = std::map<FailureDomain, Candidates>;

  std::map<std::pair<Region, CustomerName>, CandidatesByDomain>
      CandidatesByCustomer_;
};

/// Rendezvous hash of a host for a service; equal on every build.
std::uint64_t rendezvousHash(const ServiceName &Service, const HostId &Host);

/// Relative share of callers that each host of a group gets; a host that is not
/// in the map has weight 0.
using HostWeights = std::map<HostId, std::uint32_t>;

/// Equal weights for all members.
HostWeights equalWeights(const Group &Hosts);

/// Hosts of a group in the order in which one caller tries them. Each position
/// is drawn at random, in proportion to the weights, from the hosts of the
/// failure domains that appear least often before it; among these, hosts of
/// weight 0 come last.
std::vector<GroupMember> drawAddressOrder(const Group &Hosts,
                                          const HostWeights &Weights,
                                          RandomSource &Random);

} // namespace kumquatpitch

#endif
