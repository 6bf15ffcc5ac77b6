// Target selection in virtual time: latency and skew of the picker of a group
// of hosts beside random, round robin and least reported load, which use all
// targets without slots. Scenarios: healthy, lying load reports, a slow target,
// a cold start and a recovering target.

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
enum class Scenario : std::uint8_t { Healthy, Lying, Slow, Cold, Recovering };

constexpr std::size_t Hosts = 3;
constexpr std::size_t Targets = 14;
constexpr std::uint32_t FewSlots = 3;
constexpr std::uint32_t ManySlots = 12;
constexpr double MeanServiceTime = 20'000; // microseconds
constexpr double Utilization = 0.7;
constexpr Duration ReportPeriod = std::chrono::milliseconds(500);
constexpr Duration RetryPeriod = std::chrono::milliseconds(5);
constexpr TimePoint ChangeAt{std::chrono::seconds(5)};
constexpr std::size_t Special = 4; // target that a scenario is about

struct Outcomes {
  std::vector<double> LatencyMs_;
  std::vector<double> Work_ = std::vector<double>(Targets, 0);
  std::vector<double> WorkInFirstSecond_ = std::vector<double>(Targets, 0);
  std::uint32_t MostInProgress_ = 0;
};

/// A backend server with as many workers as slots and a queue before them.
struct Server {
  std::uint32_t InProgress_ = 0; ///< Running and queued.
  std::deque<std::function<void()>> Waiting_;
  double ReportedLoad_ = 0; ///< Of the last report period.
};

struct Host {
  explicit Host(std::uint64_t Seed) : Random_(Seed), Picker_(Random_) {}

  SeededRandom Random_;
  TargetPicker Picker_;
  std::deque<TimePoint> Queue_; ///< Arrival times.
  std::vector<double> KnownLoad_ = std::vector<double>(Targets, 0);
  std::size_t Turn_ = 0;
};

class Run {
public:
  Run(Policy Chosen, Scenario Case, std::uint32_t Slots, Duration Length)
      : Policy_(Chosen), Case_(Case), Slots_(Slots), End_(Length), Random_(7) {
    Entry_ = test::makeEntry("bench", Targets, Slots);
    for (std::size_t Each = 0; Each < Hosts; ++Each)
      Hosts_.push_back(std::make_unique<Host>(Each + 1));
    Servers_.resize(Targets);
  }

  Outcomes outcomes() {
    if (Case_ == Scenario::Recovering)
      Health_.Ejected_.insert(idOf(Special));
    setTargets(Case_ == Scenario::Cold);
    Events_.after(ChangeAt.time_since_epoch(), [this] { change(); });
    for (const std::unique_ptr<Host> &Each : Hosts_)
      arriveLater(*Each);
    report();
    retry();
    Events_.runUntil(End_);
    countUnfinished();
    return Found_;
  }

private:
  /// Requests that wait at the end count with the time that they waited so far.
  void countUnfinished() {
    for (const std::unique_ptr<Host> &Each : Hosts_)
      Running_.insert(Each->Queue_.begin(), Each->Queue_.end());
    for (const TimePoint Arrived : Running_)
      noteLatency(Arrived);
  }

  void noteLatency(TimePoint Arrived) {
    if (Arrived >= ChangeAt)
      Found_.LatencyMs_.push_back(
          static_cast<double>((Events_.now() - Arrived).count()) / 1000);
  }

  TargetId idOf(std::size_t Index) const { return Entry_.Targets_[Index].Id_; }

  void setTargets(bool WithoutSpecial) {
    ServiceEntry Listed = Entry_;
    if (WithoutSpecial)
      Listed.Targets_.erase(Listed.Targets_.begin() + Special);
    const HostList List = test::makeHostList(Hosts, Hosts);
    const Group Members = Assignment(List).group(Entry_);
    const SlotPlan Plan = makeSlotPlan(Listed, Members);
    for (std::size_t Each = 0; Each < Hosts; ++Each)
      Hosts_[Each]->Picker_.setTargets(
          Listed, Plan.sharesOf(Members.Members_[Each].Host_), Events_.now());
    SpecialListed_ = !WithoutSpecial;
  }

  void change() {
    if (Case_ == Scenario::Cold)
      setTargets(false);
    Health_.Ejected_.clear();
    if (Case_ == Scenario::Recovering)
      Health_.Reinstated_[idOf(Special)] = Events_.now();
  }

