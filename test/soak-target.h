// A stand-in for a backend server in the soak. It records which request ids it
// executed, and injects the failures that real backend servers show.

#ifndef KUMQUATPITCH_SOAK_TARGET_H
#define KUMQUATPITCH_SOAK_TARGET_H

#include "kumquatpitch/message-parser.h"

#include "soak-answer.h"
#include "soak-rate-limit.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace kumquatpitch::test {

using SoakClock = std::chrono::steady_clock;

/// Executions of one request id, summed over all targets.
struct ExecutionRecord {
  int Started_ = 0;
  int Finished_ = 0;    ///< Responses that were written completely.
  std::string Service_; ///< Service of the last execution.
  std::string Answers_; ///< Names of what was written for it, in order.
};

/// Body of the response to a request; long enough to be truncated.
inline std::string soakBody(const std::string &Id, const std::string &Service) {
  std::string Body = Id + " " + Service + " ";
  for (int Count = 0; Count < 40; ++Count)
    Body += Id;
  return Body;
}

class SoakTarget {
public:
  using Tcp = asio::ip::tcp;

  /// Percentage of requests that each fault affects.
  struct Faults {
    int Fail_ = 1;   ///< Status 500.
    int Cut_ = 0;    ///< Half of the response, then a close.
    int Reset_ = 0;  ///< Connection reset after the work.
    int Extra_ = 0;  ///< The previous response is sent again first.
    int Silent_ = 0; ///< No response.

    /// One of the faults alone.
    static Faults ofKind(std::uint64_t Kind) {
      constexpr std::pair<int Faults::*, int> Kinds[] = {
          {&Faults::Fail_, 85},
          {&Faults::Cut_, 40},
          {&Faults::Reset_, 40},
          {&Faults::Extra_, 50},
          {&Faults::Silent_, 50}};
      Faults Chosen;
      Chosen.*Kinds[Kind].first = Kinds[Kind].second;
      return Chosen;
    }
  };

  SoakTarget(asio::io_context &Context, const Tcp::endpoint &ListenAddress,
             std::string Id, std::string Service,
             std::map<std::string, ExecutionRecord> &Executions,
             std::uint64_t Seed)
      : Context_(Context), Acceptor_(Context, ListenAddress),
        Id_(std::move(Id)), Service_(std::move(Service)),
        Executions_(Executions), Random_(Seed), Composer_(~Seed) {
    accept();
  }

  void setFaults(const Faults &New) { Faults_ = New; }

  /// A fault of answers, beside the other faults.
  void setAnswerFault(AnswerFault Fault, int Percent) {
    Composer_.setFault(Fault, Percent);
  }
  int faultyAnswers() const { return Composer_.faultyAnswers(); }

  /// Replaces this instance by another one at the same address.
  void replaceInstance(std::string Id, std::string Service) {
    Id_ = std::move(Id);
    Service_ = std::move(Service);
  }

  /// The rate limit that its answers name. `IsCounted` tells whether a request
  /// of a host counts towards it.
  SoakRateLimit &rateLimit() { return RateLimit_; }
  void setCountedHosts(std::function<bool(const std::string &)> IsCounted) {
    IsCounted_ = std::move(IsCounted);
  }

  const std::string &id() const { return Id_; }
  const std::string &service() const { return Service_; }
  SoakClock::time_point lastRequest() const { return LastRequest_; }

private:
  struct Connection {
    explicit Connection(Tcp::socket Socket)
        : Socket_(std::move(Socket)),
          Parser_(MessageParser::Kind::Request, 65'536, 1 << 22) {}
    Tcp::socket Socket_;
    MessageParser Parser_;
    std::array<char, 8'192> Buffer_;
    std::string PreviousResponse_; ///< For `Faults::Extra_`.
  };

  void accept() {
    Acceptor_.async_accept(
        [this](const asio::error_code &Error, Tcp::socket Socket) {
          if (!Acceptor_.is_open())
            return;
          if (!Error)
            read(std::make_shared<Connection>(std::move(Socket)));
          accept();
        });
  }

  void read(const std::shared_ptr<Connection> &Conn) {
    Conn->Socket_.async_read_some(
        asio::buffer(Conn->Buffer_),
        [this, Conn](const asio::error_code &Error, std::size_t Size) {
          if (Error)
            return;
          std::string_view Bytes(Conn->Buffer_.data(), Size);
          while (!Bytes.empty()) {
            Bytes.remove_prefix(Conn->Parser_.feed(Bytes));
            if (Conn->Parser_.state() == MessageParser::State::Rejected)
              return;
            if (Conn->Parser_.state() == MessageParser::State::Complete)
              execute(Conn, Conn->Parser_.take());
          }
          if (Conn->Socket_.is_open())
            read(Conn);
        });
  }

  bool faultOccurs(int Percent) {
    return static_cast<int>(Random_() % 100) < Percent;
  }

