// One host's part in keeping the workspaces' limits over the whole fleet: it
// delegates its own part, asks the coordinator for tokens, and is the
// coordinator itself if the others choose it. Returns the messages to send.
// LimitExchange drives it. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_ADMISSION_LIMIT_PEER_H
#define KUMQUATPITCH_ADMISSION_LIMIT_PEER_H

#include "kumquatpitch/admission/workspace-limits.h"
#include "kumquatpitch/host-membership.h"

namespace kumquatpitch {

using LimitMessage =
    std::variant<LimitPartOffer, LimitPartQuestion, TokenRequest, TokenAnswer>;

/// A message and the host that it is sent to.
struct AddressedLimitMessage {
  HostId To_;
  LimitMessage Message_;

  bool operator==(const AddressedLimitMessage &) const = default;
};

/// Which hosts have a role for the limits. All hosts that know the same members
/// compute the same roles.
struct LimitRoles {
  /// Serving hosts, the one to use as the coordinator first: the one with the
  /// most processor time.
  std::vector<HostId> Coordinators_;
  /// The hosts that own a part: the largest of all known ones. Hosts that were
  /// lost recently count, so that the two sides of a split do not each use the
  /// whole limit.
  std::set<HostId> Holders_;

  bool operator==(const LimitRoles &) const = default;
};

LimitRoles limitRolesOf(std::vector<Member> Members);

class LimitPeer {
public:
  /// `HasSeeds` is false for a host that is the whole fleet. `Limits` must
  /// outlive this object.
  LimitPeer(HostId Self, Incarnation OwnIncarnation, LimitTolerance Tolerance,
            bool HasSeeds, WorkspaceLimits &Limits);

  void setMembers(const std::vector<Member> &Members, TimePoint Now);

  void setLimits(const std::map<LimitKey, WorkspaceLimit> &Limits,
                 TimePoint Now) {
    Coordinator_.setLimits(Limits, Now);
  }

  /// Returns the messages that are due. Call it every LimitPeerPeriod.
  std::vector<AddressedLimitMessage> tick(TimePoint Now);

  /// Asks for tokens for requests that have begun to wait.
  std::vector<AddressedLimitMessage> tokenNeeded(TimePoint Now);

  /// Handles a message. Returns the messages to send.
  std::vector<AddressedLimitMessage> receive(const LimitMessage &Message,
                                             TimePoint Now);

  /// The coordinator to which this host delegates, if any host serves.
  std::optional<HostId> coordinator(TimePoint Now) const;

  /// The part of all limits that this host hands out, from 0 to 1.
  double share(TimePoint Now) const { return Coordinator_.share(Now); }

private:
  using Messages = std::vector<AddressedLimitMessage>;

  void updatePart(TimePoint Now);
  void offerPart(TimePoint Now, Messages &Out);
  void requestTokens(TimePoint Now, Messages &Out);
  void handle(const LimitMessage &Message, TimePoint Now, Messages &Out);
  void send(const HostId &To, LimitMessage Message, TimePoint Now,
            Messages &Out);
  std::optional<HostId> lender(TimePoint Now) const;

  HostId Self_;
  WorkspaceLimits &Limits_;
  LimitPartHolder Holder_;
  LimitCoordinator Coordinator_;
  LimitRoles Roles_;
  bool HasMetOthers_; ///< Also true where there are no others.
  bool IsLeaving_ = false;
  std::optional<TimePoint> StartedAt_; ///< The first tick.
  TimePoint OfferDueAt_;
  std::optional<HostId> Offered_;      ///< The coordinator of the last offer.
  std::uint32_t UnansweredOffers_ = 0; ///< To it, since its last question.
  /// Coordinators that did not answer offers, and until when others go before
  /// them.
  std::map<HostId, TimePoint> SuspectedUntil_;
  /// The same for requests for tokens; cleared when the next coordinator turns
  /// out to have no part yet.
  std::map<HostId, TimePoint> SilentUntil_;
  std::optional<HostId> Requested_; ///< The receiver of the last request.
};

constexpr Duration LimitPeerPeriod = std::chrono::milliseconds(50);

} // namespace kumquatpitch

#endif
