// Tests reads of the store over a link of 10 Mbit/s, the slowest one that a
// host may have. What is read of a large configuration must stay within what
// the link carries in time, and each read must end.

#include "kumquatpitch/store-follower.h"
#include "platform/store-client.h"

#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <chrono>
#include <openssl/evp.h>
#include <string>
#include <sys/socket.h>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

using Clock = std::chrono::steady_clock;

std::string base64(const std::string &Bytes) {
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  Text.resize(static_cast<std::size_t>(
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()))));
  return Text;
}

/// A store with versions of a large configuration, behind a link of 10 Mbit/s.
/// Version N is written at revision N. Serves one connection after the other,
/// in the order in which they are opened.
class SlowStore {
public:
  explicit SlowStore(std::size_t ConfigBytes)
      : ConfigBytes_(ConfigBytes), Thread_([this] { serve(); }) {}
  ~SlowStore() {
    IsStopping_ = true;
    asio::error_code Ignored;
    ::shutdown(Served_, SHUT_RDWR);
    asio::ip::tcp::socket(Context_).connect(Acceptor_.local_endpoint(),
                                            Ignored);
    Thread_.join();
  }
  SlowStore(const SlowStore &) = delete;
  SlowStore &operator=(const SlowStore &) = delete;

  Endpoint address() const {
    return Endpoint{"127.0.0.1", Acceptor_.local_endpoint().port()};
  }
  std::size_t writtenBytes() const { return Written_; }

  std::atomic<std::uint64_t> Version_ = 1;
  /// Written with each pause of a tenth of a second, instead of the link's
  /// rate. 0 stops the answer once its first bytes are written.
  std::atomic<std::size_t> TrickleBytes_ = SIZE_MAX;

private:
  static constexpr std::size_t BytesPerSecond = 10'000'000 / 8;

  std::string item(std::uint64_t Version) const {
    const std::string Digits = std::to_string(Version);
    const std::string Config = R"({"Version":")" +
                               std::string(8 - Digits.size(), '0') + Digits +
                               R"(","Listeners":[],"Clusters":[],"Padding":")" +
                               std::string(ConfigBytes_, 'x') + R"("})";
    return R"({"Key":"op/config","Value":")" + base64(Config) +
           R"(","Revision":)" + Digits + R"(,"Created":1,"Lease":0)";
  }

  std::string body(const std::string &Path) const {
    const std::uint64_t Version = Version_;
    const std::string AsOf = R"("AsOf":)" + std::to_string(Version) + "}";
    if (Path.rfind("/kv-key", 0) == 0)
      return item(Version) + "," + AsOf;
    if (Path.rfind("/kv-range", 0) == 0)
      return R"({"items":[)" + item(Version) + R"(}],"HasMore":false,)" + AsOf;
    std::string Events;
    if (Path.find("Prefix=servers/") == std::string::npos)
      for (std::uint64_t Next =
               std::stoull(Path.substr(Path.find("after=") + 6)) + 1;
           Next <= Version; ++Next)
        Events += (Events.empty() ? "" : ",") + item(Next) + "}";
    return R"({"events":[)" + Events + "]," + AsOf;
  }

  void serve() {
    while (!IsStopping_) {
      asio::ip::tcp::socket Connection = Acceptor_.accept();
      Served_ = Connection.native_handle();
      asio::streambuf Request;
      asio::error_code Error;
      while (!Error && !IsStopping_) {
        const std::size_t Size =
            asio::read_until(Connection, Request, "\r\n\r\n", Error);
        if (Error)
          break;
        std::string Line(asio::buffers_begin(Request.data()),
                         asio::buffers_begin(Request.data()) +
                             static_cast<std::ptrdiff_t>(Size));
        Request.consume(Size);
        Line = Line.substr(4, Line.find(" HTTP") - 4);
        const std::string Body = body(Line);
        write(Connection,
              "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: " +
                  std::to_string(Body.size()) + "\r\n\r\n" + Body,
              Error);
      }
    }
  }

  void write(asio::ip::tcp::socket &Connection, const std::string &Answer,
             asio::error_code &Error) {
    constexpr std::size_t BlockBytes = 4'096;
    Clock::time_point FreeAt = Clock::now();
    for (std::size_t At = 0; At < Answer.size() && !Error;) {
      const std::size_t Limit =
          At == 0 ? BlockBytes : std::min(BlockBytes, TrickleBytes_.load());
      if (Limit == 0)
        return;
      const std::size_t Size = std::min(Limit, Answer.size() - At);
      asio::write(Connection, asio::buffer(Answer.data() + At, Size), Error);
      At += Size;
      Written_ += Size;
      FreeAt +=
          Limit < BlockBytes
              ? Clock::duration(std::chrono::milliseconds(100))
              : std::chrono::nanoseconds(Size * 1'000'000'000 / BytesPerSecond);
      std::this_thread::sleep_until(FreeAt);
    }
  }

  const std::size_t ConfigBytes_;
  asio::io_context Context_;
  asio::ip::tcp::acceptor Acceptor_{Context_,
                                    {asio::ip::make_address("127.0.0.1"), 0}};
  std::atomic<bool> IsStopping_ = false;
  std::atomic<int> Served_ = -1; ///< Socket of the connection in service.
  std::atomic<std::size_t> Written_ = 0;
  std::thread Thread_;
};

