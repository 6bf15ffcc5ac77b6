// Case: a caller removes the workspace from its request by naming the header in
// Connection.

#include "../harness-2/harness.h"

#include <atomic>

using namespace review;

static const char *const Config =
    R"({"Version":"00000007","Limits":{"MaxHeaderBytes":16384,)"
    R"("MaxBodyBytes":1048576,"HeaderTimeoutS":3,"IdleTimeoutS":15},)"
    R"("Tenants":[{"Name":"tenant-a","ApiKeys":["key-of-a"],"Priority":0},)"
    R"({"Name":"tenant-b","ApiKeys":["key-of-b"],"Priority":0}],)"
    R"("Listeners":[{"Host":"desk.example","Policy":[)"
    R"({"Name":"book","Kind":"non_idempotent","GoalS":1,"Priority":1,)"
    R"("Public":false,"Match":{"Prefix":"/book/"},"Action":)"
    R"({"Service":"desk","TimeoutS":2.5,"Attempts":2}}]}],)"
    R"("Clusters":[{"Name":"desk","HealthPath":"/healthz","MaxConns":390,)"
    R"("Protocol":"h1","Tls":false}]})";

static bool holdsRule(Record &Log, const std::string &Folder, bool HasTrouble) {
  std::atomic<int> Wrong{0};
  std::atomic<int> Ran{0};
  Store Platform;
  std::vector<std::unique_ptr<Target>> Targets;
  for (int Number = 1; Number <= 3; ++Number) {
    TargetOptions Options;
    Options.Id_ = "i-" + std::to_string(Number);
    Options.Service_ = "desk";
    Targets.push_back(std::make_unique<Target>(Options, Log));
    Targets.back()->onRun([&](const TargetRequest &Request) {
      const std::string Tenant = Request.Message_.header("Tenant");
      Log.line("  " + Request.Id_ + " has Tenant \"" + Tenant +
               "\", Deadline-Ms \"" + Request.Message_.header("Deadline-Ms") +
               "\", Target-Instance \"" +
               Request.Message_.header("Target-Instance") + "\"");
      ++Ran;
      if (Tenant != "tenant-a")
        ++Wrong;
    });
    Platform.put("servers/" + Targets.back()->id(), Targets.back()->entry());
  }
  Platform.put("op/config", Config);
  HostOptions Options;
  Options.Name_ = "edge-1";
  Options.Address_ = loopback(2);
  Options.Seeds_ = loopback(2) + ":8186";
  Options.Store_ = Platform.endpoint();
  Options.PeerPort_ = freePort(loopback(2));
  Options.HasTenants_ = true;
  Host Edge(Options, Folder);
  Edge.start();
  Edge.awaitReady();
  int Succeeded = 0;
  for (int Number = 1; Number <= 20; ++Number) {
    Socket Caller = connectTo(Edge.address(), Edge.front());
    const std::string Id = "request-" + std::to_string(Number);
    std::string Text = "POST /book/slot HTTP/1.1\r\nHost: desk.example\r\n"
                       "Request-Id: " +
                       Id +
                       "\r\nDeadline-Ms: 2500\r\n"
                       "Authorization: Bearer key-of-a\r\n";
    Text += HasTrouble ? "Connection: keep-alive, Tenant\r\n"
                       : "Connection: keep-alive\r\n";
    Text += "Content-Length: 4\r\n\r\nslot";
    Caller.send(Text);
    Message Answer;
    const bool IsAnswered = Caller.readMessage(Answer, 3'000);
    Log.line("caller of tenant-a sent " + Id + ", got \"" +
             (IsAnswered ? Answer.StartLine_ : "no answer") + "\"");
    Succeeded +=
        IsAnswered && Answer.StartLine_.find(" 200 ") != std::string::npos;
  }
  Log.line(std::to_string(Ran) + " ran, " + std::to_string(Succeeded) +
           " succeeded, " + std::to_string(Wrong) +
           " ran without the tenant that holds the key");
  if (Ran == 0)
    throw CannotRun{"no request ran"};
  return Wrong == 0;
}

int main(int Argc, char **Argv) { return runCase(Argc, Argv, holdsRule); }
