// A randomized soak test of the gateway. It runs real host processes on
// loopback addresses, with stand-ins for the store and the backend servers
// behind fault-injecting proxies. A seed determines the faults, signals,
// restarts and configuration changes, which may overlap. What callers and
// backend servers observe is checked during the run.
//
//   gateway-soak BINARY SEED [SECONDS [HOSTS]]
//
// Prints the seed; exits with status 1 if a guarantee was violated.

#include "child-process.h"
#include "soak-answer-faults.h"
#include "soak-judge.h"
#include "soak-proxy.h"
#include "soak-store.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <set>
#include <unistd.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

using Seconds = std::chrono::duration<double>;
using Tcp = asio::ip::tcp;

// Time limits that the platform's contract guarantees, in seconds.
constexpr double DrainS = 2.0;
constexpr double ConfigApplyS = 2.0;
constexpr double StableS = 3.0;
constexpr double StopS = 6.0;
/// Final phase without new faults; shorter than the time allowed for recovery.
constexpr double RecoveryS = 8.0;
/// Tolerance of the checks for a request that is still in flight, in seconds.
constexpr double InFlightSlackS = 0.3;

constexpr std::uint16_t FrontPort = 23'381;
constexpr std::uint16_t ReadyPort = 23'388;
constexpr std::uint16_t DirectoryPort = 23'383;
constexpr std::uint16_t PeerPort = 23'200;
constexpr std::uint16_t StorePort = 23'384;
constexpr std::uint16_t TargetPort = 23'500;
constexpr std::uint16_t ProxyPort = 23'600;

struct HostProcess {
  std::string Address_;
  std::string SettingsFile_;
  std::unique_ptr<ChildProcess> Process_;
  int Incarnation_ = 0;
  /// When SIGTERM was sent to this process; zero if it was not.
  SoakClock::time_point StopSignalAt_{};
  /// Last kill, end of a pause, or start.
  SoakClock::time_point DisturbedAt_{};
  bool IsPaused_ = false;
  /// Newest configuration version that a caller observed from this process,
  /// and when that was first observed.
  std::uint64_t ObservedVersion_ = 0;
  SoakClock::time_point ObservedAt_{};
};

struct TargetEntry {
  std::unique_ptr<SoakTarget> Server_;
  std::unique_ptr<SoakProxy> Proxy_;
  std::string Address_;   ///< Published address, which is the proxy's.
  std::string Published_; ///< Its entry as it wants it; empty for none.
  bool IsPublished_ = false;
  SoakClock::time_point WithdrawnAt_{}; ///< When it was withdrawn.
};

class Soak {
public:
  Soak(std::string Binary, std::uint64_t Seed, double DurationS, int Hosts)
      : Binary_(std::move(Binary)), Seed_(Seed), DurationS_(DurationS),
        Random_(Seed), PlatformRandom_(~Seed),
        NetworkPrefix_("127." + std::to_string(10 + getpid() % 200) + "."),
        Store_(Context_), StoreServer_(Context_, Store_), Client_(Context_),
        AnswerFaults_(Context_, Seed,
                      [this](std::uint64_t Number) -> SoakTarget & {
                        return *Targets_[Number % Targets_.size()].Server_;
                      }) {
    Directory_ = std::filesystem::temp_directory_path() /
                 ("gateway-soak-" + std::to_string(Seed) + "-" +
                  std::to_string(getpid()));
    std::filesystem::create_directories(Directory_);
    startStore();
    for (int Index = 0; Index < 9; ++Index)
      addTarget(Index);
    publishConfig();
    for (int Index = 0; Index < Hosts; ++Index)
      addHost(Index);
  }

