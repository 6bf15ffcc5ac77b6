// The operators' HTTP server. See operator-endpoint.h.

#include "kumquatpitch/operator-endpoint.h"

#include <condition_variable>
#include <deque>
#include <httplib.h>
#include <mutex>
#include <vector>

namespace kumquatpitch {

namespace {

constexpr std::size_t PoolThreads = 4;
constexpr std::size_t MaxWaiting = 4;
constexpr time_t TimeoutSeconds = 2;
constexpr time_t FirstByteSeconds = 1;
constexpr std::size_t MaxBodyBytes = 1'024;
constexpr char PlainText[] = "text/plain; charset=utf-8";

/// Threads for the server. A full queue makes enqueue() wait, so that further
/// connections stay in the listening socket; the library's own pool queues
/// without a bound.
class BoundedPool : public httplib::TaskQueue {
public:
  BoundedPool() {
    for (std::size_t Index = 0; Index < PoolThreads; ++Index)
      Threads_.emplace_back([this] { work(); });
  }

  void enqueue(std::function<void()> Task) override {
    std::unique_lock<std::mutex> Lock(Mutex_);
    HasRoom_.wait(Lock, [this] { return Waiting_.size() < MaxWaiting; });
    Waiting_.push_back(std::move(Task));
    HasWork_.notify_one();
  }

  void shutdown() override {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      IsEnding_ = true;
    }
    HasWork_.notify_all();
    for (std::thread &Each : Threads_)
      Each.join();
  }

private:
  void work() {
    while (std::function<void()> Task = next())
      Task();
  }

  std::function<void()> next() {
    std::unique_lock<std::mutex> Lock(Mutex_);
    HasWork_.wait(Lock, [this] { return IsEnding_ || !Waiting_.empty(); });
    if (Waiting_.empty())
      return nullptr;
    std::function<void()> Task = std::move(Waiting_.front());
    Waiting_.pop_front();
    HasRoom_.notify_one();
    return Task;
  }

  std::mutex Mutex_;
  std::condition_variable HasWork_;
  std::condition_variable HasRoom_;
  std::deque<std::function<void()>> Waiting_; ///< At most MaxWaiting.
  bool IsEnding_ = false;
  std::vector<std::thread> Threads_;
};

/// The library's default is SO_REUSEPORT, by which a second daemon on the same
/// port would silently take half of the requests.
void setListenOptions(int Socket) {
  const int Yes = 1;
  setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof Yes);
}

} // namespace

OperatorEndpoint::OperatorEndpoint(OperatorView &View)
    : View_(View), Server_(std::make_unique<httplib::Server>()) {
  Server_->new_task_queue = [] { return new BoundedPool; };
  Server_->set_socket_options(setListenOptions);
  Server_->set_tcp_nodelay(true);
  // A kept connection would hold one of the few threads while it idles.
  Server_->set_keep_alive_max_count(1);
  Server_->set_keep_alive_timeout(FirstByteSeconds);
  Server_->set_read_timeout(TimeoutSeconds);
  Server_->set_write_timeout(TimeoutSeconds);
  Server_->set_payload_max_length(MaxBodyBytes);
  addRoutes();
}

OperatorEndpoint::~OperatorEndpoint() { stop(); }

void OperatorEndpoint::addRoutes() {
  Server_->Get("/health",
               [](const httplib::Request &, httplib::Response &Answer) {
                 Answer.set_content("ok\n", PlainText);
               });
  Server_->Get(
      "/ready", [this](const httplib::Request &, httplib::Response &Answer) {
        const bool IsReady = View_.ready();
        Answer.status = IsReady ? 200 : 503;
        Answer.set_content(IsReady ? "ready\n" : "not ready\n", PlainText);
      });
  Server_->Get("/metrics",
               [this](const httplib::Request &, httplib::Response &Answer) {
                 Answer.set_content(View_.metricsText(),
                                    "text/plain; version=0.0.4; charset=utf-8");
               });
  Server_->Get("/status", [this](const httplib::Request &,
                                 httplib::Response &Answer) {
    Answer.set_content(formatHostStatus(View_.status()), "application/json");
  });
  Server_->set_exception_handler([](const httplib::Request &,
                                    httplib::Response &Answer,
                                    const std::exception_ptr &) {
    Answer.status = httpStatus(ResultCode::InternalError);
    Answer.set_content("internal error\n", PlainText);
  });
}

Result<void> OperatorEndpoint::start(const Endpoint &Address) {
  const int Bound =
      Address.Port_ == 0
          ? Server_->bind_to_any_port(Address.Address_)
          : (Server_->bind_to_port(Address.Address_, Address.Port_)
                 ? Address.Port_
                 : -1);
  if (Bound <= 0)
    return fail(ResultCode::SettingsInvalid, "cannot listen for operators on " +
                                                 Address.Address_ + ":" +
                                                 std::to_string(Address.Port_));
  Port_ = static_cast<std::uint16_t>(Bound);
  Listener_ = std::thread([this] {
    Server_->listen_after_bind();
    HasEnded_ = true;
  });
  return {};
}

void OperatorEndpoint::stop() {
  if (!Listener_.joinable())
    return;
  // The library ignores stop() until its loop runs.
  while (!HasEnded_ && !Server_->is_running())
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  Server_->stop();
  Listener_.join();
}

} // namespace kumquatpitch
