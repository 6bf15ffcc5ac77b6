// Overload in virtual time: good answers at 3 times capacity with the admission
// queue and with an unbounded queue in order of arrival. An answer is good when
// it comes before the request's deadline. Attempts are not cancelled at the
// deadline, which is the worst case for work done in vain.

#include "bench-report.h"
#include "event-queue.h"

#include "kumquatpitch/admission-queue.h"

#include <cstdio>
#include <deque>
#include <map>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

namespace {

constexpr std::uint32_t Slots = 9;         // 14 targets with 2 slots, 3 hosts
constexpr double MeanServiceTime = 20'000; // microseconds
constexpr double Overload = 3;
constexpr Duration TickPeriod = std::chrono::milliseconds(10);

struct Workload {
  const char *Name_;
  Duration ShortestDeadline_;
  Duration LongestDeadline_;
  double SlowFactor_; ///< Of the service time in the middle third of the run.
  bool HeavyTail_;    ///< One request in 20 takes ten times as long.
  QueueTerms Queue_ = {16, std::chrono::milliseconds(200)};
};

struct Figures {
  double Goodput_ = 0; ///< In parts of capacity.
  double Wasted_ = 0;  ///< Late answers, in parts of capacity.
  double P99Ms_ = 0;   ///< Of good answers.
};

class Run {
public:
  Run(const Workload &Case, bool Bounded, Duration Length)
      : Case_(Case), Bounded_(Bounded), Length_(Length), Random_(11) {
    Queue_.setTerms(Case.Queue_, Slots);
  }

  Figures figures() {
    arriveLater();
    tick();
    Events_.runUntil(TimePoint(Length_));
    const double Factor = (2 + 1 / Case_.SlowFactor_) / 3;
    const double Capacity = static_cast<double>(Length_.count()) * Slots *
                            Factor / meanServiceTime();
    return {Good_ / Capacity, Late_ / Capacity, quantile(LatencyMs_, 0.99)};
  }

private:
  struct Request {
    TimePoint Arrival_;
    TimePoint Deadline_;
  };

  double meanServiceTime() const {
    return Case_.HeavyTail_ ? MeanServiceTime * (0.95 + 0.5) : MeanServiceTime;
  }

  Duration serviceTime() {
    double Mean = MeanServiceTime;
    const Duration Now = Events_.now().time_since_epoch();
    if (Now >= Length_ / 3 && Now < Length_ * 2 / 3)
      Mean *= Case_.SlowFactor_;
    if (Case_.HeavyTail_ && Random_.below(20) == 0)
      Mean *= 10;
    return exponential(Random_, Mean);
  }

  void arriveLater() {
    const double Rate = Overload * Slots / meanServiceTime();
    Events_.after(exponential(Random_, 1 / Rate), [this] {
      arrive();
      arriveLater();
    });
  }

  void arrive() {
    const Duration::rep Range =
        (Case_.LongestDeadline_ - Case_.ShortestDeadline_).count();
    const Duration Deadline =
        Case_.ShortestDeadline_ + Duration(Random_.below(Range + 1));
    const QueueKey Key = NextKey_++;
    const TimePoint Now = Events_.now();
    if (!Bounded_)
      Unbounded_.push_back(Key);
    else if (Queue_.offer(Key, Now + Deadline, Now) != ResultCode::Ok)
      return;
    Requests_[Key] = {Now, Now + Deadline};
    serve();
  }

  std::optional<QueueKey> next() {
    if (Bounded_)
      return Queue_.next(Events_.now());
    if (Unbounded_.empty())
      return std::nullopt;
    const QueueKey First = Unbounded_.front();
    Unbounded_.pop_front();
    return First;
  }

  void serve() {
    while (Busy_ < Slots) {
      const std::optional<QueueKey> Key = next();
      if (!Key)
        return;
      ++Busy_;
      const Request Running = Requests_[*Key];
      Requests_.erase(*Key);
      const TimePoint Start = Events_.now();
      Events_.after(serviceTime(),
                    [this, Running, Start] { finish(Running, Start); });
    }
  }

  void finish(const Request &Ended, TimePoint Start) {
    --Busy_;
    Queue_.recordServiceTime(Events_.now() - Start);
    if (Events_.now() <= Ended.Deadline_) {
      ++Good_;
      LatencyMs_.push_back(
          static_cast<double>((Events_.now() - Ended.Arrival_).count()) / 1000);
    } else {
      ++Late_;
    }
    serve();
  }

  void tick() {
    for (const DroppedRequest &Each : Queue_.takeDropped(Events_.now()))
      Requests_.erase(Each.Key_);
    serve();
    Events_.after(TickPeriod, [this] { tick(); });
  }

  Workload Case_;
  bool Bounded_;
  Duration Length_;
  EventQueue Events_;
  SeededRandom Random_;
  AdmissionQueue Queue_;
  std::deque<QueueKey> Unbounded_;
  std::map<QueueKey, Request> Requests_;
  QueueKey NextKey_ = 1;
  std::uint32_t Busy_ = 0;
  double Good_ = 0;
  double Late_ = 0;
  std::vector<double> LatencyMs_;
};

void compare(const Workload &Case, Duration Length, BoundChecks &Checks) {
  const Figures Own = Run(Case, true, Length).figures();
  const Figures Fifo = Run(Case, false, Length).figures();
  std::printf("%s\n", Case.Name_);
  std::printf("  admission queue  good %.3f  late %.3f  p99 of good %.1f ms\n",
              Own.Goodput_, Own.Wasted_, Own.P99Ms_);
  std::printf("  unbounded queue  good %.3f  late %.3f  p99 of good %.1f ms\n",
              Fifo.Goodput_, Fifo.Wasted_, Fifo.P99Ms_);
  Checks.atLeast("good answers over capacity", Own.Goodput_, 0.9);
}

} // namespace

int main(int Argc, char **Argv) {
  using std::chrono::milliseconds;
  const Duration Length = std::chrono::seconds(isShort(Argc, Argv) ? 60 : 600);
  BoundChecks Checks;
  compare({"deadline 2 s", milliseconds(2000), milliseconds(2000), 1, false},
          Length, Checks);
  compare({"deadlines 100 ms to 2 s", milliseconds(100), milliseconds(2000), 1,
           false},
          Length, Checks);
  compare({"deadline 150 ms", milliseconds(150), milliseconds(150), 1, false},
          Length, Checks);
  compare({"deadline 2 s, servers 4 times slower for a third of the time",
           milliseconds(2000), milliseconds(2000), 4, false},
          Length, Checks);
  compare({"deadline 2 s, one request in 20 ten times longer",
           milliseconds(2000), milliseconds(2000), 1, true},
          Length, Checks);
  // The contract's bounds alone would let every request wait past its deadline.
  const QueueTerms Long = {5000, std::chrono::seconds(10)};
  compare({"deadline 150 ms, queue of 5,000", milliseconds(150),
           milliseconds(150), 1, false, Long},
          Length, Checks);
  compare({"deadlines 100 ms to 2 s, queue of 5,000", milliseconds(100),
           milliseconds(2000), 1, false, Long},
          Length, Checks);
  compare({"deadline 2 s, 4 times slower for a third, queue of 5,000",
           milliseconds(2000), milliseconds(2000), 4, false, Long},
          Length, Checks);
  return Checks.exitStatus();
}
