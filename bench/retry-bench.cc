// Benchmark of retries and hedges in virtual time. Measures the attempts per
// offered request when half of the targets have failed, compared with a naive
// policy of three attempts, and the latency that hedges save. No target is
// ejected. Targets with a free slot are chosen at random, which is the worst
// case for retries; only the policy "picker" uses the target picker together
// with the retry budget.

#include "bench-report.h"
#include "event-queue.h"
#include "fixed-availability.h"
#include "fleet-fixture.h"

#include "kumquatpitch/admission-queue.h"
#include "kumquatpitch/retry-policy.h"
#include "kumquatpitch/target-picker.h"

#include <cstdio>
#include <map>
#include <memory>
#include <set>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

namespace {

constexpr std::size_t Targets = 14;
constexpr std::uint32_t SlotsPerTarget = 3;
constexpr double MeanServiceTime = 20'000; // microseconds
constexpr Duration RequestDeadline = std::chrono::seconds(1);
constexpr Duration StallTime = std::chrono::milliseconds(400);
constexpr std::uint32_t BudgetPercent = 10;
constexpr std::uint32_t MaxAttempts = 3;

enum class Policy : std::uint8_t {
  Budget,
  BudgetWithoutHedges,
  BudgetWithPicker,
  Naive
};

struct Workload {
  const char *Name_;
  std::size_t FailedTargets_;
  AttemptEnd FailureEnd_;   ///< Result of attempts at failed targets.
  Duration FailureLatency_; ///< Time until such attempts end.
  double Utilization_;      ///< Offered load over the capacity of all targets.
  /// Percentage of the answers of healthy targets that take StallTime.
  unsigned StallPercent_;
};

struct Request {
  TimePoint Arrival_;
  TimePoint Deadline_;
  std::set<std::size_t> Tried_;
  std::uint32_t Attempts_ = 0;
  std::uint32_t Running_ = 0;
  bool Ended_ = false;
};
using RequestRef = std::shared_ptr<Request>;

struct Figures {
  double AttemptsPerRequest_ = 0; ///< Attempts per offered request.
  double AnsweredInTime_ = 0;     ///< Fraction answered before the deadline.
  double P99Ms_ = 0;              ///< Over requests answered in time.
  double RepeatedTargets_ = 0;    ///< Attempts at a target tried before.
  double LateAttempts_ = 0;       ///< Attempts started after the deadline.
};

class Run {
public:
  Run(const Workload &Case, Policy SelectedPolicy, Duration Length)
      : Case_(Case), Policy_(SelectedPolicy), Length_(Length), Random_(5),
        InProgress_(Targets, 0) {
    Queue_.setTerms({32, std::chrono::milliseconds(200)},
                    Targets * SlotsPerTarget);
    Retries_.setTerms({BudgetPercent, MaxAttempts});
    SlotShares Shares;
    for (const Target &Listed : Entry_.Targets_)
      Shares[Listed.Id_] = {SlotsPerTarget, SlotsPerTarget};
    Picker_.setTargets(Entry_, Shares, Events_.now());
  }

  Figures figures() {
    scheduleArrival();
    Events_.runUntil(TimePoint(Length_));
    Figures_.AttemptsPerRequest_ = Attempts_ / OfferedCount_;
    Figures_.AnsweredInTime_ = InTimeCount_ / OfferedCount_;
    Figures_.P99Ms_ = quantile(LatencyMs_, 0.99);
    return Figures_;
  }

private:
  void scheduleArrival() {
    const double Rate =
        Case_.Utilization_ * Targets * SlotsPerTarget / MeanServiceTime;
    Events_.after(exponential(Random_, 1 / Rate), [this] {
      arrive();
      scheduleArrival();
    });
  }

  void arrive() {
    ++OfferedCount_;
    const TimePoint Now = Events_.now();
    const QueueKey Key = NextKey_++;
    if (Queue_.offer(Key, Now + RequestDeadline, Now) != ResultCode::Ok)
      return;
    const RequestRef Req = std::make_shared<Request>();
    Req->Arrival_ = Now;
    Req->Deadline_ = Now + RequestDeadline;
    Waiting_[Key] = Req;
    serve();
  }

