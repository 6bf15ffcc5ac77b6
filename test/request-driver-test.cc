// RequestDriver with HttpFront, HostCore and BackendClient in one process, over
// real sockets and threads. Also run under ThreadSanitizer.

#include "kumquatpitch/catalog.h"
#include "kumquatpitch/request-driver.h"
#include "manual-time.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <atomic>
#include <httplib.h>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

class SilentLogger : public Logger {
public:
  void log(LogLevel, const char *, const std::string &) override {}
};

class NoTransport : public PeerTransport {
public:
  bool send(const Endpoint &, const std::string &) override { return false; }
};

/// Serves one published configuration from memory.
class MemoryPlatform : public PlatformReader {
public:
  std::map<std::string, std::string> Values_;

  void read(const std::string &Key, Callback OnReply) override {
    const std::map<std::string, std::string>::const_iterator It =
        Values_.find(Key);
    PlatformReply Reply;
    Reply.Key_ = Key;
    Reply.Status_ = It == Values_.end() ? PlatformStatus::UnknownKey
                                        : PlatformStatus::Value;
    Reply.Version_ = Key.rfind("parts/", 0) == 0 ? 0 : 1;
    if (It != Values_.end())
      Reply.Body_ = It->second;
    OnReply(std::move(Reply));
  }

  void watch(const std::string &Key, std::uint64_t After, Duration,
             Callback OnReply) override {
    if (After == 0)
      return read(Key, std::move(OnReply));
    PlatformReply Reply;
    Reply.Key_ = Key;
    Reply.Status_ = PlatformStatus::Unchanged;
    OnReply(std::move(Reply));
  }
};

constexpr int CallerCount = 6;

constexpr const char *ContractText = R"({"customer":"imigongo","version":1,
 "services":[{"name":"ledger","rate_per_s":100000,"in_progress":100,
 "max_body_bytes":1000,"max_answer_bytes":100000,"deadline_ms":500,
 "queue":{"max_requests":50,"max_wait_ms":400},
 "slo":{"availability_percent":99,"latency_ms":400,"window_days":28},
 "routes":[{"method":"GET","path_prefix":"/lists","idempotent":true},
           {"method":"POST","path_prefix":"/deposits","idempotent":false}]}]})";

/// `EchoField` is the field of the echo header, or empty.
std::string serviceEntryText(int Port, const std::string &EchoField) {
  return R"({"service":"ledger","customer":"imigongo","version":1,
 "floor_targets":1,"detection_profile":"fast-detection","region":"kigali",)" +
         EchoField + R"("targets":[{"id":"t1","address":"127.0.0.1","port":)" +
         std::to_string(Port) +
         R"(,"failure_domain":"gasabo","slots":8,"connections":400,
 "state":"serving"}]})";
}

constexpr const char *HostsText = R"({"version":1,"hosts":[{"id":"h1",
 "region":"kigali","failure_domain":"gasabo","address":"127.0.0.1",
 "peer_port":1,"operator_port":2,
 "customer_ports":[{"customer":"imigongo","port":3}],"state":"live"}]})";

} // namespace

