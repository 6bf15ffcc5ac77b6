// Selects the hosts that callers of a virtual host are given: a few hosts of
// the caller's own failure domain, so that few hosts share the slots of a
// service. Every host computes the same selection. Pure functions.

#ifndef KUMQUATPITCH_CALLER_HOSTS_H
#define KUMQUATPITCH_CALLER_HOSTS_H

#include "kumquatpitch/host-membership.h"

#include <string_view>
#include <vector>

namespace kumquatpitch {

/// One of this many hosts of a failure domain is given to a virtual host's
/// callers.
constexpr std::size_t HostsPerCallerHost = 20;
/// Minimum and maximum number of hosts selected, as far as enough hosts serve.
constexpr std::size_t MinCallerHosts = 1;
constexpr std::size_t MaxCallerHosts = 64;
/// Preferred hosts are the largest of a failure domain that together have this
/// share of its processor time, and all hosts of at least the same size. On a
/// small host, a burst of requests waits for its processor and network link.
constexpr double LargeHostsShare = 0.2;

/// Returns the hosts for the callers of `VirtualHost` in `Domain`, in order of
/// preference. Hosts of other failure domains, those of the same region first,
/// fill the selection when the domain has too few. When large hosts do not
/// serve, more small ones are selected: as many as have the same processor
/// time, and with it the same network links.
std::vector<Member> callerHosts(const std::vector<Member> &Members,
                                std::string_view VirtualHost,
                                const FailureDomain &Domain,
                                const Region &CallerRegion);

} // namespace kumquatpitch

#endif
