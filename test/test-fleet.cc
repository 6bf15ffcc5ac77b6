// Starts and controls a small fleet of processes on loopback: writes settings
// and documents, sets failure modes, and reads counters. See test-fleet.h.

#include "test-fleet.h"

#include "kumquatpitch/host-status.h"
#include "kumquatpitch/manifest.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace kumquatpitch::test {

namespace {

constexpr std::array<const char *, 3> Domains = {"nyarugenge", "gasabo",
                                                 "kicukiro"};

std::string hostName(int Index) { return "host-" + std::to_string(Index); }

std::string failureDomainOf(int Index) {
  return Domains.at(Index % Domains.size());
}

void writeFile(const std::filesystem::path &Path, const std::string &Text) {
  std::filesystem::create_directories(Path.parent_path());
  // The platform stand-in may read at any time. Rename into place so that it
  // never reads a partly written file.
  const std::filesystem::path TemporaryPath = Path.string() + ".part";
  std::ofstream(TemporaryPath, std::ios::binary) << Text;
  std::filesystem::rename(TemporaryPath, Path);
}

httplib::Client makeClient(int Port) {
  httplib::Client Client("127.0.0.1", Port);
  Client.set_tcp_nodelay(true);
  Client.set_connection_timeout(5);
  Client.set_read_timeout(30);
  return Client;
}

std::filesystem::path makeDirectory() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "kumquatpitch-XXXXXX").string();
  if (!mkdtemp(Pattern.data()))
    throw std::runtime_error("cannot create a temporary directory");
  return Pattern;
}

} // namespace

TestFleet::TestFleet(FleetPlan Plan)
    : Plan_(std::move(Plan)), Directory_(makeDirectory()),
      PlatformPort_(freePort()) {
  for (int Index = 0; Index < Plan_.Hosts_; ++Index)
    Ports_.push_back(HostPorts{freePort(), freePort(), freePort()});
  for (int Index = 0; Index < Plan_.Backends_; ++Index) {
    BackendPorts_.push_back(freePort());
    Backends_.push_back(std::make_unique<ChildProcess>(
        std::vector<std::string>{Plan_.BinaryDir_ + "/backend-stand-in",
                                 "--port", std::to_string(BackendPorts_[Index]),
                                 "--name", backendName(Index), "--service-ms",
                                 std::to_string(Plan_.ServiceMs_)},
        logFile(backendName(Index))));
  }
  Contract_ = makeContract();
  Entry_ = makeEntry();
  publishHosts({}, {});
  writeDocuments();
  Platform_.emplace(
      std::vector<std::string>{Plan_.BinaryDir_ + "/platform-stand-in",
                               "--port", std::to_string(PlatformPort_), "--dir",
                               (Directory_ / "platform").string()},
      logFile("platform"));
  Hosts_.resize(Plan_.Hosts_);
  for (int Index = 0; Index < Plan_.Hosts_; ++Index)
    startHost(Index);
}

TestFleet::~TestFleet() {
  Hosts_.clear();
  Backends_.clear();
  Platform_.reset();
  // Keeps settings, documents and logs, so that a failed test can be examined.
  if (std::getenv("KUMQUATPITCH_KEEP_FILES"))
    return;
  std::error_code Ignored;
  std::filesystem::remove_all(Directory_, Ignored);
}

std::string TestFleet::backendName(int Index) const {
  return "target-" + std::to_string(Index);
}

std::string TestFleet::logFile(const std::string &Name) const {
  return (Directory_ / (Name + ".log")).string();
}

void TestFleet::startHost(int Index) {
  writeSettings(Index);
  Hosts_.at(Index) = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          Plan_.BinaryDir_ + "/kumquatpitch", "serve", "--config",
          (Directory_ / (hostName(Index) + ".ini")).string()},
      logFile(hostName(Index)));
}

