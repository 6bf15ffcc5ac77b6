// Process tests of the way from a request's id to what was unusual about its
// answer: a gateway process writes its log and serves its metrics while a
// target sends second answers, answers without a length, and parts of answers.

#include "kumquatpitch/release.h"

#include "child-process.h"
#include "raw-connection.h"
#include "soak-store.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <list>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <regex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

constexpr const char *Body = "a body of thirty-two characters.";

/// Kinds of answers. Each has a target of its own, since a host avoids a target
/// after a failure.
constexpr std::array Kinds{
    "plain", "idle",          "stray",       "skipped",     "until-close",
    "held",  "second-inside", "part-inside", "ends-inside", "status-line",
    "flood", "unprovable",    "large",       "unfinished"};

/// Small, so that few answers exceed its shares.
constexpr int HostMemoryMb = 16;
constexpr std::size_t LargeBytes = 200'000;
/// Less than the longest answer, a sixteenth of the memory; three of these
/// exceed the eighth for answers in progress.
constexpr std::size_t UnfinishedBytes = 900'000;

std::string head(const std::string &Id, const std::string &Fields) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nResponse-Seal: s\r\nServer-Load: 0,0,8\r\n" + Fields + "\r\n";
}

std::string answer(const std::string &Id, const std::string &Text) {
  return head(Id, "Content-Length: " + std::to_string(Text.size()) + "\r\n") +
         Text;
}

/// What the target writes for one request.
struct WrittenAnswer {
  std::string Bytes_;
  std::string Late_;     ///< Written once the connection is idle.
  bool IsFlood_ = false; ///< Late_ is repeated until the host closes.
  bool Ends_ = false;    ///< The target ends the connection.
};

/// The answer of a kind. `Previous` is the answer before it
/// on the same connection.
WrittenAnswer answerTo(const std::string &Kind, const std::string &Id,
                       const std::string &Previous) {
  const std::string Own = answer(Id, Body);
  const std::string Half = Own.substr(0, Own.size() - 20);
  const std::string Rest = Own.substr(Own.size() - 20);
  WrittenAnswer Answer;
  Answer.Bytes_ = Own;
  if (Kind == "idle" || Kind == "flood") {
    Answer.Late_ = Own;
    Answer.IsFlood_ = Kind == "flood";
  } else if (Kind == "stray") {
    Answer.Bytes_ = Own + Own;
  } else if (Kind == "skipped") {
    Answer.Bytes_ = Previous + Own;
  } else if (Kind == "until-close" || Kind == "unprovable") {
    Answer.Bytes_ = head(Id, "Connection: close\r\n") + Body;
    Answer.Ends_ = true;
  } else if (Kind == "large") {
    Answer.Bytes_ = answer(Id, std::string(LargeBytes, 'x'));
  } else if (Kind == "unfinished") {
    Answer.Bytes_ =
        head(Id,
             "Content-Length: " + std::to_string(UnfinishedBytes) + "\r\n") +
        Body;
  } else if (Kind == "held") {
    Answer.Bytes_ = answer(Id, "see HTTP/1.1 200 OK\r\nContent-Le");
  } else if (Kind == "second-inside") {
    Answer.Bytes_ = Half + Own;
  } else if (Kind == "part-inside") {
    Answer.Bytes_ = Half + "HTTP/1.1 20" + Rest;
  } else if (Kind == "ends-inside") {
    Answer.Bytes_ = Half + "HTTP/1.1 200 OK\r\nCon";
    Answer.Ends_ = true;
  } else if (Kind == "status-line") {
    Answer.Bytes_ = head(Id, "Connection: close\r\n") +
                    "see HTTP/1.1 200 OK\r\n\r\nand more";
    Answer.Ends_ = true;
  }
  return Answer;
}

/// Each connection has a thread.
class AnsweringTarget {
public:
  AnsweringTarget() : Listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    if (bind(Listener_, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        listen(Listener_, 64) != 0)
      throw std::runtime_error("cannot listen");
    getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port_ = ntohs(Address.sin_port);
    Acceptor_ = std::thread([this] { accept(); });
  }

  ~AnsweringTarget() {
    IsStopping_ = true;
    Acceptor_.join();
    for (std::thread &Connection : Connections_)
      Connection.join();
    close(Listener_);
  }
  AnsweringTarget(const AnsweringTarget &) = delete;
  AnsweringTarget &operator=(const AnsweringTarget &) = delete;

