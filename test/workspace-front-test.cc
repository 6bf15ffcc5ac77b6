// Tests over real sockets what a backend server gets of a caller's key and of
// its workspace.

#include "gateway-front-fixture.h"

using namespace kumquatpitch;
using namespace kumquatpitch::test;

TEST_GROUP_BASE(WorkspaceFront, GatewayFrontFixture){
    /// Calls with further header lines; the target records what it gets.
    void callWith(const std::string &Path,
                  const std::string &Headers){startRecordingTarget();
std::string Text = request(Path, "id1");
Text.insert(Text.find("\r\n\r\n") + 2, Headers);
call(Text);
}

bool isForwarded(const std::string &Text) const {
  return Forwarded_.find(Text) != std::string::npos;
}
}
;

TEST(WorkspaceFront, TargetGetsTheWorkspaceAndNeverTheKey) {
  useWorkspaces();
  callWith("/book/1", "authorization: bearer key-1\r\n"
                      "Kumquatpitch-Workspace: blue\r\n"
                      "kumquatpitch-workspace: green\r\n");
  CHECK(runUntilReceived("whole"));
  CHECK(isForwarded("Kumquatpitch-Workspace: red\r\n"));
  CHECK_FALSE(isForwarded("key-1"));
  CHECK_FALSE(isForwarded("blue"));
  CHECK_FALSE(isForwarded("green"));
  STRCMP_EQUAL("", logLine("key-1").c_str());
}

TEST(WorkspaceFront, PublicRouteTakesAnyoneAndForwardsNoKey) {
  useWorkspaces();
  callWith("/look/1", "Authorization: Bearer key-9\r\n"
                      "Kumquatpitch-Workspace: red\r\n");
  CHECK(runUntilReceived("whole"));
  CHECK_FALSE(isForwarded("key-9"));
  CHECK_FALSE(isForwarded("Kumquatpitch-Workspace"));
}

TEST(WorkspaceFront, UnknownKeyIsRefusedBeforeAnyTarget) {
  useWorkspaces();
  callWith("/book/1", "Authorization: Bearer key-9\r\n");
  CHECK(runUntilReceived("HTTP/1.1 401"));
  CHECK(Forwarded_.empty());
  STRCMP_EQUAL("", logLine("key-9").c_str());
  CHECK(logLine("key_unknown").find("id=id1") != std::string::npos);
}

TEST(WorkspaceFront, WithoutWorkspacesHeadersPassAsTheyAre) {
  callWith("/book/1", "Authorization: Bearer key-9\r\n");
  CHECK(runUntilReceived("whole"));
  CHECK(isForwarded("Authorization: Bearer key-9\r\n"));
}
