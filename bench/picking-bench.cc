// Benchmark of target selection in virtual time. Compares latency and skew of
// the target picker, in a group of hosts, with random, round robin and least
// reported load selection, which use all targets and ignore slots. Scenarios:
// healthy, false load reports, a slow target, a cold start and a recovering
// target.

#include "bench-report.h"
#include "event-queue.h"
#include "fixed-availability.h"
#include "fleet-fixture.h"

#include "kumquatpitch/target-picker.h"

#include <cstdio>
#include <deque>
#include <memory>
#include <set>
#include <string>

using namespace kumquatpitch;
using namespace kumquatpitch::bench;

namespace {

enum class Policy : std::uint8_t { Picker, Random, RoundRobin, LeastLoad };
enum class Scenario : std::uint8_t {
  Healthy,
  FalseReports,
  Slow,
  Cold,
  Recovering
};

constexpr std::size_t Hosts = 3;
constexpr std::size_t Targets = 14;
constexpr std::uint32_t FewSlots = 3;
constexpr std::uint32_t ManySlots = 12;
constexpr double MeanServiceTime = 20'000; // microseconds
constexpr double Utilization = 0.7;
constexpr Duration ReportPeriod = std::chrono::milliseconds(500);
constexpr Duration RetryPeriod = std::chrono::milliseconds(5);
constexpr TimePoint ChangeAt{std::chrono::seconds(5)};
/// The target that is slow, cold or recovering, depending on the scenario.
constexpr std::size_t SpecialTarget = 4;

struct Outcomes {
  std::vector<double> LatencyMs_;
  std::vector<double> Requests_ = std::vector<double>(Targets, 0);
  std::vector<double> RequestsInFirstSecond_ = std::vector<double>(Targets, 0);
  std::uint32_t MaxInProgress_ = 0;
};

/// A backend server that has one worker for each slot, and a queue for further
/// requests.
struct Server {
  std::uint32_t InProgress_ = 0; ///< Running and queued.
  std::deque<std::function<void()>> Waiting_;
  double ReportedLoad_ = 0; ///< Load at the last report.
};

struct Host {
  explicit Host(std::uint64_t Seed) : Random_(Seed), Picker_(Random_) {}

  SeededRandom Random_;
  TargetPicker Picker_;
  std::deque<TimePoint> Queue_; ///< Arrival times.
  std::vector<double> LastLoad_ = std::vector<double>(Targets, 0);
  std::size_t NextTarget_ = 0;
};

class Run {
public:
  Run(Policy SelectedPolicy, Scenario Case, std::uint32_t Slots,
      Duration Length)
      : Policy_(SelectedPolicy), Case_(Case), Slots_(Slots), End_(Length),
        Random_(7) {
    Entry_ = test::makeEntry("bench", Targets, Slots);
    for (std::size_t Index = 0; Index < Hosts; ++Index)
      Hosts_.push_back(std::make_unique<Host>(Index + 1));
    Servers_.resize(Targets);
  }

  Outcomes outcomes() {
    if (Case_ == Scenario::Recovering)
      Health_.Ejected_.insert(idOf(SpecialTarget));
    setTargets(Case_ == Scenario::Cold);
    Events_.after(ChangeAt.time_since_epoch(), [this] { change(); });
    for (const std::unique_ptr<Host> &Member : Hosts_)
      scheduleArrival(*Member);
    report();
    retry();
    Events_.runUntil(End_);
    countUnfinished();
    return Outcomes_;
  }

private:
  /// Requests that are unfinished at the end count with the time since their
  /// arrival.
  void countUnfinished() {
    for (const std::unique_ptr<Host> &Member : Hosts_)
      Running_.insert(Member->Queue_.begin(), Member->Queue_.end());
    for (const TimePoint Arrival : Running_)
      recordLatency(Arrival);
  }

  void recordLatency(TimePoint Arrival) {
    if (Arrival >= ChangeAt)
      Outcomes_.LatencyMs_.push_back(
          static_cast<double>((Events_.now() - Arrival).count()) / 1000);
  }

  TargetId idOf(std::size_t Index) const { return Entry_.Targets_[Index].Id_; }

  void setTargets(bool WithoutSpecial) {
    ServiceEntry Published = Entry_;
    if (WithoutSpecial)
      Published.Targets_.erase(Published.Targets_.begin() + SpecialTarget);
    const HostList Fleet = test::makeHostList(Hosts, Hosts);
    const Group Members = Assignment(Fleet).group(Entry_);
    const SlotPlan Plan = makeSlotPlan(Published, Members);
    for (std::size_t HostIndex = 0; HostIndex < Hosts; ++HostIndex)
      Hosts_[HostIndex]->Picker_.setTargets(
          Published, Plan.sharesOf(Members.Members_[HostIndex].Host_),
          Events_.now());
    IsSpecialListed_ = !WithoutSpecial;
  }