  int port() const { return Port_; }
  /// Connections that the host closed under a flood.
  int floodsEnded() const { return FloodsEnded_; }

  /// The caller has the answer, so that the connection is idle.
  void setAnswered(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    AnsweredIds_.insert(Id);
  }

private:
  static constexpr int PollMs = 50;

  void accept() {
    while (!IsStopping_) {
      pollfd State{Listener_, POLLIN, 0};
      if (poll(&State, 1, PollMs) <= 0)
        continue;
      const int Socket = ::accept(Listener_, nullptr, nullptr);
      const int NoDelay = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof NoDelay);
      Connections_.emplace_back([this, Socket] { serve(Socket); });
    }
  }

  void serve(int Socket) {
    std::string Input;
    std::string Previous;
    bool IsOpen = true;
    while (IsOpen && !IsStopping_) {
      pollfd State{Socket, POLLIN, 0};
      if (poll(&State, 1, PollMs) <= 0)
        continue;
      char Buffer[4'096];
      const ssize_t Size = recv(Socket, Buffer, sizeof Buffer, 0);
      if (Size <= 0)
        break;
      Input.append(Buffer, static_cast<std::size_t>(Size));
      // Requests of these tests have no body.
      if (Input.find("\r\n\r\n") == std::string::npos)
        continue;
      const std::string Id = textBetween(Input, "Request-Id: ", "\r\n");
      const WrittenAnswer Answer =
          answerTo(textBetween(Input, "/book/", "/"), Id, Previous);
      Input.clear();
      Previous = answer(Id, Body);
      IsOpen = write(Socket, Id, Answer);
    }
    close(Socket);
  }

  /// False once the connection is to be closed.
  bool write(int Socket, const std::string &Id, const WrittenAnswer &Answer) {
    if (!sendAll(Socket, Answer.Bytes_) || Answer.Ends_)
      return false;
    if (Answer.Late_.empty())
      return true;
    while (!IsStopping_ && !hasAnswered(Id))
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    if (!Answer.IsFlood_)
      return sendAll(Socket, Answer.Late_);
    while (!IsStopping_ && sendAll(Socket, Answer.Late_)) {
    }
    ++FloodsEnded_;
    return false;
  }

  bool hasAnswered(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return AnsweredIds_.count(Id) != 0;
  }

  static bool sendAll(int Socket, const std::string &Bytes) {
    return send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) >= 0;
  }

  static std::string textBetween(const std::string &Text,
                                 const std::string &Before,
                                 const std::string &Behind) {
    const std::size_t Start = Text.find(Before) + Before.size();
    return Text.substr(Start, Text.find(Behind, Start) - Start);
  }

  const int Listener_;
  int Port_ = 0;
  std::atomic<bool> IsStopping_ = false;
  std::atomic<int> FloodsEnded_ = 0;
  std::mutex Mutex_;
  std::set<std::string> AnsweredIds_;
  std::thread Acceptor_;
  /// Only the acceptor's thread adds to it.
  std::list<std::thread> Connections_;
};

/// A store with a target, a service and a route for each kind of answers,
/// served by a thread.
class StoreThread {
public:
  explicit StoreThread(const std::map<std::string, AnsweringTarget> &Targets) {
    nlohmann::json Policy = nlohmann::json::array();
    nlohmann::json Clusters = nlohmann::json::array();
    for (const std::pair<const std::string, AnsweringTarget> &Target :
         Targets) {
      Store_.put("servers/i-" + Target.first,
                 targetEntry(Target.first, Target.second.port()).dump());
      Policy.push_back(route(Target.first));
      Clusters.push_back({{"Name", Target.first}});
    }
    const nlohmann::json Config = {
        {"Version", "00000007"},
        {"Listeners", {{{"Host", "h.example"}, {"Policy", Policy}}}},
        {"Clusters", Clusters}};
    Store_.put("op/config", Config.dump());
    IsListening_ = handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(Server_.listen(
              Endpoint{"127.0.0.1", static_cast<std::uint16_t>(Port_)}, 50));
          return true;
        },
        [](const Failure &) { return false; });
    Thread_ = std::thread([this] { Context_.run(); });
  }
  ~StoreThread() {
    Context_.stop();
    Thread_.join();
  }
  StoreThread(const StoreThread &) = delete;
  StoreThread &operator=(const StoreThread &) = delete;

  int port() const { return Port_; }
  bool isListening() const { return IsListening_; }

