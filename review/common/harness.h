// Stand-ins for callers, backend servers and the platform's store, and control
// of the hosts' processes, for the review's cases. Blocking sockets and one
// thread for each connection; loopback addresses only.

#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline Clock::time_point start() {
  static const Clock::time_point Start = Clock::now();
  return Start;
}
inline double seconds() {
  return std::chrono::duration<double>(Clock::now() - start()).count();
}
inline void sleepMs(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}
inline bool hasTrouble() {
  const char *Text = std::getenv("TROUBLE");
  return !Text || std::string(Text) != "0";
}

/// The file record.txt of the case: one line for each event.
class Record {
public:
  static Record &get() {
    static Record Only;
    return Only;
  }
  void open(const std::string &File) { File_ = std::fopen(File.c_str(), "w"); }
  void line(const char *Format, ...) __attribute__((format(printf, 2, 3))) {
    char Text[1024];
    va_list Arguments;
    va_start(Arguments, Format);
    std::vsnprintf(Text, sizeof Text, Format, Arguments);
    va_end(Arguments);
    const std::lock_guard<std::mutex> Lock(Mutex_);
    std::fprintf(File_ ? File_ : stderr, "%8.3f %s\n", seconds(), Text);
    std::fflush(File_ ? File_ : stderr);
  }

private:
  std::FILE *File_ = nullptr;
  std::mutex Mutex_;
};
#define RECORD(...) ::review::Record::get().line(__VA_ARGS__)

/// The case could not run.
[[noreturn]] void abandon(const std::string &Why);

inline sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// A port that is free for TCP and UDP at the time of the call.
inline int freePort() {
  static std::set<int> Given;
  for (int Attempt = 0; Attempt < 100; ++Attempt) {
    const int Tcp = socket(AF_INET, SOCK_STREAM, 0);
    const int Udp = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in Address = loopback(0);
    socklen_t Size = sizeof Address;
    bool IsFree =
        bind(Tcp, reinterpret_cast<sockaddr *>(&Address), Size) == 0 &&
        getsockname(Tcp, reinterpret_cast<sockaddr *>(&Address), &Size) == 0 &&
        bind(Udp, reinterpret_cast<sockaddr *>(&Address), Size) == 0;
    close(Tcp);
    close(Udp);
    const int Port = ntohs(Address.sin_port);
    if (IsFree && Given.insert(Port).second)
      return Port;
  }
  abandon("no free port");
}

/// A buffered connection.
struct Connection {
  int Fd = -1;
  std::string Buffer;

  explicit Connection(int Socket) : Fd(Socket) {
    const int One = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  }
  ~Connection() { shut(); }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  void shut() {
    if (Fd >= 0)
      close(Fd);
    Fd = -1;
  }
  /// Closes with a reset.
  void reset() {
    const linger Hard{1, 0};
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Hard, sizeof Hard);
    shut();
  }
  void readTimeout(int Ms) {
    const timeval Limit{Ms / 1000, (Ms % 1000) * 1000};
    setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  }
  /// False at the end of the stream, on an error or a timeout.
  bool fill() {
    char Chunk[16384];
    const ssize_t Size = recv(Fd, Chunk, sizeof Chunk, 0);
    if (Size <= 0)
      return false;
    Buffer.append(Chunk, static_cast<std::size_t>(Size));
    return true;
  }
  bool readHead(std::string &Head) {
    std::size_t End;
    while ((End = Buffer.find("\r\n\r\n")) == std::string::npos)
      if (!fill())
        return false;
    Head = Buffer.substr(0, End + 4);
    Buffer.erase(0, End + 4);
    return true;
  }
  bool readBody(std::size_t Size, std::string &Body) {
    while (Buffer.size() < Size)
      if (!fill())
        return false;
    Body = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    return true;
  }
  bool write(const std::string &Bytes) {
    std::size_t Done = 0;
    while (Done < Bytes.size()) {
      const ssize_t Size =
          send(Fd, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
      if (Size <= 0)
        return false;
      Done += static_cast<std::size_t>(Size);
    }
    return true;
  }
};

/// Value of a header in a head, ignoring the case of its name; "" if none.
inline std::string header(const std::string &Head, const std::string &Name) {
  std::istringstream Lines(Head);
  std::string Line;
  while (std::getline(Lines, Line)) {
    const std::size_t Colon = Line.find(':');
    if (Colon == Name.size() &&
        strncasecmp(Line.c_str(), Name.c_str(), Colon) == 0) {
      std::size_t First = Line.find_first_not_of(" \t", Colon + 1);
      std::size_t Last = Line.find_last_not_of(" \t\r\n");
      if (First == std::string::npos || First > Last)
        return "";
      return Line.substr(First, Last - First + 1);
    }
  }
  return "";
}

