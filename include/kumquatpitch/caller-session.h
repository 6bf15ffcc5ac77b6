// One caller's connection to HttpFront: reads requests one after another, hands
// each to a worker thread, and writes the answer. Runs on the front's I/O
// threads, except for the handler.

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
  /// Acts on the framing state after new input or a written answer: refuses the
  /// request, dispatches it, or reads more.
  void advance();
  void onHeadParsed();
  void dispatch();
  void handle(const HttpRequest &Request, bool KeepOpen);
  void refuse(ResultCode Code, const std::string &Message);
  void write(std::string Bytes, bool KeepOpen);
  void onWritten(const std::error_code &Error, bool KeepOpen);
  /// Closes the sending side and discards input for a while before the close.
  void lingerBeforeClose();
  /// Counts Output_ among the answers that the callers have not read.
  void countUnread();
  void armTimer(std::chrono::milliseconds After);
  void onTimeout();
  void close();
  /// Sets IsBusy_ and counts the connection in Front_.BusyConnections_.
  void setBusy(bool IsBusy);
  /// Updates this connection's share of Front_.HeldBytes_.
  void updateHeldBytes();

  HttpFront &Front_;
  const std::shared_ptr<UnreadAnswers> Unread_;
  const CustomerName Customer_;
  asio::ip::tcp::socket Socket_;
  asio::strand<asio::any_io_executor> Strand_;
  asio::steady_timer Timer_;
  HttpFramer Framer_;
  std::array<char, 16'384> Chunk_;
  std::string Output_;
  std::uint64_t UnreadKey_ = 0;              ///< Of Output_ in Unread_.
  std::shared_ptr<CallerPresence> Presence_; ///< Set while a handler runs.
  /// Bytes of its requests that are included in Front_.HeldBytes_.
  std::size_t CountedBytes_ = 0;
  bool IsReading_ = false;
  bool IsHeadParsed_ = false;
  /// A handler runs or an answer is being written; stays set while lingering.
  bool IsBusy_ = false;
  bool IsLingering_ = false; ///< The last answer is sent; input is discarded.
  bool IsClosed_ = false;
};

} // namespace kumquatpitch::detail

#endif