  std::string responseHead(int Status, const std::string &Id,
                           std::size_t Length,
                           const std::string &ExtraHeaders) const {
    const std::string Limit =
        RateLimit_.isNamed()
            ? "Server-Limit: " + std::to_string(RateLimit_.perSecond()) + "\r\n"
            : "";
    return "HTTP/1.1 " + std::to_string(Status) + " X\r\nRequest-Id: " + Id +
           "\r\nContent-Length: " + std::to_string(Length) + "\r\n" +
           ExtraHeaders + Limit + "Server-Load: 1,0,8\r\n\r\n";
  }

  void execute(const std::shared_ptr<Connection> &Conn,
               const HttpMessage &Request) {
    LastRequest_ = SoakClock::now();
    const std::string *IdHeader = Request.header("Request-Id");
    const std::string *ExpectedInstance = Request.header("Target-Instance");
    const std::string Id = IdHeader ? *IdHeader : "";
    const std::string *HostHeader = Request.header("Soak-Host");
    const std::string Host = HostHeader ? *HostHeader : "";
    if (RateLimit_.isNamed() && IsCounted_ && IsCounted_(Host))
      RateLimit_.arrived(Host);
    if (ExpectedInstance && *ExpectedInstance != Id_)
      return write(Conn, responseHead(421, Id, 0, "Not-Executed: 1\r\n"));
    if (Running_ >= 8)
      return write(Conn, responseHead(503, Id, 0, "Not-Executed: 1\r\n"));
    ExecutionRecord &Record = Executions_[Id];
    ++Record.Started_;
    Record.Service_ = Service_;
    if (faultOccurs(Faults_.Silent_))
      return;
    ++Running_;
    const std::shared_ptr<asio::steady_timer> Work =
        std::make_shared<asio::steady_timer>(
            Context_, std::chrono::milliseconds(10 + Random_() % 60));
    // The instance may have been replaced by the time the work is done.
    Work->async_wait([this, Conn, Id, Work, Host,
                      Service = Service_](const asio::error_code &) {
      --Running_;
      if (RateLimit_.isNamed())
        RateLimit_.answered(Host);
      finish(Conn, Id, Service);
    });
  }

  void finish(const std::shared_ptr<Connection> &Conn, const std::string &Id,
              const std::string &Service) {
    asio::error_code Ignored;
    if (faultOccurs(Faults_.Reset_)) {
      Conn->Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
      Conn->Socket_.close(Ignored);
      return;
    }
    const bool IsFailure = faultOccurs(Faults_.Fail_);
    const std::string Body = IsFailure ? "failed" : soakBody(Id, Service);
    const std::string Response =
        responseHead(IsFailure ? 500 : 200, Id, Body.size(),
                     "Response-Seal: s\r\n") +
        Body;
    if (faultOccurs(Faults_.Cut_)) {
      write(Conn, Response.substr(0, Response.size() / 2));
      Conn->Socket_.close(Ignored);
      return;
    }
    const std::string Previous = Conn->PreviousResponse_;
    Conn->PreviousResponse_ = Response;
    ComposedAnswer Answer = Composer_.compose(Response, Previous);
    ExecutionRecord &Record = Executions_[Id];
    // What follows a whole answer takes nothing from it.
    if (Answer.IsSound_ || Answer.Writes_.front().Bytes_ == Response)
      ++Record.Finished_;
    Record.Answers_ += " " + Answer.Description_;
    if (faultOccurs(Faults_.Extra_))
      Answer.Writes_.front().Bytes_.insert(0, Previous);
    writeFrom(Conn, std::make_shared<const ComposedAnswer>(Answer), 0);
  }

  /// Writes the rest of the answer, from one of its writes on. The connection
  /// may carry other requests meanwhile.
  void writeFrom(const std::shared_ptr<Connection> &Conn,
                 const std::shared_ptr<const ComposedAnswer> &Answer,
                 std::size_t Index) {
    for (; Index < Answer->Writes_.size(); ++Index) {
      const ComposedWrite &Write = Answer->Writes_[Index];
      if (Write.Delay_.count() > 0) {
        const std::shared_ptr<asio::steady_timer> Timer =
            std::make_shared<asio::steady_timer>(Context_, Write.Delay_);
        Timer->async_wait(
            [this, Conn, Answer, Index, Timer](const asio::error_code &) {
              write(Conn, Answer->Writes_[Index].Bytes_);
              writeFrom(Conn, Answer, Index + 1);
            });
        return;
      }
      write(Conn, Write.Bytes_);
    }
    asio::error_code Ignored;
    if (Answer->End_ == ConnectionEnd::Ended)
      Conn->Socket_.close(Ignored);
  }

  static void write(const std::shared_ptr<Connection> &Conn,
                    const std::string &Text) {
    asio::error_code Ignored;
    asio::write(Conn->Socket_, asio::buffer(Text), Ignored);
  }

  asio::io_context &Context_;
  Tcp::acceptor Acceptor_;
  std::string Id_;
  std::string Service_;
  std::map<std::string, ExecutionRecord> &Executions_;
  std::mt19937_64 Random_;
  Faults Faults_;
  SoakAnswerComposer Composer_;
  SoakRateLimit RateLimit_;
  std::function<bool(const std::string &)> IsCounted_;
  int Running_ = 0;
  SoakClock::time_point LastRequest_{};
};

} // namespace kumquatpitch::test

#endif
