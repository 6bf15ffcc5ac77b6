// Stand-in for the platform's configuration service, for tests: serves the
// files below a directory as docs/platform-protocol.md says.
//   platform-stand-in --port P --dir DIR
// Switches: POST /test/mode with body `normal`, `down` (503 on each call),
// `stale` (values as they were at the switch) or `rolled-back` (values as they
// were when the program started). GET /test/calls gives the count of calls.

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <getopt.h>
#include <httplib.h>
#include <iostream>
#include <iterator>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace {

using Values = std::map<std::string, std::string>;

constexpr std::chrono::milliseconds PollInterval{10};
constexpr std::uint64_t MaxWaitMs = 60'000;
constexpr std::size_t ServerThreads = 64;

std::string readFile(const std::filesystem::path &File) {
  std::ifstream Stream(File, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(Stream), {});
}

/// All files below `Dir` by their path, without `.json` at the end.
Values readAll(const std::filesystem::path &Dir) {
  Values All;
  for (const std::filesystem::directory_entry &Entry :
       std::filesystem::recursive_directory_iterator(Dir)) {
    if (!Entry.is_regular_file())
      continue;
    std::filesystem::path Key = Entry.path().lexically_relative(Dir);
    if (Key.extension() == ".json")
      Key.replace_extension();
    All[Key.generic_string()] = readFile(Entry.path());
  }
  return All;
}

/// Version in the document; 0 for parts and for a document without one.
std::uint64_t versionOf(const std::string &Key, const std::string &Body) {
  if (Key != "manifest" && Key != "hosts")
    return 0;
  const nlohmann::json Document = nlohmann::json::parse(Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("version") ||
      !Document["version"].is_number_unsigned())
    return 0;
  return Document["version"].get<std::uint64_t>();
}

class StandIn {
public:
  explicit StandIn(std::filesystem::path Dir)
      : Dir_(std::move(Dir)), AtStart_(readAll(Dir_)) {}

  void setMode(const std::string &Mode) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Mode_ = Mode;
    if (Mode == "stale")
      Frozen_ = readAll(Dir_);
  }

  void onRead(const httplib::Request &Request, httplib::Response &Reply) {
    ++Calls_;
    if (mode() == "down")
      Reply.status = 503;
    else if (!putValue(Request.matches[1], Reply))
      Reply.status = 404;
  }

  void onWatch(const httplib::Request &Request, httplib::Response &Reply) {
    ++Calls_;
    const std::string Key = Request.matches[1];
    const std::uint64_t After = parameter(Request, "after");
    const std::chrono::steady_clock::time_point End =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(
            std::min(parameter(Request, "wait_ms"), MaxWaitMs));
    while (true) {
      std::string Body;
      if (mode() == "down") {
        Reply.status = 503;
        return;
      }
      if (!find(Key, Body)) {
        Reply.status = 404;
        return;
      }
      if (versionOf(Key, Body) > After) {
        putValue(Key, Reply);
        return;
      }
      if (std::chrono::steady_clock::now() >= End) {
        Reply.status = 204;
        return;
      }
      std::this_thread::sleep_for(PollInterval);
    }
  }

  std::uint64_t calls() const { return Calls_; }

private:
  static std::uint64_t parameter(const httplib::Request &Request,
                                 const char *Name) {
    return std::strtoull(Request.get_param_value(Name).c_str(), nullptr, 10);
  }

  std::string mode() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Mode_;
  }

  bool find(const std::string &Key, std::string &Body) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    const Values Now = Mode_ == "stale"         ? Frozen_
                       : Mode_ == "rolled-back" ? AtStart_
                                                : readAll(Dir_);
    const Values::const_iterator It = Now.find(Key);
    if (It == Now.end())
      return false;
    Body = It->second;
    return true;
  }

  bool putValue(const std::string &Key, httplib::Response &Reply) {
    std::string Body;
    if (!find(Key, Body))
      return false;
    Reply.set_header("Kumquatpitch-Version",
                     std::to_string(versionOf(Key, Body)));
    Reply.set_content(Body, "application/json");
    return true;
  }

  const std::filesystem::path Dir_;
  const Values AtStart_;
  std::atomic<std::uint64_t> Calls_ = 0;
  std::mutex Mutex_;
  std::string Mode_ = "normal";
  Values Frozen_;
};

int serve(int Port, const std::string &Dir) {
  StandIn Platform(Dir);
  httplib::Server Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
  Server.set_tcp_nodelay(true);
  Server.Get(R"(/v1/read/([a-z0-9/-]+))",
             [&](const httplib::Request &Request, httplib::Response &Reply) {
               Platform.onRead(Request, Reply);
             });
  Server.Get(R"(/v1/watch/([a-z0-9/-]+))",
             [&](const httplib::Request &Request, httplib::Response &Reply) {
               Platform.onWatch(Request, Reply);
             });
  Server.Post("/test/mode",
              [&](const httplib::Request &Request, httplib::Response &) {
                Platform.setMode(Request.body);
              });
  Server.Get(
      "/test/calls", [&](const httplib::Request &, httplib::Response &Reply) {
        Reply.set_content(std::to_string(Platform.calls()), "text/plain");
      });
  const int Bound = Port == 0 ? Server.bind_to_any_port("127.0.0.1") : Port;
  if (Port != 0 && !Server.bind_to_port("127.0.0.1", Port))
    return 1;
  std::cout << "platform-stand-in: port " << Bound << std::endl;
  return Server.listen_after_bind() ? 0 : 1;
}

} // namespace

int main(int Argc, char **Argv) {
  static const option Options[] = {{"port", required_argument, nullptr, 'p'},
                                   {"dir", required_argument, nullptr, 'd'},
                                   {nullptr, 0, nullptr, 0}};
  int Port = 0;
  std::string Dir;
  int Option = 0;
  while ((Option = getopt_long(Argc, Argv, "", Options, nullptr)) != -1) {
    if (Option == 'p')
      Port = static_cast<int>(std::strtol(optarg, nullptr, 10));
    else if (Option == 'd')
      Dir = optarg;
    else
      return 1;
  }
  if (Dir.empty()) {
    std::cerr << "usage: platform-stand-in --port P --dir DIR\n";
    return 1;
  }
  return serve(Port, Dir);
}