  /// Returns whether no guarantee was violated.
  bool run() {
    StartedAt_ = SoakClock::now();
    // Callers start once the first hosts can have read the configuration.
    schedule(2.0, [this] {
      for (int Index = 0; Index < 24; ++Index)
        scheduleCall();
      injectNextFault();
      injectNextPlatformFault();
      AnswerFaults_.start();
    });
    schedule(DurationS_ - RecoveryS, [this] {
      IsRecovering_ = true;
      AnswerFaults_.stop();
    });
    schedule(DurationS_, [this] { Context_.stop(); });
    Context_.run();
    checkExecutions();
    int FaultyAnswers = 0;
    for (const TargetEntry &Target : Targets_)
      FaultyAnswers += Target.Server_->faultyAnswers();
    std::printf("seed %llu: %d calls, %d served, %d refused, %d faults, "
                "%d faulty answers, %zu broken promises\n",
                static_cast<unsigned long long>(Seed_), Calls_, Served_,
                Refused_, FaultCount_ + AnswerFaults_.count(), FaultyAnswers,
                Violations_.size());
    for (const std::string &Violation : Violations_)
      std::printf("  %s\n", Violation.c_str());
    std::error_code Ignored;
    if (Violations_.empty())
      std::filesystem::remove_all(Directory_, Ignored);
    else
      std::printf("  logs: %s\n", Directory_.c_str());
    return Violations_.empty();
  }

private:
  struct Call {
    std::string Id_;
    bool IsIdempotent_ = false;
    std::size_t HostIndex_ = 0;
    int HostIncarnation_ = 0;
    SoakClock::time_point SentAt_;
    std::uint64_t Version_ = 0; ///< Newest published version when it was sent.
    SoakClock::time_point PublishedAt_;
  };

  double since(SoakClock::time_point Start) const {
    return Seconds(SoakClock::now() - Start).count();
  }

  void recordViolation(const std::string &Guarantee,
                       const std::string &Detail) {
    if (++Recorded_[Guarantee] <= 20)
      Violations_.push_back(std::to_string(since(StartedAt_)) + " s " +
                            Guarantee + ": " + Detail);
  }

  void schedule(double Delay, const std::function<void()> &Action) {
    const std::shared_ptr<asio::steady_timer> Timer =
        std::make_shared<asio::steady_timer>(
            Context_,
            std::chrono::duration_cast<SoakClock::duration>(Seconds(Delay)));
    Timer->async_wait([Timer, Action](const asio::error_code &) { Action(); });
  }

  std::uint64_t randomBelow(std::uint64_t Bound) { return Random_() % Bound; }
  Tcp::endpoint endpoint(const std::string &Address, std::uint16_t Port) {
    return {asio::ip::make_address(Address), Port};
  }

