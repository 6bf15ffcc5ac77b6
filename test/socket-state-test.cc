// Tests of the state of TCP connections.

#include "kumquatpitch/socket-state.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(SocketState) {
  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_{
      Context_,
      asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)};
  asio::ip::tcp::socket Own_{Context_};
  asio::ip::tcp::socket Peer_{Context_};

  void setup() override {
    Own_.connect(Acceptor_.local_endpoint());
    Acceptor_.accept(Peer_);
  }

  void resetByPeer() {
    Peer_.set_option(asio::socket_base::linger(true, 0));
    Peer_.close();
  }

  bool isReset() { return isConnectionReset(Own_.native_handle()); }

  static bool waitFor(const std::function<bool()> &IsTrue) {
    for (int Step = 0; Step < 1'000 && !IsTrue(); ++Step)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return IsTrue();
  }
};

// Guards against taking a reset for an orderly end once another call has got
// the error.
TEST(SocketState, ResetIsSeenAfterItsErrorWasReported) {
  CHECK_FALSE(isReset());
  resetByPeer();
  CHECK(waitFor([&] { return isReset(); }));
  int Error = 0;
  socklen_t Size = sizeof Error;
  getsockopt(Own_.native_handle(), SOL_SOCKET, SO_ERROR, &Error, &Size);
  CHECK_EQUAL(ECONNRESET, Error);
  CHECK(isReset());
}

TEST(SocketState, ResetIsSeenAfterAnOrderlyEnd) {
  Peer_.shutdown(asio::ip::tcp::socket::shutdown_send);
  std::array<char, 1> Byte;
  asio::error_code Error;
  asio::read(Own_, asio::buffer(Byte), Error);
  CHECK(Error == asio::error::eof);
  CHECK_FALSE(isReset());
  resetByPeer();
  CHECK(waitFor([&] { return isReset(); }));
}

TEST(SocketState, CountsBytesThatThePeerHasNotGot) {
  Own_.non_blocking(true);
  const std::string Bytes(100'000, 'x');
  std::size_t Written = 0;
  asio::error_code Error;
  while (!Error)
    Written += Own_.write_some(asio::buffer(Bytes), Error);
  CHECK(unacknowledgedBytes(Own_.native_handle()) > 0);
  std::string Received(Written, ' ');
  asio::read(Peer_, asio::buffer(Received));
  CHECK(
      waitFor([&] { return unacknowledgedBytes(Own_.native_handle()) == 0; }));
}