  void change() {
    if (Case_ == Scenario::Cold)
      setTargets(false);
    Health_.Ejected_.clear();
    if (Case_ == Scenario::Recovering)
      Health_.Reinstated_[idOf(SpecialTarget)] = Events_.now();
  }

  void scheduleArrival(Host &Receiver) {
    const double Rate =
        Utilization * Targets * Slots_ / MeanServiceTime / Hosts;
    Events_.after(exponential(Random_, 1 / Rate), [this, &Receiver] {
      Receiver.Queue_.push_back(Events_.now());
      serve(Receiver);
      scheduleArrival(Receiver);
    });
  }

  void report() {
    for (Server &TargetServer : Servers_)
      TargetServer.ReportedLoad_ =
          std::min(100.0, 100.0 * TargetServer.InProgress_ / Slots_);
    if (Case_ == Scenario::FalseReports) {
      Servers_[0].ReportedLoad_ = 0;
      Servers_[1].ReportedLoad_ = 0;
      Servers_[2].ReportedLoad_ = 100;
    }
    Events_.after(ReportPeriod, [this] { report(); });
  }

  void retry() {
    for (const std::unique_ptr<Host> &Member : Hosts_)
      serve(*Member);
    Events_.after(RetryPeriod, [this] { retry(); });
  }

  bool isUsable(std::size_t Index) const {
    return Index != SpecialTarget ||
           (IsSpecialListed_ && Health_.isUsable(idOf(SpecialTarget)));
  }

  std::optional<std::size_t> choose(Host &Receiver) {
    if (Policy_ == Policy::Picker) {
      const std::optional<TargetId> Id =
          Receiver.Picker_.pick({}, Health_, Events_.now());
      if (!Id)
        return std::nullopt;
      Receiver.Picker_.attemptStarted(*Id);
      return std::stoul(Id->str().substr(std::string("target-").size()));
    }
    std::vector<std::size_t> Usable;
    for (std::size_t Index = 0; Index < Targets; ++Index)
      if (isUsable(Index))
        Usable.push_back(Index);
    if (Policy_ == Policy::RoundRobin)
      return Usable[Receiver.NextTarget_++ % Usable.size()];
    if (Policy_ == Policy::Random)
      return Usable[Receiver.Random_.below(Usable.size())];
    double LowestLoad = Receiver.LastLoad_[Usable.front()];
    for (const std::size_t Index : Usable)
      LowestLoad = std::min(LowestLoad, Receiver.LastLoad_[Index]);
    const auto IsHigher = [&](std::size_t Index) {
      return Receiver.LastLoad_[Index] > LowestLoad;
    };
    Usable.erase(std::remove_if(Usable.begin(), Usable.end(), IsHigher),
                 Usable.end());
    return Usable[Receiver.Random_.below(Usable.size())];
  }

  void serve(Host &Receiver) {
    while (!Receiver.Queue_.empty()) {
      const std::optional<std::size_t> Index = choose(Receiver);
      if (!Index)
        return;
      const TimePoint Arrival = Receiver.Queue_.front();
      Receiver.Queue_.pop_front();
      send(Receiver, *Index, Arrival);
    }
  }

  void send(Host &Receiver, std::size_t Index, TimePoint Arrival) {
    Server &TargetServer = Servers_[Index];
    ++TargetServer.InProgress_;
    Running_.insert(Arrival);
    Outcomes_.MaxInProgress_ =
        std::max(Outcomes_.MaxInProgress_, TargetServer.InProgress_);
    if (Events_.now() >= ChangeAt)
      ++Outcomes_.Requests_[Index];
    if (Events_.now() >= ChangeAt &&
        Events_.now() < ChangeAt + std::chrono::seconds(1))
      ++Outcomes_.RequestsInFirstSecond_[Index];
    const TimePoint Sent = Events_.now();
    const auto StartWork = [this, &Receiver, Index, Arrival, Sent] {
      Events_.after(serviceTime(Index),
                    [this, &Receiver, Index, Arrival, Sent] {
                      finish(Receiver, Index, Arrival, Sent);
                    });
    };
    if (TargetServer.InProgress_ <= Slots_)
      StartWork();
    else
      TargetServer.Waiting_.push_back(StartWork);
  }

  Duration serviceTime(std::size_t Index) {
    double Factor = 1;
    const double Since =
        static_cast<double>((Events_.now() - ChangeAt).count()) / 1e6;
    if (Index == SpecialTarget && Since >= 0 && Case_ == Scenario::Slow)
      Factor = 5;
    // A cold server's caches fill over time.
    if (Index == SpecialTarget && Case_ == Scenario::Cold)
      Factor = 1 + 9 * std::exp(-Since / 8);
    return exponential(Random_, MeanServiceTime * Factor);
  }