inline int statusOf(const std::string &Head) {
  return Head.size() > 12 ? std::atoi(Head.c_str() + 9) : 0;
}

/// A digest of a body, for Response-Seal.
inline std::string seal(const std::string &Body) {
  std::uint64_t Sum = 1469598103934665603ULL;
  for (const char Byte : Body)
    Sum = (Sum ^ static_cast<unsigned char>(Byte)) * 1099511628211ULL;
  char Text[40];
  std::snprintf(Text, sizeof Text, "%zx.%016llx", Body.size(),
                static_cast<unsigned long long>(Sum));
  return Text;
}

/// Listens on loopback; calls `Serve` with each connection on its own thread.
class Listener {
public:
  using Serve = std::function<void(std::shared_ptr<Connection>)>;

  explicit Listener(Serve OnConnection, int ReceiveBuffer = 0,
                    int SegmentSize = 0)
      : OnConnection_(std::move(OnConnection)) {
    Fd_ = socket(AF_INET, SOCK_STREAM, 0);
    if (SegmentSize > 0)
      setsockopt(Fd_, IPPROTO_TCP, TCP_MAXSEG, &SegmentSize,
                 sizeof SegmentSize);
    if (ReceiveBuffer > 0)
      setsockopt(Fd_, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer,
                 sizeof ReceiveBuffer);
    sockaddr_in Address = loopback(0);
    socklen_t Size = sizeof Address;
    if (bind(Fd_, reinterpret_cast<sockaddr *>(&Address), Size) != 0 ||
        listen(Fd_, 256) != 0 ||
        getsockname(Fd_, reinterpret_cast<sockaddr *>(&Address), &Size) != 0)
      abandon("cannot listen");
    Port_ = ntohs(Address.sin_port);
    std::thread([this] {
      for (;;) {
        const int Socket = accept(Fd_, nullptr, nullptr);
        if (Socket < 0)
          continue;
        std::thread([this, Socket] {
          OnConnection_(std::make_shared<Connection>(Socket));
        }).detach();
      }
    }).detach();
  }
  int port() const { return Port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }

private:
  Serve OnConnection_;
  int Fd_ = -1;
  int Port_ = 0;
};

/// Opens a connection to a loopback port; null if that fails.
inline std::shared_ptr<Connection> dial(int Port, int ReceiveBuffer = 0,
                                        int SegmentSize = 0) {
  const int Fd = socket(AF_INET, SOCK_STREAM, 0);
  if (ReceiveBuffer > 0)
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBuffer, sizeof ReceiveBuffer);
  if (SegmentSize > 0)
    setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &SegmentSize, sizeof SegmentSize);
  const sockaddr_in Address = loopback(Port);
  if (connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
              sizeof Address) != 0) {
    close(Fd);
    return nullptr;
  }
  return std::make_shared<Connection>(Fd);
}

inline std::string base64(const std::string &Bytes) {
  static const char *Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group = Group << 8 | (At + Index < Bytes.size()
                                ? static_cast<unsigned char>(Bytes[At + Index])
                                : 0);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += At + Index > Bytes.size()
                  ? '='
                  : Digits[Group >> (18 - 6 * Index) & 63];
  }
  return Text;
}

/// The platform's store, as a sound one behaves.
class Store {
public:
  Store()
      : Listener_([this](std::shared_ptr<Connection> Link) { serve(*Link); }) {}

  void put(const std::string &Key, const std::string &Value) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Items_[Key] = {Value, ++Revision_};
    History_[Revision_] = Key;
    Changed_.notify_all();
  }
  void remove(const std::string &Key) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Items_.erase(Key);
    History_[++Revision_] = Key;
    Changed_.notify_all();
  }
  std::string address() const { return Listener_.address(); }