void TestFleet::writeSettings(int Index) {
  const HostPorts &Ports = Ports_.at(Index);
  std::string Seeds;
  for (int Other = 0; Other < Plan_.Hosts_; ++Other)
    if (Other != Index)
      Seeds += (Seeds.empty() ? "" : ", ") +
               ("127.0.0.1:" + std::to_string(Ports_[Other].Peer_));
  const std::string Text =
      "[host]\nid = " + hostName(Index) + "\nregion = kigali\n" +
      "failure_domain = " + failureDomainOf(Index) + "\naddress = 127.0.0.1\n" +
      "peer_port = " + std::to_string(Ports.Peer_) +
      "\noperator_port = " + std::to_string(Ports.Operator_) +
      "\n[platform]\naddress = 127.0.0.1\nport = " +
      std::to_string(PlatformPort_) + "\n[peers]\nseeds = " + Seeds +
      "\n[customer." + Customer +
      "]\nport = " + std::to_string(Ports.Customer_) + "\n";
  writeFile(Directory_ / (hostName(Index) + ".ini"), Text);
}

nlohmann::json TestFleet::makeContract() const {
  return {{"customer", Customer},
          {"version", 1},
          {"services",
           {{{"name", Service},
             {"rate_per_s", 3'000},
             {"in_progress", 60},
             {"max_body_bytes", 1 << 20},
             {"max_answer_bytes", 4 << 20},
             {"deadline_ms", Plan_.DeadlineMs_},
             {"queue", {{"max_requests", 60}, {"max_wait_ms", 500}}},
             {"retry", {{"budget_percent", 20}, {"max_attempts", 3}}},
             {"slo",
              {{"availability_percent", 99.5},
               {"latency_ms", 500},
               {"window_days", 28}}},
             {"routes",
              {{{"method", "GET"},
                {"path_prefix", "/proofs"},
                {"idempotent", true}},
               {{"method", "POST"},
                {"path_prefix", "/orders"},
                {"idempotent", false}}}}}}}};
}

nlohmann::json TestFleet::makeEntry() const {
  nlohmann::json Targets = nlohmann::json::array();
  for (int Index = 0; Index < Plan_.Backends_; ++Index)
    Targets.push_back({{"id", backendName(Index)},
                       {"address", "127.0.0.1"},
                       {"port", BackendPorts_[Index]},
                       {"failure_domain", failureDomainOf(Index)},
                       {"slots", Plan_.Slots_},
                       {"connections", 400},
                       {"state", "serving"}});
  return {{"service", Service},
          {"customer", Customer},
          {"version", 1},
          {"floor_targets", Plan_.Floor_},
          {"detection_profile", Plan_.Profile_},
          {"region", "kigali"},
          {"echo_header", "X-Attempt"},
          {"refusal_marker", {{"header", "X-Refused"}, {"value", "not-run"}}},
          {"drain_marker", {{"header", "X-Drain"}, {"value", "yes"}}},
          {"load_header", "X-Load"},
          {"health_path", "/health"},
          {"targets", std::move(Targets)}};
}

void TestFleet::writeDocuments() {
  nlohmann::json Parts = nlohmann::json::array();
  const auto Add = [&](const std::string &Name,
                       const nlohmann::json &Document) {
    const std::string Text = Document.dump();
    const std::string Hash = contentHash(Text);
    writeFile(Directory_ / "platform/parts" / Name / Hash, Text);
    Parts.push_back({{"name", Name},
                     {"version", Document["version"]},
                     {"hash", Hash},
                     {"bytes", Text.size()}});
  };
  Add(std::string("contract/") + Customer, Contract_);
  Add(std::string("service/") + Service, Entry_);
  const nlohmann::json Manifest = {{"format", 1},
                                   {"version", ++ManifestVersion_},
                                   {"parts", std::move(Parts)}};
  writeFile(Directory_ / "platform/manifest.json", Manifest.dump());
}

void TestFleet::publish(
    const std::function<void(nlohmann::json &, nlohmann::json &)> &Change) {
  Change(Contract_, Entry_);
  Contract_["version"] = Contract_["version"].get<int>() + 1;
  Entry_["version"] = Entry_["version"].get<int>() + 1;
  writeDocuments();
}

void TestFleet::publishHosts(const std::vector<int> &Leaving,
                             const std::vector<int> &Gone) {
  const auto Contains = [](const std::vector<int> &Indexes, int Index) {
    return std::find(Indexes.begin(), Indexes.end(), Index) != Indexes.end();
  };
  nlohmann::json Hosts = nlohmann::json::array();
  for (int Index = 0; Index < Plan_.Hosts_; ++Index)
    if (!Contains(Gone, Index))
      Hosts.push_back(
          {{"id", hostName(Index)},
           {"region", "kigali"},
           {"failure_domain", failureDomainOf(Index)},
           {"address", "127.0.0.1"},
           {"peer_port", Ports_[Index].Peer_},
           {"operator_port", Ports_[Index].Operator_},
           {"customer_ports",
            {{{"customer", Customer}, {"port", Ports_[Index].Customer_}}}},
           {"state", Contains(Leaving, Index) ? "leaving" : "live"}});
  const nlohmann::json List = {{"version", ++ListVersion_},
                               {"hosts", std::move(Hosts)}};
  writeFile(Directory_ / "platform/hosts.json", List.dump());
}

void TestFleet::setPlatformMode(const std::string &Mode) {
  makeClient(PlatformPort_).Post("/test/mode", Mode, "text/plain");
}

void TestFleet::setBackendMode(int Index, const std::string &Mode) {
  makeClient(BackendPorts_.at(Index))
      .Post("/stand-in/mode?set=" + Mode, "", "text/plain");
}

std::map<std::string, int> TestFleet::runs() {
  std::map<std::string, int> TotalRuns;
  for (const int Port : BackendPorts_) {
    const httplib::Result Response = makeClient(Port).Get("/stand-in/runs");
    if (!Response)
      continue;
    const std::map<std::string, int> Runs =
        nlohmann::json::parse(Response->body)["runs"];
    for (const std::pair<const std::string, int> &Run : Runs)
      TotalRuns[Run.first] += Run.second;
  }
  return TotalRuns;
}

static int readBackendCounter(int Port, const char *Name) {
  const httplib::Result Response = makeClient(Port).Get("/stand-in/runs");
  return Response ? nlohmann::json::parse(Response->body)[Name].get<int>() : 0;
}

int TestFleet::peakInProgress(int Index) {
  return readBackendCounter(BackendPorts_.at(Index), "peak_in_progress");
}

int TestFleet::inProgress(int Index) {
  return readBackendCounter(BackendPorts_.at(Index), "in_progress");
}

int TestFleet::hostInProgress(int Index) {
  return handleFailure(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(Status,
                        parseHostStatus(fetchOperatorPage(Index, "/status")));
        int Sum = 0;
        for (const ServiceStatus &ServiceReport : Status.Services_)
          for (const TargetStatus &Target : ServiceReport.Targets_)
            Sum += static_cast<int>(Target.InProgress_);
        return Sum;
      },
      [](const Failure &) { return -1; });
}

