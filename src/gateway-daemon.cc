// Wiring of a gateway host. See gateway-daemon.h.

#include "kumquatpitch/gateway-daemon.h"

#include "kumquatpitch/caller-hosts.h"
#include "kumquatpitch/metrics-format.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <random>
#include <unistd.h>

namespace kumquatpitch {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(100);
constexpr Duration SettingsPeriod = std::chrono::seconds(1);
constexpr std::size_t MaxServiceConnections = 200;
/// Parts of the planned stop: new requests are taken for half of it, so that
/// callers have asked anew by then, and refused as not run for the rest.
constexpr double ServePart = 0.5;
/// The daemon ends this long before it would be killed.
constexpr Duration StopMargin = std::chrono::milliseconds(500);
/// How often hosts of a group tell each other how many requests fail, a part of
/// the two seconds over which the floor is judged.
constexpr Duration TallyPeriod = std::chrono::milliseconds(250);
/// Most hosts that are told of a service: a sample of a larger group says
/// enough, and the messages of a host do not grow with the fleet.
constexpr std::size_t MostTallyHosts = 8;
/// Repeated failures of a target are told once in this time.
constexpr Duration EvidencePause = std::chrono::milliseconds(300);
/// Wait of a watch for changes; some change is published almost always.
constexpr Duration ChangeWait = std::chrono::milliseconds(200);

Incarnation startTime() {
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

Member selfOf(const GatewaySettings &From) {
  constexpr double Thousandths = 1'000;
  return Member{
      From.Id_,
      From.Address_,
      From.Domain_,
      From.Region_,
      startTime(),
      0,
      MemberState::Starting,
      static_cast<std::uint32_t>(std::lround(From.Processor_ * Thousandths))};
}

GatewayTerms termsOf(const GatewaySettings &From) {
  return GatewayTerms{From.Id_,          From.Domain_,      From.FloorShare_,
                      From.ResendRatio_, From.ResendSlack_, From.ResendWindow_};
}

std::vector<std::string> addressesOf(const std::vector<Endpoint> &From) {
  std::vector<std::string> Addresses;
  Addresses.reserve(From.size());
  for (const Endpoint &Each : From)
    Addresses.push_back(Each.Address_);
  return Addresses;
}

HttpMessage plainAnswer(int Status, std::string Text) {
  HttpMessage Answer;
  Answer.Status_ = Status;
  Answer.Headers_.emplace_back("Content-Type", "text/plain");
  Answer.Body_ = std::move(Text);
  return Answer;
}

} // namespace

/// Answers which hosts to use, and whether this host is ready.
class GatewayDaemon::DirectoryHandler : public HttpHandler {
public:
  explicit DirectoryHandler(GatewayDaemon &Owner) : Owner_(Owner) {}

  void handle(std::shared_ptr<HttpExchange> Exchange) override {
    const HttpMessage &Request = Exchange->request();
    if (Owner_.Platform_.isReadinessCall(Request)) {
      const bool IsReady = Owner_.isReady();
      return Exchange->answer(plainAnswer(IsReady ? 200 : 503,
                                          IsReady ? "ready\n" : "not ready\n"));
    }
    const std::optional<AddressQuestion> Question =
        Owner_.Platform_.addressQuestion(Request);
    if (!Question)
      return Exchange->answer(reject(ResultCode::RouteUnknown));
    std::vector<Endpoint> Hosts;
    for (const Member &Each :
         callerHosts(Owner_.Membership_.members(), Question->VirtualHost_,
                     Question->Domain_, Question->Region_))
      Hosts.push_back(Endpoint{Each.Address_, Owner_.Settings_.Front_.Port_});
    if (Hosts.empty())
      return Exchange->answer(reject(ResultCode::NotReady));
    Exchange->answer(
        Owner_.Platform_.addressAnswer(Hosts, Owner_.Settings_.AddressKeep_));
  }

  HttpMessage reject(ResultCode Code) override {
    return plainAnswer(httpStatus(Code),
                       std::string(resultCodeName(Code)) + "\n");
  }

private:
  GatewayDaemon &Owner_;
};

/// Serves the metrics page.
class GatewayDaemon::MetricsHandler : public HttpHandler {
public:
  explicit MetricsHandler(GatewayDaemon &Owner) : Owner_(Owner) {}

  void handle(std::shared_ptr<HttpExchange> Exchange) override {
    Exchange->answer(plainAnswer(
        200, formatMetrics(Owner_.Metrics_.snapshot(Owner_.Timers_.now()),
                           HostStatus())));
  }

