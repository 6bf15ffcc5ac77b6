// One host's share of the rate and of the requests in progress that a contract
// gives its customer at a service. HostCore owns one for each service of a
// contract and carries the asks and grants. It must not compare clocks.

#ifndef KUMQUATPITCH_QUOTA_SHARE_H
#define KUMQUATPITCH_QUOTA_SHARE_H

#include "kumquatpitch/contract.h"
#include "kumquatpitch/name.h"
#include "kumquatpitch/result-code.h"
#include "kumquatpitch/time-point.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace kumquatpitch {

/// A new incarnation or member has no share of its own for this long.
constexpr Duration QuotaSettleTime = std::chrono::seconds(5);

/// Own rate that a share saves up, as a time at its rate.
constexpr Duration QuotaBurst = std::chrono::milliseconds(500);

/// A busy member asks this often.
constexpr Duration QuotaAskPeriod = std::chrono::milliseconds(200);

/// A grant is credited only within this time of its ask.
constexpr Duration QuotaGrantValidity = std::chrono::milliseconds(250);

/// Borrowed rate is lost this long after it was credited.
constexpr Duration QuotaBorrowedRateTerm = std::chrono::milliseconds(250);

/// The borrower may start requests with a lent permit for this long after its
/// ask; each granted ask renews the term.
constexpr Duration QuotaPermitTerm = std::chrono::seconds(2);

/// Allowance for clocks that run at different speeds within a permit's term.
constexpr Duration QuotaDriftMargin = std::chrono::seconds(1);

/// Rate is counted in millionths of a request.
constexpr std::int64_t QuotaRequestUnits = 1'000'000;

/// A busy member's message to one other member. It ends the validity of all
/// earlier asks to that member.
struct QuotaAsk {
  std::uint64_t Id_ = 0;           ///< Rises with each ask of an incarnation.
  Incarnation Borrower_ = 0;       ///< Incarnation of the sender.
  std::uint64_t LastCredited_ = 0; ///< Id of the last ask that was granted.
  std::int64_t Rate_ = 0;          ///< Wanted, in QuotaRequestUnits.
  std::uint32_t HeldPermits_ = 0;  ///< Lent by the receiver and kept.
  std::uint32_t Permits_ = 0;      ///< Wanted in addition.

  bool operator==(const QuotaAsk &) const = default;
};

/// The answer to an ask. The ask's id and both incarnations identify it.
struct QuotaGrant {
  std::uint64_t AskId_ = 0;
  Incarnation Borrower_ = 0;
  Incarnation Lender_ = 0;
  std::int64_t Rate_ = 0;     ///< In QuotaRequestUnits.
  std::uint32_t Permits_ = 0; ///< Lent in all, those held before included.

  bool operator==(const QuotaGrant &) const = default;
};

/// An ask and its receiver.
struct AddressedAsk {
  HostId To_;
  QuotaAsk Ask_;

  bool operator==(const AddressedAsk &) const = default;
};

/// Share of a contract's limits. While the group does not change, all members
/// together start at most `rate * W + B` requests in any window of length W,
/// where B is the rate of 500 ms plus, for each member, its own rate of 500 ms
/// but at least one request; and they never have more requests in progress than
/// the contract gives. A member whose list of the group is older than the
/// settle time may exceed this by its own share of that list.
class QuotaShare {
public:
  QuotaShare(HostId Self, Incarnation Run, ServiceTerms Terms);

  /// Replaces the limits and keeps loans and requests in progress.
  void setTerms(const ServiceTerms &Terms, TimePoint Now);

  /// Sets the group's members in any order. A larger share counts after the
  /// settle time, for permits after the longest loan and deadline as well; a
  /// smaller one counts at once.
  void setGroup(std::vector<HostId> Members, TimePoint Now);

  /// Takes rate and a permit for one request. Gives Ok, RateExceeded or
  /// InProgressExceeded; nothing is taken unless both are there.
  ResultCode tryAcquire(TimePoint Now);

  /// Ends one request in progress.
  void release(TimePoint Now);