  void arriveLater(Host &At) {
    const double Rate =
        Utilization * Targets * Slots_ / MeanServiceTime / Hosts;
    Events_.after(exponential(Random_, 1 / Rate), [this, &At] {
      At.Queue_.push_back(Events_.now());
      serve(At);
      arriveLater(At);
    });
  }

  void report() {
    for (Server &Each : Servers_)
      Each.ReportedLoad_ = std::min(100.0, 100.0 * Each.InProgress_ / Slots_);
    if (Case_ == Scenario::Lying) {
      Servers_[0].ReportedLoad_ = 0;
      Servers_[1].ReportedLoad_ = 0;
      Servers_[2].ReportedLoad_ = 100;
    }
    Events_.after(ReportPeriod, [this] { report(); });
  }

  void retry() {
    for (const std::unique_ptr<Host> &Each : Hosts_)
      serve(*Each);
    Events_.after(RetryPeriod, [this] { retry(); });
  }

  bool isOpen(std::size_t Index) const {
    return Index != Special ||
           (SpecialListed_ && Health_.isUsable(idOf(Special)));
  }

  std::optional<std::size_t> choose(Host &At) {
    if (Policy_ == Policy::Picker) {
      const std::optional<TargetId> Id =
          At.Picker_.pick({}, Health_, Events_.now());
      if (!Id)
        return std::nullopt;
      At.Picker_.attemptStarted(*Id);
      return std::stoul(Id->str().substr(std::string("target-").size()));
    }
    std::vector<std::size_t> Open;
    for (std::size_t Each = 0; Each < Targets; ++Each)
      if (isOpen(Each))
        Open.push_back(Each);
    if (Policy_ == Policy::RoundRobin)
      return Open[At.Turn_++ % Open.size()];
    if (Policy_ == Policy::Random)
      return Open[At.Random_.below(Open.size())];
    double Least = At.KnownLoad_[Open.front()];
    for (const std::size_t Each : Open)
      Least = std::min(Least, At.KnownLoad_[Each]);
    const auto IsHigher = [&](std::size_t Each) {
      return At.KnownLoad_[Each] > Least;
    };
    Open.erase(std::remove_if(Open.begin(), Open.end(), IsHigher), Open.end());
    return Open[At.Random_.below(Open.size())];
  }

  void serve(Host &At) {
    while (!At.Queue_.empty()) {
      const std::optional<std::size_t> Index = choose(At);
      if (!Index)
        return;
      const TimePoint Arrived = At.Queue_.front();
      At.Queue_.pop_front();
      send(At, *Index, Arrived);
    }
  }

  void send(Host &At, std::size_t Index, TimePoint Arrived) {
    Server &Chosen = Servers_[Index];
    ++Chosen.InProgress_;
    Running_.insert(Arrived);
    Found_.MostInProgress_ =
        std::max(Found_.MostInProgress_, Chosen.InProgress_);
    if (Events_.now() >= ChangeAt)
      ++Found_.Work_[Index];
    if (Events_.now() >= ChangeAt &&
        Events_.now() < ChangeAt + std::chrono::seconds(1))
      ++Found_.WorkInFirstSecond_[Index];
    const TimePoint Sent = Events_.now();
    const auto Work = [this, &At, Index, Arrived, Sent] {
      Events_.after(serviceTime(Index), [this, &At, Index, Arrived, Sent] {
        finish(At, Index, Arrived, Sent);
      });
    };
    if (Chosen.InProgress_ <= Slots_)
      Work();
    else
      Chosen.Waiting_.push_back(Work);
  }

  Duration serviceTime(std::size_t Index) {
    double Factor = 1;
    const double Since =
        static_cast<double>((Events_.now() - ChangeAt).count()) / 1e6;
    if (Index == Special && Since >= 0 && Case_ == Scenario::Slow)
      Factor = 5;
    // A cold server's caches fill over time.
    if (Index == Special && Case_ == Scenario::Cold)
      Factor = 1 + 9 * std::exp(-Since / 8);
    return exponential(Random_, MeanServiceTime * Factor);
  }

