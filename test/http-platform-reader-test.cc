// HttpPlatformReader against an HTTP server in the test process.

#include "kumquatpitch/http-platform-reader.h"

#include <future>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

TEST_GROUP(HttpPlatformReader) {
  httplib::Server Server_;
  std::thread Thread_;
  std::unique_ptr<HttpPlatformReader> Reader_;

  void setup() override {
    Server_.Get("/v1/read/manifest", [](const httplib::Request &,
                                        httplib::Response &Reply) {
      Reply.set_header("Kumquatpitch-Version", "17");
      Reply.set_content(std::string(10'000, ' ') + "{}", "application/json");
    });
    Server_.Get("/v1/read/hosts",
                [](const httplib::Request &, httplib::Response &Reply) {
                  Reply.set_content("{}", "application/json");
                });
    Server_.Get("/v1/read/parts/contract/imigongo/00",
                [](const httplib::Request &, httplib::Response &Reply) {
                  Reply.set_header("Kumquatpitch-Version", "0");
                  Reply.set_content(std::string(1'000'001, 'x'), "text/plain");
                });
    Server_.Get("/v1/watch/manifest",
                [](const httplib::Request &Request, httplib::Response &Reply) {
                  if (Request.get_param_value("after") == "17" &&
                      Request.get_param_value("wait_ms") == "20")
                    Reply.status = 204;
                  else
                    Reply.status = 503;
                });
    const int Port = Server_.bind_to_any_port("127.0.0.1");
    Thread_ = std::thread([this] { Server_.listen_after_bind(); });
    Reader_ = std::make_unique<HttpPlatformReader>(
        Endpoint{"127.0.0.1", static_cast<std::uint16_t>(Port)},
        std::chrono::seconds(2));
  }

  void teardown() override {
    Reader_.reset();
    Server_.stop();
    Thread_.join();
  }

  PlatformReply readKey(const std::string &Key) {
    std::promise<PlatformReply> Received;
    Reader_->read(
        Key, [&](const PlatformReply &Reply) { Received.set_value(Reply); });
    return Received.get_future().get();
  }
};

TEST(HttpPlatformReader, ReturnsValueAndVersion) {
  const PlatformReply Reply = readKey("manifest");
  CHECK(Reply.Status_ == PlatformStatus::Value);
  CHECK_EQUAL(17, Reply.Version_);
  CHECK_EQUAL(10'002, Reply.Body_.size());
  CHECK(Reply.WireBytes_ < 1'000);
}

TEST(HttpPlatformReader, ReportsAnUnknownKey) {
  CHECK(readKey("parts/x").Status_ == PlatformStatus::UnknownKey);
}

// Guards against treating a value without a version as version 0.
TEST(HttpPlatformReader, RejectsAReplyWithoutVersion) {
  CHECK(readKey("hosts").Status_ == PlatformStatus::Malformed);
}

// Guards against a value that exhausts the host's memory.
TEST(HttpPlatformReader, RejectsATooLongValue) {
  CHECK(readKey("parts/contract/imigongo/00").Status_ ==
        PlatformStatus::Malformed);
}

TEST(HttpPlatformReader, WatchReportsUnchangedAfterItsWait) {
  std::promise<PlatformReply> Received;
  Reader_->watch(
      "manifest", 17, std::chrono::milliseconds(20),
      [&](const PlatformReply &Reply) { Received.set_value(Reply); });
  CHECK(Received.get_future().get().Status_ == PlatformStatus::Unchanged);
}

// Guards against calls that never get a reply when the reader is destroyed.
TEST(HttpPlatformReader, DestructorCompletesEveryCall) {
  std::atomic<int> Replies = 0;
  for (int Count = 0; Count < 20; ++Count)
    Reader_->read("manifest", [&](const PlatformReply &) { ++Replies; });
  Reader_.reset();
  CHECK_EQUAL(20, Replies.load());
}
