// A randomized soak of the gateway: real host processes on loopback addresses,
// with stand-ins of the store and of backend servers behind harming proxies.
// Faults, signals, restarts and changes come from a seed, in series and
// overlapping; what callers and backend servers see is checked while it runs.
//
//   gateway-soak BINARY SEED [SECONDS [HOSTS]]
//
// Ends with status 1 and the seed when a promise is broken.

#include "child-process.h"
#include "soak-proxy.h"
#include "soak-store.h"
#include "soak-target.h"

#include "kumquatpitch/http-client.h"

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

// Promises of the platform's contract that are checked, in seconds.
constexpr double DrainS = 2.0;
constexpr double ConfigApplyS = 2.0;
constexpr double StableS = 3.0;
constexpr double StopS = 6.0;
/// Without new faults at the end; less than the time allowed for recovery.
constexpr double CalmS = 8.0;
/// A request is on its way for this long at most when its fate is judged.
constexpr double Slack = 0.3;

constexpr std::uint16_t FrontPort = 23'381;
constexpr std::uint16_t ReadyPort = 23'388;
constexpr std::uint16_t DirectoryPort = 23'383;
constexpr std::uint16_t PeerPort = 23'200;
constexpr std::uint16_t StorePort = 23'384;
constexpr std::uint16_t TargetPort = 23'500;
constexpr std::uint16_t ProxyPort = 23'600;

struct Host {
  std::string Address_;
  std::string SettingsFile_;
  std::unique_ptr<ChildProcess> Process_;
  int Run_ = 0;
  SoakClock::time_point TermAt_{};   ///< When it was asked to stop.
  SoakClock::time_point HarmedAt_{}; ///< Last kill, pause or start.
  bool IsPaused_ = false;
  /// Version whose effect a caller saw in this run, and when.
  std::uint64_t SeenVersion_ = 0;
  SoakClock::time_point SeenAt_{};
};

struct Target {
  std::unique_ptr<SoakTarget> Server_;
  std::unique_ptr<SoakProxy> Proxy_;
  std::string Address_; ///< As published: the proxy's.
  bool IsPublished_ = false;
  SoakClock::time_point GoneAt_{}; ///< When it was withdrawn.
};

