// Tests HttpPlatformReader against answers that are cut, joined or do not end.

#include "kumquatpitch/http-platform-reader.h"

#include "endless-server.h"

#include <atomic>
#include <future>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::EndlessAnswer;
using kumquatpitch::test::EndlessServer;

namespace {

constexpr std::chrono::milliseconds Timeout{300};
constexpr std::chrono::seconds MaxDuration{2};
const std::string Head = "HTTP/1.1 200 OK\r\nKumquatpitch-Version: 17\r\n";

PlatformReply readKey(HttpPlatformReader &Reader, const std::string &Key) {
  std::promise<PlatformReply> Received;
  Reader.read(Key,
              [&](const PlatformReply &Reply) { Received.set_value(Reply); });
  return Received.get_future().get();
}

} // namespace

TEST_GROUP(DocumentFraming) {
  asio::io_context Context_;
  asio::ip::tcp::acceptor Server_{Context_,
                                  {asio::ip::make_address("127.0.0.1"), 0}};
  std::atomic<bool> HasEnded_{false};

  /// Reads one key from a server that writes `Answer` and closes.
  PlatformStatus statusOf(const std::string &Answer) {
    std::thread ServerThread([&] {
      asio::ip::tcp::socket Connection = Server_.accept();
      asio::streambuf Request;
      asio::read_until(Connection, Request, "\r\n\r\n");
      asio::write(Connection, asio::buffer(Answer));
    });
    HttpPlatformReader Reader(
        Endpoint{"127.0.0.1", Server_.local_endpoint().port()}, Timeout);
    const PlatformStatus Status = readKey(Reader, "manifest").Status_;
    ServerThread.join();
    return Status;
  }

  /// Checks that reading ends in time and without holding the whole answer.
  void checkIsCutOff(const EndlessAnswer &Answer) {
    const std::chrono::steady_clock::time_point Start =
        std::chrono::steady_clock::now();
    EndlessServer Server(Answer);
    HttpPlatformReader Reader(Endpoint{"127.0.0.1", Server.port()}, Timeout);
    const PlatformStatus Status = readKey(Reader, "manifest").Status_;
    const std::chrono::steady_clock::duration Taken =
        std::chrono::steady_clock::now() - Start;
    const std::size_t Written = Server.writtenBytes();
    const std::string Text =
        Answer.Start_ + " " + std::to_string(Written) + " bytes";
    CHECK_TEXT(Status != PlatformStatus::Value, Text.c_str());
    CHECK_TEXT(Taken < MaxDuration, Text.c_str());
    CHECK_TEXT(Written < Answer.MaxBytes_ / 2, Text.c_str());
  }
};

// Guards against taking a document of which the server wrote a part: the HTTP
// library takes a chunk without its line end for the last one.
TEST(DocumentFraming, CutDocumentsAreNotTaken) {
  const std::string Chunked =
      Head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n1\r\n \r\n0\r\n\r\n";
  const std::string Counted = Head + "Content-Length: 4\r\n\r\n{  }";
  for (const std::string &Whole : {Chunked, Counted}) {
    CHECK(statusOf(Whole) == PlatformStatus::Value);
    for (std::size_t Size = 0; Size < Whole.size(); ++Size)
      for (const std::string Behind : {"", "x\r\n", "HTTP/1.1 200 O"}) {
        const std::string Sent = Whole.substr(0, Size) + Behind;
        if (Whole == Counted && Size + Behind.size() >= Whole.size())
          continue; // Other bytes fill the length.
        CHECK_TEXT(statusOf(Sent) != PlatformStatus::Value, Sent.c_str());
      }
  }
}

TEST(DocumentFraming, DocumentsWithoutALengthAreNotTaken) {
  CHECK(statusOf(Head + "\r\n{}") == PlatformStatus::Malformed);
  CHECK(statusOf(Head + "Connection: close\r\n\r\n{}") ==
        PlatformStatus::Malformed);
  CHECK(statusOf(Head + "Content-Length: 0\r\n\r\n") ==
        PlatformStatus::Malformed);
}

// Guards against answers that are one behind: the second copy of an answer,
// written late, is read as the answer to the next request, and so on.
TEST(DocumentFraming, SecondCopyIsNotTheNextAnswer) {
  constexpr int Reads = 8;
  constexpr std::chrono::milliseconds Late{10};
  std::vector<std::thread> Threads;
  std::thread Listener([&] {
    while (true) {
      asio::ip::tcp::socket Connection = Server_.accept();
      if (HasEnded_)
        return;
      Threads.emplace_back([Late, Own = std::move(Connection)]() mutable {
        asio::streambuf Request;
        asio::error_code Error;
        while (asio::read_until(Own, Request, "\r\n\r\n", Error) > 0) {
          const std::string Text(asio::buffers_begin(Request.data()),
                                 asio::buffers_end(Request.data()));
          Request.consume(Request.size());
          const std::string Answer = Head + "Content-Length: 4\r\n\r\n" +
                                     Text.substr(Text.find("/key") + 1, 4);
          asio::write(Own, asio::buffer(Answer), Error);
          std::this_thread::sleep_for(Late);
          asio::write(Own, asio::buffer(Answer), Error);
        }
      });
    }
  });
  std::vector<std::string> Bodies;
  {
    HttpPlatformReader Reader(
        Endpoint{"127.0.0.1", Server_.local_endpoint().port()}, Timeout);
    for (int Key = 0; Key < Reads; ++Key) {
      Bodies.push_back(readKey(Reader, "key" + std::to_string(Key)).Body_);
      std::this_thread::sleep_for(3 * Late);
    }
  }
  HasEnded_ = true;
  asio::ip::tcp::socket(Context_).connect(Server_.local_endpoint());
  Listener.join();
  for (std::thread &Thread : Threads)
    Thread.join();
  for (int Key = 0; Key < Reads; ++Key)
    STRCMP_EQUAL(("key" + std::to_string(Key)).c_str(), Bodies[Key].c_str());
}

// Guards against heads and chunk lines that fill the host's memory.
TEST(DocumentFraming, EndlessHeadsAreCutOff) {
  const std::string Filler(1'000, 'f');
  checkIsCutOff({Head, "X-Filler: " + Filler + "\r\n", {}});
  checkIsCutOff({Head + "X-Filler: ", Filler, {}});
  checkIsCutOff({Head + "Transfer-Encoding: chunked\r\n\r\n2;x=", Filler, {}});
  checkIsCutOff({Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                 "X-Filler: " + Filler + "\r\n",
                 {}});
}

TEST(DocumentFraming, EndlessBodiesAreCutOff) {
  const std::string Block(1'000, 'b');
  checkIsCutOff({Head + "Content-Length: 9000000000\r\n\r\n", Block, {}});
  checkIsCutOff({Head + "\r\n", Block, {}});
  checkIsCutOff({Head + "Transfer-Encoding: chunked\r\n\r\n",
                 "3e8\r\n" + Block + "\r\n",
                 {}});
}

// Guards against a platform whose slow answers occupy the reader's threads: the
// HTTP library's timeout begins anew with each byte.
TEST(DocumentFraming, SlowAnswersEndAtTheTimeout) {
  constexpr std::chrono::milliseconds Pause{20};
  checkIsCutOff({Head + "X-Filler: ", "f", Pause});
  checkIsCutOff({Head + "Content-Length: 9000\r\n\r\n", " ", Pause});
  checkIsCutOff({"", "HTTP/1.1 100 Continue\r\n\r\n", Pause});
}
