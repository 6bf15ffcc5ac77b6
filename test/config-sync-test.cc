// ConfigSync of a single host: which values it accepts, refuses and pulls.
// Distribution over many hosts is simulated in bench/config-bench.cc.

#include "kumquatpitch/config-sync.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using test::atMs;

namespace {

std::string contractJson(const char *Service) {
  return std::string(
             R"({"customer":"imigongo","version":1,"services":[{"name":")") +
         Service + R"(","rate_per_s":5,"in_progress":2,"max_body_bytes":1,
      "max_answer_bytes":1,"deadline_ms":9,"slo":{"availability_percent":99,
      "latency_ms":5,"window_days":28},"routes":[{"method":"GET",
      "path_prefix":"/","idempotent":true}]}]})";
}

std::string serviceJson(int Version) {
  return R"({"service":"ledger","customer":"imigongo","floor_targets":0,
      "detection_profile":"fast-detection","region":"kigali","targets":[{
      "id":"t1","address":"127.0.0.1","port":1,"failure_domain":"gasabo",
      "slots":2,"connections":4,"state":"serving"}],"version":)" +
         std::to_string(Version) + "}";
}

using Table = VersionedTable<ManifestPart>;

const char *const NoHosts = R"({"version":1,"hosts":[]})";
const PeerContact Peer{
    HostId("peer"), FailureDomain("gasabo"), {"10.0.0.2", 7}};

} // namespace

