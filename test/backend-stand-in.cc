// A stand-in for a backend server in tests and the demo. It counts its
// executions by request id and injects failures on request. The number of slots
// is parsed but does not limit the requests that run at a time.
//   backend-stand-in --port P [--name N] [--slots S] [--service-ms MS]
//   POST /stand-in/mode?set=MODE
//   GET  /stand-in/runs            JSON: how often each request id ran
// Modes:
//   normal       answers each request
//   stall        answers no request until the mode changes
//   slow         takes 20 times the service time
//   error        answers with status 500
//   shed         refuses with status 503 and the marker for requests not run
//   drain        answers with the drain marker
//   crossed      answers with the id of another attempt
//   cut          ends the body before its announced length
//   cut-chunked  ends a chunked body without its last chunk
//   undelimited  ends the body by closing the connection
//   chunked      answers with a chunked body
//   silent       answers no request on connections that had carried a request
//                before the mode was set; answers on new connections
// Health checks get status 200 in every mode, as they do in gray failures.

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
  static const option LongOptions[] = {
      {"port", required_argument, nullptr, 'p'},
      {"name", required_argument, nullptr, 'n'},
      {"slots", required_argument, nullptr, 's'},
      {"service-ms", required_argument, nullptr, 'm'},
      {nullptr, 0, nullptr, 0}};
  Options Parsed;
  int Code = 0;
  while ((Code = getopt_long(Argc, Argv, "", LongOptions, nullptr)) != -1) {
    if (Code == 'p')
      Parsed.Port_ = std::atoi(optarg);
    else if (Code == 'n')
      Parsed.Name_ = optarg;
    else if (Code == 's')
      Parsed.Slots_ = std::atoi(optarg);
    else if (Code == 'm')
      Parsed.ServiceMs_ = std::atoi(optarg);
    else
      std::exit(1);
  }
  return Parsed;
}

class StandIn {
public:
  explicit StandIn(Options Config) : Options_(std::move(Config)) {}

  void setMode(const std::string &Mode) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Mode_ = Mode;
    if (Mode == "silent")
      SilentPorts_ = ConnectedPorts_;
    ModeChanged_.notify_all();
  }

  std::string runsAsJson() {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return nlohmann::json{{"runs", Runs_},
                          {"in_progress", InProgress_},
                          {"peak_in_progress", PeakInProgress_},
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
  /// Waits while the mode withholds responses, then counts an execution unless
  /// the mode is `shed`. Returns the mode in effect. Each call is paired with
  /// `leave`.
  std::string enter(const httplib::Request &Request) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    PeakInProgress_ = std::max(PeakInProgress_, ++InProgress_);
    ConnectedPorts_.insert(Request.remote_port);
    ModeChanged_.wait(Lock, [&] {
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
  std::condition_variable ModeChanged_;
  std::string Mode_ = "normal";
  std::map<std::string, int> Runs_;
  /// Remote ports of all connections that have carried a request.
  std::set<int> ConnectedPorts_;
  /// Remote ports whose requests are not answered in mode `silent`.
  std::set<int> SilentPorts_;
  int InProgress_ = 0;
  int PeakInProgress_ = 0;
  int Total_ = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  const Options Config = parseOptions(Argc, Argv);
  StandIn Backend(Config);
  httplib::Server Server;
  Server.new_task_queue = [] { return new httplib::ThreadPool(64); };
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(1'000'000);
  Server.set_keep_alive_timeout(60);
  Server.Get("/health",
             [](const httplib::Request &, httplib::Response &Response) {
               Response.set_content("ok\n", "text/plain");
             });
  Server.Post("/stand-in/mode", [&](const httplib::Request &Request,
                                    httplib::Response &Response) {
    Backend.setMode(Request.get_param_value("set"));
    Response.set_content("ok\n", "text/plain");
  });
  Server.Get("/stand-in/runs",
             [&](const httplib::Request &, httplib::Response &Response) {
               Response.set_content(Backend.runsAsJson(), "application/json");
             });
  const httplib::Server::Handler Handle = [&](const httplib::Request &Request,
                                              httplib::Response &Response) {
    Backend.handle(Request, Response);
  };
  Server.Get(".*", Handle).Post(".*", Handle).Put(".*", Handle);

  asio::io_context Context;
  asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](const std::error_code &, int) {
    Backend.setMode("normal");
    Server.stop();
  });
  std::thread SignalThread([&] { Context.run(); });
  const bool IsServing = Server.listen("127.0.0.1", Config.Port_);
  Context.stop();
  SignalThread.join();
  return IsServing ? 0 : 1;
}
