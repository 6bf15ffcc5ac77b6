// Which hosts of the fleet are alive, found from seeds and kept by probing one
// member at a time and passing on what changed with each message, so that the
// messages of a host do not grow with the fleet. Used by GatewayDaemon, which
// carries the messages. Pure.

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
  Starting = 0, ///< Alive, and not able to serve yet.
  Serving = 1,
  Leaving = 2, ///< Alive, in a planned stop.
  Lost = 3,    ///< Does not answer.
};

/// A host as the fleet knows it.
struct Member {
  HostId Id_;
  std::string Address_;
  FailureDomain Domain_;
  Region Region_;
  Incarnation Incarnation_ = 0; ///< Start of the daemon, Unix milliseconds.
  std::uint32_t Version_ = 0;   ///< Raised by the host itself with each change.
  MemberState State_ = MemberState::Starting;
  std::uint32_t Processor_ = 0; ///< Share of a core, in thousandths.

  bool operator==(const Member &) const = default;

  bool isAlive() const { return State_ != MemberState::Lost; }
  /// True when this description replaces `Other` of the same host.
  bool supersedes(const Member &Other) const;
};

/// A probe, or the answer to one, with members that the receiver may not know.
struct ProbeMessage {
  Member From_;
  bool IsAnswer_ = false;
  bool WantsAll_ = false;    ///< The sender has just started.
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
  /// How often a member is probed, and how long its answer may take.
  static constexpr Duration ProbePeriod = std::chrono::milliseconds(250);
  static constexpr Duration AnswerTime = std::chrono::milliseconds(350);
  /// Probes in a row that a member may miss before it is taken as lost.
  static constexpr std::uint32_t MostMissed = 2;

  HostMembership(Member Self, RandomSource &Random);

  /// Addresses at which to look for the fleet.
  void setSeeds(std::vector<std::string> Addresses) {
    Seeds_ = std::move(Addresses);
  }

  /// Changes the own state; members hear of it at once.
  std::vector<OutgoingProbe> setState(MemberState State);

  /// To be called each ProbePeriod or more often.
  std::vector<OutgoingProbe> tick(TimePoint Now);

  /// Takes a message; gives the answers to it.
  std::vector<OutgoingProbe> receive(const ProbeMessage &Message,
                                     TimePoint Now);

  const Member &self() const { return Self_; }

  /// All members known, self included.
  std::vector<Member> members() const;

  /// Raised with each change of what members() gives.
  std::uint64_t changes() const { return Changes_; }

private:
  struct Peer {
    Member Known_;
    std::optional<TimePoint> ProbedAt_; ///< An answer is awaited since then.
    std::uint32_t Missed_ = 0;
    TimePoint LostAt_;
  };

  bool learn(const Member &News, TimePoint Now);
  void spread(const HostId &Id);
  std::vector<Member> news();
  std::vector<Member> sample(std::size_t Count);
  std::uint64_t digest() const;
  ProbeMessage message(bool IsAnswer);
  std::optional<HostId> nextToProbe();
  void probe(const HostId &Id, TimePoint Now, std::vector<OutgoingProbe> &Out);
  void checkAnswers(TimePoint Now, std::vector<OutgoingProbe> &Out);
  void probeSeeds(TimePoint Now, std::vector<OutgoingProbe> &Out);

  Member Self_;
  RandomSource &Random_;
  std::vector<std::string> Seeds_;
  std::map<HostId, Peer> Peers_;
  std::map<HostId, std::uint32_t> Spreading_; ///< Messages still to carry it.
  std::vector<HostId> Round_;                 ///< Members left in this round.
  std::optional<TimePoint> BeganAt_;          ///< First tick.
  std::optional<TimePoint> ProbedAt_;         ///< Set with the first tick.
  std::optional<TimePoint> SeedsProbedAt_;
  std::uint64_t Changes_ = 0;
};

} // namespace kumquatpitch

#endif
