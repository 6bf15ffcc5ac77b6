// HTTP server for operators. See operator-endpoint.h.

#include "kumquatpitch/operator-endpoint.h"

#include "kumquatpitch/operator-stream.h"

#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace kumquatpitch {

namespace {

constexpr std::size_t PoolThreads = 4;
constexpr std::size_t MaxQueuedConnections = 4;
constexpr std::size_t MaxBodyBytes = 1'024;
constexpr char PlainText[] = "text/plain; charset=utf-8";

/// Thread pool of the server. enqueue() blocks while the queue is full, so that
/// further connections stay in the backlog of the listening socket; the queue
/// of the library's own pool is unbounded.
class BoundedPool : public httplib::TaskQueue {
public:
  BoundedPool() {
    for (std::size_t Index = 0; Index < PoolThreads; ++Index)
      Threads_.emplace_back([this] { runTasks(); });
  }

  void enqueue(std::function<void()> Task) override {
    std::unique_lock<std::mutex> Lock(Mutex_);
    HasRoom_.wait(Lock,
                  [this] { return Queue_.size() < MaxQueuedConnections; });
    Queue_.push_back(std::move(Task));
    HasWork_.notify_one();
  }

  void shutdown() override {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      IsShuttingDown_ = true;
    }
    HasWork_.notify_all();
    for (std::thread &Worker : Threads_)
      Worker.join();
  }

private:
  void runTasks() {
    while (std::function<void()> Task = waitForTask())
      Task();
  }

  std::function<void()> waitForTask() {
    std::unique_lock<std::mutex> Lock(Mutex_);
    HasWork_.wait(Lock, [this] { return IsShuttingDown_ || !Queue_.empty(); });
    if (Queue_.empty())
      return nullptr;
    std::function<void()> Task = std::move(Queue_.front());
    Queue_.pop_front();
    HasRoom_.notify_one();
    return Task;
  }

  std::mutex Mutex_;
  std::condition_variable HasWork_;
  std::condition_variable HasRoom_;
  std::deque<std::function<void()>> Queue_; ///< At most MaxQueuedConnections.
  bool IsShuttingDown_ = false;
  std::vector<std::thread> Threads_;
};

/// Carries one request on each connection, within the limits of OperatorStream.
class OneRequestServer : public httplib::Server {
private:
  bool process_and_close_socket(socket_t Socket) override {
    detail::OperatorStream Stream(Socket);
    bool IsClosed = false;
    const bool IsAnswered = process_request(Stream, true, IsClosed, nullptr);
    shutdown(Socket, SHUT_RDWR);
    close(Socket);
    return IsAnswered;
  }
};

/// Replaces the library's default, SO_REUSEPORT, with which a second daemon on
/// the same port would silently receive half of the requests.
void setListenOptions(int Socket) {
  const int Enabled = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof Enabled);
}

} // namespace

OperatorEndpoint::OperatorEndpoint(OperatorView &View)
    : View_(View), Server_(std::make_unique<OneRequestServer>()) {
  Server_->new_task_queue = [] { return new BoundedPool; };
  Server_->set_socket_options(setListenOptions);
  Server_->set_tcp_nodelay(true);
  Server_->set_payload_max_length(MaxBodyBytes);
  addRoutes();
}

OperatorEndpoint::~OperatorEndpoint() { stop(); }

void OperatorEndpoint::addRoutes() {
  Server_->Get("/health",
               [](const httplib::Request &, httplib::Response &Response) {
                 Response.set_content("ok\n", PlainText);
               });
  Server_->Get(
      "/ready", [this](const httplib::Request &, httplib::Response &Response) {
        const bool IsReady = View_.ready();
        Response.status = IsReady ? 200 : 503;
        Response.set_content(IsReady ? "ready\n" : "not ready\n", PlainText);
      });
  Server_->Get("/metrics", [this](const httplib::Request &,
                                  httplib::Response &Response) {
    Response.set_content(View_.metricsText(),
                         "text/plain; version=0.0.4; charset=utf-8");
  });
  Server_->Get("/status", [this](const httplib::Request &,
                                 httplib::Response &Response) {
    Response.set_content(formatHostStatus(View_.status()), "application/json");
  });
  Server_->set_exception_handler([](const httplib::Request &,
                                    httplib::Response &Response,
                                    const std::exception_ptr &) {
    Response.status = httpStatus(ResultCode::InternalError);
    Response.set_content("internal error\n", PlainText);
  });
}

Result<void> OperatorEndpoint::start(const Endpoint &Address) {
  const int BoundPort =
      Address.Port_ == 0
          ? Server_->bind_to_any_port(Address.Address_)
          : (Server_->bind_to_port(Address.Address_, Address.Port_)
                 ? Address.Port_
                 : -1);
  if (BoundPort <= 0)
    return fail(ResultCode::SettingsInvalid, "cannot listen for operators on " +
                                                 Address.Address_ + ":" +
                                                 std::to_string(Address.Port_));
  Port_ = static_cast<std::uint16_t>(BoundPort);
  Listener_ = std::thread([this] {
    Server_->listen_after_bind();
    HasListenerEnded_ = true;
  });
  return {};
}

void OperatorEndpoint::stop() {
  if (!Listener_.joinable())
    return;
  // The library ignores stop() before its accept loop runs.
  while (!HasListenerEnded_ && !Server_->is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  Server_->stop();
  Listener_.join();
}

} // namespace kumquatpitch
