// One host's share of a contract's limits. See quota-share.h.

#include "kumquatpitch/quota-share.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

/// A member that refused a request within this time lends no quota.
constexpr Duration BusyTime = std::chrono::seconds(1);

/// Grants that a borrower may leave unconfirmed. Then it gets only grants
/// without new quota until it confirms one, since unconfirmed quota is lost.
constexpr std::uint32_t MaxUnconfirmedGrants = 3;

/// Limit of loans to replaced incarnations. At the limit, a new incarnation of
/// a host that still has a loan gets no grant.
constexpr std::size_t MaxOrphanedLoans = 64;

/// A share of at least this many permits reserves one for its own next request.
/// The reserve is at most 5% of the contract's permits.
constexpr std::int64_t ReservePermitsFrom = 20;

std::int64_t permitShare(std::int64_t Total, const std::vector<HostId> &Members,
                         const HostId &Self) {
  const std::vector<HostId>::const_iterator It =
      std::lower_bound(Members.begin(), Members.end(), Self);
  if (It == Members.end() || *It != Self)
    return 0;
  const std::int64_t Index = It - Members.begin();
  const std::int64_t Count = std::ssize(Members);
  return Total * (Index + 1) / Count - Total * Index / Count;
}

} // namespace

QuotaShare::QuotaShare(HostId Self, Incarnation OwnIncarnation,
                       ServiceTerms Terms)
    : Self_(std::move(Self)), Incarnation_(OwnIncarnation),
      Terms_(std::move(Terms)) {}

void QuotaShare::setTerms(const ServiceTerms &Terms, TimePoint Now) {
  refill(Now);
  Terms_ = Terms;
  updateShares(Now);
}

void QuotaShare::setGroup(std::vector<HostId> Members, TimePoint Now) {
  refill(Now);
  std::sort(Members.begin(), Members.end());
  Members_ = std::move(Members);
  const auto IsFormerMember = [this](const HostId &Host) {
    return !std::binary_search(Members_.begin(), Members_.end(), Host);
  };
  std::erase_if(
      Borrowings_, [&](const std::pair<const HostId, Borrowing> &Loan) {
        return Loan.second.HeldPermits_ == 0 && IsFormerMember(Loan.first);
      });
  std::erase_if(Lendings_, [&](const std::pair<const HostId, Lending> &Loan) {
    return Loan.second.Permits_ == 0 && IsFormerMember(Loan.first);
  });
  updateShares(Now);
}

void QuotaShare::updateShares(TimePoint Now) {
  const bool IsMember =
      std::binary_search(Members_.begin(), Members_.end(), Self_);
  const std::uint64_t Count = IsMember ? Members_.size() : 0;
  // Fewer members give a larger share.
  const bool IsLarger =
      Count != 0 && (RateDivisor_ == 0 || Count < RateDivisor_);
  if (IsLarger && Count != NextRateDivisor_)
    NextRateFrom_ = Now + QuotaSettleTime;
  NextRateDivisor_ = Count;
  if (!IsLarger)
    RateDivisor_ = Count;
  const std::int64_t Permits = permitShare(Terms_.InProgress_, Members_, Self_);
  // The share's former owner may have lent these permits. The borrower may
  // start requests until the loan's term ends, and these run until their
  // deadline.
  if (Permits > PermitShare_ && Permits != NextPermitShare_)
    NextPermitsFrom_ =
        Now + QuotaSettleTime + QuotaPermitTerm + Terms_.Deadline_;
  NextPermitShare_ = Permits;
  PermitShare_ = std::min(PermitShare_, Permits);
  OwnRate_ = std::min(OwnRate_, rateCap());
}

std::int64_t QuotaShare::rateCap() const {
  if (RateDivisor_ == 0)
    return 0;
  const std::int64_t Saved = static_cast<std::int64_t>(
      Terms_.RatePerSecond_ * static_cast<std::uint64_t>(QuotaBurst.count()) /
      RateDivisor_);
  return std::max(Saved, QuotaUnitsPerRequest);
}