private:
  static nlohmann::json targetEntry(const std::string &Service, int Port) {
    return {{"Address", "127.0.0.1:" + std::to_string(Port)},
            {"Info",
             {{"Service", Service},
              {"Zone", "a"},
              {"Version", "v1"},
              {"Slots", 8}}},
            {"Status", {{"State", "ready"}, {"Seq", 1}, {"ColdLeftS", 0}}},
            {"born", 1'000}};
  }

  static nlohmann::json route(const std::string &Service) {
    return {
        {"Name", Service},
        {"Kind", "non_idempotent"},
        {"GoalS", 0.5},
        {"Priority", 1},
        {"Match", {{"Prefix", "/book/" + Service + "/"}}},
        {"Action", {{"Service", Service}, {"TimeoutS", 1.5}, {"Attempts", 2}}}};
  }

  const int Port_ = freePort();
  asio::io_context Context_;
  SoakStore Store_{Context_};
  HttpServer Server_{Context_, Store_};
  bool IsListening_ = false;
  std::thread Thread_;
};

} // namespace

TEST_GROUP(AnswerLogProcess) {
  const std::filesystem::path Directory_ =
      std::filesystem::temp_directory_path() /
      ("answer-log-" + std::to_string(getpid()));
  const int FrontPort_ = freePort();
  const int MetricsPort_ = freePort();
  std::map<std::string, AnsweringTarget> Targets_;
  std::unique_ptr<StoreThread> Store_;
  std::unique_ptr<ChildProcess> Gateway_;

  void setup() override {
    std::filesystem::create_directories(Directory_);
    for (const char *Kind : Kinds)
      Targets_.try_emplace(Kind);
    Store_ = std::make_unique<StoreThread>(Targets_);
    CHECK(Store_->isListening());
    const std::string Settings = Directory_ / "host.ini";
    writeSettings(Settings);
    Gateway_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{std::string(BINARY_DIR) + "/kumquatpitch",
                                 "gateway", "--config", Settings},
        logFile());
    CHECK(waitUntil([this] { return isSuccess(call("plain", "probe")); }));
  }

  void teardown() override {
    Gateway_.reset();
    Store_.reset();
    Targets_.clear();
    if (std::getenv("KUMQUATPITCH_KEEP_FILES"))
      std::printf("files kept in %s\n", Directory_.c_str());
    else
      std::filesystem::remove_all(Directory_);
  }

  std::string logFile() const { return Directory_ / "host.log"; }

  void writeSettings(const std::string &File) const {
    const std::string Local = "127.0.0.1:";
    const std::string PeerPort = std::to_string(freePort());
    std::ofstream(File) << "[host]\nid = h0\nregion = r\nfailure_domain = a"
                        << "\naddress = 127.0.0.1"
                        << "\nmemory_mb = " << HostMemoryMb
                        << "\n[listen]\nfront = " << Local << FrontPort_
                        << "\nready = " << Local << freePort()
                        << "\ndirectory = " << Local << freePort()
                        << "\nmetrics_port = " << MetricsPort_
                        << "\n[peers]\nport = " << PeerPort
                        << "\nseeds = " << Local << PeerPort
                        << "\n[store]\naddress = " << Local << Store_->port()
                        << "\n[answers]\nwithout_length = until-close, "
                           "status-line\n";
  }

  /// Sends a request on a new connection and returns all that the caller gets.
  std::string call(const std::string &Kind, const std::string &Id) {
    const RawConnection Caller(FrontPort_);
    Caller.write("POST /book/" + Kind +
                 "/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + Id +
                 "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    std::string Got = Caller.readAll();
    Targets_.at(Kind).setAnswered(Id);
    return Got;
  }

  static std::string request(const std::string &Kind, const std::string &Id,
                             std::size_t BodyBytes = 0) {
    return "POST /book/" + Kind +
           "/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + Id +
           "\r\nContent-Length: " + std::to_string(BodyBytes) + "\r\n\r\n";
  }

  /// The first line that contains `Part`; empty if there is none within a
  /// minute.
  std::string lineWith(const std::string &Part) const {
    std::string Found;
    waitUntil([&] {
      for (const std::string &Line : logLines())
        if (Found.empty() && Line.find(Part) != std::string::npos)
          Found = Line;
      return !Found.empty();
    });
    return Found;
  }

  static bool isSuccess(const std::string &Got) {
    return Got.starts_with("HTTP/1.1 200");
  }

  std::vector<std::string> logLines() const {
    std::ifstream Log(logFile());
    std::vector<std::string> Lines;
    for (std::string Line; std::getline(Log, Line);)
      Lines.push_back(Line);
    return Lines;
  }

  /// The line of an attempt with the request's id; empty if there is none
  /// within a minute.
  std::string attemptLine(const std::string &Event, const std::string &Id)
      const {
    const std::string Mark = " info attempt " + Event + " id=" + Id + " ";
    std::string Found;
    waitUntil([&] {
      for (const std::string &Line : logLines())
        if (Line.find(Mark) != std::string::npos)
          Found = Line;
      return !Found.empty();
    });
    return Found;
  }

  std::uint64_t counter(const std::string &Name) const {
    httplib::Client Client("127.0.0.1", MetricsPort_);
    const httplib::Result Page = Client.Get("/metrics");
    const std::string Text = Page ? "\n" + Page->body : "";
    const std::string Mark = "\nkumquatpitch_" + Name + "_total ";
    const std::size_t At = Text.find(Mark);
    return At == std::string::npos ? 0
                                   : std::stoull(Text.substr(At + Mark.size()));
  }

  /// Calls for an answer of `Kind` and checks the line `Event` of the request
  /// and the counter that has to grow by one; `Counter` may be empty.
  void checkAnswer(const std::string &Kind, const std::string &Event,
                   const std::string &Part, const std::string &Counter) {
    const std::string Id = "book-" + Kind;
    const std::uint64_t Before = Counter.empty() ? 0 : counter(Counter);
    const std::string Got = call(Kind, Id);
    const bool IsFailure = Event == "broken";
    CHECK_TEXT(IsFailure ? Got.starts_with("HTTP/1.1 502") : isSuccess(Got),
               (Kind + ": " + Got).c_str());
    const std::string Line = attemptLine(Event, Id);
    CHECK_TEXT(Line.find(Part) != std::string::npos,
               (Kind + ": " + Line).c_str());
    if (!Counter.empty())
      CHECK_TEXT(waitUntil([&] { return counter(Counter) == Before + 1; }),
                 Counter.c_str());
  }
};