private:
  struct Item {
    std::string Value;
    std::uint64_t Revision;
  };

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    std::size_t At = Target.find("?" + Name + "=");
    if (At == std::string::npos)
      At = Target.find("&" + Name + "=");
    if (At == std::string::npos)
      return "";
    At += Name.size() + 2;
    std::string Text;
    for (; At < Target.size() && Target[At] != '&'; ++At)
      if (Target[At] == '%' && At + 2 < Target.size()) {
        Text += static_cast<char>(
            std::strtol(Target.substr(At + 1, 2).c_str(), nullptr, 16));
        At += 2;
      } else {
        Text += Target[At];
      }
    return Text;
  }
  static std::string json(const std::string &Key, const Item &Entry) {
    const std::string Revision = std::to_string(Entry.Revision);
    return "{\"Key\":\"" + Key + "\",\"Value\":\"" + base64(Entry.Value) +
           "\",\"Revision\":" + Revision + ",\"Created\":" + Revision +
           ",\"Lease\":0";
  }

  int respond(const std::string &Target, std::string &Body) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    const std::string Prefix = parameter(Target, "Prefix");
    if (Target.rfind("/kv-key", 0) == 0) {
      const auto It = Items_.find(parameter(Target, "Key"));
      if (It == Items_.end())
        return 404;
      Body = json(It->first, It->second) +
             ",\"AsOf\":" + std::to_string(Revision_) + "}";
      return 200;
    }
    if (Target.rfind("/kv-range", 0) == 0) {
      const std::string After = parameter(Target, "after");
      Body = "{\"items\":[";
      bool IsFirst = true;
      for (const auto &Entry : Items_)
        if (Entry.first.rfind(Prefix, 0) == 0 &&
            (After.empty() || Entry.first > After)) {
          Body += (IsFirst ? "" : ",") + json(Entry.first, Entry.second) + "}";
          IsFirst = false;
        }
      Body += "],\"HasMore\":false,\"AsOf\":" + std::to_string(Revision_) + "}";
      return 200;
    }
    const std::uint64_t After =
        std::strtoull(parameter(Target, "after").c_str(), nullptr, 10);
    const long WaitMs = std::atol(parameter(Target, "WaitMs").c_str());
    Changed_.wait_for(Lock, std::chrono::milliseconds(WaitMs),
                      [&] { return Revision_ > After; });
    Body = "{\"events\":[";
    bool IsFirst = true;
    for (auto It = History_.upper_bound(After); It != History_.end(); ++It) {
      if (It->second.rfind(Prefix, 0) != 0)
        continue;
      const auto Entry = Items_.find(It->second);
      if (Entry != Items_.end() && Entry->second.Revision != It->first)
        continue; // A later event has the item as it is now.
      Body += IsFirst ? "" : ",";
      IsFirst = false;
      if (Entry != Items_.end())
        Body += json(Entry->first, Entry->second) + "}";
      else
        Body += "{\"Key\":\"" + It->second +
                "\",\"Revision\":" + std::to_string(It->first) +
                ",\"Removed\":true}";
    }
    Body += "],\"AsOf\":" + std::to_string(Revision_) + "}";
    return 200;
  }

  void serve(Connection &Link) {
    std::string Head;
    while (Link.readHead(Head)) {
      const std::size_t First = Head.find(' ') + 1;
      std::string Body;
      const int Status =
          respond(Head.substr(First, Head.find(' ', First) - First), Body);
      sleepMs(4);
      if (!Link.write("HTTP/1.1 " + std::to_string(Status) +
                      (Status == 200 ? " OK" : " Not Found") +
                      "\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                      "Content-Length: " +
                      std::to_string(Body.size()) + "\r\n\r\n" + Body))
        return;
    }
  }

  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::map<std::string, Item> Items_;
  std::map<std::uint64_t, std::string> History_;
  std::uint64_t Revision_ = 7;
  Listener Listener_;
};

/// A request as a backend server reads it.
struct Incoming {
  std::string Head;
  std::string Body;
  std::string Id;   ///< Request-Id.
  std::string Path; ///< With the query.
  std::string Method;
};

