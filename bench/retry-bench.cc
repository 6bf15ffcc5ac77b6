// Retries and hedges in virtual time: attempts for each request offered when
// half of the targets are gone, beside a naive policy of three attempts, and
// the latency that hedges save. No target is ejected. Targets are chosen at
// random within slots, which is the worst case for retries, but for the policy
// "picker", which adds the target picker to the budget.

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
constexpr std::uint32_t SlotsOfTarget = 3;
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
  std::size_t GoneTargets_;
  AttemptEnd GoneEnd_;     ///< How attempts at these end.
  Duration GoneLatency_;   ///< After which time.
  double Utilization_;     ///< Of the capacity of all targets.
  unsigned StallsPercent_; ///< Answers of healthy targets after StallTime.
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
  double Work_ = 0;       ///< Attempts for each request offered.
  double Good_ = 0;       ///< Requests answered in time, of those offered.
  double P99Ms_ = 0;      ///< Of good answers.
  double SameTarget_ = 0; ///< Attempts at a target that was tried before.
  double Late_ = 0;       ///< Attempts that began past the deadline.
};

class Run {
public:
  Run(const Workload &Case, Policy Chosen, Duration Length)
      : Case_(Case), Policy_(Chosen), Length_(Length), Random_(5),
        InProgress_(Targets, 0) {
    Queue_.setTerms({32, std::chrono::milliseconds(200)},
                    Targets * SlotsOfTarget);
    Retries_.setTerms({BudgetPercent, MaxAttempts});
    SlotShares Own;
    for (const Target &Each : Entry_.Targets_)
      Own[Each.Id_] = {SlotsOfTarget, SlotsOfTarget};
    Picker_.setTargets(Entry_, Own, Events_.now());
  }

  Figures figures() {
    arriveLater();
    Events_.runUntil(TimePoint(Length_));
    Found_.Work_ = Attempts_ / Offered_;
    Found_.Good_ = Good_ / Offered_;
    Found_.P99Ms_ = quantile(LatencyMs_, 0.99);
    return Found_;
  }

private:
  void arriveLater() {
    const double Rate =
        Case_.Utilization_ * Targets * SlotsOfTarget / MeanServiceTime;
    Events_.after(exponential(Random_, 1 / Rate), [this] {
      arrive();
      arriveLater();
    });
  }

  void arrive() {
    ++Offered_;
    const TimePoint Now = Events_.now();
    const QueueKey Key = NextKey_++;
    if (Queue_.offer(Key, Now + RequestDeadline, Now) != ResultCode::Ok)
      return;
    const RequestRef Each = std::make_shared<Request>();
    Each->Arrival_ = Now;
    Each->Deadline_ = Now + RequestDeadline;
    Waiting_[Key] = Each;
    serve();
  }

  void serve() {
    for (const DroppedRequest &Each : Queue_.takeDropped(Events_.now()))
      Waiting_.erase(Each.Key_);
    while (!openTargets({}).empty()) {
      const std::optional<QueueKey> Key = Queue_.next(Events_.now());
      if (!Key)
        return;
      const RequestRef Each = Waiting_[*Key];
      Waiting_.erase(*Key);
      Retries_.firstAttempt(Events_.now());
      start(Each);
    }
  }

  std::vector<std::size_t> openTargets(const std::set<std::size_t> &Tried) {
    std::vector<std::size_t> Open;
    for (std::size_t Index = 0; Index < Targets; ++Index)
      if (InProgress_[Index] < SlotsOfTarget && Tried.count(Index) == 0)
        Open.push_back(Index);
    return Open;
  }

  std::size_t choose(const Request &Each) {
    if (Policy_ == Policy::BudgetWithPicker) {
      std::vector<TargetId> Tried;
      for (const std::size_t Index : Each.Tried_)
        Tried.push_back(Entry_.Targets_[Index].Id_);
      const TargetId Id = *Picker_.pick(Tried, Health_, Events_.now());
      return std::stoul(Id.str().substr(std::string("target-").size()));
    }
    const bool AvoidsTried = Policy_ != Policy::Naive;
    const std::vector<std::size_t> Open =
        openTargets(AvoidsTried ? Each.Tried_ : std::set<std::size_t>());
    return Open[Random_.below(Open.size())];
  }

  void start(const RequestRef &Each) {
    const std::size_t Index = choose(*Each);
    ++Attempts_;
    ++InProgress_[Index];
    Picker_.attemptStarted(Entry_.Targets_[Index].Id_);
    ++Each->Running_;
    ++Each->Attempts_;
    Found_.SameTarget_ += Each->Tried_.insert(Index).second ? 0 : 1;
    Found_.Late_ += Events_.now() >= Each->Deadline_ ? 1 : 0;
    AttemptReport Report;
    const bool IsGone = Index < Case_.GoneTargets_;
    Report.End_ = IsGone ? Case_.GoneEnd_ : AttemptEnd::Answered;
    Report.Latency_ = Case_.GoneLatency_;
    if (!IsGone)
      Report.Latency_ = Random_.below(100) < Case_.StallsPercent_
                            ? StallTime
                            : exponential(Random_, MeanServiceTime);
    Events_.after(Report.Latency_,
                  [this, Each, Index, Report] { finish(Each, Index, Report); });
    if (Policy_ == Policy::Budget || Policy_ == Policy::BudgetWithPicker)
      hedgeLater(Each);
  }

