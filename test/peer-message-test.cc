// Codec of messages between hosts: valid messages round-trip, and all others
// are rejected with a result code.

#include "kumquatpitch/peer-message.h"

#include "kumquatpitch/random-source.h"

#include <nlohmann/json.hpp>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using nlohmann::json;

static const HostId Self("yaba-2");

static PeerMessage messageWith(PeerBody Body) {
  return PeerMessage{HostId("ikeja-1"), 0xfeedULL, Self, 42, std::move(Body)};
}

static Failure failureOf(const std::string &Bytes) {
  return handleFailure(
      [&]() -> Result<Failure> {
        Result<PeerMessage> Decoded = decodePeerMessage(Bytes, Self);
        if (!Decoded)
          return Decoded.error();
        return Failure{ResultCode::Ok, ""};
      },
      [](const Failure &Cause) { return Cause; });
}

static std::vector<PeerBody> sampleBodies() {
  const TableVersion Version{7, {UINT64_MAX, 5}};
  HostRecord Host;
  Host.Id_ = HostId("gasabo-1");
  Host.Region_ = Region("kigali");
  Host.Domain_ = FailureDomain("gasabo");
  Host.Address_ = "10.0.0.1";
  Host.PeerPort_ = 7000;
  Host.OperatorPort_ = 7001;
  Host.CustomerPorts_ = {{CustomerName("imigongo"), 8080}};
  Host.State_ = HostState::Leaving;
  const std::string Hash(32, 'a');
  return {
      HeartbeatMessage{3, true, {HostId("a"), HostId("b")}, {Version, {}}},
      DigestMessage{{Version, Version},
                    true,
                    {{HostId("r"), FailureDomain("yaba"), 9}},
                    {{HostId("n"), FailureDomain("yaba"), {"10.0.0.2", 7000}}}},
      PullMessage{PullKind::Hosts, Version, "", ""},
      PullMessage{PullKind::Document, {}, "service/ledger", Hash},
      PartMessage{ManifestDelta{{},
                                Version,
                                {{"contract/imigongo", 3, Hash, 1234}},
                                {"service/old"}}},
      PartMessage{HostsDelta{Version, Version, {Host}, {}}},
      PartMessage{DocumentBody{"contract/imigongo", Hash, false, "{\"a\":1}"}},
      ReportMessage{ServiceName("ledger"), TargetId("t1"), 900, true,
                    std::chrono::milliseconds(250), true},
      QuotaLoanRequestMessage{ServiceName("ledger"),
                              QuotaLoanRequest{1, 2, 3, 4, 5, 6}},
      QuotaGrantMessage{ServiceName("ledger"), QuotaGrant{1, 2, 3, 4, 5}}};
}

TEST_GROUP(PeerMessage){};

TEST(PeerMessage, EachKindRoundTrips) {
  for (const PeerBody &Body : sampleBodies()) {
    const PeerMessage Sent = messageWith(Body);
    CHECK(decodePeerMessage(encodePeerMessage(Sent), Self).value() == Sent);
  }
}

// Guards against a truncated message that is accepted, and against a crash on
// corrupted bytes.
TEST(PeerMessage, TruncatedBytesAreRejectedAndCorruptedBytesDoNotCrash) {
  SeededRandom Random(1);
  for (const PeerBody &Body : sampleBodies()) {
    const std::string Bytes = encodePeerMessage(messageWith(Body));
    for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
      CHECK(failureOf(Bytes.substr(0, Length)).Code_ ==
            ResultCode::PeerMessageMalformed);
    CHECK(failureOf(Bytes + '\0').Code_ == ResultCode::PeerMessageMalformed);
    for (int Round = 0; Round < 500; ++Round) {
      std::string Corrupted = Bytes;
      Corrupted[Random.below(Corrupted.size())] =
          static_cast<char>(Random.next());
      failureOf(Corrupted);
    }
  }
}

// Guards against unbounded recursion in the CBOR parser.
TEST(PeerMessage, DeepNestingIsRejected) {
  CHECK(failureOf(std::string(1'000'000, '\x81')).Code_ ==
        ResultCode::PeerMessageMalformed);
}

