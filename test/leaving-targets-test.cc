// Tests what happens when a target says in its answers that it leaves while the
// store lists it as ready: on the host that got the answer, over real sockets,
// and on the others.

#include "kumquatpitch/leaving-targets.h"
#include "kumquatpitch/peer-reports.h"

#include "gateway-front-fixture.h"
#include "manual-time.h"

#include <asio/ip/udp.hpp>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP(LeavingTargets) {
  LeavingTargets Targets_;
  const LeavingTarget Target_{TargetId("a"), 1};

  bool isAnnounced(std::int64_t AtMs) {
    return !Targets_.takeAnnouncements(atMs(AtMs)).empty();
  }
};

TEST(LeavingTargets, AnnouncementsAreRepeatedInCaseOneIsLost) {
  Targets_.recordAnswer(Target_, atMs(0));
  CHECK_FALSE(isAnnounced(900));
  Targets_.recordAnswer(Target_, atMs(950));
  CHECK(Targets_.takeAnnouncements(atMs(1'000)) ==
        std::vector<LeavingTarget>{Target_});
  CHECK_FALSE(isAnnounced(2'900));
  CHECK(isAnnounced(3'000));
}

// Guards against an announcement by each host that gets an answer.
TEST(LeavingTargets, AnnouncementOfAPeerPostponesTheOwn) {
  Targets_.recordAnswer(Target_, atMs(0));
  Targets_.recordPeer(Target_, atMs(500));
  CHECK_FALSE(isAnnounced(2'400));
  CHECK(isAnnounced(2'500));
}

namespace {

const std::uint16_t PeerPort = static_cast<std::uint16_t>(freePort());

Member member(const std::string &Id, const std::string &Address) {
  Member Host;
  Host.Id_ = HostId(Id);
  Host.Address_ = Address;
  Host.Domain_ = FailureDomain("zone-of-" + Id);
  Host.State_ = MemberState::Serving;
  return Host;
}

/// What a host knows of the targets, and its messages with other hosts.
struct PeerHost {
  PeerHost(asio::io_context &Context, TimerService &Timers, GatewayCore &Core,
           EventLog &Log, Metrics &Counters, const Member &Self,
           const Member &Other)
      : Socket_(Context, {asio::ip::make_address(Self.Address_), PeerPort}),
        Membership_(Self, Random_),
        Peers_(Socket_, PeerPort, Membership_, Random_, Counters),
        Reports_(PeerReportsDependencies{Self.Id_, Core, Directory_, Peers_,
                                         Timers, Log, Random_}) {
    ProbeMessage Probe;
    Probe.From_ = Other;
    Membership_.receive(Probe, Timers.now());
    receive();
  }

  void receive() {
    Socket_.async_receive(
        asio::buffer(Buffer_),
        [this](const asio::error_code &E, std::size_t Size) {
          if (E)
            return;
          handleFailure(
              [&]() -> Result<void> {
                BOOST_LEAF_AUTO(
                    Message, decodeDatagram(std::string(Buffer_.data(), Size)));
                Reports_.receive(Message, "peer");
                return {};
              },
              [](const Failure &) {});
          receive();
        });
  }

  bool holdsAsLeaving() const {
    return Directory_.entries().at(TargetId("t0")).Leaving_;
  }

  SeededRandom Random_{1};
  asio::ip::udp::socket Socket_;
  std::array<char, 2'048> Buffer_;
  HostMembership Membership_;
  PeerChannel Peers_;
  TargetDirectory Directory_;
  PeerReports Reports_;
};

} // namespace

TEST_GROUP_BASE(LeavingFront, GatewayFrontFixture) {
  const Member Own_ = member("a", "127.0.0.1");
  const Member Other_ = member("b", "127.0.0.2");
  PeerHost Host_{Context_, Timers_, Core_, Log_, Metrics_, Own_, Other_};
  GatewayCore OtherCore_{GatewayOptions{HostId("b"), FailureDomain("b"), 0.7,
                                        0.2, 64, std::chrono::seconds(10)},
                         Random_};
  PeerHost OtherHost_{Context_, Timers_, OtherCore_, Log_,
                      Metrics_, Other_,  Own_};

  /// The target answers with these header lines beside its own.
  void useTarget(const std::string &Status, const std::string &Headers) {
    EvidenceSink_.Next_ = &Host_.Reports_;
    TargetEntry Entry;
    Entry.Id_ = TargetId("t0");
    Entry.Service_ = ServiceName("desk");
    Entry.Address_ = Endpoint{"127.0.0.1", TargetPort};
    Entry.Slots_ = 3;
    Entry.StartedUnixMs_ = 7;
    Core_.setTargets({{Entry.Id_, Entry}}, Timers_.now());
    Host_.Directory_.put(Entry, Timers_.now());
    OtherHost_.Directory_.put(Entry, Timers_.now());
    startRecordingTarget(Headers, Status);
  }
};

// Guards against sending orders to a target that ends soon and cannot tell the
// store: those at work when it ends are lost.
TEST(LeavingFront, TargetThatSaysThatItLeavesGetsNoFurtherRequest) {
  useTarget("200 OK", "Kumquatpitch-Target-Leaving: 1\r\n");
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("whole"));
  CHECK(Received_.find("Kumquatpitch-Target-Leaving: 1\r\n") !=
        std::string::npos);
  sendText(Caller_, request("/book/2", "id2", "POST"));
  CHECK(runUntilReceived("HTTP/1.1 503"));
  CHECK_EQUAL(1, Target_->handled());
  CHECK(logLine("target leaving").find("source=own") != std::string::npos);
}

// Guards against the same on hosts that have had no answer of the target.
TEST(LeavingFront, OtherHostsAreTold) {
  useTarget("200 OK", "Kumquatpitch-Target-Leaving: 1\r\n");
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("whole"));
  CHECK(Host_.holdsAsLeaving());
  const TimePoint Later = Timers_.now() + LeavingTargets::AnnounceDelay;
  Host_.Reports_.tick(Later - std::chrono::milliseconds(100));
  runUntil([] { return false; });
  CHECK_FALSE(OtherHost_.holdsAsLeaving());
  Host_.Reports_.tick(Later);
  CHECK(runUntil([&] { return OtherHost_.holdsAsLeaving(); }));
}

// Guards against taking the words of another instance at the target's address
// for its own, and a value that is none for a word.
TEST(LeavingFront, OnlyTheTargetItselfSaysThatItLeaves) {
  useTarget("421 Misdirected Request", "Kumquatpitch-Target-Leaving: 1\r\n");
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("HTTP/1.1 503"));
  CHECK_FALSE(Host_.holdsAsLeaving());
  CHECK(EvidenceSink_.Leaving_.empty());
}

TEST(LeavingFront, MalformedValueIsLogged) {
  useTarget("200 OK", "Kumquatpitch-Target-Leaving: soon\r\n");
  call(request("/book/1", "id1", "POST"));
  CHECK(runUntilReceived("whole"));
  CHECK_FALSE(Host_.holdsAsLeaving());
  CHECK(logLine("leaving_malformed").find("value=soon") != std::string::npos);
}
