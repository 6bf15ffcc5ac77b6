// Model of hosts that send short and long requests to the same targets, in
// virtual time and without a network. It compares the choice of targets by
// count with that by expected work on the same arrivals.

#ifndef KUMQUATPITCH_WORK_CHOICE_MODEL_H
#define KUMQUATPITCH_WORK_CHOICE_MODEL_H

#include "kumquatpitch/balancing/cost-model.h"
#include "kumquatpitch/target-balancer.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace kumquatpitch::test {

/// What the hosts believe of the work of requests.
enum class Belief : std::uint8_t {
  Count,   ///< Nothing: targets are chosen by count.
  Learned, ///< What their cost models learn.
  Swapped, ///< Short requests are taken for long ones and the reverse.
  Equal,   ///< All requests are taken for equally long.
};

struct WorkCase {
  int Hosts_ = 8;
  double Load_ = 0.7; ///< Share of the targets' capacity.
  /// Mean age of a host's view of a target that answers often: an answer
  /// reports the load only when the last report is twice as old.
  std::int64_t ViewAgeMs_ = 100;
  std::int64_t ShortMs_ = 160;
  std::int64_t LongMs_ = 500;
  double LongShare_ = 0.35;
  double TailShare_ = 0.03; ///< Of requests that take TailFactor as long.
  double TailFactor_ = 7;
  double SlowTarget_ = 1; ///< Time factor of the first target.
  std::int64_t LengthMs_ = 20'000;
  std::uint64_t Seed_ = 1;
};

struct WorkFigures {
  double ShortP50Ms_ = 0;
  double ShortP99Ms_ = 0;
  double InObjective_ = 0; ///< Share of all requests.
  double MeanMs_ = 0;      ///< Of all requests.
};

class WorkChoiceModel {
public:
  WorkChoiceModel(const WorkCase &Case, Belief Belief)
      : Case_(Case), Belief_(Belief), Random_(Case.Seed_) {
    std::vector<TargetEntry> Entries;
    for (int Index = 0; Index < TargetCount; ++Index) {
      TargetEntry Entry;
      Entry.Id_ = TargetId("t" + std::to_string(Index));
      Entry.Service_ = ServiceName("archive");
      Entry.Domain_ = FailureDomain("a");
      Entry.Slots_ = Slots;
      Entry.StartedUnixMs_ = 1;
      Entries.push_back(Entry);
      Targets_.emplace_back();
    }
    Targets_.front().Slowness_ = Case.SlowTarget_;
    for (int Index = 0; Index < Case.Hosts_; ++Index) {
      Hosts_.push_back(std::make_unique<Host>(Index, Case.Seed_));
      Hosts_.back()->Balancer_.setTargets(Entries, now());
      Hosts_.back()->Balancer_.setBalancesByWork(Belief_ != Belief::Count);
    }
    scheduleArrivals();
  }

  WorkFigures run() {
    while (!Events_.empty()) {
      const Event Next = Events_.top();
      Events_.pop();
      NowUs_ = Next.AtUs_;
      Next.Action_();
    }
    WorkFigures Result;
    Result.ShortP50Ms_ = quantile(ShortMs_, 0.5);
    Result.ShortP99Ms_ = quantile(ShortMs_, 0.99);
    Result.InObjective_ =
        static_cast<double>(InObjective_) / static_cast<double>(Ended_);
    Result.MeanMs_ = SumMs_ / static_cast<double>(Ended_);
    return Result;
  }

private:
  static constexpr int TargetCount = 25;
  static constexpr std::uint32_t Slots = 6;
  /// Requests that arrive earlier are not counted: the models are still new.
  static constexpr std::int64_t WarmUpUs = 4'000'000;
  static constexpr std::int64_t ObjectiveFactor = 6;

  struct Request {
    std::size_t Host_ = 0;
    bool IsLong_ = false;
    std::int64_t ArrivedUs_ = 0;
    std::int64_t WorkUs_ = 0;
    WorkEstimate Estimate_;
    TimePoint SentAt_;
    std::size_t Target_ = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;

