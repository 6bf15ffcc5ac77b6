// NngTransport over loopback.

#include "kumquatpitch/nng-transport.h"

#include "kumquatpitch/contract.h"

#include <condition_variable>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

/// Collects received messages; waits are bounded.
class Inbox {
public:
  NngTransport::Receiver receiver() {
    return [this](std::string Message, std::string Sender) {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      Messages_.push_back(std::move(Message));
      Sender_ = std::move(Sender);
      Changed_.notify_all();
    };
  }

  bool waitFor(std::size_t Count) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    return Changed_.wait_for(Lock, std::chrono::seconds(10),
                             [&] { return Messages_.size() >= Count; });
  }

  std::size_t size() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Messages_.size();
  }

  std::vector<std::string> Messages_;
  std::string Sender_;

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
};

std::unique_ptr<NngTransport> openAt(std::uint16_t Port, Inbox &Into,
                                     std::size_t MaxDialed = 8) {
  return NngTransport::open({"127.0.0.1", Port}, MaxDialed, Into.receiver())
      .value();
}

Endpoint endpointOf(const NngTransport &Transport) {
  return {"127.0.0.1", Transport.port()};
}

} // namespace

TEST_GROUP(NngTransport) {
  Inbox AtFirst_;
  Inbox AtSecond_;
  std::unique_ptr<NngTransport> First_ = openAt(0, AtFirst_);
  std::unique_ptr<NngTransport> Second_ = openAt(0, AtSecond_);
};

// Guards against the loss of the first messages to a peer, which are sent
// before its connection is up.
TEST(NngTransport, FirstMessagesArriveInOrderWithTheSendersAddress) {
  for (int Count = 0; Count < 10; ++Count)
    CHECK(First_->send(endpointOf(*Second_), std::to_string(Count)));
  CHECK(AtSecond_.waitFor(10));
  STRCMP_EQUAL("0", AtSecond_.Messages_.front().c_str());
  STRCMP_EQUAL("9", AtSecond_.Messages_.back().c_str());
  STRCMP_EQUAL("127.0.0.1", AtSecond_.Sender_.c_str());
}

// Guards against a sender that waits, or grows, for a peer that is down.
TEST(NngTransport, DropsForAPeerThatIsDown) {
  const Endpoint Down = endpointOf(*Second_);
  Second_.reset();
  int Accepted = 0;
  for (int Count = 0; Count < 100; ++Count)
    Accepted += First_->send(Down, "message") ? 1 : 0;
  CHECK(Accepted < 50);
}

TEST(NngTransport, ReachesAPeerThatStartsAgain) {
  const Endpoint Peer = endpointOf(*Second_);
  CHECK(First_->send(Peer, "before"));
  CHECK(AtSecond_.waitFor(1));
  Second_.reset();
  Inbox AtNew;
  Second_ = openAt(Peer.Port_, AtNew);
  bool Arrived = false;
  for (int Count = 0; Count < 100 && !Arrived; ++Count) {
    First_->send(Peer, "after");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Arrived = AtNew.size() > 0;
  }
  CHECK(Arrived);
  Second_.reset();
}

// Guards against sockets and threads that grow with the fleet.
TEST(NngTransport, DialedPeersAreBounded) {
  for (std::uint16_t Port = 1; Port <= 30; ++Port)
    First_->send({"127.0.0.1", Port}, "message");
  CHECK_EQUAL(8, First_->dialedPeers());
  CHECK(First_->send(endpointOf(*Second_), "still"));
  CHECK(AtSecond_.waitFor(1));
}

TEST(NngTransport, ResetOpensANewConnection) {
  CHECK(First_->send(endpointOf(*Second_), "one"));
  CHECK(AtSecond_.waitFor(1));
  First_->reset(endpointOf(*Second_));
  CHECK_EQUAL(0, First_->dialedPeers());
  CHECK(First_->send(endpointOf(*Second_), "two"));
  CHECK(AtSecond_.waitFor(2));
}

TEST(NngTransport, RefusesATooLongMessage) {
  CHECK_FALSE(First_->send(endpointOf(*Second_),
                           std::string(MaxDocumentBytes + 4'097, 'x')));
  CHECK(First_->send(endpointOf(*Second_),
                     std::string(MaxDocumentBytes + 4'096, 'x')));
  CHECK(AtSecond_.waitFor(1));
  CHECK_EQUAL(MaxDocumentBytes + 4'096, AtSecond_.Messages_.front().size());
}

TEST(NngTransport, TellsAnAddressThatIsTaken) {
  Inbox Unused;
  CHECK_FALSE(NngTransport::open(endpointOf(*Second_), 8, Unused.receiver()));
}
