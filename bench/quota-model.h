// Virtual-time model of a group of hosts around the real QuotaShare: a network
// that loses, duplicates, delays and partitions, hosts that pause and are
// replaced, and an account of what all hosts together spend.

#ifndef KUMQUATPITCH_QUOTA_MODEL_H
#define KUMQUATPITCH_QUOTA_MODEL_H

#include "kumquatpitch/quota-share.h"
#include "kumquatpitch/random-source.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace kumquatpitch::bench {

/// How the contract is divided.
enum class Division : std::uint8_t { Shared, FullLimitEach, EqualShares };

/// Faults in percent of messages, and host faults in each million steps of a
/// millisecond.
struct QuotaFaults {
  unsigned LossPercent_ = 0;
  unsigned DuplicatePercent_ = 0;
  unsigned DelayPercent_ = 0; ///< Delayed by up to 3 s, so also reordered.
  unsigned PartitionsPerMillionSteps_ = 0; ///< One-way, for up to 5 s.
  unsigned KillsPerMillionSteps_ = 0;
  unsigned PausesPerMillionSteps_ = 0; ///< For up to 4 s.
};

/// Guard that a run takes out, to see that the account finds it.
enum class QuotaGuard : std::uint8_t { None, SettleTime };

class QuotaModel {
public:
  QuotaModel(Division Rule, std::size_t Hosts, const ServiceTerms &Terms,
             const QuotaFaults &Faults, std::uint64_t Seed)
      : Rule_(Rule), Terms_(Terms), Faults_(Faults), Random_(Seed),
        Hosts_(Hosts), CutUntil_(Hosts * Hosts) {
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      Members_.push_back(idOf(Index));
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      start(Index);
  }

  static HostId idOf(std::size_t Index) {
    return HostId("host-" + std::to_string(Index));
  }

  /// Changes the list that one host sees.
  void setMembers(std::size_t Index, const std::vector<HostId> &Members) {
    Hosts_[Index].Share_->setGroup(listFor(Index, Members), Now_);
  }

  /// Cuts the host off in both directions for good.
  void isolate(std::size_t Index) {
    for (std::size_t Other = 0; Other < Hosts_.size(); ++Other) {
      cut(Index, Other, Forever);
      cut(Other, Index, Forever);
    }
  }

  /// Moves time on by a millisecond: messages, ticks, ends of requests, faults.
  void step() {
    Now_ += std::chrono::milliseconds(1);
    injectFaults();
    while (!Network_.empty() && Network_.top().At_ <= Now_) {
      const Message Arrived = Network_.top();
      Network_.pop();
      deliver(Arrived);
    }
    for (std::size_t Index = 0; Index < Hosts_.size(); ++Index) {
      endRequests(Hosts_[Index]);
      if (!paused(Hosts_[Index]) && Rule_ == Division::Shared)
        for (const AddressedLoanRequest &Each :
             Hosts_[Index].Share_->tick(Now_))
          sendAsk(Index, Each);
    }
    std::erase_if(Orphaned_, [this](TimePoint End) { return End <= Now_; });
    account();
  }

  /// Offers a request to a host; true when the contract admits it there.
  bool offer(std::size_t Index, Duration ServiceTime) {
    Host &At = Hosts_[Index];
    if (paused(At) || At.Share_->tryAcquire(Now_) != ResultCode::Ok)
      return false;
    At.Running_.push_back(Now_ + ServiceTime);
    ++Admitted_;
    account();
    return true;
  }

  bool paused(std::size_t Index) const { return paused(Hosts_[Index]); }
  std::uint64_t admitted() const { return Admitted_; }
  std::uint64_t grantsCredited() const { return Credited_; }
  std::uint64_t doubleCredits() const { return DoubleCredits_; }
  std::uint64_t messages() const { return Sent_; }
  TimePoint now() const { return Now_; }