TimePoint now() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch()));
}

} // namespace

TEST_GROUP(StoreSlowLink) {
  asio::io_context Context_;
  HttpClient Http_{Context_};
  StoreFollower Follower_{HostId("h1")};

  PublishedRead read(StoreClient & Client, const ReadRequest &Request) {
    std::optional<PublishedRead> Got;
    startRead(Client, Request, std::chrono::milliseconds(200),
              [&](PublishedRead Read) { Got = std::move(Read); });
    while (!Got && Context_.run_one_for(std::chrono::seconds(20)) > 0) {
    }
    CHECK_TEXT(Got.has_value(), "a read did not end");
    return std::move(*Got);
  }

  /// Follows the store until `Version` is in force, for at most `Limit`.
  void follow(StoreClient & Client, std::uint64_t Version,
              std::chrono::milliseconds Limit) {
    const Clock::time_point End = Clock::now() + Limit;
    while (Clock::now() < End &&
           (!Follower_.table() ||
            Follower_.table()->config().Version_ < Version)) {
      const std::optional<ReadRequest> Request = Follower_.due(0, now());
      if (Request)
        Follower_.readEnded(read(Client, *Request), now());
      else
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }

  std::uint64_t versionInForce() const {
    return Follower_.table() ? Follower_.table()->config().Version_ : 0;
  }
};

// Guards against hosts that never read a large configuration after a restart,
// because the listing takes longer than the store's timeout.
TEST(StoreSlowLink, LargeConfigurationIsListed) {
  SlowStore Store(1'000'000);
  StoreClient Client(Http_, Store.address());
  follow(Client, 1, std::chrono::seconds(5));
  CHECK_EQUAL(1, versionInForce());
}

// Guards against reading, without end, all versions of a configuration that
// were written during a partition from the store.
TEST(StoreSlowLink, MissedVersionsAreNotRead) {
  SlowStore Store(475'000);
  StoreClient Client(Http_, Store.address());
  follow(Client, 1, std::chrono::seconds(5));
  const std::size_t ListedBytes = Store.writtenBytes();
  Store.Version_ = 6;
  follow(Client, 6, std::chrono::seconds(3));
  CHECK_EQUAL(6, versionInForce());
  CHECK_EQUAL(6, Follower_.revision());
  CHECK(Store.writtenBytes() < ListedBytes + 1'500'000);
}

// Guards against a host that waits for the rest of one answer while everything
// else in the store changes.
TEST(StoreSlowLink, AnswersThatTrickleOrStopEnd) {
  for (const std::size_t Bytes : {std::size_t(0), std::size_t(100)}) {
    SlowStore Store(475'000);
    Store.TrickleBytes_ = Bytes;
    StoreClient Client(Http_, Store.address());
    const Clock::time_point Start = Clock::now();
    for (const ReadRequest::Kind Kind :
         {ReadRequest::Kind::Changes, ReadRequest::Kind::Config,
          ReadRequest::Kind::All})
      CHECK(read(Client, ReadRequest{Kind}).Status_ == ReadStatus::Failed);
    CHECK(Clock::now() - Start < std::chrono::seconds(6));
  }
}
