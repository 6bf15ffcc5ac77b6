// Builds and runs the daemon. See host-daemon.h.

#include "kumquatpitch/host-daemon.h"

#include <random>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxDialedPeers = 256;
constexpr Duration PlatformTimeout = std::chrono::seconds(2);

std::uint64_t drawSeed() {
  std::random_device Device;
  constexpr unsigned HalfBits = 32;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device();
}

HostIdentity makeIdentity(const Settings &Given) {
  HostIdentity Self{Given.Id_,
                    Given.Region_,
                    Given.Domain_,
                    drawSeed() | 1,
                    Endpoint{Given.Address_, Given.PeerPort_},
                    Given.Seeds_,
                    {}};
  for (const std::pair<const CustomerName, std::uint16_t> &Each :
       Given.CustomerPorts_)
    Self.Customers_.push_back(Each.first);
  return Self;
}

FrontLimits makeLimits(const Settings &Given) {
  constexpr std::size_t BytesInMiB = 1 << 20;
  FrontLimits Limits;
  Limits.MaxConnections_ = Given.MaxConnections_;
  Limits.MaxWorkers_ = Given.Workers_;
  Limits.MaxBufferBytes_ = Given.MaxBufferMiB_ * BytesInMiB;
  return Limits;
}

} // namespace

HostDaemon::HostDaemon(Settings Given)
    : Settings_(std::move(Given)), Timers_(Context_), Log_(Settings_.LogLevel_),
      Random_(drawSeed()),
      Core_(makeIdentity(Settings_), HostServices{Random_, Log_, Link_},
            Timers_.now()),
      Backends_(Timers_), Platform_(std::make_unique<HttpPlatformReader>(
                              Settings_.Platform_, PlatformTimeout)),
      Driver_(Core_, Backends_, Timers_, *Platform_),
      Front_(Context_, Driver_, makeLimits(Settings_)), Operators_(*this),
      Signals_(Context_) {}

HostDaemon::~HostDaemon() = default;

Result<void> HostDaemon::run() {
  for (const std::pair<const CustomerName, std::uint16_t> &Each :
       Settings_.CustomerPorts_)
    BOOST_LEAF_CHECK(
        Front_.listen(Each.first, Endpoint{Settings_.Address_, Each.second}));
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
  Link_.close();
  Operators_.stop();
  Log_.log(LogLevel::Info, "stop", "done");
  return {};
}

Result<void> HostDaemon::openPeerTransport() {
  const auto OnMessage = [this](std::string Message, std::string Sender) {
    Driver_.drive([&](HostCore &Core, TimePoint Now) {
      return Core.receivePeer(Message, Sender, Now);
    });
  };
  BOOST_LEAF_AUTO(Transport, NngTransport::open(Endpoint{Settings_.Address_,
                                                         Settings_.PeerPort_},
                                                MaxDialedPeers, OnMessage));
  Driver_.drive([&](HostCore &, TimePoint) {
    Link_.open(std::move(Transport));
    return CoreActions();
  });
  return {};
}

bool HostDaemon::ready() {
  return Driver_.read(
      [](HostCore &Core, TimePoint Now) { return Core.isReady(Now); });
}

std::string HostDaemon::metricsText() {
  return Driver_.read(
      [](HostCore &Core, TimePoint Now) { return Core.metricsText(Now); });
}

HostStatus HostDaemon::status() {
  return Driver_.read(
      [](HostCore &Core, TimePoint Now) { return Core.status(Now); });
}

void HostDaemon::tick(TimePoint Now) {
  Driver_.drive([](HostCore &Core, TimePoint At) { return Core.tick(At); });
  const bool MayStop = Driver_.read(
      [](HostCore &Core, TimePoint At) { return Core.mayStop(At); });
  if (!MayStop && Now < StopAt_)
    return;
  if (!MayStop)
    Log_.log(LogLevel::Warning, "stop",
             "stop limit reached with requests in progress");
  Front_.stopAccepting();
  Context_.stop();
}

void HostDaemon::beginStop() {
  StopAt_ = Timers_.now() + Settings_.StopLimit_;
  Driver_.drive([](HostCore &Core, TimePoint Now) {
    Core.beginStop(Now);
    return CoreActions();
  });
}

} // namespace kumquatpitch