  HttpMessage reject(ResultCode Code) override {
    return plainAnswer(httpStatus(Code),
                       std::string(resultCodeName(Code)) + "\n");
  }

private:
  GatewayDaemon &Owner_;
};

GatewayDaemon::GatewayDaemon(GatewaySettings Settings, std::string SettingsFile,
                             const GatewayPlatform &Platform)
    : Settings_(std::move(Settings)), SettingsFile_(std::move(SettingsFile)),
      Seeds_(Settings_.Seeds_), Platform_(Platform), Timers_(Context_),
      Log_(Timers_, STDOUT_FILENO, Settings_.LogLevel_),
      Random_(std::random_device{}()), TargetClient_(Context_),
      StoreClient_(Context_),
      Store_(Platform.openStore(StoreClient_, Settings_.Store_)),
      Membership_(selfOf(Settings_), Random_), Follower_(Settings_.Id_),
      Core_(termsOf(Settings_), Random_),
      Front_(GatewayParts{Context_, Timers_, Core_, TargetClient_, Log_,
                          Metrics_, *this, Platform.headers()}),
      Directory_(std::make_unique<DirectoryHandler>(*this)),
      MetricsPage_(std::make_unique<MetricsHandler>(*this)),
      FrontServer_(Context_, Front_), ReadyServer_(Context_, *Directory_),
      DirectoryServer_(Context_, *Directory_),
      MetricsServer_(Context_, *MetricsPage_), Datagrams_(Context_),
      Signals_(Context_, SIGTERM, SIGINT, SIGHUP) {}

GatewayDaemon::~GatewayDaemon() = default;

Result<void> GatewayDaemon::listen() {
  asio::error_code Error;
  const asio::ip::udp::endpoint Own(
      asio::ip::make_address(Settings_.Address_, Error), Settings_.PeerPort_);
  Datagrams_.open(asio::ip::udp::v4(), Error);
  Datagrams_.bind(Own, Error);
  if (Error)
    return fail(ResultCode::SettingsInvalid,
                "cannot receive datagrams on " + Settings_.Address_ + ":" +
                    std::to_string(Settings_.PeerPort_) + ": " +
                    Error.message());
  BOOST_LEAF_CHECK(
      FrontServer_.listen(Settings_.Front_, Settings_.MaxConnections_));
  BOOST_LEAF_CHECK(
      ReadyServer_.listen(Settings_.Ready_, MaxServiceConnections));
  BOOST_LEAF_CHECK(
      DirectoryServer_.listen(Settings_.Directory_, MaxServiceConnections));
  if (Settings_.MetricsPort_ != 0)
    BOOST_LEAF_CHECK(MetricsServer_.listen(
        Endpoint{Settings_.Address_, Settings_.MetricsPort_},
        MaxServiceConnections));
  return {};
}

Result<void> GatewayDaemon::run() {
  std::signal(SIGPIPE, SIG_IGN);
  BOOST_LEAF_CHECK(listen());
  Log_.write(LogLevel::Info, "daemon", "started",
             {{"host", Settings_.Id_.str()},
              {"domain", Settings_.Domain_.str()},
              {"incarnation", std::to_string(Membership_.self().Incarnation_)},
              {"seeds", std::to_string(Seeds_.size())}});
  Membership_.setSeeds(addressesOf(Seeds_));
  receiveDatagram();
  awaitSignal();
  Timers_.subscribe(TickPeriod, [this](TimePoint) { tick(); });
  Timers_.subscribe(TallyPeriod, [this](TimePoint Now) { tellTallies(Now); });
  Timers_.subscribe(SettingsPeriod,
                    [this](TimePoint) { checkSettings(false); });
  tick();
  Context_.run();
  Log_.write(
      LogLevel::Info, "daemon", "stopped",
      {{"requests_cut", std::to_string(FrontServer_.requestsInProgress())}});
  Log_.flush();
  return {};
}

void GatewayDaemon::awaitSignal() {
  Signals_.async_wait([this](const asio::error_code &Error, int Signal) {
    if (Error)
      return;
    if (Signal == SIGHUP)
      checkSettings(true);
    else
      beginStop();
    awaitSignal();
  });
}

void GatewayDaemon::receiveDatagram() {
  Datagrams_.async_receive_from(
      asio::buffer(DatagramBuffer_), Sender_,
      [this](const asio::error_code &Error, std::size_t Size) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          handleDatagram(std::string(DatagramBuffer_.data(), Size));
        receiveDatagram();
      });
}