  /// Highest excess over `rate * W + B` in any window; negative when none.
  double rateExcess() const { return RateExcess_; }
  std::uint64_t mostInProgress() const { return MostInProgress_; }

  /// The stated burst B in requests.
  double burst() const {
    const double HalfSecond = 0.5 * Terms_.RatePerSecond_;
    const double Share = HalfSecond / static_cast<double>(Members_.size());
    return HalfSecond +
           std::max(Share, 1.0) * static_cast<double>(Members_.size());
  }

  QuotaGuard GuardOut_ = QuotaGuard::None;

private:
  static constexpr TimePoint Forever = TimePoint::max();

  struct Host {
    std::unique_ptr<QuotaShare> Share_;
    TimePoint PausedUntil_{};
    std::vector<TimePoint> Running_; ///< Ends of requests in progress.
  };

  struct Message {
    TimePoint At_;
    std::uint64_t Number_ = 0;
    std::size_t From_ = 0;
    std::size_t To_ = 0;
    std::optional<QuotaLoanRequest> LoanRequest_;
    std::optional<QuotaGrant> Grant_;

    bool operator>(const Message &Other) const {
      return At_ != Other.At_ ? At_ > Other.At_ : Number_ > Other.Number_;
    }
  };

  bool paused(const Host &At) const { return At.PausedUntil_ > Now_; }

  std::vector<HostId> listFor(std::size_t Index,
                              const std::vector<HostId> &Members) const {
    if (Rule_ == Division::FullLimitEach)
      return {idOf(Index)};
    return Members;
  }