/// A backend server that registers itself in the store. `OnConnection` serves
/// one connection; without it, each request is answered soundly.
class Backend {
public:
  Backend(Store &Entries, std::string Id, std::string Service, std::string Zone,
          int Slots, Listener::Serve OnConnection, int ReceiveBuffer = 0,
          int SegmentSize = 0)
      : Entries_(Entries), Id_(std::move(Id)), Service_(std::move(Service)),
        Zone_(std::move(Zone)), Slots_(Slots),
        Listener_(std::move(OnConnection), ReceiveBuffer, SegmentSize) {
    Born_ = static_cast<long long>(
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    beat();
    std::thread([this] {
      for (;;) {
        sleepMs(1500); // HeartbeatS
        beat();
      }
    }).detach();
  }

  /// Reads one request. False when the connection has ended.
  static bool readRequest(Connection &Link, Incoming &Request) {
    if (!Link.readHead(Request.Head))
      return false;
    const std::size_t First = Request.Head.find(' ');
    Request.Method = Request.Head.substr(0, First);
    Request.Path = Request.Head.substr(
        First + 1, Request.Head.find(' ', First + 1) - First - 1);
    Request.Id = header(Request.Head, "Request-Id");
    const std::string Length = header(Request.Head, "Content-Length");
    return Link.readBody(
        Length.empty() ? 0 : std::strtoul(Length.c_str(), nullptr, 10),
        Request.Body);
  }

  static std::string answer(const std::string &RequestId,
                            const std::string &Body, bool HasLength = true) {
    std::string Text = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                       "Request-Id: " +
                       RequestId + "\r\nResponse-Seal: " + seal(Body) +
                       "\r\nServer-Load: 0,0,4\r\n";
    if (HasLength)
      Text += "Keep-Alive: timeout=10\r\nContent-Length: " +
              std::to_string(Body.size()) + "\r\n";
    return Text + "\r\n" + Body;
  }

  const std::string &id() const { return Id_; }

private:
  void beat() {
    Entries_.put("servers/" + Id_,
                 "{\"Address\":\"" + Listener_.address() +
                     "\",\"Info\":{\"Service\":\"" + Service_ +
                     "\",\"Version\":\"v1\",\"Zone\":\"" + Zone_ +
                     "\",\"Slots\":" + std::to_string(Slots_) +
                     "},\"Status\":{\"State\":\"ready\",\"Seq\":" +
                     std::to_string(++Seq_) + ",\"ColdLeftS\":0},\"born\":" +
                     std::to_string(Born_) + "}");
  }

  Store &Entries_;
  std::string Id_, Service_, Zone_;
  int Slots_;
  long long Born_ = 0;
  int Seq_ = 0;
  Listener Listener_;
};

/// A link with a delay each way and a rate towards the caller, in front of one
/// port. It passes bytes and ends of streams on in both directions.
class Link {
public:
  Link(int ToPort, int DelayMs, double MegabitsPerS)
      : Listener_([=](std::shared_ptr<Connection> Caller) {
          const std::shared_ptr<Connection> Host = dial(ToPort, 8192, 1460);
          if (!Host)
            return;
          std::thread Up([=] { pump(Caller->Fd, Host->Fd, DelayMs, 1000); });
          pump(Host->Fd, Caller->Fd, DelayMs, MegabitsPerS);
          Up.join();
        }) {}
  int port() const { return Listener_.port(); }

private:
  static void pump(int From, int To, int DelayMs, double MegabitsPerS) {
    struct Queue {
      std::mutex Mutex;
      std::condition_variable Changed;
      std::vector<std::pair<Clock::time_point, std::string>> Pieces;
    };
    const std::shared_ptr<Queue> Pending = std::make_shared<Queue>();
    std::thread Writer([=] {
      for (;;) {
        std::pair<Clock::time_point, std::string> Piece;
        {
          std::unique_lock<std::mutex> Lock(Pending->Mutex);
          Pending->Changed.wait(Lock, [&] { return !Pending->Pieces.empty(); });
          Piece = Pending->Pieces.front();
          Pending->Pieces.erase(Pending->Pieces.begin());
        }
        std::this_thread::sleep_until(Piece.first);
        if (Piece.second.empty()) {
          shutdown(To, SHUT_WR);
          return;
        }
        std::size_t Done = 0;
        while (Done < Piece.second.size()) {
          const ssize_t Size = send(To, Piece.second.data() + Done,
                                    Piece.second.size() - Done, MSG_NOSIGNAL);
          if (Size <= 0)
            break;
          Done += static_cast<std::size_t>(Size);
        }
      }
    });
    Clock::time_point FreeAt = Clock::now();
    char Chunk[8192];
    for (;;) {
      const ssize_t Size = recv(From, Chunk, sizeof Chunk, 0);
      const Clock::time_point Now = Clock::now();
      const std::lock_guard<std::mutex> Lock(Pending->Mutex);
      Pending->Pieces.emplace_back(
          Now + std::chrono::milliseconds(DelayMs),
          std::string(Chunk, Size > 0 ? static_cast<std::size_t>(Size) : 0));
      Pending->Changed.notify_all();
      if (Size <= 0)
        break;
      // The link carries the next piece when this one has passed.
      FreeAt = std::max(FreeAt, Now) +
               std::chrono::microseconds(static_cast<long long>(
                   static_cast<double>(Size) * 8 / MegabitsPerS));
      Pending->Mutex.unlock();
      std::this_thread::sleep_until(FreeAt);
      Pending->Mutex.lock();
    }
    Writer.join();
  }

