// Tests who is served when one workspace sends seven times its usual, or when
// its callers repeat refused requests at once, while all workspaces share the
// targets of one service. One host in virtual time, without a network.

#include "kumquatpitch/gateway-core.h"

#include "manual-time.h"

#include <map>
#include <queue>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

constexpr int Workspaces = 10;
constexpr int Targets = 5;
constexpr std::uint32_t SlotsPerTarget = 3;
constexpr std::int64_t ServiceTimeMs = 240;
constexpr double RequestsPerSecond = 5; ///< Of each workspace, as usual.
constexpr std::int64_t SpanMs = 40'000;

std::string workspaceName(int Index) { return "w" + std::to_string(Index); }

/// What the load does beside the usual requests.
struct Surge {
  double Factor_ = 1; ///< Requests of workspace 0, in relation to its usual.
  int Repeats_ = 0;   ///< How often its callers repeat a refused request.
};

class FairLoadModel {
public:
  explicit FairLoadModel(Surge Load) : Surge_(Load) {
    RoutingConfig Config;
    Config.Version_ = 1;
    VirtualRoute Route;
    Route.Host_ = "h";
    Route.Prefix_ = "/book/";
    Route.Shares_ = {ServiceShare{ServiceName("desk"), 1}};
    Route.Timeout_ = ms(2'500);
    Route.Objective_ = ms(1'000);
    Route.MaxTargets_ = 2;
    Config.Routes_ = {Route};
    Config.Workspaces_.emplace();
    for (int Index = 0; Index < Workspaces; ++Index) {
      WorkspaceSettings Workspace;
      Workspace.Name_ = WorkspaceName(workspaceName(Index));
      Workspace.Keys_ = {digestOf(workspaceName(Index))};
      Config.Workspaces_->push_back(Workspace);
    }
    Core_.setTable(std::make_shared<const RouteTable>(Config));
    std::map<TargetId, TargetEntry> Entries;
    for (int Index = 0; Index < Targets; ++Index) {
      TargetEntry Entry;
      Entry.Id_ = TargetId("t" + std::to_string(Index));
      Entry.Service_ = ServiceName("desk");
      Entry.Domain_ = FailureDomain("a");
      Entry.Slots_ = SlotsPerTarget;
      Entries[Entry.Id_] = Entry;
    }
    Core_.setTargets(Entries, atMs(0));
    Core_.setCallerHosts(
        {{ServiceName("desk"), {{HostId("h1"), FailureDomain("a")}}}}, 1,
        atMs(0));
  }

  /// Plays the span and returns the served share of each workspace.
  std::vector<double> play() {
    for (int Index = 0; Index < Workspaces; ++Index)
      scheduleArrival(Index);
    while (!Events_.empty() && Events_.top().AtMs_ < SpanMs) {
      const Event Next = Events_.top();
      Events_.pop();
      NowMs_ = Next.AtMs_;
      if (Next.Request_)
        finish(Next);
      else
        arrive(Next.Workspace_, Surge_.Repeats_);
      for (const std::pair<std::shared_ptr<GatewayRequest>, Placement> &Entry :
           Core_.placeQueuedRequests(atMs(NowMs_)))
        apply(Entry.first, Entry.second);
    }
    std::vector<double> Shares;
    Shares.reserve(Workspaces);
    for (int Index = 0; Index < Workspaces; ++Index)
      Shares.push_back(Served_[Index] / std::max(1.0, Asked_[Index]));
    return Shares;
  }

private:
  struct Event {
    std::int64_t AtMs_ = 0;
    int Workspace_ = 0; ///< Of an arrival.
    std::shared_ptr<GatewayRequest> Request_;
    GatewayAttempt Attempt_;

    bool operator<(const Event &Other) const { return AtMs_ > Other.AtMs_; }
  };

  void scheduleArrival(int Workspace) {
    const double PerSecond =
        RequestsPerSecond * (Workspace == 0 ? Surge_.Factor_ : 1);
    const std::uint64_t LongestPauseMs =
        static_cast<std::uint64_t>(2 * 1'000 / PerSecond);
    Events_.push(Event{
        NowMs_ + 1 + static_cast<std::int64_t>(Random_.below(LongestPauseMs)),
        Workspace, nullptr, GatewayAttempt()});
  }

  void arrive(int Workspace, int Repeats) {
    scheduleArrival(Workspace);
    ++Asked_[Workspace];
    ask(Workspace, Workspace == 0 ? Repeats : 0);
  }

  void ask(int Workspace, int Repeats) {
    RequestHead Head{"h", "/book/1", ms(2'500)};
    Head.Credential_ =
        credentialOf({{"Authorization", "Bearer " + workspaceName(Workspace)}});
    const std::shared_ptr<GatewayRequest> Request =
        std::get<std::shared_ptr<GatewayRequest>>(
            Core_.admit(Head, atMs(NowMs_)));
    RepeatsLeft_[Request.get()] = Repeats;
    apply(Request, Core_.place(Request, atMs(NowMs_)));
  }

  void apply(const std::shared_ptr<GatewayRequest> &Request,
             const Placement &Decision) {
    if (const GatewayAttempt *Attempt = std::get_if<GatewayAttempt>(&Decision))
      return Events_.push(
          Event{endOf(Attempt->Target_.Id_), 0, Request, *Attempt});
    if (!std::holds_alternative<GatewayRefusal>(Decision))
      return;
    Core_.requestEnded(*Request, false, atMs(NowMs_));
    const int Repeats = RepeatsLeft_[Request.get()];
    RepeatsLeft_.erase(Request.get());
    if (Repeats > 0)
      ask(0, Repeats - 1);
  }

  /// When the target ends a request that it gets now: it runs as many at once
  /// as it has slots, and queues the others.
  std::int64_t endOf(const TargetId &Target) {
    std::multiset<std::int64_t> &FreeAt = SlotsFreeAt_[Target];
    if (FreeAt.empty())
      for (std::uint32_t Slot = 0; Slot < SlotsPerTarget; ++Slot)
        FreeAt.insert(0);
    const std::int64_t StartMs = std::max(NowMs_, *FreeAt.begin());
    FreeAt.erase(FreeAt.begin());
    FreeAt.insert(StartMs + ServiceTimeMs);
    return StartMs + ServiceTimeMs;
  }

  void finish(const Event &Ended) {
    Core_.attemptEnded(*Ended.Request_, Ended.Attempt_, AttemptOutcome::Success,
                       TargetReport(), atMs(NowMs_));
    Core_.requestEnded(*Ended.Request_, true, atMs(NowMs_));
    RepeatsLeft_.erase(Ended.Request_.get());
    const std::string &Name = Ended.Request_->Caller_.Workspace_.str();
    ++Served_[std::stoi(Name.substr(1))];
  }

  const Surge Surge_;
  SeededRandom Random_{17};
  GatewayCore Core_{GatewayOptions{HostId("h1"), FailureDomain("a"), 0.7, 0.2,
                                   64, ms(10'000)},
                    Random_};
  std::priority_queue<Event> Events_;
  std::map<const GatewayRequest *, int> RepeatsLeft_;
  std::map<TargetId, std::multiset<std::int64_t>> SlotsFreeAt_;
  std::map<int, double> Asked_;
  std::map<int, double> Served_;
  std::int64_t NowMs_ = 0;
};

/// Mean served share of all workspaces but the first.
double othersServed(const std::vector<double> &Shares) {
  double Sum = 0;
  for (int Index = 1; Index < Workspaces; ++Index)
    Sum += Shares[Index];
  return Sum / (Workspaces - 1);
}

/// Most that a surge of one workspace may cost the others.
constexpr double MaxLossOfOthers = 0.05;

} // namespace

TEST_GROUP(FairLoad) {
  const double Usual_ = othersServed(FairLoadModel(Surge{}).play());
};

TEST(FairLoad, WorkspaceAtSevenTimesItsUsualCostsTheOthersLittle) {
  const std::vector<double> Shares = FairLoadModel(Surge{7}).play();
  CHECK(othersServed(Shares) >= Usual_ - MaxLossOfOthers);
  for (int Index = 1; Index < Workspaces; ++Index)
    CHECK(Shares[Index] >= 0.5);
}

TEST(FairLoad, CallersThatRepeatAtOnceCostTheOthersLittle) {
  const std::vector<double> Shares = FairLoadModel(Surge{7, 3}).play();
  CHECK(othersServed(Shares) >= Usual_ - MaxLossOfOthers);
}
