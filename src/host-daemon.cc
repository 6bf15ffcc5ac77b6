// Builds and runs the daemon. See host-daemon.h.

#include "kumquatpitch/host-daemon.h"

#include <random>

namespace kumquatpitch {

namespace {

constexpr std::size_t MaxKeptConnections = 32;
constexpr std::size_t MaxDialedPeers = 256;
constexpr Duration PlatformTimeout = std::chrono::seconds(2);

std::uint64_t drawSeed() {
  std::random_device Device;
  constexpr unsigned HalfBits = 32;
  return (static_cast<std::uint64_t>(Device()) << HalfBits) | Device();
}

HostIdentity makeIdentity(const Settings &Given) {
  return HostIdentity{Given.Id_, Given.Region_, Given.Domain_, drawSeed() | 1,
                      Given.Seeds_};
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
      Backends_(Timers_, MaxKeptConnections),
      Driver_(Core_, Backends_, Timers_),
      Front_(Context_, Driver_, makeLimits(Settings_)),
      Platform_(Settings_.Platform_, PlatformTimeout), Operators_(*this),
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
  Timers_.subscribe(std::chrono::milliseconds(200),
                    [this](TimePoint) { pollPlatform(); });
  Context_.run();
  Front_.join();
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
  return Driver_.read([](HostCore &Core, TimePoint) { return Core.isReady(); });
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

void HostDaemon::pollPlatform() {
  Platform_.read("manifest",
                 [this](const PlatformReply &Reply) { onManifest(Reply); });
  Platform_.read("hosts",
                 [this](const PlatformReply &Reply) { onHosts(Reply); });
}

void HostDaemon::onManifest(const PlatformReply &Reply) {
  if (Reply.Status_ != PlatformStatus::Value)
    return;
  handleFailure(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(Read, parseManifest(Reply.Body_));
        const std::lock_guard<std::mutex> Lock(LoadMutex_);
        if (Read.Version_ <= Loading_.Version_)
          return {};
        Loading_ = Read;
        Parts_.clear();
        for (const ManifestPart &Part : Read.Parts_)
          Platform_.read("parts/" + Part.Name_ + "/" + Part.Hash_,
                         [this](const PlatformReply &Got) { onPart(Got); });
        return {};
      },
      [this](const Failure &Cause) {
        Log_.log(LogLevel::Error, "config", "manifest: " + Cause.Message_);
      });
}

void HostDaemon::onPart(const PlatformReply &Reply) {
  if (Reply.Status_ != PlatformStatus::Value)
    return;
  const std::lock_guard<std::mutex> Lock(LoadMutex_);
  for (const ManifestPart &Part : Loading_.Parts_)
    if (Part.Hash_ == contentHash(Reply.Body_))
      Parts_[Part.Name_] = Reply.Body_;
  if (Parts_.size() == Loading_.Parts_.size())
    applyWhenComplete();
}

void HostDaemon::applyWhenComplete() {
  handleFailure(
      [&]() -> Result<void> {
        std::vector<std::shared_ptr<const Contract>> Contracts;
        std::vector<std::shared_ptr<const ServiceEntry>> Entries;
        for (const std::pair<const std::string, std::string> &Part : Parts_) {
          if (Part.first.rfind("contract/", 0) == 0) {
            BOOST_LEAF_AUTO(Terms, parseContractPart(Part.first, Part.second));
            Contracts.push_back(Terms);
          } else {
            BOOST_LEAF_AUTO(Entry, parseServicePart(Part.first, Part.second));
            Entries.push_back(Entry);
          }
        }
        BOOST_LEAF_AUTO(Built,
                        buildCatalog(Loading_.Version_, Contracts, Entries));
        Driver_.drive([&](HostCore &Core, TimePoint Now) {
          Core.applyCatalog(Built, Now);
          return CoreActions();
        });
        return {};
      },
      [this](const Failure &Cause) {
        Log_.log(LogLevel::Error, "config", Cause.Message_);
      });
}

void HostDaemon::onHosts(const PlatformReply &Reply) {
  if (Reply.Status_ != PlatformStatus::Value)
    return;
  handleFailure(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(Read, parseHostList(Reply.Body_));
        Driver_.drive([&](HostCore &Core, TimePoint Now) {
          Core.applyHosts(Read, Now);
          return CoreActions();
        });
        return {};
      },
      [this](const Failure &Cause) {
        Log_.log(LogLevel::Error, "config", "hosts: " + Cause.Message_);
      });
}

} // namespace kumquatpitch
