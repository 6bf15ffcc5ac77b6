// One caller's connection in the front: reads requests one after another, hands
// each to a worker, and writes the answer. Runs on the front's io threads.

#ifndef KUMQUATPITCH_CALLER_SESSION_H
#define KUMQUATPITCH_CALLER_SESSION_H

#include "kumquatpitch/http-framing.h"
#include "kumquatpitch/http-front.h"

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

namespace kumquatpitch::detail {

class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(HttpFront &Front, CustomerName Customer,
                asio::ip::tcp::socket Socket);
  ~CallerSession();
  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  void start();

private:
  void read();
  void onRead(const std::error_code &Error, std::size_t Count);
  void onBytes();
  void onHead();
  void dispatch();
  void handle(const HttpRequest &Request, bool KeepOpen);
  void refuse(ResultCode Code, const std::string &Message);
  void write(std::string Bytes, bool KeepOpen);
  void onWritten(const std::error_code &Error, bool KeepOpen);
  void finishWriting();
  void armTimer(std::chrono::milliseconds After);
  void onTimeout();
  void close();
  void countHeldBytes();

  HttpFront &Front_;
  const CustomerName Customer_;
  asio::ip::tcp::socket Socket_;
  asio::strand<asio::any_io_executor> Strand_;
  asio::steady_timer Timer_;
  HttpFramer Framer_;
  std::array<char, 16'384> Chunk_;
  std::string Output_;
  std::shared_ptr<CallerPresence> Presence_; ///< Set while a handler runs.
  std::size_t CountedBytes_ = 0;             ///< Share of Front_.HeldBytes_.
  bool IsReading_ = false;
  bool IsHeadSeen_ = false;
  bool IsBusy_ = false;     ///< A handler runs or an answer is being written.
  bool IsDraining_ = false; ///< The last answer is out; input is dropped.
  bool IsClosed_ = false;
};

} // namespace kumquatpitch::detail

#endif