  void startStore() {
    const bool Listens = handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(StoreServer_.listen(
              Endpoint{NetworkPrefix_ + "9.1", StorePort}, 500));
          return true;
        },
        [](const Failure &Cause) {
          std::fprintf(stderr, "%s\n", Cause.Message_.c_str());
          return false;
        });
    if (!Listens)
      std::exit(2);
    StoreProxy_ = std::make_unique<SoakProxy>(
        Context_, endpoint(NetworkPrefix_ + "9.2", StorePort),
        endpoint(NetworkPrefix_ + "9.1", StorePort));
  }

  void addTarget(int Index) {
    const std::string Address =
        NetworkPrefix_ + "2." + std::to_string(Index + 1);
    TargetEntry Target;
    Target.Server_ = std::make_unique<SoakTarget>(
        Context_, endpoint(Address, TargetPort),
        "i-" + std::to_string(Index) + "-0", "s" + std::to_string(Index % 3),
        Executions_, Seed_ * 100 + Index);
    Target.Proxy_ = std::make_unique<SoakProxy>(
        Context_, endpoint(Address, ProxyPort), endpoint(Address, TargetPort));
    Target.Address_ = Address + ":" + std::to_string(ProxyPort);
    Target.Server_->setCountedHosts(
        [this](const std::string &Host) { return isInTouch(Host); });
    Targets_.push_back(std::move(Target));
    publish(Targets_.back(), "ready");
  }

  void publish(TargetEntry &Target, const char *State) {
    const nlohmann::json Entry = {
        {"Address", Target.Address_},
        {"Info",
         {{"Service", Target.Server_->service()},
          {"Zone", "a"},
          {"Version", "v1"},
          {"Slots", 8}}},
        {"Status", {{"State", State}, {"Seq", ++Sequence_}, {"ColdLeftS", 0}}},
        {"born", 1'000 + Sequence_}};
    Target.Published_ = Entry.dump();
    Store_.put("servers/" + Target.Server_->id(), Target.Published_);
    Target.IsPublished_ = std::string(State) == "ready";
  }

  /// Publishes the next configuration. Version n routes all requests to service
  /// s(n mod 3).
  void publishConfig() {
    ++Version_;
    PublishedAt_ = SoakClock::now();
    char Text[16];
    std::snprintf(Text, sizeof Text, "%08llx",
                  static_cast<unsigned long long>(Version_));
    nlohmann::json Policy = nlohmann::json::array();
    for (const char *Kind : {"idempotent", "non_idempotent"})
      Policy.push_back(
          {{"Name", Kind},
           {"Kind", Kind},
           {"GoalS", 0.5},
           {"Priority", 1},
           {"Match",
            {{"Prefix",
              Kind == std::string("idempotent") ? "/look/" : "/book/"}}},
           {"Action",
            {{"Service", "s" + std::to_string(Version_ % 3)},
             {"TimeoutS", 1.5},
             {"Attempts", 2}}}});
    const nlohmann::json Config = {
        {"Version", Text},
        {"Listeners", {{{"Host", "h.example"}, {"Policy", Policy}}}},
        {"Clusters", {{{"Name", "s0"}}, {{"Name", "s1"}}, {{"Name", "s2"}}}}};
    Config_ = Config.dump();
    Store_.put("op/config", Config_);
  }

  void addHost(int Index) {
    HostProcess Host;
    Host.Address_ = NetworkPrefix_ + "1." + std::to_string(Index + 1);
    Host.SettingsFile_ =
        Directory_ / ("host-" + std::to_string(Index) + ".ini");
    std::ofstream Settings(Host.SettingsFile_);
    const std::string Seeds =
        NetworkPrefix_ + "1.1:1, " + NetworkPrefix_ + "1.2:1";
    Settings << "[host]\nid = h" << Index
             << "\nregion = r\nfailure_domain = " << (Index % 2 ? "a" : "b")
             << "\naddress = " << Host.Address_
             << "\n[listen]\nfront = " << Host.Address_ << ":" << FrontPort
             << "\nready = " << Host.Address_ << ":" << ReadyPort
             << "\ndirectory = " << Host.Address_ << ":" << DirectoryPort
             << "\n[peers]\nport = " << PeerPort << "\nseeds = " << Seeds
             << "\n[store]\naddress = " << NetworkPrefix_ << "9.2:" << StorePort
             << "\n[terms]\nresend_slack = 20\nstop_time_s = " << StopS << "\n";
    Settings.close();
    Hosts_.push_back(std::move(Host));
    startHost(Hosts_.size() - 1);
  }

  void startHost(std::size_t Index) {
    HostProcess &Host = Hosts_[Index];
    const std::string Log =
        Directory_ / ("host-" + std::to_string(Index) + "-" +
                      std::to_string(Host.Incarnation_) + ".log");
    Host.Process_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{Binary_, "gateway", "--config",
                                 Host.SettingsFile_},
        Log);
    ++Host.Incarnation_;
    Host.DisturbedAt_ = SoakClock::now();
    Host.StopSignalAt_ = {};
    Host.IsPaused_ = false;
    Host.ObservedVersion_ = 0;
  }

  // Callers.

  void scheduleCall() {
    schedule(0.005 + static_cast<double>(randomBelow(40)) / 1'000,
             [this] { call(); });
  }

  /// Calls a random host, including one that is stopping or down.
  void call() {
    Call NewCall;
    NewCall.Id_ = "c" + std::to_string(Seed_) + "-" + std::to_string(++Calls_);
    NewCall.IsIdempotent_ = randomBelow(2) == 0;
    NewCall.HostIndex_ = randomBelow(Hosts_.size());
    NewCall.HostIncarnation_ = Hosts_[NewCall.HostIndex_].Incarnation_;
    NewCall.SentAt_ = SoakClock::now();
    NewCall.Version_ = Version_;
    NewCall.PublishedAt_ = PublishedAt_;
    HttpMessage Request;
    Request.Method_ = NewCall.IsIdempotent_ ? "GET" : "POST";
    Request.Target_ = NewCall.IsIdempotent_ ? "/look/x" : "/book/x";
    Request.Headers_ = {{"Host", "h.example"},
                        {"Request-Id", NewCall.Id_},
                        {"Soak-Host", std::to_string(NewCall.HostIndex_)},
                        {"Deadline-Ms", "1500"}};
    if (!NewCall.IsIdempotent_) {
      Request.Body_ = std::string(randomBelow(3'000), 'b');
      NonIdempotentIds_.insert(NewCall.Id_);
    }
    CallOptions Terms;
    Terms.Endpoint_ = Endpoint{Hosts_[NewCall.HostIndex_].Address_, FrontPort};
    Terms.ConnectTimeout_ = std::chrono::milliseconds(500);
    Terms.Timeout_ = std::chrono::milliseconds(1'900);
    Terms.MaxIdle_ = std::chrono::seconds(5);
    Terms.MaxAnswerBytes_ = 1 << 20;
    // So that an answer that ends early is seen.
    Terms.AcceptsUnframed_ = true;
    if (randomBelow(25) == 0) {
      const std::shared_ptr<HttpClient::Call> Cancelled =
          Client_.call(Terms, OutgoingRequest{writeRequest(Request), nullptr},
                       [](const CallResult &) {});
      schedule(0.02, [this, Cancelled] {
        Cancelled->cancel();
        scheduleCall();
      });
      return;
    }
    Client_.call(Terms, OutgoingRequest{writeRequest(Request), nullptr},
                 [this, NewCall](const CallResult &Result) {
                   checkResult(NewCall, Result);
                   scheduleCall();
                 });
  }

  void checkResult(const Call &Sent, const CallResult &Result) {
    const ExecutionRecord &Record = Executions_[Sent.Id_];
    const std::string Fault = faultOfAnswer(Result, Sent.Id_, Record);
    if (!Fault.empty())
      recordViolation("own and whole answers, written" + Record.Answers_,
                      Fault);
    if (Result.End_ == CallEnd::Broken)
      return checkCutOffCall(Sent);
    if (Result.End_ != CallEnd::Answered)
      return;
    const HttpMessage &Answer = Result.Answer_;
    const bool IsRefusal = Answer.Status_ == 503 || Answer.Status_ == 429 ||
                           Answer.Status_ == 408 || Answer.Status_ == 421;
    if (IsRefusal) {
      ++Refused_;
      RefusedIds_.insert(Sent.Id_);
    }
    if (!isSuccess(Answer))
      return;
    ++Served_;
    if (IsRecovering_)
      ++ServedInRecovery_;
    checkConfigVersion(Sent, Record.Service_);
  }

  /// A planned stop must not cut off a call whose target has already written a
  /// complete response.
  void checkCutOffCall(const Call &Sent) {
    const HostProcess &Host = Hosts_[Sent.HostIndex_];
    const std::map<std::string, ExecutionRecord>::const_iterator Entry =
        Executions_.find(Sent.Id_);
    const bool IsPlanned =
        Host.StopSignalAt_ != SoakClock::time_point() &&
        since(Host.StopSignalAt_) < StopS &&
        Seconds(Host.StopSignalAt_ - Host.DisturbedAt_).count() > 0 &&
        Host.Incarnation_ == Sent.HostIncarnation_;
    if (IsPlanned && Entry != Executions_.end() && Entry->second.Finished_ > 0)
      recordViolation("planned stop",
                      Sent.Id_ + " was cut on " + Host.Address_);
  }

  void checkConfigVersion(const Call &Sent, const std::string &Service) {
    HostProcess &Host = Hosts_[Sent.HostIndex_];
    if (Host.Incarnation_ != Sent.HostIncarnation_ || Service.empty())
      return;
    const std::uint64_t ServiceNumber = Service.back() - '0';
    const bool IsCurrent = ServiceNumber == Sent.Version_ % 3;
    // With three services, only the two newest versions can be distinguished.
    const bool IsOlder = ServiceNumber == (Sent.Version_ + 2) % 3;
    if (IsCurrent && Host.ObservedVersion_ < Sent.Version_) {
      Host.ObservedVersion_ = Sent.Version_;
      Host.ObservedAt_ = SoakClock::now();
    }
    if (!IsOlder || Version_ != Sent.Version_)
      return;
    if (Host.ObservedVersion_ == Sent.Version_ &&
        Seconds(Sent.SentAt_ - Host.ObservedAt_).count() > 0.25)
      recordViolation("no older configuration",
                      Sent.Id_ + " by " + Service + " on " + Host.Address_);
    const bool IsUndisturbed =
        since(StoreDisturbedAt_) > StableS + ConfigApplyS &&
        Seconds(Sent.PublishedAt_ - StoreDisturbedAt_).count() > StableS &&
        Seconds(Sent.SentAt_ - Host.DisturbedAt_).count() >
            StableS + ConfigApplyS;
    if (IsUndisturbed &&
        Seconds(Sent.SentAt_ - Sent.PublishedAt_).count() > ConfigApplyS)
      recordViolation("configuration in time",
                      Sent.Id_ + " by " + Service + " on " + Host.Address_);
  }

  /// Checks that need the final execution counts of all targets.
  void checkExecutions() {
    for (const std::pair<const std::string, ExecutionRecord> &Entry :
         Executions_) {
      if (RefusedIds_.count(Entry.first) && Entry.second.Started_ > 0)
        recordViolation("truthful refusals", Entry.first + " has run");
      if (NonIdempotentIds_.count(Entry.first) && Entry.second.Started_ > 1)
        recordViolation("at most once", Entry.first);
    }
    // A quarter of the average throughput of the whole run.
    const double Expected = Served_ * RecoveryS / DurationS_ / 4;
    if (ServedInRecovery_ < Expected)
      recordViolation("recovery",
                      std::to_string(ServedInRecovery_) + " served at the end");
  }

  // Faults.

  void injectNextFault() {
    if (IsRecovering_)
      return;
    ++FaultCount_;
    switch (randomBelow(13)) {
    case 0:
      killHost();
      break;
    case 1:
    case 2:
      stopHost();
      break;
    case 3:
      pauseHost();
      break;
    case 4:
      injectStoreFault();
      break;
    case 5:
      Store_.compact();
      StoreDisturbedAt_ = SoakClock::now();
      break;
    case 6:
    case 7:
      injectNetworkFault();
      break;
    case 8:
    case 9:
      injectTargetFault();
      break;
    case 10:
      replaceTarget();
      break;
    case 11:
      publishConfig();
      break;
    case 12:
      if (randomBelow(4) == 0)
        for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
          killHost(Index);
      break;
    }
    schedule(0.1 + static_cast<double>(randomBelow(900)) / 1'000,
             [this] { injectNextFault(); });
  }

  /// Faults of the platform's targets and store that came later than the ones
  /// above. They have random numbers of their own, so that the earlier seeds
  /// keep their order of faults.
  void injectNextPlatformFault() {
    if (IsRecovering_)
      return;
    ++FaultCount_;
    if (PlatformRandom_() % 2 == 0)
      limitTarget();
    else
      restoreStore();
    schedule(2 + static_cast<double>(PlatformRandom_() % 4'000) / 1'000,
             [this] { injectNextPlatformFault(); });
  }

  /// True when the host was not killed, stopped or paused in the last StableS.
  bool isInTouch(const std::string &HostIndex) const {
    const HostProcess &Host = Hosts_.at(std::stoul(HostIndex));
    return !Host.IsPaused_ && Host.StopSignalAt_ == SoakClock::time_point() &&
           since(Host.DisturbedAt_) > StableS;
  }

  void limitTarget() {
    const std::size_t Index = PlatformRandom_() % Targets_.size();
    SoakTarget &Target = *Targets_[Index].Server_;
    if (Target.rateLimit().isNamed())
      return;
    constexpr double Limits[] = {1, 2.5, 8, 20};
    Target.rateLimit().begin(Limits[PlatformRandom_() % 4]);
    schedule(9, [this, &Target] {
      if (Target.rateLimit().largestExcess() > 0)
        recordViolation("rate limit",
                        Target.id() + " of " +
                            std::to_string(Target.rateLimit().perSecond()) +
                            ", excess " +
                            std::to_string(Target.rateLimit().largestExcess()));
      Target.rateLimit().end();
    });
  }

  /// Brings the store back from a copy some seconds old. The operator and the
  /// targets write again what it has lost.
  void restoreStore() {
    Store_.restore(std::chrono::milliseconds(500 + PlatformRandom_() % 8'000));
    StoreDisturbedAt_ = std::max(StoreDisturbedAt_, SoakClock::now());
    const auto WriteDelay = [this] {
      return static_cast<double>(PlatformRandom_() % 1'500) / 1'000;
    };
    schedule(WriteDelay(), [this] {
      if (Store_.value("op/config") != Config_)
        Store_.put("op/config", Config_);
    });
    for (std::size_t Index = 0; Index < Targets_.size(); ++Index)
      schedule(WriteDelay(),
               [this, Index] { writeEntryAgain(Targets_[Index]); });
    // Entries of instances that do not run any more lapse.
    schedule(4.5, [this] {
      for (const std::string &Key : Store_.keys())
        if (std::none_of(Targets_.begin(), Targets_.end(),
                         [&](const TargetEntry &Target) {
                           return Key == "servers/" + Target.Server_->id();
                         }) &&
            Key != "op/config")
          Store_.remove(Key);
    });
  }

  void writeEntryAgain(const TargetEntry &Target) {
    const std::string Key = "servers/" + Target.Server_->id();
    if (Store_.value(Key) == Target.Published_)
      return;
    if (Target.Published_.empty())
      Store_.remove(Key);
    else
      Store_.put(Key, Target.Published_);
  }

  void killHost(std::optional<std::size_t> Chosen = std::nullopt) {
    const std::size_t Index = Chosen.value_or(randomBelow(Hosts_.size()));
    HostProcess &Host = Hosts_[Index];
    if (Host.IsPaused_ || Host.StopSignalAt_ != SoakClock::time_point())
      return;
    Host.Process_->signal(SIGKILL);
    Host.DisturbedAt_ = SoakClock::now();
    const int Incarnation = Host.Incarnation_;
    schedule(0.3, [this, Index, Incarnation] {
      if (Hosts_[Index].Incarnation_ == Incarnation)
        startHost(Index);
    });
  }

  void stopHost() {
    const std::size_t Index = randomBelow(Hosts_.size());
    HostProcess &Host = Hosts_[Index];
    if (Host.IsPaused_ || Host.StopSignalAt_ != SoakClock::time_point() ||
        since(Host.DisturbedAt_) < 1)
      return;
    Host.StopSignalAt_ = SoakClock::now();
    Host.Process_->signal(SIGTERM);
    awaitStop(Index, Host.Incarnation_);
  }

  void awaitStop(std::size_t Index, int Incarnation) {
    schedule(0.05, [this, Index, Incarnation] {
      HostProcess &Host = Hosts_[Index];
      if (Host.Incarnation_ != Incarnation)
        return;
      if (Host.Process_->isRunning()) {
        if (since(Host.StopSignalAt_) > StopS) {
          recordViolation("planned stop in time", Host.Address_);
          Host.Process_->signal(SIGKILL);
        }
        return awaitStop(Index, Incarnation);
      }
      schedule(0.2, [this, Index, Incarnation] {
        if (Hosts_[Index].Incarnation_ == Incarnation)
          startHost(Index);
      });
    });
  }

  void pauseHost() {
    const std::size_t Index = randomBelow(Hosts_.size());
    HostProcess &Host = Hosts_[Index];
    if (Host.IsPaused_ || Host.StopSignalAt_ != SoakClock::time_point())
      return;
    Host.IsPaused_ = true;
    Host.Process_->signal(SIGSTOP);
    const int Incarnation = Host.Incarnation_;
    schedule(0.5 + static_cast<double>(randomBelow(2'000)) / 1'000,
             [this, Index, Incarnation] {
               HostProcess &Paused = Hosts_[Index];
               if (Paused.Incarnation_ != Incarnation)
                 return;
               Paused.Process_->signal(SIGCONT);
               Paused.IsPaused_ = false;
               Paused.DisturbedAt_ = SoakClock::now();
             });
  }

  void injectStoreFault() {
    const StoreFault Kinds[] = {StoreFault::Refuse, StoreFault::Silent,
                                StoreFault::Slow};
    Store_.setFault(Kinds[randomBelow(3)]);
    StoreDisturbedAt_ = SoakClock::now() + std::chrono::hours(1);
    schedule(0.5 + static_cast<double>(randomBelow(3'000)) / 1'000, [this] {
      Store_.setFault(StoreFault::None);
      StoreDisturbedAt_ = SoakClock::now();
    });
  }

  void injectNetworkFault() {
    const ProxyFault Kinds[] = {ProxyFault::Delay, ProxyFault::Reset,
                                ProxyFault::DropResponses, ProxyFault::DropAll};
    const std::size_t Index = randomBelow(Targets_.size());
    Targets_[Index].Proxy_->setFault(Kinds[randomBelow(4)]);
    schedule(
        0.2 + static_cast<double>(randomBelow(2'000)) / 1'000,
        [this, Index] { Targets_[Index].Proxy_->setFault(ProxyFault::None); });
  }

  void injectTargetFault() {
    const SoakTarget::Faults Faults =
        SoakTarget::Faults::ofKind(randomBelow(5));
    const std::size_t Index = randomBelow(Targets_.size());
    Targets_[Index].Server_->setFaults(Faults);
    schedule(1 + static_cast<double>(randomBelow(2'000)) / 1'000,
             [this, Index] {
               Targets_[Index].Server_->setFaults(SoakTarget::Faults());
             });
  }

  /// Drains or removes a target. Its address is later given to another
  /// instance, often of another service.
  void replaceTarget() {
    const std::size_t Index = randomBelow(Targets_.size());
    TargetEntry &Target = Targets_[Index];
    if (!Target.IsPublished_)
      return;
    Target.IsPublished_ = false;
    Target.WithdrawnAt_ = SoakClock::now();
    if (randomBelow(2) == 0)
      publish(Target, "draining");
    else {
      Target.Published_.clear();
      Store_.remove("servers/" + Target.Server_->id());
    }
    const std::string Id = Target.Server_->id();
    schedule(DrainS + InFlightSlackS + 1.5,
             [this, Index, Id] { checkDrainAndReplace(Index, Id); });
  }

  void checkDrainAndReplace(std::size_t Index, const std::string &Id) {
    TargetEntry &Target = Targets_[Index];
    const bool IsStable =
        Seconds(Target.WithdrawnAt_ - StoreDisturbedAt_).count() > StableS;
    bool AreHostsStable = true;
    for (const HostProcess &Host : Hosts_)
      AreHostsStable =
          AreHostsStable && !Host.IsPaused_ &&
          Seconds(Target.WithdrawnAt_ - Host.DisturbedAt_).count() > StableS;
    const double LastRequestS =
        Seconds(Target.Server_->lastRequest() - Target.WithdrawnAt_).count();
    if (IsStable && AreHostsStable && LastRequestS > DrainS + InFlightSlackS)
      recordViolation("drain", Id + " got a request after " +
                                   std::to_string(LastRequestS));
    Store_.remove("servers/" + Id);
    Target.Server_->replaceInstance("i-" + std::to_string(Index) + "-" +
                                        std::to_string(++Sequence_),
                                    "s" + std::to_string(randomBelow(3)));
    publish(Target, "ready");
  }

  const std::string Binary_;
  const std::uint64_t Seed_;
  const double DurationS_;
  std::mt19937_64 Random_;
  std::mt19937_64 PlatformRandom_; ///< For injectNextPlatformFault().
  const std::string NetworkPrefix_;
  std::filesystem::path Directory_;
  asio::io_context Context_;
  SoakStore Store_;
  HttpServer StoreServer_;
  HttpClient Client_;
  std::unique_ptr<SoakProxy> StoreProxy_;
  std::vector<TargetEntry> Targets_;
  SoakAnswerFaults AnswerFaults_;
  std::vector<HostProcess> Hosts_;
  std::map<std::string, ExecutionRecord> Executions_;
  std::set<std::string> RefusedIds_;
  std::set<std::string> NonIdempotentIds_;
  std::vector<std::string> Violations_;
  std::map<std::string, int> Recorded_; ///< Violations of each guarantee.
  SoakClock::time_point StartedAt_;
  SoakClock::time_point PublishedAt_;
  SoakClock::time_point StoreDisturbedAt_{};
  std::uint64_t Version_ = 0;
  std::string Config_; ///< As last published.
  std::uint64_t Sequence_ = 0;
  int Calls_ = 0;
  int Served_ = 0;
  int ServedInRecovery_ = 0;
  int Refused_ = 0;
  int FaultCount_ = 0;
  bool IsRecovering_ = false;
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 3) {
    std::fprintf(stderr, "usage: gateway-soak BINARY SEED [SECONDS [HOSTS]]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const double DurationS = Argc > 3 ? std::atof(Argv[3]) : 25;
  const int Hosts = Argc > 4 ? std::atoi(Argv[4]) : 6;
  Soak Run(Argv[1], std::strtoull(Argv[2], nullptr, 10), DurationS, Hosts);
  return Run.run() ? 0 : 1;
}