  RetryContext contextOf(const Request &Each, AttemptEnd End) {
    RetryContext Context;
    Context.Idempotent_ = true;
    Context.Attempts_ = Each.Attempts_;
    Context.Deadline_ = Each.Deadline_;
    Context.HasOtherTarget_ = !openTargets(Each.Tried_).empty();
    Context.IsQueueEmpty_ = Queue_.size() == 0;
    Context.LastEnd_ = End;
    return Context;
  }

  void hedgeLater(const RequestRef &Each) {
    const std::optional<Duration> Delay = Retries_.hedgeDelay();
    if (!Delay)
      return;
    const TimePoint Start = Events_.now();
    Events_.after(*Delay, [this, Each, Start] {
      if (Each->Ended_ || Each->Running_ == 0)
        return;
      RetryContext Context = contextOf(*Each, AttemptEnd::Answered);
      Context.LastStart_ = Start;
      if (Retries_.mayHedge(Context, Events_.now()) == RetryVerdict::Allowed)
        start(Each);
    });
  }

  void finish(const RequestRef &Each, std::size_t Index,
              const AttemptReport &Report) {
    --InProgress_[Index];
    Picker_.attemptEnded(Entry_.Targets_[Index].Id_, Report, Events_.now());
    --Each->Running_;
    Retries_.recordOutcome(Report, Events_.now());
    Queue_.recordServiceTime(Report.Latency_);
    if (!Each->Ended_ && Report.End_ == AttemptEnd::Answered)
      answer(*Each);
    else if (!Each->Ended_ && Each->Running_ == 0)
      retry(Each, Report.End_);
    serve();
  }

  void answer(Request &Each) {
    Each.Ended_ = true;
    if (Events_.now() > Each.Deadline_)
      return;
    ++Good_;
    LatencyMs_.push_back(
        static_cast<double>((Events_.now() - Each.Arrival_).count()) / 1000);
  }

  void retry(const RequestRef &Each, AttemptEnd End) {
    const bool NaiveMay =
        Each->Attempts_ < MaxAttempts && !openTargets({}).empty();
    const bool May =
        Policy_ == Policy::Naive
            ? NaiveMay
            : Retries_.mayRetry(contextOf(*Each, End), Events_.now()) ==
                  RetryVerdict::Allowed;
    if (May)
      start(Each);
    else
      Each->Ended_ = true;
  }

  Workload Case_;
  Policy Policy_;
  Duration Length_;
  EventQueue Events_;
  SeededRandom Random_;
  AdmissionQueue Queue_;
  RetryPolicy Retries_;
  ServiceEntry Entry_ = test::makeEntry("bench", Targets, SlotsOfTarget);
  test::FixedAvailability Health_;
  SeededRandom PickerRandom_{6};
  TargetPicker Picker_{PickerRandom_};
  std::vector<std::uint32_t> InProgress_; ///< Of each target.
  std::map<QueueKey, RequestRef> Waiting_;
  QueueKey NextKey_ = 1;
  double Offered_ = 0;
  double Attempts_ = 0;
  double Good_ = 0;
  std::vector<double> LatencyMs_;
  Figures Found_;
};

Figures figuresOf(const char *Name, const Workload &Case, Policy Chosen,
                  Duration Length) {
  const Figures Seen = Run(Case, Chosen, Length).figures();
  std::printf("  %-14s attempts for each request %.3f  answered in time %.3f  "
              "p99 %.1f ms\n",
              Name, Seen.Work_, Seen.Good_, Seen.P99Ms_);
  return Seen;
}

void compare(const Workload &Case, Duration Length, BoundChecks &Checks) {
  std::printf("%s\n", Case.Name_);
  const Figures Own = figuresOf("budget", Case, Policy::Budget, Length);
  const Figures NoHedges =
      figuresOf("without hedges", Case, Policy::BudgetWithoutHedges, Length);
  const Figures Picked =
      figuresOf("picker", Case, Policy::BudgetWithPicker, Length);
  figuresOf("naive", Case, Policy::Naive, Length);
  Checks.below("attempts for each request", Own.Work_, 1.1);
  Checks.below("attempts for each request, picker", Picked.Work_, 1.1);
  // With room left, failing targets serve only pairs of which both fail.
  if (Case.GoneEnd_ == AttemptEnd::ConnectFailed && Case.Utilization_ < 0.5)
    Checks.atLeast("answered in time, picker", Picked.Good_, 0.75);
  Checks.atMost("attempts at a target tried before", Own.SameTarget_, 0);
  Checks.atMost("attempts past the deadline", Own.Late_, 0);
  if (Case.StallsPercent_ > 0)
    Checks.atMost("p99 over p99 without hedges", Own.P99Ms_ / NoHedges.P99Ms_,
                  0.5);
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
