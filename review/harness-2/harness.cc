// Stand-ins and processes of the cases. See harness.h.

#include "harness.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

static const Clock::time_point Start = Clock::now();

std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               Start)
      .count();
}

void sleepMs(std::int64_t Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

bool awaitTrue(const std::function<bool()> &Condition, int Ms) {
  const std::int64_t End = nowMs() + Ms;
  while (nowMs() < End) {
    if (Condition())
      return true;
    sleepMs(20);
  }
  return Condition();
}

Record::Record(const std::string &File) : File_(std::fopen(File.c_str(), "w")) {
  if (!File_)
    throw CannotRun{"cannot write " + File};
}

Record::~Record() { std::fclose(File_); }

void Record::line(const std::string &Text) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  std::fprintf(File_, "%7lld %s\n", static_cast<long long>(nowMs()),
               Text.c_str());
  std::fflush(File_);
}

std::string Message::header(const std::string &Name) const {
  for (const auto &Field : Headers_)
    if (strcasecmp(Field.first.c_str(), Name.c_str()) == 0)
      return Field.second;
  return "";
}

bool Message::has(const std::string &Name) const {
  return std::any_of(Headers_.begin(), Headers_.end(), [&](const auto &Field) {
    return strcasecmp(Field.first.c_str(), Name.c_str()) == 0;
  });
}

Socket &Socket::operator=(Socket &&Other) noexcept {
  close();
  Fd_ = std::exchange(Other.Fd_, -1);
  Input_ = std::move(Other.Input_);
  HasEnded_ = Other.HasEnded_;
  return *this;
}

void Socket::close() {
  if (Fd_ >= 0)
    ::close(Fd_);
  Fd_ = -1;
}

bool Socket::send(const std::string &Bytes) {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    const ssize_t Count =
        ::send(Fd_, Bytes.data() + Sent, Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0) {
      HasEnded_ = true;
      return false;
    }
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

bool Socket::isReadable() const {
  pollfd State{Fd_, POLLIN, 0};
  return poll(&State, 1, 0) > 0;
}

bool Socket::receive(int Ms, std::size_t MaxBytes) {
  pollfd State{Fd_, POLLIN, 0};
  if (poll(&State, 1, std::max(Ms, 0)) <= 0)
    return false;
  char Bytes[16'384];
  const ssize_t Count = ::recv(Fd_, Bytes, std::min(MaxBytes, sizeof Bytes), 0);
  if (Count <= 0) {
    HasEnded_ = true;
    return false;
  }
  Input_.append(Bytes, static_cast<std::size_t>(Count));
  return true;
}

bool Socket::readMessage(Message &Read, int Ms) {
  const std::int64_t End = nowMs() + Ms;
  const auto More = [&] { return receive(static_cast<int>(End - nowMs())); };
  std::size_t HeadEnd = 0;
  while ((HeadEnd = Input_.find("\r\n\r\n")) == std::string::npos)
    if (!More())
      return false;
  Read = Message();
  std::istringstream Head(Input_.substr(0, HeadEnd));
  std::string Line;
  while (std::getline(Head, Line)) {
    if (!Line.empty() && Line.back() == '\r')
      Line.pop_back();
    if (Read.StartLine_.empty()) {
      Read.StartLine_ = Line;
      continue;
    }
    const std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Value = Value == std::string::npos ? Line.size() : Value;
    Read.Headers_.emplace_back(Line.substr(0, Colon), Line.substr(Value));
  }
  const std::size_t Length = static_cast<std::size_t>(
      std::strtoull(Read.header("Content-Length").c_str(), nullptr, 10));
  const std::size_t Total = HeadEnd + 4 + Length;
  while (Input_.size() < Total)
    if (!More())
      return false;
  Read.Body_ = Input_.substr(HeadEnd + 4, Length);
  Input_.erase(0, Total);
  return true;
}

static sockaddr_in addressOf(const std::string &Address, int Port) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, Address.c_str(), &Result.sin_addr);
  return Result;
}

Socket connectTo(const std::string &Address, int Port, ConnectOptions Options) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Options.ReceiveBuffer_ > 0)
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &Options.ReceiveBuffer_, sizeof(int));
  if (Options.MaxSegment_ > 0)
    setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &Options.MaxSegment_, sizeof(int));
  const sockaddr_in Peer = addressOf(Address, Port);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&Peer), sizeof Peer)) {
    ::close(Fd);
    return Socket();
  }
  const int Yes = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof Yes);
  return Socket(Fd);
}