void QuotaShare::refill(TimePoint Now) {
  if (!Started_)
    LastRefill_ = Now;
  Started_ = true;
  // Event handlers may pass times out of order; earlier times are ignored.
  Now = std::max(Now, LastRefill_);
  if (RateDivisor_ != NextRateDivisor_ && Now >= NextRateFrom_) {
    RateDivisor_ = NextRateDivisor_;
    LastRefill_ = std::max(LastRefill_, NextRateFrom_);
  }
  if (PermitShare_ != NextPermitShare_ && Now >= NextPermitsFrom_)
    PermitShare_ = NextPermitShare_;
  if (RateDivisor_ > 0) {
    // Elapsed is in microseconds, and a rate of one request per second is one
    // unit per microsecond.
    const std::uint64_t Elapsed =
        static_cast<std::uint64_t>((Now - LastRefill_).count());
    const std::uint64_t Dividend =
        Terms_.RatePerSecond_ * Elapsed + RateRemainder_;
    OwnRate_ += static_cast<std::int64_t>(Dividend / RateDivisor_);
    RateRemainder_ = Dividend % RateDivisor_;
    OwnRate_ = std::min(OwnRate_, rateCap());
  }
  LastRefill_ = Now;
  while (!BorrowedRate_.empty() && BorrowedRate_.front().ExpiresAt_ <= Now)
    BorrowedRate_.pop_front();
  for (std::pair<const HostId, Lending> &Loan : Lendings_)
    if (Loan.second.ExpiresAt_ <= Now)
      Loan.second.Permits_ = 0;
  std::erase_if(OrphanedLoans_, [Now](const OrphanedLoan &Loan) {
    return Loan.ExpiresAt_ <= Now;
  });
}

std::int64_t QuotaShare::lentPermits() const {
  std::int64_t Sum = 0;
  for (const std::pair<const HostId, Lending> &Loan : Lendings_)
    Sum += Loan.second.Permits_;
  for (const OrphanedLoan &Loan : OrphanedLoans_)
    Sum += Loan.Permits_;
  return Sum;
}

std::int64_t QuotaShare::ownPermits() const {
  return PermitShare_ - lentPermits();
}

std::int64_t QuotaShare::heldPermits() const {
  std::int64_t Sum = 0;
  for (const std::pair<const HostId, Borrowing> &Loan : Borrowings_)
    Sum += Loan.second.HeldPermits_;
  return Sum;
}

std::int64_t QuotaShare::borrowedRate() const {
  std::int64_t Sum = 0;
  for (const BorrowedRate &Credit : BorrowedRate_)
    Sum += Credit.Units_;
  return Sum;
}

std::int64_t QuotaShare::spendableRate(TimePoint Now) {
  refill(Now);
  return OwnRate_ + borrowedRate();
}

std::int64_t QuotaShare::usablePermits(TimePoint Now) {
  refill(Now);
  std::int64_t Sum = ownPermits();
  for (const std::pair<const HostId, Borrowing> &Loan : Borrowings_)
    if (Loan.second.UsableUntil_ > Now)
      Sum += Loan.second.HeldPermits_;
  return Sum;
}

ResultCode QuotaShare::tryAcquire(TimePoint Now) {
  ++Offered_;
  const bool HasRate = spendableRate(Now) >= QuotaUnitsPerRequest;
  const bool HasPermit = InProgress_ < usablePermits(Now);
  if (HasRate && HasPermit) {
    spendRate();
    ++InProgress_;
    PeakDemand_ = std::max<std::int64_t>(PeakDemand_, InProgress_);
    return ResultCode::Ok;
  }
  LastRefusal_ = Now;
  if (!HasRate)
    return ResultCode::RateExceeded;
  // Each refused request would have raised the number in progress by one.
  PeakDemand_ = std::max<std::int64_t>(PeakDemand_, InProgress_) + 1;
  return ResultCode::InProgressExceeded;
}

void QuotaShare::spendRate() {
  std::int64_t Missing = QuotaUnitsPerRequest;
  while (Missing > 0 && !BorrowedRate_.empty()) {
    BorrowedRate &Oldest = BorrowedRate_.front();
    const std::int64_t Taken = std::min(Missing, Oldest.Units_);
    Oldest.Units_ -= Taken;
    Missing -= Taken;
    if (Oldest.Units_ == 0)
      BorrowedRate_.pop_front();
  }
  OwnRate_ -= Missing;
}

void QuotaShare::release(TimePoint Now) {
  refill(Now);
  if (InProgress_ > 0)
    --InProgress_;
}

