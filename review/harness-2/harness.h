// Stand-ins for the platform, the targets and the requesters, and the processes
// of the system, for the cases 6 to 10. Everything is on loopback addresses.

#ifndef REVIEW_HARNESS_2_H
#define REVIEW_HARNESS_2_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the program started.
std::int64_t nowMs();
void sleepMs(std::int64_t Ms);

/// What was sent, answered and run, one line each, with the time in
/// milliseconds.
class Record {
public:
  explicit Record(const std::string &File);
  ~Record();
  void line(const std::string &Text);

private:
  std::FILE *File_;
  std::mutex Mutex_;
};

/// A failure of the case itself: it could not run.
struct CannotRun {
  std::string Reason_;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Message {
  std::string StartLine_;
  Headers Headers_;
  std::string Body_;
  std::string header(const std::string &Name) const;
  bool has(const std::string &Name) const;
};

/// A blocking TCP connection.
class Socket {
public:
  explicit Socket(int Fd = -1) : Fd_(Fd) {}
  ~Socket() { close(); }
  Socket(Socket &&Other) noexcept
      : Fd_(std::exchange(Other.Fd_, -1)), Input_(std::move(Other.Input_)) {}
  Socket &operator=(Socket &&Other) noexcept;
  bool isOpen() const { return Fd_ >= 0; }
  int fd() const { return Fd_; }
  void close();
  bool send(const std::string &Bytes);
  /// Waits at most `Ms` for the next bytes, at most 16 KB. False at the end,
  /// after an error and after that time.
  bool receive(int Ms, std::size_t MaxBytes = 16'384);
  /// True if bytes, an end or an error can be read now.
  bool isReadable() const;
  /// Reads a message whose body, if any, has a length. False if none is
  /// complete within `Ms`.
  bool readMessage(Message &Read, int Ms);
  std::string &input() { return Input_; }
  /// True once the other end has closed the connection or it was reset.
  bool hasEnded() const { return HasEnded_; }

private:
  int Fd_;
  std::string Input_;
  bool HasEnded_ = false;
};

struct ConnectOptions {
  int ReceiveBuffer_ = 0; ///< SO_RCVBUF; 0 for the default.
  int MaxSegment_ = 0;    ///< TCP_MAXSEG; 0 for the default.
};
Socket connectTo(const std::string &Address, int Port,
                 ConnectOptions Options = {});

/// Serves each connection with a thread of its own.
class Server {
public:
  /// Serves one connection until it ends.
  using Serve = std::function<void(Socket &)>;
  Server(std::string Address, Serve ServeOne);
  ~Server();
  int port() const { return Port_; }
  const std::string &address() const { return Address_; }
  std::string endpoint() const;
  /// Closes the listener and resets or ends all connections, like a process
  /// that ends.
  void stop();
  bool isStopping() const { return IsStopping_; }

private:
  void accept();

  std::string Address_;
  Serve Serve_;
  int Listener_ = -1;
  int Port_ = 0;
  std::atomic<bool> IsStopping_{false};
  std::mutex Mutex_;
  std::map<std::uint64_t, int> Open_;
  std::vector<std::thread> Threads_;
  std::thread Acceptor_;
};

/// The platform's store: versioned items, listing and watch. It holds its
/// history for 20 s.
class Store {
public:
  Store();
  void put(const std::string &Key, const std::string &Value);
  void remove(const std::string &Key);
  std::string endpoint() const { return Server_->endpoint(); }
  /// While it is down, the store refuses each call with 503.
  void setDown(bool IsDown) { IsDown_ = IsDown; }
  /// Sets the era that all answers name.
  void setEra(int Era) { Era_ = Era; }
  /// Keeps a copy of what the store holds now.
  void keepCopy();
  /// Goes back to that copy, in the next era.
  void restoreCopy();

private:
  struct Item {
    std::string Value_;
    std::uint64_t Revision_ = 0;
    std::uint64_t Created_ = 0;
  };
  struct Event {
    std::string Key_;
    std::string Json_;
    std::int64_t At_ = 0;
  };
  void serve(Socket &Connection);
  std::string answer(const std::string &Target);
  void dropHistory();
  std::string itemJson(const std::string &Key, const Item &Stored) const;

  struct Contents {
    std::map<std::string, Item> Items_;
    std::map<std::uint64_t, Event> Events_;
    std::uint64_t Revision_ = 1'000;
    std::uint64_t Dropped_ = 0; ///< Events up to here have been discarded.
  };

