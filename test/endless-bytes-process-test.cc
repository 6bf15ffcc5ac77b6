// Process tests of bytes without end: a gateway process has little memory while
// targets send without end in a head, a body or behind it, and callers send
// without end or do not read. ENDLESS_BYTES_CALLERS sets the callers of each
// kind, and ENDLESS_BYTES_KIND plays one kind alone.

#include "kumquatpitch/memory-shares.h"

#include "child-process.h"
#include "raw-connection.h"
#include "soak-store.h"

#include <array>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <list>
#include <map>
#include <poll.h>
#include <stdexcept>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

constexpr std::uint64_t MemoryMb = 96;
constexpr std::uint64_t MemoryBytes = MemoryMb << 20;
const MemoryShares Shares(MemoryBytes);
constexpr int SoundCallers = 4;
constexpr std::size_t SoundBytes = 20'000;
constexpr std::size_t LargeBytes = 3'000'000;

/// Kinds of targets. Each has a service of its own, since a host avoids a
/// target after a failure.
constexpr std::array Kinds{
    "fields",    "small-fields", "one-field", "until-close", "chunks", "length",
    "extension", "trailers",     "interim",   "other-ids",   "behind"};

int callers() {
  const char *Text = std::getenv("ENDLESS_BYTES_CALLERS");
  return Text ? std::atoi(Text) : 12;
}

std::string head(const std::string &Id, const std::string &Fields) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nResponse-Seal: s\r\nServer-Load: 0,0,8\r\n" + Fields;
}

std::string answer(const std::string &Id, std::size_t Bytes) {
  return head(Id, "Content-Length: " + std::to_string(Bytes) + "\r\n\r\n") +
         std::string(Bytes, 'x');
}

std::string repeated(const std::string &Text, std::size_t Times) {
  std::string All;
  for (std::size_t Index = 0; Index < Times; ++Index)
    All += Text;
  return All;
}

/// What a target or a caller sends: the start, then the rest again and again.
struct EndlessBytes {
  std::string Start_;
  std::string Rest_; ///< Empty if nothing follows.
  std::chrono::milliseconds Pause_{0};
};

