// A small fleet of real processes on loopback: the platform stand-in, hosts in
// three failure domains and backend server stand-ins of one service. Used by
// the process tests and the demo.

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

/// What the fleet is made of.
struct FleetPlan {
  std::string BinaryDir_; ///< Where the programs are.
  int Hosts_ = 3;
  int Backends_ = 4;
  int Slots_ = 6;
  int ServiceMs_ = 2;
  int Floor_ = 2;
  int DeadlineMs_ = 2'000;
  std::string Profile_ = "fast-detection";
};

/// What a caller got.
struct CallerAnswer {
  bool IsThere_ = false; ///< A whole answer arrived.
  int Status_ = 0;
  std::string Body_;
  std::string Code_;    ///< Result code of the system's own answers.
  std::string Outcome_; ///< Outcome of the system's own answers.
};

/// One host as the address answer names it.
struct AddressedHost {
  std::string Id_;
  int Port_ = 0;
  std::string Token_;
};

class TestFleet {
public:
  static constexpr const char *Customer = "imigongo";
  static constexpr const char *Service = "proofdesk";

  /// Starts the platform and the backend servers, publishes the documents and
  /// starts the hosts.
  explicit TestFleet(FleetPlan Plan);
  ~TestFleet();
  TestFleet(const TestFleet &) = delete;
  TestFleet &operator=(const TestFleet &) = delete;

  void startHost(int Index);
  ChildProcess &host(int Index) { return *Hosts_.at(Index); }
  ChildProcess &backend(int Index) { return *Backends_.at(Index); }

  /// Waits until each running host says that it is ready; false after a minute.
  bool waitReady();

  /// Changes the service's documents and publishes a new version of them.
  void publish(const std::function<void(nlohmann::json &Contract,
                                        nlohmann::json &Entry)> &Change);
  /// Publishes a new host list; `Leaving` and `Gone` are indexes of hosts.
  void publishHosts(const std::vector<int> &Leaving,
                    const std::vector<int> &Gone);
  void setPlatformMode(const std::string &Mode);
  /// `normal`, `stall` and so on; see backend-stand-in.cc.
  void setBackendMode(int Index, const std::string &Mode);
  /// How often each request id ran, over all backend servers.
  std::map<std::string, int> runs();
  int peakInProgress(int Index);
  int inProgress(int Index);
  /// Attempts in progress by a host's own report; -1 when there is none.
  int hostInProgress(int Index);

  int customerPort(int Index) const { return Ports_.at(Index).Customer_; }
  int backendPort(int Index) const { return BackendPorts_.at(Index); }
  int operatorPort(int Index) const { return Ports_.at(Index).Operator_; }
  std::string backendName(int Index) const;
  const std::filesystem::path &directory() const { return Directory_; }
  int hosts() const { return Plan_.Hosts_; }

  /// Addresses as a host gives them; nothing when it does not answer.
  std::optional<std::vector<AddressedHost>> askAddresses(int Index);

  /// Sends one request on a connection of its own.
  static CallerAnswer call(int Port, const std::string &Method,
                           const std::string &Path,
                           const httplib::Headers &Headers = {},
                           const std::string &Body = "");

  /// GET on a host's operator port; empty when it does not answer.
  std::string operatorText(int Index, const std::string &Path);

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
