// One host's share of a contract's limits at a service: the request rate and
// the number of requests in progress. Hosts borrow unused quota from each
// other. HostCore owns one share for each service of a contract and transports
// its loan requests and grants. Times of different hosts are never compared.

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

/// A new incarnation or a new group member has no share of its own for this
/// long.
constexpr Duration QuotaSettleTime = std::chrono::seconds(5);

/// Capacity of the share's token bucket, as the time that fills it at the
/// share's rate.
constexpr Duration QuotaBurst = std::chrono::milliseconds(500);

/// Interval at which a member that needs more quota sends loan requests.
constexpr Duration QuotaLoanRequestPeriod = std::chrono::milliseconds(200);

/// A grant is credited only within this time after its loan request was sent.
constexpr Duration QuotaGrantValidity = std::chrono::milliseconds(250);

/// Borrowed rate expires this long after it was credited.
constexpr Duration QuotaBorrowedRateTerm = std::chrono::milliseconds(250);

/// The borrower may start requests with a lent permit for this long after it
/// sent the loan request. Each granted loan request renews the term.
constexpr Duration QuotaPermitTerm = std::chrono::seconds(2);

/// Margin for hosts whose clocks run at different speeds during a permit's
/// term.
constexpr Duration QuotaDriftMargin = std::chrono::seconds(1);

/// Units of rate per request, so that one unit is a millionth of a request.
constexpr std::int64_t QuotaUnitsPerRequest = 1'000'000;

/// A request for a loan of quota, sent to one other member. It supersedes all
/// earlier loan requests to that member.
struct QuotaLoanRequest {
  std::uint64_t Id_ = 0;           ///< Increases within an incarnation.
  Incarnation Borrower_ = 0;       ///< Incarnation of the sender.
  std::uint64_t LastCredited_ = 0; ///< Id of the last credited request.
  std::int64_t Rate_ = 0;          ///< Requested, in millionths of a request.
  std::uint32_t HeldPermits_ = 0;  ///< Borrowed from the receiver and kept.
  std::uint32_t Permits_ = 0;      ///< Requested in addition.

  bool operator==(const QuotaLoanRequest &) const = default;
};

/// The answer to a loan request. The request's id and both incarnations
/// identify it.
struct QuotaGrant {
  std::uint64_t LoanRequestId_ = 0;
  Incarnation Borrower_ = 0;
  Incarnation Lender_ = 0;
  std::int64_t Rate_ = 0;     ///< In millionths of a request.
  std::uint32_t Permits_ = 0; ///< Lent in total, including those already held.

  bool operator==(const QuotaGrant &) const = default;
};

/// A loan request and its receiver.
struct AddressedLoanRequest {
  HostId To_;
  QuotaLoanRequest LoanRequest_;

  bool operator==(const AddressedLoanRequest &) const = default;
};

/// Share of a contract's limits. While the group does not change, all members
/// together start at most `rate * W + B` requests in any window of length W.
/// B is 500 ms at the contract's rate plus, for each member, 500 ms at its own
/// rate but at least one request. They never have more requests in progress
/// than the contract allows. A member whose list of the group is older than
/// QuotaSettleTime may exceed these limits by its share according to that list.
class QuotaShare {
public:
  QuotaShare(HostId Self, Incarnation OwnIncarnation, ServiceTerms Terms);

  /// Replaces the limits; loans and requests in progress are kept.
  void setTerms(const ServiceTerms &Terms, TimePoint Now);

  /// Sets the group's members, in any order. A smaller share takes effect at
  /// once and a larger one after QuotaSettleTime. A larger share of permits
  /// also waits for QuotaPermitTerm and the deadline, until all loans have
  /// ended.
  void setGroup(std::vector<HostId> Members, TimePoint Now);

  /// Acquires rate and a permit for one request, both or neither. Returns Ok,
  /// RateExceeded or InProgressExceeded.
  ResultCode tryAcquire(TimePoint Now);

  /// Releases the permit of a request that ended.
  void release(TimePoint Now);

  /// Returns the loan requests to send now. Must be called at least once in
  /// each QuotaLoanRequestPeriod.
  std::vector<AddressedLoanRequest> tick(TimePoint Now);

