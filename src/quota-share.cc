// One host's share of a contract's limits. See quota-share.h.

#include "kumquatpitch/quota-share.h"

#include <algorithm>
#include <utility>

namespace kumquatpitch {

namespace {

/// A member that refused a request within this time lends nothing.
constexpr Duration BusyTime = std::chrono::seconds(1);

/// Grants to a borrower that confirms none; then only empty ones are sent until
/// one is confirmed, since what it is granted is lost.
constexpr std::uint32_t MaxUnconfirmedGrants = 3;

/// Loans to replaced incarnations that are kept; beyond it new incarnations
/// get nothing.
constexpr std::size_t MaxOrphanedLoans = 64;

/// A share of this many permits keeps one for its own first request; it costs
/// at most 5% of the contract.
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

QuotaShare::QuotaShare(HostId Self, Incarnation Run, ServiceTerms Terms)
    : Self_(std::move(Self)), Incarnation_(Run), Terms_(std::move(Terms)) {}

void QuotaShare::setTerms(const ServiceTerms &Terms, TimePoint Now) {
  refill(Now);
  Terms_ = Terms;
  applyShare(Now);
}

void QuotaShare::setGroup(std::vector<HostId> Members, TimePoint Now) {
  refill(Now);
  std::sort(Members.begin(), Members.end());
  Members_ = std::move(Members);
  const auto IsOther = [this](const HostId &Host) {
    return !std::binary_search(Members_.begin(), Members_.end(), Host);
  };
  std::erase_if(Borrowings_,
                [&](const std::pair<const HostId, Borrowing> &Each) {
                  return Each.second.Held_ == 0 && IsOther(Each.first);
                });
  std::erase_if(Lendings_, [&](const std::pair<const HostId, Lending> &Each) {
    return Each.second.Permits_ == 0 && IsOther(Each.first);
  });
  applyShare(Now);
}

void QuotaShare::applyShare(TimePoint Now) {
  const bool IsMember =
      std::binary_search(Members_.begin(), Members_.end(), Self_);
  const std::uint64_t Count = IsMember ? Members_.size() : 0;
  // Fewer members give a larger share.
  const bool Gains = Count != 0 && (RateMembers_ == 0 || Count < RateMembers_);
  if (Gains && Count != NextRateMembers_)
    RateFrom_ = Now + QuotaSettleTime;
  NextRateMembers_ = Count;
  if (!Gains)
    RateMembers_ = Count;
  const std::int64_t Permits = permitShare(Terms_.InProgress_, Members_, Self_);
  // Permits that a former holder lent may start a request until their term
  // ends, and that request runs until its deadline.
  if (Permits > PermitShare_ && Permits != NextPermitShare_)
    PermitsFrom_ = Now + QuotaSettleTime + QuotaPermitTerm + Terms_.Deadline_;
  NextPermitShare_ = Permits;
  PermitShare_ = std::min(PermitShare_, Permits);
  OwnRate_ = std::min(OwnRate_, rateCap());
}

std::int64_t QuotaShare::rateCap() const {
  if (RateMembers_ == 0)
    return 0;
  const std::int64_t Saved = static_cast<std::int64_t>(
      Terms_.RatePerSecond_ * static_cast<std::uint64_t>(QuotaBurst.count()) /
      RateMembers_);
  return std::max(Saved, QuotaRequestUnits);
}

void QuotaShare::refill(TimePoint Now) {
  if (!Started_)
    Refilled_ = Now;
  Started_ = true;
  // Handlers may pass times out of order; time never goes back here.
  Now = std::max(Now, Refilled_);
  if (RateMembers_ != NextRateMembers_ && Now >= RateFrom_) {
    RateMembers_ = NextRateMembers_;
    Refilled_ = std::max(Refilled_, RateFrom_);
  }
  if (PermitShare_ != NextPermitShare_ && Now >= PermitsFrom_)
    PermitShare_ = NextPermitShare_;
  if (RateMembers_ > 0) {
    // One request per second is one unit per microsecond.
    const std::uint64_t Elapsed =
        static_cast<std::uint64_t>((Now - Refilled_).count());
    const std::uint64_t Dividend =
        Terms_.RatePerSecond_ * Elapsed + RateRemainder_;
    OwnRate_ += static_cast<std::int64_t>(Dividend / RateMembers_);
    RateRemainder_ = Dividend % RateMembers_;
    OwnRate_ = std::min(OwnRate_, rateCap());
  }
  Refilled_ = Now;
  while (!BorrowedRate_.empty() && BorrowedRate_.front().Until_ <= Now)
    BorrowedRate_.pop_front();
  for (std::pair<const HostId, Lending> &Each : Lendings_)
    if (Each.second.Until_ <= Now)
      Each.second.Permits_ = 0;
  std::erase_if(Orphans_,
                [Now](const OrphanedLoan &Each) { return Each.Until_ <= Now; });
}

std::int64_t QuotaShare::lentPermits() const {
  std::int64_t Sum = 0;
  for (const std::pair<const HostId, Lending> &Each : Lendings_)
    Sum += Each.second.Permits_;
  for (const OrphanedLoan &Each : Orphans_)
    Sum += Each.Permits_;
  return Sum;
}

std::int64_t QuotaShare::ownPermits() const {
  return PermitShare_ - lentPermits();
}

std::int64_t QuotaShare::heldPermits() const {
  std::int64_t Sum = 0;
  for (const std::pair<const HostId, Borrowing> &Each : Borrowings_)
    Sum += Each.second.Held_;
  return Sum;
}

std::int64_t QuotaShare::borrowedRate() const {
  std::int64_t Sum = 0;
  for (const BorrowedRate &Each : BorrowedRate_)
    Sum += Each.Units_;
  return Sum;
}

std::int64_t QuotaShare::spendableRate(TimePoint Now) {
  refill(Now);
  return OwnRate_ + borrowedRate();
}

std::int64_t QuotaShare::usablePermits(TimePoint Now) {
  refill(Now);
  std::int64_t Sum = ownPermits();
  for (const std::pair<const HostId, Borrowing> &Each : Borrowings_)
    if (Each.second.UsableUntil_ > Now)
      Sum += Each.second.Held_;
  return Sum;
}

ResultCode QuotaShare::tryAcquire(TimePoint Now) {
  ++Offered_;
  const bool HasRate = spendableRate(Now) >= QuotaRequestUnits;
  const bool HasPermit = InProgress_ < usablePermits(Now);
  if (HasRate && HasPermit) {
    spendRate();
    ++InProgress_;
    PeakDemand_ = std::max<std::int64_t>(PeakDemand_, InProgress_);
    return ResultCode::Ok;
  }
  RefusedAt_ = Now;
  if (!HasRate)
    return ResultCode::RateExceeded;
  // Each refusal counts as one more request that would be in progress.
  PeakDemand_ = std::max<std::int64_t>(PeakDemand_, InProgress_) + 1;
  return ResultCode::InProgressExceeded;
}

void QuotaShare::spendRate() {
  std::int64_t Missing = QuotaRequestUnits;
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
  return RefusedAt_ && Now - *RefusedAt_ < BusyTime;
}

/// Gives up held permits beyond `Wanted` that no request can be using.
void QuotaShare::returnSpare(std::int64_t Wanted, TimePoint Now) {
  // Expired ones go first: they are of no use, and an ask for others replaces
  // them.
  for (std::pair<const HostId, Borrowing> &Each : Borrowings_) {
    const std::int64_t Unused =
        std::max<std::int64_t>(ownPermits() + heldPermits() - InProgress_, 0);
    if (Each.second.UsableUntil_ <= Now)
      Each.second.Held_ -= static_cast<std::uint32_t>(
          std::min<std::int64_t>(Unused, Each.second.Held_));
  }
  std::int64_t Spare = std::min(heldPermits() - Wanted,
                                ownPermits() + heldPermits() - InProgress_);
  for (std::pair<const HostId, Borrowing> &Each : Borrowings_) {
    if (Spare <= 0)
      return;
    const std::int64_t Returned =
        std::min<std::int64_t>(Spare, Each.second.Held_);
    Each.second.Held_ -= static_cast<std::uint32_t>(Returned);
    Spare -= Returned;
  }
}

std::vector<AddressedAsk> QuotaShare::tick(TimePoint Now) {
  refill(Now);
  std::vector<AddressedAsk> Asks;
  if (Now < NextAskAt_)
    return Asks;
  NextAskAt_ = Now + QuotaAskPeriod;
  OfferedBefore_ = std::exchange(Offered_, 0);
  PeakBefore_ = std::max<std::int64_t>(std::exchange(PeakDemand_, InProgress_),
                                       InProgress_);
  // Asks ahead: for twice the demand of the last period.
  const std::int64_t WantedRate = std::clamp<std::int64_t>(
      2 * OfferedBefore_ * QuotaRequestUnits - OwnRate_ - borrowedRate(), 0,
      Terms_.RatePerSecond_ * QuotaAskPeriod.count() * 2);
  const std::int64_t WantedPermits = std::clamp<std::int64_t>(
      PeakBefore_ + (PeakBefore_ + 3) / 4 - ownPermits(), 0,
      Terms_.InProgress_);
  returnSpare(WantedPermits, Now);
  const std::int64_t MorePermits =
      std::max<std::int64_t>(WantedPermits - heldPermits(), 0);
  const std::int64_t Others =
      std::max<std::int64_t>(std::ssize(Members_) - 1, 1);
  for (const HostId &To : Members_) {
    if (To == Self_)
      continue;
    Borrowing &From = Borrowings_[To];
    // An ask with nothing in it returns permits; it is sent while the lender
    // may still count some.
    const bool Returns = From.Counted_ > 0 && From.UsableUntil_ > Now;
    if (WantedRate == 0 && MorePermits == 0 && From.Held_ == 0 && !Returns)
      continue;
    From.AskId_ = ++LastAskId_;
    From.AskedAt_ = Now;
    const std::int64_t Part = (MorePermits + Others - 1) / Others;
    Asks.push_back(
        {To,
         {From.AskId_, Incarnation_, From.CreditedId_, WantedRate / Others,
          From.Held_, static_cast<std::uint32_t>(Part)}});
  }
  return Asks;
}

/// True when the ask is newer than all that were seen of its incarnation.
bool QuotaShare::acceptAsk(const HostId &From, const QuotaAsk &Ask) {
  Lending &Loan = Lendings_[From];
  if (Loan.Borrower_ == Ask.Borrower_)
    return Ask.Id_ > Loan.LastAsk_;
  if (Loan.Permits_ > 0) {
    if (Orphans_.size() >= MaxOrphanedLoans)
      return false;
    Orphans_.push_back({Loan.Permits_, Loan.Until_});
  }
  Loan = Lending{};
  Loan.Borrower_ = Ask.Borrower_;
  return true;
}

std::optional<QuotaGrant>
QuotaShare::onAsk(const HostId &From, const QuotaAsk &Ask, TimePoint Now) {
  refill(Now);
  if (!std::binary_search(Members_.begin(), Members_.end(), From) ||
      !acceptAsk(From, Ask))
    return std::nullopt;
  Lending &Loan = Lendings_[From];
  // The borrower credits no grant of an earlier ask any more, so what it holds
  // is what this ask says.
  Loan.Permits_ = std::min(Loan.Permits_, Ask.HeldPermits_);
  if (Ask.LastCredited_ != 0 && Ask.LastCredited_ == Loan.LastAsk_)
    Loan.Unconfirmed_ = 0;
  Loan.LastAsk_ = Ask.Id_;
  // A busy lender renews nothing, so that its permits come back.
  if (isBusy(Now))
    return std::nullopt;
  QuotaGrant Grant{Ask.Id_, Ask.Borrower_, Incarnation_, 0, 0};
  const bool Confirms = Loan.Unconfirmed_ < MaxUnconfirmedGrants;
  if (Confirms) {
    ++Loan.Unconfirmed_;
    Grant.Rate_ = lendRate(Ask);
  }
  lendPermits(Loan, Confirms ? Ask.Permits_ : 0, Now);
  Grant.Permits_ = Loan.Permits_;
  return Grant;
}

std::int64_t QuotaShare::lendRate(const QuotaAsk &Ask) {
  // Keeps what its own requests take in two periods, and one request.
  const std::int64_t Recent = std::max(Offered_, OfferedBefore_);
  const std::int64_t Reserve =
      2 * Recent * QuotaRequestUnits +
      (rateCap() >= 2 * QuotaRequestUnits ? QuotaRequestUnits : 0);
  const std::int64_t Lent = std::clamp<std::int64_t>(
      OwnRate_ - Reserve, 0, std::max<std::int64_t>(Ask.Rate_, 0));
  OwnRate_ -= Lent;
  return Lent;
}

void QuotaShare::lendPermits(Lending &Loan, std::uint32_t Asked,
                             TimePoint Now) {
  const std::int64_t Reserve =
      std::max(
          {PeakBefore_, PeakDemand_, static_cast<std::int64_t>(InProgress_)}) +
      (PermitShare_ >= ReservePermitsFrom ? 1 : 0);
  const std::int64_t More =
      std::clamp<std::int64_t>(ownPermits() - Reserve, 0, Asked);
  Loan.Permits_ += static_cast<std::uint32_t>(More);
  Loan.Until_ = Now + QuotaPermitTerm + Terms_.Deadline_ + QuotaDriftMargin;
}

bool QuotaShare::onGrant(const HostId &From, const QuotaGrant &Grant,
                         TimePoint Now) {
  refill(Now);
  const std::map<HostId, Borrowing>::iterator It = Borrowings_.find(From);
  if (It == Borrowings_.end() || Grant.Borrower_ != Incarnation_)
    return false;
  Borrowing &To = It->second;
  if (Grant.AskId_ != To.AskId_ || To.CreditedId_ == To.AskId_ ||
      Now - To.AskedAt_ >= QuotaGrantValidity)
    return false;
  To.CreditedId_ = Grant.AskId_;
  To.Counted_ = Grant.Permits_;
  if (Grant.Rate_ > 0)
    BorrowedRate_.push_back({Grant.Rate_, Now + QuotaBorrowedRateTerm});
  To.Held_ = std::max(To.Held_, Grant.Permits_);
  if (Grant.Permits_ >= To.Held_)
    To.UsableUntil_ = To.AskedAt_ + QuotaPermitTerm;
  return true;
}

} // namespace kumquatpitch