  void serve() {
    for (const DroppedRequest &Dropped : Queue_.takeDropped(Events_.now()))
      Waiting_.erase(Dropped.Key_);
    while (!targetsWithFreeSlot({}).empty()) {
      const std::optional<QueueKey> Key = Queue_.next(Events_.now());
      if (!Key)
        return;
      const RequestRef Req = Waiting_[*Key];
      Waiting_.erase(*Key);
      Retries_.firstAttempt(Events_.now());
      start(Req);
    }
  }

  std::vector<std::size_t>
  targetsWithFreeSlot(const std::set<std::size_t> &Tried) {
    std::vector<std::size_t> Free;
    for (std::size_t Index = 0; Index < Targets; ++Index)
      if (InProgress_[Index] < SlotsPerTarget && Tried.count(Index) == 0)
        Free.push_back(Index);
    return Free;
  }

  std::size_t choose(const Request &Req) {
    if (Policy_ == Policy::BudgetWithPicker) {
      std::vector<TargetId> Tried;
      for (const std::size_t Index : Req.Tried_)
        Tried.push_back(Entry_.Targets_[Index].Id_);
      const TargetId Id = *Picker_.pick(Tried, Health_, Events_.now());
      return std::stoul(Id.str().substr(std::string("target-").size()));
    }
    const bool AvoidsTried = Policy_ != Policy::Naive;
    const std::vector<std::size_t> Free =
        targetsWithFreeSlot(AvoidsTried ? Req.Tried_ : std::set<std::size_t>());
    return Free[Random_.below(Free.size())];
  }

  void start(const RequestRef &Req) {
    const std::size_t Index = choose(*Req);
    ++Attempts_;
    ++InProgress_[Index];
    Picker_.attemptStarted(Entry_.Targets_[Index].Id_);
    ++Req->Running_;
    ++Req->Attempts_;
    Figures_.RepeatedTargets_ += Req->Tried_.insert(Index).second ? 0 : 1;
    Figures_.LateAttempts_ += Events_.now() >= Req->Deadline_ ? 1 : 0;
    AttemptReport Report;
    const bool HasFailed = Index < Case_.FailedTargets_;
    Report.End_ = HasFailed ? Case_.FailureEnd_ : AttemptEnd::Answered;
    Report.Latency_ = Case_.FailureLatency_;
    if (!HasFailed)
      Report.Latency_ = Random_.below(100) < Case_.StallPercent_
                            ? StallTime
                            : exponential(Random_, MeanServiceTime);
    Events_.after(Report.Latency_,
                  [this, Req, Index, Report] { finish(Req, Index, Report); });
    if (Policy_ == Policy::Budget || Policy_ == Policy::BudgetWithPicker)
      scheduleHedge(Req);
  }

  RetryContext contextOf(const Request &Req, AttemptEnd End) {
    RetryContext Context;
    Context.Idempotent_ = true;
    Context.Attempts_ = Req.Attempts_;
    Context.Deadline_ = Req.Deadline_;
    Context.HasOtherTarget_ = !targetsWithFreeSlot(Req.Tried_).empty();
    Context.IsQueueEmpty_ = Queue_.size() == 0;
    Context.LastEnd_ = End;
    return Context;
  }

  void scheduleHedge(const RequestRef &Req) {
    const std::optional<Duration> Delay = Retries_.hedgeDelay();
    if (!Delay)
      return;
    const TimePoint Start = Events_.now();
    Events_.after(*Delay, [this, Req, Start] {
      if (Req->Ended_ || Req->Running_ == 0)
        return;
      RetryContext Context = contextOf(*Req, AttemptEnd::Answered);
      Context.LastStart_ = Start;
      if (Retries_.mayHedge(Context, Events_.now()) == RetryVerdict::Allowed)
        start(Req);
    });
  }

  void finish(const RequestRef &Req, std::size_t Index,
              const AttemptReport &Report) {
    --InProgress_[Index];
    Picker_.attemptEnded(Entry_.Targets_[Index].Id_, Report, Events_.now());
    --Req->Running_;
    Retries_.recordOutcome(Report, Events_.now());
    Queue_.recordServiceTime(Report.Latency_);
    if (!Req->Ended_ && Report.End_ == AttemptEnd::Answered)
      answer(*Req);
    else if (!Req->Ended_ && Req->Running_ == 0)
      retry(Req, Report.End_);
    serve();
  }

  void answer(Request &Req) {
    Req.Ended_ = true;
    if (Events_.now() > Req.Deadline_)
      return;
    ++InTimeCount_;
    LatencyMs_.push_back(
        static_cast<double>((Events_.now() - Req.Arrival_).count()) / 1000);
  }