  /// Handles a loan request. Returns the grant to send back to `Borrower`, if
  /// any; its quota is already debited here.
  std::optional<QuotaGrant> onLoanRequest(const HostId &Borrower,
                                          const QuotaLoanRequest &Request,
                                          TimePoint Now);

  /// Credits a grant once. Ignores duplicates, late grants and grants for an
  /// earlier loan request or incarnation. True when it was credited.
  bool onGrant(const HostId &Lender, const QuotaGrant &Grant, TimePoint Now);

  std::uint32_t inProgress() const { return InProgress_; }

  /// Rate that can be spent now, in millionths of a request.
  std::int64_t spendableRate(TimePoint Now);

  /// Number of requests that may be in progress here now, running ones
  /// included.
  std::int64_t usablePermits(TimePoint Now);

private:
  /// Quota that this host borrows from another host.
  struct Borrowing {
    /// The only loan request whose grant is credited.
    std::uint64_t RequestId_ = 0;
    TimePoint RequestedAt_;
    std::uint64_t CreditedId_ = 0;
    std::uint32_t HeldPermits_ = 0;     ///< Kept while a request may use them.
    std::uint32_t PermitsAtLender_ = 0; ///< According to its last grant.
    TimePoint UsableUntil_;
  };

  /// Quota that this host lends to one incarnation of another host.
  struct Lending {
    Incarnation Borrower_ = 0;
    std::uint64_t LastRequestId_ = 0;
    std::uint32_t UnconfirmedGrants_ = 0; ///< Since the last confirmed grant.
    std::uint32_t Permits_ = 0;
    TimePoint ExpiresAt_; ///< The borrower's requests have ended by then.
  };

  /// Permits lent to an incarnation of the borrower that was replaced.
  struct OrphanedLoan {
    std::uint32_t Permits_ = 0;
    TimePoint ExpiresAt_;
  };

  struct BorrowedRate {
    std::int64_t Units_ = 0;
    TimePoint ExpiresAt_;
  };

  void refill(TimePoint Now);
  void updateShares(TimePoint Now);
  std::int64_t rateCap() const;
  std::int64_t lentPermits() const;
  std::int64_t ownPermits() const;
  std::int64_t heldPermits() const;
  std::int64_t borrowedRate() const;
  bool isBusy(TimePoint Now) const;
  void spendRate();
  void returnSparePermits(std::int64_t Wanted, TimePoint Now);
  bool acceptRequest(const HostId &Borrower, const QuotaLoanRequest &Request);
  std::int64_t lendRate(const QuotaLoanRequest &Request);
  void lendPermits(Lending &Loan, std::uint32_t Wanted, TimePoint Now);

  HostId Self_;
  Incarnation Incarnation_;
  ServiceTerms Terms_;
  std::vector<HostId> Members_; ///< Sorted.
  bool Started_ = false;
  TimePoint LastRefill_;
  // Shares in effect, and the larger shares that take effect at a later time.
  std::uint64_t RateDivisor_ = 0; ///< Own rate is the contract's divided by
                                  ///< this; 0 means no share.
  std::uint64_t NextRateDivisor_ = 0;
  TimePoint NextRateFrom_;
  std::int64_t PermitShare_ = 0;
  std::int64_t NextPermitShare_ = 0;
  TimePoint NextPermitsFrom_;
  std::int64_t OwnRate_ = 0;
  std::uint64_t RateRemainder_ = 0; ///< Of the last refill's division.
  std::deque<BorrowedRate> BorrowedRate_;
  std::uint32_t InProgress_ = 0;
  std::map<HostId, Borrowing> Borrowings_;
  std::map<HostId, Lending> Lendings_;
  std::vector<OrphanedLoan> OrphanedLoans_;
  std::uint64_t LastRequestId_ = 0;
  TimePoint NextRequestAt_;
  // Demand in the current and in the previous period of loan requests: requests
  // offered, and the highest number that would have been in progress.
  std::int64_t Offered_ = 0;
  std::int64_t PeakDemand_ = 0;
  std::int64_t PreviousOffered_ = 0;
  std::int64_t PreviousPeakDemand_ = 0;
  std::optional<TimePoint> LastRefusal_;
};

} // namespace kumquatpitch

#endif
