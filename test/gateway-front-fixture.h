// A GatewayFront over real sockets in one process, between a caller and a
// scripted target. Used by the tests of the front, of answers and of planned
// stops.

#ifndef KUMQUATPITCH_GATEWAY_FRONT_FIXTURE_H
#define KUMQUATPITCH_GATEWAY_FRONT_FIXTURE_H

#include "kumquatpitch/asio-timer-service.h"
#include "kumquatpitch/gateway-front.h"

#include "child-process.h"

#include <array>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cstdio>
#include <deque>
#include <functional>
#include <set>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace kumquatpitch::test {

inline const std::uint16_t FrontPort = static_cast<std::uint16_t>(freePort());
inline const std::uint16_t TargetPort = static_cast<std::uint16_t>(freePort());

inline asio::ip::tcp::endpoint localEndpoint(std::uint16_t Port) {
  return {asio::ip::make_address("127.0.0.1"), Port};
}

/// Accepts connections and passes the received bytes to a script. Its sockets
/// stay valid until it is destroyed, which may be while reads are pending.
class ScriptedTarget {
public:
  using Socket = asio::ip::tcp::socket;
  /// Gets the connection and all bytes of the request so far. Returns true when
  /// it has handled the request; the bytes are then cleared.
  using Script = std::function<bool(Socket &, const std::string &Request)>;

  ScriptedTarget(asio::io_context &Context, Script OnRequest)
      : Acceptor_(Context, localEndpoint(TargetPort)),
        OnRequest_(std::move(OnRequest)) {
    accept();
  }

  std::size_t accepted() const { return Accepted_; }
  std::size_t handled() const { return Handled_; }
  int closed() const { return Closed_; }

private:
  struct Connection {
    explicit Connection(Socket Accepted) : Socket_(std::move(Accepted)) {}
    Socket Socket_;
    std::array<char, 4'096> Buffer_;
    std::string Bytes_;
  };

  void accept() {
    Acceptor_.async_accept([this](const asio::error_code &Error,
                                  Socket Accepted) {
      if (Error)
        return;
      ++Accepted_;
      Connections_.push_back(std::make_shared<Connection>(std::move(Accepted)));
      read(Connections_.back());
      accept();
    });
  }

  void read(const std::shared_ptr<Connection> &Source) {
    Source->Socket_.async_read_some(
        asio::buffer(Source->Buffer_),
        [this, Source, Lifetime = std::weak_ptr<const bool>(Lifetime_)](
            const asio::error_code &Error, std::size_t Size) {
          if (Lifetime.expired())
            return;
          if (Error) {
            ++Closed_;
            asio::error_code Ignored;
            Source->Socket_.close(Ignored);
            return;
          }
          Source->Bytes_.append(Source->Buffer_.data(), Size);
          if (OnRequest_(Source->Socket_, Source->Bytes_)) {
            Source->Bytes_.clear();
            ++Handled_;
          }
          if (Source->Socket_.is_open())
            read(Source);
        });
  }

  asio::ip::tcp::acceptor Acceptor_;
  Script OnRequest_;
  std::vector<std::shared_ptr<Connection>> Connections_;
  /// Expires with the target, so that its pending handlers do nothing.
  std::shared_ptr<const bool> Lifetime_ = std::make_shared<const bool>(true);
  std::size_t Accepted_ = 0;
  std::size_t Handled_ = 0;
  int Closed_ = 0;
};

inline void sendText(asio::ip::tcp::socket &Socket, const std::string &Text) {
  asio::write(Socket, asio::buffer(Text));
}

inline std::string requestIdOf(const std::string &Request) {
  const std::string Header = "Kumquatpitch-Request-Id: ";
  const std::size_t Start = Request.find(Header) + Header.size();
  return Request.substr(Start, Request.find("\r\n", Start) - Start);
}

