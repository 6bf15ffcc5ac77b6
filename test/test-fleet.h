// Starts a small fleet of real processes on loopback: a simulated platform,
// hosts in three failure domains, and simulated backend servers for one
// service. Used by the process tests and the demo.

#ifndef KUMQUATPITCH_TEST_FLEET_H
#define KUMQUATPITCH_TEST_FLEET_H

#include "child-process.h"

#include <cstdint>
#include <filesystem>
#include <httplib.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kumquatpitch::test {

/// Size and settings of the fleet.
struct FleetPlan {
  std::string BinaryDir_; ///< Directory of the executables.
  int Hosts_ = 3;
  int Backends_ = 4;
  int Slots_ = 6;
  int ServiceMs_ = 2;
  int Floor_ = 2;
  int DeadlineMs_ = 2'000;
  std::string Profile_ = "fast-detection";
};

/// The response to one request, as the caller received it.
struct CallerResponse {
  bool IsComplete_ = false; ///< A complete response arrived.
  int Status_ = 0;
  std::string Body_;
  std::string Code_;    ///< Result code, on responses a host generated itself.
  std::string Outcome_; ///< Outcome, on responses a host generated itself.
};

/// One host from the response to an address request.
struct AddressedHost {
  std::string Id_;
  int Port_ = 0;
  std::string Token_;
};

/// Owns the processes and the directory with their settings, documents and
/// logs.
class TestFleet {
public:
  static constexpr const char *Customer = "imigongo";
  static constexpr const char *Service = "proofdesk";

  /// Starts the backend servers, publishes the documents, and starts the
  /// platform and the hosts. Does not wait until the hosts are ready.
  explicit TestFleet(FleetPlan Plan);
  ~TestFleet();
  TestFleet(const TestFleet &) = delete;
  TestFleet &operator=(const TestFleet &) = delete;

  void startHost(int Index);
  ChildProcess &host(int Index) { return *Hosts_.at(Index); }
  ChildProcess &backend(int Index) { return *Backends_.at(Index); }

  /// Waits until each running host reports ready. Returns false if a host is
  /// not ready within a minute.
  bool waitReady();

  /// Applies `Change` to the contract and the service entry and publishes both
  /// under a new version.
  void publish(const std::function<void(nlohmann::json &Contract,
                                        nlohmann::json &Entry)> &Change);
  /// Publishes a new host list. Hosts whose index is in `Leaving` get the state
  /// "leaving"; those in `Gone` are omitted.
  void publishHosts(const std::vector<int> &Leaving,
                    const std::vector<int> &Gone);
  void setPlatformMode(const std::string &Mode);
  /// Sets how a backend server behaves, for example `normal` or `stall`; see
  /// backend-stand-in.cc for all modes.
  void setBackendMode(int Index, const std::string &Mode);
  /// Number of executions per request id, summed over all backend servers.
  std::map<std::string, int> runs();
  /// Highest number of requests in progress at once, as counted by the backend
  /// server.
  int peakInProgress(int Index);
  int inProgress(int Index);
  /// Attempts in progress as the host's status page reports them; -1 if the
  /// host does not respond or the status cannot be parsed.
  int hostInProgress(int Index);

  int customerPort(int Index) const { return Ports_.at(Index).Customer_; }
  int backendPort(int Index) const { return BackendPorts_.at(Index); }
  int operatorPort(int Index) const { return Ports_.at(Index).Operator_; }
  std::string backendName(int Index) const;
  const std::filesystem::path &directory() const { return Directory_; }
  int hosts() const { return Plan_.Hosts_; }

  /// Requests the service's host addresses from a host. Empty unless the host
  /// responds with status 200.
  std::optional<std::vector<AddressedHost>> requestAddresses(int Index);

  /// Sends one request on a new connection.
  static CallerResponse call(int Port, const std::string &Method,
                             const std::string &Path,
                             const httplib::Headers &Headers = {},
                             const std::string &Body = "");

  /// Body of a GET on the host's operator port; empty if it does not respond.
  std::string fetchOperatorPage(int Index, const std::string &Path);

private:
  struct HostPorts {
    int Customer_ = 0;
    int Peer_ = 0;
    int Operator_ = 0;
  };

  void writeSettings(int Index);
  void writeDocuments();
  nlohmann::json makeContract() const;
  nlohmann::json makeEntry() const;
  std::string logFile(const std::string &Name) const;

  FleetPlan Plan_;
  std::filesystem::path Directory_;
  int PlatformPort_ = 0;
  std::vector<HostPorts> Ports_;
  std::vector<int> BackendPorts_;
  nlohmann::json Contract_;
  nlohmann::json Entry_;
  std::uint64_t ManifestVersion_ = 0;
  std::uint64_t ListVersion_ = 0;
  std::optional<ChildProcess> Platform_;
  std::vector<std::unique_ptr<ChildProcess>> Backends_;
  std::vector<std::unique_ptr<ChildProcess>> Hosts_;
};

} // namespace kumquatpitch::test

#endif
