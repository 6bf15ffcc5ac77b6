// Construction, main loop and graceful stop of the daemon. See host-daemon.h.

#include "kumquatpitch/host-daemon.h"

#include "kumquatpitch/stop-schedule.h"

#include <random>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxDialedPeers = 256;
constexpr Duration PlatformTimeout = std::chrono::seconds(2);

std::uint64_t randomSeed() {
  std::random_device Device;
  constexpr unsigned HalfBits = 32;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device();
}

HostIdentity makeIdentity(const Settings &Config) {
  HostIdentity Identity{Config.Id_,
                        Config.Region_,
                        Config.Domain_,
                        randomSeed() | 1,
                        Endpoint{Config.Address_, Config.PeerPort_},
                        Config.Seeds_,
                        {}};
  for (const std::pair<const CustomerName, std::uint16_t> &Entry :
       Config.CustomerPorts_)
    Identity.Customers_.push_back(Entry.first);
  return Identity;
}

FrontLimits makeFrontLimits(const Settings &Config) {
  constexpr std::size_t BytesInMiB = 1 << 20;
  FrontLimits Limits;
  Limits.MaxConnections_ = Config.MaxConnections_;
  Limits.MaxWorkers_ = Config.Workers_;
  Limits.MaxBufferBytes_ = Config.MaxBufferMiB_ * BytesInMiB;
  return Limits;
}

} // namespace

HostDaemon::HostDaemon(Settings Config)
    : Settings_(std::move(Config)), Timers_(Context_),
      Log_(Settings_.LogLevel_), Random_(randomSeed()),
      Core_(makeIdentity(Settings_),
            HostDependencies{Random_, Log_, PeerTransport_}, Timers_.now()),
      Backends_(Timers_), Platform_(std::make_unique<HttpPlatformReader>(
                              Settings_.Platform_, PlatformTimeout)),
      Driver_(Core_, Backends_, Timers_, *Platform_),
      Front_(Context_, Driver_, makeFrontLimits(Settings_)), Operators_(*this),
      Signals_(Context_) {}

HostDaemon::~HostDaemon() = default;

Result<void> HostDaemon::run() {
  for (const std::pair<const CustomerName, std::uint16_t> &Entry :
       Settings_.CustomerPorts_)
    BOOST_LEAF_CHECK(
        Front_.listen(Entry.first, Endpoint{Settings_.Address_, Entry.second}));
  BOOST_LEAF_CHECK(openPeerTransport());
  BOOST_LEAF_CHECK(Operators_.start(
      Endpoint{Settings_.OperatorAddress_, Settings_.OperatorPort_}));
  Signals_.add(SIGTERM);
  Signals_.add(SIGINT);
  Signals_.async_wait([this](const std::error_code &Error, int) {
    if (!Error)
      beginStop();
  });
  Timers_.subscribe(TickPeriod, [this](TimePoint Now) { tick(Now); });
  Context_.run();
  Front_.join();
  Platform_.reset();
  PeerTransport_.close();
  Operators_.stop();
  Log_.log(LogLevel::Info, "stop", "done");
  return {};
}

Result<void> HostDaemon::openPeerTransport() {
  const auto OnMessage = [this](std::string Message, std::string Sender) {
    Driver_.runOnCore([&](HostCore &Core, TimePoint Now) {
      return Core.receivePeer(Message, Sender, Now);
    });
  };
  BOOST_LEAF_AUTO(Transport, NngTransport::open(Endpoint{Settings_.Address_,
                                                         Settings_.PeerPort_},
                                                MaxDialedPeers, OnMessage));
  Driver_.runOnCore([&](HostCore &, TimePoint) {
    PeerTransport_.open(std::move(Transport));
    return CoreActions();
  });
  return {};
}

bool HostDaemon::ready() {
  return Driver_.queryCore(
      [](HostCore &Core, TimePoint Now) { return Core.isReady(Now); });
}

std::string HostDaemon::metricsText() {
  return Driver_.queryCore(
      [](HostCore &Core, TimePoint Now) { return Core.metricsText(Now); });
}

HostStatus HostDaemon::status() {
  return Driver_.queryCore(
      [](HostCore &Core, TimePoint Now) { return Core.status(Now); });
}

void HostDaemon::tick(TimePoint Now) {
  Driver_.runOnCore(
      [](HostCore &Core, TimePoint CoreNow) { return Core.tick(CoreNow); });
  const bool IsCoreDone = Driver_.queryCore(
      [](HostCore &Core, TimePoint CoreNow) { return Core.mayStop(CoreNow); });
  if (IsCoreDone)
    Front_.stopAccepting();
  // The core does not know of requests that wait for a worker, nor of answers
  // that are being written.
  const bool MayStop = IsCoreDone && Front_.busyConnections() == 0;
  if (!MayStop && Now < StopDeadline_)
    return;
  if (!MayStop)
    Log_.log(
        LogLevel::Warning, "stop",
        "stop time limit reached; stopping with requests still in progress");
  Front_.stopAccepting();
  Context_.stop();
}

void HostDaemon::beginStop() {
  const StopSchedule Stop(Timers_.now(), Settings_.StopLimit_);
  StopDeadline_ = Stop.endAt();
  Driver_.runOnCore([&Stop](HostCore &Core, TimePoint Now) {
    return Core.beginStop(Stop.latestDeadline(), Now);
  });
}

} // namespace kumquatpitch