bool QuotaShare::isBusy(TimePoint Now) const {
  return LastRefusal_ && Now - *LastRefusal_ < BusyTime;
}

/// Returns borrowed permits beyond `Wanted`, as far as no request uses them.
void QuotaShare::returnSparePermits(std::int64_t Wanted, TimePoint Now) {
  // Expired permits are returned first: no request can start with them, and the
  // next loan request asks for replacements.
  for (std::pair<const HostId, Borrowing> &Loan : Borrowings_) {
    const std::int64_t Unused =
        std::max<std::int64_t>(ownPermits() + heldPermits() - InProgress_, 0);
    if (Loan.second.UsableUntil_ <= Now)
      Loan.second.HeldPermits_ -= static_cast<std::uint32_t>(
          std::min<std::int64_t>(Unused, Loan.second.HeldPermits_));
  }
  std::int64_t Spare = std::min(heldPermits() - Wanted,
                                ownPermits() + heldPermits() - InProgress_);
  for (std::pair<const HostId, Borrowing> &Loan : Borrowings_) {
    if (Spare <= 0)
      return;
    const std::int64_t Returned =
        std::min<std::int64_t>(Spare, Loan.second.HeldPermits_);
    Loan.second.HeldPermits_ -= static_cast<std::uint32_t>(Returned);
    Spare -= Returned;
  }
}

std::vector<AddressedLoanRequest> QuotaShare::tick(TimePoint Now) {
  refill(Now);
  std::vector<AddressedLoanRequest> Requests;
  if (Now < NextRequestAt_)
    return Requests;
  NextRequestAt_ = Now + QuotaLoanRequestPeriod;
  PreviousOffered_ = std::exchange(Offered_, 0);
  PreviousPeakDemand_ = std::max<std::int64_t>(
      std::exchange(PeakDemand_, InProgress_), InProgress_);
  // Requests rate in advance: twice the demand of the last period.
  const std::int64_t WantedRate = std::clamp<std::int64_t>(
      2 * PreviousOffered_ * QuotaUnitsPerRequest - OwnRate_ - borrowedRate(),
      0, Terms_.RatePerSecond_ * QuotaLoanRequestPeriod.count() * 2);
  const std::int64_t WantedPermits = std::clamp<std::int64_t>(
      PreviousPeakDemand_ + (PreviousPeakDemand_ + 3) / 4 - ownPermits(), 0,
      Terms_.InProgress_);
  returnSparePermits(WantedPermits, Now);
  const std::int64_t MorePermits =
      std::max<std::int64_t>(WantedPermits - heldPermits(), 0);
  const std::int64_t Others =
      std::max<std::int64_t>(std::ssize(Members_) - 1, 1);
  for (const HostId &Lender : Members_) {
    if (Lender == Self_)
      continue;
    Borrowing &Loan = Borrowings_[Lender];
    // A loan request for no quota returns permits. It is sent while the lender
    // may still count some of them as lent.
    const bool IsReturn = Loan.PermitsAtLender_ > 0 && Loan.UsableUntil_ > Now;
    if (WantedRate == 0 && MorePermits == 0 && Loan.HeldPermits_ == 0 &&
        !IsReturn)
      continue;
    Loan.RequestId_ = ++LastRequestId_;
    Loan.RequestedAt_ = Now;
    const std::int64_t PermitsPerLender = (MorePermits + Others - 1) / Others;
    Requests.push_back(
        {Lender,
         {Loan.RequestId_, Incarnation_, Loan.CreditedId_, WantedRate / Others,
          Loan.HeldPermits_, static_cast<std::uint32_t>(PermitsPerLender)}});
  }
  return Requests;
}

/// True when the loan request is newer than all others of the borrower's
/// incarnation. A new incarnation starts without a loan; the permits of its
/// predecessor stay lent until they expire.
bool QuotaShare::acceptRequest(const HostId &Borrower,
                               const QuotaLoanRequest &Request) {
  Lending &Loan = Lendings_[Borrower];
  if (Loan.Borrower_ == Request.Borrower_)
    return Request.Id_ > Loan.LastRequestId_;
  if (Loan.Permits_ > 0) {
    if (OrphanedLoans_.size() >= MaxOrphanedLoans)
      return false;
    OrphanedLoans_.push_back({Loan.Permits_, Loan.ExpiresAt_});
  }
  Loan = Lending{};
  Loan.Borrower_ = Request.Borrower_;
  return true;
}

