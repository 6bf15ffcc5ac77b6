// A backend server on loopback that answers as an AnswerSource says. Each
// connection has a thread; a write that is late goes out when it is due, also
// into the answer to the next request. Used by composed-answers-test,
// composed-attempts-test and early-ends-process-test.

#ifndef KUMQUATPITCH_COMPOSED_TARGET_H
#define KUMQUATPITCH_COMPOSED_TARGET_H

#include "answer-composer.h"

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace kumquatpitch::test {

/// Says what a server writes for a request. Thread-safe.
class AnswerSource {
public:
  AnswerSource() = default;
  virtual ~AnswerSource() = default;
  AnswerSource(const AnswerSource &) = delete;
  AnswerSource &operator=(const AnswerSource &) = delete;

  virtual const ComposedHeaders &headers() const = 0;
  /// `OlderId` is the request before it on the same connection, or empty.
  virtual ComposedAnswer compose(const std::string &Id,
                                 const std::string &OlderId) = 0;
};

/// What the servers of one run have written, by request id.
class ComposedRecord : public AnswerSource {
public:
  explicit ComposedRecord(std::uint64_t Seed, ComposedHeaders Headers = {})
      : Seed_(Seed), Headers_(std::move(Headers)) {}

  const ComposedHeaders &headers() const override { return Headers_; }

  ComposedAnswer compose(const std::string &Id,
                         const std::string &OlderId) override {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    std::vector<ComposedAnswer> &Answers = ById_[Id];
    AnswerComposer Composer(Seed_, Id + " " + std::to_string(Answers.size()),
                            Headers_);
    Answers.push_back(Composer.compose(Id, OlderId));
    return Answers.back();
  }

  std::vector<ComposedAnswer> answersTo(const std::string &Id) {
    const std::lock_guard<std::mutex> Lock(Mutex_);
    return ById_[Id];
  }

private:
  const std::uint64_t Seed_;
  const ComposedHeaders Headers_;
  std::mutex Mutex_;
  std::map<std::string, std::vector<ComposedAnswer>> ById_;
};

class ComposedTarget {
public:
  explicit ComposedTarget(AnswerSource &Source)
      : Source_(Source), Listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof Address;
    bind(Listener_, reinterpret_cast<sockaddr *>(&Address), Size);
    listen(Listener_, 64);
    getsockname(Listener_, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port_ = ntohs(Address.sin_port);
    Acceptor_ = std::thread([this] { accept(); });
  }

  ~ComposedTarget() {
    IsStopping_ = true;
    Acceptor_.join();
    for (std::thread &Connection : Connections_)
      Connection.join();
    close(Listener_);
  }
  ComposedTarget(const ComposedTarget &) = delete;
  ComposedTarget &operator=(const ComposedTarget &) = delete;

  std::uint16_t port() const { return Port_; }

private:
  using Clock = std::chrono::steady_clock;

  /// How often the threads look at IsStopping_.
  static constexpr int PollMs = 50;

  /// Due writes of a connection, by their time.
  struct PendingWrites {
    struct Entry {
      std::string Bytes_;
      ConnectionEnd End_ = ConnectionEnd::Kept;
    };
    std::multimap<Clock::time_point, Entry> Entries_;

    void add(const ComposedAnswer &Answer, Clock::time_point Now) {
      for (const ComposedWrite &Write : Answer.Writes_) {
        Now += Write.Delay_;
        Entries_.emplace(Now, Entry{Write.Bytes_, ConnectionEnd::Kept});
      }
      if (Answer.End_ != ConnectionEnd::Kept)
        Entries_.emplace(Now, Entry{"", Answer.End_});
    }

    int waitMs() const {
      if (Entries_.empty())
        return PollMs;
      const std::int64_t Left =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              Entries_.begin()->first - Clock::now())
              .count();
      return static_cast<int>(std::clamp<std::int64_t>(Left, 0, PollMs));
    }
  };

  void accept() {
    while (!IsStopping_) {
      pollfd State{Listener_, POLLIN, 0};
      if (poll(&State, 1, PollMs) <= 0)
        continue;
      const int Socket = ::accept(Listener_, nullptr, nullptr);
      const int NoDelay = 1;
      setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof NoDelay);
      Connections_.emplace_back([this, Socket] { serve(Socket); });
    }
  }

  void serve(int Socket) {
    PendingWrites Pending;
    std::string Input;
    std::string OlderId;
    while (!IsStopping_) {
      pollfd State{Socket, POLLIN, 0};
      if (poll(&State, 1, Pending.waitMs()) > 0) {
        char Buffer[4'096];
        const ssize_t Size = recv(Socket, Buffer, sizeof Buffer, 0);
        if (Size <= 0)
          break;
        Input.append(Buffer, static_cast<std::size_t>(Size));
        // Requests of these tests have no body.
        const std::size_t End = Input.find("\r\n\r\n");
        if (End != std::string::npos) {
          const std::string Id = requestId(Input);
          Input.erase(0, End + 4);
          Pending.add(Source_.compose(Id, OlderId), Clock::now());
          OlderId = Id;
        }
      }
      if (!writeDue(Socket, Pending))
        break;
    }
    close(Socket);
  }

  std::string requestId(const std::string &Head) const {
    const std::string Name = Source_.headers().RequestId_ + ": ";
    const std::size_t Start = Head.find(Name) + Name.size();
    return Head.substr(Start, Head.find("\r\n", Start) - Start);
  }

  /// False once the connection is to be closed.
  static bool writeDue(int Socket, PendingWrites &Pending) {
    while (!Pending.Entries_.empty() &&
           Pending.Entries_.begin()->first <= Clock::now()) {
      const PendingWrites::Entry Due = Pending.Entries_.begin()->second;
      Pending.Entries_.erase(Pending.Entries_.begin());
      if (Due.End_ == ConnectionEnd::Reset) {
        const linger Immediately{1, 0};
        setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Immediately,
                   sizeof Immediately);
      }
      if (Due.End_ != ConnectionEnd::Kept ||
          send(Socket, Due.Bytes_.data(), Due.Bytes_.size(), MSG_NOSIGNAL) < 0)
        return false;
    }
    return true;
  }

  AnswerSource &Source_;
  const int Listener_;
  std::uint16_t Port_ = 0;
  std::atomic<bool> IsStopping_ = false;
  std::thread Acceptor_;
  /// Only the acceptor's thread adds to it.
  std::list<std::thread> Connections_;
};

} // namespace kumquatpitch::test

#endif