TEST(PeerMessage, MessageToAnotherReceiverIsRejected) {
  PeerMessage Sent = messageWith(HeartbeatMessage{});
  Sent.To_ = HostId("yaba-3");
  CHECK(failureOf(encodePeerMessage(Sent)).Code_ ==
        ResultCode::PeerMessageMalformed);
  Sent.To_ = HostId();
  CHECK(failureOf(encodePeerMessage(Sent)).Code_ == ResultCode::Ok);
}

static std::string encodedWith(const char *Field, const json &Value) {
  json Map =
      json::from_cbor(encodePeerMessage(messageWith(QuotaLoanRequestMessage{
          ServiceName("ledger"), QuotaLoanRequest{1, 2, 3, 4, 5, 6}})));
  Map[Field] = Value;
  std::string Bytes;
  json::to_cbor(Map, Bytes);
  return Bytes;
}

TEST(PeerMessage, UnknownVersionIsRejectedWithItsOwnCode) {
  CHECK(failureOf(encodedWith("v", PeerProtocolVersion + 1)).Code_ ==
        ResultCode::PeerVersionUnknown);
}

// Guards against fields that a stricter or newer host would interpret
// differently.
TEST(PeerMessage, UnknownFieldsAndWrongTypesAreRejected) {
  const json LoanRequest = json::array({"ledger", 1, 2, 3, 4, 5, 6});
  CHECK(failureOf(encodedWith("b", LoanRequest)).Code_ == ResultCode::Ok);
  for (const json &Body :
       {json::array({"ledger", 1, 2, 3, 4, 5}),
        json::array({"ledger", 1, 2, 3, 4, 5, 6, 7}),
        json::array({"ledger", 1, 2, 3, -4, 5, 6}),
        json::array({"ledger", 1, 2, 3, 4, 5, 1'000'001}),
        json::array({"LEDGER", 1, 2, 3, 4, 5, 6}),
        json::array({"ledger", 1, 2, 3, 4, 5, 1.5}), json("ledger")})
    CHECK(failureOf(encodedWith("b", Body)).Code_ ==
          ResultCode::PeerMessageMalformed);
  CHECK(failureOf(encodedWith("x", 1)).Code_ ==
        ResultCode::PeerMessageMalformed);
  CHECK(failureOf(encodedWith("k", 7)).Code_ ==
        ResultCode::PeerMessageMalformed);
  CHECK(failureOf(encodedWith("h", json::array({"ikeja-1", 0, "", 1}))).Code_ ==
        ResultCode::PeerMessageMalformed);
}

// Guards against a peer that makes this host allocate unbounded memory.
TEST(PeerMessage, OversizedInputIsRejected) {
  HeartbeatMessage Heartbeat;
  for (int Count = 0; Count < 129; ++Count)
    Heartbeat.AlivePeers_.emplace_back("h" + std::to_string(Count));
  CHECK(failureOf(encodePeerMessage(messageWith(Heartbeat))).Code_ ==
        ResultCode::PeerMessageMalformed);
  CHECK(failureOf(encodedWith("b", std::string(MaxPeerMessageBytes, 'x')))
            .Code_ == ResultCode::PeerMessageTooLarge);
  CHECK(failureOf(std::string(MaxPartMessageBytes + 1, '\0')).Code_ ==
        ResultCode::PeerMessageTooLarge);
}

// Guards against heartbeats that exceed the budget for control traffic: at one
// per second to each of 10 peers they take at most 3 KB/s.
TEST(PeerMessage, HeartbeatIsCompact) {
  HeartbeatMessage Heartbeat;
  const TableVersion Version{100'000, {UINT64_MAX, UINT64_MAX}};
  Heartbeat.Config_ = {Version, Version};
  for (int Count = 0; Count < 10; ++Count)
    Heartbeat.AlivePeers_.emplace_back("nyarugenge-" +
                                       std::to_string(4'000 + Count));
  PeerMessage Sent = messageWith(Heartbeat);
  Sent.Incarnation_ = UINT64_MAX;
  CHECK(encodePeerMessage(Sent).size() <= 300);
}
