// Tests that no caller gets an answer that is not whole or not its own from
// backend servers whose answers are composed at random. The judge is the
// caller: it knows the body of each answer.
//
// COMPOSED_ANSWERS_SEEDS="FIRST LAST" runs other seeds.

#include "gateway-front-fixture.h"

#include "composed-target.h"

#include <cstdlib>
#include <sstream>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

/// What a caller made of the answer to one request.
enum class Verdict : std::uint8_t {
  Whole,
  Failed,  ///< 502, 504 or a connection that ended: may have run.
  NotRun,  ///< 503: refused.
  Partial, ///< A first part of the body, without a length and ended in order.
  Mixed,   ///< Complete, and not the server's whole body.
};
constexpr std::size_t Verdicts = 5;

/// A caller's connection for one request.
class ComposedCaller {
public:
  explicit ComposedCaller(std::uint16_t Port)
      : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    IsConnected_ = connect(Socket_, reinterpret_cast<sockaddr *>(&Address),
                           sizeof Address) == 0;
  }
  ~ComposedCaller() { close(Socket_); }
  ComposedCaller(const ComposedCaller &) = delete;
  ComposedCaller &operator=(const ComposedCaller &) = delete;

  Verdict call(const std::string &Id, bool IsIdempotent) {
    const std::string Request =
        std::string(IsIdempotent ? "GET /look/" : "POST /book/") + Id +
        " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
        "Kumquatpitch-Request-Id: " +
        Id + (IsIdempotent ? "\r\n\r\n" : "\r\nContent-Length: 0\r\n\r\n");
    if (!IsConnected_ ||
        send(Socket_, Request.data(), Request.size(), MSG_NOSIGNAL) < 0)
      return Verdict::Failed;
    char Buffer[16'384];
    ssize_t Size = 0;
    while ((Size = recv(Socket_, Buffer, sizeof Buffer, 0)) > 0)
      Received_.append(Buffer, static_cast<std::size_t>(Size));
    return judge(Id, Size < 0);
  }

  /// Of the last answer.
  std::string describe() const {
    return Received_.substr(0, Received_.find("\r\n")) + ", " +
           std::to_string(Received_.size()) + " bytes";
  }

private:
  static bool hasValidStatus(const std::string &Head) {
    constexpr std::size_t StatusAt = 9; // Behind "HTTP/1.1 ".
    return Head.find(' ', StatusAt) == StatusAt + 3 && Head[StatusAt] >= '1' &&
           Head[StatusAt] <= '5';
  }

  Verdict judge(const std::string &Id, bool IsReset) const {
    const std::size_t HeadEnd = Received_.find("\r\n\r\n");
    if (HeadEnd == std::string::npos)
      return Verdict::Failed;
    const std::string Head = Received_.substr(0, HeadEnd + 2);
    if (!hasValidStatus(Head))
      return Verdict::Mixed;
    if (Head.starts_with("HTTP/1.1 503"))
      return Verdict::NotRun;
    if (!Head.starts_with("HTTP/1.1 200"))
      return Verdict::Failed;
    const std::string Body = Received_.substr(HeadEnd + 4);
    const std::string LengthName = "Content-Length: ";
    const std::size_t Length = Head.find(LengthName);
    const bool IsFramed = Length != std::string::npos;
    const bool IsComplete =
        IsFramed
            ? Body.size() == std::stoul(Head.substr(Length + LengthName.size()))
            : !IsReset;
    if (!IsComplete)
      return Verdict::Failed;
    const std::string Whole = composedBody(Id);
    const bool IsOwn = Head.find("Kumquatpitch-Request-Id: " + Id + "\r\n") !=
                           std::string::npos &&
                       Head.find("Kumquatpitch-Answer-Signature: s" + Id +
                                 "\r\n") != std::string::npos;
    if (IsOwn && Body == Whole)
      return Verdict::Whole;
    return IsOwn && !IsFramed && Whole.starts_with(Body) ? Verdict::Partial
                                                         : Verdict::Mixed;
  }

  const int Socket_;
  bool IsConnected_ = false;
  std::string Received_;
};

/// Verdicts of a run, counted.
struct ComposedTally {
  std::array<int, Verdicts> Counts_{};
  int Untellable_ =
      0; ///< Halves of which nothing tells, and that were passed on.
  std::string Mixed_; ///< A line for each mixed answer.

  int count(Verdict Kind) const {
    return Counts_[static_cast<std::size_t>(Kind)];
  }
};

} // namespace