TEST_GROUP(ConfigSync) {
  SeededRandom Random_{1};
  ConfigSync Sync_{
      ConfigSyncOptions{
          {HostId("self"), FailureDomain("gasabo"), {"10.0.0.1", 7}},
          {CustomerName("imigongo")},
          {Endpoint{"10.0.0.1", 7}}},
      Random_, atMs(0)};
  std::vector<ManifestPart> Parts_;

  void replyFromPlatform(const std::string &Key, std::uint64_t Version,
                         const std::string &Body, std::int64_t AtMs) {
    Sync_.onPlatformReply(
        {Key, PlatformStatus::Value, Version, Body, Body.size()}, atMs(AtMs));
  }

  /// Delivers platform replies for a manifest and its two documents.
  void publish(std::uint64_t Version, const std::string &ContractBody,
               const std::string &ServiceBody, std::int64_t AtMs) {
    Parts_ = {
        {"contract/imigongo", 1, contentHash(ContractBody),
         ContractBody.size()},
        {"service/ledger", 1, contentHash(ServiceBody), ServiceBody.size()}};
    replyFromPlatform("manifest", Version, formatManifest({Version, Parts_}),
                      AtMs);
    replyFromPlatform("parts/contract/imigongo/" + Parts_[0].Hash_, 0,
                      ContractBody, AtMs);
    replyFromPlatform("parts/service/ledger/" + Parts_[1].Hash_, 0, ServiceBody,
                      AtMs);
    Sync_.tick(atMs(AtMs));
  }

  /// Makes the host ready from the platform, without peers.
  void becomeReady() {
    Sync_.tick(atMs(0));
    Sync_.tick(atMs(5'000));
    replyFromPlatform("hosts", 1, NoHosts, 5'000);
    Sync_.tick(atMs(7'000));
    publish(3, contractJson("ledger"), serviceJson(1), 7'000);
    CHECK(Sync_.isReady(atMs(7'000)));
  }

  DigestMessage digestFromPeer(const Table &Manifest) const {
    DigestMessage Message;
    Message.Config_.Manifest_ = Manifest.version();
    Message.Contacts_.push_back(Peer);
    return Message;
  }
};

TEST(ConfigSync, JoinWithoutPeersReadsPlatformAfterTwoSeconds) {
  for (std::int64_t Ms = 0; Ms < 2'000; Ms += 100)
    CHECK(Sync_.tick(atMs(Ms)).Calls_.empty());
  becomeReady();
  CHECK_EQUAL(3, Sync_.catalog()->Version_);
  CHECK(findService(*Sync_.catalog(), ServiceName("ledger")) != nullptr);
}

// Guards against a stale platform that reverts a joining host, or the whole
// fleet, to an older configuration.
TEST(ConfigSync, JoinPullsFromPeersInsteadOfPlatform) {
  Table Newer;
  Newer.replace(9, {{"service/ledger", 1, contentHash("x"), 1}});
  const ConfigActions Actions =
      Sync_.onDigest(Peer.Id_, digestFromPeer(Newer), atMs(100));
  CHECK_EQUAL(1, Actions.Sends_.size());
  CHECK(std::get<PullMessage>(Actions.Sends_[0].Body_).Kind_ ==
        PullKind::Manifest);
  for (std::int64_t Ms = 200; Ms < 9'000; Ms += 100)
    CHECK(Sync_.tick(atMs(Ms)).Calls_.empty());
  CHECK_FALSE(Sync_.isReady(atMs(9'000)));
}

TEST(ConfigSync, NotReadyBelowHighestReportedVersion) {
  Table Newer;
  Newer.replace(9, {});
  Table Older;
  Older.replace(8, {});
  Sync_.onDigest(Peer.Id_, digestFromPeer(Newer), atMs(0));
  Sync_.onPeerPart(Peer.Id_, {Older.deltaFor({})}, atMs(10));
  Sync_.tick(atMs(2'000));
  CHECK_FALSE(Sync_.isReady(atMs(2'000)));
  Sync_.onPeerPart(Peer.Id_, {Newer.deltaFor({})}, atMs(2'010));
  CHECK(Sync_.isReady(atMs(2'010)));
}

TEST(ConfigSync, OlderPlatformRepliesAreCountedAndIgnored) {
  becomeReady();
  replyFromPlatform("manifest", 2, formatManifest({2, {}}), 8'000);
  CHECK_EQUAL(1, Sync_.counters().StaleReplies_);
  CHECK_EQUAL(3, Sync_.state().Manifest_.Version_);
}

// Guards against a malformed manifest that leaves the host with an empty
// configuration.
TEST(ConfigSync, MalformedManifestIsRefusedWithTheReason) {
  becomeReady();
  replyFromPlatform("manifest", 4, R"({"format":1,"version":4})", 8'000);
  CHECK_EQUAL(3, Sync_.state().Manifest_.Version_);
  STRCMP_EQUAL("manifest: parts: is missing",
               Sync_.refusals().at(0).Message_.c_str());
  CHECK_EQUAL(1, Sync_.counters().MalformedReplies_);
}

TEST(ConfigSync, InvalidDocumentKeepsLastValidConfiguration) {
  becomeReady();
  publish(4, contractJson("workshop"), serviceJson(2), 8'000);
  STRCMP_EQUAL("contract/imigongo: services[0].name: there is no "
               "service/workshop",
               Sync_.refusals().at(0).Message_.c_str());
  CHECK_EQUAL(4, Sync_.refusals().at(0).ManifestVersion_);
  CHECK_EQUAL(1,
              findService(*Sync_.catalog(), ServiceName("ledger"))->Version_);
  publish(5, contractJson("ledger"), serviceJson(3), 9'000);
  CHECK(Sync_.refusals().empty());
  CHECK_EQUAL(3,
              findService(*Sync_.catalog(), ServiceName("ledger"))->Version_);
}

// Guards against a peer that sends content that does not match its
// hash.
TEST(ConfigSync, DocumentWithWrongHashIsRejected) {
  becomeReady();
  const std::string Body = serviceJson(2);
  Table Newer;
  Newer.replace(
      4, {Parts_[0], {"service/ledger", 2, contentHash(Body), Body.size()}});
  Sync_.onDigest(Peer.Id_, digestFromPeer(Newer), atMs(8'000));
  Sync_.onPeerPart(Peer.Id_, {Newer.deltaFor({})}, atMs(8'010));
  Sync_.onPeerPart(Peer.Id_,
                   {DocumentBody{"service/ledger", contentHash(Body), false,
                                 serviceJson(7)}},
                   atMs(8'020));
  CHECK_EQUAL(3, Sync_.catalog()->Version_);
  CHECK_EQUAL(1, Sync_.counters().DigestMismatches_);
  Sync_.onPeerPart(
      Peer.Id_,
      {DocumentBody{"service/ledger", contentHash(Body), false, Body}},
      atMs(8'030));
  CHECK_EQUAL(4, Sync_.catalog()->Version_);
}

TEST(ConfigSync, NothingIsPulledFromOneWayPeers) {
  Table Newer;
  Newer.replace(9, {});
  Sync_.setOneWayPeers({Peer.Id_});
  for (const PeerSend &Send :
       Sync_.onDigest(Peer.Id_, digestFromPeer(Newer), atMs(0)).Sends_)
    CHECK(std::get_if<PullMessage>(&Send.Body_) == nullptr);
}

// Guards against two hosts that answer each other's digests in an endless loop.
TEST(ConfigSync, DigestRepliesAreNotAnswered) {
  becomeReady();
  DigestMessage Message = digestFromPeer(Table());
  CHECK_EQUAL(1, Sync_.onDigest(Peer.Id_, Message, atMs(8'000)).Sends_.size());
  Message.IsReply_ = true;
  CHECK(Sync_.onDigest(Peer.Id_, Message, atMs(8'000)).Sends_.empty());
}