bool TestFleet::waitReady() {
  for (int Index = 0; Index < Plan_.Hosts_; ++Index) {
    if (!Hosts_[Index])
      continue;
    const bool IsReady = waitUntil([&] {
      const httplib::Result Response =
          makeClient(Ports_[Index].Operator_).Get("/ready");
      return Response && Response->status == 200;
    });
    if (!IsReady)
      return false;
  }
  return true;
}

std::optional<std::vector<AddressedHost>>
TestFleet::requestAddresses(int Index) {
  const CallerResponse Response =
      call(Ports_.at(Index).Customer_, "GET",
           std::string("/.kumquatpitch/addresses?service=") + Service);
  if (Response.Status_ != 200)
    return std::nullopt;
  std::vector<AddressedHost> Hosts;
  const nlohmann::json Addresses = nlohmann::json::parse(Response.Body_);
  for (const nlohmann::json &Host : Addresses.at("hosts"))
    Hosts.push_back(AddressedHost{Host["host"], Host["port"],
                                  Host.value("token", std::string())});
  return Hosts;
}

CallerResponse TestFleet::call(int Port, const std::string &Method,
                               const std::string &Path,
                               const httplib::Headers &Headers,
                               const std::string &Body) {
  httplib::Client Client = makeClient(Port);
  httplib::Request Request;
  Request.method = Method;
  Request.path = Path;
  Request.headers = Headers;
  Request.body = Body;
  const httplib::Result Response = Client.send(Request);
  if (!Response)
    return {};
  return CallerResponse{true, Response->status, Response->body,
                        Response->get_header_value("Kumquatpitch-Code"),
                        Response->get_header_value("Kumquatpitch-Outcome")};
}

std::string TestFleet::fetchOperatorPage(int Index, const std::string &Path) {
  const httplib::Result Response =
      makeClient(Ports_.at(Index).Operator_).Get(Path);
  return Response ? Response->body : std::string();
}

} // namespace kumquatpitch::test
