// Implementation of the gateway daemon. See gateway-daemon.h.

#include "kumquatpitch/gateway-daemon.h"

#include "kumquatpitch/caller-hosts.h"
#include "kumquatpitch/config-log.h"
#include "kumquatpitch/memory-shares.h"
#include "kumquatpitch/metrics-format.h"
#include "kumquatpitch/release.h"
#include "kumquatpitch/run-loop.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <random>
#include <unistd.h>

namespace kumquatpitch {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(100);
constexpr Duration SettingsCheckPeriod = std::chrono::seconds(1);
/// Limit for each of the readiness, directory and metrics ports.
constexpr std::size_t MaxAuxiliaryConnections = 200;
/// Longest wait of a watch for changes. It rarely runs out, because some change
/// is published almost all the time.
constexpr Duration WatchTimeout = std::chrono::milliseconds(200);
/// How long requests that were received when the daemon ends are still handled.
constexpr Duration FinalRunTime = std::chrono::milliseconds(100);

/// The incarnation is the start time in milliseconds since the Unix epoch.
Incarnation startTime() {
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

Member makeSelf(const GatewaySettings &Settings) {
  constexpr double Thousandths = 1'000;
  return Member{Settings.Id_,
                Settings.Address_,
                Settings.Domain_,
                Settings.Region_,
                startTime(),
                0,
                MemberState::Starting,
                static_cast<std::uint32_t>(
                    std::lround(Settings.ProcessorCores_ * Thousandths))};
}

GatewayOptions gatewayTerms(const GatewaySettings &Settings) {
  return GatewayOptions{Settings.Id_,
                        Settings.Domain_,
                        Settings.FloorShare_,
                        Settings.ResendRatio_,
                        Settings.ResendSlack_,
                        Settings.ResendWindow_,
                        AdmissionOptions{Settings.KeyRevocationTime_},
                        Settings.MayBalanceByWork_};
}

std::vector<std::string> addressesOf(const std::vector<Endpoint> &Endpoints) {
  std::vector<std::string> Addresses;
  Addresses.reserve(Endpoints.size());
  for (const Endpoint &Entry : Endpoints)
    Addresses.push_back(Entry.Address_);
  return Addresses;
}

HttpMessage plainTextAnswer(int Status, std::string Text) {
  HttpMessage Answer;
  Answer.Status_ = Status;
  Answer.Headers_.emplace_back("Content-Type", "text/plain");
  Answer.Body_ = std::move(Text);
  return Answer;
}

} // namespace

/// Serves address queries, which return the hosts that a caller should use, and
/// readiness checks of this host.
class GatewayDaemon::DirectoryHandler : public HttpHandler {
public:
  explicit DirectoryHandler(GatewayDaemon &Owner) : Owner_(Owner) {}

  void handle(std::shared_ptr<HttpExchange> Exchange) override {
    const HttpMessage &Request = Exchange->request();
    if (Owner_.Platform_.isReadinessCheck(Request)) {
      const bool IsReady = Owner_.isReady();
      return Exchange->answer(plainTextAnswer(
          IsReady ? 200 : 503, IsReady ? "ready\n" : "not ready\n"));
    }
    const std::optional<AddressQuery> Query =
        Owner_.Platform_.parseAddressQuery(Request);
    if (!Query)
      return Exchange->answer(reject(ResultCode::RouteUnknown));
    std::vector<Endpoint> Hosts;
    for (const Member &Host :
         callerHosts(Owner_.Membership_.members(), Query->VirtualHost_,
                     Query->Domain_, Query->Region_))
      Hosts.push_back(Endpoint{Host.Address_, Owner_.Settings_.Front_.Port_});
    if (Hosts.empty())
      return Exchange->answer(reject(ResultCode::NotReady));
    Exchange->answer(Owner_.Platform_.makeAddressResponse(
        Hosts, Owner_.Settings_.AddressAnswerTtl_));
  }

