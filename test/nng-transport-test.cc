// NngTransport over loopback.

#include "kumquatpitch/nng-transport.h"

#include "kumquatpitch/contract.h"

#include <condition_variable>
#include <vector>

#include "raw-connection.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

/// Collects received messages. waitFor() gives up after 10 s.
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

std::unique_ptr<NngTransport> openTransport(std::uint16_t Port, Inbox &Received,
                                            std::size_t MaxDialed = 8) {
  return NngTransport::open({"127.0.0.1", Port}, MaxDialed, Received.receiver())
      .value();
}

Endpoint endpointOf(const NngTransport &Transport) {
  return {"127.0.0.1", Transport.port()};
}

} // namespace

TEST_GROUP(NngTransport) {
  Inbox FirstInbox_;
  Inbox SecondInbox_;
  std::unique_ptr<NngTransport> First_ = openTransport(0, FirstInbox_);
  std::unique_ptr<NngTransport> Second_ = openTransport(0, SecondInbox_);
};

// Guards against losing the first messages to a peer, which are sent before its
// connection is established.
TEST(NngTransport, FirstMessagesArriveInOrderWithTheSendersAddress) {
  for (int Count = 0; Count < 10; ++Count)
    CHECK(First_->send(endpointOf(*Second_), std::to_string(Count)));
  CHECK(SecondInbox_.waitFor(10));
  STRCMP_EQUAL("0", SecondInbox_.Messages_.front().c_str());
  STRCMP_EQUAL("9", SecondInbox_.Messages_.back().c_str());
  STRCMP_EQUAL("127.0.0.1", SecondInbox_.Sender_.c_str());
}

// Guards against a sender that blocks, or queues without limit, when a peer is
// down.
TEST(NngTransport, DropsMessagesToADownPeer) {
  const Endpoint Down = endpointOf(*Second_);
  Second_.reset();
  int Accepted = 0;
  for (int Count = 0; Count < 100; ++Count)
    Accepted += First_->send(Down, "message") ? 1 : 0;
  CHECK(Accepted < 50);
}

TEST(NngTransport, ReconnectsToARestartedPeer) {
  const Endpoint Peer = endpointOf(*Second_);
  CHECK(First_->send(Peer, "before"));
  CHECK(SecondInbox_.waitFor(1));
  Second_.reset();
  Inbox RestartedInbox;
  Second_ = openTransport(Peer.Port_, RestartedInbox);
  bool Arrived = false;
  for (int Count = 0; Count < 100 && !Arrived; ++Count) {
    First_->send(Peer, "after");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Arrived = RestartedInbox.size() > 0;
  }
  CHECK(Arrived);
  Second_.reset();
}

// Guards against a number of sockets and threads that grows with the fleet.
TEST(NngTransport, LimitsTheNumberOfDialedPeers) {
  for (std::uint16_t Port = 1; Port <= 30; ++Port)
    First_->send({"127.0.0.1", Port}, "message");
  CHECK_EQUAL(8, First_->dialedPeers());
  CHECK(First_->send(endpointOf(*Second_), "still"));
  CHECK(SecondInbox_.waitFor(1));
}

TEST(NngTransport, ResetOpensANewConnection) {
  CHECK(First_->send(endpointOf(*Second_), "one"));
  CHECK(SecondInbox_.waitFor(1));
  First_->reset(endpointOf(*Second_));
  CHECK_EQUAL(0, First_->dialedPeers());
  CHECK(First_->send(endpointOf(*Second_), "two"));
  CHECK(SecondInbox_.waitFor(2));
}

TEST(NngTransport, RejectsATooLongMessage) {
  CHECK_FALSE(First_->send(endpointOf(*Second_),
                           std::string(MaxDocumentBytes + 4'097, 'x')));
  CHECK(First_->send(endpointOf(*Second_),
                     std::string(MaxDocumentBytes + 4'096, 'x')));
  CHECK(SecondInbox_.waitFor(1));
  CHECK_EQUAL(MaxDocumentBytes + 4'096, SecondInbox_.Messages_.front().size());
}

// Guards against a peer that announces a message of any length, which nng would
// allocate.
TEST(NngTransport, TooLongMessageFromAPeerClosesItsConnection) {
  const std::string Greeting("\0SP\0\0\x50\0\0", 8);       // Of a push socket.
  const std::string Length("\0\0\0\x02\x18\x71\x1a\0", 8); // 9 GB.
  const test::RawConnection Peer(endpointOf(*Second_).Port_);
  CHECK(Peer.isOpen());
  Peer.write(Greeting + Length + std::string(10'000, 'x'));
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  Peer.readAll();
  CHECK(std::chrono::steady_clock::now() - Start < std::chrono::seconds(5));
  CHECK(First_->send(endpointOf(*Second_), "one"));
  CHECK(SecondInbox_.waitFor(1));
  STRCMP_EQUAL("one", SecondInbox_.Messages_.front().c_str());
}

TEST(NngTransport, OpenFailsWhenTheAddressIsInUse) {
  Inbox Unused;
  CHECK_FALSE(NngTransport::open(endpointOf(*Second_), 8, Unused.receiver()));
}
