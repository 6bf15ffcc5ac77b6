// Tests fetching of status reports against answers that are cut or do not end.

#include "kumquatpitch/status-fetch.h"

#include "endless-server.h"
#include "sample-status.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::EndlessAnswer;
using kumquatpitch::test::EndlessServer;

namespace {

constexpr std::chrono::milliseconds Timeout{300};
constexpr std::chrono::seconds MaxDuration{2};
const std::string Head = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_GROUP(StatusFetch) {
  asio::io_context Context_;
  asio::ip::tcp::acceptor Server_{Context_,
                                  {asio::ip::make_address("127.0.0.1"), 0}};

  /// Fetches from a server that writes `Answer` and closes.
  bool isTaken(const std::string &Answer) {
    std::thread ServerThread([&] {
      asio::ip::tcp::socket Connection = Server_.accept();
      asio::streambuf Request;
      asio::read_until(Connection, Request, "\r\n\r\n");
      asio::write(Connection, asio::buffer(Answer));
    });
    const std::vector<HostFetchResult> Fetched = fetchStatuses(
        {HostAddress{std::nullopt,
                     Endpoint{"127.0.0.1", Server_.local_endpoint().port()}}},
        Timeout);
    ServerThread.join();
    return Fetched.front().Status_.has_value();
  }

  /// Checks that the fetch ends in time and without holding the whole answer.
  void checkIsCutOff(const EndlessAnswer &Answer) {
    const std::chrono::steady_clock::time_point Start =
        std::chrono::steady_clock::now();
    EndlessServer Server(Answer);
    const std::vector<HostFetchResult> Fetched = fetchStatuses(
        {HostAddress{std::nullopt, Endpoint{"127.0.0.1", Server.port()}}},
        Timeout);
    const std::chrono::steady_clock::duration Taken =
        std::chrono::steady_clock::now() - Start;
    const std::size_t Written = Server.writtenBytes();
    const std::string Text =
        Answer.Start_ + " " + std::to_string(Written) + " bytes";
    CHECK_TEXT(!Fetched.front().Status_, Text.c_str());
    CHECK_TEXT(Taken < MaxDuration, Text.c_str());
    CHECK_TEXT(Written < Answer.MaxBytes_ / 2, Text.c_str());
  }
};

// Guards against a report that is taken although it was cut, also without a
// length: its JSON shows whether it is whole.
TEST(StatusFetch, CutReportsAreNotTaken) {
  const std::string Report = formatHostStatus(test::sampleStatus("h-1"));
  const std::string Counted =
      Head + "Content-Length: " + std::to_string(Report.size()) + "\r\n\r\n";
  const std::string Unframed = Head + "\r\n";
  CHECK(isTaken(Counted + Report));
  CHECK(isTaken(Head + "\r\n" + Report));
  constexpr std::size_t Step = 97; // Prime, so that cuts fall on any token.
  const std::size_t Last = Report.find_last_not_of(" \r\n");
  for (std::size_t Size = 0; Size <= Last; Size += Step) {
    const std::string Cut = Report.substr(0, Size);
    CHECK_FALSE(isTaken(Counted + Cut));
    CHECK_FALSE(isTaken(Unframed + Cut));
  }
  CHECK_FALSE(isTaken(Head + "\r\n" + Report.substr(0, Last)));
  CHECK_FALSE(isTaken(Head + "\r\n" + Report + "x"));
  std::string Twice = Head + "\r\n" + Report;
  Twice.append(Twice);
  CHECK_FALSE(isTaken(Twice));
  CHECK_FALSE(isTaken("HTTP/1.1 503 Full\r\n\r\n" + Report));
}

// Guards against a host whose answer occupies a command without end: the HTTP
// library's timeout begins anew with each byte.
TEST(StatusFetch, EndlessAnswersAreCutOff) {
  const std::string Filler(1'000, 'f');
  constexpr std::chrono::milliseconds Pause{20};
  checkIsCutOff({Head, "X-Filler: " + Filler + "\r\n", {}});
  checkIsCutOff({Head + "X-Filler: ", Filler, {}});
  checkIsCutOff({Head + "\r\n", Filler, {}});
  checkIsCutOff({Head + "X-Filler: ", "f", Pause});
  checkIsCutOff({Head + "\r\n", " ", Pause});
  checkIsCutOff({"", "HTTP/1.1 100 Continue\r\n\r\n", Pause});
}