Server::Server(std::string Address, Serve ServeOne)
    : Address_(std::move(Address)), Serve_(std::move(ServeOne)) {
  Listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Own = addressOf(Address_, 0);
  socklen_t Size = sizeof Own;
  if (::bind(Listener_, reinterpret_cast<sockaddr *>(&Own), sizeof Own) ||
      ::listen(Listener_, 512) ||
      getsockname(Listener_, reinterpret_cast<sockaddr *>(&Own), &Size))
    throw CannotRun{"cannot listen on " + Address_};
  Port_ = ntohs(Own.sin_port);
  Acceptor_ = std::thread([this] { accept(); });
}

Server::~Server() {
  stop();
  for (std::thread &Served : Threads_)
    Served.join();
}

std::string Server::endpoint() const {
  return Address_ + ":" + std::to_string(Port_);
}

void Server::stop() {
  if (IsStopping_.exchange(true))
    return;
  ::shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  ::close(Listener_);
  const std::lock_guard<std::mutex> Lock(Mutex_);
  for (const auto &Connection : Open_)
    ::shutdown(Connection.second, SHUT_RDWR);
}

void Server::accept() {
  std::uint64_t Next = 0;
  while (!IsStopping_) {
    const int Fd = ::accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (Fd < 0) {
      if (!IsStopping_)
        sleepMs(5);
      continue;
    }
    const int Yes = 1;
    setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &Yes, sizeof Yes);
    const std::lock_guard<std::mutex> Lock(Mutex_);
    const std::uint64_t Key = ++Next;
    Open_[Key] = Fd;
    Threads_.emplace_back([this, Key, Fd] {
      Socket Connection(Fd);
      Serve_(Connection);
      const std::lock_guard<std::mutex> Ended(Mutex_);
      Open_.erase(Key);
      Connection.close();
    });
  }
}

static std::string base64(const std::string &Bytes) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (std::size_t At = 0; At < Bytes.size(); At += 3) {
    const std::size_t Left = std::min<std::size_t>(3, Bytes.size() - At);
    std::uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index)
      Group =
          Group << 8 |
          (Index < Left ? static_cast<unsigned char>(Bytes[At + Index]) : 0);
    for (std::size_t Index = 0; Index < 4; ++Index)
      Text += Index <= Left ? Digits[Group >> (18 - 6 * Index) & 63] : '=';
  }
  return Text;
}

static std::string percentDecoded(const std::string &Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] == '%' && At + 2 < Text.size()) {
      Decoded += static_cast<char>(
          std::strtol(Text.substr(At + 1, 2).c_str(), nullptr, 16));
      At += 2;
    } else {
      Decoded += Text[At];
    }
  }
  return Decoded;
}

static std::string queryValue(const std::string &Target,
                              const std::string &Name) {
  std::size_t At = Target.find('?');
  while (At != std::string::npos) {
    const std::size_t End = Target.find('&', At + 1);
    const std::string Part =
        Target.substr(At + 1, End == std::string::npos ? End : End - At - 1);
    if (Part.rfind(Name + "=", 0) == 0)
      return percentDecoded(Part.substr(Name.size() + 1));
    At = End;
  }
  return "";
}

static std::string httpAnswer(int Status, const std::string &Body,
                              const Headers &Extra = {}) {
  std::string Text = "HTTP/1.1 " + std::to_string(Status) + " Status\r\n";
  for (const auto &Field : Extra)
    Text += Field.first + ": " + Field.second + "\r\n";
  return Text + "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// The platform's store takes this time for an answer.
static constexpr int AnswerMs = 4;
static constexpr std::int64_t HistoryMs = 20'000;

Store::Store() {
  Server_ = std::make_unique<Server>(
      loopback(1), [this](Socket &Connection) { serve(Connection); });
}

std::string Store::itemJson(const std::string &Key, const Item &Stored) const {
  return "{\"Key\":\"" + Key + "\",\"Value\":\"" + base64(Stored.Value_) +
         "\",\"Revision\":" + std::to_string(Stored.Revision_) +
         ",\"Created\":" + std::to_string(Stored.Created_) + ",\"Lease\":0}";
}

void Store::put(const std::string &Key, const std::string &Value) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Item &Stored = Now_.Items_[Key];
  Stored.Value_ = Value;
  Stored.Revision_ = ++Now_.Revision_;
  if (Stored.Created_ == 0)
    Stored.Created_ = Now_.Revision_;
  Now_.Events_[Now_.Revision_] = {Key, itemJson(Key, Stored), nowMs()};
  dropHistory();
}

void Store::dropHistory() {
  while (!Now_.Events_.empty() &&
         nowMs() - Now_.Events_.begin()->second.At_ > HistoryMs) {
    Now_.Dropped_ = Now_.Events_.begin()->first;
    Now_.Events_.erase(Now_.Events_.begin());
  }
}