inline std::string answer(const std::string &Id, const std::string &Body,
                          const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\nKumquatpitch-Request-Id: " + Id +
         "\r\nKumquatpitch-Answer-Signature: s\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

constexpr std::uint64_t MaxAnswerBytes = 2'000'000;
/// Responses with bodies of this size exceed the buffers of a connection, so
/// that the host is still writing them while the caller does not read.
constexpr std::size_t LargeResponses = 8;
constexpr std::size_t LargeBodyBytes = 1'900'000;

inline bool hasCompleteHead(const std::string &Request) {
  return Request.find("\r\n\r\n") != std::string::npos;
}

TEST_BASE(GatewayFrontFixture) {
  asio::io_context Context_;
  AsioTimerService Timers_{Context_};
  SeededRandom Random_{1};
  GatewayCore Core_{GatewayOptions{HostId("h"), FailureDomain("a"), 0.7, 0.2,
                                   64, std::chrono::seconds(10)},
                    Random_};
  HttpClient Client_{Context_};
  std::FILE *LogFile_ = std::tmpfile();
  EventLog Log_{Timers_, fileno(LogFile_), LogLevel::Info};
  Metrics Metrics_;

  class RecordingSink : public EvidenceSink {
  public:
    void broadcastEvidence(const TargetEntry &,
                           TargetObservation Observation) override {
      LastObservation_ = Observation;
    }
    void targetLeaves(const TargetEntry &Target) override {
      Leaving_.push_back(Target.Id_);
      if (Next_)
        Next_->targetLeaves(Target);
    }
    std::optional<TargetObservation> LastObservation_;
    std::vector<TargetId> Leaving_; ///< One for each call.
    EvidenceSink *Next_ = nullptr;  ///< Also gets the calls for Leaving_.
  } EvidenceSink_;

  UnframedServices UnframedServices_; ///< None, as by default.
  GatewayFront Front_{GatewayDependencies{
      Context_, Timers_, Core_, Client_, Log_, Metrics_, EvidenceSink_,
      UnframedServices_, GatewayHeaders(), MaxAnswerBytes}};
  HttpServer Server_{Context_, Front_};
  std::unique_ptr<ScriptedTarget> Target_;
  asio::ip::tcp::socket Caller_{Context_};
  std::string Received_;
  std::string Forwarded_; ///< Of all requests, to a recording target.
  bool IsEnded_ = false;  ///< The caller's connection has ended.
  std::uint64_t TargetStarts_ = 0;
  std::array<char, 4'096> Buffer_;

  /// A route for requests that may be repeated, `/look/`, and one for others,
  /// `/book/`.
  static RoutingConfig routes(std::uint64_t Version, Duration Timeout,
                              Duration Objective, std::uint32_t MaxTargets) {
    RoutingConfig Config;
    Config.Version_ = Version;
    for (const bool Idempotent : {true, false}) {
      VirtualRoute Route;
      Route.Host_ = "h.example";
      Route.Prefix_ = Idempotent ? "/look/" : "/book/";
      Route.Shares_ = {ServiceShare{ServiceName("desk"), 1}};
      Route.Kind_ = Idempotent ? RouteKind::Idempotent : RouteKind::AtMostOnce;
      Route.Timeout_ = Timeout;
      Route.Objective_ = Objective;
      Route.MaxTargets_ = MaxTargets;
      Config.Routes_.push_back(Route);
    }
    return Config;
  }

  void setup() override {
    RoutingConfig Config = routes(1, std::chrono::milliseconds(600),
                                  std::chrono::milliseconds(300), 1);
    VirtualRoute Large = Config.Routes_.front();
    Large.Prefix_ = "/large/";
    Large.Timeout_ = std::chrono::seconds(10);
    Config.Routes_.push_back(Large);
    Core_.setTable(std::make_shared<const RouteTable>(Config));
    useNewTarget();
    const bool IsListening = handleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(
              Server_.listen(Endpoint{"127.0.0.1", FrontPort}, 10));
          return true;
        },
        [](const Failure &) { return false; });
    CHECK(IsListening);
  }

  /// Declares that the target's service answers without a length, so that a
  /// test sees what is decided about the end of such an answer.
  void declareUnframed() {
    UnframedServices_ =
        UnframedServices::parse("desk").value_or(UnframedServices());
  }

  /// Makes the target a new one, about which nothing is known.
  void useNewTarget() {
    TargetEntry Entry;
    Entry.Id_ = TargetId("t0");
    Entry.Service_ = ServiceName("desk");
    Entry.Address_ = Endpoint{"127.0.0.1", TargetPort};
    Entry.Slots_ = 3;
    Entry.StartedUnixMs_ = ++TargetStarts_;
    Core_.setTargets({{Entry.Id_, Entry}}, Timers_.now());
  }

  void teardown() override {
    Target_.reset();
    std::fclose(LogFile_);
  }

  void startTarget(ScriptedTarget::Script Script) {
    Target_ = std::make_unique<ScriptedTarget>(Context_, std::move(Script));
  }

  /// Gives workspace `red` the key `key-1` and makes `/look/` public.
  void useWorkspaces() {
    RoutingConfig Config = routes(2, std::chrono::milliseconds(600),
                                  std::chrono::milliseconds(300), 2);
    Config.Routes_.front().IsPublic_ = true;
    WorkspaceSettings Red;
    Red.Name_ = WorkspaceName("red");
    Red.Keys_ = {digestOf("key-1")};
    Config.Workspaces_ = {Red};
    Core_.setTable(std::make_shared<const RouteTable>(Config));
  }

  /// Starts a target that records what it gets in Forwarded_, and answers with
  /// these header lines beside its own.
  void startRecordingTarget(const std::string &Headers = "",
                            const std::string &Status = "200 OK") {
    startTarget([this, Headers, Status](ScriptedTarget::Socket &Socket,
                                        const std::string &Request) {
      if (!hasCompleteHead(Request))
        return false;
      Forwarded_ += Request;
      std::string Answer = answer(requestIdOf(Request), "whole", Status);
      Answer.insert(Answer.find("\r\n") + 2, Headers);
      sendText(Socket, Answer);
      return true;
    });
  }

  void call(const std::string &Bytes) {
    Caller_.connect(localEndpoint(FrontPort));
    sendText(Caller_, Bytes);
    readAnswers();
  }

  /// Sends `Count` requests and reads nothing yet. Runs until the target has
  /// got them all and the host has all of its answers, for at most 10 s.
  bool callWithoutReading(std::size_t Count) {
    Caller_.open(asio::ip::tcp::v4());
    Caller_.set_option(asio::socket_base::receive_buffer_size(4'096));
    Caller_.connect(localEndpoint(FrontPort));
    std::string Requests;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Requests += request("/large/1", "id" + std::to_string(Index));
    sendText(Caller_, Requests);
    const auto IsAnswered = [&] {
      return Target_->handled() == Count &&
             Client_.idleConnections() == Target_->accepted();
    };
    for (int Try = 0; Try < 10 && !runUntil(IsAnswered); ++Try) {
    }
    return IsAnswered();
  }

  void readAnswers() {
    Caller_.async_read_some(
        asio::buffer(Buffer_),
        [this](const asio::error_code &Error, std::size_t Size) {
          Received_.append(Buffer_.data(), Size);
          IsEnded_ = static_cast<bool>(Error);
          if (!Error)
            readAnswers();
        });
  }

  static std::string request(const std::string &Path, const std::string &Id,
                             const std::string &Method = "GET",
                             const std::string &Body = "") {
    return Method + " " + Path +
           " HTTP/1.1\r\nHost: h.example\r\n"
           "Kumquatpitch-Request-Id: " +
           Id + "\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }

  /// Sends two bookings, one after the other. The target answers the first and
  /// sends `SecondAnswer` for the second, on the same connection, which it then
  /// ends if `EndsAfter` is set.
  void bookTwice(const std::string &SecondAnswer, bool EndsAfter = false) {
    startTarget([SecondAnswer, EndsAfter,
                 IsFirst = true](ScriptedTarget::Socket &Socket,
                                 const std::string &Request) mutable {
      if (!hasCompleteHead(Request))
        return false;
      sendText(Socket,
               IsFirst ? answer(requestIdOf(Request), "first") : SecondAnswer);
      if (EndsAfter && !IsFirst)
        Socket.shutdown(ScriptedTarget::Socket::shutdown_send);
      IsFirst = false;
      return true;
    });
    call(request("/book/1", "id1", "POST"));
    CHECK(runUntilReceived("first"));
    sendText(Caller_, request("/book/2", "id2", "POST"));
  }

  /// The first line of the log that contains `Part`; empty if there is none.
  std::string logLine(const std::string &Part) {
    Log_.flush();
    std::string Text;
    std::array<char, 4'096> Bytes;
    for (ssize_t Size = 1; Size > 0;) {
      Size = pread(fileno(LogFile_), Bytes.data(), Bytes.size(),
                   static_cast<off_t>(Text.size()));
      Text.append(Bytes.data(), Size > 0 ? static_cast<std::size_t>(Size) : 0);
    }
    const std::size_t At = Text.find(Part);
    if (At == std::string::npos)
      return "";
    const std::size_t Start = Text.rfind('\n', At) + 1;
    return Text.substr(Start, Text.find('\n', At) - Start);
  }

  /// Runs until the caller has received `Text`, for at most 1 s.
  bool runUntilReceived(const std::string &Text) {
    return runUntil([&] { return Received_.find(Text) != std::string::npos; });
  }

  bool runUntil(const std::function<bool()> &IsDone) {
    for (int Step = 0; Step < 200 && !IsDone(); ++Step) {
      Context_.restart();
      Context_.run_for(std::chrono::milliseconds(5));
    }
    return IsDone();
  }
};

} // namespace kumquatpitch::test

#endif
