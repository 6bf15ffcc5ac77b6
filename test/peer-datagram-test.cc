// Tests that peer datagrams decode to the message that was encoded, that they
// fit into one packet, and that malformed datagrams are rejected.

#include "kumquatpitch/peer-datagram.h"

#include "manual-time.h"

#include <cmath>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

static std::optional<PeerDatagram> decodeOrNone(const std::string &Bytes) {
  return handleFailure(
      [&]() -> Result<std::optional<PeerDatagram>> {
        BOOST_LEAF_AUTO(Read, decodeDatagram(Bytes));
        return std::optional<PeerDatagram>(Read);
      },
      [](const Failure &) { return std::optional<PeerDatagram>(); });
}

static StoreChangesMessage makeProgress(std::size_t Changes) {
  StoreChangesMessage Message{HostId("edge-ikeja-1"), 100, 500, 40, {}};
  for (std::size_t Index = 0; Index < Changes; ++Index) {
    TargetEntry Entry;
    Entry.Id_ = TargetId("i-0123456789" + std::to_string(Index));
    Entry.Service_ = ServiceName("nuptial-desk");
    Entry.Address_ = Endpoint{"10.128.100.100", 8'080};
    Entry.Domain_ = FailureDomain("nyarugenge");
    Entry.StartedUnixMs_ = 1'767'280'437'058;
    Entry.ColdFor_ = ms(2'500);
    Message.Targets_.push_back(TargetChange{Entry.Id_, 101 + Index, Entry});
  }
  Message.Era_ = 3;
  return Message;
}

TEST_GROUP(PeerDatagram){};

TEST(PeerDatagram, EveryKindSurvivesEncodingAndDecoding) {
  const Member Self{HostId("h"),          "10.0.0.1", FailureDomain("yaba"),
                    Region("lagos"),      5,          2,
                    MemberState::Leaving, 500};
  StoreChangesMessage Progress = makeProgress(2);
  Progress.Targets_.push_back(
      TargetChange{TargetId("gone"), 400, std::nullopt});
  for (const PeerDatagram &Sent : {
           PeerDatagram(ProbeMessage{Self, true, false, 77, {Self, Self}}),
           PeerDatagram(Progress),
           PeerDatagram(EvidenceMessage{ServiceName("s"), TargetId("t"), 9,
                                        TargetObservation::SuspectedFailure,
                                        true}),
           PeerDatagram(OutcomeCountsMessage{HostId("h"),
                                             {{ServiceName("s"), {7.5, 2}}}}),
           PeerDatagram(RateLimitsMessage{
               {{ServiceName("s"), TargetId("t"), 9, 3.4, ms(20)},
                {ServiceName("s"), TargetId("u"), 9, NoRateLimit, ms(0)}},
               true}),
           PeerDatagram(LeavingTargetsMessage{
               {{TargetId("t"), 1'767'280'437'058}, {TargetId("u"), 0}}, true}),
           PeerDatagram(ProofQuery{0xfedc'ba98'7654'3210}),
           PeerDatagram(ProofAnswer{0xfedc'ba98'7654'3210, 12, ms(1'700)}),
       }) {
    const std::optional<PeerDatagram> Received =
        decodeOrNone(encodeDatagram(Sent));
    CHECK(Received.has_value());
    CHECK(*Received == Sent);
  }
}

// Guards against a crash or wrong state after a truncated datagram or one from
// another protocol.
TEST(PeerDatagram, TruncatedAndForeignDatagramsAreRejected) {
  const std::string Whole = encodeDatagram(makeProgress(1));
  for (std::size_t Size = 0; Size < Whole.size(); ++Size)
    CHECK_FALSE(decodeOrNone(Whole.substr(0, Size)).has_value());
  CHECK_FALSE(decodeOrNone("GET / HTTP/1.1\r\n\r\n").has_value());
  CHECK_FALSE(decodeOrNone(std::string("\x81\x09", 2)).has_value());
}

// Guards against impossible counts, after which a host could never evaluate its
// floor again.
TEST(PeerDatagram, ImpossibleCountsAreRejected) {
  for (const RequestOutcomeCounts &Invalid :
       {RequestOutcomeCounts{1, 2}, RequestOutcomeCounts{1, -1},
        RequestOutcomeCounts{std::numeric_limits<double>::infinity(), 1}})
    CHECK_FALSE(decodeOrNone(encodeDatagram(OutcomeCountsMessage{
                                 HostId("h"), {{ServiceName("s"), Invalid}}}))
                    .has_value());
}

// Guards against a limit that no comparison holds for, and against news that
// counts as newer than any answer.
TEST(PeerDatagram, ImpossibleRateLimitsAreRejected) {
  for (const NamedRateLimit &Invalid :
       {NamedRateLimit{ServiceName("s"), TargetId("t"), 9, -1, ms(0)},
        NamedRateLimit{ServiceName("s"), TargetId("t"), 9, std::nan(""), ms(0)},
        NamedRateLimit{ServiceName("s"), TargetId("t"), 9, 1, ms(-1)}})
    CHECK_FALSE(
        decodeOrNone(encodeDatagram(RateLimitsMessage{{Invalid}, false}))
            .has_value());
}

TEST(PeerDatagram, ManyRateLimitsAreDividedAmongDatagrams) {
  const std::vector<NamedRateLimit> Limits(
      30,
      NamedRateLimit{ServiceName("nuptial-desk"), TargetId("i-0123456789ab"),
                     1'767'280'437'058, 1.0 / 3, ms(200'000)});
  std::size_t Sent = 0;
  for (const RateLimitsMessage &Part : splitRateLimits(Limits)) {
    CHECK(encodeDatagram(Part).size() <= MaxDatagramBytes);
    Sent += Part.Limits_.size();
  }
  CHECK_EQUAL(30, Sent);
  CHECK(splitRateLimits({}).empty());
}

TEST(PeerDatagram, ManyLeavingTargetsAreDividedAmongDatagrams) {
  const std::vector<LeavingTarget> Targets(
      12, LeavingTarget{TargetId(std::string(MaxNameBytes, 't')), UINT64_MAX});
  std::size_t Sent = 0;
  for (const LeavingTargetsMessage &Part : splitLeavingTargets(Targets)) {
    CHECK(encodeDatagram(Part).size() <= MaxDatagramBytes);
    Sent += Part.Targets_.size();
  }
  CHECK_EQUAL(12, Sent);
}

TEST(PeerDatagram, FullTallyFitsIntoOneDatagram) {
  OutcomeCountsMessage Full{HostId(std::string(MaxNameBytes, 'h')), {}};
  for (std::size_t Index = 0; Index < MaxOutcomeCounts; ++Index)
    Full.Services_[ServiceName(std::string(MaxNameBytes - 2, 's') +
                               std::to_string(10 + Index))] = {12.3, 4.5};
  CHECK(encodeDatagram(Full).size() <= MaxDatagramBytes);
}

// Guards against changes that are lost because their datagram exceeds one
// packet.
TEST(PeerDatagram, LongProgressIsSplitWithoutGaps) {
  const StoreChangesMessage Whole = makeProgress(45);
  const std::vector<StoreChangesMessage> Parts = splitStoreChanges(Whole);
  std::uint64_t After = Whole.After_;
  std::size_t Changes = 0;
  for (const StoreChangesMessage &Part : Parts) {
    CHECK(encodeDatagram(Part).size() <= MaxDatagramBytes);
    CHECK_EQUAL(After, Part.After_);
    CHECK_EQUAL(Whole.Era_, Part.Era_);
    After = Part.Revision_;
    Changes += Part.Targets_.size();
  }
  CHECK_EQUAL(Whole.Revision_, After);
  CHECK_EQUAL(45, Changes);
}

// Guards against changes that no host gets because one long entry of another
// writer makes their datagram exceed the receiver's buffer.
TEST(PeerDatagram, ProgressWithLongNamesFitsIntoDatagrams) {
  StoreChangesMessage Whole = makeProgress(12);
  for (TargetChange &Change : Whole.Targets_) {
    Change.Id_ = TargetId(std::string(190, 'i'));
    Change.Entry_->Service_ = ServiceName(std::string(200, 's'));
    Change.Entry_->Domain_ = FailureDomain(std::string(200, 'd'));
  }
  std::size_t Changes = 0;
  for (const StoreChangesMessage &Part : splitStoreChanges(Whole)) {
    CHECK(encodeDatagram(Part).size() <= MaxDatagramBytes);
    Changes += Part.Targets_.size();
  }
  CHECK_EQUAL(12, Changes);
}

// Guards against an answer that counts as a proof from the future or from a
// time long ago, and against numbers that wrap around.
TEST(PeerDatagram, ImpossibleProofAnswersAreRejected) {
  for (const Duration Invalid : {ms(-1), Duration(-1), ms(3'600'001)})
    CHECK_FALSE(
        decodeOrNone(encodeDatagram(ProofAnswer{9, 12, Invalid})).has_value());
  // [1, 11, -1, 12, 0], [1, 11, 9, "a", 0], [1, 11, 9, 12], [1, 11, 9, 12, 1.5]
  for (const std::string &Invalid :
       {std::string("\x85\x01\x0b\x20\x0c\x00", 6),
        std::string("\x85\x01\x0b\x09\x61\x61\x00", 7),
        std::string("\x84\x01\x0b\x09\x0c"),
        std::string("\x85\x01\x0b\x09\x0c\xf9\x3e\x00", 8)})
    CHECK_FALSE(decodeOrNone(Invalid).has_value());
}

TEST(PeerDatagram, ImpossibleProofQueriesAreRejected) {
  // [1, 10], [1, 10, -1], [1, 10, null]
  for (const std::string &Invalid :
       {std::string("\x82\x01\x0a"), std::string("\x83\x01\x0a\x20"),
        std::string("\x83\x01\x0a\xf6")})
    CHECK_FALSE(decodeOrNone(Invalid).has_value());
}

TEST(PeerDatagram, ProofMessagesAreSmall) {
  const std::uint64_t Large = std::numeric_limits<std::uint64_t>::max();
  CHECK(encodeDatagram(ProofQuery{Large}).size() <= 12);
  CHECK(encodeDatagram(ProofAnswer{Large, 4'000, ms(5'000)}).size() <= 21);
}

// Guards against a datagram that exhausts the stack.
TEST(PeerDatagram, DeeplyNestedDatagramIsRejected) {
  constexpr std::size_t ReceiveBufferBytes = 2'048;
  constexpr char ArrayOfOne = static_cast<char>(0x81);
  CHECK_FALSE(decodeOrNone(std::string(ReceiveBufferBytes, ArrayOfOne)));
}

TEST(PeerDatagram, FullProbeFitsIntoOneDatagram) {
  ProbeMessage Probe;
  Probe.From_ = Member{HostId("edge-nyarugenge-100"),
                       "10.128.100.100",
                       FailureDomain("nyarugenge"),
                       Region("kigali"),
                       1'767'280'437'058,
                       3,
                       MemberState::Serving};
  Probe.Members_.assign(16, Probe.From_);
  CHECK(encodeDatagram(Probe).size() <= MaxDatagramBytes);
}

TEST(PeerDatagram, LimitMessagesDecodeToWhatWasEncoded) {
  const std::vector<PeerDatagram> Messages{
      LimitPartOffer{HostId("edge-1"), 1'767'280'437'058, 12, 25, false},
      LimitPartQuestion{HostId("edge-1"), 1'767'280'437'058, 13, true},
      TokenRequest{
          HostId("edge-1"), 1'767'280'437'058, 7, {{1ULL << 63, 2, 3}}},
      TokenAnswer{HostId("edge-1"),
                  1'767'280'437'058,
                  7,
                  true,
                  {{1ULL << 63, 5, ms(90)}}}};
  for (const PeerDatagram &Message : Messages) {
    CHECK(decodeOrNone(encodeDatagram(Message)) == Message);
    CHECK(limitMessageOf(Message).has_value());
  }
}

TEST(PeerDatagram, FullTokenRequestAndAnswerFitIntoOneDatagram) {
  const HostId Longest(std::string(MaxNameBytes, 'h'));
  TokenRequest Request{Longest, ~0ULL, ~0ULL, {}};
  Request.Wishes_.assign(MaxTokenWishes, {~0ULL, 65'535, 65'535});
  CHECK(encodeDatagram(Request).size() <= MaxDatagramBytes);
  TokenAnswer Answer{Longest, ~0ULL, ~0ULL, true, {}};
  Answer.Grants_.assign(MaxTokenWishes, {~0ULL, 65'535, ms(60'000)});
  CHECK(encodeDatagram(Answer).size() <= MaxDatagramBytes);
}

TEST(PeerDatagram, TokensOutOfRangeAreRejected) {
  CHECK_FALSE(decodeOrNone(
      encodeDatagram(TokenRequest{HostId("a"), 1, 1, {{1, 65'536, 0}}})));
  CHECK_FALSE(decodeOrNone(encodeDatagram(
      TokenAnswer{HostId("a"), 1, 1, true, {{1, 1, ms(60'001)}}})));
}