  Listener Listener_;
};

/// One host: a process of the project's own program.
class Host {
public:
  Host(const std::string &Name, const std::string &Zone, const Store &Platform,
       const std::map<std::string, std::string> &Bounds,
       const std::string &Folder, int MemoryMb = 260)
      : Name_(Name) {
    FrontPort = freePort();
    ReadyPort = freePort();
    DirectoryPort = freePort();
    PeerPort = freePort();
    std::map<std::string, std::string> Fields = {
        {"NodeName", Name},
        {"Region", "region-1"},
        {"Zone", Zone},
        {"Ip", "127.0.0.1"},
        {"Limits.CpuShare", "0.2"},
        {"Limits.Cores", "1"},
        {"Limits.MemoryMb", std::to_string(MemoryMb)},
        {"Listen.Front", "127.0.0.1:" + std::to_string(FrontPort)},
        {"Listen.Ready", "127.0.0.1:" + std::to_string(ReadyPort)},
        {"Listen.Directory", "127.0.0.1:" + std::to_string(DirectoryPort)},
        {"PortRange.0", std::to_string(PeerPort)},
        {"Seeds", "127.0.0.1:" + std::to_string(freePort())},
        {"Provider.Address", Platform.address()}};
    for (const auto &Bound : Bounds)
      Fields["Bounds." + Bound.first] = Bound.second;
    std::ifstream Template("deploy/gateway.ini");
    std::string Text((std::istreambuf_iterator<char>(Template)), {});
    if (Text.empty())
      abandon("deploy/gateway.ini not found: run from the repository's root");
    for (std::size_t At; (At = Text.find("{{")) != std::string::npos;) {
      const std::size_t End = Text.find("}}", At);
      const std::string Field = Text.substr(At + 2, End - At - 2);
      if (!Fields.count(Field))
        abandon("the template names an unknown field: " + Field);
      Text.replace(At, End + 2 - At, Fields[Field]);
    }
    // The metrics port is fixed in the template; two cases may run at once.
    const std::size_t Metrics = Text.find("metrics_port = 9464");
    if (Metrics != std::string::npos)
      Text.replace(Metrics, 19, "metrics_port = " + std::to_string(freePort()));
    Settings_ = Folder + "/" + Name + ".ini";
    LogFile_ = Folder + "/" + Name + ".log";
    std::ofstream(Settings_) << Text;
    begin();
  }
  ~Host() { finish(); }