// Guards against an answer that was not a plain one and whose cause the log
// does not tell by the request's id, or no counter shows.
TEST(AnswerLogProcess, UnusualAnswersAreFoundByTheirId) {
  checkAnswer("idle", "idle_bytes", " response=1",
              "idle_connections_with_bytes");
  checkAnswer("stray", "success", " length 32 stray ",
              "answers_with_stray_bytes");
  checkAnswer("plain", "success", " length 32\"", "answers_length");
  CHECK(isSuccess(call("skipped", "book-first")));
  checkAnswer("skipped", "success", " length 32 skipped 1\"", "");
  CHECK(!attemptLine("skipped_responses", "book-skipped").empty());
  checkAnswer("until-close", "success", " until_close 32 announced close\"",
              "answers_until_close_announced_close");
  checkAnswer(
      "unprovable", "broken",
      "detail=\"response without a length, of which nothing proves that "
      "it is whole\"",
      "responses_unprovable");
  checkAnswer("held", "success", " held\"", "answers_held");
  checkAnswer("second-inside", "broken",
              "detail=\"second response inside the response, after ",
              "responses_cut");
  checkAnswer("part-inside", "broken",
              "detail=\"bytes follow the response that are no other one\"",
              "attempts_broken");
  checkAnswer("ends-inside", "broken",
              "detail=\"response ends inside a second one\"",
              "attempts_broken");
  checkAnswer("status-line", "broken",
              "detail=\"response without a length contains a status line\"",
              "attempts_broken");
}

// Guards against a log whose release cannot be told afterwards.
TEST(AnswerLogProcess, ReleaseIsLoggedAndOnTheMetricsPage) {
  const std::string Release = releaseId();
  const std::string Started = "daemon started release=" + Release + " ";
  const auto IsLogged = [&] {
    const std::vector<std::string> Lines = logLines();
    return std::any_of(Lines.begin(), Lines.end(),
                       [&](const std::string &Line) {
                         return Line.find(Started) != std::string::npos;
                       });
  };
  CHECK(waitUntil(IsLogged));
  const RawConnection Page(MetricsPort_);
  Page.write("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(Page.readAll().find("kumquatpitch_release_info{release=\"" + Release +
                            "\"} 1\n") != std::string::npos);
}