void GatewayDaemon::handleDatagram(const std::string &Bytes) {
  const TimePoint Now = Timers_.now();
  const std::optional<PeerDatagram> Read = handleFailure(
      [&]() -> Result<std::optional<PeerDatagram>> {
        BOOST_LEAF_AUTO(Message, decodeDatagram(Bytes));
        return std::optional<PeerDatagram>(std::move(Message));
      },
      [&](const Failure &Cause) -> std::optional<PeerDatagram> {
        Metrics_.count("peer_datagrams_malformed");
        Log_.write(LogLevel::Warning, "peer", "malformed",
                   {{"code", resultCodeName(Cause.Code_)},
                    {"sender", Sender_.address().to_string()},
                    {"detail", Cause.Message_}});
        return std::nullopt;
      });
  if (!Read)
    return;
  if (const ProbeMessage *Probe = std::get_if<ProbeMessage>(&*Read))
    send(Membership_.receive(*Probe, Now));
  else if (const ProgressMessage *Progress =
               std::get_if<ProgressMessage>(&*Read))
    apply(Follower_.receive(*Progress, Now));
  else if (const EvidenceMessage *Seen = std::get_if<EvidenceMessage>(&*Read)) {
    const std::map<TargetId, TargetEntry> &Known =
        Follower_.directory().entries();
    const std::map<TargetId, TargetEntry>::const_iterator It =
        Known.find(Seen->Target_);
    if (It != Known.end() && It->second.StartedUnixMs_ == Seen->StartedUnixMs_)
      Core_.peerEvidence(Seen->Service_, Seen->Target_, Seen->News_, Now);
    if (Seen->PassOn_)
      tellOwnDomain(*Seen);
  } else if (const TallyMessage *Of = std::get_if<TallyMessage>(&*Read)) {
    for (const std::pair<const ServiceName, ServiceTally> &Each : Of->Services_)
      Core_.peerTally(Of->From_, Each.first, Each.second, Now);
  }
}

void GatewayDaemon::send(const std::string &Address,
                         const PeerDatagram &Message) {
  sendBytes(Address, encodeDatagram(Message));
}

void GatewayDaemon::sendBytes(const std::string &Address,
                              const std::string &Bytes) {
  asio::error_code Error;
  const asio::ip::udp::endpoint To(asio::ip::make_address(Address, Error),
                                   Settings_.PeerPort_);
  if (!Error)
    Datagrams_.send_to(asio::buffer(Bytes), To, 0, Error);
  if (Error)
    Metrics_.count("peer_datagrams_not_sent");
}

void GatewayDaemon::send(const std::vector<OutgoingProbe> &Probes) {
  for (const OutgoingProbe &Each : Probes)
    send(Each.Address_, Each.Message_);
}

void GatewayDaemon::tick() {
  const TimePoint Now = Timers_.now();
  send(Membership_.tick(Now));
  if (Membership_.changes() != MembersSeen_) {
    MembersSeen_ = Membership_.changes();
    const std::vector<Member> Members = Membership_.members();
    const std::ptrdiff_t Alive =
        std::count_if(Members.begin(), Members.end(),
                      [](const Member &Each) { return Each.isAlive(); });
    updateGroups();
    Log_.write(LogLevel::Info, "membership", "changed",
               {{"alive", std::to_string(Alive)},
                {"known", std::to_string(Members.size())}});
  }
  std::erase_if(Told_, [&](const std::pair<const TargetId, TimePoint> &Each) {
    return Now - Each.second > EvidencePause;
  });
  if (Follower_.expire(Now))
    Core_.setTargets(Follower_.directory().entries(), Now);
  if (const std::optional<ReadOrder> Next = Follower_.due(
          readerRank(Membership_.self(), Membership_.members()), Now))
    order(*Next);
  updateState();
  if (StopBegan_)
    continueStop(Now);
}

void GatewayDaemon::order(const ReadOrder &What) {
  const PublishedStateReader::Callback Done =
      [this, What](const PublishedRead &Read) { readEnded(What, Read); };
  switch (What.What_) {
  case ReadOrder::Kind::All:
    return Store_->listAll(Done);
  case ReadOrder::Kind::Changes:
    return Store_->readChanges(What.After_, ChangeWait, Done);
  case ReadOrder::Kind::Config:
    return Store_->readConfig(What.MayBeOld_, Done);
  }
}

