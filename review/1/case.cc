// Servers send late second answers that have no length and end with their
// connection, at the point where the answer to another request is due.
#include "../common/harness.h"

#include <random>

using namespace review;

namespace {

// Largest doses of `garble` with `extra late` in the site file.
constexpr int Servers = 5, AffectedServers = 3; ///< share = 0.6
constexpr double AnswersShare = 0.03;           ///< x
constexpr int TroubleMs = 5000;                 ///< for_s = 5.0
constexpr int CalmMs = 3000, Windows = 4;
/// A server refuses one request in this many as full: the load of other hosts.
constexpr int RefusalPeriod = 20;

std::mutex Mutex;
std::map<std::string, int> Runs;               ///< By request id.
std::map<std::string, std::string> ServedBody; ///< What the server made for it.
bool IsTroubled = false;                       ///< A window of trouble is open.
int Arrivals = 0;
long Answers = 0, Copies = 0; ///< Of the affected servers, in all windows.
std::atomic<bool> IsOver = false;

std::string bodyFor(const Incoming &Request) {
  return "answer of " + Request.Path + " to " + Request.Id + "\n";
}

std::string refusal(const std::string &RequestId, bool HasLength) {
  return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + RequestId +
         "\r\nNot-Executed: 1\r\n" +
         (HasLength ? "Keep-Alive: timeout=10\r\nContent-Length: 0\r\n" : "") +
         "\r\n";
}

/// Whether this answer of an affected server gets a second copy. Copies of
/// successes and of refusals take turns.
bool getsCopy(bool IsRefusal) {
  if (!IsTroubled)
    return false;
  ++Answers;
  if (static_cast<double>(Copies + 1) >
          AnswersShare * static_cast<double>(Answers) ||
      IsRefusal != (Copies % 2 == 1))
    return false;
  ++Copies;
  return true;
}

/// Serves one connection. A copy is sent when the next request on the
/// connection has come in and runs; since it has no length, the connection
/// ends with it.
void serve(const std::string &Server, bool IsAffected, Connection &Link) {
  Incoming Request;
  std::string Copy, CopyId;
  while (Backend::readRequest(Link, Request)) {
    bool IsRefusal = false;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      IsRefusal = Copy.empty() && ++Arrivals % RefusalPeriod == 0;
      if (!IsRefusal) {
        ++Runs[Request.Id];
        ServedBody[Request.Id] = bodyFor(Request);
      }
    }
    const std::string Body = bodyFor(Request);
    if (IsRefusal) {
      RECORD("server %s: full, refuses %s", Server.c_str(), Request.Id.c_str());
    } else {
      RECORD("server %s: runs %s %s", Server.c_str(), Request.Method.c_str(),
             Request.Id.c_str());
      sleepMs(40);
    }
    if (!Copy.empty()) {
      RECORD("server %s: second answer to %s where that to %s is due, then end "
             "of the connection",
             Server.c_str(), CopyId.c_str(), Request.Id.c_str());
      Link.write(Copy);
      return;
    }
    if (!Link.write(IsRefusal ? refusal(Request.Id, true)
                              : Backend::answer(Request.Id, Body)))
      return;
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (hasTrouble() && IsAffected && getsCopy(IsRefusal)) {
      Copy = IsRefusal ? refusal(Request.Id, false)
                       : Backend::answer(Request.Id, Body, false);
      CopyId = Request.Id;
    }
  }
}

struct Counts {
  int Sent = 0, Served = 0, Foreign = 0, Twice = 0, FalseRefusal = 0;
};

