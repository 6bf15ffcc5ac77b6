// Who may hand out what part of the workspaces' limits. Some hosts, the
// holders, own equal parts of all limits. Each delegates its part to one
// coordinator for a term, so that no part is in use at two coordinators, also
// while hosts are cut off, suspended or restarted. WorkspaceLimits owns a
// holder, LimitCoordinator a ledger. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_ADMISSION_LIMIT_PARTS_H
#define KUMQUATPITCH_ADMISSION_LIMIT_PARTS_H

#include "kumquatpitch/name.h"
#include "kumquatpitch/time-point.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace kumquatpitch {

/// How long a coordinator may use a part, counted from its sending of the
/// question that the offer answers. Times of two hosts are never compared: the
/// holder counts the same term from its receipt of the question, which is
/// later.
constexpr Duration LimitPartTerm = std::chrono::seconds(1);

/// Margin of the holder for hosts whose clocks run at different speeds.
constexpr Duration LimitPartDriftMargin = std::chrono::milliseconds(50);

/// How often a holder sends an offer. Three may be lost within a term.
constexpr Duration LimitPartOfferPeriod = std::chrono::milliseconds(250);

/// A host owns no part for this long after its start: its previous incarnation
/// may have delegated it, and it first has to learn of the other hosts.
constexpr Duration LimitPartSettleTime = std::chrono::seconds(3);

/// Maximum number of holders. It bounds the messages of a coordinator in large
/// fleets.
constexpr std::size_t MaxLimitPartHolders = 25;

/// A holder's message to a coordinator.
struct LimitPartOffer {
  HostId From_;
  /// The question that is answered, and the incarnation of its sender. 0 asks
  /// for a question without offering anything.
  Incarnation Coordinator_ = 0;
  std::uint64_t Question_ = 0;
  std::uint32_t Divisor_ = 0; ///< The part is 1 / Divisor_ of each limit.
  bool IsWithdrawal_ = false; ///< Asks the coordinator to give the part up.

  bool operator==(const LimitPartOffer &) const = default;
  std::strong_ordering operator<=>(const LimitPartOffer &) const = default;
};

/// A coordinator's answer to an offer.
struct LimitPartQuestion {
  HostId From_;
  Incarnation Incarnation_ = 0; ///< Of the coordinator.
  std::uint64_t Question_ = 0;  ///< Increases within an incarnation.
  /// The coordinator has given the part up, and ignores answers to this and all
  /// earlier questions.
  bool IsRelease_ = false;

  bool operator==(const LimitPartQuestion &) const = default;
  std::strong_ordering operator<=>(const LimitPartQuestion &) const = default;
};

/// An offer and its receiver.
struct AddressedPartOffer {
  HostId To_;
  LimitPartOffer Offer_;

  bool operator==(const AddressedPartOffer &) const = default;
  std::strong_ordering operator<=>(const AddressedPartOffer &) const = default;
};

/// One host's own part and to whom it is delegated.
class LimitPartHolder {
public:
  explicit LimitPartHolder(HostId Self) : Self_(std::move(Self)) {}

  /// Sets the own part to 1 / `Divisor`; 0 for none. A part that is delegated
  /// stays so until the coordinator releases it or the term ends.
  void setDivisor(std::uint32_t Divisor) { Divisor_ = Divisor; }

  /// Returns the offers to send now, if the part is to go to `Coordinator`.
  /// Call it once in each LimitPartOfferPeriod.
  std::vector<AddressedPartOffer>
  offers(const std::optional<HostId> &Coordinator, TimePoint Now);

  void onQuestion(const LimitPartQuestion &Question, TimePoint Now);

  /// True while no coordinator may be using the part.
  bool isFree(TimePoint Now) const {
    return !Delegation_ || Delegation_->EndsAt_ <= Now;
  }

  bool operator==(const LimitPartHolder &) const = default;
  std::strong_ordering operator<=>(const LimitPartHolder &) const = default;

private:
  struct ReceivedQuestion {
    LimitPartQuestion Question_;
    TimePoint ReceivedAt_;

    bool operator==(const ReceivedQuestion &) const = default;
    std::strong_ordering operator<=>(const ReceivedQuestion &) const = default;
  };

  /// A coordinator that may be using the part until EndsAt_.
  struct Delegation {
    HostId To_;
    Incarnation Incarnation_ = 0;
    std::uint64_t Question_ = 0; ///< The newest that was answered.
    TimePoint EndsAt_;

    bool operator==(const Delegation &) const = default;
    std::strong_ordering operator<=>(const Delegation &) const = default;
  };

  bool isAnswerable(const HostId &Coordinator, TimePoint Now) const;

  HostId Self_;
  std::uint32_t Divisor_ = 0;
  std::optional<HostId> Coordinator_; ///< That the last offers were made for.
  std::optional<ReceivedQuestion> Newest_; ///< Of Coordinator_.
  std::optional<Delegation> Delegation_;
};

/// The parts that a coordinator may use.
class LimitPartLedger {
public:
  LimitPartLedger(HostId Self, Incarnation OwnIncarnation)
      : Self_(std::move(Self)), Incarnation_(OwnIncarnation) {}

  /// Sets the hosts that own parts as this host sees the fleet. Parts of others
  /// do not count.
  void setHolders(const std::set<HostId> &Holders);

  /// Handles an offer and returns the question to send back. A coordinator that
  /// is not `Accepting`, since it leaves, releases the part.
  LimitPartQuestion onOffer(const LimitPartOffer &Offer, bool Accepting,
                            TimePoint Now);

  /// Sum of the parts that may be used now, from 0 to 1.
  double share(TimePoint Now) const;

  bool operator==(const LimitPartLedger &) const = default;
  std::strong_ordering operator<=>(const LimitPartLedger &) const = default;

private:
  struct SentQuestion {
    std::uint64_t Question_ = 0;
    TimePoint SentAt_;

    bool operator==(const SentQuestion &) const = default;
    std::strong_ordering operator<=>(const SentQuestion &) const = default;
  };

  struct Part {
    /// The newest questions. Only answers to these are accepted, so erasing a
    /// part also makes answers that are still under way void.
    std::vector<SentQuestion> Questions_;
    std::uint64_t Answered_ = 0;
    std::uint32_t Divisor_ = 0; ///< 0 before the first accepted answer.
    TimePoint EndsAt_;

    bool operator==(const Part &) const = default;
    std::strong_ordering operator<=>(const Part &) const = default;
  };

  static void accept(Part &Delegated, const LimitPartOffer &Offer);

  HostId Self_;
  Incarnation Incarnation_;
  std::set<HostId> Holders_;
  std::map<HostId, Part> Parts_; ///< Of hosts in Holders_ only.
  std::uint64_t LastQuestion_ = 0;
};

} // namespace kumquatpitch

#endif
