// Tests that an answer without a length, of which only the end of its
// connection says that it is complete, does not pass for a whole one.

#include "gateway-front-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(GatewayUnframed, GatewayFrontFixture) {
  /// A target that answers each request with the status and the body, without a
  /// length, announces the end of the connection and ends it in order.
  void startUnframedTarget(const std::string &Status,
                           const std::string &Fields = "") {
    startTarget([=](ScriptedTarget::Socket &Socket,
                    const std::string &Request) {
      if (!hasCompleteHead(Request))
        return false;
      sendText(Socket, "HTTP/1.1 " + Status + "\r\nKumquatpitch-Request-Id: " +
                           requestIdOf(Request) +
                           "\r\nKumquatpitch-Answer-Signature: s\r\n" + Fields +
                           "Connection: close\r\n\r\nfirst half");
      Socket.shutdown(ScriptedTarget::Socket::shutdown_send);
      return true;
    });
  }

  std::uint64_t counter(const std::string &Name) {
    return Metrics_.snapshot(Timers_.now()).Counters_[Name];
  }

  bool received(const std::string &Text) const {
    return Received_.find(Text) != std::string::npos;
  }
};

// Guards against delivering as complete an answer that broke off, where the
// server's process or something on the way has ended the connection in order.
TEST(GatewayUnframed, OrderlyEndInTheMiddleOfAnAnswerIsAFailure) {
  for (const char *Method : {"GET", "POST"}) {
    startUnframedTarget("200 OK");
    useNewTarget();
    Received_.clear();
    Caller_ = asio::ip::tcp::socket(Context_);
    call(request(*Method == 'G' ? "/look/1" : "/book/1", "id1", Method));
    CHECK_TEXT(runUntilReceived("HTTP/1.1 502"), Received_.c_str());
    CHECK(!received("first half"));
    Target_.reset();
  }
}
