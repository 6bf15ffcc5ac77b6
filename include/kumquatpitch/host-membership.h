// Gossip membership with failure detection: which hosts of the fleet are alive.
// Members are discovered through seeds and probed one at a time; each message
// carries recent changes, so that the messages of a host do not grow with the
// fleet. Used by GatewayDaemon, which sends the messages; this class does no
// I/O and reads no clock.

#ifndef KUMQUATPITCH_HOST_MEMBERSHIP_H
#define KUMQUATPITCH_HOST_MEMBERSHIP_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/random-source.h"
#include "kumquatpitch/time-point.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch {

enum class MemberState : std::uint8_t {
  Starting = 0, ///< Alive, but not able to serve yet.
  Serving = 1,
  Leaving = 2, ///< Alive, in a planned stop.
  Lost = 3,    ///< Does not answer probes.
};

/// The state of a host as gossiped in the fleet.
struct Member {
  HostId Id_;
  std::string Address_;
  FailureDomain Domain_;
  Region Region_;
  Incarnation Incarnation_ = 0; ///< Start of the daemon, Unix milliseconds.
  std::uint32_t Version_ = 0;   ///< Raised by the host itself at each change.
  MemberState State_ = MemberState::Starting;
  std::uint32_t Processor_ = 0; ///< Share of a core, in thousandths.

  bool operator==(const Member &) const = default;

  bool isAlive() const { return State_ != MemberState::Lost; }
  /// True when this state is newer than `Other` of the same host.
  bool supersedes(const Member &Other) const;
};

/// A probe, or the answer to one, with members that the receiver may not know.
struct ProbeMessage {
  Member From_;
  bool IsAnswer_ = false;
  /// Requests all members. Set while the sender knows no other living host.
  bool WantsAll_ = false;
  std::uint64_t Digest_ = 0; ///< Of all members that the sender knows.
  std::vector<Member> Members_;

  bool operator==(const ProbeMessage &) const = default;
};

/// A message and the address that it is sent to.
struct OutgoingProbe {
  std::string Address_;
  ProbeMessage Message_;

  bool operator==(const OutgoingProbe &) const = default;
};

class HostMembership {
public:
  /// Time between probes, and how long an answer may take.
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(250);
  static constexpr Duration ProbeTimeout = std::chrono::milliseconds(350);
  /// A member is declared lost after this many unanswered probes in a row.
  static constexpr std::uint32_t MaxMissedProbes = 2;

  HostMembership(Member Self, RandomSource &Random);

  /// Sets the addresses that are probed to discover the fleet.
  void setSeeds(std::vector<std::string> Addresses) {
    Seeds_ = std::move(Addresses);
  }

  /// Changes this host's state. Returns messages that announce the change at
  /// once.
  std::vector<OutgoingProbe> setState(MemberState State);

  /// Returns the probes that are due. Has to be called each ProbeInterval or
  /// more often.
  std::vector<OutgoingProbe> tick(TimePoint Now);

  /// Applies a message. Returns the answers to it.
  std::vector<OutgoingProbe> receive(const ProbeMessage &Message,
                                     TimePoint Now);

  const Member &self() const { return Self_; }

  /// All known members, including this host.
  std::vector<Member> members() const;

  /// A counter that is raised at each visible change of members().
  std::uint64_t changes() const { return Changes_; }

private:
  struct Peer {
    Member Member_;
    std::optional<TimePoint> ProbedAt_; ///< Set while an answer is due.
    std::uint32_t MissedProbes_ = 0;
    TimePoint LostAt_;
  };

  /// Returns whether the update was new to this host.
  bool applyUpdate(const Member &Update, TimePoint Now);
  /// Schedules the member's state for the next messages.
  void scheduleUpdate(const HostId &Id);
  std::vector<Member> pendingUpdates();
  std::vector<Member> sample(std::size_t Count);
  std::uint64_t digest() const;
  ProbeMessage message(bool IsAnswer);
  std::optional<HostId> nextToProbe();
  void probe(const HostId &Id, TimePoint Now,
             std::vector<OutgoingProbe> &Messages);
  void checkProbeTimeouts(TimePoint Now, std::vector<OutgoingProbe> &Messages);
  void probeSeeds(TimePoint Now, std::vector<OutgoingProbe> &Messages);

  Member Self_;
  RandomSource &Random_;
  std::vector<std::string> Seeds_;
  std::map<HostId, Peer> Peers_;
  /// Members whose state is still to be sent, and in how many messages.
  std::map<HostId, std::uint32_t> PendingUpdates_;
  std::vector<HostId> Round_; ///< Members left to probe in this round.
  std::optional<TimePoint> FirstTickAt_; ///< Time of the first tick.
  std::optional<TimePoint> ProbedAt_;    ///< Set from the first tick on.
  std::optional<TimePoint> SeedsProbedAt_;
  std::uint64_t Changes_ = 0;
};

} // namespace kumquatpitch

#endif
