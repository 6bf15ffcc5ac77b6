// Benchmark of overload in virtual time: goodput at 3 times capacity with the
// admission queue and with an unbounded FIFO queue. An answer is good when it
// arrives no later than the request's deadline. Attempts are not cancelled at
// the deadline, which is the worst case for wasted work.

#include "bench-report.h"
#include "event-queue.h"

#include "kumquatpitch/admission-queue.h"

#include <cstdio>
#include <deque>
#include <map>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

namespace {

constexpr std::uint32_t Slots = 9; // 14 targets with 2 slots over 3 hosts
constexpr double MeanServiceMicros = 20'000;
constexpr double OverloadFactor = 3;
constexpr Duration TickPeriod = std::chrono::milliseconds(10);

struct Workload {
  const char *Name_;
  Duration ShortestDeadline_;
  Duration LongestDeadline_;
  /// Multiplies the service time in the middle third of the run.
  double SlowFactor_;
  bool HeavyTail_; ///< One request in 20 takes ten times as long.
  QueueTerms Queue_ = {16, std::chrono::milliseconds(200)};
};

struct Measurements {
  double Goodput_ = 0; ///< Good answers as a fraction of capacity.
  double Wasted_ = 0;  ///< Late answers as a fraction of capacity.
  double P99Ms_ = 0;   ///< Latency of good answers.
};

/// One run of a workload on one host, with one of the two queues.
class Simulation {
public:
  Simulation(const Workload &Load, bool UsesAdmissionQueue, Duration Length)
      : Load_(Load), UsesAdmissionQueue_(UsesAdmissionQueue), Length_(Length),
        Random_(11) {
    Queue_.setTerms(Load.Queue_, Slots);
  }

  Measurements run() {
    scheduleArrival();
    tick();
    Events_.runUntil(TimePoint(Length_));
    const double CapacityFactor = (2 + 1 / Load_.SlowFactor_) / 3;
    const double Capacity = static_cast<double>(Length_.count()) * Slots *
                            CapacityFactor / meanServiceTime();
    return {GoodAnswers_ / Capacity, LateAnswers_ / Capacity,
            quantile(LatencyMs_, 0.99)};
  }

private:
  struct Request {
    TimePoint Arrival_;
    TimePoint Deadline_;
  };

  double meanServiceTime() const {
    return Load_.HeavyTail_ ? MeanServiceMicros * (0.95 + 0.5)
                            : MeanServiceMicros;
  }

  Duration serviceTime() {
    double Mean = MeanServiceMicros;
    const Duration Now = Events_.now().time_since_epoch();
    if (Now >= Length_ / 3 && Now < Length_ * 2 / 3)
      Mean *= Load_.SlowFactor_;
    if (Load_.HeavyTail_ && Random_.below(20) == 0)
      Mean *= 10;
    return exponential(Random_, Mean);
  }

  void scheduleArrival() {
    const double Rate = OverloadFactor * Slots / meanServiceTime();
    Events_.after(exponential(Random_, 1 / Rate), [this] {
      arrive();
      scheduleArrival();
    });
  }

  void arrive() {
    const Duration::rep Range =
        (Load_.LongestDeadline_ - Load_.ShortestDeadline_).count();
    const Duration Deadline =
        Load_.ShortestDeadline_ + Duration(Random_.below(Range + 1));
    const QueueKey Key = NextKey_++;
    const TimePoint Now = Events_.now();
    if (!UsesAdmissionQueue_)
      FifoQueue_.push_back(Key);
    else if (Queue_.offer(Key, Now + Deadline, Now) != ResultCode::Ok)
      return;
    Requests_[Key] = {Now, Now + Deadline};
    serve();
  }

  std::optional<QueueKey> next() {
    if (UsesAdmissionQueue_)
      return Queue_.next(Events_.now());
    if (FifoQueue_.empty())
      return std::nullopt;
    const QueueKey First = FifoQueue_.front();
    FifoQueue_.pop_front();
    return First;
  }

  void serve() {
    while (BusySlots_ < Slots) {
      const std::optional<QueueKey> Key = next();
      if (!Key)
        return;
      ++BusySlots_;
      const Request Running = Requests_[*Key];
      Requests_.erase(*Key);
      const TimePoint Start = Events_.now();
      Events_.after(serviceTime(),
                    [this, Running, Start] { finish(Running, Start); });
    }
  }

  void finish(const Request &Finished, TimePoint Start) {
    --BusySlots_;
    Queue_.recordServiceTime(Events_.now() - Start);
    if (Events_.now() <= Finished.Deadline_) {
      ++GoodAnswers_;
      LatencyMs_.push_back(
          static_cast<double>((Events_.now() - Finished.Arrival_).count()) /
          1000);
    } else {
      ++LateAnswers_;
    }
    serve();
  }

  void tick() {
    for (const DroppedRequest &Dropped : Queue_.takeDropped(Events_.now()))
      Requests_.erase(Dropped.Key_);
    serve();
    Events_.after(TickPeriod, [this] { tick(); });
  }

  Workload Load_;
  bool UsesAdmissionQueue_;
  Duration Length_;
  EventQueue Events_;
  SeededRandom Random_;
  AdmissionQueue Queue_;
  std::deque<QueueKey> FifoQueue_;
  std::map<QueueKey, Request> Requests_;
  QueueKey NextKey_ = 1;
  std::uint32_t BusySlots_ = 0;
  double GoodAnswers_ = 0;
  double LateAnswers_ = 0;
  std::vector<double> LatencyMs_;
};

void compare(const Workload &Load, Duration Length, BoundChecks &Checks) {
  const Measurements Admission = Simulation(Load, true, Length).run();
  const Measurements Fifo = Simulation(Load, false, Length).run();
  std::printf("%s\n", Load.Name_);
  std::printf("  admission queue  good %.3f  late %.3f  p99 of good %.1f ms\n",
              Admission.Goodput_, Admission.Wasted_, Admission.P99Ms_);
  std::printf("  unbounded queue  good %.3f  late %.3f  p99 of good %.1f ms\n",
              Fifo.Goodput_, Fifo.Wasted_, Fifo.P99Ms_);
  Checks.atLeast("good answers over capacity", Admission.Goodput_, 0.9);
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
  // These bounds of the contract, 5,000 requests and 10 s, would by themselves
  // let every request wait past its deadline.
  const QueueTerms LongQueue = {5000, std::chrono::seconds(10)};
  compare({"deadline 150 ms, queue of 5,000", milliseconds(150),
           milliseconds(150), 1, false, LongQueue},
          Length, Checks);
  compare({"deadlines 100 ms to 2 s, queue of 5,000", milliseconds(100),
           milliseconds(2000), 1, false, LongQueue},
          Length, Checks);
  compare({"deadline 2 s, 4 times slower for a third, queue of 5,000",
           milliseconds(2000), milliseconds(2000), 4, false, LongQueue},
          Length, Checks);
  return Checks.exitStatus();
}