  /// Asks to send; call it at least once in each QuotaAskPeriod.
  std::vector<AddressedAsk> tick(TimePoint Now);

  /// Grant to send back to `From`, if any. What it grants is debited here.
  std::optional<QuotaGrant> onAsk(const HostId &From, const QuotaAsk &Ask,
                                  TimePoint Now);

  /// Credits a grant once; ignores duplicates, late ones and those for an
  /// earlier ask or incarnation. True when it was credited.
  bool onGrant(const HostId &From, const QuotaGrant &Grant, TimePoint Now);

  std::uint32_t inProgress() const { return InProgress_; }

  /// Rate that can be spent now, in QuotaRequestUnits.
  std::int64_t spendableRate(TimePoint Now);

  /// Requests that may be in progress here now.
  std::int64_t usablePermits(TimePoint Now);

private:
  /// What this host borrows from another one.
  struct Borrowing {
    std::uint64_t AskId_ = 0; ///< The only ask whose grant is credited.
    TimePoint AskedAt_;
    std::uint64_t CreditedId_ = 0;
    std::uint32_t Held_ = 0;    ///< Kept until no request can use them.
    std::uint32_t Counted_ = 0; ///< As the lender's last grant says.
    TimePoint UsableUntil_;
  };

  /// What this host lends to an incarnation of another one.
  struct Lending {
    Incarnation Borrower_ = 0;
    std::uint64_t LastAsk_ = 0;
    std::uint32_t Unconfirmed_ = 0; ///< Grants since the last confirmed one.
    std::uint32_t Permits_ = 0;
    TimePoint Until_; ///< No request of the borrower can use them later.
  };

  /// Loan to an incarnation that was replaced.
  struct OrphanedLoan {
    std::uint32_t Permits_ = 0;
    TimePoint Until_;
  };

  struct BorrowedRate {
    std::int64_t Units_ = 0;
    TimePoint Until_;
  };

  void refill(TimePoint Now);
  void applyShare(TimePoint Now);
  std::int64_t rateCap() const;
  std::int64_t lentPermits() const;
  std::int64_t ownPermits() const;
  std::int64_t heldPermits() const;
  std::int64_t borrowedRate() const;
  bool isBusy(TimePoint Now) const;
  void spendRate();
  void returnSpare(std::int64_t Wanted, TimePoint Now);
  bool acceptAsk(const HostId &From, const QuotaAsk &Ask);
  std::int64_t lendRate(const QuotaAsk &Ask);
  void lendPermits(Lending &Loan, std::uint32_t Asked, TimePoint Now);

  HostId Self_;
  Incarnation Incarnation_;
  ServiceTerms Terms_;
  std::vector<HostId> Members_; ///< Sorted.
  bool Started_ = false;
  TimePoint Refilled_;
  // Shares in force, and those that come into force when they have settled.
  std::uint64_t RateMembers_ = 0; ///< Own rate is the contract's over this; 0
                                  ///< stands for none.
  std::uint64_t NextRateMembers_ = 0;
  TimePoint RateFrom_;
  std::int64_t PermitShare_ = 0;
  std::int64_t NextPermitShare_ = 0;
  TimePoint PermitsFrom_;
  std::int64_t OwnRate_ = 0;
  std::uint64_t RateRemainder_ = 0; ///< Of the last refill's division.
  std::deque<BorrowedRate> BorrowedRate_;
  std::uint32_t InProgress_ = 0;
  std::map<HostId, Borrowing> Borrowings_;
  std::map<HostId, Lending> Lendings_;
  std::vector<OrphanedLoan> Orphans_;
  std::uint64_t LastAskId_ = 0;
  TimePoint NextAskAt_;
  // Demand since the last ask, and when the last request was refused.
  std::int64_t Offered_ = 0;
  std::int64_t PeakDemand_ = 0;
  std::int64_t OfferedBefore_ = 0;
  std::int64_t PeakBefore_ = 0;
  std::optional<TimePoint> RefusedAt_;
};

} // namespace kumquatpitch

#endif
