// PeerView: liveness of peers, seen in each direction.

#include "kumquatpitch/peer-view.h"

#include "manual-time.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using test::atMs;

static const HostId Self("yaba-1");
static const HostId Peer("ikeja-1");

TEST_GROUP(PeerView) {
  PeerView View_{Self};

  HeartbeatResult receiveHeartbeat(
      Incarnation PeerIncarnation, std::uint64_t Sequence, std::int64_t AtMs,
      std::uint64_t Epoch = 1, bool Leaving = false, bool ListsUs = true) {
    HeartbeatMessage Message;
    Message.Epoch_ = Epoch;
    Message.Leaving_ = Leaving;
    if (ListsUs)
      Message.AlivePeers_.push_back(Self);
    return View_.onHeartbeat(Peer, PeerIncarnation, Sequence, Message,
                             atMs(AtMs));
  }
};

TEST(PeerView, PeerIsAliveUntilTheTimeout) {
  CHECK(receiveHeartbeat(7, 1, 0) == HeartbeatResult::NewIncarnation);
  CHECK(View_.isAlive(Peer, atMs(3'000)));
  CHECK_FALSE(View_.isAlive(Peer, atMs(3'001)));
  CHECK_FALSE(View_.receivesOurHeartbeats(Peer, atMs(3'001)));
  CHECK(View_.nextHeartbeat(1, false, {}, atMs(10)).AlivePeers_.at(0) == Peer);
  CHECK(View_.nextHeartbeat(1, false, {}, atMs(3'001)).AlivePeers_.empty());
}

// Guards against a peer that counts as healthy while it does not receive our
// heartbeats.
TEST(PeerView, OneWayLossIsDetected) {
  receiveHeartbeat(7, 1, 0, 1, false, false);
  CHECK(View_.isAlive(Peer, atMs(10)));
  CHECK_FALSE(View_.receivesOurHeartbeats(Peer, atMs(10)));
}

// Guards against a late or duplicate heartbeat that keeps a dead peer alive.
TEST(PeerView, OlderSequencesAreIgnored) {
  receiveHeartbeat(7, 5, 0);
  CHECK(receiveHeartbeat(7, 5, 2'900) == HeartbeatResult::OldSequence);
  CHECK(receiveHeartbeat(7, 4, 2'900) == HeartbeatResult::OldSequence);
  CHECK_FALSE(View_.isAlive(Peer, atMs(3'001)));
  CHECK(receiveHeartbeat(7, 6, 2'900) == HeartbeatResult::Accepted);
}

// Guards against a late message that brings a replaced incarnation back.
TEST(PeerView, OlderIncarnationsAreIgnored) {
  receiveHeartbeat(7, 50, 0, 9, true);
  CHECK(View_.isLeaving(Peer));
  CHECK(receiveHeartbeat(8, 1, 100) == HeartbeatResult::NewIncarnation);
  CHECK_FALSE(View_.isLeaving(Peer));
  CHECK_EQUAL(1, View_.epochOf(Peer).value());
  CHECK(receiveHeartbeat(7, 51, 200) == HeartbeatResult::OldIncarnation);
  CHECK_EQUAL(8, View_.incarnationOf(Peer).value());
}

TEST(PeerView, UnknownPeersHaveNoState) {
  CHECK_FALSE(View_.isAlive(Peer, atMs(0)));
  CHECK_FALSE(View_.incarnationOf(Peer).has_value());
  CHECK_FALSE(View_.epochOf(Peer).has_value());
}

// Guards against a table that grows with each host that ever ran.
TEST(PeerView, RemovesPeersThatAreGone) {
  receiveHeartbeat(7, 1, 0);
  View_.expire(atMs(600'000));
  CHECK_EQUAL(1, View_.size());
  View_.expire(atMs(600'001));
  CHECK_EQUAL(0, View_.size());
}