  void finish(Host &Receiver, std::size_t Index, TimePoint Arrival,
              TimePoint Sent) {
    Server &TargetServer = Servers_[Index];
    --TargetServer.InProgress_;
    if (!TargetServer.Waiting_.empty()) {
      const std::function<void()> StartWork = TargetServer.Waiting_.front();
      TargetServer.Waiting_.pop_front();
      StartWork();
    }
    recordLatency(Arrival);
    Running_.erase(Running_.find(Arrival));
    Receiver.LastLoad_[Index] = TargetServer.ReportedLoad_;
    AttemptReport Report;
    Report.End_ = AttemptEnd::Answered;
    Report.Latency_ = Events_.now() - Sent;
    Report.Load_ = TargetServer.ReportedLoad_;
    if (Policy_ == Policy::Picker)
      Receiver.Picker_.attemptEnded(idOf(Index), Report, Events_.now());
    serve(Receiver);
  }

  Policy Policy_;
  Scenario Case_;
  std::uint32_t Slots_; ///< Slots, and so workers, of each target.
  TimePoint End_;
  EventQueue Events_;
  SeededRandom Random_;
  ServiceEntry Entry_;
  test::FixedAvailability Health_;
  bool IsSpecialListed_ = true;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::vector<Server> Servers_;
  std::multiset<TimePoint> Running_; ///< Arrival times of unfinished requests.
  Outcomes Outcomes_;
};

struct Figures {
  double P50_;
  double P99_;
  double Skew_; ///< Requests to the busiest target over the mean.
  /// Requests to the special target over the mean.
  double Share_;
  /// The same for the first second after the change.
  double FirstShare_;
  std::uint32_t MaxInProgress_;
};

Figures figuresOf(const char *Name, Policy SelectedPolicy, Scenario Case,
                  std::uint32_t Slots, Duration Length) {
  const Outcomes Result = Run(SelectedPolicy, Case, Slots, Length).outcomes();
  const Spread Requests = spreadOf(Result.Requests_);
  const Figures Summary{quantile(Result.LatencyMs_, 0.5),
                        quantile(Result.LatencyMs_, 0.99),
                        Requests.Max_ / Requests.Mean_,
                        Result.Requests_[SpecialTarget] / Requests.Mean_,
                        Result.RequestsInFirstSecond_[SpecialTarget] /
                            spreadOf(Result.RequestsInFirstSecond_).Mean_,
                        Result.MaxInProgress_};
  std::printf("  %-12s p50 %7.2f ms  p99 %8.2f ms  skew %.3f  special "
              "target %.3f, in first second %.3f  most in progress %u\n",
              Name, Summary.P50_, Summary.P99_, Summary.Skew_, Summary.Share_,
              Summary.FirstShare_, Summary.MaxInProgress_);
  return Summary;
}

void compare(const char *Name, Scenario Case, std::uint32_t Slots,
             Duration Length, BoundChecks &Checks) {
  std::printf("%s, %u slots\n", Name, Slots);
  const Figures Picker =
      figuresOf("picker", Policy::Picker, Case, Slots, Length);
  const Figures Random =
      figuresOf("random", Policy::Random, Case, Slots, Length);
  const Figures RoundRobin =
      figuresOf("round robin", Policy::RoundRobin, Case, Slots, Length);
  const Figures LeastLoad =
      figuresOf("least load", Policy::LeastLoad, Case, Slots, Length);
  Checks.atMost("most in progress at a target", Picker.MaxInProgress_, Slots);
  Checks.atMost("p99 over the best baseline's",
                Picker.P99_ /
                    std::min({Random.P99_, RoundRobin.P99_, LeastLoad.P99_}),
                1);
  if (Case == Scenario::Healthy || Case == Scenario::FalseReports)
    Checks.atMost("skew", Picker.Skew_, 1.25);
  if (Case == Scenario::Slow)
    Checks.atMost("slow target's part of an equal share", Picker.Share_, 0.23);
  if (Case == Scenario::Cold || Case == Scenario::Recovering)
    Checks.atMost("first second's part of an equal share", Picker.FirstShare_,
                  0.25);
}

} // namespace

int main(int Argc, char **Argv) {
  const Duration Length = std::chrono::seconds(isShort(Argc, Argv) ? 20 : 60);
  BoundChecks Checks;
  compare("healthy", Scenario::Healthy, FewSlots, Length, Checks);
  compare("lying load reports", Scenario::FalseReports, FewSlots, Length,
          Checks);
  compare("one slow target", Scenario::Slow, FewSlots, Length, Checks);
  compare("one slow target", Scenario::Slow, ManySlots, Length, Checks);
  compare("cold start", Scenario::Cold, FewSlots, Length, Checks);
  compare("recovering target", Scenario::Recovering, FewSlots, Length, Checks);
  return Checks.exitStatus();
}