  struct Host {
    Host(int Index, std::uint64_t Seed)
        : Random_(Seed * 1'000 + static_cast<std::uint64_t>(Index)),
          Balancer_(HostId("h" + std::to_string(Index)), FailureDomain("a"),
                    0.7) {}

    SeededRandom Random_;
    TargetBalancer Balancer_;
    CostModel Costs_;
    double MeanUs_[2] = {0, 0}; ///< Mean latency of short and long requests.
    std::deque<RequestPtr> Queue_;
    std::map<std::size_t, std::int64_t> ReportedUs_; ///< By target.
  };

  struct Target {
    double Slowness_ = 1;
    std::uint32_t Running_ = 0;
    std::deque<RequestPtr> Waiting_;
  };

  struct Event {
    std::int64_t AtUs_ = 0;
    std::uint64_t Order_ = 0;
    std::function<void()> Action_;

    bool operator<(const Event &Other) const {
      return std::tie(AtUs_, Order_) > std::tie(Other.AtUs_, Other.Order_);
    }
  };

  TimePoint now() const { return TimePoint(Duration(NowUs_)); }

  void at(std::int64_t AtUs, std::function<void()> Action) {
    Events_.push(Event{AtUs, ++EventOrder_, std::move(Action)});
  }

  double uniform() {
    return static_cast<double>(Random_.next() >> 11) * 0x1.0p-53;
  }

  static double quantile(std::vector<double> Values, double Fraction) {
    if (Values.empty())
      return 0;
    std::sort(Values.begin(), Values.end());
    return Values[static_cast<std::size_t>(
        Fraction * static_cast<double>(Values.size() - 1))];
  }