void GatewayDaemon::readEnded(const ReadOrder &What,
                              const PublishedRead &Read) {
  const bool IsOk = Read.Status_ == ReadStatus::Ok;
  Metrics_.count(std::string("store_reads_") + readStatusName(Read.Status_));
  if (IsOk != HadStore_ || What.What_ == ReadOrder::Kind::All)
    Log_.write(IsOk ? LogLevel::Info : LogLevel::Warning, "store",
               IsOk ? "regained" : "lost",
               {{"status", readStatusName(Read.Status_)},
                {"detail", Read.Detail_},
                {"revision", std::to_string(Read.Revision_)},
                {"entries", std::to_string(Read.Targets_.size())}});
  HadStore_ = IsOk;
  apply(Follower_.readEnded(Read, Timers_.now()));
}

void GatewayDaemon::apply(const FollowResult &Result) {
  const TimePoint Now = Timers_.now();
  if (Result.NewTable_) {
    Core_.setTable(Result.NewTable_);
    updateGroups();
    FrontServer_.setLimits(Result.NewTable_->config().Limits_);
    Log_.write(
        LogLevel::Info, "config", "in_force",
        {{"version", std::to_string(Result.NewTable_->config().Version_)},
         {"revision", std::to_string(Follower_.configRevision())},
         {"routes",
          std::to_string(Result.NewTable_->config().Routes_.size())}});
  }
  if (Result.TargetsChanged_) {
    Core_.setTargets(Follower_.directory().entries(), Now);
    Log_.write(
        LogLevel::Info, "targets", "changed",
        {{"revision", std::to_string(Follower_.revision())},
         {"targets", std::to_string(Follower_.directory().entries().size())}});
  }
  if (Result.PassOn_)
    passOn(*Result.PassOn_);
  updateState();
}

void GatewayDaemon::passOn(const ProgressMessage &Message) {
  for (const ProgressMessage &Part : splitProgress(Message))
    sendToOwnDomain(Part);
}

void GatewayDaemon::sendToOwnDomain(const PeerDatagram &Message) {
  const std::string Bytes = encodeDatagram(Message);
  for (const Member &Each : Membership_.members())
    if (Each.Domain_ == Settings_.Domain_ && Each.Id_ != Settings_.Id_ &&
        Each.isAlive())
      sendBytes(Each.Address_, Bytes);
}

void GatewayDaemon::evidence(const TargetEntry &Target, TargetNews News) {
  const TimePoint Now = Timers_.now();
  TimePoint &Told = Told_[Target.Id_];
  if (News == TargetNews::Failed && Now - Told < EvidencePause)
    return;
  if (News == TargetNews::Failed)
    Told = Now;
  const EvidenceMessage Message{Target.Service_, Target.Id_,
                                Target.StartedUnixMs_, News, true};
  // One host of each other failure domain passes it on: bytes between domains
  // cost.
  std::map<FailureDomain, std::vector<const Member *>> Others;
  const std::vector<Member> Members = Membership_.members();
  for (const Member &Each : Members)
    if (Each.Domain_ != Settings_.Domain_ &&
        Each.State_ == MemberState::Serving)
      Others[Each.Domain_].push_back(&Each);
  for (const std::pair<const FailureDomain, std::vector<const Member *>> &Each :
       Others)
    send(Each.second[Random_.below(Each.second.size())]->Address_, Message);
  tellOwnDomain(Message);
}

void GatewayDaemon::tellOwnDomain(const EvidenceMessage &Message) {
  EvidenceMessage Final = Message;
  Final.PassOn_ = false;
  sendToOwnDomain(Final);
}

void GatewayDaemon::updateGroups() {
  if (!Core_.hasTable())
    return;
  const std::vector<Member> Members = Membership_.members();
  std::set<FailureDomain> Domains;
  std::size_t Alive = 0;
  for (const Member &Each : Members) {
    Domains.insert(Each.Domain_);
    Alive += Each.isAlive() ? 1 : 0;
  }
  std::map<ServiceName, std::map<HostId, Member>> Hosts;
  std::map<std::string, std::map<HostId, Member>> HostsOf;
  for (const VirtualRoute &Each : Core_.table()->config().Routes_) {
    std::map<HostId, Member> &Of = HostsOf[Each.Host_];
    if (Of.empty())
      for (const FailureDomain &Domain : Domains)
        for (const Member &Host :
             callerHosts(Members, Each.Host_, Domain, Settings_.Region_))
          Of.emplace(Host.Id_, Host);
    for (const ServiceShare &Share : Each.Shares_)
      Hosts[Share.Service_].insert(Of.begin(), Of.end());
  }
  std::map<ServiceName, std::vector<GroupHost>> Groups;
  GroupAddresses_.clear();
  for (const std::pair<const ServiceName, std::map<HostId, Member>> &Each :
       Hosts)
    for (const std::pair<const HostId, Member> &Host : Each.second) {
      Groups[Each.first].push_back({Host.first, Host.second.Domain_});
      if (Host.first != Settings_.Id_)
        GroupAddresses_[Each.first].push_back(Host.second.Address_);
    }
  Core_.setGroups(Groups, Alive);
}

