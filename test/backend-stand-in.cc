// A backend server for tests and the demo. Runs requests in a few slots, counts
// them by request id, and misbehaves on command:
//   backend-stand-in --port P [--name N] [--slots S] [--service-ms MS]
//   POST /stand-in/mode?set=MODE
//   GET  /stand-in/runs            JSON: how often each request id ran
// Modes: normal; stall (answers no request until the mode changes); slow;
// error (status 500); shed (refuses with the marker); drain (answers with the
// drain marker); crossed (another attempt's id); cut and cut-chunked (the body
// ends early); undelimited (the body ends by closing); chunked; silent
// (requests on connections that were open before are never answered, new ones
// are). Health is answered with 200 in every mode, as gray failures do.

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <getopt.h>
#include <httplib.h>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace {

struct Options {
  int Port_ = 0;
  std::string Name_ = "backend";
  int Slots_ = 3;
  int ServiceMs_ = 2;
};

Options parseOptions(int Argc, char **Argv) {
  static const option Known[] = {
      {"port", required_argument, nullptr, 'p'},
      {"name", required_argument, nullptr, 'n'},
      {"slots", required_argument, nullptr, 's'},
      {"service-ms", required_argument, nullptr, 'm'},
      {nullptr, 0, nullptr, 0}};
  Options Read;
  int Code = 0;
  while ((Code = getopt_long(Argc, Argv, "", Known, nullptr)) != -1) {
    if (Code == 'p')
      Read.Port_ = std::atoi(optarg);
    else if (Code == 'n')
      Read.Name_ = optarg;
    else if (Code == 's')
      Read.Slots_ = std::atoi(optarg);
    else if (Code == 'm')
      Read.ServiceMs_ = std::atoi(optarg);
    else
      std::exit(1);
  }
  return Read;
}

class StandIn {
public:
  explicit StandIn(Options Given) : Options_(std::move(Given)) {}

  void setMode(const std::string &Mode) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Mode_ = Mode;
    if (Mode == "silent")
      SilentPorts_ = SeenPorts_;
    Changed_.notify_all();
  }

  std::string runsAsJson() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return nlohmann::json{{"runs", Runs_},
                          {"in_progress", InProgress_},
                          {"peak_in_progress", Peak_},
                          {"total", Total_}}
        .dump();
  }

  void handle(const httplib::Request &Request, httplib::Response &Response) {
    const std::string Attempt =
        Request.get_header_value("Kumquatpitch-Attempt-Id");
    const std::string Mode = enter(Request);
    Response.set_header("X-Attempt", Attempt);
    Response.set_header("X-Load", "40");
    if (Mode == "shed") {
      Response.status = 503;
      Response.set_header("X-Refused", "not-run");
      leave();
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(
        Mode == "slow" ? Options_.ServiceMs_ * 20 : Options_.ServiceMs_));
    if (Mode == "drain")
      Response.set_header("X-Drain", "yes");
    if (Mode == "error")
      Response.status = 500;
    answer(Mode, Request, Response);
    leave();
  }

private:
  /// Counts the request as running, unless it is shed; waits while stalled.
  std::string enter(const httplib::Request &Request) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Peak_ = std::max(Peak_, ++InProgress_);
    SeenPorts_.insert(Request.remote_port);
    Changed_.wait(Lock, [&] {
      return Mode_ != "stall" &&
             !(Mode_ == "silent" && SilentPorts_.count(Request.remote_port));
    });
    if (Mode_ != "shed") {
      ++Total_;
      ++Runs_[Request.get_header_value("Kumquatpitch-Request-Id")];
    }
    return Mode_;
  }

  void leave() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    --InProgress_;
  }

  void answer(const std::string &Mode, const httplib::Request &Request,
              httplib::Response &Response) {
    const std::string Body =
        Options_.Name_ + " " + Request.method + " " + Request.target + " " +
        Request.get_header_value("X-Caller") + " " + Request.body;
    if (Mode == "crossed")
      Response.headers.erase("X-Attempt"),
          Response.set_header("X-Attempt", "another-attempt");
    if (Mode == "cut")
      return Response.set_content_provider(
          Body.size() + 100, "text/plain",
          [Body](size_t, size_t, httplib::DataSink &Sink) {
            Sink.write(Body.data(), Body.size());
            return false;
          });
    if (Mode == "undelimited") {
      Response.set_header("Connection", "close");
      return Response.set_content_provider(
          "text/plain", [Body](size_t, httplib::DataSink &Sink) {
            Sink.write(Body.data(), Body.size());
            Sink.done();
            return true;
          });
    }
    if (Mode == "chunked")
      return Response.set_chunked_content_provider(
          "text/plain", [Body](size_t, httplib::DataSink &Sink) {
            Sink.write(Body.data(), Body.size());
            Sink.done();
            return true;
          });
    if (Mode == "cut-chunked")
      return Response.set_chunked_content_provider(
          "text/plain", [Body](size_t, httplib::DataSink &Sink) {
            Sink.write(Body.data(), Body.size());
            return false;
          });
    Response.set_content(Body, "text/plain");
  }

  const Options Options_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::string Mode_ = "normal";
  std::map<std::string, int> Runs_;
  std::set<int> SeenPorts_;   ///< Callers' ports of all connections.
  std::set<int> SilentPorts_; ///< Those that get no answer when silent.
  int InProgress_ = 0;
  int Peak_ = 0;
  int Total_ = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  const Options Given = parseOptions(Argc, Argv);
  StandIn Backend(Given);
  httplib::Server Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(64); };
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(1'000'000);
  Server.set_keep_alive_timeout(60);
  Server.Get("/health", [](const httplib::Request &, httplib::Response &Out) {
    Out.set_content("ok\n", "text/plain");
  });
  Server.Post("/stand-in/mode",
              [&](const httplib::Request &Request, httplib::Response &Out) {
                Backend.setMode(Request.get_param_value("set"));
                Out.set_content("ok\n", "text/plain");
              });
  Server.Get("/stand-in/runs",
             [&](const httplib::Request &, httplib::Response &Out) {
               Out.set_content(Backend.runsAsJson(), "application/json");
             });
  const httplib::Server::Handler Handle = [&](const httplib::Request &Request,
                                              httplib::Response &Out) {
    Backend.handle(Request, Out);
  };
  Server.Get(".*", Handle).Post(".*", Handle).Put(".*", Handle);

  asio::io_context Context;
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](const std::error_code &, int) {
    Backend.setMode("normal");
    Server.stop();
  });
  std::thread Waiter([&] { Context.run(); });
  const bool IsServing = Server.listen("127.0.0.1", Given.Port_);
  Context.stop();
  Waiter.join();
  return IsServing ? 0 : 1;
}
