// Process test of responses without a valid status: callers of a gateway
// process get 502 at once, or the answer of another target where the request
// may be repeated.

#include "child-process.h"
#include "composed-target.h"
#include "odd-status-lines.h"
#include "raw-connection.h"
#include "soak-store.h"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

/// Where the response without a valid status stands.
enum class Place : std::uint8_t { Alone, BehindInterim, BehindLate };

/// A service whose first target answers with a status line. A host avoids a
/// target after a failure, so that each case has its own.
struct StatusCase {
  std::string Service_;
  std::string StatusLine_;
  Place Place_ = Place::Alone;
  /// Its requests may be repeated, and it has a second target, which is sound.
  bool MayRepeat_ = false;
};

constexpr std::array ShortList{"000 Zero", "0200 OK", "600 X",
                               "101 Switching Protocols"};

std::vector<StatusCase> statusCases() {
  std::vector<StatusCase> Cases;
  const auto Add = [&](const char *StatusLine, Place Where, bool MayRepeat) {
    Cases.push_back(StatusCase{"case" + std::to_string(Cases.size()),
                               StatusLine, Where, MayRepeat});
  };
  for (const char *StatusLine : OddStatusLines)
    Add(StatusLine, Place::Alone, false);
  for (const char *StatusLine : ShortList) {
    Add(StatusLine, Place::BehindInterim, false);
    Add(StatusLine, Place::BehindLate, false);
    Add(StatusLine, Place::Alone, true);
  }
  return Cases;
}

/// The answers of one target. Requests whose id ends with `-first` get sound
/// ones.
class StatusAnswers : public AnswerSource {
public:
  StatusAnswers(const StatusCase &Case, bool IsSound)
      : Case_(Case), IsSound_(IsSound) {}

  const ComposedHeaders &headers() const override { return Headers_; }

  ComposedAnswer compose(const std::string &Id,
                         const std::string &OlderId) override {
    std::string Bytes = soundAnswer(Id);
    if (!IsSound_ && !Id.ends_with("-first"))
      Bytes = before(OlderId) + withStatusLine(Bytes, Case_.StatusLine_);
    ComposedAnswer Answer;
    Answer.Writes_.push_back(ComposedWrite{{}, Bytes});
    return Answer;
  }

private:
  static std::string soundAnswer(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
           "\r\nResponse-Seal: s\r\nContent-Length: 4\r\n\r\nbody";
  }

  std::string before(const std::string &OlderId) const {
    switch (Case_.Place_) {
    case Place::BehindInterim:
      return "HTTP/1.1 103 Early Hints\r\n\r\n";
    case Place::BehindLate:
      return soundAnswer(OlderId);
    case Place::Alone:
      break;
    }
    return "";
  }

  const StatusCase Case_;
  const bool IsSound_;
  const ComposedHeaders Headers_{"Request-Id", "Request-Id", "Response-Seal"};
};

/// The targets of all cases and a store that names them, served by a thread.
class StatusSurroundings {
public:
  explicit StatusSurroundings(const std::vector<StatusCase> &Cases) {
    nlohmann::json Policy = nlohmann::json::array();
    nlohmann::json Clusters = nlohmann::json::array();
    for (const StatusCase &Case : Cases) {
      addTarget(Case, false);
      if (Case.MayRepeat_)
        addTarget(Case, true);
      Policy.push_back(route(Case));
      Clusters.push_back({{"Name", Case.Service_}});
    }
    const nlohmann::json Config = {
        {"Version", "00000007"},
        {"Listeners", {{{"Host", "h.example"}, {"Policy", Policy}}}},
        {"Clusters", Clusters}};
    Store_.put("op/config", Config.dump());
    IsListening_ = handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(Server_.listen(
              Endpoint{"127.0.0.1", static_cast<std::uint16_t>(StorePort_)},
              50));
          return true;
        },
        [](const Failure &) { return false; });
    Thread_ = std::thread([this] { Context_.run(); });
  }
  ~StatusSurroundings() {
    Context_.stop();
    Thread_.join();
  }
  StatusSurroundings(const StatusSurroundings &) = delete;
  StatusSurroundings &operator=(const StatusSurroundings &) = delete;

  int storePort() const { return StorePort_; }
  bool isListening() const { return IsListening_; }

