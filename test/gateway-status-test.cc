// Tests that a response without a valid status is a failure of its attempt at
// once, wherever it stands on a connection to a target.

#include "gateway-front-fixture.h"

#include "odd-status-lines.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(GatewayStatus, GatewayFrontFixture){
    /// A target that writes `Bytes` for each request and keeps the connection.
    void startTargetThatWrites(const std::string &Bytes){startTarget(
        [Bytes](ScriptedTarget::Socket &Socket, const std::string &Request) {
          if (!hasCompleteHead(Request))
            return false;
          sendText(Socket, Bytes);
          return true;
        });
useNewTarget();
Received_.clear();
Caller_ = asio::ip::tcp::socket(Context_);
}

/// Checks that the caller gets 502, which the end of the route's time would
/// turn into 504, and that the connection to the target is closed.
void checkIsFailure(const std::string &Bytes, const std::string &Path,
                    const std::string &Method) {
  startTargetThatWrites(Bytes);
  call(request(Path, "id1", Method));
  CHECK_TEXT(runUntilReceived("\r\n\r\n"), Bytes.c_str());
  CHECK_TEXT(Received_.starts_with("HTTP/1.1 502"),
             (Method + " " + Bytes + " got " + Received_).c_str());
  CHECK_TEXT(runUntil([this] { return Target_->closed() == 1; }),
             Bytes.c_str());
  CHECK_EQUAL(0, Client_.idleConnections());
  Target_.reset();
}

void checkAreFailures(const std::string &Before, const std::string &Behind) {
  for (const char *StatusLine : OddStatusLines) {
    std::string Bytes = Before;
    Bytes.append(withStatusLine(answer("id1", "body"), StatusLine))
        .append(Behind);
    checkIsFailure(Bytes, "/look/1", "GET");
    checkIsFailure(Bytes, "/book/1", "POST");
  }
}

/// The target's connection has carried the request `id1`.
void checkIsFailureBehind(const std::string &Late,
                          const std::string &StatusLine) {
  Received_.clear();
  Caller_ = asio::ip::tcp::socket(Context_);
  useNewTarget();
  bookTwice(Late + withStatusLine(answer("id2", "second"), StatusLine));
  Received_.clear();
  CHECK_TEXT(runUntilReceived("HTTP/1.1 502"), StatusLine.c_str());
  CHECK_TEXT(runUntil([this] { return Target_->closed() == 1; }),
             StatusLine.c_str());
  Target_.reset();
}
}
;

TEST(GatewayStatus, ResponseWithoutAValidStatusIsAFailure) {
  checkAreFailures("", "");
}

// Guards against taking such a response for an interim one and waiting for
// another.
TEST(GatewayStatus, ResponseBehindOneWithoutAValidStatusIsNotTaken) {
  checkAreFailures("", answer("id1", "second"));
}

TEST(GatewayStatus, InvalidStatusBehindAnInterimResponseIsAFailure) {
  checkAreFailures("HTTP/1.1 103 Early Hints\r\n\r\n", "");
}

TEST(GatewayStatus, InvalidStatusBehindALateResponseIsAFailure) {
  for (const char *StatusLine : OddStatusLines) {
    checkIsFailureBehind("", StatusLine);
    checkIsFailureBehind(answer("id1", "first"), StatusLine);
  }
}

// A target may write the status and nothing more.
TEST(GatewayStatus, InvalidStatusFailsBeforeTheHeadIsComplete) {
  for (const char *Bytes :
       {"HTTP/1.1 000", "HTTP/1.1 600 X\r\n", "HTTP/1.1 20 OK\r\n"})
    checkIsFailure(Bytes, "/book/1", "POST");
}

TEST(GatewayStatus, RequestThatMayRepeatGoesToAnotherTarget) {
  Core_.setTable(std::make_shared<const RouteTable>(
      routes(2, std::chrono::seconds(2), std::chrono::seconds(1), 2)));
  // Gives this host its part of the budget for resends.
  Core_.setCallerHosts(
      {{ServiceName("desk"), {{HostId("h"), FailureDomain("a")}}}}, 1,
      Timers_.now());
  for (const char *StatusLine : OddStatusLines) {
    startTarget(
        [&](ScriptedTarget::Socket &Socket, const std::string &Request) {
          if (!hasCompleteHead(Request))
            return false;
          const std::string Sound = answer(requestIdOf(Request), "sound");
          sendText(Socket, Target_->handled() == 0
                               ? withStatusLine(Sound, StatusLine)
                               : Sound);
          return true;
        });
    std::map<TargetId, TargetEntry> Entries;
    ++TargetStarts_;
    for (const char *Id : {"t0", "t1"}) {
      TargetEntry Entry;
      Entry.Id_ = TargetId(Id);
      Entry.Service_ = ServiceName("desk");
      Entry.Address_ = Endpoint{"127.0.0.1", TargetPort};
      Entry.Slots_ = 3;
      Entry.StartedUnixMs_ = TargetStarts_;
      Entries.emplace(Entry.Id_, Entry);
    }
    Core_.setTargets(Entries, Timers_.now());
    Received_.clear();
    Caller_ = asio::ip::tcp::socket(Context_);
    call(request("/look/1", "id1"));
    CHECK_TEXT(runUntilReceived("sound"), StatusLine);
    CHECK_TEXT(Received_.starts_with("HTTP/1.1 200 OK"), Received_.c_str());
    CHECK_EQUAL(2, Target_->handled());
    Target_.reset();
  }
}
