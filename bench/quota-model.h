// Virtual-time model of a group of hosts around the real QuotaShare. Its
// network loses, duplicates and delays messages and is partitioned, and its
// hosts pause and are replaced. It adds up what all hosts spend together and
// compares the sum with the contract.

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

/// How a contract's limits are divided between the hosts.
enum class Division : std::uint8_t { Shared, FullLimitEach, EqualShares };

/// Message faults in percent of messages; partitions and host faults per
/// million steps of one millisecond.
struct QuotaFaults {
  unsigned LossPercent_ = 0;
  unsigned DuplicatePercent_ = 0;
  unsigned DelayPercent_ = 0; ///< By up to 3 s, which also reorders.
  unsigned PartitionsPerMillionSteps_ = 0; ///< One-way, for up to 5 s.
  unsigned KillsPerMillionSteps_ = 0;
  unsigned PausesPerMillionSteps_ = 0; ///< For up to 4 s.
};

/// A safeguard that a run disables, to verify that the model then detects a
/// broken limit.
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

  /// Sets the member list that one host uses.
  void setMembers(std::size_t Index, const std::vector<HostId> &Members) {
    Hosts_[Index].Share_->setGroup(listFor(Index, Members), Now_);
  }

  /// Cuts the host off in both directions for the rest of the run.
  void isolate(std::size_t Index) {
    for (std::size_t Other = 0; Other < Hosts_.size(); ++Other) {
      cut(Index, Other, Forever);
      cut(Other, Index, Forever);
    }
  }

  /// Advances time by one millisecond: injects faults, delivers messages, ends
  /// requests and lets the hosts tick.
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
      if (!isPaused(Hosts_[Index]) && Rule_ == Division::Shared)
        for (const AddressedLoanRequest &Addressed :
             Hosts_[Index].Share_->tick(Now_))
          sendLoanRequest(Index, Addressed);
    }
    std::erase_if(OrphanedEnds_, [this](TimePoint End) { return End <= Now_; });
    updateMaxima();
  }

  /// Sends a request to a host. True when its quota share admits it.
  bool tryAdmit(std::size_t Index, Duration ServiceTime) {
    Host &Target = Hosts_[Index];
    if (isPaused(Target) || Target.Share_->tryAcquire(Now_) != ResultCode::Ok)
      return false;
    Target.RunningEnds_.push_back(Now_ + ServiceTime);
    ++Admitted_;
    updateMaxima();
    return true;
  }

  bool isPaused(std::size_t Index) const { return isPaused(Hosts_[Index]); }
  std::uint64_t admitted() const { return Admitted_; }
  std::uint64_t grantsCredited() const { return Credited_; }
  std::uint64_t doubleCredits() const { return DoubleCredits_; }
  std::uint64_t messages() const { return Sent_; }
  TimePoint now() const { return Now_; }

  /// Highest excess, in requests, over `rate * W + B` in any window of length
  /// W, with the contract's rate and the burst B. Negative when there was none.
  double rateExcess() const { return RateExcess_; }
  std::uint64_t mostInProgress() const { return MostInProgress_; }

  /// The specified burst B in requests.
  double burstRequests() const {
    const double HalfSecond = 0.5 * Terms_.RatePerSecond_;
    const double Share = HalfSecond / static_cast<double>(Members_.size());
    return HalfSecond +
           std::max(Share, 1.0) * static_cast<double>(Members_.size());
  }

  QuotaGuard DisabledGuard_ = QuotaGuard::None;