private:
  void addTarget(const StatusCase &Case, bool IsSound) {
    Answers_.push_back(std::make_unique<StatusAnswers>(Case, IsSound));
    Targets_.push_back(std::make_unique<ComposedTarget>(*Answers_.back()));
    const nlohmann::json Entry = {
        {"Address", "127.0.0.1:" + std::to_string(Targets_.back()->port())},
        {"Info",
         {{"Service", Case.Service_},
          {"Zone", "a"},
          {"Version", "v1"},
          {"Slots", 8}}},
        {"Status", {{"State", "ready"}, {"Seq", 1}, {"ColdLeftS", 0}}},
        {"born", 1'000}};
    Store_.put("servers/i-" + std::to_string(Targets_.size()), Entry.dump());
  }

  static nlohmann::json route(const StatusCase &Case) {
    return {{"Name", Case.Service_},
            {"Kind", Case.MayRepeat_ ? "idempotent" : "non_idempotent"},
            {"GoalS", 0.5},
            {"Priority", 1},
            {"Match", {{"Prefix", "/" + Case.Service_ + "/"}}},
            {"Action",
             {{"Service", Case.Service_}, {"TimeoutS", 5}, {"Attempts", 2}}}};
  }

  const int StorePort_ = freePort();
  asio::io_context Context_;
  std::vector<std::unique_ptr<StatusAnswers>> Answers_;
  std::vector<std::unique_ptr<ComposedTarget>> Targets_;
  SoakStore Store_{Context_};
  HttpServer Server_{Context_, Store_};
  bool IsListening_ = false;
  std::thread Thread_;
};

} // namespace

TEST_GROUP(StatusLinesProcess) {
  const std::filesystem::path Directory_ =
      std::filesystem::temp_directory_path() /
      ("status-lines-" + std::to_string(getpid()));
  const int FrontPort_ = freePort();

  void setup() override { std::filesystem::create_directories(Directory_); }
  void teardown() override { std::filesystem::remove_all(Directory_); }

  std::string writeSettings(int StorePort) const {
    const std::string Local = "127.0.0.1:";
    const std::string PeerPort = std::to_string(freePort());
    std::string File = Directory_ / "host.ini";
    std::ofstream(File) << "[host]\nid = h0\nregion = r\nfailure_domain = a"
                        << "\naddress = 127.0.0.1"
                        << "\n[listen]\nfront = " << Local << FrontPort_
                        << "\nready = " << Local << freePort()
                        << "\ndirectory = " << Local << freePort()
                        << "\nmetrics_port = " << freePort()
                        << "\n[peers]\nport = " << PeerPort
                        << "\nseeds = " << Local << PeerPort
                        << "\n[store]\naddress = " << Local << StorePort
                        << "\n";
    return File;
  }

  /// The first line that the caller gets.
  std::string call(const StatusCase &Case, const std::string &Id) const {
    const RawConnection Caller(FrontPort_);
    Caller.write((Case.MayRepeat_ ? "GET /" : "POST /") + Case.Service_ +
                 "/1 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + Id +
                 "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    const std::string Got = Caller.readAll();
    return Got.substr(0, Got.find("\r\n"));
  }

  std::string logText() const {
    std::stringstream Text;
    Text << std::ifstream(Directory_ / "host.log").rdbuf();
    return Text.str();
  }
};

// Guards against passing such a response on, and against waiting behind it for
// another one until the end of the route's time (504).
TEST(StatusLinesProcess, ResponsesWithoutAValidStatusAreFailures) {
  const std::vector<StatusCase> Cases = statusCases();
  const StatusSurroundings Surroundings(Cases);
  CHECK(Surroundings.isListening());
  const std::string Settings = writeSettings(Surroundings.storePort());
  const ChildProcess Gateway({std::string(BINARY_DIR) + "/kumquatpitch",
                              "gateway", "--config", Settings},
                             Directory_ / "host.log");
  // The first requests of all cases also leave a connection for the next.
  for (const StatusCase &Case : Cases)
    CHECK_TEXT(waitUntil([&] {
                 return call(Case, Case.Service_ + "-first") ==
                        "HTTP/1.1 200 OK";
               }),
               Case.Service_.c_str());
  for (const StatusCase &Case : Cases) {
    const std::string Id = Case.Service_ + "-odd";
    const std::string Expected =
        Case.MayRepeat_ ? "HTTP/1.1 200 OK" : "HTTP/1.1 502 Bad Gateway";
    const std::string Got = call(Case, Id);
    CHECK_TEXT(Got == Expected,
               (Case.Service_ + ", " + Case.StatusLine_ + ": " + Got).c_str());
  }
  const std::string Line =
      "attempt broken id=" + Cases.front().Service_ + "-odd ";
  CHECK(waitUntil([&] {
    const std::string Text = logText();
    const std::size_t At = Text.find(Line);
    return At != std::string::npos &&
           Text.substr(At, Text.find('\n', At) - At)
                   .find("detail=\"response without a valid status\"") !=
               std::string::npos;
  }));
}