  void retry(const RequestRef &Req, AttemptEnd End) {
    const bool NaiveAllows =
        Req->Attempts_ < MaxAttempts && !targetsWithFreeSlot({}).empty();
    const bool IsAllowed =
        Policy_ == Policy::Naive
            ? NaiveAllows
            : Retries_.mayRetry(contextOf(*Req, End), Events_.now()) ==
                  RetryVerdict::Allowed;
    if (IsAllowed)
      start(Req);
    else
      Req->Ended_ = true;
  }

  Workload Case_;
  Policy Policy_;
  Duration Length_;
  EventQueue Events_;
  SeededRandom Random_;
  AdmissionQueue Queue_;
  RetryPolicy Retries_;
  ServiceEntry Entry_ = test::makeEntry("bench", Targets, SlotsPerTarget);
  test::FixedAvailability Health_;
  SeededRandom PickerRandom_{6};
  TargetPicker Picker_{PickerRandom_};
  std::vector<std::uint32_t> InProgress_; ///< Attempts, by target.
  std::map<QueueKey, RequestRef> Waiting_;
  QueueKey NextKey_ = 1;
  double OfferedCount_ = 0;
  double Attempts_ = 0;
  double InTimeCount_ = 0;
  std::vector<double> LatencyMs_;
  Figures Figures_;
};

Figures figuresOf(const char *Name, const Workload &Case, Policy SelectedPolicy,
                  Duration Length) {
  const Figures Result = Run(Case, SelectedPolicy, Length).figures();
  std::printf("  %-14s attempts for each request %.3f  answered in time %.3f  "
              "p99 %.1f ms\n",
              Name, Result.AttemptsPerRequest_, Result.AnsweredInTime_,
              Result.P99Ms_);
  return Result;
}

void compare(const Workload &Case, Duration Length, BoundChecks &Checks) {
  std::printf("%s\n", Case.Name_);
  const Figures Budget = figuresOf("budget", Case, Policy::Budget, Length);
  const Figures NoHedges =
      figuresOf("without hedges", Case, Policy::BudgetWithoutHedges, Length);
  const Figures Picker =
      figuresOf("picker", Case, Policy::BudgetWithPicker, Length);
  figuresOf("naive", Case, Policy::Naive, Length);
  Checks.below("attempts for each request", Budget.AttemptsPerRequest_, 1.1);
  Checks.below("attempts for each request, picker", Picker.AttemptsPerRequest_,
               1.1);
  // With spare capacity, the picker chooses a failing target only when both of
  // the targets that it compares fail.
  if (Case.FailureEnd_ == AttemptEnd::ConnectFailed && Case.Utilization_ < 0.5)
    Checks.atLeast("answered in time, picker", Picker.AnsweredInTime_, 0.75);
  Checks.atMost("attempts at a target tried before", Budget.RepeatedTargets_,
                0);
  Checks.atMost("attempts past the deadline", Budget.LateAttempts_, 0);
  if (Case.StallPercent_ > 0)
    Checks.atMost("p99 over p99 without hedges",
                  Budget.P99Ms_ / NoHedges.P99Ms_, 0.5);
}

} // namespace

int main(int Argc, char **Argv) {
  using std::chrono::milliseconds;
  const Duration Length = std::chrono::seconds(isShort(Argc, Argv) ? 30 : 300);
  constexpr std::size_t Half = Targets / 2;
  BoundChecks Checks;
  for (const double Utilization : {0.3, 0.7, 1.2}) {
    std::printf("half of the targets gone, offered %.1f of full capacity\n",
                Utilization);
    compare({"connections refused", Half, AttemptEnd::ConnectFailed,
             milliseconds(1), Utilization, 0},
            Length, Checks);
    compare({"connections broken", Half, AttemptEnd::Broken, milliseconds(10),
             Utilization, 0},
            Length, Checks);
    compare({"stalled", Half, AttemptEnd::TimedOut, milliseconds(500),
             Utilization, 0},
            Length, Checks);
    compare({"requests shed by the targets", Half, AttemptEnd::Refused,
             milliseconds(2), Utilization, 0},
            Length, Checks);
  }
  compare({"no target gone, two answers in 100 stall", 0, AttemptEnd::Answered,
           milliseconds(0), 0.3, 2},
          Length, Checks);
  return Checks.exitStatus();
}
