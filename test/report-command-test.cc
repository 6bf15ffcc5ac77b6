// Tests of the commands status and burn, which fetch from operator endpoints on
// loopback.

#include "kumquatpitch/burn-command.h"
#include "kumquatpitch/burn-html.h"
#include "kumquatpitch/operator-endpoint.h"
#include "kumquatpitch/report-options.h"
#include "kumquatpitch/status-command.h"
#include "kumquatpitch/status-report.h"

#include "sample-status.h"

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;
using kumquatpitch::test::ms;
using kumquatpitch::test::sampleBurn;
using kumquatpitch::test::sampleStatus;

namespace {

/// Serves the sample status under the given host's name.
class NamedView : public OperatorView {
public:
  explicit NamedView(const std::string &Host) : Host_(Host) {}
  bool ready() override { return true; }
  std::string metricsText() override { return ""; }
  HostStatus status() override { return sampleStatus(Host_); }

private:
  std::string Host_;
};

/// Operator endpoint of a host, on a free port.
struct ServedHost {
  explicit ServedHost(const std::string &Host) : View_(Host), Endpoint_(View_) {
    CHECK(!!Endpoint_.start({"127.0.0.1", 0}));
  }
  HostAddress address() const {
    return {std::nullopt, {"127.0.0.1", Endpoint_.port()}};
  }

  NamedView View_;
  OperatorEndpoint Endpoint_;
};

constexpr std::uint16_t ClosedPort = 1;
const HostAddress UnreachableHost{HostId("h-9"), {"127.0.0.1", ClosedPort}};

int runCommand(int (*Command)(int, char **),
               std::vector<std::string> Arguments) {
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size());
  for (std::string &Argument : Arguments)
    Pointers.push_back(Argument.data());
  return Command(static_cast<int>(Pointers.size()), Pointers.data());
}

Failure optionFailure(std::vector<std::string> Arguments, bool AcceptsHtml) {
  std::vector<char *> Pointers;
  Pointers.reserve(Arguments.size());
  for (std::string &Argument : Arguments)
    Pointers.push_back(Argument.data());
  return handleFailure(
      [&]() -> Result<Failure> {
        Result<ReportOptions> Parsed = parseReportOptions(
            static_cast<int>(Pointers.size()), Pointers.data(), AcceptsHtml);
        if (!Parsed)
          return Parsed.error();
        return Failure{ResultCode::Ok, ""};
      },
      [](const Failure &Cause) { return Cause; });
}

} // namespace

TEST_GROUP(ReportCommand){};

