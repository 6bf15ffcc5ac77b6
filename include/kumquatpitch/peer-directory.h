// Where peers are: listed hosts, hosts that the list does not name yet, and the
// settings' seeds. Owned by ConfigSync.

#ifndef KUMQUATPITCH_PEER_DIRECTORY_H
#define KUMQUATPITCH_PEER_DIRECTORY_H

#include "kumquatpitch/peer-message.h"
#include "kumquatpitch/random-source.h"
#include "kumquatpitch/versioned-table.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// While the platform is down, the list names none of the hosts that replace
/// others; they are known here by the contacts that digests carry.
class PeerDirectory {
public:
  explicit PeerDirectory(HostId Self) : Self_(std::move(Self)) {}

  void setHosts(const VersionedTable<HostRecord> &Hosts) { Hosts_ = Hosts; }

  /// Takes a contact; `Direct` when it is the sender's own. Only direct ones
  /// are passed on, so that a host that is gone is forgotten everywhere.
  void noteContact(const PeerContact &Contact, bool Direct, TimePoint Now);

  /// Notes that a message of a peer arrived.
  void noteHeard(const HostId &Id, TimePoint Now);

  /// A random one of the peers that were heard last, or none.
  std::optional<PeerContact> randomHeard(RandomSource &Random,
                                         TimePoint Now) const;

  /// Contact of a host, or none.
  std::optional<PeerContact> find(const HostId &Id) const;

  /// A random live host other than this one, or none.
  std::optional<PeerContact> random(RandomSource &Random) const;

  /// As random(), preferring hosts that serve a customer.
  std::optional<PeerContact> randomOf(const CustomerName &Customer,
                                      RandomSource &Random) const;

  /// Some directly heard hosts that the list does not name.
  std::vector<PeerContact> unlisted(std::size_t Most, RandomSource &Random,
                                    TimePoint Now) const;

  /// Forgets contacts that were not heard of for ContactTimeout.
  void expire(TimePoint Now);

private:
  struct Known {
    PeerContact Contact_;
    TimePoint Heard_;  ///< Directly or through others.
    TimePoint Direct_; ///< TimePoint::min() when never heard directly.
  };

  HostId Self_;
  VersionedTable<HostRecord> Hosts_;
  std::map<HostId, Known> Contacts_; ///< At most MaxKnownContacts.
  /// Peers heard last, latest at the end; at most MaxHeardLast.
  std::deque<std::pair<HostId, TimePoint>> HeardLast_;
};

} // namespace kumquatpitch

#endif