  void finish(Host &At, std::size_t Index, TimePoint Arrived, TimePoint Sent) {
    Server &Chosen = Servers_[Index];
    --Chosen.InProgress_;
    if (!Chosen.Waiting_.empty()) {
      const std::function<void()> Work = Chosen.Waiting_.front();
      Chosen.Waiting_.pop_front();
      Work();
    }
    noteLatency(Arrived);
    Running_.erase(Running_.find(Arrived));
    At.KnownLoad_[Index] = Chosen.ReportedLoad_;
    AttemptReport Report;
    Report.End_ = AttemptEnd::Answered;
    Report.Latency_ = Events_.now() - Sent;
    Report.Load_ = Chosen.ReportedLoad_;
    if (Policy_ == Policy::Picker)
      At.Picker_.attemptEnded(idOf(Index), Report, Events_.now());
    serve(At);
  }

  Policy Policy_;
  Scenario Case_;
  std::uint32_t Slots_; ///< And workers of each target.
  TimePoint End_;
  EventQueue Events_;
  SeededRandom Random_;
  ServiceEntry Entry_;
  test::FixedAvailability Health_;
  bool SpecialListed_ = true;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::vector<Server> Servers_;
  std::multiset<TimePoint> Running_; ///< Arrival times.
  Outcomes Found_;
};

struct Figures {
  double P50_;
  double P99_;
  double Skew_;       ///< Work of the busiest target over the mean.
  double Share_;      ///< Special target's part of an equal share.
  double FirstShare_; ///< Special target's part of an equal share, 1 s.
  std::uint32_t MostInProgress_;
};

Figures figuresOf(const char *Name, Policy Chosen, Scenario Case,
                  std::uint32_t Slots, Duration Length) {
  const Outcomes Found = Run(Chosen, Case, Slots, Length).outcomes();
  const Spread Work = spreadOf(Found.Work_);
  const Figures Seen{quantile(Found.LatencyMs_, 0.5),
                     quantile(Found.LatencyMs_, 0.99),
                     Work.Max_ / Work.Mean_,
                     Found.Work_[Special] / Work.Mean_,
                     Found.WorkInFirstSecond_[Special] /
                         spreadOf(Found.WorkInFirstSecond_).Mean_,
                     Found.MostInProgress_};
  std::printf("  %-12s p50 %7.2f ms  p99 %8.2f ms  skew %.3f  special "
              "target %.3f, in first second %.3f  most in progress %u\n",
              Name, Seen.P50_, Seen.P99_, Seen.Skew_, Seen.Share_,
              Seen.FirstShare_, Seen.MostInProgress_);
  return Seen;
}

void compare(const char *Name, Scenario Case, std::uint32_t Slots,
             Duration Length, BoundChecks &Checks) {
  std::printf("%s, %u slots\n", Name, Slots);
  const Figures Own = figuresOf("picker", Policy::Picker, Case, Slots, Length);
  const Figures Random =
      figuresOf("random", Policy::Random, Case, Slots, Length);
  const Figures Robin =
      figuresOf("round robin", Policy::RoundRobin, Case, Slots, Length);
  const Figures Least =
      figuresOf("least load", Policy::LeastLoad, Case, Slots, Length);
  Checks.atMost("most in progress at a target", Own.MostInProgress_, Slots);
  Checks.atMost("p99 over the best baseline's",
                Own.P99_ / std::min({Random.P99_, Robin.P99_, Least.P99_}), 1);
  if (Case == Scenario::Healthy || Case == Scenario::Lying)
    Checks.atMost("skew", Own.Skew_, 1.25);
  if (Case == Scenario::Slow)
    Checks.atMost("slow target's part of an equal share", Own.Share_, 0.23);
  if (Case == Scenario::Cold || Case == Scenario::Recovering)
    Checks.atMost("first second's part of an equal share", Own.FirstShare_,
                  0.25);
}

} // namespace

int main(int Argc, char **Argv) {
  const Duration Length = std::chrono::seconds(isShort(Argc, Argv) ? 20 : 60);
  BoundChecks Checks;
  compare("healthy", Scenario::Healthy, FewSlots, Length, Checks);
  compare("lying load reports", Scenario::Lying, FewSlots, Length, Checks);
  compare("one slow target", Scenario::Slow, FewSlots, Length, Checks);
  compare("one slow target", Scenario::Slow, ManySlots, Length, Checks);
  compare("cold start", Scenario::Cold, FewSlots, Length, Checks);
  compare("recovering target", Scenario::Recovering, FewSlots, Length, Checks);
  return Checks.exitStatus();
}