std::optional<QuotaGrant>
QuotaShare::onLoanRequest(const HostId &Borrower,
                          const QuotaLoanRequest &Request, TimePoint Now) {
  refill(Now);
  if (!std::binary_search(Members_.begin(), Members_.end(), Borrower) ||
      !acceptRequest(Borrower, Request))
    return std::nullopt;
  Lending &Loan = Lendings_[Borrower];
  // After this loan request the borrower credits no grant of an earlier one, so
  // it holds no more permits than the request states.
  Loan.Permits_ = std::min(Loan.Permits_, Request.HeldPermits_);
  if (Request.LastCredited_ != 0 &&
      Request.LastCredited_ == Loan.LastRequestId_)
    Loan.UnconfirmedGrants_ = 0;
  Loan.LastRequestId_ = Request.Id_;
  // A busy lender does not renew loans, so that its permits return.
  if (isBusy(Now))
    return std::nullopt;
  QuotaGrant Grant{Request.Id_, Request.Borrower_, Incarnation_, 0, 0};
  const bool BorrowerConfirms = Loan.UnconfirmedGrants_ < MaxUnconfirmedGrants;
  if (BorrowerConfirms) {
    ++Loan.UnconfirmedGrants_;
    Grant.Rate_ = lendRate(Request);
  }
  lendPermits(Loan, BorrowerConfirms ? Request.Permits_ : 0, Now);
  Grant.Permits_ = Loan.Permits_;
  return Grant;
}

std::int64_t QuotaShare::lendRate(const QuotaLoanRequest &Request) {
  // Reserves the rate of this host's own requests in two periods, and the rate
  // of one more request if the bucket can hold at least two.
  const std::int64_t Recent = std::max(Offered_, PreviousOffered_);
  const std::int64_t Reserve =
      2 * Recent * QuotaUnitsPerRequest +
      (rateCap() >= 2 * QuotaUnitsPerRequest ? QuotaUnitsPerRequest : 0);
  const std::int64_t Lent = std::clamp<std::int64_t>(
      OwnRate_ - Reserve, 0, std::max<std::int64_t>(Request.Rate_, 0));
  OwnRate_ -= Lent;
  return Lent;
}

void QuotaShare::lendPermits(Lending &Loan, std::uint32_t Wanted,
                             TimePoint Now) {
  const std::int64_t Reserve =
      std::max({PreviousPeakDemand_, PeakDemand_,
                static_cast<std::int64_t>(InProgress_)}) +
      (PermitShare_ >= ReservePermitsFrom ? 1 : 0);
  const std::int64_t More =
      std::clamp<std::int64_t>(ownPermits() - Reserve, 0, Wanted);
  Loan.Permits_ += static_cast<std::uint32_t>(More);
  Loan.ExpiresAt_ = Now + QuotaPermitTerm + Terms_.Deadline_ + QuotaDriftMargin;
}

bool QuotaShare::onGrant(const HostId &Lender, const QuotaGrant &Grant,
                         TimePoint Now) {
  refill(Now);
  const std::map<HostId, Borrowing>::iterator It = Borrowings_.find(Lender);
  if (It == Borrowings_.end() || Grant.Borrower_ != Incarnation_)
    return false;
  Borrowing &Loan = It->second;
  if (Grant.LoanRequestId_ != Loan.RequestId_ ||
      Loan.CreditedId_ == Loan.RequestId_ ||
      Now - Loan.RequestedAt_ >= QuotaGrantValidity)
    return false;
  Loan.CreditedId_ = Grant.LoanRequestId_;
  Loan.PermitsAtLender_ = Grant.Permits_;
  if (Grant.Rate_ > 0)
    BorrowedRate_.push_back({Grant.Rate_, Now + QuotaBorrowedRateTerm});
  Loan.HeldPermits_ = std::max(Loan.HeldPermits_, Grant.Permits_);
  if (Grant.Permits_ >= Loan.HeldPermits_)
    Loan.UsableUntil_ = Loan.RequestedAt_ + QuotaPermitTerm;
  return true;
}

} // namespace kumquatpitch