TEST_BASE(RequestDriverFixture) {
  httplib::Server Backend_;
  std::thread BackendThread_;
  SilentLogger Log_;
  NoTransport Transport_;
  SeededRandom Random_{1};
  MemoryPlatform Platform_;
  test::ManualTimerService Time_;
  asio::io_context Context_;
  std::unique_ptr<HostCore> Core_;
  std::unique_ptr<BackendClient> Client_;
  std::unique_ptr<RequestDriver> Driver_;
  std::unique_ptr<HttpFront> Front_;
  std::unique_ptr<asio::executor_work_guard<asio::io_context::executor_type>>
      Work_;
  std::thread IoThread_;
  int Port_ = 0;
  std::atomic<int> RunCount_{0};
  std::mutex Mutex_;
  std::set<int> BackendConnections_; ///< Remote ports; guarded by Mutex_.

  virtual std::string echoField() const {
    return R"("echo_header":"X-Attempt",)";
  }

  void setup() override {
    const int BackendPort = startBackend();
    publishConfiguration(BackendPort);
    startHost();
    // A host that has just started may use its slots and permits only after the
    // settle time.
    for (int Step = 0; Step < 1'500; ++Step) {
      Time_.advance(test::ms(20));
      tick();
    }
    Work_ = std::make_unique<
        asio::executor_work_guard<asio::io_context::executor_type>>(
        Context_.get_executor());
    IoThread_ = std::thread([this] { Context_.run(); });
  }

  void teardown() override {
    Front_->stopAccepting();
    Front_->join();
    Work_.reset();
    Context_.stop();
    IoThread_.join();
    Front_.reset();
    Backend_.stop();
    BackendThread_.join();
  }

  void tick() {
    Driver_->runOnCore(
        [](HostCore &Core, TimePoint Now) { return Core.tick(Now); });
  }

  int startBackend() {
    const httplib::Server::Handler Handle = [this](
                                                const httplib::Request &Request,
                                                httplib::Response &Response) {
      ++RunCount_;
      const std::lock_guard<std::mutex> Lock(Mutex_);
      BackendConnections_.insert(Request.remote_port);
      Response.set_header("X-Attempt",
                          Request.get_header_value("Kumquatpitch-Attempt-Id"));
      Response.set_content(Request.target + " " + Request.body, "text/plain");
    };
    Backend_.Get(".*", Handle).Post(".*", Handle);
    Backend_.set_tcp_nodelay(true);
    Backend_.set_keep_alive_timeout(1);
    const int BackendPort = Backend_.bind_to_any_port("127.0.0.1");
    BackendThread_ = std::thread([this] { Backend_.listen_after_bind(); });
    return BackendPort;
  }

  void publishConfiguration(int BackendPort) {
    std::string Parts;
    const auto Add = [&](const std::string &Name, const std::string &Text) {
      const std::string Hash = contentHash(Text);
      Platform_.Values_["parts/" + Name + "/" + Hash] = Text;
      Parts += (Parts.empty() ? "" : ",") + std::string(R"({"name":")") + Name +
               R"(","version":1,"hash":")" + Hash + R"(","bytes":)" +
               std::to_string(Text.size()) + "}";
    };
    Add("contract/imigongo", ContractText);
    Add("service/ledger", serviceEntryText(BackendPort, echoField()));
    Platform_.Values_["manifest"] =
        R"({"format":1,"version":1,"parts":[)" + Parts + "]}";
    Platform_.Values_["hosts"] = HostsText;
  }

  void startHost() {
    const CustomerName Customer("imigongo");
    HostIdentity Self;
    Self.Id_ = HostId("h1");
    Self.Region_ = Region("kigali");
    Self.Domain_ = FailureDomain("gasabo");
    Self.Incarnation_ = 7;
    Self.PeerAddress_ = Endpoint{"127.0.0.1", 1};
    Self.Customers_ = {Customer};
    Core_ = std::make_unique<HostCore>(
        Self, HostDependencies{Random_, Log_, Transport_}, Time_.now());
    Client_ = std::make_unique<BackendClient>(Time_);
    Driver_ =
        std::make_unique<RequestDriver>(*Core_, *Client_, Time_, Platform_);
    Front_ = std::make_unique<HttpFront>(Context_, *Driver_, FrontLimits());
    // Tries ports between the fixed ones and the system's ephemeral range.
    for (Port_ = 21'000; Port_ < 22'000; ++Port_) {
      const bool IsOpen = handleFailure(
          [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(Front_->listen(
                Customer,
                Endpoint{"127.0.0.1", static_cast<std::uint16_t>(Port_)}));
            return true;
          },
          [](const Failure &) { return false; });
      if (IsOpen)
        return;
    }
  }

  /// Sends idempotent requests one after the other and returns the number of
  /// connections on which the backend server got them.
  std::size_t connectionsForRequests(int Count) {
    httplib::Client Client("127.0.0.1", Port_);
    for (int Request = 0; Request < Count; ++Request) {
      const httplib::Result Response = Client.Get("/lists/a");
      CHECK(Response && Response->status == 200);
    }
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return BackendConnections_.size();
  }
};