  void start(std::size_t Index) {
    Hosts_[Index].Share_ =
        std::make_unique<QuotaShare>(idOf(Index), Random_.next() | 1, Terms_);
    TimePoint From = Now_;
    // Without the settle time a new incarnation has its share at once.
    if (GuardOut_ == QuotaGuard::SettleTime)
      From -= std::chrono::seconds(1'000);
    Hosts_[Index].Share_->setGroup(listFor(Index, Members_), From);
  }

  void kill(std::size_t Index) {
    Host &Killed = Hosts_[Index];
    // Backend servers still work on what the host sent.
    Orphaned_.insert(Orphaned_.end(), Killed.Running_.begin(),
                     Killed.Running_.end());
    Killed = Host{};
    start(Index);
  }

  bool happens(unsigned Chance, unsigned Of) {
    return Chance > 0 && Random_.below(Of) < Chance;
  }

  Duration upTo(std::int64_t Milliseconds) {
    return std::chrono::milliseconds(
        1 + Random_.below(static_cast<std::uint64_t>(Milliseconds)));
  }

  void injectFaults() {
    constexpr unsigned PerSteps = 1'000'000;
    const std::size_t Index = Random_.below(Hosts_.size());
    if (happens(Faults_.PartitionsPerMillionSteps_, PerSteps))
      cut(Index, Random_.below(Hosts_.size()), Now_ + upTo(5'000));
    if (happens(Faults_.KillsPerMillionSteps_, PerSteps))
      kill(Index);
    if (happens(Faults_.PausesPerMillionSteps_, PerSteps))
      Hosts_[Index].PausedUntil_ = Now_ + upTo(4'000);
  }

  void cut(std::size_t From, std::size_t To, TimePoint Until) {
    TimePoint &Cut = CutUntil_[From * Hosts_.size() + To];
    Cut = std::max(Cut, Until);
  }

  void sendAsk(std::size_t From, const AddressedLoanRequest &Each) {
    for (std::size_t To = 0; To < Hosts_.size(); ++To)
      if (idOf(To) == Each.To_)
        send({Now_, 0, From, To, Each.LoanRequest_, std::nullopt});
  }

  void send(Message Sent) {
    ++Sent_;
    if (CutUntil_[Sent.From_ * Hosts_.size() + Sent.To_] > Now_ ||
        happens(Faults_.LossPercent_, 100))
      return;
    const unsigned Copies = happens(Faults_.DuplicatePercent_, 100) ? 2 : 1;
    for (unsigned Copy = 0; Copy < Copies; ++Copy) {
      Sent.At_ = Now_ + std::chrono::milliseconds(1);
      if (happens(Faults_.DelayPercent_, 100))
        Sent.At_ += upTo(3'000);
      Sent.Number_ = ++LastNumber_;
      Network_.push(Sent);
    }
  }

  void deliver(const Message &Arrived) {
    Host &At = Hosts_[Arrived.To_];
    if (paused(At)) { // Read when the host resumes.
      Message Later = Arrived;
      Later.At_ = At.PausedUntil_;
      Network_.push(Later);
      return;
    }
    if (Arrived.LoanRequest_) {
      const std::optional<QuotaGrant> Grant = At.Share_->onLoanRequest(
          idOf(Arrived.From_), *Arrived.LoanRequest_, Now_);
      if (Grant)
        send({Now_, 0, Arrived.To_, Arrived.From_, std::nullopt, Grant});
      return;
    }
    if (!At.Share_->onGrant(idOf(Arrived.From_), *Arrived.Grant_, Now_))
      return;
    ++Credited_;
    const bool First = CreditedGrants_
                           .insert({Arrived.From_, Arrived.Grant_->Borrower_,
                                    Arrived.Grant_->LoanRequestId_})
                           .second;
    DoubleCredits_ += First ? 0 : 1;
  }

  void endRequests(Host &At) {
    std::erase_if(At.Running_, [&](TimePoint End) {
      // A paused host counts a request until it resumes; the backend server
      // has ended it.
      if (End > Now_ || paused(At))
        return false;
      At.Share_->release(Now_);
      return true;
    });
  }

  /// Checked after each millisecond and each admitted request: what was spent
  /// since any earlier point and what can be spent now stay within
  /// `rate * W + B`; requests in progress and permits that can be used now stay
  /// within the contract.
  void account() {
    const double Seconds =
        std::chrono::duration<double>(Now_.time_since_epoch()).count();
    const double Drift =
        static_cast<double>(Admitted_) - Terms_.RatePerSecond_ * Seconds;
    LeastDrift_ = std::min(LeastDrift_, Drift);
    double Spendable = 0;
    std::uint64_t Permits = Orphaned_.size();
    for (const Host &Each : Hosts_) {
      Spendable += static_cast<double>(Each.Share_->spendableRate(Now_)) /
                   QuotaUnitsPerRequest;
      const std::int64_t Running =
          std::count_if(Each.Running_.begin(), Each.Running_.end(),
                        [this](TimePoint End) { return End > Now_; });
      Permits += static_cast<std::uint64_t>(
          std::max(Running, Each.Share_->usablePermits(Now_)));
    }
    RateExcess_ =
        std::max(RateExcess_, Drift + Spendable - LeastDrift_ - burst());
    MostInProgress_ = std::max(MostInProgress_, Permits);
  }

  Division Rule_;
  ServiceTerms Terms_;
  QuotaFaults Faults_;
  SeededRandom Random_;
  std::vector<Host> Hosts_;
  std::vector<HostId> Members_;
  std::vector<TimePoint> CutUntil_;
  std::priority_queue<Message, std::vector<Message>, std::greater<>> Network_;
  std::vector<TimePoint> Orphaned_;
  TimePoint Now_{};
  std::uint64_t LastNumber_ = 0;
  std::uint64_t Sent_ = 0;
  std::uint64_t Credited_ = 0;
  std::uint64_t DoubleCredits_ = 0;
  std::set<std::tuple<std::size_t, Incarnation, std::uint64_t>> CreditedGrants_;
  std::uint64_t Admitted_ = 0;
  std::uint64_t MostInProgress_ = 0;
  double LeastDrift_ = 0;
  double RateExcess_ = -1e9;
};

} // namespace kumquatpitch::bench

#endif