/// One caller: sends a request about every 150 ms, each on a new connection.
void callAll(int Port, int Number, std::vector<std::string> &NotIdempotent,
             std::map<std::string, int> &Statuses, Counts &Sum) {
  std::mt19937 Random(static_cast<unsigned>(Number));
  for (int Index = 0; !IsOver; ++Index) {
    const bool IsPost = Random() % 10 < 7;
    char Id[40];
    std::snprintf(Id, sizeof Id, "%s-%02d-%04d", IsPost ? "book" : "look",
                  Number, Index);
    const std::string Path = IsPost ? "/book/a" : "/look/a";
    const std::shared_ptr<Connection> Link = dial(Port);
    if (!Link)
      continue;
    Link->readTimeout(4000);
    RECORD("caller %d: sends %s %s", Number, IsPost ? "POST" : "GET", Id);
    Link->write((IsPost ? "POST " : "GET ") + Path +
                " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + Id +
                "\r\nDeadline-Ms: 2000\r\n" +
                (IsPost ? "Content-Length: 5\r\n\r\nitem\n" : "\r\n"));
    std::string Head, Body;
    bool IsWhole = false;
    if (Link->readHead(Head))
      IsWhole = Link->readBody(
          std::strtoul(header(Head, "Content-Length").c_str(), nullptr, 10),
          Body);
    const int Status = statusOf(Head);
    RECORD("caller %d: %s got status %d: %s", Number, Id, Status,
           Body.substr(0, Body.find('\n')).c_str());
    const std::lock_guard<std::mutex> Lock(Mutex);
    ++Sum.Sent;
    if (IsPost) {
      NotIdempotent.push_back(Id);
      Statuses[Id] = Status;
    }
    const bool IsSuccess = Status >= 200 && Status < 300 && IsWhole;
    Sum.Served += IsSuccess;
    if (IsSuccess && Body != ServedBody[Id]) {
      ++Sum.Foreign;
      RECORD("MIXED: %s got a success that belongs to another request", Id);
    }
    Mutex.unlock();
    sleepMs(100 + static_cast<int>(Random() % 100));
    Mutex.lock();
  }
}

} // namespace

int main(int Argc, char **Argv) {
  const std::string Folder = begin(Argc, Argv);
  Store Platform;
  Platform.put(
      "op/config",
      config("shop.example",
             {route("r-look", "/look/", "seats", "idempotent", 2, 2, 1),
              route("r-book", "/book/", "seats", "non_idempotent", 2, 2, 1)},
             {"seats"}));
  std::vector<std::unique_ptr<Backend>> All;
  for (int Index = 0; Index < Servers; ++Index) {
    const std::string Id = "i-seat" + std::to_string(Index);
    All.push_back(
        std::make_unique<Backend>(Platform, Id, "seats", "zone-1", 4,
                                  [Id, IsAffected = Index < AffectedServers](
                                      std::shared_ptr<Connection> Link) {
                                    serve(Id, IsAffected, *Link);
                                  }));
  }
  Host Gateway("edge-1", "zone-1", Platform, standardBounds(), Folder);
  Gateway.awaitReady();
  Counts Sum;
  std::vector<std::string> NotIdempotent;
  std::map<std::string, int> Statuses;
  std::vector<std::thread> Callers;
  for (int Number = 0; Number < 16; ++Number)
    Callers.emplace_back([&, Number] {
      callAll(Gateway.FrontPort, Number, NotIdempotent, Statuses, Sum);
    });
  for (int Window = 0; Window < Windows; ++Window) {
    sleepMs(CalmMs);
    RECORD("window of trouble opens");
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      IsTroubled = true;
    }
    sleepMs(TroubleMs);
    const std::lock_guard<std::mutex> Lock(Mutex);
    IsTroubled = false;
    RECORD("window of trouble closes");
  }
  sleepMs(CalmMs);
  IsOver = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  for (const std::string &Id : NotIdempotent) {
    if (Runs[Id] > 1) {
      ++Sum.Twice;
      RECORD("TWICE: %s is not idempotent and ran %d times", Id.c_str(),
             Runs[Id]);
    }
    if (Statuses[Id] == 503 && Runs[Id] > 0) {
      ++Sum.FalseRefusal;
      RECORD("REFUSED: %s was answered 503 and ran %d times", Id.c_str(),
             Runs[Id]);
    }
  }
  RECORD("%d requests, %d served; affected servers gave %ld answers and %ld "
         "copies in the windows",
         Sum.Sent, Sum.Served, Answers, Copies);
  if (!Gateway.isRunning())
    leave(1, "the host's process has ended");
  const std::string Found = std::to_string(Sum.Foreign) + " MIXED, " +
                            std::to_string(Sum.Twice) + " TWICE, " +
                            std::to_string(Sum.FalseRefusal) + " REFUSED, of " +
                            std::to_string(Sum.Sent) + " requests";
  if (Sum.Foreign + Sum.Twice + Sum.FalseRefusal > 0)
    leave(1, Found);
  if (Sum.Served * 10 < Sum.Sent * 8)
    abandon("less than four fifths of the requests were served");
  leave(0, Found);
}