void GatewayDaemon::tellTallies(TimePoint Now) {
  std::map<std::string, TallyMessage> Messages;
  for (const std::pair<const ServiceName, ServiceTally> &Each :
       Core_.tallies(Now)) {
    std::vector<std::string> To = GroupAddresses_[Each.first];
    for (std::size_t Told = 0; Told < MostTallyHosts && !To.empty(); ++Told) {
      std::swap(To[Random_.below(To.size())], To.back());
      TallyMessage &Message = Messages[To.back()];
      Message.From_ = Settings_.Id_;
      if (Message.Services_.size() < MaxTallies)
        Message.Services_.insert(Each);
      To.pop_back();
    }
  }
  for (const std::pair<const std::string, TallyMessage> &Each : Messages)
    send(Each.first, Each.second);
}

/// A host that may lack entries leaves its first callers to the others while
/// most of these serve.
bool GatewayDaemon::canServe() const {
  if (!Follower_.hasState())
    return false;
  if (Membership_.self().State_ == MemberState::Serving ||
      Follower_.isSettled(Timers_.now()))
    return true;
  const std::vector<Member> Members = Membership_.members();
  const std::ptrdiff_t Serving =
      std::count_if(Members.begin(), Members.end(), [](const Member &Each) {
        return Each.State_ == MemberState::Serving;
      });
  return Serving * 2 < static_cast<std::ptrdiff_t>(Members.size());
}

bool GatewayDaemon::isReady() const { return canServe() && !StopBegan_; }

void GatewayDaemon::updateState() {
  const MemberState State = StopBegan_   ? MemberState::Leaving
                            : canServe() ? MemberState::Serving
                                         : MemberState::Starting;
  send(Membership_.setState(State));
}

void GatewayDaemon::checkSettings(bool IsSignalled) {
  const std::optional<GatewaySettings> Read = handleFailure(
      [&]() -> Result<std::optional<GatewaySettings>> {
        BOOST_LEAF_AUTO(Loaded, loadGatewaySettings(SettingsFile_));
        return std::optional<GatewaySettings>(std::move(Loaded));
      },
      [&](const Failure &Cause) -> std::optional<GatewaySettings> {
        Log_.write(LogLevel::Error, "settings", "not_taken",
                   {{"code", resultCodeName(Cause.Code_)},
                    {"detail", Cause.Message_}});
        return std::nullopt;
      });
  if (!Read || (Read->Seeds_ == Seeds_ && !IsSignalled))
    return;
  const bool NeedsRestart = [&] {
    GatewaySettings SameSeeds = *Read;
    SameSeeds.Seeds_ = Settings_.Seeds_;
    return SameSeeds != Settings_;
  }();
  Seeds_ = Read->Seeds_;
  Membership_.setSeeds(addressesOf(Seeds_));
  Log_.write(LogLevel::Info, "settings", "reloaded",
             {{"seeds", std::to_string(Seeds_.size())},
              {"needs_restart", NeedsRestart ? "1" : "0"}});
}

void GatewayDaemon::beginStop() {
  if (StopBegan_)
    return;
  StopBegan_ = Timers_.now();
  Log_.write(
      LogLevel::Info, "daemon", "stopping",
      {{"in_progress", std::to_string(FrontServer_.requestsInProgress())},
       {"connections", std::to_string(FrontServer_.connections())}});
  updateState();
  FrontServer_.drain();
}

void GatewayDaemon::continueStop(TimePoint Now) {
  const Duration Passed = Now - *StopBegan_;
  const Duration Serve(static_cast<Duration::rep>(
      static_cast<double>(Settings_.StopTime_.count()) * ServePart));
  if (Passed >= Serve)
    Front_.refuseNew();
  const bool IsIdle = FrontServer_.requestsInProgress() == 0;
  constexpr Duration RefusalTime = std::chrono::milliseconds(1'000);
  if ((IsIdle && Passed >= Serve + RefusalTime) ||
      Passed >= Settings_.StopTime_ - StopMargin)
    Context_.stop();
}

} // namespace kumquatpitch