private:
  static constexpr TimePoint Forever = TimePoint::max();

  struct Host {
    std::unique_ptr<QuotaShare> Share_;
    TimePoint PausedUntil_{};
    std::vector<TimePoint> RunningEnds_; ///< Of the requests in progress.
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

  bool isPaused(const Host &Target) const { return Target.PausedUntil_ > Now_; }

  std::vector<HostId> listFor(std::size_t Index,
                              const std::vector<HostId> &Members) const {
    if (Rule_ == Division::FullLimitEach)
      return {idOf(Index)};
    return Members;
  }

  void start(std::size_t Index) {
    Hosts_[Index].Share_ =
        std::make_unique<QuotaShare>(idOf(Index), Random_.next() | 1, Terms_);
    TimePoint Start = Now_;
    // With the settle time disabled, a new incarnation has its share at once.
    if (DisabledGuard_ == QuotaGuard::SettleTime)
      Start -= std::chrono::seconds(1'000);
    Hosts_[Index].Share_->setGroup(listFor(Index, Members_), Start);
  }

  void kill(std::size_t Index) {
    Host &Killed = Hosts_[Index];
    // Backend servers still process the requests that the host sent.
    OrphanedEnds_.insert(OrphanedEnds_.end(), Killed.RunningEnds_.begin(),
                         Killed.RunningEnds_.end());
    Killed = Host{};
    start(Index);
  }

  bool occurs(unsigned Chance, unsigned Total) {
    return Chance > 0 && Random_.below(Total) < Chance;
  }

  Duration upTo(std::int64_t Milliseconds) {
    return std::chrono::milliseconds(
        1 + Random_.below(static_cast<std::uint64_t>(Milliseconds)));
  }

  void injectFaults() {
    constexpr unsigned PerSteps = 1'000'000;
    const std::size_t Index = Random_.below(Hosts_.size());
    if (occurs(Faults_.PartitionsPerMillionSteps_, PerSteps))
      cut(Index, Random_.below(Hosts_.size()), Now_ + upTo(5'000));
    if (occurs(Faults_.KillsPerMillionSteps_, PerSteps))
      kill(Index);
    if (occurs(Faults_.PausesPerMillionSteps_, PerSteps))
      Hosts_[Index].PausedUntil_ = Now_ + upTo(4'000);
  }

  void cut(std::size_t From, std::size_t To, TimePoint Until) {
    TimePoint &CutEnd = CutUntil_[From * Hosts_.size() + To];
    CutEnd = std::max(CutEnd, Until);
  }

  void sendLoanRequest(std::size_t From,
                       const AddressedLoanRequest &Addressed) {
    for (std::size_t To = 0; To < Hosts_.size(); ++To)
      if (idOf(To) == Addressed.To_)
        send({Now_, 0, From, To, Addressed.LoanRequest_, std::nullopt});
  }

  void send(Message Sent) {
    ++Sent_;
    if (CutUntil_[Sent.From_ * Hosts_.size() + Sent.To_] > Now_ ||
        occurs(Faults_.LossPercent_, 100))
      return;
    const unsigned Copies = occurs(Faults_.DuplicatePercent_, 100) ? 2 : 1;
    for (unsigned Copy = 0; Copy < Copies; ++Copy) {
      Sent.At_ = Now_ + std::chrono::milliseconds(1);
      if (occurs(Faults_.DelayPercent_, 100))
        Sent.At_ += upTo(3'000);
      Sent.Number_ = ++LastNumber_;
      Network_.push(Sent);
    }
  }

  void deliver(const Message &Arrived) {
    Host &Target = Hosts_[Arrived.To_];
    if (isPaused(Target)) { // The host reads the message when it resumes.
      Message Deferred = Arrived;
      Deferred.At_ = Target.PausedUntil_;
      Network_.push(Deferred);
      return;
    }
    if (Arrived.LoanRequest_) {
      const std::optional<QuotaGrant> Grant = Target.Share_->onLoanRequest(
          idOf(Arrived.From_), *Arrived.LoanRequest_, Now_);
      if (Grant)
        send({Now_, 0, Arrived.To_, Arrived.From_, std::nullopt, Grant});
      return;
    }
    if (!Target.Share_->onGrant(idOf(Arrived.From_), *Arrived.Grant_, Now_))
      return;
    ++Credited_;
    const bool IsFirst = CreditedGrants_
                             .insert({Arrived.From_, Arrived.Grant_->Borrower_,
                                      Arrived.Grant_->LoanRequestId_})
                             .second;
    DoubleCredits_ += IsFirst ? 0 : 1;
  }

  void endRequests(Host &Target) {
    std::erase_if(Target.RunningEnds_, [&](TimePoint End) {
      // A paused host counts a request as in progress until it resumes,
      // although the backend server has finished it.
      if (End > Now_ || isPaused(Target))
        return false;
      Target.Share_->release(Now_);
      return true;
    });
  }

  /// Updates the maxima after each millisecond and each admitted request. For
  /// any earlier point, the requests admitted since then plus those that can be
  /// admitted now must stay within `rate * W + B`. Each host
  /// counts with its requests in progress or the permits that it can use now,
  /// whichever is more; with the requests of killed hosts, the sum must stay
  /// within the contract.
  void updateMaxima() {
    const double Seconds =
        std::chrono::duration<double>(Now_.time_since_epoch()).count();
    const double Drift =
        static_cast<double>(Admitted_) - Terms_.RatePerSecond_ * Seconds;
    LeastDrift_ = std::min(LeastDrift_, Drift);
    double Spendable = 0;
    std::uint64_t Permits = OrphanedEnds_.size();
    for (const Host &Entry : Hosts_) {
      Spendable += static_cast<double>(Entry.Share_->spendableRate(Now_)) /
                   QuotaUnitsPerRequest;
      const std::int64_t Running =
          std::count_if(Entry.RunningEnds_.begin(), Entry.RunningEnds_.end(),
                        [this](TimePoint End) { return End > Now_; });
      Permits += static_cast<std::uint64_t>(
          std::max(Running, Entry.Share_->usablePermits(Now_)));
    }
    RateExcess_ = std::max(RateExcess_,
                           Drift + Spendable - LeastDrift_ - burstRequests());
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
  /// Ends of requests in progress that killed hosts had sent.
  std::vector<TimePoint> OrphanedEnds_;
  TimePoint Now_{};
  std::uint64_t LastNumber_ = 0;
  std::uint64_t Sent_ = 0;
  std::uint64_t Credited_ = 0;
  std::uint64_t DoubleCredits_ = 0;
  std::set<std::tuple<std::size_t, Incarnation, std::uint64_t>> CreditedGrants_;
  std::uint64_t Admitted_ = 0;
  std::uint64_t MostInProgress_ = 0;
  /// Lowest value so far of admitted requests minus rate times elapsed time.
  double LeastDrift_ = 0;
  double RateExcess_ = -1e9;
};

} // namespace kumquatpitch::bench

#endif