// Guards against one thread for each host: a host list can have thousands of
// entries.
TEST(ReportCommand, FetchesAtMostSixteenHostsAtOnce) {
  std::atomic<int> Active = 0;
  std::atomic<int> MaxConcurrent = 0;
  class SlowView : public NamedView {
  public:
    SlowView(const std::string &Host, std::atomic<int> &ActiveCounter,
             std::atomic<int> &MaxCounter)
        : NamedView(Host), Active_(ActiveCounter), MaxConcurrent_(MaxCounter) {}
    HostStatus status() override {
      const int Now = ++Active_;
      int Previous = MaxConcurrent_;
      while (Previous < Now &&
             !MaxConcurrent_.compare_exchange_weak(Previous, Now))
        ;
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      --Active_;
      return NamedView::status();
    }

  private:
    std::atomic<int> &Active_;
    std::atomic<int> &MaxConcurrent_;
  };
  std::vector<std::unique_ptr<SlowView>> Views;
  std::vector<std::unique_ptr<OperatorEndpoint>> Endpoints;
  std::vector<HostAddress> Hosts;
  for (int Index = 0; Index < 24; ++Index) {
    Views.push_back(std::make_unique<SlowView>("h-" + std::to_string(Index),
                                               Active, MaxConcurrent));
    Endpoints.push_back(std::make_unique<OperatorEndpoint>(*Views.back()));
    CHECK(!!Endpoints.back()->start({"127.0.0.1", 0}));
    Hosts.push_back({std::nullopt, {"127.0.0.1", Endpoints.back()->port()}});
  }
  CHECK(allHostsAnswered(fetchStatuses(Hosts, ms(5'000))));
  CHECK(MaxConcurrent > 1);
  CHECK(MaxConcurrent <= 16);
}

// Guards against a host that sends single bytes at long intervals and so delays
// the report of all other hosts: the library's timeout restarts with each byte.
TEST(ReportCommand, TimesOutWhenAHostSendsSlowly) {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(
      Context, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::thread SlowSender([&] {
    asio::ip::tcp::socket Client = Acceptor.accept();
    std::error_code Error;
    asio::write(Client,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n")),
                Error);
    for (int Index = 0; Index < 200 && !Error; ++Index) {
      asio::write(Client, asio::buffer(" ", 1), Error);
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  });
  const HostAddress SlowHost{std::nullopt,
                             {"127.0.0.1", Acceptor.local_endpoint().port()}};
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  const std::vector<HostFetchResult> Fetched =
      fetchStatuses({SlowHost}, ms(300));
  const std::chrono::steady_clock::duration Elapsed =
      std::chrono::steady_clock::now() - Start;
  SlowSender.join();
  CHECK(Fetched[0].Failure_.Code_ == ResultCode::HostUnreachable);
  CHECK(Elapsed < std::chrono::seconds(2));
}

// Guards against a host whose counts are missing from the sums while the report
// does not mention it.
TEST(ReportCommand, ListsHostsThatDoNotAnswer) {
  const ServedHost One("h-1");
  const std::vector<HostFetchResult> Fetched =
      fetchStatuses({One.address(), UnreachableHost}, ms(2'000));
  CHECK(Fetched[0].Status_ == sampleStatus("h-1"));
  CHECK(Fetched[1].Failure_.Code_ == ResultCode::HostUnreachable);
  STRCMP_CONTAINS("no report from h-9 (127.0.0.1:1): 1004 host_unreachable",
                  formatStatusText(Fetched).c_str());
  const BurnReport Report = makeBurnReport(Fetched);
  STRCMP_CONTAINS("h-9 (127.0.0.1:1)", formatBurnText(Report).c_str());
  STRCMP_CONTAINS("\"host\":\"h-9 (127.0.0.1:1)\"",
                  formatBurnJson(Report).c_str());
  STRCMP_CONTAINS("h-9 (127.0.0.1:1)", formatBurnHtml(Report, "now").c_str());
  CHECK(!allHostsAnswered(Fetched));
}

// Guards against a host that is counted twice because it is reached under two
// addresses.
TEST(ReportCommand, CountsAHostWithTwoAddressesOnce) {
  const ServedHost One("h-1");
  const ServedHost SameHost("h-1");
  const std::vector<HostFetchResult> Fetched =
      fetchStatuses({One.address(), SameHost.address()}, ms(2'000));
  CHECK(Fetched[0].Status_.has_value());
  CHECK(!Fetched[1].Status_);
}

TEST(ReportCommand, RejectsAnAnswerFromAnotherHost) {
  const ServedHost One("h-1");
  HostAddress Expected = One.address();
  Expected.Id_ = HostId("h-2");
  const std::vector<HostFetchResult> Fetched =
      fetchStatuses({Expected}, ms(2'000));
  STRCMP_EQUAL("another host answers there: h-1",
               Fetched[0].Failure_.Message_.c_str());
}

// Guards against a result that is stored at the index of another host when a
// thread fetches from several hosts.
TEST(ReportCommand, FetchesMoreHostsThanThreads) {
  const ServedHost First("h-1");
  const ServedHost Last("h-2");
  std::vector<HostAddress> Hosts(40, UnreachableHost);
  Hosts.front() = First.address();
  Hosts.back() = Last.address();
  const std::vector<HostFetchResult> Fetched = fetchStatuses(Hosts, ms(2'000));
  CHECK_EQUAL(40, Fetched.size());
  CHECK(Fetched.front().Status_ == sampleStatus("h-1"));
  CHECK(Fetched.back().Status_ == sampleStatus("h-2"));
  for (std::size_t Index = 1; Index < 39; ++Index)
    CHECK(Fetched[Index].Failure_.Code_ == ResultCode::HostUnreachable);
}

TEST(ReportCommand, ExitStatusIsOneWhenAHostDoesNotAnswer) {
  const ServedHost One("h-1");
  const std::string Address =
      "127.0.0.1:" + std::to_string(One.Endpoint_.port());
  CHECK_EQUAL(0,
              runCommand(runStatus, {"status", "--json", "--host", Address}));
  CHECK_EQUAL(1, runCommand(runStatus, {"status", "--json", "--host", Address,
                                        "--host", "127.0.0.1:1"}));
  CHECK_EQUAL(1,
              runCommand(runBurn, {"burn", "--json", "--host", "127.0.0.1:1"}));
  CHECK_EQUAL(0, runCommand(runBurn, {"burn", "--json", "--host", Address}));
}

TEST(ReportCommand, RejectsInvalidOptions) {
  CHECK(optionFailure({"status"}, false).Code_ == ResultCode::UsageError);
  CHECK(optionFailure({"status", "--host", "127.0.0.1"}, false).Code_ ==
        ResultCode::UsageError);
  CHECK(optionFailure({"status", "--host", "a:70000"}, false).Code_ ==
        ResultCode::UsageError);
  CHECK(
      optionFailure({"status", "--html", "f", "--host", "a:1"}, false).Code_ ==
      ResultCode::UsageError);
  CHECK(optionFailure({"burn", "--html", "f", "--host", "a:1"}, true).Code_ ==
        ResultCode::Ok);
  CHECK(optionFailure({"burn", "--list", "/no/such/file"}, true).Code_ ==
        ResultCode::SettingsUnreadable);
  CHECK(optionFailure({"burn", "--timeout-ms", "0", "--host", "a:1"}, true)
            .Code_ == ResultCode::UsageError);
}

// Guards against text from a document that injects control sequences into the
// operator's terminal or markup into the HTML page.
TEST(ReportCommand, EscapesTextFromDocuments) {
  HostFetchResult Host{
      UnreachableHost, sampleStatus("h-1"), {ResultCode::Ok, ""}};
  Host.Status_->Refusals_[0].Reason_ = "\x1b[2J<script>";
  STRCMP_CONTAINS("?[2J<script>", formatStatusText({Host}).c_str());
  STRCMP_EQUAL("&lt;a href=&quot;&amp;&#39;&quot;&gt;",
               escapeHtml("<a href=\"&'\">").c_str());
  const HostFetchResult FailedHost{
      UnreachableHost, std::nullopt, {ResultCode::HostUnreachable, "<script>"}};
  STRCMP_CONTAINS("&lt;script&gt;",
                  formatBurnHtml(makeBurnReport({FailedHost}), "now").c_str());
}

// Guards against a line that joins two points across an interval without
// requests.
TEST(ReportCommand, PlotLeavesIntervalsWithoutRequestsEmpty) {
  MergedBurn Merged{sampleBurn(), 1, ms(0), false};
  Merged.Total_.Series_ = {{9, 1}, {8, 0}, {0, 0}, {7, 7}};
  const std::string Plot = formatBurnPlot(Merged);
  const std::string Path = Plot.substr(Plot.find("<path"));
  const std::string Line = Path.substr(0, Path.find("/>"));
  std::size_t MoveCount = 0;
  for (const char Command : Line)
    MoveCount += Command == 'M' ? 1 : 0;
  CHECK_EQUAL(2, MoveCount);
  STRCMP_CONTAINS("good 7, bad 7", Plot.c_str());
  STRCMP_CONTAINS("all hosts count from here on", Plot.c_str());
}

TEST(ReportCommand, FormatsDurations) {
  STRCMP_EQUAL("3ms", formatDuration(ms(3)).c_str());
  STRCMP_EQUAL("9s", formatDuration(ms(9'400)).c_str());
  STRCMP_EQUAL("11m 40s", formatDuration(ms(700'000)).c_str());
  STRCMP_EQUAL("2d", formatDuration(std::chrono::hours(48)).c_str());
}
