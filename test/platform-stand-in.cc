// A stand-in for the platform's configuration service in tests. It serves the
// files below a directory by the protocol in docs/platform-protocol.md.
//   platform-stand-in --port P --dir DIR
//   POST /test/mode   The body is the new mode.
//   GET  /test/calls  Number of read and watch calls so far.
// Modes:
//   normal       serves the current files
//   down         answers each call with status 503
//   stale        serves the files as they were when the mode was set
//   rolled-back  serves the files as they were when the program started

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

/// Reads all files below `Dir`. The keys are their relative paths without a
/// trailing `.json`.
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

/// Returns the version in the body of `manifest` or `hosts`; 0 for other keys
/// and for a body without a version.
std::uint64_t documentVersion(const std::string &Key, const std::string &Body) {
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
      : Dir_(std::move(Dir)), ValuesAtStart_(readAll(Dir_)) {}

  void setMode(const std::string &Mode) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Mode_ = Mode;
    if (Mode == "stale")
      StaleValues_ = readAll(Dir_);
  }

  void handleRead(const httplib::Request &Request,
                  httplib::Response &Response) {
    ++Calls_;
    if (mode() == "down")
      Response.status = 503;
    else if (!respondWithValue(Request.matches[1], Response))
      Response.status = 404;
  }

  void handleWatch(const httplib::Request &Request,
                   httplib::Response &Response) {
    ++Calls_;
    const std::string Key = Request.matches[1];
    const std::uint64_t After = queryParameter(Request, "after");
    const std::chrono::steady_clock::time_point WaitDeadline =
        std::chrono::steady_clock::now() +
        std::chrono::milliseconds(
            std::min(queryParameter(Request, "wait_ms"), MaxWaitMs));
    while (true) {
      std::string Body;
      if (mode() == "down") {
        Response.status = 503;
        return;
      }
      if (!find(Key, Body)) {
        Response.status = 404;
        return;
      }
      if (documentVersion(Key, Body) > After) {
        respondWithValue(Key, Response);
        return;
      }
      if (std::chrono::steady_clock::now() >= WaitDeadline) {
        Response.status = 204;
        return;
      }
      std::this_thread::sleep_for(PollInterval);
    }
  }

  std::uint64_t calls() const { return Calls_; }

private:
  static std::uint64_t queryParameter(const httplib::Request &Request,
                                      const char *Name) {
    return std::strtoull(Request.get_param_value(Name).c_str(), nullptr, 10);
  }

  std::string mode() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return Mode_;
  }

  bool find(const std::string &Key, std::string &Body) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    const Values Served = Mode_ == "stale"         ? StaleValues_
                          : Mode_ == "rolled-back" ? ValuesAtStart_
                                                   : readAll(Dir_);
    const Values::const_iterator It = Served.find(Key);
    if (It == Served.end())
      return false;
    Body = It->second;
    return true;
  }

  bool respondWithValue(const std::string &Key, httplib::Response &Response) {
    std::string Body;
    if (!find(Key, Body))
      return false;
    Response.set_header("Kumquatpitch-Version",
                        std::to_string(documentVersion(Key, Body)));
    Response.set_content(Body, "application/json");
    return true;
  }

  const std::filesystem::path Dir_;
  const Values ValuesAtStart_;
  std::atomic<std::uint64_t> Calls_ = 0;
  std::mutex Mutex_;
  std::string Mode_ = "normal";
  Values StaleValues_;
};

int serve(int Port, const std::string &Dir) {
  StandIn Platform(Dir);
  httplib::Server Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(ServerThreads); };
  Server.set_tcp_nodelay(true);
  Server.Get(R"(/v1/read/([a-z0-9/-]+))",
             [&](const httplib::Request &Request, httplib::Response &Response) {
               Platform.handleRead(Request, Response);
             });
  Server.Get(R"(/v1/watch/([a-z0-9/-]+))",
             [&](const httplib::Request &Request, httplib::Response &Response) {
               Platform.handleWatch(Request, Response);
             });
  Server.Post("/test/mode",
              [&](const httplib::Request &Request, httplib::Response &) {
                Platform.setMode(Request.body);
              });
  Server.Get("/test/calls", [&](const httplib::Request &,
                                httplib::Response &Response) {
    Response.set_content(std::to_string(Platform.calls()), "text/plain");
  });
  const int BoundPort = Port == 0 ? Server.bind_to_any_port("127.0.0.1") : Port;
  if (Port != 0 && !Server.bind_to_port("127.0.0.1", Port))
    return 1;
  std::cout << "platform-stand-in: port " << BoundPort << std::endl;
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