  /// All arrivals and their work are drawn first, so that both policies get the
  /// same.
  void scheduleArrivals() {
    const double MeanMs =
        (static_cast<double>(Case_.ShortMs_) * (1 - Case_.LongShare_) +
         static_cast<double>(Case_.LongMs_) * Case_.LongShare_) *
        (1 + Case_.TailShare_ * (Case_.TailFactor_ - 1));
    const double PerUs = Case_.Load_ * TargetCount * Slots / (MeanMs * 1'000);
    double AtUs = 0;
    for (;;) {
      AtUs -= std::log(1 - uniform()) / PerUs;
      if (AtUs >= static_cast<double>(Case_.LengthMs_) * 1'000)
        break;
      const RequestPtr New = std::make_shared<Request>();
      New->Host_ = Random_.below(Hosts_.size());
      New->IsLong_ = uniform() < Case_.LongShare_;
      New->ArrivedUs_ = static_cast<std::int64_t>(AtUs);
      const double BaseMs =
          static_cast<double>(New->IsLong_ ? Case_.LongMs_ : Case_.ShortMs_);
      const double Tail = uniform() < Case_.TailShare_ ? Case_.TailFactor_ : 1;
      New->WorkUs_ = static_cast<std::int64_t>(BaseMs * 1'000 * Tail *
                                               (0.75 + 0.5 * uniform()));
      at(New->ArrivedUs_, [this, New] { arrive(New); });
    }
    constexpr std::int64_t TickUs = 40'000;
    for (std::int64_t TickAt = 0; TickAt < (Case_.LengthMs_ + 20'000) * 1'000;
         TickAt += TickUs)
      at(TickAt, [this] {
        for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
          drain(*Hosts_[Index]);
      });
  }

  RequestTraits traits(const Request &Of) const {
    const bool IsLong = Of.IsLong_ != (Belief_ == Belief::Swapped);
    return RequestTraits{IsLong ? "long" : "short", WorkspaceName(), 0,
                         std::chrono::milliseconds(
                             IsLong ? Case_.LongMs_ * 3 : Case_.ShortMs_ * 3)};
  }

  /// A host that learns uses its own model; one with a wrong belief keeps the
  /// assumptions that follow from the route's objective.
  void estimate(Host &At, Request &Of) {
    if (Belief_ == Belief::Count)
      return;
    RequestTraits Traits = traits(Of);
    if (Belief_ == Belief::Equal)
      Traits = RequestTraits{"all", WorkspaceName(), 0,
                             std::chrono::milliseconds(900)};
    Of.Estimate_ = At.Costs_.estimate(Traits);
  }

  void arrive(const RequestPtr &New) {
    Host &At = *Hosts_[New->Host_];
    estimate(At, *New);
    if (!At.Queue_.empty() || !place(At, New))
      At.Queue_.push_back(New);
    At.Balancer_.setHasWaitingRequests(!At.Queue_.empty());
  }

  void drain(Host &At) {
    while (!At.Queue_.empty() && place(At, At.Queue_.front()))
      At.Queue_.pop_front();
    At.Balancer_.setHasWaitingRequests(!At.Queue_.empty());
  }

  bool place(Host &At, const RequestPtr &Of) {
    PickConstraints Constraints;
    Constraints.Work_ = Of->Estimate_;
    const std::optional<TargetPick> Pick =
        At.Balancer_.pick(Constraints, now(), At.Random_);
    if (!Pick)
      return false;
    Of->SentAt_ = now();
    Of->Target_ =
        static_cast<std::size_t>(std::stoi(Pick->Target_.Id_.str().substr(1)));
    At.Balancer_.attemptStarted(Pick->Target_.Id_, now(), Of->Estimate_);
    Target &To = Targets_[Of->Target_];
    if (To.Running_ < Slots)
      execute(To, Of);
    else
      To.Waiting_.push_back(Of);
    return true;
  }

  void execute(Target &At, const RequestPtr &Of) {
    ++At.Running_;
    const double TimeUs = static_cast<double>(Of->WorkUs_) * At.Slowness_;
    at(NowUs_ + static_cast<std::int64_t>(TimeUs),
       [this, &At, Of] { end(At, Of); });
  }

  void end(Target &At, const RequestPtr &Of) {
    --At.Running_;
    if (!At.Waiting_.empty()) {
      const RequestPtr Next = At.Waiting_.front();
      At.Waiting_.pop_front();
      execute(At, Next);
    }
    report(*Hosts_[Of->Host_], *Of, At);
    drain(*Hosts_[Of->Host_]);
    if (Of->ArrivedUs_ < WarmUpUs)
      return;
    const double LatencyMs =
        static_cast<double>(NowUs_ - Of->ArrivedUs_) / 1'000;
    ++Ended_;
    SumMs_ += LatencyMs;
    const std::int64_t UsualMs = Of->IsLong_ ? Case_.LongMs_ : Case_.ShortMs_;
    InObjective_ +=
        LatencyMs <= static_cast<double>(UsualMs * ObjectiveFactor) ? 1 : 0;
    if (!Of->IsLong_)
      ShortMs_.push_back(LatencyMs);
  }

  void report(Host &At, const Request &Of, const Target &From) {
    TargetReport Report;
    std::int64_t &ReportedUs = At.ReportedUs_[Of.Target_];
    if (NowUs_ - ReportedUs >= 2 * Case_.ViewAgeMs_ * 1'000) {
      ReportedUs = NowUs_;
      Report.Load_ = ReportedLoad{
          From.Running_, static_cast<std::uint32_t>(From.Waiting_.size())};
    }
    const TargetId Id("t" + std::to_string(Of.Target_));
    double &MeanUs = At.MeanUs_[Of.IsLong_ ? 1 : 0];
    Duration Usual(static_cast<Duration::rep>(MeanUs));
    if (Of.Estimate_.isKnown()) {
      const std::optional<Duration> Work =
          At.Balancer_.workDone(Id, Of.SentAt_, now());
      if (Belief_ == Belief::Learned && Work)
        At.Costs_.recordCompleted(traits(Of), Of.Estimate_, *Work);
    }
    At.Balancer_.attemptEnded(Id, Of.SentAt_, AttemptEvidence::Answered, Usual,
                              Report, now());
    const double LatencyUs = static_cast<double>((now() - Of.SentAt_).count());
    constexpr double LatencyWeight = 0.05;
    MeanUs =
        MeanUs <= 0 ? LatencyUs : MeanUs + (LatencyUs - MeanUs) * LatencyWeight;
  }

  WorkCase Case_;
  Belief Belief_;
  SeededRandom Random_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::deque<Target> Targets_;
  std::priority_queue<Event> Events_;
  std::uint64_t EventOrder_ = 0;
  std::int64_t NowUs_ = 0;
  std::vector<double> ShortMs_; ///< Latencies of short requests.
  std::uint64_t Ended_ = 0;
  std::uint64_t InObjective_ = 0;
  double SumMs_ = 0;
};

} // namespace kumquatpitch::test

#endif