EndlessBytes answerTo(const std::string &Kind, const std::string &Id) {
  const std::string Block(60'000, 'x');
  if (Kind == "fields")
    return {head(Id, ""), repeated("Field: value\r\n", 1'000)};
  // As many as a head may have, and then slowly on.
  if (Kind == "small-fields")
    return {head(Id, repeated("a:\r\n", 18'000)), "a:\r\n",
            std::chrono::milliseconds(20)};
  if (Kind == "one-field")
    return {head(Id, "Field: "), Block};
  if (Kind == "until-close")
    return {head(Id, "Connection: close\r\n\r\n"), Block};
  if (Kind == "chunks")
    return {head(Id, "Transfer-Encoding: chunked\r\n\r\n"),
            "ea60\r\n" + Block + "\r\n"};
  if (Kind == "length")
    return {head(Id, "Content-Length: 9000000000\r\n\r\n"), Block};
  if (Kind == "extension")
    return {head(Id, "Transfer-Encoding: chunked\r\n\r\n1;e="), Block};
  if (Kind == "trailers")
    return {head(Id, "Transfer-Encoding: chunked\r\n\r\n0\r\n"),
            repeated("Field: value\r\n", 1'000)};
  if (Kind == "interim")
    return {"", repeated("HTTP/1.1 103 Early Hints\r\n\r\n", 1'000)};
  if (Kind == "other-ids")
    return {"", answer("other", SoundBytes)};
  if (Kind == "behind")
    return {answer(Id, SoundBytes), Block};
  return {answer(Id, Kind == "large" ? LargeBytes : SoundBytes), ""};
}

/// Each connection has a thread.
class EndlessTarget {
public:
  EndlessTarget() : Listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    if (bind(Listener_, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        listen(Listener_, 256) != 0)
      throw std::runtime_error("cannot listen");
    getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port_ = ntohs(Address.sin_port);
    Acceptor_ = std::thread([this] { accept(); });
  }
  ~EndlessTarget() {
    IsStopping_ = true;
    Acceptor_.join();
    for (std::thread &Connection : Connections_)
      Connection.join();
    close(Listener_);
  }
  EndlessTarget(const EndlessTarget &) = delete;
  EndlessTarget &operator=(const EndlessTarget &) = delete;

  int port() const { return Port_; }

private:
  static constexpr int PollMs = 50;

  void accept() {
    while (!IsStopping_) {
      pollfd State{Listener_, POLLIN, 0};
      if (poll(&State, 1, PollMs) <= 0)
        continue;
      const int Socket = ::accept(Listener_, nullptr, nullptr);
      const timeval Timeout{1, 0};
      setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &Timeout, sizeof Timeout);
      Connections_.emplace_back([this, Socket] { serve(Socket); });
    }
  }

  void serve(int Socket) {
    std::string Input;
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
      // Requests that get this far have no body.
      if (Input.find("\r\n\r\n") == std::string::npos)
        continue;
      const EndlessBytes Answer =
          answerTo(textBetween(Input, "/book/", "/"),
                   textBetween(Input, "Request-Id: ", "\r\n"));
      Input.clear();
      IsOpen = sendAll(Socket, Answer.Start_);
      while (IsOpen && !IsStopping_ && !Answer.Rest_.empty()) {
        IsOpen = sendAll(Socket, Answer.Rest_);
        std::this_thread::sleep_for(Answer.Pause_);
      }
    }
    close(Socket);
  }

  bool sendAll(int Socket, std::string_view Bytes) const {
    while (!Bytes.empty() && !IsStopping_) {
      const ssize_t Size =
          send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Size < 0 && errno == EAGAIN)
        continue;
      if (Size <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Size));
    }
    return true;
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
  std::thread Acceptor_;
  /// Only the acceptor's thread adds to it.
  std::list<std::thread> Connections_;
};

/// A store with a target, a service and a route for each kind, and for sound
/// and large answers, served by a thread.
class StoreThread {
public:
  explicit StoreThread(int TargetPort) {
    std::vector<std::string> Services(Kinds.begin(), Kinds.end());
    Services.insert(Services.end(), {"sound", "large"});
    nlohmann::json Policy = nlohmann::json::array();
    nlohmann::json Clusters = nlohmann::json::array();
    for (const std::string &Service : Services) {
      Store_.put("servers/i-" + Service,
                 targetEntry(Service, TargetPort).dump());
      Policy.push_back(route(Service));
      Clusters.push_back({{"Name", Service}});
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
              {"Slots", 256}}},
            {"Status", {{"State", "ready"}, {"Seq", 1}, {"ColdLeftS", 0}}},
            {"born", 1'000}};
  }

  static nlohmann::json route(const std::string &Service) {
    // Faulty targets end their requests with the timeout at the latest.
    const double TimeoutS = Service == "sound" ? 10 : 1;
    return {{"Name", Service},
            {"Kind", "non_idempotent"},
            {"GoalS", 0.5},
            {"Priority", 1},
            {"Match", {{"Prefix", "/book/" + Service + "/"}}},
            {"Action",
             {{"Service", Service}, {"TimeoutS", TimeoutS}, {"Attempts", 2}}}};
  }

  const int Port_ = freePort();
  asio::io_context Context_;
  SoakStore Store_{Context_};
  HttpServer Server_{Context_, Store_};
  bool IsListening_ = false;
  std::thread Thread_;
};

std::string requestHead(const std::string &Service, const std::string &Id,
                        const std::string &Fields) {
  return "POST /book/" + Service +
         "/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + Id + "\r\n" +
         Fields;
}

/// What callers send behind the first two header fields.
const std::map<std::string, EndlessBytes> EndlessRequests{
    {"one field", {"Field: ", std::string(60'000, 'x')}},
    {"fields", {"", repeated("Field: value\r\n", 1'000)}},
    // As many as a head may have bytes, and no more.
    {"small fields", {repeated("a:\r\n", 16'000), ""}},
    {"chunks",
     {"Transfer-Encoding: chunked\r\n\r\n",
      "ea60\r\n" + std::string(60'000, 'x') + "\r\n"}},
    {"extension",
     {"Transfer-Encoding: chunked\r\n\r\n1;e=", std::string(60'000, 'x')}},
    {"trailers",
     {"Transfer-Encoding: chunked\r\n\r\n0\r\n",
      repeated("Field: value\r\n", 1'000)}}};

/// Starts `Count` threads; the destructor waits for them.
class Threads {
public:
  template <class Function> Threads(int Count, Function Run) {
    for (int Index = 0; Index < Count; ++Index)
      All_.emplace_back([Run, Index] { Run(Index); });
  }
  ~Threads() {
    for (std::thread &One : All_)
      One.join();
  }
  Threads(const Threads &) = delete;
  Threads &operator=(const Threads &) = delete;

private:
  std::list<std::thread> All_;
};

} // namespace

TEST_GROUP(EndlessBytesProcess) {
  const std::filesystem::path Directory_ =
      std::filesystem::temp_directory_path() /
      ("endless-bytes-" + std::to_string(getpid()));
  const int FrontPort_ = freePort();
  std::atomic<bool> IsSoundDone_ = false;
  std::atomic<int> SoundCalls_ = 0;
  std::atomic<int> SoundAnswers_ = 0;
  std::unique_ptr<EndlessTarget> Target_;
  std::unique_ptr<StoreThread> Store_;
  std::unique_ptr<ChildProcess> Gateway_;
  std::unique_ptr<Threads> Sound_;

  void setup() override {
    std::filesystem::create_directories(Directory_);
    Target_ = std::make_unique<EndlessTarget>();
    Store_ = std::make_unique<StoreThread>(Target_->port());
    CHECK(Store_->isListening());
    const std::string Settings = Directory_ / "host.ini";
    writeSettings(Settings);
    const char *Other = std::getenv("ENDLESS_BYTES_BINARY");
    const std::string Binary =
        Other ? Other : std::string(BINARY_DIR) + "/kumquatpitch";
    Gateway_ = std::make_unique<ChildProcess>(
        std::vector<std::string>{Binary, "gateway", "--config", Settings},
        Directory_ / "host.log");
    CHECK(waitUntil([this] { return isSound(call("sound", "probe")); }));
    Sound_ = std::make_unique<Threads>(SoundCallers, [this](int Index) {
      while (!IsSoundDone_) {
        const int Call = ++SoundCalls_;
        const std::string Id =
            "s" + std::to_string(Index) + "-" + std::to_string(Call);
        if (isSound(call("sound", Id)))
          ++SoundAnswers_;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    });
  }

  void teardown() override {
    IsSoundDone_ = true;
    Sound_.reset();
    Gateway_.reset();
    Store_.reset();
    Target_.reset();
    std::filesystem::remove_all(Directory_);
  }

  void writeSettings(const std::string &File) const {
    const std::string Local = "127.0.0.1:";
    const std::string PeerPort = std::to_string(freePort());
    std::ofstream(File) << "[host]\nid = h0\nregion = r\nfailure_domain = a"
                        << "\naddress = 127.0.0.1\nmemory_mb = " << MemoryMb
                        << "\n[listen]\nfront = " << Local << FrontPort_
                        << "\nready = " << Local << freePort()
                        << "\ndirectory = " << Local << freePort()
                        << "\n[peers]\nport = " << PeerPort
                        << "\nseeds = " << Local << PeerPort
                        << "\n[store]\naddress = " << Local << Store_->port()
                        << "\n";
  }

  std::string call(const std::string &Service, const std::string &Id) const {
    const RawConnection Caller(FrontPort_);
    Caller.write(requestHead(Service, Id,
                             "Content-Length: 0\r\nConnection: close\r\n\r\n"));
    return Caller.readAll();
  }

  static bool isSound(const std::string &Got) {
    return Got.starts_with("HTTP/1.1 200") &&
           Got.ends_with("\r\n\r\n" + std::string(SoundBytes, 'x'));
  }

  /// Most memory that the process has held.
  std::uint64_t peakBytes() const {
    std::ifstream Status("/proc/" + std::to_string(Gateway_->id()) + "/status");
    for (std::string Line; std::getline(Status, Line);)
      if (Line.starts_with("VmHWM:"))
        return std::stoull(Line.substr(6)) << 10;
    return 0;
  }

  /// The peak may reach the shares that are in use and the rest, which is for
  /// the process itself.
  void checkProcess(const std::string &What, std::uint64_t SharesInUse) {
    CHECK_TEXT(Gateway_->isRunning(), What.c_str());
    const std::uint64_t Rest = MemoryBytes / 4;
    const std::uint64_t Peak = peakBytes();
    const std::string Text = What + ": peak " + std::to_string(Peak >> 10) +
                             " KB, allowed " +
                             std::to_string((SharesInUse + Rest) >> 10) + " KB";
    std::cout << Text << "\n";
    CHECK_TEXT(Peak > 0 && Peak < SharesInUse + Rest, Text.c_str());
  }

  /// Pipelines requests for large answers and reads none of them.
  void doNotRead(int Index) const {
    constexpr int Pipelined = 16;
    const RawConnection Caller(FrontPort_);
    std::string Requests;
    for (int Request = 0; Request < Pipelined; ++Request)
      Requests += requestHead(
          "large", "l" + std::to_string(Index) + "-" + std::to_string(Request),
          "Content-Length: 0\r\n\r\n");
    Caller.write(Requests);
    std::this_thread::sleep_for(std::chrono::seconds(3));
  }

  /// Returns what the caller gets.
  std::string sendWithoutEnd(const EndlessBytes &Request, int Index) const {
    const RawConnection Caller(FrontPort_);
    Caller.write(
        requestHead("sound", "c" + std::to_string(Index), Request.Start_));
    const std::chrono::steady_clock::time_point End =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(700);
    while (!Request.Rest_.empty() && Caller.isOpen() &&
           std::chrono::steady_clock::now() < End)
      Caller.write(Request.Rest_);
    return Caller.readAll();
  }

  void checkSoundCallers() {
    IsSoundDone_ = true;
    Sound_.reset();
    CHECK(SoundCalls_ >= SoundCallers);
    CHECK_EQUAL(SoundCalls_, SoundAnswers_);
  }
};

// Guards against a process that keeps all that a target sends, and against
// requests to other services that end with it.
TEST(EndlessBytesProcess, TargetsThatSendWithoutEnd) {
  const char *Only = std::getenv("ENDLESS_BYTES_KIND");
  for (const std::string Kind : Kinds) {
    if (Only && Kind != Only)
      continue;
    std::vector<std::string> Got(static_cast<std::size_t>(callers()));
    {
      const Threads Callers(callers(), [&](int Index) {
        Got[static_cast<std::size_t>(Index)] =
            call(Kind, Kind + std::to_string(Index));
      });
    }
    for (const std::string &Answer : Got) {
      const bool IsFailure = Answer.starts_with("HTTP/1.1 5");
      // The bytes behind a whole answer are not part of it.
      CHECK_TEXT(IsFailure || (Kind == "behind" && isSound(Answer)),
                 (Kind + ": " + Answer.substr(0, 300)).c_str());
    }
    checkProcess(Kind, Shares.answers());
  }
  checkSoundCallers();
}

// Guards against responses that nobody reads.
TEST(EndlessBytesProcess, CallersThatDoNotRead) {
  {
    const Threads Callers(callers(), [this](int Index) { doNotRead(Index); });
  }
  checkProcess("callers that do not read",
               Shares.answers() + Shares.responses());
  checkSoundCallers();
}

// Guards against callers that send without end.
TEST(EndlessBytesProcess, CallersThatSendWithoutEnd) {
  for (const std::pair<const std::string, EndlessBytes> &Kind :
       EndlessRequests) {
    std::atomic<int> Refused = 0;
    {
      const Threads Callers(callers(), [&](int Index) {
        const std::string Got = sendWithoutEnd(Kind.second, Index);
        // A reset may discard the answer that came before.
        if (Got.empty() || Got.starts_with("HTTP/1.1 4") ||
            Got.starts_with("HTTP/1.1 5"))
          ++Refused;
      });
    }
    CHECK_EQUAL_TEXT(callers(), Refused, Kind.first.c_str());
    checkProcess("callers: " + Kind.first, Shares.requestBodies());
  }
  checkSoundCallers();
}

// Guards against shares of the memory that exceed it together.
TEST(EndlessBytesProcess, AllAtOnce) {
  constexpr int Rounds = 2;
  for (int Round = 0; Round < Rounds; ++Round) {
    const Threads Targets(callers(), [this](int Index) {
      call("chunks", "t" + std::to_string(Index));
    });
    const Threads Readers(callers(), [this](int Index) { doNotRead(Index); });
    const Threads Senders(callers(), [this](int Index) {
      sendWithoutEnd(EndlessRequests.at("chunks"), Index);
    });
  }
  checkProcess("all at once",
               Shares.answers() + Shares.responses() + Shares.requestBodies());
  checkSoundCallers();
}
