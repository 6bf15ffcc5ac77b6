// Addresses of peers: hosts on the host list, hosts that are not on it yet, and
// the seeds of the settings. Owned by ConfigSync.

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

/// While the platform is down, the host list does not get the hosts that
/// replace others. They are known here from the contacts in digest messages.
class PeerDirectory {
public:
  explicit PeerDirectory(HostId Self) : Self_(std::move(Self)) {}

  void setHosts(const VersionedTable<HostRecord> &Hosts) { Hosts_ = Hosts; }

  /// Records a contact. `IsDirect` is true when the contact is the sender's
  /// own. Only direct contacts are relayed, so that a host that is gone is
  /// forgotten by all hosts.
  void recordContact(const PeerContact &Contact, bool IsDirect, TimePoint Now);

  /// Records that a message of a peer arrived.
  void recordMessageFrom(const HostId &Id, TimePoint Now);

  /// A random peer of those that recently sent a message, or none.
  std::optional<PeerContact> randomRecentSender(RandomSource &Random,
                                                TimePoint Now) const;

  /// Contact of a host, or none.
  std::optional<PeerContact> find(const HostId &Id) const;

  /// A random live host other than this one, or none.
  std::optional<PeerContact> random(RandomSource &Random) const;

  /// As random(), preferring hosts that serve a customer.
  std::optional<PeerContact> randomServing(const CustomerName &Customer,
                                           RandomSource &Random) const;

  /// Contacts to relay: at most `MaxCount` hosts that are not on the host list
  /// and that sent their own contact within RelayTimeout, chosen at random.
  std::vector<PeerContact> unlistedContacts(std::size_t MaxCount,
                                            RandomSource &Random,
                                            TimePoint Now) const;

  /// Removes contacts that were not updated for ContactTimeout.
  void expire(TimePoint Now);

private:
  struct KnownContact {
    PeerContact Contact_;
    TimePoint Updated_; ///< By the host itself or by another one.
    /// By the host itself; TimePoint::min() if never.
    TimePoint DirectlyUpdated_;
  };

  HostId Self_;
  VersionedTable<HostRecord> Hosts_;
  std::map<HostId, KnownContact> Contacts_; ///< At most MaxKnownContacts.
  /// Senders of the latest messages, the latest at the end; at most
  /// MaxRecentSenders.
  std::deque<std::pair<HostId, TimePoint>> RecentSenders_;
};

} // namespace kumquatpitch

#endif
