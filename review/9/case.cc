// Case: a target that is partitioned from the store says in its answers that it
// leaves, and ends after the drain time.

#include "../harness-2/harness.h"

#include <atomic>
#include <cstdio>

using namespace review;

/// Bounds of the deployment and dose of the disruption.
static constexpr int DrainMs = 2'000;
static constexpr int LapseMs = 4'500; ///< Three heartbeats of 1.5 s.
/// The target serves for the drain time and 1.5 s longer, then it ends.
static constexpr int LeaveMs = DrainMs + 1'500;
static constexpr int WorkMs = 160;

static const char *const Config =
    R"({"Version":"00000007","Limits":{"MaxHeaderBytes":16384,)"
    R"("MaxBodyBytes":1048576,"HeaderTimeoutS":3,"IdleTimeoutS":15},)"
    R"("Listeners":[{"Host":"desk.example","Policy":[)"
    R"({"Name":"book","Kind":"non_idempotent","GoalS":1,"Priority":1,)"
    R"("Match":{"Prefix":"/book/"},"Action":)"
    R"({"Service":"desk","TimeoutS":2.5,"Attempts":2}}]}],)"
    R"("Clusters":[{"Name":"desk","HealthPath":"/healthz","MaxConns":390,)"
    R"("Protocol":"h1","Tls":false}]})";

static bool holdsRule(Record &Log, const std::string &Folder, bool HasTrouble) {
  Store Platform;
  std::mutex Mutex;
  std::map<std::string, std::int64_t> SentAt;
  std::atomic<std::int64_t> PassedOnAt{-1}; // First answer with Server-Leaving.
  std::atomic<int> Late{0};
  std::vector<std::unique_ptr<Target>> Targets;
  for (int Number = 1; Number <= 4; ++Number) {
    TargetOptions Options;
    Options.Id_ = "i-" + std::to_string(Number);
    Options.Service_ = "desk";
    Options.WorkMs_ = WorkMs;
    Targets.push_back(std::make_unique<Target>(Options, Log));
    Platform.put("servers/" + Targets.back()->id(), Targets.back()->entry());
  }
  Target &Leaving = *Targets.front();
  Leaving.onRun([&](const TargetRequest &Request) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::int64_t Passed = PassedOnAt;
    if (Passed < 0 || SentAt[Request.Id_] <= Passed + DrainMs)
      return;
    ++Late;
    Log.line("  " + Request.Id_ + " was sent " +
             std::to_string(SentAt[Request.Id_] - Passed) +
             " ms after the host had passed on that " + Leaving.id() +
             " leaves");
  });
  Platform.put("op/config", Config);
  HostOptions Options;
  Options.Name_ = "edge-1";
  Options.Address_ = loopback(2);
  Options.Seeds_ = loopback(2) + ":8186";
  Options.Store_ = Platform.endpoint();
  Options.PeerPort_ = freePort(loopback(2));
  Host Edge(Options, Folder);
  Edge.start();
  Edge.awaitReady();

  std::atomic<bool> IsDone{false};
  std::atomic<int> Lost{0};
  std::atomic<int> Served{0};
  std::vector<std::thread> Callers;
  for (int Caller = 1; Caller <= 8; ++Caller)
    Callers.emplace_back([&, Caller] {
      Socket Connection;
      for (int Number = 1; !IsDone; ++Number) {
        if (!Connection.isOpen())
          Connection = connectTo(Edge.address(), Edge.front());
        const std::string Id =
            "c" + std::to_string(Caller) + "-" + std::to_string(Number);
        {
          const std::lock_guard<std::mutex> Lock(Mutex);
          SentAt[Id] = nowMs();
        }
        Connection.send("POST /book/slot HTTP/1.1\r\nHost: desk.example\r\n"
                        "Request-Id: " +
                        Id +
                        "\r\nDeadline-Ms: 2500\r\n"
                        "Content-Length: 4\r\n\r\nslot");
        Message Answer;
        const bool IsAnswered = Connection.readMessage(Answer, 3'000);
        if (IsAnswered && Answer.has("Server-Leaving") && PassedOnAt < 0) {
          PassedOnAt = nowMs();
          Log.line("the host has passed on an answer with Server-Leaving");
        }
        const bool IsServed =
            IsAnswered && Answer.StartLine_.find(" 200 ") != std::string::npos;
        ++(IsServed ? Served : Lost);
        if (!IsServed) {
          const std::map<std::string, int> Runs = Leaving.runs();
          Log.line("caller got \"" +
                   (IsAnswered ? Answer.StartLine_ : "no answer") + "\" to " +
                   Id +
                   (Runs.count(Id) ? ", which ran at the leaving target" : ""));
          Connection.close();
        }
        sleepMs(20);
      }
    });
  sleepMs(2'000);

  const std::int64_t LeavesAt = nowMs();
  Log.line(Leaving.id() + " leaves");
  Leaving.setExtra({{"Server-Leaving", "1"}});
  if (HasTrouble)
    Log.line(Leaving.id() + " is partitioned from the store");
  else
    Platform.put("servers/" + Leaving.id(), Leaving.entry("draining"));
  sleepMs(LeavesAt + LeaveMs - nowMs());
  Log.line(Leaving.id() + " ends with " + std::to_string(Leaving.running()) +
           " requests at work");
  Leaving.end();
  sleepMs(LeavesAt + LapseMs - nowMs());
  Platform.remove("servers/" + Leaving.id());
  Log.line("the entry of " + Leaving.id() + " has gone");
  sleepMs(1'500);
  IsDone = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  Log.line(std::to_string(Served) + " served, " + std::to_string(Lost) +
           " not served, " + std::to_string(Late) +
           " sent later than the drain time reached the leaving target");
  if (PassedOnAt < 0)
    throw CannotRun{"no answer with Server-Leaving was passed on"};
  return Late == 0;
}

int main(int Argc, char **Argv) { return runCase(Argc, Argv, holdsRule); }