// Guards against a log that grows with what a target writes: it sends second
// answers on idle connections without end.
TEST(AnswerLogProcess, EndlessSecondAnswersWriteOneLineForEachConnection) {
  constexpr int Requests = 200;
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  for (int Index = 0; Index < Requests; ++Index) {
    const std::string Id = "flood-" + std::to_string(Index);
    const std::string Got = call("flood", Id);
    CHECK_TEXT(isSuccess(Got), Got.c_str());
    CHECK(waitUntil(
        [&] { return Targets_.at("flood").floodsEnded() == Index + 1; }));
  }
  const std::chrono::duration<double> Span =
      std::chrono::steady_clock::now() - Start;
  CHECK_EQUAL(Requests, counter("idle_connections_with_bytes"));
  // The next line after a full second tells of the lines left out.
  std::this_thread::sleep_for(std::chrono::milliseconds(1'100));
  call("stray", "last");
  CHECK(!attemptLine("success", "last").empty());
  std::set<std::string> Ids;
  std::size_t Lines = 0;
  std::size_t LeftOut = 0;
  for (const std::string &Line : logLines()) {
    std::smatch Found;
    if (std::regex_search(Line, Found, std::regex(" idle_bytes id=(\\S+)"))) {
      Ids.insert(Found[1]);
      ++Lines;
    }
    if (std::regex_search(Line, Found, std::regex("lines_left_out count=(.*)")))
      LeftOut += std::stoul(Found[1]);
  }
  CHECK_EQUAL(Ids.size(), Lines);
  constexpr double InfoLinesPerSecond = 60;
  CHECK(Lines <= InfoLinesPerSecond * (Span.count() + 2));
  CHECK(Lines + LeftOut >= Requests);
}

// Guards against lost answers that cannot be found by the ids of their
// requests: the caller pipelines requests and reads nothing.
TEST(AnswerLogProcess, LostAnswersOfASlowCallerAreFoundByTheirIds) {
  constexpr int Requests = 100;
  const RawConnection Caller(FrontPort_);
  std::string Bytes;
  for (int Index = 0; Index < Requests; ++Index)
    Bytes += request("large", "slow-" + std::to_string(Index));
  Caller.write(Bytes);
  const std::string Line = lineWith("request slow_caller_closed");
  std::smatch Found;
  CHECK_TEXT(std::regex_search(
                 Line, Found,
                 std::regex(" bytes=[0-9]+ address=127\\.0\\.0\\.1:[0-9]+ "
                            "responses=([0-9]+) ids=\"([^\"]+)\"$")),
             Line.c_str());
  std::istringstream Ids(Found[2]);
  std::size_t Listed = 0;
  for (std::string Id; Ids >> Id; ++Listed)
    CHECK_TEXT(Id.starts_with("slow-"), Line.c_str());
  CHECK(Listed > 0);
  CHECK(Listed <= std::stoul(Found[1]));
  CHECK(waitUntil([this] { return counter("slow_callers_closed") == 1; }));
}

// Guards against an answer that was ended for the memory of others without a
// line that says so.
TEST(AnswerLogProcess, AnswerEndedForMemoryIsFoundByItsId) {
  const RawConnection First(FrontPort_);
  const RawConnection Second(FrontPort_);
  const RawConnection Third(FrontPort_);
  First.write(request("unfinished", "unfinished-1"));
  Second.write(request("unfinished", "unfinished-2"));
  Third.write(request("unfinished", "unfinished-3"));
  const std::string Line =
      lineWith("detail=\"no memory left for responses in progress\"");
  CHECK_TEXT(Line.find(" attempt broken id=unfinished-") != std::string::npos,
             Line.c_str());
}

// Guards against a refused request whose line does not name it.
TEST(AnswerLogProcess, RejectedRequestIsFoundByItsId) {
  constexpr std::size_t HostMemoryBytes = HostMemoryMb << 20;
  const RawConnection Caller(FrontPort_);
  Caller.write(request("plain", "too-large", HostMemoryBytes));
  CHECK(!lineWith(" warning request rejected code=").empty());
  CHECK(!lineWith(" id=too-large").empty());
}
