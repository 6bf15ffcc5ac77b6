// Tests StoreClient against a store that sends without end.

#include "kumquatpitch/http-server.h"
#include "platform/store-client.h"

#include "child-process.h"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using namespace kumquatpitch::test;

namespace {

/// Each page of its listing names a next one.
class EndlessStore : public HttpHandler {
public:
  void handle(std::shared_ptr<HttpExchange> Exchange) override {
    ++Pages_;
    const nlohmann::json Page = {{"AsOf", 1},
                                 {"HasMore", true},
                                 {"items",
                                  {{{"Key", "other/key"},
                                    {"Value", ""},
                                    {"Revision", 1},
                                    {"Created", 1},
                                    {"Lease", 0}}}},
                                 {"Padding", std::string(4'000'000, 'x')}};
    HttpMessage Response;
    Response.Status_ = 200;
    Response.Headers_.emplace_back("Store-Era", "1");
    Response.Body_ = Page.dump();
    Exchange->answer(std::move(Response));
  }

  HttpMessage reject(ResultCode Code) override {
    HttpMessage Response;
    Response.Status_ = httpStatus(Code);
    return Response;
  }

  int Pages_ = 0;
};

} // namespace

TEST_GROUP(StoreClient) {
  asio::io_context Context_;
  EndlessStore Store_;
  HttpServer Server_{Context_, Store_};
  HttpClient Http_{Context_};
};

// Guards against a listing that is collected until the memory is used up.
TEST(StoreClient, ListingWithoutEndFails) {
  const Endpoint Address{"127.0.0.1", static_cast<std::uint16_t>(freePort())};
  const bool IsListening = handleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(Server_.listen(Address, 10));
        return true;
      },
      [](const Failure &) { return false; });
  CHECK(IsListening);
  StoreClient Client(Http_, Address);
  std::optional<PublishedRead> Got;
  Client.listAll([&](PublishedRead Read) { Got = std::move(Read); });
  constexpr int MaxPages = 40;
  while (!Got && Store_.Pages_ < MaxPages &&
         Context_.run_one_for(std::chrono::seconds(2)) > 0) {
  }
  CHECK(Got.has_value());
  CHECK(Got->Status_ == ReadStatus::Failed);
  CHECK_EQUAL(std::string("listing is too long"), Got->Detail_);
  CHECK(Store_.Pages_ > 10);
}
