// Tests which header fields of a message are passed on, and which of them a
// sender can take away by naming them in Connection.

#include "gateway-front-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(GatewayHeaders, GatewayFrontFixture){
    /// Calls with further header lines. The target answers with `AnswerHeaders`
    /// beside its own.
    void callWith(const std::string &Headers, const std::string &AnswerHeaders){
        startRecordingTarget(AnswerHeaders);
std::string Text = request("/book/1", "id1", "POST", "body");
Text.insert(Text.find("\r\n\r\n") + 2, Headers);
call(Text);
CHECK(runUntilReceived("whole"));
}

static bool contains(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}
}
;

// Guards against requests that run without their workspace, deadline or
// expected target, because the caller's Connection names these fields.
TEST(GatewayHeaders, ConnectionOfACallerTakesAwayNoFieldOfTheGateway) {
  useWorkspaces();
  callWith("Authorization: Bearer key-1\r\n"
           "Connection: keep-alive, kumquatpitch-WORKSPACE ,Host\r\n"
           "Content-Type: text/plain\r\n"
           "connection: Kumquatpitch-Deadline-Ms,Kumquatpitch-Target\r\n"
           "Connection: Kumquatpitch-Request-Id, Content-Type\r\n"
           "Connection: Content-Length, Connection, Authorization\r\n",
           "");
  for (const char *Expected :
       {"Kumquatpitch-Workspace: red\r\n", "Kumquatpitch-Target: t0\r\n",
        "Kumquatpitch-Request-Id: id1\r\n",
        "Kumquatpitch-Deadline-Ms: ", "Host: h.example\r\n",
        "Content-Length: 4\r\n", "Content-Type: text/plain\r\n"})
    CHECK_TEXT(contains(Forwarded_, Expected), Expected);
  CHECK_FALSE(contains(Forwarded_, "key-1"));
  CHECK_FALSE(contains(Forwarded_, "onnection"));
}

// Guards against answers that reach the caller without the signature that makes
// them count, because the target's Connection names it.
TEST(GatewayHeaders, ConnectionOfATargetTakesAwayNoFieldOfItsAnswer) {
  callWith("", "Connection: Kumquatpitch-Answer-Signature, Content-Length\r\n"
               "Connection: kumquatpitch-request-id, X-Own\r\n"
               "X-Own: 1\r\n");
  CHECK(contains(Received_, "Kumquatpitch-Answer-Signature: s\r\n"));
  CHECK(contains(Received_, "Kumquatpitch-Request-Id: id1\r\n"));
  CHECK(contains(Received_, "Content-Length: 5\r\n"));
  CHECK_FALSE(contains(Received_, "X-Own"));
}

TEST(GatewayHeaders, FieldsOfTheCallersConnectionAreNotForwarded) {
  callWith("Connection: X-Own\r\nX-Own: 1\r\nX-Other: 2\r\n"
           "Keep-Alive: timeout=5\r\nTE: trailers\r\nUpgrade: h2c\r\n",
           "");
  CHECK(contains(Forwarded_, "X-Other: 2\r\n"));
  for (const char *Own : {"X-Own", "Keep-Alive", "TE:", "Upgrade"})
    CHECK_FALSE_TEXT(contains(Forwarded_, Own), Own);
}
