// Tests BackendClient against servers whose answers do not end.

#include "kumquatpitch/backend-client.h"

#include "endless-server.h"
#include "manual-time.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::EndlessAnswer;
using kumquatpitch::test::EndlessServer;

namespace {

const std::string Head = "HTTP/1.1 200 OK\r\nX-Attempt: 7-1\r\n";
/// What a server may write before it notices that its peer has closed: the
/// buffers of both sockets and the limit of a head.
constexpr std::size_t MaxWrittenBytes = 24 << 20;

} // namespace

TEST_GROUP(EndlessAnswer) {
  test::ManualTimerService Time_;
  BackendClient Client_{Time_};

  AttemptEnd attempt(const EndlessServer &Server,
                     std::chrono::milliseconds Timeout) {
    AttemptOrder Order;
    Order.WireId_ = "7-1";
    Order.EchoHeader_ = "X-Attempt";
    Order.Address_ = Endpoint{"127.0.0.1", Server.port()};
    Order.Deadline_ = Time_.now() + Timeout;
    Order.MaxAnswerBytes_ = 100'000;
    Order.MaxIdleConnections_ = 1;
    AttemptCanceller Canceller;
    return Client_
        .run(
            Order, HttpRequest{"GET", "/a", {{"Host", "h"}}, ""},
            [] { return true; }, Canceller)
        .Report_.End_;
  }

  /// Checks that the client closes soon after its limits are exceeded.
  void checkIsCutOff(const std::string &Start, const std::string &Block) {
    EndlessServer Server(EndlessAnswer{Start, Block, {}});
    const AttemptEnd End = attempt(Server, std::chrono::seconds(30));
    const std::size_t Written = Server.writtenBytes();
    CHECK_TEXT(End == AttemptEnd::Broken || End == AttemptEnd::TooLarge,
               Start.c_str());
    CHECK_TEXT(Written < MaxWrittenBytes,
               (Start + " " + std::to_string(Written) + " bytes").c_str());
  }
};

// Guards against heads and chunk lines that fill the host's memory until the
// deadline: the HTTP library does not limit them.
TEST(EndlessAnswer, HeadFieldsAreCutOff) {
  checkIsCutOff(Head, "X-Filler: " + std::string(1'000, 'f') + "\r\n");
}

TEST(EndlessAnswer, OneFieldIsCutOff) {
  checkIsCutOff(Head + "X-Filler: ", std::string(1'000, 'f'));
}

TEST(EndlessAnswer, StatusLineIsCutOff) {
  checkIsCutOff("HTTP/1.1 200 ", std::string(1'000, 'f'));
}

// Guards against a stack overflow: the HTTP library matches the status line
// with a recursive function.
TEST(EndlessAnswer, LongStatusLineIsNotTaken) {
  for (const std::size_t Size : {2'000, 20'000, 70'000})
    checkIsCutOff("HTTP/1.1 200 " + std::string(Size, 'f') + "\r\n" +
                      Head.substr(Head.find("X-")) +
                      "Content-Length: 9000000000\r\n\r\n",
                  std::string(1'000, 'b'));
}

TEST(EndlessAnswer, ChunkExtensionIsCutOff) {
  checkIsCutOff(Head + "Transfer-Encoding: chunked\r\n\r\n5;x=",
                std::string(1'000, 'f'));
}

TEST(EndlessAnswer, TrailersAreCutOff) {
  checkIsCutOff(Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                "X-Filler: " + std::string(1'000, 'f') + "\r\n");
}

TEST(EndlessAnswer, BytesThatAreNoAnswerAreCutOff) {
  checkIsCutOff("no answer", std::string(1'000, '\0'));
}

TEST(EndlessAnswer, BodiesAreCutOff) {
  const std::string Block(1'000, 'b');
  checkIsCutOff(Head + "\r\n", Block);
  checkIsCutOff(Head + "Content-Length: 9000000000\r\n\r\n", Block);
  checkIsCutOff(Head + "Transfer-Encoding: chunked\r\n\r\n",
                "3e8\r\n" + Block + "\r\n");
  checkIsCutOff(Head + "Transfer-Encoding: chunked\r\n\r\n218711A00\r\n",
                Block);
}

// Guards against a worker thread that reads on behind the deadline. The owner's
// canceller has no effect on an exchange that is about to begin writing.
TEST(EndlessAnswer, ExchangeEndsSoonAfterItsDeadline) {
  constexpr std::chrono::milliseconds Timeout{200};
  constexpr std::chrono::seconds MaxDuration{2};
  for (const EndlessAnswer &Answer :
       {EndlessAnswer{"", "HTTP/1.1 100 Continue\r\n\r\n", {}},
        EndlessAnswer{"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", {}},
        EndlessAnswer{Head + "X-Filler: ", "f", std::chrono::milliseconds(20)},
        EndlessAnswer{Head + "Content-Length: 9000\r\n\r\n", "b",
                      std::chrono::milliseconds(20)}}) {
    const std::chrono::steady_clock::time_point Start =
        std::chrono::steady_clock::now();
    EndlessServer Server(Answer);
    const AttemptEnd End = attempt(Server, Timeout);
    const std::chrono::steady_clock::duration Taken =
        std::chrono::steady_clock::now() - Start;
    CHECK_TEXT(End != AttemptEnd::Answered, Answer.Block_.c_str());
    CHECK_TEXT(Taken < MaxDuration, Answer.Block_.c_str());
  }
}

// Guards against holding an answer that may contain the beginning of another
// one for as long as bytes follow it.
TEST(EndlessAnswer, BytesBehindAnAnswerDoNotHoldIt) {
  constexpr std::chrono::seconds MaxDuration{2};
  constexpr std::size_t NoLimit = SIZE_MAX; // Nothing holds these bytes.
  const std::string Body = "page about HTTP/1.1";
  std::string Behind;
  while (Behind.size() < 1'000'000) // Written faster than it is read.
    Behind += "HTTP/1.1 200 OK\r\nX-Filler: f\r\n\r\n";
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  EndlessServer Server(
      EndlessAnswer{Head + "Content-Length: " + std::to_string(Body.size()) +
                        "\r\n\r\n" + Body,
                    Behind,
                    {},
                    NoLimit});
  attempt(Server, std::chrono::seconds(30));
  CHECK(std::chrono::steady_clock::now() - Start < MaxDuration);
}