  HttpMessage reject(ResultCode Code) override {
    return plainTextAnswer(httpStatus(Code),
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
    Exchange->answer(plainTextAnswer(
        200, formatMetrics(Owner_.Metrics_.snapshot(Owner_.Timers_.now()),
                           HostStatus())));
  }

  HttpMessage reject(ResultCode Code) override {
    return plainTextAnswer(httpStatus(Code),
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
      Membership_(makeSelf(Settings_), Random_), Follower_(Settings_.Id_),
      Core_(gatewayTerms(Settings_), Random_),
      Front_(GatewayDependencies{
          Context_, Timers_, Core_, TargetClient_, Log_, Metrics_, Reports_,
          Settings_.UnframedServices_, Platform.headers(),
          MemoryShares(Settings_.MemoryBytes_).oneAnswer()}),
      DirectoryHandler_(std::make_unique<DirectoryHandler>(*this)),
      MetricsHandler_(std::make_unique<MetricsHandler>(*this)),
      FrontServer_(Context_, Front_),
      ReadyServer_(Context_, *DirectoryHandler_),
      DirectoryServer_(Context_, *DirectoryHandler_),
      MetricsServer_(Context_, *MetricsHandler_), Datagrams_(Context_),
      Peers_(Datagrams_, Settings_.PeerPort_, Membership_, Random_, Metrics_),
      Reports_(PeerReportsDependencies{Settings_.Id_, Core_,
                                       Follower_.directory(), Peers_, Timers_,
                                       Log_, Random_}),
      ConfigProof_(ConfigProofDependencies{Settings_.KeyRevocationTime_,
                                           Core_.admission(), Log_, Metrics_,
                                           Peers_, Membership_, Random_}),
      Signals_(Context_, SIGTERM, SIGINT, SIGHUP) {
  if (Settings_.LimitWindow_ > Duration::zero())
    Limits_ = std::make_unique<LimitExchange>(
        LimitExchangeDependencies{Context_, Timers_, Core_, Front_, Membership_,
                                  Peers_, Log_, Metrics_},
        Settings_);
  const MemoryShares Shares(Settings_.MemoryBytes_);
  TargetClient_.setMaxBufferedBytes(Shares.answers());
  FrontServer_.setMaxBufferedBytes(Shares.requestBodies());
  FrontServer_.setMaxResponseBytes(Shares.responses());
}

GatewayDaemon::~GatewayDaemon() = default;

Result<void> GatewayDaemon::listen() {
  asio::error_code Error;
  const asio::ip::udp::endpoint LocalEndpoint(
      asio::ip::make_address(Settings_.Address_, Error), Settings_.PeerPort_);
  Datagrams_.open(asio::ip::udp::v4(), Error);
  Datagrams_.bind(LocalEndpoint, Error);
  if (Error)
    return fail(ResultCode::SettingsInvalid,
                "cannot receive datagrams on " + Settings_.Address_ + ":" +
                    std::to_string(Settings_.PeerPort_) + ": " +
                    Error.message());
  BOOST_LEAF_CHECK(
      FrontServer_.listen(Settings_.Front_, Settings_.MaxConnections_));
  BOOST_LEAF_CHECK(
      ReadyServer_.listen(Settings_.Ready_, MaxAuxiliaryConnections));
  BOOST_LEAF_CHECK(
      DirectoryServer_.listen(Settings_.Directory_, MaxAuxiliaryConnections));
  if (Settings_.MetricsPort_ != 0)
    BOOST_LEAF_CHECK(MetricsServer_.listen(
        Endpoint{Settings_.Address_, Settings_.MetricsPort_},
        MaxAuxiliaryConnections));
  return {};
}

Result<void> GatewayDaemon::run() {
  std::signal(SIGPIPE, SIG_IGN);
  BOOST_LEAF_CHECK(listen());
  Log_.write(LogLevel::Info, "daemon", "started",
             {{"release", releaseId()},
              {"host", Settings_.Id_.str()},
              {"domain", Settings_.Domain_.str()},
              {"incarnation", std::to_string(Membership_.self().Incarnation_)},
              {"seeds", std::to_string(Seeds_.size())}});
  Membership_.setSeeds(addressesOf(Seeds_));
  receiveDatagram();
  awaitSignal();
  Timers_.subscribe(TickPeriod, [this](TimePoint) { tick(); });
  Timers_.subscribe(SettingsCheckPeriod,
                    [this](TimePoint) { checkSettings(false); });
  tick();
  const HandlerFailed OnFailure = [this](const char *Text) {
    handlerFailed(Text);
  };
  runUntilStopped(Context_, OnFailure);
  runReadyHandlers(Context_, FinalRunTime, OnFailure);
  Log_.write(
      LogLevel::Info, "daemon", "stopped",
      {{"requests_cut", std::to_string(FrontServer_.requestsInProgress())}});
  Log_.flush();
  return {};
}

void GatewayDaemon::handlerFailed(const char *Text) {
  Metrics_.count("handlers_failed");
  Log_.write(LogLevel::Error, "daemon", "handler_failed", {{"detail", Text}});
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
        // The next datagram is awaited first: handling this one may throw.
        const std::string Bytes(DatagramBuffer_.data(), Error ? 0 : Size);
        const std::string SenderAddress = Sender_.address().to_string();
        receiveDatagram();
        if (!Error)
          handleDatagram(Bytes, SenderAddress);
      });
}

void GatewayDaemon::handleDatagram(const std::string &Bytes,
                                   const std::string &SenderAddress) {
  const TimePoint Now = Timers_.now();
  const std::optional<PeerDatagram> Datagram = handleFailure(
      [&]() -> Result<std::optional<PeerDatagram>> {
        BOOST_LEAF_AUTO(Message, decodeDatagram(Bytes));
        return std::optional<PeerDatagram>(std::move(Message));
      },
      [&](const Failure &Cause) -> std::optional<PeerDatagram> {
        Metrics_.count("peer_datagrams_malformed");
        Log_.write(LogLevel::Warning, "peer", "malformed",
                   {{"code", resultCodeName(Cause.Code_)},
                    {"sender", SenderAddress},
                    {"detail", Cause.Message_}});
        return std::nullopt;
      });
  if (!Datagram)
    return;
  if (const ProbeMessage *Probe = std::get_if<ProbeMessage>(&*Datagram))
    send(Membership_.receive(*Probe, Now));
  else if (const StoreChangesMessage *Changes =
               std::get_if<StoreChangesMessage>(&*Datagram)) {
    apply(Follower_.receive(*Changes, Now));
    ConfigProof_.setReader(Changes->From_);
  } else if (!ConfigProof_.receive(*Datagram, SenderAddress, Now) &&
             !(Limits_ && Limits_->receive(*Datagram)))
    Reports_.receive(*Datagram, SenderAddress);
}

void GatewayDaemon::send(const std::vector<OutgoingProbe> &Probes) {
  for (const OutgoingProbe &Probe : Probes)
    Peers_.send(Probe.Address_, Probe.Message_);
}

void GatewayDaemon::tick() {
  const TimePoint Now = Timers_.now();
  send(Membership_.tick(Now));
  if (Membership_.changes() != AppliedMembershipChanges_) {
    AppliedMembershipChanges_ = Membership_.changes();
    const std::vector<Member> Members = Membership_.members();
    const std::ptrdiff_t Alive =
        std::count_if(Members.begin(), Members.end(),
                      [](const Member &Host) { return Host.isAlive(); });
    updateCallerHosts();
    Log_.write(LogLevel::Info, "membership", "changed",
               {{"alive", std::to_string(Alive)},
                {"known", std::to_string(Members.size())}});
  }
  Reports_.tick(Now);
  if (Follower_.expire(Now))
    Core_.setTargets(Follower_.directory().entries(), Now);
  ConfigProof_.tick(Now);
  if (const std::optional<ReadRequest> Next =
          Follower_.due(readerRank(Membership_.self(), Membership_.members()),
                        Now, ConfigProof_.needsRead(Now)))
    startRead(*Next, Now);
  updateState();
  if (Stop_)
    continueStop(Now);
}

void GatewayDaemon::startRead(const ReadRequest &Order, TimePoint Now) {
  if (Order.IsForProof_)
    ConfigProof_.readStarted(Now);
  kumquatpitch::startRead(
      *Store_, Order, WatchTimeout,
      [this, Order](const PublishedRead &Read) { onReadEnded(Order, Read); });
}

void GatewayDaemon::onReadEnded(const ReadRequest &Order,
                                const PublishedRead &Read) {
  Metrics_.count(std::string("store_reads_") + readStatusName(Read.Status_));
  StoreReadLog_.write(Read, Order.Kind_ == ReadRequest::Kind::All);
  apply(Follower_.readEnded(Read, Timers_.now()));
}

void GatewayDaemon::apply(const FollowResult &Result) {
  const TimePoint Now = Timers_.now();
  if (Result.EraChange_)
    Log_.write(
        LogLevel::Warning, "store", "went_back",
        {{"era", std::to_string(Follower_.era())},
         {"previous_era", std::to_string(Result.EraChange_->PreviousEra_)},
         {"previous_revision",
          std::to_string(Result.EraChange_->PreviousRevision_)}});
  if (Result.NewTable_) {
    Core_.setTable(Result.NewTable_);
    updateCallerHosts();
    FrontServer_.setLimits(Result.NewTable_->config().Limits_);
    logConfigInForce(*Result.NewTable_, Follower_.configRevision(), Log_);
  }
  if (Result.TargetsChanged_) {
    Core_.setTargets(Follower_.directory().entries(), Now);
    Log_.write(
        LogLevel::Info, "targets", "changed",
        {{"revision", std::to_string(Follower_.revision())},
         {"targets", std::to_string(Follower_.directory().entries().size())},
         {"held_back", std::to_string(Follower_.directory().heldBack())}});
  }
  ConfigProof_.follow(Result, Follower_.table().get(), Now);
  if (Result.ToForward_)
    for (const StoreChangesMessage &Part :
         splitStoreChanges(*Result.ToForward_))
      Peers_.sendToOwnDomain(Part);
  updateState();
}

void GatewayDaemon::updateCallerHosts() {
  if (!Core_.hasTable())
    return;
  const std::vector<Member> Members = Membership_.members();
  std::set<FailureDomain> Domains;
  std::size_t Alive = 0;
  for (const Member &Host : Members) {
    Domains.insert(Host.Domain_);
    Alive += Host.isAlive() ? 1 : 0;
  }
  std::map<ServiceName, std::map<HostId, Member>> HostsByService;
  std::map<std::string, std::map<HostId, Member>> HostsByVirtualHost;
  for (const VirtualRoute &Route : Core_.table()->config().Routes_) {
    std::map<HostId, Member> &RouteHosts = HostsByVirtualHost[Route.Host_];
    if (RouteHosts.empty())
      for (const FailureDomain &Domain : Domains)
        for (const Member &Host :
             callerHosts(Members, Route.Host_, Domain, Settings_.Region_))
          RouteHosts.emplace(Host.Id_, Host);
    for (const ServiceShare &Share : Route.Shares_)
      HostsByService[Share.Service_].insert(RouteHosts.begin(),
                                            RouteHosts.end());
  }
  std::map<ServiceName, std::vector<AssignedHost>> CallerHosts;
  std::map<ServiceName, std::vector<std::string>> Addresses;
  for (const std::pair<const ServiceName, std::map<HostId, Member>> &Service :
       HostsByService)
    for (const std::pair<const HostId, Member> &Host : Service.second) {
      CallerHosts[Service.first].push_back({Host.first, Host.second.Domain_});
      if (Host.first != Settings_.Id_)
        Addresses[Service.first].push_back(Host.second.Address_);
    }
  Reports_.setCallerHosts(std::move(Addresses));
  Core_.setCallerHosts(CallerHosts, Alive, Timers_.now());
}

/// After its start, a host that may still lack target entries does not serve
/// while at least half of the known hosts do.
bool GatewayDaemon::canServe() const {
  if (!Follower_.hasState())
    return false;
  if (Membership_.self().State_ == MemberState::Serving ||
      Follower_.isSettled(Timers_.now()))
    return true;
  const std::vector<Member> Members = Membership_.members();
  const std::ptrdiff_t Serving =
      std::count_if(Members.begin(), Members.end(), [](const Member &Host) {
        return Host.State_ == MemberState::Serving;
      });
  return Serving * 2 < static_cast<std::ptrdiff_t>(Members.size());
}

bool GatewayDaemon::isReady() const { return canServe() && !Stop_; }

void GatewayDaemon::updateState() {
  const MemberState State = Stop_        ? MemberState::Leaving
                            : canServe() ? MemberState::Serving
                                         : MemberState::Starting;
  send(Membership_.setState(State));
}

void GatewayDaemon::checkSettings(bool IsSignalled) {
  const std::optional<GatewaySettings> NewSettings = handleFailure(
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
  if (!NewSettings || (NewSettings->Seeds_ == Seeds_ && !IsSignalled))
    return;
  const bool NeedsRestart = [&] {
    GatewaySettings WithOldSeeds = *NewSettings;
    WithOldSeeds.Seeds_ = Settings_.Seeds_;
    return WithOldSeeds != Settings_;
  }();
  Seeds_ = NewSettings->Seeds_;
  Membership_.setSeeds(addressesOf(Seeds_));
  Log_.write(LogLevel::Info, "settings", "reloaded",
             {{"seeds", std::to_string(Seeds_.size())},
              {"needs_restart", NeedsRestart ? "1" : "0"}});
}

void GatewayDaemon::beginStop() {
  if (Stop_)
    return;
  Stop_.emplace(Timers_.now(), Settings_.StopTimeout_);
  Log_.write(
      LogLevel::Info, "daemon", "stopping",
      {{"in_progress", std::to_string(FrontServer_.requestsInProgress())},
       {"connections", std::to_string(FrontServer_.connections())}});
  updateState();
  FrontServer_.drain();
  Core_.beginStop(Stop_->latestDeadline());
  Front_.resumeWaitingRequests();
}

void GatewayDaemon::continueStop(TimePoint Now) {
  if (!Stop_->servesNewRequests(Now))
    Front_.rejectNewRequests();
  if (Stop_->mayEnd(Now, FrontServer_.requestsInProgress() == 0))
    Context_.stop();
}

} // namespace kumquatpitch
