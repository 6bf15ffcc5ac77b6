// One connection of HttpClient and the call that it carries: connects, sends
// the request, and reads until the response is complete or the call has failed.
// HttpClient owns the idle connections; a call in progress keeps its own alive.

#ifndef KUMQUATPITCH_HTTP_CLIENT_CONNECTION_H
#define KUMQUATPITCH_HTTP_CLIENT_CONNECTION_H

#include "kumquatpitch/http-client.h"
#include "kumquatpitch/response-end.h"
#include "kumquatpitch/spliced-response.h"

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>

namespace kumquatpitch {

class HttpClientConnection
    : public std::enable_shared_from_this<HttpClientConnection>,
      public HttpClient::Call {
public:
  HttpClientConnection(HttpClient &Client, Endpoint Server);

  const Endpoint &serverEndpoint() const { return ServerEndpoint_; }

  /// Starts a call. The connection is opened if it is not open.
  void start(const CallOptions &Options, OutgoingRequest Request,
             HttpClient::Callback OnEnd);

  void cancel() override;

  /// True if the connection has not been idle for too long.
  bool isUsable(Duration MaxIdle) const;

  /// True if the connection has not carried a request with this id.
  bool mayCarry(const std::string &RequestId) const {
    return CarriedIds_.mayCarry(RequestId);
  }

  void close();

  /// Bytes that the body of the call in progress counts for.
  std::uint64_t countedBytes() const { return CountedBytes_; }

private:
  static constexpr std::size_t ReadBytes = 8'192;

  void startTimeout();
  std::chrono::steady_clock::time_point timeoutAt() const;
  void connect();
  void onConnected();
  void send();
  void read();
  void handleRead(const asio::error_code &Error, std::size_t Size);
  void parse(std::string_view Bytes);
  void expectNextResponse();
  void failSpliced();
  bool failUnprovable();
  void handleHeldRead(const asio::error_code &Error, std::size_t Size);
  void handleEnd(const asio::error_code &Error);
  bool completeOrSkip(std::string_view Rest);
  void countBuffered(std::uint64_t Bytes);
  bool holdBody();
  void endForMemory();
  void decideEnd(bool WasHeld);
  void hold(Duration Time);
  void complete();
  void fail(CallEnd End, const std::string &Detail);

  HttpClient &Client_;
  const Endpoint ServerEndpoint_;
  asio::ip::tcp::socket Socket_;
  asio::steady_timer Timer_;
  asio::steady_timer ConnectTimer_;
  /// Runs while a complete response may still turn out not to be whole.
  asio::steady_timer HoldTimer_;
  CallOptions Options_;
  OutgoingRequest Request_;    ///< Empty once it is being sent.
  HttpClient::Callback OnEnd_; ///< Null while idle.
  std::unique_ptr<MessageParser> Parser_;
  std::array<char, ReadBytes> Buffer_;
  std::chrono::steady_clock::time_point IdleSince_;
  std::chrono::steady_clock::time_point CalledAt_;
  std::uint64_t ReceivedBytes_ = 0; ///< Since CalledAt_.
  Duration ReuseTime_{};            ///< Idle time after which it is not reused.
  bool IsOpen_ = false;
  bool IsSent_ = false;    ///< Some of the request may have been sent.
  bool IsWritten_ = false; ///< The whole request has been written.
  bool HasWriteFailed_ = false;
  bool IsReading_ = false;
  bool HasEnded_ = false;    ///< The server has ended its side.
  bool IsHeld_ = false;      ///< The parser holds a response that is undecided.
  bool IsReused_ = false;    ///< It has carried another call before.
  int InterimResponses_ = 0; ///< Of the call in progress.
  int OtherResponses_ = 0;   ///< Responses to other requests, likewise.
  bool HasSecondResponse_ = false;
  bool IsUnprovable_ = false;  ///< The response would end with its connection.
  bool IsTooLong_ = false;     ///< The response exceeds the call's limit.
  BytesBehindResponse Behind_; ///< Of the response that the parser holds.
  CarriedRequestIds CarriedIds_;
  SplicedResponseScan Scan_;       ///< Of the response that the parser is in.
  std::uint64_t CountedBytes_ = 0; ///< Its part of Client_.BufferedBytes_.
  bool IsOverLimit_ = false;       ///< The call is about to end for its memory.
};

} // namespace kumquatpitch

#endif
