// A planned stop while callers send further idempotent requests on their
// connections before the first has been answered.
#include "../common/harness.h"

using namespace review;

namespace {

constexpr std::size_t PackBytes = 540'000; ///< Largest answer of the site.
std::mutex RunMutex;
std::map<std::string, double> RanAt; ///< When a server began to work on it.

void serve(Connection &Link) {
  Incoming Request;
  while (Backend::readRequest(Link, Request)) {
    {
      const std::lock_guard<std::mutex> Lock(RunMutex);
      RanAt.emplace(Request.Id, seconds());
    }
    RECORD("server: runs %s", Request.Id.c_str());
    sleepMs(60);
    const bool IsPack = Request.Path.rfind("/pack/", 0) == 0;
    if (!Link.write(Backend::answer(
            Request.Id, std::string(IsPack ? PackBytes : 400, 'p')))) {
      RECORD("server: the host dropped %s", Request.Id.c_str());
      return;
    }
  }
}

struct Call {
  std::string Id;
  bool IsAnswered = false;
};

std::string requestText(const std::string &Path, const std::string &Id) {
  return "GET " + Path +
         " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + Id +
         "\r\nDeadline-Ms: 2000\r\n\r\n";
}

/// A caller with one connection on which it sends pairs of requests: the second
/// one follows before the first is answered. It stops when an answer says that
/// the connection closes.
class Caller {
public:
  /// Sends `First` and, `GapMs` later, `Second`; with a gap of 0 both at once.
  void run(int Port, std::string Name, std::string First, std::string Second,
           int GapMs, int PauseMs, Clock::time_point Until) {
    const std::shared_ptr<Connection> Link = dial(Port);
    if (!Link)
      return;
    Link->readTimeout(6000);
    std::thread Sender([&] {
      for (int Pair = 0; Clock::now() < Until; ++Pair) {
        const std::string Number = std::to_string(Pair);
        if (GapMs == 0) {
          const std::string One = note(Name + "-" + Number + "a", Name);
          const std::string Two =
              One.empty() ? "" : note(Name + "-" + Number + "b", Name);
          if (Two.empty())
            return;
          Link->write(requestText(First, One) + requestText(Second, Two));
        } else {
          const std::string One = note(Name + "-" + Number + "a", Name);
          if (One.empty())
            return;
          Link->write(requestText(First, One));
          sleepMs(GapMs);
          const std::string Two = note(Name + "-" + Number + "b", Name);
          if (Two.empty())
            return;
          Link->write(requestText(Second, Two));
        }
        sleepMs(PauseMs);
      }
    });
    std::string Head;
    for (std::size_t Next = 0; Link->readHead(Head); ++Next) {
      {
        const std::lock_guard<std::mutex> Lock(Mutex_);
        if (header(Head, "Connection") == "close") {
          SawClose_ = true;
          RECORD("%s: an answer says that the connection closes", Name.c_str());
        }
      }
      std::string Body;
      if (!Link->readBody(
              std::strtoul(header(Head, "Content-Length").c_str(), nullptr, 10),
              Body))
        break;
      const std::lock_guard<std::mutex> Lock(Mutex_);
      if (Next >= Calls_.size())
        break;
      Calls_[Next].IsAnswered = true; // Answers come in the requests' order.
      RECORD("%s: got status %d for %s", Name.c_str(), statusOf(Head),
             Calls_[Next].Id.c_str());
    }
    RECORD("%s: the connection has ended", Name.c_str());
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      SawClose_ = true;
    }
    Sender.join();
  }

  const std::vector<Call> &calls() const { return Calls_; }

private:
  /// Notes a request that is sent now; "" if no more may be sent.
  std::string note(const std::string &Id, const std::string &Name) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    if (SawClose_)
      return "";
    Calls_.push_back(Call{Id, false});
    RECORD("%s: sends %s", Name.c_str(), Id.c_str());
    return Id;
  }

  std::mutex Mutex_;
  std::vector<Call> Calls_;
  bool SawClose_ = false;
};

} // namespace

int main(int Argc, char **Argv) {
  const std::string Folder = begin(Argc, Argv);
  Store Platform;
  Platform.put(
      "op/config",
      config("shop.example",
             {route("r-pack", "/pack/", "packs", "download", 2, 2, 0.8),
              route("r-look", "/look/", "packs", "idempotent", 2, 2, 1)},
             {"packs"}));
  std::vector<std::unique_ptr<Backend>> Servers;
  for (int Index = 0; Index < 6; ++Index)
    Servers.push_back(std::make_unique<Backend>(
        Platform, "i-pack" + std::to_string(Index), "packs", "zone-1", 4,
        [](std::shared_ptr<Connection> Link) { serve(*Link); }));
  Host Gateway("edge-1", "zone-1", Platform, standardBounds(), Folder);
  Gateway.awaitReady();
  // A link of 10 Mbit/s and 8 ms one way for each caller.
  Link Road(Gateway.FrontPort, 8, 10);
  sleepMs(3500); // StableS without any disturbance.
  const Clock::time_point Until =
      Clock::now() + std::chrono::milliseconds(2600);
  constexpr int PairCallers = 4, PackCallers = 6;
  std::vector<Caller> Callers(PairCallers + PackCallers);
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < PairCallers + PackCallers; ++Index)
    Threads.emplace_back([&, Index] {
      sleepMs(100 * Index);
      // Pairs sent at once: the first names a path that no route matches, and
      // is answered 404 at once. The others fetch large answers one behind the
      // other, with a gap of about the time that one takes.
      if (Index < PairCallers)
        Callers[Index].run(Road.port(), "pair" + std::to_string(Index),
                           "/gone/a", "/look/a", 0, 500, Until);
      else
        Callers[Index].run(Road.port(), "pack" + std::to_string(Index),
                           "/pack/a", "/pack/b", 68, 1500, Until);
    });
  sleepMs(900);
  const double StopAt = seconds();
  if (hasTrouble()) {
    RECORD("SIGTERM to the host");
    Gateway.signal(SIGTERM);
  }
  sleepMs(8000);
  RECORD("host %s", Gateway.isRunning() ? "still runs" : "has ended");
  Gateway.finish();
  for (std::thread &Thread : Threads)
    Thread.join();
  int Lost = 0, Served = 0;
  for (const Caller &One : Callers)
    for (const Call &Request : One.calls()) {
      const std::lock_guard<std::mutex> Lock(RunMutex);
      const auto Ran = RanAt.find(Request.Id);
      Served += Request.IsAnswered && Ran != RanAt.end();
      if (!Request.IsAnswered && Ran != RanAt.end()) {
        ++Lost;
        RECORD("LOST: %s ran %.3f s after the signal; its caller got no answer",
               Request.Id.c_str(), Ran->second - StopAt);
      }
    }
  if (Lost > 0)
    leave(1, std::to_string(Lost) + " requests ran and were never answered");
  if (Served == 0)
    abandon("no request was served");
  leave(0, "each request that ran was answered: " + std::to_string(Served));
}