TEST_GROUP_BASE(ComposedAnswers, GatewayFrontFixture) {
  static constexpr std::size_t Targets = 8;
  /// Below the connections that the fixture's server accepts.
  static constexpr int Callers = 9;
  /// A target that failed is ejected. Here all fail all the time, so that each
  /// is declared to be a new one at this period.
  static constexpr Duration RenewalPeriod = std::chrono::milliseconds(10);

  void setup() override {
    GatewayFrontFixture::setup();
    Core_.setTable(std::make_shared<const RouteTable>(
        routes(2, std::chrono::seconds(2), std::chrono::seconds(1), 2)));
  }

  void declareTargets(const std::vector<std::unique_ptr<ComposedTarget>> &All) {
    std::map<TargetId, TargetEntry> Declared;
    ++TargetStarts_;
    for (std::size_t Index = 0; Index < All.size(); ++Index) {
      TargetEntry Entry;
      Entry.Id_ = TargetId("t" + std::to_string(Index));
      Entry.Service_ = ServiceName("desk");
      Entry.Address_ = Endpoint{"127.0.0.1", All[Index]->port()};
      Entry.Slots_ = 8;
      Entry.StartedUnixMs_ = TargetStarts_;
      Declared.emplace(Entry.Id_, Entry);
    }
    Core_.setTargets(Declared, Timers_.now());
  }

  ComposedTally runSeed(std::uint64_t Seed, int Requests) {
    ComposedRecord Record(Seed);
    std::vector<std::unique_ptr<ComposedTarget>> All;
    for (std::size_t Index = 0; Index < Targets; ++Index)
      All.push_back(std::make_unique<ComposedTarget>(Record));
    ComposedTally Tally;
    std::mutex Mutex;
    std::atomic<int> Next = 0;
    std::atomic<int> Running = Callers;
    std::vector<std::thread> Threads;
    Threads.reserve(Callers);
    for (int Index = 0; Index < Callers; ++Index)
      Threads.emplace_back([&] {
        for (int Number = Next++; Number < Requests; Number = Next++)
          callOnce(std::to_string(Seed) + "-" + std::to_string(Number),
                   Number % 2 == 0, Record, Tally, Mutex);
        --Running;
      });
    asio::steady_timer Renewal(Context_);
    std::function<void()> Renew = [&] {
      declareTargets(All);
      Renewal.expires_after(RenewalPeriod);
      Renewal.async_wait([&](const asio::error_code &Error) {
        if (!Error)
          Renew();
      });
    };
    Renew();
    Context_.restart();
    while (Running > 0)
      Context_.run_for(std::chrono::milliseconds(10));
    Renewal.cancel();
    Context_.run_for(std::chrono::milliseconds(1));
    for (std::thread &Thread : Threads)
      Thread.join();
    return Tally;
  }

  /// Plays the seeds and passes the tally of each to `Check`.
  void runSeeds(const std::function<void(const ComposedTally &)> &Check) {
    std::uint64_t First = 1;
    std::uint64_t Last = 2;
    if (const char *Seeds = std::getenv("COMPOSED_ANSWERS_SEEDS"))
      std::istringstream(Seeds) >> First >> Last;
    constexpr int Requests = 360;
    for (std::uint64_t Seed = First; Seed <= Last; ++Seed) {
      const ComposedTally Tally = runSeed(Seed, Requests);
      std::printf("seed %llu: %d whole, %d failed, %d not run, %d partial, "
                  "%d mixed, of these %d untellable\n%s",
                  static_cast<unsigned long long>(Seed),
                  Tally.count(Verdict::Whole), Tally.count(Verdict::Failed),
                  Tally.count(Verdict::NotRun), Tally.count(Verdict::Partial),
                  Tally.count(Verdict::Mixed), Tally.Untellable_,
                  Tally.Mixed_.c_str());
      Check(Tally);
      CHECK(Tally.count(Verdict::Whole) > Requests / 8);
    }
  }

  static void callOnce(const std::string &Id, bool IsIdempotent,
                       ComposedRecord &Record, ComposedTally &Tally,
                       std::mutex &Mutex) {
    ComposedCaller Caller(FrontPort);
    Verdict Got = Caller.call(Id, IsIdempotent);
    const std::lock_guard<std::mutex> Lock(Mutex);
    const std::vector<ComposedAnswer> AllSent = Record.answersTo(Id);
    const bool HasSentAnAnswer = std::any_of(
        AllSent.begin(), AllSent.end(),
        [](const ComposedAnswer &Sent) { return !Sent.HasOddStatus_; });
    if (Got == Verdict::Whole && !HasSentAnAnswer)
      Got = Verdict::Mixed;
    ++Tally.Counts_[static_cast<std::size_t>(Got)];
    if (Got != Verdict::Mixed && Got != Verdict::Partial)
      return;
    std::string Line = Id + ": " + Caller.describe();
    bool IsUntellable = false;
    for (const ComposedAnswer &Sent : AllSent) {
      Line += "; " + Sent.Description_;
      IsUntellable = IsUntellable || Sent.IsUntellable_;
    }
    if (IsUntellable)
      ++Tally.Untellable_;
    else
      Tally.Mixed_ += Line + "\n";
  }
};

// Guards against delivering as complete what a second answer, a cut or a reset
// has made of an answer, in any order, framing and timing.
TEST(ComposedAnswers, NoCallerGetsAnAnswerThatIsNotWhole) {
  runSeeds([](const ComposedTally &Tally) {
    CHECK_TEXT(Tally.Mixed_.empty(), Tally.Mixed_.c_str());
    CHECK_EQUAL(0, Tally.count(Verdict::Partial));
    CHECK_EQUAL(0, Tally.Untellable_);
  });
}

// The same for a service that is declared to answer without a length, except
// for the first part of such an answer with an orderly end.
TEST(ComposedAnswers, DeclaredServiceDeliversOnlyWhatNothingSpeaksAgainst) {
  declareUnframed();
  runSeeds([](const ComposedTally &Tally) {
    CHECK_TEXT(Tally.Mixed_.empty(), Tally.Mixed_.c_str());
  });
}