  std::mutex Mutex_;
  Contents Now_;
  Contents Copy_;
  std::atomic<int> Era_{1};
  std::atomic<bool> IsDown_{false};
  std::unique_ptr<Server> Server_;
};

/// The link of a host of 10 Mbit/s to the store: carries the store's answers at
/// that rate, and nothing while it is cut.
class Link {
public:
  explicit Link(const std::string &Store);
  std::string endpoint() const { return Server_.endpoint(); }
  void cut() { IsCut_ = true; }
  void heal() {
    ++Heals_;
    IsCut_ = false;
  }
  std::uint64_t carried() const { return Carried_; }

private:
  void relay(Socket &Near);
  bool pass(Socket &From, Socket &To, bool IsPaced);
  void pace(std::size_t Bytes);

  const int StorePort_;
  const std::string StoreAddress_;
  std::atomic<bool> IsCut_{false};
  std::atomic<int> Heals_{0};
  std::atomic<std::uint64_t> Carried_{0};
  std::mutex Mutex_;
  Clock::time_point FreeAt_{};
  Server Server_; ///< Last: its threads use the other members.
};

/// One request at a target.
struct TargetRequest {
  Message Message_;
  std::string Id_; ///< Its Request-Id.
};

struct TargetOptions {
  std::string Id_;
  std::string Service_;
  std::string Zone_ = "zone-a";
  int Slots_ = 3;
  int WorkMs_ = 20;
  std::string Body_ = "answer\n";
  Headers Extra_; ///< Added to each answer.
};

/// A sound target. It answers 421 to requests for another instance.
class Target {
public:
  Target(TargetOptions Options, Record &Log);
  std::string endpoint() const { return Server_->endpoint(); }
  const std::string &id() const { return Options_.Id_; }
  /// The entry that it writes to the store.
  std::string entry(const std::string &State = "ready") const;
  void setExtra(const Headers &Extra);
  void setWorkMs(int WorkMs) { WorkMs_ = WorkMs; }
  /// Makes the body of an answer; otherwise it is that of the options.
  void setBody(std::function<std::string(const TargetRequest &)> MakeBody) {
    MakeBody_ = std::move(MakeBody);
  }
  /// Called for each request that runs, when it begins.
  void onRun(std::function<void(const TargetRequest &)> Callback) {
    OnRun_ = std::move(Callback);
  }
  /// Ends the process that the target stands for.
  void end() { Server_->stop(); }
  int running() const { return Running_; }
  /// How often each request id has run.
  std::map<std::string, int> runs() const;

private:
  void serve(Socket &Connection);
  std::string answerTo(const TargetRequest &Request);

  TargetOptions Options_;
  Record &Log_;
  std::function<void(const TargetRequest &)> OnRun_;
  std::function<std::string(const TargetRequest &)> MakeBody_;
  std::atomic<int> WorkMs_;
  std::atomic<int> Running_{0};
  mutable std::mutex Mutex_;
  Headers Extra_;
  std::map<std::string, int> Runs_;
  int Seq_ = 0;
  std::unique_ptr<Server> Server_;
};

/// Settings that a deployment fills into deploy/gateway.ini.
struct HostOptions {
  std::string Name_;
  std::string Zone_ = "zone-a";
  std::string Address_; ///< Its loopback address.
  std::string Seeds_;   ///< Control addresses, separated by commas.
  std::string Store_;
  int PeerPort_ = 0;
  bool HasTenants_ = false; ///< Bounds of a deployment with tenants.
  int MemoryMb_ = 260;
  double GraceS_ = 6;
};

/// One process of the system, started with the command of the deploy file.
class Host {
public:
  Host(HostOptions Options, const std::string &Folder);
  ~Host();
  void start();
  /// Waits until /readyz answers 200.
  void awaitReady(int Ms = 15'000) const;
  void signal(int Number) const;
  bool isRunning();
  /// Waits for the end; returns the exit status, or minus the signal.
  int wait();
  const std::string &address() const { return Options_.Address_; }
  int front() const { return Front_; }
  int directory() const { return Directory_; }
  std::string control() const;
  int pid() const { return Pid_; }

private:
  HostOptions Options_;
  std::string Folder_;
  int Front_ = 0;
  int Ready_ = 0;
  int Directory_ = 0;
  int Metrics_ = 0;
  int Pid_ = 0;
  int Status_ = 0;
};

/// A port of the address on which nothing listens.
int freePort(const std::string &Address);

/// The `Number`th loopback address of this run, from 1.
std::string loopback(int Number);

/// Runs a case; returns the exit status of its script.
int runCase(int Argc, char **Argv,
            const std::function<bool(Record &, const std::string &Folder,
                                     bool HasTrouble)> &HoldsRule);

/// True if a condition becomes true within `Ms`.
bool awaitTrue(const std::function<bool()> &Condition, int Ms);

} // namespace review

#endif