void Store::remove(const std::string &Key) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  if (Now_.Items_.erase(Key) == 0)
    return;
  ++Now_.Revision_;
  Now_.Events_[Now_.Revision_] = {Key,
                                  "{\"Key\":\"" + Key + "\",\"Revision\":" +
                                      std::to_string(Now_.Revision_) +
                                      ",\"Removed\":true}",
                                  nowMs()};
  dropHistory();
}

void Store::keepCopy() {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Copy_ = Now_;
}

void Store::restoreCopy() {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Now_ = Copy_;
  ++Era_;
}

void Store::serve(Socket &Connection) {
  Message Request;
  while (Connection.readMessage(Request, 120'000)) {
    std::istringstream Line(Request.StartLine_);
    std::string Method;
    std::string Path;
    Line >> Method >> Path;
    sleepMs(AnswerMs);
    if (!Connection.send(
            IsDown_ ? httpAnswer(503, "", {{"Store-Era", std::to_string(Era_)}})
                    : answer(Path)))
      return;
  }
}

std::string Store::answer(const std::string &Target) {
  const Headers Era{{"Content-Type", "application/json"},
                    {"Store-Era", std::to_string(Era_)}};
  const std::string Path = Target.substr(0, Target.find('?'));
  if (Path == "/kv-key") {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    const auto It = Now_.Items_.find(queryValue(Target, "Key"));
    if (It == Now_.Items_.end())
      return httpAnswer(404, "{}", Era);
    std::string Json = itemJson(It->first, It->second);
    Json.insert(Json.size() - 1, ",\"AsOf\":" + std::to_string(Now_.Revision_));
    return httpAnswer(200, Json, Era);
  }
  const std::string Prefix = queryValue(Target, "Prefix");
  const std::string After = queryValue(Target, "after");
  if (Path == "/kv-range") {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    std::string List;
    for (const auto &Entry : Now_.Items_)
      if (Entry.first.rfind(Prefix, 0) == 0 && Entry.first > After)
        List += (List.empty() ? "" : ",") + itemJson(Entry.first, Entry.second);
    return httpAnswer(200,
                      "{\"items\":[" + List + "],\"HasMore\":false,\"AsOf\":" +
                          std::to_string(Now_.Revision_) + "}",
                      Era);
  }
  if (Path != "/kv-watch")
    return httpAnswer(404, "{}", Era);
  const std::uint64_t Since = std::strtoull(After.c_str(), nullptr, 10);
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    dropHistory();
    if (Since > Now_.Revision_ || Since < Now_.Dropped_)
      return httpAnswer(410, "{}", Era);
  }
  const std::int64_t End =
      nowMs() + std::atoi(queryValue(Target, "WaitMs").c_str());
  for (;;) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex_);
      std::string List;
      for (auto It = Now_.Events_.upper_bound(Since); It != Now_.Events_.end();
           ++It)
        if (It->second.Key_.rfind(Prefix, 0) == 0)
          List += (List.empty() ? "" : ",") + It->second.Json_;
      if (IsDown_)
        return httpAnswer(503, "", Era);
      if (!List.empty() || nowMs() >= End)
        return httpAnswer(200,
                          "{\"events\":[" + List + "],\"AsOf\":" +
                              std::to_string(Now_.Revision_) + "}",
                          Era);
    }
    sleepMs(5);
  }
}

static constexpr double LinkBytesPerSecond = 10e6 / 8;

Link::Link(const std::string &Store)
    : StorePort_(std::atoi(Store.substr(Store.find(':') + 1).c_str())),
      StoreAddress_(Store.substr(0, Store.find(':'))),
      Server_(loopback(1), [this](Socket &Near) { relay(Near); }) {}

/// Connections that a cut has interrupted carry nothing further.
void Link::relay(Socket &Near) {
  const int Begun = Heals_;
  Socket Far = connectTo(StoreAddress_, StorePort_);
  while (Far.isOpen() && Begun == Heals_) {
    pollfd Ends[2] = {{Near.fd(), POLLIN, 0}, {Far.fd(), POLLIN, 0}};
    if (IsCut_) {
      sleepMs(10);
      continue;
    }
    if (poll(Ends, 2, 20) <= 0)
      continue;
    if (Ends[0].revents != 0 && !pass(Near, Far, false))
      return;
    if (Ends[1].revents != 0 && !pass(Far, Near, true))
      return;
  }
}