class Soak {
public:
  Soak(std::string Binary, std::uint64_t Seed, double Length, int Hosts)
      : Binary_(std::move(Binary)), Seed_(Seed), Length_(Length), Random_(Seed),
        Net_("127." + std::to_string(10 + getpid() % 200) + "."),
        Store_(Context_), StoreServer_(Context_, Store_), Client_(Context_) {
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

  /// True when no promise was broken.
  bool run() {
    Began_ = SoakClock::now();
    // Callers begin when the first hosts can have found the configuration.
    after(2.0, [this] {
      for (int Index = 0; Index < 24; ++Index)
        callAgain();
      nextFault();
    });
    after(Length_ - CalmS, [this] { IsCalm_ = true; });
    after(Length_, [this] { Context_.stop(); });
    Context_.run();
    judgeRuns();
    std::printf("seed %llu: %d calls, %d served, %d refused, %d faults, "
                "%zu broken promises\n",
                static_cast<unsigned long long>(Seed_), Calls_, Served_,
                Refused_, FaultCount_, Broken_.size());
    for (const std::string &Each : Broken_)
      std::printf("  %s\n", Each.c_str());
    std::error_code Ignored;
    if (Broken_.empty())
      std::filesystem::remove_all(Directory_, Ignored);
    else
      std::printf("  logs: %s\n", Directory_.c_str());
    return Broken_.empty();
  }

private:
  struct Call {
    std::string Id_;
    bool MayRepeat_ = false;
    std::size_t Host_ = 0;
    int HostRun_ = 0;
    SoakClock::time_point SentAt_;
    std::uint64_t Version_ = 0; ///< Published when it was sent.
    SoakClock::time_point PublishedAt_;
  };

  double since(SoakClock::time_point At) const {
    return Seconds(SoakClock::now() - At).count();
  }

  void broken(const std::string &Promise, const std::string &Detail) {
    if (Broken_.size() < 20)
      Broken_.push_back(std::to_string(since(Began_)) + " s " + Promise + ": " +
                        Detail);
  }

  void after(double Delay, const std::function<void()> &What) {
    const std::shared_ptr<asio::steady_timer> Timer =
        std::make_shared<asio::steady_timer>(
            Context_,
            std::chrono::duration_cast<SoakClock::duration>(Seconds(Delay)));
    Timer->async_wait([Timer, What](const asio::error_code &) { What(); });
  }

  std::uint64_t below(std::uint64_t Bound) { return Random_() % Bound; }
  Tcp::endpoint at(const std::string &Address, std::uint16_t Port) {
    return {asio::ip::make_address(Address), Port};
  }

  void startStore() {
    const bool Listens = handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(
              StoreServer_.listen(Endpoint{Net_ + "9.1", StorePort}, 500));
          return true;
        },
        [](const Failure &Cause) {
          std::fprintf(stderr, "%s\n", Cause.Message_.c_str());
          return false;
        });
    if (!Listens)
      std::exit(2);
    StoreProxy_ = std::make_unique<SoakProxy>(
        Context_, at(Net_ + "9.2", StorePort), at(Net_ + "9.1", StorePort));
  }

  void addTarget(int Index) {
    const std::string Address = Net_ + "2." + std::to_string(Index + 1);
    Target New;
    New.Server_ = std::make_unique<SoakTarget>(
        Context_, at(Address, TargetPort), "i-" + std::to_string(Index) + "-0",
        "s" + std::to_string(Index % 3), Runs_, Seed_ * 100 + Index);
    New.Proxy_ = std::make_unique<SoakProxy>(Context_, at(Address, ProxyPort),
                                             at(Address, TargetPort));
    New.Address_ = Address + ":" + std::to_string(ProxyPort);
    Targets_.push_back(std::move(New));
    publish(Targets_.back(), "ready");
  }

  void publish(Target &Of, const char *State) {
    const nlohmann::json Entry = {
        {"Address", Of.Address_},
        {"Info",
         {{"Service", Of.Server_->service()},
          {"Zone", "a"},
          {"Version", "v1"},
          {"Slots", 8}}},
        {"Status", {{"State", State}, {"Seq", ++Sequence_}, {"ColdLeftS", 0}}},
        {"born", 1'000 + Sequence_}};
    Store_.put("servers/" + Of.Server_->id(), Entry.dump());
    Of.IsPublished_ = std::string(State) == "ready";
  }

  /// Version n routes everything to service s(n mod 3).
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
    Store_.put("op/config", Config.dump());
  }

  void addHost(int Index) {
    Host New;
    New.Address_ = Net_ + "1." + std::to_string(Index + 1);
    New.SettingsFile_ = Directory_ / ("host-" + std::to_string(Index) + ".ini");
    std::ofstream Out(New.SettingsFile_);
    const std::string Seeds = Net_ + "1.1:1, " + Net_ + "1.2:1";
    Out << "[host]\nid = h" << Index
        << "\nregion = r\nfailure_domain = " << (Index % 2 ? "a" : "b")
        << "\naddress = " << New.Address_
        << "\n[listen]\nfront = " << New.Address_ << ":" << FrontPort
        << "\nready = " << New.Address_ << ":" << ReadyPort
        << "\ndirectory = " << New.Address_ << ":" << DirectoryPort
        << "\n[peers]\nport = " << PeerPort << "\nseeds = " << Seeds
        << "\n[store]\naddress = " << Net_ << "9.2:" << StorePort
        << "\n[terms]\nresend_slack = 20\nstop_time_s = " << StopS << "\n";
    Out.close();
    Hosts_.push_back(std::move(New));
    start(Hosts_.size() - 1);
  }

  void start(std::size_t Index) {
    Host &Of = Hosts_[Index];
    const std::string Log =
        Directory_ / ("host-" + std::to_string(Index) + "-" +
                      std::to_string(Of.Run_) + ".log");
    Of.Process_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{Binary_, "gateway", "--config",
                                 Of.SettingsFile_},
        Log);
    ++Of.Run_;
    Of.HarmedAt_ = SoakClock::now();
    Of.TermAt_ = {};
    Of.IsPaused_ = false;
    Of.SeenVersion_ = 0;
  }

  // Callers.

  void callAgain() {
    after(0.005 + static_cast<double>(below(40)) / 1'000, [this] { call(); });
  }

  /// Callers stay with a host, also while it stops, until it is gone.
  void call() {
    Call New;
    New.Id_ = "c" + std::to_string(Seed_) + "-" + std::to_string(++Calls_);
    New.MayRepeat_ = below(2) == 0;
    New.Host_ = below(Hosts_.size());
    New.HostRun_ = Hosts_[New.Host_].Run_;
    New.SentAt_ = SoakClock::now();
    New.Version_ = Version_;
    New.PublishedAt_ = PublishedAt_;
    HttpMessage Request;
    Request.Method_ = New.MayRepeat_ ? "GET" : "POST";
    Request.Target_ = New.MayRepeat_ ? "/look/x" : "/book/x";
    Request.Headers_ = {{"Host", "h.example"},
                        {"Request-Id", New.Id_},
                        {"Deadline-Ms", "1500"}};
    if (!New.MayRepeat_) {
      Request.Body_ = std::string(below(3'000), 'b');
      Booked_.insert(New.Id_);
    }
    CallTerms Terms;
    Terms.At_ = Endpoint{Hosts_[New.Host_].Address_, FrontPort};
    Terms.ConnectTimeout_ = std::chrono::milliseconds(500);
    Terms.Timeout_ = std::chrono::milliseconds(1'900);
    Terms.MaxIdle_ = std::chrono::seconds(5);
    Terms.MaxAnswerBytes_ = 1 << 20;
    if (below(25) == 0) {
      const std::shared_ptr<HttpClient::Call> Leaving =
          Client_.call(Terms, writeRequest(Request), [](const CallResult &) {});
      after(0.02, [this, Leaving] {
        Leaving->cancel();
        callAgain();
      });
      return;
    }
    Client_.call(Terms, writeRequest(Request),
                 [this, New](const CallResult &Result) {
                   judge(New, Result);
                   callAgain();
                 });
  }

  void judge(const Call &Of, const CallResult &Result) {
    if (Result.End_ == CallEnd::Broken)
      return judgeCut(Of);
    if (Result.End_ != CallEnd::Answered)
      return;
    const HttpMessage &Answer = Result.Answer_;
    const bool IsRefusal = Answer.Status_ == 503 || Answer.Status_ == 429 ||
                           Answer.Status_ == 408 || Answer.Status_ == 421;
    if (IsRefusal) {
      ++Refused_;
      RefusedIds_.insert(Of.Id_);
    }
    if (Answer.Status_ != 200)
      return;
    ++Served_;
    if (IsCalm_)
      ++ServedCalm_;
    const std::string Service = Runs_[Of.Id_].Service_;
    if (Answer.Body_ != soakBody(Of.Id_, Service) ||
        !Answer.header("Response-Seal"))
      broken("own and whole answers",
             Of.Id_ + " got " + Answer.Body_.substr(0, 40));
    judgeVersion(Of, Service);
  }

  /// A planned stop must not cut a request that its target has finished.
  void judgeCut(const Call &Of) {
    const Host &At = Hosts_[Of.Host_];
    const std::map<std::string, SoakRuns>::const_iterator Run =
        Runs_.find(Of.Id_);
    const bool IsPlanned = At.TermAt_ != SoakClock::time_point() &&
                           since(At.TermAt_) < StopS &&
                           Seconds(At.TermAt_ - At.HarmedAt_).count() > 0 &&
                           At.Run_ == Of.HostRun_;
    if (IsPlanned && Run != Runs_.end() && Run->second.Finished_ > 0)
      broken("planned stop", Of.Id_ + " was cut on " + At.Address_);
  }

  void judgeVersion(const Call &Of, const std::string &Service) {
    Host &At = Hosts_[Of.Host_];
    if (At.Run_ != Of.HostRun_ || Service.empty())
      return;
    const std::uint64_t Number = Service.back() - '0';
    const bool IsCurrent = Number == Of.Version_ % 3;
    // Only the two newest versions can be told apart by three services.
    const bool IsOlder = Number == (Of.Version_ + 2) % 3;
    if (IsCurrent && At.SeenVersion_ < Of.Version_) {
      At.SeenVersion_ = Of.Version_;
      At.SeenAt_ = SoakClock::now();
    }
    if (!IsOlder || Version_ != Of.Version_)
      return;
    if (At.SeenVersion_ == Of.Version_ &&
        Seconds(Of.SentAt_ - At.SeenAt_).count() > 0.25)
      broken("no older configuration",
             Of.Id_ + " by " + Service + " on " + At.Address_);
    const bool InTouch =
        since(StoreHarmedAt_) > StableS + ConfigApplyS &&
        Seconds(Of.PublishedAt_ - StoreHarmedAt_).count() > StableS &&
        Seconds(Of.SentAt_ - At.HarmedAt_).count() > StableS + ConfigApplyS;
    if (InTouch && Seconds(Of.SentAt_ - Of.PublishedAt_).count() > ConfigApplyS)
      broken("configuration in time",
             Of.Id_ + " by " + Service + " on " + At.Address_);
  }

  /// What can be told only when all targets have ended.
  void judgeRuns() {
    for (const std::pair<const std::string, SoakRuns> &Each : Runs_) {
      if (RefusedIds_.count(Each.first) && Each.second.Started_ > 0)
        broken("truthful refusals", Each.first + " has run");
      if (Booked_.count(Each.first) && Each.second.Started_ > 1)
        broken("at most once", Each.first);
    }
    // A quarter of what was served in the same time before.
    const double Expected = Served_ * CalmS / Length_ / 4;
    if (ServedCalm_ < Expected)
      broken("recovery", std::to_string(ServedCalm_) + " served at the end");
  }

  // Faults.

  void nextFault() {
    if (IsCalm_)
      return;
    ++FaultCount_;
    switch (below(13)) {
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
      storeFault();
      break;
    case 5:
      Store_.compact();
      StoreHarmedAt_ = SoakClock::now();
      break;
    case 6:
    case 7:
      pathFault();
      break;
    case 8:
    case 9:
      targetFault();
      break;
    case 10:
      replaceTarget();
      break;
    case 11:
      publishConfig();
      break;
    case 12:
      if (below(4) == 0)
        for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
          killHost(Index);
      break;
    }
    after(0.1 + static_cast<double>(below(900)) / 1'000,
          [this] { nextFault(); });
  }

  void killHost(std::optional<std::size_t> Chosen = std::nullopt) {
    const std::size_t Index = Chosen.value_or(below(Hosts_.size()));
    Host &Of = Hosts_[Index];
    if (Of.IsPaused_ || Of.TermAt_ != SoakClock::time_point())
      return;
    Of.Process_->signal(SIGKILL);
    Of.HarmedAt_ = SoakClock::now();
    const int Run = Of.Run_;
    after(0.3, [this, Index, Run] {
      if (Hosts_[Index].Run_ == Run)
        start(Index);
    });
  }

  void stopHost() {
    const std::size_t Index = below(Hosts_.size());
    Host &Of = Hosts_[Index];
    if (Of.IsPaused_ || Of.TermAt_ != SoakClock::time_point() ||
        since(Of.HarmedAt_) < 1)
      return;
    Of.TermAt_ = SoakClock::now();
    Of.Process_->signal(SIGTERM);
    awaitStop(Index, Of.Run_);
  }

  void awaitStop(std::size_t Index, int Run) {
    after(0.05, [this, Index, Run] {
      Host &Of = Hosts_[Index];
      if (Of.Run_ != Run)
        return;
      if (Of.Process_->isRunning()) {
        if (since(Of.TermAt_) > StopS) {
          broken("planned stop in time", Of.Address_);
          Of.Process_->signal(SIGKILL);
        }
        return awaitStop(Index, Run);
      }
      after(0.2, [this, Index, Run] {
        if (Hosts_[Index].Run_ == Run)
          start(Index);
      });
    });
  }

  void pauseHost() {
    const std::size_t Index = below(Hosts_.size());
    Host &Of = Hosts_[Index];
    if (Of.IsPaused_ || Of.TermAt_ != SoakClock::time_point())
      return;
    Of.IsPaused_ = true;
    Of.Process_->signal(SIGSTOP);
    const int Run = Of.Run_;
    after(0.5 + static_cast<double>(below(2'000)) / 1'000, [this, Index, Run] {
      Host &Paused = Hosts_[Index];
      if (Paused.Run_ != Run)
        return;
      Paused.Process_->signal(SIGCONT);
      Paused.IsPaused_ = false;
      Paused.HarmedAt_ = SoakClock::now();
    });
  }

  void storeFault() {
    const StoreFault Kinds[] = {StoreFault::Refuse, StoreFault::Silent,
                                StoreFault::Slow};
    Store_.setFault(Kinds[below(3)]);
    StoreHarmedAt_ = SoakClock::now() + std::chrono::hours(1);
    after(0.5 + static_cast<double>(below(3'000)) / 1'000, [this] {
      Store_.setFault(StoreFault::None);
      StoreHarmedAt_ = SoakClock::now();
    });
  }

  void pathFault() {
    const ProxyFault Kinds[] = {ProxyFault::Delay, ProxyFault::Reset,
                                ProxyFault::LoseAnswers, ProxyFault::LoseAll};
    const std::size_t Index = below(Targets_.size());
    Targets_[Index].Proxy_->setFault(Kinds[below(4)]);
    after(0.2 + static_cast<double>(below(2'000)) / 1'000, [this, Index] {
      Targets_[Index].Proxy_->setFault(ProxyFault::None);
    });
  }

  void targetFault() {
    SoakTarget::Faults Faults;
    switch (below(5)) {
    case 0:
      Faults.Fail_ = 85;
      break;
    case 1:
      Faults.Cut_ = 40;
      break;
    case 2:
      Faults.Reset_ = 40;
      break;
    case 3:
      Faults.Extra_ = 50;
      break;
    case 4:
      Faults.Silent_ = 50;
      break;
    }
    const std::size_t Index = below(Targets_.size());
    Targets_[Index].Server_->setFaults(Faults);
    after(1 + static_cast<double>(below(2'000)) / 1'000, [this, Index] {
      Targets_[Index].Server_->setFaults(SoakTarget::Faults());
    });
  }

  /// A target drains or vanishes; then its address goes to another service.
  void replaceTarget() {
    const std::size_t Index = below(Targets_.size());
    Target &Of = Targets_[Index];
    if (!Of.IsPublished_)
      return;
    Of.IsPublished_ = false;
    Of.GoneAt_ = SoakClock::now();
    if (below(2) == 0)
      publish(Of, "draining");
    else
      Store_.remove("servers/" + Of.Server_->id());
    const std::string Id = Of.Server_->id();
    after(DrainS + Slack + 1.5, [this, Index, Id] { judgeDrain(Index, Id); });
  }

  void judgeDrain(std::size_t Index, const std::string &Id) {
    Target &Of = Targets_[Index];
    const bool IsStable =
        Seconds(Of.GoneAt_ - StoreHarmedAt_).count() > StableS;
    bool AreHostsCalm = true;
    for (const Host &Each : Hosts_)
      AreHostsCalm = AreHostsCalm && !Each.IsPaused_ &&
                     Seconds(Of.GoneAt_ - Each.HarmedAt_).count() > StableS;
    const double Last = Seconds(Of.Server_->lastRequest() - Of.GoneAt_).count();
    if (IsStable && AreHostsCalm && Last > DrainS + Slack)
      broken("drain", Id + " got a request after " + std::to_string(Last));
    Store_.remove("servers/" + Id);
    Of.Server_->become("i-" + std::to_string(Index) + "-" +
                           std::to_string(++Sequence_),
                       "s" + std::to_string(below(3)));
    publish(Of, "ready");
  }

  const std::string Binary_;
  const std::uint64_t Seed_;
  const double Length_;
  std::mt19937_64 Random_;
  const std::string Net_;
  std::filesystem::path Directory_;
  asio::io_context Context_;
  SoakStore Store_;
  HttpServer StoreServer_;
  HttpClient Client_;
  std::unique_ptr<SoakProxy> StoreProxy_;
  std::vector<Target> Targets_;
  std::vector<Host> Hosts_;
  std::map<std::string, SoakRuns> Runs_;
  std::set<std::string> RefusedIds_;
  std::set<std::string> Booked_;
  std::vector<std::string> Broken_;
  SoakClock::time_point Began_;
  SoakClock::time_point PublishedAt_;
  SoakClock::time_point StoreHarmedAt_{};
  std::uint64_t Version_ = 0;
  std::uint64_t Sequence_ = 0;
  int Calls_ = 0;
  int Served_ = 0;
  int ServedCalm_ = 0;
  int Refused_ = 0;
  int FaultCount_ = 0;
  bool IsCalm_ = false;
};

} // namespace

int main(int Argc, char **Argv) {
  if (Argc < 3) {
    std::fprintf(stderr, "usage: gateway-soak BINARY SEED [SECONDS [HOSTS]]\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const double Length = Argc > 3 ? std::atof(Argv[3]) : 25;
  const int Hosts = Argc > 4 ? std::atoi(Argv[4]) : 6;
  Soak Run(Argv[1], std::strtoull(Argv[2], nullptr, 10), Length, Hosts);
  return Run.run() ? 0 : 1;
}