TEST_GROUP_BASE(RequestDriver, RequestDriverFixture){};

TEST_GROUP_BASE(RequestDriverWithoutEcho, RequestDriverFixture){
    std::string echoField() const override{return "";
}
}
;

TEST(RequestDriver, IdempotentRequestsShareAConnection) {
  const std::size_t Connections = connectionsForRequests(3);
  CHECK_EQUAL(1, Connections);
}

// Guards against a late copy of an answer on a connection in use again, where
// nothing tells to which request it belongs.
TEST(RequestDriverWithoutEcho, EachRequestUsesANewConnection) {
  const std::size_t Connections = connectionsForRequests(3);
  CHECK_EQUAL(3, Connections);
}

// Guards against data races between callers, workers and the core, and against
// answers delivered to the wrong caller.
TEST(RequestDriver, ConcurrentCallersGetTheirOwnAnswers) {
  std::atomic<int> WrongAnswers{0};
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([this, &WrongAnswers, Caller] {
      httplib::Client Client("127.0.0.1", Port_);
      Client.set_keep_alive(true);
      Client.set_tcp_nodelay(true);
      for (int Count = 0; Count < 30; ++Count) {
        const std::string Path =
            "/lists/" + std::to_string(Caller) + "-" + std::to_string(Count);
        const httplib::Result Response = Client.Get(Path);
        if (!Response || Response->status != 200 ||
            Response->body != Path + " ")
          ++WrongAnswers;
      }
    });
  for (std::thread &Thread : Callers)
    Thread.join();
  CHECK_EQUAL(0, WrongAnswers.load());
}

// Guards against running a request with a token more than once when several
// resends of it arrive concurrently.
TEST(RequestDriver, ConcurrentResendsRunOnce) {
  httplib::Client AddressClient("127.0.0.1", Port_);
  const httplib::Result Addresses =
      AddressClient.Get("/.kumquatpitch/addresses?service=ledger");
  CHECK(Addresses);
  const std::size_t Start = Addresses->body.find("\"token\":\"") + 9;
  const std::string Token =
      Addresses->body.substr(Start, Addresses->body.find('"', Start) - Start);
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([this, &Token] {
      httplib::Client Client("127.0.0.1", Port_);
      Client.Post("/deposits",
                  {{"Kumquatpitch-Token", Token},
                   {"Kumquatpitch-Request-Id", "deposit-1"}},
                  "x", "text/plain");
    });
  for (std::thread &Thread : Callers)
    Thread.join();
  CHECK_EQUAL(1, RunCount_.load());
}

TEST(RequestDriver, RejectsTooLargeBodyBeforeItArrives) {
  httplib::Client Client("127.0.0.1", Port_);
  const httplib::Result Response =
      Client.Post("/deposits", std::string(1'001, 'x'), "text/plain");
  CHECK(Response);
  CHECK_EQUAL(413, Response->status);
  CHECK_EQUAL(0, RunCount_.load());
}

// Guards against a planned stop that cuts requests which it took late.
TEST(RequestDriver, RequestThatMayOutlastAStopIsRefused) {
  Driver_->runOnCore([](HostCore &Core, TimePoint Now) {
    return Core.beginStop(Now + test::ms(300), Now);
  });
  httplib::Client Client("127.0.0.1", Port_);
  // The contract's deadline is 500 ms.
  const httplib::Result Long = Client.Get("/lists/a");
  CHECK(Long);
  CHECK_EQUAL(503, Long->status);
  CHECK(Long->body.find("\"host_leaving\"") != std::string::npos);
  CHECK(Long->body.find("\"not-run\"") != std::string::npos);
  CHECK_EQUAL(0, RunCount_.load());
  const httplib::Result Short =
      Client.Get("/lists/a", {{"Kumquatpitch-Deadline-Ms", "200"}});
  CHECK(Short);
  CHECK_EQUAL(200, Short->status);
}