bool Link::pass(Socket &From, Socket &To, bool IsPaced) {
  if (!From.receive(0, 4'096))
    return false;
  const std::string Bytes = std::move(From.input());
  From.input().clear();
  if (IsPaced)
    pace(Bytes.size());
  Carried_ += Bytes.size();
  return IsCut_ || To.send(Bytes);
}

void Link::pace(std::size_t Bytes) {
  Clock::time_point Free;
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    FreeAt_ = std::max(FreeAt_, Clock::now()) +
              std::chrono::duration_cast<Clock::duration>(
                  std::chrono::duration<double>(static_cast<double>(Bytes) /
                                                LinkBytesPerSecond));
    Free = FreeAt_;
  }
  std::this_thread::sleep_until(Free);
}

Target::Target(TargetOptions Options, Record &Log)
    : Options_(std::move(Options)), Log_(Log), WorkMs_(Options_.WorkMs_),
      Extra_(Options_.Extra_) {
  Server_ = std::make_unique<Server>(
      loopback(1), [this](Socket &Connection) { serve(Connection); });
}

std::string Target::entry(const std::string &State) const {
  return "{\"Address\":\"" + endpoint() + "\",\"born\":1700000000000," +
         "\"Info\":{\"Service\":\"" + Options_.Service_ +
         "\",\"Version\":\"v1\",\"Zone\":\"" + Options_.Zone_ +
         "\",\"Slots\":" + std::to_string(Options_.Slots_) +
         "},\"Status\":{\"State\":\"" + State +
         "\",\"Seq\":1,\"ColdLeftS\":0}}";
}

void Target::setExtra(const Headers &Extra) {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  Extra_ = Extra;
}

std::map<std::string, int> Target::runs() const {
  const std::lock_guard<std::mutex> Lock(Mutex_);
  return Runs_;
}

void Target::serve(Socket &Connection) {
  TargetRequest Request;
  while (Connection.readMessage(Request.Message_, 60'000)) {
    Request.Id_ = Request.Message_.header("Request-Id");
    if (!Connection.send(answerTo(Request)))
      return;
  }
}

std::string Target::answerTo(const TargetRequest &Request) {
  const std::string Expected = Request.Message_.header("Target-Instance");
  if (!Expected.empty() && Expected != Options_.Id_) {
    Log_.line("target " + Options_.Id_ + " misdirected " + Request.Id_ +
              " expected " + Expected);
    return httpAnswer(421, "", {{"Instance-Id", Options_.Id_}});
  }
  if (Request.Id_.empty())
    return httpAnswer(400, "", {{"Not-Executed", "1"}});
  const int Running = ++Running_;
  if (Running > Options_.Slots_) {
    --Running_;
    return httpAnswer(503, "",
                      {{"Request-Id", Request.Id_}, {"Not-Executed", "1"}});
  }
  Log_.line("target " + Options_.Id_ + " runs " + Request.Id_ + " \"" +
            Request.Message_.StartLine_ + "\"");
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    ++Runs_[Request.Id_];
  }
  if (OnRun_)
    OnRun_(Request);
  for (const std::int64_t End = nowMs() + WorkMs_; nowMs() < End;)
    sleepMs(std::min<std::int64_t>(5, End - nowMs()));
  Headers Fields{{"Request-Id", Request.Id_},
                 {"Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"},
                 {"Keep-Alive", "timeout=10"},
                 {"Server-Load", std::to_string(Running - 1) + ",0," +
                                     std::to_string(Options_.Slots_)}};
  {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    Fields.insert(Fields.end(), Extra_.begin(), Extra_.end());
  }
  --Running_;
  return httpAnswer(200, MakeBody_ ? MakeBody_(Request) : Options_.Body_,
                    Fields);
}

int freePort(const std::string &Address) {
  static int Next = static_cast<int>(getpid()) * 37 % 18'000;
  for (int Tries = 0; Tries < 18'000; ++Tries) {
    const int Port = 12'000 + Next;
    Next = (Next + 1) % 18'000;
    bool IsFree = true;
    for (const int Type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int Fd = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
      const sockaddr_in Own = addressOf(Address, Port);
      IsFree = IsFree && ::bind(Fd, reinterpret_cast<const sockaddr *>(&Own),
                                sizeof Own) == 0;
      ::close(Fd);
    }
    if (IsFree)
      return Port;
  }
  throw CannotRun{"no free port"};
}

std::string loopback(int Number) {
  const int Own = static_cast<int>(getpid());
  return "127." + std::to_string(64 + Own / 200 % 150) + "." +
         std::to_string(20 + Own % 200) + "." + std::to_string(Number);
}

Host::Host(HostOptions Options, const std::string &Folder)
    : Options_(std::move(Options)), Folder_(Folder),
      Front_(freePort(Options_.Address_)), Ready_(freePort(Options_.Address_)),
      Directory_(freePort(Options_.Address_)),
      Metrics_(freePort(Options_.Address_)) {}

Host::~Host() {
  if (Pid_ == 0)
    return;
  signal(SIGCONT);
  signal(SIGKILL);
  wait();
}

std::string Host::control() const { return Options_.Address_ + ":8186"; }

void Host::start() {
  const std::string File = Folder_ + "/" + Options_.Name_ + ".ini";
  std::FILE *Ini = std::fopen(File.c_str(), "w");
  if (!Ini)
    throw CannotRun{"cannot write " + File};
  const std::string &Ip = Options_.Address_;
  std::fprintf(
      Ini,
      "[host]\nid = %s\nregion = region-a\nfailure_domain = %s\n"
      "address = %s\nprocessor_share = 0.2\nprocessor_cores = 1\n"
      "memory_mb = %d\nlink_mbps = 1000.0\n"
      "[listen]\nfront = %s:%d\nready = %s:%d\ndirectory = %s:%d\n"
      "metrics_port = %d\n[peers]\nport = %d\nseeds = %s\n"
      "[store]\naddress = %s\n"
      "[terms]\nfloor_share = 0.7\nresend_ratio = 0.2\nresend_slack = 64\n"
      "resend_window_s = 10\naddress_keep_max_s = 5\nstop_time_s = %g\n",
      Options_.Name_.c_str(), Options_.Zone_.c_str(), Ip.c_str(),
      Options_.MemoryMb_, Ip.c_str(), Front_, Ip.c_str(), Ready_, Ip.c_str(),
      Directory_, Metrics_, Options_.PeerPort_, Options_.Seeds_.c_str(),
      Options_.Store_.c_str(), Options_.GraceS_);
  if (Options_.HasTenants_)
    std::fprintf(Ini, "key_revocation_s = 5\nlimit_window_s = 5\n"
                      "limit_overage = 0.25\nlimit_slack = 20\n");
  std::fclose(Ini);
  const std::string Log = Folder_ + "/" + Options_.Name_ + ".log";
  const pid_t Parent = getpid();
  Pid_ = fork();
  if (Pid_ < 0)
    throw CannotRun{"cannot start a process"};
  if (Pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != Parent)
      _exit(127);
    const int Output = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(Output, 1);
    dup2(Output, 2);
    execl("target/kumquatpitch", "target/kumquatpitch", "gateway", "--config",
          File.c_str(), static_cast<char *>(nullptr));
    _exit(127);
  }
}