  void begin() {
    Pid_ = fork();
    if (Pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this program.
      const int Log =
          open(LogFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(Log, 1);
      dup2(Log, 2);
      setenv("KUMQUATPITCH_NODE_FILE", Settings_.c_str(), 1);
      execl("target/kumquatpitch", "target/kumquatpitch", "gateway", "--config",
            Settings_.c_str(), static_cast<char *>(nullptr));
      _exit(127);
    }
    {
      const std::lock_guard<std::mutex> Lock(allMutex());
      all().insert(Pid_);
    }
    RECORD("host %s: started", Name_.c_str());
  }
  void signal(int Number) { kill(Pid_, Number); }
  /// True while the process runs; records its end.
  bool isRunning() {
    if (Pid_ <= 0)
      return false;
    int Status = 0;
    if (waitpid(Pid_, &Status, WNOHANG) != Pid_)
      return true;
    RECORD("host %s: process ended, %s %d", Name_.c_str(),
           WIFSIGNALED(Status) ? "signal" : "status",
           WIFSIGNALED(Status) ? WTERMSIG(Status) : WEXITSTATUS(Status));
    forget();
    return false;
  }
  pid_t pid() const { return Pid_; }
  void finish() {
    if (Pid_ <= 0)
      return;
    kill(Pid_, SIGKILL);
    waitpid(Pid_, nullptr, 0);
    forget();
  }
  bool isReady() const {
    const std::shared_ptr<Connection> Link = dial(ReadyPort);
    std::string Head;
    if (!Link)
      return false;
    Link->readTimeout(1000);
    return Link->write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           Link->readHead(Head) && statusOf(Head) == 200;
  }
  void awaitReady() {
    for (int Attempt = 0; Attempt < 200; ++Attempt) {
      if (isReady())
        return RECORD("host %s: ready", Name_.c_str());
      sleepMs(100);
    }
    abandon("the host did not become ready");
  }
  static std::mutex &allMutex() {
    static std::mutex Mutex;
    return Mutex;
  }
  static std::set<pid_t> &all() {
    static std::set<pid_t> Pids;
    return Pids;
  }

  int FrontPort = 0, ReadyPort = 0, DirectoryPort = 0, PeerPort = 0;

private:
  void forget() {
    const std::lock_guard<std::mutex> Lock(allMutex());
    all().erase(Pid_);
    Pid_ = 0;
  }

  std::string Name_;
  std::string Settings_, LogFile_;
  std::atomic<pid_t> Pid_ = 0;
};

inline void endHosts() {
  const std::lock_guard<std::mutex> Lock(Host::allMutex());
  for (const pid_t Pid : Host::all()) {
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  Host::all().clear();
}

/// The temporary folder; removed at the end unless REVIEW_KEEP is set.
inline std::string &folder() {
  static std::string Name;
  return Name;
}

[[noreturn]] inline void leave(int Status, const std::string &Why) {
  RECORD("result %d: %s", Status, Why.c_str());
  std::printf("result %d: %s\n", Status, Why.c_str());
  std::fflush(nullptr);
  endHosts();
  if (!folder().empty() && !std::getenv("REVIEW_KEEP"))
    std::filesystem::remove_all(folder());
  _exit(Status);
}
[[noreturn]] inline void abandon(const std::string &Why) {
  leave(2, "could not run: " + Why);
}

/// Bounds of teranga-fold-grown.
inline std::map<std::string, std::string> standardBounds() {
  return {{"FloorShare", "0.7"},  {"RetryRatio", "0.2"}, {"RetrySlack", "158"},
          {"RetryWindowS", "10"}, {"ttl_max_s", "5"},    {"GraceS", "6"}};
}

/// A route of a configuration.
inline std::string route(const std::string &Name, const std::string &Prefix,
                         const std::string &Service, const std::string &Kind,
                         double TimeoutS, int Attempts, double GoalS) {
  char Text[512];
  std::snprintf(Text, sizeof Text,
                "{\"Name\":\"%s\",\"Kind\":\"%s\",\"GoalS\":%g,\"Priority\":1,"
                "\"Match\":{\"Prefix\":\"%s\"},\"Action\":{\"Service\":\"%s\","
                "\"TimeoutS\":%g,\"Attempts\":%d}}",
                Name.c_str(), Kind.c_str(), GoalS, Prefix.c_str(),
                Service.c_str(), TimeoutS, Attempts);
  return Text;
}
inline std::string config(const std::string &HostName,
                          const std::vector<std::string> &Routes,
                          const std::vector<std::string> &Services) {
  std::string Text =
      "{\"Version\":\"00000007\",\"Limits\":{\"MaxHeaderBytes\":16384,"
      "\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\"IdleTimeoutS\":15},"
      "\"Listeners\":[{\"Host\":\"" +
      HostName + "\",\"Policy\":[";
  for (std::size_t Index = 0; Index < Routes.size(); ++Index)
    Text += (Index ? "," : "") + Routes[Index];
  Text += "]}],\"Clusters\":[";
  for (std::size_t Index = 0; Index < Services.size(); ++Index)
    Text += (Index ? ",{\"Name\":\"" : "{\"Name\":\"") + Services[Index] +
            "\",\"HealthPath\":\"/healthz\",\"MaxConns\":1230,"
            "\"Protocol\":\"h1\",\"Tls\":false}";
  return Text + "]}";
}

/// Opens record.txt in the case's folder and makes a temporary folder for
/// settings and logs.
inline std::string begin(int Argc, char **Argv) {
  std::signal(SIGPIPE, SIG_IGN);
  start();
  if (Argc < 2) {
    std::fprintf(stderr, "usage: %s CASE-FOLDER\n", Argv[0]);
    std::exit(2);
  }
  Record::get().open(std::string(Argv[1]) + "/record.txt");
  RECORD("TROUBLE=%d", hasTrouble() ? 1 : 0);
  const char *Base = std::getenv("TMPDIR");
  std::string Folder = std::string(Base ? Base : "/tmp") + "/review-XXXXXX";
  if (!mkdtemp(Folder.data()))
    abandon("no temporary folder");
  folder() = Folder;
  std::thread([] {
    sleepMs(115'000);
    abandon("it took too long");
  }).detach();
  return Folder;
}

} // namespace review

#endif