void Host::awaitReady(int Ms) const {
  const auto IsReady = [this] {
    Socket Connection = connectTo(Options_.Address_, Ready_);
    Message Answer;
    return Connection.isOpen() &&
           Connection.send("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") &&
           Connection.readMessage(Answer, 1'000) &&
           Answer.StartLine_.find(" 200 ") != std::string::npos;
  };
  if (!awaitTrue(IsReady, Ms))
    throw CannotRun{Options_.Name_ + " is not ready"};
}

void Host::signal(int Number) const {
  if (Pid_ > 0)
    kill(Pid_, Number);
}

bool Host::isRunning() {
  if (Pid_ == 0)
    return false;
  int Status = 0;
  if (waitpid(Pid_, &Status, WNOHANG) == 0)
    return true;
  Status_ = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  Pid_ = 0;
  return false;
}

int Host::wait() {
  if (Pid_ > 0) {
    int Status = 0;
    waitpid(Pid_, &Status, 0);
    Status_ = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
    Pid_ = 0;
  }
  return Status_;
}

int runCase(
    int Argc, char **Argv,
    const std::function<bool(Record &, const std::string &, bool)> &HoldsRule) {
  if (Argc != 3)
    return 2;
  std::signal(SIGPIPE, SIG_IGN);
  const char *Trouble = std::getenv("TROUBLE");
  const bool HasTrouble = !Trouble || std::strcmp(Trouble, "0") != 0;
  try {
    Record Log(Argv[1]);
    Log.line(HasTrouble ? "with the disruption" : "without the disruption");
    try {
      const bool Holds = HoldsRule(Log, Argv[2], HasTrouble);
      Log.line(Holds ? "the rule held" : "the rule was broken");
      return Holds ? 0 : 1;
    } catch (const CannotRun &Cause) {
      Log.line("the case could not run: " + Cause.Reason_);
      return 2;
    }
  } catch (const CannotRun &) {
    return 2;
  }
}

} // namespace review
